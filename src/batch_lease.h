#pragma once

#include <stdint.h>

/**
 * @file
 * Tracks when the task lease of a VM ends. Each hold or start request grants the tasks on the VM a
 * lease; the VM stops them when the lease expires without renewal. Tasks of a silent VM may start
 * elsewhere only after that, so that no task runs twice. A grant that was not answered may have
 * been lost, or be applied at once or seconds later. All times are on the leader's monotonic clock.
 */

typedef struct {
	uint64_t duration_us;		/**< duration of a lease, including the VM's clock error */
	uint64_t max_delivery_delay_us; /**< an unanswered request is applied at most so long after
					   sending */
} batch_lease_limits_t;

/** Grants sent to one VM; all zero when none was sent. */
typedef struct {
	uint64_t answered_end_us;    /**< latest expiry of the answered grants */
	uint64_t last_timeout_us;    /**< when the latest unanswered grant timed out */
	uint64_t latest_delivery_us; /**< unanswered grants have no effect after this time */
	unsigned unanswered;	     /**< number of grants that latest_delivery_us covers */
} batch_lease_t;

/** Accounts for a lease grant that the VM has answered. */
void batch_lease_grant_answered(batch_lease_t *lease, const batch_lease_limits_t *limits,
				uint64_t now_us);
/** Accounts for a lease grant that was sent at sent_us and timed out at now_us. */
void batch_lease_grant_timed_out(batch_lease_t *lease, const batch_lease_limits_t *limits,
				 uint64_t sent_us, uint64_t now_us);
/** @return the time after which nothing runs on the VM unless another grant is sent */
uint64_t batch_lease_end_us(const batch_lease_t *lease, const batch_lease_limits_t *limits);
