#include "lib_target.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>

struct lib_target {
	pthread_mutex_t lock;
	pthread_t thread;
	GArray *connections; /* array of connection_t pointers */
	char address[32];
	char *last_head;
	lib_target_mode_t mode;
	unsigned delay_ms;
	int listen_fd;
};

typedef struct {
	lib_target_t *target;
	pthread_t thread;
	int fd;
} connection_t;

static pthread_mutex_t run_counts_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *run_counts; /* request body -> number of runs */

static void count_run(const char *body)
{
	pthread_mutex_lock(&run_counts_lock);
	if (run_counts == NULL)
		run_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_replace(
		run_counts, g_strdup(body),
		GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(run_counts, body)) + 1));
	pthread_mutex_unlock(&run_counts_lock);
}

unsigned lib_target_run_count(const char *body)
{
	unsigned count;

	pthread_mutex_lock(&run_counts_lock);
	count = run_counts != NULL ? GPOINTER_TO_UINT(g_hash_table_lookup(run_counts, body)) : 0;
	pthread_mutex_unlock(&run_counts_lock);
	return count;
}

/* Reads a request. @return its head and body, or NULL when the connection ends before the request
 * is complete */
static char *read_request(int fd)
{
	GString *text = g_string_new(NULL);
	char chunk[4096];
	ssize_t received;

	while ((received = read(fd, chunk, sizeof(chunk))) > 0) {
		const char *end;
		const char *length;
		size_t body = 0;

		g_string_append_len(text, chunk, received);
		end = strstr(text->str, "\r\n\r\n");
		if (end == NULL)
			continue;
		length = strcasestr(text->str, "\r\nContent-Length:");
		if (length != NULL && length < end)
			body = strtoul(length + strlen("\r\nContent-Length:"), NULL, 10);
		if (text->len == (size_t)(end - text->str) + 4 + body)
			return g_string_free(text, FALSE);
	}
	g_string_free(text, TRUE);
	return NULL;
}

/* Finds a header in the head of a request. @return its value, or "none"; free with g_free() */
static char *find_header(const char *head, const char *name)
{
	const char *start = strcasestr(head, name);

	if (start == NULL)
		return g_strdup("none");
	start += strlen(name) + strlen(": ");
	return g_strndup(start, strcspn(start, "\r"));
}

static void write_all(int fd, const char *text, size_t length)
{
	while (length > 0) {
		ssize_t written = send(fd, text, length, MSG_NOSIGNAL);

		if (written <= 0)
			return;
		text += written;
		length -= (size_t)written;
	}
}

/* Sends a response. @param omitted_bytes number of bytes at the end of the response that are left
 * out */
static void send_response(int fd, const char *status, const char *extra_headers, const char *id,
			  const char *body, size_t omitted_bytes)
{
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: %zu\r\nContent-Type: "
				     "text/plain\r\nLavenderpass-Request-Id: %s\r\n%s\r\nran:%s",
				     status, strlen(body) + 4, id, extra_headers, body);

	write_all(fd, text, strlen(text) - omitted_bytes);
	g_free(text);
}

/* Handles a request as the mode of the target says. @return false when the connection must be
 * closed */
