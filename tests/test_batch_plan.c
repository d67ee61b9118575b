#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <glib.h>

#include "batch_capacity.h"
#include "batch_order.h"
#include "batch_place.h"
#include "batch_state.h"
#include "lib_batch.h"

#define CORES 64.0

/* --- placement --- */

static place_vm_t make_vm(const char *rack, int64_t cpu)
{
	return (place_vm_t){
		.rack = rack,
		.cpu_milli = cpu,
		.mem_mib = 1000000,
		.cpu_total = 64000,
		.slowness = 1.0,
		.usable = true,
		.allowed = true,
	};
}

static Lp__BatchStep make_step(uint32_t cpu)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;

	step.count = 1;
	step.cpu_milli = cpu;
	step.estimate_ms = 1000;
	return step;
}

/* Guards against placing only some members of a gang: they would wait for the others. */
static void test_gang_is_placed_entirely_or_not_at_all(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 8000), make_vm("r1", 4000)};
	Lp__BatchStep step = make_step(4000);
	size_t chosen[4];

	step.gang = true;
	assert_int_equal(place_step(vms, 2, &step, 4, chosen), 0);
	assert_int_equal(vms[0].cpu_milli, 8000);
	assert_int_equal(vms[1].cpu_milli, 4000);
	assert_int_equal(place_step(vms, 2, &step, 3, chosen), 3);
}

/* Guards against spreading a rack-local step over racks while one rack has capacity for it. */
static void test_rack_local_step_stays_in_one_rack(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 8000), make_vm("r2", 16000), make_vm("r2", 8000)};
	Lp__BatchStep step = make_step(4000);
	size_t chosen[6];

	step.rack_local = true;
	assert_int_equal(place_step(vms, 3, &step, 6, chosen), 6);
	for (size_t i = 0; i < 6; i++)
		assert_string_equal(vms[chosen[i]].rack, "r2");
}

/* Guards against exceeding max_per_vm and against using a VM without the required label. */
static void test_max_per_vm_and_constraint_are_respected(void **state)
{
	const char *labels[] = {"a", "r1"};
	place_vm_t vms[] = {make_vm("r1", 64000), make_vm("r1", 64000), make_vm("r1", 64000)};
	Lp__BatchStep step = make_step(1000);
	size_t chosen[8];

	vms[0].labels = labels;
	vms[0].label_count = 2;
	vms[1].labels = labels;
	vms[1].label_count = 2;
	step.constraint = (char *)"a";
	step.max_per_vm = 2;
	assert_int_equal(place_step(vms, 3, &step, 8, chosen), 4);
	for (size_t i = 0; i < 4; i++)
		assert_true(chosen[i] < 2);
}

/* Guards against a best-effort task next to a latency-goal task while another VM is free. */
static void test_best_effort_tasks_avoid_latency_goal_tasks(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 64000), make_vm("r1", 1000)};
	Lp__BatchStep step = make_step(30000);
	size_t chosen[1];

	vms[0].latency_goal_tasks = 1;
	step.best_effort = true;
	assert_int_equal(place_step(vms, 2, &step, 1, chosen), 1);
	assert_int_equal(chosen[0], 1);
}

/* Guards against placing tasks on a slow VM while others have capacity. */
static void test_slow_vms_are_used_last(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 64000), make_vm("r1", 64000)};
	Lp__BatchStep step = make_step(30000);
	size_t chosen[3];

	vms[0].slowness = 4.0;
	assert_int_equal(place_step(vms, 2, &step, 3, chosen), 3);
	assert_int_equal(chosen[0], 1);
	assert_int_equal(chosen[1], 1);
	assert_int_equal(chosen[2], 0);
}

/* Guards against scattering a job over many partly used VMs although one VM has capacity for all
 * its tasks: a failure of any of these VMs would make the job late. */
static void test_job_is_placed_on_one_vm(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 10000), make_vm("r1", 50000), make_vm("r2", 64000),
			    make_vm("r2", 20000)};
	Lp__BatchStep step = make_step(6000);
	size_t chosen[8];

	assert_int_equal(place_step(vms, 4, &step, 8, chosen), 8);
	for (size_t i = 0; i < 8; i++)
		assert_int_equal(chosen[i], 1);
	assert_int_equal(vms[1].job_tasks, 8);
}

