/* Tests of the calls to one peer: their order, and how many are under way. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "call_queue.h"
#include "clock.h"

#define STEP_US US_PER_MS
#define CALLS_MAX 1000
/* Time after which a call without a response ends. */
#define TIMEOUT_US (700 * US_PER_MS)
/* Time of a response from which on the peer counts as overloaded. */
#define SLOW_US (300 * US_PER_MS)
/* Time within which users want a cancelled task to be told to stop. */
#define CANCEL_US (3000 * US_PER_MS)

/* A peer that answers each call after some time. */
typedef struct {
	call_budget_t budget;
	call_queue_t queue;
	call_t calls[CALLS_MAX];
	uint64_t end_us[CALLS_MAX]; /* time when the call ends; 0: it was not sent */
	bool ended[CALLS_MAX];
	uint64_t now_us;
	uint64_t relayed_us; /* time of a response on its way here */
	uint64_t free_us;    /* time until which a serial peer works */
	unsigned most_under_way;
	unsigned timeouts;
} peer_t;

static peer_t *peer_new(call_queue_role_t role)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->budget.max = 200;
	peer->now_us = US_PER_S;
	call_queue_init(&peer->queue, role, &peer->budget, SLOW_US);
	return peer;
}

static void peer_free(peer_t *peer)
{
	call_queue_finish(&peer->queue);
	assert_int_equal(peer->budget.used, 0);
	g_free(peer);
}

static void add_calls(peer_t *peer, unsigned first, unsigned count, call_kind_t kind)
{
	for (unsigned i = first; i < first + count; i++)
		call_queue_add(&peer->queue, &peer->calls[i], kind, peer->now_us);
}

/* @return time of the peer's work on a call, in microseconds */
typedef uint64_t (*work_fn)(peer_t *peer);

static void send_calls(peer_t *peer, work_fn work)
{
	call_t *call;

	while ((call = call_queue_next(&peer->queue, peer->now_us)) != NULL)
		peer->end_us[call - peer->calls] = peer->now_us + work(peer) + peer->relayed_us;
	peer->most_under_way = MAX(peer->most_under_way, peer->queue.under_way_count);
}

static void end_calls(peer_t *peer)
{
	for (unsigned i = 0; i < CALLS_MAX; i++) {
		uint64_t timeout_us = peer->calls[i].sent_us + TIMEOUT_US;

		if (peer->end_us[i] == 0 || peer->ended[i] ||
		    peer->now_us < MIN(peer->end_us[i], timeout_us))
			continue;
		peer->ended[i] = true;
		peer->timeouts += peer->end_us[i] > timeout_us;
		if (peer->end_us[i] <= timeout_us)
			call_answered(&peer->calls[i],
				      peer->now_us - peer->calls[i].sent_us - peer->relayed_us,
				      peer->now_us);
		else
			call_failed(&peer->calls[i], peer->now_us);
	}
}

/* Plays until all calls are answered. @return time when the last one was sent, from now on */
static uint64_t play(peer_t *peer, work_fn work)
{
	uint64_t start_us = peer->now_us;
	uint64_t sent_us = 0;

	while (call_queue_waiting(&peer->queue) > 0 || peer->queue.under_way_count > 0) {
		send_calls(peer, work);
		if (call_queue_waiting(&peer->queue) > 0)
			sent_us = peer->now_us + STEP_US - start_us;
		peer->now_us += STEP_US;
		end_calls(peer);
		assert_true(peer->now_us < start_us + 60 * US_PER_S);
	}
	return sent_us;
}

static uint64_t prompt_work(peer_t *peer)
{
	return 3 * US_PER_MS;
}

static uint64_t slow_work(peer_t *peer)
{
	return 180 * US_PER_MS;
}

static uint64_t serial_work(peer_t *peer)
{
	peer->free_us = MAX(peer->free_us, peer->now_us) + 30 * US_PER_MS;
	return peer->free_us - peer->now_us;
}

static uint64_t no_answer(peer_t *peer)
{
	return 2 * TIMEOUT_US;
}

/* Guards against stops of a cancelled job that wait until the peer has answered earlier ones, so
 * that its tasks work on. */
static void test_stops_are_sent_in_time_to_a_slow_peer(void **state)
{
	static const unsigned counts[] = {5, 20, 96, 300, 600};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		peer_t *peer = peer_new(CALL_QUEUE_HTTP);

		add_calls(peer, 0, counts[i], CALL_STOP);
		assert_true(play(peer, slow_work) <= CANCEL_US);
		assert_in_range(peer->most_under_way, CALL_WINDOW_MIN, CALL_WINDOW_MAX);
		assert_int_equal(peer->timeouts, 0);
		peer_free(peer);
	}
}

/* Guards against a leader that is behind, or relays its calls, and therefore starts few tasks on a
 * VM that answers each call at once. */
static void test_leader_lets_many_calls_through_to_a_prompt_peer(void **state)
{
	peer_t *peer = peer_new(CALL_QUEUE_LEADER);

	peer->relayed_us = 60 * US_PER_MS;
	add_calls(peer, 0, 4, CALL_START);
	play(peer, prompt_work);
	add_calls(peer, 4, 300, CALL_START);
	play(peer, prompt_work);
	assert_int_equal(peer->most_under_way, CALL_PROMPT_MAX);
	peer_free(peer);
}

