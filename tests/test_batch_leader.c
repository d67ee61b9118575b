#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "clock.h"
#include "lib_vm_sim.h"
#include "log.h"

#define STEPS_MAX 3

/* A job of the given steps, each after the one before. */
typedef struct {
	Lp__BatchStep steps[STEPS_MAX];
	Lp__BatchStep *list[STEPS_MAX];
	uint32_t after[STEPS_MAX];
	Lp__BatchJob job;
} made_job_t;

static void make_job(made_job_t *made, unsigned steps, uint32_t count, uint32_t cpu,
		     uint32_t estimate_ms)
{
	lp__batch_job__init(&made->job);
	made->job.spec = (char *)"spec";
	for (unsigned i = 0; i < steps; i++) {
		lp__batch_step__init(&made->steps[i]);
		made->steps[i].count = count;
		made->steps[i].cpu_milli = cpu;
		made->steps[i].mem_mib = 1000;
		made->steps[i].estimate_ms = estimate_ms;
		made->after[i] = i - 1;
		made->steps[i].n_after = i > 0 ? 1 : 0;
		made->steps[i].after = &made->after[i];
		made->list[i] = &made->steps[i];
	}
	made->job.steps = made->list;
	made->job.n_steps = steps;
}

static void make_lasting(made_job_t *made, uint32_t count, uint32_t max_unavailable)
{
	make_job(made, 1, count, 5000, 900);
	made->steps[0].long_running = true;
	made->steps[0].max_per_vm = 1;
	made->steps[0].max_unavailable = max_unavailable;
}

static batch_job_state_t state_of(const vm_sim_t *sim, const char *id)
{
	const batch_job_t *job = batch_state_job(vm_sim_state(sim), id);

	assert_non_null(job);
	return job->state;
}

static void assert_kept(const vm_sim_t *sim)
{
	if (vm_sim_violations(sim)[0] != '\0')
		print_message("%s", vm_sim_violations(sim));
	assert_string_equal(vm_sim_violations(sim), "");
}

/* Guards against a chain of steps that stops, or runs out of order, on a calm fleet. */
static void test_steps_run_in_order(void **state)
{
	const vm_sim_config_t config = {.services = 1, .vms_per_service = 4, .seed = 1};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 3, 8, 4000, 500);
	vm_sim_run(sim, 4000);
	vm_sim_submit(sim, "a", 0, &made.job);
	vm_sim_run(sim, 9000);
	assert_int_equal(state_of(sim, "a"), BATCH_JOB_COMPLETE);
	assert_int_equal(vm_sim_starts(sim), 24);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against a surge that meets a full pool while the other pools' machines are idle: 4
 * machines hold 64 tasks of 4 cores, the fleet 256. */
static void test_idle_machines_follow_a_surge(void **state)
{
	const vm_sim_config_t config = {
		.services = 3, .vms_per_service = 4, .standby_vms = 4, .seed = 2};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 1, 8, 4000, 800);
	vm_sim_run(sim, 8000);
	for (unsigned i = 0; i < 60; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);

		vm_sim_submit(sim, id, 0, &made.job);
		vm_sim_run(sim, 8000 + 50 * (i + 1));
	}
	/* 480 tasks of 0.8 s: the pool alone would need 6 s after the last submission. */
	vm_sim_run(sim, 8000 + 3000 + 3000);
	for (unsigned i = 0; i < 60; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);

		assert_int_equal(state_of(sim, id), BATCH_JOB_COMPLETE);
	}
	assert_true(vm_sim_moves(sim) > 4);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against a run that is stopped and started again because the answer to its start was lost.
 * A fifth of the answers is: three tries leave one start in 125 open, one of 80 here. */
static void test_lost_answers_to_starts_cost_no_second_run(void **state)
{
	const vm_sim_config_t config = {
		.services = 1, .vms_per_service = 8, .lost_answer = 0.2, .seed = 5};
	const unsigned jobs = 10;
	const unsigned tasks = 8;
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 1, tasks, 4000, 600);
	vm_sim_run(sim, 4000);
	for (unsigned i = 0; i < jobs; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);

		vm_sim_submit(sim, id, 0, &made.job);
	}
	vm_sim_run(sim, 20000);
	for (unsigned i = 0; i < jobs; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);

		assert_int_equal(state_of(sim, id), BATCH_JOB_COMPLETE);
	}
	assert_in_range(vm_sim_starts(sim), jobs * tasks, jobs * tasks + 1);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/*
 * Plays jobs of one quick step while one order in twenty has no answer and is carried out seconds
 * later. @return share of the jobs that meet an objective of 1.6 times their run time and 600 ms
 */
