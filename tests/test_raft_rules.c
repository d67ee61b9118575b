#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <talloc.h>

#include "clock.h"
#include "raft.h"

/* Whether the Raft core granted a vote in reply to the latest message. */
static bool last_vote_granted;

static void receive_from(raft_t *raft, uint32_t node, Lp__RaftMessage message, uint64_t now_us)
{
	Lp__ReplicaId from = LP__REPLICA_ID__INIT;
	Lp__ReplicaId to = LP__REPLICA_ID__INIT;
	raft_action_t *action;

	from.node_id = node;
	from.replica_id = 1;
	to.node_id = 1;
	to.replica_id = 1;
	message.from = &from;
	message.to = &to;
	raft_receive(raft, now_us, &message);
	last_vote_granted = false;
	while ((action = raft_pop_action(raft)) != NULL) {
		if (action->type == RAFT_SEND &&
		    action->send.message->body_case == LP__RAFT_MESSAGE__BODY_VOTE_REPLY)
			last_vote_granted = action->send.message->vote_reply->granted;
		talloc_free(action);
	}
	raft_mark_synced(raft, now_us);
}

static void receive_vote_grant(raft_t *raft, uint64_t term, bool pre_vote, uint64_t now_us)
{
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__VoteReply reply = LP__VOTE_REPLY__INIT;

	reply.term = term;
	reply.pre_vote = pre_vote;
	reply.granted = true;
	message.body_case = LP__RAFT_MESSAGE__BODY_VOTE_REPLY;
	message.vote_reply = &reply;
	receive_from(raft, 2, message, now_us);
}

static void receive_append_success(raft_t *raft, uint64_t term, uint64_t match, uint64_t now_us)
{
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__AppendReply reply = LP__APPEND_REPLY__INIT;

	reply.term = term;
	reply.success = true;
	reply.match = match;
	reply.round = 1;
	message.body_case = LP__RAFT_MESSAGE__BODY_APPEND_REPLY;
	message.append_reply = &reply;
	receive_from(raft, 2, message, now_us);
}

/* Guards against committing an entry of an earlier term because a majority holds it. The random
 * schedules of test_raft rarely detect this fault. */
static void test_entry_of_earlier_term_is_not_committed_by_count(void **state)
{
	const raft_options_t options = {
		.self = {1, 1},
		.has_disk = true,
		.heartbeat_us = 200 * US_PER_MS,
		.election_min_us = 800 * US_PER_MS,
		.lease_us = 600 * US_PER_MS,
	};
	raft_config_t config = {.members = {{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}},
				.count = 3};
	Lp__LogEntry entry = LP__LOG_ENTRY__INIT;
	raft_t *raft = raft_create(NULL, &options);

	entry.index = 1;
	entry.term = 1;
	raft_restore_base(raft, 0, 0, &config);
	raft_restore_vote(raft, 1, (raft_id_t){0});
	assert_int_equal(raft_restore_entry(raft, &entry), 0);
	raft_start(raft, 0);
	raft_tick(raft, 2 * US_PER_S);
	receive_vote_grant(raft, 2, true, 2 * US_PER_S);
	receive_vote_grant(raft, 2, false, 2 * US_PER_S);
	assert_int_equal(raft_role(raft), RAFT_LEADER);
	receive_append_success(raft, 2, 1, 2 * US_PER_S);
	assert_int_equal(raft_committed(raft), 0);
	assert_false(raft_has_lease(raft, 2 * US_PER_S));
	assert_true(raft_is_sole_leader(raft, 2 * US_PER_S));
	assert_false(raft_is_sole_leader(raft, 2 * US_PER_S + options.lease_us));
	receive_append_success(raft, 2, 2, 2 * US_PER_S);
	assert_int_equal(raft_committed(raft), 2);
	raft_mark_applied(raft, 2);
	assert_true(raft_has_lease(raft, 2 * US_PER_S));
	assert_false(raft_has_lease(raft, 2 * US_PER_S + options.lease_us));
	talloc_free(raft);
}

/* Guards against a leader that ends its term because its own event loop was busy: an
 * acknowledgement of the latest heartbeat means that no heartbeat is unanswered, whatever time has
 * passed since. */
