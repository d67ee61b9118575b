#include "batch_capacity.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

/* Room beyond the declared need: declared times and sizes are off by a fifth and more. */
#define MARGIN 1.15
/* A pool lends or releases machines only beyond this; the gap to MARGIN keeps machines from moving
 * back and forth. */
#define KEEP_MARGIN 1.4
/* A machine is switched off after so long without work. A move and the move back cost as much as
 * the machine does in some 3 s, and a queue's quiet time lasts longer than that. */
#define RELEASE_IDLE_MS 1500
/* A need below this share of a machine does not move one. */
#define LEAST_DEFICIT 0.25
/* Share of all machines that the reserves of all pools take together. Measured on tgph-sched-grown
 * (docs/measurements.md): without a reserve the jobs of the first 2.5 s of each surge were late. */
#define RESERVE_SHARE 0.6
/* A machine fills up a reserve once it has been idle for so long: its own queue may want it again
 * within a placement or two. */
#define RESERVE_IDLE_MS 400

typedef struct {
	double cores;
	unsigned vms;
} holding_t;

typedef struct {
	const capacity_pool_t *pools;
	size_t pool_count;
	const capacity_machine_t *machines;
	size_t machine_count;
	holding_t *held;
	bool *taken;
} plan_t;

/* What a pool lacks, in cores; 0 when it lacks nothing worth a machine. */
static double deficit(const plan_t *plan, size_t pool, double machine_cores)
{
	const capacity_pool_t *spec = &plan->pools[pool];
	const holding_t *held = &plan->held[pool];
	double lack = spec->need_cores * MARGIN - held->cores;

	if (spec->standby)
		return 0;
	if (held->vms < spec->required_vms)
		lack = MAX(lack, machine_cores);
	return lack >= LEAST_DEFICIT * machine_cores ? lack : 0;
}

static bool may_give(const plan_t *plan, size_t machine, unsigned least_vms)
{
	const capacity_machine_t *spec = &plan->machines[machine];
	const holding_t *held = &plan->held[spec->pool];
	const capacity_pool_t *pool = &plan->pools[spec->pool];

	if (!spec->idle || spec->fixed || plan->taken[machine])
		return false;
	if (pool->standby)
		return true;
	return held->vms > MAX(least_vms, pool->required_vms) &&
	       held->cores - spec->cores >= pool->need_cores * KEEP_MARGIN;
}

/* Order in which machines are taken: those that are paid for and that no reserve holds, those that
 * are off, those of a reserve. */
static unsigned donor_rank(const plan_t *plan, const capacity_machine_t *machine)
{
	const capacity_pool_t *pool = &plan->pools[machine->pool];

	if (pool->standby)
		return 1;
	return plan->held[machine->pool].vms > pool->reserve_vms ? 0 : 2;
}

/* The longest idle first. */
static ssize_t find_donor(const plan_t *plan, size_t to)
{
	ssize_t best = -1;
	unsigned best_rank = 0;

	for (size_t i = 0; i < plan->machine_count; i++) {
		const capacity_machine_t *machine = &plan->machines[i];
		unsigned rank = donor_rank(plan, machine);

		if (machine->pool == to || !may_give(plan, i, 0))
			continue;
		if (best >= 0 &&
		    (rank > best_rank ||
		     (rank == best_rank && machine->idle_ms <= plan->machines[best].idle_ms)))
			continue;
		best = (ssize_t)i;
		best_rank = rank;
	}
	return best;
}

static capacity_move_t move_machine(plan_t *plan, size_t machine, size_t to)
{
	const capacity_machine_t *spec = &plan->machines[machine];

	plan->taken[machine] = true;
	plan->held[spec->pool].cores -= spec->cores;
	plan->held[spec->pool].vms--;
	plan->held[to].cores += spec->cores;
	plan->held[to].vms++;
	return (capacity_move_t){.machine = machine, .to = to};
}

static double typical_cores(const plan_t *plan)
{
	double sum = 0;

	for (size_t i = 0; i < plan->machine_count; i++)
		sum += plan->machines[i].cores;
	return plan->machine_count > 0 ? sum / (double)plan->machine_count : 0;
}

