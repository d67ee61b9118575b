#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "lib_cluster.h"

#define LIMIT_MS 30000
#define NODES 3
#define RESTARTED 3

/** What the log is waited to record of one member. */
typedef struct {
	cluster_t *cluster;
	bool up;
} awaited_t;

static bool is_recorded(void *arg)
{
	const awaited_t *awaited = arg;
	json_t *status = cluster_get(awaited->cluster, 1, "/v1/status", NULL);
	bool reached = false;
	size_t i;
	json_t *member;

	json_array_foreach (json_object_get(status, "members"), i, member) {
		if (json_integer_value(json_object_get(member, "node")) == RESTARTED)
			reached =
				json_is_true(json_object_get(member, "recorded_up")) == awaited->up;
	}
	json_decref(status);
	return reached;
}

static bool wait_recorded(cluster_t *cluster, bool up)
{
	awaited_t awaited = {.cluster = cluster, .up = up};

	return cluster_wait(is_recorded, &awaited, LIMIT_MS);
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

/* Guards against a member that stays recorded as down after it returned: the others would keep its
 * share of the targets' slots. */
static void test_returning_member_is_recorded_up(void **state)
{
	cluster_t *cluster = *state;

	assert_true(wait_recorded(cluster, true));
	cluster_signal_node(cluster, RESTARTED, SIGTERM);
	assert_int_equal(cluster_wait_node(cluster, RESTARTED, LIMIT_MS), 0);
	assert_true(wait_recorded(cluster, false));
	cluster_start_node(cluster, RESTARTED);
	assert_true(wait_recorded(cluster, true));
}

/* Guards against a silent member that keeps its share, and against one that returns without it. */
static void test_frozen_member_is_recorded_down_and_up(void **state)
{
	cluster_t *cluster = *state;

	cluster_signal_node(cluster, RESTARTED, SIGSTOP);
	assert_true(wait_recorded(cluster, false));
	cluster_signal_node(cluster, RESTARTED, SIGCONT);
	assert_true(wait_recorded(cluster, true));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_returning_member_is_recorded_up),
		cmocka_unit_test(test_frozen_member_is_recorded_down_and_up),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
