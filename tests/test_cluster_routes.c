/*
 * Plays configurations that add and remove queues below others, against the real programs on
 * loopback addresses, and checks what clients are told about jobs. No VMs are there, so that jobs
 * stay queued.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <glib.h>

#include "lib_cluster.h"
#include "lib_roles.h"

#define MEMORY_MIB 256
/* A count of waiting jobs is up to 2 s old. */
#define PENDING_AGE_US 2100000

static const roles_queue_t outer = {.prefix = "/q/", .service = "svc"};
static const roles_queue_t inner = {.prefix = "/q/in/", .service = "other"};
static roles_t roles;

static int start_roles(void **state)
{
	const roles_config_t config = {.core_memory_mib = MEMORY_MIB,
				       .edge_memory_mib = MEMORY_MIB};

	return roles_start(&roles, &config);
}

static int stop_roles(void **state)
{
	return roles_stop(&roles);
}

static void configure_both(void)
{
	const roles_queue_t queues[] = {outer, inner};

	roles_configure(&roles, queues, 2);
}

static long submit(const char *path)
{
	json_t *job = json_pack("{s:s, s:[{s:i, s:i, s:i, s:i}]}", "spec", "x", "steps", "count", 4,
				"cpu", 1000, "memMb", 100, "estimateMs", 500);
	long status = 0;

	json_decref(cluster_http("POST", roles.edge.url, path, job, &status));
	json_decref(job);
	return status;
}

static long call(const char *method, const char *path)
{
	long status = 0;

	json_decref(cluster_http(method, roles.edge.url, path, NULL, &status));
	return status;
}

static int waiting_jobs(const char *prefix)
{
	json_t *reply;
	long status = 0;
	int count;

	g_usleep(PENDING_AGE_US);
	reply = cluster_http("GET", roles.edge.url, prefix, NULL, &status);
	assert_int_equal(status, 200);
	count = (int)json_integer_value(json_object_get(reply, "pending"));
	json_decref(reply);
	return count;
}

/* Guards against a job of a removed queue that is accepted a second time by the queue above it,
 * with a part of the path as its id, and runs again on VMs of another service. */
static void test_queue_above_a_removed_one_takes_no_job_of_it(void **state)
{
	configure_both();
	assert_int_equal(submit("/q/in/5a3e7a21d94b36f8"), 200);
	roles_configure(&roles, &outer, 1);
	assert_int_equal(submit("/q/in/5a3e7a21d94b36f8"), 200);
	assert_int_equal(submit("/q/in/5a3e7a21d94b36f9"), 404);
	assert_int_equal(call("GET", "/q/in/"), 404);
	assert_int_equal(waiting_jobs("/q/"), 0);
	assert_int_equal(submit("/q/5a3e7a21d94b36fa"), 200);
	assert_int_equal(waiting_jobs("/q/"), 1);
}

static void assert_state(const char *path, const char *expected)
{
	long status = 0;
	json_t *reply = cluster_http("GET", roles.edge.url, path, NULL, &status);

	assert_int_equal(status, 200);
	assert_string_equal(json_string_value(json_object_get(reply, "state")), expected);
	json_decref(reply);
}

/* Guards against an accepted job that can be neither read nor cancelled, and works on for good,
 * because its queue was removed, replaced by one above it or below it, or moved. */
static void test_job_outlives_its_queue(void **state)
{
	const roles_queue_t moved = {.prefix = "/q/in/", .service = "third"};
	const roles_queue_t elsewhere = {.prefix = "/e/", .service = "svc"};
	const roles_queue_t below = {.prefix = "/q/in/5a", .service = "third"};
	const struct {
		roles_queue_t queues[2];
		unsigned count;
	} cases[] = {
		{{elsewhere}, 1},
		{{outer}, 1},
		{{outer, moved}, 2},
		{{inner, below}, 2},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf("/q/in/5a3e7a21d94b36f%u", i);

		configure_both();
		assert_int_equal(submit(path), 200);
		roles_configure(&roles, cases[i].queues, cases[i].count);
		assert_state(path, "queued");
		assert_int_equal(submit(path), 200);
		assert_int_equal(call("DELETE", path), 200);
		assert_state(path, "canceled");
		assert_int_equal(call("DELETE", path), 200);
		assert_int_equal(submit(path), 200);
		assert_state(path, "canceled");
	}
	configure_both();
	assert_int_equal(call("GET", "/q/in/5a3e7a21d94b36ff"), 410);
	roles_configure(&roles, &outer, 1);
	assert_int_equal(call("GET", "/q/in/5a3e7a21d94b36ff"), 404);
	assert_int_equal(call("DELETE", "/q/in/5a3e7a21d94b36ff"), 404);
}

/* Guards against text that cannot be the id of a job, and is accepted as one. */
static void test_other_text_is_no_job_id(void **state)
{
	static const char *const paths[] = {
		"/q/5a3e7a21d94b36f",  "/q/5a3e7a21d94b36f80",	"/q/5a3e7a21d94b36fg",
		"/q/5a3e7a21.94b36f8", "/q//5a3e7a21d94b36f8",	"/q/a/5a3e7a21d94b36f8",
		"/q/%35a3e7a21d94b36", "/q/5a3e7a21d94b36f8/x",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		assert_int_equal(submit(paths[i]), 404);
		assert_int_equal(call("GET", paths[i]), 404);
		assert_int_equal(call("DELETE", paths[i]), 404);
	}
	assert_int_equal(submit("/q/"), 400);
	assert_int_equal(waiting_jobs("/q/"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_queue_above_a_removed_one_takes_no_job_of_it,
						start_roles, stop_roles),
		cmocka_unit_test_setup_teardown(test_job_outlives_its_queue, start_roles,
						stop_roles),
		cmocka_unit_test_setup_teardown(test_other_text_is_no_job_id, start_roles,
						stop_roles),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
