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
	GHashTable *granted; /**< VMs granted a permit in this run: set of const fleet_vm_t * */
} plan_run_t;

plan_action_t *plan_add_action(plan_run_t *run, plan_kind_t kind, const fleet_vm_t *vm,
			       const char *format, ...) G_GNUC_PRINTF(4, 5);
/**
 * Plans the cordon of a VM and grants it a permit. For the rest of this run the VM counts as out of
 * service.
 */
void plan_grant_permit(plan_run_t *run, const fleet_vm_t *vm, Lp__PermitKind permit,
		       const fleet_pool_t *to_pool, uint64_t wave, const char *reason);
bool plan_dc_reachable(const plan_run_t *run, const fleet_vm_t *vm);
/**
 * Returns the pool's availability budget; VMs granted a permit in this run count as out of service.
 */
budget_t plan_pool_budget(const plan_run_t *run, const fleet_pool_t *pool);
/**
 * True when the VM is usable, has no permit and its data centre is reachable. The caller must check
 * the pool's budget.
 */
bool plan_may_grant_permit(const plan_run_t *run, const fleet_vm_t *vm);
/** Plans the VM's next action: a phase change, a platform request or the completion of a move. */
void plan_vm_phase(plan_run_t *run, const fleet_vm_t *vm);
void plan_moves(plan_run_t *run, const fleet_org_t *org);
void plan_maintenance(plan_run_t *run, const fleet_org_t *org);

/**
 * True when the VM's image differs from the given one and the VM is neither lost nor quarantined.
 */
bool plan_needs_maintenance(const fleet_vm_t *vm, const char *image);
/**
 * Chooses the next VM of the pool to maintain.
 * @param batch_limited true when the wave's batch, rather than the pools' budgets, limits how many
 * VMs are under maintenance at once
 * @return NULL when no VM of the pool needs maintenance and can be granted a permit
 */
const fleet_vm_t *plan_next_vm_to_maintain(const plan_run_t *run, const fleet_pool_t *pool,
					   const char *image, bool batch_limited);
/** True when the pool has no maintenance windows, or one of them is open at the given time. */
bool plan_in_maintenance_window(const Lp__PoolSpec *spec, uint64_t wall_ms);
/**
 * Returns the number of VMs that the pool will have once all moves are complete. Lost and
 * quarantined VMs are not counted.
 */
uint32_t plan_projected_pool_size(const plan_run_t *run, const fleet_pool_t *pool);
