#pragma once

#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "peer.pb-c.h"
#include "planner.h"

/**
 * @file
 * Smoothed demand of each pool from the load reports of all entry processes. Pure; fed and read on
 * the leader.
 */

/** Need that lasts this long moves a VM into the pool (section 4.7). */
#define CAPACITY_SUSTAIN_US (30 * 1000000ULL)
/** Surplus that lasts this long gives a VM back. */
#define CAPACITY_SURPLUS_US (300 * 1000000ULL)

typedef struct {
	GHashTable *by_pool; /**< "organisation/pool" to the pool's demand */
	uint64_t sampled_us;
} capacity_t;

void capacity_init(capacity_t *capacity);
void capacity_finish(capacity_t *capacity);
/** Takes over what a process reports; a process that is silent for 5 s counts as without load. */
void capacity_report(capacity_t *capacity, uint32_t node_id, const Lp__LoadReport *report,
		     uint64_t now_us);
/** Takes a sample of every pool; call once a second. */
void capacity_sample(capacity_t *capacity, uint64_t now_us);
/**
 * Demand of all pools that have been observed for CAPACITY_SUSTAIN_US.
 * @return array of pool_demand_t, freed with g_array_unref(); valid until the fleet changes
 */
GArray *capacity_demands(const capacity_t *capacity, const fleet_t *fleet, uint64_t now_us);
