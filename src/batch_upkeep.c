#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include "batch_leader_internal.h"
#include "log.h"

/* How long a cordoned machine waits for its short tasks to finish before they are stopped and
 * restarted on other machines. Longer than most tasks take. */
#define CORDON_WAIT_US (2500 * US_PER_MS)
/* Delay before repeating a maintenance request that was unanswered, or refused because the
 * machine is busy. */
#define MAINTENANCE_RETRY_US (500 * US_PER_MS)
/* Delay before the end of a machine's maintenance is proposed again. */
#define DONE_RETRY_US (1 * US_PER_S)
/* Interval between updates of the maintenance waves. */
#define WAVE_PERIOD_US (50 * US_PER_MS)
/* The share of a wave's slots that machines with long-running tasks get from the beginning, as a
 * divisor. */
#define LASTING_SLOTS_DIVISOR 3
/* A machine still counts as in maintenance for this long after its expected downtime. If it has
 * not reported by then, its maintenance is taken as complete. */
#define RETURN_GRACE_MS 3000
/* Largest expected difference between the clocks of a VM and the leader. It is larger if one of the
 * clocks was set since the maintenance request. */
#define CLOCK_SKEW_MAX_MS 500

/* --- throttling of best-effort tasks --- */

/* Factor, in percent, applied to the pace of best-effort tasks in each period in which a task on
 * the VM misses its tail latency goal. Three periods of about half a second bring the pace below
 * 10%, well within the time for which a goal may be missed. */
#define PACE_DOWN_PERCENT 40
/* Best-effort tasks speed up again while the tail latency of every latency-goal task on the VM
 * is at most this share of its goal. */
#define PACE_UP_BELOW_PERCENT 60
#define PACE_UP_STEP_PERCENT 15
#define PACE_PERIOD_US (450 * US_PER_MS)
/* Lowest pace of a task that runs. A lower one is sent as 0, which halts the task. */
#define PACE_MIN_PERCENT 10

typedef struct {
	bool goal_missed; /* a task on the VM misses its tail latency goal */
	bool goal_near;	  /* a task exceeds PACE_UP_BELOW_PERCENT of its tail latency goal */
	bool has_best_effort;
} goal_status_t;

static goal_status_t check_goals(const batch_vm_t *record)
{
	goal_status_t status = {0};
	const batch_task_t *task;

	LIST_FOREACH (task, &record->tasks, vm_link) {
		const Lp__BatchStep *spec = task->step->spec;

		status.has_best_effort |= spec->best_effort;
		if (spec->tail_goal_ms == 0 || task->local.phase != RUN_CONFIRMED)
			continue;
		status.goal_missed |= task->local.load > spec->tail_goal_ms;
		status.goal_near |=
			task->local.load * 100 > spec->tail_goal_ms * PACE_UP_BELOW_PERCENT;
	}
	return status;
}

static uint32_t next_pace(const batch_task_t *task, const goal_status_t *status)
{
	uint32_t pace = task->local.pace_percent;

	if (status->goal_missed) {
		pace = pace * PACE_DOWN_PERCENT / 100;
		return pace < PACE_MIN_PERCENT ? 0 : pace;
	}
	return status->goal_near ? pace : MIN(100, pace + PACE_UP_STEP_PERCENT);
}

void leader_pace_tick(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);
	batch_task_t *task;
	goal_status_t status;

	if (record == NULL || now_us < vm->pace_due_us)
		return;
	vm->pace_due_us = now_us + PACE_PERIOD_US;
	status = check_goals(record);
	if (!status.has_best_effort)
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (task->step->spec->best_effort && task->local.phase == RUN_CONFIRMED)
			leader_request_pace(vm, task, next_pace(task, &status));
	}
}

/* --- evacuation --- */

/* Age from which a VM's progress data is too old to tell whether a task is available. A
 * responsive VM answers a hold request within a second. */
#define PROGRESS_MAX_AGE_US (1500 * US_PER_MS)

/* False while the VM may be stopping a run that it still lists as running, because an earlier
 * leader has told it to. */
static bool stops_are_visible(const leader_vm_t *vm)
{
	return vm->fence_acked &&
	       vm->hold_answered_us > vm->fence_acked_us + vm->leader->config.stop_ms * US_PER_MS;
}

