#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * @file
 * Learns from finished runs how long tasks take, by organisation and queue, and estimates the tasks
 * of a step from their declared run time. Answers the load of jobs whose declared times are far
 * off. Takes times as arguments and has no side effects.
 */

/** Most classes that are kept; the tasks of further ones are estimated as declared. */
#define RUN_TIMES_CLASSES_MAX 4096

/** What is known of the runs of one class. Sums are weighted, and older runs count less. */
typedef struct {
	double weight;	   /**< number of steps */
	double mean_x;	   /**< mean of x, the logarithm of the declared time in ms */
	double mean_ratio; /**< mean of the logarithm of the ratio of measured to declared time */
	double variance_x; /**< sum of squared deviations of x */
	double covariance; /**< sum of products of the deviations of x and of the ratio */
	double between;	   /**< variance of steps around the regression */
	double within;	   /**< variance of tasks around the mean of their step */
} run_class_t;

typedef struct {
	GHashTable *classes; /**< key -> run_class_t */
} run_times_t;

/** What the ended runs of a step tell about its other tasks. */
typedef struct {
	double sum;	/**< of the logarithms of their times in ms */
	uint32_t count; /**< number of runs */
} run_sample_t;

/** Estimate for the tasks of a step. */
typedef struct {
	double mean_ms;
	double longest_ms; /**< of the step's longest task */
} run_estimate_t;

void run_times_init(run_times_t *times);
void run_times_finish(run_times_t *times);
/**
 * @param organisation "" for none
 * @param queue distinguishes the queues of an organisation
 * @return the class, or NULL when there are too many
 */
run_class_t *run_times_class(run_times_t *times, const char *organisation, const char *queue);
/**
 * Learns from a run.
 * @param sample of the run's step; NULL: the run is not added to it
 * @param declared_ms above 0
 * @param run_ms time from its start to its end; above 0
 * @param complete false: the run was ended after run_ms, so that it would have taken longer
 * @param tasks number of tasks of the step, which count as one observation together
 */
void run_times_learn(run_class_t *known, run_sample_t *sample, uint32_t declared_ms, double run_ms,
		     bool complete, uint32_t tasks);
/**
 * @param known NULL: the estimate is the declared time
 * @param sample NULL: no run of the step has ended
 */
run_estimate_t run_times_estimate(const run_class_t *known, const run_sample_t *sample,
				  uint32_t declared_ms, uint32_t tasks);
