#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "lib_emulator.h"

#define LISTEN_BACKLOG 512
#define MAX_EVENTS 64

static int open_listener(const emulator_t *emu, unsigned port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct epoll_event event = {.events = EPOLLIN};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (inet_pton(AF_INET, emu->options.address, &address.sin_addr) != 1)
		goto close_fd;
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0)
		goto close_fd;
	event.data.fd = fd;
	if (epoll_ctl(emu->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0)
		goto close_fd;
	return fd;

close_fd:
	close(fd);
	return -1;
}

int target_open_listener(emulator_t *emu, target_t *target)
{
	target->listen_fd = open_listener(emu, target->port);
	return target->listen_fd < 0 ? -1 : 0;
}

/* Called by libmicrohttpd when a connection opens or closes. For a new connection, it creates a
 * conn_t and finds out from the local port whether the client connected to a target, the platform
 * port or the control port. For a closed connection, it frees the conn_t. */
static void on_connection(void *arg, struct MHD_Connection *connection, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	emulator_t *emu = arg;
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);
	conn_t *conn = *context;
	unsigned port;

	pthread_mutex_lock(&emu->lock);
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (conn->target != NULL)
			g_ptr_array_remove_fast(conn->target->conns, conn);
		g_free(conn);
	} else {
		conn = g_new0(conn_t, 1);
		conn->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				   ->connect_fd;
		(void)getsockname(conn->fd, (struct sockaddr *)&address, &length);
		port = ntohs(address.sin_port);
		conn->platform = port == emu->options.platform_port;
		if (port >= emu->options.first_port &&
		    port < emu->options.first_port + emu->target_count)
			conn->target = &emu->targets[port - emu->options.first_port];
		if (conn->target != NULL)
			g_ptr_array_add(conn->target->conns, conn);
		*context = conn;
	}
	pthread_mutex_unlock(&emu->lock);
}

static enum MHD_Result queue_response(request_t *request, unsigned status, const char *outcome,
				      const char *id, struct MHD_Response *response)
{
	enum MHD_Result rc;

	if (outcome != NULL)
		MHD_add_response_header(response, "Lavenderpass-Outcome", outcome);
	if (id != NULL)
		MHD_add_response_header(response, "Lavenderpass-Request-Id", id);
	rc = MHD_queue_response(request->connection, status, response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result reply_json(request_t *request, response_t reply)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(reply.body), reply.body, MHD_RESPMEM_MUST_FREE);

	MHD_add_response_header(response, "Content-Type", "application/json");
	return queue_response(request, reply.status, NULL, request->id, response);
}

static enum MHD_Result reply_refused(request_t *request, const char *reason)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(reason), (void *)reason, MHD_RESPMEM_MUST_COPY);

	request->target->refused++;
	return queue_response(request, MHD_HTTP_SERVICE_UNAVAILABLE, "not-run", request->id,
			      response);
}

/* Content reader for MODE_TRUNCATE: returns the first half of the body, then an error, on which
 * libmicrohttpd closes the connection. */
