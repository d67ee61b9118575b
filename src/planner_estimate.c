#include <string.h>

#include "planner_internal.h"

/* Commit of the cordon, announcement and quiescing of a VM before its reboot. */
#define OVERHEAD_MS 3000

/* Work of one pool in the simulated rounds. */
typedef struct {
	uint32_t due;
	uint32_t parallel; /* VMs that the budget allows out at a time */
	uint32_t taken;	   /* in the current round */
} load_t;

/* VMs that can be out at a time when the whole pool is usable, in the planner's order. */
static uint32_t parallel_of(const plan_input_t *in, const fleet_pool_t *pool, const char *image)
{
	plan_run_t run = {.in = in, .taken = g_hash_table_new(g_direct_hash, g_direct_equal)};
	const fleet_vm_t *vm;
	uint32_t count = 0;

	while (plan_budget(&run, pool).free > 0) {
		vm = plan_next_due(&run, pool, image, false);
		if (vm == NULL)
			break;
		g_hash_table_add(run.taken, (void *)vm);
		count++;
	}
	g_hash_table_unref(run.taken);
	return count;
}

static uint32_t rounds_left(const load_t *load)
{
	uint32_t left = load->due - load->taken;

	return (left + load->parallel - 1) / load->parallel;
}

static load_t *next_load(load_t *loads, size_t count)
{
	load_t *best = NULL;

	for (size_t i = 0; i < count; i++) {
		if (loads[i].parallel == 0 || loads[i].taken >= loads[i].parallel ||
		    loads[i].taken >= loads[i].due)
			continue;
		if (best == NULL || rounds_left(&loads[i]) > rounds_left(best))
			best = &loads[i];
	}
	return best;
}

/* Rounds of equal length that the budgets and the growth of the batch need at least. */
static uint32_t count_rounds(load_t *loads, size_t count, uint32_t max_batch)
{
	uint64_t batch = 1;
	uint32_t rounds = 0;

	for (;; rounds++) {
		uint64_t limit = max_batch != 0 ? MIN(batch, max_batch) : batch;
		uint64_t taken = 0;
		load_t *load;

		while (taken < limit && (load = next_load(loads, count)) != NULL) {
			load->taken++;
			taken++;
		}
		if (taken == 0)
			return rounds;
		for (size_t i = 0; i < count; i++) {
			loads[i].due -= loads[i].taken;
			loads[i].taken = 0;
		}
		batch = MIN(batch << MIN(taken, 16U), 1U << 16);
	}
}

static uint32_t count_members(const fleet_pool_t *pool)
{
	const fleet_vm_t *vm;
	uint32_t members = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (vm->phase != LP__VM_PHASE__VM_LOST && vm->phase != LP__VM_PHASE__VM_QUARANTINED)
			members++;
	}
	return members;
}

static uint32_t count_due(const fleet_pool_t *pool, const char *image)
{
	const fleet_vm_t *vm;
	uint32_t due = 0;

	if (image[0] == '\0')
		return 0;
	TAILQ_FOREACH (vm, &pool->vms, pool_link)
		due += plan_is_due(vm, image);
	return due;
}

static void describe(GString *text, const Lp__PoolSpec *spec, const budget_t *budget,
		     const load_t *load, bool at_risk)
{
	g_string_append_printf(text,
			       "pool %s: %u VMs, %u usable, keep %u, reserve %u, free %u; %u due, "
			       "%u at a time%s\n",
			       spec->name, budget->vms, budget->usable, budget->keep,
			       budget->reserve, budget->free, load->due, load->parallel,
			       at_risk ? "; the budget cannot be kept"
			       : load->due > 0 && load->parallel == 0 ? "; no VM can be taken"
								      : "");
}

/* The pool as the proposed template would have it. */
static fleet_pool_t shadow_of(const fleet_org_t *org, const Lp__PoolSpec *spec)
{
	const fleet_pool_t *pool = org != NULL ? fleet_pool_find(org, spec->name) : NULL;
	fleet_pool_t shadow = {.spec = spec, .org = (fleet_org_t *)org, .name = spec->name};

	if (pool != NULL) {
		/* The list is only read through the copied head. */
		shadow = *pool;
		shadow.spec = spec;
	}
	return shadow;
}

static uint32_t count_removed(const fleet_org_t *org, const Lp__Template *proposed)
{
	const fleet_pool_t *pool;
	uint32_t removed = 0;

	TAILQ_FOREACH (pool, &org->pools, link) {
		bool named = false;

		for (size_t i = 0; i < proposed->n_pools; i++)
			named = named || strcmp(proposed->pools[i]->name, pool->name) == 0;
		if (!named)
			removed += count_members(pool);
	}
	return removed;
}

static void estimate_pool(const plan_input_t *in, const fleet_org_t *org, const Lp__PoolSpec *spec,
			  const char *image, load_t *load, plan_estimate_t *estimate, GString *text)
{
	fleet_pool_t shadow = shadow_of(org, spec);
	budget_t budget = budget_of(&shadow, in->health, in->now_us);
	uint32_t members = count_members(&shadow);
	bool at_risk = budget.usable < budget.keep + budget.reserve;

	load->due = count_due(&shadow, image);
	load->parallel = load->due > 0 ? parallel_of(in, &shadow, image) : 0;
	load->taken = 0;
	estimate->maintenance += load->due;
	estimate->at_risk += at_risk;
	if (!spec->spare && members < spec->min_vms)
		estimate->moves += spec->min_vms - members;
	if (members > spec->keep_vms)
		estimate->buffer_vms += members - spec->keep_vms;
	describe(text, spec, &budget, load, at_risk);
}

void planner_estimate(const plan_input_t *input, const Lp__Template *proposed, uint64_t reboot_ms,
		      plan_estimate_t *estimate)
{
	const fleet_org_t *org = fleet_org_find(input->fleet, proposed->organisation);
	const Lp__MaintenanceSpec *spec = proposed->maintenance;
	load_t *loads = g_new0(load_t, proposed->n_pools);
	GString *text = g_string_new(NULL);
	uint64_t round_ms = reboot_ms + (spec != NULL ? spec->probation_ms : 0);
	uint32_t rounds;

	memset(estimate, 0, sizeof(*estimate));
	for (size_t i = 0; i < proposed->n_pools; i++)
		estimate_pool(input, org, proposed->pools[i], spec != NULL ? spec->image : "",
			      &loads[i], estimate, text);
	if (org != NULL)
		estimate->moves += count_removed(org, proposed);
	rounds = count_rounds(loads, proposed->n_pools, spec != NULL ? spec->max_batch : 0);
	estimate->rollout_bound_ms = rounds * round_ms;
	estimate->rollout_ms = rounds * (round_ms + OVERHEAD_MS);
	estimate->text = g_string_free(text, FALSE);
	g_free(loads);
}

void plan_estimate_finish(plan_estimate_t *estimate)
{
	g_free(estimate->text);
	estimate->text = NULL;
}
