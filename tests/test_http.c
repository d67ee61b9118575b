#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>
#include <sys/socket.h>
#include <tevent.h>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "lib_port.h"

/* Size of a response that takes many reads of any receive buffer. */
#define LARGE_RESPONSE_BYTES 300000

static uint16_t server_port;
static uint16_t raw_port;

typedef struct {
	struct tevent_context *ev;
	http_server_t server;
	http_client_t client;
	http_request_t *held_request; /* request received and not replied to yet; NULL: none */
	bool hold_requests;	      /* true: the handler does not reply */
	unsigned held_count;	      /* number of requests that were held */
	unsigned disconnect_count;
	bool done;
	/* Result of the latest call; its headers and body are not valid. */
	http_call_result_t result;
	char *body;
	char *error;
} fixture_t;

static void on_disconnect(void *arg)
{
	((fixture_t *)arg)->disconnect_count++;
}

static void on_request(void *arg, http_request_t *request)
{
	fixture_t *f = arg;
	size_t length;
	const void *body = http_request_body(request, &length);
	const char *param = http_request_param(request, "p");
	const http_header_t headers[] = {
		{"X-Path", http_request_path(request)},
		{"X-Param", param != NULL ? param : "none"},
		{"X-Echo", http_request_header(request, "x-in")},
	};

	if (f->hold_requests) {
		f->held_count++;
		f->held_request = request;
		http_request_set_disconnect_handler(request, on_disconnect, f);
		return;
	}
	http_request_reply(request, 200, headers, headers[2].value != NULL ? 3 : 2, body, length);
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	const http_server_config_t config = {
		.address = "127.0.0.1",
		.port = server_port,
		.body_limit = 1000,
		.connection_limit = 50,
		.idle_timeout_s = 10,
		.memory_limit = 16 << 20,
	};

	f->ev = tevent_context_init(NULL);
	assert_int_equal(http_server_init(&f->server, f->ev, &config, on_request, f), 0);
	assert_int_equal(http_client_init(&f->client, f->ev, 60), 0);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	http_client_finish(&f->client);
	http_server_finish(&f->server);
	talloc_free(f->ev);
	g_free(f->body);
	g_free(f->error);
	g_free(f);
	return 0;
}

static void on_done(void *arg, const http_call_result_t *result)
{
	fixture_t *f = arg;

	f->done = true;
	f->result = *result;
	g_free(f->body);
	g_free(f->error);
	f->body = g_strndup(result->body, result->body_length);
	f->error = g_strdup(result->error);
}

static http_call_t *start_call(fixture_t *f, uint16_t port, const char *path, const char *body,
			       bool fresh_connection)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	const http_header_t header = {"X-In", "in"};
	const http_call_request_t request = {
		.method = "POST",
		.url = url,
		.headers = &header,
		.header_count = 1,
		.body = body,
		.body_length = strlen(body),
		.connect_timeout_ms = 500,
		.timeout_ms = 3000,
		.progress_timeout_ms = 500,
		.response_limit = 4000,
		.fresh_connection = fresh_connection,
	};
	http_call_t *call = http_client_send(&f->client, &request, on_done, f);

	f->done = false;
	g_free(url);
	return call;
}

static void wait_for_result(fixture_t *f)
{
	uint64_t end_us = clock_now_us() + 5 * US_PER_S;

	while (!f->done && clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(f->ev), 0);
	assert_true(f->done);
}

static void exchange(fixture_t *f, uint16_t port, const char *path, const char *body,
		     bool fresh_connection)
{
	assert_non_null(start_call(f, port, path, body, fresh_connection));
	wait_for_result(f);
}

/* Guards against a body, path or query that is altered on its way. */
static void test_request_and_response_arrive_unchanged(void **state)
{
	fixture_t *f = *state;

	for (unsigned i = 0; i < 3; i++) {
		exchange(f, server_port, "/a%20b/../c?p=x%20y", "body", false);
		assert_true(f->result.complete);
		assert_int_equal(f->result.status, 200);
		assert_string_equal(f->body, "body");
	}
	assert_int_equal(http_server_open_requests(&f->server), 0);
}

