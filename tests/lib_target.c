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
	GArray *connections; /* connection_t pointers */
	char address[32];
	char *head;
	lib_target_mode_t mode;
	unsigned late_ms;
	int listener;
};

typedef struct {
	lib_target_t *target;
	pthread_t thread;
	int fd;
} connection_t;

static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *runs;

static void record_run(const char *body)
{
	pthread_mutex_lock(&runs_lock);
	if (runs == NULL)
		runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_replace(
		runs, g_strdup(body),
		GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(runs, body)) + 1));
	pthread_mutex_unlock(&runs_lock);
}

unsigned lib_target_runs(const char *body)
{
	unsigned count;

	pthread_mutex_lock(&runs_lock);
	count = runs != NULL ? GPOINTER_TO_UINT(g_hash_table_lookup(runs, body)) : 0;
	pthread_mutex_unlock(&runs_lock);
	return count;
}

/* @return the request, head and body, or NULL at the end of the connection */
static char *read_request(int fd)
{
	GString *text = g_string_new(NULL);
	char part[4096];
	ssize_t got;

	while ((got = read(fd, part, sizeof(part))) > 0) {
		const char *end;
		const char *length;
		size_t body = 0;

		g_string_append_len(text, part, got);
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

static char *header(const char *head, const char *name)
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

static void answer(int fd, const char *status, const char *extra, const char *id, const char *body,
		   size_t cut)
{
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: %zu\r\nContent-Type: "
				     "text/plain\r\nLavenderpass-Request-Id: %s\r\n%s\r\nran:%s",
				     status, strlen(body) + 4, id, extra, body);

	write_all(fd, text, strlen(text) - cut);
	g_free(text);
}

/* @return false when the connection is to be closed */
static bool serve(lib_target_t *target, int fd, const char *request)
{
	const char *body = strstr(request, "\r\n\r\n") + 4;
	char *id = header(request, "Lavenderpass-Request-Id");
	lib_target_mode_t mode;
	unsigned late_ms;
	bool keep = false;
	char byte;

	pthread_mutex_lock(&target->lock);
	mode = target->mode;
	late_ms = target->late_ms;
	g_free(target->head);
	target->head = g_strndup(request, (gsize)(body - request));
	pthread_mutex_unlock(&target->lock);
	if (mode != LIB_TARGET_REFUSE)
		record_run(body);
	switch (mode) {
	case LIB_TARGET_LATE:
		usleep(late_ms * 1000);
		answer(fd, "200 OK", "", id, body, 0);
		keep = true;
		break;
	case LIB_TARGET_ANSWER:
		answer(fd, "200 OK", "X-Hop: 1\r\nConnection: x-hop\r\n", id, body, 0);
		keep = true;
		break;
	case LIB_TARGET_FORWARD:
		answer(fd, "200 OK", "Lavenderpass-Outcome: ran\r\n", id, body, 0);
		keep = true;
		break;
	case LIB_TARGET_WRONG_ID:
		answer(fd, "200 OK", "", "other", "other", 0);
		keep = true;
		break;
	case LIB_TARGET_TRUNCATE:
		answer(fd, "200 OK", "", id, body, 1);
		break;
	case LIB_TARGET_REFUSE:
		answer(fd, "503 Busy", "Lavenderpass-Outcome: not-run\r\n", id, body, 0);
		keep = true;
		break;
	case LIB_TARGET_SILENT:
		while (read(fd, &byte, 1) > 0)
			;
		break;
	case LIB_TARGET_CLOSE:
	case LIB_TARGET_MODES:
		break;
	}
	g_free(id);
	return keep;
}

static void *run_connection(void *arg)
{
	connection_t *connection = arg;
	bool keep = true;
	char *request;

	while (keep && (request = read_request(connection->fd)) != NULL) {
		keep = serve(connection->target, connection->fd, request);
		g_free(request);
	}
	shutdown(connection->fd, SHUT_RDWR);
	return NULL;
}

static void *run_listener(void *arg)
{
	lib_target_t *target = arg;

	for (;;) {
		connection_t *connection = g_new0(connection_t, 1);

		connection->target = target;
		connection->fd = accept(target->listener, NULL, NULL);
		if (connection->fd < 0) {
			g_free(connection);
			return NULL;
		}
		pthread_mutex_lock(&target->lock);
		pthread_create(&connection->thread, NULL, run_connection, connection);
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
	target->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(target->listener, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    listen(target->listener, 100) != 0 ||
	    getsockname(target->listener, (struct sockaddr *)&in, &length) != 0)
		g_error("the stand-in cannot listen");
	g_snprintf(target->address, sizeof(target->address), "127.0.0.1:%u", ntohs(in.sin_port));
	pthread_create(&target->thread, NULL, run_listener, target);
	return target;
}

void lib_target_stop(lib_target_t *target)
{
	shutdown(target->listener, SHUT_RDWR);
	pthread_join(target->thread, NULL);
	close(target->listener);
	for (guint i = 0; i < target->connections->len; i++) {
		connection_t *connection = g_array_index(target->connections, connection_t *, i);

		shutdown(connection->fd, SHUT_RDWR);
		pthread_join(connection->thread, NULL);
		close(connection->fd);
		g_free(connection);
	}
	g_array_unref(target->connections);
	g_free(target->head);
	pthread_mutex_destroy(&target->lock);
	g_free(target);
}

void lib_target_set(lib_target_t *target, lib_target_mode_t mode, unsigned late_ms)
{
	pthread_mutex_lock(&target->lock);
	target->mode = mode;
	target->late_ms = late_ms;
	pthread_mutex_unlock(&target->lock);
}

const char *lib_target_address(const lib_target_t *target)
{
	return target->address;
}

char *lib_target_head(lib_target_t *target)
{
	char *head;

	pthread_mutex_lock(&target->lock);
	head = g_strdup(target->head);
	pthread_mutex_unlock(&target->lock);
	return head;
}