static ssize_t read_truncated_body(void *arg, uint64_t position, char *buffer, size_t max_length)
{
	const request_t *request = arg;
	size_t half = request->body->len / 2;

	if (position >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	max_length = MIN(max_length, half - position);
	memcpy(buffer, request->body->data + position, max_length);
	return (ssize_t)max_length;
}

/* Responds to a request whose service time has ended, or closes its connection. */
static enum MHD_Result reply_after_service(request_t *request)
{
	struct MHD_Response *response;
	const char *id = request->mode == MODE_WRONG_ID ? "another-request" : request->id;
	unsigned status = request->mode == MODE_FAIL ? MHD_HTTP_INTERNAL_SERVER_ERROR : MHD_HTTP_OK;

	if (request->drop || request->mode == MODE_CLOSE)
		return MHD_NO;
	if (request->mode == MODE_TRUNCATE)
		response = MHD_create_response_from_callback(request->body->len + 1, 4096,
							     read_truncated_body, request, NULL);
	else
		response = MHD_create_response_from_buffer(request->body->len, request->body->data,
							   MHD_RESPMEM_MUST_COPY);
	return queue_response(request, status, "ran", id, response);
}

static gint compare_service_end(gconstpointer a, gconstpointer b, gpointer unused)
{
	const request_t *x = a;
	const request_t *y = b;

	return (x->service_end_us > y->service_end_us) - (x->service_end_us < y->service_end_us);
}

/* Returns why the target refuses a request, or NULL if it accepts it. */
static const char *refusal_reason(const emulator_t *emu, const request_t *request)
{
	const target_t *target = request->target;

	if (target->mode == MODE_REFUSE)
		return "refusing\n";
	if (target_is_leaving(target))
		return "leaving\n";
	if (target->in_flight >= emu->options.slots)
		return "no slot\n";
	if (target->conns->len > emu->options.max_connections)
		return "too many connections\n";
	if (request->epoch != 0 && request->epoch < target->epoch)
		return "stale epoch\n";
	return NULL;
}

/* Suspends the connection of a request that never gets a response. */
static enum MHD_Result hold_unanswered(GPtrArray *unanswered, request_t *request)
{
	MHD_suspend_connection(request->connection);
	g_ptr_array_add(unanswered, request);
	return MHD_YES;
}

static enum MHD_Result handle_target_request(emulator_t *emu, request_t *request)
{
	target_t *target = request->target;
	uint32_t service_ms =
		target->mode == MODE_SLOW ? target->slow_ms : emu->options.service_time_ms;
	const char *reason;
	GSequenceIter *timer;

	if (target->mode == MODE_KILLED || target->vm_state == VM_REBOOTING)
		return MHD_NO;
	if (target->mode == MODE_SILENT || request->conn->silent)
		return hold_unanswered(target->unanswered, request);
	if (g_str_has_prefix(request->path, "/task/"))
		return reply_json(request, task_handle_request(emu, target, request->path + 6,
							       (const char *)request->body->data,
							       request->body->len));
	reason = refusal_reason(emu, request);
	if (reason != NULL)
		return reply_refused(request, reason);
	target->in_flight++;
	request->mode = target->mode;
	request->generation = target->generation;
	request->service_end_us = clock_now_us() + service_ms * US_PER_MS;
	journal_write_event(emu, "start", request);
	MHD_suspend_connection(request->connection);
	timer = g_sequence_insert_sorted(emu->timers, request, compare_service_end, NULL);
	if (g_sequence_iter_is_begin(timer))
		pthread_cond_signal(&emu->timers_changed);
	return MHD_YES;
}

/* Ends the service time of a request. The request is lost if the target's process has died since it
 * was accepted. */
static void end_service(emulator_t *emu, request_t *request)
{
	target_t *target = request->target;

	if (request->generation == target->generation) {
		target->in_flight--;
		target->served++;
		journal_write_event(emu, "end", request);
	} else {
		request->drop = true;
		journal_write_event(emu, "lost", request);
	}
	request->resumed = true;
	MHD_resume_connection(request->connection);
}

void *timer_thread(void *emulator)
{
	emulator_t *emu = emulator;

	pthread_mutex_lock(&emu->lock);
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(emu->timers);
		uint64_t now_us = clock_now_us();
		struct timespec until;
		request_t *request;
		uint64_t wait_us;

		if (g_sequence_iter_is_end(first)) {
			pthread_cond_wait(&emu->timers_changed, &emu->lock);
			continue;
		}
		request = g_sequence_get(first);
		if (request->service_end_us <= now_us) {
			g_sequence_remove(first);
			end_service(emu, request);
			continue;
		}
		wait_us = request->service_end_us - now_us;
		clock_gettime(CLOCK_REALTIME, &until);
		wait_us += (uint64_t)until.tv_nsec / 1000;
		until.tv_sec += (time_t)(wait_us / US_PER_S);
		until.tv_nsec = (long)(wait_us % US_PER_S) * 1000;
		pthread_cond_timedwait(&emu->timers_changed, &emu->lock, &until);
	}
	return NULL;
}

