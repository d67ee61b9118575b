/*
 * Plays crowds of clients that send large bodies and mostly do not finish them, against the real
 * programs on loopback addresses. While each crowd stays open, the process must live, its memory
 * and its descriptors must stay under their bounds, and it must answer an ordinary request. No
 * check depends on a time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "lib_cluster.h"
#include "lib_crowd.h"

/* `serve` with its default settings. */
#define SERVE_CLIENTS 200
#define SERVE_BODY_BYTES ((size_t)1024 * 1024)
#define SERVE_MEMORY_MIB 160
/* Machines of the platform roles, smaller than any of the users'. */
#define EDGE_CLIENTS 240
#define EDGE_BODY_BYTES ((size_t)256 * 1024)
#define EDGE_MEMORY_MIB 64
#define CORE_CLIENTS 150
#define CORE_BODY_BYTES ((size_t)700 * 1024)
#define CORE_MEMORY_MIB 96
/* Descriptors that a process needs beside those of the crowd. */
#define OWN_DESCRIPTORS 100
#define CORES 3
#define START_MAX_MS 30000
#define SAMPLE_US 50000
#define STEADY_SAMPLES 16
#define SETTLE_SAMPLES_MAX 400

typedef struct {
	pid_t pid;
	const char *url;
	const char *method;
	const char *path;
	const json_t *body;
	long memory_mib;
} subject_t;

/* Waits until the process has read what the crowd has sent: its memory does not grow any more. */
static void settle(pid_t pid)
{
	long memory_mib = -1;
	unsigned steady = 0;

	for (unsigned i = 0; i < SETTLE_SAMPLES_MAX && steady < STEADY_SAMPLES; i++) {
		long now_mib = crowd_peak_memory_mib(pid);

		steady = now_mib == memory_mib ? steady + 1 : 0;
		memory_mib = now_mib;
		g_usleep(SAMPLE_US);
	}
}

static void play_crowd(const subject_t *subject, const crowd_config_t *config)
{
	crowd_t *crowd = crowd_start(config);
	long status = 0;
	long memory_mib;
	long descriptors;

	settle(subject->pid);
	json_decref(
		cluster_http(subject->method, subject->url, subject->path, subject->body, &status));
	memory_mib = crowd_peak_memory_mib(subject->pid);
	descriptors = crowd_descriptors(subject->pid);
	print_message("%u clients, %s: memory %ld MiB, %ld descriptors, status %ld\n",
		      config->clients, crowd_kind_name(config->kind), memory_mib, descriptors,
		      status);
	assert_true(memory_mib > 0);
	assert_true(memory_mib <= subject->memory_mib);
	assert_true(descriptors <= (long)config->clients + OWN_DESCRIPTORS);
	assert_int_equal(status, 200);
	crowd_finish(crowd);
	assert_int_equal(waitpid(subject->pid, NULL, WNOHANG), 0);
}

/* Guards against memory of `serve` that follows what clients send without a bound. */
static void test_serve_bears_a_crowd(void **state)
{
	const cluster_config_t config = {.nodes = 1, .data_centres = 1, .voters = 1, .targets = 2};
	cluster_t *cluster = cluster_create(&config);
	subject_t subject = {.method = "GET", .path = "/healthz", .memory_mib = SERVE_MEMORY_MIB};
	crowd_config_t crowd = {.ip = "127.0.0.1",
				.method = "POST",
				.path = "/r/barid/backoffice/x",
				.kind = *(const crowd_kind_t *)*state,
				.clients = SERVE_CLIENTS,
				.body_bytes = SERVE_BODY_BYTES};

	cluster_start(cluster);
	subject.pid = cluster->nodes[0].pid;
	subject.url = cluster_url(cluster, 1);
	crowd.port = cluster->nodes[0].http_port;
	play_crowd(&subject, &crowd);
	cluster_destroy(cluster);
}

/* --- platform roles --- */

typedef struct {
	pid_t pid;
	char ip[32];
	char *settings;
	char *data_dir;
	char *url;
} role_process_t;

static char dir[64];
static unsigned network;
static unsigned port_base;
static role_process_t cores[CORES];
static role_process_t edge;

static void write_settings(const role_process_t *process, bool core)
{
	g_autofree char *text = g_strdup_printf(
		"nodeName=%s\nip=%s\nzone=z\nportRange=%u,%u\nseeds=127.%u.1.1:%u,127.%u.1.2:%u,"
		"127.%u.1.3:%u\nbootstrap=true\nheartbeatMs=500\nfaultTolerance.machines=1\n"
		"limits.memoryMb=%d\nlimits.maxFds=4096\n",
		process->ip, process->ip, port_base, port_base + 9, network, port_base + 12,
		network, port_base + 12, network, port_base + 12,
		core ? CORE_MEMORY_MIB : EDGE_MEMORY_MIB);
	g_autofree char *role =
		core ? g_strdup_printf("dataDir=%s\nlisten.control=%s:%u\n", process->data_dir,
				       process->ip, port_base + 12)
		     : g_strdup_printf("listen.front=%s:%u\nlisten.ready=%s:%u\n", process->ip,
				       port_base + 10, process->ip, port_base + 11);
	g_autofree char *all = g_strconcat(text, role, NULL);

	assert_true(g_file_set_contents(process->settings, all, -1, NULL));
}

static void start_role(role_process_t *process, const char *role)
{
	const char *build = getenv("LAVENDERPASS_BUILD");
	g_autofree char *program =
		g_strdup_printf("%s/lavenderpass", build != NULL ? build : "build/release");
	g_autofree char *log = g_strconcat(process->settings, ".log", NULL);

	process->pid = fork();
	assert_true(process->pid >= 0);
	if (process->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("LAVENDERPASS_SETTINGS", process->settings, 1);
		execl(program, "lavenderpass", role, (char *)NULL);
		_exit(127);
	}
}

