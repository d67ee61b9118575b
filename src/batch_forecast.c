#include "batch_forecast.h"

#include <string.h>

#include <glib.h>

#include "clock.h"

/* A surge begins when the arriving work exceeds this multiple of its long-term mean, in at least
 * SURGE_JOBS_MIN jobs a second: a single large job is no surge. */
#define SURGE_START_FACTOR 2.0
#define SURGE_JOBS_MIN 3
/* Demand below this share of the highest demand of any pool is no surge. */
#define SURGE_FLOOR_SHARE 0.1
/* Time constant with which the highest demand is forgotten. */
#define PEAK_US (60 * US_PER_S)
/* A surge ends when the work arriving in a second falls below this share of the surge's mean. */
#define SURGE_END_SHARE 0.3
/* Time constant of the long-term mean, longer than a surge and about the time between two. */
#define MEAN_US (15 * US_PER_S)
/* From this number of jobs in two steps on, the rate is taken from these steps instead of a whole
 * second, so that a surge of small jobs shows within 400 ms. */
#define FAST_RATE_JOBS 8
/* From this number of predictions on, older ones count half, so that demands that begin to turn are
 * trusted again after some turns. */
#define JUDGED_MAX 12
/* Largest error of a prediction that counts as a hit. */
#define HIT_TOLERANCE_US (1000 * US_PER_MS)

void forecast_init(forecast_t *forecast)
{
	*forecast = (forecast_t){0};
	LIST_INIT(&forecast->pools);
}

void forecast_finish(forecast_t *forecast)
{
	forecast_pool_t *pool;

	while ((pool = LIST_FIRST(&forecast->pools)) != NULL) {
		LIST_REMOVE(pool, link);
		g_free(pool);
	}
}

static forecast_pool_t *find_pool(const forecast_t *forecast, const char *name)
{
	forecast_pool_t *pool;

	LIST_FOREACH (pool, &forecast->pools, link) {
		if (strcmp(pool->name, name) == 0)
			return pool;
	}
	return NULL;
}

void forecast_add(forecast_t *forecast, const char *name, double core_s)
{
	forecast_pool_t *pool = find_pool(forecast, name);

	if (pool == NULL) {
		pool = g_new0(forecast_pool_t, 1);
		g_strlcpy(pool->name, name, sizeof(pool->name));
		LIST_INSERT_HEAD(&forecast->pools, pool, link);
	}
	pool->work[forecast->step] += core_s;
	pool->jobs[forecast->step]++;
	if (pool->surging)
		pool->surges[0].work += core_s;
}

/* Arrivals of a pool in the last steps. */
typedef struct {
	double cores; /* work that arrived, divided by the duration of the steps */
	double work;
	unsigned jobs;
} arrivals_t;

static arrivals_t sum_steps(const forecast_t *forecast, const forecast_pool_t *pool, size_t steps)
{
	arrivals_t sum = {0};
	uint64_t duration_us = 0;

	for (size_t i = 0; i < steps; i++) {
		size_t step = (forecast->step + FORECAST_STEPS - i) % FORECAST_STEPS;

		sum.work += pool->work[step];
		sum.jobs += pool->jobs[step];
		duration_us += forecast->step_us[step];
	}
	sum.cores = sum.work * US_PER_S / (double)MAX(duration_us, FORECAST_STEP_US);
	return sum;
}

static double surge_cores(const forecast_surge_t *surge, uint64_t now_us)
{
	uint64_t end_us = surge->end_us != 0 ? surge->end_us : now_us;
	uint64_t duration_us = MAX(end_us - surge->start_us, FORECAST_STEPS * FORECAST_STEP_US);

	return surge->work * US_PER_S / duration_us;
}

/* --- predictions --- */

/* @return the first of the pool's surges that began after the given time, or NULL */
static const forecast_surge_t *first_surge_after(const forecast_pool_t *pool, uint64_t time_us)
{
	const forecast_surge_t *found = NULL;

	for (size_t i = 0; i < pool->surge_count; i++) {
		if (pool->surges[i].start_us > time_us)
			found = &pool->surges[i];
	}
	return found;
}

/* @return time of the pool's next surge by that of another pool, which began since: it follows as
 * long after as it did the time before; 0: unknown */
static uint64_t predict_from(const forecast_pool_t *pool, const forecast_pool_t *leading)
{
	const forecast_surge_t *followed;

	if (leading->surge_count < 2 || pool->surge_count == 0 ||
	    leading->surges[0].start_us <= pool->surges[0].start_us)
		return 0;
	followed = first_surge_after(pool, leading->surges[1].start_us);
	if (followed == NULL || followed->start_us >= leading->surges[0].start_us)
		return 0;
	return leading->surges[0].start_us + followed->start_us - leading->surges[1].start_us;
}

