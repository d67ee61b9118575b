#include "slots.h"

#include <glib.h>

#include "clock.h"

/* About the service time of a short request. */
#define HOLD_US (20 * US_PER_MS)
/* A target that refuses everything is asked about every 1.3 s. */
#define HOLD_DOUBLINGS 6

uint32_t slots_share(uint32_t total, unsigned position, unsigned count, uint32_t salt)
{
	unsigned rank;

	if (count == 0)
		return total;
	rank = (position + salt % count) % count;
	return total / count + (rank < total % count ? 1 : 0);
}

void slots_set(slots_t *slots, uint32_t slot_limit, uint32_t connection_limit, unsigned position,
	       unsigned count, uint32_t salt)
{
	slots->share = MIN(slots_share(slot_limit, position, count, salt),
			   slots_share(connection_limit, position, count, salt));
}

uint32_t slots_free(slots_t *slots, uint64_t now_us)
{
	while (slots->held > 0 && now_us >= slots->release_us) {
		slots->held--;
		slots->release_us += slots->hold_time_us;
	}
	return slots->in_use + slots->held < slots->share
		       ? slots->share - slots->in_use - slots->held
		       : 0;
}

bool slots_take(slots_t *slots, uint64_t now_us)
{
	if (slots_free(slots, now_us) == 0)
		return false;
	slots->in_use++;
	return true;
}

void slots_give(slots_t *slots)
{
	g_assert(slots->in_use > 0);
	slots->in_use--;
}

void slots_accepted(slots_t *slots)
{
	slots->refusals = 0;
}

void slots_refused(slots_t *slots, uint64_t now_us)
{
	slots->hold_time_us = HOLD_US << MIN(slots->refusals, HOLD_DOUBLINGS);
	slots->refusals++;
	slots->held = MIN(slots->held + 1, slots->share);
	slots->release_us = now_us + slots->hold_time_us;
}
