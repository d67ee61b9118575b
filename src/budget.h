#pragma once

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
