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

static place_vm_t vm_of(const char *rack, int64_t cpu)
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

static Lp__BatchStep step_of(uint32_t cpu)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;

	step.count = 1;
	step.cpu_milli = cpu;
	step.estimate_ms = 1000;
	return step;
}

/* Guards against a gang of which only some members are placed: they would wait for the others. */
static void test_gang_is_placed_whole_or_not_at_all(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 8000), vm_of("r1", 4000)};
	Lp__BatchStep step = step_of(4000);
	size_t chosen[4];

	step.gang = true;
	assert_int_equal(place_step(vms, 2, &step, 4, chosen), 0);
	assert_int_equal(vms[0].cpu_milli, 8000);
	assert_int_equal(vms[1].cpu_milli, 4000);
	assert_int_equal(place_step(vms, 2, &step, 3, chosen), 3);
}

/* Guards against a rack-local step that is spread over racks while one rack has room for it. */
static void test_rack_local_step_stays_in_one_rack(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 8000), vm_of("r2", 16000), vm_of("r2", 8000)};
	Lp__BatchStep step = step_of(4000);
	size_t chosen[6];

	step.rack_local = true;
	assert_int_equal(place_step(vms, 3, &step, 6, chosen), 6);
	for (size_t i = 0; i < 6; i++)
		assert_string_equal(vms[chosen[i]].rack, "r2");
}

/* Guards against more tasks of a step on one VM than it may have, and against a VM without the
 * label. */
static void test_limits_of_a_step_hold(void **state)
{
	const char *labels[] = {"a", "r1"};
	place_vm_t vms[] = {vm_of("r1", 64000), vm_of("r1", 64000), vm_of("r1", 64000)};
	Lp__BatchStep step = step_of(1000);
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

/* Guards against a best-effort task beside a task that serves while another VM is free. */
static void test_filling_tasks_avoid_serving_ones(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 64000), vm_of("r1", 1000)};
	Lp__BatchStep step = step_of(30000);
	size_t chosen[1];

	vms[0].latency_goal_tasks = 1;
	step.best_effort = true;
	assert_int_equal(place_step(vms, 2, &step, 1, chosen), 1);
	assert_int_equal(chosen[0], 1);
}

/* Guards against work that goes to a slow VM while others have room. */
static void test_slow_vms_come_last(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 64000), vm_of("r1", 64000)};
	Lp__BatchStep step = step_of(30000);
	size_t chosen[3];

	vms[0].slowness = 4.0;
	assert_int_equal(place_step(vms, 2, &step, 3, chosen), 3);
	assert_int_equal(chosen[0], 1);
	assert_int_equal(chosen[1], 1);
	assert_int_equal(chosen[2], 0);
}

/* Guards against a job whose tasks are scattered over the gaps of many VMs although one VM has room
 * for all: a failure of any of them would make the job late. */
static void test_job_shares_a_vm(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 10000), vm_of("r1", 50000), vm_of("r2", 64000),
			    vm_of("r2", 20000)};
	Lp__BatchStep step = step_of(6000);
	size_t chosen[8];

	assert_int_equal(place_step(vms, 4, &step, 8, chosen), 8);
	for (size_t i = 0; i < 8; i++)
		assert_int_equal(chosen[i], 1);
	assert_int_equal(vms[1].same_job, 8);
}

/* Guards against a job that is too large for one VM and takes more VMs, racks or data centres than
 * it needs, and against gaps that are left unused when nothing else has room. */
static void test_large_job_shares_a_data_centre(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 12000), vm_of("r2", 24000), vm_of("r2", 24000),
			    vm_of("r3", 24000)};
	Lp__BatchStep step = step_of(6000);
	size_t chosen[16];

	vms[0].data_centre = "dc-a";
	vms[1].data_centre = "dc-b";
	vms[2].data_centre = "dc-b";
	vms[3].data_centre = "dc-a";
	assert_int_equal(place_step(vms, 4, &step, 8, chosen), 8);
	assert_int_equal(vms[1].same_job, 4);
	assert_int_equal(vms[2].same_job, 4);
	assert_int_equal(place_step(vms, 4, &step, 8, chosen), 6);
	for (size_t i = 0; i < 4; i++)
		assert_int_equal(vms[i].cpu_milli, 0);
}

/* Guards against a second failure of a task on a VM that fails what it starts, which ends a job of
 * two attempts. */
static void test_failed_task_runs_elsewhere(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 64000), vm_of("r2", 6000)};
	Lp__BatchStep step = step_of(6000);
	size_t chosen[1];

	vms[0].same_job = 5;
	vms[0].failed_here = true;
	assert_int_equal(place_step(vms, 2, &step, 1, chosen), 1);
	assert_int_equal(chosen[0], 1);
}

