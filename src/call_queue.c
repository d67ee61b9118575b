#include "call_queue.h"

#include <math.h>

#include <glib.h>

#include "clock.h"

/* Time within which the waiting calls of a kind should be sent. Stops: users allow 3 s until the
 * tasks of a cancelled job have ended, half of which is left for a stop that has to be repeated.
 * Pace: a task may be over its latency goal for 4 s. Starts: objectives leave 600 ms in addition to
 * the run times of several steps. */
static const uint64_t send_within_us[CALL_KIND_COUNT] = {
	[CALL_STOP] = 1500 * US_PER_MS,
	[CALL_PACE] = 500 * US_PER_MS,
	[CALL_START] = 100 * US_PER_MS,
};
/* Shortest time in which calls that are due or overdue should be sent. */
#define SEND_WITHIN_MIN_US (100 * US_PER_MS)
/* Time without calls after which the peer possibly does not answer any more. */
#define IDLE_US (1 * US_PER_S)
/* Weight of one response in the smoothed time of a response. */
#define RESPONSE_WEIGHT 0.25

void call_queue_init(call_queue_t *queue, call_queue_role_t role, call_budget_t *budget,
		     uint64_t slow_us)
{
	*queue = (call_queue_t){
		.role = role, .limit = CALL_WINDOW_MIN, .budget = budget, .slow_us = slow_us};
	for (int i = 0; i < CALL_KIND_COUNT; i++) {
		TAILQ_INIT(&queue->waiting[i]);
		TAILQ_INIT(&queue->under_way[i]);
	}
}

/* @return number of calls under way that count against the budget */
static unsigned budgeted(const call_queue_t *queue)
{
	unsigned count = queue->under_way_count;

	return queue->budget != NULL && count > CALL_WINDOW_MIN ? count - CALL_WINDOW_MIN : 0;
}

static void set_under_way(call_queue_t *queue, unsigned count)
{
	if (queue->budget == NULL) {
		queue->under_way_count = count;
		return;
	}
	queue->budget->used -= budgeted(queue);
	queue->under_way_count = count;
	queue->budget->used += budgeted(queue);
}

void call_queue_finish(call_queue_t *queue)
{
	call_t *call;

	for (int i = 0; i < CALL_KIND_COUNT; i++) {
		while ((call = TAILQ_FIRST(&queue->under_way[i])) != NULL) {
			TAILQ_REMOVE(&queue->under_way[i], call, link);
			call->queue = NULL;
		}
	}
	set_under_way(queue, 0);
}

static uint64_t due_within_us(const call_queue_t *queue, call_kind_t kind)
{
	return queue->role == CALL_QUEUE_LEADER ? send_within_us[kind] : SEND_WITHIN_MIN_US;
}

static void init_call(call_queue_t *queue, call_t *call, call_kind_t kind, uint64_t now_us)
{
	*call = (call_t){
		.queue = queue, .kind = kind, .due_us = now_us + due_within_us(queue, kind)};
	queue->waiting_count[kind]++;
}

void call_queue_add(call_queue_t *queue, call_t *call, call_kind_t kind, uint64_t now_us)
{
	init_call(queue, call, kind, now_us);
	TAILQ_INSERT_TAIL(&queue->waiting[kind], call, link);
}

void call_queue_add_first(call_queue_t *queue, call_t *call, call_kind_t kind, uint64_t now_us)
{
	const call_t *first = TAILQ_FIRST(&queue->waiting[kind]);

	init_call(queue, call, kind, now_us);
	/* The first call of a list is the one that is due first. */
	if (first != NULL)
		call->due_us = MIN(call->due_us, first->due_us);
	TAILQ_INSERT_HEAD(&queue->waiting[kind], call, link);
}

/* @return number of connections that send the waiting calls in time */
static double connections_needed(const call_queue_t *queue, uint64_t now_us)
{
	double needed = 0;

	for (call_kind_t kind = 0; kind < CALL_KIND_COUNT; kind++) {
		const call_t *first = TAILQ_FIRST(&queue->waiting[kind]);
		uint64_t left_us;

		if (first == NULL)
			continue;
		left_us = first->due_us > now_us ? first->due_us - now_us : 0;
		needed += queue->waiting_count[kind] * queue->answer_us[kind] /
			  (double)MAX(left_us, SEND_WITHIN_MIN_US);
	}
	return CLAMP(ceil(needed), CALL_WINDOW_MIN, queue->limit);
}

static call_t *first_waiting(const call_queue_t *queue)
{
	call_t *call = NULL;

	for (int i = 0; i < CALL_KIND_COUNT && call == NULL; i++)
		call = TAILQ_FIRST(&queue->waiting[i]);
	return call;
}

/* @return number of calls that a prompt peer has under way anyway. A peer that has not answered yet
 * counts as prompt. */
