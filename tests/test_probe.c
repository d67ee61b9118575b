#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <tevent.h>

#include "clock.h"
#include "probe.h"

#define TIMEOUT_US (10 * US_PER_S)
/*
 * A silent target that accepts connections is declared lost after this time.
 */
#define REACHABLE_TIMEOUT_S 60
#define TEST_PERIOD_S 70

/**
 * Binds a socket to a free loopback port and writes the address as IP:port to address.
 * @return the socket
 */
static int bind_free_port(char *address, size_t size)
{
	struct sockaddr_in in = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&in, &length), 0);
	g_snprintf(address, size, "127.0.0.1:%u", ntohs(in.sin_port));
	return fd;
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval now,
		     void *private_data)
{
}

static void run_event_loop_for(struct tevent_context *ev, uint64_t duration_us)
{
	uint64_t end_us = clock_now_us() + duration_us;

	while (clock_now_us() < end_us) {
		tevent_add_timer(ev, ev, tevent_timeval_current_ofs(0, 1000), on_timer, NULL);
		tevent_loop_once(ev);
	}
}

static bool wait_for_loss(struct tevent_context *ev, probe_t *probe, const char *address,
			  uint64_t timeout_us)
{
	uint64_t end_us = clock_now_us() + timeout_us;

	while (clock_now_us() < end_us) {
		if (probe_confirms_loss(probe, "vm-1", address, clock_now_us()))
			return true;
		run_event_loop_for(ev, US_PER_MS);
	}
	return false;
}

/*
 * Guards against declaring a live target lost as soon as its announcements are missing, and against
 * a probe that sends data. The target must be kept for 60 s.
 */
static void test_reachable_target_is_kept_for_60_s(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	http_client_t client;
	probe_t *probe;
	char address[32];
	char byte;
	int listener = bind_free_port(address, sizeof(address));
	int connection;
	uint64_t start_us;

	assert_int_equal(listen(listener, 4), 0);
	assert_int_equal(http_client_init(&client, ev, 60), 0);
	probe = probe_create(&client);
	start_us = clock_now_us();
	assert_false(probe_confirms_loss(probe, "vm-1", address, start_us));
	run_event_loop_for(ev, US_PER_S / 2);
	connection = accept(listener, NULL, NULL);
	assert_true(connection >= 0);
	assert_int_equal(recv(connection, &byte, 1, MSG_DONTWAIT), 0);
	assert_false(probe_confirms_loss(probe, "vm-1", address, clock_now_us()));
	for (uint64_t s = 1; s < TEST_PERIOD_S; s++)
		assert_int_equal(
			probe_confirms_loss(probe, "vm-1", address, start_us + s * US_PER_S),
			s > REACHABLE_TIMEOUT_S);
	close(connection);
	close(listener);
	probe_destroy(probe);
	http_client_finish(&client);
	talloc_free(ev);
}

/* Guards against never declaring an unreachable target lost. */
static void test_unreachable_target_is_lost(void **state)
{
	struct tevent_context *ev = tevent_context_init(NULL);
	http_client_t client;
	probe_t *probe;
	char address[32];
	int unused = bind_free_port(address, sizeof(address));

	assert_int_equal(http_client_init(&client, ev, 60), 0);
	probe = probe_create(&client);
	assert_true(wait_for_loss(ev, probe, address, TIMEOUT_US));
	close(unused);
	probe_destroy(probe);
	http_client_finish(&client);
	talloc_free(ev);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reachable_target_is_kept_for_60_s),
		cmocka_unit_test(test_unreachable_target_is_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