/* Guards against connections that a prompt peer does not need. */
static void test_prompt_peer_gets_few_calls_at_a_time(void **state)
{
	peer_t *peer = peer_new(CALL_QUEUE_HTTP);

	add_calls(peer, 0, 60, CALL_STOP);
	add_calls(peer, 60, 60, CALL_START);
	play(peer, prompt_work);
	assert_int_equal(peer->most_under_way, CALL_WINDOW_MIN);
	peer_free(peer);
}

/* Guards against a peer that answers more slowly the more calls it gets, so that most of them time
 * out and are repeated. */
static void test_peer_that_works_in_turn_answers_most_calls(void **state)
{
	peer_t *peer = peer_new(CALL_QUEUE_HTTP);

	add_calls(peer, 0, 300, CALL_STOP);
	play(peer, serial_work);
	assert_in_range(peer->timeouts, 0, 60);
	peer_free(peer);
}

/* Guards against many calls under way to a peer that does not answer at all. */
static void test_silent_peer_gets_few_calls(void **state)
{
	peer_t *peer = peer_new(CALL_QUEUE_HTTP);

	add_calls(peer, 0, 400, CALL_STOP);
	for (unsigned i = 0; i < 3000; i++) {
		send_calls(peer, no_answer);
		peer->now_us += STEP_US;
		end_calls(peer);
	}
	assert_int_equal(peer->queue.under_way_count, CALL_WINDOW_MIN);
	for (unsigned i = 0; i < 400; i++) {
		if (peer->end_us[i] == 0)
			call_withdraw(&peer->calls[i]);
	}
	play(peer, no_answer);
	peer_free(peer);
}

/* Guards against starts that hold up the stops of a cancelled job. */
static void test_stops_are_sent_before_starts(void **state)
{
	peer_t *peer = peer_new(CALL_QUEUE_HTTP);

	add_calls(peer, 0, 10, CALL_START);
	add_calls(peer, 10, 2, CALL_STOP);
	call_queue_add_first(&peer->queue, &peer->calls[12], CALL_START, peer->now_us);
	assert_ptr_equal(call_queue_next(&peer->queue, peer->now_us), &peer->calls[10]);
	assert_ptr_equal(call_queue_next(&peer->queue, peer->now_us), &peer->calls[11]);
	assert_ptr_equal(call_queue_next(&peer->queue, peer->now_us), &peer->calls[12]);
	assert_ptr_equal(call_queue_next(&peer->queue, peer->now_us), &peer->calls[0]);
	assert_null(call_queue_next(&peer->queue, peer->now_us));
	for (unsigned i = 1; i < 10; i++)
		call_withdraw(&peer->calls[i]);
	assert_int_equal(call_queue_waiting(&peer->queue), 0);
	peer_free(peer);
	/* The calls under way belonged to the queue that has ended. */
}

/* Guards against more connections for all peers together than a process may have. */
static void test_queues_share_the_budget(void **state)
{
	peer_t *peers[3];
	unsigned extra = 0;

	for (unsigned i = 0; i < G_N_ELEMENTS(peers); i++) {
		peers[i] = peer_new(CALL_QUEUE_HTTP);
		peers[i]->queue.budget = &peers[0]->budget;
		peers[i]->budget.max = 20;
		add_calls(peers[i], 0, 300, CALL_STOP);
	}
	for (unsigned step = 0; step < 800; step++) {
		extra = 0;
		for (unsigned i = 0; i < G_N_ELEMENTS(peers); i++) {
			send_calls(peers[i], slow_work);
			peers[i]->now_us += STEP_US;
			end_calls(peers[i]);
			assert_true(peers[i]->queue.under_way_count <= CALL_WINDOW_MIN + 20);
			extra += peers[i]->queue.under_way_count > CALL_WINDOW_MIN
					 ? peers[i]->queue.under_way_count - CALL_WINDOW_MIN
					 : 0;
		}
		assert_int_equal(extra, peers[0]->budget.used);
		assert_in_range(extra, 0, 20);
	}
	assert_in_range(extra, 15, 20);
	for (unsigned i = 0; i < G_N_ELEMENTS(peers); i++) {
		play(peers[i], slow_work);
		call_queue_finish(&peers[i]->queue);
	}
	assert_int_equal(peers[0]->budget.used, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS(peers); i++)
		g_free(peers[i]);
}

/* Guards against access to a queue that has ended, by a call whose response comes later. */
static void test_call_outlives_its_queue(void **state)
{
	peer_t *peer = peer_new(CALL_QUEUE_LEADER);

	add_calls(peer, 0, 2, CALL_STOP);
	send_calls(peer, slow_work);
	call_queue_finish(&peer->queue);
	assert_null(peer->calls[0].queue);
	call_answered(&peer->calls[0], 0, peer->now_us);
	call_failed(&peer->calls[0], peer->now_us);
	call_withdraw(&peer->calls[1]);
	peer_free(peer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stops_are_sent_in_time_to_a_slow_peer),
		cmocka_unit_test(test_prompt_peer_gets_few_calls_at_a_time),
		cmocka_unit_test(test_leader_lets_many_calls_through_to_a_prompt_peer),
		cmocka_unit_test(test_peer_that_works_in_turn_answers_most_calls),
		cmocka_unit_test(test_silent_peer_gets_few_calls),
		cmocka_unit_test(test_stops_are_sent_before_starts),
		cmocka_unit_test(test_queues_share_the_budget),
		cmocka_unit_test(test_call_outlives_its_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