static double prompt_calls(const call_queue_t *queue)
{
	const call_t *next = first_waiting(queue);
	double answer_us = next != NULL ? queue->answer_us[next->kind] : 0;

	if (queue->role != CALL_QUEUE_LEADER)
		return CALL_WINDOW_MIN;
	if (answer_us <= 0)
		return CALL_PROMPT_MAX;
	return CLAMP(CALL_WINDOW_MIN * CALL_PROMPT_US / answer_us, CALL_WINDOW_MIN,
		     CALL_PROMPT_MAX);
}

unsigned call_queue_window(const call_queue_t *queue, uint64_t now_us)
{
	return (unsigned)MAX(connections_needed(queue, now_us), prompt_calls(queue));
}

uint64_t call_queue_answer_us(const call_queue_t *queue)
{
	double longest_us = 0;

	for (call_kind_t kind = 0; kind < CALL_KIND_COUNT; kind++)
		longest_us = MAX(longest_us, queue->answer_us[kind]);
	return (uint64_t)longest_us;
}

uint64_t call_queue_wait_us(const call_queue_t *queue, call_kind_t kind, uint64_t now_us)
{
	double work_us = 0;

	for (call_kind_t ahead = 0; ahead <= kind; ahead++)
		work_us += queue->waiting_count[ahead] * queue->answer_us[ahead];
	return (uint64_t)(work_us / call_queue_window(queue, now_us));
}

unsigned call_queue_waiting(const call_queue_t *queue)
{
	unsigned count = 0;

	for (int i = 0; i < CALL_KIND_COUNT; i++)
		count += queue->waiting_count[i];
	return count;
}

/* @return number of calls under way with which one of the kind competes. The leader's stops do not
 * wait for its starts, which possibly wait before HTTP, where a stop goes before them. */
static unsigned competing_calls(const call_queue_t *queue, call_kind_t kind)
{
	unsigned count = 0;

	if (queue->role == CALL_QUEUE_HTTP)
		return queue->under_way_count;
	for (call_kind_t i = 0; i <= kind; i++)
		count += queue->kind_under_way[i];
	return count;
}

call_t *call_queue_next(call_queue_t *queue, uint64_t now_us)
{
	call_t *call = first_waiting(queue);

	if (queue->under_way_count == 0 && now_us > queue->answered_us + IDLE_US)
		queue->limit = CALL_WINDOW_MIN;
	if (call == NULL || competing_calls(queue, call->kind) >= call_queue_window(queue, now_us))
		return NULL;
	if (queue->budget != NULL && queue->under_way_count >= CALL_WINDOW_MIN &&
	    queue->budget->used >= queue->budget->max)
		return NULL;
	TAILQ_REMOVE(&queue->waiting[call->kind], call, link);
	queue->waiting_count[call->kind]--;
	call->under_way = true;
	call->sent_us = now_us;
	TAILQ_INSERT_TAIL(&queue->under_way[call->kind], call, link);
	queue->kind_under_way[call->kind]++;
	set_under_way(queue, queue->under_way_count + 1);
	return call;
}

static void remove_call(call_t *call)
{
	call_queue_t *queue = call->queue;

	if (call->under_way) {
		TAILQ_REMOVE(&queue->under_way[call->kind], call, link);
		queue->kind_under_way[call->kind]--;
		set_under_way(queue, queue->under_way_count - 1);
	} else {
		TAILQ_REMOVE(&queue->waiting[call->kind], call, link);
		queue->waiting_count[call->kind]--;
	}
	call->queue = NULL;
}

void call_withdraw(call_t *call)
{
	if (call->queue != NULL)
		remove_call(call);
}

void call_answered(call_t *call, uint64_t answer_us, uint64_t now_us)
{
	call_queue_t *queue = call->queue;
	uint64_t round_us = MAX(now_us - call->sent_us, 1);
	double *smoothed_us;

	if (queue == NULL)
		return;
	if (answer_us == 0 || answer_us > round_us)
		answer_us = round_us;
	smoothed_us = &queue->answer_us[call->kind];
	*smoothed_us = *smoothed_us > 0
			       ? *smoothed_us + RESPONSE_WEIGHT * ((double)answer_us - *smoothed_us)
			       : (double)answer_us;
	queue->answered_us = now_us;
	if (answer_us < queue->slow_us)
		queue->limit = MIN(queue->limit + 1, CALL_WINDOW_MAX);
	else
		queue->limit = MAX(queue->limit - 1, CALL_WINDOW_MIN);
	remove_call(call);
}

void call_failed(call_t *call, uint64_t now_us)
{
	call_queue_t *queue = call->queue;

	if (queue == NULL)
		return;
	/* Calls that were sent before the limit was halved say nothing about it. */
	if (call->sent_us >= queue->limited_us) {
		queue->limit = MAX(MIN(queue->limit, queue->under_way_count) / 2, CALL_WINDOW_MIN);
		queue->limited_us = now_us;
	}
	remove_call(call);
}
