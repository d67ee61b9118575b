#include "slots.h"

#include <glib.h>

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

uint32_t slots_free(const slots_t *slots)
{
	return slots->in_use < slots->share ? slots->share - slots->in_use : 0;
}

bool slots_take(slots_t *slots)
{
	if (slots_free(slots) == 0)
		return false;
	slots->in_use++;
	return true;
}

void slots_give(slots_t *slots)
{
	g_assert(slots->in_use > 0);
	slots->in_use--;
}