static bool is_available(const batch_task_t *task, uint64_t now_us)
{
	const run_local_state_t *local = &task->local;
	const leader_vm_t *vm = task->vm != NULL ? task->vm->leader : NULL;

	if (vm == NULL || !stops_are_visible(vm) || vm->unresponsive ||
	    now_us > vm->hold_answered_us + PROGRESS_MAX_AGE_US)
		return false;
	return !local->evacuate && local->phase == RUN_CONFIRMED && local->progress_percent >= 100;
}

/* @return number of tasks of the step that are unavailable or whose state is unknown */
static uint32_t count_unavailable(const batch_step_t *step, uint64_t now_us)
{
	uint32_t unavailable = 0;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (!is_available(&step->tasks[i], now_us))
			unavailable++;
	}
	return unavailable;
}

static bool may_evacuate(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;

	/* A draining VM ends the task in any case. */
	if (vm->draining || spec->max_unavailable == 0)
		return true;
	return count_unavailable(task->step, now_us) < spec->max_unavailable;
}

bool leader_may_stop_evacuated(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;

	/* The task itself counts as unavailable since it was selected. */
	return vm->draining || spec->max_unavailable == 0 ||
	       count_unavailable(task->step, now_us) <= spec->max_unavailable;
}

static bool needs_evacuation(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;

	if (task->local.evacuate || task->local.phase != RUN_CONFIRMED)
		return false;
	if (spec->long_running)
		return true;
	if (vm->draining)
		return false;
	return now_us > vm->cordoned_since_us + CORDON_WAIT_US;
}

static void log_evacuation(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	char run[RUN_LABEL_MAX];
	char unavailable[16];

	run_label_of_task(run, task);
	g_snprintf(unavailable, sizeof(unavailable), "%u", count_unavailable(task->step, now_us));
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", vm->id,
			     "away", unavailable, "reason",
			     vm->draining ? "the VM drains" : "maintenance"),
		  "moving a task to another VM");
}

void leader_evacuate_tick(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);
	batch_task_t *task;

	if (record == NULL || (!vm->draining && !vm->cordoned))
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (!needs_evacuation(vm, task, now_us) || !may_evacuate(vm, task, now_us))
			continue;
		log_evacuation(vm, task, now_us);
		task->local.evacuate = true;
	}
}

/* --- maintenance waves --- */

static void on_result_committed(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *call = arg;
	leader_machine_t *machine = machine_call_get(call);

	if (machine != NULL)
		machine->request_in_flight = false;
}

static void on_maintenance_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree machine_call_t *call = arg;
	batch_leader_t *leader = call->leader;
	Lp__BatchOrderState state = LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE;
	leader_machine_t *machine = machine_call_get(call);
	leader_vm_t *vm;

	if (machine == NULL)
		return;
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("machine", call->machine, "reply", vm_reply_name(reply->code)),
		  "result of maintenance request");
	switch (reply->code) {
	case VM_REPLY_OK:
		state = LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN;
		vm = leader_vm_of_machine(leader, call->machine);
		/* The VM that follows on the machine has possibly reported already, so mark a VM as
		 * dead only if it started before the request. A repeated request has possibly had
		 * no effect, so do not mark the VM as dead then; if it keeps reporting, it is
		 * uncordoned. */
		if (vm != NULL && call->resent)
			vm->maintenance_resent_us = leader_now_us(leader);
		else if (vm != NULL && vm->born_ms <= call->born_ms) {
			vm->planned_end = true;
			leader_vm_mark_dead(vm, "its machine is down for maintenance");
		}
		break;
	case VM_REPLY_INVALID:
		state = LP__BATCH_ORDER_STATE__BATCH_ORDER_GONE;
		break;
	case VM_REPLY_FENCED:
	case VM_REPLY_STALE_RUN:
	case VM_REPLY_TOO_LATE:
	case VM_REPLY_NO_ROOM:
	case VM_REPLY_BAD_TICKET:
	case VM_REPLY_UNHEALTHY:
	case VM_REPLY_OTHER_INCARNATION:
	case VM_REPLY_BUSY:
	case VM_REPLY_NOT_SENT:
	case VM_REPLY_NO_RESPONSE:
		break;
	}
	if (state == LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE) {
		machine->retry_us = leader_now_us(leader);
		machine->retry_us += reply->code == VM_REPLY_FENCED
					     ? leader->config.holder_lease_ms * US_PER_MS
					     : MAINTENANCE_RETRY_US;
		machine->request_in_flight = false;
		return;
	}
	machine_call_propose(machine_call_new(leader, call->machine, NULL, call->wave), state,
			     on_result_committed);
}