/* Guards against spreading a job that is too large for one VM over more VMs, racks or data centres
 * than it needs, and against leaving capacity unused when nothing else is free. */
static void test_large_job_stays_in_one_data_centre(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 12000), make_vm("r2", 24000), make_vm("r2", 24000),
			    make_vm("r3", 24000)};
	Lp__BatchStep step = make_step(6000);
	size_t chosen[16];

	vms[0].data_centre = "dc-a";
	vms[1].data_centre = "dc-b";
	vms[2].data_centre = "dc-b";
	vms[3].data_centre = "dc-a";
	assert_int_equal(place_step(vms, 4, &step, 8, chosen), 8);
	assert_int_equal(vms[1].job_tasks, 4);
	assert_int_equal(vms[2].job_tasks, 4);
	assert_int_equal(place_step(vms, 4, &step, 8, chosen), 6);
	for (size_t i = 0; i < 4; i++)
		assert_int_equal(vms[i].cpu_milli, 0);
}

/* Guards against retrying a task on a faulty VM where it has failed: a second failure would end a
 * job with two attempts. */
static void test_failed_task_moves_to_another_vm(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 64000), make_vm("r2", 6000)};
	Lp__BatchStep step = make_step(6000);
	size_t chosen[1];

	vms[0].job_tasks = 5;
	vms[0].failed_here = true;
	assert_int_equal(place_step(vms, 2, &step, 1, chosen), 1);
	assert_int_equal(chosen[0], 1);
}

/* Guards against placing all long-running tasks on one VM as if they were one job: each is
 * independent of the others. */
static void test_long_running_tasks_are_placed_one_by_one(void **state)
{
	place_vm_t vms[] = {make_vm("r1", 64000), make_vm("r1", 12000), make_vm("r1", 12000)};
	Lp__BatchStep step = make_step(6000);
	size_t chosen[4];

	step.long_running = true;
	for (size_t i = 0; i < 3; i++)
		vms[i].long_running_tasks = 1;
	assert_int_equal(place_step(vms, 3, &step, 4, chosen), 4);
	assert_int_equal(vms[1].cpu_milli + vms[2].cpu_milli, 0);
}

/*
 * Simulates the loss of VMs under load: 40 VMs of 64 cores, and jobs of 2 to 14 tasks of 4 to 8
 * cores, of which 45 run at a time and use about 80% of the pool. Returns the share of the running
 * jobs that have a task on one of the lost VMs.
 */
static double share_of_jobs_affected(unsigned lost)
{
	enum {
		VMS = 40,
		JOBS = 400,
		TASKS_MAX = 14
	};
	static size_t chosen[JOBS][TASKS_MAX];
	size_t placed[JOBS] = {0};
	Lp__BatchStep steps[JOBS];
	place_vm_t vms[VMS];
	GRand *rand = g_rand_new_with_seed(7);
	unsigned running = 0;
	unsigned affected = 0;

	for (size_t i = 0; i < VMS; i++)
		vms[i] = make_vm("r1", 64000);
	for (size_t i = 0; i < JOBS; i++) {
		size_t want = (size_t)g_rand_int_range(rand, 2, TASKS_MAX + 1);
		size_t ended = i >= 45 ? i - 45 : JOBS;

		/* At most 45 jobs run at a time, so the oldest one ends first. */
		for (size_t j = 0; ended < JOBS && j < placed[ended]; j++)
			place_adjust_reservation(&vms[chosen[ended][j]], &steps[ended], -1);
		for (size_t v = 0; v < VMS; v++)
			vms[v].job_tasks = vms[v].step_tasks = 0;
		steps[i] = make_step((uint32_t)g_rand_int_range(rand, 4000, 8001));
		placed[i] = place_step(vms, VMS, &steps[i], want, chosen[i]);
	}
	for (size_t i = JOBS - 45; i < JOBS; i++) {
		bool on_lost = false;

		for (size_t j = 0; j < placed[i]; j++)
			on_lost |= chosen[i][j] % VMS < lost;
		running += placed[i] > 0;
		affected += on_lost;
	}
	g_rand_free(rand);
	return (double)affected / running;
}

