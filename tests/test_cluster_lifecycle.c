#include <setjmp.h>
#include <signal.h>
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
#define SLOW_REQUESTS 4
/* Time in which a target sends two announcements, which are 1 s apart: the response to the first
 * tells it its new epoch, and the second echoes that epoch. */
#define ECHO_WAIT_US 2500000

#define TEMPLATE                                                                           \
	"organisation: barid\n"                                                            \
	"pools:\n"                                                                         \
	"  - name: backoffice\n"                                                           \
	"    spare: true\n"                                                                \
	"    min_vms: 4\n"                                                                 \
	"    max_vms: 9\n"                                                                 \
	"    keep_vms: 4\n"                                                                \
	"    classes:\n"                                                                   \
	"      - {name: once, path_prefix: /once, deadline_ms: 3000, repeatable: false}\n" \
	"      - {name: any, path_prefix: /, deadline_ms: 3000, repeatable: true}\n"
#define MAINTENANCE             \
	"maintenance:\n"        \
	"  image: next\n"       \
	"  probation_ms: 500\n" \
	"  drain_timeout_ms: 10000\n"

static int set_up(void **state)
{
	const cluster_config_t config = {
		.nodes = 3,
		.data_centres = 2,
		.voters = 3,
		.use_relay = true,
		.targets = TARGETS,
		.service_ms = 5,
		/* The planner starts lost_ms after an election; low values shorten the test. */
		.timing = "  routing_lease_ms: 2000\n  lost_ms: 3000",
	};
	cluster_t *cluster = cluster_create(&config);

	*state = cluster;
	cluster_start(cluster);
	return 0;
}

static int tear_down(void **state)
{
	cluster_destroy(*state);
	return 0;
}

/* Whether all VMs are active and have the given image. */
static bool all_vms_active(void *arg, const char *image)
{
	json_t *response = cluster_get(arg, 3, "/v1/vms", NULL);
	unsigned active = 0;
	size_t i;
	json_t *vm;

	json_array_foreach (json_object_get(response, "vms"), i, vm)
		active += strcmp(json_string_value(json_object_get(vm, "phase")), "active") == 0 &&
			  strcmp(json_string_value(json_object_get(vm, "image")), image) == 0;
	json_decref(response);
	return active == TARGETS;
}

static bool vms_have_base_image(void *arg)
{
	return all_vms_active(arg, "base");
}

static bool vms_have_next_image(void *arg)
{
	return all_vms_active(arg, "next");
}

static void apply_template(cluster_t *cluster, const char *yaml)
{
	char *template_file = cluster_path(cluster, "barid.yaml");
	const char *const args[] = {"template", "apply",    template_file,	     "--note",
				    "first",	"--server", cluster_url(cluster, 2), NULL};
	char *output = NULL;

	assert_true(g_file_set_contents(template_file, yaml, -1, NULL));
	if (cluster_run_cli(cluster, args, &output) != 0)
		fail_msg("apply: %s", output);
	g_free(output);
	g_free(template_file);
}

/* Applies the template and waits until requests can be sent to all VMs. */
static void start_serving(cluster_t *cluster)
{
	apply_template(cluster, TEMPLATE);
	assert_true(cluster_wait_until(vms_have_base_image, cluster, WAIT_TIMEOUT_MS));
	g_usleep(ECHO_WAIT_US);
}

static json_int_t get_count(const json_t *summary, const char *class, const char *key)
{
	const json_t *classes = json_object_get(summary, "classes");

	return json_integer_value(json_object_get(json_object_get(classes, class), key));
}

static const char *get_text(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text == NULL ? "" : text;
}

/* Counts the executions of each request in the emulator's journal.
 * @return object that maps a request id, the last part of the path, to a number (new reference) */
