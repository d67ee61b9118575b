#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "replica.h"

#define NODES 5
#define VOTERS 3

/* State machine that counts commands and hashes their operation ids in order. */
typedef struct {
	uint64_t count;
	uint64_t hash;
} state_t;

typedef struct {
	uint32_t node;
	replica_t *replica;
	state_t state;
	char dir[300];
	bool disk;
	bool isolated; /* all messages from and to the node are dropped */
} node_t;

typedef struct {
	uint32_t from;
	uint32_t to;
	size_t length;
	uint8_t *data;
} packet_t;

static struct tevent_context *ev;
static timer_service_t timers;
static GQueue packets = G_QUEUE_INIT;
static node_t nodes[NODES + 1];
static const uint32_t voters[VOTERS] = {1, 2, 3};
static char data_root[64];
static char error_text[512];
/* Messages to this node wait until its replica asks for pending input; 0: none. */
static uint32_t busy_node;
static GQueue busy_packets = G_QUEUE_INIT;
static size_t largest_heartbeat;
/* Whether replicas are started with a voter target, so that any node with a disk may become a voter
 * and silent voters are replaced. */
static bool dynamic_voters;
#define REPLACE_MS 500

static void apply_command(void *arg, uint64_t index, const Lp__Command *command, Lp__Result *result)
{
	state_t *state = arg;

	state->count++;
	state->hash = state->hash * 31 + g_str_hash(command->op_id);
	result->revision = state->count;
}

static uint8_t *save_state(void *arg, size_t *length)
{
	state_t *copy = malloc(sizeof(state_t));

	*copy = *(const state_t *)arg;
	*length = sizeof(state_t);
	return (uint8_t *)copy;
}

static int load_state(void *arg, const uint8_t *data, size_t length)
{
	if (length != sizeof(state_t))
		return -1;
	memcpy(arg, data, length);
	return 0;
}

static int send_packet(void *arg, uint32_t to, const Lp__Envelope *envelope)
{
	const node_t *node = arg;
	packet_t *packet;
	bool is_heartbeat = envelope->body_case == LP__ENVELOPE__BODY_RAFT &&
			    envelope->raft->body_case == LP__RAFT_MESSAGE__BODY_APPEND &&
			    envelope->raft->append->n_entries == 0;

	if (node->isolated || nodes[to].replica == NULL || nodes[to].isolated)
		return -1;
	packet = g_new(packet_t, 1);
	*packet = (packet_t){node->node, to, lp__envelope__get_packed_size(envelope), NULL};
	packet->data = g_malloc(packet->length);
	lp__envelope__pack(envelope, packet->data);
	if (is_heartbeat && packet->length > largest_heartbeat)
		largest_heartbeat = packet->length;
	g_queue_push_tail(&packets, packet);
	return 0;
}

static void deliver_packet(packet_t *packet)
{
	Lp__Envelope *envelope = lp__envelope__unpack(NULL, packet->length, packet->data);

	if (nodes[packet->to].replica != NULL && !nodes[packet->to].isolated)
		replica_receive(nodes[packet->to].replica, packet->from, envelope);
	lp__envelope__free_unpacked(envelope, NULL);
	g_free(packet->data);
	g_free(packet);
}

static void deliver(void)
{
	packet_t *packet;

	while ((packet = g_queue_pop_head(&packets)) != NULL) {
		if (packet->to == busy_node)
			g_queue_push_tail(&busy_packets, packet);
		else
			deliver_packet(packet);
	}
}

static void receive_pending(void *arg)
{
	const node_t *node = arg;
	packet_t *packet;

	while (node->node == busy_node && (packet = g_queue_pop_head(&busy_packets)) != NULL)
		deliver_packet(packet);
}

static void announce_peers(uint32_t a, uint32_t b)
{
	if (a != b && nodes[a].replica != NULL && nodes[b].replica != NULL)
		replica_peer_up(nodes[a].replica, b, replica_id(nodes[b].replica), nodes[b].disk);
}

