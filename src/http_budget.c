#include "http_budget.h"

/* Most connections that are compared for one choice; bounds its processor time. */
#define COMPARED_MAX 64

void http_budget_init(http_budget_t *budget, size_t limit)
{
	*budget = (http_budget_t){.limit = limit};
	TAILQ_INIT(&budget->holders);
}

void http_budget_add(http_budget_t *budget, http_holder_t *holder, uint64_t now_us)
{
	*holder = (http_holder_t){.progress_us = now_us, .may_give_way = true};
	TAILQ_INSERT_TAIL(&budget->holders, holder, link);
}

void http_budget_remove(http_budget_t *budget, http_holder_t *holder)
{
	http_budget_set(budget, holder, 0);
	TAILQ_REMOVE(&budget->holders, holder, link);
}

bool http_budget_fits(const http_budget_t *budget, const http_holder_t *holder, size_t held)
{
	size_t others = budget->used - holder->held;
	size_t limit = held > HTTP_BUDGET_SMALL_BYTES ? budget->limit / 4 * 3 : budget->limit;

	return budget->limit == 0 || held <= holder->held ||
	       (held <= limit && others <= limit - held);
}

void http_budget_set(http_budget_t *budget, http_holder_t *holder, size_t held)
{
	budget->used = budget->used - holder->held + held;
	holder->held = held;
}

void http_budget_progress(http_budget_t *budget, http_holder_t *holder, uint64_t now_us)
{
	holder->progress_us = now_us;
	holder->received = 0;
	TAILQ_REMOVE(&budget->holders, holder, link);
	TAILQ_INSERT_TAIL(&budget->holders, holder, link);
}

void http_budget_received(http_budget_t *budget, http_holder_t *holder, size_t bytes,
			  uint64_t now_us)
{
	holder->received += bytes;
	if (holder->received >= HTTP_BUDGET_PROGRESS_BYTES)
		http_budget_progress(budget, holder, now_us);
}

http_holder_t *http_budget_choose(const http_budget_t *budget, const http_holder_t *except,
				  uint64_t now_us)
{
	http_holder_t *chosen = NULL;
	http_holder_t *holder;
	double most = 0;
	unsigned compared = 0;

	TAILQ_FOREACH (holder, &budget->holders, link) {
		uint64_t stalled_us = now_us - holder->progress_us;
		double weight = (double)holder->held * (double)stalled_us;

		if (stalled_us < HTTP_BUDGET_STALL_US || compared == COMPARED_MAX)
			break;
		if (holder == except || !holder->may_give_way)
			continue;
		compared++;
		if (weight > most) {
			most = weight;
			chosen = holder;
		}
	}
	return chosen;
}
