#include "serial_share.h"

#include <stddef.h>

#include <glib.h>

#include "clock.h"

/* Helpers that call at the same time before any answer is known. */
#define WINDOW_START 2
/* Shortest time for a call, and what is added to twice the declared time of the calls that it may
 * wait for: the peer may still work on a call that was given up. */
#define LIMIT_MIN_US (5 * US_PER_S)
#define LIMIT_MARGIN_US (1 * US_PER_S)
/* Time of the links and processes on the way of a prompt answer, and of one that is late. */
#define PROMPT_MARGIN_US (100 * US_PER_MS)
#define LATE_MARGIN_US (500 * US_PER_MS)
/* A prompt answer takes at most this many times as long as that of a single call. */
#define PROMPT_FACTOR 2
/* Declared times below this one say nothing about the peer: links take as long. */
#define WORK_MIN_US (20 * US_PER_MS)
/* Tolerance for the time of a call that waits for all others under way. */
#define IN_TURN_FACTOR 1.25
/* Longest time of the calls that this process has under way at the same time beside helpers. */
#define OVERLAP_MAX_US (200 * US_PER_MS)
/* Rest of a process whose call was not answered; doubled with each further one in a row. */
#define REST_MIN_US (300 * US_PER_MS)
#define REST_MAX_US (30 * US_PER_S)
/* Longest rest of this process: without it, no call may be made at all. */
#define OWN_REST_MAX_US (2 * US_PER_S)
#define DOUBLINGS_MAX 16
/* Failures as which a call counts that a helper has not answered: it is frozen or cut off. */
#define SILENT_FAILURES 4
/* Most times by which time limits are raised after calls without an answer. */
#define SLOWNESS_MAX 1000.0

void serial_share_init(serial_share_t *share)
{
	*share = (serial_share_t){.window = WINDOW_START, .slowness = 1, .patience = 1};
	serial_queue_init(&share->queue);
	TAILQ_INIT(&share->helpers);
	TAILQ_INIT(&share->under_way);
}

static void remove_helper(serial_share_t *share, serial_helper_t *helper)
{
	TAILQ_REMOVE(&share->helpers, helper, link);
	g_free(helper);
}

void serial_share_finish(serial_share_t *share)
{
	serial_helper_t *helper;
	serial_helper_t *next;

	for (helper = TAILQ_FIRST(&share->helpers); helper != NULL; helper = next) {
		next = TAILQ_NEXT(helper, link);
		remove_helper(share, helper);
	}
	serial_share_init(share);
}

static serial_helper_t *find_helper(serial_share_t *share, uint32_t node)
{
	serial_helper_t *helper;

	TAILQ_FOREACH (helper, &share->helpers, link) {
		if (helper->node == node)
			return helper;
	}
	return NULL;
}

void serial_share_set_helpers(serial_share_t *share, const uint32_t *nodes, size_t count)
{
	serial_helper_t *helper;
	serial_helper_t *next;

	TAILQ_FOREACH (helper, &share->helpers, link)
		helper->available = false;
	for (size_t i = 0; i < count; i++) {
		helper = find_helper(share, nodes[i]);
		if (helper == NULL) {
			helper = g_new0(serial_helper_t, 1);
			helper->node = nodes[i];
			TAILQ_INSERT_TAIL(&share->helpers, helper, link);
		}
		helper->available = true;
	}
	share->helper_count = (unsigned)count;
	for (helper = TAILQ_FIRST(&share->helpers); helper != NULL; helper = next) {
		next = TAILQ_NEXT(helper, link);
		if (!helper->available && !helper->in_use)
			remove_helper(share, helper);
	}
}

static uint64_t scale(uint64_t us, double factor)
{
	return (uint64_t)((double)us * factor);
}

static bool own_is_idle(const serial_share_t *share, uint64_t now_us)
{
	return share->queue.under_way_count == 0 && now_us >= share->rests_until_us;
}

/* @param repeated whether it is to make a call that was not answered, and so must not fail, too */
static serial_helper_t *idle_helper(const serial_share_t *share, bool repeated, uint64_t now_us)
{
	bool any = !repeated || share->failures > 0;
	serial_helper_t *helper;

	if (share->in_use >= share->window)
		return NULL;
	TAILQ_FOREACH (helper, &share->helpers, link) {
		if (helper->available && !helper->in_use && (any || helper->proven) &&
		    now_us >= helper->rests_until_us)
			return helper;
	}
	return NULL;
}

/* @return whether this process may make the first waiting call while another one of its own is
 * under way. With helpers, that is worth it only where a call takes as long as the links. */
static bool own_takes_more(const serial_share_t *share, uint64_t now_us)
{
	uint64_t work_us = share->queue.under_way_us + TAILQ_FIRST(&share->queue.waiting)->work_us;

	return now_us >= share->rests_until_us &&
	       (share->helper_count == 0 || scale(work_us, share->slowness) <= OVERLAP_MAX_US);
}

