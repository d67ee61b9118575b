#include "jobs.h"

#include <string.h>

#include "clock.h"
#include "jobs_internal.h"

/* A message to a worker or a proposal may be lost; it is sent again. */
#define RESEND_US (500 * US_PER_MS)
#define PENDING_US (1 * US_PER_S)
/* Longer than a task lease and the time after which a silent VM is lost (10 s): a task that is not
 * reported for so long has ended. */
#define TASK_LOST_US (12 * US_PER_S)
#define FAILED_WORKERS 3
#define FAILED_JOBS 3
/* A failed task that used this much of its worker's memory ran out of it. */
#define MEM_FULL_PERCENT 90

enum {
	TASK_RUNNING,
	TASK_DONE,
	TASK_FAILED,
	TASK_CHECKPOINTED,
	TASK_STOPPED,
};

typedef struct {
	uint32_t attempt;
	Lp__JobState state; /* when the update was proposed */
	uint64_t until_us;
	char *vm; /* proposed */
} pending_t;

static void pending_free(gpointer data)
{
	pending_t *pending = data;

	g_free(pending->vm);
	g_free(pending);
}

static void action_free(gpointer data)
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
	return g_ptr_array_new_with_free_func(action_free);
}

void jobs_init(jobs_t *jobs)
{
	placement_kinds_init(&jobs->kinds);
	jobs->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_ptr_array_unref);
	jobs->pending = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pending_free);
	jobs->floors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void jobs_finish(jobs_t *jobs)
{
	placement_kinds_finish(&jobs->kinds);
	g_hash_table_unref(jobs->tasks);
	g_hash_table_unref(jobs->workers);
	g_hash_table_unref(jobs->pending);
	g_hash_table_unref(jobs->floors);
}

placement_size_t jobs_declared(const fleet_job_t *job)
{
	return (placement_size_t){
		.cores_milli = (uint32_t)MIN((uint64_t)job->spec->cores * 1000, UINT32_MAX),
		.mem_mib = job->spec->mem_mib,
		.accelerators = job->spec->accelerators,
	};
}

bool jobs_live(const fleet_job_t *job)
{
	return job->state == LP__JOB_STATE__JOB_PLACED ||
	       job->state == LP__JOB_STATE__JOB_RUNNING ||
	       job->state == LP__JOB_STATE__JOB_CHECKPOINTING;
}

jobs_task_t *jobs_task(jobs_t *jobs, const fleet_job_t *job, uint64_t now_us)
{
	jobs_task_t *task = g_hash_table_lookup(jobs->tasks, job->spec->job);

	if (task == NULL) {
		task = g_new0(jobs_task_t, 1);
		g_hash_table_insert(jobs->tasks, g_strdup(job->spec->job), task);
	}
	if (task->attempt != job->attempt)
		*task = (jobs_task_t){.attempt = job->attempt, .seen_us = now_us};
	return task;
}

placement_size_t jobs_size(const jobs_t *jobs, const fleet_job_t *job, bool *observed)
{
	placement_size_t declared = jobs_declared(job);
	placement_size_t size =
		placement_estimate(&jobs->kinds, job->spec->kind, &declared, observed);
	const jobs_task_t *task = g_hash_table_lookup(jobs->tasks, job->spec->job);
	uint32_t floor = GPOINTER_TO_UINT(g_hash_table_lookup(jobs->floors, job->spec->job));

	size.mem_mib = MAX(size.mem_mib, floor);
	if (task != NULL && task->attempt == job->attempt && jobs_live(job)) {
		size.mem_mib = MAX(size.mem_mib, task->peak.mem_mib);
		size.cores_milli = MAX(size.cores_milli, task->peak.cores_milli);
	}
	return size;
}

const char *jobs_pending_vm(const jobs_t *jobs, const fleet_job_t *job)
{
	const pending_t *pending = g_hash_table_lookup(jobs->pending, job->spec->job);

	return pending != NULL ? pending->vm : "";
}