static void init_role(role_process_t *process, bool core, unsigned number)
{
	g_snprintf(process->ip, sizeof(process->ip), "127.%u.%d.%u", network, core ? 1 : 2, number);
	process->settings = g_strdup_printf("%s/%s", dir, process->ip);
	process->data_dir = g_strdup_printf("%s/data-%s", dir, process->ip);
	process->url = g_strdup_printf("http://%s:%u", process->ip, port_base + (core ? 12 : 10));
	write_settings(process, core);
	start_role(process, core ? "core" : "edge");
}

static json_t *make_config(void)
{
	return json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f}], s:[{s:s, s:b, s:b}]}",
			 "version", 1, "routes", "name", "q", "host", edge.ip, "prefix", "/q/",
			 "service", "svc", "timeoutMs", 3000, "sloMs", 600, "attempts", 3,
			 "stretch", 1.6, "services", "name", "svc", "admissionCheck", 1, "standby",
			 0);
}

static bool put_config(void *arg)
{
	json_t *config = make_config();
	long status = 0;

	json_decref(cluster_http("PUT", cores[0].url, "/config", config, &status));
	json_decref(config);
	return status == 200;
}

static bool edge_answers(void *arg)
{
	long status = 0;

	json_decref(cluster_http("GET", edge.url, "/q/", NULL, &status));
	return status == 200;
}

/* @return the core process that leads */
static const role_process_t *find_leader(void)
{
	for (unsigned i = 0; i < CORES; i++) {
		long status = 0;

		json_decref(cluster_http("GET", cores[i].url, "/config", NULL, &status));
		if (status == 200)
			return &cores[i];
	}
	return NULL;
}

static bool has_leader(void *arg)
{
	return find_leader() != NULL;
}

static int start_roles(void **state)
{
	network = 10 + (unsigned)getpid() % 200;
	port_base = 20000 + (unsigned)(getpid() % 1000) * 20;
	g_snprintf(dir, sizeof(dir), "/tmp/lp-crowd-XXXXXX");
	if (g_mkdtemp(dir) == NULL)
		return -1;
	for (unsigned i = 0; i < CORES; i++)
		init_role(&cores[i], true, i + 1);
	init_role(&edge, false, 1);
	return cluster_wait_until(put_config, NULL, START_MAX_MS) &&
			       cluster_wait_until(edge_answers, NULL, START_MAX_MS) &&
			       cluster_wait_until(has_leader, NULL, START_MAX_MS)
		       ? 0
		       : -1;
}

static void stop_role(role_process_t *process)
{
	kill(process->pid, SIGKILL);
	waitpid(process->pid, NULL, 0);
	g_free(process->settings);
	g_free(process->data_dir);
	g_free(process->url);
}

static int stop_roles(void **state)
{
	g_autofree char *command = g_strdup_printf("rm -rf '%s'", dir);

	for (unsigned i = 0; i < CORES; i++)
		stop_role(&cores[i]);
	stop_role(&edge);
	return system(command) == 0 ? 0 : -1;
}

/* Guards against an edge process that needs more than its machine's memory for what clients send.
 */
static void test_edge_bears_a_crowd(void **state)
{
	const subject_t subject = {.pid = edge.pid,
				   .url = edge.url,
				   .method = "GET",
				   .path = "/q/",
				   .memory_mib = EDGE_MEMORY_MIB};
	crowd_config_t crowd = {.ip = edge.ip,
				.port = (uint16_t)(port_base + 10),
				.method = "POST",
				.path = "/q/0000000000000001",
				.kind = *(const crowd_kind_t *)*state,
				.clients = EDGE_CLIENTS,
				.body_bytes = EDGE_BODY_BYTES};

	play_crowd(&subject, &crowd);
}

/* Guards against the same of a core process, whose control port operators and VMs use. */
static void test_core_bears_a_crowd(void **state)
{
	const role_process_t *leader = find_leader();
	subject_t subject = {.method = "GET", .path = "/config", .memory_mib = CORE_MEMORY_MIB};
	crowd_config_t crowd = {.port = (uint16_t)(port_base + 12),
				.method = "PUT",
				.path = "/config",
				.kind = *(const crowd_kind_t *)*state,
				.clients = CORE_CLIENTS,
				.body_bytes = CORE_BODY_BYTES};

	assert_non_null(leader);
	subject.pid = leader->pid;
	subject.url = leader->url;
	crowd.ip = leader->ip;
	play_crowd(&subject, &crowd);
}

int main(void)
{
	static crowd_kind_t kinds[] = {CROWD_WHOLE, CROWD_PIECES, CROWD_LARGE_CHUNKS,
				       CROWD_SMALL_CHUNKS};
	struct CMUnitTest tests[3 * CROWD_KINDS];

	for (unsigned i = 0; i < CROWD_KINDS; i++) {
		tests[3 * i] = (struct CMUnitTest)cmocka_unit_test_prestate(
			test_serve_bears_a_crowd, &kinds[i]);
		tests[3 * i + 1] = (struct CMUnitTest)cmocka_unit_test_prestate_setup_teardown(
			test_edge_bears_a_crowd, start_roles, stop_roles, &kinds[i]);
		tests[3 * i + 2] = (struct CMUnitTest)cmocka_unit_test_prestate_setup_teardown(
			test_core_bears_a_crowd, start_roles, stop_roles, &kinds[i]);
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
