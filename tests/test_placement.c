#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "jobs.h"

#define WORKERS 5
#define MEM_MIB 1000

/*
 * Fleet with one organisation and one pool of workers, as far as jobs.c and jobs_place.c read it.
 */
typedef struct {
	fleet_t fleet;
	fleet_org_t org;
	fleet_pool_t pool;
	fleet_vm_t vms[WORKERS];
	char ids[WORKERS][8];
	Lp__Template template;
	Lp__Quota quota;
	Lp__Quota *quotas[1];
	GPtrArray *owned;
	jobs_t jobs;
	uint64_t now_us;
	unsigned quarantined;
} fixture_t;

static fixture_t fx;

static void job_free(gpointer data)
{
	fleet_job_t *job = data;

	g_free(job->spec->job);
	g_free(job->spec);
	g_free(job->vm);
	g_free(job->reason);
	g_ptr_array_unref(job->failed_on);
	g_free(job);
}

static int set_up(void **state)
{
	fx = (fixture_t){.now_us = 100 * US_PER_S};
	fx.org.name = "tesfaye";
	fx.pool.name = "fleet";
	fx.pool.org = &fx.org;
	fx.fleet.vm_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fx.fleet.job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fx.owned = g_ptr_array_new_with_free_func(job_free);
	for (unsigned i = 0; i < FLEET_JOB_STATES; i++)
		TAILQ_INIT(&fx.fleet.jobs[i]);
	TAILQ_INIT(&fx.fleet.orgs);
	TAILQ_INIT(&fx.org.pools);
	TAILQ_INIT(&fx.pool.vms);
	TAILQ_INSERT_TAIL(&fx.fleet.orgs, &fx.org, link);
	TAILQ_INSERT_TAIL(&fx.org.pools, &fx.pool, link);
	for (unsigned i = 0; i < WORKERS; i++) {
		g_snprintf(fx.ids[i], sizeof(fx.ids[i]), "w%u", i);
		fx.vms[i] = (fleet_vm_t){.id = fx.ids[i],
					 .pool = &fx.pool,
					 .phase = LP__VM_PHASE__VM_ACTIVE,
					 .cores = 10,
					 .mem_mib = MEM_MIB};
		TAILQ_INSERT_TAIL(&fx.pool.vms, &fx.vms[i], pool_link);
		fx.pool.vm_count++;
		g_hash_table_insert(fx.fleet.vm_by_id, fx.ids[i], &fx.vms[i]);
	}
	jobs_init(&fx.jobs);
	return 0;
}

static int tear_down(void **state)
{
	jobs_finish(&fx.jobs);
	g_hash_table_unref(fx.fleet.vm_by_id);
	g_hash_table_unref(fx.fleet.job_by_id);
	g_ptr_array_unref(fx.owned);
	return 0;
}

static fleet_job_t *submit(const char *id, const char *kind, uint32_t cores, uint32_t mem_mib)
{
	fleet_job_t *job = g_new0(fleet_job_t, 1);

	job->spec = g_new(Lp__JobSpec, 1);
	lp__job_spec__init(job->spec);
	job->spec->job = g_strdup(id);
	job->spec->organisation = "tesfaye";
	job->spec->pool = "fleet";
	job->spec->team = "night";
	job->spec->kind = (char *)kind;
	job->spec->cores = cores;
	job->spec->mem_mib = mem_mib;
	job->spec->repeatable = true;
	job->vm = g_strdup("");
	job->failed_on = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(fx.owned, job);
	g_hash_table_insert(fx.fleet.job_by_id, job->spec->job, job);
	TAILQ_INSERT_TAIL(&fx.fleet.jobs[LP__JOB_STATE__JOB_QUEUED], job, link);
	return job;
}

static void apply_update(const jobs_action_t *action)
{
	fleet_job_t *job = g_hash_table_lookup(fx.fleet.job_by_id, action->job);

	if (job->attempt != action->attempt || job->state > LP__JOB_STATE__JOB_CHECKPOINTING)
		return;
	TAILQ_REMOVE(&fx.fleet.jobs[job->state], job, link);
	if (action->state == LP__JOB_STATE__JOB_QUEUED && !job->spec->repeatable)
		assert_int_equal(job->state, LP__JOB_STATE__JOB_PLACED);
	if (action->state == LP__JOB_STATE__JOB_PLACED)
		job->attempt++;
	if (action->state == LP__JOB_STATE__JOB_QUEUED && action->vm[0] != '\0')
		g_ptr_array_add(job->failed_on, g_strdup(action->vm));
	g_free(job->vm);
	job->vm = g_strdup(action->state == LP__JOB_STATE__JOB_QUEUED ? "" : action->vm);
	g_free(job->reason);
	job->reason = g_strdup(action->reason);
	job->state = action->state;
	TAILQ_INSERT_TAIL(&fx.fleet.jobs[job->state], job, link);
}

