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

/** A pool whose demand stays high for this long gets another VM. */
#define CAPACITY_SUSTAINED_WINDOW_US (30 * 1000000ULL)
/** A pool whose demand stays low for this long returns a VM to the spare pool. */
#define CAPACITY_SURPLUS_WINDOW_US (300 * 1000000ULL)

typedef struct {
	GHashTable *by_pool; /**< "organisation/pool" -> pool_load_t */
	uint64_t last_sample_us;
} capacity_t;

void capacity_init(capacity_t *capacity);
void capacity_finish(capacity_t *capacity);
/**
 * Stores the load that an entry process reports. This load counts as 0 when no further report of
 * the process arrives for 5 s.
 */
void capacity_report(capacity_t *capacity, uint32_t node_id, const Lp__LoadReport *report,
		     uint64_t now_us);
/** Updates the smoothed demand of every pool. Must be called once a second. */
void capacity_sample(capacity_t *capacity, uint64_t now_us);
/**
 * Returns the demand of each pool that has been sampled for at least CAPACITY_SUSTAINED_WINDOW_US.
 * @return array of pool_demand_t, freed with g_array_unref(); valid until the fleet changes
 */
GArray *capacity_demands(const capacity_t *capacity, const fleet_t *fleet, uint64_t now_us);
