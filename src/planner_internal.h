#pragma once

#include "budget.h"
#include "planner.h"

/**
 * @file
 * Functions shared by the planner's source files.
 */

/** State of one planner run. */
typedef struct {
	const plan_input_t *input;
	GPtrArray *actions;
	GHashTable *granted; /**< VMs (const fleet_vm_t *) that were granted a permit in this run */
} plan_run_t;

plan_action_t *plan_add_action(plan_run_t *run, plan_kind_t kind, const fleet_vm_t *vm,
			       const char *format, ...) G_GNUC_PRINTF(4, 5);
/** Grants a permit and cordons the VM. The rest of the run counts it as out. */
void plan_grant_permit(plan_run_t *run, const fleet_vm_t *vm, Lp__PermitKind permit,
		       const fleet_pool_t *to_pool, uint64_t wave, const char *reason);
bool plan_dc_reachable(const plan_run_t *run, const fleet_vm_t *vm);
/** Availability budget of the pool after the permits granted in this run. */
budget_t plan_pool_budget(const plan_run_t *run, const fleet_pool_t *pool);
/**
 * True when the VM is usable, has no permit and its data centre is reachable; doesn't check the
 * pool's budget.
 */
bool plan_may_grant_permit(const plan_run_t *run, const fleet_vm_t *vm);
/** Plans the next phase change, platform request or end of a move of one VM. */
void plan_vm_phase(plan_run_t *run, const fleet_vm_t *vm);
void plan_moves(plan_run_t *run, const fleet_org_t *org);
void plan_maintenance(plan_run_t *run, const fleet_org_t *org);

/** True when the VM runs another image and is neither lost nor quarantined. */
bool plan_needs_maintenance(const fleet_vm_t *vm, const char *image);
/**
 * Chooses the VM of the pool that is maintained next.
 * @param batch_limited the wave's batch, not the budgets, limits how many VMs are out
 * @return NULL when no VM of the pool needs maintenance and may be granted a permit
 */
const fleet_vm_t *plan_next_vm_to_maintain(const plan_run_t *run, const fleet_pool_t *pool,
					   const char *image, bool batch_limited);
/** True when a maintenance window of the pool is open or the pool has none. */
bool plan_in_maintenance_window(const Lp__PoolSpec *spec, uint64_t wall_ms);
/**
 * Number of VMs that the pool has once all moves are complete, without lost and quarantined VMs.
 */
uint32_t plan_projected_pool_size(const plan_run_t *run, const fleet_pool_t *pool);
