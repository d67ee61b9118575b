#include <string.h>

#include "jobs_internal.h"

/*
 * A job whose declared size exceeds the largest worker by no more than this factor is still tried,
 * since the declared size can be wrong.
 */
#define MAX_DECLARED_ERROR_FACTOR 10

/* The workers of one pool and the tasks on them, as input for the functions of placement.h. */
typedef struct {
	const fleet_pool_t *pool;
	size_t count;
	placement_worker_t *workers;
	const fleet_vm_t **vms;
	GPtrArray **tasks; /* per worker, the jobs (const fleet_job_t *) that have a task on it */
	GHashTable *index_by_vm; /* VM id -> index of the worker + 1 */
	GArray *unplaced_sizes;	 /* sizes of jobs that fitted on no worker in this round */
} pool_view_t;

typedef struct {
	jobs_t *jobs;
	const jobs_input_t *input;
	GPtrArray *actions;
	GHashTable *view_by_pool; /* const fleet_pool_t * -> pool_view_t */
	/*
	 * "organisation/team" -> number of its jobs that are placed, running, checkpointing or
	 * about to be placed
	 */
	GHashTable *jobs_per_team;
} placement_round_t;

static void add_size(placement_resources_t *sum, const placement_resources_t *size)
{
	sum->cores_milli += size->cores_milli;
	sum->mem_mib += size->mem_mib;
	sum->accelerators += size->accelerators;
}

static void pool_view_free(gpointer data)
{
	pool_view_t *view = data;

	for (size_t i = 0; i < view->count; i++)
		g_ptr_array_unref(view->tasks[i]);
	g_hash_table_unref(view->index_by_vm);
	g_array_unref(view->unplaced_sizes);
	g_free(view->workers);
	g_free(view->vms);
	g_free(view->tasks);
	g_free(view);
}

static pool_view_t *get_pool_view(placement_round_t *round, const fleet_pool_t *pool)
{
	pool_view_t *view = g_hash_table_lookup(round->view_by_pool, pool);
	const jobs_input_t *input = round->input;
	const fleet_vm_t *vm;

	if (view != NULL)
		return view;
	view = g_new0(pool_view_t, 1);
	view->pool = pool;
	view->workers = g_new0(placement_worker_t, pool->vm_count);
	view->vms = g_new0(const fleet_vm_t *, pool->vm_count);
	view->tasks = g_new0(GPtrArray *, pool->vm_count);
	view->index_by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	view->unplaced_sizes = g_array_new(FALSE, FALSE, sizeof(placement_resources_t));
	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		size_t i = view->count++;

		view->vms[i] = vm;
		view->tasks[i] = g_ptr_array_new();
		view->workers[i].capacity = (placement_resources_t){
			.cores_milli = vm->cores * 1000,
			.mem_mib = vm->mem_mib,
			.accelerators = vm->accelerators,
		};
		view->workers[i].usable = vm->phase == LP__VM_PHASE__VM_ACTIVE &&
					  vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
					  input->usable(input->arg, vm);
		g_hash_table_insert(view->index_by_vm, vm->id, GUINT_TO_POINTER(i + 1));
	}
	g_hash_table_insert(round->view_by_pool, (gpointer)pool, view);
	return view;
}

static bool is_preemptible(const fleet_job_t *job)
{
	return !job->spec->urgent && job->spec->repeatable &&
	       job->state == LP__JOB_STATE__JOB_RUNNING;
}

static void reserve_on_worker(placement_round_t *round, pool_view_t *view, size_t index,
			      const fleet_job_t *job)
{
	placement_resources_t size = jobs_reserved_size(round->jobs, job, NULL);

	add_size(&view->workers[index].used, &size);
	if (is_preemptible(job) || job->state == LP__JOB_STATE__JOB_CHECKPOINTING)
		add_size(&view->workers[index].preemptible, &size);
	g_ptr_array_add(view->tasks[index], (gpointer)job);
}

static char *team_key(const fleet_job_t *job)
{
	return g_strconcat(job->spec->organisation, "/", job->spec->team, NULL);
}

