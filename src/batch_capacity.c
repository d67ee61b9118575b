#include "batch_capacity.h"

#include <math.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

/* Capacity provided as a multiple of the declared demand, because declared times and sizes are
 * off by a fifth and more. */
#define DEMAND_MARGIN 1.15
/* A pool gives machines away only while its remaining capacity is at least this multiple of its
 * demand. The gap to DEMAND_MARGIN keeps machines from moving back and forth. */
#define DONOR_MARGIN 1.4
/* A pool gives up a machine that works on late jobs only while its remaining capacity is at least
 * this multiple of its demand on time. */
#define DRAIN_MARGIN 1.2
/* Smallest deficit of a pool for which machines are drained, as a share of a machine's cores. A
 * smaller one is often gone before a drained machine arrives. */
#define DRAIN_DEFICIT_SHARE 1.0
/* Longest time that a machine may take to drain. When one that takes longer arrives, the surge is
 * over. */
#define DRAIN_MAX_MS 4000
/* Idle time before a machine is switched off. Moving a machine to standby and back costs as much
 * as running it for about 3 s, and the quiet phase of a queue lasts longer than that. */
#define STANDBY_IDLE_MS 1500
/* Smallest deficit of a pool that is worth a move, as a share of a machine's cores. */
#define MIN_DEFICIT_SHARE 0.25
/* Share of all machines that the reserves of all pools take together. Without reserves, the jobs
 * in the first 2.5 s of each surge were late (docs/measurements.md, measurement
 * tgph-sched-grown). */
#define RESERVE_SHARE 0.6
/* Idle time before a machine moves to the reserve of another pool. Until then, the next placement
 * passes can still use it for the queue of its own pool. */
#define RESERVE_IDLE_MS 400

/* Capacity of a pool, including the moves planned so far. */
typedef struct {
	double cores;
	unsigned vms;
} allocation_t;

typedef struct {
	const capacity_pool_t *pools;
	size_t pool_count;
	const capacity_machine_t *machines;
	size_t machine_count;
	allocation_t *allocated; /* capacity of each pool, indexed like pools */
	bool *moved;		 /* true: a move of the machine is planned; indexed like machines */
} plan_t;

/* @return number of cores that the pool lacks; 0 when the deficit is not worth a move
 * @param with_late whether late tasks count */
static double pool_deficit(const plan_t *plan, size_t pool, double machine_cores, bool with_late)
{
	const capacity_pool_t *spec = &plan->pools[pool];
	const allocation_t *allocated = &plan->allocated[pool];
	double need = spec->need_cores + (with_late ? spec->late_cores : 0);
	double missing = need * DEMAND_MARGIN - allocated->cores;

	if (spec->standby)
		return 0;
	if (allocated->vms < spec->required_vms)
		missing = MAX(missing, machine_cores);
	return missing >= MIN_DEFICIT_SHARE * machine_cores ? missing : 0;
}

/* True when the machine may leave its pool: it is idle and movable, and the pool keeps enough
 * capacity and at least min_vms VMs without it. */
static bool can_donate(const plan_t *plan, size_t machine, unsigned min_vms)
{
	const capacity_machine_t *spec = &plan->machines[machine];
	const allocation_t *allocated = &plan->allocated[spec->pool];
	const capacity_pool_t *pool = &plan->pools[spec->pool];

	if (!spec->idle || spec->immovable || spec->draining || plan->moved[machine])
		return false;
	if (pool->standby)
		return true;
	return allocated->vms > MAX(min_vms, pool->required_vms) &&
	       allocated->cores - spec->cores >= pool->need_cores * DONOR_MARGIN;
}

/* Ranks in which machines are chosen for a move, lowest first. */
enum {
	DONOR_SURPLUS, /* running machines beyond the reserve of their pool */
	DONOR_STANDBY, /* machines that are switched off */
	DONOR_RESERVE, /* machines of a reserve */
};

