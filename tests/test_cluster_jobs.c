#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "lib_cluster.h"

#define WAIT_TIMEOUT_MS 30000
#define TARGETS 6
#define CANCELLED_JOBS 200
/* Required upper bound of the time from submitting an urgent job to its start. */
#define URGENT_START_LIMIT_MS 2400
#define REPORT_LAG_MS 1000
#define VM_CORES 64

static const char template_yaml[] =
	"organisation: barid\n"
	"pools:\n"
	"  - name: backoffice\n"
	"    spare: true\n"
	"    min_vms: 4\n"
	"    keep_vms: 4\n"
	"    classes:\n"
	"      - {name: any, path_prefix: /, deadline_ms: 3000, repeatable: true}\n";

/** A job, and the state that the test waits for. */
typedef struct {
	cluster_t *cluster;
	const char *job;
	const char *state;
} job_state_t;

static void apply_template(cluster_t *cluster)
{
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:i}", "text", template_yaml, "author",
				 "tests", "note", "jobs", "op_id", "first", "expected_revision", 0);
	long status;

	json_decref(cluster_post(cluster, 1, "/v1/templates/apply", body, &status));
	json_decref(body);
	assert_int_equal(status, 200);
}

static bool all_vms_serving(void *arg)
{
	json_t *response = cluster_get(arg, 2, "/v1/vms", NULL);
	unsigned active = 0;
	size_t i;
	json_t *vm;

	json_array_foreach (json_object_get(response, "vms"), i, vm)
		active += strcmp(json_string_value(json_object_get(vm, "phase")), "active") == 0 &&
			  strcmp(json_string_value(json_object_get(vm, "health")), "serving") == 0;
	json_decref(response);
	return active == TARGETS;
}

static int set_up(void **state)
{
	const cluster_config_t config = {
		.nodes = 3,
		.data_centres = 2,
		.voters = 3,
		.targets = TARGETS,
		.service_ms = 5,
	};
	cluster_t *cluster = cluster_create(&config);

	*state = cluster;
	cluster_start(cluster);
	apply_template(cluster);
	return cluster_wait_until(all_vms_serving, cluster, WAIT_TIMEOUT_MS) ? 0 : -1;
}

static int tear_down(void **state)
{
	cluster_destroy(*state);
	return 0;
}

static long submit(cluster_t *cluster, unsigned node, const char *job, const char *kind, int cores,
		   bool urgent)
{
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:b}", "job", job,
				 "organisation", "barid", "pool", "backoffice", "kind", kind,
				 "cores", cores, "mem_mib", 1024, "run_time_ms", 1000, "urgent",
				 urgent, "repeatable", 1);
	long status;

	json_decref(cluster_post(cluster, node, "/v1/jobs", body, &status));
	json_decref(body);
	return status;
}

static json_t *explain(cluster_t *cluster, const char *job)
{
	char *path = g_strdup_printf("/v1/explain?kind=job&id=%s", job);
	json_t *response = cluster_get(cluster, 1, path, NULL);

	g_free(path);
	return response;
}

static bool job_in_state(void *arg)
{
	const job_state_t *expected = arg;
	json_t *response = explain(expected->cluster, expected->job);
	const char *state = json_string_value(json_object_get(response, "state"));
	bool reached = state != NULL && strcmp(state, expected->state) == 0;

	json_decref(response);
	return reached;
}

static bool wait_for_job_state(cluster_t *cluster, const char *job, const char *state,
			       unsigned timeout_ms)
{
	job_state_t expected = {.cluster = cluster, .job = job, .state = state};

	return cluster_wait_until(job_in_state, &expected, timeout_ms);
}

/* Guards against a job that is lost on its way from submission to its result, and a resent
 * submission that is rejected. */
static void test_job_runs_to_completion(void **state)
{
	cluster_t *cluster = *state;

	assert_int_equal(submit(cluster, 1, "job-1", "ok", 4, false), 200);
	assert_int_equal(submit(cluster, 3, "job-1", "ok", 4, false), 200);
	assert_true(wait_for_job_state(cluster, "job-1", "done", WAIT_TIMEOUT_MS));
}

