#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "command.pb-c.h"

/**
 * @file
 * Replicated state of the batch jobs: queues, jobs, tasks, and which VM incarnation runs which
 * task. Deterministic: the same commands give the same state on every replica, except for members
 * that are marked as not replicated.
 */

/** Time for which the state of an ended job can still be queried. */
#define BATCH_ENDED_RETENTION_MS 150000ULL
/** Most tasks of one job over all its occurrences; a larger job is refused. */
#define BATCH_TASKS_MAX 20000

/** Buffer size for the checkpoint that a VM reports of a task that still runs, in bytes with the
 * final 0. A longer checkpoint is only taken from the report of a finished run. */
#define BATCH_RUNNING_CHECKPOINT_SIZE 32

typedef enum {
	BATCH_TASK_WAITING,
	BATCH_TASK_ASSIGNED, /**< a start intent for a VM is committed */
	BATCH_TASK_DONE,
} batch_task_status_t;

typedef enum {
	BATCH_JOB_QUEUED, /**< no task has been assigned yet */
	BATCH_JOB_RUNNING,
	BATCH_JOB_COMPLETE,
	BATCH_JOB_FAILED,
	BATCH_JOB_CANCELLED,
} batch_job_state_t;

/** One incarnation of a VM to which tasks were assigned. A restarted VM has another born_ms. */
typedef struct batch_vm {
	LIST_ENTRY(batch_vm) link;
	char *id;
	uint64_t born_ms; /**< start time of the incarnation, wall clock of the VM */
	char *address;
	char *machine;	       /**< "": unknown */
	uint64_t acknowledged; /**< finished runs of this VM up to this number are committed */
	LIST_HEAD(batch_vm_tasks, batch_task) tasks;
	unsigned task_count;
	unsigned snapshot_index;  /**< from 1; set while a snapshot is saved */
	struct leader_vm *leader; /**< the leader's record of this VM; not replicated */
} batch_vm_t;

/** What the leader knows about the start of an assigned run. Not replicated. */
typedef enum {
	RUN_INHERITED,	/**< assigned by an earlier leader, or no start request was sent yet */
	RUN_START_SENT, /**< a start request is in flight */
	RUN_CONFIRMED,	/**< the VM has acknowledged the start or listed the run */
	RUN_UNSURE,	/**< unknown whether the VM has started it: no conclusive answer */
	RUN_REFUSED,	/**< certainly not started; the loss of the run is being committed */
} run_phase_t;

/** The leader's state of a task and its run. Not replicated; reset by a new leader. */
typedef struct {
	run_phase_t phase;
	bool intent_pending; /**< a start intent for the task is being committed */
	bool stop_in_flight;
	bool stop_acked; /**< a stop request has succeeded */
	bool pace_in_flight;
	bool loss_pending; /**< the loss of the run is being committed */
	bool evacuate;	   /**< to be stopped here so that it runs on another VM */
	uint64_t phase_since_us;
	uint64_t stop_due_us;	   /**< no stop request is sent before this time */
	uint64_t stop_acked_us;	   /**< when a stop request last succeeded */
	uint64_t progress_us;	   /**< when progress was last seen to change; 0: never */
	uint32_t progress_percent; /**< a long-running task has 100 once it is operational */
	uint32_t pace_percent;	   /**< allowed speed in percent, as last confirmed by the VM */
	uint32_t load;	       /**< tail latency in ms for a latency-goal task, otherwise CPU use in
				  thousandths of a core; measured by the VM */
	uint64_t over_goal_us; /**< since when the tail latency exceeds its goal; 0: it does not */
	struct leader_vm *intent_vm; /**< VM of the start intent while intent_pending is set */
	uint32_t failed_vm_hash; /**< leader_vm_hash() of the VM where a run last failed; 0: none */
	char reported_checkpoint[BATCH_RUNNING_CHECKPOINT_SIZE]; /**< latest; "": none */
} run_local_state_t;

