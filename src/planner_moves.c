#include <math.h>
#include <string.h>

#include "planner_internal.h"

/* Lasting use of a pool's slots above this share moves a VM into the pool. */
#define USE_HIGH 0.7
/* A VM goes back when the highest demand would use at most this share without it; the template's
 * weights choose a value of the range: buffer cost raises it, moves lower it. */
#define USE_LOW_MIN 0.4
#define USE_LOW_MAX 0.6

static bool is_member(const fleet_vm_t *vm)
{
	return vm->phase != LP__VM_PHASE__VM_LOST && vm->phase != LP__VM_PHASE__VM_QUARANTINED;
}

uint32_t plan_members(const plan_run_t *run, const fleet_pool_t *pool)
{
	const fleet_pool_t *other;
	const fleet_vm_t *vm;
	uint32_t members = 0;

	TAILQ_FOREACH (other, &pool->org->pools, link) {
		TAILQ_FOREACH (vm, &other->vms, pool_link) {
			const fleet_pool_t *destination = vm->to_pool != NULL ? vm->to_pool : other;

			if (destination == pool && is_member(vm))
				members++;
		}
	}
	for (guint i = 0; i < run->actions->len; i++) {
		const plan_action_t *action = g_ptr_array_index(run->actions, i);

		if (action->kind != PLAN_CORDON ||
		    action->cordon.permit != LP__PERMIT_KIND__PERMIT_MOVE)
			continue;
		if (action->cordon.to_pool == pool)
			members++;
		else if (action->vm->pool == pool)
			members--;
	}
	return members;
}

static const pool_demand_t *demand_of(const plan_run_t *run, const fleet_pool_t *pool)
{
	for (size_t i = 0; i < run->in->demand_count; i++) {
		if (run->in->demands[i].pool == pool)
			return &run->in->demands[i];
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

/* VMs that the pool should have: its promise, and the use of its slots below USE_HIGH. */
static uint32_t wanted_vms(const plan_run_t *run, const fleet_pool_t *pool)
{
	const pool_demand_t *demand = demand_of(run, pool);
	uint32_t wanted = pool->spec->min_vms;
	double needed;

	if (demand != NULL) {
		needed = ceil(demand->slots_sustained / (USE_HIGH * slots_per_vm(pool)));
		if (needed > wanted)
			wanted = needed < (double)UINT16_MAX ? (uint32_t)needed : UINT16_MAX;
	}
	if (pool->spec->max_vms != 0)
		wanted = MIN(wanted, pool->spec->max_vms);
	return wanted;
}

static bool may_leave(const fleet_vm_t *vm)
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

static uint32_t count_in_rack(const fleet_pool_t *pool, const fleet_vm_t *like)
{
	const fleet_vm_t *vm;
	uint32_t count = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (strcmp(vm->data_centre, like->data_centre) == 0 &&
		    strcmp(vm->rack, like->rack) == 0)
			count++;
	}
	return count;
}

static uint32_t count_in_data_centre(const fleet_pool_t *pool, const fleet_vm_t *like)
{
	const fleet_vm_t *vm;
	uint32_t count = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (strcmp(vm->data_centre, like->data_centre) == 0)
			count++;
	}
	return count;
}

/* A VM fits the better, the fewer VMs the destination has in its rack and data centre: this keeps
 * the destination's failure reserve small. */
static bool fits_better(const fleet_pool_t *to, const fleet_vm_t *a, const fleet_vm_t *b)
{
	uint32_t rack_a = count_in_rack(to, a);
	uint32_t rack_b = count_in_rack(to, b);
	uint32_t dc_a;
	uint32_t dc_b;

	if (rack_a != rack_b)
		return rack_a < rack_b;
	dc_a = count_in_data_centre(to, a);
	dc_b = count_in_data_centre(to, b);
	return dc_a != dc_b ? dc_a < dc_b : strcmp(a->id, b->id) < 0;
}

static const fleet_vm_t *choose_donor(const plan_run_t *run, const fleet_pool_t *from,
				      const fleet_pool_t *to)
{
	const fleet_vm_t *best = NULL;
	const fleet_vm_t *vm;

	if (from->spec != NULL &&
	    (plan_members(run, from) <= from->spec->min_vms || plan_budget(run, from).free == 0))
		return NULL;
	TAILQ_FOREACH (vm, &from->vms, pool_link) {
		if (plan_vm_available(run, vm) && may_leave(vm) &&
		    (best == NULL || fits_better(to, vm, best)))
			best = vm;
	}
	return best;
}

