#include "jobs.h"

#include <string.h>

#include "clock.h"
#include "jobs_internal.h"

/* Interval at which unanswered start and checkpoint requests are sent again. */
#define RESEND_INTERVAL_US (500 * US_PER_MS)
/*
 * A proposed update that has not been applied after this time counts as lost; it can then be
 * proposed again.
 */
#define PENDING_TIMEOUT_US (1 * US_PER_S)
/*
 * A task that no report has named for this long has certainly ended: this is longer than a task
 * lease and longer than the 10 s after which a silent VM is lost.
 */
#define TASK_LOST_TIMEOUT_US (12 * US_PER_S)
#define MAX_FAILED_WORKERS 3
#define QUARANTINE_FAILED_JOBS 3
/*
 * A failed task counts as out of memory when the tasks of its worker used at least this percentage
 * of the worker's memory.
 */
#define OUT_OF_MEMORY_PERCENT 90

/* Values of TaskUsage.state in task reports. */
enum {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_CHECKPOINTED,
	TASK_STOPPED,
};

typedef struct {
	uint32_t attempt;
	Lp__JobState state; /* state of the job when the update was proposed */
	uint64_t expires_us;
	char *vm; /* VM that the update names; "": none */
} pending_update_t;

static void pending_update_free(gpointer data)
{
	pending_update_t *pending = data;

	g_free(pending->vm);
	g_free(pending);
}

static void jobs_action_free(gpointer data)
{
	jobs_action_t *action = data;

	g_free(action->job);
	g_free(action->vm);
	g_free(action->reason);
	g_free(action->result);
	g_free(action);
}

GPtrArray *jobs_actions_new(void)
{
	return g_ptr_array_new_with_free_func(jobs_action_free);
}

void jobs_init(jobs_t *jobs)
{
	placement_estimator_init(&jobs->size_estimator);
	jobs->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->failed_jobs_by_vm = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
							(GDestroyNotify)g_ptr_array_unref);
	jobs->pending_updates =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pending_update_free);
	jobs->min_mem_mib = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void jobs_finish(jobs_t *jobs)
{
	placement_estimator_finish(&jobs->size_estimator);
	g_hash_table_unref(jobs->tasks);
	g_hash_table_unref(jobs->failed_jobs_by_vm);
	g_hash_table_unref(jobs->pending_updates);
	g_hash_table_unref(jobs->min_mem_mib);
}

placement_resources_t jobs_declared_size(const fleet_job_t *job)
{
	return (placement_resources_t){
		.cores_milli = (uint32_t)MIN((uint64_t)job->spec->cores * 1000, UINT32_MAX),
		.mem_mib = job->spec->mem_mib,
		.accelerators = job->spec->accelerators,
	};
}

bool jobs_has_task(const fleet_job_t *job)
{
	return job->state == LP__JOB_STATE__JOB_PLACED ||
	       job->state == LP__JOB_STATE__JOB_RUNNING ||
	       job->state == LP__JOB_STATE__JOB_CHECKPOINTING;
}

jobs_task_t *jobs_get_task(jobs_t *jobs, const fleet_job_t *job, uint64_t now_us)
{
	jobs_task_t *task = g_hash_table_lookup(jobs->tasks, job->spec->job);

	if (task == NULL) {
		task = g_new0(jobs_task_t, 1);
		g_hash_table_insert(jobs->tasks, g_strdup(job->spec->job), task);
	}
	if (task->attempt != job->attempt)
		*task = (jobs_task_t){.attempt = job->attempt, .last_seen_us = now_us};
	return task;
}

placement_resources_t jobs_reserved_size(const jobs_t *jobs, const fleet_job_t *job, bool *observed)
{
	placement_resources_t declared = jobs_declared_size(job);
	placement_resources_t size = placement_estimate_size(&jobs->size_estimator, job->spec->kind,
							     &declared, observed);
	const jobs_task_t *task = g_hash_table_lookup(jobs->tasks, job->spec->job);
	uint32_t min_mem_mib =
		GPOINTER_TO_UINT(g_hash_table_lookup(jobs->min_mem_mib, job->spec->job));

	size.mem_mib = MAX(size.mem_mib, min_mem_mib);
	if (task != NULL && task->attempt == job->attempt && jobs_has_task(job)) {
		size.mem_mib = MAX(size.mem_mib, task->peak_usage.mem_mib);
		size.cores_milli = MAX(size.cores_milli, task->peak_usage.cores_milli);
	}
	return size;
}

