#pragma once

#include "jobs.h"

/**
 * @file
 * Shared by jobs.c (reports, life cycle) and jobs_place.c (queue, preemption).
 */

/** The running attempt of a job, as far as reports tell. */
typedef struct {
	uint32_t attempt;
	uint64_t seen_us; /**< latest report, or when the attempt was first met here */
	bool reported;
	bool placed_here; /**< proposed by this leader in its present term */
	placement_size_t peak;
	uint64_t run_ms;
	uint64_t start_due_us;
	uint64_t checkpoint_due_us;
	bool throttled;
} jobs_task_t;

placement_size_t jobs_declared(const fleet_job_t *job);
jobs_task_t *jobs_task(jobs_t *jobs, const fleet_job_t *job, uint64_t now_us);
/** True when the job has a task somewhere: placed, running or checkpointing. */
bool jobs_live(const fleet_job_t *job);
/** The reserved size of a live or queued job: estimate, floor of earlier attempts, and peak. */
placement_size_t jobs_size(const jobs_t *jobs, const fleet_job_t *job, bool *observed);
bool jobs_pending(const jobs_t *jobs, const fleet_job_t *job, uint64_t now_us);
/** The VM of the proposed update, or "". */
const char *jobs_pending_vm(const jobs_t *jobs, const fleet_job_t *job);
jobs_action_t *jobs_add(GPtrArray *actions, jobs_kind_t kind, const fleet_job_t *job,
			const char *vm);
/** Proposes a state; the job is left alone until it is applied or a second has passed. */
jobs_action_t *jobs_propose(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions,
			    const fleet_job_t *job, Lp__JobState state, const char *vm,
			    const char *reason);
void jobs_checkpoint(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
		     GPtrArray *actions);
void jobs_place_queue(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions);
