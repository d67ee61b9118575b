#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "claims.h"
#include "clock.h"
#include "fleet.h"
#include "frame.h"
#include "lib_fuzz.h"
#include "raft.h"

#define FRAME_ROUNDS 20000
#define RAFT_ROUNDS 1500
#define CLAIMS_ROUNDS 400
#define FLEET_ROUNDS 500
#define STEPS 60
#define RAFT_NODES 3

/* Few values, so that generated messages refer to the same objects. */
static const char *const words[] = {"o",   "p",	  "spare", "vm1",	  "vm2", "j1",
				    "dc1", "dc2", "",	   "10.0.0.1:80", "img", "op1"};

static fuzz_t fuzz;

static void start(unsigned rounds)
{
	fuzz_init(&fuzz, rounds, words, G_N_ELEMENTS(words));
}

static GPtrArray *samples_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
}

/* A stream of 1 to 3 valid frames with arbitrary envelopes. */
static GByteArray *frame_sample(void)
{
	GByteArray *stream = g_byte_array_new();
	size_t count = 1 + fuzz_below(&fuzz, 3);

	for (size_t i = 0; i < count; i++) {
		ProtobufCMessage *message = fuzz_message(&fuzz, &lp__envelope__descriptor);

		assert_non_null(message);
		frame_append(stream, (const Lp__Envelope *)message);
		protobuf_c_message_free_unpacked(message, NULL);
	}
	return stream;
}

static void decode(const GByteArray *stream)
{
	frame_decoder_t decoder;
	frame_status_t status = FRAME_MORE;
	size_t frames = 0;

	frame_decoder_init(&decoder);
	for (size_t at = 0; at < stream->len && status != FRAME_BAD;) {
		size_t room;
		uint8_t *to = frame_decoder_room(&decoder, &room);
		size_t n = 1 + fuzz_below(&fuzz, 400);
		Lp__Envelope *envelope;

		n = MIN(MIN(room, stream->len - at), n);
		assert_true(n > 0);
		memcpy(to, stream->data + at, n);
		frame_decoder_received(&decoder, n);
		at += n;
		while ((status = frame_decoder_next(&decoder, &envelope)) == FRAME_READY) {
			lp__envelope__free_unpacked(envelope, NULL);
			frames++;
		}
	}
	/* Each frame has a header and at least one byte. */
	assert_true(frames * (FRAME_HEADER_BYTES + 1) <= stream->len);
	frame_decoder_finish(&decoder);
}

/* Guards against memory errors and endless loops of the decoder on damaged streams of all kinds of
 * envelopes. */
static void test_frame_decoder_on_damaged_streams(void **state)
{
	GPtrArray *samples = samples_new();

	start(FRAME_ROUNDS);
	for (unsigned i = 0; i < 64; i++)
		g_ptr_array_add(samples, frame_sample());
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);

		decode(mutated);
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

static raft_t *raft_new(uint64_t now_us)
{
	const raft_options_t options = {
		.self = {.node = 1, .replica = 1},
		.disk = true,
		.heartbeat_us = 200 * US_PER_MS,
		.election_min_us = 800 * US_PER_MS,
		.lease_us = 600 * US_PER_MS,
		.seed = fuzz.seed,
	};
	raft_config_t config = {0};
	raft_t *raft = raft_create(NULL, &options);

	for (uint32_t i = 1; i <= RAFT_NODES; i++)
		config.members[config.count++] =
			(raft_member_t){.id = {.node = i, .replica = 1}, .voter = true};
	raft_restore_base(raft, 0, 0, &config);
	raft_start(raft, now_us);
	return raft;
}