/* Guards against request bodies that take unbounded memory. */
static void test_large_body_is_refused(void **state)
{
	fixture_t *f = *state;
	char *body = g_strnfill(1001, 'x');

	exchange(f, server_port, "/", body, false);
	assert_int_equal(f->result.status, 413);
	g_free(body);
}

static void on_tick(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
		    void *arg)
{
}

static http_call_t *start_sized_call(fixture_t *f, uint32_t receive_buffer, uint32_t timeout_ms,
				     uint32_t progress_timeout_ms)
{
	g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/", server_port);
	const http_call_request_t request = {
		.method = "GET",
		.url = url,
		.timeout_ms = timeout_ms,
		.progress_timeout_ms = progress_timeout_ms,
		.response_limit = LARGE_RESPONSE_BYTES,
		.receive_buffer = receive_buffer,
	};

	f->done = false;
	return http_client_send(&f->client, &request, on_done, f);
}

static void run_for_ms(fixture_t *f, unsigned ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	while (clock_now_us() < end_us) {
		assert_non_null(tevent_add_timer(f->ev, f->ev, tevent_timeval_current_ofs(0, 10000),
						 on_tick, NULL));
		tevent_loop_once(f->ev);
	}
}

/* Lets one request occupy the only connection, and a call with a short receive buffer wait for it.
 * @return the call that waits */
static http_call_t *start_waiting_call(fixture_t *f, uint32_t timeout_ms,
				       uint32_t progress_timeout_ms)
{
	http_call_t *waiting;

	http_client_set_host_connection_limit(&f->client, 1);
	f->hold_requests = true;
	start_sized_call(f, 0, 5000, 0);
	while (f->held_request == NULL)
		tevent_loop_once(f->ev);
	waiting = start_sized_call(f, 2048, timeout_ms, progress_timeout_ms);
	run_for_ms(f, 200);
	assert_int_equal(f->held_count, 1);
	return waiting;
}

/* Receives a large response to a new call over the connection, once that is free. */
static void receive_large_response(fixture_t *f)
{
	g_autofree char *large = g_strnfill(LARGE_RESPONSE_BYTES, 'x');

	start_sized_call(f, 0, 5000, 0);
	http_request_reply(f->held_request, 200, NULL, 0, "", 0);
	while (f->held_count < 2)
		tevent_loop_once(f->ev);
	f->done = false;
	http_request_reply(f->held_request, 200, NULL, 0, large, LARGE_RESPONSE_BYTES);
	wait_for_result(f);
	assert_true(f->result.complete);
	assert_int_equal(f->result.body_length, LARGE_RESPONSE_BYTES);
	assert_string_equal(f->body, large);
}

/* Guards against a response that is written past the end of the receive buffer of an earlier call,
 * which was cancelled while it waited for a connection. The address sanitizer finds it. */
static void test_large_response_after_a_cancelled_waiting_call(void **state)
{
	http_call_cancel(start_waiting_call(*state, 5000, 0));
	receive_large_response(*state);
}

/* Guards against the same after a waiting call that the progress timeout has ended. */
static void test_large_response_after_a_waiting_call_without_progress(void **state)
{
	fixture_t *f = *state;

	start_waiting_call(f, 5000, 100);
	assert_true(f->result.timed_out);
	assert_false(f->result.sent);
	receive_large_response(f);
}

/* Guards against the same after waiting calls that have timed out. libcurl ends them only once a
 * connection is free. */
static void test_large_responses_after_waiting_calls_timed_out(void **state)
{
	g_autofree char *large = g_strnfill(LARGE_RESPONSE_BYTES, 'x');
	fixture_t *f = *state;

	start_waiting_call(f, 100, 0);
	for (unsigned i = 0; i < 3; i++)
		start_sized_call(f, 2048, 100, 0);
	run_for_ms(f, 200);
	http_request_reply(f->held_request, 200, NULL, 0, "", 0);
	run_for_ms(f, 200);
	assert_true(f->result.timed_out);
	for (unsigned i = 0; i < 5; i++)
		start_sized_call(f, 0, 5000, 0);
	for (unsigned i = 0; i < 5; i++) {
		while (f->held_count < i + 2)
			tevent_loop_once(f->ev);
		f->done = false;
		http_request_reply(f->held_request, 200, NULL, 0, large, LARGE_RESPONSE_BYTES);
		wait_for_result(f);
		assert_true(f->result.complete);
		assert_string_equal(f->body, large);
	}
}