bool serial_share_is_idle(const serial_share_t *share, uint64_t now_us)
{
	return own_is_idle(share, now_us) || idle_helper(share, false, now_us) != NULL;
}

/* @return whether a process that has answered its latest call is free, and no call waits for it */
static bool has_spare_process(const serial_share_t *share, uint64_t now_us)
{
	return TAILQ_EMPTY(&share->queue.waiting) &&
	       (own_is_idle(share, now_us) || idle_helper(share, true, now_us) != NULL);
}

/* @return time after which the answer to a call is late: twice the mean time, and as for a
 * retransmission (RFC 6298) the mean and four deviations, unless a second call holds up no other
 * one. Before any answer is known, the peer possibly handles the calls of all machines in turn. */
static uint64_t late_after_us(const serial_share_t *share, const shared_call_t *call,
			      uint64_t now_us)
{
	double ratio = 2 * share->mean_ratio;
	uint64_t work_us;

	if (share->mean_ratio == 0)
		return scale(scale(call->load_us, IN_TURN_FACTOR * share->slowness) +
				     LATE_MARGIN_US,
			     share->patience);
	if (!has_spare_process(share, now_us))
		ratio = MAX(ratio, share->mean_ratio + 4 * share->ratio_deviation);
	/* This process may have several calls under way, which the peer handles in turn. */
	work_us = call->node == 0 ? share->queue.under_way_us : call->call.work_us;
	return scale(scale(MAX(work_us, WORK_MIN_US), ratio) + LATE_MARGIN_US, share->patience);
}

/* @return the next call that a helper may make; NULL: none may */
static shared_call_t *first_for_helpers(const serial_share_t *share, uint64_t now_us)
{
	bool any_idle = idle_helper(share, false, now_us) != NULL;
	bool proven_idle = idle_helper(share, true, now_us) != NULL;
	serial_call_t *entry;

	if (!any_idle)
		return NULL;
	TAILQ_FOREACH (entry, &share->queue.waiting, link) {
		shared_call_t *call = (shared_call_t *)entry;

		if (!call->own_only && (proven_idle || !call->repeated))
			return call;
	}
	return NULL;
}

shared_call_t *serial_share_first(const serial_share_t *share, uint64_t now_us)
{
	shared_call_t *call = own_is_idle(share, now_us) ? NULL : first_for_helpers(share, now_us);

	return call != NULL ? call : (shared_call_t *)TAILQ_FIRST(&share->queue.waiting);
}

shared_call_t *serial_share_next(serial_share_t *share, uint64_t now_us)
{
	bool own_idle = own_is_idle(share, now_us);
	shared_call_t *call = own_idle ? NULL : first_for_helpers(share, now_us);
	serial_helper_t *helper = NULL;

	if (TAILQ_EMPTY(&share->queue.waiting))
		return NULL;
	if (call != NULL) {
		helper = idle_helper(share, call->repeated, now_us);
		serial_queue_hand_over(&share->queue, &call->call);
	} else if (own_idle || own_takes_more(share, now_us)) {
		call = (shared_call_t *)serial_queue_next(&share->queue);
	}
	if (call == NULL)
		return NULL;
	share->under_way_us += call->call.work_us;
	call->node = helper != NULL ? helper->node : 0;
	call->alone = share->in_use == 0;
	call->sent_us = now_us;
	call->load_us = share->under_way_us;
	call->limit_us =
		MAX(scale(2 * call->load_us, share->slowness) + LIMIT_MARGIN_US, LIMIT_MIN_US);
	TAILQ_INSERT_TAIL(&share->under_way, &call->call, link);
	if (helper != NULL) {
		helper->in_use = true;
		share->in_use++;
	}
	return call;
}

static uint64_t rest_us(unsigned failures, uint64_t most_us)
{
	return MIN(REST_MIN_US << MIN(failures - 1, DOUBLINGS_MAX), most_us);
}

/* Halves the window. Without any helper, the next answer tells how long a single call takes. */
static void shrink_window(serial_share_t *share)
{
	share->window /= 2;
}

static double time_ratio(const shared_call_t *call, uint64_t elapsed_us)
{
	return (double)elapsed_us / (double)MAX(call->call.work_us, WORK_MIN_US);
}

/* Learns from a call how long the peer takes for a single one. It is at most as slow as its fastest
 * answer. A slower one counts only if the call had not to wait for those of other machines. */
static void learn_slowness(serial_share_t *share, const shared_call_t *call, uint64_t elapsed_us,
			   uint64_t now_us)
{
	uint64_t own_us = now_us - MIN(now_us, MAX(call->sent_us, share->own_ended_us));
	bool single = call->load_us == call->call.work_us ||
		      (call->node == 0 && call->alone && share->in_use == 0);
	double ratio = MAX(time_ratio(call, call->node == 0 ? own_us : elapsed_us), 1);

	if (ratio < share->slowness)
		share->slowness = ratio;
	else if (single)
		share->slowness = (share->slowness + MIN(ratio, SLOWNESS_MAX)) / 2;
}

