#define G_LOG_DOMAIN "node"

#include "batch_node_internal.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/random.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "log.h"

/* Heartbeat interval, election timeout and leader lease. With these values, an election takes 0.5
 * to 1 s, well within VM_LEASE_MS. Disk writes do not delay the heartbeats. */
#define HEARTBEAT_MS 120
#define ELECTION_MIN_MS 500
#define LEADER_LEASE_MS 400
/* A snapshot is taken when the log has this many entries or bytes. Lower limits would block the
 * event loop more often, because packing the state blocks it; with these limits, replaying the 8 MB
 * log after a restart takes a slow core about a second. */
#define SNAPSHOT_ENTRIES 8000
#define LOG_BYTES (8U << 20)
/* Commands proposed within this time are sent to the followers in one message, because a message
 * costs as much as ten log entries. */
#define FLUSH_DELAY_MS 2
/* Time reserved for replacing a lost voter: a membership change takes two log entries, and sending
 * the snapshot to the new member takes some 100 ms. */
#define REPLACE_MARGIN_MS 1500
/* A voter is not replaced before it has been silent for this long: a restarted voter responds again
 * sooner. */
#define MIN_VOTER_TIMEOUT_MS 1500
/* Interval of the LeaderHint messages; an edge process is ready while it receives them. */
#define HINT_INTERVAL_MS 250
#define LEADER_TICK_MS 25
/* Gaps of at least this length between two leader ticks are logged, because peers and clients
 * notice them. */
#define TICK_GAP_LOGGED_US (200 * US_PER_MS)
/* Time after which the outcome of a command that is not committed is reported as unknown. Longer
 * than an election, and shorter than the 4 s that an operator waits for the reply to a request. */
#define PROPOSE_TIMEOUT_MS 3000
/* Duration of the lease for the tasks on a VM. Long enough to outlast a change of the leader,
 * which takes up to 1 s for the election, or longer when a second vote is needed, even if the lease
 * was last renewed 1 s before; short enough that the tasks of a lost VM soon run elsewhere. */
#define VM_LEASE_MS 5000
/* Longest delay after which a VM can still carry out a request that got no response. */
#define LATE_REQUEST_MS 12000
/* Assumed error of VM clocks: they can run 2% slow, and 1% more covers the rounding when the
 * leader estimates their time. */
#define CLOCK_SKEW_PERCENT 3
/* Longest time that a hold request waits at the VM for a run to finish. */
#define HOLD_WAIT_MS 1000
/* Greatest age of a cached VM report that a new leader uses. */
#define CACHED_REPORT_MAX_AGE_US (8 * US_PER_S)
/* Time allowed for the network delay of a VM's report: a VM counts as silent when this time has
 * passed after the report interval. */
#define REPORT_DELAY_MS 700

/* --- leader --- */

static void add_cached_report(void *arg, const vm_report_t *report, uint64_t received_us)
{
	batch_leader_report(arg, report, received_us);
}

static void start_leading(batch_node_t *node, uint64_t term)
{
	batch_leader_activate(node->leader, term);
	vm_cache_foreach(&node->report_cache, clock_now_us(), CACHED_REPORT_MAX_AGE_US,
			 add_cached_report, node->leader);
	node->active_term = term;
	node->tick_limit = (duty_limit_t){0};
	node->placement_limit = (duty_limit_t){0};
}

static void update_leadership(batch_node_t *node)
{
	uint64_t term = replica_term(node->replica);

	if (node->active_term != 0 &&
	    (!replica_is_leader(node->replica) || term != node->active_term)) {
		batch_leader_deactivate(node->leader);
		node->active_term = 0;
	}
	if (node->active_term == 0 && replica_is_leader(node->replica) &&
	    replica_has_lease(node->replica))
		start_leading(node, term);
}

static void record_tick_gap(batch_node_t *node, uint64_t now_us)
{
	uint64_t gap_us = node->last_tick_us != 0 ? now_us - node->last_tick_us : 0;
	char ms[16];

	node->last_tick_us = now_us;
	metrics_record_us(node->tick_gap, gap_us);
	if (gap_us < TICK_GAP_LOGGED_US)
		return;
	g_snprintf(ms, sizeof(ms), "%u", (unsigned)(gap_us / US_PER_MS));
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("ms", ms), "event loop was blocked");
}