static void count_job_of_team(placement_round_t *round, const fleet_job_t *job)
{
	char *key = team_key(job);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(round->jobs_per_team, key));

	g_hash_table_insert(round->jobs_per_team, key, GUINT_TO_POINTER(count + 1));
}

static void reserve_for_job(placement_round_t *round, const fleet_job_t *job, const char *vm_id)
{
	const fleet_vm_t *vm = g_hash_table_lookup(round->input->fleet->vm_by_id, vm_id);
	pool_view_t *view;

	count_job_of_team(round, job);
	if (vm == NULL)
		return;
	view = get_pool_view(round, vm->pool);
	reserve_on_worker(round, view,
			  GPOINTER_TO_UINT(g_hash_table_lookup(view->index_by_vm, vm->id)) - 1,
			  job);
}

static void reserve_for_active_jobs(placement_round_t *round, Lp__JobState state)
{
	const fleet_job_t *job;

	TAILQ_FOREACH (job, &round->input->fleet->jobs[state], link)
		reserve_for_job(round, job, job->vm);
}

/* Reserves resources for jobs whose placement is proposed but not applied yet. */
static void reserve_for_proposed_jobs(placement_round_t *round)
{
	const fleet_job_t *job;

	TAILQ_FOREACH (job, &round->input->fleet->jobs[LP__JOB_STATE__JOB_QUEUED], link) {
		if (jobs_has_pending_update(round->jobs, job, round->input->now_us) &&
		    jobs_pending_update_vm(round->jobs, job)[0] != '\0')
			reserve_for_job(round, job, jobs_pending_update_vm(round->jobs, job));
	}
}

static const fleet_pool_t *find_pool(const placement_round_t *round, const fleet_job_t *job)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;

	TAILQ_FOREACH (org, &round->input->fleet->orgs, link) {
		if (strcmp(org->name, job->spec->organisation) != 0)
			continue;
		TAILQ_FOREACH (pool, &org->pools, link) {
			if (strcmp(pool->name, job->spec->pool) == 0)
				return pool;
		}
	}
	return NULL;
}

static bool is_over_quota(const placement_round_t *round, const fleet_pool_t *pool,
			  const fleet_job_t *job)
{
	const Lp__Template *template = pool->org->template;
	char *key = team_key(job);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(round->jobs_per_team, key));
	bool over = false;

	for (size_t i = 0; template != NULL && i < template->n_quotas; i++) {
		const Lp__Quota *quota = template->quotas[i];

		if (strcmp(quota->team, job->spec->team) == 0)
			over = quota->max_running_jobs > 0 && count >= quota->max_running_jobs;
	}
	g_free(key);
	return over;
}

static placement_resources_t largest_capacity(const pool_view_t *view)
{
	placement_resources_t size = {0};

	for (size_t i = 0; i < view->count; i++) {
		const placement_resources_t *capacity = &view->workers[i].capacity;

		size.cores_milli = MAX(size.cores_milli, capacity->cores_milli);
		size.mem_mib = MAX(size.mem_mib, capacity->mem_mib);
		size.accelerators = MAX(size.accelerators, capacity->accelerators);
	}
	return size;
}

/*
 * Rejects a job that would not fit even on an empty worker. Since a declared size can be wrong,
 * declared memory or cores that exceed the largest worker by no more than MAX_DECLARED_ERROR_FACTOR
 * are replaced by half of that worker's. The job is then tried with this size, and its observed
 * usage decides.
 * @param size may be reduced as described
 * @param observed true when size is based on observed usage rather than on the declared size; it is
 * then not reduced
 * @return true when the job was rejected
 */
