#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "command.pb-c.h"

/**
 * @file
 * Route table: pools, targets, request classes and quotas, for routing requests to targets. Pools
 * are distributed over shards, each with its own lock. The control thread updates the table with
 * the functions below; the I/O threads use those of route_pool.h.
 */

/** A target, as described by the applied log and by its registration. */
typedef struct {
	const char *vm;
	const char *organisation;
	const char *pool;
	const char *data_centre;
	const char *address;  /**< address for requests, IP:port */
	uint64_t epoch;	      /**< epoch of the target according to the applied log */
	bool routable;	      /**< the target's phase in the applied log allows requests */
	uint32_t slots;	      /**< limit of requests in flight from all entry processes together */
	uint32_t connections; /**< limit of connections from all entry processes together */
} route_target_t;

/** The latest announcement of a target. */
typedef struct {
	const char *vm;
	uint64_t announced_us;
	uint64_t echoed_epoch; /**< epoch that the target says it was told last; 0: none */
	bool echoed_cordoned;  /**< the target says it was last told that it is cordoned */
	bool leaving;	       /**< the target is shutting down */
} route_announcement_t;

/** An entry process. Requests can be forwarded to it if it is in another data centre. */
typedef struct {
	const char *data_centre;
	const char *http_address;
	uint32_t node_id;
	bool up; /**< the entry process is reachable */
} route_peer_t;

struct route_table;
typedef struct route_table route_table_t;

typedef struct {
	unsigned shard_count;	 /**< number of shards; 0 means 1 */
	const char *data_centre; /**< data centre of this process */
	uint32_t node_id;
	uint64_t routing_lease_us; /**< time that a target is usable after an announcement */
	uint64_t seed;		   /**< seed of the random choice of targets */
	/** Limit of requests in progress, of all organisations; 0 means 2,000. */
	uint32_t open_limit;
} route_table_config_t;

route_table_t *route_table_create(const route_table_config_t *config);
void route_table_destroy(route_table_t *table);

/**
 * Sets the pools, request classes and quotas of an organisation. Requests queued in pools or
 * classes that the new template does not have are refused.
 */
void route_table_set_template(route_table_t *table, const Lp__Template *template);
/**
 * Inserts or changes a target, or moves it to another pool. A target is in exactly one pool. A
 * target of another data centre is removed from the table.
 */
void route_table_set_target(route_table_t *table, const route_target_t *target);
void route_table_remove_target(route_table_t *table, const char *vm);
/** Records an announcement, unless the target is unknown or a later announcement is recorded. */
void route_table_set_announcement(route_table_t *table, const route_announcement_t *announcement);
/**
 * Sets this process's share of the targets' slots and of the quotas.
 * @param process_index index of this process among those of the data centre, in [0, process_count)
 * @param process_count number of entry processes in the data centre that share the targets
 */
void route_table_set_share(route_table_t *table, unsigned process_index, unsigned process_count);
/**
 * Sets the entry processes of other data centres, to which requests can be forwarded and which
 * share the quotas. Entries of this data centre and unreachable ones are ignored.
 */
void route_table_set_peers(route_table_t *table, const route_peer_t *peers, size_t count);

/** Load of one pool, as reported to the leader. */
typedef struct {
	const char *organisation;
	const char *pool;
	uint32_t in_flight;
	uint32_t queued;
	uint64_t offered;    /**< number of requests since start */
	uint64_t refused;    /**< number of refused requests since start */
	uint32_t service_us; /**< moving average of the service time */
} route_load_t;

/** Calls fn for every pool with its load. fn must not call functions of the table. */
void route_table_for_each_load(route_table_t *table,
			       void (*fn)(void *arg, const route_load_t *load), void *arg);

/**
 * Calls fn for every target with its number of consecutive failed requests, from which the leader
 * derives the target's health. fn must not call functions of the table.
 */
void route_table_for_each_failure_count(route_table_t *table,
					void (*fn)(void *arg, const char *vm,
						   uint32_t consecutive_failures),
					void *arg);
