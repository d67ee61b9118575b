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
 * A link relays the connections of one listener to one address. Bytes that a fault swallows cannot
 * be delivered later, so a connection that lost some is reset when its link is healed.
 */

#define READ_SIZE 65536
/* A side is not read while so many bytes wait for the other one. */
#define QUEUE_LIMIT (1 << 20)
#define TICK_US 1000

static const char usage[] =
	"usage: relay --listen IP:PORT --to IP:PORT [--listen ... --to ...]\n"
	"Relays TCP connections. Links are numbered from 0 in the order given. Standard input "
	"takes\n"
	"one command per line, each answered with ok or error; LINK is a number or *:\n"
	"  cut LINK            reset all connections, reset new ones\n"
	"  silent LINK         accept, swallow what is sent\n"
	"  silent-open LINK    swallow on the connections open now, for ever; new ones work\n"
	"  stall LINK          hold everything back; heal delivers it\n"
	"  forward LINK        deliver only from the listener's side\n"
	"  backward LINK       deliver only towards the listener's side\n"
	"  delay LINK MS       deliver MS later in each direction\n"
	"  heal LINK           end all of these but silent-open\n"
	"  count LINK          answer ok and the number of open connections\n";

typedef struct {
	bool cut;
	bool swallow[2]; /* by the side that sends; 0 is the listener's */
	bool stall;
	uint32_t delay_ms;
} fault_t;

typedef struct {
	uint64_t due_us;
	size_t length;
	size_t done;
	uint8_t data[];
} chunk_t;

struct conn;

typedef struct {
	struct conn *conn;
	int fd;
	struct tevent_fd *watch;
	GQueue out; /* chunk_t towards this side */
	size_t queued;
} side_t;

typedef struct conn {
	LIST_ENTRY(conn) entry;
	struct link *link;
	side_t side[2]; /* 0 is the listener's */
	bool silent;
	bool lost_bytes;
	bool closing; /* one side has ended; close once the other has been sent everything */
} conn_t;

typedef struct link {
	struct sockaddr_in listen;
	struct sockaddr_in to;
	int fd;
	fault_t fault;
	LIST_HEAD(conn_list, conn) conns;
} link_t;

static link_t *links;
static size_t link_count;
static struct tevent_context *ev;

static void conn_close(conn_t *conn, bool reset)
{
	const struct linger linger = {.l_onoff = 1, .l_linger = 0};

	for (int i = 0; i < 2; i++) {
		side_t *side = &conn->side[i];

		TALLOC_FREE(side->watch);
		if (side->fd >= 0) {
			if (reset)
				(void)setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &linger,
						 sizeof(linger));
			close(side->fd);
		}
		g_queue_clear_full(&side->out, g_free);
	}
	LIST_REMOVE(conn, entry);
	g_free(conn);
}

static bool swallows(const conn_t *conn, int from)
{
	return conn->silent || conn->link->fault.swallow[from];
}

static void set_events(side_t *side)
{
	const conn_t *conn = side->conn;
	int index = side == &conn->side[0] ? 0 : 1;
	const side_t *other = &conn->side[1 - index];
	const chunk_t *first = g_queue_peek_head(&side->out);
	uint16_t flags = 0;

	if (side->watch == NULL)
		return;
	if (!conn->link->fault.stall) {
		if (other->queued < QUEUE_LIMIT && !conn->closing)
			flags |= TEVENT_FD_READ;
		if (first != NULL && first->due_us <= clock_now_us())
			flags |= TEVENT_FD_WRITE;
	}
	tevent_fd_set_flags(side->watch, flags);
}

