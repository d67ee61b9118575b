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
#include "frame.h"
#include "peer.h"
#include "peer_conn.h"

#define PING_MS 50
#define TIMEOUT_MS 300
#define FORGET_MS 1000
#define ENTRY_BYTES 1000

typedef struct {
	peer_set_t *set;
	uint64_t received_count;
	uint64_t last_number;
	bool out_of_order;
	unsigned change_count;
	unsigned down_count;
} node_t;

static struct tevent_context *ev;
static timer_service_t timers;

static void on_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	node_t *node = arg;

	assert_int_equal(envelope->body_case, LP__ENVELOPE__BODY_RAFT);
	node->received_count++;
	if (envelope->raft->append->round <= node->last_number)
		node->out_of_order = true;
	node->last_number = envelope->raft->append->round;
}

static void on_change(void *arg, const peer_info_t *info)
{
	node_t *node = arg;

	node->change_count++;
	if (!info->up)
		node->down_count++;
}

static char *unused_address(void)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&in, length), 0);
	getsockname(fd, (struct sockaddr *)&in, &length);
	close(fd);
	return talloc_asprintf(ev, "127.0.0.1:%u", ntohs(in.sin_port));
}

/* Starts a process with at most one configured peer. @param peer the peer, or NULL for none */
static void start_node_with_config(node_t *node, uint32_t id, uint64_t incarnation,
				   const char *cluster, const char *listen,
				   const peer_address_t *peer, uint32_t remove_silent_after_ms)
{
	peer_callbacks_t callbacks = {
		.message_received = on_message, .peer_changed = on_change, .arg = node};
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
		.remove_silent_after_ms = remove_silent_after_ms,
	};

	*node = (node_t){0};
	node->set = peer_set_create(ev, ev, &timers, &config, &callbacks);
	assert_non_null(node->set);
}

static void start_node(node_t *node, uint32_t id, uint64_t incarnation, const char *cluster,
		       const char *listen, const char *peer_addr)
{
	peer_address_t peer = {.node_id = 3 - id, .address = peer_addr};

	start_node_with_config(node, id, incarnation, cluster, listen, &peer, 0);
}

static int send_numbered_message(node_t *node, uint32_t to, uint64_t number)
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

static void run_event_loop_ms(uint64_t ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	while (clock_now_us() < end_us)
		tevent_loop_once(ev);
}