static bool reject_impossible(placement_round_t *round, const pool_view_t *view,
			      const fleet_job_t *job, placement_resources_t *size, bool observed)
{
	placement_resources_t largest = largest_capacity(view);
	unsigned error_factor = observed ? 1 : MAX_DECLARED_ERROR_FACTOR;
	char *reason;

	if (size->accelerators <= largest.accelerators &&
	    size->mem_mib / error_factor <= largest.mem_mib &&
	    size->cores_milli / error_factor <= largest.cores_milli) {
		if (size->mem_mib > largest.mem_mib)
			size->mem_mib = largest.mem_mib / 2;
		if (size->cores_milli > largest.cores_milli)
			size->cores_milli = largest.cores_milli / 2;
		if (placement_fits_empty_worker(view->workers, view->count, size))
			return false;
	}
	reason =
		g_strdup_printf("%s %u cores, %u MiB and %u accelerators; the largest worker has "
				"%u, %u and %u",
				observed ? "jobs of its kind use" : "declares",
				(size->cores_milli + 999) / 1000, size->mem_mib, size->accelerators,
				largest.cores_milli / 1000, largest.mem_mib, largest.accelerators);
	jobs_propose_state(round->jobs, round->input, round->actions, job,
			   LP__JOB_STATE__JOB_REJECTED, "", reason);
	g_free(reason);
	return true;
}

static void propose_placement(placement_round_t *round, pool_view_t *view, int index,
			      const fleet_job_t *job, const placement_resources_t *size)
{
	jobs_propose_state(round->jobs, round->input, round->actions, job,
			   LP__JOB_STATE__JOB_PLACED, view->vms[index]->id, "");
	add_size(&view->workers[index].used, size);
	count_job_of_team(round, job);
}

/*
 * Places an urgent job on a worker that has enough memory and accelerators, and throttles the cores
 * of the non-urgent tasks there. Cores can be shared, unlike memory.
 * @return false when no worker is suitable
 */
static bool place_by_throttling(placement_round_t *round, pool_view_t *view, const fleet_job_t *job,
				const placement_resources_t *size)
{
	placement_resources_t without_cores = *size;
	int index;

	without_cores.cores_milli = 0;
	index = placement_choose_best_fit(view->workers, view->count, &without_cores);
	if (index < 0 || view->workers[index].preemptible.cores_milli < size->cores_milli)
		return false;
	propose_placement(round, view, index, job, size);
	for (guint i = 0; i < view->tasks[index]->len; i++) {
		const fleet_job_t *other = g_ptr_array_index(view->tasks[index], i);
		jobs_task_t *task = jobs_get_task(round->jobs, other, round->input->now_us);
		placement_resources_t other_size = jobs_reserved_size(round->jobs, other, NULL);
		jobs_action_t *action;

		if (other->spec->urgent || task->throttled)
			continue;
		task->throttled = true;
		action = jobs_add_action(round->actions, JOBS_THROTTLE, other, other->vm);
		action->size = other_size;
		action->size.cores_milli = MAX(other_size.cores_milli / 2, 1);
	}
	return true;
}

/*
 * Checkpoints tasks of the worker until the job fits there. The tasks that have run for the
 * shortest time are checkpointed first.
 */
static void preempt_for(placement_round_t *round, pool_view_t *view, int index,
			const fleet_job_t *job, const placement_resources_t *size)
{
	placement_worker_t *worker = &view->workers[index];
	placement_resources_t limit = worker->capacity;
	placement_resources_t used = worker->used;
	GPtrArray *tasks = view->tasks[index];

	add_size(&used, size);
	for (guint i = 0; i < tasks->len; i++) {
		const fleet_job_t *other = g_ptr_array_index(tasks, i);
		placement_resources_t freed = jobs_reserved_size(round->jobs, other, NULL);

		if (other->state == LP__JOB_STATE__JOB_CHECKPOINTING) {
			used.cores_milli -= freed.cores_milli;
			used.mem_mib -= freed.mem_mib;
			used.accelerators -= freed.accelerators;
		}
	}
	/*
	 * The array is in the order in which the jobs changed state, so its last task has run for
	 * the shortest time.
	 */
	for (guint i = tasks->len; i-- > 0 && !placement_fits(&used, &limit);) {
		const fleet_job_t *other = g_ptr_array_index(tasks, i);
		placement_resources_t freed = jobs_reserved_size(round->jobs, other, NULL);

		if (!is_preemptible(other))
			continue;
		jobs_request_checkpoint(round->jobs, round->input, other, round->actions);
		used.cores_milli -= freed.cores_milli;
		used.mem_mib -= freed.mem_mib;
		used.accelerators -= freed.accelerators;
	}
	/*
	 * Reserves the capacity for the job, so that neither another job nor another preemption
	 * takes it.
	 */
	add_size(&worker->used, size);
	worker->preemptible.cores_milli -= MIN(worker->preemptible.cores_milli, size->cores_milli);
	worker->preemptible.mem_mib -= MIN(worker->preemptible.mem_mib, size->mem_mib);
	worker->preemptible.accelerators -=
		MIN(worker->preemptible.accelerators, size->accelerators);
}

