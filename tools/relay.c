#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "settings.h"

/*
 * TCP relay that injects network faults. A link relays all connections of one listener to one
 * address. A fault can discard bytes, which cannot be delivered later. Therefore the command heal
 * resets the connections that have lost bytes, except those that discard everything because of the
 * command silent-open.
 */

#define READ_BUFFER_SIZE 65536
/* Reading from one side of a connection pauses while this many bytes wait to be sent to the other
 * side. */
#define QUEUE_LIMIT_BYTES (1 << 20)
/* Interval at which the relay checks for delayed bytes that are due. */
#define DELAY_CHECK_US 1000

static const char usage[] =
	"usage: relay --listen IP:PORT --to IP:PORT [--listen ... --to ...]\n"
	"Relays TCP connections. Links are numbered from 0 in the order given. Standard input "
	"takes\n"
	"one command per line, each answered with ok or error; LINK is a number or *:\n"
	"  cut LINK            reset all connections, reset new ones\n"
	"  silent LINK         accept, discard what is sent\n"
	"  silent-open LINK    discard on the connections open now, for ever; new ones work\n"
	"  stall LINK          hold everything back; heal delivers it\n"
	"  forward LINK        deliver only from the listener's side\n"
	"  backward LINK       deliver only towards the listener's side\n"
	"  delay LINK MS       deliver MS later in each direction\n"
	"  heal LINK           end all of these but silent-open\n"
	"  count LINK          answer ok and the number of open connections\n";

/* Faults of a link, as set by the commands that the usage message lists. */
typedef struct {
	bool cut;
	bool discard_from[2]; /* [i]: whether to discard what side i sends */
	bool stall;
	uint32_t delay_ms;
} fault_t;

/* Bytes that wait to be sent to one side of a connection. */
typedef struct {
	uint64_t due_us; /* time before which the bytes must not be sent */
	size_t length;
	size_t sent; /* number of bytes of data that have been sent */
	uint8_t data[];
} chunk_t;

struct conn;

/* One of the two sockets of a connection. */
typedef struct {
	struct conn *conn;
	int fd;
	struct tevent_fd *fd_event; /* NULL when the side is not watched any more */
	GQueue out_queue;	    /* chunks (chunk_t) to send to this side */
	size_t queued_bytes;	    /* number of unsent bytes in out_queue */
} side_t;

/* A connection accepted by a link's listener, together with the connection to the link's
 * address. */
typedef struct conn {
	LIST_ENTRY(conn) entry;
	struct link *link;
	side_t sides[2];   /* 0: accepted by the listener; 1: connected to the link's address */
	bool discards_all; /* whether to discard what either side sends, because of the command
			      silent-open */
	bool lost_bytes;   /* whether bytes of this connection were discarded */
	bool closing; /* whether one side has closed; the other is closed when its queue is empty */
} conn_t;

typedef struct link {
	struct sockaddr_in listen;
	struct sockaddr_in to;
	int fd; /* listening socket */
	fault_t fault;
	LIST_HEAD(conn_list, conn) conns;
} link_t;

static link_t *links;
static size_t link_count;
static struct tevent_context *ev;

/* Closes both sides of a connection and frees it. @param reset whether to send RST instead of
 * FIN */
static void conn_close(conn_t *conn, bool reset)
{
	const struct linger linger = {.l_onoff = 1, .l_linger = 0};

	for (int i = 0; i < 2; i++) {
		side_t *side = &conn->sides[i];

		TALLOC_FREE(side->fd_event);
		if (side->fd >= 0) {
			if (reset)
				(void)setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &linger,
						 sizeof(linger));
			close(side->fd);
		}
		g_queue_clear_full(&side->out_queue, g_free);
	}
	LIST_REMOVE(conn, entry);
	g_free(conn);
}

static bool discards(const conn_t *conn, int from)
{
	return conn->discards_all || conn->link->fault.discard_from[from];
}

/* Updates which events of a side the relay waits for: readable, writable, both or none. */
static void update_events(side_t *side)
{
	const conn_t *conn = side->conn;
	int index = side == &conn->sides[0] ? 0 : 1;
	const side_t *other = &conn->sides[1 - index];
	const chunk_t *first = g_queue_peek_head(&side->out_queue);
	uint16_t flags = 0;

	if (side->fd_event == NULL)
		return;
	if (!conn->link->fault.stall) {
		if (other->queued_bytes < QUEUE_LIMIT_BYTES && !conn->closing)
			flags |= TEVENT_FD_READ;
		if (first != NULL && first->due_us <= clock_now_us())
			flags |= TEVENT_FD_WRITE;
	}
	tevent_fd_set_flags(side->fd_event, flags);
}

/* Reads from a side into the queue of the other side.
 * @return false if the connection was closed and freed */