static void test_leader_keeps_its_term_when_no_heartbeat_is_unanswered(void **state)
{
	const raft_options_t options = {
		.self = {1, 1},
		.has_disk = true,
		.heartbeat_us = 120 * US_PER_MS,
		.election_min_us = 500 * US_PER_MS,
		.lease_us = 400 * US_PER_MS,
	};
	raft_config_t config = {.members = {{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}},
				.count = 3};
	const uint64_t elected_us = 2 * US_PER_S;
	const uint64_t busy_until_us = elected_us + 600 * US_PER_MS;
	raft_t *raft = raft_create(NULL, &options);

	raft_restore_base(raft, 0, 0, &config);
	raft_start(raft, 0);
	raft_tick(raft, elected_us);
	receive_vote_grant(raft, 1, true, elected_us);
	receive_vote_grant(raft, 1, false, elected_us);
	assert_int_equal(raft_role(raft), RAFT_LEADER);
	receive_append_success(raft, 1, 1, busy_until_us);
	raft_mark_applied(raft, 1);
	raft_tick(raft, busy_until_us);
	assert_int_equal(raft_role(raft), RAFT_LEADER);
	assert_false(raft_has_lease(raft, busy_until_us));
	/* The heartbeat that this tick has sent remains unanswered. */
	raft_tick(raft, busy_until_us + options.election_min_us);
	assert_int_equal(raft_role(raft), RAFT_LEADER);
	raft_tick(raft, busy_until_us + options.election_min_us + 1);
	assert_int_equal(raft_role(raft), RAFT_FOLLOWER);
	talloc_free(raft);
}

/* Passes a heartbeat of node 2 to the core. @return the reply, and sets after_sync */
static Lp__AppendReply receive_append(raft_t *raft, uint64_t term, uint64_t prev_index,
				      size_t entry_count, bool *after_sync)
{
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__AppendRequest append = LP__APPEND_REQUEST__INIT;
	Lp__AppendReply reply = LP__APPEND_REPLY__INIT;
	Lp__LogEntry entry = LP__LOG_ENTRY__INIT;
	Lp__LogEntry *entries[] = {&entry};
	Lp__ReplicaId from = {PROTOBUF_C_MESSAGE_INIT(&lp__replica_id__descriptor), 2, 1};
	Lp__ReplicaId to = {PROTOBUF_C_MESSAGE_INIT(&lp__replica_id__descriptor), 1, 1};
	raft_action_t *action;

	entry.index = prev_index + 1;
	entry.term = term;
	append.term = term;
	append.prev_index = prev_index;
	append.prev_term = prev_index > 0 ? term : 0;
	append.n_entries = entry_count;
	append.entries = entries;
	message.from = &from;
	message.to = &to;
	message.body_case = LP__RAFT_MESSAGE__BODY_APPEND;
	message.append = &append;
	raft_receive(raft, US_PER_S, &message);
	while ((action = raft_pop_action(raft)) != NULL) {
		if (action->type == RAFT_SEND) {
			reply.success = action->send.message->append_reply->success;
			reply.match = action->send.message->append_reply->match;
			*after_sync = action->send.after_sync;
		}
		talloc_free(action);
	}
	return reply;
}

/* Guards against a leader that loses its lease while the disks of its followers are slow, and
 * against the acknowledgement of entries, terms or votes that are not durable. */
static void test_heartbeat_is_acknowledged_while_the_disk_writes(void **state)
{
	const raft_options_t options = {
		.self = {1, 1}, .has_disk = true, .heartbeat_us = 200, .election_min_us = 800};
	raft_config_t config = {.members = {{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}},
				.count = 3};
	raft_t *raft = raft_create(NULL, &options);
	Lp__AppendReply reply;
	bool after_sync = false;

	raft_restore_base(raft, 0, 0, &config);
	raft_start(raft, 0);
	receive_append(raft, 1, 0, 0, &after_sync);
	assert_true(after_sync); /* term 1 is not durable yet */
	raft_mark_synced(raft, US_PER_S);
	reply = receive_append(raft, 1, 0, 1, &after_sync);
	assert_true(after_sync);
	assert_int_equal(reply.match, 1);
	reply = receive_append(raft, 1, 1, 0, &after_sync);
	assert_false(after_sync);
	assert_true(reply.success);
	assert_int_equal(reply.match, 0);
	raft_mark_synced_to(raft, 1, true, US_PER_S);
	reply = receive_append(raft, 1, 1, 0, &after_sync);
	assert_false(after_sync);
	assert_int_equal(reply.match, 1);
	raft_mark_synced_to(raft, 9, true, US_PER_S);
	receive_append(raft, 1, 1, 1, &after_sync);
	reply = receive_append(raft, 1, 2, 0, &after_sync);
	assert_int_equal(reply.match, 1); /* index 9 was beyond the log's end */
	receive_append(raft, 2, 1, 0, &after_sync);
	assert_true(after_sync); /* term 2 is not durable yet */
	talloc_free(raft);
}

static void receive_vote_request(raft_t *raft, bool pre_vote, uint64_t now_us)
{
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__VoteRequest request = LP__VOTE_REQUEST__INIT;

	request.term = 9;
	request.pre_vote = pre_vote;
	message.body_case = LP__RAFT_MESSAGE__BODY_VOTE;
	message.vote = &request;
	receive_from(raft, 3, message, now_us);
}

/* Guards against granting a vote while a leader's lease may still be valid: after the leader's
 * heartbeat, and after a restart, which forgets when the last heartbeat arrived. */
