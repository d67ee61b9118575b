#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Decides which machines move to another pool, without I/O or global state. The queues have surges
 * in turn, of several times the capacity of their pool, and need almost nothing in between. Idle
 * machines therefore move to the pools with demand, and machines that no pool needs are switched
 * off. Each pool keeps a reserve for the first seconds of its next surge, because a move takes
 * longer than the first jobs of a surge can wait. Apart from the reserves, no machine is kept
 * running idle.
 */

typedef struct {
	bool standby;	   /**< standby pool: its machines are switched off and cost nothing */
	double need_cores; /**< number of cores that the waiting and running tasks could use now */
	unsigned required_vms; /**< minimum number of VMs, for tasks that must not share a VM */
	unsigned reserve_vms;  /**< number of VMs kept as a reserve, unless another pool needs them
				  now */
} capacity_pool_t;

typedef struct {
	size_t pool; /**< index in the array of pools: the machine's pool, or the pool that it is
			moving to */
	double cores;
	uint64_t idle_ms; /**< duration for which the machine has run no tasks */
	bool idle;	  /**< the machine runs no tasks */
	bool immovable;	  /**< the machine must not be moved now */
} capacity_machine_t;

typedef struct {
	size_t machine; /**< index in the array of machines of the machine to move */
	size_t to;	/**< index in the array of pools of the destination */
} capacity_move_t;

/**
 * @return number of machines that each pool with a queue keeps for the start of a surge
 * @param used_pools number of pools with a queue
 */
unsigned capacity_reserve_per_pool(size_t machine_count, size_t used_pools);

/**
 * Plans moves of machines: first to pools that lack capacity, then to pools that lack reserves,
 * then to standby.
 * @param moves receives the planned moves; has space for limit entries
 * @return number of planned moves
 */
size_t capacity_plan(const capacity_pool_t *pools, size_t pool_count,
		     const capacity_machine_t *machines, size_t machine_count, size_t limit,
		     capacity_move_t *moves);
