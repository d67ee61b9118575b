#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <math.h>

#include <glib.h>

#include "run_times.h"

#define SEED 7
#define TASKS 8

typedef struct {
	run_times_t times;
	run_class_t *known;
	GRand *rand;
} fixture_t;

static double draw_normal(GRand *rand)
{
	double u = 1.0 - g_rand_double(rand);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * g_rand_double(rand));
}

/* A step: its true mean time, and what is declared for it. */
typedef struct {
	double true_ms;
	uint32_t declared_ms;
	run_sample_t sample;
} played_step_t;

/* @param error standard deviation of the logarithm of declared to true times */
static played_step_t draw_step(fixture_t *f, double error)
{
	played_step_t step = {.true_ms = 800 * exp(0.45 * draw_normal(f->rand))};

	step.declared_ms = (uint32_t)(step.true_ms * exp(error * draw_normal(f->rand))) + 1;
	return step;
}

static double draw_run(fixture_t *f, const played_step_t *step)
{
	return step->true_ms * exp(0.27 * draw_normal(f->rand));
}

static void learn_steps(fixture_t *f, unsigned count, double error)
{
	for (unsigned i = 0; i < count; i++) {
		played_step_t step = draw_step(f, error);

		for (unsigned j = 0; j < TASKS; j++)
			run_times_learn(f->known, &step.sample, step.declared_ms,
					draw_run(f, &step), true, TASKS);
	}
}

/* @return mean error of the estimates of steps of which done tasks have ended: the logarithm of
 * estimated to true time, without its sign */
static double mean_error(fixture_t *f, const run_class_t *known, double error, unsigned done)
{
	enum {
		STEPS = 400
	};
	double sum = 0;

	for (unsigned i = 0; i < STEPS; i++) {
		played_step_t step = draw_step(f, error);
		run_estimate_t estimate;

		for (unsigned j = 0; j < done; j++) {
			step.sample.sum += log(draw_run(f, &step));
			step.sample.count++;
		}
		estimate = run_times_estimate(known, &step.sample, step.declared_ms, TASKS);
		sum += fabs(log(estimate.mean_ms / step.true_ms));
	}
	return sum / STEPS;
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);

	run_times_init(&f->times);
	f->known = run_times_class(&f->times, "org", "/q/");
	f->rand = g_rand_new_with_seed(SEED);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	run_times_finish(&f->times);
	g_rand_free(f->rand);
	g_free(f);
	return 0;
}

/* Guards against an estimate that is worse than the declared time while nothing is known. */
static void test_unknown_classes_are_as_declared(void **state)
{
	const fixture_t *f = *state;
	run_estimate_t estimate = run_times_estimate(f->known, NULL, 700, TASKS);

	assert_true(estimate.mean_ms == 700 && estimate.longest_ms == 700);
	estimate = run_times_estimate(NULL, NULL, 700, TASKS);
	assert_true(estimate.mean_ms == 700 && estimate.longest_ms == 700);
}

/* Guards against estimates that follow declared times which say little, and against ignoring those
 * that say much. */
static void test_estimates_are_closer_than_declared_times(void **state)
{
	static const double errors[] = {0.9, 0.5, 0.15};

	for (size_t i = 0; i < G_N_ELEMENTS(errors); i++) {
		fixture_t *f;
		double declared;
		double learned;
		double with_runs;

		set_up((void **)&f);
		learn_steps(f, 60, errors[i]);
		declared = mean_error(f, NULL, errors[i], 0);
		learned = mean_error(f, f->known, errors[i], 0);
		with_runs = mean_error(f, f->known, errors[i], 3);
		print_message("declared with error %.2f: mean error %.2f, learned %.2f, after "
			      "three tasks of the step %.2f\n",
			      errors[i], declared, learned, with_runs);
		assert_true(learned < declared * (errors[i] > 0.4 ? 0.8 : 1.15));
		assert_true(with_runs < learned);
		tear_down((void **)&f);
	}
}