/* @return false when the connection is closed and freed */
static bool side_read(side_t *side)
{
	conn_t *conn = side->conn;
	int index = side == &conn->side[0] ? 0 : 1;
	side_t *other = &conn->side[1 - index];
	uint8_t buffer[READ_SIZE];
	ssize_t got = read(side->fd, buffer, sizeof(buffer));
	chunk_t *chunk;

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return true;
	if (swallows(conn, index)) {
		conn->lost_bytes = true;
		/* The other side of a silent connection does not learn of its end either. */
		if (got <= 0)
			TALLOC_FREE(side->watch);
		return true;
	}
	if (got <= 0) {
		if (got < 0 || other->out.length == 0) {
			conn_close(conn, got < 0);
			return false;
		}
		conn->closing = true;
		TALLOC_FREE(side->watch);
		return true;
	}
	chunk = g_malloc(sizeof(*chunk) + (size_t)got);
	chunk->due_us = clock_now_us() + conn->link->fault.delay_ms * US_PER_MS;
	chunk->length = (size_t)got;
	chunk->done = 0;
	memcpy(chunk->data, buffer, (size_t)got);
	g_queue_push_tail(&other->out, chunk);
	other->queued += chunk->length;
	return true;
}

static bool side_write(side_t *side)
{
	conn_t *conn = side->conn;
	chunk_t *chunk;

	while ((chunk = g_queue_peek_head(&side->out)) != NULL && chunk->due_us <= clock_now_us()) {
		ssize_t put = send(side->fd, chunk->data + chunk->done, chunk->length - chunk->done,
				   MSG_NOSIGNAL);

		if (put < 0 && (errno == EAGAIN || errno == EINTR))
			return true;
		if (put < 0) {
			conn_close(conn, true);
			return false;
		}
		chunk->done += (size_t)put;
		side->queued -= (size_t)put;
		if (chunk->done == chunk->length)
			g_free(g_queue_pop_head(&side->out));
	}
	if (conn->closing && chunk == NULL) {
		conn_close(conn, false);
		return false;
	}
	return true;
}

static void on_ready(struct tevent_context *context, struct tevent_fd *watch, uint16_t flags,
		     void *arg)
{
	side_t *side = arg;
	conn_t *conn = side->conn;

	if ((flags & TEVENT_FD_WRITE) && !side_write(side))
		return;
	if ((flags & TEVENT_FD_READ) && !side_read(side))
		return;
	set_events(&conn->side[0]);
	set_events(&conn->side[1]);
}

static void side_open(conn_t *conn, int index, int fd)
{
	side_t *side = &conn->side[index];
	int one = 1;

	*side = (side_t){.conn = conn, .fd = fd, .out = G_QUEUE_INIT};
	if (fd < 0)
		return;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	side->watch = tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_ready, side);
}

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

static void on_accept(struct tevent_context *context, struct tevent_fd *watch, uint16_t flags,
		      void *arg)
{
	const struct linger linger = {.l_onoff = 1, .l_linger = 0};
	link_t *link = arg;
	int fd = accept4(link->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int out = -1;
	conn_t *conn;

	if (fd < 0)
		return;
	if (!link->fault.cut)
		out = connect_to(&link->to);
	if (out < 0) {
		(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(fd);
		return;
	}
	conn = g_new0(conn_t, 1);
	conn->link = link;
	side_open(conn, 0, fd);
	side_open(conn, 1, out);
	LIST_INSERT_HEAD(&link->conns, conn, entry);
	set_events(&conn->side[0]);
	set_events(&conn->side[1]);
}

/* Wakes sides whose delayed bytes are due. */
static void on_tick(struct tevent_context *context, struct tevent_timer *timer,
		    struct timeval current, void *arg)
{
	for (size_t i = 0; i < link_count; i++) {
		conn_t *conn;

		LIST_FOREACH (conn, &links[i].conns, entry) {
			for (int j = 0; j < 2; j++) {
				if (conn->side[j].out.length > 0)
					set_events(&conn->side[j]);
			}
		}
	}
	(void)tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_US), on_tick, NULL);
}

