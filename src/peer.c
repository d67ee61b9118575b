#define G_LOG_DOMAIN "peer"

#include "peer.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/queue.h>
#include <unistd.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "log.h"
#include "peer_clock.h"
#include "peer_conn.h"

#define TICK_MS 50
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
/* Maximum number of accepted connections that have not sent a Hello yet. Further connections are
 * closed at once. */
#define ACCEPTED_PENDING_MAX 128
/* Maximum size of a Hello: a few names, addresses and numbers. */
#define HELLO_MAX_BYTES 4096

/* Interval at which the members' connections are checked ahead of other events. Far below the
 * leader lease, and long enough that the checks take little of a slow core. */
#define MEMBER_CHECK_US (10 * US_PER_MS)
/* Most members' connections that are served ahead of other events; each member has two. */
#define MEMBER_CONNS_MAX 128

struct peer;

/* An accepted connection. peer is NULL until the Hello has arrived. */
typedef struct accepted {
	TAILQ_ENTRY(accepted) link;
	peer_set_t *set;
	peer_conn_t *conn;
	struct peer *peer;
	uint64_t last_frame_us;
} accepted_t;

typedef struct peer {
	peer_set_t *set;
	peer_info_t info;
	char *address;	      /* address at which the peer is dialled; NULL if it is not dialled */
	peer_conn_t *dialled; /* connection that this process dialled; NULL if there is none */
	bool verified;	      /* the dialled process sent a Hello with the expected identity */
	uint64_t dialled_us;  /* when the dialled connection was started, was established late, or
				 brought its Hello */
	uint64_t last_pong_us;
	uint64_t ping_due_us;
	uint64_t dial_due_us;
	uint32_t backoff_ms;
	uint64_t ping_seq;
	uint64_t dial_count;
	accepted_t *accepted;
	uint64_t accepted_incarnation;
	uint64_t accepted_connection_number;
	uint64_t superseded_incarnation; /* earlier incarnation of the peer, which a newer one has
					    replaced; its Hellos are refused */
	uint64_t added_us;
	peer_clock_t clock; /* readings that came on the dialled connection */
	bool permanent;
} peer_t;

struct peer_set {
	struct tevent_context *ev;
	timer_service_t *timers;
	timer_sub_t tick;
	peer_config_t config;
	peer_callbacks_t callbacks;
	peer_counters_t counters;
	int listen_fd;
	struct tevent_fd *listen_event;
	GRand *rand;
	TAILQ_HEAD(accepted_list, accepted) accepted;
	size_t pending_count; /* number of accepted connections on which no Hello has arrived yet */
	GPtrArray *peers;     /* array of peer_t */
	GHashTable *by_id;    /* node id -> peer_t */
	bool limit_logged; /* whether it was logged that PEER_MAX is reached; reset when a peer is
			      forgotten */
	timer_sub_t member_check;
	uint64_t members_served_us; /* when peer_set_serve_members() last returned */
	bool serving_members;
};

static void on_dialled_frame(peer_conn_t *conn, const Lp__Envelope *envelope);
static void on_dialled_closed(peer_conn_t *conn, peer_conn_close_reason_t reason);
static void on_accepted_frame(peer_conn_t *conn, const Lp__Envelope *envelope);
static void on_accepted_closed(peer_conn_t *conn, peer_conn_close_reason_t reason);

static const peer_conn_callbacks_t dialled_callbacks = {
	.on_frame = on_dialled_frame,
	.on_closed = on_dialled_closed,
};

static const peer_conn_callbacks_t accepted_callbacks = {
	.on_frame = on_accepted_frame,
	.on_closed = on_accepted_closed,
};

static peer_t *find_peer(const peer_set_t *set, uint32_t node_id)
{
	return g_hash_table_lookup(set->by_id, GUINT_TO_POINTER(node_id));
}

static void log_peer_limit(peer_set_t *set)
{
	char peers[16];

	if (set->limit_logged)
		return;
	set->limit_logged = true;
	g_snprintf(peers, sizeof(peers), "%u", set->peers->len);
	log_event(G_LOG_LEVEL_WARNING, LOG_FIELDS("peers", peers),
		  "peer limit reached; further peers are refused");
}