/* Runs the event loop until the peer's up state is the given one; fails the test after 10 s. */
static void wait_for_up_state(const node_t *node, uint32_t id, bool up)
{
	for (unsigned i = 0; i < 1000 && peer_info(node->set, id)->up != up; i++)
		run_event_loop_ms(10);
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

/* Guards against lost or reordered messages and against a send queue that grows without limit. */
static void test_messages_arrive_in_order(void **state)
{
	char *addr1 = unused_address();
	char *addr2 = unused_address();
	node_t node1;
	node_t node2;
	uint64_t sent = 0;

	start_node(&node1, 1, 11, "c", addr1, addr2);
	assert_int_equal(send_numbered_message(&node1, 2, 1), -1);
	start_node(&node2, 2, 22, "c", addr2, addr1);
	wait_for_up_state(&node1, 2, true);
	wait_for_up_state(&node2, 1, true);
	assert_string_equal(peer_info(node1.set, 2)->data_centre, "muscat-1");
	assert_int_equal(peer_info(node1.set, 2)->incarnation, 22);
	while (send_numbered_message(&node1, 2, sent + 1) == 0)
		sent++;
	assert_in_range(sent * ENTRY_BYTES, PEER_QUEUE_BYTES / 2, PEER_QUEUE_BYTES);
	for (unsigned i = 0; i < 500 && node2.received_count < sent; i++)
		run_event_loop_ms(10);
	assert_int_equal(node2.received_count, sent);
	assert_false(node2.out_of_order);
	peer_set_destroy(node1.set);
	peer_set_destroy(node2.set);
}

/* Guards against a restart or failure of a peer that is not reported to the callback. */
static void test_restart_and_failure_are_reported(void **state)
{
	char *addr1 = unused_address();
	char *addr2 = unused_address();
	node_t node1;
	node_t node2;

	start_node(&node1, 1, 11, "c", addr1, addr2);
	start_node(&node2, 2, 22, "c", addr2, addr1);
	wait_for_up_state(&node1, 2, true);
	peer_set_destroy(node2.set);
	start_node(&node2, 2, 23, "c", addr2, addr1);
	for (unsigned i = 0; i < 500 && peer_info(node1.set, 2)->incarnation != 23; i++)
		run_event_loop_ms(10);
	wait_for_up_state(&node1, 2, true);
	assert_int_equal(peer_info(node1.set, 2)->incarnation, 23);
	assert_true(node1.change_count >= 2);
	peer_set_destroy(node2.set);
	wait_for_up_state(&node1, 2, false);
	peer_set_destroy(node1.set);
}

/* Guards against accepting a connection with a process of another cluster, or with a second process
 * that has the node id of a connected one. */
static void test_other_cluster_and_duplicate_node_id_are_refused(void **state)
{
	char *addr1 = unused_address();
	char *addr2 = unused_address();
	char *addr3 = unused_address();
	node_t node1;
	node_t node2;
	node_t duplicate;

	start_node(&node1, 1, 11, "c", addr1, addr2);
	start_node(&node2, 2, 22, "other", addr2, addr1);
	run_event_loop_ms(300);
	assert_false(peer_info(node1.set, 2)->up);
	assert_true(peer_counters(node1.set)->wrong_cluster > 0);
	peer_set_destroy(node2.set);
	start_node(&node2, 2, 22, "c", addr2, addr1);
	wait_for_up_state(&node1, 2, true);
	wait_for_up_state(&node2, 1, true);
	start_node(&duplicate, 2, 33, "c", addr3, addr1);
	run_event_loop_ms(500);
	assert_true(peer_counters(node1.set)->duplicate_node > 0);
	assert_false(peer_info(duplicate.set, 1)->up);
	assert_true(peer_info(node2.set, 1)->up);
	assert_int_equal(peer_info(node1.set, 2)->incarnation, 22);
	peer_set_destroy(node1.set);
	peer_set_destroy(node2.set);
	peer_set_destroy(duplicate.set);
}

/* A TCP relay that can stop forwarding on its open connections while it still accepts new ones. */
typedef struct {
	int listen_fd;
	int client_fds[16];
	int target_fds[16];
	unsigned connection_count;
	unsigned first_forwarding; /* index of the first connection that is forwarded; those before
				      it forward nothing */
	const char *target_addr;
} relay_t;

static int connect_to(const char *address)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	in.sin_port = htons((uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10));
	assert_int_equal(connect(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	return fd;
}

static void forward_bytes(int from, int to)
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

	if (fd >= 0 && relay->connection_count < 16) {
		relay->client_fds[relay->connection_count] = fd;
		relay->target_fds[relay->connection_count++] = connect_to(relay->target_addr);
	}
	for (unsigned i = relay->first_forwarding; i < relay->connection_count; i++) {
		forward_bytes(relay->client_fds[i], relay->target_fds[i]);
		forward_bytes(relay->target_fds[i], relay->client_fds[i]);
	}
}

/* Guards against keeping a connection on which nothing arrives any more, and against reporting the
 * peer as down while its connection is replaced. */
static void test_silent_connection_is_replaced(void **state)
{
	char *addr1 = unused_address();
	char *addr2 = unused_address();
	char *relay_addr = unused_address();
	relay_t relay = {.listen_fd = peer_conn_listen(relay_addr), .target_addr = addr2};
	timer_sub_t relay_timer;
	node_t node1;
	node_t node2;

	timer_subscribe(&timers, &relay_timer, 10 * US_PER_MS, relay_tick, &relay);
	start_node(&node1, 1, 11, "c", addr1, relay_addr);
	start_node(&node2, 2, 22, "c", addr2, addr1);
	wait_for_up_state(&node1, 2, true);
	relay.first_forwarding = relay.connection_count;
	run_event_loop_ms(4ULL * TIMEOUT_MS);
	assert_true(peer_info(node1.set, 2)->up);
	assert_int_equal(node1.down_count, 0);
	assert_int_equal(peer_counters(node1.set)->reconnects, 1);
	assert_int_equal(send_numbered_message(&node1, 2, 1), 0);
	run_event_loop_ms(200);
	assert_int_equal(node2.received_count, 1);
	timer_unsubscribe(&timers, &relay_timer);
	peer_set_destroy(node1.set);
	peer_set_destroy(node2.set);
	close(relay.listen_fd);
	for (unsigned i = 0; i < relay.connection_count; i++) {
		close(relay.client_fds[i]);
		close(relay.target_fds[i]);
	}
}

/* Guards against an invalid frame that is not counted or does not close its connection. */
static void test_invalid_frame_closes_the_connection(void **state)
{
	char *addr1 = unused_address();
	node_t node1;
	char byte;
	int fd;

	start_node(&node1, 1, 11, "c", addr1, addr1);
	fd = connect_to(addr1);
	assert_int_equal(send(fd, "GET / HTTP/1.0\r\n\r\n", 18, 0), 18);
	run_event_loop_ms(100);
	assert_int_equal(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
	assert_int_equal(peer_counters(node1.set)->invalid_frames, 1);
	/* The node's only configured peer address is its own address: it must not accept itself as
	 * a peer. */
	assert_true(peer_counters(node1.set)->duplicate_node > 0);
	close(fd);
	peer_set_destroy(node1.set);
}

/* Guards against a peer limit below the size of a fleet (with 300 machines, a process accepted only
 * 128 peers), and against never removing the peers on replaced machines. */
static void test_300_peers_connect_and_are_forgotten(void **state)
{
	enum {
		NODE_COUNT = 300
	};
	char *addr1 = unused_address();
	peer_address_t address_of_node1 = {.node_id = 1, .address = addr1, .permanent = true};
	peer_address_t absent_peer = {.node_id = 2, .address = unused_address(), .permanent = true};
	node_t node1;
	node_t nodes[NODE_COUNT];

	start_node_with_config(&node1, 1, 1, "c", addr1, &absent_peer, FORGET_MS);
	for (unsigned i = 0; i < NODE_COUNT; i++) {
		start_node_with_config(&nodes[i], 1000 + i, 1000 + i, "c", unused_address(),
				       &address_of_node1, FORGET_MS);
		run_event_loop_ms(1);
	}
	for (unsigned i = 0; i < NODE_COUNT; i++)
		wait_for_up_state(&nodes[i], 1, true);
	assert_int_equal(peer_count(node1.set), NODE_COUNT + 1);
	for (unsigned i = 0; i < NODE_COUNT; i++)
		assert_non_null(peer_info(node1.set, 1000 + i));
	for (unsigned i = 1; i < NODE_COUNT; i++)
		peer_set_destroy(nodes[i].set);
	for (unsigned i = 0; i < 1000 && peer_count(node1.set) > 2; i++)
		run_event_loop_ms(10);
	assert_int_equal(peer_count(node1.set), 2);
	assert_int_equal(peer_counters(node1.set)->forgotten, NODE_COUNT - 1);
	assert_int_equal(peer_counters(node1.set)->refused_over_limit, 0);
	/* Only the connected peer and the one with a permanent address must be kept. */
	assert_non_null(peer_info(node1.set, 1000));
	assert_non_null(peer_info(node1.set, 2));
	peer_set_destroy(nodes[0].set);
	peer_set_destroy(node1.set);
}

static void send_raw_hello(int fd, uint32_t id, bool has_disk)
{
	g_autoptr(GByteArray) frame = g_byte_array_new();
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__Hello hello = LP__HELLO__INIT;

	hello.cluster = (char *)"c";
	hello.node_id = id;
	hello.replica_id = 1;
	hello.incarnation = id;
	hello.data_centre = (char *)"muscat-1";
	hello.disk = has_disk;
	hello.connection = 1;
	envelope.body_case = LP__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	frame_append(frame, &envelope);
	assert_int_equal(send(fd, frame->data, frame->len, MSG_NOSIGNAL), frame->len);
}

/* Connects as a peer that the test plays itself. @return its socket */
static int connect_raw_peer(const char *address, uint32_t id, bool has_disk)
{
	int fd = connect_to(address);

	send_raw_hello(fd, id, has_disk);
	return fd;
}

static void send_raw_messages(int fd, unsigned count)
{
	g_autoptr(GByteArray) frames = g_byte_array_new();
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__RaftMessage raft = LP__RAFT_MESSAGE__INIT;

	envelope.body_case = LP__ENVELOPE__BODY_RAFT;
	envelope.raft = &raft;
	while (count-- > 0)
		frame_append(frames, &envelope);
	assert_int_equal(send(fd, frames->data, frames->len, MSG_NOSIGNAL), frames->len);
}

#define MEMBER_ID 7
#define HANDLING_MS 1

static peer_set_t *start_member(const char *listen, const peer_address_t *peer, uint32_t timeout_ms,
				const peer_callbacks_t *callbacks)
{
	peer_config_t config = {
		.cluster = "c",
		.node_id = 1,
		.replica_id = 1,
		.incarnation = 1,
		.data_centre = "muscat-1",
		.http_address = "127.0.0.1:80",
		.has_disk = true,
		.listen_address = listen,
		.peers = peer,
		.peer_count = peer != NULL ? 1 : 0,
		.ping_ms = 60 * 1000,
		.timeout_ms = timeout_ms,
	};
	peer_set_t *set = peer_set_create(ev, ev, &timers, &config, callbacks);

	assert_non_null(set);
	return set;
}

typedef struct {
	unsigned bulk_count;
	unsigned member_count;
	unsigned bulk_before_member; /* messages of the other peers before the member's */
} flood_t;

static void on_flood_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	flood_t *flood = arg;

	if (from == MEMBER_ID) {
		flood->bulk_before_member = flood->bulk_count;
		flood->member_count++;
		return;
	}
	flood->bulk_count++;
	g_usleep(HANDLING_MS * US_PER_MS);
}

/* Guards against a leader that loses its lease of 400 ms because the acknowledgements of the other
 * members wait behind the messages of its edge processes. */
static void test_member_message_does_not_wait_behind_a_flood(void **state)
{
	enum {
		FLOODING_PEERS = 40,
		MESSAGES_PER_PEER = 50,
		LONGEST_WAIT_MS = 100,
	};
	char *addr1 = unused_address();
	flood_t flood = {0};
	peer_callbacks_t callbacks = {.message_received = on_flood_message, .arg = &flood};
	peer_set_t *set = start_member(addr1, NULL, 60 * 1000, &callbacks);
	int fds[FLOODING_PEERS];
	int member_fd;

	for (unsigned i = 0; i < FLOODING_PEERS; i++)
		fds[i] = connect_raw_peer(addr1, 1000 + i, false);
	member_fd = connect_raw_peer(addr1, MEMBER_ID, true);
	for (unsigned i = 0; i < 1000 && peer_count(set) <= FLOODING_PEERS; i++)
		run_event_loop_ms(10);
	assert_int_equal(peer_count(set), FLOODING_PEERS + 1);
	for (unsigned i = 0; i < FLOODING_PEERS; i++)
		send_raw_messages(fds[i], MESSAGES_PER_PEER);
	send_raw_messages(member_fd, 1);
	for (unsigned i = 0; i < 1000 && (flood.member_count == 0 ||
					  flood.bulk_count < FLOODING_PEERS * MESSAGES_PER_PEER);
	     i++)
		run_event_loop_ms(10);
	assert_int_equal(flood.bulk_count, FLOODING_PEERS * MESSAGES_PER_PEER);
	assert_int_equal(flood.member_count, 1);
	print_message("%u messages were handled before the member's\n", flood.bulk_before_member);
	assert_in_range(flood.bulk_before_member, 0, LONGEST_WAIT_MS / HANDLING_MS);
	assert_true(peer_counters(set)->members_served_first > 0);
	peer_set_destroy(set);
	for (unsigned i = 0; i < FLOODING_PEERS; i++)
		close(fds[i]);
	close(member_fd);
}

/* Lets node 1 dial a peer that the test plays itself. @return the peer's socket */
static int accept_raw_peer(node_t *node, int listen_fd, bool has_disk)
{
	char data[4096];
	int fd = -1;

	for (unsigned i = 0; i < 1000 && fd < 0; i++) {
		run_event_loop_ms(10);
		fd = accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK);
	}
	assert_true(fd >= 0);
	send_raw_hello(fd, MEMBER_ID, has_disk);
	for (unsigned i = 0; i < 1000 && peer_info(node->set, MEMBER_ID)->incarnation == 0; i++)
		run_event_loop_ms(10);
	run_event_loop_ms(50);
	while (recv(fd, data, sizeof(data), 0) > 0)
		;
	return fd;
}

