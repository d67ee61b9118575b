#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>
#include <glib.h>

#include "lib_cluster.h"

#define LIMIT_MS 30000
#define TARGETS 12
/* Formations of the group; whether members join one by one or together differs between them. */
#define GROUPS 4
/* A target is told its new epoch by one announcement and echoes it in the next, 1 s later. */
#define ECHO_US 2500000

#define TEMPLATE                 \
	"organisation: barid\n"  \
	"pools:\n"               \
	"  - name: backoffice\n" \
	"    spare: true\n"      \
	"    min_vms: 4\n"       \
	"    max_vms: 12\n"      \
	"    keep_vms: 4\n"      \
	"    classes:\n"         \
	"      - {name: once, path_prefix: /, deadline_ms: 3000, repeatable: false}\n"

static bool vms_joined(void *arg)
{
	json_t *answer = cluster_get(arg, 1, "/v1/vms", NULL);
	unsigned active = 0;
	size_t i;
	json_t *vm;

	json_array_foreach (json_object_get(answer, "vms"), i, vm)
		active += g_strcmp0(json_string_value(json_object_get(vm, "phase")), "active") == 0;
	json_decref(answer);
	return active == TARGETS;
}

static void apply_template(cluster_t *cluster)
{
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}", "name", "barid.yaml", "text",
				 TEMPLATE, "author", "test", "note", "first", "op_id", "first",
				 "expected_revision", 0);
	long status;

	json_decref(cluster_post(cluster, 1, "/v1/templates/apply", body, &status));
	json_decref(body);
	assert_int_equal(status, 200);
}

/* @return requests of a fault-free run that did not run */
static json_int_t serve_new_group(uint32_t seed)
{
	const cluster_config_t config = {.nodes = 7,
					 .data_centres = 3,
					 .voters = 3,
					 .targets = TARGETS,
					 .service_ms = 5,
					 .timing = "  lost_ms: 6000"};
	cluster_t *cluster = cluster_create(&config);
	char text[16];
	const char *const args[] = {"--class",	 "any:/r/barid/backoffice/x:60:once",
				    "--class",	 "home:/r/barid/backoffice/x:20:once:0:dc-b",
				    "--seconds", "4",
				    "--seed",	 text,
				    NULL};
	json_int_t missing = 0;
	json_t *summary;
	const char *name;
	json_t *class;

	g_snprintf(text, sizeof(text), "%u", seed);
	cluster_start(cluster);
	apply_template(cluster);
	assert_true(cluster_wait(vms_joined, cluster, LIMIT_MS));
	g_usleep(ECHO_US);
	summary = cluster_load_wait(cluster, "load", cluster_load_start(cluster, "load", args),
				    LIMIT_MS);
	json_object_foreach (json_object_get(summary, "classes"), name, class) {
		json_int_t invoked = json_integer_value(json_object_get(class, "invoked"));
		json_int_t ran = json_integer_value(json_object_get(class, "ran"));

		print_message("seed %u, %s: %lld of %lld ran, %lld unknown\n", seed, name,
			      (long long)ran, (long long)invoked,
			      (long long)json_integer_value(json_object_get(class, "unknown")));
		missing += invoked - ran;
	}
	json_decref(summary);
	cluster_destroy(cluster);
	return missing;
}

/* Guards against claim replicas that abstain after the group has formed, so that requests which may
 * not be repeated are answered unknown though nothing has failed. */
static void test_new_group_grants_claims(void **state)
{
	const char *text = getenv("LP_TEST_SEED");
	uint32_t seed = text == NULL ? 1 : (uint32_t)strtoul(text, NULL, 10);
	json_int_t missing = 0;

	for (uint32_t i = 0; i < GROUPS; i++)
		missing += serve_new_group(seed + i);
	assert_int_equal(missing, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(test_new_group_grants_claims)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
