#pragma once

#include <stdbool.h>

/**
 * @file
 * Retry budget: retries are at most a tenth of the recent requests, so that a total outage raises
 * the number of attempts to at most 1.1 times the requests. Pure.
 */

typedef struct {
	double tokens;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget);
/** Counts a request. */
void retry_budget_request(retry_budget_t *budget);
/** Takes one retry. @return false when the budget is used up */
bool retry_budget_take(retry_budget_t *budget);
