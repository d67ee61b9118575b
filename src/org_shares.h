#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "batch_state.h"

/**
 * @file
 * Shares of organisations in the services of a placement pass, by their weights. Answers the load
 * of one organisation that sends many times its usual while a service is full: its steps are placed
 * after those of the others once it uses more than its share. The shares only order what waits, so
 * that no room is left unused. No I/O.
 */

typedef struct {
	GHashTable *services; /**< service name, interned -> its use; NULL: no organisations */
} org_shares_t;

/** Without organisations, all functions do nothing, and nobody is over a share. */
void org_shares_init(org_shares_t *shares);
void org_shares_finish(org_shares_t *shares);
/**
 * Sums up the use of each organisation with active jobs, and sets org_account_t.planned to what the
 * pending start intents add to it.
 */
void org_shares_collect(org_shares_t *shares, const batch_state_t *state);
/** Adds use of CPU and possible demand of an organisation in a service. */
void org_shares_add(org_shares_t *shares, const char *service, const org_account_t *account,
		    uint64_t cpu_milli);
/** True when the organisation of the job uses more than its share of the job's service. */
bool org_shares_over(const org_shares_t *shares, const batch_job_t *job);
