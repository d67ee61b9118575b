#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "peer.h"
#include "peer_conn.h"

#define PING_MS 50
#define TIMEOUT_MS 300
#define FORGET_MS 1000
#define ENTRY_BYTES 1000

typedef struct {
	peer_set_t *set;
	uint64_t received;
	uint64_t last;
	bool out_of_order;
	unsigned changes;
	unsigned downs;
} node_t;

static struct tevent_context *ev;
static timer_service_t timers;

static void on_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	node_t *node = arg;

	assert_int_equal(envelope->body_case, LP__ENVELOPE__BODY_RAFT);
	node->received++;
	if (envelope->raft->append->round <= node->last)
		node->out_of_order = true;
	node->last = envelope->raft->append->round;
}

static void on_change(void *arg, const peer_info_t *info)
{
	node_t *node = arg;

	node->changes++;
	if (!info->up)
		node->downs++;
}

static char *free_address(void)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&in, length), 0);
	getsockname(fd, (struct sockaddr *)&in, &length);
	close(fd);
	return talloc_asprintf(ev, "127.0.0.1:%u", ntohs(in.sin_port));
}

/* @param peer NULL: the process knows none; @param forget_ms as in peer_config_t */
static void start_with(node_t *node, uint32_t id, uint64_t incarnation, const char *cluster,
		       const char *listen, const peer_address_t *peer, uint32_t forget_ms)
{
	peer_callbacks_t callbacks = {.message = on_message, .change = on_change, .arg = node};
	peer_config_t config = {
		.cluster = cluster,
		.node_id = id,
		.replica_id = 1,
		.incarnation = incarnation,
		.data_centre = "muscat-1",
		.http_address = "127.0.0.1:80",
		.listen_address = listen,
		.peers = peer,
		.peer_count = peer != NULL ? 1 : 0,
		.ping_ms = PING_MS,
		.timeout_ms = TIMEOUT_MS,
		.forget_ms = forget_ms,
	};

	*node = (node_t){0};
	node->set = peer_set_create(ev, ev, &timers, &config, &callbacks);
	assert_non_null(node->set);
}

static void start(node_t *node, uint32_t id, uint64_t incarnation, const char *cluster,
		  const char *listen, const char *other)
{
	peer_address_t peer = {.node_id = 3 - id, .address = other};

	start_with(node, id, incarnation, cluster, listen, &peer, 0);
}

static int send_number(node_t *node, uint32_t to, uint64_t number)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__RaftMessage raft = LP__RAFT_MESSAGE__INIT;
	Lp__AppendRequest append = LP__APPEND_REQUEST__INIT;
	Lp__LogEntry entry = LP__LOG_ENTRY__INIT;
	Lp__LogEntry *entries = &entry;
	static uint8_t data[ENTRY_BYTES];

	entry.data.data = data;
	entry.data.len = sizeof(data);
	append.round = number;
	append.n_entries = 1;
	append.entries = &entries;
	raft.body_case = LP__RAFT_MESSAGE__BODY_APPEND;
	raft.append = &append;
	envelope.body_case = LP__ENVELOPE__BODY_RAFT;
	envelope.raft = &raft;
	return peer_send(node->set, to, &envelope);
}

static void run_ms(uint64_t ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	while (clock_now_us() < end_us)
		tevent_loop_once(ev);
}

/* Runs until the peer has the state; fails after 10 s. */
static void await_up(const node_t *node, uint32_t id, bool up)
{
	for (unsigned i = 0; i < 1000 && peer_info(node->set, id)->up != up; i++)
		run_ms(10);
	assert_int_equal(peer_info(node->set, id)->up, up);
}

static int set_up(void **state)
{
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	return 0;
}

static int tear_down(void **state)
{
	timer_service_finish(&timers);
	talloc_free(ev);
	return 0;
}

