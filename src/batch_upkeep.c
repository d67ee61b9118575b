#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include "batch_leader_internal.h"
#include "log.h"

/* A machine that is to be maintained waits so long for its short tasks; after that they are stopped
 * and continue elsewhere. Longer than the usual task. */
#define CORDON_WAIT_US (2500 * US_PER_MS)
/* An order without an answer, or refused because the machine is busy, is sent again after this. */
#define ORDER_RETRY_US (500 * US_PER_MS)
/* How often waves are looked after. */
#define ORDER_PERIOD_US (50 * US_PER_MS)
/* A machine that has not reported again by this time after its maintenance does not count as down
 * for it any more. */
#define RETURN_SLACK_MS 3000
/* VM clocks and the leader's differ by less than this, except on a step of the clock. */
#define CLOCK_SLACK_MS 500

/* --- tasks that serve beside tasks that fill --- */

/* A tail over the goal slows the best-effort tasks beside it to this share of their pace; three
 * looks of half a second bring them below 10%, well within the time that a miss may last. */
#define PACE_DOWN_PERCENT 40
/* Below this share of the goal there is room to let them work faster again. */
#define PACE_UP_BELOW_PERCENT 60
#define PACE_UP_STEP 15
#define PACE_GAP_US (450 * US_PER_MS)
/* Paces lower than this are ordered as a halt. */
#define PACE_LEAST 10

typedef struct {
	bool over; /* a task misses its goal */
	bool near; /* a task is near its goal */
	bool filling;
} mix_t;

static mix_t look(const batch_vm_t *life)
{
	mix_t mix = {0};
	const batch_task_t *task;

	LIST_FOREACH (task, &life->tasks, vm_link) {
		const Lp__BatchStep *spec = task->step->spec;

		mix.filling |= spec->best_effort;
		if (spec->tail_goal_ms == 0 || task->soft.phase != RUN_CONFIRMED)
			continue;
		mix.over |= task->soft.load > spec->tail_goal_ms;
		mix.near |= task->soft.load * 100 > spec->tail_goal_ms * PACE_UP_BELOW_PERCENT;
	}
	return mix;
}

static uint32_t next_pace(const batch_task_t *task, const mix_t *mix)
{
	uint32_t pace = task->soft.paced;

	if (mix->over) {
		pace = pace * PACE_DOWN_PERCENT / 100;
		return pace < PACE_LEAST ? 0 : pace;
	}
	return mix->near ? pace : MIN(100, pace + PACE_UP_STEP);
}

void leader_pace_tick(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *life = leader_vm_life(vm);
	batch_task_t *task;
	mix_t mix;

	if (life == NULL || now_us < vm->pace_due_us)
		return;
	vm->pace_due_us = now_us + PACE_GAP_US;
	mix = look(life);
	if (!mix.filling)
		return;
	LIST_FOREACH (task, &life->tasks, vm_link) {
		if (task->step->spec->best_effort && task->soft.phase == RUN_CONFIRMED)
			leader_order_pace(vm, task, next_pace(task, &mix));
	}
}

/* --- evacuation --- */

/* Holds wait a second for an end; what is known of a task is older only when its VM is silent. */
#define KNOWN_US (1500 * US_PER_MS)

static bool is_at_work(const batch_task_t *task, uint64_t now_us)
{
	const run_soft_t *soft = &task->soft;
	const leader_vm_t *vm = task->vm != NULL ? task->vm->leader : NULL;

	if (vm == NULL || vm->suspect || now_us > vm->answered_us + KNOWN_US)
		return false;
	return !soft->evacuate && soft->phase == RUN_CONFIRMED && soft->percent >= 100;
}

/* Tasks of the step that are not known to be at work. */
static uint32_t unavailable(const batch_step_t *step, uint64_t now_us)
{
	uint32_t away = 0;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (!is_at_work(&step->tasks[i], now_us))
			away++;
	}
	return away;
}

static bool may_evacuate(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;

	/* A VM that drains takes the task down in any case. */
	if (vm->draining || spec->max_unavailable == 0)
		return true;
	return unavailable(task->step, now_us) < spec->max_unavailable;
}

static bool must_move(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;

	if (task->soft.evacuate || task->soft.phase != RUN_CONFIRMED)
		return false;
	if (spec->long_running)
		return true;
	if (vm->draining)
		return false;
	return now_us > vm->cordoned_us + CORDON_WAIT_US;
}

static void log_move(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	char run[RUN_TEXT_MAX];
	char away[16];

	run_text_of(run, task);
	g_snprintf(away, sizeof(away), "%u", unavailable(task->step, now_us));
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", vm->id,
			     "away", away, "reason",
			     vm->draining ? "the VM drains" : "maintenance"),
		  "moves a task to another VM");
}

void leader_evacuate_tick(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *life = leader_vm_life(vm);
	batch_task_t *task;

	if (life == NULL || (!vm->draining && !vm->cordoned))
		return;
	LIST_FOREACH (task, &life->tasks, vm_link) {
		if (!must_move(vm, task, now_us) || !may_evacuate(vm, task, now_us))
			continue;
		log_move(vm, task, now_us);
		task->soft.evacuate = true;
	}
}

