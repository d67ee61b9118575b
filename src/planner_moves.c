#include <math.h>
#include <string.h>

#include "planner_internal.h"

/* A pool gets another VM when its sustained demand exceeds this share of its slots. */
#define UTILISATION_HIGH 0.7
/*
 * A pool returns a VM to the spare pool when its peak demand is at most a certain share of the
 * slots that its other VMs have. The template's weights set this share between the two limits: a
 * higher weight of the buffer raises it, a higher weight of moves lowers it.
 */
#define SURPLUS_UTILISATION_MIN 0.4
#define SURPLUS_UTILISATION_MAX 0.6

static bool counts_in_pool_size(const fleet_vm_t *vm)
{
	return vm->phase != LP__VM_PHASE__VM_LOST && vm->phase != LP__VM_PHASE__VM_QUARANTINED;
}

uint32_t plan_projected_pool_size(const plan_run_t *run, const fleet_pool_t *pool)
{
	const fleet_pool_t *other;
	const fleet_vm_t *vm;
	uint32_t size = 0;

	TAILQ_FOREACH (other, &pool->org->pools, link) {
		TAILQ_FOREACH (vm, &other->vms, pool_link) {
			const fleet_pool_t *destination = vm->to_pool != NULL ? vm->to_pool : other;

			if (destination == pool && counts_in_pool_size(vm))
				size++;
		}
	}
	for (guint i = 0; i < run->actions->len; i++) {
		const plan_action_t *action = g_ptr_array_index(run->actions, i);

		if (action->kind != PLAN_CORDON ||
		    action->cordon.permit != LP__PERMIT_KIND__PERMIT_MOVE)
			continue;
		if (action->cordon.to_pool == pool)
			size++;
		else if (action->vm->pool == pool)
			size--;
	}
	return size;
}

static const pool_demand_t *pool_demand(const plan_run_t *run, const fleet_pool_t *pool)
{
	for (size_t i = 0; i < run->input->demand_count; i++) {
		if (run->input->demands[i].pool == pool)
			return &run->input->demands[i];
	}
	return NULL;
}

static double slots_per_vm(const fleet_pool_t *pool)
{
	const fleet_vm_t *vm;
	uint32_t slots = 0;
	uint32_t count = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		slots += vm->slots;
		count++;
	}
	return count > 0 && slots > 0 ? (double)slots / count : 1.0;
}

/*
 * Returns the number of VMs that the pool should have: enough that sustained demand uses at most
 * UTILISATION_HIGH of the slots, but at least min_vms and at most max_vms.
 */
static uint32_t desired_vms(const plan_run_t *run, const fleet_pool_t *pool)
{
	const pool_demand_t *demand = pool_demand(run, pool);
	uint32_t desired = pool->spec->min_vms;
	double needed;

	if (demand != NULL) {
		needed = ceil(demand->slots_sustained / (UTILISATION_HIGH * slots_per_vm(pool)));
		if (needed > desired)
			desired = needed < (double)UINT16_MAX ? (uint32_t)needed : UINT16_MAX;
	}
	if (pool->spec->max_vms != 0)
		desired = MIN(desired, pool->spec->max_vms);
	return desired;
}

static bool may_leave_pool(const fleet_vm_t *vm)
{
	const Lp__PoolSpec *spec = vm->pool->spec;

	if (spec == NULL)
		return true;
	for (size_t i = 0; i < spec->n_may_leave; i++) {
		if (g_pattern_match_simple(spec->may_leave[i], vm->id))
			return true;
	}
	return false;
}

static uint32_t count_vms_in_rack(const fleet_pool_t *pool, const fleet_vm_t *reference)
{
	const fleet_vm_t *vm;
	uint32_t count = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (strcmp(vm->data_centre, reference->data_centre) == 0 &&
		    strcmp(vm->rack, reference->rack) == 0)
			count++;
	}
	return count;
}

static uint32_t count_vms_in_data_centre(const fleet_pool_t *pool, const fleet_vm_t *reference)
{
	const fleet_vm_t *vm;
	uint32_t count = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (strcmp(vm->data_centre, reference->data_centre) == 0)
			count++;
	}
	return count;
}

/*
 * True when moving VM a to the destination pool is better than moving VM b. VMs from racks and data
 * centres that have the fewest VMs in the destination pool are preferred, which keeps that pool's
 * failure reserve small.
 */
static bool is_better_move(const fleet_pool_t *to, const fleet_vm_t *a, const fleet_vm_t *b)
{
	uint32_t rack_a = count_vms_in_rack(to, a);
	uint32_t rack_b = count_vms_in_rack(to, b);
	uint32_t dc_a;
	uint32_t dc_b;

	if (rack_a != rack_b)
		return rack_a < rack_b;
	dc_a = count_vms_in_data_centre(to, a);
	dc_b = count_vms_in_data_centre(to, b);
	return dc_a != dc_b ? dc_a < dc_b : strcmp(a->id, b->id) < 0;
}

static const fleet_vm_t *choose_vm_to_move(const plan_run_t *run, const fleet_pool_t *from,
					   const fleet_pool_t *to)
{
	const fleet_vm_t *best = NULL;
	const fleet_vm_t *vm;

	if (from->spec != NULL && (plan_projected_pool_size(run, from) <= from->spec->min_vms ||
				   plan_pool_budget(run, from).free == 0))
		return NULL;
	TAILQ_FOREACH (vm, &from->vms, pool_link) {
		if (plan_may_grant_permit(run, vm) && may_leave_pool(vm) &&
		    (best == NULL || is_better_move(to, vm, best)))
			best = vm;
	}
	return best;
}