/* Guards against lost or reordered messages, and an unbounded queue. */
static void test_messages_arrive_in_order(void **state)
{
	char *a = free_address();
	char *b = free_address();
	node_t one;
	node_t two;
	uint64_t sent = 0;

	start(&one, 1, 11, "c", a, b);
	assert_int_equal(send_number(&one, 2, 1), -1);
	start(&two, 2, 22, "c", b, a);
	await_up(&one, 2, true);
	await_up(&two, 1, true);
	assert_string_equal(peer_info(one.set, 2)->data_centre, "muscat-1");
	assert_int_equal(peer_info(one.set, 2)->incarnation, 22);
	while (send_number(&one, 2, sent + 1) == 0)
		sent++;
	assert_in_range(sent * ENTRY_BYTES, PEER_QUEUE_BYTES / 2, PEER_QUEUE_BYTES);
	for (unsigned i = 0; i < 500 && two.received < sent; i++)
		run_ms(10);
	assert_int_equal(two.received, sent);
	assert_false(two.out_of_order);
	peer_set_destroy(one.set);
	peer_set_destroy(two.set);
}

/* Guards against a restarted or dead peer that is not reported. */
static void test_restart_and_death_are_reported(void **state)
{
	char *a = free_address();
	char *b = free_address();
	node_t one;
	node_t two;

	start(&one, 1, 11, "c", a, b);
	start(&two, 2, 22, "c", b, a);
	await_up(&one, 2, true);
	peer_set_destroy(two.set);
	start(&two, 2, 23, "c", b, a);
	for (unsigned i = 0; i < 500 && peer_info(one.set, 2)->incarnation != 23; i++)
		run_ms(10);
	await_up(&one, 2, true);
	assert_int_equal(peer_info(one.set, 2)->incarnation, 23);
	assert_true(one.changes >= 2);
	peer_set_destroy(two.set);
	await_up(&one, 2, false);
	peer_set_destroy(one.set);
}

/* Guards against a process of another cluster, or a second one with the same id, being heard. */
static void test_strangers_are_refused(void **state)
{
	char *a = free_address();
	char *b = free_address();
	char *c = free_address();
	node_t one;
	node_t two;
	node_t twin;

	start(&one, 1, 11, "c", a, b);
	start(&two, 2, 22, "other", b, a);
	run_ms(300);
	assert_false(peer_info(one.set, 2)->up);
	assert_true(peer_counters(one.set)->wrong_cluster > 0);
	peer_set_destroy(two.set);
	start(&two, 2, 22, "c", b, a);
	await_up(&one, 2, true);
	await_up(&two, 1, true);
	start(&twin, 2, 33, "c", c, a);
	run_ms(500);
	assert_true(peer_counters(one.set)->duplicate_node > 0);
	assert_false(peer_info(twin.set, 1)->up);
	assert_true(peer_info(two.set, 1)->up);
	assert_int_equal(peer_info(one.set, 2)->incarnation, 22);
	peer_set_destroy(one.set);
	peer_set_destroy(two.set);
	peer_set_destroy(twin.set);
}

/* A relay that stops forwarding on the connections it has, but takes new ones. */
typedef struct {
	int listen_fd;
	int from[16];
	int to[16];
	unsigned count;
	unsigned silent; /* connections below this number are silent */
	const char *target;
} relay_t;

static int connect_to(const char *address)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	in.sin_port = htons((uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10));
	assert_int_equal(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	return fd;
}

static void copy(int from, int to)
{
	char data[4096];
	ssize_t n = recv(from, data, sizeof(data), MSG_DONTWAIT);

	if (n > 0)
		send(to, data, (size_t)n, MSG_NOSIGNAL);
}

static void relay_tick(void *arg, uint64_t now_us)
{
	relay_t *relay = arg;
	int fd = accept4(relay->listen_fd, NULL, NULL, SOCK_NONBLOCK);

	if (fd >= 0 && relay->count < 16) {
		relay->from[relay->count] = fd;
		relay->to[relay->count++] = connect_to(relay->target);
	}
	for (unsigned i = relay->silent; i < relay->count; i++) {
		copy(relay->from[i], relay->to[i]);
		copy(relay->to[i], relay->from[i]);
	}
}

