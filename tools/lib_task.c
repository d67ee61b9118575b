#include <string.h>

#include "clock.h"
#include "lib_emulator.h"

/* Time for which a new task is announced with a usage of 0, as real workers measure usage with a
 * delay. */
#define USAGE_LAG_US (2 * US_PER_S)
/* Time for which an ended task is still announced. */
#define ENDED_RETENTION_US (30 * US_PER_S)
/* Factor between the declared and the actual size of tasks whose kind starts with slow-x10 or
 * big-x10. */
#define KIND_FACTOR 10

void task_free(gpointer pointer)
{
	task_t *task = pointer;

	g_free(task->job);
	g_free(task);
}

static task_t *find_task(const target_t *target, const char *job, uint32_t attempt)
{
	for (unsigned i = 0; i < target->tasks->len; i++) {
		task_t *task = g_ptr_array_index(target->tasks, i);

		if (task->attempt == attempt && strcmp(task->job, job) == 0)
			return task;
	}
	return NULL;
}

static const char *task_state_name(task_state_t state)
{
	switch (state) {
	case TASK_RUNNING:
		return "running";
	case TASK_DONE:
		return "done";
	case TASK_FAILED:
		return "failed";
	case TASK_CHECKPOINTED:
		return "checkpointed";
	case TASK_STOPPED:
		return "stopped";
	}
	return "";
}

static response_t make_response(unsigned status, const char *key, const char *value)
{
	json_t *body = json_pack("{s:s}", key, value);
	response_t result = {.status = status, .body = json_dumps(body, JSON_COMPACT)};

	json_decref(body);
	return result;
}

static void end_task(task_t *task, task_state_t state, const char *result, uint64_t now_us)
{
	if (task->state != TASK_RUNNING)
		return;
	task->state = state;
	task->result = result;
	task->ended_us = now_us;
}

/* Creates a task. The prefix of the kind decides how the actual task differs from the declared one:
 * slow-x10, big-x10 or fail. */
static task_t *create_task(const target_t *target, json_t *request, const char *job,
			   uint32_t attempt)
{
	const char *kind = job;
	json_int_t cores = 1;
	json_int_t mem_mib = 1;
	json_int_t run_time_ms = 1000;
	task_t *task = g_new0(task_t, 1);

	json_unpack(request, "{s?s, s?I, s?I, s?I}", "kind", &kind, "cores", &cores, "mem_mib",
		    &mem_mib, "run_time_ms", &run_time_ms);
	if (g_str_has_prefix(kind, "slow-x10"))
		run_time_ms *= KIND_FACTOR;
	if (g_str_has_prefix(kind, "big-x10")) {
		cores *= KIND_FACTOR;
		mem_mib *= KIND_FACTOR;
	}
	*task = (task_t){
		.job = g_strdup(job),
		.attempt = attempt,
		.cores = (uint32_t)cores,
		.mem_mib = (uint32_t)mem_mib,
		.run_time_ms = (uint64_t)run_time_ms,
		.started_us = clock_now_us(),
		.will_fail = g_str_has_prefix(kind, "fail") || target->mode == MODE_FAIL,
	};
	return task;
}

static response_t start_task(target_t *target, json_t *request, const char *job, uint32_t attempt)
{
	json_int_t epoch = 0;
	json_int_t lease_ms = 10000;
	task_t *task = find_task(target, job, attempt);

	json_unpack(request, "{s?I, s?I}", "epoch", &epoch, "lease_ms", &lease_ms);
	if ((uint64_t)epoch < target->epoch)
		return make_response(409, "error", "stale epoch");
	if (task == NULL && target_is_leaving(target))
		return make_response(503, "error", "leaving");
	if (task == NULL) {
		task = create_task(target, request, job, attempt);
		g_ptr_array_add(target->tasks, task);
	}
	/* A repeated start request only renews the lease; it does not start the task again. */
	task_renew_lease(target, job, attempt, (uint64_t)lease_ms);
	return make_response(200, "state", task->state == TASK_RUNNING ? "running" : "ended");
}

