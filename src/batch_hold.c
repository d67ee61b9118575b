#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "batch_leader_internal.h"
#include "batch_suspect.h"
#include "log.h"
#include "vm_evidence.h"

/* Delay before repeating an unanswered hold request. It is short, so that a VM that responds again
 * is noticed soon. The first unanswered request is repeated without delay, because possibly only
 * its response was lost. */
#define HOLD_RETRY_US (200 * US_PER_MS)
/* Shortest interval between two hold requests to a VM: one response then reports all runs that
 * finish at about the same time. The interval grows while ticks are delayed, up to
 * HOLD_MAX_INTERVAL_US; a longer one would make dependent steps start late. */
#define HOLD_MIN_INTERVAL_US (15 * US_PER_MS)
#define HOLD_MAX_INTERVAL_US (150 * US_PER_MS)
/* Time after the end of a hold request's wait time at which a probe is sent over another
 * connection, because the response was probably lost. Responses normally arrive within a few ms,
 * and within tens of ms while this process is busy. */
#define PROBE_DELAY_US (100 * US_PER_MS)
#define PROBE_INTERVAL_US (150 * US_PER_MS)
/* Most probes per hold request. Two are enough to tell an unresponsive VM from a VM whose single
 * response was lost. */
#define PROBES_MAX 2
/* Wait of a hold request while a long-running task starts up for which others of its step wait: the
 * next one can only move once the response shows that the task is available. No longer than
 * STARTUP_POLLED_MS after its start, as it may fail to become available. */
#define STARTUP_POLL_MS 200
#define STARTUP_POLLED_MS 5000
/* A hold request allows the VM to delay its response until the first of its runs should have
 * finished. That is the expected run time (the declared one, corrected by the VM's slowness) plus
 * this percentage of it and WAIT_MARGIN_MS. The margin is needed because declared times are off by
 * up to 20%. */
#define WAIT_MARGIN_PERCENT 25
#define WAIT_MARGIN_MS 200
/* Time for which a VM gets no new tasks after its runs have repeatedly failed or one has
 * stalled. */
#define QUARANTINE_US (4 * US_PER_S)
/* A VM is quarantined when it has at least this many recent failed runs and more than twice as many
 * recent failed as completed runs. */
#define QUARANTINE_FAILURES 3.0
/* A run whose progress has not changed for this long counts as stalled. Hold requests report
 * progress every second, and a run advances by 1% within some ms. */
#define STALL_TIMEOUT_US (2500 * US_PER_MS)
/* Time since the latest answer of a VM for which a hold request may acknowledge finished runs.
 * Shorter than a restart and a run of a task take together. */
#define ACKNOWLEDGE_FRESH_US (300 * US_PER_MS)
/* Weight of one run in the moving average of a VM's slowness. */
#define SLOWNESS_WEIGHT 0.25
#define SLOWNESS_MAX 10.0

typedef struct {
	vm_handle_t vm;
	uint32_t seq;
	uint64_t sent_us;
	uint32_t wait_ms;
	bool grants_lease;
	uint64_t acked_end;
} hold_t;

batch_lease_limits_t leader_lease_limits(const batch_leader_t *leader)
{
	const batch_leader_config_t *config = &leader->config;

	return (batch_lease_limits_t){
		.duration_us =
			config->lease_ms * (100ULL + config->clock_skew_percent) * US_PER_MS / 100,
		.max_delivery_delay_us = config->late_request_ms * US_PER_MS,
	};
}

void leader_update_lease(leader_vm_t *vm, const vm_reply_t *reply, uint64_t sent_us)
{
	batch_lease_limits_t limits = leader_lease_limits(vm->leader);
	uint64_t now_us = leader_now_us(vm->leader);

	if (reply->code == VM_REPLY_NOT_SENT)
		return;
	if (reply->code == VM_REPLY_NO_RESPONSE)
		batch_lease_grant_timed_out(&vm->lease, &limits, sent_us, now_us);
	else
		batch_lease_grant_answered(&vm->lease, &limits, now_us);
}

