#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "template.h"

#define ORG "organisation: o\n"
#define CLASSES \
	"    classes:\n      - {name: c, path_prefix: /, deadline_ms: 10, repeatable: true}\n"
#define SPARE_POOL "pools:\n  - name: s\n    keep_vms: 1\n    min_vms: 2\n    spare: true\n" CLASSES
#define POOLS(keys) SPARE_POOL "  - name: p\n" keys CLASSES
#define SPARE_POOL_WITHOUT_CLASSES \
	"pools:\n  - name: s\n    keep_vms: 1\n    min_vms: 2\n    spare: true\n"
#define SIZES "    keep_vms: 1\n    min_vms: 2\n"

static int parse(const char *text, const template_param_t *params, size_t count, Lp__Template **out,
		 char *error, size_t size)
{
	error[0] = '\0';
	return template_parse("t.yaml", text, strlen(text), params, count, out, error, size);
}

/*
 * Guards against accepting an invalid template, and against error messages that do not name the
 * file, line, key or expected value.
 */
static void test_invalid_templates_are_refused(void **state)
{
	static const struct {
		const char *text;
		const char *location;
		const char *expected;
	} table[] = {
		{"", "t.yaml:1: template: ", "expected a template"},
		{"pools: [\n", "t.yaml:1: ", "expected valid YAML"},
		{SPARE_POOL, "t.yaml:2: organisation: ", "missing, expected a name"},
		{ORG "pools: 3\n", "t.yaml:2: pools: ", "expected a list"},
		{ORG POOLS(SIZES "    kep: 1\n"), "t.yaml:12: kep: ", "unknown key"},
		{ORG POOLS("    keep_vms: x\n    min_vms: 2\n"),
		 "t.yaml:10: keep_vms: ", "whole number"},
		{ORG POOLS("    keep_vms: -1\n    min_vms: 2\n"),
		 "t.yaml:10: keep_vms: ", "whole number"},
		{ORG POOLS("    keep_vms: 1\n"), "t.yaml:", "min_vms: missing"},
		{ORG POOLS("    keep_vms: 3\n    min_vms: 2\n"),
		 "t.yaml:10: keep_vms: ", "at most min_vms, which is 2"},
		{ORG POOLS(SIZES "    max_vms: 1\n"), "t.yaml:12: max_vms: ", "at least min_vms"},
		{ORG POOLS(SIZES "    spare: true\n"), "t.yaml:12: spare: ", "exactly one"},
		{ORG "pools:\n  - name: p\n" SIZES CLASSES, "t.yaml:2: spare: ", "exactly one"},
		{ORG SPARE_POOL "  - name: p\n" SIZES,
		 "t.yaml:9: classes: ", "only the spare pool"},
		{ORG SPARE_POOL "  - name: p\n" SIZES "    classes: []\n",
		 "t.yaml:9: classes: ", "only the spare pool"},
		{ORG POOLS(SIZES "    reserve: moon\n"),
		 "t.yaml:12: reserve: ", "one of vms, rack, data-centre"},
		{ORG POOLS(SIZES "    reserve: rack\n    reserve_vms: 1\n"),
		 "t.yaml:13: reserve_vms: ", "reserve: vms"},
		{ORG POOLS(SIZES "    windows: [\"mon-fri 22:00\"]\n"),
		 "t.yaml:12: windows: ", "days and times such as"},
		{ORG POOLS(SIZES
			   "    windows:\n      - daily 01:00-02:00\n      - sat 24:00-25:00\n"),
		 "t.yaml:14: windows: ", "days and times such as"},
		{ORG SPARE_POOL "  - name: s\n" SIZES CLASSES, "t.yaml:9: name: ", "unique name"},
		{ORG POOLS(
			 SIZES) "      - name: c\n        path_prefix: /x\n        deadline_ms: 1\n"
				"        repeatable: true\n",
		 "t.yaml:14: name: ", "unique name"},
		{ORG POOLS(
			 SIZES) "      - name: d\n        path_prefix: /\n        deadline_ms: 1\n"
				"        repeatable: true\n",
		 "t.yaml:15: path_prefix: ", "unique prefix"},
		{ORG POOLS(
			 SIZES) "      - name: d\n        path_prefix: x\n        deadline_ms: 1\n"
				"        repeatable: true\n",
		 "t.yaml:15: path_prefix: ", "starts with /"},
		{ORG POOLS(SIZES) "quotas:\n  - {team: t, max_running_jobs: 1}\n"
				  "  - {team: t, max_running_jobs: 1}\n",
		 "t.yaml:16: team: ", "one quota a team"},
		{ORG POOLS(SIZES) "maintenance:\n  image: ${image}\n",
		 "t.yaml:15: image: ", "expected a default"},
		{ORG POOLS(SIZES) "maintenance:\n  image: ${image\n",
		 "t.yaml:15: ${: ", "closing }"},
		{ORG POOLS(SIZES) "maintenance:\n  image: i\n  stop_after_failures: 0\n",
		 "t.yaml:16: stop_after_failures: ", "at least 1"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		Lp__Template *template;
		char error[512];

		if (parse(table[i].text, NULL, 0, &template, error, sizeof(error)) != -1)
			fail_msg("accepted: %s", table[i].text);
		if (strncmp(error, table[i].location, strlen(table[i].location)) != 0 ||
		    strstr(error, table[i].expected) == NULL)
			fail_msg("case %zu: \"%s\", wanted \"%s\" and \"%s\"", i, error,
				 table[i].location, table[i].expected);
	}
}

/* Guards against requiring request classes of the spare pool, which only provides VMs to other
 * pools. */
static void test_spare_pool_without_classes(void **state)
{
	Lp__Template *template;
	char error[512];

	if (parse(ORG SPARE_POOL_WITHOUT_CLASSES "  - name: p\n" SIZES CLASSES, NULL, 0, &template,
		  error, sizeof(error)) != 0)
		fail_msg("%s", error);
	assert_int_equal(template->n_pools, 2);
	assert_int_equal(template->pools[0]->n_classes, 0);
	assert_int_equal(template->pools[1]->n_classes, 1);
	lp__template__free_unpacked(template, NULL);
}

/*
 * Guards against a parameter that is not substituted, and against a value that changes the
 * structure of the surrounding YAML.
 */
static void test_parameters_are_substituted(void **state)
{
	static const char text[] = ORG POOLS(SIZES) "parameters:\n  - name: i\n    default: a\n"
						    "# ${i} and ${unknown} in a comment\n"
						    "maintenance:\n  image: v-${i}-${i}\n";
	const template_param_t given = {"i", "b"};
	const template_param_t unknown = {"j", "b"};
	const template_param_t multi_line = {"i", "b\n  paused: true"};
	Lp__Template *template;
	char error[512];

	assert_int_equal(parse(text, NULL, 0, &template, error, sizeof(error)), 0);
	assert_string_equal(template->maintenance->image, "v-a-a");
	lp__template__free_unpacked(template, NULL);
	assert_int_equal(parse(text, &given, 1, &template, error, sizeof(error)), 0);
	assert_string_equal(template->maintenance->image, "v-b-b");
	assert_non_null(strstr(template->text, "image: v-b-b"));
	lp__template__free_unpacked(template, NULL);
	assert_int_equal(parse(text, &unknown, 1, &template, error, sizeof(error)), -1);
	assert_int_equal(parse(text, &multi_line, 1, &template, error, sizeof(error)), -1);
	assert_non_null(strstr(error, "control character"));
}

/* Guards against examples that no longer parse, and against examples whose royalties or dispatch
 * pool has only repeatable request classes: repeating such a request would post or dispatch twice.
 */
static void test_examples_parse(void **state)
{
	static const char *const files[][2] = {{"examples/barid.yaml", "royalties"},
					       {"examples/tesfaye.yaml", "dispatch"}};

	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		Lp__Template *template;
		char error[512] = "";
		char *text;
		gsize length;
		bool found = false;

		assert_true(g_file_get_contents(files[i][0], &text, &length, NULL));
		if (template_parse(files[i][0], text, length, NULL, 0, &template, error,
				   sizeof(error)) != 0)
			fail_msg("%s", error);
		assert_int_equal(template->n_pools, 5);
		for (size_t p = 0; p < template->n_pools; p++) {
			const Lp__PoolSpec *pool = template->pools[p];

			for (size_t c = 0; c < pool->n_classes; c++)
				found |= strcmp(pool->name, files[i][1]) == 0 &&
					 !pool->classes[c]->repeatable;
		}
		assert_true(found);
		lp__template__free_unpacked(template, NULL);
		g_free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_templates_are_refused),
		cmocka_unit_test(test_spare_pool_without_classes),
		cmocka_unit_test(test_parameters_are_substituted),
		cmocka_unit_test(test_examples_parse),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