static void *reply_in_thread(void *arg)
{
	http_request_reply(arg, 202, NULL, 0, "late", 4);
	return NULL;
}

/* Guards against lost replies and data races when another thread replies. */
static void test_reply_from_another_thread(void **state)
{
	fixture_t *f = *state;
	pthread_t thread;

	f->hold_requests = true;
	start_call(f, server_port, "/", "", false);
	while (f->held_request == NULL)
		tevent_loop_once(f->ev);
	assert_int_equal(http_server_open_requests(&f->server), 1);
	pthread_create(&thread, NULL, reply_in_thread, f->held_request);
	wait_for_result(f);
	pthread_join(thread, NULL);
	assert_int_equal(f->result.status, 202);
	assert_string_equal(f->body, "late");
}

/* Guards against work for a disconnected client, and against a reply on its freed connection. */
static void test_disconnect_is_reported_once_and_reply_dropped(void **state)
{
	fixture_t *f = *state;
	http_call_t *call;

	f->hold_requests = true;
	call = start_call(f, server_port, "/", "", false);
	while (f->held_request == NULL)
		tevent_loop_once(f->ev);
	http_call_cancel(call);
	while (f->disconnect_count == 0)
		tevent_loop_once(f->ev);
	http_request_reply(f->held_request, 200, NULL, 0, "", 0);
	for (unsigned i = 0; i < 3; i++)
		tevent_loop_once(f->ev);
	assert_int_equal(f->disconnect_count, 1);
	assert_int_equal(http_server_open_requests(&f->server), 0);
}

/* Guards against a crash when the server finishes before a handler has replied. */
static void test_server_finish_before_reply(void **state)
{
	fixture_t *f = *state;
	const http_server_config_t config = f->server.config;

	f->hold_requests = true;
	start_call(f, server_port, "/", "", false);
	while (f->held_request == NULL)
		tevent_loop_once(f->ev);
	http_server_finish(&f->server);
	assert_non_null(http_request_header(f->held_request, "X-In"));
	http_request_reply(f->held_request, 200, NULL, 0, "", 0);
	wait_for_result(f);
	assert_false(f->result.complete);
	assert_int_equal(http_call_verdict(&f->result), VERDICT_UNKNOWN);
	assert_int_equal(http_server_init(&f->server, f->ev, &config, on_request, f), 0);
}

/* --- server that misbehaves --- */

typedef struct {
	/* Replies to successive requests of a connection; NULL closes it. */
	const char *replies[3];
	int listener;
	unsigned connections; /* number of connections to accept */
	unsigned requests;    /* number of requests received */
} raw_server_t;

static bool read_request(int fd)
{
	char buffer[2000];
	size_t used = 0;

	while (used < sizeof(buffer) - 1) {
		ssize_t received = read(fd, buffer + used, sizeof(buffer) - 1 - used);

		if (received <= 0)
			return false;
		used += (size_t)received;
		buffer[used] = '\0';
		/* The requests of these tests have the body "body". */
		if (strstr(buffer, "\r\n\r\nbody") != NULL)
			return true;
	}
	return false;
}

static void *run_raw_server(void *arg)
{
	raw_server_t *server = arg;

	for (unsigned c = 0; c < server->connections; c++) {
		int fd = accept(server->listener, NULL, NULL);

		for (unsigned i = 0; i < 3 && read_request(fd); i++) {
			server->requests++;
			if (server->replies[i] == NULL)
				break;
			if (write(fd, server->replies[i], strlen(server->replies[i])) < 0)
				break;
		}
		shutdown(fd, SHUT_RDWR);
		close(fd);
	}
	return NULL;
}