static bool handle_request(lib_target_t *target, int fd, const char *request)
{
	const char *body = strstr(request, "\r\n\r\n") + 4;
	char *id = find_header(request, "Lavenderpass-Request-Id");
	lib_target_mode_t mode;
	unsigned delay_ms;
	bool keep_open = false;
	char byte;

	pthread_mutex_lock(&target->lock);
	mode = target->mode;
	delay_ms = target->delay_ms;
	g_free(target->last_head);
	target->last_head = g_strndup(request, (gsize)(body - request));
	pthread_mutex_unlock(&target->lock);
	if (mode != LIB_TARGET_REFUSE)
		count_run(body);
	switch (mode) {
	case LIB_TARGET_LATE:
		usleep(delay_ms * 1000);
		send_response(fd, "200 OK", "", id, body, 0);
		keep_open = true;
		break;
	case LIB_TARGET_RESPOND:
		send_response(fd, "200 OK", "X-Hop: 1\r\nConnection: x-hop\r\n", id, body, 0);
		keep_open = true;
		break;
	case LIB_TARGET_AS_ENTRY_PROCESS:
		send_response(fd, "200 OK", "Lavenderpass-Outcome: ran\r\n", id, body, 0);
		keep_open = true;
		break;
	case LIB_TARGET_WRONG_ID:
		send_response(fd, "200 OK", "", "other", "other", 0);
		keep_open = true;
		break;
	case LIB_TARGET_TRUNCATE:
		send_response(fd, "200 OK", "", id, body, 1);
		break;
	case LIB_TARGET_REFUSE:
		send_response(fd, "503 Busy", "Lavenderpass-Outcome: not-run\r\n", id, body, 0);
		keep_open = true;
		break;
	case LIB_TARGET_SILENT:
		while (read(fd, &byte, 1) > 0)
			;
		break;
	case LIB_TARGET_CLOSE:
	case LIB_TARGET_MODE_COUNT:
		break;
	}
	g_free(id);
	return keep_open;
}

static void *serve_connection(void *arg)
{
	connection_t *connection = arg;
	bool keep_open = true;
	char *request;

	while (keep_open && (request = read_request(connection->fd)) != NULL) {
		keep_open = handle_request(connection->target, connection->fd, request);
		g_free(request);
	}
	shutdown(connection->fd, SHUT_RDWR);
	return NULL;
}

static void *accept_connections(void *arg)
{
	lib_target_t *target = arg;

	for (;;) {
		connection_t *connection = g_new0(connection_t, 1);

		connection->target = target;
		connection->fd = accept(target->listen_fd, NULL, NULL);
		if (connection->fd < 0) {
			g_free(connection);
			return NULL;
		}
		pthread_mutex_lock(&target->lock);
		pthread_create(&connection->thread, NULL, serve_connection, connection);
		g_array_append_val(target->connections, connection);
		pthread_mutex_unlock(&target->lock);
	}
}

lib_target_t *lib_target_start(void)
{
	lib_target_t *target = g_new0(lib_target_t, 1);
	struct sockaddr_in in = {.sin_family = AF_INET};
	socklen_t length = sizeof(in);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&target->lock, NULL);
	target->connections = g_array_new(FALSE, FALSE, sizeof(connection_t *));
	target->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(target->listen_fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(target->listen_fd, 100) != 0 ||
	    getsockname(target->listen_fd, (struct sockaddr *)&in, &length) != 0)
		g_error("fake target cannot listen on 127.0.0.1");
	g_snprintf(target->address, sizeof(target->address), "127.0.0.1:%u", ntohs(in.sin_port));
	pthread_create(&target->thread, NULL, accept_connections, target);
	return target;
}

void lib_target_stop(lib_target_t *target)
{
	shutdown(target->listen_fd, SHUT_RDWR);
	pthread_join(target->thread, NULL);
	close(target->listen_fd);
	for (guint i = 0; i < target->connections->len; i++) {
		connection_t *connection = g_array_index(target->connections, connection_t *, i);

		shutdown(connection->fd, SHUT_RDWR);
		pthread_join(connection->thread, NULL);
		close(connection->fd);
		g_free(connection);
	}
	g_array_unref(target->connections);
	g_free(target->last_head);
	pthread_mutex_destroy(&target->lock);
	g_free(target);
}

void lib_target_set_mode(lib_target_t *target, lib_target_mode_t mode, unsigned delay_ms)
{
	pthread_mutex_lock(&target->lock);
	target->mode = mode;
	target->delay_ms = delay_ms;
	pthread_mutex_unlock(&target->lock);
}

const char *lib_target_address(const lib_target_t *target)
{
	return target->address;
}

char *lib_target_last_request_head(lib_target_t *target)
{
	char *head;

	pthread_mutex_lock(&target->lock);
	head = g_strdup(target->last_head);
	pthread_mutex_unlock(&target->lock);
	return head;
}
