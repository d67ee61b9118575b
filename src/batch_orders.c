#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include "batch_leader_internal.h"
#include "log.h"

/* A stop without an answer is repeated after this; a VM carries one out within 200 ms. */
#define STOP_RETRY_US (500 * US_PER_MS)
/* A VM that had no room or was unhealthy is left alone for this long. */
#define REFUSED_PAUSE_US (300 * US_PER_MS)
/* A start without an answer is sent so often in all. A VM carries out the same run once, so that a
 * repetition does no harm, and takes a fraction of a second where stopping the run and starting
 * another takes two. */
#define START_TRIES 3

typedef struct {
	vm_handle_t vm;
	Lp__BatchTask task;
	uint64_t sent_us;
	uint32_t percent;
	unsigned tries; /* of a start, this one included */
} order_t;

static order_t *new_order(const leader_vm_t *vm, const batch_task_t *task)
{
	order_t *order = g_new0(order_t, 1);

	vm_handle_set(&order->vm, vm);
	batch_task_ref(task, &order->task);
	order->sent_us = leader_now_us(vm->leader);
	return order;
}

/* The task if the run that was ordered is still the one that the log has there. */
static batch_task_t *order_task(const order_t *order, leader_vm_t *vm)
{
	batch_task_t *task = batch_state_task(vm->leader->state, &order->task);

	if (task == NULL || task->run != order->task.run || task->vm == NULL ||
	    task->vm != leader_vm_life(vm))
		return NULL;
	return task;
}

static void log_start(const leader_vm_t *vm, const batch_task_t *task, vm_reply_code_t code,
		      unsigned tries)
{
	char run[RUN_TEXT_MAX];
	char term[24];
	char try[8];

	run_text_of(run, task);
	g_snprintf(term, sizeof(term), "%" PRIu64, vm->leader->term);
	g_snprintf(try, sizeof(try), "%u", tries);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", vm->id,
			     "reply", vm_reply_name(code), "try", try, "term", term),
		  "start was not carried out");
}

static void start_refused(leader_vm_t *vm, batch_task_t *task, vm_reply_code_t code)
{
	uint64_t now_us = leader_now_us(vm->leader);

	metrics_add(vm->leader->count.start_refused, 1);
	if (code == VM_REPLY_NO_ROOM || code == VM_REPLY_UNHEALTHY || code == VM_REPLY_NOT_SENT)
		vm->refused_until_us = now_us + REFUSED_PAUSE_US;
	if (code == VM_REPLY_BAD_TICKET)
		ticket_drop(task->step, vm->id);
	task->soft.phase = RUN_REFUSED;
	leader_lose_run(vm->leader, task, vm_reply_name(code));
}

/* Whether the run is there is open: it is stopped, and the next hold tells. */
static void start_unsure(leader_vm_t *vm, batch_task_t *task)
{
	uint64_t now_us = leader_now_us(vm->leader);

	metrics_add(vm->leader->count.start_unsure, 1);
	task->soft.phase = RUN_UNSURE;
	task->soft.since_us = now_us;
	vm->hold_due_us = now_us;
	leader_order_stop(vm, task);
}

static bool may_repeat(const leader_vm_t *vm, const batch_task_t *task)
{
	return task->soft.phase == RUN_ORDERED && task->status == BATCH_TASK_ASSIGNED &&
	       !batch_job_ended(task->step->job) && !vm->dead && !vm->draining && !vm->cordoned;
}

static void send_start(leader_vm_t *vm, batch_task_t *task, unsigned tries);

static void start_settled(leader_vm_t *vm, batch_task_t *task, const vm_reply_t *reply,
			  unsigned tries)
{
	uint64_t now_us = leader_now_us(vm->leader);

	if (reply->code != VM_REPLY_OK)
		log_start(vm, task, reply->code, tries);
	switch (reply->code) {
	case VM_REPLY_OK:
		if (task->soft.phase != RUN_CONFIRMED) {
			task->soft.phase = RUN_CONFIRMED;
			task->soft.since_us = now_us;
			task->soft.stalled_us = now_us;
		}
		break;
	case VM_REPLY_OLD_RUN:
	case VM_REPLY_TOO_LATE:
	case VM_REPLY_NO_ROOM:
	case VM_REPLY_BAD_TICKET:
	case VM_REPLY_INVALID:
	case VM_REPLY_UNHEALTHY:
	case VM_REPLY_BUSY:
	case VM_REPLY_NOT_SENT:
		/* An earlier try may have been carried out, or may yet be. */
		if (tries > 1)
			start_unsure(vm, task);
		else
			start_refused(vm, task, reply->code);
		break;
	case VM_REPLY_OTHER_LIFE:
		leader_vm_mark_dead(vm, "its address has another VM");
		break;
	case VM_REPLY_FENCED: /* another process leads; it decides about the run */
		start_unsure(vm, task);
		break;
	case VM_REPLY_NONE:
		if (tries < START_TRIES && may_repeat(vm, task))
			send_start(vm, task, tries + 1);
		else
			start_unsure(vm, task);
		break;
	}
}

static void on_start_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree order_t *order = arg;
	leader_vm_t *vm = vm_handle_get(&order->vm);
	batch_task_t *task;

	if (vm == NULL)
		return;
	vm->starts_busy--;
	metrics_record_us(vm->leader->count.start_latency,
			  leader_now_us(vm->leader) - order->sent_us);
	leader_grant_settled(vm, reply, order->sent_us);
	leader_vm_set_clock(vm, reply->clock_ms, leader_now_us(vm->leader));
	task = order_task(order, vm);
	if (task != NULL && task->soft.phase != RUN_CONFIRMED)
		start_settled(vm, task, reply, order->tries);
}