const char *jobs_pending_update_vm(const jobs_t *jobs, const fleet_job_t *job)
{
	const pending_update_t *pending =
		g_hash_table_lookup(jobs->pending_updates, job->spec->job);

	return pending != NULL ? pending->vm : "";
}

bool jobs_has_pending_update(const jobs_t *jobs, const fleet_job_t *job, uint64_t now_us)
{
	const pending_update_t *pending =
		g_hash_table_lookup(jobs->pending_updates, job->spec->job);

	return pending != NULL && pending->attempt == job->attempt &&
	       pending->state == job->state && now_us < pending->expires_us;
}

jobs_action_t *jobs_add_action(GPtrArray *actions, jobs_action_type_t kind, const fleet_job_t *job,
			       const char *vm)
{
	jobs_action_t *action = g_new0(jobs_action_t, 1);

	action->kind = kind;
	action->vm = g_strdup(vm);
	if (job != NULL) {
		action->job = g_strdup(job->spec->job);
		action->attempt = job->attempt;
		action->vm_epoch = job->vm_epoch;
	}
	g_ptr_array_add(actions, action);
	return action;
}

jobs_action_t *jobs_propose_state(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions,
				  const fleet_job_t *job, Lp__JobState state, const char *vm,
				  const char *reason)
{
	jobs_action_t *action = jobs_add_action(actions, JOBS_UPDATE, job, vm);
	pending_update_t *pending = g_new(pending_update_t, 1);

	action->state = state;
	action->reason = g_strdup(reason);
	if (state == LP__JOB_STATE__JOB_PLACED) {
		jobs_task_t *task = jobs_get_task(jobs, job, input->now_us);

		*task = (jobs_task_t){
			.attempt = job->attempt + 1,
			.last_seen_us = input->now_us,
			.placed_by_this_leader = true,
		};
	}
	*pending = (pending_update_t){
		.attempt = job->attempt,
		.state = job->state,
		.expires_us = input->now_us + PENDING_TIMEOUT_US,
		.vm = g_strdup(vm),
	};
	g_hash_table_insert(jobs->pending_updates, g_strdup(job->spec->job), pending);
	return action;
}

static const fleet_vm_t *find_vm(const jobs_input_t *input, const char *id)
{
	return g_hash_table_lookup(input->fleet->vm_by_id, id);
}

/*
 * Handles an attempt that ended without a result and through no fault of the job: proposes to queue
 * the job again, or to mark it failed if it is not repeatable.
 */
static void requeue_or_fail(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			    const char *reason, GPtrArray *actions)
{
	if (job->spec->repeatable)
		jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED, "",
				   reason);
	else
		jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_FAILED, "",
				   "the attempt may have run, and the job is not repeatable");
}

/*
 * Records that a job failed on a worker.
 * @return number of different jobs that failed on the worker since its last success
 */
static guint record_worker_failure(jobs_t *jobs, const char *vm, const char *job)
{
	GPtrArray *failed = g_hash_table_lookup(jobs->failed_jobs_by_vm, vm);

	if (failed == NULL) {
		failed = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(jobs->failed_jobs_by_vm, g_strdup(vm), failed);
	}
	if (!g_ptr_array_find_with_equal_func(failed, job, g_str_equal, NULL))
		g_ptr_array_add(failed, g_strdup(job));
	return failed->len;
}

static guint count_failed_jobs_in_a_row(const jobs_t *jobs, const char *vm)
{
	const GPtrArray *failed = g_hash_table_lookup(jobs->failed_jobs_by_vm, vm);

	return failed != NULL ? failed->len : 0;
}

