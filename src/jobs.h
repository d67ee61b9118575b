#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "peer.pb-c.h"
#include "placement.h"

/**
 * @file
 * Life cycle of jobs on the leader: from the fleet's jobs and the reports of tasks to the actions
 * to take. Pure. What is kept here (sizes of job kinds, failures in a row) is learnt again by a new
 * leader.
 */

typedef enum {
	JOBS_UPDATE,	 /**< propose a JobUpdate */
	JOBS_START,	 /**< start the task on the VM; repeated until the task is reported */
	JOBS_CHECKPOINT, /**< have the task write a checkpoint and end */
	JOBS_THROTTLE,	 /**< have the task use fewer cores */
	JOBS_STOP,	 /**< end a task that should not run */
	JOBS_QUARANTINE, /**< propose to take the VM out of use */
} jobs_kind_t;

/** One action. The strings are owned by the action. */
typedef struct {
	jobs_kind_t kind;
	char *job;
	char *vm;
	uint32_t attempt; /**< the one expected by a JobUpdate, or that of the task */
	uint64_t vm_epoch;
	Lp__JobState state; /**< JOBS_UPDATE */
	char *reason;
	char *result;
	placement_size_t size; /**< JOBS_START: reserved; JOBS_THROTTLE: cores to keep to */
} jobs_action_t;

typedef struct {
	placement_kinds_t kinds;
	GHashTable *tasks;   /**< job id to what is known of its running attempt */
	GHashTable *workers; /**< VM id to failures in a row */
	GHashTable *floors;  /**< job id to MiB that an earlier attempt showed to be needed */
	GHashTable *pending; /**< job id to a proposed update that is not applied yet */
} jobs_t;

typedef struct {
	const fleet_t *fleet;
	/** True when the VM may be given work now (announced, in lease). */
	bool (*usable)(void *arg, const fleet_vm_t *vm);
	void *arg;
	uint64_t now_us;
} jobs_input_t;

/** Must be called anew each time that the process becomes leader: a job that may not be repeated is
 * started only by the leader that placed it. */
void jobs_init(jobs_t *jobs);
void jobs_finish(jobs_t *jobs);

/**
 * Takes a report of a target with has_tasks.
 * @param actions jobs_action_t, freed by the array's free function jobs_action_free()
 */
void jobs_report(jobs_t *jobs, const jobs_input_t *input, const Lp__TargetReport *report,
		 GPtrArray *actions);

/** Places, starts, preempts, rejects; call about every 200 ms. */
void jobs_run(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions);

/** Stops the tasks of jobs that were cancelled. Costs O(count). */
void jobs_cancelled(jobs_t *jobs, const jobs_input_t *input, const char *const *ids, size_t count,
		    GPtrArray *actions);

/** A start was certainly not run: the job may be placed again, even if it is not repeatable. */
void jobs_start_refused(jobs_t *jobs, const jobs_input_t *input, const char *id, uint32_t attempt,
			GPtrArray *actions);

GPtrArray *jobs_actions_new(void);