/* Reads every byte that an action refers to, as the caller would. */
static void consume_actions(raft_t *raft)
{
	raft_action_t *action;

	while ((action = raft_take(raft)) != NULL) {
		g_autofree uint8_t *packed = NULL;

		switch (action->type) {
		case RAFT_SEND:
			packed = g_malloc(lp__raft_message__get_packed_size(action->send.message) +
					  1);
			lp__raft_message__pack(action->send.message, packed);
			break;
		case RAFT_SAVE_ENTRY:
			packed = g_malloc(lp__log_entry__get_packed_size(action->entry) + 1);
			lp__log_entry__pack(action->entry, packed);
			break;
		case RAFT_SAVE_SNAPSHOT:
			packed = g_memdup2(action->snapshot->data, action->snapshot->length);
			assert_true(packed != NULL || action->snapshot->length == 0);
			break;
		case RAFT_SAVE_VOTE:
		case RAFT_COMMIT:
			break;
		}
		talloc_free(action);
	}
}

/* The value or the next one in most cases; most other values are dropped at the first check. */
static uint64_t close_to(uint64_t value)
{
	return fuzz_below(&fuzz, 4) == 0 ? fuzz_number(&fuzz) : value + fuzz_below(&fuzz, 2);
}

/* Aims a message at the present state, so that it is not dropped at the first check. */
static void aim(const raft_t *raft, Lp__RaftMessage *message)
{
	uint64_t term = close_to(raft_term(raft));
	uint64_t last = raft_last_index(raft);

	if (message->from != NULL) {
		message->from->node_id = 1 + (uint32_t)fuzz_below(&fuzz, RAFT_NODES + 1);
		message->from->replica_id = 1;
	}
	if (message->to != NULL) {
		message->to->node_id = 1;
		message->to->replica_id = 1;
	}
	if (message->body_case == LP__RAFT_MESSAGE__BODY_APPEND) {
		Lp__AppendRequest *append = message->append;

		append->term = term;
		append->prev_index = close_to(last - fuzz_below(&fuzz, MIN(last, 4) + 1));
		if (raft_entry(raft, append->prev_index) != NULL)
			append->prev_term = raft_entry(raft, append->prev_index)->term;
		for (size_t i = 0; i < append->n_entries && fuzz_below(&fuzz, 8) != 0; i++) {
			append->entries[i]->index = append->prev_index + 1 + i;
			append->entries[i]->term = term - fuzz_below(&fuzz, 2);
		}
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_APPEND_REPLY) {
		message->append_reply->term = term;
		message->append_reply->match = close_to(last);
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_SNAPSHOT) {
		message->snapshot->term = term;
		message->snapshot->last_index = close_to(last);
		message->snapshot->offset = fuzz_below(&fuzz, 2) * message->snapshot->offset;
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY) {
		message->snapshot_reply->term = term;
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_VOTE_REPLY) {
		message->vote_reply->term = term;
	}
}

/* Calls of the replica's owner between messages. */
static void owner_step(raft_t *raft, uint64_t *now_us)
{
	uint8_t data[8] = {0};

	switch (fuzz_below(&fuzz, 8)) {
	case 0:
		*now_us += fuzz_below(&fuzz, 2 * US_PER_S);
		raft_tick(raft, *now_us);
		break;
	case 1:
		raft_synced(raft, *now_us);
		break;
	case 2:
		raft_propose(raft, LP__ENTRY_TYPE__ENTRY_COMMAND, data, sizeof(data));
		break;
	case 3:
		raft_replicate(raft, *now_us);
		break;
	case 4:
		raft_applied(raft, raft_committed(raft));
		raft_compact(raft, raft_committed(raft), data, sizeof(data), fuzz_below(&fuzz, 3));
		break;
	case 5:
		raft_change(
			raft, (raft_change_t)fuzz_below(&fuzz, 3),
			(raft_id_t){1 + (uint32_t)fuzz_below(&fuzz, 5), 1 + fuzz_below(&fuzz, 2)});
		break;
	case 6:
		raft_set_disk(raft, *now_us, fuzz_below(&fuzz, 4) != 0);
		break;
	default:
		*now_us += fuzz_below(&fuzz, 50 * US_PER_MS);
		break;
	}
}

