/*
 * Compares the planner with simple policies on simulated fleets of 50 VMs.
 *
 *   bench_planner [SEEDS [CSV-FILE [rollout|spare]]]
 *
 * Roll-out: one wave over the whole fleet, reboots of 30 to 120 s, rare failures; against one VM at
 * a time per pool, against fixed batches of 2 per pool, and against the planner with reboot times
 * known beforehand, which no real planner can reach. Spare capacity: lasting rises
 * of demand; against a static reserve in each pool, and against moves that follow the present
 * demand.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "budget.h"
#include "capacity.h"
#include "clock.h"
#include "lib_fleet_sim.h"

#define VMS 50
#define POOLS 5
#define DEFAULT_SEEDS 15
#define MAX_SEEDS 100
#define SLOTS 8
#define ROLLOUT_LIMIT_S 7200
/* One VM failure in this time over the whole fleet; rarer ones would not occur in most runs. */
#define FAILURE_EVERY_S 900
#define SPARE_RUN_S (4 * 3600)
#define KNOWN_RAMP 8
/* Longer than a VM failure and its probation. */
#define SETTLE_S 300

typedef GPtrArray *(*policy_fn)(const plan_input_t *input);

typedef struct {
	double seconds;
	double bound;
	double ratio;
	double violations;
	double below_keep;
	double moves;
} rollout_t;

typedef struct {
	double idle_vms;
	double kept;
	double moves;
} spare_t;

/* --- policies --- */

static bool is_maintenance_grant(const plan_action_t *action)
{
	return action->kind == PLAN_CORDON &&
	       action->cordon.permit == LP__PERMIT_KIND__PERMIT_MAINTENANCE;
}

static uint32_t count_under_permit(const fleet_pool_t *pool)
{
	const fleet_vm_t *vm;
	uint32_t count = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link)
		count += vm->permit != LP__PERMIT_KIND__PERMIT_NONE;
	return count;
}

static void grant_batch(const plan_input_t *input, GPtrArray *actions, const fleet_pool_t *pool,
			uint32_t batch)
{
	const fleet_wave_t *wave = TAILQ_FIRST(&input->fleet->waves);
	const fleet_vm_t *vm;

	if (wave == NULL || wave->state != LP__WAVE_STATE__WAVE_RUNNING ||
	    count_under_permit(pool) > 0)
		return;
	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		plan_action_t *action;

		if (batch == 0)
			return;
		if (strcmp(vm->image, wave->image) == 0 ||
		    !budget_vm_usable(vm, input->health, input->now_us))
			continue;
		action = g_new0(plan_action_t, 1);
		action->kind = PLAN_CORDON;
		action->vm = vm;
		action->reason = g_strdup("baseline");
		action->cordon.permit = LP__PERMIT_KIND__PERMIT_MAINTENANCE;
		action->cordon.wave = wave->id;
		g_ptr_array_add(actions, action);
		batch--;
	}
}

/* The planner's steps, with grants of a fixed batch per pool that starts when the previous one has
 * ended, whatever the budget. */
static GPtrArray *plan_fixed(const plan_input_t *input, uint32_t batch)
{
	GPtrArray *actions = planner_run(input);
	const fleet_org_t *org;
	const fleet_pool_t *pool;

	for (guint i = actions->len; i-- > 0;) {
		if (is_maintenance_grant(g_ptr_array_index(actions, i)))
			g_ptr_array_remove_index(actions, i);
	}
	TAILQ_FOREACH (org, &input->fleet->orgs, link) {
		TAILQ_FOREACH (pool, &org->pools, link)
			grant_batch(input, actions, pool, batch);
	}
	return actions;
}

static GPtrArray *plan_one(const plan_input_t *input)
{
	return plan_fixed(input, 1);
}

static GPtrArray *plan_two(const plan_input_t *input)
{
	return plan_fixed(input, 2);
}

static const fleet_vm_t *known_due(const plan_input_t *input, const fleet_pool_t *pool,
				   const fleet_wave_t *wave, GHashTable *granted)
{
	bool shortest = wave->batch < KNOWN_RAMP;
	const fleet_vm_t *best = NULL;
	uint64_t best_us = 0;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		uint64_t reboot_us = sim_find_vm(input->arg, vm->id)->reboot_us;

		if (strcmp(vm->image, wave->image) == 0 ||
		    vm->permit != LP__PERMIT_KIND__PERMIT_NONE ||
		    !budget_vm_usable(vm, input->health, input->now_us) ||
		    g_hash_table_contains(granted, vm))
			continue;
		if (best == NULL || (shortest ? reboot_us < best_us : reboot_us > best_us)) {
			best = vm;
			best_us = reboot_us;
		}
	}
	return best;
}

