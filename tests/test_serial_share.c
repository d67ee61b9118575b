/* Tests of calls that several processes make to a peer which handles one call at a time for each.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "advice_size.h"
#include "clock.h"
#include "serial_share.h"

#define CALLS_MAX 60
#define NODES_MAX 41
#define STEP_US (10 * US_PER_MS)

/* A peer with a virtual clock, and the processes that call it. */
typedef struct {
	unsigned helpers;
	bool in_turn;	      /* the peer handles the calls of all processes in turn */
	unsigned slowness;    /* true time of a call, relative to the declared one */
	unsigned waiting_max; /* calls that wait at the peer before it refuses others; 0: any number
			       */
	uint32_t silent_nodes; /* bit set of the nodes that do not answer */
} peer_t;

typedef struct {
	shared_call_t shared;
	bool sent;
	uint64_t turn_us; /* time at which the peer begins to work on it */
	uint64_t end_us;
	serial_result_t result;
	bool answered;
	shared_call_t late;   /* the call before another one was made in its place */
	uint64_t late_end_us; /* time of its answer; 0: none will come */
} play_call_t;

typedef struct {
	serial_share_t share;
	uint64_t now_us;
	uint64_t free_us[NODES_MAX];
	play_call_t calls[CALLS_MAX];
	unsigned answered;
	unsigned refused;
	unsigned timed_out;
	unsigned late;
	unsigned most_helpers;
} play_t;

static unsigned waiting_at_peer(const play_t *play)
{
	unsigned waiting = 0;

	for (unsigned i = 0; i < CALLS_MAX; i++)
		waiting += play->calls[i].sent && play->calls[i].turn_us > play->now_us;
	return waiting;
}

static void send(play_t *play, const peer_t *peer, play_call_t *call)
{
	uint32_t node = call->shared.node;
	uint64_t *free_us = &play->free_us[peer->in_turn ? 0 : node];
	uint64_t limit_us = play->now_us + call->shared.limit_us;

	call->sent = true;
	call->result = SERIAL_ANSWERED;
	call->turn_us = play->now_us;
	if (peer->waiting_max > 0 && waiting_at_peer(play) >= peer->waiting_max) {
		call->result = SERIAL_REFUSED;
		call->end_us = play->now_us + STEP_US;
		return;
	}
	call->end_us = limit_us;
	if (peer->silent_nodes & (1U << node)) {
		call->result = SERIAL_NO_ANSWER;
		return;
	}
	call->turn_us = MAX(*free_us, play->now_us);
	*free_us = call->turn_us + call->shared.call.work_us * MAX(peer->slowness, 1);
	if (*free_us > limit_us)
		call->result = SERIAL_NO_ANSWER;
	else
		call->end_us = *free_us;
}

static void end(play_t *play, play_call_t *call)
{
	call->sent = false;
	serial_share_ended(&play->share, &call->shared, call->result,
			   play->now_us - call->shared.sent_us, play->now_us);
	if (call->result == SERIAL_ANSWERED) {
		play->answered += !call->answered;
		call->answered = true;
		return;
	}
	play->refused += call->result == SERIAL_REFUSED;
	play->timed_out += call->result == SERIAL_NO_ANSWER;
	if (!call->answered)
		serial_queue_return(&play->share.queue, &call->shared.call);
}

/* Asks again for a call that is late. */
static void replace(play_t *play, play_call_t *call)
{
	play->late++;
	call->sent = false;
	call->late = call->shared;
	call->shared.repeated = true;
	call->late_end_us = call->result == SERIAL_ANSWERED ? call->end_us : 0;
	serial_queue_return(&play->share.queue, &call->shared.call);
}

static void end_late(play_t *play, play_call_t *call)
{
	call->late_end_us = 0;
	serial_share_late_answer(&play->share, &call->late, play->now_us - call->late.sent_us);
	if (call->answered)
		return;
	call->answered = true;
	play->answered++;
	if (!call->sent)
		TAILQ_REMOVE(&play->share.queue.waiting, &call->shared.call, link);
}