static bool usable(void *arg, const fleet_vm_t *vm)
{
	return true;
}

/*
 * Applies the proposed job updates and quarantines among the actions.
 * @return number of actions of the given kind
 */
static unsigned apply_actions(GPtrArray *actions, jobs_action_type_t kind)
{
	unsigned count = 0;

	for (guint i = 0; i < actions->len; i++) {
		const jobs_action_t *action = g_ptr_array_index(actions, i);

		count += action->kind == kind;
		if (action->kind == JOBS_UPDATE)
			apply_update(action);
		if (action->kind == JOBS_QUARANTINE) {
			fleet_vm_t *vm = g_hash_table_lookup(fx.fleet.vm_by_id, action->vm);

			vm->phase = LP__VM_PHASE__VM_QUARANTINED;
			fx.quarantined++;
		}
	}
	g_ptr_array_unref(actions);
	return count;
}

static unsigned run(jobs_action_type_t kind)
{
	jobs_input_t input = {.fleet = &fx.fleet, .usable = usable, .now_us = fx.now_us};
	GPtrArray *actions = jobs_actions_new();

	jobs_run(&fx.jobs, &input, actions);
	fx.now_us += 200 * US_PER_MS;
	return apply_actions(actions, kind);
}

static unsigned report(const char *vm, const fleet_job_t *job, uint32_t attempt, uint32_t state,
		       uint32_t mem_mib, jobs_action_type_t kind)
{
	jobs_input_t input = {.fleet = &fx.fleet, .usable = usable, .now_us = fx.now_us};
	GPtrArray *actions = jobs_actions_new();
	Lp__TargetReport message = LP__TARGET_REPORT__INIT;
	Lp__TaskUsage usage = LP__TASK_USAGE__INIT;
	Lp__TaskUsage *tasks[] = {&usage};

	usage.job = job->spec->job;
	usage.attempt = attempt;
	usage.state = state;
	usage.cores_milli = 1000;
	usage.mem_mib = mem_mib;
	message.vm = (char *)vm;
	message.has_tasks = true;
	message.n_tasks = 1;
	message.tasks = tasks;
	jobs_report(&fx.jobs, &input, &message, actions);
	fx.now_us += 2 * US_PER_S;
	return apply_actions(actions, kind);
}

/*
 * Reports a placed job's task as running and then in its final state.
 * @param state final state, a value of TaskUsage.state
 */
static void finish_task(fleet_job_t *job, uint32_t state, uint32_t mem_mib)
{
	char *vm = g_strdup(job->vm);

	report(vm, job, job->attempt, 0, mem_mib, JOBS_UPDATE);
	report(vm, job, job->attempt, state, mem_mib, JOBS_UPDATE);
	g_free(vm);
}

/*
 * Guards against placing jobs by their declared sizes although observed sizes are known: declared
 * sizes that are too large waste workers, too small ones overload them.
 */
static void test_sizes_are_estimated_per_kind(void **state)
{
	placement_resources_t declared = {.cores_milli = 8000, .mem_mib = 900};
	placement_resources_t peak = {.cores_milli = 1000, .mem_mib = 100};
	placement_resources_t size;
	bool observed;

	for (unsigned i = 0; i < 3; i++)
		placement_record_usage(&fx.jobs.size_estimator, "k", &declared, &peak);
	size = placement_estimate_size(&fx.jobs.size_estimator, "k", &declared, &observed);
	assert_true(observed);
	assert_in_range(size.mem_mib, 100, 120);
	assert_int_equal(size.cores_milli, 1000);
	/* A single job that uses far more than the others must not change the estimate. */
	peak.mem_mib = 1000000;
	for (unsigned i = 0; i < 6; i++)
		placement_record_usage(
			&fx.jobs.size_estimator, "k", &declared,
			&(placement_resources_t){.cores_milli = 1000, .mem_mib = 100});
	placement_record_usage(&fx.jobs.size_estimator, "k", &declared, &peak);
	assert_in_range(
		placement_estimate_size(&fx.jobs.size_estimator, "k", &declared, NULL).mem_mib, 100,
		120);
	assert_false((placement_estimate_size(&fx.jobs.size_estimator, "x", &declared, &observed),
		      observed));
}

