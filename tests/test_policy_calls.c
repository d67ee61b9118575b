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

		config.policy_link_ms = 50;
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
			vm_sim_silence_policy_helper(sim, i);
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

	vm_sim_silence_policy_helper(sim, 0);
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

/* Seeds of the drawn services; LAVENDERPASS_SEED and LAVENDERPASS_SEEDS choose others. */
#define FIRST_SEED 1000
#define SEEDS 60

static uint64_t environment_number(const char *name, uint64_t value)
{
	const char *text = g_getenv(name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : value;
}

/* @return time within which all jobs have begun: what the service needs for requests about four VMs
 * each, three times over, by the processes that it answers at the same time, and FINISH_MS */
static uint64_t longest_ms(const vm_sim_config_t *config, unsigned jobs, unsigned answered)
{
	/* Tickets that are valid for less time than the links to another process take are asked for
	 * a second time, by the leader itself. */
	bool leader_only = config->policy_valid_ms < 2 * config->policy_link_ms + 50;
	uint64_t call_ms = (config->policy_decide_ms + 4ULL * config->policy_per_vm_ms) *
			   MAX(config->policy_slowness, 1);

	return FINISH_MS +
	       3 * jobs * call_ms / (config->policy_in_turn || leader_only ? 1 : answered);
}

static void play_drawn_service(uint64_t seed)
{
	static const uint32_t valid_ms[] = {20, 200, 1000, 3000};
	g_autoptr(GRand) random = g_rand_new_with_seed((guint32)seed);
	vm_sim_config_t config = advised_config(seed, (unsigned)g_rand_int_range(random, 0, 8));
	unsigned jobs = (unsigned)g_rand_int_range(random, 1, 40);
	unsigned silent = 0;
	vm_sim_t *sim;

	config.policy_decide_ms = (uint32_t)g_rand_int_range(random, 0, 1500);
	config.policy_per_vm_ms = (uint32_t)g_rand_int_range(random, 1, 80);
	config.policy_valid_ms = valid_ms[g_rand_int_range(random, 0, 4)];
	config.policy_slowness = (unsigned)g_rand_int_range(random, 1, 5);
	config.policy_in_turn = g_rand_int_range(random, 0, 3) == 0;
	config.policy_works_on = g_rand_boolean(random);
	config.policy_link_ms = (uint32_t)g_rand_int_range(random, 0, 60);
	config.policy_waiting_max = (unsigned)g_rand_int_range(random, 0, 2) * 32;
	sim = start(&config);
	for (unsigned i = 1; i <= config.policy_helpers; i++) {
		if (g_rand_int_range(random, 0, 5) != 0)
			continue;
		silent++;
		vm_sim_silence_policy_helper(sim, i);
	}
	submit_many(sim, "j", jobs, 4, false);
	submit_many(sim, "g", 1, 20, true);
	vm_sim_run(sim,
		   SUBMIT_MS + longest_ms(&config, jobs + 1, config.policy_helpers + 1 - silent));
	check_begun(sim, "j", jobs);
	check_begun(sim, "g", 1);
	vm_sim_destroy(sim);
}

/* Guards against figures of the service for which jobs never begin. */
static void test_drawn_services(void **state)
{
	uint64_t first = environment_number("LAVENDERPASS_SEED", FIRST_SEED);
	uint64_t seeds = environment_number("LAVENDERPASS_SEEDS", SEEDS);

	for (uint64_t seed = first; seed < first + seeds; seed++) {
		print_message("seed %" G_GUINT64_FORMAT "\n", seed);
		play_drawn_service(seed);
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
		cmocka_unit_test(test_drawn_services),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
