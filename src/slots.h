#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * This process's share of a target's slots. The shares of all entry processes of the data centre
 * add up to the target's limit. Pure.
 */

typedef struct {
	uint32_t share;
	uint32_t in_use;
	uint32_t held;	       /**< not used for now, as the target refused */
	uint32_t refusals;     /**< consecutive */
	uint64_t release_us;   /**< time at which the next held slot is released */
	uint64_t hold_time_us; /**< between two releases */
} slots_t;

/**
 * Part of total that falls to process number position of count. The remainder of the division goes
 * to other processes for other targets, by salt.
 */
uint32_t slots_share(uint32_t total, unsigned position, unsigned count, uint32_t salt);

/**
 * Sets the share from the target's limits. A share below what is in use takes effect as slots are
 * given back.
 */
void slots_set(slots_t *slots, uint32_t slot_limit, uint32_t connection_limit, unsigned position,
	       unsigned count, uint32_t salt);
uint32_t slots_free(slots_t *slots, uint64_t now_us);
/** @return false when no slot is free */
bool slots_take(slots_t *slots, uint64_t now_us);
void slots_give(slots_t *slots);
/**
 * Notes whether the target accepted work. A target that refuses still runs work that was given up
 * here, or work of another process: each refusal holds one slot back for a while, longer with each
 * one in a row.
 */
void slots_accepted(slots_t *slots);
void slots_refused(slots_t *slots, uint64_t now_us);