/* Guards against a failure that delays most jobs. With a quarter of the VMs lost, about nine jobs
 * of ten are affected if tasks are scattered, and about a quarter if the tasks of a job share VMs.
 */
static void test_loss_of_vms_affects_few_jobs(void **state)
{
	double affected = share_of_jobs_affected(10);

	print_message("a quarter of the VMs is lost: %.2f of the jobs are affected\n", affected);
	assert_true(affected < 0.5);
}

/* --- capacity --- */

enum {
	POOL_A,
	POOL_B,
	POOL_STANDBY,
	POOLS
};

static capacity_machine_t make_machine(size_t pool, bool idle, uint64_t idle_ms)
{
	return (capacity_machine_t){.pool = pool, .cores = CORES, .idle = idle, .idle_ms = idle_ms};
}

/* Guards against a surge that gets no machines of other pools: the demand is five times the
 * capacity of the two machines of its pool, and four idle machines are available elsewhere. */
static void test_surge_gets_idle_machines(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 2},
		[POOL_B] = {.need_cores = 10, .required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		make_machine(POOL_A, false, 0),	     make_machine(POOL_A, false, 0),
		make_machine(POOL_B, true, 5000),    make_machine(POOL_B, true, 100),
		make_machine(POOL_B, false, 0),	     make_machine(POOL_STANDBY, true, 0),
		make_machine(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 7, 8, moves);

	assert_int_equal(count, 4);
	for (size_t i = 0; i < count; i++)
		assert_int_equal(moves[i].to, POOL_A);
	/* Running machines must be chosen before switched-off ones, and the longest idle one
	 * first. */
	assert_int_equal(moves[0].machine, 2);
	assert_int_equal(moves[1].machine, 3);
}

/* Guards against moving a machine that is busy or that its own pool needs. */
static void test_busy_and_needed_machines_are_not_moved(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 1},
		[POOL_B] = {.need_cores = 1.2 * CORES, .required_vms = 2},
		[POOL_STANDBY] = {.standby = true},
	};
	capacity_machine_t machines[] = {
		make_machine(POOL_A, false, 0),
		make_machine(POOL_B, true, 5000),
		make_machine(POOL_B, false, 0),
		make_machine(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[4];

	machines[3].immovable = true;
	assert_int_equal(capacity_plan(pools, POOLS, machines, 4, 4, moves), 0);
}

/* Guards against paying for idle machines in a quiet phase, and against shrinking a pool below the
 * number of VMs that its tasks require. */
static void test_idle_machines_are_switched_off_down_to_required_vms(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 0, .required_vms = 2},
		[POOL_B] = {.need_cores = 0, .required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		make_machine(POOL_A, true, 9000), make_machine(POOL_A, true, 9000),
		make_machine(POOL_A, true, 9000), make_machine(POOL_A, true, 100),
		make_machine(POOL_B, true, 9000),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 5, 8, moves);

	assert_int_equal(count, 2);
	for (size_t i = 0; i < count; i++) {
		assert_int_equal(moves[i].to, POOL_STANDBY);
		assert_true(machines[moves[i].machine].idle_ms >= 1500);
	}
}

/* Guards against a pool that starts its surge almost without machines: machines that are idle after
 * the surge of another pool fill the reserves before any is switched off. */
static void test_idle_machines_fill_reserves(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.required_vms = 1, .reserve_vms = 2},
		[POOL_B] = {.required_vms = 1, .reserve_vms = 3},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		make_machine(POOL_A, true, 9000), make_machine(POOL_A, true, 9000),
		make_machine(POOL_A, true, 9000), make_machine(POOL_A, true, 100),
		make_machine(POOL_A, true, 9000), make_machine(POOL_B, true, 9000),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 6, 8, moves);

	assert_int_equal(count, 3);
	assert_int_equal(moves[0].to, POOL_B);
	assert_int_equal(moves[1].to, POOL_B);
	assert_int_equal(moves[2].to, POOL_STANDBY);
	for (size_t i = 0; i < count; i++)
		assert_int_not_equal(moves[i].machine, 3);
}