/* True when the VM started after the VM that the maintenance request ended. If no VM was known
 * at the time of the request, compares the VM's start time with the time of the request. */
static bool started_after_request(const leader_vm_t *vm, const batch_wave_machine_t *machine)
{
	if (machine->born_ms != 0)
		return vm->born_ms > machine->born_ms;
	return vm->born_ms > machine->since_ms + CLOCK_SKEW_MAX_MS;
}

/* Sends a maintenance request to the platform. @param resent an earlier copy of the request has
 * possibly been carried out */
static void send_maintenance_request(batch_leader_t *leader, uint64_t wave, const char *machine,
				     bool resent)
{
	platform_request_t request = {
		.machine = machine,
		.wave = wave,
		.holder = leader->config.name,
		.fence = leader_next_fence(leader),
	};

	machine_call_t *call = machine_call_new(leader, machine, NULL, wave);

	call->resent = resent;
	leader_machine_add(leader, machine)->request_in_flight = true;
	leader->port.order(leader->port.arg, &request, on_maintenance_reply, call);
}

/* Cordons the machine's VM. @return true when the machine runs no tasks */
static bool cordon_machine(batch_leader_t *leader, const char *machine, uint64_t now_us)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine);

	if (vm == NULL)
		return true;
	if (!vm->cordoned) {
		vm->cordoned = true;
		vm->cordoned_since_us = now_us;
		log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id, "machine", machine),
			  "VM is cordoned for maintenance");
	}
	return leader_vm_is_empty(vm);
}

static void on_intent_committed(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *call = arg;
	batch_leader_t *leader = call->leader;
	leader_machine_t *machine = machine_call_get(call);

	if (machine == NULL)
		return;
	/* A VM that has reported since the request was proposed was not cordoned then, and possibly
	 * runs tasks; the request is repeated once they have ended. */
	if (code == LP__RESULT_CODE__RESULT_OK && machine_call_may_send(call) &&
	    cordon_machine(leader, call->machine, leader_now_us(leader)))
		send_maintenance_request(leader, call->wave, call->machine, call->resent);
	else
		machine->request_in_flight = false;
}

static bool is_final(Lp__BatchOrderState state)
{
	return state == LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE ||
	       state == LP__BATCH_ORDER_STATE__BATCH_ORDER_GONE;
}

/* Gets the machine's state in the latest wave that includes it; BATCH_ORDER_NONE means that its
 * maintenance was not requested yet. @return false when no wave includes it */
static bool latest_wave_state(const batch_leader_t *leader, const char *machine,
			      Lp__BatchOrderState *state)
{
	const batch_wave_machine_t *found =
		g_hash_table_lookup(leader->state->wave_machines, machine);

	if (found == NULL)
		return false;
	*state = found->state;
	return true;
}

bool leader_maintenance_due(const batch_leader_t *leader, const char *machine)
{
	Lp__BatchOrderState state;

	return latest_wave_state(leader, machine, &state) && !is_final(state);
}

bool leader_in_maintenance(const batch_leader_t *leader, const char *machine)
{
	Lp__BatchOrderState state;

	return latest_wave_state(leader, machine, &state) && batch_order_in_progress(state);
}

bool batch_wave_complete(const batch_wave_t *wave)
{
	for (size_t i = 0; i < wave->machine_count; i++) {
		if (!is_final(wave->machines[i].state))
			return false;
	}
	return true;
}

/* The next update of the wave proposes it again if the commit has failed. */
static void on_done_committed(void *arg, Lp__ResultCode code)
{
	g_free(arg);
}

void leader_maintenance_cordon(batch_leader_t *leader, leader_vm_t *vm)
{
	const batch_wave_t *wave;

	LIST_FOREACH (wave, &leader->state->waves, link) {
		for (size_t i = 0; i < wave->machine_count; i++) {
			if (wave->machines[i].state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT &&
			    !vm->cordoned && !started_after_request(vm, &wave->machines[i]) &&
			    strcmp(wave->machines[i].machine, vm->machine) == 0) {
				vm->cordoned = true;
				vm->cordoned_since_us = leader_now_us(leader);
			}
		}
	}
}