/* The planner's grants, with the VMs of each pool in the order of their reboot times: the shortest
 * ones while the batch grows, then the longest ones first. */
static GPtrArray *plan_known_times(const plan_input_t *input)
{
	GPtrArray *actions = planner_run(input);
	GHashTable *granted = g_hash_table_new(g_direct_hash, g_direct_equal);
	const fleet_wave_t *wave = TAILQ_FIRST(&input->fleet->waves);

	for (guint i = 0; i < actions->len; i++) {
		plan_action_t *action = g_ptr_array_index(actions, i);

		if (!is_maintenance_grant(action))
			continue;
		action->vm = known_due(input, action->vm->pool, wave, granted);
		g_hash_table_add(granted, (void *)action->vm);
	}
	g_hash_table_unref(granted);
	return actions;
}

static GPtrArray *plan_without_grants(const plan_input_t *input)
{
	GPtrArray *actions = planner_run(input);

	for (guint i = actions->len; i-- > 0;) {
		const plan_action_t *action = g_ptr_array_index(actions, i);

		if (action->kind == PLAN_CORDON)
			g_ptr_array_remove_index(actions, i);
	}
	return actions;
}

/* --- roll-out --- */

static double mean_reboot_ms(const sim_t *sim)
{
	double sum = 0;

	for (size_t i = 0; i < sim->vm_count; i++)
		sum += (double)sim->vms[i].reboot_us / 1000;
	return sum / (double)sim->vm_count;
}

static uint32_t pools_below_keep(const sim_t *sim, const char *org_name)
{
	const fleet_org_t *org = fleet_org_find(&sim->fleet, org_name);
	const fleet_pool_t *pool;
	uint32_t below = 0;

	TAILQ_FOREACH (pool, &org->pools, link) {
		budget_t budget = budget_of(pool, &sim->health, sim->now_us);

		below += budget.usable < budget.keep;
	}
	return below;
}

static void fail_rarely(sim_t *sim)
{
	if (g_rand_int_range(sim->rand, 0, FAILURE_EVERY_S) == 0)
		sim_fail_vm(sim, &sim->vms[g_rand_int_range(sim->rand, 0, (int)sim->vm_count)],
			    (uint64_t)g_rand_int_range(sim->rand, 30, 180) * US_PER_S);
}

static void set_up_rollout(sim_t *sim, const Lp__Template *template, uint32_t seed, int dcs)
{
	sim_init(sim, seed);
	sim_apply_template(sim, template);
	for (int i = 0; i < VMS; i++) {
		sim_vm_t *vm =
			sim_add_vm(sim, template->organisation, template->pools[i % POOLS]->name,
				   i / 4 % dcs, i / 4, "old");

		vm->reboot_us = (uint64_t)g_rand_int_range(sim->rand, 30, 121) * US_PER_S;
	}
}

static double lower_bound_s(sim_t *sim, const Lp__Template *template)
{
	plan_input_t input = sim_input(sim);
	plan_estimate_t estimate;
	double bound;

	planner_estimate(&input, template, (uint64_t)mean_reboot_ms(sim), &estimate);
	bound = (double)estimate.rollout_bound_ms / 1000;
	plan_estimate_finish(&estimate);
	return bound;
}

/* Each VM's next reboot takes its own time again, within a tenth. */
static void vary_reboots(sim_t *sim)
{
	for (size_t i = 0; i < sim->vm_count; i++) {
		double factor = g_rand_double_range(sim->rand, 0.9, 1.1);

		sim->vms[i].reboot_us = (uint64_t)((double)sim->vms[i].reboot_us * factor);
	}
}

static rollout_t run_wave(sim_t *sim, const Lp__Template *template)
{
	uint64_t violations = sim->violations;
	uint64_t moves = sim->moves;
	rollout_t result = {.bound = lower_bound_s(sim, template)};

	while (result.seconds < ROLLOUT_LIMIT_S &&
	       !sim_wave_finished(sim, template->organisation)) {
		fail_rarely(sim);
		sim_step(sim);
		result.seconds++;
		result.below_keep += pools_below_keep(sim, template->organisation);
	}
	result.ratio = result.seconds / result.bound;
	result.violations = (double)(sim->violations - violations);
	result.moves = (double)(sim->moves - moves);
	return result;
}

