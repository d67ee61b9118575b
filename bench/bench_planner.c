/*
 * Compares the planner with simple policies on simulated fleets of 50 VMs.
 *
 *   bench_planner [SEEDS [CSV-FILE [rollout|spare]]]
 *
 * rollout: a maintenance wave over the whole fleet, with reboots of 30 to 120 s and rare VM
 * failures. The planner is compared with batches of one and of two VMs per pool, and with a variant
 * that knows the reboot times beforehand, which no real planner can match.
 *
 * spare: sustained rises of demand. The planner is compared with a fixed reserve in each pool, and
 * with moves that follow the current demand.
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

#define VM_COUNT 50
#define POOL_COUNT 5
#define DEFAULT_SEEDS 15
#define MAX_SEEDS 100
#define SLOTS 8
#define ROLLOUT_LIMIT_S 7200
/* Mean time between VM failures in the fleet. If they were rarer, most runs would have none. */
#define MEAN_FAILURE_INTERVAL_S 900
#define SPARE_RUN_S (4 * 3600)
/* While the batch of the wave is smaller than this, plan_known_reboot_times() prefers short
 * reboots. */
#define RAMP_UP_BATCH 8
/* Time between two waves; longer than a VM failure and the probation after it. */
#define RECOVERY_WAIT_S 300

typedef GPtrArray *(*policy_fn)(const plan_input_t *input);

typedef struct {
	double duration_s;
	double bound_s; /* lower bound of the duration, by planner_estimate() */
	double duration_to_bound;
	double violations;	   /* number of permits granted without free budget */
	double pools_below_keep_s; /* total time that pools had too few usable VMs, summed over the
				      pools */
	double moves;		   /* number of VMs moved between pools */
} rollout_result_t;

typedef struct {
	double mean_idle_vms; /* mean number of VMs that the sustained demand does not need */
	double pools_with_capacity_share; /* mean share of the pools that had at least keep_vms
					     usable VMs and enough slots for the sustained demand */
	double moves;			  /* number of VMs moved between pools */
} spare_result_t;

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

/* Grants maintenance to up to batch VMs of a pool, unless a VM of the pool already has a permit. */
static void grant_fixed_batch(const plan_input_t *input, GPtrArray *actions,
			      const fleet_pool_t *pool, uint32_t batch)
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

/* Policy: the planner, with its maintenance grants replaced by batches of a fixed size per pool. A
 * batch starts when the previous one has ended, regardless of the budget. */
static GPtrArray *plan_fixed_batch(const plan_input_t *input, uint32_t batch)
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
			grant_fixed_batch(input, actions, pool, batch);
	}
	return actions;
}

static GPtrArray *plan_one_per_pool(const plan_input_t *input)
{
	return plan_fixed_batch(input, 1);
}

static GPtrArray *plan_two_per_pool(const plan_input_t *input)
{
	return plan_fixed_batch(input, 2);
}

/* Among the VMs of a pool that are due for maintenance, finds the one with the shortest reboot, or
 * with the longest reboot once the wave's batch has grown to RAMP_UP_BATCH. */
static const fleet_vm_t *next_vm_by_reboot_time(const plan_input_t *input, const fleet_pool_t *pool,
						const fleet_wave_t *wave, GHashTable *granted)
{
	bool shortest_first = wave->batch < RAMP_UP_BATCH;
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
		if (best == NULL || (shortest_first ? reboot_us < best_us : reboot_us > best_us)) {
			best = vm;
			best_us = reboot_us;
		}
	}
	return best;
}

/* Policy: the planner, with the VMs of its maintenance grants chosen by their reboot times. The
 * shortest come first while the batch grows, which makes it grow faster, then the longest. */
static GPtrArray *plan_known_reboot_times(const plan_input_t *input)
{
	GPtrArray *actions = planner_run(input);
	GHashTable *granted = g_hash_table_new(g_direct_hash, g_direct_equal);
	const fleet_wave_t *wave = TAILQ_FIRST(&input->fleet->waves);

	for (guint i = 0; i < actions->len; i++) {
		plan_action_t *action = g_ptr_array_index(actions, i);

		if (!is_maintenance_grant(action))
			continue;
		action->vm = next_vm_by_reboot_time(input, action->vm->pool, wave, granted);
		g_hash_table_add(granted, (void *)action->vm);
	}
	g_hash_table_unref(granted);
	return actions;
}

/* Policy: the planner without its cordons, so that no maintenance and no moves start. */
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

static uint32_t count_pools_below_keep(const sim_t *sim, const char *org_name)
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

/* Called once per simulated second. Lets a random VM fail for 30 to 180 s, on average every
 * MEAN_FAILURE_INTERVAL_S. */
