#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * @file
 * Load balancing within a pool: the less loaded of two random candidates by requests in flight and
 * latency. Targets that fail repeatedly are ejected for a while, at most half of the usable ones,
 * and return after one successful probe request. Has no side effects outside its arguments; the
 * caller supplies the random numbers.
 */

typedef struct {
	uint32_t in_flight;
	double latency_us;		/**< moving average of the latency; 0: unknown */
	uint64_t last_attempt_us;	/**< start of the latest attempt */
	uint32_t failures;		/**< consecutive failed attempts */
	uint32_t consecutive_ejections; /**< ejections since the latest success */
	uint64_t ejection_ends_us; /**< earliest time of the probe request; valid while ejected */
	bool ejected;
	bool probing; /**< the probe request is in progress */
} router_target_t;

/** A target that may be given requests as far as leases and cordons allow. */
typedef struct {
	router_target_t *target;
	bool free;	    /**< has a free slot */
	bool already_tried; /**< was already tried for this request */
} router_candidate_t;

typedef enum {
	ROUTER_OK,
	ROUTER_FAILED,	  /**< no complete answer, or a status of 5xx */
	ROUTER_REFUSED,	  /**< refused because the target is busy; does not count as a failure */
	ROUTER_CANCELLED, /**< cancelled; neither success nor failure of the target */
} router_result_t;

/**
 * Chooses the target of an attempt.
 * @param candidates all usable targets of the pool, also those without a free slot
 * @param remaining_us time until the request's deadline
 * @param probe_delay_us the request may probe a target whose ejection ended at least this long ago
 * @return index of the chosen candidate, or -1 when none is free
 */
int router_choose(const router_candidate_t *candidates, size_t count, uint64_t remaining_us,
		  uint64_t probe_delay_us, uint64_t now_us, GRand *random);

/** Starts an attempt. @return true when it is a probe request; pass it to router_finish() */
bool router_start(router_target_t *target, uint64_t now_us);

/**
 * Ends an attempt.
 * @param candidates usable targets of the pool at this time
 * @param is_probe result of router_start()
 * @param elapsed_us duration of the attempt
 */
void router_finish(router_target_t *target, const router_candidate_t *candidates, size_t count,
		   bool is_probe, router_result_t result, uint64_t elapsed_us, uint64_t now_us);
