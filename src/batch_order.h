#pragma once

#include <glib.h>

#include "batch_state.h"

/**
 * @file
 * The order in which waiting steps are placed. Answers surges that ask for more than a pool holds:
 * tasks that last come first, then jobs that can still meet their objective, by what they are worth
 * for the work that is left, then jobs that are late. Pure.
 */

/** A step that may run now and has waiting tasks. */
typedef struct {
	batch_step_t *step;
	const Lp__BatchQueue *queue; /**< NULL: removed */
	unsigned rank;		     /**< lower first */
	double density;		     /**< worth for the work that is left; higher first */
} batch_candidate_t;

/** @return candidates in the order of placement (GArray of batch_candidate_t) */
GArray *batch_candidates(const batch_state_t *state, uint64_t now_us, uint64_t wall_ms);

/** Declared time of the longest chain of steps of an occurrence, in ms. @param left only of what is
 * not done yet */
uint64_t batch_chain_ms(const batch_job_t *job, uint32_t occurrence, bool left);
/** Declared work of the tasks that are not done, in thousandths of a core times ms. */
double batch_work_left(const batch_job_t *job);
/** Time since the job was accepted, by the steady clock of the process that leads. */
uint64_t batch_job_age_ms(batch_job_t *job, uint64_t now_us, uint64_t wall_ms);
/** Time after the due time within which an occurrence should be done, in ms. */
uint64_t batch_objective_ms(const batch_job_t *job, const Lp__BatchQueue *queue);