bool leader_lease_has_ended(const leader_vm_t *vm, uint64_t now_us)
{
	batch_lease_limits_t limits = leader_lease_limits(vm->leader);

	return vm->starts_in_flight == 0 && now_us > batch_lease_end_us(&vm->lease, &limits);
}

/* --- lost runs --- */

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	size_t count;
	Lp__BatchTask refs[];
} lost_runs_t;

/* Logs the jobs that the committed loss of their runs has made fail. */
static void log_given_up(const lost_runs_t *lost_runs)
{
	batch_leader_t *leader = lost_runs->leader;

	for (size_t i = 0; i < lost_runs->count; i++) {
		batch_job_t *job =
			g_hash_table_lookup(leader->state->by_seq, &lost_runs->refs[i].job);

		if (job == NULL || !job->given_up || job->given_up_logged)
			continue;
		job->given_up_logged = true;
		suspect_log_given_up(leader, job);
	}
}

static void on_lost_committed(void *arg, Lp__ResultCode code)
{
	g_autofree lost_runs_t *lost_runs = arg;
	batch_leader_t *leader = lost_runs->leader;

	if (!leader->active || leader->generation != lost_runs->generation)
		return;
	leader->placement_due = true;
	if (code == LP__RESULT_CODE__RESULT_OK) {
		log_given_up(lost_runs);
		return;
	}
	for (size_t i = 0; i < lost_runs->count; i++) {
		batch_task_t *task = batch_state_task(leader->state, &lost_runs->refs[i]);

		if (task != NULL && task->run == lost_runs->refs[i].run)
			task->local.loss_pending = false;
	}
}

/* @param vm VM that has ended or was silent until its lease expired, with all the runs; NULL: the
 * runs are lost for another reason */
static void propose_lost_runs(batch_leader_t *leader, batch_task_t **tasks, size_t count,
			      leader_vm_t *vm)
{
	lost_runs_t *lost_runs = g_malloc0(sizeof(*lost_runs) + count * sizeof(lost_runs->refs[0]));
	Lp__BatchEnd *ends = talloc_zero_array(NULL, Lp__BatchEnd, count);
	Lp__BatchEnd **list = talloc_zero_array(ends, Lp__BatchEnd *, count);
	Lp__BatchLost lost = LP__BATCH_LOST__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	*lost_runs =
		(lost_runs_t){.leader = leader, .generation = leader->generation, .count = count};
	for (size_t i = 0; i < count; i++) {
		tasks[i]->local.loss_pending = true;
		batch_task_ref(tasks[i], &lost_runs->refs[i]);
		lp__batch_end__init(&ends[i]);
		ends[i].task = &lost_runs->refs[i];
		ends[i].kind = LP__BATCH_END_KIND__BATCH_END_LAPSED;
		ends[i].checkpoint = tasks[i]->local.reported_checkpoint;
		ends[i].begun = tasks[i]->step->job->begun_seen;
		ends[i].crash =
			vm != NULL ? suspect_judge(vm, tasks[i], vm->dead) : tasks[i]->local.crash;
		list[i] = &ends[i];
	}
	lost.runs = list;
	lost.n_runs = count;
	command.body_case = LP__BATCH_COMMAND__BODY_LOST;
	command.lost = &lost;
	metrics_add(leader->stats.lost, count);
	leader_propose(leader, &command, on_lost_committed, lost_runs);
	talloc_free(ends);
}

void leader_mark_run_lost(batch_leader_t *leader, batch_task_t *task, const char *reason)
{
	char run[RUN_LABEL_MAX];

	if (task->local.loss_pending || task->vm == NULL)
		return;
	run_label_of_task(run, task);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", task->vm->id,
			     "reason", reason),
		  "run is lost");
	propose_lost_runs(leader, &task, 1, NULL);
}

void leader_refuse_run(batch_leader_t *leader, batch_task_t *task, const char *reason)
{
	task->local.phase = RUN_REFUSED;
	leader_mark_run_lost(leader, task, reason);
}

