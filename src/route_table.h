#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "command.pb-c.h"

/**
 * @file
 * Pools and targets as the data path sees them, in shards by pool, each under its own lock. The
 * control thread updates; the I/O threads admit requests, choose targets and give slots back.
 */

/** A target as the log and the announcements know it. */
typedef struct {
	const char *vm;
	const char *organisation;
	const char *pool;
	const char *data_centre;
	const char *address; /**< IP:port */
	uint64_t epoch;	     /**< applied */
	bool routable;	     /**< by the applied phase */
	uint32_t slots;
	uint32_t connections;
} route_target_t;

/** The latest announcement of a target. */
typedef struct {
	const char *vm;
	uint64_t at_us;
	uint64_t echoed_epoch; /**< 0: none */
	bool echoed_cordoned;
	bool leaving;
} route_announcement_t;

/** An entry process of another data centre, for forwarding. */
typedef struct {
	const char *data_centre;
	const char *http_address;
	uint32_t node_id;
	bool up;
} route_peer_t;

struct route_table;
typedef struct route_table route_table_t;

typedef struct {
	unsigned shard_count;
	const char *data_centre;
	uint32_t node_id;
	uint64_t routing_lease_us;
	uint64_t seed;
	uint32_t open_limit; /**< requests in progress of all organisations; 0: 2,000 */
} route_table_config_t;

route_table_t *route_table_create(const route_table_config_t *config);
void route_table_destroy(route_table_t *table);

/** Sets the pools and classes of an organisation; pools that are gone refuse with not-run. */
void route_table_set_template(route_table_t *table, const Lp__Template *template);
/** Inserts or changes a target; a target is in exactly one pool, under one shard's lock at a time.
 */
void route_table_set_target(route_table_t *table, const route_target_t *target);
void route_table_remove_target(route_table_t *table, const char *vm);
void route_table_announce(route_table_t *table, const route_announcement_t *announcement);
/**
 * Divides the slots of the data centre's targets: this process is number position of count entry
 * processes that share them.
 */
void route_table_set_share(route_table_t *table, unsigned position, unsigned count);
/** Entry processes of other data centres. */
void route_table_set_peers(route_table_t *table, const route_peer_t *peers, size_t count);

/** Load of one pool since start, for reports to the leader. */
typedef struct {
	const char *organisation;
	const char *pool;
	uint32_t in_flight;
	uint32_t queued;
	uint64_t offered;
	uint64_t refused;
	uint32_t service_us;
} route_load_t;
/** Calls fn for every pool; fn must not call back into the table. */
void route_table_loads(route_table_t *table, void (*fn)(void *arg, const route_load_t *load),
		       void *arg);

/** Consecutive failed requests by target, for the leader's view of health. */
void route_table_failures(route_table_t *table,
			  void (*fn)(void *arg, const char *vm, uint32_t consecutive_failures),
			  void *arg);
