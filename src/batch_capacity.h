#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Which machines change their pool. Answers queues whose demand surges by turns to several times
 * what their pool holds, and falls to nearly nothing in between: machines that run nothing follow
 * the demand, and those that no queue needs are switched off. A pool keeps a reserve for the first
 * seconds of its next surge, as a move takes longer than the jobs that come first may wait. Callers
 * gain the room that they need while they need it; the owner does not pay for idle machines beyond
 * the reserve. Pure.
 */

typedef struct {
	bool standby;	       /**< machines in it are off and cost nothing */
	double need_cores;     /**< that the waiting and running work could use now */
	unsigned required_vms; /**< least number, for tasks that must not share a VM */
	unsigned reserve_vms;  /**< kept unless another pool needs them now */
} capacity_pool_t;

typedef struct {
	size_t pool; /**< that it is in, or is moving to */
	double cores;
	uint64_t idle_ms; /**< for so long */
	bool idle;	  /**< runs nothing */
	bool fixed;	  /**< may not be moved now */
} capacity_machine_t;

typedef struct {
	size_t machine;
	size_t to;
} capacity_move_t;

/**
 * @param used_pools number of pools that a queue sends work to
 * @return machines that each of them keeps for the beginning of a surge
 */
unsigned capacity_reserve(size_t machine_count, size_t used_pools);

/**
 * @param moves room for limit moves
 * @return number of moves
 */
size_t capacity_plan(const capacity_pool_t *pools, size_t pool_count,
		     const capacity_machine_t *machines, size_t machine_count, size_t limit,
		     capacity_move_t *moves);