static void raft_round(void)
{
	uint64_t now_us = US_PER_S;
	raft_t *raft = raft_new(now_us);
	uint64_t term = 0;
	uint64_t commit = 0;

	for (unsigned i = 0; i < STEPS; i++) {
		ProtobufCMessage *message = fuzz_message(&fuzz, &lp__raft_message__descriptor);

		assert_non_null(message);
		aim(raft, (Lp__RaftMessage *)message);
		raft_receive(raft, now_us, (Lp__RaftMessage *)message);
		protobuf_c_message_free_unpacked(message, NULL);
		consume_actions(raft);
		owner_step(raft, &now_us);
		consume_actions(raft);
		assert_true(raft_term(raft) >= term);
		assert_true(raft_committed(raft) >= commit);
		assert_true(raft_committed(raft) <= raft_last_index(raft));
		assert_true(raft_first_index(raft) <= raft_last_index(raft) + 1);
		assert_true(raft_config(raft)->count <= RAFT_MEMBERS_MAX);
		term = raft_term(raft);
		commit = raft_committed(raft);
	}
	talloc_free(raft);
}

/* Guards against memory errors, endless loops, and a term or commit index that goes back, on
 * messages with arbitrary field values from members and others. */
static void test_raft_on_arbitrary_messages(void **state)
{
	start(RAFT_ROUNDS);
	for (unsigned i = 0; i < fuzz.rounds; i++)
		raft_round();
	fuzz_finish(&fuzz);
}

static int pack_sent(void *arg, uint32_t node_id, const Lp__Envelope *envelope)
{
	GByteArray *out = g_byte_array_new();

	frame_append(out, envelope);
	g_byte_array_unref(out);
	return fuzz_below(&fuzz, 4) == 0 ? -1 : 0;
}

static void on_acquired(void *arg, claims_result_t result, uint64_t claim,
			const Lp__Outcome *outcome)
{
	unsigned *open = arg;

	(*open)--;
	if (outcome != NULL)
		assert_int_equal(result, CLAIMS_STORED);
}

static void on_recorded(void *arg)
{
	unsigned *open = arg;

	(*open)--;
}

static void set_members(claims_t *claims, uint64_t epoch, uint64_t now_us)
{
	claims_member_t members[5];
	size_t count = 1 + fuzz_below(&fuzz, G_N_ELEMENTS(members));

	for (size_t i = 0; i < count; i++)
		members[i] = (claims_member_t){.node_id = (uint32_t)i + 1,
					       .data_centre = i % 2 == 0 ? "dc1" : "dc2"};
	claims_set_members(claims, epoch, members, count, now_us);
}

static void claims_step(claims_t *claims, uint64_t *epoch, uint64_t *now_us, unsigned *open)
{
	Lp__Outcome outcome = LP__OUTCOME__INIT;

	switch (fuzz_below(&fuzz, 8)) {
	case 0:
		*now_us += fuzz_below(&fuzz, 2 * US_PER_S);
		claims_tick(claims, *now_us);
		break;
	case 1:
		claims_flush(claims);
		break;
	case 2:
	case 3:
		(*open)++;
		claims_acquire(claims, words[fuzz_below(&fuzz, 4)], "dc1", *now_us, on_acquired,
			       open);
		break;
	case 4:
		claims_release(claims, fuzz_below(&fuzz, 8), *now_us);
		break;
	case 5:
		(*open)++;
		claims_finish_run(claims, fuzz_below(&fuzz, 8), &outcome, *now_us, on_recorded,
				  open);
		break;
	case 6:
		if (fuzz_below(&fuzz, 4) == 0)
			set_members(claims, ++*epoch, *now_us);
		break;
	default:
		claims_abandon(claims, fuzz_below(&fuzz, 8));
		break;
	}
}