static bool start_replica(uint32_t n)
{
	node_t *node = &nodes[n];
	const replica_state_machine_t state_machine = {.apply = apply_command,
						       .save = save_state,
						       .load = load_state,
						       .arg = &node->state};
	const replica_config_t config = {
		.node_id = n,
		.data_dir = node->disk ? node->dir : NULL,
		.founding_voters = voters,
		.founding_voter_count = VOTERS,
		.heartbeat_ms = 40,
		.election_min_ms = 160,
		.lease_ms = 120,
		.snapshot_every = 50,
		.seed = n,
		.receive_pending = receive_pending,
		.voter_target = dynamic_voters ? VOTERS : 0,
		.replace_ms = REPLACE_MS,
	};

	node->state = (state_t){0};
	node->isolated = false;
	node->replica = replica_create(NULL, &timers, &config, &state_machine, send_packet, node,
				       error_text, sizeof(error_text));
	for (uint32_t other = 1; other <= NODES && node->replica != NULL; other++) {
		announce_peers(n, other);
		announce_peers(other, n);
	}
	return node->replica != NULL;
}

static void stop_replica(uint32_t n)
{
	if (nodes[n].replica != NULL)
		replica_destroy(nodes[n].replica);
	nodes[n].replica = NULL;
}

static void delete_data_dir(const char *dir)
{
	static const char *const names[] = {"log", "snapshot", "identity"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path = g_build_filename(dir, names[i], NULL);

		g_unlink(path);
	}
	g_rmdir(dir);
}

/* Runs the event loop until the condition holds; fails the test after 10 s. */
#define RUN_UNTIL(condition)                                          \
	do {                                                          \
		uint64_t run_end_us = clock_now_us() + 10 * US_PER_S; \
		while (!(condition)) {                                \
			assert_true(clock_now_us() < run_end_us);     \
			assert_int_equal(tevent_loop_once(ev), 0);    \
			deliver();                                    \
		}                                                     \
	} while (0)

static void run_for(uint64_t ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	RUN_UNTIL(clock_now_us() >= end_us);
}

static uint32_t leader_with_lease(void)
{
	for (uint32_t n = 1; n <= NODES; n++) {
		if (nodes[n].replica != NULL && !nodes[n].isolated &&
		    replica_has_lease(nodes[n].replica))
			return n;
	}
	return 0;
}

typedef struct {
	int ok;
	int failed;
	Lp__ResultCode last;
} outcomes_t;

static void on_done(void *arg, const Lp__Result *result)
{
	outcomes_t *outcomes = arg;

	outcomes->last = result->code;
	if (result->code == LP__RESULT_CODE__RESULT_OK)
		outcomes->ok++;
	else
		outcomes->failed++;
}

static void propose(uint32_t n, int number, uint32_t timeout_ms, outcomes_t *outcomes)
{
	Lp__Command command = LP__COMMAND__INIT;
	char op_id[32];

	snprintf(op_id, sizeof(op_id), "op-%d", number);
	command.op_id = op_id;
	replica_propose(nodes[n].replica, &command, timeout_ms, on_done, outcomes);
}

static void propose_many(uint32_t n, int count)
{
	outcomes_t outcomes = {0};

	for (int i = 0; i < count; i++)
		propose(n, i, 5000, &outcomes);
	RUN_UNTIL(outcomes.ok + outcomes.failed == count);
	assert_int_equal(outcomes.ok, count);
}

/* True when there is a leader and all running replicas have applied the same commands as it has. */
static bool converged(void)
{
	uint32_t leader_node = leader_with_lease();

	for (uint32_t n = 1; n <= NODES; n++) {
		if (leader_node == 0 || (nodes[n].replica != NULL &&
					 (replica_applied(nodes[n].replica) !=
						  replica_applied(nodes[leader_node].replica) ||
					  nodes[n].state.hash != nodes[leader_node].state.hash ||
					  nodes[n].state.count != nodes[leader_node].state.count)))
			return false;
	}
	return true;
}

static int set_up(void **state)
{
	strcpy(data_root, "/tmp/lp-replica-XXXXXX");
	assert_non_null(g_mkdtemp(data_root));
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	for (uint32_t n = 1; n <= NODES; n++) {
		nodes[n] = (node_t){.node = n, .disk = n <= VOTERS};
		snprintf(nodes[n].dir, sizeof(nodes[n].dir), "%s/%u", data_root, n);
	}
	for (uint32_t n = 1; n <= VOTERS; n++)
		assert_int_equal(
			replica_init_data_dir(nodes[n].dir, n, error_text, sizeof(error_text)), 0);
	for (uint32_t n = 1; n <= NODES; n++)
		assert_true(start_replica(n));
	RUN_UNTIL(leader_with_lease() != 0);
	return 0;
}

