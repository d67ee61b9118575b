#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"

/**
 * @file
 * At-most-once claims of idempotency keys: replica side, coordinator side, and read-back after a
 * loss of memory or a change of members. Decisions are pure: messages and time in, messages out
 * through the send port. Control thread only.
 */

typedef struct {
	uint32_t node_id;
	const char *data_centre;
} claims_member_t;

typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t retention_us;	     /**< 24 h */
	uint32_t acquire_timeout_ms; /**< 500 */
	uint32_t record_timeout_ms;  /**< 200 */
	size_t outcome_limit;	     /**< bytes of a stored answer; 16 KiB */
	/** First start of the whole cluster: no claim can have been forgotten. */
	bool fresh_cluster;
} claims_config_t;

typedef int (*claims_send_fn)(void *arg, uint32_t node_id, const Lp__Envelope *envelope);

typedef enum {
	CLAIMS_GRANTED, /**< run it; then call claims_finish_run() or claims_release() */
	CLAIMS_STORED,	/**< ran before; outcome is set */
	CLAIMS_UNKNOWN, /**< another attempt holds the key, or no majority could be reached */
} claims_result_t;

typedef void (*claims_done_fn)(void *arg, claims_result_t result, uint64_t claim,
			       const Lp__Outcome *outcome);

struct claims;
typedef struct claims claims_t;

claims_t *claims_create(void *parent, const claims_config_t *config, claims_send_fn send,
			void *send_arg);
void claims_destroy(claims_t *claims);

/** New set of members; epoch comes from the log. */
void claims_set_members(claims_t *claims, uint64_t epoch, const claims_member_t *members,
			size_t count, uint64_t now_us);
void claims_receive(claims_t *claims, uint32_t from, const Lp__Envelope *envelope, uint64_t now_us);
/** Call every 50 ms or so: timeouts, read-back, expiry. */
void claims_tick(claims_t *claims, uint64_t now_us);
/** Sends what is batched; call once per turn of the event loop. */
void claims_flush(claims_t *claims);

/**
 * Claims a key for one request. done is called once, possibly before the return.
 * @param key organisation, service and idempotency key, joined by '/'
 */
void claims_acquire(claims_t *claims, const char *key, const char *home, uint64_t now_us,
		    claims_done_fn done, void *arg);
/** The request certainly did not run. */
void claims_release(claims_t *claims, uint64_t claim, uint64_t now_us);
/** Records the outcome at the set; done is called after a majority answered or the timeout. */
void claims_finish_run(claims_t *claims, uint64_t claim, const Lp__Outcome *outcome,
		       uint64_t now_us, void (*done)(void *arg), void *arg);
/** Gives up an attempt that may have run: the key stays held without an outcome. */
void claims_abandon(claims_t *claims, uint64_t claim);

/** Replica set of a key: up to 3 node ids. @return their number */
size_t claims_replica_set(const claims_t *claims, const char *key, const char *home,
			  uint32_t *node_ids);
size_t claims_count(const claims_t *claims);
/** True while keys are answered with abstain. */
bool claims_syncing(const claims_t *claims);