static void exclude_failed_workers(pool_view_t *view, const fleet_job_t *job)
{
	for (size_t i = 0; i < view->count; i++)
		view->workers[i].excluded =
			job->failed_on->len > 0 &&
			g_ptr_array_find_with_equal_func(job->failed_on, view->vms[i]->id,
							 g_str_equal, NULL);
}

/* True when a job of this size or a smaller one fitted on no worker earlier in this round. */
static bool is_known_not_to_fit(const pool_view_t *view, const placement_resources_t *size)
{
	for (guint i = 0; i < view->unplaced_sizes->len; i++) {
		if (placement_fits(&g_array_index(view->unplaced_sizes, placement_resources_t, i),
				   size))
			return true;
	}
	return false;
}

static void place_job(placement_round_t *round, const fleet_job_t *job)
{
	const fleet_pool_t *pool = find_pool(round, job);
	placement_resources_t size;
	pool_view_t *view;
	bool observed;
	int index;

	if (pool == NULL || pool->vm_count == 0 || is_over_quota(round, pool, job))
		return;
	view = get_pool_view(round, pool);
	size = jobs_reserved_size(round->jobs, job, &observed);
	if (reject_impossible(round, view, job, &size, observed))
		return;
	if (!job->spec->urgent && is_known_not_to_fit(view, &size))
		return;
	if (job->failed_on->len >= view->count) {
		jobs_propose_state(round->jobs, round->input, round->actions, job,
				   LP__JOB_STATE__JOB_FAILED, "",
				   "failed on every worker of the pool");
		return;
	}
	exclude_failed_workers(view, job);
	index = placement_choose_best_fit(view->workers, view->count, &size);
	if (index >= 0) {
		propose_placement(round, view, index, job, &size);
		return;
	}
	if (!job->spec->urgent) {
		if (job->failed_on->len == 0)
			g_array_append_val(view->unplaced_sizes, size);
		return;
	}
	if (place_by_throttling(round, view, job, &size))
		return;
	index = placement_choose_for_preemption(view->workers, view->count, &size);
	if (index >= 0)
		preempt_for(round, view, index, job, &size);
}

void jobs_place_queued(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions)
{
	placement_round_t round = {.jobs = jobs, .input = input, .actions = actions};
	const fleet_job_t *job;

	round.view_by_pool =
		g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, pool_view_free);
	round.jobs_per_team = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	reserve_for_active_jobs(&round, LP__JOB_STATE__JOB_PLACED);
	reserve_for_active_jobs(&round, LP__JOB_STATE__JOB_RUNNING);
	reserve_for_active_jobs(&round, LP__JOB_STATE__JOB_CHECKPOINTING);
	reserve_for_proposed_jobs(&round);
	for (unsigned urgent = 1; urgent <= 1; urgent--) {
		TAILQ_FOREACH (job, &input->fleet->jobs[LP__JOB_STATE__JOB_QUEUED], link) {
			if ((job->spec->urgent != 0) == (urgent == 1) &&
			    !jobs_has_pending_update(jobs, job, input->now_us))
				place_job(&round, job);
		}
	}
	g_hash_table_unref(round.view_by_pool);
	g_hash_table_unref(round.jobs_per_team);
}