void task_renew_lease(target_t *target, const char *job, uint32_t attempt, uint64_t lease_ms)
{
	task_t *task = find_task(target, job, attempt);

	if (task != NULL && task->state == TASK_RUNNING)
		task->lease_end_us = clock_now_us() + lease_ms * US_PER_MS;
}

static response_t change_task(target_t *target, const char *action, const char *job,
			      uint32_t attempt)
{
	task_t *task = find_task(target, job, attempt);
	uint64_t now_us = clock_now_us();

	if (task == NULL)
		return make_response(404, "error", "no such task");
	if (strcmp(action, "checkpoint") == 0)
		end_task(task, TASK_CHECKPOINTED, "checkpointed", now_us);
	else if (strcmp(action, "stop") == 0)
		end_task(task, TASK_STOPPED, "stopped", now_us);
	else if (strcmp(action, "throttle") == 0)
		task->throttled = true;
	else
		return make_response(404, "error", "no such action");
	return make_response(200, "state", task->state == TASK_RUNNING ? "running" : "ended");
}

response_t task_handle_request(emulator_t *emu, target_t *target, const char *action,
			       const char *body, size_t length)
{
	json_t *request = json_loadb(body, length, 0, NULL);
	const char *job;
	json_int_t attempt;
	response_t result;

	if (json_unpack(request, "{s:s, s:I}", "job", &job, "attempt", &attempt) != 0)
		result = make_response(400, "error", "job and attempt expected");
	else if (strcmp(action, "start") == 0)
		result = start_task(target, request, job, (uint32_t)attempt);
	else
		result = change_task(target, action, job, (uint32_t)attempt);
	json_decref(request);
	return result;
}

void target_update_tasks(target_t *target, uint64_t now_us)
{
	for (unsigned i = 0; i < target->tasks->len;) {
		task_t *task = g_ptr_array_index(target->tasks, i);
		uint64_t run_time_us = task->run_time_ms * US_PER_MS * (task->throttled ? 2 : 1);

		if (task->state != TASK_RUNNING && now_us > task->ended_us + ENDED_RETENTION_US) {
			g_ptr_array_remove_index(target->tasks, i);
			continue;
		}
		if (now_us > task->lease_end_us)
			end_task(task, TASK_STOPPED, "lease expired", now_us);
		else if (now_us >= task->started_us + run_time_us)
			end_task(task, task->will_fail ? TASK_FAILED : TASK_DONE,
				 task->will_fail ? "failed" : "ok", now_us);
		i++;
	}
}

unsigned target_count_running_tasks(const target_t *target)
{
	unsigned running = 0;

	for (unsigned i = 0; i < target->tasks->len; i++)
		running += ((task_t *)g_ptr_array_index(target->tasks, i))->state == TASK_RUNNING;
	return running;
}

json_t *target_task_usage(const target_t *target, uint64_t now_us)
{
	json_t *usage_list = json_array();

	for (unsigned i = 0; i < target->tasks->len; i++) {
		const task_t *task = g_ptr_array_index(target->tasks, i);
		uint64_t end_us = task->state == TASK_RUNNING ? now_us : task->ended_us;
		bool usage_known = now_us > task->started_us + USAGE_LAG_US;
		uint32_t cores_milli = task->cores * (task->throttled ? 500 : 1000);

		json_array_append_new(
			usage_list,
			json_pack("{s:s, s:I, s:s, s:I, s:I, s:I, s:s}", "job", task->job,
				  "attempt", (json_int_t)task->attempt, "state",
				  task_state_name(task->state), "cores_milli",
				  (json_int_t)(usage_known ? cores_milli : 0), "mem_mib",
				  (json_int_t)(usage_known ? task->mem_mib : 0), "run_ms",
				  (json_int_t)((end_us - task->started_us) / US_PER_MS), "result",
				  task->result == NULL ? "" : task->result));
	}
	return usage_list;
}
