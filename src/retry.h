#pragma once

#include <stdbool.h>

/**
 * @file
 * Retry budget: limits retries to a tenth of the recent requests, so that a total outage causes at
 * most 1.1 attempts per request. Has no side effects outside its arguments.
 */

typedef struct {
	double tokens;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget);
/** Adds to the budget what one request earns: a tenth of a retry. */
void retry_budget_add_request(retry_budget_t *budget);
/**
 * Takes one retry from the budget.
 * @return false when the budget is exhausted
 */
bool retry_budget_take(retry_budget_t *budget);
