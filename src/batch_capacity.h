#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Decides which machines move to another pool, without I/O or global state. The queues have surges
 * in turn, of several times the capacity of their pool, and need almost nothing in between. Idle
 * machines therefore move to the pools with demand, and machines that no pool needs are switched
 * off. When no machine is idle, because pools still work on late jobs, machines of pools without
 * demand on time are drained: they get no new tasks and move once their tasks have ended. Each pool
 * keeps a reserve for the first seconds of its next surge, because a move takes longer than the
 * first jobs of a surge can wait. Apart from the reserves, no machine is kept running idle.
 */

typedef struct {
	double need_cores; /**< number of cores that the tasks which can still be on time could use
			      now */
	double late_cores; /**< number of cores that the pool gets for its late tasks, as long as no
			      pool needs them for tasks on time or for its reserve */
	unsigned required_vms; /**< minimum number of VMs, for tasks that must not share a VM */
	unsigned reserve_vms;  /**< number of VMs kept as a reserve, unless another pool needs them
				  now */
	bool reserve_due;      /**< the reserve is for a surge that is predicted or goes on, so that
				  machines with late tasks are drained for it */
	bool standby;	       /**< standby pool: its machines are switched off and cost nothing */
} capacity_pool_t;

typedef struct {
	size_t pool; /**< index in the array of pools: the machine's pool, or the pool that it is
			moving to */
	double cores;
	uint64_t idle_ms;   /**< duration for which the machine has run no tasks */
	uint64_t drain_ms;  /**< estimated time until its tasks have ended */
	size_t draining_to; /**< destination of the move for which the machine is drained */
	bool idle;	    /**< the machine runs no tasks */
	bool immovable;	    /**< the machine must not be moved now */
	bool drainable;	    /**< the machine runs only tasks that end by themselves */
	bool draining;	    /**< the machine is drained for a move */
} capacity_machine_t;

typedef enum {
	CAPACITY_MOVE,	/**< move the machine now */
	CAPACITY_DRAIN, /**< drain the machine for a move */
	CAPACITY_KEEP,	/**< stop draining the machine; it stays in its pool */
} capacity_action_t;

typedef struct {
	capacity_action_t action;
	size_t machine; /**< index in the array of machines */
	size_t to;	/**< index in the array of pools of the destination; of the machine's own
			   pool for CAPACITY_KEEP */
} capacity_move_t;

/**
 * @return number of machines that each pool with a queue keeps for the start of a surge
 * @param used_pools number of pools with a queue
 */
unsigned capacity_reserve_per_pool(size_t machine_count, size_t used_pools);

/** @return number of VMs that a demand takes */
unsigned capacity_vms_for(double need_cores, double cores_per_vm);

/**
 * Plans moves of machines: first to pools that lack capacity for tasks on time, then to pools that
 * lack reserves, then to pools with late tasks, then to standby.
 * @param moves receives the planned moves; has space for limit entries
 * @return number of planned moves
 */
size_t capacity_plan(const capacity_pool_t *pools, size_t pool_count,
		     const capacity_machine_t *machines, size_t machine_count, size_t limit,
		     capacity_move_t *moves);