typedef struct batch_task {
	LIST_ENTRY(batch_task) vm_link;
	struct batch_step *step;
	uint32_t index; /**< position in the step */
	batch_task_status_t status;
	uint32_t run;	   /**< number of the latest run, from 1; 0: never assigned */
	uint32_t failures; /**< number of failed runs */
	batch_vm_t *vm;	   /**< VM that may run the task; kept after the task is done until its run
			      has ended. NULL: none */
	char *checkpoint;  /**< to resume from; NULL: none */
	uint64_t ended_ms; /**< wall clock of the latest end of a run; 0: none */
	run_local_state_t local;
} batch_task_t;

/** One step of one occurrence of a job. */
typedef struct batch_step {
	struct batch_job *job;
	uint32_t occurrence;
	uint32_t number; /**< index in the steps of the job's specification */
	const Lp__BatchStep *spec;
	batch_task_t *tasks;
	uint32_t waiting;		    /**< number of tasks in BATCH_TASK_WAITING */
	uint32_t assigned;		    /**< number of tasks in BATCH_TASK_ASSIGNED */
	uint32_t done;			    /**< number of tasks in BATCH_TASK_DONE */
	uint32_t gang_failures;		    /**< number of failed member runs of a gang */
	struct batch_ticket_cache *tickets; /**< from the policy service; not replicated */
	uint64_t retry_us;	  /**< the leader does not place the step before; not replicated */
	uint32_t pending_intents; /**< tasks with a pending start intent; not replicated */
} batch_step_t;

typedef struct batch_job {
	TAILQ_ENTRY(batch_job) link;
	uint64_t seq;
	Lp__BatchJob *spec;
	batch_job_state_t state;
	uint64_t accepted_ms; /**< wall clock of the leader */
	uint64_t ended_ms;    /**< wall clock of the leader; 0: not ended */
	uint32_t occurrences;
	uint32_t steps_done;	     /**< completed steps of all occurrences */
	uint32_t step_count;	     /**< steps of all occurrences */
	batch_step_t *steps;	     /**< all steps of an occurrence, then those of the next */
	uint32_t tasks_on_vms;	     /**< number of tasks that have a VM */
	bool archived;		     /**< in the list of ended jobs, without steps */
	char *service;		     /**< name; kept when the queue is removed */
	const Lp__BatchQueue *queue; /**< NULL: removed from the configuration */
	double work;		     /**< declared work, in thousandths of a core times ms */
	uint64_t accepted_mono_us;   /**< acceptance on the monotonic clock of this leader, set by
					batch_job_age_ms(); 0: not set; not replicated */
} batch_job_t;

typedef struct {
	char *machine;
	Lp__BatchOrderState state;
	uint64_t since_ms; /**< wall clock of the latest change of state */
	uint64_t born_ms;  /**< of the VM that the maintenance ends; 0: none was known */
} batch_wave_machine_t;

/** A maintenance wave: machines to be maintained, at most max_down at a time. */
typedef struct batch_wave {
	LIST_ENTRY(batch_wave) link;
	uint64_t number;
	uint64_t duration_ms;
	uint32_t max_down;
	uint64_t since_ms; /**< wall clock */
	batch_wave_machine_t *machines;
	size_t machine_count;
} batch_wave_t;

/** A committed move of a machine to another pool whose outcome is not known yet. */
typedef struct batch_move {
	LIST_ENTRY(batch_move) link;
	char *machine;
	char *pool;
} batch_move_t;

TAILQ_HEAD(batch_job_list, batch_job);