/* Guards against tasks that last being put on one VM: each of them counts by itself. */
static void test_lasting_tasks_are_not_drawn_together(void **state)
{
	place_vm_t vms[] = {vm_of("r1", 64000), vm_of("r1", 12000), vm_of("r1", 12000)};
	Lp__BatchStep step = step_of(6000);
	size_t chosen[4];

	step.long_running = true;
	for (size_t i = 0; i < 3; i++)
		vms[i].long_running_tasks = 1;
	assert_int_equal(place_step(vms, 3, &step, 4, chosen), 4);
	assert_int_equal(vms[1].cpu_milli + vms[2].cpu_milli, 0);
}

/*
 * Plays the load of a surge and the loss of a quarter of the VMs: 40 VMs of 64 cores, jobs of 2 to
 * 14 tasks of 4 to 8 cores that come and go until 80% of the pool is in use. Counts the running
 * jobs that have a task on a lost VM.
 */
static double share_of_jobs_hit(unsigned lost)
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
	unsigned hit = 0;

	for (size_t i = 0; i < VMS; i++)
		vms[i] = vm_of("r1", 64000);
	for (size_t i = 0; i < JOBS; i++) {
		size_t want = (size_t)g_rand_int_range(rand, 2, TASKS_MAX + 1);
		size_t old = i >= 45 ? i - 45 : JOBS;

		/* The job before the last 44 has ended. */
		for (size_t j = 0; old < JOBS && j < placed[old]; j++)
			place_take(&vms[chosen[old][j]], &steps[old], -1);
		for (size_t v = 0; v < VMS; v++)
			vms[v].same_job = vms[v].same_step = 0;
		steps[i] = step_of((uint32_t)g_rand_int_range(rand, 4000, 8001));
		placed[i] = place_step(vms, VMS, &steps[i], want, chosen[i]);
	}
	for (size_t i = JOBS - 45; i < JOBS; i++) {
		bool on_lost = false;

		for (size_t j = 0; j < placed[i]; j++)
			on_lost |= chosen[i][j] % VMS < lost;
		running += placed[i] > 0;
		hit += on_lost;
	}
	g_rand_free(rand);
	return (double)hit / running;
}

/* Guards against a failure that delays most jobs: with a quarter of the VMs lost, scattered tasks
 * hit about nine jobs of ten, tasks that share VMs about a quarter. */
static void test_loss_of_vms_hits_few_jobs(void **state)
{
	double hit = share_of_jobs_hit(10);

	print_message("a quarter of the VMs is lost: %.2f of the jobs are hit\n", hit);
	assert_true(hit < 0.5);
}

/* --- capacity --- */

enum {
	POOL_A,
	POOL_B,
	POOL_STANDBY,
	POOLS
};

static capacity_machine_t machine_of(size_t pool, bool idle, uint64_t idle_ms)
{
	return (capacity_machine_t){.pool = pool, .cores = CORES, .idle = idle, .idle_ms = idle_ms};
}

/* Guards against a surge that is left to its own pool: the load is five times what two machines
 * hold, four machines idle elsewhere. The callers get all of them. */
static void test_surge_gets_idle_machines(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 2},
		[POOL_B] = {.need_cores = 10, .required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		machine_of(POOL_A, false, 0),	   machine_of(POOL_A, false, 0),
		machine_of(POOL_B, true, 5000),	   machine_of(POOL_B, true, 100),
		machine_of(POOL_B, false, 0),	   machine_of(POOL_STANDBY, true, 0),
		machine_of(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 7, 8, moves);

	assert_int_equal(count, 4);
	for (size_t i = 0; i < count; i++)
		assert_int_equal(moves[i].to, POOL_A);
	/* What is paid for comes before what is off; the longest idle first. */
	assert_int_equal(moves[0].machine, 2);
	assert_int_equal(moves[1].machine, 3);
}

/* Guards against a machine that is taken although it is at work, or needed where it is. */
static void test_busy_and_needed_machines_stay(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 1},
		[POOL_B] = {.need_cores = 1.2 * CORES, .required_vms = 2},
		[POOL_STANDBY] = {.standby = true},
	};
	capacity_machine_t machines[] = {
		machine_of(POOL_A, false, 0),
		machine_of(POOL_B, true, 5000),
		machine_of(POOL_B, false, 0),
		machine_of(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[4];

	machines[3].fixed = true;
	assert_int_equal(capacity_plan(pools, POOLS, machines, 4, 4, moves), 0);
}

/* Guards against idle machines that are paid for in a quiet time, and against a pool that is
 * emptied below what its tasks need. */
static void test_quiet_pool_is_switched_off_down_to_its_least(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 0, .required_vms = 2},
		[POOL_B] = {.need_cores = 0, .required_vms = 1},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		machine_of(POOL_A, true, 9000), machine_of(POOL_A, true, 9000),
		machine_of(POOL_A, true, 9000), machine_of(POOL_A, true, 100),
		machine_of(POOL_B, true, 9000),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 5, 8, moves);

	assert_int_equal(count, 2);
	for (size_t i = 0; i < count; i++) {
		assert_int_equal(moves[i].to, POOL_STANDBY);
		assert_true(machines[moves[i].machine].idle_ms >= 1500);
	}
}

