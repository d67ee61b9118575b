#include "timer.h"

#include <talloc.h>

#include "clock.h"
#include "mono_timer.h"

/* Resolution of the timers. No subscriber needs a finer one. */
#define TICK_US (10 * US_PER_MS)

static void schedule_tick(timer_service_t *service);

static void on_tick(void *arg)
{
	timer_service_t *service = arg;
	uint64_t now_us = clock_now_us();
	timer_sub_t *sub;

	service->timer = NULL;
	/* The called function may end any subscription, including the next one in the list, so the
	 * search restarts at the head of the list after each call. */
	do {
		LIST_FOREACH (sub, &service->subs, link) {
			if (sub->due_us <= now_us) {
				sub->due_us = now_us + sub->period_us;
				/* Earlier subscribers may have recorded later times than now_us. */
				sub->fn(sub->arg, clock_now_us());
				break;
			}
		}
	} while (sub != NULL);
	schedule_tick(service);
}

static void schedule_tick(timer_service_t *service)
{
	service->timer = mono_timer_add(service->ev, service->ev, TICK_US, on_tick, service);
}

void timer_service_init(timer_service_t *service, struct tevent_context *ev)
{
	*service = (timer_service_t){.ev = ev};
	LIST_INIT(&service->subs);
	schedule_tick(service);
}

void timer_service_finish(timer_service_t *service)
{
	TALLOC_FREE(service->timer);
}

void timer_subscribe(timer_service_t *service, timer_sub_t *sub, uint64_t period_us, timer_fn fn,
		     void *arg)
{
	*sub = (timer_sub_t){
		.period_us = period_us,
		.due_us = clock_now_us() + period_us,
		.fn = fn,
		.arg = arg,
	};
	LIST_INSERT_HEAD(&service->subs, sub, link);
}

void timer_unsubscribe(timer_service_t *service, timer_sub_t *sub)
{
	LIST_REMOVE(sub, link);
}
