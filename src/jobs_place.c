#include <string.h>

#include "jobs_internal.h"

/* Declared sizes are off by up to this factor in either direction. */
#define DECLARED_ERROR 10

/* The workers of a pool, as arrays for placement.h. */
typedef struct {
	const fleet_pool_t *pool;
	size_t count;
	placement_worker_t *workers;
	const fleet_vm_t **vms;
	GPtrArray **tasks; /* live jobs per worker */
	GHashTable *index; /* VM id to position + 1 */
	GArray *unplaced;  /* sizes that did not fit in this round */
} pool_view_t;

typedef struct {
	jobs_t *jobs;
	const jobs_input_t *input;
	GPtrArray *actions;
	GHashTable *pools; /* fleet_pool_t to pool_view_t */
	GHashTable *teams; /* "organisation/team" to number of live jobs */
} round_t;

static void add_size(placement_size_t *sum, const placement_size_t *size)
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
	g_hash_table_unref(view->index);
	g_array_unref(view->unplaced);
	g_free(view->workers);
	g_free(view->vms);
	g_free(view->tasks);
	g_free(view);
}

static pool_view_t *view_of(round_t *round, const fleet_pool_t *pool)
{
	pool_view_t *view = g_hash_table_lookup(round->pools, pool);
	const jobs_input_t *input = round->input;
	const fleet_vm_t *vm;

	if (view != NULL)
		return view;
	view = g_new0(pool_view_t, 1);
	view->pool = pool;
	view->workers = g_new0(placement_worker_t, pool->vm_count);
	view->vms = g_new0(const fleet_vm_t *, pool->vm_count);
	view->tasks = g_new0(GPtrArray *, pool->vm_count);
	view->index = g_hash_table_new(g_str_hash, g_str_equal);
	view->unplaced = g_array_new(FALSE, FALSE, sizeof(placement_size_t));
	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		size_t i = view->count++;

		view->vms[i] = vm;
		view->tasks[i] = g_ptr_array_new();
		view->workers[i].capacity = (placement_size_t){
			.cores_milli = vm->cores * 1000,
			.mem_mib = vm->mem_mib,
			.accelerators = vm->accelerators,
		};
		view->workers[i].usable = vm->phase == LP__VM_PHASE__VM_ACTIVE &&
					  vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
					  input->usable(input->arg, vm);
		g_hash_table_insert(view->index, vm->id, GUINT_TO_POINTER(i + 1));
	}
	g_hash_table_insert(round->pools, (gpointer)pool, view);
	return view;
}

static bool may_preempt(const fleet_job_t *job)
{
	return !job->spec->urgent && job->spec->repeatable &&
	       job->state == LP__JOB_STATE__JOB_RUNNING;
}

static void charge(round_t *round, pool_view_t *view, size_t index, const fleet_job_t *job)
{
	placement_size_t size = jobs_size(round->jobs, job, NULL);

	add_size(&view->workers[index].used, &size);
	if (may_preempt(job) || job->state == LP__JOB_STATE__JOB_CHECKPOINTING)
		add_size(&view->workers[index].preemptible, &size);
	g_ptr_array_add(view->tasks[index], (gpointer)job);
}

static char *team_key(const fleet_job_t *job)
{
	return g_strconcat(job->spec->organisation, "/", job->spec->team, NULL);
}

static void count_team(round_t *round, const fleet_job_t *job)
{
	char *key = team_key(job);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(round->teams, key));

	g_hash_table_insert(round->teams, key, GUINT_TO_POINTER(count + 1));
}

static void charge_job(round_t *round, const fleet_job_t *job, const char *vm_id)
{
	const fleet_vm_t *vm = g_hash_table_lookup(round->input->fleet->vm_by_id, vm_id);
	pool_view_t *view;

	count_team(round, job);
	if (vm == NULL)
		return;
	view = view_of(round, vm->pool);
	charge(round, view, GPOINTER_TO_UINT(g_hash_table_lookup(view->index, vm->id)) - 1, job);
}

static void charge_live(round_t *round, Lp__JobState state)
{
	const fleet_job_t *job;

	TAILQ_FOREACH (job, &round->input->fleet->jobs[state], link)
		charge_job(round, job, job->vm);
}

/* Placements that are proposed but not applied yet. */
static void charge_proposed(round_t *round)
{
	const fleet_job_t *job;

	TAILQ_FOREACH (job, &round->input->fleet->jobs[LP__JOB_STATE__JOB_QUEUED], link) {
		if (jobs_pending(round->jobs, job, round->input->now_us) &&
		    jobs_pending_vm(round->jobs, job)[0] != '\0')
			charge_job(round, job, jobs_pending_vm(round->jobs, job));
	}
}

