#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Detects that the process was suspended, from gaps between its calls. Messages that waited in its
 * sockets meanwhile may be old; an announcement among them must not renew a routing lease. No I/O
 * and no clock of its own.
 */

/** A longer gap between two calls counts as a suspension of the process. The planner's quiesce
 * margin (500 ms beyond the routing lease) covers the message delay that a shorter gap causes. */
#define PAUSE_WATCH_GAP_MAX_US 500000ULL
/** Messages are not trusted for this long after a suspension: time to empty the sockets. */
#define PAUSE_WATCH_DISTRUST_US 1000000ULL

typedef struct {
	uint64_t last_call_us;
	uint64_t distrust_until_us;
	uint64_t pauses; /**< suspensions detected since start */
} pause_watch_t;

/**
 * Call it at least every 250 ms, and before a received message is used.
 * @return true when messages received now were sent recently
 */
bool pause_watch_trusts(pause_watch_t *watch, uint64_t now_us);
