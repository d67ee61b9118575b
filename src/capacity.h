#pragma once

#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "peer.pb-c.h"
#include "planner.h"

/**
 * @file
 * Smoothed demand of each pool, computed on the leader from the load reports of all entry
 * processes. Has no side effects outside its arguments.
 */

/** Demand that stays high for this long moves a VM into the pool. */
#define CAPACITY_SUSTAINED_WINDOW_US (30 * 1000000ULL)
/** Demand that stays low for this long returns a VM to the spare pool. */
#define CAPACITY_SURPLUS_WINDOW_US (300 * 1000000ULL)

typedef struct {
	GHashTable *by_pool; /**< "organisation/pool" -> load of the pool */
	uint64_t last_sample_us;
} capacity_t;

void capacity_init(capacity_t *capacity);
void capacity_finish(capacity_t *capacity);
/**
 * Stores the load that an entry process reports. A process that has not reported for 5 s counts as
 * without load.
 */
void capacity_report(capacity_t *capacity, uint32_t node_id, const Lp__LoadReport *report,
		     uint64_t now_us);
/** Updates the averages of every pool; call once a second. */
void capacity_sample(capacity_t *capacity, uint64_t now_us);
/**
 * Returns the demand of all pools that have been sampled for CAPACITY_SUSTAINED_WINDOW_US.
 * @return array of pool_demand_t, freed with g_array_unref(); valid until the fleet changes
 */
GArray *capacity_demands(const capacity_t *capacity, const fleet_t *fleet, uint64_t now_us);