bool jobs_pending(const jobs_t *jobs, const fleet_job_t *job, uint64_t now_us)
{
	const pending_t *pending = g_hash_table_lookup(jobs->pending, job->spec->job);

	return pending != NULL && pending->attempt == job->attempt &&
	       pending->state == job->state && now_us < pending->until_us;
}

jobs_action_t *jobs_add(GPtrArray *actions, jobs_kind_t kind, const fleet_job_t *job,
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

jobs_action_t *jobs_propose(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions,
			    const fleet_job_t *job, Lp__JobState state, const char *vm,
			    const char *reason)
{
	jobs_action_t *action = jobs_add(actions, JOBS_UPDATE, job, vm);
	pending_t *pending = g_new(pending_t, 1);

	action->state = state;
	action->reason = g_strdup(reason);
	if (state == LP__JOB_STATE__JOB_PLACED) {
		jobs_task_t *task = jobs_task(jobs, job, input->now_us);

		*task = (jobs_task_t){
			.attempt = job->attempt + 1,
			.seen_us = input->now_us,
			.placed_here = true,
		};
	}
	*pending = (pending_t){
		.attempt = job->attempt,
		.state = job->state,
		.until_us = input->now_us + PENDING_US,
		.vm = g_strdup(vm),
	};
	g_hash_table_insert(jobs->pending, g_strdup(job->spec->job), pending);
	return action;
}

static const fleet_vm_t *find_vm(const jobs_input_t *input, const char *id)
{
	return g_hash_table_lookup(input->fleet->vm_by_id, id);
}

/* An attempt ended without a result and not by the job's fault. */
static void give_back(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		      const char *reason, GPtrArray *actions)
{
	if (job->spec->repeatable)
		jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED, "", reason);
	else
		jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_FAILED, "",
			     "the attempt may have run, and the job is not repeatable");
}

/* Notes a failure of a worker. @return number of different jobs that failed there in a row */
static guint worker_failed(jobs_t *jobs, const char *vm, const char *job)
{
	GPtrArray *failed = g_hash_table_lookup(jobs->workers, vm);

	if (failed == NULL) {
		failed = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(jobs->workers, g_strdup(vm), failed);
	}
	if (!g_ptr_array_find_with_equal_func(failed, job, g_str_equal, NULL))
		g_ptr_array_add(failed, g_strdup(job));
	return failed->len;
}

static guint failures_in_a_row(const jobs_t *jobs, const char *vm)
{
	const GPtrArray *failed = g_hash_table_lookup(jobs->workers, vm);

	return failed != NULL ? failed->len : 0;
}

/* Workers that count against the job: those not known to fail other jobs as well. */
static unsigned failed_workers(const jobs_t *jobs, const jobs_input_t *input,
			       const fleet_job_t *job, const char *vm_id)
{
	unsigned count = failures_in_a_row(jobs, vm_id) < FAILED_JOBS ? 1 : 0;

	for (guint i = 0; i < job->failed_on->len; i++) {
		const char *id = g_ptr_array_index(job->failed_on, i);
		const fleet_vm_t *vm = find_vm(input, id);

		if (strcmp(id, vm_id) != 0 && failures_in_a_row(jobs, id) < FAILED_JOBS &&
		    (vm == NULL || vm->phase != LP__VM_PHASE__VM_QUARANTINED))
			count++;
	}
	return count;
}

static uint32_t largest_mem(const fleet_vm_t *vm)
{
	const fleet_vm_t *other;
	uint32_t largest = 0;

	TAILQ_FOREACH (other, &vm->pool->vms, pool_link)
		largest = MAX(largest, other->mem_mib);
	return largest;
}

/*
 * True when the worker ran out of memory, which is neither the worker's nor the job's fault. The
 * next attempt reserves twice the peak, up to a whole worker; a job that filled a whole worker of
 * the largest size cannot run.
 */
