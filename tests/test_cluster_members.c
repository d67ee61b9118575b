#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "lib_cluster.h"

#define WAIT_TIMEOUT_MS 30000
#define NODES 3
#define TESTED_NODE 3

/** The state of member TESTED_NODE that the test waits for, as recorded in the replicated log. */
typedef struct {
	cluster_t *cluster;
	bool up;
} member_state_t;

static bool member_is_recorded(void *arg)
{
	const member_state_t *expected = arg;
	json_t *status = cluster_get(expected->cluster, 1, "/v1/status", NULL);
	bool matches = false;
	size_t i;
	json_t *member;

	json_array_foreach (json_object_get(status, "members"), i, member) {
		if (json_integer_value(json_object_get(member, "node")) == TESTED_NODE)
			matches = json_is_true(json_object_get(member, "recorded_up")) ==
				  expected->up;
	}
	json_decref(status);
	return matches;
}

static bool wait_until_recorded(cluster_t *cluster, bool up)
{
	member_state_t expected = {.cluster = cluster, .up = up};

	return cluster_wait_until(member_is_recorded, &expected, WAIT_TIMEOUT_MS);
}

static int set_up(void **state)
{
	const cluster_config_t config = {.nodes = NODES, .data_centres = 1, .voters = 3};

	*state = cluster_create(&config);
	cluster_start(*state);
	return 0;
}

static int tear_down(void **state)
{
	cluster_destroy(*state);
	return 0;
}

/* Guards against a member that stays recorded as down after it restarted: the others would keep its
 * share of the targets' slots. */
static void test_restarted_member_is_recorded_up(void **state)
{
	cluster_t *cluster = *state;

	assert_true(wait_until_recorded(cluster, true));
	cluster_signal_node(cluster, TESTED_NODE, SIGTERM);
	assert_int_equal(cluster_wait_node_exit(cluster, TESTED_NODE, WAIT_TIMEOUT_MS), 0);
	assert_true(wait_until_recorded(cluster, false));
	cluster_start_node(cluster, TESTED_NODE);
	assert_true(wait_until_recorded(cluster, true));
}

/* Guards against an unresponsive member that keeps its share of the targets' slots, and a member
 * that does not get its share back. */
static void test_frozen_member_is_recorded_down_and_up(void **state)
{
	cluster_t *cluster = *state;

	cluster_signal_node(cluster, TESTED_NODE, SIGSTOP);
	assert_true(wait_until_recorded(cluster, false));
	cluster_signal_node(cluster, TESTED_NODE, SIGCONT);
	assert_true(wait_until_recorded(cluster, true));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restarted_member_is_recorded_up),
		cmocka_unit_test(test_frozen_member_is_recorded_down_and_up),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