static pthread_t start_raw_server(raw_server_t *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(raw_port)};
	struct timeval timeout = {.tv_sec = 2};
	pthread_t thread;
	int enable = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(server->listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	setsockopt(server->listener, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	assert_int_equal(bind(server->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	listen(server->listener, 5);
	pthread_create(&thread, NULL, run_raw_server, server);
	return thread;
}

static const char response_text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/*
 * Guards against a request that is run twice: libcurl sends a request again by itself when a reused
 * connection is closed before the response.
 */
static void test_request_is_never_sent_again(void **state)
{
	fixture_t *f = *state;
	raw_server_t server = {.replies = {response_text}, .connections = 2};
	pthread_t thread = start_raw_server(&server);

	exchange(f, raw_port, "/", "body", false);
	assert_true(f->result.complete);
	exchange(f, raw_port, "/", "body", false);
	assert_false(f->result.complete);
	assert_int_equal(http_call_verdict(&f->result), VERDICT_UNKNOWN);
	shutdown(server.listener, SHUT_RDWR);
	pthread_join(thread, NULL);
	close(server.listener);
	assert_int_equal(server.requests, 2);
}

/* Guards against a request that is run twice when a new connection is closed early. */
static void test_request_on_fresh_connection_is_never_sent_again(void **state)
{
	fixture_t *f = *state;
	raw_server_t server = {.replies = {NULL}, .connections = 2};
	pthread_t thread = start_raw_server(&server);

	exchange(f, raw_port, "/", "body", true);
	assert_int_equal(http_call_verdict(&f->result), VERDICT_UNKNOWN);
	shutdown(server.listener, SHUT_RDWR);
	pthread_join(thread, NULL);
	close(server.listener);
	assert_int_equal(server.requests, 1);
}

/* Guards against a truncated response, or one of unknown length, that counts as complete. */
static void test_partial_response_is_not_complete(void **state)
{
	static const char *const partial_responses[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 200 OK\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Le",
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(partial_responses); i++) {
		raw_server_t server = {.replies = {partial_responses[i]}, .connections = 1};
		pthread_t thread = start_raw_server(&server);

		exchange(f, raw_port, "/", "body", true);
		assert_false(f->result.complete);
		assert_int_equal(http_call_verdict(&f->result), VERDICT_UNKNOWN);
		pthread_join(thread, NULL);
		close(server.listener);
	}
}

/*
 * Guards against a call that hangs when the peer does not respond, and against a refused connection
 * whose request counts as sent.
 */
static void test_progress_timeout_and_refused_connection(void **state)
{
	fixture_t *f = *state;

	f->hold_requests = true;
	exchange(f, server_port, "/", "", false);
	assert_string_equal(f->error, "no data was sent or received within the progress timeout");
	assert_int_equal(http_call_verdict(&f->result), VERDICT_UNKNOWN);
	assert_in_range(f->result.elapsed_us, 450 * US_PER_MS, 1500 * US_PER_MS);
	http_request_reply(f->held_request, 200, NULL, 0, "", 0);
	exchange(f, raw_port, "/", "", false);
	assert_int_equal(http_call_verdict(&f->result), VERDICT_NOT_RUN);
}

static void set_flag(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
		     void *arg)
{
	*(bool *)arg = true;
}

static void exchange_raw(fixture_t *f, const char *text, char *response, size_t size)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(server_port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	ssize_t received = -1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_true(write(fd, text, strlen(text)) > 0);
	for (unsigned i = 0; i < 20 && received < 0; i++) {
		tevent_loop_once(f->ev);
		received = recv(fd, response, size - 1, MSG_DONTWAIT);
	}
	response[received < 0 ? 0 : received] = '\0';
	close(fd);
}

/* Guards against malformed requests that reach the handler, hang or are not counted. */
static void test_malformed_input_is_answered_and_counted(void **state)
{
	static const char *const malformed_requests[] = {
		"GET / HTTP/9.9\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
		"chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
	};
	fixture_t *f = *state;

	f->hold_requests = true;
	for (size_t i = 0; i < G_N_ELEMENTS(malformed_requests); i++) {
		char text[1000];

		exchange_raw(f, malformed_requests[i], text, sizeof(text));
		if (strncmp(text, "HTTP/1.1 4", 10) != 0 && strncmp(text, "HTTP/1.1 5", 10) != 0)
			fail_msg("%zu was answered with: %s", i, text);
		assert_int_equal(f->server.malformed, i + 1);
	}
	assert_null(f->held_request);
}

/* Runs the server until nothing has happened for 20 ms. */
static void run_until_quiet(fixture_t *f)
{
	bool quiet = false;

	while (!quiet) {
		struct tevent_timer *timer = tevent_add_timer(
			f->ev, f->ev, tevent_timeval_current_ofs(0, 20000), set_flag, &quiet);

		tevent_loop_once(f->ev);
		if (!quiet)
			talloc_free(timer);
	}
}

/* Runs the server until it has no connections, for 5 s at most. */
static void wait_for_no_connections(fixture_t *f)
{
	for (unsigned i = 0; i < 250 && f->server.connections > 0; i++)
		run_until_quiet(f);
	assert_int_equal(f->server.connections, 0);
}

static int send_raw(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(server_port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
	return fd;
}

/* Guards against memory that stays charged after a request has ended: served, refused as too large,
 * malformed, cut off by the client in its headers, its body, a chunk, or while it is handled. */
static void test_what_requests_hold_is_given_back(void **state)
{
	static const char *const texts[] = {
		"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nX: ",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nbody",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n1",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < 2 * G_N_ELEMENTS(texts); i++) {
		int fd;

		f->hold_requests = i >= G_N_ELEMENTS(texts);
		f->held_request = NULL;
		fd = send_raw(texts[i % G_N_ELEMENTS(texts)]);
		run_until_quiet(f);
		if (f->server.connections > 0)
			assert_true(f->server.budget.used > 0);
		close(fd);
		run_until_quiet(f);
		/* The client has left, and what its requests hold is still charged. */
		while (f->held_request != NULL) {
			http_request_t *held = f->held_request;

			assert_true(f->server.budget.used > 0);
			f->held_request = NULL;
			http_request_reply(held, 200, NULL, 0, NULL, 0);
			run_until_quiet(f);
		}
		wait_for_no_connections(f);
		if (f->server.budget.used != 0)
			fail_msg("%zu bytes are still charged after request %zu",
				 f->server.budget.used, i);
	}
}

/* Guards against a budget that is exceeded, and against an ordinary request that is refused, while
 * others have sent all but the end of their bodies. */
static void test_stalled_bodies_do_not_exceed_the_budget(void **state)
{
	fixture_t *f = *state;
	GString *text = g_string_new("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
	int fds[40];

	f->server.budget.limit = 20 * (34 * 1024 + 1200);
	for (unsigned i = 0; i < 900; i++)
		g_string_append_c(text, 'x');
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = send_raw(text->str);
		run_until_quiet(f);
		assert_true(f->server.budget.used <= f->server.budget.limit);
	}
	assert_true(f->server.refused[HTTP_REFUSED_CONNECTION] > 0);
	g_usleep(HTTP_BUDGET_STALL_US + 100000);
	exchange(f, server_port, "/", "body", true);
	assert_int_equal(f->result.status, 200);
	assert_true(f->server.refused[HTTP_REFUSED_STALLED] > 0);
	assert_true(f->server.budget.used <= f->server.budget.limit);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	wait_for_no_connections(f);
	g_string_free(text, TRUE);
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_request_and_response_arrive_unchanged),
		CASE(test_large_body_is_refused),
		CASE(test_large_response_after_a_cancelled_waiting_call),
		CASE(test_large_response_after_a_waiting_call_without_progress),
		CASE(test_large_responses_after_waiting_calls_timed_out),
		CASE(test_reply_from_another_thread),
		CASE(test_disconnect_is_reported_once_and_reply_dropped),
		CASE(test_server_finish_before_reply),
		CASE(test_request_is_never_sent_again),
		CASE(test_request_on_fresh_connection_is_never_sent_again),
		CASE(test_partial_response_is_not_complete),
		CASE(test_progress_timeout_and_refused_connection),
		CASE(test_malformed_input_is_answered_and_counted),
		CASE(test_what_requests_hold_is_given_back),
		CASE(test_stalled_bodies_do_not_exceed_the_budget),
	};

	server_port = lib_port_find_unused();
	raw_port = lib_port_find_unused();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