static int set_up_dynamic_voters(void **state)
{
	dynamic_voters = true;
	return set_up(state);
}

static int tear_down(void **state)
{
	packet_t *packet;

	dynamic_voters = false;
	busy_node = 0;
	while ((packet = g_queue_pop_head(&busy_packets)) != NULL)
		deliver_packet(packet);
	for (uint32_t n = 1; n <= NODES; n++) {
		stop_replica(n);
		delete_data_dir(nodes[n].dir);
	}
	deliver();
	timer_service_finish(&timers);
	talloc_free(ev);
	return g_rmdir(data_root);
}

/* Guards against a leader that ends its term although the acknowledgements have arrived, because it
 * judges the timeout before it has read them. */
static void test_arrived_acknowledgements_keep_the_term(void **state)
{
	uint32_t leader = leader_with_lease();
	uint64_t term = replica_term(nodes[leader].replica);

	busy_node = leader;
	run_for(1000);
	assert_true(replica_is_leader(nodes[leader].replica));
	assert_int_equal(replica_term(nodes[leader].replica), term);
}

static uint32_t any_follower(void)
{
	return leader_with_lease() % VOTERS + 1;
}

/* Guards against proposals that are lost on the way from followers and learners to the leader, and
 * against heartbeats of more than 80 bytes, the budget for control traffic. */
static void test_proposals_from_every_node_reach_all(void **state)
{
	for (uint32_t n = 1; n <= NODES; n++)
		propose_many(n, 60);
	RUN_UNTIL(converged());
	assert_int_equal(nodes[5].state.count, 5 * 60);
	print_message("largest heartbeat: %zu bytes\n", largest_heartbeat);
	assert_in_range(largest_heartbeat, 1, 80);
}

/* Guards against initialising a data directory twice, which would repeat a replica's identity. */
static void test_init_of_existing_data_dir_is_refused(void **state)
{
	assert_int_equal(replica_init_data_dir(nodes[1].dir, 1, error_text, sizeof(error_text)),
			 -1);
}

/* Guards against losing entries in a failover or restart, and against a slow election. */
static void test_leader_failure_and_restart(void **state)
{
	uint32_t old = leader_with_lease();
	uint64_t since_us;

	propose_many(old, 30);
	stop_replica(old);
	since_us = clock_now_us();
	RUN_UNTIL(leader_with_lease() != 0);
	print_message("new leader after %.2f of the minimum election timeout\n",
		      (double)(clock_now_us() - since_us) / (160.0 * US_PER_MS));
	propose_many(leader_with_lease(), 200);
	assert_true(start_replica(old));
	RUN_UNTIL(converged());
	assert_int_equal(nodes[old].state.count, 230);
	for (uint32_t n = 1; n <= VOTERS; n++)
		stop_replica(n);
	for (uint32_t n = 1; n <= VOTERS; n++)
		assert_true(start_replica(n));
	RUN_UNTIL(leader_with_lease() != 0 && converged());
	assert_int_equal(nodes[leader_with_lease()].state.count, 230);
}

/* Guards against a replica that lost its disk but still votes under its old identity, or that never
 * becomes a voter again. */
static void test_lost_disk_returns_as_learner_and_is_promoted(void **state)
{
	uint32_t lost = any_follower();
	uint32_t other;

	propose_many(leader_with_lease(), 130);
	stop_replica(lost);
	delete_data_dir(nodes[lost].dir);
	assert_true(start_replica(lost));
	assert_int_not_equal(replica_id(nodes[lost].replica), 1);
	RUN_UNTIL(converged());
	run_for(300);
	/* Without another voter, the group has a majority only if the new identity has become a
	 * voter. */
	other = 6 - lost - leader_with_lease();
	stop_replica(other);
	run_for(400);
	RUN_UNTIL(leader_with_lease() != 0);
	propose_many(lost, 10);
	assert_int_equal(nodes[lost].state.count, 140);
	/* Heartbeats to the new replica must stay within the budget too: its random id takes more
	 * bytes than a founding voter's. */
	print_message("largest heartbeat: %zu bytes\n", largest_heartbeat);
	assert_in_range(largest_heartbeat, 1, 80);
}

