#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "template.h"

#define HEAD "organisation: o\n"
#define CLASSES \
	"    classes:\n      - {name: c, path_prefix: /, deadline_ms: 10, repeatable: true}\n"
#define SPARE "pools:\n  - name: s\n    keep_vms: 1\n    min_vms: 2\n    spare: true\n" CLASSES
#define POOL(keys) SPARE "  - name: p\n" keys CLASSES
#define SPARE_WITHOUT_CLASSES \
	"pools:\n  - name: s\n    keep_vms: 1\n    min_vms: 2\n    spare: true\n"
#define GOOD "    keep_vms: 1\n    min_vms: 2\n"

static int parse(const char *text, const template_param_t *params, size_t count, Lp__Template **out,
		 char *error, size_t size)
{
	error[0] = '\0';
	return template_parse("t.yaml", text, strlen(text), params, count, out, error, size);
}

/* Guards against a bad template being accepted, and against a message that does not lead to the
 * place: file, line, key and what was expected. */
static void test_bad_inputs(void **state)
{
	static const struct {
		const char *text;
		const char *place;
		const char *expected;
	} table[] = {
		{"", "t.yaml:1: template: ", "expected a template"},
		{"pools: [\n", "t.yaml:1: ", "expected valid YAML"},
		{SPARE, "t.yaml:2: organisation: ", "missing, expected a name"},
		{HEAD "pools: 3\n", "t.yaml:2: pools: ", "expected a list"},
		{HEAD POOL(GOOD "    kep: 1\n"), "t.yaml:12: kep: ", "unknown key"},
		{HEAD POOL("    keep_vms: x\n    min_vms: 2\n"),
		 "t.yaml:10: keep_vms: ", "whole number"},
		{HEAD POOL("    keep_vms: -1\n    min_vms: 2\n"),
		 "t.yaml:10: keep_vms: ", "whole number"},
		{HEAD POOL("    keep_vms: 1\n"), "t.yaml:", "min_vms: missing"},
		{HEAD POOL("    keep_vms: 3\n    min_vms: 2\n"),
		 "t.yaml:10: keep_vms: ", "at most min_vms, which is 2"},
		{HEAD POOL(GOOD "    max_vms: 1\n"), "t.yaml:12: max_vms: ", "at least min_vms"},
		{HEAD POOL(GOOD "    spare: true\n"), "t.yaml:12: spare: ", "exactly one"},
		{HEAD "pools:\n  - name: p\n" GOOD CLASSES, "t.yaml:2: spare: ", "exactly one"},
		{HEAD SPARE "  - name: p\n" GOOD, "t.yaml:9: classes: ", "only the spare pool"},
		{HEAD SPARE "  - name: p\n" GOOD "    classes: []\n",
		 "t.yaml:9: classes: ", "only the spare pool"},
		{HEAD POOL(GOOD "    reserve: moon\n"),
		 "t.yaml:12: reserve: ", "one of vms, rack, data-centre"},
		{HEAD POOL(GOOD "    reserve: rack\n    reserve_vms: 1\n"),
		 "t.yaml:13: reserve_vms: ", "reserve: vms"},
		{HEAD POOL(GOOD "    windows: [\"mon-fri 22:00\"]\n"),
		 "t.yaml:12: windows: ", "days and times such as"},
		{HEAD POOL(GOOD
			   "    windows:\n      - daily 01:00-02:00\n      - sat 24:00-25:00\n"),
		 "t.yaml:14: windows: ", "days and times such as"},
		{HEAD SPARE "  - name: s\n" GOOD CLASSES, "t.yaml:9: name: ", "unique name"},
		{HEAD POOL(
			 GOOD) "      - name: c\n        path_prefix: /x\n        deadline_ms: 1\n"
			       "        repeatable: true\n",
		 "t.yaml:14: name: ", "unique name"},
		{HEAD POOL(GOOD) "      - name: d\n        path_prefix: /\n        deadline_ms: 1\n"
				 "        repeatable: true\n",
		 "t.yaml:15: path_prefix: ", "unique prefix"},
		{HEAD POOL(GOOD) "      - name: d\n        path_prefix: x\n        deadline_ms: 1\n"
				 "        repeatable: true\n",
		 "t.yaml:15: path_prefix: ", "starts with /"},
		{HEAD POOL(GOOD) "quotas:\n  - {team: t, max_running_jobs: 1}\n"
				 "  - {team: t, max_running_jobs: 1}\n",
		 "t.yaml:16: team: ", "one quota a team"},
		{HEAD POOL(GOOD) "maintenance:\n  image: ${image}\n",
		 "t.yaml:15: image: ", "expected a default"},
		{HEAD POOL(GOOD) "maintenance:\n  image: ${image\n",
		 "t.yaml:15: ${: ", "closing }"},
		{HEAD POOL(GOOD) "maintenance:\n  image: i\n  stop_after_failures: 0\n",
		 "t.yaml:16: stop_after_failures: ", "at least 1"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		Lp__Template *template;
		char error[512];

		if (parse(table[i].text, NULL, 0, &template, error, sizeof(error)) != -1)
			fail_msg("accepted: %s", table[i].text);
		if (strncmp(error, table[i].place, strlen(table[i].place)) != 0 ||
		    strstr(error, table[i].expected) == NULL)
			fail_msg("case %zu: \"%s\", wanted \"%s\" and \"%s\"", i, error,
				 table[i].place, table[i].expected);
	}
}

/* Guards against a spare pool that has to declare requests although it only lends VMs. */
static void test_spare_pool_without_classes(void **state)
{
	Lp__Template *template;
	char error[512];

	if (parse(HEAD SPARE_WITHOUT_CLASSES "  - name: p\n" GOOD CLASSES, NULL, 0, &template,
		  error, sizeof(error)) != 0)
		fail_msg("%s", error);
	assert_int_equal(template->n_pools, 2);
	assert_int_equal(template->pools[0]->n_classes, 0);
	assert_int_equal(template->pools[1]->n_classes, 1);
	lp__template__free_unpacked(template, NULL);
}

/* Guards against a parameter that is ignored, and against a value that changes the structure of
 * the text around it. */
static void test_parameters(void **state)
{
	static const char text[] = HEAD POOL(GOOD) "parameters:\n  - name: i\n    default: a\n"
						   "# ${i} and ${unknown} in a comment\n"
						   "maintenance:\n  image: v-${i}-${i}\n";
	const template_param_t given = {"i", "b"};
	const template_param_t unknown = {"j", "b"};
	const template_param_t breaking = {"i", "b\n  paused: true"};
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
	assert_int_equal(parse(text, &breaking, 1, &template, error, sizeof(error)), -1);
	assert_non_null(strstr(error, "control character"));
}

/* Guards against examples that no longer parse, and against a royalty posting or dispatch class
 * that could run twice. */
static void test_examples(void **state)
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
		cmocka_unit_test(test_bad_inputs),
		cmocka_unit_test(test_spare_pool_without_classes),
		cmocka_unit_test(test_parameters),
		cmocka_unit_test(test_examples),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
