#define G_LOG_DOMAIN "http_client"

#include "http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "mono_timer.h"

/*
 * Limit of the idle connections that a thread keeps. Ample for 1,600 targets, because the
 * connections to them are spread over the threads of all processes.
 */
#define IDLE_CONNECTIONS_MAX 2000
/* Longest time that a connection can have been idle to be reused. Below the usual keep-alive
 * timeout of 60 s, so that the peer has not closed the connection. */
#define IDLE_CONNECTION_AGE_MAX_S 20
/* Time after which a connection with unacknowledged data is closed. */
#define TCP_USER_TIMEOUT_MS 3000

struct http_call {
	GList queue_link; /* link in http_client_t.in_progress */
	http_client_t *client;
	CURL *easy;
	struct curl_slist *headers;
	mono_timer_t *progress_timer;
	http_call_done_fn done;
	void *arg;
	bool (*before_send)(void *arg);
	void *before_send_arg;
	uint64_t progress_timeout_us;
	uint64_t last_progress_us;
	uint64_t started_us;
	curl_off_t bytes_received;
	curl_off_t bytes_sent;
	GArray *response_headers; /* elements: http_header_t, which owns its strings */
	GByteArray *body;
	size_t response_limit;
	bool is_head;
	bool connected;
	bool sent;
	bool cancelled_before_send;
	bool mismatched;
	char *expected_header_name;
	char *expected_header_value;
	const char *error;
	char error_text[CURL_ERROR_SIZE];
};

/* A socket of libcurl that the event loop watches. */
typedef struct {
	struct tevent_fd *fde;
	http_client_t *client;
	curl_socket_t fd;
} socket_watch_t;

static void finish_completed_calls(http_client_t *client);

/* --- event loop --- */

