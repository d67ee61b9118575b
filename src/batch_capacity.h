#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Decides which machines move to another pool; no I/O and no global state. Queues take turns at
 * surges of several times the capacity of their pool and need almost nothing in between, so idle
 * machines move to the pools with demand, and machines that no pool needs are switched off. Each
 * pool keeps a reserve for the first seconds of its next surge, because a move takes longer than
 * the first jobs of a surge may wait. Beyond the reserves no idle machines are paid for.
 */

typedef struct {
	bool standby;	       /**< its machines are switched off and cost nothing */
	double need_cores;     /**< cores that the waiting and running tasks could use now */
	unsigned required_vms; /**< minimum, for tasks that must not share a VM */
	unsigned reserve_vms;  /**< VMs to keep unless another pool needs them now */
} capacity_pool_t;

typedef struct {
	size_t pool; /**< index of its present pool, or of the pool it is moving to */
	double cores;
	uint64_t idle_ms; /**< time without tasks */
	bool idle;	  /**< runs no tasks */
	bool immovable;	  /**< must not be moved now */
} capacity_machine_t;

typedef struct {
	size_t machine; /**< index */
	size_t to;	/**< index of the destination pool */
} capacity_move_t;

/**
 * @param used_pools number of pools that receive jobs from a queue
 * @return number of machines that each of these pools keeps for the start of a surge
 */
unsigned capacity_reserve_per_pool(size_t machine_count, size_t used_pools);

/**
 * Plans moves: first to pools that lack capacity, then to fill reserves, then to standby.
 * @param moves receives the moves; has space for limit entries
 * @return number of moves
 */
size_t capacity_plan(const capacity_pool_t *pools, size_t pool_count,
		     const capacity_machine_t *machines, size_t machine_count, size_t limit,
		     capacity_move_t *moves);