/* --- waves --- */

static void on_order_recorded(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *upkeep = arg;
	leader_machine_t *machine = machine_call_get(upkeep);

	if (machine != NULL)
		machine->busy = false;
}

static void on_order_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree machine_call_t *upkeep = arg;
	batch_leader_t *leader = upkeep->leader;
	Lp__BatchOrderState state = LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE;
	leader_machine_t *machine = machine_call_get(upkeep);
	leader_vm_t *vm;

	if (machine == NULL)
		return;
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("machine", upkeep->machine, "reply", vm_reply_name(reply->code)),
		  "maintenance was ordered");
	switch (reply->code) {
	case VM_REPLY_OK:
		state = LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN;
		vm = leader_vm_of_machine(leader, upkeep->machine);
		/* The VM that follows may have reported before the answer came. An order that was
		 * repeated may have done nothing now: a VM that goes on reporting is used again. */
		if (vm != NULL && upkeep->again)
			vm->ordered_us = leader_now_us(leader);
		else if (vm != NULL && vm->born_ms <= upkeep->born_ms)
			leader_vm_mark_dead(vm, "its machine is down for maintenance");
		break;
	case VM_REPLY_INVALID:
		state = LP__BATCH_ORDER_STATE__BATCH_ORDER_GONE;
		break;
	case VM_REPLY_FENCED:
	case VM_REPLY_OLD_RUN:
	case VM_REPLY_TOO_LATE:
	case VM_REPLY_NO_ROOM:
	case VM_REPLY_BAD_TICKET:
	case VM_REPLY_UNHEALTHY:
	case VM_REPLY_OTHER_LIFE:
	case VM_REPLY_BUSY:
	case VM_REPLY_NOT_SENT:
	case VM_REPLY_NONE:
		break;
	}
	if (state == LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE) {
		machine->retry_us = leader_now_us(leader);
		machine->retry_us += reply->code == VM_REPLY_FENCED
					     ? leader->config.holder_lease_ms * US_PER_MS
					     : ORDER_RETRY_US;
		machine->busy = false;
		return;
	}
	machine_call_propose(machine_call_new(leader, upkeep->machine, NULL, upkeep->wave), state,
			     on_order_recorded);
}

/* A VM that was born before the order is the one that the order ends. Without one, only the clocks
 * tell. */
static bool born_after(const leader_vm_t *vm, const batch_wave_machine_t *machine)
{
	if (machine->born_ms != 0)
		return vm->born_ms > machine->born_ms;
	return vm->born_ms > machine->since_ms + CLOCK_SLACK_MS;
}

/* @param again the order may have been carried out before */
static void send_order(batch_leader_t *leader, uint64_t wave, const char *machine, bool again)
{
	machine_order_t order = {
		.machine = machine,
		.wave = wave,
		.holder = leader->config.name,
		.fence = leader_next_fence(leader),
	};

	machine_call_t *upkeep = machine_call_new(leader, machine, NULL, wave);

	upkeep->again = again;
	leader_machine_add(leader, machine)->busy = true;
	leader->port.order(leader->port.arg, &order, on_order_reply, upkeep);
}

static void on_intent_recorded(void *arg, Lp__ResultCode code)
{
	g_autofree machine_call_t *upkeep = arg;
	leader_machine_t *machine = machine_call_get(upkeep);

	if (machine == NULL)
		return;
	if (code == LP__RESULT_CODE__RESULT_OK)
		send_order(upkeep->leader, upkeep->wave, upkeep->machine, false);
	else
		machine->busy = false;
}

static bool order_is_open(Lp__BatchOrderState state)
{
	return state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT ||
	       state == LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN;
}

static bool order_is_final(Lp__BatchOrderState state)
{
	return state == LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE ||
	       state == LP__BATCH_ORDER_STATE__BATCH_ORDER_GONE;
}

/* State of the machine in the latest wave that names it; NONE for one that has yet to be
 * maintained. @return false when no wave names it */
static bool wave_state(const batch_leader_t *leader, const char *machine,
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

	return wave_state(leader, machine, &state) && !order_is_final(state);
}

bool leader_in_maintenance(const batch_leader_t *leader, const char *machine)
{
	Lp__BatchOrderState state;

	return wave_state(leader, machine, &state) && order_is_open(state);
}

bool batch_wave_complete(const batch_wave_t *wave)
{
	for (size_t i = 0; i < wave->machine_count; i++) {
		if (!order_is_final(wave->machines[i].state))
			return false;
	}
	return true;
}

static void on_end_recorded(void *arg, Lp__ResultCode code)
{
	g_free(arg);
}

/* Without a record the wave's next tick, or the VM's next report, proposes it again. */
static void end_maintenance(batch_leader_t *leader, const batch_wave_t *wave, const char *machine)
{
	machine_call_propose(machine_call_new(leader, machine, NULL, wave->wave),
			     LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE, on_end_recorded);
}