/* Guards against a silent connection for ever, and against reporting the peer down first. */
static void test_silent_connection_is_replaced(void **state)
{
	char *a = free_address();
	char *b = free_address();
	char *between = free_address();
	relay_t relay = {.listen_fd = peer_conn_listen(between), .target = b};
	timer_sub_t sub;
	node_t one;
	node_t two;

	timer_subscribe(&timers, &sub, 10 * US_PER_MS, relay_tick, &relay);
	start(&one, 1, 11, "c", a, between);
	start(&two, 2, 22, "c", b, a);
	await_up(&one, 2, true);
	relay.silent = relay.count;
	run_ms(4ULL * TIMEOUT_MS);
	assert_true(peer_info(one.set, 2)->up);
	assert_int_equal(one.downs, 0);
	assert_int_equal(peer_counters(one.set)->reconnects, 1);
	assert_int_equal(send_number(&one, 2, 1), 0);
	run_ms(200);
	assert_int_equal(two.received, 1);
	timer_unsubscribe(&timers, &sub);
	peer_set_destroy(one.set);
	peer_set_destroy(two.set);
	close(relay.listen_fd);
	for (unsigned i = 0; i < relay.count; i++) {
		close(relay.from[i]);
		close(relay.to[i]);
	}
}

/* Guards against garbage that is not counted or that closes other connections. */
static void test_garbage_closes_the_connection(void **state)
{
	char *a = free_address();
	node_t one;
	char byte;
	int fd;

	start(&one, 1, 11, "c", a, a);
	fd = connect_to(a);
	assert_int_equal(send(fd, "GET / HTTP/1.0\r\n\r\n", 18, 0), 18);
	run_ms(100);
	assert_int_equal(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
	assert_int_equal(peer_counters(one.set)->frames_bad, 1);
	/* Its own address as the peer's: it must not talk to itself. */
	assert_true(peer_counters(one.set)->duplicate_node > 0);
	close(fd);
	peer_set_destroy(one.set);
}

/* Guards against processes beyond a fixed number that are never heard (300 machines, of which a
 * process knew 128), and against exchanged machines that fill the set for ever. */
static void test_many_peers_come_and_go(void **state)
{
	enum {
		MANY = 300
	};
	char *a = free_address();
	peer_address_t to_a = {.node_id = 1, .address = a, .permanent = true};
	peer_address_t gone = {.node_id = 2, .address = free_address(), .permanent = true};
	node_t one;
	node_t many[MANY];

	start_with(&one, 1, 1, "c", a, &gone, FORGET_MS);
	for (unsigned i = 0; i < MANY; i++) {
		start_with(&many[i], 1000 + i, 1000 + i, "c", free_address(), &to_a, FORGET_MS);
		run_ms(1);
	}
	for (unsigned i = 0; i < MANY; i++)
		await_up(&many[i], 1, true);
	assert_int_equal(peer_count(one.set), MANY + 1);
	for (unsigned i = 0; i < MANY; i++)
		assert_non_null(peer_info(one.set, 1000 + i));
	for (unsigned i = 1; i < MANY; i++)
		peer_set_destroy(many[i].set);
	for (unsigned i = 0; i < 1000 && peer_count(one.set) > 2; i++)
		run_ms(10);
	assert_int_equal(peer_count(one.set), 2);
	assert_int_equal(peer_counters(one.set)->forgotten, MANY - 1);
	assert_int_equal(peer_counters(one.set)->refused, 0);
	/* One that is connected and one with a permanent address stay. */
	assert_non_null(peer_info(one.set, 1000));
	assert_non_null(peer_info(one.set, 2));
	peer_set_destroy(many[0].set);
	peer_set_destroy(one.set);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_messages_arrive_in_order, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_restart_and_death_are_reported, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_strangers_are_refused, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_silent_connection_is_replaced, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_garbage_closes_the_connection, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_many_peers_come_and_go, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