typedef struct {
	Lp__BatchConfig *config; /**< NULL: none yet */
	uint64_t next_seq;
	uint64_t start_term;	      /**< highest leader term of the applied start intents */
	GHashTable *by_id;	      /**< job id -> batch_job_t */
	GHashTable *by_seq;	      /**< &seq -> batch_job_t */
	struct batch_job_list active; /**< jobs that have not ended or have tasks with a VM */
	struct batch_job_list ended; /**< archived jobs, in the order in which they were archived */
	LIST_HEAD(batch_vms, batch_vm) vms;
	GHashTable *vms_by_incarnation; /**< batch_vm_key() -> batch_vm_t */
	uint64_t vms_revision;		/**< counts additions and removals of VM incarnations */
	LIST_HEAD(batch_waves, batch_wave) waves;
	GHashTable *wave_machines; /**< machine -> batch_wave_machine_t of its latest wave */
	LIST_HEAD(batch_moves, batch_move) moves;
	GHashTable *last_request_us; /**< machine -> uint64_t: clock_us when the latest platform
				request for it was applied; times are not replicated */
	uint64_t clock_us; /**< monotonic clock of this replica, set by the owner before each
			      command */
	uint64_t revision; /**< counts applied commands and loaded snapshots */
} batch_state_t;

void batch_state_init(batch_state_t *state);
void batch_state_finish(batch_state_t *state);

/** Applies a committed command. @param wall_ms wall clock of the process that proposed it
 * @param result keeps its code on success; its strings are static */
void batch_state_apply(batch_state_t *state, uint64_t wall_ms, const Lp__BatchCommand *command,
		       Lp__Result *result);

/** Serialises the state. @return memory that the caller frees with free() */
uint8_t *batch_state_save(const batch_state_t *state, size_t *length);
/** Replaces the state by a snapshot. @return 0, or -1 when the snapshot is malformed; the state is
 * then incomplete and only good for batch_state_finish() or another load */
int batch_state_load(batch_state_t *state, const uint8_t *data, size_t length);

/**
 * Checks a configuration for unknown services, queues with the same host and prefix, and timeouts
 * of 0.
 * @return NULL, or what is wrong (static)
 */
const char *batch_config_check(const Lp__BatchConfig *config);
/** @return the queue at host with the longest prefix of path, or NULL */
const Lp__BatchQueue *batch_state_match_queue(const batch_state_t *state, const char *host,
					      const char *path);
/** @return the queue with exactly this host and prefix, or NULL */
const Lp__BatchQueue *batch_state_find_queue(const batch_state_t *state, const char *host,
					     const char *prefix);
const Lp__BatchService *batch_state_service(const batch_state_t *state, const char *name);
batch_job_t *batch_state_job(const batch_state_t *state, const char *id);
/** @return the task, or NULL */
batch_task_t *batch_state_task(const batch_state_t *state, const Lp__BatchTask *ref);
/** @return the task, or NULL */
batch_task_t *batch_job_task(batch_job_t *job, uint32_t occurrence, uint32_t step, uint32_t index);
/** @return the VM incarnation, or NULL */
batch_vm_t *batch_state_vm(const batch_state_t *state, const char *id, uint64_t born_ms);
batch_wave_t *batch_state_wave(const batch_state_t *state, uint64_t number);
/** @return number of accepted jobs of a queue that have no assigned task yet, without scheduled
 * jobs that are not due */
uint32_t batch_state_count_queued(const batch_state_t *state, const Lp__BatchQueue *queue,
				  uint64_t wall_ms);
/** @return NULL, or why the job is invalid (static) */
const char *batch_job_check(const Lp__BatchJob *job);
bool batch_job_ended(const batch_job_t *job);
/** @return name of the state on the HTTP API */
const char *batch_job_state_name(batch_job_state_t state);
/** @return true when all steps that the step depends on are done */
bool batch_step_unblocked(const batch_step_t *step);
/** @return wall clock in ms from which the step's occurrence may run; 0: not scheduled */
uint64_t batch_step_due_ms(const batch_step_t *step);
/** @return true when every machine of the wave was maintained or has left the fleet */
bool batch_wave_complete(const batch_wave_t *wave);
/** Fills ref with the identity of the task's latest run, as used in commands. */
void batch_task_ref(const batch_task_t *task, Lp__BatchTask *ref);
