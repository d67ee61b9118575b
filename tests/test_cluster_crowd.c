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

#include <sys/wait.h>

#include <glib.h>

#include "lib_cluster.h"
#include "lib_crowd.h"
#include "lib_roles.h"

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

static roles_t roles;

static int start_roles(void **state)
{
	const roles_config_t config = {.core_memory_mib = CORE_MEMORY_MIB,
				       .edge_memory_mib = EDGE_MEMORY_MIB};

	return roles_start(&roles, &config);
}

static int stop_roles(void **state)
{
	return roles_stop(&roles);
}

/* Guards against an edge process that needs more than its machine's memory for what clients send.
 */
static void test_edge_bears_a_crowd(void **state)
{
	const subject_t subject = {.pid = roles.edge.pid,
				   .url = roles.edge.url,
				   .method = "GET",
				   .path = "/q/",
				   .memory_mib = EDGE_MEMORY_MIB};
	crowd_config_t crowd = {.ip = roles.edge.ip,
				.port = roles.front_port,
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
	const role_process_t *leader = roles_find_leader(&roles);
	subject_t subject = {.method = "GET", .path = "/config", .memory_mib = CORE_MEMORY_MIB};
	crowd_config_t crowd = {.port = roles.control_port,
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
