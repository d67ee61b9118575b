#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * @file
 * Load balancing within a pool: of two random targets, the one with the lower load is chosen, by
 * requests in flight and latency. A target that fails repeatedly is ejected for a while and returns
 * after one successful probe request; at most half of the usable targets are ejected. Has no side
 * effects outside its arguments; the caller supplies the random numbers.
 */

typedef struct {
	uint32_t in_flight;
	double latency_us;		/**< moving average of the latency; 0: not known yet */
	uint64_t last_attempt_us;	/**< start of the latest attempt */
	uint32_t failures;		/**< consecutive failed attempts */
	uint32_t consecutive_ejections; /**< ejections since the latest success */
	uint64_t ejection_ends_us; /**< earliest time of the probe request; valid while ejected */
	bool ejected;
	bool probing; /**< a probe request is in progress */
} router_target_t;

/** A usable target that may be chosen for an attempt. */
typedef struct {
	router_target_t *target;
	bool free;	    /**< the target has a free slot */
	bool already_tried; /**< the target was already tried for this request */
} router_candidate_t;

typedef enum {
	ROUTER_OK,
	ROUTER_FAILED,	  /**< no complete response, or a status of 5xx */
	ROUTER_REFUSED,	  /**< refused by a busy target; does not count as a failure */
	ROUTER_CANCELLED, /**< cancelled; counts neither as a success nor as a failure */
} router_result_t;

/**
 * Chooses the target of an attempt.
 * @param candidates all usable targets of the pool, including those without a free slot
 * @param remaining_us time until the request's deadline
 * @param probe_delay_us an ejected target can be chosen for a probe request when its ejection ended
 * at least this long ago
 * @return index of the chosen candidate, or -1 when each candidate either has no free slot or is
 * ejected and cannot be probed
 */
int router_choose(const router_candidate_t *candidates, size_t count, uint64_t remaining_us,
		  uint64_t probe_delay_us, uint64_t now_us, GRand *random);

/**
 * Starts an attempt.
 * @return true when the attempt is a probe request; pass the value to router_finish()
 */
bool router_start(router_target_t *target, uint64_t now_us);

/**
 * Ends an attempt.
 * @param candidates usable targets of the pool when the attempt ends
 * @param is_probe value that router_start() returned for the attempt
 * @param elapsed_us duration of the attempt
 */
void router_finish(router_target_t *target, const router_candidate_t *candidates, size_t count,
		   bool is_probe, router_result_t result, uint64_t elapsed_us, uint64_t now_us);
