#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "peer_clock.h"

#define MS 1000ULL
#define PEER_AHEAD_US (7000 * MS)

/* Guards against time limits by a clock that is not known. */
static void test_clock_without_readings_is_unknown(void **state)
{
	peer_clock_t clock;

	peer_clock_init(&clock);
	peer_clock_add(&clock, 0, 1000 * MS);
	assert_int_equal(peer_clock_now_us(&clock, 2000 * MS), 0);
}

/* Guards against an estimate that is ahead of the peer's clock, which would let a request be
 * carried out after it was given up, and against one that a delayed message sets back. */
static void test_delayed_readings_do_not_change_the_estimate(void **state)
{
	peer_clock_t clock;

	peer_clock_init(&clock);
	peer_clock_add(&clock, PEER_AHEAD_US + 1000 * MS, 1004 * MS);
	assert_int_equal(peer_clock_now_us(&clock, 2000 * MS), PEER_AHEAD_US + 1996 * MS);
	peer_clock_add(&clock, PEER_AHEAD_US + 1500 * MS, 4500 * MS);
	assert_int_equal(peer_clock_now_us(&clock, 5000 * MS), PEER_AHEAD_US + 4996 * MS);
	peer_clock_add(&clock, PEER_AHEAD_US + 5000 * MS, 5001 * MS);
	assert_int_equal(peer_clock_now_us(&clock, 6000 * MS), PEER_AHEAD_US + 5999 * MS);
}

/* Guards against an estimate from before the peer's clock was set back or fell behind. */
static void test_old_readings_are_forgotten(void **state)
{
	peer_clock_t clock;

	peer_clock_init(&clock);
	peer_clock_add(&clock, PEER_AHEAD_US, 1 * MS);
	for (unsigned i = 0; i < PEER_CLOCK_READINGS; i++)
		peer_clock_add(&clock, 500 * MS * (i + 1), 500 * MS * (i + 1));
	assert_int_equal(peer_clock_now_us(&clock, 9000 * MS), 9000 * MS);
	peer_clock_init(&clock);
	assert_int_equal(peer_clock_now_us(&clock, 9000 * MS), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_clock_without_readings_is_unknown),
		cmocka_unit_test(test_delayed_readings_do_not_change_the_estimate),
		cmocka_unit_test(test_old_readings_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
