#define G_LOG_DOMAIN "replica"

#include "replica.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>
#include <xxhash.h>

#include "clock.h"
#include "durable.h"
#include "log.h"
#include "mono_timer.h"
#include "replica_internal.h"
#include "snapshot.h"

#define TICK_INTERVAL_US (20 * US_PER_MS)
#define DISK_RETRY_INTERVAL_US (1 * US_PER_S)

/* Default of replica_config_t.log_bytes_max. Without a limit in bytes, the log entries of 4,000
 * template revisions of 35 KB would take 140 MB of memory in every process. */
#define DEFAULT_LOG_BYTES (2U << 20)

static void flush(replica_t *replica);

static void on_flush(struct tevent_context *ev, struct tevent_immediate *im, void *private_data)
{
	flush(private_data);
}

static void on_flush_timer(void *arg)
{
	flush(arg);
}

void replica_schedule_flush(replica_t *replica)
{
	uint32_t delay_ms = replica->config.flush_delay_ms;

	if (replica->flush_scheduled)
		return;
	replica->flush_scheduled = true;
	/* The braces are needed: tevent_schedule_immediate() is a macro of several statements. */
	if (delay_ms == 0) {
		tevent_schedule_immediate(replica->flush_event, replica->timers->ev, on_flush,
					  replica);
		return;
	}
	mono_timer_add(replica->timers->ev, replica, delay_ms * US_PER_MS, on_flush_timer, replica);
}

static uint64_t max_log_bytes(const replica_t *replica)
{
	return replica->config.log_bytes_max > 0 ? replica->config.log_bytes_max
						 : DEFAULT_LOG_BYTES;
}

static void send_message(replica_t *replica, Lp__RaftMessage *message)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	envelope.body_case = LP__ENVELOPE__BODY_RAFT;
	envelope.raft = message;
	replica->send(replica->send_arg, message->to->node_id, &envelope);
}

/* Stops writing after a disk error. Drops the messages that wait for the failed sync, because they
 * acknowledge data that is not durable. */
static void on_disk_failure(replica_t *replica, const char *what)
{
	raft_action_t *action;

	if (!replica->disk_failed)
		g_warning("%s: %s; this replica neither votes nor leads until the data directory "
			  "can be written",
			  what, strerror(errno));
	replica->disk_failed = true;
	replica->disk_retry_us = clock_now_us() + DISK_RETRY_INTERVAL_US;
	wal_discard(replica->wal);
	TAILQ_CONCAT(&replica->syncing_messages, &replica->unsynced_messages, link);
	while ((action = TAILQ_FIRST(&replica->syncing_messages)) != NULL) {
		TAILQ_REMOVE(&replica->syncing_messages, action, link);
		talloc_free(action);
	}
}

/* Waits until the running write, if any, has ended, so that the files can be replaced. */
static void wait_for_disk_write(replica_t *replica)
{
	if (replica->has_disk_thread)
		disk_thread_wait(&replica->disk_thread);
}

static void install_snapshot(replica_t *replica, const raft_snapshot_t *snapshot)
{
	if (replica->state_machine.load(replica->state_machine.arg, snapshot->data,
					snapshot->length) != 0)
		g_error("the snapshot at index %" PRIu64 " cannot be loaded", snapshot->index);
	replica->applied_index = snapshot->index;
	replica->snapshot_index = snapshot->index;
	replica->bytes_since_snapshot = 0;
	raft_mark_applied(replica->raft, snapshot->index);
	wait_for_disk_write(replica);
	if (!replica->disk_failed && (replica_store_write_snapshot(replica) != 0 ||
				      replica_store_rewrite_log(replica) != 0)) {
		on_disk_failure(replica, replica->snapshot_path);
		raft_set_disk_writable(replica->raft, clock_now_us(), false);
	}
	replica_complete_skipped(replica, snapshot->index);
}

static void run_action(replica_t *replica, raft_action_t *action)
{
	switch (action->type) {
	case RAFT_SAVE_VOTE:
		replica_store_append_vote(replica, action->save_vote.term, action->save_vote.vote);
		replica->vote_saved_since_sync = true;
		break;
	case RAFT_SAVE_ENTRY:
		/* An entry with the same index is being written. When that write ends, the new
		 * entry is not durable yet. */
		if (action->entry->index <= replica->syncing_index)
			replica->syncing_index = action->entry->index - 1;
		replica_store_append_entry(replica, action->entry);
		break;
	case RAFT_SAVE_SNAPSHOT:
		install_snapshot(replica, action->snapshot);
		break;
	case RAFT_SEND:
		if (action->send.after_sync) {
			TAILQ_INSERT_TAIL(&replica->unsynced_messages, action, link);
			return;
		}
		send_message(replica, action->send.message);
		break;
	case RAFT_COMMIT:
		break;
	}
	talloc_free(action);
}