static void wait_until_whole(sim_t *sim)
{
	sim->plan = plan_without_grants;
	for (int second = 0; second < SETTLE_S; second++)
		sim_step(sim);
}

/* @param waves the result is that of the last of so many waves */
static rollout_t run_rollout(const char *file, bool tight, policy_fn policy, int waves,
			     uint32_t seed, int dcs)
{
	Lp__Template *template = sim_load_template(file);
	rollout_t result = {0};
	sim_t sim;

	for (size_t i = 0; tight && i < template->n_pools; i++)
		template->pools[i]->keep_vms = VMS / POOLS - 2;
	set_up_rollout(&sim, template, seed, dcs);
	for (int wave = 0; wave < waves; wave++) {
		if (wave > 0) {
			free(template->maintenance->image);
			template->maintenance->image = strdup("next");
			vary_reboots(&sim);
			sim_apply_template(&sim, template);
		}
		wait_until_whole(&sim);
		sim.plan = policy;
		result = run_wave(&sim, template);
	}
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
	return result;
}

/* --- spare capacity --- */

/* Demand of a pool: a base with lasting rises, and short surges on top. */
typedef struct {
	double base;
	double level; /* present factor */
	int rise_until;
	int surge_until;
} load_t;

#define BASE_SLOTS 28.0
#define SHARED_VMS 9
#define RISE 2.2
#define RAMP_PER_S 0.01
/* Use of the slots that a pool is sized for; the same for all policies. */
#define USE 0.7

static double next_slots(load_t *load, GRand *rand, int second)
{
	double target = second < load->rise_until ? RISE : 1.0;

	/* Each pool is in a rise of 10 to 30 min for about an eighth of the time. */
	if (second >= load->rise_until && g_rand_int_range(rand, 0, 8400) == 0)
		load->rise_until = second + g_rand_int_range(rand, 600, 1800);
	if (second >= load->surge_until && g_rand_int_range(rand, 0, 60) == 0)
		load->surge_until = second + g_rand_int_range(rand, 3, 9);
	if (load->level < target)
		load->level = MIN(target, load->level + RAMP_PER_S);
	else
		load->level = MAX(target, load->level - RAMP_PER_S);
	return load->base * load->level;
}

typedef enum {
	SPARE_SHARED,  /* the planner with smoothed demand */
	SPARE_STATIC,  /* each pool holds its own reserve */
	SPARE_PRESENT, /* moves follow the present demand */
} spare_kind_t;

typedef struct {
	sim_t sim;
	capacity_t capacity;
	load_t loads[POOLS];
	double slots[POOLS]; /* lasting demand, without surges */
	double present[POOLS];
} spare_run_t;

static void report_loads(spare_run_t *run, const Lp__Template *template, GRand *rand, int second)
{
	Lp__PoolLoad loads[POOLS];
	Lp__PoolLoad *list[POOLS];
	Lp__LoadReport report = LP__LOAD_REPORT__INIT;

	for (int i = 0; i < POOLS; i++) {
		bool spare = template->pools[i]->spare;

		run->slots[i] = spare ? 10 : next_slots(&run->loads[i], rand, second);
		run->present[i] = run->slots[i] * (second < run->loads[i].surge_until ? 5 : 0.6);
		lp__pool_load__init(&loads[i]);
		loads[i].organisation = template->organisation;
		loads[i].pool = template->pools[i]->name;
		loads[i].in_flight = (uint32_t)lround(run->present[i]);
		list[i] = &loads[i];
	}
	report.n_pools = POOLS;
	report.pools = list;
	capacity_report(&run->capacity, 1, &report, run->sim.now_us);
	capacity_sample(&run->capacity, run->sim.now_us);
}