static double share_in_time(uint64_t seed)
{
	const vm_sim_config_t config = {
		.services = 1, .vms_per_service = 24, .late_order = 0.05, .seed = seed};
	enum {
		JOBS = 150,
		GAP_MS = 60,
		RUN_MS = 640,
		OBJECTIVE_MS = RUN_MS * 16 / 10 + 600
	};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;
	unsigned in_time = 0;

	make_job(&made, 1, 8, 6000, RUN_MS);
	vm_sim_run(sim, 4000);
	for (unsigned i = 0; i < JOBS + OBJECTIVE_MS / GAP_MS; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);
		g_autofree char *due = g_strdup_printf("j%u", i - OBJECTIVE_MS / GAP_MS);

		if (i >= OBJECTIVE_MS / GAP_MS)
			in_time += state_of(sim, due) == BATCH_JOB_COMPLETE;
		if (i < JOBS)
			vm_sim_submit(sim, id, 0, &made.job);
		vm_sim_run(sim, 4000 + (uint64_t)GAP_MS * (i + 1));
	}
	assert_kept(sim);
	vm_sim_destroy(sim);
	return (double)in_time / JOBS;
}

/* Guards against ends that are seen only after the timeout of a hold whose answer was lost: nearly
 * every job meets such a hold, and would be late. */
static void test_lost_answers_delay_few_jobs(void **state)
{
	double sum = 0;

	for (uint64_t seed = 1; seed <= 5; seed++)
		sum += share_in_time(seed);
	print_message("%.2f of the jobs are in time with one order in twenty lost\n", sum / 5);
	assert_true(sum / 5 >= 0.9);
}

/* Guards against an order's answer that arrives after the machine's new VM has reported: that VM
 * was taken for ended, and its tasks were started a second time elsewhere. */
static void test_late_answer_of_a_move_spares_the_new_vm(void **state)
{
	const vm_sim_config_t config = {
		.services = 2, .vms_per_service = 3, .standby_vms = 3, .seed = 3};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 1, 16, 6000, 1500);
	vm_sim_slow_answers(sim, 2200);
	vm_sim_run(sim, 9000);
	for (unsigned i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);

		vm_sim_submit(sim, id, 0, &made.job);
		vm_sim_run(sim, 9000 + 200 * (i + 1));
	}
	vm_sim_run(sim, 40000);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against maintenance that ends a task, or never reaches a machine. */