/* Guards against a job too large for any VM that queues forever instead of being rejected. */
static void test_oversize_job_is_rejected_with_reason(void **state)
{
	cluster_t *cluster = *state;
	json_t *response;

	assert_int_equal(submit(cluster, 2, "giant", "ok", 100000, false), 200);
	assert_true(wait_for_job_state(cluster, "giant", "rejected", WAIT_TIMEOUT_MS));
	response = explain(cluster, "giant");
	assert_true(strlen(json_string_value(json_object_get(response, "why"))) > 0);
	json_decref(response);
}

/** Submits an urgent job and waits until it is reported as running. @return duration in ms */
static unsigned measure_start_ms(cluster_t *cluster, const char *job, int cores)
{
	job_state_t expected = {.cluster = cluster, .job = job, .state = "running"};
	gint64 submitted_us = g_get_monotonic_time();

	assert_int_equal(submit(cluster, 2, job, "slow-x10", cores, true), 200);
	assert_true(cluster_wait_until(job_in_state, &expected, WAIT_TIMEOUT_MS));
	return (unsigned)((g_get_monotonic_time() - submitted_us) / 1000);
}

/* Guards against urgent jobs that start late. A start is reported with the VM's next announcement,
 * up to 1 s later. */
static void test_urgent_job_starts_in_time(void **state)
{
	unsigned start_ms = measure_start_ms(*state, "urgent-1", 4);

	print_message("urgent job reported running after %u ms\n", start_ms);
	assert_true(start_ms < URGENT_START_LIMIT_MS + REPORT_LAG_MS);
}

/* Guards against an urgent job that waits until jobs of lower priority finish instead of preempting
 * them, and against preempted jobs that never finish. */
static void test_urgent_job_preempts_lower_ones(void **state)
{
	cluster_t *cluster = *state;
	unsigned start_ms;

	for (unsigned i = 0; i < TARGETS; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "lower-%u", i);
		assert_int_equal(submit(cluster, 1, id, "slow-x10-lower", VM_CORES, false), 200);
	}
	assert_true(wait_for_job_state(cluster, "lower-5", "running", WAIT_TIMEOUT_MS));
	start_ms = measure_start_ms(cluster, "urgent-2", VM_CORES / 2);
	print_message("urgent job on full workers reported running after %u ms\n", start_ms);
	assert_true(start_ms < URGENT_START_LIMIT_MS + REPORT_LAG_MS);
	for (unsigned i = 0; i < TARGETS; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "lower-%u", i);
		assert_true(wait_for_job_state(cluster, id, "done", 2 * WAIT_TIMEOUT_MS));
	}
}

/* When many jobs are cancelled with one request, all of them must be cancelled. */
static void test_many_jobs_are_cancelled(void **state)
{
	cluster_t *cluster = *state;
	json_t *ids = json_array();
	json_t *body;
	json_t *response;
	long status;

	for (unsigned i = 0; i < CANCELLED_JOBS; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "wave-%u", i);
		assert_int_equal(submit(cluster, 1 + i % 3, id, "slow-x10", 32, false), 200);
		json_array_append_new(ids, json_string(id));
	}
	body = json_pack("{s:O, s:s}", "jobs", ids, "reason", "order withdrawn");
	json_decref(cluster_post(cluster, 2, "/v1/jobs/cancel", body, &status));
	json_decref(body);
	json_decref(ids);
	assert_int_equal(status, 200);
	response = cluster_get(cluster, 2, "/v1/jobs?state=cancelled", NULL);
	assert_int_equal(json_array_size(json_object_get(response, "jobs")), CANCELLED_JOBS);
	json_decref(response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_runs_to_completion),
		cmocka_unit_test(test_oversize_job_is_rejected_with_reason),
		cmocka_unit_test(test_urgent_job_starts_in_time),
		cmocka_unit_test(test_urgent_job_preempts_lower_ones),
		cmocka_unit_test(test_many_jobs_are_cancelled),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