static void learn_ratio(serial_share_t *share, double ratio)
{
	if (share->mean_ratio == 0) {
		share->mean_ratio = ratio;
		share->ratio_deviation = ratio / 2;
	} else {
		share->ratio_deviation +=
			(ABS(ratio - share->mean_ratio) - share->ratio_deviation) / 4;
		share->mean_ratio += (ratio - share->mean_ratio) / 8;
	}
}

static void learn_helped(serial_share_t *share, const shared_call_t *call, uint64_t elapsed_us)
{
	uint64_t prompt_us =
		scale(MAX(call->call.work_us, WORK_MIN_US), PROMPT_FACTOR * share->slowness) +
		PROMPT_MARGIN_US;

	learn_ratio(share, time_ratio(call, elapsed_us));
	if (elapsed_us > prompt_us)
		shrink_window(share);
	else if (share->in_use >= share->window && share->window < share->helper_count)
		share->window++;
}

/* Ends the use of a helper. The one that has answered latest is used next, as its connections are
 * open. */
static void release_helper(serial_share_t *share, uint32_t node, serial_result_t result,
			   uint64_t now_us)
{
	serial_helper_t *helper = find_helper(share, node);

	if (helper == NULL)
		return;
	helper->in_use = false;
	helper->proven = result == SERIAL_ANSWERED;
	share->in_use--;
	if (!helper->available) {
		remove_helper(share, helper);
		return;
	}
	TAILQ_REMOVE(&share->helpers, helper, link);
	if (result == SERIAL_ANSWERED) {
		helper->failures = 0;
		TAILQ_INSERT_HEAD(&share->helpers, helper, link);
	} else {
		helper->failures += result == SERIAL_NO_ANSWER ? SILENT_FAILURES : 1;
		helper->rests_until_us = now_us + rest_us(helper->failures, REST_MAX_US);
		TAILQ_INSERT_TAIL(&share->helpers, helper, link);
	}
}

static void end_own(serial_share_t *share, const shared_call_t *call, serial_result_t result,
		    uint64_t now_us)
{
	serial_queue_ended(&share->queue, &call->call);
	share->own_ended_us = now_us;
	share->window = MAX(share->window, 1);
	if (result == SERIAL_ANSWERED) {
		share->failures = 0;
		return;
	}
	share->failures++;
	share->rests_until_us = now_us + rest_us(share->failures, OWN_REST_MAX_US);
}

void serial_share_ended(serial_share_t *share, shared_call_t *call, serial_result_t result,
			uint64_t elapsed_us, uint64_t now_us)
{
	TAILQ_REMOVE(&share->under_way, &call->call, link);
	share->under_way_us -= call->call.work_us;
	if (result == SERIAL_ANSWERED) {
		learn_slowness(share, call, elapsed_us, now_us);
		share->patience = MAX(share->patience / 2, 1);
	} else if (result == SERIAL_REFUSED) {
		shrink_window(share);
	} else if (result == SERIAL_NO_ANSWER && now_us >= call->sent_us + call->limit_us) {
		/* The peer is slower than it was, and the next call gets twice the time. */
		share->slowness = MIN(share->slowness * 2, SLOWNESS_MAX);
	}
	if (call->node == 0) {
		end_own(share, call, result, now_us);
		return;
	}
	if (result == SERIAL_ANSWERED)
		learn_helped(share, call, elapsed_us);
	release_helper(share, call->node, result, now_us);
}

shared_call_t *serial_share_late(serial_share_t *share, uint64_t now_us)
{
	serial_call_t *entry;

	TAILQ_FOREACH (entry, &share->under_way, link) {
		shared_call_t *call = (shared_call_t *)entry;

		/* This process is not asked in vain unless others are answered. */
		if (now_us < call->sent_us + late_after_us(share, call, now_us) ||
		    (call->node == 0 && (share->helper_count == 0 || share->mean_ratio == 0)))
			continue;
		serial_share_ended(share, call, SERIAL_NO_ANSWER, 0, now_us);
		/* If all answers take longer than expected, asking twice would make it worse. */
		share->patience = MIN(share->patience * 2, SLOWNESS_MAX);
		return call;
	}
	return NULL;
}

void serial_share_late_answer(serial_share_t *share, const shared_call_t *call, uint64_t elapsed_us)
{
	serial_helper_t *helper = find_helper(share, call->node);

	learn_ratio(share, time_ratio(call, elapsed_us));
	if (call->node == 0) {
		share->failures = 0;
		share->rests_until_us = 0;
	}
	if (helper == NULL)
		return;
	helper->failures = 0;
	helper->rests_until_us = 0;
}
