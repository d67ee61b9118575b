#include "slots.h"

#include <glib.h>

#include "clock.h"

/*
 * Time for which the first of several refusals in a row withholds a slot; about the service time of
 * a short request.
 */
#define WITHHOLD_BASE_US (20 * US_PER_MS)
/*
 * Limit of the doublings of WITHHOLD_BASE_US: a target that refuses every request is still tried
 * about every 1.3 s.
 */
#define WITHHOLD_MAX_DOUBLINGS 6

uint32_t slots_process_share(uint32_t total, unsigned process_index, unsigned process_count,
			     uint32_t remainder_seed)
{
	unsigned rank;

	if (process_count == 0)
		return total;
	rank = (process_index + remainder_seed % process_count) % process_count;
	return total / process_count + (rank < total % process_count ? 1 : 0);
}

void slots_set(slots_t *slots, uint32_t slot_limit, uint32_t connection_limit,
	       unsigned process_index, unsigned process_count, uint32_t remainder_seed)
{
	slots->share =
		MIN(slots_process_share(slot_limit, process_index, process_count, remainder_seed),
		    slots_process_share(connection_limit, process_index, process_count,
					remainder_seed));
}

uint32_t slots_free(slots_t *slots, uint64_t now_us)
{
	while (slots->withheld > 0 && now_us >= slots->next_release_us) {
		slots->withheld--;
		slots->next_release_us += slots->release_interval_us;
	}
	return slots->in_use + slots->withheld < slots->share
		       ? slots->share - slots->in_use - slots->withheld
		       : 0;
}

bool slots_take(slots_t *slots, uint64_t now_us)
{
	if (slots_free(slots, now_us) == 0)
		return false;
	slots->in_use++;
	return true;
}

void slots_release(slots_t *slots)
{
	g_assert(slots->in_use > 0);
	slots->in_use--;
}

void slots_accepted(slots_t *slots)
{
	slots->consecutive_refusals = 0;
}

void slots_refused(slots_t *slots, uint64_t now_us)
{
	slots->release_interval_us = WITHHOLD_BASE_US
				     << MIN(slots->consecutive_refusals, WITHHOLD_MAX_DOUBLINGS);
	slots->consecutive_refusals++;
	slots->withheld = MIN(slots->withheld + 1, slots->share);
	slots->next_release_us = now_us + slots->release_interval_us;
}