void leader_refuse_queued_runs(leader_vm_t *vm, batch_task_t **tasks, size_t count,
			       const char *reason)
{
	char count_text[16];

	for (size_t i = 0; i < count; i++)
		tasks[i]->local.phase = RUN_REFUSED;
	g_snprintf(count_text, sizeof(count_text), "%zu", count);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", tasks[0]->step->job->spec->id, "vm", vm->id, "runs",
			     count_text, "reason", reason),
		  "start requests are withdrawn before they were sent");
	propose_lost_runs(vm->leader, tasks, count, NULL);
}

void leader_mark_all_runs_lost(leader_vm_t *vm, const char *reason)
{
	batch_vm_t *record = leader_vm_record(vm);
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();
	batch_task_t *task;
	char count[16];

	if (record == NULL)
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (!task->local.loss_pending && !task->local.handover_pending)
			g_ptr_array_add(tasks, task);
	}
	if (tasks->len == 0)
		return;
	g_snprintf(count, sizeof(count), "%u", tasks->len);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id, "runs", count, "reason", reason),
		  "all runs of the VM are lost");
	propose_lost_runs(vm->leader, (batch_task_t **)tasks->pdata, tasks->len, vm);
}

/* --- finished runs --- */

void leader_update_vm_stats(leader_vm_t *vm, const batch_task_t *task, Lp__BatchEndKind kind,
			    uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;
	double expected_us = task->step->mean_ms * (double)US_PER_MS;
	double ratio;

	if (kind == LP__BATCH_END_KIND__BATCH_END_FAILED) {
		vm->recent_failures += 1;
		if (vm->recent_failures >= QUARANTINE_FAILURES &&
		    vm->recent_failures > 2 * vm->recent_successes &&
		    now_us >= vm->quarantine_until_us) {
			vm->quarantine_until_us = now_us + QUARANTINE_US;
			log_event(G_LOG_LEVEL_MESSAGE,
				  LOG_FIELDS("vm", vm->id, "service", vm->service),
				  "runs on the VM keep failing; it gets no new tasks for %d s",
				  (int)(QUARANTINE_US / US_PER_S));
		}
		return;
	}
	if (kind != LP__BATCH_END_KIND__BATCH_END_DONE)
		return;
	vm->recent_successes += 1;
	if (expected_us <= 0 || task->local.phase != RUN_CONFIRMED || task->checkpoint != NULL)
		return;
	ratio = (double)(now_us - task->local.phase_since_us) / expected_us;
	if (spec->data_rack[0] != '\0' && strcmp(spec->data_rack, vm->rack) != 0)
		ratio /=
			1.5; /* slowdown of a task outside the rack of its data (crossRackFactor) */
	ratio = CLAMP(ratio, 0.2, SLOWNESS_MAX);
	vm->slowness += SLOWNESS_WEIGHT * (ratio - vm->slowness);
}

typedef struct {
	vm_handle_t vm;
} finished_call_t;

static void on_finished_committed(void *arg, Lp__ResultCode code)
{
	g_autofree finished_call_t *ends = arg;
	leader_vm_t *vm = vm_handle_get(&ends->vm);

	if (vm == NULL)
		return;
	vm->commit_in_flight = false;
	vm->leader->placement_due = true;
	/* Send the next hold request even if the commit has failed: its response lists the
	 * uncommitted runs again. */
	leader_hold_tick(vm, leader_now_us(vm->leader));
}

