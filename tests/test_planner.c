#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "budget.h"
#include "capacity.h"
#include "clock.h"
#include "lib_fleet_sim.h"
#include "planner_internal.h"

#define POOL_COUNT 5
#define VM_COUNT 50

static void set_image(Lp__Template *template, const char *image)
{
	free(template->maintenance->image);
	template->maintenance->image = strdup(image);
}

static void set_up(sim_t *sim, uint32_t seed, const Lp__Template *template, int dcs)
{
	sim_init(sim, seed);
	assert_int_equal(sim_apply_template(sim, template), LP__RESULT_CODE__RESULT_OK);
	for (int i = 0; i < VM_COUNT; i++)
		sim_add_vm(sim, template->organisation, template->pools[i % POOL_COUNT]->name,
			   i / 4 % dcs, i / 4, "old");
}

/*
 * Checks that a pool still has at least min_vms VMs after one VM moves out of it. VMs that are on
 * their way to the pool are counted.
 */
static void check_above_min_vms(const fleet_pool_t *from)
{
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;
	uint32_t members = 0;

	TAILQ_FOREACH (pool, &from->org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link) {
			bool excluded = vm->phase == LP__VM_PHASE__VM_LOST ||
					vm->phase == LP__VM_PHASE__VM_QUARANTINED;

			members += !excluded && (vm->to_pool != NULL ? vm->to_pool : pool) == from;
		}
	}
	assert_true(members > from->spec->min_vms);
}

/*
 * Checks a planner action independently of the planner's own functions: the VM's data centre must
 * be reachable, a permit must be within the pool's budget, and a VM must be quiesced and idle
 * before it is reassigned or drained.
 */
static void check_action(sim_t *sim, const plan_action_t *action)
{
	const fleet_vm_t *vm = action->vm;
	const sim_vm_t *sim_vm;

	if (vm == NULL)
		return;
	sim_vm = sim_find_vm(sim, vm->id);
	assert_false(sim->unreachable[sim_vm->dc]);
	if (action->kind == PLAN_CORDON) {
		budget_t budget = budget_of(vm->pool, &sim->health, sim->now_us);

		assert_true(budget.usable > budget.keep + budget.reserve);
		if (action->cordon.permit == LP__PERMIT_KIND__PERMIT_MOVE)
			check_above_min_vms(vm->pool);
	}
	if (action->kind == PLAN_ASSIGN ||
	    (action->kind == PLAN_SET_PHASE && action->step.to == LP__VM_PHASE__VM_DRAINING)) {
		bool echoed = sim_vm->cordon_echoed_us != 0 &&
			      sim_vm->answered_epoch == vm->epoch &&
			      sim->now_us >= sim_vm->cordon_echoed_us + 4500 * US_PER_MS;

		assert_true(sim->applied_index[sim_vm->dc] >= vm->since_index || echoed);
		assert_int_equal(sim_vm->in_flight, 0);
	}
}

static void check_each_vm_in_one_pool(const sim_t *sim)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;
	size_t count = 0;

	TAILQ_FOREACH (org, &sim->fleet.orgs, link) {
		TAILQ_FOREACH (pool, &org->pools, link) {
			TAILQ_FOREACH (vm, &pool->vms, pool_link) {
				assert_ptr_equal(vm->pool, pool);
				assert_ptr_equal(fleet_vm_find(&sim->fleet, vm->id), vm);
				count++;
			}
		}
	}
	assert_int_equal(count, g_hash_table_size(sim->fleet.vm_by_id));
}

static void check_snapshot(const sim_t *sim)
{
	size_t length;
	size_t resaved_length;
	uint8_t *data = fleet_save(&sim->fleet, &length);
	uint8_t *resaved;
	fleet_t copy;

	fleet_init(&copy);
	assert_int_equal(fleet_load(&copy, data, length), 0);
	resaved = fleet_save(&copy, &resaved_length);
	assert_int_equal(length, resaved_length);
	assert_memory_equal(data, resaved, length);
	fleet_finish(&copy);
	free(data);
	free(resaved);
}

static void fail_rack(sim_t *sim)
{
	const sim_vm_t *chosen = &sim->vms[g_rand_int_range(sim->rand, 0, (int)sim->vm_count)];
	uint64_t for_us = (uint64_t)g_rand_int_range(sim->rand, 5, 300) * US_PER_S;

	for (size_t i = 0; i < sim->vm_count; i++) {
		if (strcmp(sim->vms[i].rack, chosen->rack) == 0)
			sim_fail_vm(sim, &sim->vms[i], for_us);
	}
}

