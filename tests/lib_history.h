#pragma once

#include <stdint.h>

#include <jansson.h>

/**
 * @file
 * Pure checker over the journals of a run. Reads no files and calls no processes. Times are
 * monotonic microseconds of one host.
 *
 * Executions are the emulator's lines (start, end, lost), calls are the load tool's lines (invoke,
 * complete). Views are observations of VMs: objects with time_us (when the answer had arrived), vm,
 * epoch, pool and cordoned. An observation is later than the state it shows, so a bound that is
 * counted from it is never stricter than the promise.
 */

/** I6: commit and apply 0.5 s, announcement 1 s, routing lease 4 s (design, section 4.3). */
#define HISTORY_CORDON_BOUND_US UINT64_C(5500000)

typedef enum {
	HISTORY_SECOND_RUN,    /**< I5: a key was executed more than once */
	HISTORY_FALSE_NOT_RUN, /**< I4: answered not-run, but executed */
	HISTORY_FALSE_RAN,     /**< I3: answered ran, but never executed */
	HISTORY_OTHER_ANSWER,  /**< I3: complete answer with another request's body or none */
	HISTORY_LATE_WORK,     /**< I6: work sent under an epoch that ended before the bound */
	HISTORY_TWO_POOLS,     /**< I2: two pools for one VM and epoch */
	HISTORY_INTERRUPTED,   /**< I7: work was lost, though no target was killed */
	HISTORY_BROKEN,	       /**< a line lacks what its event needs, or has an unknown event */
	HISTORY_FAULTS,
} history_fault_t;

typedef struct {
	uint64_t faults[HISTORY_FAULTS];
	char first[512]; /**< describes the first fault; empty when there is none */
	/* What was looked at, so that a run that checks nothing is noticed. */
	uint64_t executions;
	uint64_t keys;
	uint64_t answers;
	uint64_t not_run;
	uint64_t ran;
	uint64_t views;
	uint64_t cordons; /**< epochs first seen as cordoned */
} history_t;

const char *history_fault_name(history_fault_t fault);
/** Checks a run. Any argument may be an empty array. @return number of faults */
uint64_t history_check(const json_t *executions, const json_t *calls, const json_t *views,
		       history_t *history);