static void fill_finished_run(batch_leader_t *leader, leader_vm_t *vm,
			      const vm_finished_run_t *finished, Lp__BatchTask *ref,
			      Lp__BatchEnd *end)
{
	batch_task_t *task = leader_find_task(leader, &finished->task);
	uint64_t now_us = leader_now_us(leader);

	lp__batch_task__init(ref);
	lp__batch_end__init(end);
	end->task = ref;
	end->kind = finished->kind;
	end->checkpoint = (char *)finished->checkpoint;
	/* The job no longer exists. The empty task reference matches no task; the entry only
	 * serves to acknowledge the run. */
	if (task == NULL)
		return;
	batch_task_ref(task, ref);
	ref->run = finished->run;
	if (task->run == finished->run && task->vm == leader_vm_record(vm)) {
		if (finished->kind == LP__BATCH_END_KIND__BATCH_END_FAILED)
			task->local.failed_vm_hash = leader_vm_hash(vm->id);
		leader_update_vm_stats(vm, task, finished->kind, now_us);
	}
	if (finished->kind == LP__BATCH_END_KIND__BATCH_END_FAILED ||
	    finished->kind == LP__BATCH_END_KIND__BATCH_END_ALONE ||
	    finished->kind == LP__BATCH_END_KIND__BATCH_END_LAPSED) {
		char run[RUN_LABEL_MAX];

		run_label_format(run, &finished->task, finished->run);
		log_event(
			G_LOG_LEVEL_INFO,
			LOG_FIELDS("request", finished->task.job, "task", run, "vm", vm->id, "end",
				   finished->kind == LP__BATCH_END_KIND__BATCH_END_FAILED ? "failed"
				   : finished->kind == LP__BATCH_END_KIND__BATCH_END_ALONE
					   ? "alone"
					   : "lapsed"),
			"run did not complete");
	}
}

static void propose_finished_runs(leader_vm_t *vm, batch_vm_t *record, const vm_reply_t *reply)
{
	batch_leader_t *leader = vm->leader;
	void *mem = talloc_new(NULL);
	Lp__BatchTask *refs = talloc_zero_array(mem, Lp__BatchTask, reply->finished_count);
	Lp__BatchEnd *items = talloc_zero_array(mem, Lp__BatchEnd, reply->finished_count);
	Lp__BatchEnd **list = talloc_zero_array(mem, Lp__BatchEnd *, reply->finished_count);
	Lp__BatchEnds ends = LP__BATCH_ENDS__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	finished_call_t *context;

	for (size_t i = 0; i < reply->finished_count; i++) {
		if (reply->finished[i].number <= record->acknowledged)
			continue;
		fill_finished_run(leader, vm, &reply->finished[i], &refs[ends.n_ends],
				  &items[ends.n_ends]);
		list[ends.n_ends] = &items[ends.n_ends];
		ends.n_ends++;
		ends.noted = MAX(ends.noted, reply->finished[i].number);
	}
	if (ends.n_ends == 0)
		goto finish;
	ends.vm = vm->id;
	ends.born_ms = vm->born_ms;
	ends.ends = list;
	command.body_case = LP__BATCH_COMMAND__BODY_ENDS;
	command.ends = &ends;
	context = g_new0(finished_call_t, 1);
	vm_handle_set(&context->vm, vm);
	vm->commit_in_flight = true;
	metrics_add(leader->stats.ends, ends.n_ends);
	leader_propose(leader, &command, on_finished_committed, context);
finish:
	talloc_free(mem);
}

/* --- hold requests --- */

static bool is_stalled(const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;
	const run_local_state_t *local = &task->local;

	/* Slow progress is normal for best-effort tasks, which only get spare CPU, and for gang
	 * members, which wait for each other. */
	if (spec->long_running || spec->best_effort || spec->gang || local->pace_percent < 100 ||
	    local->phase != RUN_CONFIRMED || local->evacuate)
		return false;
	return now_us >= local->progress_us + STALL_TIMEOUT_US && local->progress_percent < 100;
}

static void check_progress(leader_vm_t *vm, batch_task_t *task, uint64_t now_us)
{
	char run[RUN_LABEL_MAX];

	if (!is_stalled(task, now_us))
		return;
	task->local.evacuate = true;
	vm->quarantine_until_us = now_us + QUARANTINE_US;
	run_label_of_task(run, task);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", vm->id,
			     "reason", "no progress"),
		  "moving a task to another VM");
}

