#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "vm_port.h"

/**
 * @file
 * Forecasts the demand of each pool from the work that arrives for it, without I/O or global state.
 * It answers queues that surge by turns: a pool's demand grows within a second to several times its
 * mean, more than its machines can do, and machines from elsewhere take over a second to arrive.
 * It detects surges, remembers when they began, how long they lasted and how steep they were, and
 * predicts the next one from the order in which the pools surged before.
 */

/** Duration of a step, in which arriving work is added up. */
#define FORECAST_STEP_US (200 * 1000ULL)
/** Steps whose arrivals are remembered one by one: one second. */
#define FORECAST_STEPS 5
/** Surges remembered for a pool. */
#define FORECAST_SURGES 3

/** A surge of a pool's demand. */
typedef struct {
	uint64_t start_us;
	uint64_t end_us; /**< 0: the surge has not ended */
	double work;	 /**< work that arrived in the surge, in core seconds */
} forecast_surge_t;

/** What is known about the demand of one pool. */
typedef struct forecast_pool {
	LIST_ENTRY(forecast_pool) link;
	char name[VM_NAME_MAX];
	double work[FORECAST_STEPS]; /**< work that arrived in each step, in core seconds */
	unsigned jobs[FORECAST_STEPS];
	double mean_cores;     /**< long-term mean of the arriving work, in cores */
	double arriving_cores; /**< work that arrived in the latest steps, in cores */
	bool surging;
	size_t surge_count; /**< number of entries in surges, the latest one first */
	forecast_surge_t surges[FORECAST_SURGES];
	bool surged_in_round;  /**< the pool has had its surge in the present round, which ends when
				  all pools have had theirs */
	uint64_t predicted_us; /**< time of the pool's next surge; 0: no prediction */
} forecast_pool_t;

typedef struct {
	LIST_HEAD(forecast_pools, forecast_pool) pools;
	uint64_t step_start_us;
	double peak_cores;		  /**< highest demand of any pool, which decays slowly */
	uint64_t step_us[FORECAST_STEPS]; /**< durations of the steps; a delayed process makes a
					     step longer */
	size_t step;	 /**< index of the present step in work, jobs and step_us */
	unsigned hits;	 /**< surges that came when they were predicted */
	unsigned misses; /**< surges that came at another time, or not at all */
} forecast_t;

/** Whether a pool's demand is about to surge. */
typedef enum {
	FORECAST_POSSIBLE, /**< nothing is known */
	FORECAST_UNLIKELY, /**< the pool's turn comes later */
	FORECAST_DUE,	   /**< the pool's surge is predicted within the horizon */
	FORECAST_SURGING,
} forecast_state_t;

typedef struct {
	forecast_state_t state;
	double arriving_cores; /**< cores that the work arriving now takes if it goes on arriving */
	double surge_cores;    /**< cores that the pool's latest surge took, not counting one that
				  goes on; 0: none was seen */
	bool ending; /**< the pool's surge is about to end, if it lasts as long as its last
			one */
} forecast_outlook_t;

void forecast_init(forecast_t *forecast);
void forecast_finish(forecast_t *forecast);
/** Adds work that has arrived for the named pool in the present step. @param core_s in core seconds
 */
void forecast_add(forecast_t *forecast, const char *name, double core_s);
/** Ends the present step if it is over, and detects the beginning and the end of surges. */
void forecast_advance(forecast_t *forecast, uint64_t now_us);
/** @param horizon_us time that the caller needs to prepare for a surge */
forecast_outlook_t forecast_outlook(const forecast_t *forecast, const char *name, uint64_t now_us,
				    uint64_t horizon_us);
