#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * This process's share of a target's slots. The shares of all entry processes of the data centre
 * add up to the target's limit. Has no side effects outside its arguments.
 */

typedef struct {
	uint32_t share;
	uint32_t in_use;
	uint32_t withheld; /**< not used for a while because the target refused requests */
	uint32_t consecutive_refusals; /**< refused requests in a row */
	uint64_t next_release_us;      /**< when the next withheld slot is released */
	uint64_t release_interval_us;  /**< time between two releases */
} slots_t;

/**
 * Returns the part of total that belongs to one process. The parts of all processes add up to
 * total.
 * @param process_index number of the process, 0 to process_count - 1
 * @param process_count 0: one process uses the whole total
 * @param remainder_seed differs between targets, so that the remainder of the division goes to
 * different processes
 */
uint32_t slots_process_share(uint32_t total, unsigned process_index, unsigned process_count,
			     uint32_t remainder_seed);

/**
 * Sets the share from the target's limits. When it falls below in_use, it takes effect as slots are
 * released.
 */
void slots_set(slots_t *slots, uint32_t slot_limit, uint32_t connection_limit,
	       unsigned process_index, unsigned process_count, uint32_t remainder_seed);
uint32_t slots_free(slots_t *slots, uint64_t now_us);
/** Takes a slot. @return false when none is free */
bool slots_take(slots_t *slots, uint64_t now_us);
void slots_release(slots_t *slots);
/**
 * Record whether the target accepted a request. A target that refuses is still busy with requests
 * that were given up here or that come from other processes. Each refusal therefore withholds one
 * slot for a while, longer with each refusal in a row.
 */
void slots_accepted(slots_t *slots);
void slots_refused(slots_t *slots, uint64_t now_us);
