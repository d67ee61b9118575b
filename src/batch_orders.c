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
/* Shortest interval between two log lines about the calls that wait for a VM. */
#define CALLS_LOG_PERIOD_US (1 * US_PER_S)

typedef enum {
	REQUEST_START,
	REQUEST_STOP,
	REQUEST_ORPHAN_STOP, /* stops a run that is not assigned to the VM */
	REQUEST_PACE,
} request_kind_t;

/* A request that waits or is in flight. */
typedef struct {
	call_t call; /* first member, so that a call_t is a vm_request_t */
	request_kind_t kind;
	vm_handle_t vm;
	Lp__BatchTask task; /* the run; unused in REQUEST_ORPHAN_STOP */
	union {
		unsigned attempt; /* REQUEST_START: number of this attempt, from 1 */
		vm_stop_t orphan; /* REQUEST_ORPHAN_STOP */
		uint32_t percent; /* REQUEST_PACE */
	};
} vm_request_t;

static vm_request_t *new_request(const leader_vm_t *vm, request_kind_t kind,
				 const batch_task_t *task)
{
	vm_request_t *request = g_new0(vm_request_t, 1);

	request->kind = kind;
	vm_handle_set(&request->vm, vm);
	if (task != NULL)
		batch_task_ref(task, &request->task);
	return request;
}

static void send_calls(leader_vm_t *vm);

/* Ends the call of a request that was answered or has timed out. */
static void end_call(vm_request_t *request, const vm_reply_t *reply)
{
	uint64_t now_us = leader_now_us(request->vm.leader);

	if (reply->code == VM_REPLY_NOT_SENT)
		call_withdraw(&request->call);
	else if (reply->code == VM_REPLY_NO_RESPONSE)
		call_failed(&request->call, now_us);
	else
		call_answered(&request->call, reply->elapsed_us, now_us);
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
	/* The start of a job that has ended was possibly taken back. */
	if (code == VM_REPLY_NO_ROOM || code == VM_REPLY_UNHEALTHY ||
	    (code == VM_REPLY_NOT_SENT && !batch_job_ended(task->step->job)))
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

static void queue_start(leader_vm_t *vm, batch_task_t *task, unsigned attempt)
{
	vm_request_t *request = new_request(vm, REQUEST_START, task);
	uint64_t now_us = leader_now_us(vm->leader);

	request->attempt = attempt;
	if (attempt > 1) {
		call_queue_add_first(&vm->calls, &request->call, CALL_START, now_us);
	} else {
		task->local.phase = RUN_START_QUEUED;
		task->local.phase_since_us = now_us;
		call_queue_add(&vm->calls, &request->call, CALL_START, now_us);
	}
	send_calls(vm);
}

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
			queue_start(vm, task, attempt + 1);
		} else {
			handle_start_unknown(vm, task);
		}
		break;
	}
}

static void withdraw_starts(leader_vm_t *vm, bool (*is_pointless)(leader_vm_t *vm, batch_task_t *),
			    const char *reason);

static bool is_single_start(leader_vm_t *vm, batch_task_t *task)
{
	return !task->step->spec->gang;
}

/* Takes back the starts that wait for a VM which has answered nothing since a start was sent that
 * has failed now. They have certainly not begun, and can be placed elsewhere at once. Members of a
 * gang keep waiting, because the others of their run already do. */
static void check_silence(leader_vm_t *vm, uint64_t sent_us)
{
	uint64_t now_us = leader_now_us(vm->leader);

	if (vm->calls.answered_us >= sent_us || vm->hold_answered_us >= sent_us)
		return;
	if (TAILQ_EMPTY(&vm->calls.waiting[CALL_START]))
		return;
	vm->backoff_until_us = MAX(vm->backoff_until_us, now_us + REFUSED_BACKOFF_US);
	withdraw_starts(vm, is_single_start, "the VM does not answer");
}

