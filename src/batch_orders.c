#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include "batch_leader_internal.h"
#include "batch_suspect.h"
#include "log.h"

/* Delay before repeating an unanswered stop request; a VM stops a run within 200 ms. */
#define STOP_RETRY_US (500 * US_PER_MS)
/* Time for which a VM gets no new tasks after it refused a start request, because it lacks room or
 * is unhealthy, or after it could not be reached. */
#define REFUSED_BACKOFF_US (300 * US_PER_MS)
/* Most attempts to send a start request that is not answered. A VM starts the same run only once,
 * so repeating the request is safe. A repetition takes a fraction of a second, whereas stopping the
 * run and starting another one takes two seconds. */
#define START_ATTEMPTS_MAX 3

typedef struct {
	vm_handle_t vm;
	Lp__BatchTask task;
	uint64_t sent_us;
	uint32_t percent;
	unsigned attempt; /* number of this attempt to send a start request, from 1 */
} vm_request_t;

static vm_request_t *new_request(const leader_vm_t *vm, const batch_task_t *task)
{
	vm_request_t *request = g_new0(vm_request_t, 1);

	vm_handle_set(&request->vm, vm);
	batch_task_ref(task, &request->task);
	request->sent_us = leader_now_us(vm->leader);
	return request;
}

/* @return the task of the request, or NULL when its run is no longer assigned to the VM */
static batch_task_t *find_requested_task(const vm_request_t *request, leader_vm_t *vm)
{
	batch_task_t *task = batch_state_task(vm->leader->state, &request->task);

	if (task == NULL || task->run != request->task.run || task->vm == NULL ||
	    task->vm != leader_vm_record(vm))
		return NULL;
	return task;
}

static void log_failed_start(const leader_vm_t *vm, const batch_task_t *task, vm_reply_code_t code,
			     unsigned attempt)
{
	char run[RUN_LABEL_MAX];
	char term[24];
	char attempt_text[8];

	run_label_of_task(run, task);
	g_snprintf(term, sizeof(term), "%" PRIu64, vm->leader->term);
	g_snprintf(attempt_text, sizeof(attempt_text), "%u", attempt);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", vm->id,
			     "reply", vm_reply_name(code), "try", attempt_text, "term", term),
		  "start request failed");
}

static void handle_start_refused(leader_vm_t *vm, batch_task_t *task, vm_reply_code_t code)
{
	uint64_t now_us = leader_now_us(vm->leader);

	metrics_add(vm->leader->stats.start_refused, 1);
	if (code == VM_REPLY_NO_ROOM || code == VM_REPLY_UNHEALTHY || code == VM_REPLY_NOT_SENT)
		vm->backoff_until_us = now_us + REFUSED_BACKOFF_US;
	if (code == VM_REPLY_BAD_TICKET)
		ticket_remove(task->step, vm->id, now_us);
	leader_refuse_run(vm->leader, task, vm_reply_name(code));
}

/* Handles a start request whose result is unknown: asks the VM for its runs. A run that it does not
 * list is stopped (handle_unlisted_run()), so that the request cannot be carried out any more. */
static void handle_start_unknown(leader_vm_t *vm, batch_task_t *task)
{
	uint64_t now_us = leader_now_us(vm->leader);

	metrics_add(vm->leader->stats.start_unsure, 1);
	task->local.start_unanswered = true;
	task->local.phase = RUN_UNSURE;
	task->local.phase_since_us = now_us;
	vm->hold_due_us = now_us;
	vm->probe_due_us = now_us; /* a hold request in flight can wait for the end of a run */
}

static bool may_retry_start(leader_vm_t *vm, const batch_task_t *task)
{
	return task->local.phase == RUN_START_SENT && task->status == BATCH_TASK_ASSIGNED &&
	       !batch_job_ended(task->step->job) && !vm->dead && !vm->draining && !vm->cordoned &&
	       leader_start_fits(vm, task, leader_now_us(vm->leader));
}

static void send_start(leader_vm_t *vm, batch_task_t *task, unsigned attempt);