/* Guards against counting the time before a member was added as its silence. The member was then
 * removed at once, repeatedly, and a second loss some seconds later stopped the group. */
static void test_new_member_is_not_removed_as_silent(void **state)
{
	uint32_t lost = any_follower();
	uint32_t other;

	run_for(REPLACE_MS + 200);
	propose_many(leader_with_lease(), 20);
	stop_replica(lost);
	delete_data_dir(nodes[lost].dir);
	assert_true(start_replica(lost));
	RUN_UNTIL(converged());
	run_for(300);
	other = 6 - lost - leader_with_lease();
	stop_replica(other);
	run_for(400);
	RUN_UNTIL(leader_with_lease() != 0);
	propose_many(lost, 10);
}

/* Guards against a group that keeps a voter that never returns, although a learner has caught up
 * and can replace it. */
static void test_silent_voter_is_replaced_by_learner(void **state)
{
	uint32_t lost = any_follower();
	uint32_t second_lost;

	stop_replica(4);
	nodes[4].disk = true;
	assert_true(start_replica(4));
	RUN_UNTIL(converged());
	stop_replica(lost);
	run_for(REPLACE_MS + 600);
	second_lost = 6 - lost - leader_with_lease();
	stop_replica(second_lost);
	run_for(400);
	RUN_UNTIL(leader_with_lease() != 0);
	propose_many(leader_with_lease(), 10);
}

/* Guards against accepting a command that is too large for any peer connection and would block all
 * later log entries. */
static void test_too_large_command_is_refused(void **state)
{
	g_autofree char *note = g_strnfill((gsize)800 * 1024, 'x');
	Lp__ApplyTemplate apply_template = LP__APPLY_TEMPLATE__INIT;
	Lp__Command command = LP__COMMAND__INIT;
	outcomes_t outcomes = {0};

	apply_template.note = note;
	command.body_case = LP__COMMAND__BODY_APPLY_TEMPLATE;
	command.apply_template = &apply_template;
	replica_propose(nodes[1].replica, &command, 1000, on_done, &outcomes);
	RUN_UNTIL(outcomes.failed == 1);
	assert_int_equal(outcomes.last, LP__RESULT_CODE__RESULT_INVALID);
}

/* Guards against a leader without a majority that reports a command as committed, and against
 * applying a command after it was reported as certainly not applied. */
static void test_cut_off_leader_commits_nothing(void **state)
{
	uint32_t old = leader_with_lease();
	outcomes_t outcomes = {0};

	nodes[old].isolated = true;
	propose(old, 1, 300, &outcomes);
	RUN_UNTIL(outcomes.ok + outcomes.failed == 1);
	assert_int_equal(outcomes.last, LP__RESULT_CODE__RESULT_UNKNOWN);
	assert_false(replica_has_lease(nodes[old].replica));
	RUN_UNTIL(!replica_is_leader(nodes[old].replica));
	propose(old, 2, 100, &outcomes);
	RUN_UNTIL(outcomes.failed == 2);
	assert_int_equal(outcomes.last, LP__RESULT_CODE__RESULT_UNAVAILABLE);
	RUN_UNTIL(leader_with_lease() != 0);
	propose_many(leader_with_lease(), 5);
	nodes[old].isolated = false;
	RUN_UNTIL(converged());
	assert_int_equal(nodes[old].state.count, 5);
}

/* Guards against a replica that leads or acknowledges entries while it cannot write its disk, and
 * against one that does not recover when it can write again. */
static void test_full_disk_steps_down_and_recovers(void **state)
{
	uint32_t full_node = leader_with_lease();
	struct rlimit old;
	struct rlimit limit;

	signal(SIGXFSZ, SIG_IGN);
	getrlimit(RLIMIT_FSIZE, &old);
	limit = old;
	limit.rlim_cur = 1;
	setrlimit(RLIMIT_FSIZE, &limit);
	{
		outcomes_t outcomes = {0};

		propose(full_node, 1, 200, &outcomes);
		RUN_UNTIL(outcomes.failed == 1);
		assert_int_equal(outcomes.last, LP__RESULT_CODE__RESULT_UNKNOWN);
	}
	assert_true(replica_disk_failed(nodes[full_node].replica));
	assert_false(replica_is_leader(nodes[full_node].replica));
	run_for(500);
	assert_int_equal(leader_with_lease(), 0);
	setrlimit(RLIMIT_FSIZE, &old);
	RUN_UNTIL(leader_with_lease() != 0 && !replica_disk_failed(nodes[full_node].replica));
	propose_many(full_node, 3);
	stop_replica(full_node);
	assert_true(start_replica(full_node));
	RUN_UNTIL(converged());
}

