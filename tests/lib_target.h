#pragma once

#include <stdint.h>

/**
 * @file
 * Stand-in for a target: an HTTP server in threads of the test that misbehaves on request and
 * records which request bodies it ran.
 */

typedef enum {
	LIB_TARGET_ANSWER,
	LIB_TARGET_LATE,     /* runs, answers after late_ms */
	LIB_TARGET_WRONG_ID, /* runs, answers with the id of another request */
	LIB_TARGET_TRUNCATE, /* runs, ends the body early */
	LIB_TARGET_CLOSE,    /* runs, closes without an answer */
	LIB_TARGET_REFUSE,   /* does not run, says so */
	LIB_TARGET_SILENT,   /* runs, never answers */
	LIB_TARGET_FORWARD,  /* runs, answers as an entry process does */
	LIB_TARGET_MODES,
} lib_target_mode_t;

struct lib_target;
typedef struct lib_target lib_target_t;

/** Listens on a free port of the loopback address. */
lib_target_t *lib_target_start(void);
void lib_target_stop(lib_target_t *target);
void lib_target_set(lib_target_t *target, lib_target_mode_t mode, unsigned late_ms);
/** IP:port */
const char *lib_target_address(const lib_target_t *target);
/** How often all stand-ins of the program ran the request with this body. */
unsigned lib_target_runs(const char *body);
/** The latest request's head, as received. @return memory to be freed with g_free() */
char *lib_target_head(lib_target_t *target);