static void test_wave_reaches_all_machines(void **state)
{
	const vm_sim_config_t config = {
		.services = 2, .vms_per_service = 6, .standby_vms = 2, .seed = 4};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_lasting(&made, 4, 1);
	vm_sim_run(sim, 3000);
	vm_sim_submit(sim, "lasting", 0, &made.job);
	vm_sim_run(sim, 8000);
	vm_sim_wave(sim, 1, 3);
	vm_sim_run(sim, 45000);
	assert_true(batch_wave_complete(batch_state_wave(vm_sim_state(sim), 1)));
	assert_int_equal(vm_sim_running(sim), 4);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against tasks that wait for ever on a VM where nothing makes progress, while its reports
 * and answers are good. */
static void test_tasks_leave_a_vm_that_stands_still(void **state)
{
	const vm_sim_config_t config = {.services = 1, .vms_per_service = 3, .seed = 8};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 1, 40, 4000, 600);
	vm_sim_run(sim, 2000);
	vm_sim_stick(sim, 1);
	vm_sim_submit(sim, "a", 0, &made.job);
	vm_sim_run(sim, 9000);
	assert_int_equal(state_of(sim, "a"), BATCH_JOB_COMPLETE);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against hopeless jobs that take all VMs of a pool out of use for the others. */
static void test_hopeless_jobs_do_not_close_a_pool(void **state)
{
	const vm_sim_config_t config = {
		.services = 1, .vms_per_service = 2, .failing_end = 1.0, .seed = 10};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 1, 4, 4000, 100);
	vm_sim_run(sim, 3000);
	for (unsigned i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("bad-%u", i);

		vm_sim_submit(sim, id, 0, &made.job);
		vm_sim_run(sim, 3000 + 100 * (i + 1));
	}
	vm_sim_calm(sim);
	vm_sim_submit(sim, "good", 0, &made.job);
	vm_sim_run(sim, 5000);
	assert_int_equal(state_of(sim, "good"), BATCH_JOB_COMPLETE);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against a cancelled job that goes on. */
static void test_cancelled_job_stops(void **state)
{
	const vm_sim_config_t config = {.services = 1, .vms_per_service = 4, .seed = 5};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_lasting(&made, 3, 0);
	vm_sim_run(sim, 3000);
	vm_sim_submit(sim, "a", 0, &made.job);
	vm_sim_run(sim, 6000);
	assert_int_equal(vm_sim_running(sim), 3);
	vm_sim_cancel(sim, "a");
	vm_sim_run(sim, 6800);
	assert_int_equal(vm_sim_running(sim), 0);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

/* Guards against a job that can never be done and is tried for ever. */
static void test_failing_job_fails(void **state)
{
	const vm_sim_config_t config = {
		.services = 1, .vms_per_service = 4, .failing_end = 1.0, .seed = 6};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;

	make_job(&made, 1, 1, 4000, 300);
	vm_sim_run(sim, 3000);
	vm_sim_submit(sim, "a", 0, &made.job);
	vm_sim_run(sim, 20000);
	assert_int_equal(state_of(sim, "a"), BATCH_JOB_FAILED);
	assert_int_equal(vm_sim_starts(sim), 3);
	assert_kept(sim);
	vm_sim_destroy(sim);
}

static void submit_mix(vm_sim_t *sim, GRand *rand, unsigned n, unsigned services)
{
	g_autofree char *id = g_strdup_printf("%016x", n);
	made_job_t made;

	if (n % 9 == 0)
		make_lasting(&made, 3, 1);
	else
		make_job(&made, 1 + n % 3, (uint32_t)g_rand_int_range(rand, 1, 10),
			 (uint32_t)g_rand_int_range(rand, 1000, 9000),
			 (uint32_t)g_rand_int_range(rand, 200, 1500));
	if (n % 7 == 3 && n % 9 != 0) {
		made.steps[0].gang = true;
		made.steps[0].count = 3;
	}
	vm_sim_submit(sim, id, n % services, &made.job);
}

/* A job that has ended is only asked for its state; its steps are gone. */
static bool is_lasting(const vm_sim_t *sim, unsigned n)
{
	g_autofree char *id = g_strdup_printf("%016x", n);
	const batch_job_t *job = batch_state_job(vm_sim_state(sim), id);

	return job->step_count > 0 && job->steps[0].spec->long_running;
}

/* Runs a random load with faults for 40 s, then calm for 40 s, and checks that everything that was
 * accepted has ended, and that no promise was broken on the way. */
static void run_storm(const vm_sim_config_t *config)
{
	enum {
		JOBS = 150
	};
	vm_sim_t *sim = vm_sim_create(config);
	GRand *rand = g_rand_new_with_seed((guint32)config->seed);
	unsigned cancelled = 0;

	vm_sim_run(sim, 4000);
	for (unsigned n = 0; n < JOBS; n++) {
		submit_mix(sim, rand, n, config->services);
		vm_sim_run(sim, 4000 + 250 * (n + 1));
		if (n == 40)
			vm_sim_wave(sim, 1, 2);
		if (n % 10 == 5) {
			g_autofree char *id = g_strdup_printf("%016x", n - 2);

			vm_sim_cancel(sim, id);
			cancelled++;
		}
	}
	vm_sim_calm(sim);
	vm_sim_run(sim, vm_sim_now_ms(sim) + 40000);
	for (unsigned n = 0; n < JOBS; n++) {
		g_autofree char *id = g_strdup_printf("%016x", n);
		const batch_job_t *job = batch_state_job(vm_sim_state(sim), id);

		/* A submission whose leader was deposed may be lost; its client was not told. */
		if (job == NULL)
			continue;
		if (!is_lasting(sim, n) && !batch_job_ended(job)) {
			print_message("seed %" PRIu64 ": job %s is %s\n", config->seed, id,
				      batch_job_state_name(job->state));
			fail();
		}
	}
	if (vm_sim_violations(sim)[0] != '\0')
		print_message("seed %" PRIu64 "\n", config->seed);
	assert_kept(sim);
	g_rand_free(rand);
	vm_sim_destroy(sim);
}

/* LAVENDERPASS_SEED plays one seed; LAVENDERPASS_SEEDS more of them than CI does. */
static uint64_t first_seed(void)
{
	const char *text = getenv("LAVENDERPASS_SEED");

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : 1;
}

static uint64_t seeds(void)
{
	const char *text = getenv("LAVENDERPASS_SEEDS");

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : 12;
}

static void run_fault_storm(uint64_t seed)
{
	const vm_sim_config_t config = {
		.services = 2,
		.vms_per_service = 5,
		.standby_vms = 3,
		.lost_answer = 0.02,
		.failing_end = 0.03,
		.crash_every_ms = 4000,
		.silent_every_ms = 6000,
		.leader_every_ms = 7000,
		.seed = seed,
	};

	run_storm(&config);
}

/* Guards against runs that are started twice, out of order, after a cancelling or too often, while
 * VMs crash and fall silent, answers are lost and the leader changes. */
static void test_promises_hold_under_faults(void **state)
{
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds(); seed++)
		run_fault_storm(seed);
}

/* Seeds that have failed. */
static void test_failed_seeds_hold(void **state)
{
	static const uint64_t failed[] = {
		33, /* an earlier leader's intent was recorded on a VM that had ended before this
		       leader heard of it: the job waited for ever */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(failed); i++)
		run_fault_storm(failed[i]);
}

/* Guards against an order that is carried out seconds after it was given up. */
static void test_promises_hold_with_late_orders(void **state)
{
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds(); seed++) {
		const vm_sim_config_t config = {
			.services = 2,
			.vms_per_service = 5,
			.standby_vms = 3,
			.late_order = 0.05,
			.failing_end = 0.02,
			.crash_every_ms = 9000,
			.leader_every_ms = 9000,
			.seed = seed,
		};

		run_storm(&config);
	}
}

