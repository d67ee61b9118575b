/*
 * Plays loads on the simulated fleet and checks what the callers get. The goals are those of the
 * project: 0.95 of the work in time within 5 s of a surge's end, and 0.95 at the start of a surge
 * that can be foreseen.
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
#define TURN_S 4
#define BURST_S 20
#define BURST_FOR_S 5
#define RECOVERY_S 5
#define LAST_S 39

static void play(const load_play_t *load, load_result_t *result)
{
	load_play(load, result);
	print_message("%u jobs, %u in time, %u late, %u ended, share %.3f, machines %.0f s, "
		      "moves %u, longest %.1f s\n",
		      result->jobs, result->in_time, result->late, result->ended,
		      result->in_time_share, result->machine_s, (unsigned)result->moves,
		      result->longest_late_s);
	for (guint i = 0; i < result->by_second->len; i++)
		print_message("%.2f ", g_array_index(result->by_second, double, i));
	print_message("\n");
	assert_string_equal(result->violations, "");
	/* Late jobs end too. */
	assert_int_equal(result->ended, result->jobs);
}

/* Guards against surges that outrun the machines although the pools surge by turns: from the second
 * round on, the first two seconds of each surge are in time. */
static void test_foreseen_surges_start_in_time(void **state)
{
	load_result_t result;
	double share = 0;
	unsigned count = 0;

	play(&load_turns, &result);
	for (unsigned second = 4 * TURN_S; second < LAST_S; second += TURN_S) {
		share += load_share_between(&result, second, second + 1);
		count++;
	}
	print_message("start of foreseen surges: %.3f\n", share / count);
	assert_true(share / count >= IN_TIME_GOAL);
	load_result_finish(&result);
}

/* Plays the load with a burst of all services, and checks the time after the recovery. */
static void check_recovery(load_play_t *load)
{
	load_result_t result;
	double share;

	load->burst_ms = BURST_S * 1000;
	load->burst_for_ms = BURST_FOR_S * 1000;
	load->burst = 6;
	play(load, &result);
	share = load_share_between(&result, BURST_S + BURST_FOR_S + RECOVERY_S, LAST_S);
	print_message("after the recovery: %.3f\n", share);
	assert_true(share >= IN_TIME_GOAL);
	load_result_finish(&result);
}

/* Guards against a fleet that stays behind after a burst of all services, because late work holds
 * the machines that the next surge needs. */
static void test_recovery_from_burst_between_turns(void **state)
{
	load_play_t load = load_turns;

	check_recovery(&load);
}

/* Guards against late work that gets ahead of work on time once it has waited for long: the demand
 * is even, half of the fleet's room, and three times the room for 5 s. */
static void test_recovery_from_burst_of_even_demand(void **state)
{
	load_play_t load = load_turns;

	load.surge = 1;
	load.between = 1;
	for (unsigned i = 0; i < load.services; i++)
		load.service[i].rate_per_s *= 1.8;
	check_recovery(&load);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_foreseen_surges_start_in_time),
		cmocka_unit_test(test_recovery_from_burst_between_turns),
		cmocka_unit_test(test_recovery_from_burst_of_even_demand),
	};

	return cmocka_run_group_tests(tests, vm_sim_set_up, NULL);
}
