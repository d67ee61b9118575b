#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "http_budget.h"

#define MIB ((size_t)1024 * 1024)
#define S 1000000ULL

/* Guards against more than the limit, and against large holders that use up what is kept for small
 * ones. */
static void test_large_holders_leave_room_for_small_ones(void **state)
{
	http_budget_t budget;
	http_holder_t large[4];
	http_holder_t small;

	http_budget_init(&budget, 4 * MIB);
	for (unsigned i = 0; i < 4; i++) {
		http_budget_add(&budget, &large[i], 0);
		assert_int_equal(http_budget_fits(&budget, &large[i], MIB), i < 3);
		if (i < 3)
			http_budget_set(&budget, &large[i], MIB);
	}
	http_budget_add(&budget, &small, 0);
	assert_true(http_budget_fits(&budget, &small, HTTP_BUDGET_SMALL_BYTES));
	assert_false(http_budget_fits(&budget, &small, HTTP_BUDGET_SMALL_BYTES + 1));
	/* What a holder has already is not counted twice. */
	assert_true(http_budget_fits(&budget, &large[0], MIB));
	assert_false(http_budget_fits(&budget, &large[0], MIB + 1));
	http_budget_remove(&budget, &large[1]);
	assert_true(http_budget_fits(&budget, &large[3], MIB));
	assert_int_equal(budget.used, 2 * MIB);
}

/* Guards against a sender that is slow but steady and gives way, or a stalled one that does not. */
static void test_stalled_holders_give_way(void **state)
{
	http_budget_t budget;
	http_holder_t steady;
	http_holder_t trickling;
	http_holder_t handled;

	http_budget_init(&budget, MIB);
	http_budget_add(&budget, &handled, 0);
	http_budget_add(&budget, &trickling, 0);
	http_budget_add(&budget, &steady, 0);
	http_budget_set(&budget, &handled, 50000);
	http_budget_set(&budget, &trickling, 50000);
	http_budget_set(&budget, &steady, 50000);
	handled.may_give_way = false;
	for (uint64_t now_us = 0; now_us <= 5 * S; now_us += S / 2) {
		http_budget_received(&budget, &steady, HTTP_BUDGET_PROGRESS_BYTES, now_us);
		http_budget_received(&budget, &trickling, 1, now_us);
		assert_ptr_equal(http_budget_choose(&budget, NULL, now_us),
				 now_us >= HTTP_BUDGET_STALL_US ? &trickling : NULL);
	}
	assert_null(http_budget_choose(&budget, &trickling, 5 * S));
}

/* Guards against closing many idle connections although one stalled body holds more than all. */
static void test_the_one_that_holds_most_gives_way_first(void **state)
{
	http_budget_t budget;
	http_holder_t idle[10];
	http_holder_t body;

	http_budget_init(&budget, 4 * MIB);
	for (unsigned i = 0; i < 10; i++) {
		http_budget_add(&budget, &idle[i], 0);
		http_budget_set(&budget, &idle[i], 34000);
	}
	http_budget_add(&budget, &body, 1 * S);
	http_budget_set(&budget, &body, MIB);
	assert_ptr_equal(http_budget_choose(&budget, NULL, 3 * S), &body);
	http_budget_remove(&budget, &body);
	assert_ptr_equal(http_budget_choose(&budget, NULL, 3 * S), &idle[0]);
}

/* Guards against a limit of 0 that refuses everything. */
static void test_no_limit(void **state)
{
	http_budget_t budget;
	http_holder_t holder;

	http_budget_init(&budget, 0);
	http_budget_add(&budget, &holder, 0);
	assert_true(http_budget_fits(&budget, &holder, 100 * MIB));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_large_holders_leave_room_for_small_ones),
		cmocka_unit_test(test_stalled_holders_give_way),
		cmocka_unit_test(test_the_one_that_holds_most_gives_way_first),
		cmocka_unit_test(test_no_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
