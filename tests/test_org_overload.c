/*
 * Plays the surge of one organisation on the simulated fleet, and checks what the callers of the
 * others get.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "lib_load_play.h"
#include "lib_vm_sim.h"

/* While one organisation sends many times its usual, each other one still gets this. */
#define OTHERS_IN_TIME_GOAL 0.97
#define SURGE_S 20

/* @return share of the jobs in time of the organisation other than 0 that got the least */
static double least_share_of_others(const load_result_t *result, unsigned organisations)
{
	double least = 1;

	for (unsigned i = 1; i < organisations; i++)
		least = MIN(least, (double)result->org_in_time[i] / MAX(1, result->org_jobs[i]));
	return least;
}

/* Guards against one organisation whose surge makes the jobs of all others late: it sends seven
 * times its usual for 8 s, more than the room of the fleet. */
static void test_surge_of_one_organisation_leaves_the_others_their_share(void **state)
{
	load_play_t load = load_turns;
	load_result_t result;
	double least;

	load.organisations = 6;
	load.weights[0] = 35;
	for (unsigned i = 1; i < load.organisations; i++)
		load.weights[i] = 13;
	load.hot_ms = SURGE_S * 1000;
	load.hot_for_ms = 8000;
	load.hot = 7;
	load_play(&load, &result);
	assert_string_equal(result.violations, "");
	/* Late jobs end too. */
	assert_int_equal(result.ended, result.jobs);
	least = least_share_of_others(&result, load.organisations);
	for (unsigned i = 0; i < load.organisations; i++)
		print_message("organisation %u: %u of %u jobs in time\n", i, result.org_in_time[i],
			      result.org_jobs[i]);
	for (guint i = 0; i < result.others_by_second->len; i++)
		print_message("%.2f ", g_array_index(result.others_by_second, double, i));
	print_message("\nleast share of the others: %.3f\n", least);
	assert_true(least >= OTHERS_IN_TIME_GOAL);
	load_result_finish(&result);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_surge_of_one_organisation_leaves_the_others_their_share),
	};

	return cmocka_run_group_tests(tests, vm_sim_set_up, NULL);
}
