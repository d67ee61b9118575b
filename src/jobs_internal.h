#pragma once

#include "jobs.h"

/**
 * @file
 * Functions shared by jobs.c (reports, life cycle) and jobs_place.c (placement, preemption).
 */

/** Current attempt of a job, as known from task reports. */
typedef struct {
	uint32_t attempt;
	uint64_t last_seen_us; /**< time of the latest report, or of this entry's creation */
	bool reported;
	bool placed_by_this_leader; /**< placed by this process since it last became leader */
	placement_resources_t peak_usage;
	uint64_t run_ms;
	uint64_t next_start_us;
	uint64_t next_checkpoint_us;
	bool throttled;
} jobs_task_t;

placement_resources_t jobs_declared_size(const fleet_job_t *job);
jobs_task_t *jobs_get_task(jobs_t *jobs, const fleet_job_t *job, uint64_t now_us);
/** True when the job is placed, running or checkpointing. */
bool jobs_has_task(const fleet_job_t *job);
/**
 * Returns the resources to reserve for a job: the estimated size, or more if the current attempt
 * uses more or an earlier one ran out of memory.
 * @param observed as for placement_estimate_size(); may be NULL
 */
placement_resources_t jobs_reserved_size(const jobs_t *jobs, const fleet_job_t *job,
					 bool *observed);
bool jobs_has_pending_update(const jobs_t *jobs, const fleet_job_t *job, uint64_t now_us);
/** Returns the VM that the job's pending update names, or "" when there is no VM or no update. */
const char *jobs_pending_update_vm(const jobs_t *jobs, const fleet_job_t *job);
jobs_action_t *jobs_add_action(GPtrArray *actions, jobs_action_type_t kind, const fleet_job_t *job,
			       const char *vm);
/**
 * Proposes a new state of a job. Until the update is applied, but for at most one second, jobs.c
 * and jobs_place.c propose no other update of the job.
 */
jobs_action_t *jobs_propose_state(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions,
				  const fleet_job_t *job, Lp__JobState state, const char *vm,
				  const char *reason);
void jobs_request_checkpoint(jobs_t *jobs, const jobs_input_t *input, const fleet_job_t *job,
			     GPtrArray *actions);
void jobs_place_queued(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions);
