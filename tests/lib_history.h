#pragma once

#include <stdint.h>

#include <jansson.h>

/**
 * @file
 * Checks the journals of a fault test for violations of the routing guarantees. The check works on
 * parsed JSON and does no I/O. All times are in microseconds of the monotonic clock of one host.
 *
 * Executions are lines of the emulator's journal (start, end, lost). Calls are lines of the load
 * tool's journal (invoke, complete). Observations are states of VMs that the test polled: objects
 * with time_us (arrival of the response), vm, epoch, pool and cordoned. A state is older than its
 * observation, so a deadline that is counted from the observation is never too strict.
 */

/** Time after the observation of a cordon within which requests under the previous epoch must stop:
 * 0.5 s to commit and apply the cordon, 1 s to announce it, and a routing lease of 4 s. */
#define HISTORY_CORDON_DEADLINE_US UINT64_C(5500000)

typedef enum {
	HISTORY_DUPLICATE_RUN,	 /**< an idempotency key was executed more than once */
	HISTORY_FALSE_NOT_RUN,	 /**< outcome not-run, but the request was executed */
	HISTORY_FALSE_RAN,	 /**< outcome ran, but the request was never executed */
	HISTORY_WRONG_BODY,	 /**< complete response whose body is not that of the request */
	HISTORY_STALE_EPOCH_RUN, /**< request executed under a cordoned epoch, or too late under an
				    old epoch or without one */
	HISTORY_TWO_POOLS,	 /**< VM observed in two pools within one epoch */
	HISTORY_INTERRUPTED_RUN, /**< a target lost a running request, although no target was
				      killed */
	HISTORY_INVALID_LINE,	 /**< line with missing fields or an unknown event */
	HISTORY_VIOLATION_KINDS,
} history_violation_t;

/** Result of checking one run. */
typedef struct {
	uint64_t violations[HISTORY_VIOLATION_KINDS]; /**< number of violations of each kind */
	char first_violation[512]; /**< description of the first violation, or "" */
	/* Numbers of items checked. With them, a caller can fail a run in which there was nothing
	 * to check. */
	uint64_t executions;
	uint64_t keys; /**< number of distinct idempotency keys */
	uint64_t responses;
	uint64_t not_run; /**< number of responses with outcome not-run */
	uint64_t ran;	  /**< number of responses with outcome ran */
	uint64_t observations;
	uint64_t cordons; /**< number of epochs that are cordoned in the first observation listed
			       for them */
} history_result_t;

const char *history_violation_name(history_violation_t kind);
/** Checks the journals and observations of one run. Each is an array, which may be empty.
 * @param result overwritten with the result
 * @return number of violations */
uint64_t history_check(const json_t *executions, const json_t *calls, const json_t *observations,
		       history_result_t *result);
