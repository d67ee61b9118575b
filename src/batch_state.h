#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "command.pb-c.h"

/**
 * @file
 * Replicated state of the batch jobs: queues, jobs, their tasks, and which life of which VM runs
 * what. Deterministic: the same commands give the same state on every replica.
 */

/** A job is kept for so long after its end, so that late questions about it are answered. */
#define BATCH_ENDED_RETENTION_MS 150000ULL
/** Most tasks of one job over all its occurrences; a larger job is refused. */
#define BATCH_TASKS_MAX 20000

/** A longer checkpoint is used only once a VM has listed it with an end. */
#define BATCH_RUNNING_CHECKPOINT_SIZE 32

typedef enum {
	BATCH_TASK_WAITING,
	BATCH_TASK_ASSIGNED, /**< the intent to run it is recorded */
	BATCH_TASK_DONE,
} batch_task_status_t;

typedef enum {
	BATCH_JOB_QUEUED, /**< no task was ever started */
	BATCH_JOB_RUNNING,
	BATCH_JOB_COMPLETE,
	BATCH_JOB_FAILED,
	BATCH_JOB_CANCELLED,
} batch_job_state_t;

/** One life of a VM that was told to run something. A VM that restarts has another birth time. */
typedef struct batch_vm {
	LIST_ENTRY(batch_vm) link;
	char *id;
	uint64_t born_ms;
	char *address;
	char *machine;	/**< "": not told */
	uint64_t noted; /**< ends up to this number are recorded */
	LIST_HEAD(batch_vm_tasks, batch_task) tasks;
	unsigned task_count;
	unsigned snapshot_index;  /**< scratch of the snapshot */
	struct leader_vm *leader; /**< the leader's view of it; not replicated */
} batch_vm_t;

/** What the leader knows of a run beyond the log. Not replicated. */
typedef enum {
	RUN_INHERITED, /**< assigned by an earlier leader, or not ordered yet */
	RUN_ORDERED,   /**< the start order is on its way */
	RUN_CONFIRMED, /**< the VM has acknowledged it */
	RUN_UNSURE,    /**< the start order had no answer */
	RUN_REFUSED,   /**< certainly not started; the loss is being recorded */
} run_phase_t;

typedef struct {
	run_phase_t phase;
	bool planned;	 /**< an intent is being recorded */
	bool stop_busy;	 /**< a stop order is on its way */
	bool stop_acked; /**< a stop order was answered */
	bool pace_busy;
	bool losing;	   /**< the loss is being recorded */
	bool evacuate;	   /**< stopped to be run elsewhere */
	uint64_t since_us; /**< of the phase */
	uint64_t stop_due_us;
	uint64_t stop_acked_us;
	uint64_t stalled_us; /**< first time without progress; 0: none */
	uint32_t percent;    /**< progress; a long-running task is at work at 100 */
	uint32_t paced;	     /**< percent that was ordered; 100 at a start */
	uint32_t load; /**< tail in ms of a task with a goal, otherwise thousandths of a core */
	uint64_t over_goal_us;	      /**< since when the tail is over its goal; 0: it is not */
	struct leader_vm *planned_vm; /**< while planned */
	uint32_t failed_vm;	      /**< hash of the VM where a run failed last; 0: none */
	char saved[BATCH_RUNNING_CHECKPOINT_SIZE]; /**< latest checkpoint that the VM has told; "":
						      none */
} run_soft_t;

typedef struct batch_task {
	LIST_ENTRY(batch_task) vm_link;
	struct batch_step *step;
	uint32_t index;
	batch_task_status_t status;
	uint32_t run;	   /**< number of the latest run; 0: never started */
	uint32_t failures; /**< runs that ended failed */
	batch_vm_t *vm;	   /**< that holds the run; also set while a superfluous run is stopped */
	char *checkpoint;  /**< NULL: none */
	uint64_t ended_ms; /**< wall clock of the latest end; 0: none */
	run_soft_t soft;
} batch_task_t;

/** One step of one occurrence. */
typedef struct batch_step {
	struct batch_job *job;
	uint32_t occurrence;
	uint32_t number;
	const Lp__BatchStep *spec;
	batch_task_t *tasks;
	uint32_t waiting;
	uint32_t assigned;
	uint32_t done;
	uint32_t gang_failures;
	struct batch_ticket_book *tickets; /**< the leader's; not replicated */
	uint64_t retry_us; /**< the leader does not place it before; not replicated */
	uint32_t planned;  /**< tasks whose intent is being recorded; not replicated */
} batch_step_t;

typedef struct batch_job {
	TAILQ_ENTRY(batch_job) link;
	uint64_t seq;
	Lp__BatchJob *spec;
	batch_job_state_t state;
	uint64_t accepted_ms; /**< wall clock of the leader */
	uint64_t ended_ms;
	uint32_t occurrences;
	uint32_t steps_done;
	uint32_t step_count;	     /**< of all occurrences */
	batch_step_t *steps;	     /**< occurrence by occurrence */
	uint32_t tasks_on_vms;	     /**< tasks with a VM */
	bool archived;		     /**< in the list of ended jobs */
	char *service;		     /**< that runs the job; kept when its queue is removed */
	const Lp__BatchQueue *queue; /**< NULL: removed */
	double work;		     /**< declared, in thousandths of a core times ms */
	uint64_t accepted_mono_us;   /**< the leader's time of acceptance; not replicated */
} batch_job_t;

