#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "verdict.h"

/* Guards against a word that is written in one way and read in another. */
static void test_words_round_trip(void **state)
{
	for (verdict_t v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		verdict_t parsed;

		assert_int_equal(verdict_parse(verdict_name(v), &parsed), 0);
		assert_int_equal(parsed, v);
	}
}

/* Guards against an unknown word being taken for a verdict, not-run above all. */
static void test_unknown_word_is_refused(void **state)
{
	verdict_t parsed = VERDICT_UNKNOWN;

	assert_int_equal(verdict_parse("", &parsed), -1);
	assert_int_equal(verdict_parse("not_run", &parsed), -1);
	assert_int_equal(parsed, VERDICT_UNKNOWN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_words_round_trip),
		cmocka_unit_test(test_unknown_word_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
