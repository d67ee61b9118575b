/* Tests of the leader whose calls to the policy service are shared, on the simulated fleet. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "lib_vm_sim.h"

#define VMS 12
/* All VMs have reported by then. */
#define SUBMIT_MS 1800
/* Time after the end of the traffic at which the users ask for the jobs. */
#define FINISH_MS 14000
#define JOBS 30

static vm_sim_config_t advised_config(uint64_t seed, unsigned helpers)
{
	return (vm_sim_config_t){.services = 1,
				 .vms_per_service = VMS,
				 .advised = true,
				 .policy_decide_ms = 600,
				 .policy_per_vm_ms = 50,
				 .policy_helpers = helpers,
				 .seed = seed};
}

static vm_sim_t *start(const vm_sim_config_t *config)
{
	vm_sim_t *sim = vm_sim_create(config);

	vm_sim_set_policy(sim, 0, VMS * config->services, 0);
	vm_sim_run(sim, SUBMIT_MS);
	return sim;
}

static void submit(vm_sim_t *sim, const char *id, unsigned service, uint32_t count, bool gang)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;
	Lp__BatchJob job = LP__BATCH_JOB__INIT;
	Lp__BatchStep *list[] = {&step};

	step.count = count;
	step.cpu_milli = 500;
	step.mem_mib = 100;
	step.estimate_ms = 800;
	step.gang = gang;
	job.spec = (char *)"spec";
	job.steps = list;
	job.n_steps = 1;
	vm_sim_submit(sim, id, service, &job);
}

static void submit_many(vm_sim_t *sim, const char *name, unsigned jobs, uint32_t count, bool gang)
{
	for (unsigned i = 0; i < jobs; i++) {
		g_autofree char *id = g_strdup_printf("%s%u", name, i);

		submit(sim, id, 0, count, gang);
	}
}

static void check_begun(vm_sim_t *sim, const char *name, unsigned jobs)
{
	for (unsigned i = 0; i < jobs; i++) {
		g_autofree char *id = g_strdup_printf("%s%u", name, i);

		if (!vm_sim_job_begun(sim, id))
			print_message("%s has not begun\n", id);
		assert_true(vm_sim_job_begun(sim, id));
	}
	if (vm_sim_violations(sim)[0] != '\0')
		print_message("%s", vm_sim_violations(sim));
	assert_string_equal(vm_sim_violations(sim), "");
}

/* Submits jobs at once, and checks that all have begun when the users ask for them. */
static void play_burst(const vm_sim_config_t *config, unsigned jobs)
{
	vm_sim_t *sim = start(config);

	submit_many(sim, "j", jobs, 4, false);
	vm_sim_run(sim, SUBMIT_MS + FINISH_MS);
	check_begun(sim, "j", jobs);
	vm_sim_destroy(sim);
}

/* Guards against a single process that makes all calls: of jobs that come at once, some have
 * nothing running when the users ask for them. */
static void test_jobs_of_a_burst_start_in_time(void **state)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		vm_sim_config_t config = advised_config(seed, 3);

		play_burst(&config, JOBS);
		config.policy_helpers = 20;
		play_burst(&config, 2 * JOBS);
	}
}

/* Guards against requests that list so many VMs that one process cannot make them in time. */
static void test_short_requests_of_a_single_process(void **state)
{
	vm_sim_config_t config = advised_config(6, 0);

	play_burst(&config, 15);
	/* A service that handles the calls of all processes in turn. */
	config.policy_helpers = 20;
	config.policy_in_turn = true;
	play_burst(&config, 15);
	config.policy_waiting_max = 3;
	play_burst(&config, 15);
}

/* Guards against calls that are given up because the service takes longer than it declares. */
static void test_service_is_slower_than_declared(void **state)
{
	for (unsigned slowness = 2; slowness <= 4; slowness++) {
		vm_sim_config_t config = advised_config(10 + slowness, 7);

		config.policy_slowness = slowness;
		play_burst(&config, 16);
		config.policy_works_on = true;
		play_burst(&config, 16);
	}
}

