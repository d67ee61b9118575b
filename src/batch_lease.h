#pragma once

#include <stdint.h>

/**
 * @file
 * Tracks when the task lease of a VM ends. Each hold or start request grants a lease to the tasks
 * on the VM, and the VM stops them when the lease expires without being renewed. Only then may the
 * tasks of an unresponsive VM start on other VMs; otherwise a task could run twice. A grant that
 * was not answered may be lost, applied at once, or applied seconds later. All times are on the
 * leader's monotonic clock.
 */

typedef struct {
	uint64_t duration_us; /**< longest duration of a lease on the leader's clock, which includes
				 the largest error of a VM's clock that runs slow */
	uint64_t max_delivery_delay_us; /**< longest time from sending a request that stays
					   unanswered until the VM applies it */
} batch_lease_limits_t;

/** Lease grants sent to one VM; all members are 0 when none was sent. */
typedef struct {
	uint64_t answered_end_us;    /**< latest expiry time of the answered grants */
	uint64_t last_timeout_us;    /**< time when the latest unanswered grant timed out */
	uint64_t latest_delivery_us; /**< time after which no unanswered grant can be applied any
					more */
	unsigned unanswered;	     /**< number of unanswered grants that can be applied until
					latest_delivery_us */
} batch_lease_t;

/** Records that the VM has answered a lease grant at now_us. */
void batch_lease_grant_answered(batch_lease_t *lease, const batch_lease_limits_t *limits,
				uint64_t now_us);
/** Records that a lease grant that was sent at sent_us timed out at now_us. */
void batch_lease_grant_timed_out(batch_lease_t *lease, const batch_lease_limits_t *limits,
				 uint64_t sent_us, uint64_t now_us);
/**
 * @return time when all leases granted so far have certainly expired, so that the VM runs no tasks
 */
uint64_t batch_lease_end_us(const batch_lease_t *lease, const batch_lease_limits_t *limits);
