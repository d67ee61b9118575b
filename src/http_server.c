#define G_LOG_DOMAIN "http_server"

#include "http_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <microhttpd.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "log.h"
#include "mono_timer.h"

#define LISTEN_BACKLOG 1024
/* Longest time between two runs of the libmicrohttpd daemon. An idle timeout is late by at most
 * this. */
#define DAEMON_RUN_PERIOD_MAX_MS 1000

/* Memory that libmicrohttpd allocates for a connection, and what is charged for one: that, its
 * descriptor and the states that belong to it. */
#define CONNECTION_POOL_BYTES ((size_t)32 * 1024)
#define CONNECTION_BYTES (CONNECTION_POOL_BYTES + 2048)
/* Memory of the copy of a header beside its name and value. */
#define HEADER_BYTES 96
/* Part of the allowed connections that is kept free, as a divisor: stalled ones are closed for
 * that.
 */
#define FREE_CONNECTIONS_DIVISOR 16
#define REFUSED_RETRY_AFTER_S "2"
#define REFUSAL_LOG_PERIOD_US (1 * US_PER_S)

/* State that a server shares with its requests. Reference-counted, because requests can outlive the
 * server. */
typedef struct http_server_shared {
	pthread_mutex_t lock;
	http_server_t *server; /* the server; NULL after http_server_finish() */
	unsigned references;
	LIST_HEAD(suspended_list, http_request) suspended;
} server_shared_t;

typedef struct {
	char *name;
	char *value;
} header_copy_t;

/* A connection and what it holds. */
typedef struct {
	http_holder_t holder; /* first member, so that a holder can be cast to its connection */
	struct http_request *request; /* the request that is being received; NULL: none */
	int fd;
} server_connection_t;

struct http_request {
	LIST_ENTRY(http_request) suspended_link;
	server_shared_t *shared;
	/* Used only in the server's thread while the request is suspended, because the request can
	 * outlive the server. */
	http_server_t *server;
	struct MHD_Connection *connection; /* NULL once the connection is closed */
	server_connection_t *holds;	   /* its account; NULL once the connection is closed */
	size_t header_bytes;
	size_t kept_bytes;     /* what its handler keeps of the body, see
				  http_request_replace_body() */
	size_t response_bytes; /* size of the reply's body */
	size_t orphan_bytes;   /* what it holds since its connection was closed */
	bool refused;	       /* there was no memory for it; what comes of it is dropped */
	pthread_t thread;      /* thread that runs the server */
	char *method;
	char *path;
	char *query;
	GArray *headers; /* elements: header_copy_t */
	GHashTable *params;
	GByteArray *body;
	struct MHD_Response *response; /* the reply; set only in the server's thread */
	/* Reply made in another thread, until finish_reply() takes it. */
	struct MHD_Response *posted_response;
	unsigned status;
	bool body_too_large;
	bool in_handler; /* the handler is running */
	/* The request was passed to the handler, which owns it until the reply. */
	bool passed_to_handler;
	bool suspended;
	bool counted_as_open; /* the request is counted in the server's open_requests */
	/* Detects a disconnect of the client while the request is suspended. */
	struct tevent_fd *disconnect_watch;
	void (*disconnect_fn)(void *arg);
	void *disconnect_arg;
};

static void shared_unref(server_shared_t *shared)
{
	unsigned references_left;

	pthread_mutex_lock(&shared->lock);
	references_left = --shared->references;
	pthread_mutex_unlock(&shared->lock);
	if (references_left > 0)
		return;
	pthread_mutex_destroy(&shared->lock);
	g_free(shared);
}

static void header_copy_clear(void *data)
{
	header_copy_t *header = data;

	g_free(header->name);
	g_free(header->value);
}