static unsigned donor_rank(const plan_t *plan, const capacity_machine_t *machine)
{
	const capacity_pool_t *pool = &plan->pools[machine->pool];

	if (pool->standby)
		return DONOR_STANDBY;
	return plan->allocated[machine->pool].vms > pool->reserve_vms ? DONOR_SURPLUS
								      : DONOR_RESERVE;
}

/* @return index in plan->machines of the machine to move to the pool: the one with the lowest donor
 * rank and, among these, the longest idle time; -1: none can move
 * @param max_rank highest donor rank of a machine that may be chosen */
static ssize_t find_donor(const plan_t *plan, size_t to, unsigned max_rank)
{
	ssize_t best_index = -1;
	unsigned best_rank = 0;

	for (size_t i = 0; i < plan->machine_count; i++) {
		const capacity_machine_t *machine = &plan->machines[i];
		unsigned rank = donor_rank(plan, machine);

		if (machine->pool == to || rank > max_rank || !can_donate(plan, i, 0))
			continue;
		if (best_index >= 0 &&
		    (rank > best_rank ||
		     (rank == best_rank && machine->idle_ms <= plan->machines[best_index].idle_ms)))
			continue;
		best_index = (ssize_t)i;
		best_rank = rank;
	}
	return best_index;
}

static capacity_move_t move_machine(plan_t *plan, size_t machine, size_t to)
{
	const capacity_machine_t *spec = &plan->machines[machine];

	plan->moved[machine] = true;
	plan->allocated[spec->pool].cores -= spec->cores;
	plan->allocated[spec->pool].vms--;
	plan->allocated[to].cores += spec->cores;
	plan->allocated[to].vms++;
	return (capacity_move_t){.action = CAPACITY_MOVE, .machine = machine, .to = to};
}

static double mean_machine_cores(const plan_t *plan)
{
	double sum = 0;

	for (size_t i = 0; i < plan->machine_count; i++)
		sum += plan->machines[i].cores;
	return plan->machine_count > 0 ? sum / (double)plan->machine_count : 0;
}

/* @return index in plan->pools of the pool with the largest deficit in cores; -1: none has a
 * deficit worth a move */
static ssize_t find_largest_deficit(const plan_t *plan, double machine_cores, bool with_late)
{
	ssize_t best_index = -1;
	double largest = 0;

	for (size_t i = 0; i < plan->pool_count; i++) {
		double missing = pool_deficit(plan, i, machine_cores, with_late);

		if (missing > largest) {
			largest = missing;
			best_index = (ssize_t)i;
		}
	}
	return best_index;
}

/* Moves idle machines to the pools that lack capacity. @param with_late whether late tasks count;
 * they get no machine of a reserve */
static size_t cover_deficits(plan_t *plan, bool with_late, size_t limit, capacity_move_t *moves)
{
	unsigned max_rank = with_late ? DONOR_STANDBY : DONOR_RESERVE;
	double cores = mean_machine_cores(plan);
	size_t count = 0;

	while (count < limit) {
		ssize_t to = find_largest_deficit(plan, cores, with_late);
		ssize_t donor = to >= 0 ? find_donor(plan, (size_t)to, max_rank) : -1;

		if (donor < 0)
			break;
		moves[count++] = move_machine(plan, (size_t)donor, (size_t)to);
	}
	return count;
}

/* --- drains --- */

/* True when the pool can do without the cores, as far as its tasks on time are concerned. */
static bool can_spare(const plan_t *plan, size_t pool, double cores, double margin)
{
	return plan->allocated[pool].cores - cores >= plan->pools[pool].need_cores * margin;
}

/* True when the destination of the drained machine still needs it. */
static bool needs_drained(const plan_t *plan, const capacity_machine_t *machine)
{
	const capacity_pool_t *pool = &plan->pools[machine->draining_to];

	return !can_spare(plan, machine->draining_to, machine->cores, DONOR_MARGIN) ||
	       (pool->reserve_due &&
		plan->allocated[machine->draining_to].vms <= pool->reserve_vms);
}