/* Makes one VM in phase VM_RETURNING fail, if there is any. */
static void fail_returning_vm(sim_t *sim)
{
	for (size_t i = 0; i < sim->vm_count; i++) {
		const fleet_vm_t *vm = fleet_vm_find(&sim->fleet, sim->vms[i].id);

		if (vm->phase == LP__VM_PHASE__VM_RETURNING) {
			sim_fail_vm(sim, &sim->vms[i], 20 * US_PER_S);
			return;
		}
	}
}

static void change_template(sim_t *sim, Lp__Template *template)
{
	Lp__PoolSpec *pool = template->pools[g_rand_int_range(sim->rand, 0, POOL_COUNT)];
	char image[16];

	snprintf(image, sizeof(image), "image-%d", g_rand_int_range(sim->rand, 0, 4));
	if (g_rand_boolean(sim->rand))
		set_image(template, image);
	template->maintenance->paused = g_rand_int_range(sim->rand, 0, 3) == 0;
	pool->keep_vms = (uint32_t)g_rand_int_range(sim->rand, 3, 8);
	pool->reserve_scope = (Lp__ReserveScope)g_rand_int_range(sim->rand, 0, 3);
	assert_int_equal(sim_apply_template(sim, template), LP__RESULT_CODE__RESULT_OK);
}

static void random_demands(sim_t *sim, const Lp__Template *template)
{
	const fleet_org_t *org = fleet_org_find(&sim->fleet, template->organisation);
	const fleet_pool_t *pool;

	g_array_set_size(sim->demands, 0);
	TAILQ_FOREACH (pool, &org->pools, link) {
		double slots = g_rand_double_range(sim->rand, 0, 90);
		pool_demand_t demand = {pool, slots, slots, slots * 1.2};

		g_array_append_val(sim->demands, demand);
	}
}

static void random_event(sim_t *sim, Lp__Template *template, int dcs)
{
	sim_vm_t *vm = &sim->vms[g_rand_int_range(sim->rand, 0, (int)sim->vm_count)];

	switch (g_rand_int_range(sim->rand, 0, 400)) {
	case 0:
		fail_rack(sim);
		break;
	case 1:
	case 2:
		sim_fail_vm(sim, vm, (uint64_t)g_rand_int_range(sim->rand, 1, 200) * US_PER_S);
		break;
	case 3:
	case 4:
		fail_returning_vm(sim);
		break;
	case 5:
		change_template(sim, template);
		break;
	case 6:
		sim->unreachable[vm->dc] = true;
		break;
	case 7:
	case 8:
	case 9:
		for (int dc = 0; dc < dcs; dc++)
			sim->unreachable[dc] = false;
		break;
	case 10:
		random_demands(sim, template);
		break;
	case 11:
	case 12:
		vm->reboot_us = (uint64_t)g_rand_int_range(sim->rand, 5, 600) * US_PER_S;
		break;
	case 13:
	case 14:
		vm->in_flight = 3;
		break;
	case 15:
	case 16:
		sim->apply_stalled[vm->dc] = !sim->apply_stalled[vm->dc];
		break;
	}
}

/*
 * Guards against a planner that exceeds the availability budget, reassigns a VM before it is
 * quiesced, or leaves a VM in no pool. Random failures, repairs, partitions and template changes
 * must not lead to any of these.
 */
static void test_invariants_hold_under_random_events(void **state)
{
	static const char *const files[] = {"examples/barid.yaml", "examples/tesfaye.yaml"};
	uint64_t moves = 0;
	uint64_t reboots = 0;

	for (uint32_t seed = 1; seed <= 6; seed++) {
		Lp__Template *template = sim_load_template(files[seed % 2]);
		int dcs = seed % 2 ? 3 : 4;
		sim_t sim;

		set_up(&sim, seed, template, dcs);
		sim.demands = g_array_new(FALSE, FALSE, sizeof(pool_demand_t));
		sim.before_action = check_action;
		for (int second = 0; second < 5000; second++) {
			random_event(&sim, template, dcs);
			sim_step(&sim);
			check_each_vm_in_one_pool(&sim);
			if (second % 500 == 0)
				check_snapshot(&sim);
		}
		assert_int_equal(sim.violations, 0);
		moves += sim.moves;
		reboots += sim.reboots;
		g_array_unref(sim.demands);
		sim_finish(&sim);
		lp__template__free_unpacked(template, NULL);
	}
	/* The test is only meaningful if many VMs were moved and rebooted. */
	assert_true(moves > 50);
	assert_true(reboots > 200);
}

static int run_wave(sim_t *sim, const char *org, int limit_s)
{
	int seconds = 0;

	while (seconds < limit_s && (seconds < 5 || !sim_wave_finished(sim, org))) {
		sim_step(sim);
		seconds++;
	}
	return seconds;
}