static http_request_t *request_create(http_server_t *server, const char *uri)
{
	http_request_t *request = g_new0(http_request_t, 1);
	const char *question_mark = strchr(uri, '?');

	request->shared = server->shared;
	request->server = server;
	pthread_mutex_lock(&server->shared->lock);
	server->shared->references++;
	pthread_mutex_unlock(&server->shared->lock);
	request->thread = pthread_self();
	request->path = question_mark != NULL ? g_strndup(uri, (gsize)(question_mark - uri))
					      : g_strdup(uri);
	request->query = g_strdup(question_mark != NULL ? question_mark + 1 : "");
	request->body = g_byte_array_new();
	request->headers = g_array_new(FALSE, FALSE, sizeof(header_copy_t));
	g_array_set_clear_func(request->headers, header_copy_clear);
	return request;
}

static void request_free(http_request_t *request)
{
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	if (request->posted_response != NULL)
		MHD_destroy_response(request->posted_response);
	if (request->params != NULL)
		g_hash_table_destroy(request->params);
	g_array_unref(request->headers);
	g_byte_array_unref(request->body);
	g_free(request->method);
	g_free(request->path);
	g_free(request->query);
	shared_unref(request->shared);
	g_free(request);
}

/* --- libmicrohttpd in the event loop --- */

static void run_daemon(http_server_t *server);
static void arm_timer(http_server_t *server, uint64_t wait_ms);

static void on_timer(void *arg)
{
	http_server_t *server = arg;

	server->timer = NULL;
	run_daemon(server);
}

static void on_daemon_ready(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			    void *private_data)
{
	run_daemon(private_data);
}

static void run_daemon(http_server_t *server)
{
	MHD_UNSIGNED_LONG_LONG wait_ms = DAEMON_RUN_PERIOD_MAX_MS;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	server->resumed_connections = false;
	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES)
		wait_ms = MIN(timeout_ms, wait_ms);
	if (server->resumed_connections)
		wait_ms = 0;
	arm_timer(server, wait_ms);
}

static void arm_timer(http_server_t *server, uint64_t wait_ms)
{
	TALLOC_FREE(server->timer);
	server->timer =
		mono_timer_add(server->ev, server->ev, wait_ms * US_PER_MS, on_timer, server);
}

/* Counts malformed requests, which libmicrohttpd rejects by itself and only logs. */
static void on_library_log(void *cls, const char *format, va_list args)
{
	http_server_t *server = cls;

	if (g_str_has_prefix(format, "Error processing request"))
		server->malformed++;
}

/* --- memory of clients --- */

static void count_refusal(http_server_t *server, http_refused_t cause)
{
	static const char *const texts[] = {
		[HTTP_REFUSED_BODY] = "request refused, no memory for it",
		[HTTP_REFUSED_CONNECTION] = "connection refused, no memory for it",
		[HTTP_REFUSED_STALLED] = "stalled connection closed for others",
	};
	uint64_t now_us = clock_now_us();
	char used[24];

	server->refused[cause]++;
	if (server->refused_total[cause] != NULL)
		metrics_add(server->refused_total[cause], 1);
	if (now_us < server->refusal_logged_us + REFUSAL_LOG_PERIOD_US)
		return;
	server->refusal_logged_us = now_us;
	g_snprintf(used, sizeof(used), "%zu", server->budget.used / 1024);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("server", server->config.name != NULL ? server->config.name : "",
			     "used_kib", used),
		  "%s", texts[cause]);
}

static void set_held(http_server_t *server, server_connection_t *connection, size_t held)
{
	http_budget_set(&server->budget, &connection->holder, held);
	if (server->memory_used != NULL)
		metrics_set(server->memory_used, server->budget.used);
}

static void drop_body(http_request_t *request)
{
	g_byte_array_unref(request->body);
	request->body = g_byte_array_new();
}

/* Closes a stalled connection. What it holds is given back at once; libmicrohttpd notices the end
 * of the connection when it runs next. */
static void close_stalled(http_server_t *server, server_connection_t *connection)
{
	count_refusal(server, HTTP_REFUSED_STALLED);
	if (connection->request != NULL) {
		connection->request->refused = true;
		drop_body(connection->request);
	}
	connection->holder.may_give_way = false;
	set_held(server, connection, 0);
	shutdown(connection->fd, SHUT_RDWR);
}

/* Lets the connection hold that many bytes, for which stalled ones are closed if necessary. @return
 * false: there is no room for them */