/* @return time of the next surge if the pools go on surging in rotation, and the pool's turn comes
 * next: as long after the latest surge as the surges of the round were apart; 0: it does not */
static uint64_t predict_rotation(const forecast_t *forecast, const forecast_pool_t *pool)
{
	const forecast_pool_t *other;
	uint64_t earliest_us = UINT64_MAX;
	uint64_t latest_us = 0;
	unsigned count = 0;

	LIST_FOREACH (other, &forecast->pools, link) {
		if (other->surge_count == 0)
			return 0;
		earliest_us = MIN(earliest_us, other->surges[0].start_us);
		latest_us = MAX(latest_us, other->surges[0].start_us);
		count++;
	}
	if (count < 2 || pool->surges[0].start_us != earliest_us)
		return 0;
	return latest_us + (latest_us - earliest_us) / (count - 1);
}

/* Predicts the pool's next surge from the pool that surged last and is known to come before it, or
 * else from the time between the pool's own surges, or else from the rotation of all pools. */
static uint64_t predict(const forecast_t *forecast, const forecast_pool_t *pool)
{
	const forecast_pool_t *leading;
	uint64_t latest_us = 0;
	uint64_t predicted_us = 0;

	if (pool->surging)
		return 0;
	LIST_FOREACH (leading, &forecast->pools, link) {
		uint64_t time_us = leading != pool ? predict_from(pool, leading) : 0;

		if (time_us != 0 && leading->surges[0].start_us > latest_us) {
			latest_us = leading->surges[0].start_us;
			predicted_us = time_us;
		}
	}
	if (predicted_us == 0 && pool->surge_count >= 2)
		predicted_us = 2 * pool->surges[0].start_us - pool->surges[1].start_us;
	if (predicted_us == 0)
		predicted_us = predict_rotation(forecast, pool);
	return predicted_us;
}

/* Predictions are used while at least as many have come true as have not. */
static bool is_trusted(const forecast_t *forecast)
{
	return forecast->misses <= forecast->hits;
}

static void count_prediction(forecast_t *forecast, bool hit)
{
	if (hit)
		forecast->hits++;
	else
		forecast->misses++;
	if (forecast->hits + forecast->misses > JUDGED_MAX) {
		forecast->hits /= 2;
		forecast->misses /= 2;
	}
}

static void judge_prediction(forecast_t *forecast, const forecast_pool_t *pool, uint64_t now_us)
{
	uint64_t error_us = now_us > pool->predicted_us ? now_us - pool->predicted_us
							: pool->predicted_us - now_us;

	if (pool->predicted_us == 0)
		return;
	count_prediction(forecast, error_us <= HIT_TOLERANCE_US);
}

/* --- surges --- */

/* Begins a new round once the surge of a pool shows that the present one is over. */
static void update_round(forecast_t *forecast, forecast_pool_t *surging)
{
	forecast_pool_t *pool;
	bool all = true;

	LIST_FOREACH (pool, &forecast->pools, link)
		all &= pool->surged_in_round;
	if (surging->surged_in_round && !all)
		count_prediction(forecast, false);
	if (surging->surged_in_round || all) {
		LIST_FOREACH (pool, &forecast->pools, link)
			pool->surged_in_round = false;
	}
	surging->surged_in_round = true;
}

static void begin_surge(forecast_t *forecast, forecast_pool_t *pool, uint64_t now_us, double work)
{
	judge_prediction(forecast, pool, now_us);
	update_round(forecast, pool);
	pool->surging = true;
	pool->surge_count = MIN(pool->surge_count + 1, FORECAST_SURGES);
	memmove(&pool->surges[1], &pool->surges[0],
		(FORECAST_SURGES - 1) * sizeof(pool->surges[0]));
	pool->surges[0] = (forecast_surge_t){.start_us = now_us, .work = work};
}

