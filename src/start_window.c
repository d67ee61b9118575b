#include "start_window.h"

#include <glib.h>

#include "clock.h"

/* A leader that is not behind starts some thousand tasks a second, each within 50 ms, and a surge
 * brings the first thousand at once. */
#define INITIAL_SIZE 1024
#define SIZE_MAX_STARTS 8192
/* Interval in which the window grows or shrinks at most once. The next responses show the effect.
 */
#define INTERVAL_US (100 * US_PER_MS)
/* Fewer responses in an interval are no measure of the leader's load: they can be those of one VM
 * that does not respond. */
#define ANSWERS_MIN 8
#define SHRINK_FACTOR 0.5
/* Share of its size by which the window grows in an interval, from the threshold on. A commit can
 * take longer than an interval, so that growth by the number of responses would be too slow for a
 * surge of a few seconds. */
#define GROWTH_SHARE 0.125
#define GROWTH_MIN 32.0

void start_window_init(start_window_t *window, uint64_t now_us)
{
	*window = (start_window_t){.size = INITIAL_SIZE,
				   .threshold = SIZE_MAX_STARTS,
				   .fastest_us = UINT64_MAX,
				   .interval_us = now_us};
}

void start_window_finish(start_window_t *window)
{
	*window = (start_window_t){0};
}

unsigned start_window_room(const start_window_t *window)
{
	unsigned size = (unsigned)window->size;

	return size > window->in_flight ? size - window->in_flight : 0;
}

void start_window_add(start_window_t *window)
{
	window->in_flight++;
	window->most_in_flight = MAX(window->most_in_flight, window->in_flight);
}

void start_window_remove(start_window_t *window)
{
	if (window->in_flight > 0)
		window->in_flight--;
}

static void begin_interval(start_window_t *window, uint64_t now_us)
{
	window->interval_us = now_us;
	window->most_in_flight = window->in_flight;
	window->answers = 0;
	window->fastest_us = UINT64_MAX;
}

static void shrink(start_window_t *window, uint64_t now_us)
{
	window->size = MAX(window->size * SHRINK_FACTOR, START_WINDOW_MIN);
	window->threshold = window->size;
	begin_interval(window, now_us);
}

/* A window that is not used says nothing about the starts that it would allow. */
static void grow(start_window_t *window)
{
	double step = window->size < window->threshold
			      ? window->size
			      : MAX(window->size * GROWTH_SHARE, GROWTH_MIN);

	if (window->most_in_flight >= window->size / 2)
		window->size = MIN(window->size + step, SIZE_MAX_STARTS);
}

static void end_interval(start_window_t *window, uint64_t now_us)
{
	if (now_us < window->interval_us + INTERVAL_US || window->answers < ANSWERS_MIN)
		return;
	if (window->fastest_us > START_WINDOW_LATENCY_US) {
		shrink(window, now_us);
		return;
	}
	grow(window);
	begin_interval(window, now_us);
}

void start_window_answered(start_window_t *window, uint64_t latency_us, uint64_t now_us)
{
	end_interval(window, now_us);
	/* An interval begins with its first response, so that it covers many of them. */
	if (window->answers == 0)
		window->interval_us = now_us;
	start_window_remove(window);
	window->answers++;
	window->fastest_us = MIN(window->fastest_us, latency_us);
}

void start_window_delayed(start_window_t *window, uint64_t delay_us, uint64_t now_us)
{
	if (delay_us > START_WINDOW_LATENCY_US && now_us >= window->interval_us + INTERVAL_US)
		shrink(window, now_us);
}
