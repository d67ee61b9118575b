#pragma once

#include "batch_state.h"

/**
 * @file
 * Numbers of jobs that wait in each queue, counted for all queues in one walk over the jobs and
 * kept for a while. Clients ask for them all the time; a walk for each answer would take the longer
 * the more jobs wait.
 */

/** Longest time for which the numbers are kept, in microseconds. Clients allow for 2 s. */
#define BATCH_QUEUED_AGE_US (500 * 1000ULL)

typedef struct {
	uint64_t counted_us; /**< time of the latest walk; 0: none */
	unsigned walks;	     /**< number of walks so far */
} batch_queued_t;

void batch_queued_init(batch_queued_t *queued);
void batch_queued_finish(batch_queued_t *queued);
/**
 * @param queue of the state's present configuration
 * @param now_us monotonic time in microseconds, above 0
 * @return number of the queue's accepted jobs of which no task was assigned yet, at most
 * BATCH_QUEUED_AGE_US ago; scheduled jobs count from the time when they are due
 */
uint32_t batch_queued_count(batch_queued_t *queued, const batch_state_t *state,
			    const Lp__BatchQueue *queue, uint64_t wall_ms, uint64_t now_us);
