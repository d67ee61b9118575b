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
 * Internal types of the route table, shared by route_table.c (updates by the control thread) and
 * route_pool.c (requests of the I/O threads).
 */

/** Least attempt timeout as a multiple of the usual service time. */
#define ROUTE_TIMEOUT_FACTOR_MIN 4.0

/** A target in a pool. A VM that moves to another pool gets a new entry there. */
typedef struct route_target_entry {
	router_target_t router;
	slots_t slots;
	struct route_pool *pool;
	char *vm;
	char *address;
	uint64_t epoch; /**< epoch of the target in the applied log */
	bool routable;	/**< its phase in the applied log allows requests */
	bool removed;	/**< removed or moved to another pool; freed when no request is in flight */
	uint32_t slot_limit;	   /**< of all entry processes together */
	uint32_t connection_limit; /**< of all entry processes together */
	uint64_t announced_us;	   /**< time of the latest announcement; 0: none */
	uint64_t echoed_epoch;	   /**< epoch in the latest announcement; 0: none */
	bool echoed_cordoned;	   /**< the latest announcement says that it is cordoned */
	bool leaving;		   /**< the latest announcement says that it is shutting down */
} route_target_entry_t;

/** A request class of a pool. Freed with the table, as requests point to it. */
typedef struct route_class {
	admission_class_t admission;
	char *name;
	char *prefix; /**< of the decoded path */
	uint32_t deadline_ms;
	bool repeatable;       /**< requests may be run more than once */
	bool retired;	       /**< no longer in the template */
	double timeout_factor; /**< attempt timeout as a multiple of the usual service time */
} route_class_t;

/** Request quota of a team. */
typedef struct {
	quota_t bucket;
	uint32_t max_requests_per_s; /**< of all entry processes together */
} route_quota_t;

/** An organisation. Freed with the table. */
typedef struct route_org {
	char *name;
	GHashTable *quotas;	/**< team name to route_quota_t; guarded by the table's lock */
	uint32_t open_requests; /**< guarded by the table's lock */
	bool has_template;	/**< a template was set */
} route_org_t;

/** A pool of targets. Freed with the table. */
typedef struct route_pool {
	struct route_shard *shard;
	route_org_t *org;
	char *name;
	bool in_template;   /**< in the current template of the organisation */
	GPtrArray *targets; /**< route_target_entry_t */
	GPtrArray *classes; /**< route_class_t */
	admission_t admission;
	retry_budget_t retry_budget;
	GRand *random;
	router_candidate_t *candidates; /**< scratch buffer for the choice of a target */
	size_t candidate_capacity;
	uint64_t offered;	    /**< requests since start */
	uint64_t refused;	    /**< refused requests since start */
	double smoothed_service_us; /**< exponential moving average of the service time */
} route_pool_t;

/** Pools under one lock; the shard of a pool is chosen by a hash of its key. */
typedef struct route_shard {
	pthread_mutex_t lock;
	GHashTable *pools; /**< "organisation/pool" to route_pool_t */
} route_shard_t;

/** The table. Lock order: the table's lock before a shard's lock. */
struct route_table {
	route_table_config_t config;
	char *data_centre;
	pthread_mutex_t lock;
	GHashTable *orgs;	   /**< organisation name to route_org_t */
	GHashTable *targets_by_vm; /**< VM id to route_target_entry_t */
	GPtrArray *peer_addresses; /**< of reachable entry processes in other data centres */
	guint next_peer;	   /**< counter of the round robin over peer_addresses */
	uint32_t open_requests;	   /**< requests in progress of all organisations */
	uint32_t org_count;	   /**< organisations with a template */
	unsigned process_index;	   /**< of this process among those that share the slots */
	unsigned process_count;	   /**< entry processes of the data centre that share the slots */
	route_shard_t *shards;
};

/**
 * True when the target may be sent requests: routable, announced within the routing lease, and its
 * echo does not contradict its epoch and cordon state. Needs the shard's lock.
 */
bool route_target_usable(const route_table_t *table, const route_target_entry_t *target,
			 uint64_t now_us);
/**
 * Gives free slots to queued requests and refuses those that cannot meet their deadline. Needs the
 * shard's lock.
 * @param caller_ticket its notify function is not called, as the caller reads its state; or NULL
 */
void route_dispatch(route_table_t *table, route_pool_t *pool, const route_ticket_t *caller_ticket,
		    uint64_t now_us);
/** Refuses all queued requests of a class with ROUTE_REMOVED. Needs the shard's lock. */
void route_refuse_queued(route_pool_t *pool, route_class_t *class);
/** Frees a removed target if it has no request in flight. Needs the shard's lock. */
void route_target_free_if_idle(route_target_entry_t *target);
/** Takes the shard's lock itself. @return the pool, valid as long as the table, or NULL */
route_pool_t *route_pool_find(route_table_t *table, const char *organisation, const char *name);