/* Guards against gangs that wait for the calls of other jobs, or hold them up. */
static void test_gangs_beside_other_jobs(void **state)
{
	const vm_sim_config_t config = advised_config(20, 3);
	vm_sim_t *sim = start(&config);

	submit_many(sim, "j", 15, 4, false);
	submit_many(sim, "g", 6, 40, true);
	vm_sim_run(sim, SUBMIT_MS + FINISH_MS);
	check_begun(sim, "j", 15);
	check_begun(sim, "g", 6);
	vm_sim_destroy(sim);
}

/* Guards against tickets that expire while calls wait, whose renewals hold up all other calls. */
static void test_tickets_are_renewed_beside_other_jobs(void **state)
{
	static const uint32_t valid_ms[] = {20, 300, 700};

	for (size_t i = 0; i < G_N_ELEMENTS(valid_ms); i++) {
		vm_sim_config_t config = advised_config(30 + i, 3);
		vm_sim_t *sim;

		config.policy_valid_ms = valid_ms[i];
		sim = start(&config);
		submit_many(sim, "g", 2, 40, true);
		submit_many(sim, "j", 15, 4, false);
		vm_sim_run(sim, SUBMIT_MS + FINISH_MS);
		check_begun(sim, "j", 15);
		check_begun(sim, "g", 2);
		vm_sim_destroy(sim);
	}
}

/* Guards against a job of one queue that waits for the calls of all jobs of another one. */
static void test_job_of_another_queue_does_not_wait(void **state)
{
	vm_sim_config_t config = advised_config(40, 0);
	vm_sim_t *sim;

	config.services = 2;
	sim = start(&config);
	submit_many(sim, "j", JOBS, 4, false);
	vm_sim_run(sim, SUBMIT_MS + 2000);
	submit(sim, "other", 1, 4, false);
	/* One call is under way and one waits at the service. */
	vm_sim_run(sim, SUBMIT_MS + 2000 + 4000);
	assert_true(vm_sim_job_begun(sim, "other"));
	vm_sim_destroy(sim);
}

/* Guards against jobs that wait for processes which are frozen, gone, or cannot reach the service.
 */
static void test_helpers_that_do_not_answer(void **state)
{
	const vm_sim_config_t config = advised_config(50, 4);

	for (unsigned silent = 1; silent <= 4; silent++) {
		vm_sim_t *sim = start(&config);

		for (unsigned i = 1; i <= silent; i++)
			vm_sim_set_policy_helper(sim, i, true, false);
		submit_many(sim, "j", 12, 4, false);
		vm_sim_run(sim, SUBMIT_MS + FINISH_MS);
		check_begun(sim, "j", 12);
		vm_sim_destroy(sim);
	}
}

/* Guards against a leader that cannot reach the service itself, and leaves it at that. */
static void test_leader_is_cut_off_from_the_service(void **state)
{
	const vm_sim_config_t config = advised_config(55, 3);
	vm_sim_t *sim = start(&config);

	vm_sim_set_policy_helper(sim, 0, true, false);
	submit_many(sim, "j", 12, 4, false);
	vm_sim_run(sim, SUBMIT_MS + FINISH_MS);
	check_begun(sim, "j", 12);
	vm_sim_destroy(sim);
}

/* Guards against answers to an earlier leader's calls that are used twice or waited for. */
static void test_leader_changes_while_calls_wait(void **state)
{
	for (uint64_t seed = 60; seed < 65; seed++) {
		const vm_sim_config_t config = advised_config(seed, 3);
		vm_sim_t *sim = start(&config);

		submit_many(sim, "j", 20, 4, false);
		for (unsigned i = 1; i <= 3; i++) {
			vm_sim_run(sim, SUBMIT_MS + i * 700);
			vm_sim_change_leader(sim);
		}
		vm_sim_run(sim, SUBMIT_MS + FINISH_MS);
		check_begun(sim, "j", 20);
		vm_sim_destroy(sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_jobs_of_a_burst_start_in_time),
		cmocka_unit_test(test_short_requests_of_a_single_process),
		cmocka_unit_test(test_service_is_slower_than_declared),
		cmocka_unit_test(test_gangs_beside_other_jobs),
		cmocka_unit_test(test_tickets_are_renewed_beside_other_jobs),
		cmocka_unit_test(test_job_of_another_queue_does_not_wait),
		cmocka_unit_test(test_helpers_that_do_not_answer),
		cmocka_unit_test(test_leader_is_cut_off_from_the_service),
		cmocka_unit_test(test_leader_changes_while_calls_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
