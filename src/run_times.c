#include "run_times.h"

#include <math.h>
#include <string.h>

/* Weight, in steps, of the assumption that times are as declared. */
#define PRIOR_STEPS 4.0
/* Spread of declared times that the prior of the slope assumes. */
#define PRIOR_VARIANCE_X 0.5
/* Weight from which on older runs are forgotten. */
#define STEPS_MAX 60.0
/* Spread of a class without runs: of steps around what is declared, and of tasks in a step. */
#define PRIOR_BETWEEN 0.2
#define PRIOR_WITHIN 0.05
#define WITHIN_MIN 0.005
/* A residual counts up to this multiple of the standard deviation. */
#define RESIDUAL_MAX 2.5
/* Weight of one run in the moving averages of the spreads, for a step of one task. */
#define SPREAD_WEIGHT 0.05
/* Until a class has this weight, a residual counts in full: the first runs show a ratio that may be
 * far from 1. */
#define LEARNING_STEPS 6.0

void run_times_init(run_times_t *times)
{
	times->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void run_times_finish(run_times_t *times)
{
	g_hash_table_destroy(times->classes);
	times->classes = NULL;
}

run_class_t *run_times_class(run_times_t *times, const char *organisation, const char *queue)
{
	g_autofree char *key = g_strdup_printf("%s\n%s", organisation, queue);
	run_class_t *known = g_hash_table_lookup(times->classes, key);

	if (known != NULL || g_hash_table_size(times->classes) >= RUN_TIMES_CLASSES_MAX)
		return known;
	known = g_new0(run_class_t, 1);
	known->between = PRIOR_BETWEEN;
	known->within = PRIOR_WITHIN;
	g_hash_table_insert(times->classes, g_steal_pointer(&key), known);
	return known;
}

/* @return expected logarithm of the time in ms of a task with the declared time exp(x) */
static double predict(const run_class_t *known, double x)
{
	double slope = known->covariance / (known->variance_x + PRIOR_STEPS * PRIOR_VARIANCE_X);
	double ratio = known->mean_ratio * known->weight / (known->weight + PRIOR_STEPS);

	return x + ratio + slope * (x - known->mean_x);
}

/* @return expected value of a standard normal variable that is above z */
static double mean_above(double z)
{
	double tail = 0.5 * erfc(z / M_SQRT2);

	/* Beyond this, the quotient loses its digits; the expectation is close to z. */
	if (z > 6)
		return z + 1 / z;
	return exp(-z * z / 2) / sqrt(2 * M_PI) / tail;
}

static void add_observation(run_class_t *known, double x, double ratio, double weight)
{
	double deviation;
	double share;

	if (known->weight + weight > STEPS_MAX) {
		double keep = STEPS_MAX / (known->weight + weight);

		known->weight *= keep;
		known->variance_x *= keep;
		known->covariance *= keep;
	}
	known->weight += weight;
	share = weight / known->weight;
	deviation = x - known->mean_x;
	known->mean_x += deviation * share;
	known->variance_x += weight * deviation * (x - known->mean_x);
	known->covariance += weight * deviation * (ratio - known->mean_ratio) * (1 - share);
	known->mean_ratio += (ratio - known->mean_ratio) * share;
}

void run_times_learn(run_class_t *known, run_sample_t *sample, uint32_t declared_ms, double run_ms,
		     bool complete, uint32_t tasks)
{
	double x = log(declared_ms);
	double expected = predict(known, x);
	double spread = sqrt(known->between + known->within);
	double y = log(run_ms);
	double residual;
	double weight = 1.0 / MAX(tasks, 1);

	if (!complete)
		y = expected + spread * mean_above((y - expected) / spread);
	residual = y - expected;
	if (known->weight >= LEARNING_STEPS)
		residual = CLAMP(residual, -RESIDUAL_MAX * spread, RESIDUAL_MAX * spread);
	add_observation(known, x, expected + residual - x, weight);
	if (complete && sample != NULL) {
		if (sample->count > 0) {
			double n = sample->count;
			double apart = y - sample->sum / n;

			/* The mean of n earlier tasks is itself off by the spread of one task over
			 * the root of n. */
			apart = CLAMP(apart, -RESIDUAL_MAX * spread, RESIDUAL_MAX * spread);
			known->within += SPREAD_WEIGHT * weight *
					 (apart * apart * n / (n + 1) - known->within);
			known->within = MAX(known->within, WITHIN_MIN);
		}
		sample->sum += y;
		sample->count++;
	}
	known->between += SPREAD_WEIGHT * weight *
			  (MAX(residual * residual - known->within, 0) - known->between);
}

/* @return expected value of the largest of n standard normal variables, for the uses of this module
 */
static double expected_largest(uint32_t n)
{
	return n > 1 ? 0.8 * sqrt(2 * log(n)) : 0;
}

run_estimate_t run_times_estimate(const run_class_t *known, const run_sample_t *sample,
				  uint32_t declared_ms, uint32_t tasks)
{
	double within = known != NULL ? known->within : PRIOR_WITHIN;
	run_estimate_t estimate = {.mean_ms = declared_ms, .longest_ms = declared_ms};
	double centre;
	double uncertainty;

	if (known == NULL || known->weight <= 0 || declared_ms == 0)
		return estimate;
	centre = predict(known, log(declared_ms));
	uncertainty = known->between;
	if (sample != NULL && sample->count > 0) {
		double of_sample = within / sample->count;

		centre = (centre * of_sample + sample->sum / sample->count * uncertainty) /
			 (of_sample + uncertainty);
		uncertainty *= of_sample / (of_sample + uncertainty);
	}
	estimate.mean_ms = exp(centre + (uncertainty + within) / 2);
	estimate.longest_ms =
		exp(centre + uncertainty / 2 + sqrt(within) * expected_largest(tasks));
	return estimate;
}
