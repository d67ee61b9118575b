#include "retry.h"

#include <glib.h>

#define RETRY_RATIO 0.1
/* Maximum number of saved retries: those of the latest 100 requests. */
#define TOKENS_MAX 10.0
/* Allows the first request of an idle pool to be retried. */
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
