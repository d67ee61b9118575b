#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * @file
 * Choice of a target within a pool: the less loaded of two random candidates by in-flight count and
 * latency. Targets that fail again and again are ejected for a while, at most half of the usable
 * ones, and return by one trial request. Pure; randomness comes from the caller.
 */

typedef struct {
	uint32_t in_flight;
	double latency_us;	   /**< smoothed; 0: unknown */
	uint64_t used_us;	   /**< time of the latest attempt */
	uint32_t failures;	   /**< consecutive */
	uint32_t ejections;	   /**< since the latest success */
	uint64_t ejected_until_us; /**< while ejected: time of the trial */
	bool ejected;
	bool trial; /**< the trial request is in progress */
} router_target_t;

/** A target that may be given work as far as leases and cordons allow. */
typedef struct {
	router_target_t *target;
	bool free;  /**< has a free slot */
	bool avoid; /**< was tried for this request already */
} router_candidate_t;

typedef enum {
	ROUTER_OK,
	ROUTER_FAILED,	  /**< no complete answer, or an answer with status 5xx */
	ROUTER_REFUSED,	  /**< truthful refusal: the target is busy, not at fault */
	ROUTER_CANCELLED, /**< says nothing about the target */
} router_result_t;

/**
 * @param candidates all usable targets of the pool, those without a free slot included
 * @param remaining_us time until the request's deadline
 * @param trial_delay_us the request may be the trial of a target whose ejection ended so long ago
 * @return index of the chosen candidate, or -1 when none is free
 */
int router_choose(const router_candidate_t *candidates, size_t count, uint64_t remaining_us,
		  uint64_t trial_delay_us, uint64_t now_us, GRand *random);

/** Starts an attempt. @return true when it is a trial; to be passed to router_finish() */
bool router_start(router_target_t *target, uint64_t now_us);

/** Ends an attempt. candidates are the usable targets of the pool at this time. */
void router_finish(router_target_t *target, const router_candidate_t *candidates, size_t count,
		   bool trial, router_result_t result, uint64_t elapsed_us, uint64_t now_us);