/* Executes the queued actions of the Raft core. Must follow each call of the core that can queue
 * actions. */
static void run_actions(replica_t *replica)
{
	raft_action_t *action;
	bool any_action = false;

	while ((action = raft_pop_action(replica->raft)) != NULL) {
		any_action = true;
		run_action(replica, action);
	}
	if (any_action)
		replica_schedule_flush(replica);
}

static void send_messages(replica_t *replica, struct raft_message_list *list)
{
	raft_action_t *action;

	while ((action = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, action, link);
		send_message(replica, action->send.message);
		talloc_free(action);
	}
}

static void log_end_of_term(const replica_t *replica, const char *reason, uint64_t now_us)
{
	char term[24];
	char contact_ms[24];
	char tick_gap_ms[24];

	g_snprintf(term, sizeof(term), "%" PRIu64, replica->led_term);
	g_snprintf(contact_ms, sizeof(contact_ms), "%" PRIu64,
		   (now_us - raft_majority_contact_us(replica->raft, now_us)) / 1000);
	g_snprintf(tick_gap_ms, sizeof(tick_gap_ms), "%" PRIu64, replica->tick_gap_us / 1000);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("term", term, "reason", reason, "ms_since_majority", contact_ms,
			     "tick_gap_ms", tick_gap_ms),
		  "gave up the lead");
}

/* Logs the end of this replica's term as the leader. Must follow each call of the core that can end
 * it. */
static void check_end_of_term(replica_t *replica, const char *reason, uint64_t now_us)
{
	bool leads = raft_role(replica->raft) == RAFT_LEADER;

	if (replica->led_term != 0 && (!leads || raft_term(replica->raft) != replica->led_term))
		log_end_of_term(replica, reason, now_us);
	replica->led_term = leads ? raft_term(replica->raft) : 0;
}

static void apply_committed(replica_t *replica);

/* Writes the snapshot and the log on the disk thread. After a crash between the two, the log begins
 * before the snapshot, which recovery accepts. */
static int write_files(void *arg)
{
	const replica_t *replica = arg;

	if (replica->pending_snapshot != NULL &&
	    durable_replace(replica->snapshot_path, replica->pending_snapshot,
			    replica->pending_snapshot_length) != 0)
		return errno;
	return wal_write_frame(replica->wal);
}

static void on_files_written(void *arg, int error)
{
	replica_t *replica = arg;
	uint64_t now_us = clock_now_us();

	wal_end_write(replica->wal, error);
	if (error != 0) {
		errno = error;
		on_disk_failure(replica, replica->pending_snapshot != NULL ? replica->snapshot_path
									   : replica->log_path);
		raft_set_disk_writable(replica->raft, now_us, false);
		check_end_of_term(replica, "the disk cannot be written", now_us);
	} else {
		send_messages(replica, &replica->syncing_messages);
		raft_mark_synced_to(replica->raft, replica->syncing_index,
				    !replica->vote_saved_since_sync, now_us);
	}
	TALLOC_FREE(replica->pending_snapshot);
	run_actions(replica);
	apply_committed(replica);
	replica_schedule_flush(replica);
}

/* Returns how many applied entries to keep in the log after a snapshot, for replicas that lag
 * behind. */
static uint64_t entries_to_keep(const replica_t *replica)
{
	uint64_t index = replica->applied_index;
	uint64_t bytes = 0;
	uint64_t keep = 0;

	while (keep < replica->config.snapshot_every) {
		const Lp__LogEntry *entry = raft_entry(replica->raft, index--);

		if (entry == NULL)
			break;
		bytes += entry->data.len;
		if (bytes > max_log_bytes(replica))
			break;
		keep++;
	}
	return keep;
}

/* Starts writing the buffered data on the disk thread. Messages that need the data to be durable
 * are sent when the write has ended. */
static void begin_write(replica_t *replica)
{
	TAILQ_CONCAT(&replica->syncing_messages, &replica->unsynced_messages, link);
	replica->syncing_index = raft_last_index(replica->raft);
	replica->vote_saved_since_sync = false;
	disk_thread_run(&replica->disk_thread, write_files, on_files_written, replica);
}