static void handle_start_reply(leader_vm_t *vm, batch_task_t *task, const vm_reply_t *reply,
			       unsigned attempt)
{
	uint64_t now_us = leader_now_us(vm->leader);

	if (reply->code != VM_REPLY_OK)
		log_failed_start(vm, task, reply->code, attempt);
	switch (reply->code) {
	case VM_REPLY_OK:
		task->step->job->begun_seen = true;
		if (task->local.phase != RUN_CONFIRMED) {
			task->local.phase = RUN_CONFIRMED;
			task->local.phase_since_us = now_us;
			task->local.progress_us = now_us;
		}
		break;
	case VM_REPLY_STALE_RUN:
	case VM_REPLY_TOO_LATE:
	case VM_REPLY_NO_ROOM:
	case VM_REPLY_BAD_TICKET:
	case VM_REPLY_INVALID:
	case VM_REPLY_UNHEALTHY:
	case VM_REPLY_BUSY:
	case VM_REPLY_NOT_SENT:
		/* An earlier attempt of this start request was possibly carried out, or can still
		 * be carried out. */
		if (attempt > 1)
			handle_start_unknown(vm, task);
		else
			handle_start_refused(vm, task, reply->code);
		break;
	case VM_REPLY_OTHER_INCARNATION:
		leader_vm_mark_dead(vm, "its address has another VM");
		break;
	case VM_REPLY_FENCED: /* another process has become leader and decides about the run */
		handle_start_unknown(vm, task);
		break;
	case VM_REPLY_NO_RESPONSE:
		task->local.start_unanswered = true;
		if (attempt < START_ATTEMPTS_MAX && may_retry_start(vm, task)) {
			start_window_add(&vm->leader->window);
			send_start(vm, task, attempt + 1);
		} else {
			handle_start_unknown(vm, task);
		}
		break;
	}
}

static void on_start_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_request_t *request = arg;
	batch_leader_t *leader = request->vm.leader;
	uint64_t latency_us = leader_now_us(leader) - request->sent_us;
	leader_vm_t *vm = vm_handle_get(&request->vm);
	batch_task_t *task;

	if (!leader->active || request->vm.generation != leader->generation)
		return;
	start_window_answered(&leader->window, latency_us, leader_now_us(leader));
	leader_window_changed(leader);
	if (vm == NULL)
		return;
	vm->starts_in_flight--;
	if (reply->born_ms != 0 && reply->born_ms != vm->born_ms) {
		leader_vm_read_other_life(vm, reply);
		return;
	}
	metrics_record_us(leader->stats.start_latency, latency_us);
	leader_update_lease(vm, reply, request->sent_us);
	leader_vm_read_clock(vm, reply);
	task = find_requested_task(request, vm);
	if (task != NULL)
		suspect_start_replied(vm, task, reply, request->sent_us);
	if (task != NULL && task->local.phase != RUN_CONFIRMED)
		handle_start_reply(vm, task, reply, request->attempt);
}

static void send_start(leader_vm_t *vm, batch_task_t *task, unsigned attempt)
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
		.ticket = ticket_latest(task->step, vm->id),
	};
	vm_request_t *request = new_request(vm, task);

	request->attempt = attempt;
	task_id_set(&start.task, task);
	task->local.phase = RUN_START_SENT;
	task->local.phase_since_us = now_us;
	vm->starts_in_flight++;
	metrics_add(leader->stats.starts, 1);
	leader->port.start(leader->port.arg, &ref, &start, on_start_reply, request);
}

void leader_request_start(leader_vm_t *vm, batch_task_t *task)
{
	send_start(vm, task, 1);
}

/* --- stop requests --- */

static void on_stop_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_request_t *request = arg;
	leader_vm_t *vm = vm_handle_get(&request->vm);
	uint64_t now_us;
	batch_task_t *task;

	if (vm == NULL)
		return;
	now_us = leader_now_us(vm->leader);
	task = find_requested_task(request, vm);
	if (task == NULL)
		return;
	task->local.stop_in_flight = false;
	task->local.stop_due_us = now_us + STOP_RETRY_US;
	if (reply->code == VM_REPLY_OK) {
		task->local.stop_acked = true;
		task->local.stop_acked_us = now_us;
		vm->hold_due_us = now_us;
	} else if (reply->code == VM_REPLY_OTHER_INCARNATION) {
		leader_vm_mark_dead(vm, "its address has another VM");
	}
}

