#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Notices that the process was frozen. What its sockets hold when it resumes may have been sent
 * long ago; an announcement taken from them must not renew a routing lease. Pure.
 */

/** Longest gap between two calls that is not taken for a freeze. The quiesce margin of the planner
 * (500 ms beyond the routing lease) covers what a shorter freeze adds to the age of a message. */
#define PAUSE_WATCH_GAP_MAX_US 500000ULL
/** After a freeze, messages are not trusted for this long: time to empty the sockets. */
#define PAUSE_WATCH_DISTRUST_US 1000000ULL

typedef struct {
	uint64_t last_us;
	uint64_t distrust_until_us;
	uint64_t pauses; /**< noticed since start */
} pause_watch_t;

/** Call it at least every 250 ms, and before using a message. @return true when a message that is
 * received now was sent recently */
bool pause_watch_trusts(pause_watch_t *watch, uint64_t now_us);