static void on_socket_ready(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			    void *private_data)
{
	const socket_watch_t *socket_watch = private_data;
	http_client_t *client = socket_watch->client;
	int mask = 0;
	int running;

	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	/* This call can make libcurl free socket_watch. */
	curl_multi_socket_action(client->multi, socket_watch->fd, mask, &running);
	finish_completed_calls(client);
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *client_data, void *socket_data)
{
	http_client_t *client = client_data;
	socket_watch_t *socket_watch = socket_data;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		if (socket_watch != NULL) {
			curl_multi_assign(client->multi, fd, NULL);
			talloc_free(socket_watch);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (socket_watch != NULL) {
		tevent_fd_set_flags(socket_watch->fde, flags);
		return 0;
	}
	socket_watch = talloc(client->ev, socket_watch_t);
	*socket_watch = (socket_watch_t){.client = client, .fd = fd};
	socket_watch->fde =
		tevent_add_fd(client->ev, socket_watch, fd, flags, on_socket_ready, socket_watch);
	curl_multi_assign(client->multi, fd, socket_watch);
	return 0;
}

static void on_timeout(void *arg)
{
	http_client_t *client = arg;
	int running;

	client->timer = NULL;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_completed_calls(client);
}

static int set_timer(CURLM *multi, long timeout_ms, void *private_data)
{
	http_client_t *client = private_data;

	TALLOC_FREE(client->timer);
	if (timeout_ms >= 0)
		client->timer =
			mono_timer_add(client->ev, client->ev, (uint64_t)timeout_ms * US_PER_MS,
				       on_timeout, client);
	return 0;
}

/* --- calls --- */

static void response_header_clear(void *data)
{
	http_header_t *header = data;

	g_free((char *)header->name);
	g_free((char *)header->value);
}

static void call_free(http_call_t *call)
{
	g_queue_unlink(&call->client->in_progress, &call->queue_link);
	call->client->call_count--;
	TALLOC_FREE(call->progress_timer);
	curl_multi_remove_handle(call->client->multi, call->easy);
	/* A handle is not used again: curl_easy_reset() keeps the receive buffer of a call that
	 * never got a connection, but not its size (libcurl 7.88.1), and the next call would write
	 * past its end. A new handle takes 2 us of the 35 us of a call. */
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_array_unref(call->response_headers);
	g_byte_array_unref(call->body);
	g_free(call->expected_header_name);
	g_free(call->expected_header_value);
	g_free(call);
}

static size_t on_body_data(char *data, size_t size, size_t count, void *private_data)
{
	http_call_t *call = private_data;
	size_t length = size * count;

	if (call->body->len + length > call->response_limit) {
		call->error = "the response is larger than the limit";
		return 0;
	}
	g_byte_array_append(call->body, (const guint8 *)data, (guint)length);
	return length;
}

static size_t on_header_line(char *data, size_t size, size_t count, void *private_data)
{
	http_call_t *call = private_data;
	size_t length = size * count;
	const char *colon = memchr(data, ':', length);
	http_header_t header;

	/* Each response begins with a status line. The headers of an interim response (1xx) before
	 * it are dropped. */
	if (length >= 5 && memcmp(data, "HTTP/", 5) == 0) {
		g_array_set_size(call->response_headers, 0);
		return length;
	}
	if (colon == NULL)
		return length;
	header.name = g_strndup(data, (gsize)(colon - data));
	header.value = g_strstrip(g_strndup(colon + 1, length - (gsize)(colon + 1 - data)));
	g_array_append_val(call->response_headers, header);
	if (call->expected_header_name != NULL &&
	    g_ascii_strcasecmp(header.name, call->expected_header_name) == 0 &&
	    strcmp(header.value, call->expected_header_value) != 0) {
		call->mismatched = true;
		call->error = "the response belongs to another request";
		return 0;
	}
	return length;
}

/*
 * Called by libcurl when a connection is ready for the request. When a reused connection is closed
 * before the first byte of the response, libcurl sends the request again by itself, and no option
 * disables that (libcurl 7.88.1, Curl_retry_request). As the peer could have run the request
 * already, the second call of this function makes the request fail and leaves a retry to the
 * caller.
 */
static int on_ready_to_send(void *private_data, char *remote_ip, char *local_ip, int remote_port,
			    int local_port)
{
	http_call_t *call = private_data;

	call->connected = true;
	if (call->sent) {
		call->error = "the connection was closed before a response; the request is not "
			      "sent again";
		return CURL_PREREQFUNC_ABORT;
	}
	if (call->before_send != NULL && !call->before_send(call->before_send_arg)) {
		call->cancelled_before_send = true;
		call->error = "the call was cancelled before the request was sent";
		return CURL_PREREQFUNC_ABORT;
	}
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

static int on_progress(void *private_data, curl_off_t total_down, curl_off_t down,
		       curl_off_t total_up, curl_off_t up)
{
	http_call_t *call = private_data;

	if (down != call->bytes_received || up != call->bytes_sent) {
		call->bytes_received = down;
		call->bytes_sent = up;
		call->last_progress_us = clock_now_us();
	}
	return 0;
}

static int on_new_socket(void *private_data, curl_socket_t fd, curlsocktype purpose)
{
	unsigned timeout_ms = TCP_USER_TIMEOUT_MS;
	int enable = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enable, sizeof(enable));
	return CURL_SOCKOPT_OK;
}

static bool has_response_header(const http_call_t *call, const char *name)
{
	for (guint i = 0; i < call->response_headers->len; i++) {
		const http_header_t *header =
			&g_array_index(call->response_headers, http_header_t, i);

		if (g_ascii_strcasecmp(header->name, name) == 0)
			return true;
	}
	return false;
}

/* True when the response states where its body ends. Otherwise the body ends when the connection
 * is closed, and a truncated body cannot be told from a complete one. */
static bool body_is_delimited(const http_call_t *call, long status)
{
	return call->is_head || status == 204 || status == 304 ||
	       has_response_header(call, "Content-Length") ||
	       has_response_header(call, "Transfer-Encoding");
}

static void finish_call(http_call_t *call, CURLcode code)
{
	http_call_result_t result = {
		.connected = call->connected,
		.sent = call->sent,
		.cancelled_before_send = call->cancelled_before_send,
		.timed_out = code == CURLE_OPERATION_TIMEDOUT,
		.mismatched = call->mismatched,
		.headers = (const http_header_t *)call->response_headers->data,
		.header_count = call->response_headers->len,
		.body = call->body->data,
		.body_length = call->body->len,
		.error = call->error,
		.elapsed_us = clock_now_us() - call->started_us,
	};
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	result.status = (unsigned)status;
	if (result.error == NULL && code != CURLE_OK)
		result.error =
			call->error_text[0] != '\0' ? call->error_text : curl_easy_strerror(code);
	if (result.error == NULL && !body_is_delimited(call, status))
		result.error = "the response has neither Content-Length nor Transfer-Encoding";
	result.complete = result.error == NULL;
	/* The handle is removed from libcurl before done() runs, because done() must not find and
	 * cancel the call. */
	curl_multi_remove_handle(call->client->multi, call->easy);
	call->done(call->arg, &result);
	call_free(call);
}

static void finish_completed_calls(http_client_t *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		http_call_t *call = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		finish_call(call, code);
	}
}

static void on_progress_timer(void *arg);

static void arm_progress_timer(http_call_t *call, uint64_t wait_us)
{
	call->progress_timer = mono_timer_add(call->client->ev, call->client->ev, wait_us,
					      on_progress_timer, call);
}

static void on_progress_timer(void *arg)
{
	http_call_t *call = arg;
	uint64_t idle_us = clock_now_us() - call->last_progress_us;

	call->progress_timer = NULL;
	if (idle_us < call->progress_timeout_us) {
		arm_progress_timer(call, call->progress_timeout_us - idle_us);
		return;
	}
	call->error = "no data was sent or received within the progress timeout";
	finish_call(call, CURLE_OPERATION_TIMEDOUT);
}

