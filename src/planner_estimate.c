#include <string.h>

#include "planner_internal.h"

/*
 * Time from granting a permit until the reboot: the cordon is committed, the VM announces itself,
 * and the VM is quiesced.
 */
#define REBOOT_PREPARATION_MS 3000

/* Maintenance still to be done in one pool, in the simulation of count_min_rounds(). */
typedef struct {
	uint32_t vms_due;
	uint32_t max_parallel; /* VMs that may be under maintenance at once within the budget */
	uint32_t started;      /* VMs whose maintenance starts in the current round */
} pool_rollout_t;

/*
 * Returns how many VMs of the pool can be put under maintenance at once within its budget, given
 * the current health of its VMs. Takes the VMs in the order in which the planner would.
 */
static uint32_t max_parallel_vms(const plan_input_t *input, const fleet_pool_t *pool,
				 const char *image)
{
	plan_run_t run = {.input = input,
			  .granted = g_hash_table_new(g_direct_hash, g_direct_equal)};
	const fleet_vm_t *vm;
	uint32_t count = 0;

	while (plan_pool_budget(&run, pool).free > 0) {
		vm = plan_next_vm_to_maintain(&run, pool, image, false);
		if (vm == NULL)
			break;
		g_hash_table_add(run.granted, (void *)vm);
		count++;
	}
	g_hash_table_unref(run.granted);
	return count;
}

static uint32_t rounds_remaining(const pool_rollout_t *rollout)
{
	uint32_t remaining = rollout->vms_due - rollout->started;

	return (remaining + rollout->max_parallel - 1) / rollout->max_parallel;
}

static pool_rollout_t *find_longest_rollout(pool_rollout_t *rollouts, size_t count)
{
	pool_rollout_t *longest = NULL;

	for (size_t i = 0; i < count; i++) {
		if (rollouts[i].max_parallel == 0 ||
		    rollouts[i].started >= rollouts[i].max_parallel ||
		    rollouts[i].started >= rollouts[i].vms_due)
			continue;
		if (longest == NULL || rounds_remaining(&rollouts[i]) > rounds_remaining(longest))
			longest = &rollouts[i];
	}
	return longest;
}

/*
 * Returns a lower bound of the number of rounds that the wave needs, assuming that all reboots take
 * equally long. Each round is limited by the pools' budgets and by the batch, which doubles with
 * each VM that succeeds.
 */
static uint32_t count_min_rounds(pool_rollout_t *rollouts, size_t count, uint32_t max_batch)
{
	uint64_t batch = 1;
	uint32_t rounds = 0;

	for (;; rounds++) {
		uint64_t limit = max_batch != 0 ? MIN(batch, max_batch) : batch;
		uint64_t started = 0;
		pool_rollout_t *rollout;

		while (started < limit &&
		       (rollout = find_longest_rollout(rollouts, count)) != NULL) {
			rollout->started++;
			started++;
		}
		if (started == 0)
			return rounds;
		for (size_t i = 0; i < count; i++) {
			rollouts[i].vms_due -= rollouts[i].started;
			rollouts[i].started = 0;
		}
		batch = MIN(batch << MIN(started, 16U), 1U << 16);
	}
}

static uint32_t current_pool_size(const fleet_pool_t *pool)
{
	const fleet_vm_t *vm;
	uint32_t size = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (vm->phase != LP__VM_PHASE__VM_LOST && vm->phase != LP__VM_PHASE__VM_QUARANTINED)
			size++;
	}
	return size;
}

static uint32_t count_due(const fleet_pool_t *pool, const char *image)
{
	const fleet_vm_t *vm;
	uint32_t vms_due = 0;

	if (image[0] == '\0')
		return 0;
	TAILQ_FOREACH (vm, &pool->vms, pool_link)
		vms_due += plan_needs_maintenance(vm, image);
	return vms_due;
}