static void inject_random_failure(sim_t *sim)
{
	if (g_rand_int_range(sim->rand, 0, MEAN_FAILURE_INTERVAL_S) == 0)
		sim_fail_vm(sim, &sim->vms[g_rand_int_range(sim->rand, 0, (int)sim->vm_count)],
			    (uint64_t)g_rand_int_range(sim->rand, 30, 180) * US_PER_S);
}

static void create_rollout_fleet(sim_t *sim, const Lp__Template *template, uint32_t seed,
				 int dc_count)
{
	sim_init(sim, seed);
	sim_apply_template(sim, template);
	for (int i = 0; i < VM_COUNT; i++) {
		sim_vm_t *vm = sim_add_vm(sim, template->organisation,
					  template->pools[i % POOL_COUNT]->name, i / 4 % dc_count,
					  i / 4, "old");

		vm->reboot_us = (uint64_t)g_rand_int_range(sim->rand, 30, 121) * US_PER_S;
	}
}

static double rollout_lower_bound_s(sim_t *sim, const Lp__Template *template)
{
	plan_input_t input = sim_input(sim);
	plan_estimate_t estimate;
	double bound;

	planner_estimate(&input, template, (uint64_t)mean_reboot_ms(sim), &estimate);
	bound = (double)estimate.rollout_bound_ms / 1000;
	plan_estimate_finish(&estimate);
	return bound;
}

/* Changes the duration of each VM's next reboot by up to 10%. */
static void vary_reboot_times(sim_t *sim)
{
	for (size_t i = 0; i < sim->vm_count; i++) {
		double factor = g_rand_double_range(sim->rand, 0.9, 1.1);

		sim->vms[i].reboot_us = (uint64_t)((double)sim->vms[i].reboot_us * factor);
	}
}

static rollout_result_t run_wave(sim_t *sim, const Lp__Template *template)
{
	uint64_t violations = sim->violations;
	uint64_t moves = sim->moves;
	rollout_result_t result = {.bound_s = rollout_lower_bound_s(sim, template)};

	while (result.duration_s < ROLLOUT_LIMIT_S &&
	       !sim_wave_finished(sim, template->organisation)) {
		inject_random_failure(sim);
		sim_step(sim);
		result.duration_s++;
		result.pools_below_keep_s += count_pools_below_keep(sim, template->organisation);
	}
	result.duration_to_bound = result.duration_s / result.bound_s;
	result.violations = (double)(sim->violations - violations);
	result.moves = (double)(sim->moves - moves);
	return result;
}

static void wait_for_recovery(sim_t *sim)
{
	sim->plan = plan_without_grants;
	for (int second = 0; second < RECOVERY_WAIT_S; second++)
		sim_step(sim);
}

/* Runs waves one after the other and returns the results of the last one.
 * @param tight raises keep_vms so far that each pool can spare only one VM
 * @param waves number of waves */
static rollout_result_t run_rollout(const char *file, bool tight, policy_fn policy, int waves,
				    uint32_t seed, int dc_count)
{
	Lp__Template *template = sim_load_template(file);
	rollout_result_t result = {0};
	sim_t sim;

	for (size_t i = 0; tight && i < template->n_pools; i++)
		template->pools[i]->keep_vms = VM_COUNT / POOL_COUNT - 2;
	create_rollout_fleet(&sim, template, seed, dc_count);
	for (int wave = 0; wave < waves; wave++) {
		if (wave > 0) {
			free(template->maintenance->image);
			template->maintenance->image = strdup("next");
			vary_reboot_times(&sim);
			sim_apply_template(&sim, template);
		}
		wait_for_recovery(&sim);
		sim.plan = policy;
		result = run_wave(&sim, template);
	}
	sim_finish(&sim);
	lp__template__free_unpacked(template, NULL);
	return result;
}

/* --- spare capacity --- */

/* Simulated demand of a pool: a base, sustained rises, and short surges on top. */
typedef struct {
	double base_slots;
	double current_factor; /* sustained demand as a multiple of base_slots, from 1 to
				  RISE_FACTOR */
	int rise_end_s;	       /* second of the run at which the rise ends */
	int surge_end_s;       /* second of the run at which the surge ends */
} demand_model_t;

#define BASE_SLOTS 28.0
/* Number of VMs in the spare pool that serve as a reserve for rises in the other pools. */
#define SHARED_RESERVE_VMS 9
/* Sustained demand during a rise, as a multiple of the base. */
#define RISE_FACTOR 2.2
#define FACTOR_CHANGE_PER_S 0.01
/* Share of a pool's slots that the sustained demand should use; the same for all policies. */
#define SIZING_UTILISATION 0.7

/* Advances the demand of a pool by one second.
 * @return sustained demand in slots, without surges */
