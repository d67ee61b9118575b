#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Decides whether the leader takes a submitted job, from its own delay: the age of the oldest
 * submission that is not committed yet, and the lag of its event loop. Answers the load of a leader
 * that gets more work than its processor or the group's disks can handle. Jobs that wait for room
 * in the fleet do not count. Takes the time as an argument and has no side effects.
 */

typedef struct {
	bool refusing; /**< submissions are refused until the delay has fallen */
} batch_admit_t;

typedef struct {
	uint64_t lag_us;       /**< delay of the event loop */
	uint64_t oldest_us;    /**< age of the oldest uncommitted submission; 0: none */
	uint32_t remaining_ms; /**< time that the client still waits; 0: unknown */
	uint32_t job_hash;     /**< hash of the job's id, which spreads the clients' return */
} batch_admit_input_t;

typedef struct {
	bool accept;
	uint32_t retry_after_s;
	uint32_t expected_ms; /**< expected time until the submission is committed */
	const char *reason;   /**< static string; "" when accepted */
} batch_admission_t;

batch_admission_t batch_admit(batch_admit_t *admit, const batch_admit_input_t *input);
/**
 * Returns the time in s after which a refused client may return: at least the expected delay, and
 * spread by the hash over twice that.
 */
uint32_t batch_admit_retry_after_s(uint32_t expected_ms, uint32_t job_hash);
