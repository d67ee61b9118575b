#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Detects that the process was suspended, by gaps between the calls of pause_watch_trusts().
 * Messages that waited in the process's sockets meanwhile can be outdated; an announcement among
 * them must not renew a routing lease. The function does no I/O; its caller passes the time.
 */

/**
 * Longest gap between two calls of pause_watch_trusts() that does not count as a suspension. Such a
 * gap delays messages by at most 500 ms, which is harmless: health_cordon_in_effect() waits 500 ms
 * longer than the routing lease before it treats a cordoned VM as quiesced.
 */
#define PAUSE_WATCH_GAP_MAX_US 500000ULL
/** Time after a suspension during which messages are not trusted: enough to empty the sockets. */
#define PAUSE_WATCH_DISTRUST_US 1000000ULL

typedef struct {
	uint64_t last_call_us;
	uint64_t distrust_until_us;
	uint64_t pauses; /**< suspensions detected since start */
} pause_watch_t;

/**
 * Checks for a suspension since the last call. Call it at least every 250 ms, and before a received
 * message is used.
 * @return false for PAUSE_WATCH_DISTRUST_US after a suspension, when messages received now may have
 * been sent long ago
 */
bool pause_watch_trusts(pause_watch_t *watch, uint64_t now_us);