/* Runs a pass of the leader unless it is too early after the preceding one of its kind; a later
 * event then makes up for it. */
static void run_pass(batch_node_t *node, duty_limit_t *limit, void (*pass)(batch_leader_t *leader))
{
	uint64_t started_us = clock_now_us();

	if (!duty_limit_may_start(limit, started_us)) {
		metrics_add(node->passes_deferred, 1);
		return;
	}
	pass(node->leader);
	duty_limit_record(limit, started_us, clock_now_us());
}

static void on_leader_tick(void *arg, uint64_t now_us)
{
	batch_node_t *node = arg;

	record_tick_gap(node, now_us);
	metrics_record_us(node->input_delay, vm_relay_input_delay_us(node->relay));
	batch_leader_set_input_delay(node->leader, vm_relay_input_delay_us(node->relay));
	update_leadership(node);
	if (node->active_term != 0 && replica_has_lease(node->replica))
		run_pass(node, &node->tick_limit, batch_leader_tick);
	else
		batch_leader_observe(node->leader);
}

static void place_tasks(struct tevent_context *ev, struct tevent_immediate *im, void *private_data)
{
	batch_node_t *node = private_data;

	node->placement_scheduled = false;
	update_leadership(node);
	if (node->active_term != 0 && replica_has_lease(node->replica))
		run_pass(node, &node->placement_limit, batch_leader_place_tasks);
}

static void schedule_placement(batch_node_t *node)
{
	if (node->placement_scheduled)
		return;
	node->placement_scheduled = true;
	tevent_schedule_immediate(node->placement_event, node->ev, place_tasks, node);
}

/* --- replicated log --- */

typedef struct {
	batch_node_t *node;
	batch_proposed_fn done;
	void *arg;
	uint64_t proposed_us;
} proposal_t;

static void on_proposed(void *arg, const Lp__Result *result)
{
	g_autofree proposal_t *proposal = arg;

	metrics_record_us(proposal->node->commit_latency, clock_now_us() - proposal->proposed_us);
	proposal->done(proposal->arg, result->code);
	schedule_placement(proposal->node);
}

void batch_node_propose(batch_node_t *node, Lp__BatchCommand *command, batch_proposed_fn done,
			void *arg)
{
	Lp__Command envelope = LP__COMMAND__INIT;
	proposal_t *proposal = g_new0(proposal_t, 1);

	*proposal =
		(proposal_t){.node = node, .done = done, .arg = arg, .proposed_us = clock_now_us()};
	envelope.time_ms = clock_wall_ms();
	envelope.body_case = LP__COMMAND__BODY_BATCH;
	envelope.batch = command;
	replica_propose(node->replica, &envelope, PROPOSE_TIMEOUT_MS, on_proposed, proposal);
}

static void leader_propose(void *arg, Lp__BatchCommand *command, batch_proposed_fn done,
			   void *done_arg)
{
	batch_node_propose(arg, command, done, done_arg);
}

static void apply_command(void *arg, uint64_t index, const Lp__Command *command, Lp__Result *result)
{
	batch_node_t *node = arg;

	node->state.clock_us = clock_now_us();
	if (command->body_case == LP__COMMAND__BODY_BATCH)
		batch_state_apply(&node->state, command->time_ms, command->batch, result);
	else
		result->code = LP__RESULT_CODE__RESULT_INVALID;
}

static uint8_t *save_snapshot(void *arg, size_t *length)
{
	const batch_node_t *node = arg;

	return batch_state_save(&node->state, length);
}

static int load_snapshot(void *arg, const uint8_t *data, size_t length)
{
	batch_node_t *node = arg;

	if (node->leader != NULL)
		batch_leader_deactivate(node->leader);
	node->active_term = 0;
	node->state.clock_us = clock_now_us();
	return batch_state_load(&node->state, data, length);
}

static void on_replica_changed(void *arg)
{
	batch_node_t *node = arg;

	if (node->leader != NULL)
		schedule_placement(node);
}