/* Guards against a maintenance wave that does not end or reboots a VM twice. */
static void test_wave_maintains_each_vm_once(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	sim_t sim;

	set_up(&sim, 1, template, 4);
	assert_true(run_wave(&sim, "barid", 3600) < 3600);
	sim_step(&sim);
	assert_int_equal(sim.reboots, VM_COUNT);
	assert_int_equal(TAILQ_FIRST(&sim.fleet.waves)->state, LP__WAVE_STATE__WAVE_DONE);
	assert_int_equal(TAILQ_FIRST(&sim.fleet.waves)->done, VM_COUNT);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against a wave that continues after correlated failures, and against one that resumes
 * before an operator has set and unset paused in the template.
 */
static void test_wave_stops_after_failures_until_resumed(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	const fleet_wave_t *wave;
	uint64_t reboots;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	for (int i = 0; i < VM_COUNT; i++)
		sim.vms[i].reboot_us = 3600 * US_PER_S;
	for (int second = 0; second < 1500; second++)
		sim_step(&sim);
	wave = TAILQ_FIRST(&sim.fleet.waves);
	assert_int_equal(wave->state, LP__WAVE_STATE__WAVE_STOPPED);
	assert_int_equal(wave->failures, 2);
	reboots = sim.reboots;
	assert_int_equal(reboots, 2);
	assert_int_equal(sim_apply_template(&sim, template), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(wave->state, LP__WAVE_STATE__WAVE_STOPPED);
	template->maintenance->paused = true;
	sim_apply_template(&sim, template);
	template->maintenance->paused = false;
	sim_apply_template(&sim, template);
	assert_int_equal(wave->state, LP__WAVE_STATE__WAVE_RUNNING);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against treating a target as idle because of an in-flight count announced before its
 * cordon.
 */
static void test_in_flight_before_cordon_is_not_idle(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	plan_input_t input;
	GPtrArray *actions;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	while (sim.permits_granted == 0)
		sim_step(&sim);
	for (int dc = 0; dc < 4; dc++)
		sim.applied_index[dc] = sim.log_index;
	input = sim_input(&sim);
	actions = planner_run(&input);
	assert_int_equal(actions->len, 0);
	g_ptr_array_unref(actions);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against a lost VM that is not replaced by another one, and against a VM that is not used
 * again when it returns after it was lost.
 */
static void test_lost_vm_is_replaced_and_returns(void **state)
{
	Lp__Template *template = sim_load_template("examples/tesfaye.yaml");
	const fleet_pool_t *pool;
	sim_t sim;

	set_image(template, "old");
	template->pools[0]->min_vms = 10;
	set_up(&sim, 1, template, 3);
	sim_step(&sim);
	pool = fleet_pool_find(fleet_org_find(&sim.fleet, "tesfaye"), "quotes");
	assert_int_equal(pool->vm_count, 10);
	sim_fail_vm(&sim, &sim.vms[0], 120 * US_PER_S);
	for (int second = 0; second < 60; second++)
		sim_step(&sim);
	assert_int_equal(pool->vm_count, 11);
	assert_int_equal(fleet_vm_find(&sim.fleet, "vm-001")->phase, LP__VM_PHASE__VM_LOST);
	for (int second = 0; second < 120; second++)
		sim_step(&sim);
	assert_int_equal(fleet_vm_find(&sim.fleet, "vm-001")->phase, LP__VM_PHASE__VM_ACTIVE);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against an estimate that does not match the budgets. Each pool has 10 VMs, of which 4 (in
 * the spare pool, 5) may be under maintenance at once, so the rounds have 1, 2, 8, 20 and 19 VMs.
 */
static void test_estimate_matches_budgets(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	plan_estimate_t estimate;
	plan_input_t input;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	sim_step(&sim);
	input = sim_input(&sim);
	planner_estimate(&input, template, 60000, &estimate);
	assert_int_equal(estimate.maintenance, VM_COUNT);
	assert_int_equal(estimate.rollout_bound_ms, 5 * 65000);
	assert_int_equal(estimate.moves, 0);
	assert_int_equal(estimate.at_risk, 0);
	plan_estimate_finish(&estimate);
	template->pools[0]->keep_vms = 10;
	template->pools[1]->min_vms = 12;
	planner_estimate(&input, template, 60000, &estimate);
	assert_int_equal(estimate.moves, 2);
	assert_int_equal(estimate.at_risk, 1);
	assert_non_null(strstr(estimate.text, "the budget cannot be kept"));
	plan_estimate_finish(&estimate);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against a wave that continues while a data centre is unreachable, and against one that
 * stays paused once the data centre is reachable again.
 */
static void test_partition_pauses_wave(void **state)
{
	Lp__Template *template = sim_load_template("examples/tesfaye.yaml");
	uint64_t permits_granted;
	sim_t sim;

	set_up(&sim, 1, template, 3);
	for (int second = 0; second < 100; second++)
		sim_step(&sim);
	sim.unreachable[1] = true;
	sim_step(&sim);
	permits_granted = sim.permits_granted;
	for (int second = 0; second < 100; second++)
		sim_step(&sim);
	assert_int_equal(sim.permits_granted, permits_granted);
	assert_int_equal(TAILQ_FIRST(&sim.fleet.waves)->state, LP__WAVE_STATE__WAVE_PAUSED);
	sim.unreachable[1] = false;
	assert_true(run_wave(&sim, "tesfaye", 3600) < 3600);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against maintenance outside the window. Tests its first and last minute, and a window that
 * spans midnight.
 */
static void test_maintenance_window_bounds(void **state)
{
	/* Monday, 5 January 2026, 00:00 UTC */
	const uint64_t monday_ms = 1767571200ULL * 1000;
	const uint64_t minute_ms = 60 * 1000;
	Lp__Window window = {.weekday_mask = 1, .start_minute = 22 * 60, .end_minute = 4 * 60};
	Lp__Window *windows[] = {&window};
	Lp__PoolSpec spec = LP__POOL_SPEC__INIT;
	static const struct {
		uint64_t minute;
		bool open;
	} table[] = {
		{21 * 60 + 59, false}, {22 * 60, true},	     {24 * 60, true},
		{28 * 60 - 1, true},   {28 * 60, false},     {46 * 60, false},
		{60, false},	       {7 * 24 * 60, false}, {7 * 24 * 60 + 23 * 60, true},
	};

	assert_true(plan_in_maintenance_window(&spec, monday_ms));
	spec.n_windows = 1;
	spec.windows = windows;
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++)
		assert_int_equal(
			plan_in_maintenance_window(&spec, monday_ms + table[i].minute * minute_ms),
			table[i].open);
}

/*
 * Guards against counting a surge of a few seconds as sustained demand, or the quiet time between
 * two surges as surplus.
 */
static void test_surges_do_not_change_demand(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	Lp__PoolLoad load = LP__POOL_LOAD__INIT;
	Lp__PoolLoad *loads[] = {&load};
	Lp__LoadReport report = LP__LOAD_REPORT__INIT;
	capacity_t capacity;
	const pool_demand_t *demand;
	GArray *demands;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	capacity_init(&capacity);
	load.organisation = "barid";
	load.pool = "orders";
	report.n_pools = 1;
	report.pools = loads;
	for (uint64_t second = 1; second <= 400; second++) {
		/*
		 * The load is 100 slots for 6 s of each 30 s and 1 slot otherwise, a mean of about
		 * 20.
		 */
		load.in_flight = second % 30 < 6 ? 100 : 1;
		capacity_report(&capacity, 1, &report, second * US_PER_S);
		capacity_sample(&capacity, second * US_PER_S);
	}
	demands = capacity_demands(&capacity, &sim.fleet, 400 * US_PER_S);
	assert_int_equal(demands->len, 1);
	demand = &g_array_index(demands, pool_demand_t, 0);
	assert_true(demand->slots_sustained < 21);
	assert_true(demand->slots_peak > 20 && demand->slots_peak < 50);
	g_array_unref(demands);
	for (uint64_t second = 401; second <= 520; second++) {
		load.in_flight = 60;
		capacity_report(&capacity, 1, &report, second * US_PER_S);
		capacity_sample(&capacity, second * US_PER_S);
	}
	demands = capacity_demands(&capacity, &sim.fleet, 520 * US_PER_S);
	assert_true(g_array_index(demands, pool_demand_t, 0).slots_sustained > 55);
	g_array_unref(demands);
	capacity_finish(&capacity);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invariants_hold_under_random_events),
		cmocka_unit_test(test_wave_maintains_each_vm_once),
		cmocka_unit_test(test_wave_stops_after_failures_until_resumed),
		cmocka_unit_test(test_in_flight_before_cordon_is_not_idle),
		cmocka_unit_test(test_lost_vm_is_replaced_and_returns),
		cmocka_unit_test(test_estimate_matches_budgets),
		cmocka_unit_test(test_partition_pauses_wave),
		cmocka_unit_test(test_maintenance_window_bounds),
		cmocka_unit_test(test_surges_do_not_change_demand),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