static void set_transport_options(http_call_t *call, const http_call_request_t *request)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->error_text);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_new_socket);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)IDLE_CONNECTION_AGE_MAX_S);
	curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN, (long)call->client->connection_age_max_s);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request->fresh_connection ? 1L : 0L);
	/* A fresh connection is not kept for reuse, because each such request would add an idle
	 * connection to the target. */
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request->fresh_connection ? 1L : 0L);
	if (request->connect_timeout_ms > 0)
		curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
				 (long)request->connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	if (request->receive_buffer > 0)
		curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)request->receive_buffer);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, call);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
}

static void add_header(http_call_t *call, const char *name, const char *value)
{
	/* libcurl sends a header with an empty value only when it is written as "Name;". */
	char *line = *value != '\0' ? g_strdup_printf("%s: %s", name, value)
				    : g_strdup_printf("%s;", name);

	call->headers = curl_slist_append(call->headers, line);
	g_free(line);
}

static void set_headers(http_call_t *call, const http_call_request_t *request)
{
	bool has_accept = false;
	bool has_content_type = false;

	for (size_t i = 0; i < request->header_count; i++) {
		const http_header_t *header = &request->headers[i];

		has_accept |= g_ascii_strcasecmp(header->name, "Accept") == 0;
		has_content_type |= g_ascii_strcasecmp(header->name, "Content-Type") == 0;
		add_header(call, header->name, header->value);
	}
	/* Prevents libcurl from adding these headers by itself. */
	if (!has_accept)
		call->headers = curl_slist_append(call->headers, "Accept:");
	if (!has_content_type)
		call->headers = curl_slist_append(call->headers, "Content-Type:");
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void set_request(http_call_t *call, const http_call_request_t *request)
{
	CURL *easy = call->easy;
	bool has_body = request->body_length > 0 || strcmp(request->method, "POST") == 0 ||
			strcmp(request->method, "PUT") == 0 ||
			strcmp(request->method, "PATCH") == 0;

	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	call->is_head = strcmp(request->method, "HEAD") == 0;
	if (has_body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body_length);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
				 request->body_length > 0 ? request->body : "");
	} else if (call->is_head) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	set_headers(call, request);
}

/* --- interface --- */

int http_client_init(http_client_t *client, struct tevent_context *ev,
		     uint32_t connection_age_max_s)
{
	CURLM *multi = curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK ? curl_multi_init() : NULL;

	*client = (http_client_t){
		.ev = ev, .multi = multi, .connection_age_max_s = connection_age_max_s};
	if (multi == NULL)
		return -1;
	g_queue_init(&client->in_progress);
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS_MAX);
	return 0;
}

void http_client_set_host_connection_limit(http_client_t *client, unsigned connections)
{
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)connections);
}

void http_client_finish(http_client_t *client)
{
	http_call_t *call;

	while ((call = g_queue_peek_head(&client->in_progress)) != NULL) {
		call->error = "the HTTP client is shutting down";
		finish_call(call, CURLE_ABORTED_BY_CALLBACK);
	}
	curl_multi_cleanup(client->multi);
	TALLOC_FREE(client->timer);
}

http_call_t *http_client_send(http_client_t *client, const http_call_request_t *request,
			      http_call_done_fn done, void *arg)
{
	CURL *easy = curl_easy_init();
	http_call_t *call;

	if (easy == NULL)
		return NULL;
	call = g_new0(http_call_t, 1);
	*call = (http_call_t){
		.client = client,
		.easy = easy,
		.done = done,
		.arg = arg,
		.before_send = request->before_send,
		.before_send_arg = request->before_send_arg,
		.progress_timeout_us = request->progress_timeout_ms * US_PER_MS,
		.started_us = clock_now_us(),
		.response_headers = g_array_new(FALSE, FALSE, sizeof(http_header_t)),
		.body = g_byte_array_new(),
		.response_limit = request->response_limit,
	};
	call->last_progress_us = call->started_us;
	if (request->expected_header != NULL) {
		call->expected_header_name = g_strdup(request->expected_header->name);
		call->expected_header_value = g_strdup(request->expected_header->value);
	}
	g_array_set_clear_func(call->response_headers, response_header_clear);
	set_transport_options(call, request);
	set_request(call, request);
	call->queue_link.data = call;
	g_queue_push_head_link(&client->in_progress, &call->queue_link);
	client->call_count++;
	if (call->progress_timeout_us > 0)
		arm_progress_timer(call, call->progress_timeout_us);
	curl_multi_add_handle(client->multi, easy);
	return call;
}

void http_call_cancel(http_call_t *call)
{
	call_free(call);
}

verdict_t http_call_verdict(const http_call_result_t *result)
{
	if (result->complete)
		return VERDICT_RAN;
	return result->sent ? VERDICT_UNKNOWN : VERDICT_NOT_RUN;
}

const char *http_call_header(const http_call_result_t *result, const char *name)
{
	for (size_t i = 0; i < result->header_count; i++) {
		if (g_ascii_strcasecmp(result->headers[i].name, name) == 0)
			return result->headers[i].value;
	}
	return NULL;
}