/* Guards against a log that is limited only by its number of entries, so that large commands fill
 * the memory of every process. The isolated replica must catch up from a snapshot. */
static void test_log_bytes_are_bounded(void **state)
{
	const off_t limit = 5 << 20;
	const size_t size = 200000;
	const int count = 45;
	Lp__Command command = LP__COMMAND__INIT;
	outcomes_t outcomes = {0};
	uint32_t lagging = any_follower();

	nodes[lagging].isolated = true;
	command.op_id = g_strnfill(size, 'x');
	for (int i = 0; i < count; i++) {
		command.op_id[0] = (char)('A' + i % 26);
		RUN_UNTIL(leader_with_lease() != 0);
		replica_propose(nodes[leader_with_lease()].replica, &command, 5000, on_done,
				&outcomes);
		RUN_UNTIL(outcomes.ok + outcomes.failed == i + 1);
	}
	assert_int_equal(outcomes.ok, count);
	nodes[lagging].isolated = false;
	RUN_UNTIL(converged());
	assert_int_equal(nodes[lagging].state.count, count);
	for (uint32_t n = 1; n <= VOTERS; n++) {
		g_autofree char *path = g_build_filename(nodes[n].dir, "log", NULL);
		struct stat info;

		assert_int_equal(stat(path, &info), 0);
		print_message("log of node %u: %lld bytes\n", n, (long long)info.st_size);
		assert_true(info.st_size < limit);
	}
	g_free(command.op_id);
}

static off_t log_size(uint32_t n)
{
	g_autofree char *path = g_build_filename(nodes[n].dir, "log", NULL);
	struct stat info;

	return stat(path, &info) == 0 ? info.st_size : 0;
}

/* Guards against writing entries that the snapshot covers to the log file again, which blocked the
 * event loop of a small member for a quarter of a second. Of 60 entries of 1,000 bytes, the
 * snapshot covers 50. These stay in memory only. */
static void test_log_file_starts_at_the_snapshot(void **state)
{
	const size_t size = 1000;
	const int count = 60;
	const off_t limit = 30 * 1000;
	Lp__Command command = LP__COMMAND__INIT;
	outcomes_t outcomes = {0};
	uint32_t restarted;

	command.op_id = g_strnfill(size, 'x');
	RUN_UNTIL(leader_with_lease() != 0);
	for (int i = 0; i < count; i++) {
		command.op_id[0] = (char)('0' + i);
		replica_propose(nodes[leader_with_lease()].replica, &command, 5000, on_done,
				&outcomes);
		RUN_UNTIL(outcomes.ok + outcomes.failed == i + 1);
	}
	assert_int_equal(outcomes.ok, count);
	RUN_UNTIL(converged());
	for (uint32_t n = 1; n <= VOTERS; n++)
		RUN_UNTIL(log_size(n) < limit);
	restarted = any_follower();
	stop_replica(restarted);
	assert_true(start_replica(restarted));
	RUN_UNTIL(converged());
	assert_int_equal(nodes[restarted].state.count, count);
	g_free(command.op_id);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_proposals_from_every_node_reach_all, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_arrived_acknowledgements_keep_the_term, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_init_of_existing_data_dir_is_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_leader_failure_and_restart, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_lost_disk_returns_as_learner_and_is_promoted,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_new_member_is_not_removed_as_silent,
						set_up_dynamic_voters, tear_down),
		cmocka_unit_test_setup_teardown(test_silent_voter_is_replaced_by_learner,
						set_up_dynamic_voters, tear_down),
		cmocka_unit_test_setup_teardown(test_log_bytes_are_bounded, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_log_file_starts_at_the_snapshot, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_too_large_command_is_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_cut_off_leader_commits_nothing, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_full_disk_steps_down_and_recovers, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
