#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"
#include "health.h"

/**
 * @file
 * Availability budget of a pool. Pure.
 */

typedef struct {
	uint32_t vms;	  /**< VMs that belong to the pool */
	uint32_t usable;  /**< active, announced and not in doubt */
	uint32_t out;	  /**< under a permit */
	uint32_t doubt;	  /**< active, but silent or failing */
	uint32_t keep;	  /**< promised by the template */
	uint32_t reserve; /**< failure reserve by the template's scope */
	uint32_t free;	  /**< VMs that may be taken now: usable - keep - reserve, at least 0 */
} budget_t;

budget_t budget_of(const fleet_pool_t *pool, const health_t *health, uint64_t now_us);
/**
 * The budget when the VMs of a set are taken away.
 * @param taken set of fleet_vm_t *, or NULL
 */
budget_t budget_without(const fleet_pool_t *pool, const health_t *health, uint64_t now_us,
			GHashTable *taken);
/** True when the VM is active, announced and not in doubt. */
bool budget_vm_usable(const fleet_vm_t *vm, const health_t *health, uint64_t now_us);
