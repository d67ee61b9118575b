#pragma once

#include <stdint.h>

/**
 * @file
 * Fake target: an HTTP server in threads of the test program that can be told to misbehave, and
 * that counts the runs of each request body.
 */

typedef enum {
	LIB_TARGET_RESPOND,	     /**< runs the request and responds */
	LIB_TARGET_LATE,	     /**< runs the request, responds after delay_ms */
	LIB_TARGET_WRONG_ID,	     /**< runs the request, responds with another request id */
	LIB_TARGET_TRUNCATE,	     /**< runs the request, ends the response body early */
	LIB_TARGET_CLOSE,	     /**< runs the request, closes without a response */
	LIB_TARGET_REFUSE,	     /**< does not run the request, responds that it did not */
	LIB_TARGET_SILENT,	     /**< runs the request, never responds */
	LIB_TARGET_AS_ENTRY_PROCESS, /**< runs the request, responds like an entry process */
	LIB_TARGET_MODE_COUNT,	     /**< number of modes */
} lib_target_mode_t;

struct lib_target;
typedef struct lib_target lib_target_t;

/** Listens on a free port of the loopback address. */
lib_target_t *lib_target_start(void);
void lib_target_stop(lib_target_t *target);
/** Sets how later requests are handled. @param delay_ms for LIB_TARGET_LATE */
void lib_target_set_mode(lib_target_t *target, lib_target_mode_t mode, unsigned delay_ms);
/** @return IP:port, valid until lib_target_stop() */
const char *lib_target_address(const lib_target_t *target);
/** Returns how often all fake targets of the program together ran a request with this body. */
unsigned lib_target_run_count(const char *body);
/** @return the request line and headers of the latest request, as received; free with g_free() */
char *lib_target_last_request_head(lib_target_t *target);
