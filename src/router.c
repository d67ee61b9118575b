#include "router.h"

#include "clock.h"

#define EJECT_AFTER_FAILURES 5
#define EJECT_BASE_PERIOD_US (1 * US_PER_S)
#define EJECT_MAX_PERIOD_US (30 * US_PER_S)
#define LATENCY_EWMA_WEIGHT 0.2
/*
 * A target whose average latency exceeds a request's remaining time is still tried when its latest
 * attempt began at least this long ago, because only a new attempt can correct the average.
 */
#define SLOW_RETRY_US (1 * US_PER_S)

static size_t count_ejected(const router_candidate_t *candidates, size_t count)
{
	size_t ejected = 0;

	for (size_t i = 0; i < count; i++)
		ejected += candidates[i].target->ejected;
	return ejected;
}

static router_target_t *find_earliest_return(const router_candidate_t *candidates, size_t count)
{
	router_target_t *first = NULL;

	for (size_t i = 0; i < count; i++) {
		router_target_t *target = candidates[i].target;

		if (target->ejected &&
		    (first == NULL || target->ejection_ends_us < first->ejection_ends_us))
			first = target;
	}
	return first;
}

/*
 * Ends ejections until at most half of the candidates are ejected, starting with those that would
 * end first. More than half can be ejected after targets have left the pool.
 */
static void return_excess_ejections(const router_candidate_t *candidates, size_t count)
{
	while (count_ejected(candidates, count) > count / 2) {
		router_target_t *first = find_earliest_return(candidates, count);

		if (first == NULL)
			return;
		first->ejected = false;
		first->probing = false;
	}
}

static int find_probe_target(const router_candidate_t *candidates, size_t count,
			     uint64_t probe_delay_us, uint64_t now_us)
{
	for (size_t i = 0; i < count; i++) {
		const router_target_t *target = candidates[i].target;

		if (target->ejected && !target->probing && candidates[i].free &&
		    !candidates[i].already_tried &&
		    now_us >= target->ejection_ends_us + probe_delay_us)
			return (int)i;
	}
	return -1;
}

static bool is_too_slow(const router_target_t *target, uint64_t remaining_us, uint64_t now_us)
{
	return target->latency_us > (double)remaining_us &&
	       now_us < target->last_attempt_us + SLOW_RETRY_US;
}

static bool is_less_loaded(const router_target_t *a, const router_target_t *b)
{
	if (a->latency_us <= 0 || b->latency_us <= 0)
		return a->in_flight < b->in_flight;
	return (a->in_flight + 1) * a->latency_us < (b->in_flight + 1) * b->latency_us;
}

typedef enum {
	ELIGIBLE_UNTRIED_FAST, /* not tried for this request and likely to meet its deadline */
	ELIGIBLE_UNTRIED,      /* not tried for this request; its latency does not matter */
	ELIGIBLE_ANY,	       /* any target that has a free slot and is not ejected */
} eligibility_t;

static bool is_eligible(const router_candidate_t *candidate, eligibility_t level,
			uint64_t remaining_us, uint64_t now_us)
{
	if (!candidate->free || candidate->target->ejected)
		return false;
	if (level < ELIGIBLE_ANY && candidate->already_tried)
		return false;
	return level >= ELIGIBLE_UNTRIED || !is_too_slow(candidate->target, remaining_us, now_us);
}

/* Returns the index of the n-th eligible candidate, counted from 0, or -1 if there are too few. */
static int find_nth_eligible(const router_candidate_t *candidates, size_t count,
			     eligibility_t level, uint64_t remaining_us, uint64_t now_us, int n)
{
	for (size_t i = 0; i < count; i++) {
		if (is_eligible(&candidates[i], level, remaining_us, now_us) && n-- == 0)
			return (int)i;
	}
	return -1;
}

static int choose_of_two(const router_candidate_t *candidates, size_t count, eligibility_t level,
			 uint64_t remaining_us, uint64_t now_us, GRand *random)
{
	int found = 0;
	int first;
	int second;

	for (size_t i = 0; i < count; i++)
		found += is_eligible(&candidates[i], level, remaining_us, now_us);
	if (found == 0)
		return -1;
	first = g_rand_int_range(random, 0, found);
	second = found > 1 ? g_rand_int_range(random, 0, found - 1) : first;
	second += found > 1 && second >= first;
	first = find_nth_eligible(candidates, count, level, remaining_us, now_us, first);
	second = find_nth_eligible(candidates, count, level, remaining_us, now_us, second);
	return is_less_loaded(candidates[second].target, candidates[first].target) ? second : first;
}

int router_choose(const router_candidate_t *candidates, size_t count, uint64_t remaining_us,
		  uint64_t probe_delay_us, uint64_t now_us, GRand *random)
{
	int chosen;

	return_excess_ejections(candidates, count);
	chosen = find_probe_target(candidates, count, probe_delay_us, now_us);
	for (eligibility_t level = ELIGIBLE_UNTRIED_FAST; chosen < 0 && level <= ELIGIBLE_ANY;
	     level++)
		chosen = choose_of_two(candidates, count, level, remaining_us, now_us, random);
	return chosen;
}

bool router_start(router_target_t *target, uint64_t now_us)
{
	target->in_flight++;
	target->last_attempt_us = now_us;
	if (!target->ejected)
		return false;
	target->probing = true;
	return true;
}

static void eject(router_target_t *target, uint64_t now_us)
{
	uint64_t period_us = EJECT_BASE_PERIOD_US << MIN(target->consecutive_ejections, 5);

	target->ejected = true;
	target->consecutive_ejections++;
	target->ejection_ends_us = now_us + MIN(period_us, EJECT_MAX_PERIOD_US);
}

static void record_failure(router_target_t *target, const router_candidate_t *candidates,
			   size_t count, bool is_probe, uint64_t now_us)
{
	target->failures++;
	if (target->ejected) {
		/*
		 * Only a failed probe request extends the ejection: the other attempts began before
		 * the ejection.
		 */
		if (is_probe)
			eject(target, now_us);
		return;
	}
	if (target->failures >= EJECT_AFTER_FAILURES &&
	    count_ejected(candidates, count) + 1 <= count / 2)
		eject(target, now_us);
}

static void record_latency(router_target_t *target, uint64_t elapsed_us)
{
	if (target->latency_us <= 0)
		target->latency_us = (double)elapsed_us;
	else
		target->latency_us +=
			LATENCY_EWMA_WEIGHT * ((double)elapsed_us - target->latency_us);
}

void router_finish(router_target_t *target, const router_candidate_t *candidates, size_t count,
		   bool is_probe, router_result_t result, uint64_t elapsed_us, uint64_t now_us)
{
	g_assert(target->in_flight > 0);
	target->in_flight--;
	if (is_probe)
		target->probing = false;
	switch (result) {
	case ROUTER_OK:
		record_latency(target, elapsed_us);
		target->failures = 0;
		if (is_probe || !target->ejected) {
			target->ejected = false;
			target->consecutive_ejections = 0;
		}
		break;
	case ROUTER_FAILED:
		/*
		 * A failure that takes less time than the average must not lower it, or the failing
		 * target would attract more requests.
		 */
		if ((double)elapsed_us > target->latency_us)
			record_latency(target, elapsed_us);
		record_failure(target, candidates, count, is_probe, now_us);
		break;
	case ROUTER_REFUSED:
	case ROUTER_CANCELLED:
		break;
	}
}
