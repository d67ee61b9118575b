#include "pause_watch.h"

bool pause_watch_trusts(pause_watch_t *watch, uint64_t now_us)
{
	if (watch->last_call_us != 0 && now_us - watch->last_call_us > PAUSE_WATCH_GAP_MAX_US) {
		watch->distrust_until_us = now_us + PAUSE_WATCH_DISTRUST_US;
		watch->pauses++;
	}
	watch->last_call_us = now_us;
	return now_us >= watch->distrust_until_us;
}