static void on_start_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_request_t *request = arg;
	batch_leader_t *leader = request->vm.leader;
	uint64_t sent_us = request->call.sent_us;
	uint64_t latency_us = leader_now_us(leader) - sent_us;
	leader_vm_t *vm = vm_handle_get(&request->vm);
	batch_task_t *task;

	end_call(request, reply);
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
	leader_update_lease(vm, reply, sent_us);
	leader_vm_read_clock(vm, reply);
	task = find_requested_task(request, vm);
	if (task != NULL)
		suspect_start_replied(vm, task, reply, sent_us);
	if (task != NULL && task->local.phase != RUN_CONFIRMED)
		handle_start_reply(vm, task, reply, request->attempt);
	if (vm->dead)
		return;
	if (reply->code == VM_REPLY_NO_RESPONSE || reply->code == VM_REPLY_NOT_SENT)
		check_silence(vm, sent_us);
	send_calls(vm);
}

static void send_start(leader_vm_t *vm, batch_task_t *task, vm_request_t *request)
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

	task_id_set(&start.task, task);
	task->local.phase = RUN_START_SENT;
	task->local.phase_since_us = now_us;
	vm->starts_in_flight++;
	metrics_add(leader->stats.starts, 1);
	leader->port.start(leader->port.arg, &ref, &start, on_start_reply, request);
}

void leader_request_start(leader_vm_t *vm, batch_task_t *task)
{
	queue_start(vm, task, 1);
}

/* --- stop requests --- */

static void on_stop_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_request_t *request = arg;
	leader_vm_t *vm = vm_handle_get(&request->vm);
	uint64_t now_us;
	batch_task_t *task;

	end_call(request, reply);
	if (vm == NULL)
		return;
	now_us = leader_now_us(vm->leader);
	task = find_requested_task(request, vm);
	if (task != NULL) {
		task->local.stop_in_flight = false;
		task->local.stop_due_us = now_us + STOP_RETRY_US;
	}
	if (task != NULL && reply->code == VM_REPLY_OK) {
		task->local.stop_acked = true;
		task->local.stop_acked_us = now_us;
		vm->hold_due_us = now_us;
	} else if (task != NULL && reply->code == VM_REPLY_OTHER_INCARNATION) {
		leader_vm_mark_dead(vm, "its address has another VM");
		return;
	}
	send_calls(vm);
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
	vm_request_t *request;

	if (task->local.stop_in_flight || now_us < task->local.stop_due_us ||
	    task->local.loss_pending || task->local.phase == RUN_START_QUEUED)
		return;
	task->local.stop_in_flight = true;
	request = new_request(vm, REQUEST_STOP, task);
	call_queue_add(&vm->calls, &request->call, CALL_STOP, now_us);
	send_calls(vm);
}

static void on_orphan_stopped(void *arg, const vm_reply_t *reply)
{
	g_autofree vm_request_t *request = arg;
	leader_vm_t *vm = vm_handle_get(&request->vm);

	end_call(request, reply);
	if (vm == NULL)
		return;
	vm->hold_due_us = leader_now_us(vm->leader) + 50 * US_PER_MS;
	send_calls(vm);
}

static bool stops_orphan(const call_t *call, const task_id_t *id, uint32_t run)
{
	const vm_request_t *request = (const vm_request_t *)call;

	return request->kind == REQUEST_ORPHAN_STOP && request->orphan.run == run &&
	       task_id_equal(&request->orphan.task, id);
}

/* True while a stop request for the run waits or is in flight: each hold response lists the run. */
static bool orphan_stop_requested(const leader_vm_t *vm, const task_id_t *id, uint32_t run)
{
	const call_t *call;

	TAILQ_FOREACH (call, &vm->calls.waiting[CALL_STOP], link) {
		if (stops_orphan(call, id, run))
			return true;
	}
	TAILQ_FOREACH (call, &vm->calls.under_way[CALL_STOP], link) {
		if (stops_orphan(call, id, run))
			return true;
	}
	return false;
}