static void update_running_task(leader_vm_t *vm, batch_task_t *task, const vm_run_status_t *running,
				uint64_t now_us)
{
	run_local_state_t *local = &task->local;

	if (local->phase != RUN_CONFIRMED) {
		local->phase = RUN_CONFIRMED;
		local->phase_since_us = now_us;
		local->progress_us = now_us;
	}
	local->listed = true;
	task->step->job->begun_seen = true;
	local->crash = LP__BATCH_CRASH__BATCH_CRASH_NONE;
	if (local->confirmed_clock_ms == 0)
		local->confirmed_clock_ms = leader_vm_clock_ms(vm, now_us);
	if (local->progress_percent != running->percent || local->progress_us == 0)
		local->progress_us = now_us;
	local->progress_percent = running->percent;
	local->load = running->load;
	if (strlen(running->checkpoint) < sizeof(local->reported_checkpoint))
		g_strlcpy(local->reported_checkpoint, running->checkpoint,
			  sizeof(local->reported_checkpoint));
	check_progress(vm, task, now_us);
}

/* Updates the tasks that the VM lists as running, and stops runs that are not assigned to it.
 * Adds the updated tasks to listed. @return number of runs not assigned to the VM */
static unsigned match_running(leader_vm_t *vm, const batch_vm_t *record, const vm_reply_t *reply,
			      GHashTable *listed, uint64_t now_us)
{
	unsigned orphan_count = 0;

	for (size_t i = 0; i < reply->running_count; i++) {
		const vm_run_status_t *running = &reply->running[i];
		batch_task_t *task = leader_find_task(vm->leader, &running->task);

		if (task != NULL && task->vm != NULL && task->vm == record &&
		    task->run == running->run) {
			update_running_task(vm, task, running, now_us);
			g_hash_table_add(listed, task);
			continue;
		}
		/* The VM has started a run that was sent to its previous incarnation. */
		if (task != NULL && task->run == running->run && task->local.handover_pending)
			continue;
		orphan_count++;
		leader_stop_orphan(vm, &running->task, running->run);
	}
	return orphan_count;
}

static void match_finished(const leader_vm_t *vm, const vm_reply_t *reply, GHashTable *listed)
{
	for (size_t i = 0; i < reply->finished_count; i++) {
		batch_task_t *task = leader_find_task(vm->leader, &reply->finished[i].task);

		if (task != NULL && task->run == reply->finished[i].run)
			g_hash_table_add(listed, task);
	}
}

/* Handles a run that is assigned to the VM although the response to the hold request sent at
 * sent_us does not list it. */
static void handle_unlisted_run(leader_vm_t *vm, batch_task_t *task, uint64_t sent_us)
{
	run_local_state_t *local = &task->local;

	switch (local->phase) {
	case RUN_INHERITED:
		/* The VM has seen this leader's fencing token and refuses start requests of earlier
		 * leaders from then on, so the run cannot start any more. */
		if (local->phase_since_us < sent_us)
			leader_mark_run_lost(vm->leader, task,
					     "not started under an earlier leader");
		break;
	case RUN_AWAITS_TICKET:
	case RUN_START_QUEUED:
	case RUN_START_SENT:
		break;
	case RUN_CONFIRMED:
		if (local->phase_since_us < sent_us)
			leader_mark_run_lost(vm->leader, task, "the VM does not list it any more");
		break;
	case RUN_UNSURE:
		if (local->stop_acked && local->stop_acked_us < sent_us)
			leader_mark_run_lost(vm->leader, task, "no answer to the start; stopped");
		else
			leader_request_stop(vm, task);
		break;
	case RUN_REFUSED:
		leader_mark_run_lost(vm->leader, task, "the VM has refused it");
		break;
	}
}

static void handle_unlisted_runs(leader_vm_t *vm, batch_vm_t *record, GHashTable *listed,
				 uint64_t sent_us)
{
	batch_task_t *task;
	batch_task_t *next;

	for (task = LIST_FIRST(&record->tasks); task != NULL; task = next) {
		next = LIST_NEXT(task, vm_link);
		if (!g_hash_table_contains(listed, task))
			handle_unlisted_run(vm, task, sent_us);
	}
}

