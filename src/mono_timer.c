#include "mono_timer.h"

#include <sys/queue.h>

#include <talloc.h>
#include <tevent.h>

#include "clock.h"

/* Smallest change of the time of day against the monotonic clock that counts as a step. Smaller
 * ones delay a timer by as much. */
#define STEP_MIN_US (2 * US_PER_MS)

/* The pending timers of an event loop. */
typedef struct {
	struct tevent_context *ev;
	uint64_t day_offset_us; /* time of day minus monotonic time */
	LIST_HEAD(mono_timer_list, mono_timer) timers;
} mono_timers_t;

struct mono_timer {
	LIST_ENTRY(mono_timer) link;
	mono_timers_t *timers;
	struct tevent_timer *te;
	uint64_t due_us;
	mono_timer_fn fn;
	void *arg;
};

static void on_tevent_timer(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval current, void *private_data);

static struct timeval time_of_day(const mono_timer_t *timer, uint64_t now_us)
{
	uint64_t wait_us = timer->due_us > now_us ? timer->due_us - now_us : 0;

	return tevent_timeval_current_ofs((uint32_t)(wait_us / US_PER_S),
					  (uint32_t)(wait_us % US_PER_S));
}

static void add_tevent_timer(mono_timer_t *timer, uint64_t now_us)
{
	timer->te = tevent_add_timer(timer->timers->ev, timer, time_of_day(timer, now_us),
				     on_tevent_timer, timer);
}

static void on_tevent_timer(struct tevent_context *ev, struct tevent_timer *te,
			    struct timeval current, void *private_data)
{
	mono_timer_t *timer = private_data;
	mono_timer_fn fn = timer->fn;
	void *arg = timer->arg;
	uint64_t now_us = clock_now_us();

	if (now_us + STEP_MIN_US < timer->due_us) {
		add_tevent_timer(timer, now_us); /* the time of day was set forward */
		return;
	}
	talloc_free(timer);
	fn(arg);
}

static uint64_t day_offset_us(uint64_t now_us)
{
	struct timeval day = tevent_timeval_current();

	return (uint64_t)day.tv_sec * US_PER_S + (uint64_t)day.tv_usec - now_us;
}

static void follow_clock_steps(mono_timers_t *timers)
{
	uint64_t now_us = clock_now_us();
	uint64_t offset_us = day_offset_us(now_us);
	mono_timer_t *timer;

	if (offset_us < timers->day_offset_us + STEP_MIN_US &&
	    timers->day_offset_us < offset_us + STEP_MIN_US)
		return;
	timers->day_offset_us = offset_us;
	LIST_FOREACH (timer, &timers->timers, link)
		tevent_update_timer(timer->te, time_of_day(timer, now_us));
}

static void on_trace_point(enum tevent_trace_point point, void *private_data)
{
	if (point == TEVENT_TRACE_BEFORE_LOOP_ONCE)
		follow_clock_steps(private_data);
}

/* The event loop is being freed; timers that are its talloc children are freed later. */
static int unlink_all_timers(mono_timers_t *timers)
{
	mono_timer_t *timer;

	while ((timer = LIST_FIRST(&timers->timers)) != NULL) {
		LIST_REMOVE(timer, link);
		timer->timers = NULL;
	}
	return 0;
}

static mono_timers_t *timers_of_loop(struct tevent_context *ev)
{
	tevent_trace_callback_t callback;
	void *private_data;
	mono_timers_t *timers;

	tevent_get_trace_callback(ev, &callback, &private_data);
	if (callback == on_trace_point)
		return private_data;
	timers = talloc(ev, mono_timers_t);
	*timers = (mono_timers_t){.ev = ev, .day_offset_us = day_offset_us(clock_now_us())};
	LIST_INIT(&timers->timers);
	talloc_set_destructor(timers, unlink_all_timers);
	tevent_set_trace_callback(ev, on_trace_point, timers);
	return timers;
}

static int unlink_timer(mono_timer_t *timer)
{
	if (timer->timers != NULL)
		LIST_REMOVE(timer, link);
	return 0;
}

mono_timer_t *mono_timer_add(struct tevent_context *ev, void *parent, uint64_t delay_us,
			     mono_timer_fn fn, void *arg)
{
	uint64_t now_us = clock_now_us();
	mono_timer_t *timer = talloc(parent, mono_timer_t);

	*timer = (mono_timer_t){
		.timers = timers_of_loop(ev),
		.due_us = now_us + delay_us,
		.fn = fn,
		.arg = arg,
	};
	LIST_INSERT_HEAD(&timer->timers->timers, timer, link);
	talloc_set_destructor(timer, unlink_timer);
	add_tevent_timer(timer, now_us);
	return timer;
}
