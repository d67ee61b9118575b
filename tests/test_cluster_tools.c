#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "lib_cluster.h"

/* The emulator takes the place of the entry process; load and relay are used as in other tests. */
static int set_up(void **state)
{
	const cluster_config_t config = {.nodes = 1,
					 .data_centres = 1,
					 .voters = 1,
					 .relay = true,
					 .targets = 2,
					 .service_ms = 5,
					 .emulator_args = "--slots 64"};
	cluster_t *cluster = cluster_create(&config);

	/* Node 1 and the relay's only link lead to the first target. */
	cluster->nodes[0].peer_port = cluster->target_port;
	cluster->nodes[0].http_port = cluster->relay_port;
	cluster_start_relay(cluster);
	cluster_start_emulator(cluster);
	*state = cluster;
	return 0;
}

static int tear_down(void **state)
{
	cluster_destroy(*state);
	return 0;
}

static json_int_t final(const json_t *summary, const char *key)
{
	const json_t *class = json_object_get(json_object_get(summary, "classes"), "c");

	return json_integer_value(json_object_get(class, key));
}

/* Leaves out the announcements, which the first target receives as well here. */
static unsigned count_events(const json_t *journal, const char *event)
{
	unsigned count = 0;
	size_t i;
	json_t *line;

	json_array_foreach (journal, i, line) {
		const char *path = json_string_value(json_object_get(line, "path"));

		count += strcmp(json_string_value(json_object_get(line, "event")), event) == 0 &&
			 (path == NULL || strcmp(path, "/v1/announce") != 0);
	}
	return count;
}

static json_t *run_load(cluster_t *cluster, const char *name, const char *class)
{
	const char *const args[] = {"--class",	    class, "--seconds", "1", "--seed", "7",
				    "--timeout-ms", "500", "--resends", "1", NULL};

	return cluster_load_wait(cluster, name, cluster_load_start(cluster, name, args), 30000);
}

/* Guards against tools that count wrongly, so that other tests check nothing. */
static void test_all_requests_are_journaled(void **state)
{
	cluster_t *cluster = *state;
	json_t *summary = run_load(cluster, "plain", "c:/x:100:once");
	json_t *executions = cluster_journal(cluster->journal);
	char *file = cluster_path(cluster, "plain.journal");
	json_t *sent = cluster_journal(file);
	unsigned invoked = (unsigned) final(summary, "invoked");

	assert_in_range(invoked, 60, 140);
	assert_int_equal(final(summary, "ran"), invoked);
	assert_int_equal(final(summary, "other_body"), 0);
	assert_int_equal(count_events(executions, "start"), invoked);
	assert_int_equal(count_events(executions, "end"), invoked);
	assert_int_equal(count_events(sent, "invoke"), invoked);
	assert_int_equal(count_events(sent, "complete"), invoked);
	json_decref(sent);
	json_decref(executions);
	json_decref(summary);
	g_free(file);
}

/* Guards against resends by the HTTP library that no journal shows. */
static void test_closed_answers_are_lost_and_resent_once(void **state)
{
	cluster_t *cluster = *state;
	json_t *summary;
	json_t *executions;
	unsigned invoked;

	cluster_behaviour(cluster, "vm=barid-vm001&mode=close");
	summary = run_load(cluster, "close", "c:/x:50:once");
	executions = cluster_journal(cluster->journal);
	invoked = (unsigned) final(summary, "invoked");
	assert_int_equal(final(summary, "lost"), invoked);
	assert_int_equal(final(summary, "resent"), invoked);
	assert_int_equal(count_events(executions, "start"), 2 * invoked);
	json_decref(executions);
	json_decref(summary);
}

/* Distinct requests of the load tool that the emulator began to run. */
static unsigned count_started(const json_t *journal)
{
	GHashTable *started = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned count;
	size_t i;
	json_t *line;

	json_array_foreach (journal, i, line) {
		const char *path = json_string_value(json_object_get(line, "path"));

		if (g_str_has_prefix(path, "/x/") &&
		    strcmp(json_string_value(json_object_get(line, "event")), "start") == 0)
			g_hash_table_add(started, (void *)path);
	}
	count = g_hash_table_size(started);
	g_hash_table_destroy(started);
	return count;
}

/* Guards against a request that ran being journaled as never sent: its reused connection broke and
 * the HTTP library could not connect again. The next attempt's refusal then looked false. */
static void test_broken_connections_are_not_unsent(void **state)
{
	const char *const args[] = {"--class", "c:/x:100:repeatable", "--seconds", "2", "--seed",
				    "7",       "--timeout-ms",	      "1000",	   NULL};
	cluster_t *cluster = *state;
	json_t *summary;
	json_t *executions;
	pid_t load;

	/* The relay would accept connections for a target that does not. */
	cluster->nodes[0].http_port = cluster->target_port;
	cluster_behaviour(cluster, "vm=barid-vm001&mode=slow&ms=100");
	load = cluster_load_start(cluster, "broken", args);
	g_usleep(1000000);
	cluster_behaviour(cluster, "vm=barid-vm001&mode=killed");
	summary = cluster_load_wait(cluster, "broken", load, 30000);
	executions = cluster_journal(cluster->journal);
	assert_true(final(summary, "lost") > 0);
	assert_true(final(summary, "not_sent") > 0);
	assert_int_equal(final(summary, "ran") + final(summary, "lost"), count_started(executions));
	json_decref(executions);
	json_decref(summary);
}

/* Guards against an emulator whose refusals are not true. */
static void test_refused_requests_do_not_run(void **state)
{
	cluster_t *cluster = *state;
	json_t *summary;
	json_t *executions;

	cluster_behaviour(cluster, "vm=barid-vm001&mode=refuse");
	summary = run_load(cluster, "refuse", "c:/x:50:once");
	executions = cluster_journal(cluster->journal);
	assert_int_equal(final(summary, "not_run"), final(summary, "invoked"));
	assert_int_equal(count_events(executions, "start"), 0);
	json_decref(executions);
	json_decref(summary);
}

/* Guards against a relay whose faults have no effect. */
static void test_relay_faults(void **state)
{
	static const struct {
		const char *command;
		const char *seen;
	} cases[] = {{"silent 0", "lost"}, {"cut 0", "lost"}, {"delay 0 20", "ran"}};
	cluster_t *cluster = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *summary;

		cluster_relay(cluster, "heal *");
		cluster_relay(cluster, cases[i].command);
		summary = run_load(cluster, cases[i].command, "c:/x:20:repeatable");
		assert_int_equal(final(summary, cases[i].seen), final(summary, "invoked"));
		json_decref(summary);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_all_requests_are_journaled, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_closed_answers_are_lost_and_resent_once,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_broken_connections_are_not_unsent, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_refused_requests_do_not_run, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_relay_faults, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
