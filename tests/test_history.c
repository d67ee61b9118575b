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
#define VIEW(time, vm, epoch, pool, cordoned)                                            \
	"{\"time_us\":" #time ",\"vm\":\"" vm "\",\"epoch\":" #epoch ",\"pool\":\"" pool \
	"\",\"cordoned\":" #cordoned "}"

static history_t check(const char *executions, const char *calls, const char *views)
{
	json_t *lists[] = {
		json_loads(executions, 0, NULL),
		json_loads(calls, 0, NULL),
		json_loads(views, 0, NULL),
	};
	history_t history;

	for (size_t i = 0; i < 3; i++)
		assert_non_null(lists[i]);
	(void)history_check(lists[0], lists[1], lists[2], &history);
	for (size_t i = 0; i < 3; i++)
		json_decref(lists[i]);
	return history;
}

/* Exactly one fault, of this kind, and described. */
static void expect(const history_t *history, history_fault_t fault)
{
	for (unsigned f = 0; f < HISTORY_FAULTS; f++) {
		if (history->faults[f] != (f == fault))
			fail_msg("%s: %u faults (%s)", history_fault_name(f),
				 (unsigned)history->faults[f], history->first);
	}
	assert_memory_equal(history->first, history_fault_name(fault),
			    strlen(history_fault_name(fault)));
}

/* Guards against a checker that rejects correct runs: resends after a truthful refusal, answers
 * that were lost, and work within the bound. */
static void test_good_history_is_accepted(void **state)
{
	history_t history = check(
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
		"[" VIEW(100, "v1", 1, "p", false) "," VIEW(100000, "v1", 2, "p", true) "]");

	assert_string_equal(history.first, "");
	assert_int_equal(history.executions, 2);
	assert_int_equal(history.keys, 2);
	assert_int_equal(history.not_run, 2);
	assert_int_equal(history.cordons, 1);
}

static void test_second_run_is_found(void **state)
{
	history_t history = check("[" EXECUTION("start", 100, "v1", "k1", "a", 1) "," EXECUTION(
					  "start", 200, "v2", "k1", "a", 1) "]",
				  "[]", "[]");

	expect(&history, HISTORY_SECOND_RUN);
}

static void test_repeatable_runs_twice(void **state)
{
	history_t history = check("[" EXECUTION("start", 100, "v1", "", "a", 1) "," EXECUTION(
					  "start", 200, "v2", "", "a", 1) "]",
				  "[]", "[]");

	assert_string_equal(history.first, "");
}

static void test_false_refusal_is_found(void **state)
{
	history_t history = check(
		"[" EXECUTION("start", 100, "v1", "", "a", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "not-run", "none") "]", "[]");

	expect(&history, HISTORY_FALSE_NOT_RUN);
}

/* A refusal of a resend is false when an earlier sending ran. */
static void test_false_refusal_of_resend_is_found(void **state)
{
	history_t history = check(
		"[" EXECUTION("start", 100, "v1", "k", "a", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "unknown", "none") "," INVOKE(
			"a", 2, 150) "," COMPLETE("a", 2, 503, "not-run", "none") "]",
		"[]");

	expect(&history, HISTORY_FALSE_NOT_RUN);
}

/* A refusal is false when the refused sending runs later, before the resend. */
static void test_refusal_before_late_run_is_found(void **state)
{
	history_t history = check(
		"[" EXECUTION("start", 100, "v1", "k", "a", 1) "]",
		"[" INVOKE("a", 1, 50) "," COMPLETE("a", 1, 503, "not-run", "none") "," INVOKE(
			"a", 2, 150) "," COMPLETE("a", 2, 200, "ran", "own") "]",
		"[]");

	expect(&history, HISTORY_FALSE_NOT_RUN);
}

static void test_ran_without_execution_is_found(void **state)
{
	history_t history = check("[]", "[" COMPLETE("a", 1, 200, "ran", "own") "]", "[]");

	expect(&history, HISTORY_FALSE_RAN);
}

static void test_other_answer_is_found(void **state)
{
	history_t history = check("[" EXECUTION("start", 100, "v1", "", "a", 1) "]",
				  "[" COMPLETE("a", 1, 200, "ran", "other") "]", "[]");

	expect(&history, HISTORY_OTHER_ANSWER);
}

