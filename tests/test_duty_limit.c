#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "duty_limit.h"

/* Runs a pass of the given duration every interval_us for a second, as far as the limit allows it.
 * @return time in microseconds that the passes took */
static uint64_t time_in_passes_us(uint64_t interval_us, uint64_t duration_us)
{
	duty_limit_t limit = {0};
	uint64_t sum_us = 0;
	uint64_t now_us = US_PER_S;

	while (now_us < 2 * US_PER_S) {
		if (duty_limit_may_start(&limit, now_us)) {
			duty_limit_record(&limit, now_us, now_us + duration_us);
			sum_us += duration_us;
			now_us += duration_us;
		}
		now_us += interval_us;
	}
	return sum_us;
}

/* Guards against passes of the leader that take all of its time, so that it reads no messages. */
static void test_long_passes_leave_three_quarters_of_the_time(void **state)
{
	/* One pass more may have begun before the end of the second. */
	assert_in_range(time_in_passes_us(15 * US_PER_MS, 30 * US_PER_MS), 1,
			US_PER_S / 4 + 30 * US_PER_MS);
	assert_in_range(time_in_passes_us(US_PER_MS, 200 * US_PER_MS), 1,
			US_PER_S / 4 + 200 * US_PER_MS);
}

/* Guards against a limit that delays the decisions of a small fleet. */
static void test_short_passes_are_not_delayed(void **state)
{
	assert_in_range(time_in_passes_us(15 * US_PER_MS, 5 * US_PER_MS), 5 * US_PER_MS * 49,
			US_PER_S);
}

/* Guards against leases that are not renewed because the process did not run during a pass. */
static void test_pass_of_a_frozen_process_does_not_delay_the_next_for_long(void **state)
{
	duty_limit_t limit = {0};

	duty_limit_record(&limit, US_PER_S, 8 * US_PER_S);
	assert_false(duty_limit_may_start(&limit, 8 * US_PER_S));
	assert_true(duty_limit_may_start(&limit, 9 * US_PER_S));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_passes_leave_three_quarters_of_the_time),
		cmocka_unit_test(test_short_passes_are_not_delayed),
		cmocka_unit_test(test_pass_of_a_frozen_process_does_not_delay_the_next_for_long),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
