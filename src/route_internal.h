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

/** Lower limit of route_class_t.timeout_factor. */
#define ROUTE_TIMEOUT_FACTOR_MIN 4.0

/** A target in a pool. A VM that moves to another pool gets a new entry in that pool. */
typedef struct route_target_entry {
	router_target_t router;
	slots_t slots;
	struct route_pool *pool;
	char *vm;
	char *address;
	uint64_t epoch; /**< epoch of the target according to the applied log */
	bool routable;	/**< the target's phase in the applied log allows requests */
	/**
	 * The target was removed or moved to another pool; the entry is freed once it has no
	 * request in flight.
	 */
	bool removed;
	uint32_t slot_limit; /**< limit of the target's slots, shared by all entry processes */
	uint32_t connection_limit; /**< limit of its connections, shared by all entry processes */
	uint64_t announced_us;	   /**< time of the target's latest announcement; 0: none */
	uint64_t echoed_epoch;	   /**< epoch echoed by the latest announcement; 0: none */
	bool echoed_cordoned;	   /**< cordon state echoed by the latest announcement */
	bool leaving; /**< the latest announcement says that the target is shutting down */
} route_target_entry_t;

/** A request class of a pool. Freed only with the table, because requests point to it. */
typedef struct route_class {
	admission_class_t admission;
	char *name;
	char *prefix; /**< prefix of the decoded paths that belong to the class */
	uint32_t deadline_ms;
	bool repeatable;       /**< a request of the class may be run more than once */
	bool retired;	       /**< the template no longer has this class */
	double timeout_factor; /**< attempt timeout as a multiple of the usual service time */
} route_class_t;

/** Request quota of a team. */
typedef struct {
	quota_t bucket;
	uint32_t max_requests_per_s; /**< limit that all entry processes share */
} route_quota_t;

/** An organisation. Freed only with the table. */
typedef struct route_org {
	char *name;
	GHashTable *quotas;	/**< team name -> route_quota_t; guarded by the table's lock */
	uint32_t open_requests; /**< requests in progress; guarded by the table's lock */
	bool has_template;	/**< a template of the organisation was set */
} route_org_t;

/** A pool of targets. Freed only with the table. */
typedef struct route_pool {
	struct route_shard *shard;
	route_org_t *org;
	char *name;
	bool in_template;   /**< the organisation's current template has this pool */
	GPtrArray *targets; /**< elements: route_target_entry_t */
	GPtrArray *classes; /**< elements: route_class_t */
	admission_t admission;
	retry_budget_t retry_budget;
	GRand *random;
	router_candidate_t *candidates; /**< usable targets, collected anew before each use */
	size_t candidate_capacity;
	uint64_t offered;	    /**< number of requests since start */
	uint64_t refused;	    /**< number of refused requests since start */
	double smoothed_service_us; /**< exponential moving average of the service time */
} route_pool_t;

/** Pools that share a lock. The shard of a pool is chosen by a hash of the pool's key. */
typedef struct route_shard {
	pthread_mutex_t lock;
	GHashTable *pools; /**< "organisation/pool" -> route_pool_t */
} route_shard_t;

/** The route table. Lock order: the table's lock is taken before a shard's lock. */
struct route_table {
	route_table_config_t config;
	char *data_centre;
	pthread_mutex_t lock;
	GHashTable *orgs;	   /**< organisation name -> route_org_t */
	GHashTable *targets_by_vm; /**< VM id -> route_target_entry_t */
	/** Addresses of the reachable entry processes of other data centres. */
	GPtrArray *peer_addresses;
	guint next_peer;	/**< round-robin counter for peer_addresses */
	uint32_t open_requests; /**< number of requests in progress, of all organisations */
	uint32_t org_count;	/**< number of organisations with a template */
	unsigned process_index; /**< index of this process, 0 to process_count - 1 */
	/** Number of entry processes in the data centre that share the slots. */
	unsigned process_count;
	route_shard_t *shards;
};

/**
 * True when the target may be sent requests: it is routable, not removed, has announced itself
 * within the routing lease, and its latest announcement says that it is not shutting down, not
 * cordoned and has not been told another epoch. The caller must hold the lock of the pool's shard.
 */
bool route_target_usable(const route_table_t *table, const route_target_entry_t *target,
			 uint64_t now_us);
/**
 * Grants free slots to queued requests and refuses those that cannot meet their deadline. The
 * caller must hold the lock of the pool's shard.
 * @param caller_ticket ticket whose notify function is not called, because the caller reads its
 * state; or NULL
 */
void route_dispatch(route_table_t *table, route_pool_t *pool, const route_ticket_t *caller_ticket,
		    uint64_t now_us);
/**
 * Refuses all queued requests of a class with ROUTE_REMOVED. The caller must hold the lock of the
 * pool's shard.
 */
void route_refuse_queued(route_pool_t *pool, route_class_t *class);
/**
 * Frees a removed target if it has no request in flight. The caller must hold the lock of the
 * pool's shard.
 */
void route_target_free_if_idle(route_target_entry_t *target);
/**
 * Finds a pool. The caller must not hold a shard's lock.
 * @return the pool, valid as long as the table, or NULL
 */
route_pool_t *route_pool_find(route_table_t *table, const char *organisation, const char *name);
