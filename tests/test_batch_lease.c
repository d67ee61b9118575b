#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "batch_lease.h"

#define SECOND_US 1000000ULL

static const batch_lease_limits_t limits = {.duration_us = 5 * SECOND_US,
					    .max_delivery_delay_us = 12 * SECOND_US};

/* Guards against treating tasks as lost before the lease that the VM has acknowledged expires. */
static void test_answered_grant_lasts_a_full_lease(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_grant_answered(&lease, &limits, 10 * SECOND_US);
	batch_lease_grant_answered(&lease, &limits, 11 * SECOND_US);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 16 * SECOND_US);
}

/* Guards against assuming that a VM that has answered no request runs nothing: the first start
 * request may have been applied, and only the response was lost. */
static void test_unanswered_first_grant_counts(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_grant_timed_out(&lease, &limits, 20 * SECOND_US, 21 * SECOND_US);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 26 * SECOND_US);
}

/* Guards against missing a grant that is applied late, while the previous lease still runs. */
static void test_late_grant_renews_a_running_lease(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_grant_answered(&lease, &limits, 20 * SECOND_US);
	batch_lease_grant_timed_out(&lease, &limits, 20 * SECOND_US, 21 * SECOND_US);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 30 * SECOND_US);
}

/* Guards against missing that several late grants can each renew the lease until the next one
 * arrives. */
static void test_late_grants_renew_one_after_another(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_grant_answered(&lease, &limits, 20 * SECOND_US);
	for (unsigned i = 0; i < 9; i++)
		batch_lease_grant_timed_out(&lease, &limits, 20 * SECOND_US, 21 * SECOND_US);
	/* The last grant is applied at 32 s, which is 12 s after it was sent, and lasts 5 s. */
	assert_int_equal(batch_lease_end_us(&lease, &limits), 37 * SECOND_US);
}

/* Guards against an old unanswered grant that keeps delaying the restart of a VM's tasks. */
static void test_old_unanswered_grants_are_dropped(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_grant_timed_out(&lease, &limits, 20 * SECOND_US, 21 * SECOND_US);
	batch_lease_grant_answered(&lease, &limits, 60 * SECOND_US);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 65 * SECOND_US);
	batch_lease_grant_timed_out(&lease, &limits, 61 * SECOND_US, 62 * SECOND_US);
	assert_int_equal(lease.unanswered, 1);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 70 * SECOND_US);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answered_grant_lasts_a_full_lease),
		cmocka_unit_test(test_unanswered_first_grant_counts),
		cmocka_unit_test(test_late_grant_renews_a_running_lease),
		cmocka_unit_test(test_late_grants_renew_one_after_another),
		cmocka_unit_test(test_old_unanswered_grants_are_dropped),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
