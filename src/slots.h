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
	uint32_t withheld; /**< slots not used for a while, because the target refused requests */
	uint32_t consecutive_refusals; /**< requests that the target refused in a row */
	uint64_t next_release_us;      /**< time when the next withheld slot is released */
	uint64_t release_interval_us;  /**< time between the releases of two withheld slots */
} slots_t;

/**
 * Returns the part of a total that one process gets; the parts of all processes add up to the
 * total.
 * @param process_index index of the process, 0 to process_count - 1
 * @param process_count number of processes; 0: the process gets the whole total
 * @param remainder_seed number that differs between targets, so that the remainder of the division
 * does not always go to the same processes
 */
uint32_t slots_process_share(uint32_t total, unsigned process_index, unsigned process_count,
			     uint32_t remainder_seed);

/**
 * Sets the share from the target's limits. If more slots than the new share are in use, they stay
 * in use until they are released.
 */
void slots_set(slots_t *slots, uint32_t slot_limit, uint32_t connection_limit,
	       unsigned process_index, unsigned process_count, uint32_t remainder_seed);
uint32_t slots_free(slots_t *slots, uint64_t now_us);
/**
 * Takes a slot.
 * @return false when none is free
 */
bool slots_take(slots_t *slots, uint64_t now_us);
void slots_release(slots_t *slots);
/**
 * slots_accepted() and slots_refused() record whether the target accepted a request. A target that
 * refuses a request is still busy with requests that this process has given up or that other
 * processes sent. Each refusal therefore withholds one slot for a while. This time doubles with
 * each refusal in a row, up to a limit.
 */
void slots_accepted(slots_t *slots);
void slots_refused(slots_t *slots, uint64_t now_us);