static bool move_one(plan_run_t *run, const fleet_pool_t *from, const fleet_pool_t *to,
		     const char *reason)
{
	const fleet_vm_t *vm = choose_donor(run, from, to);

	if (vm == NULL)
		return false;
	plan_grant(run, vm, LP__PERMIT_KIND__PERMIT_MOVE, to, 0, reason);
	return true;
}

/* VMs of pools that the template no longer names go to the spare pool. */
static void clear_removed_pools(plan_run_t *run, const fleet_org_t *org, const fleet_pool_t *spare)
{
	const fleet_pool_t *pool;

	TAILQ_FOREACH (pool, &org->pools, link) {
		if (pool->spec != NULL)
			continue;
		while (move_one(run, pool, spare, "the template no longer names its pool"))
			;
	}
}

/* The pool that lacks most, compared with what it should have; those below keep_vms come first. */
static const fleet_pool_t *neediest(const plan_run_t *run, const fleet_org_t *org)
{
	const fleet_pool_t *best = NULL;
	const fleet_pool_t *pool;
	uint32_t most = 0;

	TAILQ_FOREACH (pool, &org->pools, link) {
		uint32_t members;
		uint32_t wanted;
		uint32_t lack;

		if (pool->spec == NULL || pool->spec->spare)
			continue;
		members = plan_members(run, pool);
		wanted = wanted_vms(run, pool);
		lack = wanted > members ? wanted - members : 0;
		if (members < pool->spec->keep_vms)
			lack += 1U << 16;
		if (lack > most) {
			most = lack;
			best = pool;
		}
	}
	return best;
}

static void fill_needs(plan_run_t *run, const fleet_org_t *org, const fleet_pool_t *spare)
{
	const fleet_pool_t *pool;

	while ((pool = neediest(run, org)) != NULL) {
		bool short_of = plan_members(run, pool) < pool->spec->min_vms;

		if (!move_one(run, spare, pool,
			      short_of ? "its new pool is below min_vms"
				       : "its new pool has lasting need"))
			return;
	}
}

static double use_low(const Lp__Weights *weights)
{
	double buffer = weights != NULL ? weights->buffer : 1;
	double moves = weights != NULL ? weights->moves : 1;

	if (buffer + moves <= 0)
		return USE_LOW_MIN;
	return USE_LOW_MIN + (USE_LOW_MAX - USE_LOW_MIN) * buffer / (buffer + moves);
}

static bool has_surplus(const plan_run_t *run, const fleet_pool_t *pool)
{
	const pool_demand_t *demand = demand_of(run, pool);
	uint32_t members = plan_members(run, pool);

	if (demand == NULL || members < 2 || members <= wanted_vms(run, pool))
		return false;
	return demand->slots_peak <=
	       use_low(pool->org->template->weights) * (members - 1) * slots_per_vm(pool);
}

static bool move_under_way(const plan_run_t *run, const fleet_pool_t *pool)
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

static bool wave_running(const plan_run_t *run, const fleet_org_t *org)
{
	const fleet_wave_t *wave;

	TAILQ_FOREACH (wave, &run->in->fleet->waves, link) {
		if (wave->org == org && wave->state == LP__WAVE_STATE__WAVE_RUNNING)
			return true;
	}
	return false;
}

/* Where roll-out time weighs most, pools keep their surplus while a wave runs: it lets the wave
 * take more VMs at a time. */
static bool keeps_surplus(const plan_run_t *run, const fleet_org_t *org)
{
	const Lp__Weights *weights = org->template->weights;

	return weights != NULL && weights->rollout > weights->buffer &&
	       weights->rollout > weights->moves && wave_running(run, org);
}

static void return_surplus(plan_run_t *run, const fleet_org_t *org, const fleet_pool_t *spare)
{
	const fleet_pool_t *pool;

	if (keeps_surplus(run, org))
		return;
	TAILQ_FOREACH (pool, &org->pools, link) {
		if (pool->spec == NULL || pool->spec->spare || move_under_way(run, pool) ||
		    !has_surplus(run, pool))
			continue;
		if (spare->spec->max_vms == 0 || plan_members(run, spare) < spare->spec->max_vms)
			move_one(run, pool, spare, "its pool has lasting surplus");
	}
}

void plan_moves(plan_run_t *run, const fleet_org_t *org)
{
	const fleet_pool_t *spare = fleet_spare_pool(org);

	if (spare == NULL)
		return;
	clear_removed_pools(run, org, spare);
	fill_needs(run, org, spare);
	return_surplus(run, org, spare);
}
