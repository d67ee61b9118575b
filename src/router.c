#include "router.h"

#include "clock.h"

#define EJECT_AFTER 5
#define EJECT_BASE_US (1 * US_PER_S)
#define EJECT_MAX_US (30 * US_PER_S)
#define LATENCY_WEIGHT 0.2
/* A target that is too slow for a deadline is tried again after so long, to see whether it still
 * is.
 */
#define SLOW_RETRY_US (1 * US_PER_S)

static size_t count_ejected(const router_candidate_t *candidates, size_t count)
{
	size_t ejected = 0;

	for (size_t i = 0; i < count; i++)
		ejected += candidates[i].target->ejected;
	return ejected;
}

static router_target_t *first_to_return(const router_candidate_t *candidates, size_t count)
{
	router_target_t *first = NULL;

	for (size_t i = 0; i < count; i++) {
		router_target_t *target = candidates[i].target;

		if (target->ejected &&
		    (first == NULL || target->ejected_until_us < first->ejected_until_us))
			first = target;
	}
	return first;
}

/* Targets that leave the pool can leave more than half of the others ejected. */
static void limit_ejections(const router_candidate_t *candidates, size_t count)
{
	while (count_ejected(candidates, count) > count / 2) {
		router_target_t *first = first_to_return(candidates, count);

		if (first == NULL)
			return;
		first->ejected = false;
		first->trial = false;
	}
}

static int find_trial(const router_candidate_t *candidates, size_t count, uint64_t delay_us,
		      uint64_t now_us)
{
	for (size_t i = 0; i < count; i++) {
		const router_target_t *target = candidates[i].target;

		if (target->ejected && !target->trial && candidates[i].free &&
		    !candidates[i].avoid && now_us >= target->ejected_until_us + delay_us)
			return (int)i;
	}
	return -1;
}

static bool too_slow(const router_target_t *target, uint64_t remaining_us, uint64_t now_us)
{
	return target->latency_us > (double)remaining_us &&
	       now_us < target->used_us + SLOW_RETRY_US;
}

static bool less_loaded(const router_target_t *a, const router_target_t *b)
{
	if (a->latency_us <= 0 || b->latency_us <= 0)
		return a->in_flight < b->in_flight;
	return (a->in_flight + 1) * a->latency_us < (b->in_flight + 1) * b->latency_us;
}

typedef enum {
	ELIGIBLE_FIRST, /* not tried yet, fast enough */
	ELIGIBLE_SLOW,	/* may be too slow for the deadline */
	ELIGIBLE_ANY,	/* tried already */
} eligible_t;

static bool eligible(const router_candidate_t *candidate, eligible_t level, uint64_t remaining_us,
		     uint64_t now_us)
{
	if (!candidate->free || candidate->target->ejected)
		return false;
	if (level < ELIGIBLE_ANY && candidate->avoid)
		return false;
	return level >= ELIGIBLE_SLOW || !too_slow(candidate->target, remaining_us, now_us);
}

/* Index of the n-th eligible candidate. */
static int nth(const router_candidate_t *candidates, size_t count, eligible_t level,
	       uint64_t remaining_us, uint64_t now_us, int n)
{
	for (size_t i = 0; i < count; i++) {
		if (eligible(&candidates[i], level, remaining_us, now_us) && n-- == 0)
			return (int)i;
	}
	return -1;
}

static int choose_of_two(const router_candidate_t *candidates, size_t count, eligible_t level,
			 uint64_t remaining_us, uint64_t now_us, GRand *random)
{
	int found = 0;
	int first;
	int second;

	for (size_t i = 0; i < count; i++)
		found += eligible(&candidates[i], level, remaining_us, now_us);
	if (found == 0)
		return -1;
	first = g_rand_int_range(random, 0, found);
	second = found > 1 ? g_rand_int_range(random, 0, found - 1) : first;
	second += found > 1 && second >= first;
	first = nth(candidates, count, level, remaining_us, now_us, first);
	second = nth(candidates, count, level, remaining_us, now_us, second);
	return less_loaded(candidates[second].target, candidates[first].target) ? second : first;
}

int router_choose(const router_candidate_t *candidates, size_t count, uint64_t remaining_us,
		  uint64_t trial_delay_us, uint64_t now_us, GRand *random)
{
	int chosen;

	limit_ejections(candidates, count);
	chosen = find_trial(candidates, count, trial_delay_us, now_us);
	for (eligible_t level = ELIGIBLE_FIRST; chosen < 0 && level <= ELIGIBLE_ANY; level++)
		chosen = choose_of_two(candidates, count, level, remaining_us, now_us, random);
	return chosen;
}

bool router_start(router_target_t *target, uint64_t now_us)
{
	target->in_flight++;
	target->used_us = now_us;
	if (!target->ejected)
		return false;
	target->trial = true;
	return true;
}

static void eject(router_target_t *target, uint64_t now_us)
{
	uint64_t period_us = EJECT_BASE_US << MIN(target->ejections, 5);

	target->ejected = true;
	target->ejections++;
	target->ejected_until_us = now_us + MIN(period_us, EJECT_MAX_US);
}

static void note_failure(router_target_t *target, const router_candidate_t *candidates,
			 size_t count, bool trial, uint64_t now_us)
{
	target->failures++;
	if (target->ejected) {
		/* Attempts that started before the ejection say nothing new. */
		if (trial)
			eject(target, now_us);
		return;
	}
	if (target->failures >= EJECT_AFTER && count_ejected(candidates, count) + 1 <= count / 2)
		eject(target, now_us);
}

static void note_latency(router_target_t *target, uint64_t elapsed_us)
{
	if (target->latency_us <= 0)
		target->latency_us = (double)elapsed_us;
	else
		target->latency_us += LATENCY_WEIGHT * ((double)elapsed_us - target->latency_us);
}

void router_finish(router_target_t *target, const router_candidate_t *candidates, size_t count,
		   bool trial, router_result_t result, uint64_t elapsed_us, uint64_t now_us)
{
	g_assert(target->in_flight > 0);
	target->in_flight--;
	if (trial)
		target->trial = false;
	switch (result) {
	case ROUTER_OK:
		note_latency(target, elapsed_us);
		target->failures = 0;
		if (trial || !target->ejected) {
			target->ejected = false;
			target->ejections = 0;
		}
		break;
	case ROUTER_FAILED:
		/* A failure that is faster than the answers must not make the target look fast. */
		if ((double)elapsed_us > target->latency_us)
			note_latency(target, elapsed_us);
		note_failure(target, candidates, count, trial, now_us);
		break;
	case ROUTER_REFUSED:
	case ROUTER_CANCELLED:
		break;
	}
}