static bool side_read(side_t *side)
{
	conn_t *conn = side->conn;
	int index = side == &conn->sides[0] ? 0 : 1;
	side_t *other = &conn->sides[1 - index];
	uint8_t buffer[READ_BUFFER_SIZE];
	ssize_t received = read(side->fd, buffer, sizeof(buffer));
	chunk_t *chunk;

	if (received < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (discards(conn, index)) {
		conn->lost_bytes = true;
		/* The other side must not notice that this one has closed. */
		if (received <= 0)
			TALLOC_FREE(side->fd_event);
		return true;
	}
	if (received <= 0) {
		if (received < 0 || other->out_queue.length == 0) {
			conn_close(conn, received < 0);
			return false;
		}
		conn->closing = true;
		TALLOC_FREE(side->fd_event);
		return true;
	}
	chunk = g_malloc(sizeof(*chunk) + (size_t)received);
	chunk->due_us = clock_now_us() + conn->link->fault.delay_ms * US_PER_MS;
	chunk->length = (size_t)received;
	chunk->sent = 0;
	memcpy(chunk->data, buffer, (size_t)received);
	g_queue_push_tail(&other->out_queue, chunk);
	other->queued_bytes += chunk->length;
	return true;
}

/* Sends the chunks that are due to a side. @return false if the connection was closed and freed */
static bool side_write(side_t *side)
{
	conn_t *conn = side->conn;
	chunk_t *chunk;

	while ((chunk = g_queue_peek_head(&side->out_queue)) != NULL &&
	       chunk->due_us <= clock_now_us()) {
		ssize_t written = send(side->fd, chunk->data + chunk->sent,
				       chunk->length - chunk->sent, MSG_NOSIGNAL);

		if (written < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (written < 0) {
			conn_close(conn, true);
			return false;
		}
		chunk->sent += (size_t)written;
		side->queued_bytes -= (size_t)written;
		if (chunk->sent == chunk->length)
			g_free(g_queue_pop_head(&side->out_queue));
	}
	if (conn->closing && chunk == NULL) {
		conn_close(conn, false);
		return false;
	}
	return true;
}

static void on_ready(struct tevent_context *context, struct tevent_fd *fd_event, uint16_t flags,
		     void *arg)
{
	side_t *side = arg;
	conn_t *conn = side->conn;

	if ((flags & TEVENT_FD_WRITE) && !side_write(side))
		return;
	if ((flags & TEVENT_FD_READ) && !side_read(side))
		return;
	update_events(&conn->sides[0]);
	update_events(&conn->sides[1]);
}

static void init_side(conn_t *conn, int index, int fd)
{
	side_t *side = &conn->sides[index];
	int one = 1;

	*side = (side_t){.conn = conn, .fd = fd, .out_queue = G_QUEUE_INIT};
	if (fd < 0)
		return;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	side->fd_event = tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_ready, side);
}

/* Starts a non-blocking connect to an address. @return file descriptor, or -1 on failure */
static int connect_to(const struct sockaddr_in *to)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 && connect(fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		fd = -1;
	}
	return fd;
}

static void on_accept(struct tevent_context *context, struct tevent_fd *fd_event, uint16_t flags,
		      void *arg)
{
	const struct linger linger = {.l_onoff = 1, .l_linger = 0};
	link_t *link = arg;
	int fd = accept4(link->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target_fd = -1;
	conn_t *conn;

	if (fd < 0)
		return;
	if (!link->fault.cut)
		target_fd = connect_to(&link->to);
	if (target_fd < 0) {
		(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(fd);
		return;
	}
	conn = g_new0(conn_t, 1);
	conn->link = link;
	init_side(conn, 0, fd);
	init_side(conn, 1, target_fd);
	LIST_INSERT_HEAD(&link->conns, conn, entry);
	update_events(&conn->sides[0]);
	update_events(&conn->sides[1]);
}

/* Called every DELAY_CHECK_US. Checks each side that has bytes to send. If delayed bytes are due by
 * now, starts to wait until that side is writable. */
static void on_delay_check(struct tevent_context *context, struct tevent_timer *timer,
			   struct timeval current, void *arg)
{
	for (size_t i = 0; i < link_count; i++) {
		conn_t *conn;

		LIST_FOREACH (conn, &links[i].conns, entry) {
			for (int j = 0; j < 2; j++) {
				if (conn->sides[j].out_queue.length > 0)
					update_events(&conn->sides[j]);
			}
		}
	}
	(void)tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, DELAY_CHECK_US),
			       on_delay_check, NULL);
}

/* Applies a changed fault to the connections of a link.
 * @param reset_all whether to reset all connections instead
 * @param reset_lossy whether to reset the connections that have lost bytes, except those with
 * discards_all */
static void update_conns(link_t *link, bool reset_all, bool reset_lossy)
{
	conn_t *conn = LIST_FIRST(&link->conns);

	while (conn != NULL) {
		conn_t *next = LIST_NEXT(conn, entry);

		if (reset_all || (reset_lossy && conn->lost_bytes && !conn->discards_all)) {
			conn_close(conn, true);
		} else {
			update_events(&conn->sides[0]);
			update_events(&conn->sides[1]);
		}
		conn = next;
	}
}

/* Executes any command on a link except "count", which the caller handles.
 * @return false if the command is unknown or its value is invalid */