/* Guards against jobs that fit on no worker but are queued or retried for ever. */
static void test_impossible_jobs_are_rejected(void **state)
{
	fleet_job_t *huge = submit("huge", "a", 1, 20 * MEM_MIB);
	fleet_job_t *hidden = submit("hidden", "b", 1, 10);
	fleet_job_t *accelerated = submit("accelerated", "c", 1, 10);

	accelerated->spec->accelerators = 1;
	run(JOBS_UPDATE);
	assert_int_equal(huge->state, LP__JOB_STATE__JOB_REJECTED);
	assert_non_null(strstr(huge->reason, "largest worker"));
	assert_int_equal(accelerated->state, LP__JOB_STATE__JOB_REJECTED);
	assert_int_equal(hidden->state, LP__JOB_STATE__JOB_PLACED);
	finish_task(hidden, 2, MEM_MIB);
	assert_int_equal(hidden->state, LP__JOB_STATE__JOB_REJECTED);
	assert_int_equal(fx.quarantined, 0);
}

/* Guards against quarantining workers because of one job that fails on each of them. */
static void test_failing_job_is_not_blamed_on_workers(void **state)
{
	fleet_job_t *bad = submit("bad", "a", 1, 10);

	for (unsigned i = 0; i < 3; i++) {
		run(JOBS_UPDATE);
		assert_int_equal(bad->state, LP__JOB_STATE__JOB_PLACED);
		finish_task(bad, 2, 10);
	}
	assert_int_equal(bad->state, LP__JOB_STATE__JOB_FAILED);
	assert_int_equal(bad->attempt, 3);
	assert_int_equal(fx.quarantined, 0);
}

/* Guards against letting jobs fail because they ran on a worker where every job fails. */
static void test_failing_worker_is_quarantined(void **state)
{
	fleet_job_t *jobs[3];
	char id[8];

	for (unsigned i = 0; i < 3; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		jobs[i] = submit(id, "a", 1, 10);
	}
	run(JOBS_UPDATE);
	for (unsigned i = 0; i < 3; i++) {
		assert_string_equal(jobs[i]->vm, jobs[0]->vm);
	}
	for (unsigned i = 0; i < 3; i++)
		finish_task(jobs[i], 2, 10);
	assert_int_equal(fx.quarantined, 1);
	run(JOBS_UPDATE);
	for (unsigned i = 0; i < 3; i++) {
		assert_int_equal(jobs[i]->state, LP__JOB_STATE__JOB_PLACED);
		finish_task(jobs[i], 1, 10);
		assert_int_equal(jobs[i]->state, LP__JOB_STATE__JOB_DONE);
	}
}

/*
 * Guards against starting a non-repeatable job a second time after its first start may have
 * succeeded. If the worker refused the start, the job must be placed again.
 */
static void test_non_repeatable_job_is_never_started_again(void **state)
{
	fleet_job_t *lost = submit("lost", "a", 1, 10);
	fleet_job_t *refused = submit("refused", "a", 1, 10);
	jobs_input_t input = {.fleet = &fx.fleet, .usable = usable};
	GPtrArray *actions = jobs_actions_new();

	lost->spec->repeatable = false;
	refused->spec->repeatable = false;
	run(JOBS_UPDATE);
	assert_int_equal(run(JOBS_START), 2);
	fx.now_us += US_PER_S;
	assert_int_equal(run(JOBS_START), 0);
	input.now_us = fx.now_us;
	jobs_start_refused(&fx.jobs, &input, "refused", 1, actions);
	apply_actions(actions, JOBS_UPDATE);
	assert_int_equal(refused->state, LP__JOB_STATE__JOB_QUEUED);
	fx.now_us += 20 * US_PER_S;
	run(JOBS_UPDATE);
	assert_int_equal(lost->state, LP__JOB_STATE__JOB_FAILED);
	assert_int_equal(refused->state, LP__JOB_STATE__JOB_PLACED);
}

