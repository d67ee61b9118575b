#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "health.h"

/**
 * @file
 * Availability budget of a pool: how many of its VMs may be taken out of service now. Has no side
 * effects.
 */

typedef struct {
	uint32_t vms;	  /**< all VMs of the pool */
	uint32_t usable;  /**< active, announced recently and not failing */
	uint32_t out;	  /**< under a permit, such as for a move or maintenance */
	uint32_t doubt;	  /**< active, but their announcements are late or they fail requests */
	uint32_t keep;	  /**< VMs that must stay usable: keep_vms of the template */
	uint32_t reserve; /**< reserve for failures: reserve_vms or the largest rack or data centre
			   */
	uint32_t free; /**< VMs that may be granted a permit: usable - keep - reserve, at least 0 */
} budget_t;

budget_t budget_of(const fleet_pool_t *pool, const health_t *health, uint64_t now_us);
/**
 * Returns the budget when the VMs of a set count as out.
 * @param excluded set of fleet_vm_t *, or NULL
 */
budget_t budget_excluding(const fleet_pool_t *pool, const health_t *health, uint64_t now_us,
			  GHashTable *excluded);
/** True when the VM is active and its health is HEALTH_SERVING. */
bool budget_vm_usable(const fleet_vm_t *vm, const health_t *health, uint64_t now_us);