typedef struct {
	char *machine;
	Lp__BatchOrderState state;
	uint64_t since_ms;
	uint64_t born_ms; /**< of the VM that the order ends; 0: none was known */
} batch_wave_machine_t;

/** A maintenance wave. */
typedef struct batch_wave {
	LIST_ENTRY(batch_wave) link;
	uint64_t wave;
	uint64_t duration_ms;
	uint32_t max_down;
	uint64_t since_ms; /**< wall clock */
	batch_wave_machine_t *machines;
	size_t machine_count;
} batch_wave_t;

/** A move of a machine to another pool that was recorded and has no outcome yet. */
typedef struct batch_move {
	LIST_ENTRY(batch_move) link;
	char *machine;
	char *pool;
} batch_move_t;

TAILQ_HEAD(batch_job_list, batch_job);

typedef struct {
	Lp__BatchConfig *config; /**< NULL: none yet */
	uint64_t next_seq;
	uint64_t start_term;	      /**< of the latest leader that recorded intents */
	GHashTable *by_id;	      /**< job id -> batch_job_t */
	GHashTable *by_seq;	      /**< &seq -> batch_job_t */
	struct batch_job_list active; /**< not ended, or with tasks that still have a VM */
	struct batch_job_list ended;  /**< in order of their end */
	LIST_HEAD(batch_vms, batch_vm) vms;
	GHashTable *vms_by_incarnation; /**< id and birth -> batch_vm_t */
	uint64_t vms_revision;		/**< counts VM lives that came or went */
	LIST_HEAD(batch_waves, batch_wave) waves;
	GHashTable *wave_machines; /**< machine -> batch_wave_machine_t of its latest wave */
	LIST_HEAD(batch_moves, batch_move) moves;
	GHashTable *ordered; /**< machine -> uint64_t: clock_us when its latest order was applied */
	uint64_t clock_us;   /**< this replica's steady clock; set by the owner before it applies */
	uint64_t revision;   /**< counts changes */
} batch_state_t;

void batch_state_init(batch_state_t *state);
void batch_state_finish(batch_state_t *state);

/** Applies a command; @param wall_ms the proposer's wall clock; result's strings are static. */
void batch_state_apply(batch_state_t *state, uint64_t wall_ms, const Lp__BatchCommand *command,
		       Lp__Result *result);

/** @return memory allocated with malloc() */
uint8_t *batch_state_save(const batch_state_t *state, size_t *length);
/** Replaces the state. @return 0, or -1 when the snapshot cannot be read */
int batch_state_load(batch_state_t *state, const uint8_t *data, size_t length);

/**
 * Checks a configuration: unknown services, two queues at one place, timeouts of 0.
 * @return NULL, or what is wrong (static)
 */
const char *batch_config_check(const Lp__BatchConfig *config);
/** Queue with the longest prefix of path at host, or NULL. */
const Lp__BatchQueue *batch_state_route(const batch_state_t *state, const char *host,
					const char *path);
/** Queue at a host with a prefix, or NULL. */
const Lp__BatchQueue *batch_state_find_queue(const batch_state_t *state, const char *host,
					     const char *prefix);
const Lp__BatchService *batch_state_service(const batch_state_t *state, const char *name);
batch_job_t *batch_state_job(const batch_state_t *state, const char *id);
/** @return the task, or NULL */
batch_task_t *batch_state_task(const batch_state_t *state, const Lp__BatchTask *ref);
batch_task_t *batch_job_task(batch_job_t *job, uint32_t occurrence, uint32_t step, uint32_t index);
batch_vm_t *batch_state_vm(const batch_state_t *state, const char *id, uint64_t born_ms);
batch_wave_t *batch_state_wave(const batch_state_t *state, uint64_t number);
/** Accepted jobs of a queue, without a schedule, of which no task has started. */
uint32_t batch_state_pending(const batch_state_t *state, const Lp__BatchQueue *queue,
			     uint64_t wall_ms);
/** @return NULL, or why the job is malformed (static) */
const char *batch_job_check(const Lp__BatchJob *job);
bool batch_job_ended(const batch_job_t *job);
const char *batch_job_state_name(batch_job_state_t state);
/** True when all steps that a step waits for are done. */
bool batch_step_unblocked(const batch_step_t *step);
/** Wall clock in ms from which the step's occurrence may run; 0: at once. */
uint64_t batch_step_due_ms(const batch_step_t *step);
/** True when every machine of the wave was maintained or has left. */
bool batch_wave_complete(const batch_wave_t *wave);
/** Names a task in the log. */
void batch_task_ref(const batch_task_t *task, Lp__BatchTask *ref);
