#include "batch_lease.h"

#include <glib.h>

void batch_lease_grant_answered(batch_lease_t *lease, const batch_lease_limits_t *limits,
				uint64_t now_us)
{
	lease->answered_end_us = MAX(lease->answered_end_us, now_us + limits->duration_us);
}

void batch_lease_grant_timed_out(batch_lease_t *lease, const batch_lease_limits_t *limits,
				 uint64_t sent_us, uint64_t now_us)
{
	if (now_us > lease->latest_delivery_us)
		lease->unanswered = 0;
	lease->unanswered++;
	lease->last_timeout_us = now_us;
	lease->latest_delivery_us =
		MAX(lease->latest_delivery_us, sent_us + limits->max_delivery_delay_us);
}

/*
 * An unanswered grant was applied before its request timed out, or is applied later, but not after
 * latest_delivery_us. A late grant only renews a lease that has not expired. In the worst case,
 * each unanswered grant arrives just before the lease expires and renews it once more.
 */
uint64_t batch_lease_end_us(const batch_lease_t *lease, const batch_lease_limits_t *limits)
{
	uint64_t end_us = lease->answered_end_us;

	for (unsigned i = 0; i < lease->unanswered; i++) {
		uint64_t renewal_us =
			MAX(lease->last_timeout_us, MIN(lease->latest_delivery_us, end_us));
		uint64_t renewed_end_us = renewal_us + limits->duration_us;

		if (renewed_end_us <= end_us)
			break;
		end_us = renewed_end_us;
	}
	return end_us;
}