/* Guards against a pool that begins its surge with next to nothing: machines that another pool's
 * surge has left idle fill up the reserves before any is switched off. */
static void test_idle_machines_fill_up_the_reserves(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.required_vms = 1, .reserve_vms = 2},
		[POOL_B] = {.required_vms = 1, .reserve_vms = 3},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		machine_of(POOL_A, true, 9000), machine_of(POOL_A, true, 9000),
		machine_of(POOL_A, true, 9000), machine_of(POOL_A, true, 100),
		machine_of(POOL_A, true, 9000), machine_of(POOL_B, true, 9000),
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

/* Guards against a reserve that is given away while machines are off, and against one that is kept
 * from a queue that needs it now. */
static void test_reserve_is_taken_last(void **state)
{
	const capacity_pool_t pools[POOLS] = {
		[POOL_A] = {.need_cores = 10 * CORES, .required_vms = 1, .reserve_vms = 2},
		[POOL_B] = {.required_vms = 1, .reserve_vms = 3},
		[POOL_STANDBY] = {.standby = true},
	};
	const capacity_machine_t machines[] = {
		machine_of(POOL_A, false, 0),	machine_of(POOL_B, true, 9000),
		machine_of(POOL_B, true, 9000), machine_of(POOL_B, true, 9000),
		machine_of(POOL_B, true, 9000), machine_of(POOL_STANDBY, true, 0),
	};
	capacity_move_t moves[8];
	size_t count = capacity_plan(pools, POOLS, machines, 6, 8, moves);

	assert_int_equal(count, 4);
	assert_int_equal(machines[moves[0].machine].pool, POOL_B);
	assert_int_equal(machines[moves[1].machine].pool, POOL_STANDBY);
	assert_int_equal(machines[moves[2].machine].pool, POOL_B);
	assert_int_equal(machines[moves[3].machine].pool, POOL_B);
}

/* Queues that surge by turns, as the sites describe them: each asks for so many machines for 8 s,
 * and for a fiftieth in between. Periods of 200 ms; a move takes 1.5 s and is planned in the period
 * after the demand is seen. */
enum {
	TURN_POOLS = 4,
	TURN_STANDBY = TURN_POOLS,
	TURN_MACHINES = 48,
	TURN_PERIODS = 40,
	TURN_NEED = 20,
	MOVE_PERIODS = 8,
	TURNS = 12,
};

typedef struct {
	size_t pool;
	unsigned coming; /* periods until it serves */
	unsigned idle;	 /* periods without work */
	bool busy;
} turn_machine_t;

/* Gives each pool's demand to its machines. @return demand that found no machine, in cores */
static double serve(turn_machine_t *machines, const capacity_pool_t *pools)
{
	double left[TURN_POOLS + 1];
	double unmet = 0;

	for (size_t i = 0; i <= TURN_POOLS; i++)
		left[i] = pools[i].need_cores;
	for (size_t i = 0; i < TURN_MACHINES; i++) {
		turn_machine_t *machine = &machines[i];

		machine->busy = machine->coming == 0 && left[machine->pool] > 0;
		machine->idle = machine->busy ? 0 : machine->idle + 1;
		if (machine->busy)
			left[machine->pool] -= CORES;
		else if (machine->coming > 0)
			machine->coming--;
	}
	for (size_t i = 0; i < TURN_POOLS; i++)
		unmet += MAX(0, left[i]);
	return unmet;
}

static void plan_turn(turn_machine_t *machines, const capacity_pool_t *pools)
{
	capacity_machine_t list[TURN_MACHINES];
	capacity_move_t moves[TURN_MACHINES];
	size_t count;

	for (size_t i = 0; i < TURN_MACHINES; i++)
		list[i] = (capacity_machine_t){
			.pool = machines[i].pool,
			.cores = CORES,
			.idle = !machines[i].busy && machines[i].coming == 0,
			.idle_ms = machines[i].idle * 200,
			.fixed = machines[i].coming > 0,
		};
	count = capacity_plan(pools, TURN_POOLS + 1, list, TURN_MACHINES, 10, moves);
	for (size_t i = 0; i < count; i++)
		machines[moves[i].machine] =
			(turn_machine_t){.pool = moves[i].to, .coming = MOVE_PERIODS};
}