static bool ran_out_of_memory(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			      const fleet_vm_t *vm, uint32_t used_mib, GPtrArray *actions)
{
	const jobs_task_t *task = jobs_task(jobs, job, input->now_us);
	uint32_t largest = largest_mem(vm);
	char *reason;

	if ((uint64_t)used_mib * 100 < (uint64_t)vm->mem_mib * MEM_FULL_PERCENT)
		return false;
	if ((uint64_t)task->peak.mem_mib * 100 < (uint64_t)largest * MEM_FULL_PERCENT) {
		uint32_t floor = MIN(task->peak.mem_mib * 2, largest);

		g_hash_table_insert(jobs->floors, g_strdup(job->spec->job),
				    GUINT_TO_POINTER(floor));
		return true;
	}
	reason = g_strdup_printf("needs more than the %u MiB of the largest worker", largest);
	jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_REJECTED, "", reason);
	g_free(reason);
	return true;
}

static void task_failed(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			const fleet_vm_t *vm, uint32_t used_mib, const char *result,
			GPtrArray *actions)
{
	bool memory = ran_out_of_memory(jobs, input, job, vm, used_mib, actions);
	jobs_action_t *action;

	if (memory && jobs_pending(jobs, job, input->now_us))
		return;
	/* A job that failed elsewhere before says nothing about this worker. */
	if (!memory && job->failed_on->len == 0 &&
	    worker_failed(jobs, vm->id, job->spec->job) == FAILED_JOBS) {
		action = jobs_add(actions, JOBS_QUARANTINE, NULL, vm->id);
		action->reason = g_strdup("3 different jobs failed here in a row");
	}
	if (!job->spec->repeatable)
		action = jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_FAILED, vm->id,
				      "failed, and the job is not repeatable");
	else if (memory)
		action = jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED, "",
				      "the worker ran out of memory");
	else if (failed_workers(jobs, input, job, vm->id) >= FAILED_WORKERS)
		action = jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_FAILED, vm->id,
				      "failed on 3 different workers");
	else
		action = jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED, vm->id,
				      "failed");
	action->result = g_strdup(result);
}

static void task_done(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		      const char *vm, const char *result, GPtrArray *actions)
{
	const jobs_task_t *task = jobs_task(jobs, job, input->now_us);
	placement_size_t declared = jobs_declared(job);

	if (task->peak.mem_mib > 0)
		placement_observe(&jobs->kinds, job->spec->kind, &declared, &task->peak);
	g_hash_table_remove(jobs->workers, vm);
	g_hash_table_remove(jobs->floors, job->spec->job);
	jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_DONE, vm, "")->result =
		g_strdup(result);
}

static void live_report(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			const fleet_vm_t *vm, const Lp__TaskUsage *usage, uint32_t used_mib,
			GPtrArray *actions)
{
	jobs_task_t *task = jobs_task(jobs, job, input->now_us);

	task->seen_us = input->now_us;
	task->reported = true;
	task->run_ms = usage->run_ms;
	task->peak.cores_milli = MAX(task->peak.cores_milli, usage->cores_milli);
	task->peak.mem_mib = MAX(task->peak.mem_mib, usage->mem_mib);
	if (jobs_pending(jobs, job, input->now_us))
		return;
	switch (usage->state) {
	case TASK_RUNNING:
		if (job->state == LP__JOB_STATE__JOB_PLACED)
			jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_RUNNING, vm->id,
				     "");
		break;
	case TASK_DONE:
		task_done(jobs, input, job, vm->id, usage->result, actions);
		break;
	case TASK_FAILED:
		task_failed(jobs, input, job, vm, used_mib, usage->result, actions);
		break;
	case TASK_CHECKPOINTED:
		give_back(jobs, input, job, "checkpointed", actions);
		break;
	case TASK_STOPPED:
		give_back(jobs, input, job, "stopped on the worker", actions);
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

		if (job != NULL && jobs_live(job) && job->attempt == usage->attempt &&
		    strcmp(job->vm, report->vm) == 0) {
			live_report(jobs, input, job, vm, usage, used_mib, actions);
		} else if (usage->state == TASK_RUNNING) {
			jobs_action_t *action = jobs_add(actions, JOBS_STOP, NULL, report->vm);

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
			jobs_add(actions, JOBS_STOP, job, job->vm)->reason = g_strdup("cancelled");
		g_hash_table_remove(jobs->tasks, ids[i]);
		g_hash_table_remove(jobs->pending, ids[i]);
		g_hash_table_remove(jobs->floors, ids[i]);
	}
}