/* Guards against a heartbeat that waits for the end of a long pass of its sender, while the lease
 * that it is to extend runs out. */
static void test_message_to_a_member_is_sent_before_the_next_event(void **state)
{
	char *member_addr = unused_address();
	peer_address_t member = {.node_id = MEMBER_ID, .address = member_addr, .permanent = true};
	node_t node1 = {0};
	peer_callbacks_t callbacks = {.message_received = on_message, .arg = &node1};
	int listen_fd = peer_conn_listen(member_addr);
	char data[4096];
	int fd;

	node1.set = start_member(unused_address(), &member, 60 * 1000, &callbacks);
	fd = accept_raw_peer(&node1, listen_fd, true);
	assert_int_equal(send_numbered_message(&node1, MEMBER_ID, 1), 0);
	assert_in_range(recv(fd, data, sizeof(data), 0), ENTRY_BYTES, sizeof(data));
	close(fd);
	close(listen_fd);
	peer_set_destroy(node1.set);
}

static void send_raw_pong(int fd)
{
	g_autoptr(GByteArray) frame = g_byte_array_new();
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__Pong pong = LP__PONG__INIT;

	envelope.body_case = LP__ENVELOPE__BODY_PONG;
	envelope.pong = &pong;
	frame_append(frame, &envelope);
	assert_int_equal(send(fd, frame->data, frame->len, MSG_NOSIGNAL), frame->len);
}