static peer_t *add_peer(peer_set_t *set, uint32_t node_id)
{
	peer_t *peer;

	if (set->peers->len >= PEER_MAX) {
		log_peer_limit(set);
		return NULL;
	}
	peer = talloc_zero(set, peer_t);
	peer->set = set;
	peer->info.node_id = node_id;
	peer->info.data_centre = talloc_strdup(peer, "");
	peer->info.http_address = talloc_strdup(peer, "");
	peer->backoff_ms = BACKOFF_MIN_MS;
	peer->added_us = clock_now_us();
	g_ptr_array_add(set->peers, peer);
	g_hash_table_insert(set->by_id, GUINT_TO_POINTER(node_id), peer);
	return peer;
}

static void report_change(peer_t *peer)
{
	const peer_callbacks_t *callbacks = &peer->set->callbacks;

	if (callbacks->peer_changed != NULL)
		callbacks->peer_changed(callbacks->arg, &peer->info);
}

static void send_hello(peer_set_t *set, peer_conn_t *conn, uint64_t connection_number)
{
	Lp__Hello hello = LP__HELLO__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	hello.cluster = (char *)set->config.cluster;
	hello.node_id = set->config.node_id;
	hello.replica_id = set->config.replica_id;
	hello.incarnation = set->config.incarnation;
	hello.data_centre = (char *)set->config.data_centre;
	hello.http_address = (char *)set->config.http_address;
	hello.disk = set->config.has_disk;
	hello.connection = connection_number;
	hello.clock_us = clock_now_us();
	envelope.body_case = LP__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	peer_conn_send(conn, &envelope);
}

static uint64_t applied_index(const peer_set_t *set)
{
	if (set->callbacks.applied_index == NULL)
		return 0;
	return set->callbacks.applied_index(set->callbacks.arg);
}

static void send_ping(peer_t *peer, uint64_t now_us)
{
	Lp__Ping ping = LP__PING__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	ping.seq = ++peer->ping_seq;
	ping.applied_index = applied_index(peer->set);
	envelope.body_case = LP__ENVELOPE__BODY_PING;
	envelope.ping = &ping;
	peer_conn_send(peer->dialled, &envelope);
	peer_conn_flush(peer->dialled);
	peer->ping_due_us = now_us + peer->set->config.ping_ms * US_PER_MS;
}

static void send_pong(peer_set_t *set, peer_conn_t *conn, uint64_t seq)
{
	Lp__Pong pong = LP__PONG__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	pong.seq = seq;
	pong.applied_index = applied_index(set);
	pong.clock_us = clock_now_us();
	envelope.body_case = LP__ENVELOPE__BODY_PONG;
	envelope.pong = &pong;
	peer_conn_send(conn, &envelope);
	peer_conn_flush(conn);
}

static void schedule_dial(peer_t *peer, uint64_t now_us)
{
	/* Half of the delay is random, so that processes that lost the same peer do not all dial it
	 * at the same moment. */
	uint32_t half = peer->backoff_ms / 2;
	uint32_t delay_ms = half + (uint32_t)g_rand_int_range(peer->set->rand, 0, (gint32)half + 1);

	peer->dial_due_us = now_us + delay_ms * US_PER_MS;
	peer->backoff_ms = MIN(peer->backoff_ms * 2, BACKOFF_MAX_MS);
}

static void close_dialled(peer_t *peer)
{
	if (peer->dialled != NULL) {
		peer_conn_free(peer->dialled);
		peer->info.connections_ended++;
	}
	peer->dialled = NULL;
	peer->verified = false;
}

static void dial_peer(peer_t *peer, uint64_t now_us)
{
	peer_set_t *set = peer->set;

	peer->dialled_us = now_us;
	peer->dialled = peer_conn_dial(set, set->ev, peer->address, set->config.timeout_ms,
				       &dialled_callbacks, &set->counters, peer);
	if (peer->dialled == NULL) {
		schedule_dial(peer, now_us);
		return;
	}
	send_hello(set, peer->dialled, ++peer->dial_count);
}

static void redial_later(peer_t *peer)
{
	close_dialled(peer);
	schedule_dial(peer, clock_now_us());
}

