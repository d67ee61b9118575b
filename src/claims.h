#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"

/**
 * @file
 * Replicated claims of idempotency keys, so that a request runs at most once. Coordinators acquire
 * claims. Replicas hold them in memory, and get them from each other in a claims sync after a
 * restart or a change of members. This module does no I/O itself: messages and the time are passed
 * in, and messages are sent through claims_send_fn. Control thread only.
 */

typedef struct {
	uint32_t node_id;
	const char *data_centre;
} claims_member_t;

typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t retention_us;	     /**< time after which a claim expires, such as 24 h */
	uint32_t acquire_timeout_ms; /**< timeout of claims_acquire(), such as 500 */
	uint32_t record_timeout_ms;  /**< timeout of claims_record_outcome(), such as 200 */
	size_t outcome_limit; /**< maximum size of a response body that is stored with an outcome,
				 in bytes, such as 16 KiB */
	/** Whether the whole cluster starts for the first time, so that no replica can have lost a
	 * claim. */
	bool fresh_cluster;
} claims_config_t;

typedef int (*claims_send_fn)(void *arg, uint32_t node_id, const Lp__Envelope *envelope);

typedef enum {
	CLAIMS_GRANTED, /**< the key is claimed: run the request, then call claims_record_outcome(),
			   claims_release() or claims_abandon() */
	CLAIMS_STORED, /**< the request has run before; its stored outcome is passed to the callback
			*/
	CLAIMS_UNKNOWN, /**< another attempt holds the key, or no majority of the replicas was
			   reached */
} claims_result_t;

typedef void (*claims_done_fn)(void *arg, claims_result_t result, uint64_t claim,
			       const Lp__Outcome *outcome);

struct claims;
typedef struct claims claims_t;

claims_t *claims_create(void *parent, const claims_config_t *config, claims_send_fn send,
			void *send_arg);
void claims_destroy(claims_t *claims);

/** Sets the members whose replicas hold the claims. epoch identifies this member set; it comes from
 * the replicated log and grows with each change of members. */
void claims_set_members(claims_t *claims, uint64_t epoch, const claims_member_t *members,
			size_t count, uint64_t now_us);
void claims_receive(claims_t *claims, uint32_t from, const Lp__Envelope *envelope, uint64_t now_us);
/** Handles timeouts, claims syncs and expired claims. Must be called about every 50 ms. */
void claims_tick(claims_t *claims, uint64_t now_us);
/** Sends the queued messages in batches. Must be called once per iteration of the event loop. */
void claims_flush(claims_t *claims);

/**
 * Claims a key for one request. done is called exactly once, possibly before this function returns.
 * @param key organisation, service and idempotency key, joined by '/'
 * @param home home data centre of the key; NULL or "" if the key has none. If the data centre has
 * members, the key's replicas are chosen from these only.
 */
void claims_acquire(claims_t *claims, const char *key, const char *home, uint64_t now_us,
		    claims_done_fn done, void *arg);
/** Releases the key of a granted claim whose request certainly did not run. */
void claims_release(claims_t *claims, uint64_t claim, uint64_t now_us);
/** Stores the outcome of a request at the key's replicas. done is called when a majority of them
 * has acknowledged the outcome, or after the timeout. */
void claims_record_outcome(claims_t *claims, uint64_t claim, const Lp__Outcome *outcome,
			   uint64_t now_us, void (*done)(void *arg), void *arg);
/** Forgets a granted claim whose request may have run. The key stays claimed, without an outcome,
 * until the claim expires. */
void claims_abandon(claims_t *claims, uint64_t claim);

/** Gets the node ids of a key's replicas. @return their number, at most 3 */
size_t claims_replica_set(const claims_t *claims, const char *key, const char *home,
			  uint32_t *node_ids);
size_t claims_count(const claims_t *claims);
/** True while the members are unknown, or while there is a key of this replica for which it is not
 * authoritative yet. */
bool claims_syncing(const claims_t *claims);