static bool move_one_vm(plan_run_t *run, const fleet_pool_t *from, const fleet_pool_t *to,
			const char *reason)
{
	const fleet_vm_t *vm = choose_vm_to_move(run, from, to);

	if (vm == NULL)
		return false;
	plan_grant_permit(run, vm, LP__PERMIT_KIND__PERMIT_MOVE, to, 0, reason);
	return true;
}

/* Moves the VMs of pools that the template no longer names to the spare pool. */
static void empty_removed_pools(plan_run_t *run, const fleet_org_t *org, const fleet_pool_t *spare)
{
	const fleet_pool_t *pool;

	TAILQ_FOREACH (pool, &org->pools, link) {
		if (pool->spec != NULL)
			continue;
		while (move_one_vm(run, pool, spare, "the template no longer names its pool"))
			;
	}
}

/*
 * Returns the pool that lacks the most VMs, or NULL when none lacks any. Pools below keep_vms come
 * first.
 */
static const fleet_pool_t *find_largest_shortage(const plan_run_t *run, const fleet_org_t *org)
{
	const fleet_pool_t *best = NULL;
	const fleet_pool_t *pool;
	uint32_t largest_shortage = 0;

	TAILQ_FOREACH (pool, &org->pools, link) {
		uint32_t size;
		uint32_t desired;
		uint32_t shortage;

		if (pool->spec == NULL || pool->spec->spare)
			continue;
		size = plan_projected_pool_size(run, pool);
		desired = desired_vms(run, pool);
		shortage = desired > size ? desired - size : 0;
		if (size < pool->spec->keep_vms)
			shortage += 1U << 16;
		if (shortage > largest_shortage) {
			largest_shortage = shortage;
			best = pool;
		}
	}
	return best;
}

static void fill_shortages(plan_run_t *run, const fleet_org_t *org, const fleet_pool_t *spare)
{
	const fleet_pool_t *pool;

	while ((pool = find_largest_shortage(run, org)) != NULL) {
		bool below_min_vms = plan_projected_pool_size(run, pool) < pool->spec->min_vms;

		if (!move_one_vm(run, spare, pool,
				 below_min_vms ? "its new pool is below min_vms"
					       : "its new pool has lasting need"))
			return;
	}
}

static double surplus_utilisation(const Lp__Weights *weights)
{
	double buffer = weights != NULL ? weights->buffer : 1;
	double moves = weights != NULL ? weights->moves : 1;

	if (buffer + moves <= 0)
		return SURPLUS_UTILISATION_MIN;
	return SURPLUS_UTILISATION_MIN +
	       (SURPLUS_UTILISATION_MAX - SURPLUS_UTILISATION_MIN) * buffer / (buffer + moves);
}

static bool has_surplus(const plan_run_t *run, const fleet_pool_t *pool)
{
	const pool_demand_t *demand = pool_demand(run, pool);
	uint32_t size = plan_projected_pool_size(run, pool);

	if (demand == NULL || size < 2 || size <= desired_vms(run, pool))
		return false;
	return demand->slots_peak <=
	       surplus_utilisation(pool->org->template->weights) * (size - 1) * slots_per_vm(pool);
}

static bool has_move_in_progress(const plan_run_t *run, const fleet_pool_t *pool)
{
	const fleet_pool_t *other;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (other, &pool->org->pools, link) {
		TAILQ_FOREACH (vm, &other->vms, pool_link) {
			if (vm->permit == LP__PERMIT_KIND__PERMIT_MOVE &&
			    (vm->to_pool == pool || other == pool))
				return true;
		}
	}
	return false;
}

static bool has_running_wave(const plan_run_t *run, const fleet_org_t *org)
{
	const fleet_wave_t *wave;

	TAILQ_FOREACH (wave, &run->input->fleet->waves, link) {
		if (wave->org == org && wave->state == LP__WAVE_STATE__WAVE_RUNNING)
			return true;
	}
	return false;
}

/*
 * True when pools must keep their surplus VMs, so that more VMs can be under maintenance at once.
 * This is so while a wave is running, if the template weighs roll-out time higher than buffer and
 * moves.
 */
static bool must_keep_surplus(const plan_run_t *run, const fleet_org_t *org)
{
	const Lp__Weights *weights = org->template->weights;

	return weights != NULL && weights->rollout > weights->buffer &&
	       weights->rollout > weights->moves && has_running_wave(run, org);
}

static void return_surplus(plan_run_t *run, const fleet_org_t *org, const fleet_pool_t *spare)
{
	const fleet_pool_t *pool;

	if (must_keep_surplus(run, org))
		return;
	TAILQ_FOREACH (pool, &org->pools, link) {
		if (pool->spec == NULL || pool->spec->spare || has_move_in_progress(run, pool) ||
		    !has_surplus(run, pool))
			continue;
		if (spare->spec->max_vms == 0 ||
		    plan_projected_pool_size(run, spare) < spare->spec->max_vms)
			move_one_vm(run, pool, spare, "its pool has lasting surplus");
	}
}

void plan_moves(plan_run_t *run, const fleet_org_t *org)
{
	const fleet_pool_t *spare = fleet_spare_pool(org);

	if (spare == NULL)
		return;
	empty_removed_pools(run, org, spare);
	fill_shortages(run, org, spare);
	return_surplus(run, org, spare);
}