/* Guards against giving reserves away while standby machines are available, and against withholding
 * them from a pool that needs them now. */
static void test_reserves_are_used_last(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 1, .reserve_vms = 2},
		[POOL_B] = {.required_vms = 1, .reserve_vms = 3},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		make_machine(POOL_A, false, 0),	  make_machine(POOL_B, true, 9000),
		make_machine(POOL_B, true, 9000), make_machine(POOL_B, true, 9000),
		make_machine(POOL_B, true, 9000), make_machine(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 6, 8, moves);

	assert_int_equal(count, 4);
	assert_int_equal(machines[moves[0].machine].pool, POOL_B);
	assert_int_equal(machines[moves[1].machine].pool, POOL_STANDBY);
	assert_int_equal(machines[moves[2].machine].pool, POOL_B);
	assert_int_equal(machines[moves[3].machine].pool, POOL_B);
}

/* Simulation of queues that have surges in turn. A queue needs SURGE_MACHINES_NEEDED machines
 * for 8 s, and half a machine otherwise. A period is 200 ms. A move takes about 1.5 s, and is
 * planned in the period after the demand has appeared. */
enum {
	SIM_POOLS = 4,
	SIM_STANDBY_POOL = SIM_POOLS,
	SIM_MACHINES = 48,
	PERIODS_PER_SURGE = 40,
	SURGE_MACHINES_NEEDED = 20,
	MOVE_PERIODS = 8,
	SURGES = 12,
};

typedef struct {
	size_t pool;
	unsigned move_periods_left; /* periods until its move is complete */
	unsigned idle_periods;	    /* periods since it was last busy */
	bool busy;
} sim_machine_t;

/* Assigns the demand of each pool to its machines. @return demand that no machine serves, in
 * cores */
static double assign_demand(sim_machine_t *machines, const capacity_pool_t *pools)
{
	double unassigned_cores[SIM_POOLS + 1];
	double unmet = 0;

	for (size_t i = 0; i <= SIM_POOLS; i++)
		unassigned_cores[i] = pools[i].need_cores;
	for (size_t i = 0; i < SIM_MACHINES; i++) {
		sim_machine_t *machine = &machines[i];

		machine->busy =
			machine->move_periods_left == 0 && unassigned_cores[machine->pool] > 0;
		machine->idle_periods = machine->busy ? 0 : machine->idle_periods + 1;
		if (machine->busy)
			unassigned_cores[machine->pool] -= CORES;
		else if (machine->move_periods_left > 0)
			machine->move_periods_left--;
	}
	for (size_t i = 0; i < SIM_POOLS; i++)
		unmet += MAX(0, unassigned_cores[i]);
	return unmet;
}

static void plan_moves(sim_machine_t *machines, const capacity_pool_t *pools)
{
	capacity_machine_t list[SIM_MACHINES];
	capacity_move_t moves[SIM_MACHINES];
	size_t count;

	for (size_t i = 0; i < SIM_MACHINES; i++)
		list[i] = (capacity_machine_t){
			.pool = machines[i].pool,
			.cores = CORES,
			.idle = !machines[i].busy && machines[i].move_periods_left == 0,
			.idle_ms = machines[i].idle_periods * 200,
			.immovable = machines[i].move_periods_left > 0,
		};
	count = capacity_plan(pools, SIM_POOLS + 1, list, SIM_MACHINES, 10, moves);
	for (size_t i = 0; i < count; i++)
		machines[moves[i].machine] =
			(sim_machine_t){.pool = moves[i].to, .move_periods_left = MOVE_PERIODS};
}

