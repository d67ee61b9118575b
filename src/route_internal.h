#pragma once

#include <pthread.h>

#include <glib.h>

#include "admission.h"
#include "retry.h"
#include "route_pool.h"
#include "route_table.h"
#include "router.h"
#include "slots.h"

/**
 * @file
 * Data of the route table, shared by its two sides (route_table.c, route_pool.c).
 */

#define ROUTE_PATIENCE_MIN 4.0

/** Targets belong to one pool for life: a move makes a new entry in the other pool. */
typedef struct route_target_entry {
	router_target_t router;
	slots_t slots;
	struct route_pool *pool;
	char *vm;
	char *address;
	uint64_t epoch;
	bool routable;
	bool gone; /**< removed or moved; freed when no request is in flight */
	uint32_t slot_limit;
	uint32_t connection_limit;
	uint64_t announced_us; /**< 0: never */
	uint64_t echoed_epoch;
	bool echoed_cordoned;
	bool leaving;
} route_target_entry_t;

/** Classes live as long as the table, so that requests may point to them. */
typedef struct route_class {
	admission_class_t admission;
	char *name;
	char *prefix;
	uint32_t deadline_ms;
	bool repeatable;
	bool retired;	 /**< not in the current template */
	double patience; /**< silence that is borne, in usual service times */
} route_class_t;

typedef struct {
	quota_t bucket;
	uint32_t max_requests_per_s; /**< of all processes together */
} route_quota_t;

typedef struct route_org {
	char *name;
	GHashTable *quotas; /**< team to route_quota_t; under the table's lock */
	uint32_t open;	    /**< requests in progress; under the table's lock */
	bool present;
} route_org_t;

/** Pools live as long as the table. */
typedef struct route_pool {
	struct route_shard *shard;
	route_org_t *org;
	char *name;
	bool present;	    /**< in the current template */
	GPtrArray *targets; /**< route_target_entry_t */
	GPtrArray *classes; /**< route_class_t */
	admission_t admission;
	retry_budget_t retries;
	GRand *random;
	router_candidate_t *candidates; /**< scratch space for one decision */
	size_t candidate_room;
	uint64_t offered;
	uint64_t refused;
	double service_us;
} route_pool_t;

typedef struct route_shard {
	pthread_mutex_t lock;
	GHashTable *pools; /**< "organisation/pool" to route_pool_t */
} route_shard_t;

/** Lock order: table, then shard. */
struct route_table {
	route_table_config_t config;
	char *data_centre;
	pthread_mutex_t lock;
	GHashTable *orgs;  /**< name to route_org_t */
	GHashTable *by_vm; /**< to route_target_entry_t */
	GPtrArray *peers;  /**< addresses of entry processes of other data centres that are up */
	guint next_peer;
	uint32_t open;	    /**< requests in progress */
	uint32_t org_count; /**< organisations with a template */
	unsigned position;
	unsigned count;
	route_shard_t *shards;
};

/** Under the shard's lock. */
bool route_target_usable(const route_table_t *table, const route_target_entry_t *target,
			 uint64_t now_us);
/** Under the shard's lock: grants what can be granted, refuses what is late. */
void route_dispatch(route_table_t *table, route_pool_t *pool, const route_ticket_t *own,
		    uint64_t now_us);
/** Under the shard's lock: refuses all waiting requests of a class. */
void route_refuse_class(route_pool_t *pool, route_class_t *class);
/** Under the shard's lock: frees a target that is gone once it is idle. */
void route_target_release(route_target_entry_t *target);
/** Under no lock. @return the pool, or NULL */
route_pool_t *route_pool_find(route_table_t *table, const char *organisation, const char *name);