static void set_demands(spare_run_t *run, const Lp__Template *template, spare_kind_t kind)
{
	const fleet_org_t *org = fleet_org_find(&run->sim.fleet, template->organisation);

	if (run->sim.demands != NULL)
		g_array_unref(run->sim.demands);
	run->sim.demands = capacity_demands(&run->capacity, &run->sim.fleet, run->sim.now_us);
	if (kind != SPARE_PRESENT)
		return;
	g_array_set_size(run->sim.demands, 0);
	for (int i = 0; i < POOLS; i++) {
		pool_demand_t demand = {.pool = fleet_pool_find(org, template->pools[i]->name)};

		demand.slots_sustained = run->present[i];
		demand.slots_peak = run->present[i];
		g_array_append_val(run->sim.demands, demand);
	}
}

/* Pools whose lasting demand fits the slots of their usable VMs, and that have keep_vms. */
static uint32_t pools_kept(spare_run_t *run, const Lp__Template *template)
{
	const fleet_org_t *org = fleet_org_find(&run->sim.fleet, template->organisation);
	uint32_t kept = 0;

	for (int i = 0; i < POOLS; i++) {
		const fleet_pool_t *pool = fleet_pool_find(org, template->pools[i]->name);
		budget_t budget = budget_of(pool, &run->sim.health, run->sim.now_us);

		kept += budget.usable >= budget.keep && budget.usable * SLOTS >= run->slots[i];
	}
	return kept;
}

static double idle_vms(const spare_run_t *run)
{
	double needed = 0;

	for (int i = 0; i < POOLS; i++)
		needed += ceil(run->slots[i] / (USE * SLOTS));
	return (double)run->sim.vm_count - needed;
}

static void add_vms(spare_run_t *run, Lp__Template *template, spare_kind_t kind, int dcs)
{
	/* A pool's own reserve covers its rise and one failure; the shared spare pool covers the
	 * rises of two pools at a time and one failure. */
	int own = (int)ceil(BASE_SLOTS * RISE / (USE * SLOTS)) + 1;
	int counts[POOLS];
	int number = 0;

	for (int i = 0; i < POOLS; i++) {
		bool spare = template->pools[i]->spare;

		if (kind == SPARE_STATIC)
			counts[i] = spare ? 5 : own;
		else
			counts[i] = spare ? 5 + SHARED_VMS : 8;
		template->pools[i]->keep_vms = spare ? 4 : 5;
		template->pools[i]->min_vms = spare ? 5 : MIN(8U, (uint32_t)counts[i]);
		template->pools[i]->max_vms = 0;
	}
	sim_apply_template(&run->sim, template);
	for (bool more = true; more;) {
		more = false;
		for (int i = 0; i < POOLS; i++) {
			if (counts[i]-- <= 0)
				continue;
			sim_add_vm(&run->sim, template->organisation, template->pools[i]->name,
				   number / 4 % dcs, number / 4, template->maintenance->image);
			number++;
			more = true;
		}
	}
}

static spare_t run_spare(const char *file, spare_kind_t kind, uint32_t seed, int dcs)
{
	Lp__Template *template = sim_load_template(file);
	GRand *rand = g_rand_new_with_seed(seed);
	spare_t result = {0};
	spare_run_t run = {0};

	sim_init(&run.sim, seed);
	capacity_init(&run.capacity);
	if (kind == SPARE_STATIC)
		run.sim.plan = plan_without_grants;
	add_vms(&run, template, kind, dcs);
	for (int i = 0; i < POOLS; i++)
		run.loads[i] = (load_t){.base = BASE_SLOTS, .level = 1};
	for (int second = 0; second < SPARE_RUN_S; second++) {
		report_loads(&run, template, rand, second);
		set_demands(&run, template, kind);
		fail_rarely(&run.sim);
		sim_step(&run.sim);
		if (second < 5)
			continue;
		result.idle_vms += idle_vms(&run) / (SPARE_RUN_S - 5);
		result.kept += (double)pools_kept(&run, template) / POOLS / (SPARE_RUN_S - 5);
	}
	result.moves = (double)run.sim.moves;
	g_array_unref(run.sim.demands);
	capacity_finish(&run.capacity);
	sim_finish(&run.sim);
	g_rand_free(rand);
	lp__template__free_unpacked(template, NULL);
	return result;
}

/* --- output --- */

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print_metric(FILE *csv, const char *row, const char *metric, double *values, int count)
{
	double median;

	qsort(values, (size_t)count, sizeof(*values), compare_doubles);
	median = count % 2 ? values[count / 2] : (values[count / 2 - 1] + values[count / 2]) / 2;
	printf("%-36s %-14s %10.3f %10.3f %10.3f\n", row, metric, median, values[0],
	       values[count - 1]);
	if (csv != NULL)
		fprintf(csv, "\"%s\",%s,%.4f,%.4f,%.4f,%d\n", row, metric, median, values[0],
			values[count - 1], count);
}

