#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "verdict.h"

/* Guards against a text that verdict_name() writes and verdict_parse() reads as another value. */
static void test_parse_inverts_name(void **state)
{
	for (verdict_t v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		verdict_t parsed;

		assert_int_equal(verdict_parse(verdict_name(v), &parsed), 0);
		assert_int_equal(parsed, v);
	}
}

/*
 * Guards against parsing an unknown word as an outcome. If it were taken for "not-run", a request
 * that has run could be sent again.
 */
static void test_unknown_word_is_rejected(void **state)
{
	verdict_t parsed = VERDICT_UNKNOWN;

	assert_int_equal(verdict_parse("", &parsed), -1);
	assert_int_equal(verdict_parse("not_run", &parsed), -1);
	assert_int_equal(parsed, VERDICT_UNKNOWN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse_inverts_name),
		cmocka_unit_test(test_unknown_word_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
