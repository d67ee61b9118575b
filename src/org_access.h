#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "batch.pb-c.h"
#include "metrics.h"

/**
 * @file
 * Decides whose call it is. A call to a queue that is not public needs a key of an organisation.
 * Counts what was refused by cause, and records when each key was last accepted.
 */

/** Most keys whose last use is shown. */
#define ORG_ACCESS_KEYS_MAX 1024

typedef struct {
	metrics_t *metrics;
	metrics_counter_t *missing; /**< number of calls without a key */
	metrics_counter_t *unknown; /**< number of calls with an unknown key */
	GHashTable *last_accepted;  /**< prefix of a key's digest, in hexadecimal -> gauge with the
				       Unix time in seconds */
	uint64_t logged_us;	    /**< time of the latest log line about a refused call */
	uint64_t unlogged;	    /**< number of refused calls since then */
} org_access_t;

void org_access_init(org_access_t *access, metrics_t *metrics);
void org_access_finish(org_access_t *access);

/** Whose call it is. */
typedef struct {
	bool known;		  /**< false: the call needs a key and has no known one */
	const char *organisation; /**< name, owned by the configuration; "": no key was looked at */
} org_caller_t;

/**
 * Identifies the caller.
 * @param queue name of the queue, for the log
 * @param is_public whether calls to the queue need no key
 * @param digest of the caller's key; empty: the call has no key
 * @param now_us monotonic time, for the limit of log lines
 */
org_caller_t org_access_identify(org_access_t *access, const Lp__BatchConfig *config,
				 const char *queue, bool is_public,
				 const ProtobufCBinaryData *digest, uint64_t now_us,
				 uint64_t wall_ms);