static int send_to_peer(void *arg, uint32_t node_id, const Lp__Envelope *envelope)
{
	const batch_node_t *node = arg;

	return node->peers == NULL ? -1 : peer_send(node->peers, node_id, envelope);
}

static void receive_from_members(void *arg)
{
	const batch_node_t *node = arg;

	if (node->peers != NULL)
		peer_set_serve_members(node->peers);
}

/* --- peers --- */

static void add_peer(batch_node_t *node, uint32_t id, bool permanent)
{
	char address[32];
	peer_address_t peer = {.node_id = id, .address = address, .permanent = permanent};

	process_address(id, node->settings->peer_port, address, sizeof(address));
	peer_set_address(node->peers, &peer);
}

static void on_leader_hint(batch_node_t *node, const Lp__LeaderHint *hint)
{
	for (size_t i = 0; i < hint->n_members; i++)
		add_peer(node, hint->members[i], false);
}

static void handle_forwarded_report(void *arg, const vm_report_t *report, uint64_t received_us)
{
	batch_node_handle_report(arg, report);
}

/* Handles a message with VM reports. The leader receives reports that other core processes forward;
 * the others receive copies from the leader for their cache. */
static void on_vm_reports(batch_node_t *node, const Lp__VmReportCopies *copies)
{
	uint64_t now_us = clock_now_us();

	if (batch_node_is_active_leader(node))
		vm_report_message_foreach(copies, now_us, handle_forwarded_report, node);
	else
		vm_cache_merge(&node->report_cache, copies, now_us);
}

static void on_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	batch_node_t *node = arg;

	switch ((int)envelope->body_case) {
	case LP__ENVELOPE__BODY_RAFT:
	case LP__ENVELOPE__BODY_PROPOSE:
	case LP__ENVELOPE__BODY_PROPOSE_REPLY:
		replica_receive(node->replica, from, envelope);
		break;
	case LP__ENVELOPE__BODY_BATCH_CALL:
		batch_node_handle_forwarded_call(node, from, envelope->batch_call);
		break;
	case LP__ENVELOPE__BODY_LEADER_HINT:
		on_leader_hint(node, envelope->leader_hint);
		break;
	case LP__ENVELOPE__BODY_VM_REPORTS:
		on_vm_reports(node, envelope->vm_reports);
		break;
	case LP__ENVELOPE__BODY_VM_RESULT:
		vm_relay_handle_result(node->relay, from, envelope->vm_result);
		break;
	case LP__ENVELOPE__BODY_POLICY_QUERY:
		policy_agent_handle_query(&node->policy_agent, from, envelope->policy_query);
		break;
	case LP__ENVELOPE__BODY_POLICY_ANSWER:
		policy_relay_handle_answer(node->policy_relay, from, envelope->policy_answer);
		break;
	default:
		break;
	}
}

static void on_peer_change(void *arg, const peer_info_t *info)
{
	batch_node_t *node = arg;
	char id[16];

	g_snprintf(id, sizeof(id), "%u", info->node_id);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("peer", id, "data_centre", info->data_centre, "disk",
			     info->has_disk ? "yes" : "no"),
		  info->up ? "peer is up" : "peer is down");
	if (info->up && info->has_disk)
		replica_peer_up(node->replica, info->node_id, info->replica_id, info->has_disk);
	vm_relay_peers_changed(node->relay);
}

static void on_member_waited(void *arg, uint64_t us)
{
	const batch_node_t *node = arg;

	metrics_record_us(node->member_wait, us);
}

static uint64_t applied_index(void *arg)
{
	const batch_node_t *node = arg;

	return replica_applied(node->replica);
}

static void send_new_reports(batch_node_t *node)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__VmReportCopies copies;

	vm_cache_get_unsent(&node->report_cache, &copies);
	copies.term = replica_term(node->replica);
	envelope.body_case = LP__ENVELOPE__BODY_VM_REPORTS;
	envelope.vm_reports = &copies;
	for (size_t i = 0; copies.n_reports > 0 && i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_info_at(node->peers, i);

		if (info->up && info->has_disk)
			peer_send(node->peers, info->node_id, &envelope);
	}
	vm_cache_mark_sent(&node->report_cache);
}