static request_t *new_request(struct MHD_Connection *connection, const char *url,
			      const char *method)
{
	const char *epoch =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Lavenderpass-Epoch");
	request_t *request = g_new0(request_t, 1);

	request->connection = connection;
	request->conn = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
				->socket_context;
	request->target = request->conn->target;
	request->body = g_byte_array_new();
	request->method = g_strdup(method);
	request->path = g_strdup(url);
	request->id = g_strdup(MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
							   "Lavenderpass-Request-Id"));
	request->key = g_strdup(
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Idempotency-Key"));
	request->epoch = epoch == NULL ? 0 : strtoull(epoch, NULL, 10);
	return request;
}

static enum MHD_Result dispatch(emulator_t *emu, request_t *request)
{
	if (request->target != NULL)
		return handle_target_request(emu, request);
	if (!request->conn->platform)
		return reply_json(request, control_handle_request(emu, request));
	if (emu->platform_mode == MODE_SILENT)
		return hold_unanswered(emu->platform_unanswered, request);
	return reply_json(request, platform_handle_request(emu, request));
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **context)
{
	emulator_t *emu = arg;
	request_t *request = *context;
	enum MHD_Result rc;

	if (request == NULL) {
		*context = new_request(connection, url, method);
		return MHD_YES;
	}
	if (*size > 0) {
		g_byte_array_append(request->body, (const guint8 *)data, (guint)*size);
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&emu->lock);
	if (request->resumed) {
		rc = reply_after_service(request);
	} else if (request->dispatched) {
		/* libmicrohttpd can call the handler again before the connection is suspended. */
		rc = MHD_YES;
	} else {
		request->dispatched = true;
		rc = dispatch(emu, request);
	}
	pthread_mutex_unlock(&emu->lock);
	return rc;
}

static void on_completed(void *arg, struct MHD_Connection *connection, void **context,
			 enum MHD_RequestTerminationCode code)
{
	request_t *request = *context;

	if (request == NULL)
		return;
	g_byte_array_free(request->body, TRUE);
	g_free(request->method);
	g_free(request->path);
	g_free(request->id);
	g_free(request->key);
	g_free(request);
	*context = NULL;
}

void *accept_thread(void *emulator)
{
	emulator_t *emu = emulator;
	struct epoll_event events[MAX_EVENTS];
	int one = 1;

	for (;;) {
		int count = epoll_wait(emu->epoll_fd, events, MAX_EVENTS, -1);

		for (int i = 0; i < count; i++) {
			struct sockaddr_storage peer;
			socklen_t length = sizeof(peer);
			int fd = accept4(events[i].data.fd, (struct sockaddr *)&peer, &length,
					 SOCK_NONBLOCK | SOCK_CLOEXEC);

			if (fd < 0)
				continue;
			(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
			(void)MHD_add_connection(emu->daemon, fd, (struct sockaddr *)&peer, length);
		}
	}
	return NULL;
}

static int open_listeners(emulator_t *emu)
{
	for (unsigned i = 0; i < emu->target_count; i++) {
		if (target_open_listener(emu, &emu->targets[i]) != 0) {
			(void)fprintf(stderr, "cannot listen on port %u: %s\n",
				      emu->targets[i].port, strerror(errno));
			return -1;
		}
	}
	if (emu->options.platform_port != 0 && open_listener(emu, emu->options.platform_port) < 0) {
		(void)fprintf(stderr, "cannot listen on port %u: %s\n", emu->options.platform_port,
			      strerror(errno));
		return -1;
	}
	if (emu->options.control_port != 0 && open_listener(emu, emu->options.control_port) < 0) {
		(void)fprintf(stderr, "cannot listen on port %u: %s\n", emu->options.control_port,
			      strerror(errno));
		return -1;
	}
	return 0;
}

int emulator_start_http(emulator_t *emu)
{
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC |
			 MHD_ALLOW_SUSPEND_RESUME;

	emu->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (emu->epoll_fd < 0)
		return -1;
	emu->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, emu, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		emu, MHD_OPTION_NOTIFY_CONNECTION, on_connection, emu, MHD_OPTION_CONNECTION_LIMIT,
		60000U, MHD_OPTION_THREAD_POOL_SIZE,
		emu->options.http_threads > 1 ? emu->options.http_threads : 0U, MHD_OPTION_END);
	if (emu->daemon == NULL)
		return -1;
	return open_listeners(emu);
}