/* Guards against a class that keeps its old times after they have shifted. */
static void test_shifts_are_followed(void **state)
{
	fixture_t *f = *state;
	double before;
	double after;

	for (unsigned i = 0; i < 500; i++)
		run_times_learn(f->known, NULL, 1000, 1000, true, TASKS);
	before = run_times_estimate(f->known, NULL, 1000, TASKS).mean_ms;
	for (unsigned i = 0; i < 960; i++)
		run_times_learn(f->known, NULL, 1000, 3000, true, TASKS);
	after = run_times_estimate(f->known, NULL, 1000, TASKS).mean_ms;
	print_message("1 s, then 3 s: %.0f ms, then %.0f ms\n", before, after);
	assert_true(before > 800 && before < 1300);
	assert_true(after > 2000);
}

/* Guards against one absurd run, or one that is made up, which moves what others can expect. */
static void test_absurd_runs_move_little(void **state)
{
	fixture_t *f = *state;
	run_class_t *other = run_times_class(&f->times, "other", "/q/");
	double before;

	learn_steps(f, 60, 0.5);
	before = run_times_estimate(f->known, NULL, 800, TASKS).mean_ms;
	run_times_learn(f->known, NULL, 800, 3600000, true, 1);
	assert_true(run_times_estimate(f->known, NULL, 800, TASKS).mean_ms < before * 1.1);
	for (unsigned i = 0; i < 1000; i++)
		run_times_learn(other, NULL, 1, 3600000, true, 1);
	assert_true(run_times_estimate(f->known, NULL, 800, TASKS).mean_ms < before * 1.1);
	assert_true(isfinite(run_times_estimate(other, NULL, 800, TASKS).mean_ms));
}

/* Guards against times that seem shorter because long runs are stopped before they end. */
static void test_stopped_runs_do_not_shorten_the_estimate(void **state)
{
	fixture_t *f = *state;
	fixture_t *naive;
	double unbiased;
	double biased;

	set_up((void **)&naive);
	for (unsigned i = 0; i < 400; i++) {
		played_step_t step = {.true_ms = 800, .declared_ms = 800};
		double run_ms = step.true_ms * exp(0.6 * draw_normal(f->rand));
		bool stopped = run_ms > 900;

		run_times_learn(f->known, NULL, 800, MIN(run_ms, 900), !stopped, 1);
		if (!stopped)
			run_times_learn(naive->known, NULL, 800, run_ms, true, 1);
	}
	unbiased = run_times_estimate(f->known, NULL, 800, 1).mean_ms;
	biased = run_times_estimate(naive->known, NULL, 800, 1).mean_ms;
	print_message("runs of 958 ms on average, stopped at 900 ms: %.0f ms, without the "
		      "stopped ones %.0f ms\n",
		      unbiased, biased);
	assert_true(unbiased > 800);
	assert_true(biased < 700);
	tear_down((void **)&naive);
}

/* Guards against memory that grows with the number of names that callers make up. */
static void test_number_of_classes_is_bounded(void **state)
{
	fixture_t *f = *state;
	char name[16];

	for (unsigned i = 0; i < RUN_TIMES_CLASSES_MAX + 10; i++) {
		g_snprintf(name, sizeof(name), "o%u", i);
		run_times_class(&f->times, name, "/q/");
	}
	assert_int_equal(g_hash_table_size(f->times.classes), RUN_TIMES_CLASSES_MAX);
	assert_null(run_times_class(&f->times, "late", "/q/"));
	assert_ptr_equal(run_times_class(&f->times, "org", "/q/"), f->known);
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_unknown_classes_are_as_declared),
		cmocka_unit_test(test_estimates_are_closer_than_declared_times),
		CASE(test_shifts_are_followed),
		CASE(test_absurd_runs_move_little),
		CASE(test_stopped_runs_do_not_shorten_the_estimate),
		CASE(test_number_of_classes_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