/* @return unmet demand in all surges except the first, in cores times periods */
static double simulate_surges(unsigned reserve)
{
	capacity_pool_t pools[SIM_POOLS + 1] = {[SIM_STANDBY_POOL] = {.standby = true}};
	sim_machine_t machines[SIM_MACHINES];
	double unmet = 0;

	for (size_t i = 0; i < SIM_POOLS; i++)
		pools[i] = (capacity_pool_t){.required_vms = 2, .reserve_vms = reserve};
	for (size_t i = 0; i < SIM_MACHINES; i++)
		machines[i] = (sim_machine_t){.pool = i % (SIM_POOLS + 1)};
	for (unsigned period = 0; period < SURGES * PERIODS_PER_SURGE; period++) {
		size_t surging_pool = period / PERIODS_PER_SURGE % SIM_POOLS;
		double period_unmet;

		for (size_t i = 0; i < SIM_POOLS; i++)
			pools[i].need_cores =
				i == surging_pool ? SURGE_MACHINES_NEEDED * CORES : CORES / 2;
		period_unmet = assign_demand(machines, pools);
		unmet += period >= PERIODS_PER_SURGE ? period_unmet : 0;
		plan_moves(machines, pools);
	}
	return unmet;
}

/* Guards against a reserve without effect on the demand that is unmet at the start of a surge.
 * Without a reserve, a pool starts its surge with its minimum of 2 machines and lacks the rest of
 * SURGE_MACHINES_NEEDED. With a reserve, it must start with all machines of the reserve except one,
 * and the unmet demand must be lower in proportion to the machines that it lacks. */
static void test_reserve_reduces_unmet_demand_at_surge_start(void **state)
{
	unsigned reserve = capacity_reserve_per_pool(SIM_MACHINES, SIM_POOLS);
	double without = simulate_surges(0);
	double with = simulate_surges(reserve);

	print_message("unmet demand in cores times periods: %.0f without a reserve, %.0f with one "
		      "of %u machines\n",
		      without, with, reserve);
	assert_true(reserve > 3);
	assert_true(with <= without * (SURGE_MACHINES_NEEDED - (reserve - 1)) /
				    (SURGE_MACHINES_NEEDED - 2));
}

/* Guards against machines that move back and forth: after a plan is carried out, planning again
 * gives no further moves. */
static void test_capacity_plan_is_stable(void **state)
{
	capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.required_vms = 1, .reserve_vms = 2},
		[POOL_B] = {.required_vms = 1, .reserve_vms = 4},
		[POOL_STANDBY] = {.standby = true},
	};
	capacity_machine_t machines[12];
	capacity_move_t moves[12];
	GRand *rand = g_rand_new_with_seed(7);

	for (unsigned round = 0; round < 500; round++) {
		size_t count;

		pools[POOL_A].need_cores = g_rand_double_range(rand, 0, 8 * CORES);
		pools[POOL_B].need_cores = g_rand_double_range(rand, 0, 8 * CORES);
		for (size_t i = 0; i < 12; i++)
			machines[i] = make_machine((size_t)g_rand_int_range(rand, 0, POOLS),
						   g_rand_boolean(rand), 5000);
		count = capacity_plan(pools, POOLS, machines, 12, 12, moves);
		for (size_t i = 0; i < count; i++) {
			assert_true(machines[moves[i].machine].idle);
			assert_int_not_equal(machines[moves[i].machine].pool, moves[i].to);
			machines[moves[i].machine].pool = moves[i].to;
		}
		assert_int_equal(capacity_plan(pools, POOLS, machines, 12, 12, moves), 0);
	}
	g_rand_free(rand);
}

static capacity_machine_t make_drainable(size_t pool, uint64_t drain_ms)
{
	return (capacity_machine_t){
		.pool = pool, .cores = CORES, .drainable = true, .drain_ms = drain_ms};
}

/* Guards against a surge that gets no machine because all are busy with late tasks: the machines of
 * a pool without demand on time are drained, those first that take the shortest time, while the
 * pool keeps what its demand on time and its minimum need. */