static void handle_hold_answer(leader_vm_t *vm, const hold_t *hold, const vm_reply_t *reply)
{
	uint64_t now_us = leader_now_us(vm->leader);
	batch_vm_t *record = leader_vm_record(vm);
	g_autoptr(GHashTable) listed = g_hash_table_new(NULL, NULL);

	if (!vm->fence_acked || vm->unresponsive)
		vm->leader->placement_due = true;
	if (!vm->fence_acked)
		vm->fence_acked_us = now_us;
	vm->fence_acked = true;
	vm->unresponsive = false;
	vm->unresponsive_since_us = 0;
	vm->broke_off = false;
	vm->hold_answered_us = now_us;
	vm->answered_sent_us = MAX(vm->answered_sent_us, hold->sent_us);
	leader_settle_challenge(vm, now_us);
	vm->acked_end = MAX(vm->acked_end, hold->acked_end);
	vm->hold_due_us = now_us + CLAMP(2 * vm->leader->tick_lag_us, HOLD_MIN_INTERVAL_US,
					 HOLD_MAX_INTERVAL_US);
	vm->orphan_count = match_running(vm, record, reply, listed, now_us);
	if (record == NULL) {
		for (size_t i = 0; i < reply->finished_count; i++)
			vm->unassigned_last_end =
				MAX(vm->unassigned_last_end, reply->finished[i].number);
		return;
	}
	match_finished(vm, reply, listed);
	/* A run that is missing from a partial list has possibly finished. */
	if (!reply->partial)
		handle_unlisted_runs(vm, record, listed, hold->sent_us);
	propose_finished_runs(vm, record, reply);
}

static void handle_hold_failure(leader_vm_t *vm, const hold_t *hold, const vm_reply_t *reply)
{
	uint64_t now_us = leader_now_us(vm->leader);

	vm->hold_due_us = vm->unresponsive ? now_us + HOLD_RETRY_US : now_us;
	suspect_hold_failed(vm, reply->code, hold->sent_us, hold->wait_ms);
	if (!vm->unresponsive) {
		vm->unresponsive_since_us = now_us;
		log_event(G_LOG_LEVEL_MESSAGE,
			  LOG_FIELDS("vm", vm->id, "address", vm->address, "reply",
				     vm_reply_name(reply->code)),
			  "VM does not respond to hold requests");
	}
	vm->unresponsive = true;
	leader_challenge_failed(vm, hold->sent_us);
}

static void handle_hold_reply(leader_vm_t *vm, const hold_t *hold, const vm_reply_t *reply)
{
	vm->hold_in_flight = false;
	switch (reply->code) {
	case VM_REPLY_OK:
		handle_hold_answer(vm, hold, reply);
		break;
	case VM_REPLY_OTHER_INCARNATION:
	case VM_REPLY_FENCED:
	case VM_REPLY_STALE_RUN:
	case VM_REPLY_TOO_LATE:
	case VM_REPLY_NO_ROOM:
	case VM_REPLY_BAD_TICKET:
	case VM_REPLY_INVALID:
	case VM_REPLY_UNHEALTHY:
	case VM_REPLY_BUSY:
	case VM_REPLY_NOT_SENT:
	case VM_REPLY_NO_RESPONSE:
		handle_hold_failure(vm, hold, reply);
		break;
	}
}

static void on_hold_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree hold_t *hold = arg;
	leader_vm_t *vm = vm_handle_get(&hold->vm);

	if (vm == NULL)
		return;
	if (reply->born_ms != 0 && reply->born_ms != vm->born_ms) {
		leader_vm_read_other_life(vm, reply);
		return;
	}
	if (hold->grants_lease)
		leader_update_lease(vm, reply, hold->sent_us);
	leader_vm_read_clock(vm, reply);
	if (reply->code == VM_REPLY_OTHER_INCARNATION)
		leader_vm_mark_dead(vm, "its address has another VM");
	else if (hold->seq == vm->hold_seq)
		handle_hold_reply(vm, hold, reply);
}

