#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <math.h>

#include <glib.h>

#include "batch_forecast.h"
#include "clock.h"

#define POOLS 4
#define HORIZON_US (3 * US_PER_S)
#define JOB_CORE_S 20.0
#define SURGE_JOBS_PER_S 40
#define STEP_MS 200

static const char *const names[POOLS] = {"a", "b", "c", "d"};

typedef struct {
	forecast_t forecast;
	GRand *rand;
	uint64_t now_us;
} fixture_t;

static void fixture_init(fixture_t *fixture, guint32 seed)
{
	forecast_init(&fixture->forecast);
	fixture->rand = g_rand_new_with_seed(seed);
	fixture->now_us = 100 * US_PER_S;
}

static void fixture_finish(fixture_t *fixture)
{
	forecast_finish(&fixture->forecast);
	g_rand_free(fixture->rand);
}

/* Adds a step in which the surging pool gets SURGE_JOBS_PER_S, and each other pool a job in a
 * hundred steps. @param surging -1: none */
static void play_step(fixture_t *fixture, int surging)
{
	unsigned mean = SURGE_JOBS_PER_S * STEP_MS / 1000;

	for (int i = 0; i < POOLS; i++) {
		unsigned jobs =
			i == surging ? (unsigned)g_rand_int_range(fixture->rand, (gint32)mean - 3,
								  (gint32)mean + 4)
				     : g_rand_int_range(fixture->rand, 0, 100) == 0;

		while (jobs-- > 0)
			forecast_add(&fixture->forecast, names[i], JOB_CORE_S);
	}
	fixture->now_us += STEP_MS * US_PER_MS;
	forecast_advance(&fixture->forecast, fixture->now_us);
}

static void play(fixture_t *fixture, int surging, unsigned ms)
{
	for (unsigned i = 0; i < ms / STEP_MS; i++)
		play_step(fixture, surging);
}

static forecast_outlook_t outlook(const fixture_t *fixture, int pool)
{
	return forecast_outlook(&fixture->forecast, names[pool], fixture->now_us, HORIZON_US);
}

/* Guards against a surge that is noticed only once its jobs have piled up. */
static void test_surge_shows_within_400_ms(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, 1);
	play(&fixture, -1, 5000);
	assert_int_equal(outlook(&fixture, 0).state, FORECAST_POSSIBLE);
	play(&fixture, 0, 400);
	assert_int_equal(outlook(&fixture, 0).state, FORECAST_SURGING);
	assert_true(fabs(outlook(&fixture, 0).arriving_cores - SURGE_JOBS_PER_S * JOB_CORE_S) <
		    0.4 * SURGE_JOBS_PER_S * JOB_CORE_S);
	play(&fixture, 0, 3600);
	play(&fixture, -1, 1400);
	assert_int_not_equal(outlook(&fixture, 0).state, FORECAST_SURGING);
	fixture_finish(&fixture);
}

/* Guards against a single large job that counts as a surge. */
static void test_single_job_is_no_surge(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, 2);
	play(&fixture, 0, 4000);
	play(&fixture, -1, 4000);
	forecast_add(&fixture.forecast, names[1], 50 * JOB_CORE_S);
	play(&fixture, -1, 200);
	assert_int_not_equal(outlook(&fixture, 1).state, FORECAST_SURGING);
	fixture_finish(&fixture);
}

/* Guards against a reserve that comes after the surge: once the pools have surged by turns, each
 * surge is due before it begins, and only for the pool whose turn comes. */
static void test_turns_are_predicted(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, 3);
	for (unsigned turn = 0; turn < 12; turn++) {
		int surging = (int)(turn % POOLS);
		int next = (surging + 1) % POOLS;

		play(&fixture, surging, 2000);
		if (turn >= POOLS)
			assert_int_equal(outlook(&fixture, (surging + 2) % POOLS).state,
					 FORECAST_UNLIKELY);
		play(&fixture, surging, 1600);
		if (turn >= POOLS) {
			assert_int_equal(outlook(&fixture, next).state, FORECAST_DUE);
			assert_true(outlook(&fixture, next).surge_cores >
				    0.7 * SURGE_JOBS_PER_S * JOB_CORE_S);
		}
		play(&fixture, surging, 400);
	}
	assert_true(fixture.forecast.hits >= 4);
	assert_true(fixture.forecast.misses <= 1);
	fixture_finish(&fixture);
}

/* Guards against predictions that are kept although the turns have changed: with the order and the
 * duration drawn anew each time, no pool is called unlikely for long. */
static void test_wrong_predictions_are_dropped(void **state)
{
	fixture_t fixture;
	unsigned wrong = 0;
	unsigned due = 0;

	fixture_init(&fixture, 4);
	for (unsigned turn = 0; turn < 40; turn++) {
		int surging = g_rand_int_range(fixture.rand, 0, POOLS);
		forecast_state_t before = outlook(&fixture, surging).state;

		wrong += turn > 10 && before == FORECAST_UNLIKELY;
		play(&fixture, surging, 1000U * (unsigned)g_rand_int_range(fixture.rand, 2, 9));
		play(&fixture, -1, 1000U * (unsigned)g_rand_int_range(fixture.rand, 1, 6));
	}
	print_message("%u of 29 surges called unlikely, %u hits, %u misses\n", wrong,
		      fixture.forecast.hits, fixture.forecast.misses);
	assert_true(wrong <= 29 / 4);
	/* When the pools surge by turns from now on, the predictions are used again. */
	for (unsigned turn = 0; turn < 24; turn++) {
		due += turn >= 20 && outlook(&fixture, (int)(turn % POOLS)).state == FORECAST_DUE;
		play(&fixture, (int)(turn % POOLS), 4000);
	}
	assert_true(due >= 3);
	fixture_finish(&fixture);
}

/* Guards against a period that is learnt once and kept: when it changes, the next surges are
 * predicted again after one round. */
static void test_changed_period_is_learnt(void **state)
{
	fixture_t fixture;
	unsigned due = 0;

	fixture_init(&fixture, 5);
	for (unsigned turn = 0; turn < 28; turn++) {
		int surging = (int)(turn % POOLS);
		unsigned turn_ms = turn < 12 ? 4000 : 7000;

		due += turn >= 20 && outlook(&fixture, surging).state == FORECAST_DUE;
		play(&fixture, surging, turn_ms);
	}
	assert_true(due >= 6);
	fixture_finish(&fixture);
}

/* Guards against a process that was paused and takes the arrivals of its pause for a surge. */
static void test_pause_is_no_surge(void **state)
{
	fixture_t fixture;

	fixture_init(&fixture, 6);
	play(&fixture, 0, 4000);
	play(&fixture, -1, 6000);
	for (unsigned i = 0; i < 10; i++)
		forecast_add(&fixture.forecast, names[1], JOB_CORE_S);
	fixture.now_us += 5 * US_PER_S;
	forecast_advance(&fixture.forecast, fixture.now_us);
	assert_int_not_equal(outlook(&fixture, 1).state, FORECAST_SURGING);
	fixture_finish(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_surge_shows_within_400_ms),
		cmocka_unit_test(test_single_job_is_no_surge),
		cmocka_unit_test(test_turns_are_predicted),
		cmocka_unit_test(test_wrong_predictions_are_dropped),
		cmocka_unit_test(test_changed_period_is_learnt),
		cmocka_unit_test(test_pause_is_no_surge),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