static void test_machines_with_late_tasks_are_drained(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 1},
		[POOL_B] = {.need_cores = CORES, .late_cores = 20 * CORES, .required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	capacity_machine_t machines[] = {
		make_machine(POOL_A, false, 0), make_drainable(POOL_B, 900),
		make_drainable(POOL_B, 300),	make_drainable(POOL_B, 60000),
		make_machine(POOL_B, false, 0), make_drainable(POOL_B, 700),
	};
	capacity_move_t moves[8];

	assert_int_equal(capacity_plan(pools, POOLS, machines, 6, 8, moves), 3);
	for (size_t i = 0; i < 3; i++) {
		assert_int_equal(moves[i].action, CAPACITY_DRAIN);
		assert_int_equal(moves[i].to, POOL_A);
	}
	assert_int_equal(moves[0].machine, 2);
	assert_int_equal(moves[1].machine, 5);
	assert_int_equal(moves[2].machine, 1);
}

/* Guards against a machine that stays drained for a surge that is over, or that its own pool needs
 * for tasks on time. */
static void test_drains_end_when_no_longer_needed(void **state)
{
	capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = CORES, .required_vms = 1},
		[POOL_B] = {.need_cores = CORES, .late_cores = CORES, .required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	capacity_machine_t machines[] = {
		make_machine(POOL_A, false, 0), make_machine(POOL_A, false, 0),
		make_machine(POOL_B, false, 0), make_machine(POOL_B, false, 0),
		make_drainable(POOL_B, 500),
	};
	capacity_move_t moves[4];

	machines[4].draining = true;
	machines[4].draining_to = POOL_A;
	assert_int_equal(capacity_plan(pools, POOLS, machines, 5, 4, moves), 1);
	assert_int_equal(moves[0].action, CAPACITY_KEEP);
	assert_int_equal(moves[0].machine, 4);
	/* The surge of its destination goes on. */
	pools[POOL_A].need_cores = 2.5 * CORES;
	assert_int_equal(capacity_plan(pools, POOLS, machines, 5, 4, moves), 0);
	pools[POOL_B].need_cores = 2.5 * CORES;
	assert_int_equal(capacity_plan(pools, POOLS, machines, 5, 4, moves), 1);
	assert_int_equal(moves[0].action, CAPACITY_KEEP);
}

/* Guards against late work that takes machines from pools with demand on time or from reserves: it
 * only gets machines that nobody needs. */
static void test_late_work_gets_spare_machines_only(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.late_cores = 10 * CORES, .required_vms = 1},
		[POOL_B] = {.need_cores = CORES, .required_vms = 1, .reserve_vms = 3},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		make_machine(POOL_A, false, 0),	     make_machine(POOL_B, false, 0),
		make_machine(POOL_B, true, 5000),    make_machine(POOL_B, true, 5000),
		make_machine(POOL_STANDBY, true, 0), make_machine(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[8];

	assert_int_equal(capacity_plan(pools, POOLS, machines, 6, 8, moves), 2);
	for (size_t i = 0; i < 2; i++) {
		assert_int_equal(moves[i].to, POOL_A);
		assert_int_equal(machines[moves[i].machine].pool, POOL_STANDBY);
	}
}

/* Guards against machines that go to and fro between two pools whose demand changes places every
 * second: the machines follow the demand only as often as it changes. */
static void test_machines_do_not_go_to_and_fro(void **state)
{
	capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.required_vms = 1},
		[POOL_B] = {.required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	capacity_machine_t machines[10];
	capacity_move_t moves[10];
	unsigned changes = 0;

	for (size_t i = 0; i < 10; i++)
		machines[i] = make_drainable(i < 5 ? POOL_A : POOL_B, 500);
	for (unsigned period = 0; period < 100; period++) {
		bool first = period / 5 % 2 == 0;
		size_t count;

		/* The pools differ by less than a machine. */
		pools[POOL_A].need_cores = (first ? 4.6 : 4.2) * CORES;
		pools[POOL_B].need_cores = (first ? 4.2 : 4.6) * CORES;
		pools[POOL_A].late_cores = pools[POOL_B].late_cores = 5 * CORES;
		count = capacity_plan(pools, POOLS, machines, 10, 10, moves);
		changes += (unsigned)count;
		for (size_t i = 0; i < count; i++)
			machines[moves[i].machine].pool = moves[i].to;
	}
	assert_int_equal(changes, 0);
}