void leader_upkeep_returned(batch_leader_t *leader, const leader_vm_t *vm)
{
	batch_wave_t *wave;

	LIST_FOREACH (wave, &leader->state->waves, link) {
		for (size_t i = 0; i < wave->machine_count; i++) {
			const batch_wave_machine_t *machine = &wave->machines[i];

			if (machine->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN &&
			    strcmp(machine->machine, vm->machine) == 0 && born_after(vm, machine))
				end_maintenance(leader, wave, machine->machine);
		}
	}
}

void leader_upkeep_cordon(batch_leader_t *leader, leader_vm_t *vm)
{
	const batch_wave_t *wave;

	LIST_FOREACH (wave, &leader->state->waves, link) {
		for (size_t i = 0; i < wave->machine_count; i++) {
			if (wave->machines[i].state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT &&
			    !vm->cordoned && !born_after(vm, &wave->machines[i]) &&
			    strcmp(wave->machines[i].machine, vm->machine) == 0) {
				vm->cordoned = true;
				vm->cordoned_us = leader_now_us(leader);
			}
		}
	}
}

/* Takes new tasks off the machine; true once nothing runs there. */
static bool prepare_machine(batch_leader_t *leader, const char *machine, uint64_t now_us)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine);
	const leader_machine_t *known = leader_machine(leader, machine);

	if (known != NULL &&
	    (known->busy || now_us < known->coming_until_us || now_us < known->retry_us))
		return false;
	if (leader_move_open(leader, machine) || leader_held_by_other(leader, machine, now_us))
		return false;
	if (vm == NULL)
		return true;
	if (!vm->cordoned) {
		vm->cordoned = true;
		vm->cordoned_us = now_us;
		log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id, "machine", machine),
			  "VM is cordoned for maintenance");
	}
	return leader_vm_is_empty(vm);
}

static void expire_open(batch_leader_t *leader, const batch_wave_t *wave,
			const batch_wave_machine_t *machine, uint64_t now_us)
{
	leader_machine_t *known = leader_machine_add(leader, machine->machine);
	uint64_t limit_us = (leader->config.maintenance_ms + RETURN_SLACK_MS) * US_PER_MS;

	if (machine->state != LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN)
		return;
	if (known->begun_us == 0)
		known->begun_us = now_us;
	if (now_us < known->begun_us + limit_us)
		return;
	known->begun_us = 0;
	end_maintenance(leader, wave, machine->machine);
}

/* Empty machines are maintained first: nothing has to move for them. */
static bool is_idle_machine(batch_leader_t *leader, const char *machine)
{
	leader_vm_t *vm = leader_vm_of_machine(leader, machine);

	return vm == NULL || leader_vm_is_empty(vm);
}

static void start_next(batch_leader_t *leader, batch_wave_t *wave, uint32_t room, uint64_t now_us)
{
	for (int idle = 1; idle >= 0; idle--) {
		for (size_t i = 0; i < wave->machine_count && room > 0; i++) {
			const batch_wave_machine_t *machine = &wave->machines[i];
			leader_machine_t *known;

			if (machine->state != LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE ||
			    is_idle_machine(leader, machine->machine) != (idle == 1))
				continue;
			room--;
			if (!prepare_machine(leader, machine->machine, now_us) ||
			    leader->orders_left == 0)
				continue;
			leader->orders_left--;
			known = leader_machine_add(leader, machine->machine);
			known->busy = true;
			known->ordered_here = true;
			machine_call_propose(
				machine_call_new(leader, machine->machine, NULL, wave->wave),
				LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT, on_intent_recorded);
		}
	}
}

static void tick_wave(batch_leader_t *leader, batch_wave_t *wave, uint64_t now_us)
{
	uint32_t open = 0;

	for (size_t i = 0; i < wave->machine_count; i++) {
		const batch_wave_machine_t *machine = &wave->machines[i];

		if (!order_is_open(machine->state))
			continue;
		open++;
		expire_open(leader, wave, machine, now_us);
		/* Recorded by an earlier leader, or sent without an answer: the same order again,
		 * once what was started there meanwhile has ended. */
		if (machine->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT &&
		    prepare_machine(leader, machine->machine, now_us))
			send_order(leader, wave->wave, machine->machine, true);
	}
	if (open < wave->max_down)
		start_next(leader, wave, wave->max_down - open, now_us);
}

void leader_upkeep_tick(batch_leader_t *leader, uint64_t now_us)
{
	batch_wave_t *wave;

	if (now_us < leader->order_due_us)
		return;
	leader->order_due_us = now_us + ORDER_PERIOD_US;
	/* A quarter of what the platform takes; the rest is for moves. */
	leader->orders_left =
		(unsigned)MAX(1, leader->config.orders_per_s * ORDER_PERIOD_US / US_PER_S / 4);
	LIST_FOREACH (wave, &leader->state->waves, link) {
		if (!batch_wave_complete(wave))
			tick_wave(leader, wave, now_us);
	}
}