static ssize_t neediest(const plan_t *plan, double machine_cores)
{
	ssize_t best = -1;
	double most = 0;

	for (size_t i = 0; i < plan->pool_count; i++) {
		double lack = deficit(plan, i, machine_cores);

		if (lack > most) {
			most = lack;
			best = (ssize_t)i;
		}
	}
	return best;
}

static size_t meet_needs(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	double cores = typical_cores(plan);
	size_t count = 0;

	while (count < limit) {
		ssize_t to = neediest(plan, cores);
		ssize_t donor = to >= 0 ? find_donor(plan, (size_t)to) : -1;

		if (donor < 0)
			break;
		moves[count++] = move_machine(plan, (size_t)donor, (size_t)to);
	}
	return count;
}

static ssize_t shortest_reserve(const plan_t *plan)
{
	ssize_t best = -1;
	unsigned most = 0;

	for (size_t i = 0; i < plan->pool_count; i++) {
		unsigned held = plan->held[i].vms;
		unsigned lack = plan->pools[i].reserve_vms - MIN(held, plan->pools[i].reserve_vms);

		if (lack > most) {
			most = lack;
			best = (ssize_t)i;
		}
	}
	return best;
}

/* A machine beyond the reserve of its own pool. */
static ssize_t find_spare(const plan_t *plan)
{
	ssize_t best = -1;

	for (size_t i = 0; i < plan->machine_count; i++) {
		const capacity_machine_t *machine = &plan->machines[i];
		unsigned reserve = plan->pools[machine->pool].reserve_vms;

		if (machine->idle_ms < RESERVE_IDLE_MS || !may_give(plan, i, reserve))
			continue;
		if (best < 0 || donor_rank(plan, machine) < donor_rank(plan, &plan->machines[best]))
			best = (ssize_t)i;
	}
	return best;
}

static size_t fill_reserves(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	size_t count = 0;

	while (count < limit) {
		ssize_t to = shortest_reserve(plan);
		ssize_t spare = to >= 0 ? find_spare(plan) : -1;

		if (spare < 0)
			break;
		moves[count++] = move_machine(plan, (size_t)spare, (size_t)to);
	}
	return count;
}

static ssize_t standby_pool(const plan_t *plan)
{
	for (size_t i = 0; i < plan->pool_count; i++) {
		if (plan->pools[i].standby)
			return (ssize_t)i;
	}
	return -1;
}

static size_t release(plan_t *plan, size_t limit, capacity_move_t *moves)
{
	ssize_t standby = standby_pool(plan);
	size_t count = 0;

	for (size_t i = 0; standby >= 0 && i < plan->machine_count && count < limit; i++) {
		const capacity_machine_t *machine = &plan->machines[i];
		const capacity_pool_t *pool = &plan->pools[machine->pool];

		if (pool->standby || machine->idle_ms < RELEASE_IDLE_MS ||
		    !may_give(plan, i, pool->reserve_vms))
			continue;
		moves[count++] = move_machine(plan, i, (size_t)standby);
	}
	return count;
}

unsigned capacity_reserve(size_t machine_count, size_t used_pools)
{
	if (used_pools == 0)
		return 0;
	return (unsigned)((double)machine_count * RESERVE_SHARE / (double)used_pools);
}

size_t capacity_plan(const capacity_pool_t *pools, size_t pool_count,
		     const capacity_machine_t *machines, size_t machine_count, size_t limit,
		     capacity_move_t *moves)
{
	void *mem = talloc_new(NULL);
	holding_t *held = talloc_zero_array(mem, holding_t, pool_count + 1);
	bool *taken = talloc_zero_array(mem, bool, machine_count + 1);
	plan_t plan = {
		.pools = pools,
		.pool_count = pool_count,
		.machines = machines,
		.machine_count = machine_count,
		.held = held,
		.taken = taken,
	};
	size_t count;

	for (size_t i = 0; i < machine_count; i++) {
		held[machines[i].pool].cores += machines[i].cores;
		held[machines[i].pool].vms++;
	}
	count = meet_needs(&plan, limit, moves);
	count += fill_reserves(&plan, limit - count, moves + count);
	count += release(&plan, limit - count, moves + count);
	talloc_free(mem);
	return count;
}
