#include "peer_clock.h"

#include <glib.h>

void peer_clock_init(peer_clock_t *clock)
{
	*clock = (peer_clock_t){0};
}

void peer_clock_add(peer_clock_t *clock, uint64_t peer_us, uint64_t received_us)
{
	if (peer_us == 0)
		return;
	clock->offsets_us[clock->next] = (int64_t)(peer_us - received_us);
	clock->next = (clock->next + 1) % PEER_CLOCK_READINGS;
	clock->count = MIN(clock->count + 1, PEER_CLOCK_READINGS);
}

uint64_t peer_clock_now_us(const peer_clock_t *clock, uint64_t now_us)
{
	int64_t offset_us;

	if (clock->count == 0)
		return 0;
	offset_us = clock->offsets_us[0];
	for (unsigned i = 1; i < clock->count; i++)
		offset_us = MAX(offset_us, clock->offsets_us[i]);
	return now_us + (uint64_t)offset_us;
}