/*
 * Counts the workers on which the job failed, including vm_id, where it failed just now. Leaves out
 * quarantined workers and those on which QUARANTINE_FAILED_JOBS different jobs failed in a row.
 */
static unsigned count_failed_workers(const jobs_t *jobs, const jobs_input_t *input,
				     const fleet_job_t *job, const char *vm_id)
{
	unsigned count = count_failed_jobs_in_a_row(jobs, vm_id) < QUARANTINE_FAILED_JOBS ? 1 : 0;

	for (guint i = 0; i < job->failed_on->len; i++) {
		const char *id = g_ptr_array_index(job->failed_on, i);
		const fleet_vm_t *vm = find_vm(input, id);

		if (strcmp(id, vm_id) != 0 &&
		    count_failed_jobs_in_a_row(jobs, id) < QUARANTINE_FAILED_JOBS &&
		    (vm == NULL || vm->phase != LP__VM_PHASE__VM_QUARANTINED))
			count++;
	}
	return count;
}

static uint32_t largest_worker_mem_mib(const fleet_vm_t *vm)
{
	const fleet_vm_t *other;
	uint32_t largest = 0;

	TAILQ_FOREACH (other, &vm->pool->vms, pool_link)
		largest = MAX(largest, other->mem_mib);
	return largest;
}

/*
 * Handles the failure of a task whose worker ran out of memory, which is the fault of neither the
 * worker nor the job. The job's next attempt reserves at least twice the peak usage, limited to the
 * largest worker. If the job already filled the largest worker, it is rejected.
 * @return false when the worker did not run out of memory
 */
static bool handle_out_of_memory(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
				 const fleet_vm_t *vm, uint32_t used_mib, GPtrArray *actions)
{
	const jobs_task_t *task = jobs_get_task(jobs, job, input->now_us);
	uint32_t largest = largest_worker_mem_mib(vm);
	char *reason;

	if ((uint64_t)used_mib * 100 < (uint64_t)vm->mem_mib * OUT_OF_MEMORY_PERCENT)
		return false;
	if ((uint64_t)task->peak_usage.mem_mib * 100 < (uint64_t)largest * OUT_OF_MEMORY_PERCENT) {
		uint32_t min_mem_mib = MIN(task->peak_usage.mem_mib * 2, largest);

		g_hash_table_insert(jobs->min_mem_mib, g_strdup(job->spec->job),
				    GUINT_TO_POINTER(min_mem_mib));
		return true;
	}
	reason = g_strdup_printf("needs more than the %u MiB of the largest worker", largest);
	jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_REJECTED, "", reason);
	g_free(reason);
	return true;
}

static void handle_failed_task(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			       const fleet_vm_t *vm, uint32_t used_mib, const char *result,
			       GPtrArray *actions)
{
	bool out_of_memory = handle_out_of_memory(jobs, input, job, vm, used_mib, actions);
	jobs_action_t *action;

	if (out_of_memory && jobs_has_pending_update(jobs, job, input->now_us))
		return;
	/*
	 * The failure counts against the worker only if the job has not failed on another worker
	 * before; otherwise the job itself may be faulty.
	 */
	if (!out_of_memory && job->failed_on->len == 0 &&
	    record_worker_failure(jobs, vm->id, job->spec->job) == QUARANTINE_FAILED_JOBS) {
		action = jobs_add_action(actions, JOBS_QUARANTINE, NULL, vm->id);
		action->reason = g_strdup("3 different jobs failed here in a row");
	}
	if (!job->spec->repeatable)
		action = jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_FAILED,
					    vm->id, "failed, and the job is not repeatable");
	else if (out_of_memory)
		action = jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED,
					    "", "the worker ran out of memory");
	else if (count_failed_workers(jobs, input, job, vm->id) >= MAX_FAILED_WORKERS)
		action = jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_FAILED,
					    vm->id, "failed on 3 different workers");
	else
		action = jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED,
					    vm->id, "failed");
	action->result = g_strdup(result);
}