static double advance_demand(demand_model_t *demand, GRand *rand, int second)
{
	double target = second < demand->rise_end_s ? RISE_FACTOR : 1.0;

	/* A rise lasts 10 to 30 min. A pool is in a rise for about an eighth of the time. */
	if (second >= demand->rise_end_s && g_rand_int_range(rand, 0, 8400) == 0)
		demand->rise_end_s = second + g_rand_int_range(rand, 600, 1800);
	if (second >= demand->surge_end_s && g_rand_int_range(rand, 0, 60) == 0)
		demand->surge_end_s = second + g_rand_int_range(rand, 3, 9);
	if (demand->current_factor < target)
		demand->current_factor = MIN(target, demand->current_factor + FACTOR_CHANGE_PER_S);
	else
		demand->current_factor = MAX(target, demand->current_factor - FACTOR_CHANGE_PER_S);
	return demand->base_slots * demand->current_factor;
}

typedef enum {
	RESERVE_SHARED,		   /* reserve in the spare pool; moves follow the smoothed demand */
	RESERVE_PER_POOL,	   /* a reserve in each pool; no moves */
	RESERVE_BY_CURRENT_DEMAND, /* reserve in the spare pool; moves follow the demand of this
				      second */
} reserve_policy_t;

typedef struct {
	sim_t sim;
	capacity_t capacity;
	demand_model_t demand_models[POOL_COUNT];
	double sustained_slots[POOL_COUNT]; /* sustained demand of each pool, without surges */
	double current_slots[POOL_COUNT];   /* demand of each pool in this second, with surges */
} spare_run_t;

/* Advances the demand of all pools by one second and reports it to the capacity estimate. */
static void report_demand(spare_run_t *run, const Lp__Template *template, GRand *rand, int second)
{
	Lp__PoolLoad loads[POOL_COUNT];
	Lp__PoolLoad *list[POOL_COUNT];
	Lp__LoadReport report = LP__LOAD_REPORT__INIT;

	for (int i = 0; i < POOL_COUNT; i++) {
		bool spare = template->pools[i]->spare;

		run->sustained_slots[i] =
			spare ? 10 : advance_demand(&run->demand_models[i], rand, second);
		run->current_slots[i] = run->sustained_slots[i] *
					(second < run->demand_models[i].surge_end_s ? 5 : 0.6);
		lp__pool_load__init(&loads[i]);
		loads[i].organisation = template->organisation;
		loads[i].pool = template->pools[i]->name;
		loads[i].in_flight = (uint32_t)lround(run->current_slots[i]);
		list[i] = &loads[i];
	}
	report.n_pools = POOL_COUNT;
	report.pools = list;
	capacity_report(&run->capacity, 1, &report, run->sim.now_us);
	capacity_sample(&run->capacity, run->sim.now_us);
}

/* Sets the demand that the planner sees under a policy. */
static void set_planner_demands(spare_run_t *run, const Lp__Template *template,
				reserve_policy_t policy)
{
	const fleet_org_t *org = fleet_org_find(&run->sim.fleet, template->organisation);

	if (run->sim.demands != NULL)
		g_array_unref(run->sim.demands);
	run->sim.demands = capacity_demands(&run->capacity, &run->sim.fleet, run->sim.now_us);
	if (policy != RESERVE_BY_CURRENT_DEMAND)
		return;
	g_array_set_size(run->sim.demands, 0);
	for (int i = 0; i < POOL_COUNT; i++) {
		pool_demand_t demand = {.pool = fleet_pool_find(org, template->pools[i]->name)};

		demand.slots_sustained = run->current_slots[i];
		demand.slots_peak = run->current_slots[i];
		g_array_append_val(run->sim.demands, demand);
	}
}

/* Counts the pools that have at least keep_vms usable VMs and enough slots for the sustained
 * demand. */
static uint32_t count_pools_with_capacity(spare_run_t *run, const Lp__Template *template)
{
	const fleet_org_t *org = fleet_org_find(&run->sim.fleet, template->organisation);
	uint32_t pools_with_capacity = 0;

	for (int i = 0; i < POOL_COUNT; i++) {
		const fleet_pool_t *pool = fleet_pool_find(org, template->pools[i]->name);
		budget_t budget = budget_of(pool, &run->sim.health, run->sim.now_us);

		pools_with_capacity += budget.usable >= budget.keep &&
				       budget.usable * SLOTS >= run->sustained_slots[i];
	}
	return pools_with_capacity;
}

static double count_idle_vms(const spare_run_t *run)
{
	double needed = 0;

	for (int i = 0; i < POOL_COUNT; i++)
		needed += ceil(run->sustained_slots[i] / (SIZING_UTILISATION * SLOTS));
	return (double)run->sim.vm_count - needed;
}

