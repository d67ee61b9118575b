#include "batch_lease.h"

#include <glib.h>

void batch_lease_answered(batch_lease_t *lease, const batch_lease_limits_t *limits, uint64_t now_us)
{
	lease->answered_end_us = MAX(lease->answered_end_us, now_us + limits->length_us);
}

void batch_lease_given_up(batch_lease_t *lease, const batch_lease_limits_t *limits,
			  uint64_t sent_us, uint64_t now_us)
{
	if (now_us > lease->late_until_us)
		lease->unanswered = 0;
	lease->unanswered++;
	lease->given_up_us = now_us;
	lease->late_until_us = MAX(lease->late_until_us, sent_us + limits->late_us);
}

/*
 * A grant without an answer was carried out before it was given up, or is carried out late; then it
 * extends the lease only while something still runs there, and one that is carried out before the
 * end that the others give extends it once more.
 */
uint64_t batch_lease_end_us(const batch_lease_t *lease, const batch_lease_limits_t *limits)
{
	uint64_t end_us = lease->answered_end_us;

	for (unsigned i = 0; i < lease->unanswered; i++) {
		uint64_t latest_us = MAX(lease->given_up_us, MIN(lease->late_until_us, end_us));
		uint64_t next_us = latest_us + limits->length_us;

		if (next_us <= end_us)
			break;
		end_us = next_us;
	}
	return end_us;
}
