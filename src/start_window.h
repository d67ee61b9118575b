#pragma once

#include <stdint.h>

/**
 * @file
 * Bounds the number of tasks that the leader starts at the same time by what it can follow up, like
 * a congestion window: each start costs a commit, a request, a response and, later, the end of the
 * run. The window grows while responses to start requests are read promptly, and is halved when
 * even the fastest response of an interval had to wait, or when the event loop is late. There is no
 * I/O; times are monotonic, in microseconds.
 */

/** Lower limit of the window, so that starts always make progress. */
#define START_WINDOW_MIN 128
/**
 * Latency above which a response counts as late, in microseconds. Responses normally arrive within
 * some ms. A task waits for the leader about five times on its way to the end, and objectives allow
 * for 600 ms.
 */
#define START_WINDOW_LATENCY_US (80 * US_PER_MS)

typedef struct {
	double size;
	double threshold;   /**< size below which the window doubles in an interval */
	unsigned in_flight; /**< number of starts that are being committed or are not answered */
	unsigned most_in_flight; /**< most starts in flight since interval_us */
	unsigned answers;	 /**< number of responses since interval_us */
	uint64_t fastest_us;	 /**< shortest latency of these responses */
	uint64_t interval_us;
} start_window_t;

void start_window_init(start_window_t *window, uint64_t now_us);
void start_window_finish(start_window_t *window);
/** @return number of tasks that may be started now in addition to those in flight */
unsigned start_window_room(const start_window_t *window);
/** Counts a start that is about to be committed, or a start request that is sent once more. */
void start_window_add(start_window_t *window);
/** Removes a start for which no request was sent. */
void start_window_remove(start_window_t *window);
/**
 * Removes a start whose request was answered or has timed out. @param latency_us time from sending
 * the request to handling the response
 */
void start_window_answered(start_window_t *window, uint64_t latency_us, uint64_t now_us);
/** Handles a delay of the event loop. @param delay_us time by which a timer was late */
void start_window_delayed(start_window_t *window, uint64_t delay_us, uint64_t now_us);
