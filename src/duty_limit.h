#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Limits the share of an event loop's time that a repeated pass takes. tevent runs timers and
 * immediate events before sockets: a pass that takes as long as the interval between two of them
 * would leave all messages unread.
 */

/** After a pass, the next one waits for this many times its duration. */
#define DUTY_LIMIT_REST_FACTOR 3
/** Longest such wait, in microseconds. A pass that took long because the process was not running
 * must not delay the renewal of leases. */
#define DUTY_LIMIT_REST_MAX_US 600000

typedef struct {
	uint64_t next_us; /**< earliest start of the next pass, in monotonic microseconds */
} duty_limit_t;

bool duty_limit_may_start(const duty_limit_t *limit, uint64_t now_us);
/** Records a pass. @param ended_us not before started_us */
void duty_limit_record(duty_limit_t *limit, uint64_t started_us, uint64_t ended_us);