static const fleet_pool_t *pool_of(const round_t *round, const fleet_job_t *job)
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

static bool over_quota(const round_t *round, const fleet_pool_t *pool, const fleet_job_t *job)
{
	const Lp__Template *template = pool->org->template;
	char *key = team_key(job);
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(round->teams, key));
	bool over = false;

	for (size_t i = 0; template != NULL && i < template->n_quotas; i++) {
		const Lp__Quota *quota = template->quotas[i];

		if (strcmp(quota->team, job->spec->team) == 0)
			over = quota->max_running_jobs > 0 && count >= quota->max_running_jobs;
	}
	g_free(key);
	return over;
}

static placement_size_t largest(const pool_view_t *view)
{
	placement_size_t size = {0};

	for (size_t i = 0; i < view->count; i++) {
		const placement_size_t *capacity = &view->workers[i].capacity;

		size.cores_milli = MAX(size.cores_milli, capacity->cores_milli);
		size.mem_mib = MAX(size.mem_mib, capacity->mem_mib);
		size.accelerators = MAX(size.accelerators, capacity->accelerators);
	}
	return size;
}

/*
 * Rejects a job that fits no worker. A declared size alone proves this only when it exceeds the
 * largest worker by more than declared sizes are off; below that the job is tried with half of the
 * largest worker, and its use then shows.
 */
static bool reject_impossible(round_t *round, const pool_view_t *view, const fleet_job_t *job,
			      placement_size_t *size, bool observed)
{
	placement_size_t most = largest(view);
	unsigned slack = observed ? 1 : DECLARED_ERROR;
	char *reason;

	if (size->accelerators <= most.accelerators && size->mem_mib / slack <= most.mem_mib &&
	    size->cores_milli / slack <= most.cores_milli) {
		if (size->mem_mib > most.mem_mib)
			size->mem_mib = most.mem_mib / 2;
		if (size->cores_milli > most.cores_milli)
			size->cores_milli = most.cores_milli / 2;
		if (placement_possible(view->workers, view->count, size))
			return false;
	}
	reason =
		g_strdup_printf("%s %u cores, %u MiB and %u accelerators; the largest worker has "
				"%u, %u and %u",
				observed ? "jobs of its kind use" : "declares",
				(size->cores_milli + 999) / 1000, size->mem_mib, size->accelerators,
				most.cores_milli / 1000, most.mem_mib, most.accelerators);
	jobs_propose(round->jobs, round->input, round->actions, job, LP__JOB_STATE__JOB_REJECTED,
		     "", reason);
	g_free(reason);
	return true;
}

static void place(round_t *round, pool_view_t *view, int index, const fleet_job_t *job,
		  const placement_size_t *size)
{
	jobs_propose(round->jobs, round->input, round->actions, job, LP__JOB_STATE__JOB_PLACED,
		     view->vms[index]->id, "");
	add_size(&view->workers[index].used, size);
	count_team(round, job);
}

/* Cores can be shared: urgent work starts at once where memory suffices, and lower classes get
 * fewer cores. */
static bool place_by_throttling(round_t *round, pool_view_t *view, const fleet_job_t *job,
				const placement_size_t *size)
{
	placement_size_t without_cores = *size;
	int index;

	without_cores.cores_milli = 0;
	index = placement_choose(view->workers, view->count, &without_cores);
	if (index < 0 || view->workers[index].preemptible.cores_milli < size->cores_milli)
		return false;
	place(round, view, index, job, size);
	for (guint i = 0; i < view->tasks[index]->len; i++) {
		const fleet_job_t *other = g_ptr_array_index(view->tasks[index], i);
		jobs_task_t *task = jobs_task(round->jobs, other, round->input->now_us);
		placement_size_t other_size = jobs_size(round->jobs, other, NULL);
		jobs_action_t *action;

		if (other->spec->urgent || task->throttled)
			continue;
		task->throttled = true;
		action = jobs_add(round->actions, JOBS_THROTTLE, other, other->vm);
		action->size = other_size;
		action->size.cores_milli = MAX(other_size.cores_milli / 2, 1);
	}
	return true;
}