void leader_stop_orphan(leader_vm_t *vm, const task_id_t *id, uint32_t run)
{
	vm_request_t *request;

	if (orphan_stop_requested(vm, id, run))
		return;
	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", id->job, "vm", vm->id),
		  "stopping a run that is not assigned to the VM");
	request = new_request(vm, REQUEST_ORPHAN_STOP, NULL);
	request->orphan = (vm_stop_t){.task = *id, .run = run, .fence = vm->leader->term};
	call_queue_add(&vm->calls, &request->call, CALL_STOP, leader_now_us(vm->leader));
	send_calls(vm);
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
		if (batch_job_ended(task->step->job) && task->local.phase == RUN_AWAITS_TICKET)
			leader_refuse_run(vm->leader, task, "the job has ended before the start");
		else if (must_stop(vm, task, now_us))
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

	end_call(request, reply);
	if (task != NULL) {
		task->local.pace_in_flight = false;
		if (reply->code == VM_REPLY_OK)
			task->local.pace_percent = request->percent;
	}
	if (vm != NULL)
		send_calls(vm);
}

void leader_request_pace(leader_vm_t *vm, batch_task_t *task, uint32_t percent)
{
	vm_request_t *request;

	if (task->local.pace_in_flight || task->local.pace_percent == percent)
		return;
	task->local.pace_in_flight = true;
	request = new_request(vm, REQUEST_PACE, task);
	request->percent = percent;
	call_queue_add(&vm->calls, &request->call, CALL_PACE, leader_now_us(vm->leader));
	send_calls(vm);
}

static void send_pace(leader_vm_t *vm, const batch_task_t *task, vm_request_t *request)
{
	batch_leader_t *leader = vm->leader;
	vm_ref_t ref = leader_vm_ref(vm);
	vm_pace_t pace = {.run = task->run, .percent = request->percent, .fence = leader->term};

	task_id_set(&pace.task, task);
	leader->port.pace(leader->port.arg, &ref, &pace, on_pace_reply, request);
}

/* --- waiting requests --- */

/* Frees a request that was not sent. */
static void drop_request(leader_vm_t *vm, vm_request_t *request)
{
	call_withdraw(&request->call);
	metrics_add(vm->leader->stats.calls_withdrawn, 1);
	if (request->kind == REQUEST_START)
		start_window_remove(&vm->leader->window);
	g_free(request);
}

/* Withdraws the starts that wait for the VM and that are pointless. */
static void withdraw_starts(leader_vm_t *vm, bool (*is_pointless)(leader_vm_t *vm, batch_task_t *),
			    const char *reason)
{
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();
	call_t *call;
	call_t *next;

	for (call = TAILQ_FIRST(&vm->calls.waiting[CALL_START]); call != NULL; call = next) {
		vm_request_t *request = (vm_request_t *)call;
		batch_task_t *task = find_requested_task(request, vm);
		unsigned attempt = request->attempt;

		next = TAILQ_NEXT(call, link);
		if (task != NULL && !task->local.loss_pending && !is_pointless(vm, task))
			continue;
		drop_request(vm, request);
		if (task == NULL || task->local.loss_pending)
			continue;
		if (attempt > 1)
			handle_start_unknown(vm, task);
		else
			g_ptr_array_add(tasks, task);
	}
	if (tasks->len == 0)
		return;
	leader_refuse_queued_runs(vm, (batch_task_t **)tasks->pdata, tasks->len, reason);
	leader_window_changed(vm->leader);
}

static bool job_has_ended(leader_vm_t *vm, batch_task_t *task)
{
	return batch_job_ended(task->step->job) || task->status != BATCH_TASK_ASSIGNED;
}

static bool cannot_take_starts(leader_vm_t *vm, batch_task_t *task)
{
	return vm->unresponsive || vm->draining;
}

/* True when a stop request that has waited is still needed. */
static bool stop_is_needed(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us)
{
	return !task->local.loss_pending &&
	       (must_stop(vm, task, now_us) || task->local.phase == RUN_UNSURE);
}