static void log_snapshot(const replica_t *replica, size_t length, uint64_t encode_duration_us)
{
	char index[24];
	char bytes[24];
	char encode_us[24];

	g_snprintf(index, sizeof(index), "%" PRIu64, replica->applied_index);
	g_snprintf(bytes, sizeof(bytes), "%zu", length);
	g_snprintf(encode_us, sizeof(encode_us), "%" PRIu64, encode_duration_us);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("index", index, "bytes", bytes, "encode_us", encode_us),
		  "snapshot taken");
}

/* Serialises the state on the control thread and starts writing it on the disk thread. Writing on
 * the control thread blocked the event loop of a member with 0.3 cores for 210 to 350 ms per
 * snapshot. @return true when a write was started */
static bool begin_snapshot(replica_t *replica)
{
	uint64_t started_us = clock_now_us();
	size_t length = 0;
	uint8_t *data = replica->state_machine.save(replica->state_machine.arg, &length);

	replica->snapshot_due = false;
	replica->snapshot_index = replica->applied_index;
	replica->bytes_since_snapshot = 0;
	raft_compact(replica->raft, replica->applied_index, data, length, entries_to_keep(replica));
	free(data);
	log_snapshot(replica, length, clock_now_us() - started_us);
	if (replica->wal == NULL || replica->disk_failed)
		return false;
	replica->pending_snapshot =
		snapshot_pack(raft_snapshot(replica->raft), &replica->pending_snapshot_length);
	replica_store_buffer_log(replica);
	wal_begin_rewrite(replica->wal);
	begin_write(replica);
	return true;
}

/* Starts to write on the disk thread: the snapshot if one is due, otherwise the buffered data. Does
 * nothing while a write is running; the data then goes into the next write. If there is nothing to
 * write, sends the waiting messages at once. */
static void sync_and_send(replica_t *replica, uint64_t now_us)
{
	if (replica->has_disk_thread && disk_thread_busy(&replica->disk_thread))
		return;
	if (replica->snapshot_due && begin_snapshot(replica))
		return;
	if (replica->wal != NULL && !replica->disk_failed && wal_begin_sync(replica->wal)) {
		begin_write(replica);
		return;
	}
	send_messages(replica, &replica->unsynced_messages);
	raft_mark_synced(replica->raft, now_us);
	run_actions(replica);
}

static void apply_entry(replica_t *replica, const Lp__LogEntry *entry)
{
	Lp__Result result = LP__RESULT__INIT;
	Lp__Command *command = NULL;

	if (entry->type == LP__ENTRY_TYPE__ENTRY_COMMAND)
		command = lp__command__unpack(NULL, entry->data.len, entry->data.data);
	if (command != NULL)
		replica->state_machine.apply(replica->state_machine.arg, entry->index, command,
					     &result);
	else
		result.code = LP__RESULT_CODE__RESULT_INVALID;
	result.index = entry->index;
	replica->applied_index = entry->index;
	replica->bytes_since_snapshot += entry->data.len;
	raft_mark_applied(replica->raft, entry->index);
	replica_complete_proposals(replica, entry, &result);
	if (command != NULL)
		lp__command__free_unpacked(command, NULL);
}

static void apply_committed(replica_t *replica)
{
	uint64_t before = replica->applied_index;
	uint32_t leader = raft_leader(replica->raft).node;

	while (replica->applied_index < raft_committed(replica->raft)) {
		const Lp__LogEntry *entry = raft_entry(replica->raft, replica->applied_index + 1);

		if (entry == NULL)
			g_error("committed entry %" PRIu64 " is missing from the log",
				replica->applied_index + 1);
		apply_entry(replica, entry);
	}
	if (replica->applied_index >= replica->snapshot_index + replica->config.snapshot_every ||
	    replica->bytes_since_snapshot >= max_log_bytes(replica)) {
		replica->snapshot_due = true;
		/* If a write is running, on_files_written() schedules the next flush. */
		if (!replica->has_disk_thread || !disk_thread_busy(&replica->disk_thread))
			replica_schedule_flush(replica);
	}
	if (replica->applied_index == before && leader == replica->last_leader)
		return;
	if (leader != replica->last_leader && leader != 0)
		g_message("node %u leads in term %" PRIu64, leader, raft_term(replica->raft));
	else if (leader != replica->last_leader)
		g_message("no leader in term %" PRIu64, raft_term(replica->raft));
	replica->last_leader = leader;
	if (replica->state_machine.changed != NULL)
		replica->state_machine.changed(replica->state_machine.arg);
}

