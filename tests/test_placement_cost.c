/*
 * Counts the work of the leader's placement passes, which must be bounded by what changes, not by
 * what waits or by the size of the fleet.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "lib_vm_sim.h"

#define VMS_PER_SERVICE 20
#define VM_CORES 64
#define WAIT_MS 10000
#define MEASURED_MS 2000
/* Most placement passes in MEASURED_MS: one in 15 ms. */
#define PASSES_MAX (MEASURED_MS / 15 + 1)

static void submit(vm_sim_t *sim, const char *id, unsigned service, uint32_t tasks,
		   uint32_t cpu_milli, uint32_t run_ms)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;
	Lp__BatchStep *list[] = {&step};
	Lp__BatchJob job = LP__BATCH_JOB__INIT;

	step.count = tasks;
	step.cpu_milli = cpu_milli;
	step.mem_mib = 100;
	step.estimate_ms = run_ms;
	job.spec = (char *)"spec";
	job.steps = list;
	job.n_steps = 1;
	vm_sim_submit(sim, id, service, &job);
}

static uint64_t read_counter(vm_sim_t *sim, const char *name)
{
	return metrics_get(metrics_counter(vm_sim_metrics(sim), name, ""));
}

/* @return number of candidates examined in MEASURED_MS, while the VMs of the service are full and
 * the given number of jobs waits */
static uint64_t candidates_examined(unsigned waiting)
{
	const vm_sim_config_t config = {
		.services = 1, .vms_per_service = VMS_PER_SERVICE, .seed = 1};
	vm_sim_t *sim = vm_sim_create(&config);
	uint64_t before;
	uint64_t examined;

	vm_sim_run(sim, vm_sim_now_ms(sim) + 3000);
	submit(sim, "full", 0, VMS_PER_SERVICE * VM_CORES, 1000, 60000);
	vm_sim_run(sim, vm_sim_now_ms(sim) + 2000);
	assert_int_equal(vm_sim_running_count(sim), VMS_PER_SERVICE * VM_CORES);
	for (unsigned i = 0; i < waiting; i++) {
		g_autofree char *id = g_strdup_printf("waiting-%u", i);

		submit(sim, id, 0, 4, 1000, 500);
	}
	/* Until the jobs are late, but not so late that they take turns. */
	vm_sim_run(sim, vm_sim_now_ms(sim) + WAIT_MS);
	before = read_counter(sim, "batch_candidates_total");
	vm_sim_run(sim, vm_sim_now_ms(sim) + MEASURED_MS);
	examined = read_counter(sim, "batch_candidates_total") - before;
	print_message("%u jobs wait: %u candidates examined\n", waiting, (unsigned)examined);
	assert_string_equal(vm_sim_violations(sim), "");
	vm_sim_destroy(sim);
	return examined;
}

/* Guards against placement passes whose work grows with the jobs that wait for a full pool. */
static void test_full_pool_examines_no_more_candidates_when_more_jobs_wait(void **state)
{
	uint64_t few = candidates_examined(500);

	assert_true(candidates_examined(5000) <= few);
}

/* Guards against placement passes that examine the VMs of services without waiting work. */
static void test_pass_examines_only_vms_of_services_with_waiting_work(void **state)
{
	const vm_sim_config_t config = {
		.services = 8, .vms_per_service = VMS_PER_SERVICE, .seed = 1};
	vm_sim_t *sim = vm_sim_create(&config);
	uint64_t before;
	uint64_t examined;
	unsigned vms;

	vm_sim_run(sim, vm_sim_now_ms(sim) + 3000);
	/* No VM has room for this task. */
	submit(sim, "waiting", 0, 1, VM_CORES * 1000 + 1, 500);
	vm_sim_run(sim, vm_sim_now_ms(sim) + 1000);
	vms = vm_sim_service_vm_count(sim, 0);
	before = read_counter(sim, "batch_place_vms_total");
	vm_sim_run(sim, vm_sim_now_ms(sim) + MEASURED_MS);
	examined = read_counter(sim, "batch_place_vms_total") - before;
	print_message("%u VMs examined\n", (unsigned)examined);
	assert_in_range(examined, 1, MAX(vms, vm_sim_service_vm_count(sim, 0)) * PASSES_MAX);
	vm_sim_destroy(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full_pool_examines_no_more_candidates_when_more_jobs_wait),
		cmocka_unit_test(test_pass_examines_only_vms_of_services_with_waiting_work),
	};

	return cmocka_run_group_tests(tests, vm_sim_set_up, NULL);
}