/* Cordons the machine's VM, unless another platform request or a move prevents maintenance.
 * @return true when maintenance can be requested now: nothing prevents it, and the machine runs no
 * tasks */
static bool prepare_machine(batch_leader_t *leader, const char *machine, uint64_t now_us)
{
	const leader_machine_t *platform_machine = leader_find_machine(leader, machine);

	if (platform_machine != NULL &&
	    (platform_machine->request_in_flight ||
	     now_us < platform_machine->arrival_deadline_us || now_us < platform_machine->retry_us))
		return false;
	if (leader_move_pending(leader, machine) ||
	    leader_machine_leased_elsewhere(leader, machine, now_us))
		return false;
	return cordon_machine(leader, machine, now_us);
}

/* True when the VM that follows on the machine after its maintenance has reported. An earlier
 * report than the maintenance takes is of a VM that the request was to end. */
static bool has_returned(const batch_leader_t *leader, const batch_wave_machine_t *machine)
{
	const leader_vm_t *vm = leader_vm_of_machine(leader, machine->machine);

	return vm != NULL &&
	       vm->last_report_us >= machine->sent_us + leader->config.maintenance_ms * US_PER_MS &&
	       started_after_request(vm, machine);
}

/* Proposes that the machine's maintenance is complete once its next VM has reported, or has not
 * reported for too long. */
static void end_maintenance(batch_leader_t *leader, const batch_wave_t *wave,
			    batch_wave_machine_t *machine, uint64_t now_us)
{
	uint64_t limit_us = (leader->config.maintenance_ms + RETURN_GRACE_MS) * US_PER_MS;
	bool returned = has_returned(leader, machine);
	char number[24];

	if (machine->state != LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN ||
	    (!returned && now_us < machine->begun_us + limit_us) ||
	    (machine->done_proposed_us != 0 && now_us < machine->done_proposed_us + DONE_RETRY_US))
		return;
	machine->done_proposed_us = now_us;
	g_snprintf(number, sizeof(number), "%" PRIu64, wave->number);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("machine", machine->machine, "wave", number, "reason",
			     returned ? "its next VM has reported" : "it has not reported in time"),
		  "maintenance is complete");
	machine_call_propose(machine_call_new(leader, machine->machine, NULL, wave->number),
			     LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE, on_done_committed);
}

typedef enum {
	MACHINE_IDLE,
	MACHINE_BUSY,
	MACHINE_LASTING, /* it runs long-running tasks */
} machine_load_t;

static machine_load_t machine_load(batch_leader_t *leader, const char *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine);
	const batch_vm_t *record = vm != NULL ? leader_vm_record(vm) : NULL;
	const batch_task_t *task;

	if (vm == NULL || leader_vm_is_empty(vm))
		return MACHINE_IDLE;
	if (record == NULL)
		return MACHINE_BUSY;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (task->step->spec->long_running)
			return MACHINE_LASTING;
	}
	return MACHINE_BUSY;
}

/* Commits the intent to send a maintenance request, and then sends it. A repeated request is
 * committed again, so that the next leader knows when the holder's lease of this one ends. */
static void request_maintenance(batch_leader_t *leader, const batch_wave_t *wave,
				const char *machine, bool resent)
{
	leader_machine_t *platform_machine = leader_machine_add(leader, machine);
	machine_call_t *call = machine_call_new(leader, machine, NULL, wave->number);

	call->resent = resent;
	leader->maintenance_requests_left--;
	platform_machine->request_in_flight = true;
	platform_machine->requested_by_this_leader = true;
	machine_call_propose(call, LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT, on_intent_committed);
}

/* True while a platform request for the machine is being committed or carried out. */
static bool is_requested(const batch_leader_t *leader, const char *machine)
{
	const leader_machine_t *platform_machine = leader_find_machine(leader, machine);

	return platform_machine != NULL && platform_machine->request_in_flight;
}

/* What the waves have in common in one update. */
typedef struct {
	uint64_t now_us;
	GHashTable *in_maintenance; /* names of the machines in maintenance, in any wave */
	GHashTable *blocked;	    /* names of those whose waves have reached their limit */
} wave_tick_t;

