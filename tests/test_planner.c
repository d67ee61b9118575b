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

#define POOLS 5
#define VMS 50

static void set_image(Lp__Template *template, const char *image)
{
	free(template->maintenance->image);
	template->maintenance->image = strdup(image);
}

static void set_up(sim_t *sim, uint32_t seed, const Lp__Template *template, int dcs)
{
	sim_init(sim, seed);
	assert_int_equal(sim_apply_template(sim, template), LP__RESULT_CODE__RESULT_OK);
	for (int i = 0; i < VMS; i++)
		sim_add_vm(sim, template->organisation, template->pools[i % POOLS]->name,
			   i / 4 % dcs, i / 4, "old");
}

/* A move may leave no pool below min_vms, the VMs on their way to it included. */
static void check_size_kept(const fleet_pool_t *from)
{
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;
	uint32_t members = 0;

	TAILQ_FOREACH (pool, &from->org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link) {
			bool gone = vm->phase == LP__VM_PHASE__VM_LOST ||
				    vm->phase == LP__VM_PHASE__VM_QUARANTINED;

			members += !gone && (vm->to_pool != NULL ? vm->to_pool : pool) == from;
		}
	}
	assert_true(members > from->spec->min_vms);
}

/* The invariants of the planner's own actions, checked without its helpers. */
static void check_action(sim_t *sim, const plan_action_t *action)
{
	const fleet_vm_t *vm = action->vm;
	const sim_vm_t *sim_vm;

	if (vm == NULL)
		return;
	sim_vm = sim_find_vm(sim, vm->id);
	assert_false(sim->cut[sim_vm->dc]);
	if (action->kind == PLAN_CORDON) {
		budget_t budget = budget_of(vm->pool, &sim->health, sim->now_us);

		assert_true(budget.usable > budget.keep + budget.reserve);
		if (action->cordon.permit == LP__PERMIT_KIND__PERMIT_MOVE)
			check_size_kept(vm->pool);
	}
	if (action->kind == PLAN_ASSIGN ||
	    (action->kind == PLAN_STEP && action->step.to == LP__VM_PHASE__VM_DRAINING)) {
		bool echoed = sim_vm->told_us != 0 && sim_vm->told_epoch == vm->epoch &&
			      sim->now_us >= sim_vm->told_us + 4500 * US_PER_MS;

		assert_true(sim->applied[sim_vm->dc] >= vm->since_index || echoed);
		assert_int_equal(sim_vm->in_flight, 0);
	}
}

static void check_one_pool(const sim_t *sim)
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
	size_t length_again;
	uint8_t *data = fleet_save(&sim->fleet, &length);
	uint8_t *again;
	fleet_t copy;

	fleet_init(&copy);
	assert_int_equal(fleet_load(&copy, data, length), 0);
	again = fleet_save(&copy, &length_again);
	assert_int_equal(length, length_again);
	assert_memory_equal(data, again, length);
	fleet_finish(&copy);
	free(data);
	free(again);
}

static void fail_rack(sim_t *sim)
{
	const sim_vm_t *one = &sim->vms[g_rand_int_range(sim->rand, 0, (int)sim->vm_count)];
	uint64_t for_us = (uint64_t)g_rand_int_range(sim->rand, 5, 300) * US_PER_S;

	for (size_t i = 0; i < sim->vm_count; i++) {
		if (strcmp(sim->vms[i].rack, one->rack) == 0)
			sim_fail_vm(sim, &sim->vms[i], for_us);
	}
}

/* A second loss of a VM that came back just now. */
static void fail_returned(sim_t *sim)
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
	Lp__PoolSpec *pool = template->pools[g_rand_int_range(sim->rand, 0, POOLS)];
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
		fail_returned(sim);
		break;
	case 5:
		change_template(sim, template);
		break;
	case 6:
		sim->cut[vm->dc] = true;
		break;
	case 7:
	case 8:
	case 9:
		for (int dc = 0; dc < dcs; dc++)
			sim->cut[dc] = false;
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
		sim->stuck[vm->dc] = !sim->stuck[vm->dc];
		break;
	}
}

/* Guards against any order of failures, repairs, partitions and template changes in which the
 * planner takes a VM without budget, re-assigns it before it is quiesced, or loses its pool. */