/* Guards against runs on a VM that has answered nothing yet being taken for ended: a start without
 * an answer had no lease in the leader's books, and its task was started a second time elsewhere.
 */
static void test_promises_hold_when_most_answers_are_lost(void **state)
{
	for (uint64_t seed = first_seed(); seed < first_seed() + 2 * seeds(); seed++) {
		const vm_sim_config_t config = {
			.services = 2,
			.vms_per_service = 5,
			.standby_vms = 6,
			.lost_answer = 0.6,
			.crash_every_ms = 3000,
			.seed = seed,
		};

		run_storm(&config);
	}
}

/* Measures the leader's processor time on a large fleet; guards against passes that grow with the
 * square of the fleet. */
static void test_large_fleet_is_affordable(void **state)
{
	const vm_sim_config_t config = {
		.services = 4, .vms_per_service = 73, .standby_vms = 56, .seed = 9};
	vm_sim_t *sim = vm_sim_create(&config);
	made_job_t made;
	clock_t start;
	double cpu_s;

	make_job(&made, 2, 8, 6200, 800);
	vm_sim_run(sim, 8000);
	start = clock();
	for (unsigned i = 0; i < 800; i++) {
		g_autofree char *id = g_strdup_printf("j%u", i);

		vm_sim_submit(sim, id, i / 200, &made.job);
		vm_sim_run(sim, 8000 + 12 * (i + 1));
	}
	vm_sim_run(sim, 8000 + 12 * 800 + 4000);
	cpu_s = (double)(clock() - start) / CLOCKS_PER_SEC;
	print_message("%.2f s of processor time for 13.6 s of %u VMs, %" PRIu64 " starts\n", cpu_s,
		      4 * 73 + 56, vm_sim_starts(sim));
	assert_kept(sim);
	vm_sim_destroy(sim);
}

static int set_up(void **state)
{
	log_init(false, false, 0);
	/* Thousands of lines of the simulated leaders would hide the result. */
	if (getenv("LAVENDERPASS_VERBOSE") == NULL)
		log_set_least(G_LOG_LEVEL_CRITICAL);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steps_run_in_order),
		cmocka_unit_test(test_idle_machines_follow_a_surge),
		cmocka_unit_test(test_lost_answers_to_starts_cost_no_second_run),
		cmocka_unit_test(test_lost_answers_delay_few_jobs),
		cmocka_unit_test(test_late_answer_of_a_move_spares_the_new_vm),
		cmocka_unit_test(test_wave_reaches_all_machines),
		cmocka_unit_test(test_tasks_leave_a_vm_that_stands_still),
		cmocka_unit_test(test_hopeless_jobs_do_not_close_a_pool),
		cmocka_unit_test(test_cancelled_job_stops),
		cmocka_unit_test(test_failing_job_fails),
		cmocka_unit_test(test_promises_hold_under_faults),
		cmocka_unit_test(test_failed_seeds_hold),
		cmocka_unit_test(test_promises_hold_with_late_orders),
		cmocka_unit_test(test_promises_hold_when_most_answers_are_lost),
		cmocka_unit_test(test_large_fleet_is_affordable),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}