/* Prepares up to slots machines of the wave with the given load, and requests the maintenance of
 * those that are ready. @return number of machines prepared */
static uint32_t start_machines(batch_leader_t *leader, const batch_wave_t *wave,
			       const wave_tick_t *tick, machine_load_t load, uint32_t slots)
{
	uint32_t prepared = 0;

	for (size_t i = 0; i < wave->machine_count && prepared < slots; i++) {
		const batch_wave_machine_t *machine = &wave->machines[i];

		if (machine->state != LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE ||
		    g_hash_table_contains(tick->in_maintenance, machine->machine) ||
		    g_hash_table_contains(tick->blocked, machine->machine) ||
		    is_requested(leader, machine->machine) ||
		    machine_load(leader, machine->machine) != load)
			continue;
		prepared++;
		if (prepare_machine(leader, machine->machine, tick->now_us) &&
		    leader->maintenance_requests_left > 0)
			request_maintenance(leader, wave, machine->machine, false);
	}
	return prepared;
}

/* Machines with long-running tasks get a share of the slots from the beginning: their tasks can
 * only move one after the other, which takes longest. The other slots go to idle machines first,
 * because no task has to move. */
static void start_maintenance(batch_leader_t *leader, const batch_wave_t *wave,
			      const wave_tick_t *tick, uint32_t slots)
{
	uint32_t lasting_slots = (slots + LASTING_SLOTS_DIVISOR - 1) / LASTING_SLOTS_DIVISOR;

	slots -= start_machines(leader, wave, tick, MACHINE_LASTING, lasting_slots);
	slots -= start_machines(leader, wave, tick, MACHINE_IDLE, slots);
	slots -= start_machines(leader, wave, tick, MACHINE_BUSY, slots);
	if (slots > 0)
		start_machines(leader, wave, tick, MACHINE_LASTING, slots + lasting_slots);
}

static void tick_wave(batch_leader_t *leader, batch_wave_t *wave, const wave_tick_t *tick)
{
	uint32_t in_progress = 0;

	for (size_t i = 0; i < wave->machine_count; i++) {
		batch_wave_machine_t *machine = &wave->machines[i];

		/* A request that is not committed yet takes a slot too. */
		if (g_hash_table_contains(tick->in_maintenance, machine->machine))
			in_progress++;
		else if (machine->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE)
			in_progress += is_requested(leader, machine->machine);
		if (!batch_order_in_progress(machine->state))
			continue;
		end_maintenance(leader, wave, machine, tick->now_us);
		/* The request was committed by an earlier leader or is unanswered. Send it again
		 * once the tasks that were started on the machine in the meantime have ended. */
		if (machine->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT &&
		    prepare_machine(leader, machine->machine, tick->now_us) &&
		    leader->maintenance_requests_left > 0)
			request_maintenance(leader, wave, machine->machine, true);
	}
	if (in_progress < wave->max_down)
		start_maintenance(leader, wave, tick, wave->max_down - in_progress);
}

void leader_maintenance_tick(batch_leader_t *leader, uint64_t now_us)
{
	g_autoptr(GHashTable) in_maintenance = NULL;
	g_autoptr(GHashTable) blocked = NULL;
	wave_tick_t tick;
	batch_wave_t *wave;

	if (now_us < leader->maintenance_due_us)
		return;
	in_maintenance = g_hash_table_new(g_str_hash, g_str_equal);
	blocked = g_hash_table_new(g_str_hash, g_str_equal);
	batch_state_machines_in_maintenance(leader->state, in_maintenance);
	batch_state_blocked_machines(leader->state, in_maintenance, blocked);
	tick = (wave_tick_t){
		.now_us = now_us, .in_maintenance = in_maintenance, .blocked = blocked};
	leader->maintenance_due_us = now_us + WAVE_PERIOD_US;
	/* Maintenance gets a quarter of the platform's rate limit; the rest is for moves. */
	leader->maintenance_requests_left = (unsigned)MAX(
		1, leader->config.platform_requests_per_s * WAVE_PERIOD_US / US_PER_S / 4);
	LIST_FOREACH (wave, &leader->state->waves, link) {
		if (!batch_wave_complete(wave))
			tick_wave(leader, wave, &tick);
	}
}
