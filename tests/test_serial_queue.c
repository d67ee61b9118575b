/* Tests of the calls to a peer that handles one call at a time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "serial_queue.h"

#define CALLS 12

static unsigned send_all(serial_queue_t *queue)
{
	unsigned sent = 0;

	while (serial_queue_next(queue) != NULL)
		sent++;
	return sent;
}

/* Guards against calls that wait at the peer until they time out. */
static void test_calls_under_way_are_answered_in_time(void **state)
{
	serial_queue_t queue;
	serial_source_t source = {0};
	serial_call_t calls[CALLS];

	serial_queue_init(&queue);
	for (unsigned i = 0; i < CALLS; i++)
		serial_queue_add(&queue, &source, &calls[i], 1200 * US_PER_MS);
	assert_int_equal(send_all(&queue), 2);
	assert_true(serial_queue_is_full(&queue));
	serial_queue_ended(&queue, &calls[0]);
	assert_ptr_equal(serial_queue_next(&queue), &calls[2]);
	assert_null(serial_queue_next(&queue));
	while (serial_queue_withdraw(&queue) != NULL)
		;
	serial_queue_ended(&queue, &calls[1]);
	serial_queue_ended(&queue, &calls[2]);
	assert_false(serial_queue_is_full(&queue));
}

/* Guards against a call that is never sent because its declared time is longer than the limit. */
static void test_long_call_is_sent_alone(void **state)
{
	serial_queue_t queue;
	serial_source_t source = {0};
	serial_call_t calls[2];

	serial_queue_init(&queue);
	for (unsigned i = 0; i < 2; i++)
		serial_queue_add(&queue, &source, &calls[i], 60 * US_PER_S);
	assert_int_equal(send_all(&queue), 1);
	serial_queue_ended(&queue, &calls[0]);
	assert_int_equal(send_all(&queue), 1);
}

/* Guards against more connections to a peer with short times than it needs. */
static void test_few_short_calls_are_under_way(void **state)
{
	serial_queue_t queue;
	serial_source_t source = {0};
	serial_call_t calls[CALLS];

	serial_queue_init(&queue);
	for (unsigned i = 0; i < CALLS; i++)
		serial_queue_add(&queue, &source, &calls[i], 0);
	assert_int_equal(send_all(&queue), SERIAL_CALLS_MAX);
}

/* Guards against renewals of tickets that wait behind the requests of steps without any. */
static void test_first_call_goes_before_those_that_wait(void **state)
{
	serial_queue_t queue;
	serial_source_t source = {0};
	serial_call_t calls[3];

	serial_queue_init(&queue);
	serial_queue_add(&queue, &source, &calls[0], US_PER_MS);
	serial_queue_add(&queue, &source, &calls[1], US_PER_MS);
	serial_queue_add_first(&queue, &calls[2], US_PER_MS);
	assert_ptr_equal(serial_queue_next(&queue), &calls[2]);
	assert_ptr_equal(serial_queue_next(&queue), &calls[0]);
	assert_ptr_equal(serial_queue_next(&queue), &calls[1]);
}

/* Guards against renewals of tickets that overtake each other. */
static void test_first_calls_go_in_the_order_of_their_arrival(void **state)
{
	serial_queue_t queue;
	serial_source_t source = {0};
	serial_call_t calls[4];

	serial_queue_init(&queue);
	serial_queue_add(&queue, &source, &calls[0], US_PER_MS);
	serial_queue_add_first(&queue, &calls[1], US_PER_MS);
	serial_queue_add_first(&queue, &calls[2], US_PER_MS);
	assert_ptr_equal(serial_queue_next(&queue), &calls[1]);
	serial_queue_return(&queue, &calls[1]);
	assert_ptr_equal(serial_queue_next(&queue), &calls[1]);
	assert_ptr_equal(serial_queue_next(&queue), &calls[2]);
	assert_ptr_equal(serial_queue_next(&queue), &calls[0]);
}

/* Guards against a call of one source that waits for all calls of another one. */
static void test_sources_share_the_time_of_the_peer(void **state)
{
	serial_queue_t queue;
	serial_source_t sources[2] = {0};
	serial_call_t calls[CALLS];
	serial_call_t other;
	unsigned before = 0;

	serial_queue_init(&queue);
	for (unsigned i = 0; i < CALLS; i++)
		serial_queue_add(&queue, &sources[0], &calls[i], 600 * US_PER_MS);
	for (unsigned i = 0; i < 3; i++)
		serial_queue_hand_over(&queue, TAILQ_FIRST(&queue.waiting));
	assert_ptr_equal(TAILQ_FIRST(&queue.waiting), &calls[3]);
	serial_queue_add(&queue, &sources[1], &other, 5 * US_PER_MS);
	for (; TAILQ_FIRST(&queue.waiting) != &other; before++)
		serial_queue_hand_over(&queue, TAILQ_FIRST(&queue.waiting));
	assert_true(before <= 1);
	serial_queue_hand_over(&queue, &other);
	assert_int_equal(serial_queue_length(&queue), CALLS - 3 - before);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls_under_way_are_answered_in_time),
		cmocka_unit_test(test_long_call_is_sent_alone),
		cmocka_unit_test(test_few_short_calls_are_under_way),
		cmocka_unit_test(test_first_call_goes_before_those_that_wait),
		cmocka_unit_test(test_first_calls_go_in_the_order_of_their_arrival),
		cmocka_unit_test(test_sources_share_the_time_of_the_peer),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