/* Runs one flush cycle: passes proposals to the Raft core, sends the messages that do not depend on
 * the disk, starts a write unless one is running, and applies committed entries. */
static void flush(replica_t *replica)
{
	uint64_t now_us = clock_now_us();

	replica->flush_scheduled = false;
	replica_propose_queued(replica, now_us);
	raft_replicate(replica->raft, now_us);
	run_actions(replica);
	sync_and_send(replica, now_us);
	apply_committed(replica);
}

static void retry_disk(replica_t *replica, uint64_t now_us)
{
	if (!replica->disk_failed || now_us < replica->disk_retry_us)
		return;
	replica->disk_retry_us = now_us + DISK_RETRY_INTERVAL_US;
	wait_for_disk_write(replica);
	if (raft_snapshot(replica->raft)->index > 0 && replica_store_write_snapshot(replica) != 0)
		return;
	if (replica_store_rewrite_log(replica) != 0) {
		wal_discard(replica->wal);
		return;
	}
	g_message("the data directory can be written again");
	replica->disk_failed = false;
	raft_set_disk_writable(replica->raft, now_us, true);
	raft_mark_synced(replica->raft, now_us);
}

/* Handles what other members and the disk thread have reported already. A timeout that was judged
 * before would count the time that their reports spent in this process's queues as silence. */
static void handle_pending_input(replica_t *replica)
{
	if (replica->has_disk_thread)
		disk_thread_poll(&replica->disk_thread);
	if (replica->config.receive_pending != NULL)
		replica->config.receive_pending(replica->send_arg);
}

static void on_tick(void *arg, uint64_t now_us)
{
	replica_t *replica = arg;

	replica->tick_gap_us = now_us - replica->last_tick_us;
	replica->last_tick_us = now_us;
	handle_pending_input(replica);
	/* The input took time too, and may have begun a heartbeat round after now_us. */
	now_us = clock_now_us();
	retry_disk(replica, now_us);
	raft_tick(replica->raft, now_us);
	check_end_of_term(replica, "no acknowledgement of a majority", now_us);
	run_actions(replica);
	replica_members_tick(replica, now_us);
	run_actions(replica);
	replica_propose_tick(replica, now_us);
	if (raft_leader(replica->raft).node != replica->last_leader)
		replica_schedule_flush(replica);
}

/* Derives a replica's own random seed from the configured one. With equal seeds, replicas would
 * draw equal election timeouts and keep splitting the vote. */
static uint64_t mix_seed(uint64_t seed, raft_id_t self)
{
	const uint64_t parts[] = {seed, self.node, self.replica};

	return XXH64(parts, sizeof(parts), 0);
}

static void create_raft(replica_t *replica)
{
	const replica_config_t *config = &replica->config;
	raft_config_t founding = {0};
	raft_options_t options = {
		.self = replica->self,
		.has_disk = config->data_dir != NULL,
		.heartbeat_us = config->heartbeat_ms * US_PER_MS,
		.election_min_us = config->election_min_ms * US_PER_MS,
		.lease_us = config->lease_ms * US_PER_MS,
		.seed = mix_seed(config->seed, replica->self),
	};

	for (size_t i = 0; i < config->founding_voter_count && i < RAFT_MEMBERS_MAX; i++)
		founding.members[founding.count++] =
			(raft_member_t){.id = {config->founding_voters[i], 1}, .voter = true};
	replica->raft = raft_create(replica, &options);
	raft_restore_base(replica->raft, 0, 0, &founding);
}

replica_t *replica_create(void *parent, timer_service_t *timers, const replica_config_t *config,
			  const replica_state_machine_t *state_machine, replica_send_fn send,
			  void *send_arg, char *error, size_t error_size)
{
	replica_t *replica = talloc_zero(parent, replica_t);

	replica->config = *config;
	replica->founding_voters =
		talloc_memdup(replica, config->founding_voters,
			      config->founding_voter_count * sizeof(*config->founding_voters));
	replica->config.data_dir = talloc_strdup(replica, config->data_dir);
	replica->state_machine = *state_machine;
	replica->send = send;
	replica->send_arg = send_arg;
	replica->timers = timers;
	replica->flush_event = tevent_create_immediate(replica);
	TAILQ_INIT(&replica->unsynced_messages);
	TAILQ_INIT(&replica->syncing_messages);
	TAILQ_INIT(&replica->queued);
	TAILQ_INIT(&replica->appended);
	if (replica_store_open(replica, error, error_size) != 0)
		goto fail;
	/* Start at a random number, so that no reply to a proposal of an earlier incarnation
	 * matches one of the new proposals. */
	replica->next_seq = ((uint64_t)g_random_int() << 32) | 1;
	create_raft(replica);
	if (replica_store_recover(replica, error, error_size) != 0)
		goto fail;
	if (replica->wal != NULL && disk_thread_init(&replica->disk_thread, timers->ev) != 0) {
		snprintf(error, error_size, "cannot start the disk thread: %s", strerror(errno));
		goto fail;
	}
	replica->has_disk_thread = replica->wal != NULL;
	replica->config_seen_index = raft_config_index(replica->raft);
	replica->last_tick_us = clock_now_us();
	raft_start(replica->raft, replica->last_tick_us);
	timer_subscribe(timers, &replica->tick, TICK_INTERVAL_US, on_tick, replica);
	return replica;

fail:
	talloc_free(replica);
	return NULL;
}