/* Ends the drains that are no longer needed. Drained machines count as capacity of their
 * destination. */
static size_t review_drains(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	size_t count = 0;

	for (size_t i = 0; i < plan->machine_count && count < limit; i++) {
		const capacity_machine_t *machine = &plan->machines[i];

		if (!machine->draining ||
		    (needs_drained(plan, machine) && can_spare(plan, machine->pool, 0, 1.0)))
			continue;
		plan->allocated[machine->draining_to].cores -= machine->cores;
		plan->allocated[machine->draining_to].vms--;
		plan->allocated[machine->pool].cores += machine->cores;
		plan->allocated[machine->pool].vms++;
		plan->moved[i] = true;
		moves[count++] = (capacity_move_t){
			.action = CAPACITY_KEEP, .machine = i, .to = machine->pool};
	}
	return count;
}

/* @return index in plan->machines of the machine that is drained soonest, of a pool that can do
 * without it; -1: none */
static ssize_t find_drain_donor(const plan_t *plan, size_t to)
{
	ssize_t best_index = -1;

	for (size_t i = 0; i < plan->machine_count; i++) {
		const capacity_machine_t *machine = &plan->machines[i];

		if (machine->idle || !machine->drainable || machine->draining ||
		    machine->immovable || plan->moved[i] || machine->pool == to ||
		    plan->pools[machine->pool].standby || machine->drain_ms > DRAIN_MAX_MS ||
		    plan->allocated[machine->pool].vms <= plan->pools[machine->pool].required_vms ||
		    !can_spare(plan, machine->pool, machine->cores, DRAIN_MARGIN))
			continue;
		if (best_index < 0 || machine->drain_ms < plan->machines[best_index].drain_ms)
			best_index = (ssize_t)i;
	}
	return best_index;
}

static size_t drain_for_deficits(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	double cores = mean_machine_cores(plan);
	size_t count = 0;

	while (count < limit) {
		ssize_t to = find_largest_deficit(plan, cores, false);
		ssize_t donor = -1;

		if (to >= 0 &&
		    pool_deficit(plan, (size_t)to, cores, false) >= DRAIN_DEFICIT_SHARE * cores)
			donor = find_drain_donor(plan, (size_t)to);
		if (donor < 0)
			break;
		moves[count] = move_machine(plan, (size_t)donor, (size_t)to);
		moves[count++].action = CAPACITY_DRAIN;
	}
	return count;
}

/* --- reserves and standby --- */

/* True when the pool, with its late tasks, can do without the machine. */
static bool is_surplus(const plan_t *plan, const capacity_machine_t *machine)
{
	const capacity_pool_t *pool = &plan->pools[machine->pool];

	return pool->standby || plan->allocated[machine->pool].cores - machine->cores >=
					(pool->need_cores + pool->late_cores) * DONOR_MARGIN;
}

/* @return index in plan->pools of the pool whose reserve lacks the most machines; -1: none lacks
 * any */
static ssize_t find_largest_reserve_gap(const plan_t *plan)
{
	ssize_t best_index = -1;
	unsigned largest = 0;

	for (size_t i = 0; i < plan->pool_count; i++) {
		unsigned allocated = plan->allocated[i].vms;
		unsigned missing =
			plan->pools[i].reserve_vms - MIN(allocated, plan->pools[i].reserve_vms);

		if (missing > largest) {
			largest = missing;
			best_index = (ssize_t)i;
		}
	}
	return best_index;
}

/* @return index in plan->machines of an idle machine that its pool needs neither for its demand nor
 * for its reserve; -1: none */