static bool make_room(http_server_t *server, server_connection_t *connection, size_t held)
{
	while (!http_budget_fits(&server->budget, &connection->holder, held)) {
		http_holder_t *stalled =
			http_budget_choose(&server->budget, &connection->holder, clock_now_us());

		if (stalled == NULL)
			return false;
		close_stalled(server, (server_connection_t *)stalled);
	}
	set_held(server, connection, held);
	return true;
}

/* @return memory that a body of that length takes; a GByteArray grows by powers of two */
static size_t body_bytes(size_t length)
{
	size_t bytes = 16;

	while (bytes < length)
		bytes *= 2;
	return bytes;
}

/* @return what the request holds itself, without its connection */
static size_t request_bytes(const http_request_t *request)
{
	size_t body = request->body->len > 0 ? body_bytes(request->body->len) : 0;

	return request->header_bytes + body + request->kept_bytes;
}

/* Refuses the request, whose end is awaited before it is answered. */
static void refuse_request(http_server_t *server, http_request_t *request)
{
	count_refusal(server, HTTP_REFUSED_BODY);
	request->refused = true;
	drop_body(request);
	set_held(server, request->holds, CONNECTION_BYTES);
}

static void add_to_body(http_server_t *server, http_request_t *request, const char *data,
			size_t length)
{
	size_t body = body_bytes(request->body->len + length);

	http_budget_received(&server->budget, &request->holds->holder, length, clock_now_us());
	if (request->refused || request->body_too_large)
		return;
	if (request->body->len + length > server->config.body_limit) {
		request->body_too_large = true;
		drop_body(request);
		set_held(server, request->holds, CONNECTION_BYTES + request->header_bytes);
	} else if (!make_room(server, request->holds,
			      CONNECTION_BYTES + request->header_bytes + body)) {
		refuse_request(server, request);
	} else {
		g_byte_array_append(request->body, (const guint8 *)data, (guint)length);
	}
}

/* Keeps some of the allowed connections free, and asks for the memory of a further one. */
static enum MHD_Result on_accept(void *cls, const struct sockaddr *address, socklen_t length)
{
	http_server_t *server = cls;
	unsigned limit = server->config.connection_limit;
	server_connection_t added = {0};
	http_holder_t *stalled;

	if (server->budget.limit == 0)
		return MHD_YES;
	if (server->connections >= limit - limit / FREE_CONNECTIONS_DIVISOR) {
		stalled = http_budget_choose(&server->budget, NULL, clock_now_us());
		if (stalled != NULL)
			close_stalled(server, (server_connection_t *)stalled);
	}
	if (make_room(server, &added, CONNECTION_BYTES)) {
		set_held(server, &added, 0);
		return MHD_YES;
	}
	count_refusal(server, HTTP_REFUSED_CONNECTION);
	return MHD_NO;
}

static void on_connection(void *cls, struct MHD_Connection *connection, void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	http_server_t *server = cls;
	server_connection_t *holds;

	switch (code) {
	case MHD_CONNECTION_NOTIFY_STARTED:
		holds = g_new0(server_connection_t, 1);
		holds->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				    ->connect_fd;
		http_budget_add(&server->budget, &holds->holder, clock_now_us());
		set_held(server, holds, CONNECTION_BYTES);
		server->connections++;
		*socket_context = holds;
		break;
	case MHD_CONNECTION_NOTIFY_CLOSED:
		holds = *socket_context;
		set_held(server, holds, 0);
		http_budget_remove(&server->budget, &holds->holder);
		server->connections--;
		g_free(holds);
		*socket_context = NULL;
		break;
	}
}

static void init_budget(http_server_t *server)
{
	static const char *const causes[] = {
		[HTTP_REFUSED_BODY] = "request",
		[HTTP_REFUSED_CONNECTION] = "connection",
		[HTTP_REFUSED_STALLED] = "stalled",
	};
	const http_server_config_t *config = &server->config;
	g_autofree char *label = g_strdup_printf("server=\"%s\"", config->name);

	http_budget_init(&server->budget, config->memory_limit);
	if (config->metrics == NULL)
		return;
	server->memory_used = metrics_counter(config->metrics, "http_memory_bytes", label);
	for (size_t i = 0; i < HTTP_REFUSED_COUNT; i++) {
		g_autofree char *labels = g_strdup_printf("%s,cause=\"%s\"", label, causes[i]);

		server->refused_total[i] =
			metrics_counter(config->metrics, "http_refused_total", labels);
	}
}