static void add_vms(spare_run_t *run, Lp__Template *template, reserve_policy_t policy, int dc_count)
{
	/* The reserve of a single pool covers one rise of its demand and one failure. The shared
	 * reserve covers rises in two pools at a time and one failure. */
	int vms_with_own_reserve =
		(int)ceil(BASE_SLOTS * RISE_FACTOR / (SIZING_UTILISATION * SLOTS)) + 1;
	int counts[POOL_COUNT];
	int vm_index = 0;

	for (int i = 0; i < POOL_COUNT; i++) {
		bool spare = template->pools[i]->spare;

		if (policy == RESERVE_PER_POOL)
			counts[i] = spare ? 5 : vms_with_own_reserve;
		else
			counts[i] = spare ? 5 + SHARED_RESERVE_VMS : 8;
		template->pools[i]->keep_vms = spare ? 4 : 5;
		template->pools[i]->min_vms = spare ? 5 : MIN(8U, (uint32_t)counts[i]);
		template->pools[i]->max_vms = 0;
	}
	sim_apply_template(&run->sim, template);
	for (bool vms_left = true; vms_left;) {
		vms_left = false;
		for (int i = 0; i < POOL_COUNT; i++) {
			if (counts[i]-- <= 0)
				continue;
			sim_add_vm(&run->sim, template->organisation, template->pools[i]->name,
				   vm_index / 4 % dc_count, vm_index / 4,
				   template->maintenance->image);
			vm_index++;
			vms_left = true;
		}
	}
}

static spare_result_t run_spare(const char *file, reserve_policy_t policy, uint32_t seed,
				int dc_count)
{
	Lp__Template *template = sim_load_template(file);
	GRand *rand = g_rand_new_with_seed(seed);
	spare_result_t result = {0};
	spare_run_t run = {0};

	sim_init(&run.sim, seed);
	capacity_init(&run.capacity);
	if (policy == RESERVE_PER_POOL)
		run.sim.plan = plan_without_grants;
	add_vms(&run, template, policy, dc_count);
	for (int i = 0; i < POOL_COUNT; i++)
		run.demand_models[i] =
			(demand_model_t){.base_slots = BASE_SLOTS, .current_factor = 1};
	for (int second = 0; second < SPARE_RUN_S; second++) {
		report_demand(&run, template, rand, second);
		set_planner_demands(&run, template, policy);
		inject_random_failure(&run.sim);
		sim_step(&run.sim);
		if (second < 5)
			continue;
		result.mean_idle_vms += count_idle_vms(&run) / (SPARE_RUN_S - 5);
		result.pools_with_capacity_share +=
			(double)count_pools_with_capacity(&run, template) / POOL_COUNT /
			(SPARE_RUN_S - 5);
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

/* Compares the roll-out policies on one template.
 * @param tight raises keep_vms so far that each pool can spare only one VM */
static void bench_rollout(FILE *csv, const char *file, const char *org, int dc_count, int seeds,
			  bool tight)
{
	static const struct {
		const char *name;
		policy_fn plan;
		int waves;
	} policies[] = {
		{"planner, first wave", planner_run, 1},
		{"planner, second wave", planner_run, 2},
		{"times known", plan_known_reboot_times, 1},
		{"one per pool", plan_one_per_pool, 1},
		{"two per pool", plan_two_per_pool, 1},
	};

	for (size_t p = 0; p < G_N_ELEMENTS(policies); p++) {
		double values[6][MAX_SEEDS];
		char row[64];

		for (int s = 0; s < seeds; s++) {
			rollout_result_t r =
				run_rollout(file, tight, policies[p].plan, policies[p].waves,
					    (uint32_t)s + 1, dc_count);

			values[0][s] = r.duration_s;
			values[1][s] = r.bound_s;
			values[2][s] = r.duration_to_bound;
			values[3][s] = r.violations;
			values[4][s] = r.pools_below_keep_s;
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

static void bench_spare(FILE *csv, const char *file, const char *org, int dc_count, int seeds)
{
	static const char *const names[] = {"shared spare", "static reserve", "present demand"};

	for (int policy = RESERVE_SHARED; policy <= RESERVE_BY_CURRENT_DEMAND; policy++) {
		double values[3][MAX_SEEDS];
		char row[64];

		for (int s = 0; s < seeds; s++) {
			spare_result_t r = run_spare(file, (reserve_policy_t)policy,
						     (uint32_t)s + 1, dc_count);

			values[0][s] = r.mean_idle_vms;
			values[1][s] = r.pools_with_capacity_share * 100;
			values[2][s] = r.moves;
		}
		snprintf(row, sizeof(row), "%s: %s", org, names[policy]);
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