/*
 * Guards against a new leader that starts a non-repeatable job that the previous leader may have
 * started already.
 */
static void test_new_leader_does_not_start_non_repeatable_jobs(void **state)
{
	fleet_job_t *once = submit("once", "a", 1, 10);
	fleet_job_t *again = submit("again", "a", 1, 10);

	once->spec->repeatable = false;
	run(JOBS_UPDATE);
	assert_int_equal(once->state, LP__JOB_STATE__JOB_PLACED);
	jobs_finish(&fx.jobs);
	jobs_init(&fx.jobs);
	assert_int_equal(run(JOBS_START), 1);
	assert_int_equal(again->state, LP__JOB_STATE__JOB_PLACED);
}

/* Guards against urgent jobs that wait although a non-urgent job could be checkpointed for them. */
static void test_urgent_job_preempts_others(void **state)
{
	fleet_job_t *low[WORKERS];
	fleet_job_t *urgent;
	char id[8];
	unsigned checkpointed = 0;

	for (unsigned i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "j%u", i);
		low[i] = submit(id, "a", 10, MEM_MIB);
	}
	run(JOBS_UPDATE);
	for (unsigned i = 0; i < WORKERS; i++)
		report(low[i]->vm, low[i], 1, 0, 10, JOBS_UPDATE);
	urgent = submit("urgent", "u", 1, 500);
	urgent->spec->urgent = true;
	assert_int_equal(run(JOBS_CHECKPOINT), 1);
	assert_int_equal(run(JOBS_CHECKPOINT), 0);
	for (unsigned i = 0; i < WORKERS; i++) {
		if (low[i]->state != LP__JOB_STATE__JOB_CHECKPOINTING)
			continue;
		report(low[i]->vm, low[i], 1, 3, 10, JOBS_UPDATE);
		checkpointed++;
	}
	assert_int_equal(checkpointed, 1);
	run(JOBS_UPDATE);
	assert_int_equal(urgent->state, LP__JOB_STATE__JOB_PLACED);
}

/*
 * Guards against a team that exceeds its quota of running jobs, and against tasks that keep running
 * although they belong to no current attempt.
 */
static void test_quota_and_stale_tasks(void **state)
{
	fleet_job_t *first = submit("first", "a", 1, 10);
	fleet_job_t *second = submit("second", "a", 1, 10);
	jobs_input_t input = {.fleet = &fx.fleet, .usable = usable};
	const char *ids[] = {"first"};
	GPtrArray *actions = jobs_actions_new();

	lp__template__init(&fx.template);
	lp__quota__init(&fx.quota);
	fx.quota.team = "night";
	fx.quota.max_running_jobs = 1;
	fx.quotas[0] = &fx.quota;
	fx.template.n_quotas = 1;
	fx.template.quotas = fx.quotas;
	fx.org.template = &fx.template;
	run(JOBS_UPDATE);
	assert_int_equal(first->state, LP__JOB_STATE__JOB_PLACED);
	assert_int_equal(second->state, LP__JOB_STATE__JOB_QUEUED);
	/*
	 * A task on a VM to which its job is not assigned, such as one of an earlier attempt, is
	 * stopped.
	 */
	assert_int_equal(report("w4", first, 1, 0, 10, JOBS_STOP), 1);
	TAILQ_REMOVE(&fx.fleet.jobs[first->state], first, link);
	first->state = LP__JOB_STATE__JOB_CANCELLED;
	TAILQ_INSERT_TAIL(&fx.fleet.jobs[first->state], first, link);
	jobs_cancelled(&fx.jobs, &input, ids, 1, actions);
	assert_int_equal(apply_actions(actions, JOBS_STOP), 1);
	run(JOBS_UPDATE);
	assert_int_equal(second->state, LP__JOB_STATE__JOB_PLACED);
}

#define CASE(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_sizes_are_estimated_per_kind),
		CASE(test_impossible_jobs_are_rejected),
		CASE(test_failing_job_is_not_blamed_on_workers),
		CASE(test_failing_worker_is_quarantined),
		CASE(test_non_repeatable_job_is_never_started_again),
		CASE(test_new_leader_does_not_start_non_repeatable_jobs),
		CASE(test_urgent_job_preempts_others),
		CASE(test_quota_and_stale_tasks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