/* Sends the request, or withdraws it if it has become pointless while it waited. */
static void send_request(leader_vm_t *vm, vm_request_t *request)
{
	uint64_t now_us = leader_now_us(vm->leader);
	batch_task_t *task =
		request->kind != REQUEST_ORPHAN_STOP ? find_requested_task(request, vm) : NULL;
	vm_stop_t stop = {.run = request->task.run, .fence = vm->leader->term};

	switch (request->kind) {
	case REQUEST_START:
		if (task == NULL || task->local.loss_pending)
			break;
		if (request->attempt > 1 && !may_retry_start(vm, task)) {
			handle_start_unknown(vm, task);
			break;
		}
		if (request->attempt == 1 && !leader_may_start(vm, task))
			break;
		if (request->attempt == 1 && !ticket_ready(vm, task)) {
			ticket_request_awaited(vm->leader, task->step);
			break;
		}
		send_start(vm, task, request);
		return;
	case REQUEST_STOP:
		if (task == NULL)
			break;
		if (!stop_is_needed(vm, task, now_us)) {
			task->local.stop_in_flight = false;
			break;
		}
		task_id_set(&stop.task, task);
		send_stop(vm, &stop, on_stop_reply, request);
		return;
	case REQUEST_ORPHAN_STOP:
		send_stop(vm, &request->orphan, on_orphan_stopped, request);
		return;
	case REQUEST_PACE:
		if (task == NULL)
			break;
		send_pace(vm, task, request);
		return;
	}
	drop_request(vm, request);
}

static void log_waiting(leader_vm_t *vm, uint64_t now_us)
{
	char waiting[16];
	char under_way[16];
	char window[16];
	char answer_ms[16];

	if (call_queue_waiting(&vm->calls) == 0 ||
	    now_us < vm->calls_logged_us + CALLS_LOG_PERIOD_US)
		return;
	vm->calls_logged_us = now_us;
	g_snprintf(waiting, sizeof(waiting), "%u", call_queue_waiting(&vm->calls));
	g_snprintf(under_way, sizeof(under_way), "%u", vm->calls.under_way_count);
	g_snprintf(window, sizeof(window), "%u", call_queue_window(&vm->calls, now_us));
	g_snprintf(answer_ms, sizeof(answer_ms), "%u",
		   (unsigned)(call_queue_answer_us(&vm->calls) / US_PER_MS));
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("vm", vm->id, "waiting", waiting, "under_way", under_way, "window",
			     window, "answer_ms", answer_ms),
		  "requests wait until the VM answers earlier ones");
}

static void send_calls(leader_vm_t *vm)
{
	call_t *call;

	while (!vm->dead && (call = call_queue_next(&vm->calls, leader_now_us(vm->leader))) != NULL)
		send_request(vm, (vm_request_t *)call);
}

void leader_calls_tick(leader_vm_t *vm, uint64_t now_us)
{
	if (call_queue_waiting(&vm->calls) == 0)
		return;
	withdraw_starts(vm, job_has_ended, "the job has ended before the start");
	withdraw_starts(vm, cannot_take_starts, "the VM cannot take it any more");
	send_calls(vm);
	log_waiting(vm, now_us);
}

static bool is_any_start(leader_vm_t *vm, batch_task_t *task)
{
	return true;
}

void leader_free_calls(leader_vm_t *vm)
{
	call_t *call;
	call_t *next;

	for (int kind = 0; kind < CALL_KIND_COUNT; kind++) {
		for (call = TAILQ_FIRST(&vm->calls.waiting[kind]); call != NULL; call = next) {
			next = TAILQ_NEXT(call, link);
			drop_request(vm, (vm_request_t *)call);
		}
	}
	call_queue_finish(&vm->calls);
}

void leader_withdraw_calls(leader_vm_t *vm, const char *reason)
{
	withdraw_starts(vm, is_any_start, reason);
}