static bool set_fault(link_t *link, const char *word, const char *value)
{
	conn_t *conn;
	guint64 delay_ms;

	if (strcmp(word, "cut") == 0) {
		link->fault.cut = true;
	} else if (strcmp(word, "silent") == 0) {
		link->fault.discard_from[0] = link->fault.discard_from[1] = true;
	} else if (strcmp(word, "forward") == 0) {
		link->fault.discard_from[1] = true;
	} else if (strcmp(word, "backward") == 0) {
		link->fault.discard_from[0] = true;
	} else if (strcmp(word, "stall") == 0) {
		link->fault.stall = true;
	} else if (strcmp(word, "silent-open") == 0) {
		LIST_FOREACH (conn, &link->conns, entry)
			conn->discards_all = true;
	} else if (strcmp(word, "delay") == 0 && value != NULL &&
		   g_ascii_string_to_unsigned(value, 10, 0, 60000, &delay_ms, NULL)) {
		link->fault.delay_ms = (uint32_t)delay_ms;
	} else if (strcmp(word, "heal") == 0) {
		link->fault = (fault_t){0};
	} else {
		return false;
	}
	update_conns(link, link->fault.cut, strcmp(word, "heal") == 0);
	return true;
}

static unsigned count_conns(const link_t *link)
{
	unsigned count = 0;
	const conn_t *conn;

	LIST_FOREACH (conn, &link->conns, entry)
		count++;
	return count;
}

static void handle_command(char *line)
{
	char **words = g_strsplit(g_strstrip(line), " ", 3);
	unsigned count = g_strv_length(words);
	bool all_links = count >= 2 && strcmp(words[1], "*") == 0;
	guint64 index = 0;
	bool ok = count >= 2 &&
		  (all_links ||
		   g_ascii_string_to_unsigned(words[1], 10, 0, link_count - 1, &index, NULL));
	unsigned conns = 0;

	for (size_t i = all_links ? 0 : index; ok && i < (all_links ? link_count : index + 1);
	     i++) {
		if (strcmp(words[0], "count") == 0)
			conns += count_conns(&links[i]);
		else
			ok = set_fault(&links[i], words[0], words[2]);
	}
	if (ok && strcmp(words[0], "count") == 0)
		(void)printf("ok %u\n", conns);
	else
		(void)puts(ok ? "ok" : "error");
	(void)fflush(stdout);
	g_strfreev(words);
}

static void on_input(struct tevent_context *context, struct tevent_fd *fd_event, uint16_t flags,
		     void *arg)
{
	static GString *pending;
	char buffer[512];
	ssize_t received = read(STDIN_FILENO, buffer, sizeof(buffer));
	char *end;

	if (received <= 0) {
		/* When standard input ends, the relay keeps running without commands. */
		talloc_free(fd_event);
		return;
	}
	if (pending == NULL)
		pending = g_string_new(NULL);
	g_string_append_len(pending, buffer, received);
	while ((end = strchr(pending->str, '\n')) != NULL) {
		*end = '\0';
		handle_command(pending->str);
		g_string_erase(pending, 0, end - pending->str + 1);
	}
}

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;

	*address = (struct sockaddr_in){.sin_family = AF_INET};
	if (settings_split_address(text, ip, sizeof(ip), &port) != 0)
		return false;
	address->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

/* Parses the command line. Each --listen must be followed by the --to that belongs to it. */
static bool parse_options(int argc, char **argv)
{
	static const struct option long_options[] = {{"listen", required_argument, NULL, 'l'},
						     {"to", required_argument, NULL, 't'},
						     {0}};
	bool expect_to = false;
	int option;

	links = g_new0(link_t, (gsize)argc);
	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		link_t *link = &links[link_count];

		if (option == 'l' && !expect_to && parse_address(optarg, &link->listen)) {
			expect_to = true;
		} else if (option == 't' && expect_to && parse_address(optarg, &link->to)) {
			expect_to = false;
			link_count++;
		} else {
			return false;
		}
	}
	return !expect_to && link_count > 0 && optind == argc;
}

static int open_link(link_t *link)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	LIST_INIT(&link->conns);
	link->fd = fd;
	if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
	    bind(fd, (struct sockaddr *)&link->listen, sizeof(link->listen)) != 0 ||
	    listen(fd, SOMAXCONN) != 0) {
		perror("listen");
		if (fd >= 0)
			close(fd);
		return -1;
	}
	return tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_accept, link) == NULL ? -1 : 0;
}

int main(int argc, char **argv)
{
	if (!parse_options(argc, argv)) {
		(void)fputs(usage, stderr);
		return 2;
	}
	(void)signal(SIGPIPE, SIG_IGN);
	ev = tevent_context_init(NULL);
	for (size_t i = 0; i < link_count; i++) {
		if (open_link(&links[i]) != 0)
			return 1;
	}
	(void)tevent_add_fd(ev, ev, STDIN_FILENO, TEVENT_FD_READ, on_input, NULL);
	(void)tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, DELAY_CHECK_US),
			       on_delay_check, NULL);
	(void)puts("ready");
	(void)fflush(stdout);
	return tevent_loop_wait(ev) == 0 ? 0 : 1;
}