static void send_stop(leader_vm_t *vm, const vm_stop_t *stop, vm_reply_fn done, void *arg)
{
	vm_ref_t ref = leader_vm_ref(vm);

	metrics_add(vm->leader->stats.stops, 1);
	vm->leader->port.stop(vm->leader->port.arg, &ref, stop, done, arg);
}

void leader_request_stop(leader_vm_t *vm, batch_task_t *task)
{
	uint64_t now_us = leader_now_us(vm->leader);
	vm_stop_t stop = {.run = task->run, .fence = vm->leader->term};

	if (task->local.stop_in_flight || now_us < task->local.stop_due_us ||
	    task->local.loss_pending)
		return;
	task_id_set(&stop.task, task);
	task->local.stop_in_flight = true;
	send_stop(vm, &stop, on_stop_reply, new_request(vm, task));
}

static void on_orphan_stopped(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_handle_t *handle = arg;
	leader_vm_t *vm = vm_handle_get(handle);

	if (vm != NULL)
		vm->hold_due_us = leader_now_us(vm->leader) + 50 * US_PER_MS;
}

void leader_stop_orphan(leader_vm_t *vm, const task_id_t *id, uint32_t run)
{
	vm_handle_t *handle = g_new0(vm_handle_t, 1);
	vm_stop_t stop = {.task = *id, .run = run, .fence = vm->leader->term};

	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", id->job, "vm", vm->id),
		  "stopping a run that is not assigned to the VM");
	vm_handle_set(handle, vm);
	send_stop(vm, &stop, on_orphan_stopped, handle);
}

static bool must_stop(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	if (batch_job_ended(task->step->job) || task->status == BATCH_TASK_DONE)
		return true;
	return task->local.evacuate && leader_may_stop_evacuated(vm, task, now_us);
}

void leader_stop_tick(leader_vm_t *vm, uint64_t now_us)
{
	batch_vm_t *record = leader_vm_record(vm);
	batch_task_t *task;
	batch_task_t *next;

	if (record == NULL)
		return;
	for (task = LIST_FIRST(&record->tasks); task != NULL; task = next) {
		next = LIST_NEXT(task, vm_link);
		/* When one member of a gang completes, the others end without a stop request. */
		if (task->status == BATCH_TASK_DONE && task->step->spec->gang &&
		    now_us < task->local.phase_since_us + STOP_RETRY_US)
			continue;
		if (must_stop(vm, task, now_us))
			leader_request_stop(vm, task);
		else if (task->local.phase == RUN_UNSURE && task->local.stop_due_us != 0 &&
			 !task->local.stop_acked)
			leader_request_stop(vm, task); /* the first stop request has failed */
	}
}

/* --- pace requests --- */

static void on_pace_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_request_t *request = arg;
	leader_vm_t *vm = vm_handle_get(&request->vm);
	batch_task_t *task = vm != NULL ? find_requested_task(request, vm) : NULL;

	if (task == NULL)
		return;
	task->local.pace_in_flight = false;
	if (reply->code == VM_REPLY_OK)
		task->local.pace_percent = request->percent;
}

void leader_request_pace(leader_vm_t *vm, batch_task_t *task, uint32_t percent)
{
	batch_leader_t *leader = vm->leader;
	vm_ref_t ref = leader_vm_ref(vm);
	vm_pace_t pace = {.run = task->run, .percent = percent, .fence = leader->term};
	vm_request_t *request;

	if (task->local.pace_in_flight || task->local.pace_percent == percent)
		return;
	task->local.pace_in_flight = true;
	task_id_set(&pace.task, task);
	request = new_request(vm, task);
	request->percent = percent;
	leader->port.pace(leader->port.arg, &ref, &pace, on_pace_reply, request);
}