static void append_pool_line(GString *text, const Lp__PoolSpec *spec, const budget_t *budget,
			     const pool_rollout_t *rollout, bool at_risk)
{
	g_string_append_printf(
		text,
		"pool %s: %u VMs, %u usable, keep %u, reserve %u, free %u; %u due, "
		"%u at a time%s\n",
		spec->name, budget->vms, budget->usable, budget->keep, budget->reserve,
		budget->free, rollout->vms_due, rollout->max_parallel,
		at_risk						     ? "; the budget cannot be kept"
		: rollout->vms_due > 0 && rollout->max_parallel == 0 ? "; no VM can be taken"
								     : "");
}

/*
 * Returns a copy of the pool with the proposed spec. The copy shares its VM list with the original.
 */
static fleet_pool_t pool_with_spec(const fleet_org_t *org, const Lp__PoolSpec *spec)
{
	const fleet_pool_t *pool = org != NULL ? fleet_pool_find(org, spec->name) : NULL;
	fleet_pool_t proposed_pool = {.spec = spec, .org = (fleet_org_t *)org, .name = spec->name};

	if (pool != NULL) {
		/*
		 * The copied list head still points to the original's list, so the list must not be
		 * changed through the copy.
		 */
		proposed_pool = *pool;
		proposed_pool.spec = spec;
	}
	return proposed_pool;
}

static uint32_t count_vms_of_removed_pools(const fleet_org_t *org, const Lp__Template *proposed)
{
	const fleet_pool_t *pool;
	uint32_t removed = 0;

	TAILQ_FOREACH (pool, &org->pools, link) {
		bool kept = false;

		for (size_t i = 0; i < proposed->n_pools; i++)
			kept = kept || strcmp(proposed->pools[i]->name, pool->name) == 0;
		if (!kept)
			removed += current_pool_size(pool);
	}
	return removed;
}

static void estimate_pool(const plan_input_t *input, const fleet_org_t *org,
			  const Lp__PoolSpec *spec, const char *image, pool_rollout_t *rollout,
			  plan_estimate_t *estimate, GString *text)
{
	fleet_pool_t proposed_pool = pool_with_spec(org, spec);
	budget_t budget = budget_of(&proposed_pool, input->health, input->now_us);
	uint32_t size = current_pool_size(&proposed_pool);
	bool at_risk = budget.usable < budget.keep + budget.reserve;

	rollout->vms_due = count_due(&proposed_pool, image);
	rollout->max_parallel =
		rollout->vms_due > 0 ? max_parallel_vms(input, &proposed_pool, image) : 0;
	rollout->started = 0;
	estimate->maintenance += rollout->vms_due;
	estimate->at_risk += at_risk;
	if (!spec->spare && size < spec->min_vms)
		estimate->moves += spec->min_vms - size;
	if (size > spec->keep_vms)
		estimate->buffer_vms += size - spec->keep_vms;
	append_pool_line(text, spec, &budget, rollout, at_risk);
}

void planner_estimate(const plan_input_t *input, const Lp__Template *proposed, uint64_t reboot_ms,
		      plan_estimate_t *estimate)
{
	const fleet_org_t *org = fleet_org_find(input->fleet, proposed->organisation);
	const Lp__MaintenanceSpec *spec = proposed->maintenance;
	pool_rollout_t *rollouts = g_new0(pool_rollout_t, proposed->n_pools);
	GString *text = g_string_new(NULL);
	uint64_t round_ms = reboot_ms + (spec != NULL ? spec->probation_ms : 0);
	uint32_t rounds;

	memset(estimate, 0, sizeof(*estimate));
	for (size_t i = 0; i < proposed->n_pools; i++)
		estimate_pool(input, org, proposed->pools[i], spec != NULL ? spec->image : "",
			      &rollouts[i], estimate, text);
	if (org != NULL)
		estimate->moves += count_vms_of_removed_pools(org, proposed);
	rounds = count_min_rounds(rollouts, proposed->n_pools, spec != NULL ? spec->max_batch : 0);
	estimate->rollout_bound_ms = rounds * round_ms;
	estimate->rollout_ms = rounds * (round_ms + REBOOT_PREPARATION_MS);
	estimate->text = g_string_free(text, FALSE);
	g_free(rollouts);
}

void plan_estimate_finish(plan_estimate_t *estimate)
{
	g_free(estimate->text);
	estimate->text = NULL;
}
