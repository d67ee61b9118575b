#pragma once

#include <stdint.h>

/**
 * @file
 * Until when something may run on a VM. Each hold and each start grants the VM's tasks a lease; a
 * VM that falls silent ends them when it is over, and only then they may run elsewhere. Answers the
 * loss of answers: a grant without one may not have arrived, may have been carried out at once, or
 * may be carried out seconds later. Callers gain that no task runs twice, and that it waits no
 * longer than that takes. Pure; times are of the leader's steady clock.
 */

typedef struct {
	uint64_t length_us; /**< of a lease, with the error of the VM's clock */
	uint64_t late_us;   /**< an order without an answer is carried out so much later at most */
} batch_lease_limits_t;

/** All zero: nothing was granted. */
typedef struct {
	uint64_t answered_end_us; /**< of the grants that were answered */
	uint64_t given_up_us;	  /**< when the latest grant without an answer was given up */
	uint64_t late_until_us;	  /**< grants without an answer are carried out by then, or never */
	unsigned unanswered;	  /**< number of these */
} batch_lease_t;

/** The VM has answered a grant. */
void batch_lease_answered(batch_lease_t *lease, const batch_lease_limits_t *limits,
			  uint64_t now_us);
/** A grant that was sent at sent_us is given up. */
void batch_lease_given_up(batch_lease_t *lease, const batch_lease_limits_t *limits,
			  uint64_t sent_us, uint64_t now_us);
/** @return the time after which nothing runs on the VM without another grant */
uint64_t batch_lease_end_us(const batch_lease_t *lease, const batch_lease_limits_t *limits);