static void on_hint_timer(void *arg, uint64_t now_us)
{
	batch_node_t *node = arg;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__LeaderHint hint = LP__LEADER_HINT__INIT;
	uint32_t members[REPLICA_MEMBERS_MAX];

	hint.leader = replica_has_leader_contact(node->replica, now_us)
			      ? replica_leader(node->replica)
			      : 0;
	hint.term = replica_term(node->replica);
	hint.serving = batch_node_is_active_leader(node);
	hint.members = members;
	hint.n_members = replica_members(node->replica, members, G_N_ELEMENTS(members));
	envelope.body_case = LP__ENVELOPE__BODY_LEADER_HINT;
	envelope.leader_hint = &hint;
	send_new_reports(node);
	for (size_t i = 0; i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_info_at(node->peers, i);

		if (!info->up)
			continue;
		/* Core processes learn the leader from the replicated log; the leader sends them
		 * the hint nevertheless, because new members need its list of members. */
		if (!info->has_disk || hint.serving)
			peer_send(node->peers, info->node_id, &envelope);
		if (info->has_disk)
			replica_peer_up(node->replica, info->node_id, info->replica_id, true);
	}
}

/* --- public functions --- */

bool batch_node_is_active_leader(const batch_node_t *node)
{
	return node->active_term != 0 && !node->resigned && replica_has_lease(node->replica);
}

uint32_t batch_node_leader_id(const batch_node_t *node)
{
	return replica_has_leader_contact(node->replica, clock_now_us())
		       ? replica_leader(node->replica)
		       : 0;
}

const batch_state_t *batch_node_state(const batch_node_t *node)
{
	return &node->state;
}

void batch_node_handle_report(batch_node_t *node, const vm_report_t *report)
{
	uint64_t now_us = clock_now_us();

	if (!batch_leader_report(node->leader, report, now_us))
		return;
	vm_cache_add(&node->report_cache, report, now_us);
	schedule_placement(node);
}

bool batch_node_forward_report(batch_node_t *node, const vm_report_t *report)
{
	uint32_t leader = batch_node_leader_id(node);
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__VmReportCopies copies = LP__VM_REPORT_COPIES__INIT;
	Lp__VmReportCopy copy;
	Lp__VmReportCopy *list[] = {&copy};

	if (leader == 0 || leader == node->settings->node_id)
		return false;
	vm_report_to_message(&copy, report);
	copies.reports = list;
	copies.n_reports = 1;
	envelope.body_case = LP__ENVELOPE__BODY_VM_REPORTS;
	envelope.vm_reports = &copies;
	return peer_send(node->peers, leader, &envelope) == 0;
}

void batch_node_handle_vm_exit(batch_node_t *node, const char *vm)
{
	vm_cache_remove(&node->report_cache, vm);
	batch_leader_vm_shutdown(node->leader, vm);
}

static uint64_t monotonic_now_us(void *arg)
{
	return clock_now_us();
}

static uint64_t wall_clock_ms(void *arg)
{
	return clock_wall_ms();
}

static const char *data_centre_of_vm(void *arg, const char *vm)
{
	const batch_node_t *node = arg;

	return batch_leader_data_centre(node->leader, vm);
}

static size_t vm_count(void *arg)
{
	const batch_node_t *node = arg;

	return batch_leader_machine_count(node->leader);
}

static bool is_sole_leader(void *arg)
{
	const batch_node_t *node = arg;

	return replica_is_sole_leader(node->replica);
}

static void create_relays(batch_node_t *node, const vm_port_t *direct)
{
	vm_relay_options_t options = {.direct = *direct,
				      .data_centre = data_centre_of_vm,
				      .vm_count = vm_count,
				      .is_leader = is_sole_leader,
				      .arg = node,
				      .stop_ms = node->settings->vm_stop_max_ms,
				      .metrics = node->metrics};

	node->policy_relay = policy_relay_create(node->timers, direct, node->metrics);
	options.policy = node->policy_relay;
	node->relay = vm_relay_create(node->timers, &options);
}

