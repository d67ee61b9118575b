#include "lib_crowd.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>

#include "clock.h"

#define COMPLETE_DIVISOR 8
/* Bytes that clients which stop short do not send. */
#define MISSING_BYTES 3
#define PIECE_BYTES 8192
#define LARGE_CHUNK_BYTES 16384
#define SMALL_CHUNK_BYTES 16
#define CROWD_TIMEOUT_S 60

typedef struct {
	int fd; /* -1: closed */
	size_t sent;
	size_t end; /* number of bytes of the message that this client sends */
} client_t;

struct crowd {
	crowd_config_t config;
	GString *message; /* the whole request, the same for all clients */
	client_t *clients;
	/* Of the clients that still have something to send. */
	struct pollfd *watches;
	client_t **watched;
};

const char *crowd_kind_name(crowd_kind_t kind)
{
	static const char *const names[] = {"whole", "pieces", "large chunks", "small chunks"};

	return names[kind];
}

/* Fills the body with spaces, which no parser has to keep. */
static GString *make_message(const crowd_config_t *config)
{
	GString *message = g_string_new(NULL);
	size_t chunk = config->kind == CROWD_LARGE_CHUNKS   ? LARGE_CHUNK_BYTES
		       : config->kind == CROWD_SMALL_CHUNKS ? SMALL_CHUNK_BYTES
							    : 0;
	g_autofree char *spaces = g_strnfill(config->body_bytes, ' ');

	g_string_append_printf(message,
			       "%s %s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n",
			       config->method, config->path);
	if (chunk == 0) {
		g_string_append_printf(message, "Content-Length: %zu\r\n\r\n", config->body_bytes);
		g_string_append(message, spaces);
		return message;
	}
	g_string_append(message, "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t i = 0; i < config->body_bytes; i += chunk) {
		size_t length = MIN(chunk, config->body_bytes - i);

		g_string_append_printf(message, "%zx\r\n", length);
		g_string_append_len(message, spaces, (gssize)length);
		g_string_append(message, "\r\n");
	}
	g_string_append(message, "0\r\n\r\n");
	return message;
}

static int connect_to(const crowd_config_t *config)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(config->port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	assert_true(fd >= 0);
	assert_int_equal(inet_pton(AF_INET, config->ip, &address.sin_addr), 1);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void close_client(client_t *client)
{
	if (client->fd >= 0)
		close(client->fd);
	client->fd = -1;
}

/* Sends what the connection takes, one piece at most if the clients alternate. */
static void send_some(const crowd_t *crowd, client_t *client)
{
	size_t left = client->end - client->sent;
	ssize_t sent;

	if (crowd->config.kind == CROWD_PIECES)
		left = MIN(left, PIECE_BYTES);
	sent = send(client->fd, crowd->message->str + client->sent, left, MSG_NOSIGNAL);
	if (sent > 0)
		client->sent += (size_t)sent;
	else if (errno != EAGAIN && errno != EINTR)
		close_client(client);
}

/* @return number of clients that still have something to send */
static unsigned send_round(const crowd_t *crowd)
{
	struct pollfd *watches = crowd->watches;
	client_t **watched = crowd->watched;
	unsigned count = 0;

	for (unsigned i = 0; i < crowd->config.clients; i++) {
		client_t *client = &crowd->clients[i];

		if (client->fd < 0 || client->sent == client->end)
			continue;
		watches[count] = (struct pollfd){.fd = client->fd, .events = POLLOUT | POLLRDHUP};
		watched[count++] = client;
	}
	if (count == 0 || poll(watches, count, 100) <= 0)
		return count;
	for (unsigned i = 0; i < count; i++) {
		if (watches[i].revents & (POLLERR | POLLHUP | POLLRDHUP))
			close_client(watched[i]);
		else if (watches[i].revents & POLLOUT)
			send_some(crowd, watched[i]);
	}
	return count;
}

crowd_t *crowd_start(const crowd_config_t *config)
{
	crowd_t *crowd = g_new0(crowd_t, 1);
	uint64_t until_us = clock_now_us() + CROWD_TIMEOUT_S * US_PER_S;

	crowd->config = *config;
	crowd->message = make_message(config);
	crowd->clients = g_new0(client_t, config->clients);
	crowd->watches = g_new0(struct pollfd, config->clients);
	crowd->watched = g_new0(client_t *, config->clients);
	for (unsigned i = 0; i < config->clients; i++) {
		bool complete = i % COMPLETE_DIVISOR == 0;

		crowd->clients[i].fd = connect_to(config);
		crowd->clients[i].end = crowd->message->len - (complete ? 0 : MISSING_BYTES);
	}
	while (send_round(crowd) > 0)
		assert_true(clock_now_us() < until_us);
	return crowd;
}

void crowd_finish(crowd_t *crowd)
{
	for (unsigned i = 0; i < crowd->config.clients; i++)
		close_client(&crowd->clients[i]);
	g_string_free(crowd->message, TRUE);
	g_free(crowd->clients);
	g_free(crowd->watches);
	g_free(crowd->watched);
	g_free(crowd);
}

long crowd_peak_memory_mib(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	const char *line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	line = strstr(text, "VmHWM:");
	return line != NULL ? strtol(line + strlen("VmHWM:"), NULL, 10) / 1024 : -1;
}

long crowd_descriptors(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	long count = 0;

	if (dir == NULL)
		return -1;
	while (g_dir_read_name(dir) != NULL)
		count++;
	g_dir_close(dir);
	return count;
}
