/* Tests of the window that bounds the starts in flight. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "start_window.h"

#define PROMPT_US (5 * US_PER_MS)
#define LATE_US (200 * US_PER_MS)
#define ROUND_US (100 * US_PER_MS)

/* Fills the window, and answers all starts in flight after latency_us. */
static void play_round(start_window_t *window, uint64_t latency_us, uint64_t now_us)
{
	while (start_window_room(window) > 0)
		start_window_add(window);
	for (unsigned in_flight = window->in_flight; in_flight > 0; in_flight--)
		start_window_answered(window, latency_us, now_us);
}

static unsigned play_rounds(start_window_t *window, unsigned rounds, uint64_t latency_us,
			    uint64_t *now_us)
{
	for (unsigned i = 0; i < rounds; i++) {
		*now_us += ROUND_US;
		play_round(window, latency_us, *now_us);
	}
	return start_window_room(window);
}

/* Guards against a leader that starts more than it can follow up, and against one that starts
 * nothing any more. */
static void test_window_shrinks_to_its_minimum_while_responses_are_late(void **state)
{
	start_window_t window;
	uint64_t now_us = US_PER_S;
	unsigned first;

	start_window_init(&window, now_us);
	first = start_window_room(&window);
	assert_true(play_rounds(&window, 2, LATE_US, &now_us) < first);
	assert_int_equal(play_rounds(&window, 100, LATE_US, &now_us), START_WINDOW_MIN);
	start_window_finish(&window);
}

/* Guards against a window that stays small after an overload, and against one that returns at once
 * to the size at which the overload began. */
static void test_window_grows_step_by_step_after_an_overload(void **state)
{
	start_window_t window;
	uint64_t now_us = US_PER_S;
	unsigned first;
	unsigned small;

	start_window_init(&window, now_us);
	first = start_window_room(&window);
	small = play_rounds(&window, 100, LATE_US, &now_us);
	assert_in_range(play_rounds(&window, 2, PROMPT_US, &now_us), small + 1, 2 * small);
	assert_true(play_rounds(&window, 200, PROMPT_US, &now_us) >= first);
	start_window_finish(&window);
}

/* Guards against a window that limits a leader which is not behind. */
static void test_window_doubles_while_it_is_used_and_responses_are_prompt(void **state)
{
	start_window_t window;
	uint64_t now_us = US_PER_S;
	unsigned first;

	start_window_init(&window, now_us);
	first = start_window_room(&window);
	assert_true(play_rounds(&window, 4, PROMPT_US, &now_us) >= 4 * first);
	start_window_finish(&window);
}

/* Guards against VMs that do not respond and thereby slow down the starts on all others. */
static void test_late_responses_of_some_vms_do_not_shrink_the_window(void **state)
{
	start_window_t window;
	uint64_t now_us = US_PER_S;
	unsigned first;

	start_window_init(&window, now_us);
	first = start_window_room(&window);
	for (unsigned i = 0; i < 100; i++) {
		now_us += ROUND_US;
		for (unsigned j = 0; j < 20; j++)
			start_window_add(&window);
		for (unsigned j = 0; j < 20; j++)
			start_window_answered(&window, j < 18 ? LATE_US : PROMPT_US, now_us);
	}
	assert_true(start_window_room(&window) >= first);
	/* Too few responses to tell a busy leader from a single silent VM. */
	for (unsigned i = 0; i < 4; i++) {
		start_window_add(&window);
		start_window_answered(&window, LATE_US, now_us += ROUND_US);
	}
	assert_true(start_window_room(&window) >= first);
	start_window_finish(&window);
}

/* Guards against starts while the event loop is late, and against one delay that closes the
 * window. */
static void test_delay_of_the_event_loop_shrinks_the_window_once(void **state)
{
	start_window_t window;
	uint64_t now_us = US_PER_S;
	unsigned first;
	unsigned second;

	start_window_init(&window, now_us);
	first = start_window_room(&window);
	now_us += ROUND_US;
	start_window_delayed(&window, LATE_US, now_us);
	second = start_window_room(&window);
	assert_in_range(second, first / 2, first - 1);
	start_window_delayed(&window, LATE_US, now_us + 1);
	assert_int_equal(start_window_room(&window), second);
	start_window_delayed(&window, PROMPT_US, now_us + ROUND_US);
	assert_int_equal(start_window_room(&window), second);
	start_window_finish(&window);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_window_shrinks_to_its_minimum_while_responses_are_late),
		cmocka_unit_test(test_window_grows_step_by_step_after_an_overload),
		cmocka_unit_test(test_window_doubles_while_it_is_used_and_responses_are_prompt),
		cmocka_unit_test(test_late_responses_of_some_vms_do_not_shrink_the_window),
		cmocka_unit_test(test_delay_of_the_event_loop_shrinks_the_window_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