static void update_surge(forecast_t *forecast, forecast_pool_t *pool, uint64_t now_us)
{
	arrivals_t fast = sum_steps(forecast, pool, 2);
	arrivals_t second = sum_steps(forecast, pool, FORECAST_STEPS);
	uint64_t step_us = forecast->step_us[forecast->step];

	if (fast.jobs >= FAST_RATE_JOBS)
		pool->arriving_cores = fast.cores;
	else if (pool->surging && second.jobs < FAST_RATE_JOBS)
		/* A few large jobs: a single second says little about their rate. */
		pool->arriving_cores = MIN(surge_cores(&pool->surges[0], now_us), 2 * second.cores);
	else
		pool->arriving_cores = second.cores;
	forecast->peak_cores = MAX(forecast->peak_cores, pool->arriving_cores);
	if (!pool->surging) {
		if (pool->arriving_cores > SURGE_START_FACTOR * pool->mean_cores &&
		    pool->arriving_cores > SURGE_FLOOR_SHARE * forecast->peak_cores &&
		    second.jobs >= SURGE_JOBS_MIN)
			begin_surge(forecast, pool, now_us, second.work);
	} else if (second.cores < SURGE_END_SHARE * surge_cores(&pool->surges[0], now_us) &&
		   now_us > pool->surges[0].start_us + FORECAST_STEPS * FORECAST_STEP_US) {
		pool->surging = false;
		/* Most of the second over which the arrivals are added up lies after the end. */
		pool->surges[0].end_us = now_us - FORECAST_STEPS * FORECAST_STEP_US * 3 / 4;
	}
	pool->mean_cores +=
		(pool->work[forecast->step] * US_PER_S / (double)step_us - pool->mean_cores) *
		(double)MIN(step_us, MEAN_US) / MEAN_US;
}

static void update_prediction(forecast_t *forecast, forecast_pool_t *pool, uint64_t now_us)
{
	uint64_t predicted_us = predict(forecast, pool);

	if (predicted_us != 0 && now_us > predicted_us + HIT_TOLERANCE_US) {
		/* The surge has not come. It counts once: the prediction is dropped, and made again
		 * only after another surge. */
		if (pool->predicted_us != 0)
			count_prediction(forecast, false);
		predicted_us = 0;
	}
	pool->predicted_us = predicted_us;
}

void forecast_advance(forecast_t *forecast, uint64_t now_us)
{
	forecast_pool_t *pool;

	if (forecast->step_start_us == 0)
		forecast->step_start_us = now_us;
	if (now_us < forecast->step_start_us + FORECAST_STEP_US)
		return;
	forecast->step_us[forecast->step] = now_us - forecast->step_start_us;
	forecast->step_start_us = now_us;
	forecast->peak_cores -= forecast->peak_cores * (double)FORECAST_STEP_US / (double)PEAK_US;
	LIST_FOREACH (pool, &forecast->pools, link)
		update_surge(forecast, pool, now_us);
	LIST_FOREACH (pool, &forecast->pools, link)
		update_prediction(forecast, pool, now_us);
	forecast->step = (forecast->step + 1) % FORECAST_STEPS;
	forecast->step_us[forecast->step] = 0;
	LIST_FOREACH (pool, &forecast->pools, link) {
		pool->work[forecast->step] = 0;
		pool->jobs[forecast->step] = 0;
	}
}

/* True when the surge of a pool that surges for the second time at least ends within the horizon,
 * if it lasts as long as the last one. */
static bool surge_ends(const forecast_pool_t *pool, uint64_t now_us, uint64_t horizon_us)
{
	const forecast_surge_t *last = &pool->surges[1];

	return now_us + horizon_us >= pool->surges[0].start_us + (last->end_us - last->start_us);
}

static forecast_state_t outlook_state(const forecast_t *forecast, const forecast_pool_t *pool,
				      uint64_t now_us, uint64_t horizon_us)
{
	if (pool->surging)
		return FORECAST_SURGING;
	if (!is_trusted(forecast))
		return FORECAST_POSSIBLE;
	if (pool->predicted_us != 0)
		return now_us + horizon_us >= pool->predicted_us ? FORECAST_DUE : FORECAST_UNLIKELY;
	return pool->surged_in_round ? FORECAST_UNLIKELY : FORECAST_POSSIBLE;
}

forecast_outlook_t forecast_outlook(const forecast_t *forecast, const char *name, uint64_t now_us,
				    uint64_t horizon_us)
{
	const forecast_pool_t *pool = find_pool(forecast, name);
	forecast_outlook_t outlook = {.state = FORECAST_POSSIBLE};

	if (pool == NULL)
		return outlook;
	outlook.state = outlook_state(forecast, pool, now_us, horizon_us);
	outlook.arriving_cores = pool->arriving_cores;
	if (!pool->surging && pool->surge_count > 0) {
		outlook.surge_cores = surge_cores(&pool->surges[0], now_us);
	} else if (pool->surging && pool->surge_count >= 2) {
		outlook.surge_cores = surge_cores(&pool->surges[1], now_us);
		outlook.ending = surge_ends(pool, now_us, horizon_us);
	}
	return outlook;
}
