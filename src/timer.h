#pragma once

#include <stdint.h>
#include <sys/queue.h>

struct mono_timer;
struct tevent_context;

/**
 * @file
 * Calls functions periodically in an event loop. One monotonic timer drives all subscriptions of a
 * thread. When periods are missed, for example because the process was frozen, the function is
 * called only once for all of them.
 */

typedef void (*timer_fn)(void *arg, uint64_t now_us);

/** A subscription to a periodic call. The caller owns its memory, which must stay valid until
 * timer_unsubscribe(). */
typedef struct timer_sub {
	LIST_ENTRY(timer_sub) link;
	uint64_t period_us;
	uint64_t due_us; /**< time of the next call, by clock_now_us() */
	timer_fn fn;
	void *arg;
} timer_sub_t;

typedef struct {
	struct tevent_context *ev;
	struct mono_timer *timer;
	LIST_HEAD(timer_sub_list, timer_sub) subs;
} timer_service_t;

/**
 * Starts the service.
 * @param ev event context of the thread; must outlive the service
 */
void timer_service_init(timer_service_t *service, struct tevent_context *ev);
void timer_service_finish(timer_service_t *service);

/** Calls fn every period_us; the first call comes after one period. */
void timer_subscribe(timer_service_t *service, timer_sub_t *sub, uint64_t period_us, timer_fn fn,
		     void *arg);
/** Ends a subscription. May be called from within the function of any subscription. */
void timer_unsubscribe(timer_service_t *service, timer_sub_t *sub);
