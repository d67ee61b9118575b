#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "peer.pb-c.h"
#include "placement.h"

/**
 * @file
 * Life cycle of jobs on the leader: turns the fleet's jobs and the reports about their tasks into
 * actions. Has no side effects outside its arguments. The state kept here is not replicated; a new
 * leader rebuilds it from reports.
 */

typedef enum {
	JOBS_UPDATE,	 /**< propose a JobUpdate, a change of the job's state */
	JOBS_START,	 /**< send a start request; repeated only for repeatable jobs */
	JOBS_CHECKPOINT, /**< ask the task to write a checkpoint and end */
	JOBS_THROTTLE,	 /**< ask the task to use fewer cores */
	JOBS_STOP,	 /**< stop a task that must not run */
	JOBS_QUARANTINE, /**< propose to quarantine the VM */
} jobs_action_type_t;

/** One action for the caller to execute. It owns its strings. */
typedef struct {
	jobs_action_type_t kind;
	char *job;
	char *vm;
	uint32_t attempt; /**< attempt of the task; for JOBS_UPDATE, the job's expected attempt */
	uint64_t vm_epoch;
	Lp__JobState state; /**< new state of the job; only for JOBS_UPDATE */
	char *reason;
	char *result;
	placement_resources_t size; /**< JOBS_START: size to reserve; JOBS_THROTTLE: limit */
} jobs_action_t;

typedef struct {
	placement_estimator_t size_estimator;
	GHashTable *tasks; /**< job id -> jobs_task_t of the job's current attempt */
	/** VM id -> ids of the jobs that failed on the VM since its last success */
	GHashTable *failed_jobs_by_vm;
	GHashTable *min_mem_mib;     /**< job id -> least MiB to reserve for the next attempt */
	GHashTable *pending_updates; /**< job id -> update that is proposed but not applied yet */
} jobs_t;

typedef struct {
	const fleet_t *fleet;
	/**
	 * Returns true when the VM can be given a task now: it announces itself and its lease is
	 * valid.
	 */
	bool (*usable)(void *arg, const fleet_vm_t *vm);
	void *arg;
	uint64_t now_us;
} jobs_input_t;

/**
 * Initialises the state. Must be called each time this process becomes leader, since a job that is
 * not repeatable is started only by the leader that placed it.
 */
void jobs_init(jobs_t *jobs);
void jobs_finish(jobs_t *jobs);

/**
 * Processes the tasks in a VM's report. Ignores reports without has_tasks.
 * @param actions array from jobs_actions_new(), to which actions are appended
 */
void jobs_report(jobs_t *jobs, const jobs_input_t *input, const Lp__TargetReport *report,
		 GPtrArray *actions);

/** Plans placements, starts, preemptions and rejections. Must be called about every 200 ms. */
void jobs_run(jobs_t *jobs, const jobs_input_t *input, GPtrArray *actions);

/**
 * Stops the tasks of cancelled jobs. Takes time in proportion to count, not to the number of jobs.
 * @param ids ids of the cancelled jobs
 */
void jobs_cancelled(jobs_t *jobs, const jobs_input_t *input, const char *const *ids, size_t count,
		    GPtrArray *actions);

/**
 * Queues a job again after the worker refused to start its task. Since the task certainly did not
 * run, this includes jobs that are not repeatable.
 */
void jobs_start_refused(jobs_t *jobs, const jobs_input_t *input, const char *id, uint32_t attempt,
			GPtrArray *actions);

GPtrArray *jobs_actions_new(void);