static void handle_finished_task(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
				 const char *vm, const char *result, GPtrArray *actions)
{
	const jobs_task_t *task = jobs_get_task(jobs, job, input->now_us);
	placement_resources_t declared = jobs_declared_size(job);

	if (task->peak_usage.mem_mib > 0)
		placement_record_usage(&jobs->size_estimator, job->spec->kind, &declared,
				       &task->peak_usage);
	g_hash_table_remove(jobs->failed_jobs_by_vm, vm);
	g_hash_table_remove(jobs->min_mem_mib, job->spec->job);
	jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_DONE, vm, "")->result =
		g_strdup(result);
}

static void process_task_report(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
				const fleet_vm_t *vm, const Lp__TaskUsage *usage, uint32_t used_mib,
				GPtrArray *actions)
{
	jobs_task_t *task = jobs_get_task(jobs, job, input->now_us);

	task->last_seen_us = input->now_us;
	task->reported = true;
	task->run_ms = usage->run_ms;
	task->peak_usage.cores_milli = MAX(task->peak_usage.cores_milli, usage->cores_milli);
	task->peak_usage.mem_mib = MAX(task->peak_usage.mem_mib, usage->mem_mib);
	if (jobs_has_pending_update(jobs, job, input->now_us))
		return;
	switch (usage->state) {
	case TASK_RUNNING:
		if (job->state == LP__JOB_STATE__JOB_PLACED)
			jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_RUNNING,
					   vm->id, "");
		break;
	case TASK_DONE:
		handle_finished_task(jobs, input, job, vm->id, usage->result, actions);
		break;
	case TASK_FAILED:
		handle_failed_task(jobs, input, job, vm, used_mib, usage->result, actions);
		break;
	case TASK_CHECKPOINTED:
		requeue_or_fail(jobs, input, job, "checkpointed", actions);
		break;
	case TASK_STOPPED:
		requeue_or_fail(jobs, input, job, "stopped on the worker", actions);
		break;
	default:
		break;
	}
}

void jobs_report(jobs_t *jobs, const jobs_input_t *input, const Lp__TargetReport *report,
		 GPtrArray *actions)
{
	const fleet_vm_t *vm = find_vm(input, report->vm);
	uint32_t used_mib = 0;

	if (vm == NULL || !report->has_tasks)
		return;
	for (size_t i = 0; i < report->n_tasks; i++)
		used_mib += report->tasks[i]->mem_mib;
	for (size_t i = 0; i < report->n_tasks; i++) {
		const Lp__TaskUsage *usage = report->tasks[i];
		const fleet_job_t *job = g_hash_table_lookup(input->fleet->job_by_id, usage->job);

		if (job != NULL && jobs_has_task(job) && job->attempt == usage->attempt &&
		    strcmp(job->vm, report->vm) == 0) {
			process_task_report(jobs, input, job, vm, usage, used_mib, actions);
		} else if (usage->state == TASK_RUNNING) {
			jobs_action_t *action =
				jobs_add_action(actions, JOBS_STOP, NULL, report->vm);

			action->job = g_strdup(usage->job);
			action->attempt = usage->attempt;
			action->vm_epoch = vm->epoch;
			action->reason = g_strdup("not the job's current attempt");
		}
	}
}

void jobs_cancelled(jobs_t *jobs, const jobs_input_t *input, const char *const *ids, size_t count,
		    GPtrArray *actions)
{
	for (size_t i = 0; i < count; i++) {
		const fleet_job_t *job = g_hash_table_lookup(input->fleet->job_by_id, ids[i]);

		if (job == NULL || job->state != LP__JOB_STATE__JOB_CANCELLED)
			continue;
		if (job->vm[0] != '\0')
			jobs_add_action(actions, JOBS_STOP, job, job->vm)->reason =
				g_strdup("cancelled");
		g_hash_table_remove(jobs->tasks, ids[i]);
		g_hash_table_remove(jobs->pending_updates, ids[i]);
		g_hash_table_remove(jobs->min_mem_mib, ids[i]);
	}
}