static void on_dialled_closed(peer_conn_t *conn, peer_conn_close_reason_t reason)
{
	peer_t *peer = conn->owner;

	if (reason == PEER_CONN_INVALID_FRAME)
		peer->set->counters.invalid_frames++;
	redial_later(peer);
}

/* Updates the peer's state from its Hello. @return true when the peer is up and its incarnation has
 * changed */
static bool update_peer_info(peer_t *peer, const Lp__Hello *hello)
{
	bool new_incarnation = peer->info.incarnation != hello->incarnation;

	if (strcmp(peer->info.data_centre, hello->data_centre) != 0) {
		talloc_free((char *)peer->info.data_centre);
		peer->info.data_centre = talloc_strdup(peer, hello->data_centre);
	}
	if (strcmp(peer->info.http_address, hello->http_address) != 0) {
		talloc_free((char *)peer->info.http_address);
		peer->info.http_address = talloc_strdup(peer, hello->http_address);
	}
	peer->info.replica_id = hello->replica_id;
	peer->info.incarnation = hello->incarnation;
	peer->info.has_disk = hello->disk;
	return new_incarnation && peer->info.up;
}

static void handle_dialled_hello(peer_t *peer, const Lp__Hello *hello)
{
	peer_set_t *set = peer->set;

	if (strcmp(hello->cluster, set->config.cluster) != 0) {
		set->counters.wrong_cluster++;
		redial_later(peer);
		return;
	}
	/* The process at the configured address is not the expected one. */
	if (hello->node_id != peer->info.node_id) {
		set->counters.duplicate_node++;
		redial_later(peer);
		return;
	}
	peer->verified = true;
	peer->dialled_us = clock_now_us();
	peer_clock_init(&peer->clock);
	peer_clock_add(&peer->clock, hello->clock_us, peer->dialled_us);
	if (update_peer_info(peer, hello))
		report_change(peer);
	send_ping(peer, clock_now_us());
}

static void handle_pong(peer_t *peer, const Lp__Pong *pong)
{
	uint64_t now_us = clock_now_us();

	peer->last_pong_us = now_us;
	peer->info.last_heard_us = now_us;
	peer->info.applied_index = pong->applied_index;
	peer_clock_add(&peer->clock, pong->clock_us, now_us);
	peer->backoff_ms = BACKOFF_MIN_MS;
	if (!peer->info.up) {
		peer->info.up = true;
		report_change(peer);
	}
}

static void on_dialled_frame(peer_conn_t *conn, const Lp__Envelope *envelope)
{
	peer_t *peer = conn->owner;

	if (envelope->body_case == LP__ENVELOPE__BODY_HELLO)
		handle_dialled_hello(peer, envelope->hello);
	else if (envelope->body_case == LP__ENVELOPE__BODY_PONG && peer->verified)
		handle_pong(peer, envelope->pong);
}

static void close_accepted(accepted_t *accepted)
{
	peer_set_t *set = accepted->set;

	if (accepted->peer == NULL) {
		set->pending_count--;
	} else if (accepted->peer->accepted == accepted) {
		accepted->peer->accepted = NULL;
		accepted->peer->info.connections_ended++;
	}
	TAILQ_REMOVE(&set->accepted, accepted, link);
	peer_conn_free(accepted->conn);
	talloc_free(accepted);
}

static void on_accepted_closed(peer_conn_t *conn, peer_conn_close_reason_t reason)
{
	accepted_t *accepted = conn->owner;

	if (reason == PEER_CONN_INVALID_FRAME)
		accepted->set->counters.invalid_frames++;
	close_accepted(accepted);
}

/*
 * True when the connection of the Hello must be refused. Of two processes with the same node id,
 * the one with a live connection is kept and the other one is a duplicate. An older connection of a
 * process must not replace a newer one, because its messages would arrive out of order.
 */
static bool hello_is_duplicate(const peer_set_t *set, const peer_t *peer, const Lp__Hello *hello,
			       uint64_t now_us)
{
	uint64_t timeout_us = set->config.timeout_ms * US_PER_MS;

	if (hello->incarnation == peer->accepted_incarnation)
		return hello->connection <= peer->accepted_connection_number;
	if (hello->incarnation == peer->superseded_incarnation)
		return true;
	return peer->accepted != NULL && now_us - peer->accepted->last_frame_us < timeout_us;
}

