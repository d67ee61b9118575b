#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <jansson.h>

#define G_LOG_DOMAIN "test"
#include "log.h"

/* Logs one event with one field.
 * @return what was written to standard error, to be freed with g_free() */
static char *log_one(bool json, const char *value)
{
	char file[] = "/tmp/log-XXXXXX";
	int fd = g_mkstemp(file);
	int saved = dup(2);
	char *text = NULL;

	log_init(json, false, 7);
	dup2(fd, 2);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", value), "VM drained");
	log_event(G_LOG_LEVEL_DEBUG, NULL, "not shown");
	dup2(saved, 2);
	close(saved);
	close(fd);
	assert_true(g_file_get_contents(file, &text, NULL, NULL));
	unlink(file);
	return text;
}

/* Guards against values from clients that split a log line or end a JSON object early. */
static void test_one_event_is_one_line(void **state)
{
	static const char *const values[] = {"a\nb\"c", "\xff\xfe"};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		for (int json = 0; json < 2; json++) {
			char *text = log_one(json != 0, values[i]);

			assert_ptr_equal(strchr(text, '\n'), text + strlen(text) - 1);
			assert_non_null(strstr(text, "VM drained"));
			g_free(text);
		}
	}
}

/* Guards against JSON lines without the fields that log collectors read. */
static void test_json_lines_have_the_documented_fields(void **state)
{
	char *text = log_one(true, "vm-1");
	json_t *line = json_loads(text, 0, NULL);
	const char *level;
	const char *domain;
	const char *vm;
	int node;

	assert_int_equal(json_unpack(line, "{s:s, s:s, s:i, s:{s:s}}", "level", &level, "domain",
				     &domain, "node", &node, "fields", "vm", &vm),
			 0);
	assert_string_equal(level, "notice");
	assert_string_equal(domain, "test");
	assert_string_equal(vm, "vm-1");
	assert_int_equal(node, 7);
	json_decref(line);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_one_event_is_one_line),
		cmocka_unit_test(test_json_lines_have_the_documented_fields),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
