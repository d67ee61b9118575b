#pragma once

#include "budget.h"
#include "planner.h"

/**
 * @file
 * Helpers shared by the planner's source files.
 */

/** One run of the planner. */
typedef struct {
	const plan_input_t *in;
	GPtrArray *actions;
	GHashTable *taken; /**< set of VMs that were granted a permit in this run */
} plan_run_t;

plan_action_t *plan_add(plan_run_t *run, plan_kind_t kind, const fleet_vm_t *vm, const char *format,
			...) G_GNUC_PRINTF(4, 5);
/** Grants a permit; the VM counts as taken for the rest of the run. */
void plan_grant(plan_run_t *run, const fleet_vm_t *vm, Lp__PermitKind permit,
		const fleet_pool_t *to_pool, uint64_t wave, const char *reason);
bool plan_in_contact(const plan_run_t *run, const fleet_vm_t *vm);
/** Budget of the pool, counting the permits granted in this run. */
budget_t plan_budget(const plan_run_t *run, const fleet_pool_t *pool);
/** True when the VM may be given a permit as far as its own state and place allow. */
bool plan_vm_available(const plan_run_t *run, const fleet_vm_t *vm);
/** Steps of VMs on their way: quiesced moves, drains, reboots, probation, losses. */
void plan_phases(plan_run_t *run, const fleet_vm_t *vm);
void plan_moves(plan_run_t *run, const fleet_org_t *org);
void plan_maintenance(plan_run_t *run, const fleet_org_t *org);

/** VMs of the pool whose image differs and that a wave can reach. */
bool plan_is_due(const fleet_vm_t *vm, const char *image);
/**
 * The VM of the pool to be maintained next, or NULL.
 * @param ramp the batch, not the budgets, limits the VMs that are out
 */
const fleet_vm_t *plan_next_due(const plan_run_t *run, const fleet_pool_t *pool, const char *image,
				bool ramp);
/** True when one of the pool's windows is open, or it has none. */
bool plan_window_open(const Lp__PoolSpec *spec, uint64_t wall_ms);
/** VMs of the pool that are neither lost nor quarantined, after the moves under way. */
uint32_t plan_members(const plan_run_t *run, const fleet_pool_t *pool);