/* Guards against a busy process that drops its peers because it judges their silence before it has
 * read their pongs, and is then busy with connecting to them again. */
static void test_pong_that_has_arrived_keeps_the_connection(void **state)
{
	char *member_addr = unused_address();
	peer_address_t member = {.node_id = MEMBER_ID, .address = member_addr, .permanent = true};
	node_t node1 = {0};
	peer_callbacks_t callbacks = {
		.message_received = on_message, .peer_changed = on_change, .arg = &node1};
	int listen_fd = peer_conn_listen(member_addr);
	int fd;

	node1.set = start_member(unused_address(), &member, TIMEOUT_MS, &callbacks);
	fd = accept_raw_peer(&node1, listen_fd, false);
	send_raw_pong(fd);
	wait_for_up_state(&node1, MEMBER_ID, true);
	send_raw_pong(fd);
	g_usleep(2 * TIMEOUT_MS * US_PER_MS);
	tevent_loop_once(ev);
	assert_int_equal(peer_counters(node1.set)->reconnects, 0);
	assert_true(peer_info(node1.set, MEMBER_ID)->up);
	close(fd);
	close(listen_fd);
	peer_set_destroy(node1.set);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_messages_arrive_in_order, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_restart_and_failure_are_reported, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_other_cluster_and_duplicate_node_id_are_refused, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_member_message_does_not_wait_behind_a_flood,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_message_to_a_member_is_sent_before_the_next_event, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_pong_that_has_arrived_keeps_the_connection,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_silent_connection_is_replaced, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_invalid_frame_closes_the_connection, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_300_peers_connect_and_are_forgotten, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
