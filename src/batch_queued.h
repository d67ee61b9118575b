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

/** Returns whether a task of the job has begun on a VM. */
typedef bool (*batch_job_begun_fn)(void *arg, const batch_job_t *job);

typedef struct {
	batch_job_begun_fn job_begun;
	void *arg;
	uint64_t counted_us; /**< time of the latest walk; 0: none */
	unsigned walks;	     /**< number of walks so far */
} batch_queued_t;

/** @param job_begun is called with arg for jobs of which a task was assigned to a VM */
void batch_queued_init(batch_queued_t *queued, batch_job_begun_fn job_begun, void *arg);
void batch_queued_finish(batch_queued_t *queued);
/** Returns whether the job has not ended, and no task of it has begun. */
bool batch_queued_job_waits(const batch_queued_t *queued, const batch_job_t *job);
/**
 * @param queue of the state's present configuration
 * @param now_us monotonic time in microseconds, above 0
 * @return number of the queue's accepted jobs of which no task has begun, at most
 * BATCH_QUEUED_AGE_US ago; scheduled jobs count from the time when they are due. A job whose task
 * was assigned to a VM that has not begun it counts: the VM may be lost.
 */
uint32_t batch_queued_count(batch_queued_t *queued, const batch_state_t *state,
			    const Lp__BatchQueue *queue, uint64_t wall_ms, uint64_t now_us);
