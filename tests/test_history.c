#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "lib_history.h"

#define EXECUTION(event, time, vm, key, path, epoch)                                      \
	"{\"event\":\"" event "\",\"time_us\":" #time ",\"vm\":\"" vm "\",\"key\":\"" key \
	"\",\"path\":\"/x/" path "\",\"epoch\":" #epoch "}"
#define INVOKE(id, attempt, sent) \
	"{\"event\":\"invoke\",\"id\":\"" id "\",\"attempt\":" #attempt ",\"sent_us\":" #sent "}"
#define COMPLETE(id, attempt, status, outcome, body)                                             \
	"{\"event\":\"complete\",\"id\":\"" id "\",\"attempt\":" #attempt ",\"status\":" #status \
	",\"outcome\":\"" outcome "\",\"body\":\"" body "\"}"
#define OBSERVATION(time, vm, epoch, pool, cordoned)                                     \
	"{\"time_us\":" #time ",\"vm\":\"" vm "\",\"epoch\":" #epoch ",\"pool\":\"" pool \
	"\",\"cordoned\":" #cordoned "}"

static history_result_t check(const char *executions, const char *calls, const char *observations)
{
	json_t *lists[] = {
		json_loads(executions, 0, NULL),
		json_loads(calls, 0, NULL),
		json_loads(observations, 0, NULL),
	};
	history_result_t result;

	for (size_t i = 0; i < 3; i++)
		assert_non_null(lists[i]);
	(void)history_check(lists[0], lists[1], lists[2], &result);
	for (size_t i = 0; i < 3; i++)
		json_decref(lists[i]);
	return result;
}

/* Checks that there is exactly one violation, that it is of the expected kind, and that its
 * description starts with the name of that kind. */
static void expect_violation(const history_result_t *result, history_violation_t expected)
{
	for (unsigned kind = 0; kind < HISTORY_VIOLATION_KINDS; kind++) {
		if (result->violations[kind] != (kind == expected))
			fail_msg("%s: %u violations (%s)", history_violation_name(kind),
				 (unsigned)result->violations[kind], result->first_violation);
	}
	assert_memory_equal(result->first_violation, history_violation_name(expected),
			    strlen(history_violation_name(expected)));
}

/* Guards against false positives for a resend after outcome not-run, a lost response, and a run
 * under an old epoch within the deadline. */
static void test_valid_history_is_accepted(void **state)
{
	history_result_t result = check(
		"[" EXECUTION("start", 100, "v1", "k1", "a", 1) "," EXECUTION(
			"end", 110, "v1", "k1", "a", 1) "," EXECUTION("start", 5600000, "v1", "k2",
								      "b", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "not-run", "none") "," INVOKE(
			"a", 2,
			90) "," COMPLETE("a", 2, 200, "ran",
					 "own") "," COMPLETE("b", 1, 503, "unknown",
							     "none") "," COMPLETE("c", 1, 503,
										  "not-run",
										  "none") "]",
		"[" OBSERVATION(100, "v1", 1, "p", false) "," OBSERVATION(100000, "v1", 2, "p",
									  true) "]");

	assert_string_equal(result.first_violation, "");
	assert_int_equal(result.executions, 2);
	assert_int_equal(result.keys, 2);
	assert_int_equal(result.not_run, 2);
	assert_int_equal(result.cordons, 1);
}

static void test_duplicate_run_is_found(void **state)
{
	history_result_t result =
		check("[" EXECUTION("start", 100, "v1", "k1", "a",
				    1) "," EXECUTION("start", 200, "v2", "k1", "a", 1) "]",
		      "[]", "[]");

	expect_violation(&result, HISTORY_DUPLICATE_RUN);
}

/* Running a request without an idempotency key twice is no violation. */
static void test_repeatable_may_run_twice(void **state)
{
	history_result_t result = check("[" EXECUTION("start", 100, "v1", "", "a", 1) "," EXECUTION(
						"start", 200, "v2", "", "a", 1) "]",
					"[]", "[]");

	assert_string_equal(result.first_violation, "");
}

/* Outcome not-run for a request that ran is a violation. */
static void test_false_not_run_is_found(void **state)
{
	history_result_t result = check(
		"[" EXECUTION("start", 100, "v1", "", "a", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "not-run", "none") "]", "[]");

	expect_violation(&result, HISTORY_FALSE_NOT_RUN);
}

/* Outcome not-run for a resend is a violation when an earlier attempt ran. */
static void test_false_not_run_of_resend_is_found(void **state)
{
	history_result_t result = check(
		"[" EXECUTION("start", 100, "v1", "k", "a", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "unknown", "none") "," INVOKE(
			"a", 2, 150) "," COMPLETE("a", 2, 503, "not-run", "none") "]",
		"[]");

	expect_violation(&result, HISTORY_FALSE_NOT_RUN);
}

/* Outcome not-run is a violation when the attempt runs after the response but before the resend. */
static void test_run_after_not_run_is_found(void **state)
{
	history_result_t result = check(
		"[" EXECUTION("start", 100, "v1", "k", "a", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "not-run", "none") "," INVOKE(
			"a", 2, 150) "," COMPLETE("a", 2, 200, "ran", "own") "]",
		"[]");

	expect_violation(&result, HISTORY_FALSE_NOT_RUN);
}