static void create_leader(batch_node_t *node)
{
	const process_settings_t *settings = node->settings;
	const batch_leader_options_t options = {
		.config =
			{
				.lease_ms = MIN(VM_LEASE_MS, settings->vm_lease_max_ms),
				.lease_max_ms = settings->vm_lease_max_ms,
				.late_request_ms = LATE_REQUEST_MS,
				.clock_skew_percent = CLOCK_SKEW_PERCENT,
				.hold_wait_ms = HOLD_WAIT_MS,
				.report_timeout_ms = settings->report_interval_ms + REPORT_DELAY_MS,
				.holder_lease_ms = settings->holder_lease_ms,
				.maintenance_ms = settings->maintenance_downtime_ms,
				.platform_requests_per_s = settings->platform_requests_per_s,
				.move_ms = settings->move_downtime_ms,
				.stop_ms = settings->vm_stop_max_ms,
				.name = settings->name,
			},
		.state = &node->state,
		.port = vm_relay_port(node->relay),
		.propose = leader_propose,
		.now_us = monotonic_now_us,
		.wall_ms = wall_clock_ms,
		.arg = node,
		.metrics = node->metrics,
	};

	node->leader = batch_leader_create(&options);
}

static bool is_founding_voter(const process_settings_t *settings)
{
	for (size_t i = 0; i < settings->seed_count; i++) {
		if (settings->seeds[i] == settings->node_id)
			return true;
	}
	return false;
}

uint32_t batch_node_voter_timeout_ms(const process_settings_t *settings)
{
	uint32_t catch_up_max_ms = settings->catch_up_max_ms;

	return catch_up_max_ms > REPLACE_MARGIN_MS + MIN_VOTER_TIMEOUT_MS
		       ? catch_up_max_ms - REPLACE_MARGIN_MS
		       : MIN_VOTER_TIMEOUT_MS;
}

static int create_replica(batch_node_t *node, uint64_t random_seed, char *error, size_t error_size)
{
	const process_settings_t *settings = node->settings;
	const replica_state_machine_t state_machine = {.apply = apply_command,
						       .save = save_snapshot,
						       .load = load_snapshot,
						       .changed = on_replica_changed,
						       .arg = node};
	replica_config_t config = {
		.node_id = settings->node_id,
		.data_dir = settings->data_dir,
		.heartbeat_ms = HEARTBEAT_MS,
		.election_min_ms = ELECTION_MIN_MS,
		.lease_ms = LEADER_LEASE_MS,
		.snapshot_every = SNAPSHOT_ENTRIES,
		.log_bytes_max = LOG_BYTES,
		.flush_delay_ms = FLUSH_DELAY_MS,
		.seed = random_seed,
		.receive_pending = receive_from_members,
		.voter_target = 2 * MAX(settings->tolerated_machine_losses, 1) + 1,
		.replace_ms = batch_node_voter_timeout_ms(settings),
	};

	/* At the first start of the cluster, the seeds become the founding voters. A process that
	 * starts later with an empty disk has lost the log entries that it acknowledged, so it
	 * joins as a new member. */
	if (settings->bootstrap) {
		config.founding_voters = settings->seeds;
		config.founding_voter_count = settings->seed_count;
		if (settings->data_dir != NULL && is_founding_voter(settings) &&
		    replica_init_data_dir(settings->data_dir, settings->node_id, error,
					  error_size) != 0)
			/* Not fatal: when the process restarts during the bootstrap, the data
			 * directory already has an identity. */
			g_message("%s", error);
	}
	node->replica = replica_create(node->ev, node->timers, &config, &state_machine,
				       send_to_peer, node, error, error_size);
	return node->replica != NULL ? 0 : -1;
}

static int create_peers(batch_node_t *node, uint64_t incarnation, char *error, size_t error_size)
{
	const process_settings_t *settings = node->settings;
	char address[32];
	peer_config_t config;
	const peer_callbacks_t callbacks = {
		.message_received = on_message,
		.peer_changed = on_peer_change,
		.applied_index = applied_index,
		.member_waited = on_member_waited,
		.arg = node,
	};
	uint32_t members[REPLICA_MEMBERS_MAX];
	size_t count;

	process_address(settings->node_id, settings->peer_port, address, sizeof(address));
	config = process_peer_config(settings, incarnation, address);
	config.replica_id = replica_id(node->replica);
	config.has_disk = settings->data_dir != NULL;
	node->peers = peer_set_create(node->ev, node->ev, node->timers, &config, &callbacks);
	if (node->peers == NULL) {
		g_snprintf(error, error_size, "%s: %s", address, strerror(errno));
		return -1;
	}
	count = replica_members(node->replica, members, G_N_ELEMENTS(members));
	for (size_t i = 0; i < count; i++)
		add_peer(node, members[i], false);
	batch_node_set_seeds(node, settings);
	return 0;
}