/* --- order --- */

static void configure(batch_state_t *state)
{
	Lp__BatchQueue queue = LP__BATCH_QUEUE__INIT;

	queue.objective_ms = 600;
	queue.stretch_percent = 160;
	queue.timeout_ms = 3000;
	queue.attempts = 2;
	assert_int_equal(batch_test_configure(state, 1000, 1, &queue), LP__RESULT_CODE__RESULT_OK);
}

static void submit(batch_state_t *state, uint64_t wall_ms, const char *id, uint32_t count,
		   bool long_running)
{
	Lp__BatchStep step = make_step(1000);

	step.count = count;
	step.long_running = long_running;
	assert_int_equal(batch_test_submit(state, wall_ms, id, &step), LP__RESULT_CODE__RESULT_OK);
}

/* @return the candidates in placement order, as a GArray of batch_candidate_t */
static GArray *sorted_candidates(const batch_state_t *state, uint64_t now_us, uint64_t wall_ms)
{
	GArray *sorted = g_array_new(FALSE, FALSE, sizeof(batch_candidate_t));
	batch_candidates_t candidates;
	const batch_candidate_t *candidate;
	org_shares_t shares;

	org_shares_init(&shares);
	batch_candidates_init(&candidates, state, NULL, &shares, now_us, wall_ms);
	while ((candidate = batch_candidates_next(&candidates)) != NULL)
		g_array_append_vals(sorted, candidate, 1);
	batch_candidates_finish(&candidates);
	return sorted;
}

static const char *job_id_at(const GArray *candidates, guint i)
{
	return g_array_index(candidates, batch_candidate_t, i).step->job->spec->id;
}

/* Guards against a job that counts as very late at once, as its objective wraps. */
static void test_objectives_do_not_wrap(void **state)
{
	Lp__BatchStep steps[] = {make_step(1000), make_step(1000), make_step(1000)};
	Lp__BatchStep *list[] = {&steps[0], &steps[1], &steps[2]};
	uint32_t after[] = {0, 1};
	/* 2^64 is between the products of the path with the third and the fourth one. */
	static const uint32_t stretches[] = {100,	 1U << 30, 1431655766,
					     1431655767, 1U << 31, UINT32_MAX};
	uint64_t objective_ms = 0;
	Lp__BatchJob job = LP__BATCH_JOB__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	Lp__BatchQueue queue = LP__BATCH_QUEUE__INIT;
	batch_job_t *accepted;
	batch_state_t batch;

	batch_state_init(&batch);
	queue.objective_ms = UINT32_MAX;
	queue.timeout_ms = 3000;
	assert_int_equal(batch_test_configure(&batch, 1000, 1, &queue), LP__RESULT_CODE__RESULT_OK);
	for (unsigned i = 0; i < 3; i++) {
		steps[i].estimate_ms = UINT32_MAX;
		steps[i].n_after = i > 0;
		steps[i].after = i > 0 ? &after[i - 1] : NULL;
	}
	job.id = (char *)"a";
	job.host = (char *)"h";
	job.prefix = (char *)"/q/";
	job.steps = list;
	job.n_steps = 3;
	command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
	command.submit = &job;
	assert_int_equal(batch_test_apply(&batch, 1000, &command), LP__RESULT_CODE__RESULT_OK);
	accepted = batch_state_job(&batch, "a");
	for (size_t i = 0; i < G_N_ELEMENTS(stretches); i++) {
		uint64_t previous_ms = objective_ms;

		queue.stretch_percent = stretches[i];
		objective_ms = batch_objective_ms(accepted, &queue);
		assert_true(objective_ms >= previous_ms);
	}
	assert_true(objective_ms >= batch_critical_path_ms(accepted, 0, false));
	batch_state_finish(&batch);
}

/* Guards against late jobs that use capacity needed by jobs which can still be on time, and against
 * long-running tasks that come after others. */