/* Gives messages of the claims protocol the epoch, owner and sync id that the replica expects. */
static void aim_claims(Lp__Envelope *envelope, uint64_t epoch)
{
	if (envelope->body_case == LP__ENVELOPE__BODY_CLAIMS) {
		envelope->claims->member_epoch = close_to(epoch);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_REPLIES) {
		Lp__ClaimReplyBatch *batch = envelope->claim_replies;

		batch->member_epoch = close_to(epoch);
		for (size_t i = 0; i < batch->n_replies; i++) {
			if (batch->replies[i]->owner == NULL)
				continue;
			batch->replies[i]->owner->node_id = 1;
			batch->replies[i]->owner->incarnation = 5;
		}
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_SYNC) {
		envelope->claim_sync->member_epoch = close_to(epoch);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_SYNC_REPLY) {
		envelope->claim_sync_reply->member_epoch = close_to(epoch);
	}
}

static void claims_round(void)
{
	const claims_config_t config = {
		.node_id = 1,
		.incarnation = 5,
		.retention_us = 40 * US_PER_S,
		.acquire_timeout_ms = 500,
		.record_timeout_ms = 200,
		.outcome_limit = 16,
		.fresh_cluster = fuzz_below(&fuzz, 2) == 0,
	};
	claims_t *claims = claims_create(NULL, &config, pack_sent, NULL);
	uint64_t now_us = 100 * US_PER_S;
	uint64_t epoch = 1;
	unsigned open = 0;

	set_members(claims, epoch, now_us);
	for (unsigned i = 0; i < STEPS * 3; i++) {
		Lp__Envelope *envelope =
			(Lp__Envelope *)fuzz_message(&fuzz, &lp__envelope__descriptor);

		assert_non_null(envelope);
		aim_claims(envelope, epoch);
		claims_receive(claims, 1 + (uint32_t)fuzz_below(&fuzz, 6), envelope, now_us);
		lp__envelope__free_unpacked(envelope, NULL);
		claims_step(claims, &epoch, &now_us, &open);
	}
	/* After all time limits every acquisition and record has been answered exactly once. */
	for (unsigned i = 0; i < 3; i++) {
		now_us += US_PER_S;
		claims_tick(claims, now_us);
	}
	assert_int_equal(open, 0);
	claims_destroy(claims);
}

/* Guards against memory errors, and against an acquisition or record that is answered twice or
 * never, on messages with arbitrary field values. */
static void test_claims_on_arbitrary_messages(void **state)
{
	start(CLAIMS_ROUNDS);
	for (unsigned i = 0; i < fuzz.rounds; i++)
		claims_round();
	fuzz_finish(&fuzz);
}

static void check_fleet(const fleet_t *fleet)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;
	size_t vms = 0;

	TAILQ_FOREACH (org, &fleet->orgs, link) {
		if (org->template != NULL)
			assert_non_null(fleet_spare_pool(org));
		TAILQ_FOREACH (pool, &org->pools, link) {
			size_t in_pool = 0;

			TAILQ_FOREACH (vm, &pool->vms, pool_link) {
				assert_ptr_equal(vm->pool, pool);
				assert_ptr_equal(fleet_vm_find(fleet, vm->id), vm);
				in_pool++;
			}
			assert_int_equal(in_pool, pool->vm_count);
			vms += in_pool;
		}
	}
	/* I2: each VM is in exactly one pool. */
	assert_int_equal(vms, g_hash_table_size(fleet->vm_by_id));
}

static void aim_vm(const fleet_t *fleet, const char *id, uint64_t *epoch, Lp__VmPhase *from)
{
	const fleet_vm_t *vm = fleet_vm_find(fleet, id);

	if (vm == NULL || fuzz_below(&fuzz, 8) == 0)
		return;
	*epoch = vm->epoch;
	if (from != NULL)
		*from = vm->phase;
}