void replica_destroy(replica_t *replica)
{
	timer_unsubscribe(replica->timers, &replica->tick);
	if (replica->has_disk_thread)
		disk_thread_stop(&replica->disk_thread);
	replica_abort_proposals(replica);
	talloc_free(replica);
}

void replica_receive(replica_t *replica, uint32_t from, const Lp__Envelope *envelope)
{
	switch ((int)envelope->body_case) {
	case LP__ENVELOPE__BODY_RAFT:
		raft_receive(replica->raft, clock_now_us(), envelope->raft);
		check_end_of_term(replica, "another replica has a later term", clock_now_us());
		run_actions(replica);
		/* Apply committed entries at once, also when flush_delay_ms delays proposals: a
		 * leader holds the lease only while it has applied all of them. */
		apply_committed(replica);
		break;
	case LP__ENVELOPE__BODY_PROPOSE:
		replica_on_propose(replica, from, envelope->propose);
		run_actions(replica);
		break;
	case LP__ENVELOPE__BODY_PROPOSE_REPLY:
		replica_on_propose_reply(replica, envelope->propose_reply);
		break;
	default:
		break;
	}
}

uint64_t replica_id(const replica_t *replica)
{
	return replica->self.replica;
}

bool replica_is_leader(const replica_t *replica)
{
	return raft_role(replica->raft) == RAFT_LEADER;
}

bool replica_is_sole_leader(const replica_t *replica)
{
	return raft_is_sole_leader(replica->raft, clock_now_us());
}

bool replica_has_lease(const replica_t *replica)
{
	return raft_has_lease(replica->raft, clock_now_us());
}

size_t replica_members(const replica_t *replica, uint32_t *nodes, size_t max)
{
	const raft_config_t *config = raft_config(replica->raft);
	size_t count = MIN(config->count, max);

	for (size_t i = 0; i < count; i++)
		nodes[i] = config->members[i].id.node;
	return count;
}

uint32_t replica_leader(const replica_t *replica)
{
	return raft_leader(replica->raft).node;
}

uint64_t replica_term(const replica_t *replica)
{
	return raft_term(replica->raft);
}

uint64_t replica_applied(const replica_t *replica)
{
	return replica->applied_index;
}

uint64_t replica_committed(const replica_t *replica)
{
	return raft_committed(replica->raft);
}

bool replica_has_leader_contact(const replica_t *replica, uint64_t now_us)
{
	if (raft_role(replica->raft) == RAFT_LEADER)
		return true;
	return raft_leader(replica->raft).node != 0 &&
	       now_us <= raft_leader_contact_us(replica->raft) +
				 2 * replica->config.election_min_ms * US_PER_MS;
}

static bool peer_info_of(const replica_t *replica, uint32_t node_id, raft_peer_info_t *info)
{
	const raft_config_t *config = raft_config(replica->raft);

	for (size_t i = 0; i < config->count; i++) {
		if (config->members[i].id.node == node_id)
			return raft_peer_info(replica->raft, config->members[i].id, info) == 0;
	}
	return false;
}

uint64_t replica_peer_applied(const replica_t *replica, uint32_t node_id)
{
	raft_peer_info_t info;

	if (node_id == replica->self.node)
		return replica->applied_index;
	return peer_info_of(replica, node_id, &info) ? info.applied_index : 0;
}

uint64_t replica_peer_last_reply_us(const replica_t *replica, uint32_t node_id)
{
	raft_peer_info_t info;

	if (node_id == replica->self.node)
		return clock_now_us();
	return peer_info_of(replica, node_id, &info) ? info.last_reply_us : 0;
}

bool replica_disk_failed(const replica_t *replica)
{
	return replica->disk_failed;
}