static void test_no_vote_is_granted_during_a_possible_lease(void **state)
{
	const raft_options_t options = {
		.self = {1, 1}, .has_disk = true, .heartbeat_us = 200, .election_min_us = 800};
	raft_config_t config = {.members = {{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}},
				.count = 3};
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__AppendRequest heartbeat = LP__APPEND_REQUEST__INIT;
	raft_t *raft = raft_create(NULL, &options);

	raft_restore_base(raft, 0, 0, &config);
	raft_start(raft, 1000);
	receive_vote_request(raft, true, 1799);
	assert_false(last_vote_granted);
	receive_vote_request(raft, false, 1799);
	assert_false(last_vote_granted);
	receive_vote_request(raft, true, 1800);
	assert_true(last_vote_granted);
	heartbeat.term = 1;
	message.body_case = LP__RAFT_MESSAGE__BODY_APPEND;
	message.append = &heartbeat;
	receive_from(raft, 2, message, 2000);
	receive_vote_request(raft, false, 2799);
	assert_false(last_vote_granted);
	assert_int_equal(raft_term(raft), 1);
	receive_vote_request(raft, false, 2800);
	assert_true(last_vote_granted);
	raft_set_disk_writable(raft, 9000, false);
	receive_vote_request(raft, false, 9000);
	assert_false(last_vote_granted);
	talloc_free(raft);
}

/* Guards against accepting a damaged message with a term or index so high that the next one wraps
 * around to 0 (found by test_fuzz_wire with seed 20260101). */
static void test_too_high_term_or_index_is_ignored(void **state)
{
	const raft_options_t options = {
		.self = {.node = 1, .replica = 1},
		.has_disk = true,
		.heartbeat_us = 200,
		.election_min_us = 800,
		.lease_us = 600,
		.seed = 1,
	};
	Lp__RaftMessage message = LP__RAFT_MESSAGE__INIT;
	Lp__AppendRequest append = LP__APPEND_REQUEST__INIT;
	Lp__SnapshotChunk chunk = LP__SNAPSHOT_CHUNK__INIT;
	Lp__RaftConfig config = LP__RAFT_CONFIG__INIT;
	raft_t *raft = raft_create(NULL, &options);

	raft_start(raft, 1000);
	append.term = UINT64_MAX;
	message.body_case = LP__RAFT_MESSAGE__BODY_APPEND;
	message.append = &append;
	receive_from(raft, 2, message, 1001);
	assert_int_equal(raft_term(raft), 0);
	chunk.term = 1;
	chunk.last_index = UINT64_MAX;
	chunk.config = &config;
	chunk.done = true;
	message.body_case = LP__RAFT_MESSAGE__BODY_SNAPSHOT;
	message.snapshot = &chunk;
	receive_from(raft, 2, message, 1002);
	assert_int_equal(raft_last_index(raft), 0);
	assert_int_equal(raft_first_index(raft), 1);
	talloc_free(raft);
}

/* Guards against elections that all end before the votes arrive, while a log write takes 150 ms:
 * the candidate's vote and the voter's are written one after the other. */
static void test_candidate_waits_for_votes_of_slow_disks(void **state)
{
	const raft_options_t options = {.self = {1, 1},
					.has_disk = true,
					.heartbeat_us = 120 * US_PER_MS,
					.election_min_us = 500 * US_PER_MS,
					.lease_us = 400 * US_PER_MS,
					.seed = 1};
	const raft_config_t config = {.members = {{{1, 1}, true}, {{2, 1}, true}, {{3, 1}, true}},
				      .count = 3};
	uint64_t elected_us = 2 * US_PER_S;
	uint64_t votes_us = elected_us + 310 * US_PER_MS;
	raft_t *raft = raft_create(NULL, &options);

	raft_restore_base(raft, 0, 0, &config);
	raft_start(raft, 0);
	raft_tick(raft, elected_us);
	receive_vote_grant(raft, 1, true, elected_us);
	for (uint64_t now_us = elected_us; now_us < votes_us; now_us += 20 * US_PER_MS)
		raft_tick(raft, now_us);
	receive_vote_grant(raft, 1, false, votes_us);
	assert_int_equal(raft_role(raft), RAFT_LEADER);
	assert_int_equal(raft_term(raft), 1);
	talloc_free(raft);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_candidate_waits_for_votes_of_slow_disks),
		cmocka_unit_test(test_entry_of_earlier_term_is_not_committed_by_count),
		cmocka_unit_test(test_heartbeat_is_acknowledged_while_the_disk_writes),
		cmocka_unit_test(test_leader_keeps_its_term_when_no_heartbeat_is_unanswered),
		cmocka_unit_test(test_no_vote_is_granted_during_a_possible_lease),
		cmocka_unit_test(test_too_high_term_or_index_is_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
