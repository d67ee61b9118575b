#include "retry.h"

#include <glib.h>

#define RETRY_RATIO 0.1
/* Maximum number of retries that the budget can hold: those earned by 100 requests. */
#define TOKENS_MAX 10.0
/* Number of retries at the start, so that the first request of an idle pool can be retried. */
#define TOKENS_START 1.0

void retry_budget_init(retry_budget_t *budget)
{
	budget->tokens = TOKENS_START;
}

void retry_budget_add_request(retry_budget_t *budget)
{
	budget->tokens = MIN(budget->tokens + RETRY_RATIO, TOKENS_MAX);
}

bool retry_budget_take(retry_budget_t *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}