static ssize_t find_reserve_donor(const plan_t *plan)
{
	ssize_t best_index = -1;

	for (size_t i = 0; i < plan->machine_count; i++) {
		const capacity_machine_t *machine = &plan->machines[i];
		unsigned reserve = plan->pools[machine->pool].reserve_vms;

		if (machine->idle_ms < RESERVE_IDLE_MS || !can_donate(plan, i, reserve) ||
		    !is_surplus(plan, machine))
			continue;
		if (best_index < 0 ||
		    donor_rank(plan, machine) < donor_rank(plan, &plan->machines[best_index]))
			best_index = (ssize_t)i;
	}
	return best_index;
}

/* Drains machines for the reserves of pools whose surge is predicted. */
static size_t drain_for_reserves(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	size_t count = 0;

	for (size_t i = 0; i < plan->pool_count; i++) {
		const capacity_pool_t *pool = &plan->pools[i];

		while (pool->reserve_due && count < limit &&
		       plan->allocated[i].vms < pool->reserve_vms) {
			ssize_t donor = find_drain_donor(plan, i);

			if (donor < 0)
				break;
			moves[count] = move_machine(plan, (size_t)donor, i);
			moves[count++].action = CAPACITY_DRAIN;
		}
	}
	return count;
}

static size_t fill_reserves(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	size_t count = 0;

	while (count < limit) {
		ssize_t to = find_largest_reserve_gap(plan);
		ssize_t donor = to >= 0 ? find_reserve_donor(plan) : -1;

		if (donor < 0)
			break;
		moves[count++] = move_machine(plan, (size_t)donor, (size_t)to);
	}
	return count;
}

static ssize_t find_standby_pool(const plan_t *plan)
{
	for (size_t i = 0; i < plan->pool_count; i++) {
		if (plan->pools[i].standby)
			return (ssize_t)i;
	}
	return -1;
}

static size_t release_idle(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	ssize_t standby = find_standby_pool(plan);
	size_t count = 0;

	for (size_t i = 0; standby >= 0 && i < plan->machine_count && count < limit; i++) {
		const capacity_machine_t *machine = &plan->machines[i];
		const capacity_pool_t *pool = &plan->pools[machine->pool];

		if (pool->standby || machine->idle_ms < STANDBY_IDLE_MS ||
		    !can_donate(plan, i, pool->reserve_vms) || !is_surplus(plan, machine))
			continue;
		moves[count++] = move_machine(plan, i, (size_t)standby);
	}
	return count;
}

unsigned capacity_reserve_per_pool(size_t machine_count, size_t used_pools)
{
	if (used_pools == 0)
		return 0;
	return (unsigned)((double)machine_count * RESERVE_SHARE / (double)used_pools);
}

unsigned capacity_vms_for(double need_cores, double cores_per_vm)
{
	return (unsigned)ceil(need_cores * DEMAND_MARGIN / cores_per_vm);
}

size_t capacity_plan(const capacity_pool_t *pools, size_t pool_count,
		     const capacity_machine_t *machines, size_t machine_count, size_t limit,
		     capacity_move_t *moves)
{
	void *mem = talloc_new(NULL);
	allocation_t *allocated = talloc_zero_array(mem, allocation_t, pool_count + 1);
	bool *moved = talloc_zero_array(mem, bool, machine_count + 1);
	plan_t plan = {
		.pools = pools,
		.pool_count = pool_count,
		.machines = machines,
		.machine_count = machine_count,
		.allocated = allocated,
		.moved = moved,
	};
	size_t count;

	for (size_t i = 0; i < machine_count; i++) {
		size_t pool = machines[i].draining ? machines[i].draining_to : machines[i].pool;

		allocated[pool].cores += machines[i].cores;
		allocated[pool].vms++;
	}
	count = review_drains(&plan, limit, moves);
	count += cover_deficits(&plan, false, limit - count, moves + count);
	count += drain_for_deficits(&plan, limit - count, moves + count);
	count += fill_reserves(&plan, limit - count, moves + count);
	count += drain_for_reserves(&plan, limit - count, moves + count);
	count += cover_deficits(&plan, true, limit - count, moves + count);
	count += release_idle(&plan, limit - count, moves + count);
	talloc_free(mem);
	return count;
}