/* --- requests --- */

static enum MHD_Result reply_error(struct MHD_Connection *connection, unsigned status,
				   const char *text)
{
	struct MHD_Response *response =
		MHD_create_response_from_buffer(strlen(text), (void *)text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result result;

	if (response == NULL)
		return MHD_NO;
	MHD_add_response_header(response, "Lavenderpass-Outcome", "not-run");
	MHD_add_response_header(response, "Connection", "close");
	if (status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(response, "Retry-After", REFUSED_RETRY_AFTER_S);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result reply_refused(struct MHD_Connection *connection)
{
	return reply_error(connection, MHD_HTTP_SERVICE_UNAVAILABLE,
			   "too many large requests at the same time\n");
}

static void watch_for_disconnect(http_server_t *server, http_request_t *request);

static enum MHD_Result queue_reply(http_server_t *server, http_request_t *request)
{
	struct MHD_Response *response = request->response;

	drop_body(request);
	request->kept_bytes = 0;
	set_held(server, request->holds,
		 CONNECTION_BYTES + request->header_bytes + request->response_bytes);
	if (server->draining && MHD_get_response_header(response, "Connection") == NULL)
		MHD_add_response_header(response, "Connection", "close");
	return MHD_queue_response(request->connection, request->status, response);
}

static enum MHD_Result copy_header(void *cls, enum MHD_ValueKind kind, const char *name,
				   const char *value)
{
	http_request_t *request = cls;
	header_copy_t copy = {.name = g_strdup(name), .value = g_strdup(value ? value : "")};

	request->header_bytes += HEADER_BYTES + strlen(name) + (value != NULL ? strlen(value) : 0);
	g_array_append_val(request->headers, copy);
	return MHD_YES;
}

/* True when more is held than the limit allows: replies are sent whatever they hold. */
static bool is_over_budget(const http_server_t *server)
{
	return server->budget.limit > 0 && server->budget.used > server->budget.limit;
}

static enum MHD_Result call_handler(http_server_t *server, http_request_t *request)
{
	if (is_over_budget(server)) {
		refuse_request(server, request);
		return reply_refused(request->connection);
	}
	request->holds->holder.may_give_way = false;
	http_budget_progress(&server->budget, &request->holds->holder, clock_now_us());
	request->passed_to_handler = true;
	request->in_handler = true;
	server->handler(server->handler_arg, request);
	request->in_handler = false;
	if (request->response != NULL)
		return queue_reply(server, request);
	request->suspended = true;
	LIST_INSERT_HEAD(&server->shared->suspended, request, suspended_link);
	MHD_suspend_connection(request->connection);
	watch_for_disconnect(server, request);
	return MHD_YES;
}

/* True when the request has both Content-Length and Transfer-Encoding. Two servers can then
 * disagree on where the body ends (request smuggling, RFC 9112, section 6.1). */
static bool has_both_length_headers(struct MHD_Connection *connection)
{
	return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length") != NULL &&
	       MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Transfer-Encoding") !=
		       NULL;
}

static enum MHD_Result start_request(http_server_t *server, http_request_t *request,
				     struct MHD_Connection *connection, const char *method)
{
	const char *length =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");

	request->connection = connection;
	request->holds = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				 ->socket_context;
	request->holds->request = request;
	http_budget_progress(&server->budget, &request->holds->holder, clock_now_us());
	request->method = g_strdup(method);
	request->counted_as_open = true;
	server->open_requests++;
	if (has_both_length_headers(connection)) {
		server->malformed++;
		return reply_error(connection, 400, "both Content-Length and Transfer-Encoding\n");
	}
	if (length != NULL && g_ascii_strtoull(length, NULL, 10) > server->config.body_limit)
		return reply_error(connection, 413, "the body is larger than the limit\n");
	MHD_get_connection_values(connection, MHD_HEADER_KIND, copy_header, request);
	if (make_room(server, request->holds, CONNECTION_BYTES + request->header_bytes))
		return MHD_YES;
	refuse_request(server, request);
	return reply_refused(connection);
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *connection, const char *url,
				 const char *method, const char *version, const char *upload_data,
				 size_t *upload_data_size, void **con_cls)
{
	http_server_t *server = cls;
	http_request_t *request = *con_cls;

	if (request == NULL)
		return MHD_NO;
	if (request->connection == NULL)
		return start_request(server, request, connection, method);
	if (*upload_data_size > 0) {
		add_to_body(server, request, upload_data, *upload_data_size);
		*upload_data_size = 0;
		return MHD_YES;
	}
	if (request->response != NULL)
		return queue_reply(server, request);
	if (request->refused)
		return reply_refused(connection);
	if (request->body_too_large)
		return reply_error(connection, 413, "the body is larger than the limit\n");
	return call_handler(server, request);
}

static void *on_uri(void *cls, const char *uri, struct MHD_Connection *connection)
{
	return request_create(cls, uri);
}

/* Calls the disconnect function once. It is reset before the call, which can reply and thereby free
 * the request. */
static void call_disconnect_fn(http_request_t *request)
{
	void (*fn)(void *arg) = request->disconnect_fn;

	request->disconnect_fn = NULL;
	if (fn != NULL)
		fn(request->disconnect_arg);
}

static void set_orphaned(http_server_t *server, size_t bytes)
{
	http_budget_set(&server->budget, &server->orphans, bytes);
}

/* The connection may be used for another request, or is about to be closed. */
static void release_request(http_server_t *server, server_connection_t *holds)
{
	holds->request = NULL;
	holds->holder.may_give_way = true;
	set_held(server, holds, CONNECTION_BYTES);
	http_budget_progress(&server->budget, &holds->holder, clock_now_us());
}

static void on_request_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
				 enum MHD_RequestTerminationCode code)
{
	http_server_t *server = cls;
	http_request_t *request = *con_cls;

	*con_cls = NULL;
	if (request == NULL)
		return;
	if (request->counted_as_open)
		server->open_requests--;
	TALLOC_FREE(request->disconnect_watch);
	if (request->holds != NULL)
		release_request(server, request->holds);
	request->holds = NULL;
	request->connection = NULL;
	if (!request->passed_to_handler || request->response != NULL) {
		request_free(request);
		return;
	}
	request->orphan_bytes = request_bytes(request);
	set_orphaned(server, server->orphans.held + request->orphan_bytes);
	call_disconnect_fn(request);
}

/*
 * Runs when a suspended connection is readable, as libmicrohttpd does not watch suspended
 * connections. A client that closed its sending side counts as disconnected even if it still reads:
 * its request can be cancelled, but the reply still states the actual outcome.
 */
static void on_suspended_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
				  void *private_data)
{
	http_request_t *request = private_data;
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t received = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (received < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	TALLOC_FREE(request->disconnect_watch);
	/* Readable data is the next request of the client, not a disconnect. */
	if (received <= 0)
		call_disconnect_fn(request);
}

static void watch_for_disconnect(http_server_t *server, http_request_t *request)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	request->disconnect_watch = tevent_add_fd(server->ev, server->ev, info->connect_fd,
						  TEVENT_FD_READ, on_suspended_readable, request);
}

const char *http_request_method(const http_request_t *request)
{
	return request->method;
}

const char *http_request_path(const http_request_t *request)
{
	return request->path;
}

const char *http_request_query(const http_request_t *request)
{
	return request->query;
}

const char *http_request_header(http_request_t *request, const char *name)
{
	for (guint i = 0; i < request->headers->len; i++) {
		const header_copy_t *header = &g_array_index(request->headers, header_copy_t, i);

		if (g_ascii_strcasecmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

const char *http_request_param(http_request_t *request, const char *name)
{
	if (request->params == NULL)
		request->params =
			g_uri_parse_params(request->query, -1, "&", G_URI_PARAMS_WWW_FORM, NULL);
	if (request->params == NULL)
		request->params = g_hash_table_new(g_str_hash, g_str_equal);
	return g_hash_table_lookup(request->params, name);
}

const void *http_request_body(const http_request_t *request, size_t *length)
{
	*length = request->body->len;
	return request->body->data;
}

bool http_request_replace_body(http_request_t *request, size_t bytes)
{
	size_t others = CONNECTION_BYTES + request->header_bytes;

	drop_body(request);
	if (request->connection == NULL)
		return true;
	if (!make_room(request->server, request->holds, others + bytes))
		return false;
	request->kept_bytes = bytes;
	return true;
}

void http_request_for_each_header(http_request_t *request,
				  void (*fn)(void *arg, const char *name, const char *value),
				  void *arg)
{
	for (guint i = 0; i < request->headers->len; i++) {
		const header_copy_t *header = &g_array_index(request->headers, header_copy_t, i);

		fn(arg, header->name, header->value);
	}
}

void http_request_set_disconnect_handler(http_request_t *request, void (*fn)(void *arg), void *arg)
{
	request->disconnect_fn = fn;
	request->disconnect_arg = arg;
}

static void resume_request(http_server_t *server, http_request_t *request)
{
	request->suspended = false;
	LIST_REMOVE(request, suspended_link);
	TALLOC_FREE(request->disconnect_watch);
	MHD_resume_connection(request->connection);
	/* With an external event loop, libmicrohttpd does not wake the loop for a resumed
	 * connection. */
	if (!server->resumed_connections)
		arm_timer(server, 0);
	server->resumed_connections = true;
}

/* Sends the reply, or drops it when the client has disconnected. Runs in the server's thread. */
static void finish_reply(void *arg)
{
	http_request_t *request = arg;

	if (request->posted_response != NULL) {
		request->response = request->posted_response;
		request->posted_response = NULL;
	}
	request->disconnect_fn = NULL;
	if (request->connection == NULL) {
		set_orphaned(request->server,
			     request->server->orphans.held - request->orphan_bytes);
		request_free(request);
		return;
	}
	if (request->suspended)
		resume_request(request->server, request);
}

static struct MHD_Response *make_response(const http_header_t *headers, size_t header_count,
					  const void *body, size_t length)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		length, length > 0 ? (void *)body : (void *)"", MHD_RESPMEM_MUST_COPY);

	if (response == NULL)
		g_error("out of memory for a response of %zu bytes", length);
	for (size_t i = 0; i < header_count; i++)
		MHD_add_response_header(response, headers[i].name, headers[i].value);
	return response;
}

void http_request_reply(http_request_t *request, unsigned status, const http_header_t *headers,
			size_t header_count, const void *body, size_t length)
{
	struct MHD_Response *response = make_response(headers, header_count, body, length);
	server_shared_t *shared = request->shared;

	request->status = status;
	request->response_bytes = length;
	if (pthread_equal(pthread_self(), request->thread) && shared->server != NULL) {
		request->response = response;
		if (!request->in_handler)
			finish_reply(request);
		return;
	}
	pthread_mutex_lock(&shared->lock);
	/*
	 * Not stored in request->response, because the handler could still be running in the
	 * server's thread, which reads that member when the handler returns.
	 */
	request->posted_response = response;
	if (shared->server != NULL) {
		mailbox_post(&shared->server->mailbox, finish_reply, request);
		request = NULL;
	}
	pthread_mutex_unlock(&shared->lock);
	if (request != NULL)
		request_free(request);
}

/* --- server --- */

static int parse_address(struct sockaddr_storage *storage, socklen_t *length, const char *address,
			 uint16_t port)
{
	struct sockaddr_in *in = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)storage;

	memset(storage, 0, sizeof(*storage));
	if (inet_pton(AF_INET, address, &in->sin_addr) == 1) {
		in->sin_family = AF_INET;
		in->sin_port = htons(port);
		*length = sizeof(*in);
		return 0;
	}
	if (inet_pton(AF_INET6, address, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		*length = sizeof(*in6);
		return 0;
	}
	errno = EINVAL;
	return -1;
}

static int open_listener(const http_server_config_t *config, bool reuse_port)
{
	struct sockaddr_storage storage;
	socklen_t length;
	int enable = 1;
	int saved_errno;
	int fd;

	if (parse_address(&storage, &length, config->address, config->port) != 0)
		return -1;
	fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return -1;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable)) != 0 ||
	    (reuse_port &&
	     setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &enable, sizeof(enable)) != 0) ||
	    bind(fd, (struct sockaddr *)&storage, length) != 0 || listen(fd, LISTEN_BACKLOG) != 0)
		goto fail;
	return fd;

