#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "verdict.h"

/**
 * @file
 * The latest requests that this process answered, for `explain request`. A ring; any thread.
 */

#define REQUEST_LOG_SIZE 4096
#define REQUEST_LOG_TEXT 64

typedef struct {
	char id[48];
	char organisation[REQUEST_LOG_TEXT];
	char service[REQUEST_LOG_TEXT];
	char class_name[REQUEST_LOG_TEXT];
	char reason[REQUEST_LOG_TEXT]; /**< "" for an answer of a target */
	verdict_t outcome;
	unsigned status;  /**< HTTP status */
	uint64_t wall_ms; /**< when it was answered */
	uint64_t took_us;
} request_log_entry_t;

typedef struct {
	pthread_mutex_t lock;
	request_log_entry_t *entries;
	uint64_t written; /**< since start; the newest is at (written - 1) % REQUEST_LOG_SIZE */
} request_log_t;

void request_log_init(request_log_t *log);
void request_log_finish(request_log_t *log);
void request_log_add(request_log_t *log, const request_log_entry_t *entry);
/** @return true when the request is among the latest ones; *entry is then filled */
bool request_log_find(request_log_t *log, const char *id, request_log_entry_t *entry);