static json_t *count_executions(const cluster_t *cluster)
{
	json_t *journal = cluster_read_journal(cluster->emulator_journal);
	json_t *executions = json_object();
	size_t i;
	json_t *line;

	json_array_foreach (journal, i, line) {
		const char *slash = strrchr(get_text(line, "path"), '/');
		json_int_t before;

		if (strcmp(get_text(line, "event"), "start") != 0 || slash == NULL)
			continue;
		before = json_integer_value(json_object_get(executions, slash + 1));
		json_object_set_new(executions, slash + 1, json_integer(before + 1));
	}
	json_decref(journal);
	return executions;
}

/* Checks that no idempotency key ran twice, and that every outcome ran or not-run is true. */
static void check_outcomes(const cluster_t *cluster)
{
	char *load_journal = cluster_path(cluster, "load.journal");
	json_t *executions = count_executions(cluster);
	json_t *journal = cluster_read_journal(load_journal);
	size_t i;
	json_t *line;

	json_array_foreach (journal, i, line) {
		const char *id = get_text(line, "id");
		const char *outcome = get_text(line, "outcome");
		json_int_t runs = json_integer_value(json_object_get(executions, id));

		if (get_text(line, "key")[0] != '\0' && runs > 1)
			fail_msg("%s ran %lld times", id, (long long)runs);
		if (strcmp(outcome, "ran") == 0 && runs == 0)
			fail_msg("%s has outcome ran, but did not run", id);
		if (strcmp(outcome, "not-run") == 0 && runs != 0 &&
		    json_integer_value(json_object_get(line, "attempt")) == 1)
			fail_msg("%s has outcome not-run, but ran", id);
	}
	json_decref(journal);
	json_decref(executions);
	g_free(load_journal);
}

/* Guards against a cluster that does not form, does not serve requests, or fails when one process
 * is killed or stopped and started again. */
static void test_cluster_serves_while_processes_restart(void **state)
{
	static const char *const args[] = {"--class",	"any:/r/barid/backoffice/x:50:repeatable",
					   "--class",	"once:/r/barid/backoffice/once:50:once",
					   "--seconds", "8",
					   "--seed",	"11",
					   NULL};
	cluster_t *cluster = *state;
	json_t *summary;
	pid_t load;

	start_serving(cluster);
	load = cluster_load_start(cluster, "load", args);
	g_usleep(2000000);
	cluster_kill_node(cluster, 1);
	cluster_start_node(cluster, 1);
	g_usleep(2000000);
	cluster_signal_node(cluster, 2, SIGTERM);
	assert_int_equal(cluster_wait_node_exit(cluster, 2, WAIT_TIMEOUT_MS), 0);
	cluster_start_node(cluster, 2);
	summary = cluster_load_wait(cluster, "load", load, 60000);
	assert_int_equal(get_count(summary, "any", "other_body"), 0);
	assert_int_equal(get_count(summary, "once", "other_body"), 0);
	check_outcomes(cluster);
	assert_true(get_count(summary, "any", "ran") > get_count(summary, "any", "invoked") / 2);
	assert_true(get_count(summary, "once", "ran") > get_count(summary, "once", "invoked") / 2);
	json_decref(summary);
}

/* Prints the lines of the load tool's journal whose outcome is not ran, at most 40. They show which
 * process responded, when, and what, so that an intermittent failure can be traced. */
static void print_unserved(const cluster_t *cluster)
{
	const unsigned max_lines = 40;
	char *load_journal = cluster_path(cluster, "load.journal");
	json_t *journal = cluster_read_journal(load_journal);
	unsigned printed = 0;
	size_t i;
	json_t *line;

	json_array_foreach (journal, i, line) {
		const char *outcome = get_text(line, "outcome");
		char *text;

		if (outcome[0] == '\0' || strcmp(outcome, "ran") == 0 || printed++ >= max_lines)
			continue;
		text = json_dumps(line, JSON_COMPACT);
		print_message("%s\n", text);
		free(text);
	}
	json_decref(journal);
	g_free(load_journal);
}