static void test_late_work_is_found(void **state)
{
	history_t history =
		check("[" EXECUTION("start", 5600001, "v1", "", "a", 1) "]", "[]",
		      "[" VIEW(100, "v1", 1, "p", false) "," VIEW(100000, "v1", 2, "p", true) "]");

	expect(&history, HISTORY_LATE_WORK);
}

/* A process that knows the cordon must send nothing, so no bound applies. */
static void test_work_under_cordoned_epoch_is_found(void **state)
{
	history_t history = check("[" EXECUTION("start", 200, "v1", "", "a", 2) "]", "[]",
				  "[" VIEW(100000, "v1", 2, "p", true) "]");

	expect(&history, HISTORY_LATE_WORK);
}

/* A target takes work without an epoch, so this must not hide late work. */
static void test_late_work_without_epoch_is_found(void **state)
{
	history_t history = check("[" EXECUTION("start", 5600001, "v1", "", "a", 0) "]", "[]",
				  "[" VIEW(100000, "v1", 2, "p", true) "]");

	expect(&history, HISTORY_LATE_WORK);
}

/* The order of the views must not matter: the first observation counts. */
static void test_late_work_is_found_in_any_order(void **state)
{
	history_t history = check(
		"[" EXECUTION("start", 9000000, "v1", "", "a", 1) "]", "[]",
		"[" VIEW(8000000, "v1", 2, "p", true) "," VIEW(100000, "v1", 2, "p", true) "]");

	expect(&history, HISTORY_LATE_WORK);
}

static void test_work_under_returned_epoch_is_accepted(void **state)
{
	history_t history = check(
		"[" EXECUTION("start", 9000000, "v1", "", "a", 3) "]", "[]",
		"[" VIEW(100000, "v1", 2, "p", true) "," VIEW(200000, "v1", 3, "p", false) "]");

	assert_string_equal(history.first, "");
}

static void test_two_pools_are_found(void **state)
{
	history_t history =
		check("[]", "[]",
		      "[" VIEW(100, "v1", 1, "p", false) "," VIEW(200, "v1", 1, "q", false) "]");

	expect(&history, HISTORY_TWO_POOLS);
}

static void test_move_to_other_pool_is_accepted(void **state)
{
	history_t history =
		check("[]", "[]",
		      "[" VIEW(100, "v1", 1, "p", false) "," VIEW(200, "v1", 2, "q", false) "]");

	assert_string_equal(history.first, "");
}

static void test_interrupted_work_is_found(void **state)
{
	history_t history = check("[" EXECUTION("lost", 100, "v1", "", "a", 1) "]", "[]", "[]");

	expect(&history, HISTORY_INTERRUPTED);
}

/* Lines that cannot be checked must not count as a pass. */
static void test_broken_lines_are_found(void **state)
{
	history_t history = check("[{\"event\":\"start\"}]", "[]", "[]");

	expect(&history, HISTORY_BROKEN);
	history = check("[{\"event\":\"begin\"}]", "[]", "[]");
	expect(&history, HISTORY_BROKEN);
	history = check("[]", "[{\"event\":\"finish\"}]", "[]");
	expect(&history, HISTORY_BROKEN);
	history = check("[]", "[]", "[{\"vm\":\"v1\"}]");
	expect(&history, HISTORY_BROKEN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_good_history_is_accepted),
		cmocka_unit_test(test_second_run_is_found),
		cmocka_unit_test(test_repeatable_runs_twice),
		cmocka_unit_test(test_false_refusal_is_found),
		cmocka_unit_test(test_false_refusal_of_resend_is_found),
		cmocka_unit_test(test_refusal_before_late_run_is_found),
		cmocka_unit_test(test_ran_without_execution_is_found),
		cmocka_unit_test(test_other_answer_is_found),
		cmocka_unit_test(test_late_work_is_found),
		cmocka_unit_test(test_work_under_cordoned_epoch_is_found),
		cmocka_unit_test(test_late_work_without_epoch_is_found),
		cmocka_unit_test(test_late_work_is_found_in_any_order),
		cmocka_unit_test(test_work_under_returned_epoch_is_accepted),
		cmocka_unit_test(test_two_pools_are_found),
		cmocka_unit_test(test_move_to_other_pool_is_accepted),
		cmocka_unit_test(test_interrupted_work_is_found),
		cmocka_unit_test(test_broken_lines_are_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