/* Checkpoints the tasks that have run for the shortest time, until the job fits. */
static void checkpoint_for(round_t *round, pool_view_t *view, int index, const fleet_job_t *job,
			   const placement_size_t *size)
{
	placement_worker_t *worker = &view->workers[index];
	placement_size_t limit = worker->capacity;
	placement_size_t used = worker->used;
	GPtrArray *tasks = view->tasks[index];

	add_size(&used, size);
	for (guint i = 0; i < tasks->len; i++) {
		const fleet_job_t *other = g_ptr_array_index(tasks, i);
		placement_size_t freed = jobs_size(round->jobs, other, NULL);

		if (other->state == LP__JOB_STATE__JOB_CHECKPOINTING) {
			used.cores_milli -= freed.cores_milli;
			used.mem_mib -= freed.mem_mib;
			used.accelerators -= freed.accelerators;
		}
	}
	/* Tasks are listed in the order in which their state changed; the last ran shortest. */
	for (guint i = tasks->len; i-- > 0 && !placement_fits(&used, &limit);) {
		const fleet_job_t *other = g_ptr_array_index(tasks, i);
		placement_size_t freed = jobs_size(round->jobs, other, NULL);

		if (!may_preempt(other))
			continue;
		jobs_checkpoint(round->jobs, round->input, other, round->actions);
		used.cores_milli -= freed.cores_milli;
		used.mem_mib -= freed.mem_mib;
		used.accelerators -= freed.accelerators;
	}
	/* Reserved, so that nothing else takes the room, and no other urgent job the same. */
	add_size(&worker->used, size);
	worker->preemptible.cores_milli -= MIN(worker->preemptible.cores_milli, size->cores_milli);
	worker->preemptible.mem_mib -= MIN(worker->preemptible.mem_mib, size->mem_mib);
	worker->preemptible.accelerators -=
		MIN(worker->preemptible.accelerators, size->accelerators);
}

static void exclude_failed(pool_view_t *view, const fleet_job_t *job)
{
	for (size_t i = 0; i < view->count; i++)
		view->workers[i].excluded =
			job->failed_on->len > 0 &&
			g_ptr_array_find_with_equal_func(job->failed_on, view->vms[i]->id,
							 g_str_equal, NULL);
}

/* True when a job that wants no more than this one did not fit in this round. */
static bool surely_full(const pool_view_t *view, const placement_size_t *size)
{
	for (guint i = 0; i < view->unplaced->len; i++) {
		if (placement_fits(&g_array_index(view->unplaced, placement_size_t, i), size))
			return true;
	}
	return false;
}

static void place_job(round_t *round, const fleet_job_t *job)
{
	const fleet_pool_t *pool = pool_of(round, job);
	placement_size_t size;
	pool_view_t *view;
	bool observed;
	int index;

	if (pool == NULL || pool->vm_count == 0 || over_quota(round, pool, job))
		return;
	view = view_of(round, pool);
	size = jobs_size(round->jobs, job, &observed);
	if (reject_impossible(round, view, job, &size, observed))
		return;
	if (!job->spec->urgent && surely_full(view, &size))
		return;
	if (job->failed_on->len >= view->count) {
		jobs_propose(round->jobs, round->input, round->actions, job,
			     LP__JOB_STATE__JOB_FAILED, "", "failed on every worker of the pool");
		return;
	}
	exclude_failed(view, job);
	index = placement_choose(view->workers, view->count, &size);
	if (index >= 0) {
		place(round, view, index, job, &size);
		return;
	}
	if (!job->spec->urgent) {
		if (job->failed_on->len == 0)
			g_array_append_val(view->unplaced, size);
		return;
	}
	if (place_by_throttling(round, view, job, &size))
		return;
	index = placement_choose_victim(view->workers, view->count, &size);
	if (index >= 0)
		checkpoint_for(round, view, index, job, &size);
}

void jobs_place_queue(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions)
{
	round_t round = {.jobs = jobs, .input = input, .actions = actions};
	const fleet_job_t *job;

	round.pools = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, pool_view_free);
	round.teams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	charge_live(&round, LP__JOB_STATE__JOB_PLACED);
	charge_live(&round, LP__JOB_STATE__JOB_RUNNING);
	charge_live(&round, LP__JOB_STATE__JOB_CHECKPOINTING);
	charge_proposed(&round);
	for (unsigned urgent = 1; urgent <= 1; urgent--) {
		TAILQ_FOREACH (job, &input->fleet->jobs[LP__JOB_STATE__JOB_QUEUED], link) {
			if ((job->spec->urgent != 0) == (urgent == 1) &&
			    !jobs_pending(jobs, job, input->now_us))
				place_job(&round, job);
		}
	}
	g_hash_table_unref(round.pools);
	g_hash_table_unref(round.teams);
}
