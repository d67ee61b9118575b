#pragma once

#include <stdint.h>

/**
 * @file
 * Fake target: an HTTP server in threads of the test program. It can be set to misbehave, and
 * counts how often it ran each request body.
 */

typedef enum {
	LIB_TARGET_RESPOND,  /**< runs the request and responds */
	LIB_TARGET_LATE,     /**< runs the request and responds after delay_ms */
	LIB_TARGET_WRONG_ID, /**< runs the request and responds with another request id */
	LIB_TARGET_TRUNCATE, /**< runs the request but ends the response body too early */
	LIB_TARGET_CLOSE,    /**< runs the request and closes the connection without a response */
	LIB_TARGET_REFUSE,   /**< does not run the request and says so in the response */
	LIB_TARGET_SILENT,   /**< runs the request and never responds */
	LIB_TARGET_AS_ENTRY_PROCESS, /**< runs the request and responds like an entry process */
	LIB_TARGET_MODE_COUNT,
} lib_target_mode_t;

struct lib_target;
typedef struct lib_target lib_target_t;

/** Starts a fake target on a free port of the loopback address. */
lib_target_t *lib_target_start(void);
void lib_target_stop(lib_target_t *target);
/** Sets how later requests are handled. @param delay_ms delay of the response for LIB_TARGET_LATE
 */
void lib_target_set_mode(lib_target_t *target, lib_target_mode_t mode, unsigned delay_ms);
/** @return IP:port, valid until lib_target_stop() */
const char *lib_target_address(const lib_target_t *target);
/** Returns how often all fake targets of the program together ran a request with this body. */
unsigned lib_target_run_count(const char *body);
/** @return the request line and headers of the latest request, as received; free with g_free() */
char *lib_target_last_request_head(lib_target_t *target);
