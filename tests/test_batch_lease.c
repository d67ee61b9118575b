#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "batch_lease.h"

#define S 1000000ULL

static const batch_lease_limits_t limits = {.length_us = 5 * S, .late_us = 12 * S};

/* Guards against tasks that are given up while the lease that the VM has confirmed still runs. */
static void test_answered_grant_runs_its_length(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_answered(&lease, &limits, 10 * S);
	batch_lease_answered(&lease, &limits, 11 * S);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 16 * S);
}

/* Guards against a VM that has answered nothing yet being taken for empty: its first start may have
 * been carried out, and only the answer was lost. */
static void test_first_grant_without_an_answer_counts(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_given_up(&lease, &limits, 20 * S, 21 * S);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 26 * S);
}

/* Guards against a grant that is carried out late, while the lease before it still runs. */
static void test_late_grant_extends_a_running_lease(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_answered(&lease, &limits, 20 * S);
	batch_lease_given_up(&lease, &limits, 20 * S, 21 * S);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 30 * S);
}

/* Guards against several late grants, each of which keeps the tasks alive for the next one. */
static void test_late_grants_extend_each_other(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_answered(&lease, &limits, 20 * S);
	for (unsigned i = 0; i < 9; i++)
		batch_lease_given_up(&lease, &limits, 20 * S, 21 * S);
	/* The latest is carried out 12 s after it was sent. */
	assert_int_equal(batch_lease_end_us(&lease, &limits), 37 * S);
}

/* Guards against a lost answer that delays the loss of a VM's tasks for ever. */
static void test_old_losses_are_forgotten(void **state)
{
	batch_lease_t lease = {0};

	batch_lease_given_up(&lease, &limits, 20 * S, 21 * S);
	batch_lease_answered(&lease, &limits, 60 * S);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 65 * S);
	batch_lease_given_up(&lease, &limits, 61 * S, 62 * S);
	assert_int_equal(lease.unanswered, 1);
	assert_int_equal(batch_lease_end_us(&lease, &limits), 70 * S);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answered_grant_runs_its_length),
		cmocka_unit_test(test_first_grant_without_an_answer_counts),
		cmocka_unit_test(test_late_grant_extends_a_running_lease),
		cmocka_unit_test(test_late_grants_extend_each_other),
		cmocka_unit_test(test_old_losses_are_forgotten),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
