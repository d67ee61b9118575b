#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "adapter.h"
#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "lib_port.h"
#include "metrics.h"

/* Longer than the timeout of a start request. */
#define PAUSE_MS 400
#define REPLY_WAIT_US (2000 * US_PER_MS)

static struct tevent_context *ev;
static http_server_t vm_server;
static http_client_t client;
static adapter_vm_client_t vm_client;
static process_settings_t settings;
static metrics_t *metrics;
static char vm_address[32];
static unsigned starts;
static unsigned stops;
static unsigned replies;
static unsigned unsent;
static GQueue held = G_QUEUE_INIT; /* requests that the VM has not answered yet */
static bool holds_requests;
static vm_reply_code_t reply_code;

static void handle_vm_request(void *arg, http_request_t *request)
{
	const http_header_t headers[] = {{"Content-Type", "application/json"}};
	const char *body = "{\"clockMs\":1}";

	if (strcmp(http_request_path(request), "/run-start") == 0)
		starts++;
	else
		stops++;
	if (holds_requests) {
		g_queue_push_tail(&held, request);
		return;
	}
	http_request_reply(request, 200, headers, G_N_ELEMENTS(headers), body, strlen(body));
}

static void on_reply(void *arg, const vm_reply_t *reply)
{
	replies++;
	unsent += reply->code == VM_REPLY_NOT_SENT;
	reply_code = reply->code;
}

static int set_up(void **state)
{
	const http_server_config_t config = {.address = "127.0.0.1",
					     .port = lib_port_find_unused(),
					     .body_limit = 65536,
					     .connection_limit = 10,
					     .idle_timeout_s = 10};

	starts = 0;
	stops = 0;
	unsent = 0;
	holds_requests = false;
	replies = 0;
	ev = tevent_context_init(NULL);
	metrics = metrics_create();
	assert_int_equal(http_server_init(&vm_server, ev, &config, handle_vm_request, NULL), 0);
	assert_int_equal(http_client_init(&client, ev, 60), 0);
	adapter_vm_client_init(&vm_client, &client, &client, &settings, metrics);
	g_snprintf(vm_address, sizeof(vm_address), "127.0.0.1:%u", config.port);
	return 0;
}

static int tear_down(void **state)
{
	http_client_finish(&client);
	adapter_vm_client_finish(&vm_client);
	http_server_finish(&vm_server);
	metrics_destroy(metrics);
	talloc_free(ev);
	return 0;
}

static void send_start(uint64_t expires_us)
{
	const vm_port_t port = adapter_vm_port(&vm_client);
	const vm_ref_t vm = {.address = vm_address, .id = "vm-1", .expires_us = expires_us};
	const vm_start_t start = {.task = {.job = "j"}, .run = 1, .spec = "spec"};

	port.start(port.arg, &vm, &start, on_reply, NULL);
}

/* Sends the starts of runs 1 to count of a task each. */
static void send_starts(unsigned count)
{
	const vm_port_t port = adapter_vm_port(&vm_client);
	const vm_ref_t vm = {.address = vm_address, .id = "vm-1"};

	for (unsigned i = 0; i < count; i++) {
		const vm_start_t start = {
			.task = {.job = "j", .index = i}, .run = 1, .spec = "spec"};

		port.start(port.arg, &vm, &start, on_reply, NULL);
	}
}

static void wait_for(const unsigned *counter, unsigned value)
{
	uint64_t end_us = clock_now_us() + REPLY_WAIT_US;

	while (*counter < value && clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(ev), 0);
	assert_int_equal(*counter, value);
}

static void answer_held(void)
{
	http_request_t *request;

	while ((request = g_queue_pop_head(&held)) != NULL)
		http_request_reply(request, 200, NULL, 0, "{}", 2);
}

static void wait_for_reply(void)
{
	uint64_t end_us = clock_now_us() + REPLY_WAIT_US;

	while (replies == 0 && clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(ev), 0);
	assert_int_equal(replies, 1);
}

/* Guards against requests that are dropped although they are in time. */
static void test_start_without_limit_is_sent(void **state)
{
	send_start(0);
	wait_for_reply();
	assert_int_equal(reply_code, VM_REPLY_OK);
	assert_int_equal(starts, 1);
}

/* Guards against a start that waits for its connection and reaches the VM after it has expired. */
static void test_expired_start_is_not_sent(void **state)
{
	send_start(clock_now_us());
	wait_for_reply();
	assert_int_equal(reply_code, VM_REPLY_NOT_SENT);
	assert_int_equal(starts, 0);
}

/* Guards against a process that is paused before it has sent a start, and sends it on waking. */
static void test_start_is_not_sent_after_a_pause(void **state)
{
	send_start(0);
	usleep(PAUSE_MS * 1000);
	wait_for_reply();
	assert_int_equal(reply_code, VM_REPLY_NOT_SENT);
	assert_int_equal(starts, 0);
}

/* Guards against starts that are sent although their runs are to be stopped, and against stops that
 * wait behind starts. */
static void test_stop_takes_back_the_start_that_waits(void **state)
{
	const vm_port_t port = adapter_vm_port(&vm_client);
	const vm_ref_t vm = {.address = vm_address, .id = "vm-1"};
	const vm_stop_t stop = {.task = {.job = "j", .index = 9}, .run = 1};

	holds_requests = true;
	send_starts(10);
	wait_for(&starts, CALL_WINDOW_MIN);
	port.stop(port.arg, &vm, &stop, on_reply, NULL);
	assert_int_equal(replies, 0);
	wait_for(&unsent, 1);
	answer_held();
	wait_for(&stops, 1);
	/* The stop is sent before the starts that still wait. */
	assert_in_range(starts, CALL_WINDOW_MIN, 2 * CALL_WINDOW_MIN - 1);
	holds_requests = false;
	answer_held();
	wait_for(&replies, 11);
	assert_int_equal(starts, 9);
	assert_int_equal(unsent, 1);
}

/* Guards against starts that wait for a silent VM until their callers give them up: they are known
 * not to have been sent, and can be placed elsewhere. */
static void test_starts_that_wait_for_a_silent_vm_are_not_sent(void **state)
{
	holds_requests = true;
	send_starts(20);
	wait_for(&replies, 20);
	assert_int_equal(starts, CALL_WINDOW_MIN);
	assert_int_equal(unsent, 20 - CALL_WINDOW_MIN);
	holds_requests = false;
	answer_held();
}

/* Guards against requests without an end when the process ends. */
static void test_waiting_requests_end_with_the_client(void **state)
{
	holds_requests = true;
	send_starts(12);
	wait_for(&starts, CALL_WINDOW_MIN);
	http_client_finish(&client);
	adapter_vm_client_finish(&vm_client);
	assert_int_equal(replies, 12);
	holds_requests = false;
	answer_held();
	assert_int_equal(http_client_init(&client, ev, 60), 0);
	adapter_vm_client_init(&vm_client, &client, &client, &settings, metrics);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_start_without_limit_is_sent, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_expired_start_is_not_sent, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_start_is_not_sent_after_a_pause, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_stop_takes_back_the_start_that_waits, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_starts_that_wait_for_a_silent_vm_are_not_sent,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_waiting_requests_end_with_the_client, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
