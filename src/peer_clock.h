#pragma once

#include <stdint.h>

/**
 * @file
 * Estimates the reading of a peer's monotonic clock from the readings that the peer sends. A
 * reading is as old as the message that brought it, so the estimate is a lower bound: a time limit
 * that is derived from it ends early rather than late, however long messages are held up. The
 * functions do no I/O; their caller passes the time.
 */

/** Number of the latest readings that are used. With a reading every 500 ms, one that a slow link
 * or a busy process has delayed is outweighed by others of the last 4 s. */
#define PEER_CLOCK_READINGS 8

typedef struct {
	int64_t offsets_us[PEER_CLOCK_READINGS]; /**< peer's clock less the local one */
	unsigned count;				 /**< number of readings that are kept */
	unsigned next;				 /**< entry that the next reading replaces */
} peer_clock_t;

/** Forgets all readings. Call it on a new connection: the peer's machine may have restarted. */
void peer_clock_init(peer_clock_t *clock);
/**
 * Adds a reading.
 * @param peer_us reading of the peer's clock, in microseconds; 0 (the peer sent none) is ignored
 * @param received_us local monotonic time at which the reading was received
 */
void peer_clock_add(peer_clock_t *clock, uint64_t peer_us, uint64_t received_us);
/**
 * @param now_us local monotonic time
 * @return lower bound of the present reading of the peer's clock in microseconds; 0: unknown
 */
uint64_t peer_clock_now_us(const peer_clock_t *clock, uint64_t now_us);
