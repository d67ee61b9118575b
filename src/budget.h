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
	uint32_t vms;	 /**< number of VMs in the pool */
	uint32_t usable; /**< active VMs in HEALTH_SERVING without a permit */
	uint32_t out;	 /**< VMs out of service under a permit for a move or maintenance */
	uint32_t doubt;	 /**< active VMs without a permit and not in HEALTH_SERVING */
	uint32_t keep;	 /**< VMs that must stay usable: the template's keep_vms */
	/** the template's reserve_vms, or the usable VMs of the largest failure domain */
	uint32_t reserve;
	uint32_t free; /**< VMs that may be granted a permit: usable - keep - reserve, at least 0 */
} budget_t;

budget_t budget_of(const fleet_pool_t *pool, const health_t *health, uint64_t now_us);
/**
 * Returns the pool's budget, counting the excluded VMs as out of service.
 * @param excluded set of fleet_vm_t *, or NULL
 */
budget_t budget_excluding(const fleet_pool_t *pool, const health_t *health, uint64_t now_us,
			  GHashTable *excluded);
/** True when the VM is active and its health is HEALTH_SERVING. */
bool budget_vm_usable(const fleet_vm_t *vm, const health_t *health, uint64_t now_us);
