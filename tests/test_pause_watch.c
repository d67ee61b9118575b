#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "pause_watch.h"

#define START_US 5000000ULL
#define CALL_INTERVAL_US 250000ULL

/* Guards against an outdated announcement that renews a routing lease: it waited in the socket of a
 * suspended process, and its VM was cordoned in the meantime. */
static void test_messages_after_suspension_are_not_trusted(void **state)
{
	pause_watch_t watch = {0};
	uint64_t now_us = START_US;

	for (unsigned i = 0; i < 10; i++, now_us += CALL_INTERVAL_US)
		assert_true(pause_watch_trusts(&watch, now_us));
	now_us += 6000000;
	assert_false(pause_watch_trusts(&watch, now_us));
	assert_false(pause_watch_trusts(&watch, now_us + PAUSE_WATCH_DISTRUST_US / 2));
	assert_false(pause_watch_trusts(&watch, now_us + PAUSE_WATCH_DISTRUST_US - 1));
	assert_true(pause_watch_trusts(&watch, now_us + PAUSE_WATCH_DISTRUST_US));
	assert_int_equal(watch.pauses, 1);
}

/* Guards against a slow but running process that counts as suspended, so that the announcements of
 * its targets are ignored. */
static void test_late_calls_are_no_suspension(void **state)
{
	pause_watch_t watch = {0};

	for (uint64_t now_us = START_US; now_us < 20 * START_US; now_us += PAUSE_WATCH_GAP_MAX_US)
		assert_true(pause_watch_trusts(&watch, now_us));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_after_suspension_are_not_trusted),
		cmocka_unit_test(test_late_calls_are_no_suspension),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
