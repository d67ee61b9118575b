#pragma once

#include <glib.h>

#include "batch_state.h"
#include "metrics.h"

/**
 * @file
 * Reports how jobs have ended: one log line for each, counters by organisation and result, and a
 * histogram of their times by organisation. The number of organisations with series of their own is
 * bounded.
 */

/** Most organisations with series of their own; the others share those of "other". */
#define BATCH_OUTCOME_ORGANISATIONS_MAX 64

typedef struct {
	metrics_t *metrics;
	GHashTable *by_organisation; /**< name -> its series */
} batch_outcome_t;

void batch_outcome_init(batch_outcome_t *outcome, metrics_t *metrics);
void batch_outcome_finish(batch_outcome_t *outcome);
/**
 * Reports a job that has just ended.
 * @param age_ms time since the job was accepted
 * @param objective_ms time within which it should have ended
 */
void batch_outcome_report(batch_outcome_t *outcome, const batch_job_t *job, uint64_t age_ms,
			  uint64_t objective_ms);
/**
 * Updates the gauges of what each organisation uses, may use and has unfinished, for the
 * organisations that have series of their own.
 */
void batch_outcome_show_accounts(batch_outcome_t *outcome, const org_accounts_t *accounts);
/**
 * Makes a label value of a name: characters other than letters, digits, '-', '_' and '.' become
 * '_'. @return to be freed with g_free()
 */
char *batch_outcome_label(const char *name);