static void send_start(leader_vm_t *vm, batch_task_t *task, unsigned tries)
{
	batch_leader_t *leader = vm->leader;
	uint64_t now_us = leader_now_us(leader);
	vm_ref_t ref = leader_vm_ref(vm);
	vm_start_t start = {
		.run = task->run,
		.spec = task->step->job->spec->spec,
		.lease_until_ms = leader_vm_clock_ms(vm, now_us) + leader->config.lease_ms,
		.fence = leader->term,
		.checkpoint = task->checkpoint,
		.ticket = ticket_find(task->step, vm->id, now_us),
	};
	order_t *order = new_order(vm, task);

	order->tries = tries;
	task_name_set(&start.task, task);
	task->soft.phase = RUN_ORDERED;
	task->soft.since_us = now_us;
	vm->starts_busy++;
	metrics_add(leader->count.starts, 1);
	leader->port.start(leader->port.arg, &ref, &start, on_start_reply, order);
}

void leader_order_start(leader_vm_t *vm, batch_task_t *task)
{
	send_start(vm, task, 1);
}

/* --- stops --- */

static void on_stop_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree order_t *order = arg;
	leader_vm_t *vm = vm_handle_get(&order->vm);
	uint64_t now_us;
	batch_task_t *task;

	if (vm == NULL)
		return;
	now_us = leader_now_us(vm->leader);
	task = order_task(order, vm);
	if (task == NULL)
		return;
	task->soft.stop_busy = false;
	task->soft.stop_due_us = now_us + STOP_RETRY_US;
	if (reply->code == VM_REPLY_OK) {
		task->soft.stop_acked = true;
		task->soft.stop_acked_us = now_us;
		vm->hold_due_us = now_us;
	} else if (reply->code == VM_REPLY_OTHER_LIFE) {
		leader_vm_mark_dead(vm, "its address has another VM");
	}
}

static void send_stop(leader_vm_t *vm, const vm_stop_t *stop, vm_done_fn done, void *arg)
{
	vm_ref_t ref = leader_vm_ref(vm);

	metrics_add(vm->leader->count.stops, 1);
	vm->leader->port.stop(vm->leader->port.arg, &ref, stop, done, arg);
}

void leader_order_stop(leader_vm_t *vm, batch_task_t *task)
{
	uint64_t now_us = leader_now_us(vm->leader);
	vm_stop_t stop = {.run = task->run, .fence = vm->leader->term};

	if (task->soft.stop_busy || now_us < task->soft.stop_due_us || task->soft.losing)
		return;
	task_name_set(&stop.task, task);
	task->soft.stop_busy = true;
	send_stop(vm, &stop, on_stop_reply, new_order(vm, task));
}

static void on_orphan_stopped(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_handle_t *handle = arg;
	leader_vm_t *vm = vm_handle_get(handle);

	if (vm != NULL)
		vm->hold_due_us = leader_now_us(vm->leader) + 50 * US_PER_MS;
}

void leader_stop_orphan(leader_vm_t *vm, const task_name_t *name, uint32_t run)
{
	vm_handle_t *handle = g_new0(vm_handle_t, 1);
	vm_stop_t stop = {.task = *name, .run = run, .fence = vm->leader->term};

	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", name->job, "vm", vm->id),
		  "stops a run that the log does not have there");
	vm_handle_set(handle, vm);
	send_stop(vm, &stop, on_orphan_stopped, handle);
}

static bool must_stop(const batch_task_t *task)
{
	return batch_job_ended(task->step->job) || task->status == BATCH_TASK_DONE ||
	       task->soft.evacuate;
}

void leader_stop_tick(leader_vm_t *vm, uint64_t now_us)
{
	batch_vm_t *life = leader_vm_life(vm);
	batch_task_t *task;
	batch_task_t *next;

	if (life == NULL)
		return;
	for (task = LIST_FIRST(&life->tasks); task != NULL; task = next) {
		next = LIST_NEXT(task, vm_link);
		/* The members of a gang end by themselves when one has ended. */
		if (task->status == BATCH_TASK_DONE && task->step->spec->gang &&
		    now_us < task->soft.since_us + STOP_RETRY_US)
			continue;
		if (must_stop(task))
			leader_order_stop(vm, task);
		else if (task->soft.phase == RUN_UNSURE && !task->soft.stop_acked)
			leader_order_stop(vm, task);
	}
}

/* --- pace --- */

static void on_pace_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree order_t *order = arg;
	leader_vm_t *vm = vm_handle_get(&order->vm);
	batch_task_t *task = vm != NULL ? order_task(order, vm) : NULL;

	if (task == NULL)
		return;
	task->soft.pace_busy = false;
	if (reply->code == VM_REPLY_OK)
		task->soft.paced = order->percent;
}

void leader_order_pace(leader_vm_t *vm, batch_task_t *task, uint32_t percent)
{
	batch_leader_t *leader = vm->leader;
	vm_ref_t ref = leader_vm_ref(vm);
	vm_pace_t pace = {.run = task->run, .percent = percent, .fence = leader->term};
	order_t *order;

	if (task->soft.pace_busy || task->soft.paced == percent)
		return;
	task->soft.pace_busy = true;
	task_name_set(&pace.task, task);
	order = new_order(vm, task);
	order->percent = percent;
	leader->port.pace(leader->port.arg, &ref, &pace, on_pace_reply, order);
}