void jobs_start_refused(jobs_t *jobs, const jobs_input_t *input, const char *id, uint32_t attempt,
			GPtrArray *actions)
{
	const fleet_job_t *job = g_hash_table_lookup(input->fleet->job_by_id, id);

	if (job == NULL || job->attempt != attempt || job->state != LP__JOB_STATE__JOB_PLACED ||
	    jobs_get_task(jobs, job, input->now_us)->reported)
		return;
	jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED, "",
			   "the worker refused the start");
}

void jobs_request_checkpoint(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			     GPtrArray *actions)
{
	jobs_task_t *task = jobs_get_task(jobs, job, input->now_us);

	if (input->now_us < task->next_checkpoint_us)
		return;
	task->next_checkpoint_us = input->now_us + RESEND_INTERVAL_US;
	jobs_add_action(actions, JOBS_CHECKPOINT, job, job->vm);
	if (job->state == LP__JOB_STATE__JOB_RUNNING &&
	    !jobs_has_pending_update(jobs, job, input->now_us))
		jobs_propose_state(jobs, input, actions, job, LP__JOB_STATE__JOB_CHECKPOINTING,
				   job->vm, "makes room for urgent work");
}

static void send_start(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		       jobs_task_t *task, GPtrArray *actions)
{
	if (task->reported || input->now_us < task->next_start_us)
		return;
	/*
	 * A worker that finished a task may have forgotten it and would run it again. For a job
	 * that is not repeatable, the start is therefore not sent again if this leader has sent it
	 * or an earlier leader may have.
	 */
	if (!job->spec->repeatable && (!task->placed_by_this_leader || task->next_start_us != 0))
		return;
	task->next_start_us = input->now_us + RESEND_INTERVAL_US;
	jobs_add_action(actions, JOBS_START, job, job->vm)->size =
		jobs_reserved_size(jobs, job, NULL);
}

static void check_task(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		       GPtrArray *actions)
{
	jobs_task_t *task = jobs_get_task(jobs, job, input->now_us);
	const fleet_vm_t *vm = find_vm(input, job->vm);

	if (jobs_has_pending_update(jobs, job, input->now_us))
		return;
	if (vm == NULL || input->now_us - task->last_seen_us >= TASK_LOST_TIMEOUT_US) {
		requeue_or_fail(jobs, input, job, "the worker was lost", actions);
	} else if (job->state == LP__JOB_STATE__JOB_CHECKPOINTING ||
		   (vm->epoch != job->vm_epoch && job->spec->repeatable && task->reported)) {
		jobs_request_checkpoint(jobs, input, job, actions);
	} else if (job->state == LP__JOB_STATE__JOB_PLACED && vm->epoch == job->vm_epoch) {
		send_start(jobs, input, job, task, actions);
	}
}

static gboolean needs_no_task_state(gpointer key, gpointer value, gpointer data)
{
	const fleet_job_t *job = g_hash_table_lookup(data, key);

	return job == NULL || (!jobs_has_task(job) && job->state != LP__JOB_STATE__JOB_QUEUED);
}

static gboolean is_update_expired(gpointer key, gpointer value, gpointer data)
{
	return ((const pending_update_t *)value)->expires_us <= *(const uint64_t *)data;
}

void jobs_run(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions)
{
	static const Lp__JobState states_with_task[] = {
		LP__JOB_STATE__JOB_PLACED,
		LP__JOB_STATE__JOB_RUNNING,
		LP__JOB_STATE__JOB_CHECKPOINTING,
	};
	uint64_t now_us = input->now_us;

	g_hash_table_foreach_remove(jobs->tasks, needs_no_task_state, input->fleet->job_by_id);
	g_hash_table_foreach_remove(jobs->min_mem_mib, needs_no_task_state,
				    input->fleet->job_by_id);
	g_hash_table_foreach_remove(jobs->pending_updates, is_update_expired, &now_us);
	for (size_t i = 0; i < G_N_ELEMENTS(states_with_task); i++) {
		const fleet_job_t *job;

		TAILQ_FOREACH (job, &input->fleet->jobs[states_with_task[i]], link)
			check_task(jobs, input, job, actions);
	}
	jobs_place_queued(jobs, input, actions);
}