static void test_random_events(void **state)
{
	static const char *const files[] = {"examples/barid.yaml", "examples/tesfaye.yaml"};
	uint64_t moves = 0;
	uint64_t maintained = 0;

	for (uint32_t seed = 1; seed <= 6; seed++) {
		Lp__Template *template = sim_load_template(files[seed % 2]);
		int dcs = seed % 2 ? 3 : 4;
		sim_t sim;

		set_up(&sim, seed, template, dcs);
		sim.demands = g_array_new(FALSE, FALSE, sizeof(pool_demand_t));
		sim.check = check_action;
		for (int second = 0; second < 5000; second++) {
			random_event(&sim, template, dcs);
			sim_step(&sim);
			check_one_pool(&sim);
			if (second % 500 == 0)
				check_snapshot(&sim);
		}
		assert_int_equal(sim.violations, 0);
		moves += sim.moves;
		maintained += sim.maintained;
		g_array_unref(sim.demands);
		sim_finish(&sim);
		lp__template__free_unpacked(template, NULL);
	}
	/* The runs must have exercised what they guard. */
	assert_true(moves > 50);
	assert_true(maintained > 200);
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

/* Guards against a wave that does not end, or that maintains a VM twice. */
static void test_wave_completes(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	sim_t sim;

	set_up(&sim, 1, template, 4);
	assert_true(run_wave(&sim, "barid", 3600) < 3600);
	sim_step(&sim);
	assert_int_equal(sim.maintained, VMS);
	assert_int_equal(TAILQ_FIRST(&sim.fleet.waves)->state, LP__WAVE_STATE__WAVE_DONE);
	assert_int_equal(TAILQ_FIRST(&sim.fleet.waves)->done, VMS);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/* Guards against a wave that goes on after correlated failures, and against one that resumes
 * without an operator. */
static void test_wave_stops_after_failures(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	const fleet_wave_t *wave;
	uint64_t maintained;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	for (int i = 0; i < VMS; i++)
		sim.vms[i].reboot_us = 3600 * US_PER_S;
	for (int second = 0; second < 1500; second++)
		sim_step(&sim);
	wave = TAILQ_FIRST(&sim.fleet.waves);
	assert_int_equal(wave->state, LP__WAVE_STATE__WAVE_STOPPED);
	assert_int_equal(wave->failures, 2);
	maintained = sim.maintained;
	assert_int_equal(maintained, 2);
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

/* Guards against an in-flight count from before the cordon being taken for an idle target. */
static void test_idle_needs_new_announcement(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	plan_input_t input;
	GPtrArray *actions;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	while (sim.grants == 0)
		sim_step(&sim);
	for (int dc = 0; dc < 4; dc++)
		sim.applied[dc] = sim.index;
	input = sim_input(&sim);
	actions = planner_run(&input);
	assert_int_equal(actions->len, 0);
	g_ptr_array_unref(actions);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/* Guards against a lost VM that is not replaced, and against one that comes back unused. */
static void test_loss_is_replaced(void **state)
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

/* Guards against an estimate that differs from what the budgets allow: 10 VMs in each pool, of
 * which 4 (5 in the spare pool) may be out, in rounds of 1, 2, 8, 20 and 19 VMs. */
static void test_estimate(void **state)
{
	Lp__Template *template = sim_load_template("examples/barid.yaml");
	plan_estimate_t estimate;
	plan_input_t input;
	sim_t sim;

	set_up(&sim, 1, template, 4);
	sim_step(&sim);
	input = sim_input(&sim);
	planner_estimate(&input, template, 60000, &estimate);
	assert_int_equal(estimate.maintenance, VMS);
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

/* Guards against a wave that goes on while a data centre cannot be seen, and against one that stays
 * paused afterwards. */
static void test_partition_pauses(void **state)
{
	Lp__Template *template = sim_load_template("examples/tesfaye.yaml");
	uint64_t grants;
	sim_t sim;

	set_up(&sim, 1, template, 3);
	for (int second = 0; second < 100; second++)
		sim_step(&sim);
	sim.cut[1] = true;
	sim_step(&sim);
	grants = sim.grants;
	for (int second = 0; second < 100; second++)
		sim_step(&sim);
	assert_int_equal(sim.grants, grants);
	assert_int_equal(TAILQ_FIRST(&sim.fleet.waves)->state, LP__WAVE_STATE__WAVE_PAUSED);
	sim.cut[1] = false;
	assert_true(run_wave(&sim, "tesfaye", 3600) < 3600);
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
}

/* Guards against maintenance outside the window, at its edges and across midnight. */
static void test_windows(void **state)
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

	assert_true(plan_window_open(&spec, monday_ms));
	spec.n_windows = 1;
	spec.windows = windows;
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++)
		assert_int_equal(plan_window_open(&spec, monday_ms + table[i].minute * minute_ms),
				 table[i].open);
}

/* Guards against a surge of some seconds being taken for lasting need, and against the quiet time
 * between surges being taken for surplus. */
static void test_demand(void **state)
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
		/* 6 s of each 30 s at 5 times the mean of 20, the rest near nothing */
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
		cmocka_unit_test(test_random_events),
		cmocka_unit_test(test_wave_completes),
		cmocka_unit_test(test_wave_stops_after_failures),
		cmocka_unit_test(test_idle_needs_new_announcement),
		cmocka_unit_test(test_loss_is_replaced),
		cmocka_unit_test(test_estimate),
		cmocka_unit_test(test_partition_pauses),
		cmocka_unit_test(test_windows),
		cmocka_unit_test(test_demand),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