/* @return core periods that found no machine in all surges but the first */
static double play_turns(unsigned reserve)
{
	capacity_pool_t pools[TURN_POOLS + 1] = {[TURN_STANDBY] = {.standby = true}};
	turn_machine_t machines[TURN_MACHINES];
	double unmet = 0;

	for (size_t i = 0; i < TURN_POOLS; i++)
		pools[i] = (capacity_pool_t){.required_vms = 2, .reserve_vms = reserve};
	for (size_t i = 0; i < TURN_MACHINES; i++)
		machines[i] = (turn_machine_t){.pool = i % (TURN_POOLS + 1)};
	for (unsigned period = 0; period < TURNS * TURN_PERIODS; period++) {
		size_t turn = period / TURN_PERIODS % TURN_POOLS;
		double missed;

		for (size_t i = 0; i < TURN_POOLS; i++)
			pools[i].need_cores = i == turn ? TURN_NEED * CORES : CORES / 2;
		missed = serve(machines, pools);
		unmet += period >= TURN_PERIODS ? missed : 0;
		plan_turn(machines, pools);
	}
	return unmet;
}

/* Guards against a loss of the reserve's use for callers: what finds no machine at the beginning of
 * a surge falls at least by the reserve beyond the least size, less one machine. */
static void test_reserve_serves_the_first_seconds_of_a_surge(void **state)
{
	unsigned reserve = capacity_reserve(TURN_MACHINES, TURN_POOLS);
	double without = play_turns(0);
	double with = play_turns(reserve);

	print_message("core periods without a machine: %.0f without a reserve, %.0f with one of "
		      "%u machines\n",
		      without, with, reserve);
	assert_true(reserve > 3);
	assert_true(with <= without * (TURN_NEED - (reserve - 1)) / (TURN_NEED - 2));
}

/* Guards against machines that move back and forth: a plan's outcome needs no further move. */
static void test_plan_is_stable(void **state)
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
			machines[i] = machine_of((size_t)g_rand_int_range(rand, 0, POOLS),
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
		   bool lasting)
{
	Lp__BatchStep step = step_of(1000);

	step.count = count;
	step.long_running = lasting;
	assert_int_equal(batch_test_submit(state, wall_ms, id, &step), LP__RESULT_CODE__RESULT_OK);
}

static const char *id_at(const GArray *candidates, guint i)
{
	return g_array_index(candidates, batch_candidate_t, i).step->job->spec->id;
}

/* Guards against late work that takes the room of work that can still be in time, and against tasks
 * that last behind others. */
static void test_order_of_candidates(void **state)
{
	batch_state_t batch;
	GArray *candidates;

	batch_state_init(&batch);
	configure(&batch);
	submit(&batch, 1000, "late", 1, false);
	submit(&batch, 9000, "large", 20, false);
	submit(&batch, 9000, "small", 1, false);
	submit(&batch, 9000, "lasting", 3, true);
	candidates = batch_candidates(&batch, 100000000, 9100);
	assert_int_equal(candidates->len, 4);
	assert_string_equal(id_at(candidates, 0), "lasting");
	assert_string_equal(id_at(candidates, 1), "small");
	assert_string_equal(id_at(candidates, 2), "large");
	assert_string_equal(id_at(candidates, 3), "late");
	g_array_unref(candidates);
	batch_state_finish(&batch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_gang_is_placed_whole_or_not_at_all),
		cmocka_unit_test(test_rack_local_step_stays_in_one_rack),
		cmocka_unit_test(test_limits_of_a_step_hold),
		cmocka_unit_test(test_filling_tasks_avoid_serving_ones),
		cmocka_unit_test(test_slow_vms_come_last),
		cmocka_unit_test(test_job_shares_a_vm),
		cmocka_unit_test(test_large_job_shares_a_data_centre),
		cmocka_unit_test(test_failed_task_runs_elsewhere),
		cmocka_unit_test(test_lasting_tasks_are_not_drawn_together),
		cmocka_unit_test(test_loss_of_vms_hits_few_jobs),
		cmocka_unit_test(test_surge_gets_idle_machines),
		cmocka_unit_test(test_busy_and_needed_machines_stay),
		cmocka_unit_test(test_quiet_pool_is_switched_off_down_to_its_least),
		cmocka_unit_test(test_idle_machines_fill_up_the_reserves),
		cmocka_unit_test(test_reserve_is_taken_last),
		cmocka_unit_test(test_reserve_serves_the_first_seconds_of_a_surge),
		cmocka_unit_test(test_plan_is_stable),
		cmocka_unit_test(test_order_of_candidates),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