void jobs_start_refused(jobs_t *jobs, const jobs_input_t *input, const char *id, uint32_t attempt,
			GPtrArray *actions)
{
	const fleet_job_t *job = g_hash_table_lookup(input->fleet->job_by_id, id);

	if (job == NULL || job->attempt != attempt || job->state != LP__JOB_STATE__JOB_PLACED ||
	    jobs_task(jobs, job, input->now_us)->reported)
		return;
	jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_QUEUED, "",
		     "the worker refused the start");
}

void jobs_checkpoint(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		     GPtrArray *actions)
{
	jobs_task_t *task = jobs_task(jobs, job, input->now_us);

	if (input->now_us < task->checkpoint_due_us)
		return;
	task->checkpoint_due_us = input->now_us + RESEND_US;
	jobs_add(actions, JOBS_CHECKPOINT, job, job->vm);
	if (job->state == LP__JOB_STATE__JOB_RUNNING && !jobs_pending(jobs, job, input->now_us))
		jobs_propose(jobs, input, actions, job, LP__JOB_STATE__JOB_CHECKPOINTING, job->vm,
			     "makes room for urgent work");
}

static void start(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		  jobs_task_t *task, GPtrArray *actions)
{
	if (task->reported || input->now_us < task->start_due_us)
		return;
	/* A worker that has finished a task may have forgotten it and would run it again. Hence a
	 * start that may have been sent before, by this leader or an earlier one, is not repeated.
	 */
	if (!job->spec->repeatable && (!task->placed_here || task->start_due_us != 0))
		return;
	task->start_due_us = input->now_us + RESEND_US;
	jobs_add(actions, JOBS_START, job, job->vm)->size = jobs_size(jobs, job, NULL);
}

static void watch(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		  GPtrArray *actions)
{
	jobs_task_t *task = jobs_task(jobs, job, input->now_us);
	const fleet_vm_t *vm = find_vm(input, job->vm);

	if (jobs_pending(jobs, job, input->now_us))
		return;
	if (vm == NULL || input->now_us - task->seen_us >= TASK_LOST_US) {
		give_back(jobs, input, job, "the worker was lost", actions);
	} else if (job->state == LP__JOB_STATE__JOB_CHECKPOINTING ||
		   (vm->epoch != job->vm_epoch && job->spec->repeatable && task->reported)) {
		jobs_checkpoint(jobs, input, job, actions);
	} else if (job->state == LP__JOB_STATE__JOB_PLACED && vm->epoch == job->vm_epoch) {
		start(jobs, input, job, task, actions);
	}
}

static gboolean is_gone(gpointer key, gpointer value, gpointer data)
{
	const fleet_job_t *job = g_hash_table_lookup(data, key);

	return job == NULL || (!jobs_live(job) && job->state != LP__JOB_STATE__JOB_QUEUED);
}

static gboolean is_over(gpointer key, gpointer value, gpointer data)
{
	return ((const pending_t *)value)->until_us <= *(const uint64_t *)data;
}

void jobs_run(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions)
{
	static const Lp__JobState live[] = {
		LP__JOB_STATE__JOB_PLACED,
		LP__JOB_STATE__JOB_RUNNING,
		LP__JOB_STATE__JOB_CHECKPOINTING,
	};
	uint64_t now_us = input->now_us;

	g_hash_table_foreach_remove(jobs->tasks, is_gone, input->fleet->job_by_id);
	g_hash_table_foreach_remove(jobs->floors, is_gone, input->fleet->job_by_id);
	g_hash_table_foreach_remove(jobs->pending, is_over, &now_us);
	for (size_t i = 0; i < G_N_ELEMENTS(live); i++) {
		const fleet_job_t *job;

		TAILQ_FOREACH (job, &input->fleet->jobs[live[i]], link)
			watch(jobs, input, job, actions);
	}
	jobs_place_queue(jobs, input, actions);
}
