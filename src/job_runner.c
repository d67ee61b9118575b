#define G_LOG_DOMAIN "jobs"

#include "job_runner.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "clock.h"
#include "jobs.h"
#include "log.h"

/*
 * Interval at which jobs are placed. Urgent jobs must start within 2.4 s, of which the placement
 * decision may take about a tenth.
 */
#define RUN_INTERVAL_MS 200
#define CONNECT_TIMEOUT_MS 500
#define REQUEST_TIMEOUT_MS 2000
#define RESPONSE_LIMIT (64 * 1024)

struct job_runner {
	node_t *node;
	timer_sub_t timer;
	jobs_t jobs;
	bool is_leader;
	GPtrArray *calls; /**< requests to task APIs in progress (task_call_t *); owned */
	metrics_counter_t *starts;
	metrics_counter_t *updates;
	metrics_counter_t *failed_requests;
};

static bool is_worker_usable(void *arg, const fleet_vm_t *vm)
{
	const node_t *node = arg;

	return fleet_vm_routable(vm) &&
	       health_state(&node->health, vm->id, clock_now_us()) == HEALTH_SERVING;
}

static jobs_input_t make_input(job_runner_t *runner)
{
	return (jobs_input_t){
		.fleet = &runner->node->fleet,
		.usable = is_worker_usable,
		.arg = runner->node,
		.now_us = clock_now_us(),
	};
}

/* --- requests to workers --- */

/** A request to a worker's task API that is in progress. */
typedef struct {
	job_runner_t *runner;
	http_call_t *http_call;
	bool is_start; /**< the request starts a task */
	char *job;
	uint32_t attempt;
} task_call_t;

static void task_call_free(gpointer data)
{
	task_call_t *call = data;

	g_free(call->job);
	g_free(call);
}

static void execute_actions(job_runner_t *runner, GPtrArray *actions);

static bool was_certainly_not_run(const http_call_result_t *result)
{
	const char *outcome = http_call_header(result, "Lavenderpass-Outcome");

	if (!result->complete)
		return http_call_verdict(result) == VERDICT_NOT_RUN;
	return result->status >= 400 && outcome != NULL &&
	       strcmp(outcome, verdict_name(VERDICT_NOT_RUN)) == 0;
}

static void on_task_response(void *arg, const http_call_result_t *result)
{
	task_call_t *call = arg;
	job_runner_t *runner = call->runner;
	GPtrArray *actions;
	jobs_input_t input;

	if (!result->complete || result->status >= 300)
		metrics_add(runner->failed_requests, 1);
	if (call->is_start && runner->is_leader && was_certainly_not_run(result)) {
		actions = jobs_actions_new();
		input = make_input(runner);
		jobs_start_refused(&runner->jobs, &input, call->job, call->attempt, actions);
		execute_actions(runner, actions);
	}
	g_ptr_array_remove_fast(runner->calls, call);
}