/* Guards against a maintenance wave that does not finish, or interrupts or refuses requests. */
static void test_wave_under_load(void **state)
{
	static const char *const args[] = {"--class",	"any:/r/barid/backoffice/x:50:repeatable",
					   "--class",	"once:/r/barid/backoffice/once:50:once",
					   "--seconds", "40",
					   "--seed",	"12",
					   NULL};
	cluster_t *cluster = *state;
	json_t *summary;
	pid_t load;

	start_serving(cluster);
	load = cluster_load_start(cluster, "load", args);
	apply_template(cluster, TEMPLATE MAINTENANCE);
	assert_true(cluster_wait_until(vms_have_next_image, cluster, 4 * WAIT_TIMEOUT_MS));
	summary = cluster_load_wait(cluster, "load", load, 60000);
	if (get_count(summary, "any", "ran") != get_count(summary, "any", "invoked") ||
	    get_count(summary, "once", "ran") != get_count(summary, "once", "invoked"))
		print_unserved(cluster);
	assert_int_equal(get_count(summary, "any", "unknown"), 0);
	assert_int_equal(get_count(summary, "once", "unknown"), 0);
	assert_int_equal(get_count(summary, "any", "ran"), get_count(summary, "any", "invoked"));
	assert_int_equal(get_count(summary, "once", "ran"), get_count(summary, "once", "invoked"));
	check_outcomes(cluster);
	json_decref(summary);
}

/* Guards against a layer that resends a request that may have run, such as the HTTP library when a
 * reused connection closes before the response. */
static void test_lost_responses_run_once(void **state)
{
	static const char *const args[] = {"--class",	"once:/r/barid/backoffice/once:50:once",
					   "--seconds", "6",
					   "--seed",	"13",
					   NULL};
	cluster_t *cluster = *state;
	json_t *summary;
	pid_t load;

	start_serving(cluster);
	load = cluster_load_start(cluster, "load", args);
	g_usleep(2000000);
	cluster_set_behaviour(cluster, "mode=close");
	g_usleep(1000000);
	cluster_set_behaviour(cluster, "mode=normal");
	summary = cluster_load_wait(cluster, "load", load, 60000);
	assert_true(get_count(summary, "once", "unknown") > 0);
	check_outcomes(cluster);
	json_decref(summary);
}

/** A request that is sent by a thread of its own. */
typedef struct {
	char *url;
	long status;
} slow_request_t;

static gpointer send_slow_request(gpointer arg)
{
	slow_request_t *request = arg;
	json_t *body = json_pack("{s:i}", "order", 1);

	json_decref(cluster_http("POST", request->url, "/r/barid/backoffice/slow", body,
				 &request->status));
	json_decref(body);
	return NULL;
}

/* Guards against a process that aborts requests in flight when it is stopped by SIGTERM. */
static void test_sigterm_finishes_slow_requests(void **state)
{
	cluster_t *cluster = *state;
	slow_request_t requests[SLOW_REQUESTS];
	GThread *threads[SLOW_REQUESTS];

	start_serving(cluster);
	cluster_set_behaviour(cluster, "mode=slow&ms=1500");
	for (unsigned i = 0; i < SLOW_REQUESTS; i++) {
		requests[i] = (slow_request_t){.url = g_strdup(cluster_url(cluster, 1))};
		threads[i] = g_thread_new("request", send_slow_request, &requests[i]);
	}
	g_usleep(500000);
	cluster_signal_node(cluster, 1, SIGTERM);
	for (unsigned i = 0; i < SLOW_REQUESTS; i++) {
		g_thread_join(threads[i]);
		assert_int_equal(requests[i].status, 200);
		g_free(requests[i].url);
	}
	assert_int_equal(cluster_wait_node_exit(cluster, 1, WAIT_TIMEOUT_MS), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_cluster_serves_while_processes_restart, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_wave_under_load, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_lost_responses_run_once, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_sigterm_finishes_slow_requests, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