/* Finds the sender of a Hello, or adds it if it is unknown. @return the peer, or NULL when the
 * connection must be refused */
static peer_t *peer_for_hello(peer_set_t *set, const Lp__Hello *hello)
{
	peer_t *peer;

	if (strcmp(hello->cluster, set->config.cluster) != 0) {
		set->counters.wrong_cluster++;
		return NULL;
	}
	if (hello->node_id == set->config.node_id || hello->node_id == 0) {
		set->counters.duplicate_node++;
		return NULL;
	}
	peer = find_peer(set, hello->node_id);
	if (peer == NULL)
		peer = add_peer(set, hello->node_id);
	if (peer == NULL) {
		set->counters.refused_over_limit++;
		return NULL;
	}
	if (hello_is_duplicate(set, peer, hello, clock_now_us())) {
		set->counters.duplicate_node++;
		return NULL;
	}
	return peer;
}

static void set_dial_back_address(peer_set_t *set, peer_t *peer)
{
	uint32_t ip = peer->info.node_id;

	if (peer->address != NULL || set->config.dial_back_port == 0)
		return;
	peer->address = talloc_asprintf(peer, "%u.%u.%u.%u:%u", ip >> 24, ip >> 16 & 255,
					ip >> 8 & 255, ip & 255, set->config.dial_back_port);
}

static void handle_accepted_hello(accepted_t *accepted, const Lp__Hello *hello)
{
	peer_set_t *set = accepted->set;
	peer_t *peer = peer_for_hello(set, hello);

	if (peer == NULL) {
		close_accepted(accepted);
		return;
	}
	if (peer->accepted != NULL)
		close_accepted(peer->accepted);
	if (peer->accepted_incarnation != hello->incarnation)
		peer->superseded_incarnation = peer->accepted_incarnation;
	peer->accepted_incarnation = hello->incarnation;
	peer->accepted_connection_number = hello->connection;
	peer->accepted = accepted;
	accepted->peer = peer;
	accepted->conn->decoder.max_bytes = FRAME_MAX_BYTES;
	set->pending_count--;
	set_dial_back_address(set, peer);
	send_hello(set, accepted->conn, 0);
	if (update_peer_info(peer, hello))
		report_change(peer);
}

static void handle_accepted_frame(accepted_t *accepted, const Lp__Envelope *envelope)
{
	peer_set_t *set = accepted->set;
	peer_t *peer = accepted->peer;

	accepted->last_frame_us = clock_now_us();
	if ((peer == NULL) != (envelope->body_case == LP__ENVELOPE__BODY_HELLO)) {
		set->counters.invalid_frames++;
		close_accepted(accepted);
		return;
	}
	if (peer == NULL) {
		handle_accepted_hello(accepted, envelope->hello);
		return;
	}
	peer->info.last_heard_us = accepted->last_frame_us;
	if (envelope->body_case == LP__ENVELOPE__BODY_PING) {
		peer->info.applied_index = envelope->ping->applied_index;
		send_pong(set, accepted->conn, envelope->ping->seq);
	} else if (envelope->body_case != LP__ENVELOPE__BODY__NOT_SET) {
		set->callbacks.message_received(set->callbacks.arg, peer->info.node_id, envelope);
	}
}

static void serve_members_if_due(peer_set_t *set)
{
	if (set->config.has_disk && clock_now_us() - set->members_served_us >= MEMBER_CHECK_US)
		peer_set_serve_members(set);
}

static void on_accepted_frame(peer_conn_t *conn, const Lp__Envelope *envelope)
{
	accepted_t *accepted = conn->owner;
	peer_set_t *set = accepted->set;
	bool is_member = accepted->peer != NULL && accepted->peer->info.has_disk;

	handle_accepted_frame(accepted, envelope);
	if (!is_member)
		serve_members_if_due(set);
}

/* --- members first --- */

typedef struct {
	uint32_t node_id;
	bool dialled;
} member_conn_t;

static peer_conn_t *member_conn(const peer_set_t *set, const member_conn_t *member)
{
	const peer_t *peer = find_peer(set, member->node_id);

	if (peer == NULL)
		return NULL;
	if (member->dialled)
		return peer->dialled;
	return peer->accepted != NULL ? peer->accepted->conn : NULL;
}