static void on_probe_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree hold_t *probe = arg;
	leader_vm_t *vm = vm_handle_get(&probe->vm);

	if (vm == NULL)
		return;
	if (reply->born_ms != 0 && reply->born_ms != vm->born_ms) {
		leader_vm_read_other_life(vm, reply);
		return;
	}
	if (reply->code == VM_REPLY_OTHER_INCARNATION) {
		leader_vm_mark_dead(vm, "its address has another VM");
		return;
	}
	leader_vm_read_clock(vm, reply);
	if (reply->code != VM_REPLY_OK)
		leader_challenge_failed(vm, probe->sent_us);
	/* If the probe has failed or no longer belongs to the pending hold request, wait for the
	 * response or the timeout of the hold request. */
	if (reply->code != VM_REPLY_OK || probe->seq != vm->hold_seq || !vm->hold_in_flight)
		return;
	metrics_add(vm->leader->stats.holds_overtaken, 1);
	vm->hold_seq++;
	vm->hold_in_flight = false;
	handle_hold_answer(vm, probe, reply);
}

static uint64_t last_committed_end(leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);

	return record != NULL ? record->acknowledged : vm->unassigned_last_end;
}

/* @return number of the latest finished run that a hold request may acknowledge; 0: none. A VM that
 * has restarted under its id numbers its finished runs from 1 again, and would forget them unread
 * if it were sent a number of its earlier incarnation. */
static uint64_t end_to_acknowledge(leader_vm_t *vm, uint64_t now_us)
{
	uint64_t end = last_committed_end(vm);
	bool is_fresh =
		vm->hold_answered_us != 0 && now_us <= vm->hold_answered_us + ACKNOWLEDGE_FRESH_US;

	return end > vm->acked_end && is_fresh ? end : 0;
}

/* True when a hold request must show whether the VM still runs: a report challenges it, a notice of
 * its shutdown has arrived, or it reports although it has not answered. */
static bool awaits_answer(const leader_vm_t *vm, uint64_t now_us)
{
	if (vm->challenged_us != 0)
		return true;
	if (vm->shutdown_us != 0 && now_us >= vm->shutdown_us + VM_SHUTDOWN_SETTLE_US)
		return true;
	return vm->unresponsive && leader_vm_report_is_fresh(vm, now_us);
}

static bool hold_needed(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);

	if (awaits_answer(vm, now_us))
		return true;
	if (vm->orphan_count > 0 || vm->acked_end < last_committed_end(vm))
		return true;
	return record != NULL && (record->task_count > 0 || !vm->fence_acked);
}

/* True while the task starts up and others of its step can only move once it is available. */
static bool awaits_startup(const batch_task_t *task, double age_ms)
{
	return task->step->spec->max_unavailable > 0 && task->local.progress_percent < 100 &&
	       age_ms < STARTUP_POLLED_MS;
}

/* @return time in ms until the first of the VM's runs should have finished, including the wait
 * margin. The expected run time is that of the step, corrected by the VM's slowness. */
static uint32_t expected_end_ms(const leader_vm_t *vm, const batch_vm_t *record, uint64_t now_us)
{
	uint64_t next_ms = UINT32_MAX;
	const batch_task_t *task;

	LIST_FOREACH (task, &record->tasks, vm_link) {
		const Lp__BatchStep *spec = task->step->spec;
		double run_ms = task->step->mean_ms * MAX(1.0, vm->slowness);
		double margin_ms = run_ms * WAIT_MARGIN_PERCENT / 100 + WAIT_MARGIN_MS;
		double age_ms = 0;

		if ((task->crashes > 0 || vm->reserved_job != 0) && !suspect_run_proven(vm, task))
			next_ms = MIN(next_ms, SUSPECT_PROOF_MS);
		if (task->local.phase == RUN_CONFIRMED)
			age_ms = (double)(now_us - task->local.phase_since_us) / US_PER_MS;
		if (spec->long_running) {
			if (awaits_startup(task, age_ms))
				next_ms = MIN(next_ms, STARTUP_POLL_MS);
			continue;
		}
		next_ms = MIN(next_ms, (uint64_t)(MAX(run_ms - age_ms, 0) + margin_ms));
	}
	return (uint32_t)next_ms;
}

/* @return longest wait of a hold request, in ms: after a challenge or a notice of the VM's
 * shutdown, a request must soon be sent that shows whether the VM still runs */