static char *build_task_body(const node_t *node, const jobs_action_t *action)
{
	const fleet_job_t *job = fleet_job_find(&node->fleet, action->job);
	json_t *body = json_pack("{s:s, s:I, s:I, s:I, s:I, s:I}", "job", action->job, "attempt",
				 (json_int_t)action->attempt, "epoch", (json_int_t)action->vm_epoch,
				 "lease_ms", (json_int_t)JOB_LEASE_MS, "cores_milli",
				 (json_int_t)action->size.cores_milli, "reserved_mem_mib",
				 (json_int_t)action->size.mem_mib);
	char *text;

	if (job != NULL) {
		json_object_set_new(body, "kind", json_string(job->spec->kind));
		json_object_set_new(body, "cores", json_integer(job->spec->cores));
		json_object_set_new(body, "mem_mib", json_integer(job->spec->mem_mib));
		json_object_set_new(body, "run_time_ms",
				    json_integer((json_int_t)job->spec->run_time_ms));
	}
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static void send_task_request(job_runner_t *runner, const jobs_action_t *action,
			      const char *operation)
{
	const fleet_vm_t *vm = fleet_vm_find(&runner->node->fleet, action->vm);
	http_call_request_t request = {
		.method = "POST",
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = REQUEST_TIMEOUT_MS,
		.response_limit = RESPONSE_LIMIT,
	};
	task_call_t *call;
	char *body;
	char *url;

	if (vm == NULL)
		return;
	body = build_task_body(runner->node, action);
	url = g_strdup_printf("http://%s/task/%s", vm->address, operation);
	request.url = url;
	request.body = body;
	request.body_length = strlen(body);
	call = g_new(task_call_t, 1);
	*call = (task_call_t){
		.runner = runner,
		.is_start = action->kind == JOBS_START,
		.job = g_strdup(action->job),
		.attempt = action->attempt,
	};
	g_ptr_array_add(runner->calls, call);
	call->http_call = http_client_send(&runner->node->client, &request, on_task_response, call);
	if (call->http_call == NULL)
		g_ptr_array_remove_fast(runner->calls, call);
	g_free(url);
	free(body);
}

/* --- proposals --- */

static void ignore_result(void *arg, const Lp__Result *result)
{
}

static void propose_update(job_runner_t *runner, const jobs_action_t *action)
{
	Lp__JobUpdate update = LP__JOB_UPDATE__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	update.job = action->job;
	update.attempt = action->attempt;
	update.state = action->state;
	update.vm = action->vm == NULL ? (char *)"" : action->vm;
	update.reason = action->reason == NULL ? (char *)"" : action->reason;
	update.result = action->result == NULL ? (char *)"" : action->result;
	command.body_case = LP__COMMAND__BODY_JOB_UPDATE;
	command.job_update = &update;
	metrics_add(runner->updates, 1);
	node_propose(runner->node, &command, ignore_result, NULL);
}

static void propose_quarantine(job_runner_t *runner, const jobs_action_t *action)
{
	const fleet_vm_t *vm = fleet_vm_find(&runner->node->fleet, action->vm);
	Lp__VmStep step = LP__VM_STEP__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	if (vm == NULL || vm->phase != LP__VM_PHASE__VM_ACTIVE)
		return;
	step.vm = vm->id;
	step.epoch = vm->epoch;
	step.from = vm->phase;
	step.to = LP__VM_PHASE__VM_QUARANTINED;
	step.reason = action->reason;
	command.body_case = LP__COMMAND__BODY_VM_STEP;
	command.vm_step = &step;
	node_propose(runner->node, &command, ignore_result, NULL);
}

static void execute_action(job_runner_t *runner, const jobs_action_t *action)
{
	switch (action->kind) {
	case JOBS_UPDATE:
		propose_update(runner, action);
		break;
	case JOBS_START:
		metrics_add(runner->starts, 1);
		send_task_request(runner, action, "start");
		break;
	case JOBS_CHECKPOINT:
		send_task_request(runner, action, "checkpoint");
		break;
	case JOBS_THROTTLE:
		send_task_request(runner, action, "throttle");
		break;
	case JOBS_STOP:
		send_task_request(runner, action, "stop");
		break;
	case JOBS_QUARANTINE:
		propose_quarantine(runner, action);
		break;
	}
}

/** Executes the actions and frees them. */
static void execute_actions(job_runner_t *runner, GPtrArray *actions)
{
	for (unsigned i = 0; i < actions->len; i++)
		execute_action(runner, g_ptr_array_index(actions, i));
	g_ptr_array_unref(actions);
}

static void set_leader(job_runner_t *runner, bool is_leader)
{
	if (runner->is_leader == is_leader)
		return;
	runner->is_leader = is_leader;
	if (is_leader)
		jobs_init(&runner->jobs);
	else
		jobs_finish(&runner->jobs);
}

static void on_timer(void *arg, uint64_t now_us)
{
	job_runner_t *runner = arg;
	GPtrArray *actions;
	jobs_input_t input;

	set_leader(runner, replica_has_lease(runner->node->replica));
	if (!runner->is_leader)
		return;
	actions = jobs_actions_new();
	input = make_input(runner);
	jobs_run(&runner->jobs, &input, actions);
	execute_actions(runner, actions);
}

void job_runner_handle_report(job_runner_t *runner, const Lp__TargetReport *report)
{
	GPtrArray *actions;
	jobs_input_t input;

	if (!runner->is_leader || !report->has_tasks)
		return;
	actions = jobs_actions_new();
	input = make_input(runner);
	jobs_report(&runner->jobs, &input, report, actions);
	execute_actions(runner, actions);
}

void job_runner_handle_cancel(job_runner_t *runner, const Lp__JobCancel *cancel)
{
	GPtrArray *actions;
	jobs_input_t input;

	if (!runner->is_leader)
		return;
	actions = jobs_actions_new();
	input = make_input(runner);
	jobs_cancelled(&runner->jobs, &input, (const char *const *)cancel->jobs, cancel->n_jobs,
		       actions);
	execute_actions(runner, actions);
}

static bool is_current_attempt(const node_t *node, const Lp__TargetReport *report,
			       const Lp__TaskUsage *task)
{
	const fleet_job_t *job = fleet_job_find(&node->fleet, task->job);

	return job != NULL && strcmp(job->vm, report->vm) == 0 && job->attempt == task->attempt &&
	       (job->state == LP__JOB_STATE__JOB_PLACED ||
		job->state == LP__JOB_STATE__JOB_RUNNING ||
		job->state == LP__JOB_STATE__JOB_CHECKPOINTING);
}

json_t *job_runner_renew_leases(const node_t *node, const Lp__TargetReport *report)
{
	json_t *leases = json_array();

	for (size_t i = 0; i < report->n_tasks; i++) {
		const Lp__TaskUsage *task = report->tasks[i];

		if (is_current_attempt(node, report, task))
			json_array_append_new(leases,
					      json_pack("{s:s, s:I, s:i}", "job", task->job,
							"attempt", (json_int_t)task->attempt,
							"lease_ms", JOB_LEASE_MS));
	}
	return leases;
}

job_runner_t *job_runner_create(node_t *node)
{
	job_runner_t *runner = talloc_zero(NULL, job_runner_t);

	runner->node = node;
	runner->calls = g_ptr_array_new_with_free_func(task_call_free);
	runner->starts = metrics_counter(node->metrics, "lavenderpass_job_starts_total", "");
	runner->updates = metrics_counter(node->metrics, "lavenderpass_job_updates_total", "");
	runner->failed_requests =
		metrics_counter(node->metrics, "lavenderpass_task_requests_failed_total", "");
	timer_subscribe(&node->timers, &runner->timer, RUN_INTERVAL_MS * US_PER_MS, on_timer,
			runner);
	return runner;
}

void job_runner_destroy(job_runner_t *runner)
{
	timer_unsubscribe(&runner->node->timers, &runner->timer);
	for (guint i = 0; i < runner->calls->len; i++) {
		const task_call_t *call = g_ptr_array_index(runner->calls, i);

		http_call_cancel(call->http_call);
	}
	g_ptr_array_unref(runner->calls);
	if (runner->is_leader)
		jobs_finish(&runner->jobs);
	talloc_free(runner);
}
