#pragma once

#include <stdint.h>

struct tevent_context;

/**
 * @file
 * One-shot timers of an event loop that follow the monotonic clock. The timers of tevent are times
 * of day: after a step back of the time of day, a pending one stands still until the clock has
 * caught up. These timers are set again in the first round of the loop after a step.
 */

typedef struct mono_timer mono_timer_t;
typedef void (*mono_timer_fn)(void *arg);

/**
 * Calls fn once, after delay_us. The timer is freed before the call.
 * @param parent talloc parent of the timer; freeing the timer or its parent cancels it
 */
mono_timer_t *mono_timer_add(struct tevent_context *ev, void *parent, uint64_t delay_us,
			     mono_timer_fn fn, void *arg);
