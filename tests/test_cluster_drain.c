#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <tevent.h>

#include "clock.h"
#include "peer.h"
#include "process.h"

#define PEER_PORT 7060
#define CLIENT_PORT 7070
#define READINESS_PORT 7071
#define CONTROL_PORT 7072
#define GRACE_MS 6000

static struct tevent_context *ev;
static timer_service_t timers;
static unsigned network; /* second byte of the loopback addresses */
static peer_set_t *leader;
static timer_sub_t hint_timer;
static GString *calls; /* paths of the calls that the leader has received */
static char work_dir[] = "/tmp/lp-drain-XXXXXX";

static uint32_t node_id(unsigned last)
{
	return 127U << 24 | network << 16 | 1U << 8 | last;
}

/* --- a leader that answers nothing --- */

static void on_leader_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	if (envelope->body_case == LP__ENVELOPE__BODY_BATCH_CALL)
		g_string_append_printf(calls, "%s\n", envelope->batch_call->path);
}

static void send_hint(void *arg, uint64_t now_us)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__LeaderHint hint = LP__LEADER_HINT__INIT;

	hint.leader = node_id(2);
	hint.term = 1;
	hint.serving = true;
	envelope.body_case = LP__ENVELOPE__BODY_LEADER_HINT;
	envelope.leader_hint = &hint;
	peer_send(leader, node_id(1), &envelope);
}

static void start_leader(void)
{
	const process_settings_t settings = {
		.node_id = node_id(2), .data_centre = (char *)"z", .peer_port = PEER_PORT};
	const peer_callbacks_t callbacks = {.message_received = on_leader_message};
	char address[32];
	peer_config_t config;

	process_address(settings.node_id, PEER_PORT, address, sizeof(address));
	config = process_peer_config(&settings, 1, address);
	leader = peer_set_create(ev, ev, &timers, &config, &callbacks);
	assert_non_null(leader);
	timer_subscribe(&timers, &hint_timer, 100 * US_PER_MS, send_hint, NULL);
}

/* --- the edge process --- */

static pid_t start_edge(void)
{
	const char *build = getenv("LAVENDERPASS_BUILD");
	g_autofree char *program =
		g_strdup_printf("%s/lavenderpass", build != NULL ? build : "build/release");
	g_autofree char *settings = g_build_filename(work_dir, "settings", NULL);
	g_autofree char *log = g_build_filename(work_dir, "log", NULL);
	g_autofree char *text = g_strdup_printf(
		"nodeName=edge\nip=127.%u.1.1\nzone=z\nportRange=%d,%d\nseeds=127.%u.1.2:%d\n"
		"bootstrap=true\nheartbeatMs=1000\nfaultTolerance.machines=1\nbounds.graceS=%d\n"
		"listen.front=127.%u.1.1:%d\nlisten.ready=127.%u.1.1:%d\n",
		network, PEER_PORT, PEER_PORT + 9, network, CONTROL_PORT, GRACE_MS / 1000, network,
		CLIENT_PORT, network, READINESS_PORT);
	pid_t pid;

	assert_true(g_file_set_contents(settings, text, -1, NULL));
	pid = fork();
	assert_true(pid >= 0);
	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("LAVENDERPASS_SETTINGS", settings, 1);
		execl(program, "lavenderpass", "edge", (char *)NULL);
		_exit(127);
	}
	return pid;
}

static void run_until_us(uint64_t end_us)
{
	while (clock_now_us() < end_us)
		tevent_loop_once(ev);
}

static int connect_to_edge(uint16_t port)
{
	struct sockaddr_in in = {.sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(node_id(1))};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_true(fd >= 0);
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Reads until the process closes the connection, for timeout_ms at most. @return what was read */
static char *read_to_end(int fd, uint64_t timeout_ms)
{
	uint64_t end_us = clock_now_us() + timeout_ms * US_PER_MS;
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t n;

	do {
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len(text, buffer, n);
		else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			run_until_us(clock_now_us() + 5 * US_PER_MS);
		else
			break;
	} while (clock_now_us() < end_us);
	close(fd);
	return g_string_free(text, FALSE);
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL), strlen(text));
}

static void wait_until_ready(void)
{
	for (unsigned i = 0; i < 200; i++) {
		int fd = connect_to_edge(READINESS_PORT);

		run_until_us(clock_now_us() + 50 * US_PER_MS);
		if (fd >= 0) {
			g_autofree char *reply = NULL;

			send_text(fd,
				  "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
			reply = read_to_end(fd, 1000);
			if (g_str_has_prefix(reply, "HTTP/1.1 200"))
				return;
		}
	}
	fail_msg("the edge process is not ready");
}

static void submit(int fd, const char *id)
{
	static const char body[] =
		"{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":64}]}";
	g_autofree char *text = g_strdup_printf(
		"POST /q/%s HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
		"Deadline-Ms: 10000\r\nContent-Length: %zu\r\n\r\n%s",
		id, strlen(body), body);

	send_text(fd, text);
}

static int set_up(void **state)
{
	network = 1 + (unsigned)getpid() % 250;
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	calls = g_string_new(NULL);
	assert_non_null(g_mkdtemp(work_dir));
	start_leader();
	return 0;
}

static int tear_down(void **state)
{
	static const char *const names[] = {"settings", "log"};

	timer_unsubscribe(&timers, &hint_timer);
	peer_set_destroy(leader);
	timer_service_finish(&timers);
	talloc_free(ev);
	g_string_free(calls, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path = g_build_filename(work_dir, names[i], NULL);

		g_unlink(path);
	}
	return g_rmdir(work_dir);
}

/* Guards against requests on open connections that are cut when an edge process ends while the
 * leader does not answer. */
static void test_ending_edge_process_answers_all_requests(void **state)
{
	pid_t pid = start_edge();
	g_autofree char *early_reply = NULL;
	g_autofree char *late_reply = NULL;
	uint64_t term_us;
	int early;
	int late;
	int status = -1;

	wait_until_ready();
	early = connect_to_edge(CLIENT_PORT);
	late = connect_to_edge(CLIENT_PORT);
	assert_true(early >= 0 && late >= 0);
	run_until_us(clock_now_us() + 200 * US_PER_MS);
	term_us = clock_now_us();
	kill(pid, SIGTERM);
	run_until_us(term_us + 2000 * US_PER_MS);
	submit(early, "00000000000000e1");
	run_until_us(term_us + (GRACE_MS - 900) * US_PER_MS);
	submit(late, "00000000000000a2");
	late_reply = read_to_end(late, 300);
	early_reply = read_to_end(early, 1000);
	run_until_us(term_us + GRACE_MS * US_PER_MS);
	if (waitpid(pid, &status, WNOHANG) != pid) {
		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
	assert_int_equal(status, 0);
	assert_true(g_str_has_prefix(late_reply, "HTTP/1.1 503"));
	assert_non_null(strstr(late_reply, "Connection: close"));
	assert_non_null(strstr(late_reply, "Retry-After: "));
	assert_true(g_str_has_suffix(late_reply, "{}"));
	assert_true(g_str_has_prefix(early_reply, "HTTP/1.1 504"));
	assert_true(g_str_has_suffix(early_reply, "{}"));
	assert_string_equal(calls->str, "/q/00000000000000e1\n");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_ending_edge_process_answers_all_requests,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