static void test_candidate_order(void **state)
{
	batch_state_t batch;
	GArray *candidates;

	batch_state_init(&batch);
	configure(&batch);
	submit(&batch, 1000, "late", 1, false);
	submit(&batch, 9000, "large", 20, false);
	submit(&batch, 9000, "small", 1, false);
	submit(&batch, 9000, "long-running", 3, true);
	candidates = sorted_candidates(&batch, 100000000, 9100);
	assert_int_equal(candidates->len, 4);
	assert_string_equal(job_id_at(candidates, 0), "long-running");
	assert_string_equal(job_id_at(candidates, 1), "small");
	assert_string_equal(job_id_at(candidates, 2), "large");
	assert_string_equal(job_id_at(candidates, 3), "late");
	g_array_unref(candidates);
	batch_state_finish(&batch);
}

/* Guards against late work that never ends because jobs on time keep coming: after 20 s, each of
 * the three late jobs has a turn of a second ahead of the jobs on time, once in three seconds. */
static void test_starved_jobs_take_turns(void **state)
{
	static const char *const late[] = {"late-a", "late-b", "late-c"};
	unsigned first[G_N_ELEMENTS(late)] = {0};
	batch_state_t batch;
	GArray *candidates;

	batch_state_init(&batch);
	configure(&batch);
	for (size_t i = 0; i < G_N_ELEMENTS(late); i++)
		submit(&batch, 1000, late[i], 20, false);
	/* A job's age counts from the first time that it is seen. */
	candidates = sorted_candidates(&batch, 1000000, 1000);
	g_array_unref(candidates);
	submit(&batch, 19500, "on-time", 20, false);
	candidates = sorted_candidates(&batch, 19500000ULL, 19500);
	assert_string_equal(job_id_at(candidates, 0), "on-time");
	g_array_unref(candidates);
	for (unsigned turn = 0; turn < 9; turn++) {
		uint64_t now_us = (22 + turn) * 1000000ULL;

		candidates = sorted_candidates(&batch, now_us, now_us / 1000);
		for (size_t i = 0; i < G_N_ELEMENTS(late); i++)
			first[i] += strcmp(job_id_at(candidates, 0), late[i]) == 0;
		g_array_unref(candidates);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(late); i++)
		assert_int_equal(first[i], 3);
	batch_state_finish(&batch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gang_is_placed_entirely_or_not_at_all),
		cmocka_unit_test(test_rack_local_step_stays_in_one_rack),
		cmocka_unit_test(test_max_per_vm_and_constraint_are_respected),
		cmocka_unit_test(test_best_effort_tasks_avoid_latency_goal_tasks),
		cmocka_unit_test(test_slow_vms_are_used_last),
		cmocka_unit_test(test_job_is_placed_on_one_vm),
		cmocka_unit_test(test_large_job_stays_in_one_data_centre),
		cmocka_unit_test(test_failed_task_moves_to_another_vm),
		cmocka_unit_test(test_long_running_tasks_are_placed_one_by_one),
		cmocka_unit_test(test_loss_of_vms_affects_few_jobs),
		cmocka_unit_test(test_surge_gets_idle_machines),
		cmocka_unit_test(test_busy_and_needed_machines_are_not_moved),
		cmocka_unit_test(test_idle_machines_are_switched_off_down_to_required_vms),
		cmocka_unit_test(test_idle_machines_fill_reserves),
		cmocka_unit_test(test_reserves_are_used_last),
		cmocka_unit_test(test_reserve_reduces_unmet_demand_at_surge_start),
		cmocka_unit_test(test_capacity_plan_is_stable),
		cmocka_unit_test(test_machines_with_late_tasks_are_drained),
		cmocka_unit_test(test_drains_end_when_no_longer_needed),
		cmocka_unit_test(test_late_work_gets_spare_machines_only),
		cmocka_unit_test(test_machines_do_not_go_to_and_fro),
		cmocka_unit_test(test_objectives_do_not_wrap),
		cmocka_unit_test(test_candidate_order),
		cmocka_unit_test(test_starved_jobs_take_turns),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
