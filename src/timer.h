#pragma once

#include <stdint.h>
#include <sys/queue.h>

struct tevent_context;

/**
 * @file
 * Timer service. Parts of a thread subscribe a function with a period; one tevent timer drives all
 * subscriptions of the thread. A period that was missed (frozen process) is run once, not caught
 * up.
 */

typedef void (*timer_fn)(void *arg, uint64_t now_us);

/** A subscription; memory is the caller's and must live until timer_unsubscribe(). */
typedef struct timer_sub {
	LIST_ENTRY(timer_sub) link;
	uint64_t period_us;
	uint64_t due_us;
	timer_fn fn;
	void *arg;
} timer_sub_t;

typedef struct {
	struct tevent_context *ev;
	struct tevent_timer *timer;
	LIST_HEAD(timer_sub_list, timer_sub) subs;
} timer_service_t;

/** @param ev the thread's event context; must outlive the service. */
void timer_service_init(timer_service_t *service, struct tevent_context *ev);
void timer_service_finish(timer_service_t *service);

/** Calls fn every period_us, first after one period. */
void timer_subscribe(timer_service_t *service, timer_sub_t *sub, uint64_t period_us, timer_fn fn,
		     void *arg);
/** Ends a subscription; allowed from within any subscriber's function. */
void timer_unsubscribe(timer_service_t *service, timer_sub_t *sub);
