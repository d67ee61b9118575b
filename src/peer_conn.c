#include "peer_conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <talloc.h>
#include <tevent.h>

#define LISTEN_BACKLOG 128
/* Each read event stops after this many bytes, so that a busy peer cannot starve the others. 256
 * KiB held some thousand messages, which took a slow core over 100 ms. */
#define READ_BYTES_PER_EVENT ((size_t)16 << 10)

/* Parses "IP:port", with brackets around an IPv6 address. @return 0, or -1 if the address is
 * invalid */
static int parse_address(const char *address, struct sockaddr_storage *storage, socklen_t *length)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)storage;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)storage;
	const char *colon = strrchr(address, ':');
	char ip[INET6_ADDRSTRLEN + 2];
	size_t ip_length;
	unsigned long port;
	char *end;

	if (colon == NULL || colon[1] == '\0' || (size_t)(colon - address) >= sizeof(ip))
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port > UINT16_MAX)
		return -1;
	ip_length = (size_t)(colon - address);
	memcpy(ip, address, ip_length);
	ip[ip_length] = '\0';
	memset(storage, 0, sizeof(*storage));
	if (ip[0] == '[' && ip_length > 2 && ip[ip_length - 1] == ']') {
		ip[ip_length - 1] = '\0';
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons((uint16_t)port);
		*length = sizeof(*in6);
		return inet_pton(AF_INET6, ip + 1, &in6->sin6_addr) == 1 ? 0 : -1;
	}
	in4->sin_family = AF_INET;
	in4->sin_port = htons((uint16_t)port);
	*length = sizeof(*in4);
	return inet_pton(AF_INET, ip, &in4->sin_addr) == 1 ? 0 : -1;
}

static int open_socket(const char *address, struct sockaddr_storage *storage, socklen_t *length)
{
	if (parse_address(address, storage, length) < 0) {
		errno = EINVAL;
		return -1;
	}
	return socket(storage->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static int close_keep_errno(int fd)
{
	int error = errno;

	close(fd);
	errno = error;
	return -1;
}

int peer_conn_listen(const char *address)
{
	struct sockaddr_storage storage;
	socklen_t length;
	int one = 1;
	int fd = open_socket(address, &storage, &length);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&storage, length) < 0 || listen(fd, LISTEN_BACKLOG) < 0)
		return close_keep_errno(fd);
	return fd;
}

/* Tells the owner that the connection has ended. The owner then frees the connection. */
static void report_closed(peer_conn_t *conn, peer_conn_close_reason_t reason)
{
	conn->callbacks->on_closed(conn, reason);
}

/* Sends queued bytes until the socket takes no more. @return 0, or -1 when the connection is broken
 */
static int write_queue(peer_conn_t *conn)
{
	while (conn->send_offset < conn->send_queue->len) {
		ssize_t n = send(conn->fd, conn->send_queue->data + conn->send_offset,
				 conn->send_queue->len - conn->send_offset, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return 0;
		if (n < 0)
			return -1;
		conn->send_offset += (size_t)n;
		conn->counters->bytes_sent += (uint64_t)n;
	}
	g_byte_array_set_size(conn->send_queue, 0);
	conn->send_offset = 0;
	TEVENT_FD_NOT_WRITEABLE(conn->fd_event);
	return 0;
}

static void send_queued(peer_conn_t *conn)
{
	if (write_queue(conn) != 0)
		report_closed(conn, PEER_CONN_DISCONNECTED);
}

void peer_conn_flush(peer_conn_t *conn)
{
	/* A broken connection is left to the event loop, which also finds it writable. */
	if (!conn->connecting)
		write_queue(conn);
}

/* Decodes the received frames and passes them to the owner. @return false when the owner has freed
 * the connection */
static bool dispatch_frames(peer_conn_t *conn)
{
	Lp__Envelope *envelope;
	frame_status_t status;
	bool freed = false;

	while ((status = frame_decoder_next(&conn->decoder, &envelope)) == FRAME_DECODED) {
		conn->freed_flag = &freed;
		conn->counters->frames_received++;
		conn->callbacks->on_frame(conn, envelope);
		lp__envelope__free_unpacked(envelope, NULL);
		if (freed)
			return false;
		conn->freed_flag = NULL;
	}
	if (status == FRAME_INVALID) {
		report_closed(conn, PEER_CONN_INVALID_FRAME);
		return false;
	}
	return true;
}

static void on_readable(peer_conn_t *conn)
{
	size_t bytes_read = 0;

	while (bytes_read < READ_BYTES_PER_EVENT) {
		size_t space;
		uint8_t *buffer = frame_decoder_write_buffer(&conn->decoder, &space);
		size_t wanted = MIN(space, READ_BYTES_PER_EVENT - bytes_read);
		ssize_t n = recv(conn->fd, buffer, wanted, 0);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return;
		if (n <= 0) {
			report_closed(conn, PEER_CONN_DISCONNECTED);
			return;
		}
		bytes_read += (size_t)n;
		conn->counters->bytes_received += (uint64_t)n;
		frame_decoder_mark_received(&conn->decoder, (size_t)n);
		if (!dispatch_frames(conn))
			return;
		if ((size_t)n < wanted)
			return;
	}
}

static void on_connected(peer_conn_t *conn)
{
	int error = 0;
	socklen_t length = sizeof(error);

	if (getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &length) < 0 || error != 0) {
		report_closed(conn, PEER_CONN_DISCONNECTED);
		return;
	}
	conn->connecting = false;
	send_queued(conn);
}