static void test_ran_without_execution_is_found(void **state)
{
	history_result_t result = check("[]", "[" COMPLETE("a", 1, 200, "ran", "own") "]", "[]");

	expect_violation(&result, HISTORY_FALSE_RAN);
}

static void test_wrong_body_is_found(void **state)
{
	history_result_t result = check("[" EXECUTION("start", 100, "v1", "", "a", 1) "]",
					"[" COMPLETE("a", 1, 200, "ran", "other") "]", "[]");

	expect_violation(&result, HISTORY_WRONG_BODY);
}

static void test_late_run_under_old_epoch_is_found(void **state)
{
	history_result_t result = check("[" EXECUTION("start", 5600001, "v1", "", "a", 1) "]", "[]",
					"[" OBSERVATION(100, "v1", 1, "p", false) "," OBSERVATION(
						100000, "v1", 2, "p", true) "]");

	expect_violation(&result, HISTORY_STALE_EPOCH_RUN);
}

/* A run under a cordoned epoch is a violation at any time: the deadline for old epochs does not
 * apply, because the sender knew of the cordon. */
static void test_run_under_cordoned_epoch_is_found(void **state)
{
	history_result_t result = check("[" EXECUTION("start", 200, "v1", "", "a", 2) "]", "[]",
					"[" OBSERVATION(100000, "v1", 2, "p", true) "]");

	expect_violation(&result, HISTORY_STALE_EPOCH_RUN);
}

/* A run without an epoch is a violation when the VM was cordoned longer ago than the deadline.
 * Targets accept requests without an epoch. */
static void test_late_run_without_epoch_is_found(void **state)
{
	history_result_t result = check("[" EXECUTION("start", 5600001, "v1", "", "a", 0) "]", "[]",
					"[" OBSERVATION(100000, "v1", 2, "p", true) "]");

	expect_violation(&result, HISTORY_STALE_EPOCH_RUN);
}

/* The earliest observation of an epoch must count, regardless of the order in which observations
 * are listed. */
static void test_observations_may_be_in_any_order(void **state)
{
	history_result_t result =
		check("[" EXECUTION("start", 9000000, "v1", "", "a", 1) "]", "[]",
		      "[" OBSERVATION(8000000, "v1", 2, "p", true) "," OBSERVATION(100000, "v1", 2,
										   "p", true) "]");

	expect_violation(&result, HISTORY_STALE_EPOCH_RUN);
}

static void test_run_after_uncordon_is_accepted(void **state)
{
	history_result_t result = check("[" EXECUTION("start", 9000000, "v1", "", "a", 3) "]", "[]",
					"[" OBSERVATION(100000, "v1", 2, "p", true) "," OBSERVATION(
						200000, "v1", 3, "p", false) "]");

	assert_string_equal(result.first_violation, "");
}

static void test_two_pools_are_found(void **state)
{
	history_result_t result = check("[]", "[]",
					"[" OBSERVATION(100, "v1", 1, "p", false) "," OBSERVATION(
						200, "v1", 1, "q", false) "]");

	expect_violation(&result, HISTORY_TWO_POOLS);
}

static void test_move_to_other_pool_is_accepted(void **state)
{
	history_result_t result = check("[]", "[]",
					"[" OBSERVATION(100, "v1", 1, "p", false) "," OBSERVATION(
						200, "v1", 2, "q", false) "]");

	assert_string_equal(result.first_violation, "");
}

static void test_interrupted_run_is_found(void **state)
{
	history_result_t result =
		check("[" EXECUTION("lost", 100, "v1", "", "a", 1) "]", "[]", "[]");

	expect_violation(&result, HISTORY_INTERRUPTED_RUN);
}

/* A line with missing fields or an unknown event must be reported, not skipped. */
static void test_invalid_lines_are_found(void **state)
{
	history_result_t result = check("[{\"event\":\"start\"}]", "[]", "[]");

	expect_violation(&result, HISTORY_INVALID_LINE);
	result = check("[{\"event\":\"begin\"}]", "[]", "[]");
	expect_violation(&result, HISTORY_INVALID_LINE);
	result = check("[]", "[{\"event\":\"finish\"}]", "[]");
	expect_violation(&result, HISTORY_INVALID_LINE);
	result = check("[]", "[]", "[{\"vm\":\"v1\"}]");
	expect_violation(&result, HISTORY_INVALID_LINE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_history_is_accepted),
		cmocka_unit_test(test_duplicate_run_is_found),
		cmocka_unit_test(test_repeatable_may_run_twice),
		cmocka_unit_test(test_false_not_run_is_found),
		cmocka_unit_test(test_false_not_run_of_resend_is_found),
		cmocka_unit_test(test_run_after_not_run_is_found),
		cmocka_unit_test(test_ran_without_execution_is_found),
		cmocka_unit_test(test_wrong_body_is_found),
		cmocka_unit_test(test_late_run_under_old_epoch_is_found),
		cmocka_unit_test(test_run_under_cordoned_epoch_is_found),
		cmocka_unit_test(test_late_run_without_epoch_is_found),
		cmocka_unit_test(test_observations_may_be_in_any_order),
		cmocka_unit_test(test_run_after_uncordon_is_accepted),
		cmocka_unit_test(test_two_pools_are_found),
		cmocka_unit_test(test_move_to_other_pool_is_accepted),
		cmocka_unit_test(test_interrupted_run_is_found),
		cmocka_unit_test(test_invalid_lines_are_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