static uint32_t wait_limit_ms(const leader_vm_t *vm, uint64_t now_us)
{
	uint64_t settled_us = vm->shutdown_us + VM_SHUTDOWN_SETTLE_US;

	if (vm->challenged_us != 0)
		return 0;
	if (vm->shutdown_us == 0)
		return vm->leader->config.hold_wait_ms;
	return settled_us > now_us ? (uint32_t)((settled_us - now_us) / US_PER_MS) : 0;
}

static uint32_t hold_wait_ms(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);

	/* The VM must respond at once to a hold request that only acknowledges finished runs,
	 * precedes one that does, checks for unassigned tasks, or tests whether the VM responds. */
	if (record == NULL || record->task_count == 0 || vm->orphan_count > 0 || !vm->fence_acked ||
	    vm->unresponsive)
		return 0;
	if (vm->acked_end < last_committed_end(vm) && end_to_acknowledge(vm, now_us) == 0)
		return 0;
	return MIN(expected_end_ms(vm, record, now_us), wait_limit_ms(vm, now_us));
}

static void send_hold(leader_vm_t *vm, uint64_t now_us)
{
	batch_leader_t *leader = vm->leader;
	hold_t *hold = g_new0(hold_t, 1);
	vm_ref_t ref = leader_vm_ref(vm);
	uint64_t clock_ms = leader_vm_clock_ms(vm, now_us);
	vm_hold_t message = {
		.fence = leader->term,
		.acknowledged = end_to_acknowledge(vm, now_us),
		.wait_ms = hold_wait_ms(vm, now_us),
	};

	/* Grant no lease to an unresponsive VM. The VM could receive the grant late, and its tasks
	 * could not be restarted on other VMs before the granted lease has expired. */
	hold->grants_lease = !vm->unresponsive && clock_ms > 0;
	if (hold->grants_lease)
		message.lease_until_ms = clock_ms + leader->config.lease_ms;
	vm_handle_set(&hold->vm, vm);
	hold->sent_us = now_us;
	hold->wait_ms = message.wait_ms;
	hold->acked_end = message.acknowledged;
	vm->hold_in_flight = true;
	hold->seq = ++vm->hold_seq;
	vm->probes_sent = 0;
	vm->probe_due_us =
		now_us + message.wait_ms * US_PER_MS + PROBE_DELAY_US + 2 * leader->tick_lag_us;
	metrics_add(leader->stats.holds, 1);
	leader->port.hold(leader->port.arg, &ref, &message, on_hold_reply, hold);
}

/* Sends a probe when the hold request is overdue. Without it, finished runs would be noticed
 * only after the timeout of the hold request, and most jobs on the VM would be late. */
static void probe_late_hold(leader_vm_t *vm, uint64_t now_us)
{
	batch_leader_t *leader = vm->leader;
	vm_ref_t ref = leader_vm_ref(vm);
	vm_hold_t message = {.fence = leader->term};
	hold_t *probe;

	if ((vm->unresponsive && vm->challenged_us == 0) || now_us < vm->probe_due_us ||
	    vm->probes_sent >= PROBES_MAX)
		return;
	probe = g_new0(hold_t, 1);
	vm_handle_set(&probe->vm, vm);
	probe->seq = vm->hold_seq;
	probe->sent_us = now_us;
	vm->probes_sent++;
	vm->probe_due_us = now_us + PROBE_INTERVAL_US;
	metrics_add(leader->stats.holds, 1);
	leader->port.hold(leader->port.arg, &ref, &message, on_probe_reply, probe);
}

void leader_hold_tick(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);

	if (vm->hold_in_flight)
		probe_late_hold(vm, now_us);
	if (vm->hold_in_flight || vm->commit_in_flight)
		return;
	if (vm->unresponsive && leader_lease_has_ended(vm, now_us) && record != NULL &&
	    record->task_count > 0) {
		/* No run is left on the VM, because a VM stops its runs itself when its lease
		 * expires. */
		leader_mark_all_runs_lost(vm, "the lease of the silent VM has expired");
	}
	if (now_us < vm->hold_due_us || !hold_needed(vm, now_us))
		return;
	send_hold(vm, now_us);
}