void peer_conn_handle_ready(peer_conn_t *conn, bool readable, bool writable)
{
	if (conn->freed_flag != NULL)
		return;
	if (conn->connecting) {
		on_connected(conn);
		return;
	}
	/* Either send or receive per event, not both, because each can free the connection. */
	if (writable && peer_conn_has_queued(conn))
		send_queued(conn);
	else if (readable)
		on_readable(conn);
}

bool peer_conn_has_input(const peer_conn_t *conn)
{
	struct pollfd poll_fd = {.fd = conn->fd, .events = conn->connecting ? POLLOUT : POLLIN};

	return poll(&poll_fd, 1, 0) > 0;
}

bool peer_conn_has_queued(const peer_conn_t *conn)
{
	return conn->send_offset < conn->send_queue->len;
}

static void on_event(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
		     void *private_data)
{
	peer_conn_handle_ready(private_data, (flags & TEVENT_FD_READ) != 0,
			       (flags & TEVENT_FD_WRITE) != 0);
}

static int destroy_conn(peer_conn_t *conn)
{
	if (conn->freed_flag != NULL)
		*conn->freed_flag = true;
	/* tevent requires an event to be freed before its file descriptor is closed. */
	TALLOC_FREE(conn->fd_event);
	close(conn->fd);
	frame_decoder_finish(&conn->decoder);
	g_byte_array_unref(conn->send_queue);
	return 0;
}

static peer_conn_t *new_conn(void *parent, struct tevent_context *ev, int fd, uint32_t timeout_ms,
			     const peer_conn_callbacks_t *callbacks, peer_counters_t *counters,
			     void *owner)
{
	peer_conn_t *conn = talloc_zero(parent, peer_conn_t);
	unsigned user_timeout_ms = timeout_ms;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
	*conn = (peer_conn_t){
		.ev = ev,
		.fd = fd,
		.callbacks = callbacks,
		.counters = counters,
		.owner = owner,
		.send_queue = g_byte_array_new(),
	};
	frame_decoder_init(&conn->decoder);
	conn->fd_event = tevent_add_fd(ev, conn, fd, TEVENT_FD_READ, on_event, conn);
	talloc_set_destructor(conn, destroy_conn);
	return conn;
}

peer_conn_t *peer_conn_accepted(void *parent, struct tevent_context *ev, int fd,
				uint32_t timeout_ms, const peer_conn_callbacks_t *callbacks,
				peer_counters_t *counters, void *owner)
{
	return new_conn(parent, ev, fd, timeout_ms, callbacks, counters, owner);
}

peer_conn_t *peer_conn_dial(void *parent, struct tevent_context *ev, const char *address,
			    uint32_t timeout_ms, const peer_conn_callbacks_t *callbacks,
			    peer_counters_t *counters, void *owner)
{
	struct sockaddr_storage storage;
	socklen_t length;
	int fd = open_socket(address, &storage, &length);
	peer_conn_t *conn;

	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&storage, length) < 0 && errno != EINPROGRESS) {
		close_keep_errno(fd);
		return NULL;
	}
	conn = new_conn(parent, ev, fd, timeout_ms, callbacks, counters, owner);
	conn->connecting = true;
	/* tevent reports a failed connect only to an event that also waits for readability. */
	tevent_fd_set_flags(conn->fd_event, TEVENT_FD_READ | TEVENT_FD_WRITE);
	return conn;
}

void peer_conn_free(peer_conn_t *conn)
{
	talloc_free(conn);
}

int peer_conn_send(peer_conn_t *conn, const Lp__Envelope *envelope)
{
	guint length_before;

	/* Remove the bytes that were sent already, so that the array stays below twice
	 * PEER_QUEUE_BYTES. */
	if (conn->send_offset > PEER_QUEUE_BYTES) {
		g_byte_array_remove_range(conn->send_queue, 0, (guint)conn->send_offset);
		conn->send_offset = 0;
	}
	length_before = conn->send_queue->len;
	if (frame_append(conn->send_queue, envelope) == 0)
		return -1;
	if (conn->send_queue->len - conn->send_offset > PEER_QUEUE_BYTES) {
		g_byte_array_set_size(conn->send_queue, length_before);
		return -1;
	}
	conn->counters->frames_sent++;
	if (!conn->connecting)
		TEVENT_FD_WRITEABLE(conn->fd_event);
	return 0;
}