static void step(play_t *play, const peer_t *peer)
{
	shared_call_t *next;

	for (unsigned i = 0; i < CALLS_MAX; i++) {
		if (play->calls[i].sent && play->now_us >= play->calls[i].end_us)
			end(play, &play->calls[i]);
		if (play->calls[i].late_end_us != 0 && play->now_us >= play->calls[i].late_end_us)
			end_late(play, &play->calls[i]);
	}
	while ((next = serial_share_late(&play->share, play->now_us)) != NULL)
		replace(play, (play_call_t *)next);
	while ((next = serial_share_next(&play->share, play->now_us)) != NULL)
		send(play, peer, (play_call_t *)next);
	play->most_helpers = MAX(play->most_helpers, play->share.in_use);
}

/* Plays calls that come at once. @return time until all are answered */
static uint64_t play(play_t *play, const peer_t *peer, unsigned calls, uint64_t work_us,
		     uint64_t longest_us)
{
	serial_source_t source = {0};
	uint32_t nodes[NODES_MAX];
	uint64_t start_us = 1000 * US_PER_S;

	*play = (play_t){.now_us = start_us};
	serial_share_init(&play->share);
	for (uint32_t i = 0; i < peer->helpers; i++)
		nodes[i] = i + 1;
	serial_share_set_helpers(&play->share, nodes, peer->helpers);
	for (unsigned i = 0; i < calls; i++)
		serial_queue_add(&play->share.queue, &source, &play->calls[i].shared.call, work_us);
	while (play->answered < calls && play->now_us < start_us + longest_us) {
		step(play, peer);
		play->now_us += STEP_US;
	}
	assert_int_equal(play->answered, calls);
	serial_share_finish(&play->share);
	return play->now_us - start_us;
}

/* Guards against a single process that makes all calls, while the peer would answer others, too. */
static void test_calls_are_shared(void **state)
{
	const peer_t peer = {.helpers = 3};
	play_t result;

	/* 14.4 s for one process; 3.6 s for four that begin at once. */
	assert_true(play(&result, &peer, 12, 1200 * US_PER_MS, 60 * US_PER_S) <= 5 * US_PER_S);
	assert_int_equal(result.most_helpers, 3);
	assert_int_equal(result.timed_out + result.late + result.refused, 0);
	assert_true(play(&result, &peer, 40, 700 * US_PER_MS, 60 * US_PER_S) <= 9 * US_PER_S);
}

/* Guards against calls that time out because the peer handles the calls of all machines in turn:
 * sharing them then has no use, but must do no harm. */
static void test_peer_that_handles_all_calls_in_turn(void **state)
{
	const peer_t peer = {.helpers = 40, .in_turn = true};
	play_t result;

	assert_true(play(&result, &peer, 30, 700 * US_PER_MS, 60 * US_PER_S) <=
		    30 * 700 * US_PER_MS + US_PER_S);
	assert_int_equal(result.timed_out, 0);
	assert_true(result.most_helpers <= 4);
}

/* Guards against a peer that is slower than it declares: its calls are given up, repeated, and
 * make it slower. */
static void test_peer_that_is_slower_than_declared(void **state)
{
	const peer_t peer = {.helpers = 3, .slowness = 10};
	play_t result;
	uint64_t time_us;

	time_us = play(&result, &peer, 12, 700 * US_PER_MS, 300 * US_PER_S);
	/* 21 s for four processes that begin at once, 84 s for one. */
	assert_true(time_us <= 60 * US_PER_S);
}

/* Guards against calls that are made again and again while the peer refuses them. */
static void test_peer_that_refuses_calls(void **state)
{
	const peer_t peer = {.helpers = 40, .in_turn = true, .waiting_max = 3};
	play_t result;

	assert_true(play(&result, &peer, 30, 700 * US_PER_MS, 120 * US_PER_S) <=
		    30 * 700 * US_PER_MS + 5 * US_PER_S);
	assert_true(result.refused <= 30);
}

/* Guards against calls that wait for a process which is frozen. */
static void test_silent_helpers_are_replaced(void **state)
{
	const peer_t one = {.helpers = 3, .silent_nodes = 1U << 2};
	const peer_t all = {.helpers = 3, .silent_nodes = 0xe};
	play_t result;

	assert_true(play(&result, &one, 30, 700 * US_PER_MS, 60 * US_PER_S) <= 14 * US_PER_S);
	assert_in_range(result.late, 1, 4);
	/* Only this process is answered. */
	assert_true(play(&result, &all, 12, 700 * US_PER_MS, 60 * US_PER_S) <= 14 * US_PER_S);
	assert_int_equal(result.timed_out, 0);
}

