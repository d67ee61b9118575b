#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "lib_cluster.h"

#define LIMIT_MS 30000
#define TARGETS 6
#define WAVE 200
/* Urgent work has to start within 2.4 s (section 1.4 of the design page). */
#define URGENT_START_MS 2400
#define REPORT_LAG_MS 1000
#define WORKER_CORES 64

static const char template[] =
	"organisation: barid\n"
	"pools:\n"
	"  - name: backoffice\n"
	"    spare: true\n"
	"    min_vms: 4\n"
	"    keep_vms: 4\n"
	"    classes:\n"
	"      - {name: any, path_prefix: /, deadline_ms: 3000, repeatable: true}\n";

/** A job that is waited for. */
typedef struct {
	cluster_t *cluster;
	const char *job;
	const char *state;
} awaited_t;

static void apply_template(cluster_t *cluster)
{
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:i}", "text", template, "author", "tests",
				 "note", "jobs", "op_id", "first", "expected_revision", 0);
	long status;

	json_decref(cluster_post(cluster, 1, "/v1/templates/apply", body, &status));
	json_decref(body);
	assert_int_equal(status, 200);
}

static bool vms_active(void *arg)
{
	json_t *answer = cluster_get(arg, 2, "/v1/vms", NULL);
	unsigned active = 0;
	size_t i;
	json_t *vm;

	json_array_foreach (json_object_get(answer, "vms"), i, vm)
		active += strcmp(json_string_value(json_object_get(vm, "phase")), "active") == 0 &&
			  strcmp(json_string_value(json_object_get(vm, "health")), "serving") == 0;
	json_decref(answer);
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
	return cluster_wait(vms_active, cluster, LIMIT_MS) ? 0 : -1;
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
	json_t *answer = cluster_get(cluster, 1, path, NULL);

	g_free(path);
	return answer;
}

static bool job_in_state(void *arg)
{
	const awaited_t *awaited = arg;
	json_t *answer = explain(awaited->cluster, awaited->job);
	const char *state = json_string_value(json_object_get(answer, "state"));
	bool reached = state != NULL && strcmp(state, awaited->state) == 0;

	json_decref(answer);
	return reached;
}

static bool wait_for(cluster_t *cluster, const char *job, const char *state, unsigned limit_ms)
{
	awaited_t awaited = {.cluster = cluster, .job = job, .state = state};

	return cluster_wait(job_in_state, &awaited, limit_ms);
}

/* Guards against a job that is lost between submission, placement and its result. */
static void test_job_runs_and_ends(void **state)
{
	cluster_t *cluster = *state;

	assert_int_equal(submit(cluster, 1, "job-1", "ok", 4, false), 200);
	assert_int_equal(submit(cluster, 3, "job-1", "ok", 4, false), 200);
	assert_true(wait_for(cluster, "job-1", "done", LIMIT_MS));
}

/* Guards against a job that can never run waiting for ever instead of being refused. */
static void test_impossible_job_is_refused_with_reason(void **state)
{
	cluster_t *cluster = *state;
	json_t *answer;

	assert_int_equal(submit(cluster, 2, "giant", "ok", 100000, false), 200);
	assert_true(wait_for(cluster, "giant", "rejected", LIMIT_MS));
	answer = explain(cluster, "giant");
	assert_true(strlen(json_string_value(json_object_get(answer, "why"))) > 0);
	json_decref(answer);
}

/** Time from the submission until the job is reported running, in ms. */
static unsigned time_to_start(cluster_t *cluster, const char *job, int cores)
{
	awaited_t awaited = {.cluster = cluster, .job = job, .state = "running"};
	gint64 submitted_us = g_get_monotonic_time();

	assert_int_equal(submit(cluster, 2, job, "slow-x10", cores, true), 200);
	assert_true(cluster_wait(job_in_state, &awaited, LIMIT_MS));
	return (unsigned)((g_get_monotonic_time() - submitted_us) / 1000);
}

/* Guards against urgent work that starts late. The report of a task lags by one announcement (1 s)
 * behind its start. */
static void test_urgent_job_starts_in_time(void **state)
{
	unsigned took_ms = time_to_start(*state, "urgent-1", 4);

	print_message("urgent job reported running after %u ms\n", took_ms);
	assert_true(took_ms < URGENT_START_MS + REPORT_LAG_MS);
}

/* Guards against urgent work that waits for lower work to end instead of taking its place. */
static void test_urgent_job_takes_the_place_of_lower_ones(void **state)
{
	cluster_t *cluster = *state;
	unsigned took_ms;

	for (unsigned i = 0; i < TARGETS; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "lower-%u", i);
		assert_int_equal(submit(cluster, 1, id, "slow-x10-lower", WORKER_CORES, false),
				 200);
	}
	assert_true(wait_for(cluster, "lower-5", "running", LIMIT_MS));
	took_ms = time_to_start(cluster, "urgent-2", WORKER_CORES / 2);
	print_message("urgent job on full workers reported running after %u ms\n", took_ms);
	assert_true(took_ms < URGENT_START_MS + REPORT_LAG_MS);
	for (unsigned i = 0; i < TARGETS; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "lower-%u", i);
		assert_true(wait_for(cluster, id, "done", 2 * LIMIT_MS));
	}
}

/* Guards against cancelled jobs that still start. */
static void test_cancellation_wave(void **state)
{
	cluster_t *cluster = *state;
	json_t *ids = json_array();
	json_t *body;
	json_t *answer;
	long status;

	for (unsigned i = 0; i < WAVE; i++) {
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
	answer = cluster_get(cluster, 2, "/v1/jobs?state=cancelled", NULL);
	assert_int_equal(json_array_size(json_object_get(answer, "jobs")), WAVE);
	json_decref(answer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_runs_and_ends),
		cmocka_unit_test(test_impossible_job_is_refused_with_reason),
		cmocka_unit_test(test_urgent_job_starts_in_time),
		cmocka_unit_test(test_urgent_job_takes_the_place_of_lower_ones),
		cmocka_unit_test(test_cancellation_wave),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
