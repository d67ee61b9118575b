#pragma once

#include <glib.h>

#include "batch_state.h"
#include "org_shares.h"

/**
 * @file
 * Order in which waiting steps are placed when demand exceeds the capacity of a pool: long-running
 * steps first, then the jobs that can still meet their objective, by value per remaining work, then
 * late jobs, and last the jobs that are worth nothing any more, the oldest first. Jobs that starve
 * at the end of this order take turns at its head. Among steps of the same rank, those of
 * organisations that use more than their share come last. There is no I/O; the only state changed
 * is the job age cached by batch_job_age_ms().
 */

/** Whether a job can still meet its objective, as far as its declared run times tell. */
typedef enum {
	JOB_ON_TIME,
	JOB_LATE,      /**< it is expected within three times its objective */
	JOB_VERY_LATE, /**< later than that, it is worth no more than one that never ends */
} job_timing_t;

/** A step with waiting tasks that may be placed now. */
typedef struct {
	batch_step_t *step;
	const Lp__BatchQueue *queue; /**< queue of the job; NULL: removed from the configuration */
	job_timing_t timing;
	bool starved;	 /**< the job is very late and waits for long; such jobs take turns to be
			    placed like jobs on time */
	unsigned rank;	 /**< steps with a lower rank are placed first */
	bool over_share; /**< its organisation used more than its share when it was last looked at
			  */
	double value_density; /**< value of the job per remaining work; within a rank, higher is
				 placed first */
} batch_candidate_t;

/** Tells whether a task of the step could be placed at present. */
typedef struct {
	bool (*has_room)(void *arg, const batch_step_t *step);
	void *arg;
} batch_room_t;

/** The steps that may be placed now. They are taken one by one, in placement order. */
typedef struct {
	GArray *heap; /**< of batch_candidate_t */
	const org_shares_t *shares;
	uint64_t examined; /**< number of steps whose timing was determined */
	batch_candidate_t current;
} batch_candidates_t;

/**
 * Collects the steps that may be placed now. batch_candidates_finish() frees them.
 * @param room steps for which it has none are left out; NULL: all have room
 * @param shares must outlive the candidates; what is added to it counts for those that follow
 */
void batch_candidates_init(batch_candidates_t *candidates, const batch_state_t *state,
			   const batch_room_t *room, const org_shares_t *shares, uint64_t now_us,
			   uint64_t wall_ms);
/** @return the next step in placement order, valid until the next call; NULL: no more */
const batch_candidate_t *batch_candidates_next(batch_candidates_t *candidates);
void batch_candidates_finish(batch_candidates_t *candidates);

/**
 * @return expected run time of the critical path (longest chain of dependent steps) of an
 * occurrence, in ms. @param remaining_only counts completed steps as 0 ms
 */
uint64_t batch_critical_path_ms(batch_job_t *job, uint32_t occurrence, bool remaining_only);
/**
 * @return number of cores that the rest of the job's first occurrence could use if capacity were
 * unlimited @param path_min_ms lower limit of its remaining critical path
 */
double batch_parallel_cores(const batch_job_t *job, uint64_t path_min_ms);
/** @return whether the occurrence of the job can still meet its objective */
job_timing_t batch_job_timing(batch_job_t *job, uint32_t occurrence, uint64_t now_us,
			      uint64_t wall_ms);
/** @return expected work of the job's tasks that are not done, in thousandths of a core times ms */
double batch_remaining_work(const batch_job_t *job);
/** @return time since the job was accepted, in ms, measured on this leader's monotonic clock */
uint64_t batch_job_age_ms(batch_job_t *job, uint64_t now_us, uint64_t wall_ms);
/**
 * @return time in ms within which an occurrence of the job should complete, counted from its due
 * time; 0 when queue is NULL
 */
uint64_t batch_objective_ms(batch_job_t *job, const Lp__BatchQueue *queue);