/* Guards against a queue that is not answered because this process is cut off from the peer. */
static void test_helpers_call_while_this_process_is_cut_off(void **state)
{
	const peer_t peer = {.helpers = 3, .silent_nodes = 1U << 0};
	play_t result;

	assert_true(play(&result, &peer, 12, 700 * US_PER_MS, 60 * US_PER_S) <= 14 * US_PER_S);
}

/* Guards against a helper that is never used again after it has ended and come back, and against
 * one that is freed while it makes a call. */
static void test_helpers_come_and_go(void **state)
{
	const uint32_t nodes[] = {7, 8};
	serial_source_t source = {0};
	serial_share_t share;
	shared_call_t calls[4] = {0};

	serial_share_init(&share);
	serial_share_set_helpers(&share, nodes, 1);
	for (unsigned i = 0; i < G_N_ELEMENTS(calls); i++)
		serial_queue_add(&share.queue, &source, &calls[i].call, US_PER_S);
	assert_int_equal(serial_share_next(&share, US_PER_S)->node, 0);
	assert_int_equal(serial_share_next(&share, US_PER_S)->node, 7);
	serial_share_set_helpers(&share, nodes, 0);
	serial_share_ended(&share, &calls[1], SERIAL_NO_ANSWER, 0, 2 * US_PER_S);
	assert_true(TAILQ_EMPTY(&share.helpers));
	serial_share_set_helpers(&share, nodes, 2);
	assert_int_equal(serial_share_next(&share, 2 * US_PER_S)->node, 7);
	serial_share_finish(&share);
}

/* Guards against a call that is made by one process and counted as another call, when one that only
 * this process may make waits before one that an unproven helper may not make. */
static void test_calls_that_only_some_processes_may_make(void **state)
{
	const uint32_t node = 7;
	serial_source_t source = {0};
	serial_share_t share;
	shared_call_t calls[3] = {0};

	serial_share_init(&share);
	serial_share_set_helpers(&share, &node, 1);
	calls[1].own_only = true;
	calls[2].repeated = true;
	for (unsigned i = 0; i < G_N_ELEMENTS(calls); i++)
		serial_queue_add(&share.queue, &source, &calls[i].call, US_PER_MS);
	assert_ptr_equal(serial_share_next(&share, US_PER_S), &calls[0]);
	assert_ptr_equal(serial_share_next(&share, US_PER_S), &calls[1]);
	assert_int_equal(calls[1].node, 0);
	assert_ptr_equal(serial_share_next(&share, US_PER_S), &calls[2]);
	assert_int_equal(calls[2].node, 0);
	for (unsigned i = 0; i < G_N_ELEMENTS(calls); i++)
		serial_share_ended(&share, &calls[i], SERIAL_ANSWERED, US_PER_MS, 2 * US_PER_S);
	assert_true(TAILQ_EMPTY(&share.queue.waiting));
	assert_int_equal(share.under_way_us, 0);
	serial_share_finish(&share);
}

/* Guards against requests that list more VMs than their time is worth, or too few for the tasks. */
static void test_size_of_requests(void **state)
{
	advice_size_input_t input = {.decide_us = 600 * US_PER_MS,
				     .per_vm_us = 50 * US_PER_MS,
				     .allowed_share = 0.95,
				     .needed = 1,
				     .most = 30};

	assert_int_equal(advice_size(&input), 1);
	input.needed = 4;
	assert_in_range(advice_size(&input), 4, 6);
	input.needed = 100;
	assert_int_equal(advice_size(&input), 30);
	input.needed = 1;
	input.allowed_share = 0.1;
	assert_in_range(advice_size(&input), 10, 20);
	input.allowed_share = 0.5;
	input.per_vm_us = 0;
	assert_int_equal(advice_size(&input), 30);
	input.decide_us = 0;
	input.per_vm_us = 50 * US_PER_MS;
	assert_int_equal(advice_size(&input), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_calls_are_shared),
		cmocka_unit_test(test_peer_that_handles_all_calls_in_turn),
		cmocka_unit_test(test_peer_that_is_slower_than_declared),
		cmocka_unit_test(test_peer_that_refuses_calls),
		cmocka_unit_test(test_silent_helpers_are_replaced),
		cmocka_unit_test(test_helpers_call_while_this_process_is_cut_off),
		cmocka_unit_test(test_helpers_come_and_go),
		cmocka_unit_test(test_calls_that_only_some_processes_may_make),
		cmocka_unit_test(test_size_of_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
