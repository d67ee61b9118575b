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
#define STEPS_PER_ROUND 60
#define RAFT_NODES 3

/* Values of generated string fields. There are only a few, so that messages often refer to the same
 * objects. */
static const char *const string_values[] = {"o",   "p",	  "spare", "vm1",	  "vm2", "j1",
					    "dc1", "dc2", "",	   "10.0.0.1:80", "img", "op1"};

static fuzz_t fuzz;

static void fuzz_start(unsigned rounds)
{
	fuzz_init(&fuzz, rounds, string_values, G_N_ELEMENTS(string_values));
}

static GPtrArray *samples_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
}

/* Encodes 1 to 3 valid frames with arbitrary envelopes. */
static GByteArray *frame_stream_sample(void)
{
	GByteArray *stream = g_byte_array_new();
	size_t count = 1 + fuzz_random_below(&fuzz, 3);

	for (size_t i = 0; i < count; i++) {
		ProtobufCMessage *message = fuzz_generate_message(&fuzz, &lp__envelope__descriptor);

		assert_non_null(message);
		frame_append(stream, (const Lp__Envelope *)message);
		protobuf_c_message_free_unpacked(message, NULL);
	}
	return stream;
}

static void decode_in_chunks(const GByteArray *stream)
{
	frame_decoder_t decoder;
	frame_status_t status = FRAME_INCOMPLETE;
	size_t frames = 0;

	frame_decoder_init(&decoder);
	for (size_t offset = 0; offset < stream->len && status != FRAME_INVALID;) {
		size_t space;
		uint8_t *buffer = frame_decoder_write_buffer(&decoder, &space);
		size_t chunk = 1 + fuzz_random_below(&fuzz, 400);
		Lp__Envelope *envelope;

		chunk = MIN(MIN(space, stream->len - offset), chunk);
		assert_true(chunk > 0);
		memcpy(buffer, stream->data + offset, chunk);
		frame_decoder_mark_received(&decoder, chunk);
		offset += chunk;
		while ((status = frame_decoder_next(&decoder, &envelope)) == FRAME_DECODED) {
			lp__envelope__free_unpacked(envelope, NULL);
			frames++;
		}
	}
	/* Each decoded frame takes a header and at least one more byte of the stream. */
	assert_true(frames * (FRAME_HEADER_BYTES + 1) <= stream->len);
	frame_decoder_finish(&decoder);
}

/* Guards against memory errors and endless loops of the decoder on corrupted streams with envelopes
 * of all kinds. */
static void test_frame_decoder_on_mutated_streams(void **state)
{
	GPtrArray *samples = samples_new();

	fuzz_start(FRAME_ROUNDS);
	for (unsigned i = 0; i < 64; i++)
		g_ptr_array_add(samples, frame_stream_sample());
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);

		decode_in_chunks(mutated);
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