fail:
	saved_errno = errno;
	close(fd);
	errno = saved_errno;
	return -1;
}

int http_server_check_address(const char *address, uint16_t port)
{
	const http_server_config_t config = {.address = address, .port = port};
	int fd = open_listener(&config, false);

	if (fd < 0)
		return -1;
	close(fd);
	return 0;
}

static struct MHD_Daemon *start_daemon(http_server_t *server, int listener)
{
	const http_server_config_t *config = &server->config;

	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, config->port,
		on_accept, server, on_access, server, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		CONNECTION_POOL_BYTES, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_EXTERNAL_LOGGER, on_library_log, server, MHD_OPTION_LISTEN_SOCKET,
		listener, MHD_OPTION_CONNECTION_LIMIT, config->connection_limit,
		MHD_OPTION_CONNECTION_TIMEOUT, config->idle_timeout_s, MHD_OPTION_NOTIFY_COMPLETED,
		on_request_completed, server, MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

int http_server_init(http_server_t *server, struct tevent_context *ev,
		     const http_server_config_t *config, http_handler_fn handler, void *arg)
{
	const union MHD_DaemonInfo *info;
	int saved_errno;
	int listener;

	*server = (http_server_t){
		.ev = ev, .handler = handler, .handler_arg = arg, .config = *config};
	init_budget(server);
	listener = open_listener(config, true);
	if (listener < 0)
		return -1;
	if (mailbox_init(&server->mailbox, ev) != 0)
		goto fail_listener;
	server->shared = g_new0(server_shared_t, 1);
	pthread_mutex_init(&server->shared->lock, NULL);
	server->shared->server = server;
	server->shared->references = 1;
	errno = ENOMEM;
	server->daemon = start_daemon(server, listener);
	if (server->daemon == NULL)
		goto fail_mailbox;
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->daemon_watch =
		tevent_add_fd(ev, ev, info->epoll_fd, TEVENT_FD_READ, on_daemon_ready, server);
	run_daemon(server);
	return 0;

fail_mailbox:
	saved_errno = errno;
	mailbox_finish(&server->mailbox);
	shared_unref(server->shared);
	errno = saved_errno;
fail_listener:
	saved_errno = errno;
	close(listener);
	errno = saved_errno;
	return -1;
}

void http_server_drain(http_server_t *server)
{
	int listener;

	if (server->draining)
		return;
	server->draining = true;
	/* Accepts the connections in the listen queue, because closing the socket would reset
	 * them. */
	MHD_run(server->daemon);
	listener = MHD_quiesce_daemon(server->daemon);
	if (listener >= 0)
		close(listener);
	run_daemon(server);
}

unsigned http_server_open_requests(const http_server_t *server)
{
	return server->open_requests;
}

void http_server_finish(http_server_t *server)
{
	server_shared_t *shared = server->shared;

	pthread_mutex_lock(&shared->lock);
	shared->server = NULL;
	pthread_mutex_unlock(&shared->lock);
	mailbox_finish(&server->mailbox);
	/* All connections are resumed first, because libmicrohttpd does not stop while any is
	 * suspended. */
	while (!LIST_EMPTY(&shared->suspended))
		resume_request(server, LIST_FIRST(&shared->suspended));
	TALLOC_FREE(server->daemon_watch);
	TALLOC_FREE(server->timer);
	MHD_stop_daemon(server->daemon);
	shared_unref(shared);
}