void batch_node_set_seeds(batch_node_t *node, const process_settings_t *settings)
{
	for (size_t i = 0; i < settings->seed_count; i++)
		add_peer(node, settings->seeds[i], true);
}

batch_node_t *batch_node_create(const batch_node_options_t *options, char *error, size_t error_size)
{
	batch_node_t *node = g_new0(batch_node_t, 1);
	uint64_t random_seed = 0;

	node->settings = options->settings;
	node->ev = options->ev;
	node->timers = options->timers;
	node->metrics = options->metrics;
	node->placement_event = tevent_create_immediate(node->ev);
	node->submitting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	TAILQ_INIT(&node->pending);
	node->jobs_submitted = metrics_counter(node->metrics, "batch_jobs_submitted_total", "");
	node->jobs_rejected = metrics_counter(node->metrics, "batch_jobs_refused_total", "");
	node->jobs_over_limit = metrics_counter(node->metrics, "org_jobs_over_limit_total", "");
	node->tick_gap = metrics_histogram(node->metrics, "node_tick_gap_us", "");
	node->passes_deferred =
		metrics_counter(node->metrics, "node_leader_passes_deferred_total", "");
	node->member_wait = metrics_histogram(node->metrics, "node_member_wait_us", "");
	node->input_delay = metrics_histogram(node->metrics, "batch_input_delay_us", "");
	node->commit_latency = metrics_histogram(node->metrics, "batch_commit_latency_us", "");
	batch_state_init(&node->state);
	vm_cache_init(&node->report_cache);
	if (getrandom(&random_seed, sizeof(random_seed), 0) != (ssize_t)sizeof(random_seed))
		random_seed = clock_wall_ms();
	if (create_replica(node, random_seed, error, error_size) != 0)
		goto fail_state;
	create_relays(node, &options->port);
	create_leader(node);
	if (create_peers(node, random_seed, error, error_size) != 0)
		goto fail_replica;
	vm_relay_set_peers(node->relay, node->peers);
	policy_relay_set_peers(node->policy_relay, node->peers);
	policy_agent_init(&node->policy_agent, &options->port, node->peers, node->metrics);
	batch_calls_init(node);
	timer_subscribe(node->timers, &node->tick_timer, LEADER_TICK_MS * US_PER_MS, on_leader_tick,
			node);
	timer_subscribe(node->timers, &node->hint_timer, HINT_INTERVAL_MS * US_PER_MS,
			on_hint_timer, node);
	return node;

fail_replica:
	vm_relay_destroy(node->relay);
	policy_relay_destroy(node->policy_relay);
	batch_leader_destroy(node->leader);
	replica_destroy(node->replica);
fail_state:
	batch_state_finish(&node->state);
	vm_cache_finish(&node->report_cache);
	g_hash_table_destroy(node->submitting);
	talloc_free(node->placement_event);
	g_free(node);
	return NULL;
}

void batch_node_resign(batch_node_t *node)
{
	node->resigned = true;
}

void batch_node_destroy(batch_node_t *node)
{
	timer_unsubscribe(node->timers, &node->tick_timer);
	timer_unsubscribe(node->timers, &node->hint_timer);
	batch_leader_deactivate(node->leader);
	replica_destroy(node->replica);
	vm_relay_destroy(node->relay);
	policy_relay_destroy(node->policy_relay);
	batch_calls_finish(node);
	peer_set_destroy(node->peers);
	batch_leader_destroy(node->leader);
	batch_state_finish(&node->state);
	vm_cache_finish(&node->report_cache);
	g_hash_table_destroy(node->submitting);
	talloc_free(node->placement_event);
	g_free(node);
}