static size_t add_member_conn(const peer_set_t *set, const member_conn_t *member,
			      struct pollfd *poll_fd)
{
	const peer_conn_t *conn = member_conn(set, member);

	if (conn == NULL || conn->connecting)
		return 0;
	*poll_fd = (struct pollfd){.fd = conn->fd, .events = POLLIN};
	if (peer_conn_has_queued(conn))
		poll_fd->events |= POLLOUT;
	return 1;
}

static size_t list_member_conns(const peer_set_t *set, member_conn_t *members, struct pollfd *fds)
{
	size_t count = 0;

	for (guint i = 0; i < set->peers->len && count + 2 <= MEMBER_CONNS_MAX; i++) {
		const peer_t *peer = g_ptr_array_index(set->peers, i);

		if (!peer->info.has_disk)
			continue;
		for (unsigned dialled = 0; dialled < 2; dialled++) {
			members[count] = (member_conn_t){peer->info.node_id, dialled != 0};
			count += add_member_conn(set, &members[count], &fds[count]);
		}
	}
	return count;
}

/* Handles a connection that poll() has reported. The handlers of earlier messages may have closed
 * or replaced it, so it is looked up for each use. */
static void serve_member_conn(peer_set_t *set, const member_conn_t *member, short events)
{
	peer_conn_t *conn = member_conn(set, member);

	set->counters.members_served_first++;
	if (conn != NULL && (events & POLLOUT) != 0)
		peer_conn_handle_ready(conn, false, true);
	conn = member_conn(set, member);
	if (conn != NULL && (events & ~POLLOUT) != 0)
		peer_conn_handle_ready(conn, true, false);
}

void peer_set_serve_members(peer_set_t *set)
{
	member_conn_t members[MEMBER_CONNS_MAX];
	struct pollfd fds[MEMBER_CONNS_MAX];
	uint64_t waited_us = clock_now_us() - set->members_served_us;
	bool any_read = false;
	size_t count;

	if (!set->config.has_disk || set->serving_members)
		return;
	set->serving_members = true;
	count = list_member_conns(set, members, fds);
	/* If poll() fails, the event loop still reaches the connections in turn. */
	if (count > 0 && poll(fds, count, 0) > 0) {
		for (size_t i = 0; i < count; i++) {
			any_read |= (fds[i].revents & POLLIN) != 0;
			if (fds[i].revents != 0)
				serve_member_conn(set, &members[i], fds[i].revents);
		}
	}
	set->serving_members = false;
	set->members_served_us = clock_now_us();
	if (any_read && set->callbacks.member_waited != NULL)
		set->callbacks.member_waited(set->callbacks.arg, waited_us);
}

static void on_member_check(void *arg, uint64_t now_us)
{
	serve_members_if_due(arg);
}

