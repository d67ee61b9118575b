#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "verdict.h"

/**
 * @file
 * Ring buffer of the latest requests that this process replied to, for the command `explain
 * request`. All functions can be called from any thread.
 */

/** Number of entries kept; each further entry overwrites the oldest one. */
#define REQUEST_LOG_ENTRIES 4096
/**
 * Size of the entries' text fields in bytes, including the terminating zero; longer texts are cut.
 */
#define REQUEST_LOG_TEXT_SIZE 64

typedef struct {
	char id[48];
	char organisation[REQUEST_LOG_TEXT_SIZE];
	char service[REQUEST_LOG_TEXT_SIZE];
	char class_name[REQUEST_LOG_TEXT_SIZE];
	/** Why the proxy itself answered the request; "" when a target answered. */
	char reason[REQUEST_LOG_TEXT_SIZE];
	verdict_t outcome;
	unsigned status;	  /**< HTTP status code */
	uint64_t replied_wall_ms; /**< time of the reply, in ms since 1970 */
	uint64_t duration_us;	  /**< time from the arrival to the reply */
} request_log_entry_t;

typedef struct {
	pthread_mutex_t lock;
	request_log_entry_t *entries;
	/**
	 * Number of entries added since start; the newest entry is at index (added_count - 1) %
	 * REQUEST_LOG_ENTRIES.
	 */
	uint64_t added_count;
} request_log_t;

void request_log_init(request_log_t *log);
void request_log_finish(request_log_t *log);
void request_log_add(request_log_t *log, const request_log_entry_t *entry);
/**
 * Finds the latest entry with a request id.
 * @param entry receives a copy of the entry
 * @return false, with *entry unchanged, when the log does not (or no longer) have such an entry
 */
bool request_log_find(request_log_t *log, const char *id, request_log_entry_t *entry);