/* A tight fleet has keep_vms raised so that each pool can spare one VM. */
static void bench_rollout(FILE *csv, const char *file, const char *org, int dcs, int seeds,
			  bool tight)
{
	static const struct {
		const char *name;
		policy_fn plan;
		int waves;
	} policies[] = {
		{"planner, first wave", planner_run, 1}, {"planner, second wave", planner_run, 2},
		{"times known", plan_known_times, 1},	 {"one per pool", plan_one, 1},
		{"two per pool", plan_two, 1},
	};

	for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
		double values[6][MAX_SEEDS];
		char row[64];

		for (int s = 0; s < seeds; s++) {
			rollout_t r = run_rollout(file, tight, policies[p].plan, policies[p].waves,
						  (uint32_t)s + 1, dcs);

			values[0][s] = r.seconds;
			values[1][s] = r.bound;
			values[2][s] = r.ratio;
			values[3][s] = r.violations;
			values[4][s] = r.below_keep;
			values[5][s] = r.moves;
		}
		snprintf(row, sizeof(row), "%s%s: %s", org, tight ? " tight" : "",
			 policies[p].name);
		print_metric(csv, row, "rollout_s", values[0], seeds);
		print_metric(csv, row, "bound_s", values[1], seeds);
		print_metric(csv, row, "rollout/bound", values[2], seeds);
		print_metric(csv, row, "violations", values[3], seeds);
		print_metric(csv, row, "below_keep_s", values[4], seeds);
		print_metric(csv, row, "moves", values[5], seeds);
	}
}

static void bench_spare(FILE *csv, const char *file, const char *org, int dcs, int seeds)
{
	static const char *const names[] = {"shared spare", "static reserve", "present demand"};

	for (int kind = SPARE_SHARED; kind <= SPARE_PRESENT; kind++) {
		double values[3][MAX_SEEDS];
		char row[64];

		for (int s = 0; s < seeds; s++) {
			spare_t r = run_spare(file, (spare_kind_t)kind, (uint32_t)s + 1, dcs);

			values[0][s] = r.idle_vms;
			values[1][s] = r.kept * 100;
			values[2][s] = r.moves;
		}
		snprintf(row, sizeof(row), "%s: %s", org, names[kind]);
		print_metric(csv, row, "idle_vms", values[0], seeds);
		print_metric(csv, row, "kept_percent", values[1], seeds);
		print_metric(csv, row, "moves", values[2], seeds);
	}
}

int main(int argc, char **argv)
{
	const char *part = argc > 3 ? argv[3] : "";
	int seeds = argc > 1 ? (int)strtol(argv[1], NULL, 10) : DEFAULT_SEEDS;
	FILE *csv = argc > 2 ? fopen(argv[2], "w") : NULL;

	if (seeds < 1 || seeds > MAX_SEEDS || (argc > 2 && csv == NULL)) {
		fprintf(stderr,
			"usage: bench_planner [SEEDS (1 to %d) [CSV-FILE [rollout|spare]]]\n",
			MAX_SEEDS);
		return 2;
	}
	printf("%-36s %-14s %10s %10s %10s\n", "policy", "metric", "median", "least", "greatest");
	if (csv != NULL)
		fprintf(csv, "policy,metric,median,least,greatest,seeds\n");
	if (strcmp(part, "spare") != 0) {
		bench_rollout(csv, "examples/barid.yaml", "barid", 4, seeds, false);
		bench_rollout(csv, "examples/tesfaye.yaml", "tesfaye", 3, seeds, false);
		bench_rollout(csv, "examples/barid.yaml", "barid", 4, seeds, true);
		bench_rollout(csv, "examples/tesfaye.yaml", "tesfaye", 3, seeds, true);
	}
	if (strcmp(part, "rollout") != 0) {
		bench_spare(csv, "examples/barid.yaml", "barid", 4, seeds);
		bench_spare(csv, "examples/tesfaye.yaml", "tesfaye", 3, seeds);
	}
	if (csv != NULL)
		fclose(csv);
	return 0;
}
