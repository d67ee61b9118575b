#pragma once

#include <glib.h>

#include "batch_state.h"

/**
 * @file
 * Order in which waiting steps are placed when demand exceeds the capacity of a pool: long-running
 * steps first, then jobs that can still meet their objective, by value per remaining work, then
 * late jobs. No I/O; the only state changed is the age cached by batch_job_age_ms().
 */

/** A step with waiting tasks that may start now. */
typedef struct {
	batch_step_t *step;
	const Lp__BatchQueue *queue; /**< NULL: removed from the configuration */
	unsigned rank;		     /**< lower is placed first */
	double value_density; /**< job value per remaining work; within a rank, higher is first */
} batch_candidate_t;

/** @return the steps that may start, in placement order (GArray of batch_candidate_t); the caller
 * releases it with g_array_unref() */
GArray *batch_sorted_candidates(const batch_state_t *state, uint64_t now_us, uint64_t wall_ms);

/** @return declared time of the critical path (longest chain of dependent steps) of an occurrence,
 * in ms. @param remaining_only counts completed steps as 0 */
uint64_t batch_critical_path_ms(const batch_job_t *job, uint32_t occurrence, bool remaining_only);
/** @return declared work of the tasks that are not done, in thousandths of a core times ms */
double batch_remaining_work(const batch_job_t *job);
/** @return time since the job was accepted, in ms, by this leader's monotonic clock */
uint64_t batch_job_age_ms(batch_job_t *job, uint64_t now_us, uint64_t wall_ms);
/** @return time after its due time within which an occurrence should complete, in ms; 0 without a
 * queue */
uint64_t batch_objective_ms(const batch_job_t *job, const Lp__BatchQueue *queue);