static void on_accept(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
		      void *private_data)
{
	peer_set_t *set = private_data;
	int fd;

	while ((fd = accept4(set->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		accepted_t *accepted;

		if (set->pending_count >= ACCEPTED_PENDING_MAX) {
			close(fd);
			continue;
		}
		accepted = talloc_zero(set, accepted_t);
		accepted->set = set;
		accepted->last_frame_us = clock_now_us();
		accepted->conn = peer_conn_accepted(set, ev, fd, set->config.timeout_ms,
						    &accepted_callbacks, &set->counters, accepted);
		/* A stranger cannot make this process hold more than a Hello needs. */
		accepted->conn->decoder.max_bytes = HELLO_MAX_BYTES;
		set->pending_count++;
		TAILQ_INSERT_TAIL(&set->accepted, accepted, link);
	}
}

/* Closes accepted connections on which nothing has arrived for twice the peer timeout. By then, the
 * peer that dialled them has replaced them. */
static void expire_accepted(peer_set_t *set, uint64_t now_us)
{
	uint64_t silence_limit_us = 2 * set->config.timeout_ms * US_PER_MS;
	accepted_t *accepted = TAILQ_FIRST(&set->accepted);

	while (accepted != NULL) {
		accepted_t *next = TAILQ_NEXT(accepted, link);

		if (now_us - accepted->last_frame_us < silence_limit_us) {
			accepted = next;
			continue;
		}
		/* What waits to be read was sent in time; this process is late. */
		if (peer_conn_has_input(accepted->conn))
			accepted->last_frame_us = now_us;
		else
			close_accepted(accepted);
		accepted = next;
	}
}

static bool has_timed_out(const peer_t *peer, uint64_t timeout_us)
{
	return peer->dialled != NULL &&
	       clock_now_us() - MAX(peer->last_pong_us, peer->dialled_us) >= timeout_us;
}

/* True when the dialled connection has made no progress for the peer timeout, although what has
 * arrived on it was handled: a pong may wait there while this process is busy. */
static bool is_silent(peer_t *peer, uint64_t timeout_us)
{
	if (!has_timed_out(peer, timeout_us))
		return false;
	if (peer_conn_has_input(peer->dialled)) {
		if (peer->dialled->connecting)
			peer->dialled_us = clock_now_us();
		peer_conn_handle_ready(peer->dialled, true, false);
	}
	return has_timed_out(peer, timeout_us);
}

static void tick_peer(peer_t *peer)
{
	const peer_config_t *config = &peer->set->config;
	uint64_t timeout_us = config->timeout_ms * US_PER_MS;
	/* A connection is replaced after the timeout. The new one has two ping intervals to answer
	 * before the peer counts as down. */
	uint64_t down_us = timeout_us + 2 * config->ping_ms * US_PER_MS;
	bool silent = is_silent(peer, timeout_us);
	uint64_t now_us = clock_now_us();

	if (silent) {
		peer->set->counters.reconnects++;
		close_dialled(peer);
		peer->dial_due_us = now_us;
	}
	if (peer->info.up && now_us - peer->last_pong_us >= down_us) {
		peer->info.up = false;
		report_change(peer);
	}
	if (peer->dialled == NULL && peer->address != NULL && now_us >= peer->dial_due_us)
		dial_peer(peer, now_us);
	else if (peer->verified && now_us >= peer->ping_due_us)
		send_ping(peer, now_us);
}

static bool should_forget(const peer_t *peer, uint64_t now_us)
{
	uint64_t last_heard_us = MAX(peer->info.last_heard_us, peer->added_us);

	return !peer->permanent && !peer->info.up && peer->accepted == NULL &&
	       now_us - last_heard_us >= peer->set->config.remove_silent_after_ms * US_PER_MS;
}

/* Removes peers that have been silent for remove_silent_after_ms. Otherwise the entries of replaced
 * machines would fill the set until new peers are refused. */
static void forget_silent_peers(peer_set_t *set, uint64_t now_us)
{
	for (guint i = set->peers->len; set->config.remove_silent_after_ms > 0 && i-- > 0;) {
		peer_t *peer = g_ptr_array_index(set->peers, i);

		if (!should_forget(peer, now_us))
			continue;
		close_dialled(peer);
		g_hash_table_remove(set->by_id, GUINT_TO_POINTER(peer->info.node_id));
		g_ptr_array_remove_index_fast(set->peers, i);
		talloc_free(peer);
		set->counters.forgotten++;
		set->limit_logged = false;
	}
}

static void on_tick(void *arg, uint64_t now_us)
{
	peer_set_t *set = arg;

	peer_set_serve_members(set);
	/* The messages have set times after now_us. */
	now_us = clock_now_us();
	expire_accepted(set, now_us);
	for (guint i = 0; i < set->peers->len; i++)
		tick_peer(g_ptr_array_index(set->peers, i));
	forget_silent_peers(set, now_us);
}

static int start_listening(peer_set_t *set)
{
	set->listen_fd = peer_conn_listen(set->config.listen_address);
	if (set->listen_fd < 0)
		return -1;
	set->listen_event =
		tevent_add_fd(set->ev, set, set->listen_fd, TEVENT_FD_READ, on_accept, set);
	return 0;
}

static void copy_config(peer_set_t *set, const peer_config_t *config)
{
	set->config = *config;
	set->config.cluster = talloc_strdup(set, config->cluster);
	set->config.data_centre = talloc_strdup(set, config->data_centre);
	set->config.http_address = talloc_strdup(set, config->http_address);
	set->config.listen_address = talloc_strdup(set, config->listen_address);
	set->config.peers = NULL;
	set->config.peer_count = 0;
}

peer_set_t *peer_set_create(void *parent, struct tevent_context *ev, timer_service_t *timers,
			    const peer_config_t *config, const peer_callbacks_t *callbacks)
{
	peer_set_t *set = talloc_zero(parent, peer_set_t);

	set->ev = ev;
	set->timers = timers;
	set->callbacks = *callbacks;
	TAILQ_INIT(&set->accepted);
	copy_config(set, config);
	if (start_listening(set) < 0) {
		int error = errno;

		talloc_free(set);
		errno = error;
		return NULL;
	}
	set->peers = g_ptr_array_new();
	set->by_id = g_hash_table_new(NULL, NULL);
	set->rand = g_rand_new_with_seed((guint32)config->incarnation);
	for (size_t i = 0; i < config->peer_count; i++)
		peer_set_address(set, &config->peers[i]);
	set->members_served_us = clock_now_us();
	timer_subscribe(timers, &set->tick, TICK_MS * US_PER_MS, on_tick, set);
	timer_subscribe(timers, &set->member_check, MEMBER_CHECK_US, on_member_check, set);
	return set;
}

void peer_set_destroy(peer_set_t *set)
{
	if (set == NULL)
		return;
	timer_unsubscribe(set->timers, &set->tick);
	timer_unsubscribe(set->timers, &set->member_check);
	while (!TAILQ_EMPTY(&set->accepted))
		close_accepted(TAILQ_FIRST(&set->accepted));
	for (guint i = 0; i < set->peers->len; i++)
		close_dialled(g_ptr_array_index(set->peers, i));
	g_hash_table_destroy(set->by_id);
	g_ptr_array_free(set->peers, TRUE);
	TALLOC_FREE(set->listen_event);
	close(set->listen_fd);
	g_rand_free(set->rand);
	talloc_free(set);
}

void peer_set_address(peer_set_t *set, const peer_address_t *address)
{
	peer_t *peer = find_peer(set, address->node_id);

	if (address->node_id == set->config.node_id)
		return;
	if (peer == NULL)
		peer = add_peer(set, address->node_id);
	if (peer == NULL)
		return;
	peer->permanent |= address->permanent;
	if (peer->address != NULL && strcmp(peer->address, address->address) == 0)
		return;
	talloc_free(peer->address);
	peer->address = talloc_strdup(peer, address->address);
	close_dialled(peer);
	peer->dial_due_us = 0;
}

/* True for messages that must not wait while the event loop runs a long pass: those to members, as
 * the leader's lease runs from the time at which a heartbeat was sent, and hints, as an edge
 * process without them stops accepting requests. */
static bool is_urgent(const peer_t *peer, const Lp__Envelope *envelope)
{
	return (peer->set->config.has_disk && peer->info.has_disk) ||
	       envelope->body_case == LP__ENVELOPE__BODY_LEADER_HINT;
}

int peer_send(peer_set_t *set, uint32_t node_id, const Lp__Envelope *envelope)
{
	peer_t *peer = find_peer(set, node_id);

	if (peer == NULL || !peer->verified || peer_conn_send(peer->dialled, envelope) != 0)
		return -1;
	if (is_urgent(peer, envelope))
		peer_conn_flush(peer->dialled);
	return 0;
}

uint64_t peer_clock_reading_us(const peer_set_t *set, uint32_t node_id, uint64_t now_us)
{
	const peer_t *peer = find_peer(set, node_id);

	return peer != NULL ? peer_clock_now_us(&peer->clock, now_us) : 0;
}

const peer_info_t *peer_info(const peer_set_t *set, uint32_t node_id)
{
	const peer_t *peer = find_peer(set, node_id);

	return peer != NULL ? &peer->info : NULL;
}

size_t peer_count(const peer_set_t *set)
{
	return set->peers->len;
}

const peer_info_t *peer_info_at(const peer_set_t *set, size_t i)
{
	const peer_t *peer = g_ptr_array_index(set->peers, (guint)i);

	return &peer->info;
}

const peer_counters_t *peer_counters(const peer_set_t *set)
{
	return &set->counters;
}