static raft_t *create_raft(uint64_t now_us)
{
	const raft_options_t options = {
		.self = {.node = 1, .replica = 1},
		.has_disk = true,
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

/* Removes all queued actions and reads every byte that they refer to, as the owner of a Raft core
 * does. */
static void read_actions(raft_t *raft)
{
	raft_action_t *action;

	while ((action = raft_pop_action(raft)) != NULL) {
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

/* Returns the value or its successor in most cases, otherwise an arbitrary number, because the
 * core's first checks reject most other values. */
static uint64_t near_or_arbitrary(uint64_t value)
{
	return fuzz_random_below(&fuzz, 4) == 0 ? fuzz_random_integer(&fuzz)
						: value + fuzz_random_below(&fuzz, 2);
}

/* Changes the message to fit the replica's state, so that it passes the core's first checks. */
static void adapt_raft_message(const raft_t *raft, Lp__RaftMessage *message)
{
	uint64_t term = near_or_arbitrary(raft_term(raft));
	uint64_t last = raft_last_index(raft);

	if (message->from != NULL) {
		message->from->node_id = 1 + (uint32_t)fuzz_random_below(&fuzz, RAFT_NODES + 1);
		message->from->replica_id = 1;
	}
	if (message->to != NULL) {
		message->to->node_id = 1;
		message->to->replica_id = 1;
	}
	if (message->body_case == LP__RAFT_MESSAGE__BODY_APPEND) {
		Lp__AppendRequest *append = message->append;

		append->term = term;
		append->prev_index =
			near_or_arbitrary(last - fuzz_random_below(&fuzz, MIN(last, 4) + 1));
		if (raft_entry(raft, append->prev_index) != NULL)
			append->prev_term = raft_entry(raft, append->prev_index)->term;
		for (size_t i = 0; i < append->n_entries && fuzz_random_below(&fuzz, 8) != 0; i++) {
			append->entries[i]->index = append->prev_index + 1 + i;
			append->entries[i]->term = term - fuzz_random_below(&fuzz, 2);
		}
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_APPEND_REPLY) {
		message->append_reply->term = term;
		message->append_reply->match = near_or_arbitrary(last);
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_SNAPSHOT) {
		message->snapshot->term = term;
		message->snapshot->last_index = near_or_arbitrary(last);
		message->snapshot->offset = fuzz_random_below(&fuzz, 2) * message->snapshot->offset;
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY) {
		message->snapshot_reply->term = term;
	} else if (message->body_case == LP__RAFT_MESSAGE__BODY_VOTE_REPLY) {
		message->vote_reply->term = term;
	}
}

/* Makes one random call of those that the owner of a Raft core makes between messages. */
static void call_raft_at_random(raft_t *raft, uint64_t *now_us)
{
	uint8_t data[8] = {0};

	switch (fuzz_random_below(&fuzz, 8)) {
	case 0:
		*now_us += fuzz_random_below(&fuzz, 2 * US_PER_S);
		raft_tick(raft, *now_us);
		break;
	case 1:
		raft_mark_synced(raft, *now_us);
		break;
	case 2:
		raft_propose(raft, LP__ENTRY_TYPE__ENTRY_COMMAND, data, sizeof(data));
		break;
	case 3:
		raft_replicate(raft, *now_us);
		break;
	case 4:
		raft_mark_applied(raft, raft_committed(raft));
		raft_compact(raft, raft_committed(raft), data, sizeof(data),
			     fuzz_random_below(&fuzz, 3));
		break;
	case 5:
		raft_change_member(raft, (raft_member_change_t)fuzz_random_below(&fuzz, 3),
				   (raft_id_t){1 + (uint32_t)fuzz_random_below(&fuzz, 5),
					       1 + fuzz_random_below(&fuzz, 2)});
		break;
	case 6:
		raft_set_disk_writable(raft, *now_us, fuzz_random_below(&fuzz, 4) != 0);
		break;
	default:
		*now_us += fuzz_random_below(&fuzz, 50 * US_PER_MS);
		break;
	}
}

static void raft_round(void)
{
	uint64_t now_us = US_PER_S;
	raft_t *raft = create_raft(now_us);
	uint64_t term = 0;
	uint64_t commit = 0;

	for (unsigned i = 0; i < STEPS_PER_ROUND; i++) {
		ProtobufCMessage *message =
			fuzz_generate_message(&fuzz, &lp__raft_message__descriptor);

		assert_non_null(message);
		adapt_raft_message(raft, (Lp__RaftMessage *)message);
		raft_receive(raft, now_us, (Lp__RaftMessage *)message);
		protobuf_c_message_free_unpacked(message, NULL);
		read_actions(raft);
		call_raft_at_random(raft, &now_us);
		read_actions(raft);
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

/* Guards against memory errors, endless loops, and a term or commit index that decreases, when
 * messages with arbitrary field values arrive from members and from other processes. */
static void test_raft_on_arbitrary_messages(void **state)
{
	fuzz_start(RAFT_ROUNDS);
	for (unsigned i = 0; i < fuzz.rounds; i++)
		raft_round();
	fuzz_finish(&fuzz);
}

static int on_claims_send(void *arg, uint32_t node_id, const Lp__Envelope *envelope)
{
	GByteArray *out = g_byte_array_new();

	frame_append(out, envelope);
	g_byte_array_unref(out);
	return fuzz_random_below(&fuzz, 4) == 0 ? -1 : 0;
}

static void on_acquired(void *arg, claims_result_t result, uint64_t claim,
			const Lp__Outcome *outcome)
{
	unsigned *unanswered = arg;

	(*unanswered)--;
	if (outcome != NULL)
		assert_int_equal(result, CLAIMS_STORED);
}

static void on_recorded(void *arg)
{
	unsigned *unanswered = arg;

	(*unanswered)--;
}

static void set_members(claims_t *claims, uint64_t epoch, uint64_t now_us)
{
	claims_member_t members[5];
	size_t count = 1 + fuzz_random_below(&fuzz, G_N_ELEMENTS(members));

	for (size_t i = 0; i < count; i++)
		members[i] = (claims_member_t){.node_id = (uint32_t)i + 1,
					       .data_centre = i % 2 == 0 ? "dc1" : "dc2"};
	claims_set_members(claims, epoch, members, count, now_us);
}

static void call_claims_at_random(claims_t *claims, uint64_t *epoch, uint64_t *now_us,
				  unsigned *unanswered)
{
	Lp__Outcome outcome = LP__OUTCOME__INIT;

	switch (fuzz_random_below(&fuzz, 8)) {
	case 0:
		*now_us += fuzz_random_below(&fuzz, 2 * US_PER_S);
		claims_tick(claims, *now_us);
		break;
	case 1:
		claims_flush(claims);
		break;
	case 2:
	case 3:
		(*unanswered)++;
		claims_acquire(claims, string_values[fuzz_random_below(&fuzz, 4)], "dc1", *now_us,
			       on_acquired, unanswered);
		break;
	case 4:
		claims_release(claims, fuzz_random_below(&fuzz, 8), *now_us);
		break;
	case 5:
		(*unanswered)++;
		claims_record_outcome(claims, fuzz_random_below(&fuzz, 8), &outcome, *now_us,
				      on_recorded, unanswered);
		break;
	case 6:
		if (fuzz_random_below(&fuzz, 4) == 0)
			set_members(claims, ++*epoch, *now_us);
		break;
	default:
		claims_abandon(claims, fuzz_random_below(&fuzz, 8));
		break;
	}
}

/* Sets the member epoch and owner that the replica expects in most claims messages. */
static void adapt_claims_message(Lp__Envelope *envelope, uint64_t epoch)
{
	if (envelope->body_case == LP__ENVELOPE__BODY_CLAIMS) {
		envelope->claims->member_epoch = near_or_arbitrary(epoch);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_REPLIES) {
		Lp__ClaimReplyBatch *batch = envelope->claim_replies;

		batch->member_epoch = near_or_arbitrary(epoch);
		for (size_t i = 0; i < batch->n_replies; i++) {
			if (batch->replies[i]->owner == NULL)
				continue;
			batch->replies[i]->owner->node_id = 1;
			batch->replies[i]->owner->incarnation = 5;
		}
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_SYNC) {
		envelope->claim_sync->member_epoch = near_or_arbitrary(epoch);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_SYNC_REPLY) {
		envelope->claim_sync_reply->member_epoch = near_or_arbitrary(epoch);
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
		.fresh_cluster = fuzz_random_below(&fuzz, 2) == 0,
	};
	claims_t *claims = claims_create(NULL, &config, on_claims_send, NULL);
	uint64_t now_us = 100 * US_PER_S;
	uint64_t epoch = 1;
	unsigned unanswered = 0;

	set_members(claims, epoch, now_us);
	for (unsigned i = 0; i < STEPS_PER_ROUND * 3; i++) {
		Lp__Envelope *envelope =
			(Lp__Envelope *)fuzz_generate_message(&fuzz, &lp__envelope__descriptor);

		assert_non_null(envelope);
		adapt_claims_message(envelope, epoch);
		claims_receive(claims, 1 + (uint32_t)fuzz_random_below(&fuzz, 6), envelope, now_us);
		lp__envelope__free_unpacked(envelope, NULL);
		call_claims_at_random(claims, &epoch, &now_us, &unanswered);
	}
	/* After all timeouts, each acquire and each record request must have been answered exactly
	 * once. */
	for (unsigned i = 0; i < 3; i++) {
		now_us += US_PER_S;
		claims_tick(claims, now_us);
	}
	assert_int_equal(unanswered, 0);
	claims_destroy(claims);
}

/* Guards against memory errors, and against answering an acquire or record request twice or never,
 * when messages have arbitrary field values. */
static void test_claims_on_arbitrary_messages(void **state)
{
	fuzz_start(CLAIMS_ROUNDS);
	for (unsigned i = 0; i < fuzz.rounds; i++)
		claims_round();
	fuzz_finish(&fuzz);
}

static void assert_fleet_consistent(const fleet_t *fleet)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;
	size_t total_vms = 0;

	TAILQ_FOREACH (org, &fleet->orgs, link) {
		if (org->template != NULL)
			assert_non_null(fleet_spare_pool(org));
		TAILQ_FOREACH (pool, &org->pools, link) {
			size_t vms_in_pool = 0;

			TAILQ_FOREACH (vm, &pool->vms, pool_link) {
				assert_ptr_equal(vm->pool, pool);
				assert_ptr_equal(fleet_vm_find(fleet, vm->id), vm);
				vms_in_pool++;
			}
			assert_int_equal(vms_in_pool, pool->vm_count);
			total_vms += vms_in_pool;
		}
	}
	/* Each VM must be in exactly one pool. */
	assert_int_equal(total_vms, g_hash_table_size(fleet->vm_by_id));
}

static void copy_vm_state(const fleet_t *fleet, const char *id, uint64_t *epoch, Lp__VmPhase *from)
{
	const fleet_vm_t *vm = fleet_vm_find(fleet, id);

	if (vm == NULL || fuzz_random_below(&fuzz, 8) == 0)
		return;
	*epoch = vm->epoch;
	if (from != NULL)
		*from = vm->phase;
}

/* Sets the epoch, phase, attempt or revision in most commands to what the state machine expects. */
static void adapt_command(const fleet_t *fleet, Lp__Command *command)
{
	const fleet_job_t *job;

	if (command->body_case == LP__COMMAND__BODY_VM_CORDON) {
		copy_vm_state(fleet, command->vm_cordon->vm, &command->vm_cordon->epoch, NULL);
	} else if (command->body_case == LP__COMMAND__BODY_VM_STEP) {
		copy_vm_state(fleet, command->vm_step->vm, &command->vm_step->epoch,
			      &command->vm_step->from);
	} else if (command->body_case == LP__COMMAND__BODY_VM_ASSIGN) {
		copy_vm_state(fleet, command->vm_assign->vm, &command->vm_assign->epoch, NULL);
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

static void apply_arbitrary_commands(fleet_t *fleet, unsigned count)
{
	for (unsigned i = 0; i < count; i++) {
		Lp__Command *command =
			(Lp__Command *)fuzz_generate_message(&fuzz, &lp__command__descriptor);
		Lp__Command without_op_id;
		Lp__Result result;

		assert_non_null(command);
		adapt_command(fleet, command);
		/* Remove the operation id from most commands: there are only a few ids, so almost
		 * all commands would be answered as duplicates. */
		without_op_id = *command;
		without_op_id.op_id = "";
		fleet_apply(fleet, fleet->applied_index + 1,
			    fuzz_random_below(&fuzz, 8) == 0 ? command : &without_op_id, &result);
		assert_non_null(result.message);
		lp__command__free_unpacked(command, NULL);
	}
}

/* Asserts that the saved state can be loaded and is then saved as the same bytes. @return the bytes
 */
static GByteArray *save_and_reload(const fleet_t *fleet)
{
	size_t length;
	size_t second_length;
	uint8_t *saved = fleet_save(fleet, &length);
	uint8_t *second_data;
	GByteArray *sample = g_byte_array_new();
	fleet_t reloaded;

	fleet_init(&reloaded);
	assert_int_equal(fleet_load(&reloaded, saved, length), 0);
	assert_fleet_consistent(&reloaded);
	second_data = fleet_save(&reloaded, &second_length);
	assert_int_equal(length, second_length);
	assert_memory_equal(saved, second_data, length);
	fleet_finish(&reloaded);
	g_byte_array_append(sample, saved, (guint)length);
	free(saved);
	free(second_data);
	return sample;
}

/* Guards against crashes, a VM that is in no pool or in two, and a state that cannot be restored
 * from its own snapshot, after arbitrary commands. */
static void test_fleet_on_arbitrary_commands(void **state)
{
	fuzz_start(FLEET_ROUNDS);
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		fleet_t fleet;

		fleet_init(&fleet);
		apply_arbitrary_commands(&fleet, STEPS_PER_ROUND * 4);
		assert_fleet_consistent(&fleet);
		g_byte_array_unref(save_and_reload(&fleet));
		fleet_finish(&fleet);
	}
	fuzz_finish(&fuzz);
}

/* Guards against crashes when a corrupted snapshot is loaded, or at a later command. */
static void test_fleet_load_on_mutated_snapshots(void **state)
{
	GPtrArray *samples = samples_new();

	fuzz_start(FLEET_ROUNDS * 4);
	for (unsigned i = 0; i < 8; i++) {
		fleet_t fleet;

		fleet_init(&fleet);
		apply_arbitrary_commands(&fleet, STEPS_PER_ROUND * 4);
		g_ptr_array_add(samples, save_and_reload(&fleet));
		fleet_finish(&fleet);
	}
	for (unsigned i = 0; i < fuzz.rounds; i++) {
		GByteArray *mutated = fuzz_mutate(&fuzz, samples);
		fleet_t fleet;

		fleet_init(&fleet);
		if (fleet_load(&fleet, mutated->data, mutated->len) == 0)
			apply_arbitrary_commands(&fleet, STEPS_PER_ROUND / 4);
		assert_fleet_consistent(&fleet);
		fleet_finish(&fleet);
		g_byte_array_unref(mutated);
	}
	g_ptr_array_unref(samples);
	fuzz_finish(&fuzz);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_frame_decoder_on_mutated_streams),
		cmocka_unit_test(test_raft_on_arbitrary_messages),
		cmocka_unit_test(test_claims_on_arbitrary_messages),
		cmocka_unit_test(test_fleet_on_arbitrary_commands),
		cmocka_unit_test(test_fleet_load_on_mutated_snapshots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
