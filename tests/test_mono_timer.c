#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "http_client.h"
#include "timer.h"

#define STEP_S 4
#define SETTLE_US (300 * US_PER_MS)

static int64_t day_step_s; /* added to the time of day that the event loop reads */

/* Replaces the function of the C library, which libtevent calls. */
int gettimeofday(struct timeval *restrict tv, void *restrict tz)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	*tv = (struct timeval){.tv_sec = ts.tv_sec + day_step_s, .tv_usec = ts.tv_nsec / 1000};
	return 0;
}

static void count_call(void *arg, uint64_t now_us)
{
	(*(unsigned *)arg)++;
}

static void run_for(struct tevent_context *ev, uint64_t duration_us)
{
	uint64_t end_us = clock_now_us() + duration_us;

	while (clock_now_us() < end_us)
		tevent_loop_once(ev);
}

/* @return number of calls of a subscription of 20 ms within 300 ms after the step */
static unsigned calls_after_step(int64_t step_s)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	timer_service_t timers;
	timer_sub_t sub;
	unsigned calls = 0;

	day_step_s = 0;
	timer_service_init(&timers, ev);
	timer_subscribe(&timers, &sub, 20 * US_PER_MS, count_call, &calls);
	run_for(ev, 50 * US_PER_MS);
	day_step_s = step_s;
	calls = 0;
	run_for(ev, SETTLE_US);
	timer_unsubscribe(&timers, &sub);
	timer_service_finish(&timers);
	talloc_free(ev);
	day_step_s = 0;
	return calls;
}

/* Guards against timers that stand still after a step back of the time of day: processes sent no
 * heartbeats for 8.5 s. */
static void test_step_back_does_not_stop_the_timer_service(void **state)
{
	assert_in_range(calls_after_step(-STEP_S), 5, 16);
}

/* Guards against timers that fire at once, again and again, after a step forward. */
static void test_step_forward_does_not_speed_up_the_timer_service(void **state)
{
	assert_in_range(calls_after_step(STEP_S), 5, 16);
}

static void on_call_done(void *arg, const http_call_result_t *result)
{
	assert_false(result->complete);
	*(uint64_t *)arg = clock_now_us();
}

/* Sends a request to a socket that accepts no connection, and steps the time of day.
 * @return time until the call has timed out */
static uint64_t call_time_us(int64_t step_s, uint32_t timeout_ms, uint32_t progress_timeout_ms)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char url[64];
	http_client_t client;
	http_call_request_t request = {
		.method = "GET",
		.url = url,
		.timeout_ms = timeout_ms,
		.progress_timeout_ms = progress_timeout_ms,
		.response_limit = 1024,
	};
	uint64_t started_us = clock_now_us();
	uint64_t done_us = 0;

	day_step_s = 0;
	assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(listen(fd, 1), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &length), 0);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", ntohs(address.sin_port));
	assert_int_equal(http_client_init(&client, ev, 60), 0);
	assert_non_null(http_client_send(&client, &request, on_call_done, &done_us));
	run_for(ev, 20 * US_PER_MS);
	day_step_s = step_s;
	while (done_us == 0)
		tevent_loop_once(ev);
	http_client_finish(&client);
	talloc_free(ev);
	close(fd);
	day_step_s = 0;
	return done_us - started_us;
}

/* Guards against calls that time out only when the time of day has caught up after a step back. */
static void test_step_back_does_not_delay_call_timeouts(void **state)
{
	assert_in_range(call_time_us(-STEP_S, 200, 0), 150 * US_PER_MS, US_PER_S);
	assert_in_range(call_time_us(-STEP_S, 5000, 200), 150 * US_PER_MS, US_PER_S);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_step_back_does_not_stop_the_timer_service),
		cmocka_unit_test(test_step_forward_does_not_speed_up_the_timer_service),
		cmocka_unit_test(test_step_back_does_not_delay_call_timeouts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
