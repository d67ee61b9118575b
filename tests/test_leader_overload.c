/*
 * Plays loads that exceed what the leader's processor can serve, while the VMs have room to spare.
 * The unit of load is the rate of jobs that keeps the leader busy all the time, at the processor
 * time that a job takes at a load that is served.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "lib_load_play.h"
#include "lib_vm_sim.h"

#define IN_TIME_GOAL 0.95
#define SERVICES 2
/* Load that an idle leader serves in time, in jobs a second. */
#define SERVED_RATE_PER_S 360.0
#define LOAD_S 16
#define CRASH_S 8
/* Time within which a long-running task must run again. */
#define RESTART_S 3.0

static const load_play_t base = {
	.services = SERVICES,
	.vms_per_service = 40,
	.standby_vms = 4,
	.platform_requests_per_s = 64,
	.service = {{SERVED_RATE_PER_S / SERVICES, 1, 4, 1000, 400},
		    {SERVED_RATE_PER_S / SERVICES, 1, 4, 1000, 400}},
	.turn_ms = 4000,
	.surge = 1,
	.between = 1,
	.duration_ms = LOAD_S * 1000,
	.long_running = 8,
	.crash_ms = CRASH_S * 1000,
	.processor = {.message_us = 150, .commit_us = 300, .candidate_ns = 500},
	.seed = 1,
};

static void play(const load_play_t *load, load_result_t *result)
{
	load_play(load, result);
	print_message("%.0f jobs/s: %u jobs, %u in time, %u late, %u ended, share %.3f, busy %.3f, "
		      "longest wait %.3f s, restart %.2f s, longest job %.1f s, moves %u\n",
		      load->service[0].rate_per_s * load->services, result->jobs, result->in_time,
		      result->late, result->ended, result->in_time_share, result->busy_share,
		      result->longest_wait_s, result->restart_s, result->longest_late_s,
		      (unsigned)result->moves);
	for (guint i = 0; i < result->by_second->len; i++)
		print_message("%.2f ", g_array_index(result->by_second, double, i));
	print_message("\n");
	assert_string_equal(result->violations, "");
}

/* @return the load that keeps the leader busy all the time, in jobs a second */
static double full_load(void)
{
	static double rate_per_s;
	load_play_t load = base;
	load_result_t result;

	if (rate_per_s > 0)
		return rate_per_s;
	load.crash_ms = 0;
	play(&load, &result);
	assert_true(result.in_time_share >= IN_TIME_GOAL);
	rate_per_s = SERVED_RATE_PER_S / result.busy_share;
	load_result_finish(&result);
	return rate_per_s;
}

/* @return share of the jobs that an ideal leader has in time. It takes every job from its queue and
 * commits it, which takes a part of the time, and has the time that is left for the starts and ends
 * of as many jobs as it can serve. */
static double ideal_share(double load, double full_per_s)
{
	const vm_sim_processor_t *processor = &base.processor;
	double accept_s = (2.0 * processor->message_us + processor->commit_us) / 1e6;
	double job_s = 1.0 / full_per_s;
	double accepted_per_s = load * full_per_s;

	return (1.0 - accepted_per_s * accept_s) / (job_s - accept_s) / accepted_per_s;
}

static void play_load(double full_per_s, double factor, load_result_t *result)
{
	load_play_t load = base;

	for (unsigned i = 0; i < SERVICES; i++)
		load.service[i].rate_per_s = factor * full_per_s / SERVICES;
	play(&load, result);
}

static void check_gradual_fall(double factor)
{
	load_result_t result;
	double full_per_s = full_load();
	double ideal = ideal_share(factor, full_per_s);

	play_load(full_per_s, factor, &result);
	print_message("ideal leader: %.3f\n", ideal);
	assert_true(result.in_time_share >= ideal / 2);
	/* Late jobs end too. */
	assert_int_equal(result.ended, result.jobs);
	assert_true(result.restart_s >= 0 && result.restart_s <= RESTART_S);
	load_result_finish(&result);
}

/* Guards against a leader that loses most jobs although half as many more than it can serve come.
 */
static void test_fall_is_gradual_at_one_and_a_half_times_the_load(void **state)
{
	check_gradual_fall(1.5);
}

/* Guards against a leader that serves almost no job when twice as many as it can serve come. */
static void test_fall_is_gradual_at_twice_the_load(void **state)
{
	check_gradual_fall(2.0);
}

/* Guards against machines that move to and fro between pools whose waiting work the leader cannot
 * start anyway: one move for each machine is enough for any distribution of an even load. */
static void test_machines_stay_while_the_leader_is_behind(void **state)
{
	load_result_t result;

	play_load(full_load(), 2.0, &result);
	assert_in_range(result.moves, 0, SERVICES * base.vms_per_service + base.standby_vms);
	load_result_finish(&result);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fall_is_gradual_at_one_and_a_half_times_the_load),
		cmocka_unit_test(test_fall_is_gradual_at_twice_the_load),
		cmocka_unit_test(test_machines_stay_while_the_leader_is_behind),
	};

	return cmocka_run_group_tests(tests, vm_sim_set_up, NULL);
}