/* Gives most commands the epoch, phase, attempt or revision that the state machine expects. */
static void aim_command(const fleet_t *fleet, Lp__Command *command)
{
	const fleet_job_t *job;

	if (command->body_case == LP__COMMAND__BODY_VM_CORDON) {
		aim_vm(fleet, command->vm_cordon->vm, &command->vm_cordon->epoch, NULL);
	} else if (command->body_case == LP__COMMAND__BODY_VM_STEP) {
		aim_vm(fleet, command->vm_step->vm, &command->vm_step->epoch,
		       &command->vm_step->from);
	} else if (command->body_case == LP__COMMAND__BODY_VM_ASSIGN) {
		aim_vm(fleet, command->vm_assign->vm, &command->vm_assign->epoch, NULL);
	} else if (command->body_case == LP__COMMAND__BODY_JOB_UPDATE) {
		job = fleet_job_find(fleet, command->job_update->job);
		if (job != NULL)
			command->job_update->attempt = job->attempt;
	} else if (command->body_case == LP__COMMAND__BODY_APPLY_TEMPLATE &&
		   command->apply_template->template_ != NULL) {
		const Lp__Template *template = command->apply_template->template_;
		const fleet_org_t *org = fleet_org_find(fleet, template->organisation);

		for (size_t i = 0; i < template->n_pools; i++)
			template->pools[i]->spare = i == 0;
		if (org != NULL)
			command->apply_template->expected_revision = org->revision;
	}
}

static void apply_arbitrary(fleet_t *fleet, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		Lp__Command *command = (Lp__Command *)fuzz_message(&fuzz, &lp__command__descriptor);
		Lp__Command unnamed;
		Lp__Result result;

		assert_non_null(command);
		aim_command(fleet, command);
		/* Most commands have no operation id, or the few ids would answer them all. */
		unnamed = *command;
		unnamed.op_id = "";
		fleet_apply(fleet, fleet->applied + 1,
			    fuzz_below(&fuzz, 8) == 0 ? command : &unnamed, &result);
		assert_non_null(result.message);
		lp__command__free_unpacked(command, NULL);
	}
}

/* A saved state loads, and gives the same bytes when saved again. */
static GByteArray *save_and_reload(const fleet_t *fleet)
{
	size_t length;
	size_t again;
	uint8_t *data = fleet_save(fleet, &length);
	uint8_t *second;
	GByteArray *sample = g_byte_array_new();
	fleet_t copy;

	fleet_init(&copy);
	assert_int_equal(fleet_load(&copy, data, length), 0);
	check_fleet(&copy);
	second = fleet_save(&copy, &again);
	assert_int_equal(length, again);
	assert_memory_equal(data, second, length);
	fleet_finish(&copy);
	g_byte_array_append(sample, data, (guint)length);
	free(data);
	free(second);
	return sample;
}

/* Guards against a crash, a VM in no or two pools, and a state that its own snapshot cannot
 * restore, after arbitrary commands. */
static void test_fleet_on_arbitrary_commands(void **state)
{
	start(FLEET_ROUNDS);
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		fleet_t fleet;

		fleet_init(&fleet);
		apply_arbitrary(&fleet, STEPS * 4);
		check_fleet(&fleet);
		g_byte_array_unref(save_and_reload(&fleet));
		fleet_finish(&fleet);
	}
	fuzz_finish(&fuzz);
}

/* Guards against a crash on a damaged snapshot, and against one that is loaded and breaks the
 * state machine at a later command. */
static void test_fleet_load_on_damaged_snapshots(void **state)
{
	GPtrArray *samples = samples_new();

	start(FLEET_ROUNDS * 4);
	for (unsigned i = 0; i < 8; i++) {
		fleet_t fleet;

		fleet_init(&fleet);
		apply_arbitrary(&fleet, STEPS * 4);
		g_ptr_array_add(samples, save_and_reload(&fleet));
		fleet_finish(&fleet);
	}
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);
		fleet_t fleet;

		fleet_init(&fleet);
		if (fleet_load(&fleet, mutated->data, mutated->len) == 0)
			apply_arbitrary(&fleet, STEPS / 4);
		check_fleet(&fleet);
		fleet_finish(&fleet);
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_frame_decoder_on_damaged_streams),
		cmocka_unit_test(test_raft_on_arbitrary_messages),
		cmocka_unit_test(test_claims_on_arbitrary_messages),
		cmocka_unit_test(test_fleet_on_arbitrary_commands),
		cmocka_unit_test(test_fleet_load_on_damaged_snapshots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