/* Closes the connections that are selected, and renews the events of the others. */
static void update_conns(link_t *link, bool all, bool damaged)
{
	conn_t *conn = LIST_FIRST(&link->conns);

	while (conn != NULL) {
		conn_t *next = LIST_NEXT(conn, entry);

		if (all || (damaged && conn->lost_bytes && !conn->silent)) {
			conn_close(conn, true);
		} else {
			set_events(&conn->side[0]);
			set_events(&conn->side[1]);
		}
		conn = next;
	}
}

static bool command_link(link_t *link, const char *word, const char *value)
{
	conn_t *conn;
	guint64 delay_ms;

	if (strcmp(word, "cut") == 0) {
		link->fault.cut = true;
	} else if (strcmp(word, "silent") == 0) {
		link->fault.swallow[0] = link->fault.swallow[1] = true;
	} else if (strcmp(word, "forward") == 0) {
		link->fault.swallow[1] = true;
	} else if (strcmp(word, "backward") == 0) {
		link->fault.swallow[0] = true;
	} else if (strcmp(word, "stall") == 0) {
		link->fault.stall = true;
	} else if (strcmp(word, "silent-open") == 0) {
		LIST_FOREACH (conn, &link->conns, entry)
			conn->silent = true;
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

static void command(char *line)
{
	char **words = g_strsplit(g_strstrip(line), " ", 3);
	unsigned count = g_strv_length(words);
	bool all = count >= 2 && strcmp(words[1], "*") == 0;
	guint64 index = 0;
	bool ok = count >= 2 && (all || g_ascii_string_to_unsigned(words[1], 10, 0, link_count - 1,
								   &index, NULL));
	unsigned conns = 0;

	for (size_t i = all ? 0 : index; ok && i < (all ? link_count : index + 1); i++) {
		if (strcmp(words[0], "count") == 0)
			conns += count_conns(&links[i]);
		else
			ok = command_link(&links[i], words[0], words[2]);
	}
	if (ok && strcmp(words[0], "count") == 0)
		(void)printf("ok %u\n", conns);
	else
		(void)puts(ok ? "ok" : "error");
	(void)fflush(stdout);
	g_strfreev(words);
}

static void on_input(struct tevent_context *context, struct tevent_fd *watch, uint16_t flags,
		     void *arg)
{
	static GString *pending;
	char buffer[512];
	ssize_t got = read(STDIN_FILENO, buffer, sizeof(buffer));
	char *end;

	if (got <= 0) {
		/* The relay goes on without control. */
		talloc_free(watch);
		return;
	}
	if (pending == NULL)
		pending = g_string_new(NULL);
	g_string_append_len(pending, buffer, got);
	while ((end = strchr(pending->str, '\n')) != NULL) {
		*end = '\0';
		command(pending->str);
		g_string_erase(pending, 0, end - pending->str + 1);
	}
}

static bool parse_address(const char *text, struct sockaddr_in *out)
{
	char ip[INET6_ADDRSTRLEN];
	uint16_t port;

	*out = (struct sockaddr_in){.sin_family = AF_INET};
	if (settings_split_address(text, ip, sizeof(ip), &port) != 0)
		return false;
	out->sin_port = htons(port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static bool parse(int argc, char **argv)
{
	static const struct option table[] = {{"listen", required_argument, NULL, 'l'},
					      {"to", required_argument, NULL, 't'},
					      {0}};
	bool want_to = false;
	int opt;

	links = g_new0(link_t, (gsize)argc);
	while ((opt = getopt_long(argc, argv, "", table, NULL)) != -1) {
		link_t *link = &links[link_count];

		if (opt == 'l' && !want_to && parse_address(optarg, &link->listen)) {
			want_to = true;
		} else if (opt == 't' && want_to && parse_address(optarg, &link->to)) {
			want_to = false;
			link_count++;
		} else {
			return false;
		}
	}
	return !want_to && link_count > 0 && optind == argc;
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
	if (!parse(argc, argv)) {
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
	(void)tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, TICK_US), on_tick, NULL);
	(void)puts("ready");
	(void)fflush(stdout);
	return tevent_loop_wait(ev) == 0 ? 0 : 1;
}
