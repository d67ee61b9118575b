#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "command.pb-c.h"
#include "org_account.h"
#include "run_times.h"

/**
 * @file
 * Replicated state of the batch jobs: queues, jobs, tasks, and which VM incarnation runs which
 * task. It is deterministic: the same commands give the same state on every replica, except for
 * members marked as not replicated.
 */

/** Time for which the state of an ended job can be queried, in ms. */
#define BATCH_ENDED_RETENTION_MS 150000ULL
/** Most tasks of one job, counted over all its occurrences. A larger job is refused. */
#define BATCH_TASKS_MAX 20000

/**
 * Buffer size for the latest checkpoint of a task that is still running, in bytes with the
 * terminating null. A longer checkpoint is only taken over once the run has finished.
 */
#define BATCH_RUNNING_CHECKPOINT_SIZE 32

/**
 * A job is given up once this many VMs have crashed soon after the start of one of its tasks and
 * the latest of these crashes has no other known cause.
 */
#define BATCH_SEEN_CRASHES_MAX 2
/**
 * A job is also given up once this many VMs have crashed soon after the possible start of one of
 * its tasks. Whether the start was seen depends on responses and on the same leader, and a task
 * that crashes its VMs must not be started any longer.
 */
#define BATCH_CRASHES_MAX 4

typedef enum {
	BATCH_TASK_WAITING,
	BATCH_TASK_ASSIGNED, /**< a start intent that assigns the task to a VM is committed */
	BATCH_TASK_DONE,
} batch_task_status_t;

typedef enum {
	BATCH_JOB_QUEUED,  /**< no task of the job was assigned to a VM yet */
	BATCH_JOB_RUNNING, /**< a task was assigned; the job has not necessarily begun */
	BATCH_JOB_COMPLETE,
	BATCH_JOB_FAILED,
	BATCH_JOB_CANCELLED,
} batch_job_state_t;

/**
 * One incarnation of a VM to which tasks were assigned. A restarted VM is another incarnation, with
 * a later born_ms.
 */
typedef struct batch_vm {
	LIST_ENTRY(batch_vm) link;
	char *id;
	uint64_t born_ms; /**< start time of the incarnation, by the VM's wall clock */
	char *address;
	char *machine;	       /**< machine that the VM runs on; "": unknown */
	uint64_t acknowledged; /**< number of the VM's latest finished run that is committed */
	LIST_HEAD(batch_vm_tasks, batch_task) tasks;
	unsigned task_count;
	unsigned snapshot_index;  /**< position of the VM in the snapshot, from 1; valid only while
				     batch_state_save() runs */
	struct leader_vm *leader; /**< the leader's view of this incarnation; not replicated */
} batch_vm_t;

/** What the leader knows about the start of an assigned run. Not replicated. */
typedef enum {
	RUN_INHERITED, /**< an earlier leader assigned the run, or its start request was not sent
			  yet */
	RUN_AWAITS_TICKET, /**< the start request waits for an answer of the policy service */
	RUN_START_QUEUED,  /**< the first start request waits until the VM takes more calls */
	RUN_START_SENT,	   /**< the start request is in flight */
	RUN_CONFIRMED,	   /**< the VM has acknowledged the start or listed the run */
	RUN_UNSURE,  /**< no conclusive response: unknown whether the VM has started the run */
	RUN_REFUSED, /**< the run was certainly not started and is being committed as lost */
} run_phase_t;

/** The leader's state of a task and its latest run. Not replicated; reset by a new leader. */
typedef struct {
	run_phase_t phase;
	bool intent_pending; /**< a start intent for the task is being committed */
	bool stop_in_flight;
	bool stop_acked; /**< a stop request for the run has succeeded */
	bool pace_in_flight;
	bool listed;	       /**< the VM has listed the run as running */
	bool start_unanswered; /**< a start request for the run got no response */
	bool loss_pending;     /**< the run is being committed as lost */
	bool handover_pending; /**< the handover of the run to the VM's next incarnation is being
				  committed */
	bool evacuate; /**< the run must be stopped, so that the task can run on another VM */
	uint64_t phase_since_us;
	uint64_t stop_due_us;	/**< earliest time of the next stop request for the run */
	uint64_t stop_acked_us; /**< time when a stop request for the run last succeeded */
	bool start_broken;	/**< the connection of a start request for the run was broken off */
	uint64_t confirmed_clock_ms; /**< reading of the VM's clock when the run was confirmed */
	uint64_t progress_us; /**< time when the progress last changed or the run was confirmed; 0:
				 not confirmed */
	uint32_t progress_percent; /**< reported progress, 0 to 100; a long-running task is
				      operational at 100 */
	uint32_t pace_percent; /**< allowed speed in percent of full speed, as last confirmed by the
				  VM */
	uint32_t load; /**< load measured by the VM: tail latency in ms for a latency-goal task,
			  otherwise CPU use in thousandths of a core */
	uint64_t over_goal_us;	     /**< not used */
	struct leader_vm *intent_vm; /**< VM of the pending start intent */
	uint32_t failed_vm_hash;     /**< leader_vm_hash() of the VM where a run of the task last
					failed; 0: none */
	Lp__BatchCrash crash; /**< relation to the crash of the incarnation from which the run was
				 handed over */
	char reported_checkpoint[BATCH_RUNNING_CHECKPOINT_SIZE]; /**< latest reported checkpoint of
								    the run; "": none */
} run_local_state_t;

typedef struct batch_task {
	LIST_ENTRY(batch_task) vm_link;
	struct batch_step *step;
	uint32_t index; /**< index of the task in its step */
	batch_task_status_t status;
	uint32_t run;	   /**< number of the latest run, from 1; 0: the task was never assigned */
	uint32_t failures; /**< number of failed runs */
	uint32_t crashes;  /**< number of VMs that crashed soon after a run of the task was possibly
			      started */
	uint32_t seen_crashes; /**< number of these VMs on which the run was certainly started */
	batch_vm_t *vm; /**< VM that may be running the task, even after the task is done, until the
			   end of its run is committed; NULL: none */
	char *checkpoint;  /**< checkpoint from which the next run resumes; NULL: none */
	uint64_t ended_ms; /**< wall clock time when a run of the task last ended; 0: no run has
			      ended */
	uint64_t assigned_log_ms; /**< batch_state_t.log_clock_ms when the latest run was assigned
				   */
	uint64_t assigned_us;	  /**< batch_state_t.clock_us when the latest run was assigned; not
				     replicated */
	run_local_state_t local;
} batch_task_t;

/** One step of one occurrence of a job. */
typedef struct batch_step {
	struct batch_job *job;
	uint32_t occurrence;
	uint32_t number; /**< index of the step in the job's specification */
	const Lp__BatchStep *spec;
	batch_task_t *tasks;
	uint32_t waiting;	/**< number of tasks in the state BATCH_TASK_WAITING */
	uint32_t assigned;	/**< number of tasks in the state BATCH_TASK_ASSIGNED */
	uint32_t done;		/**< number of tasks in the state BATCH_TASK_DONE */
	uint32_t gang_failures; /**< number of failed runs, summed over the members of a gang; 0 for
				   other steps */
	struct batch_ticket_cache *tickets; /**< tickets for the step; not replicated */
	run_sample_t sample;		    /**< its runs that have ended; not replicated */
	double mean_ms;	    /**< expected run time of a task, see run_times.h; the declared one for
			       a long-running step; not replicated */
	double accepted_ms; /**< mean_ms when the job was accepted; not replicated */
	double longest_ms;  /**< the same of its longest task */
	uint64_t retry_us;  /**< time before which the step is not placed; never set at present; not
			       replicated */
	uint32_t pending_intents;  /**< number of tasks with intent_pending set; not replicated */
	uint64_t isolate_until_us; /**< time until which the step, whose tasks are suspected of
				      crashing VMs, waits for a VM without recently started runs; 0:
				      it does not wait; not replicated */
} batch_step_t;

typedef struct batch_job {
	TAILQ_ENTRY(batch_job) link;
	uint64_t seq;
	Lp__BatchJob *spec;
	batch_job_state_t state;
	uint64_t accepted_ms; /**< wall clock time of acceptance, set by the leader */
	uint64_t ended_ms;    /**< wall clock time of the end, set by the leader; 0: not ended */
	uint32_t occurrences;
	uint32_t steps_done;   /**< number of completed steps in all occurrences */
	uint32_t step_count;   /**< number of steps in all occurrences */
	batch_step_t *steps;   /**< all steps of the first occurrence, then those of the second, and
				  so on */
	uint32_t task_count;   /**< number of tasks of all occurrences */
	uint32_t tasks_on_vms; /**< number of tasks whose vm is not NULL */
	bool counted;	       /**< its tasks are counted in batch_state_t.active_tasks */
	bool archived; /**< the job is in the list of ended jobs, and its steps were freed */
	bool begun; /**< a run of the job has ended on its VM, or had begun there when it was lost
		     */
	bool begun_seen; /**< a VM has acknowledged or listed a run of the job; set by the leader,
			    not replicated */
	bool given_up;	 /**< the job failed because its tasks crashed VMs; not replicated */
	bool given_up_logged;
	const char *service; /**< name of the service that runs the job, interned; that of the
				queue in the latest configuration that has it */
	const char *prefix;  /**< path prefix of the job's queue, interned */
	const Lp__BatchQueue *queue; /**< settings of the job's queue when the job was accepted;
					NULL: the job is archived */
	struct batch_accepted_queue *accepted_queue; /**< owner of queue */
	org_account_t *account; /**< of the organisation that submitted the job; NULL: none, or
				   the job is archived */
	double work; /**< expected work of all tasks, in thousandths of a core times ms */
	run_class_t *run_class;	   /**< what is known of runs of its organisation and queue; NULL:
				      nothing; not replicated */
	uint64_t accepted_mono_us; /**< time of acceptance on this leader's monotonic clock, set by
				      batch_job_age_ms(); 0: not set; not replicated */
	uint64_t path_ms; /**< cached by batch_critical_path_ms(): expected run time of the critical
			     path; 0: not computed; not replicated */
	uint64_t remaining_path_ms; /**< the same for the remaining steps, when
				       remaining_path_steps_done steps were done */
	uint32_t remaining_path_steps_done;
	uint64_t starved_turn; /**< number of the job's latest turn as a starved job, see
				  batch_order.c; 0: none; not replicated */
} batch_job_t;

typedef struct {
	char *machine;
	Lp__BatchOrderState state;
	uint64_t since_ms; /**< wall clock time of the last change of state */
	uint64_t born_ms; /**< start time of the VM that the maintenance ends; 0: no VM was known */
	/** batch_state_t.clock_us when the latest request was committed, and when the platform's
	 * acceptance was; the time of loading after that of a snapshot; not replicated. */
	uint64_t sent_us;
	uint64_t begun_us;
	uint64_t done_proposed_us; /**< time when the leader last proposed the end of the
				      maintenance; 0: never; not replicated */
} batch_wave_machine_t;

/**
 * A maintenance wave: the maintenance of a list of machines, of which at most max_down are under
 * maintenance at the same time.
 */
typedef struct batch_wave {
	LIST_ENTRY(batch_wave) link;
	uint64_t number;
	uint64_t duration_ms;
	uint32_t max_down;
	uint64_t since_ms; /**< wall clock time when the wave was started */
	batch_wave_machine_t *machines;
	size_t machine_count;
} batch_wave_t;

/** A committed move of a machine to another pool, whose result is not committed yet. */
typedef struct batch_move {
	LIST_ENTRY(batch_move) link;
	char *machine;
	char *pool;
} batch_move_t;

/** Latest platform request for a machine. */
typedef struct {
	uint64_t applied_us;	/**< batch_state_t.clock_us when its command was applied; not
				   replicated */
	uint64_t result_log_ms; /**< batch_state_t.log_clock_ms when its result was applied; 0: it
				   has no result yet, so it can be sent again at any time */
} batch_request_t;

TAILQ_HEAD(batch_job_list, batch_job);

/** Settings of a queue when jobs were accepted. Jobs with the same settings share them. */
typedef struct batch_accepted_queue {
	LIST_ENTRY(batch_accepted_queue) link;
	Lp__BatchQueue *queue;
	unsigned jobs;	  /**< number of active jobs that use the settings */
	uint32_t waiting; /**< number of these that wait, see batch_queued.h; not replicated */
} batch_accepted_queue_t;

/** Is told about the records of VM incarnations. Unset functions are not called. */
typedef struct {
	void (*added)(void *arg, batch_vm_t *vm);
	void (*removed)(void *arg, batch_vm_t *vm); /**< called before the record is freed */
	void *arg;
} batch_vm_listener_t;

/** Is told about jobs. Unset functions are not called. */
typedef struct {
	/** Called when the job has ended, before anything of it is freed. */
	void (*ended)(void *arg, batch_job_t *job);
	void *arg;
} batch_job_listener_t;

typedef struct {
	Lp__BatchConfig *config; /**< latest configuration; NULL: none yet */
	uint64_t next_seq;
	uint64_t start_term;   /**< highest leader term of the start intents applied so far */
	GHashTable *by_id;     /**< job id -> batch_job_t */
	GHashTable *by_seq;    /**< address of batch_job_t.seq -> batch_job_t */
	uint64_t active_tasks; /**< number of tasks of the active jobs */
	struct batch_job_list active; /**< jobs that have not ended or have tasks with a VM */
	struct batch_job_list ended;  /**< archived jobs, oldest first */
	LIST_HEAD(batch_accepted_queues, batch_accepted_queue) accepted_queues;
	org_accounts_t organisations;
	LIST_HEAD(batch_vms, batch_vm) vms;
	GHashTable *vms_by_incarnation;	   /**< batch_vm_key() of the incarnation -> batch_vm_t */
	batch_vm_listener_t vm_listener;   /**< not replicated; kept when a snapshot is loaded */
	batch_job_listener_t job_listener; /**< not replicated; kept when a snapshot is loaded */
	LIST_HEAD(batch_waves, batch_wave) waves;
	GHashTable *wave_machines; /**< machine -> batch_wave_machine_t of the latest wave that
				      includes it */
	LIST_HEAD(batch_moves, batch_move) moves;
	GHashTable *last_requests; /**< machine -> batch_request_t */
	uint64_t log_clock_ms;	   /**< sum of the times that passed between the commands of each
				      leader, by its monotonic clock, from 1: the time between two
				      commands of the log is at least the difference */
	uint64_t log_term;	   /**< term of the latest leader that counts in log_clock_ms */
	uint64_t log_leader_ms;
	uint64_t log_term_since_ms; /**< log_clock_ms when log_term began; not replicated */
	run_times_t run_times;	    /**< learned from the applied commands; not replicated */
	bool declared_times;	    /**< run times are taken as declared; not replicated */
	uint64_t clock_us; /**< monotonic clock of this replica; the owner sets it before applying
			      each command */
	uint64_t revision; /**< number of applied commands and loaded snapshots so far */
} batch_state_t;

void batch_state_init(batch_state_t *state);
void batch_state_finish(batch_state_t *state);

/**
 * Applies a committed command. @param wall_ms wall clock of the process that proposed the command
 * @param result unchanged on success, otherwise set to an error code; its strings are static
 */
void batch_state_apply(batch_state_t *state, uint64_t wall_ms, const Lp__BatchCommand *command,
		       Lp__Result *result);

/** Serialises the state as a snapshot. @return the snapshot, which the caller frees with free() */
uint8_t *batch_state_save(const batch_state_t *state, size_t *length);
/**
 * Replaces the state with that of a snapshot. @return 0, or -1 when the snapshot is malformed; the
 * state is incomplete then, and may only be passed to batch_state_finish() or batch_state_load()
 */
int batch_state_load(batch_state_t *state, const uint8_t *data, size_t length);

/**
 * Checks a configuration for unknown services, queues with the same host and prefix, queue timeouts
 * of 0, and organisations with the same name or key.
 * @param error set to a message that names the entry when the configuration is invalid
 * @return 0, or -1 when it is invalid
 */
int batch_config_check(const Lp__BatchConfig *config, char *error, size_t error_size);
/**
 * @return the queue of the host whose prefix is the longest that path starts with, or NULL when
 * none matches
 */
const Lp__BatchQueue *batch_state_match_queue(const batch_state_t *state, const char *host,
					      const char *path);
/** True when queues with these hosts and prefixes take the same calls. Names of hosts have no case.
 */
bool batch_same_place(const char *host_a, const char *prefix_a, const char *host_b,
		      const char *prefix_b);
/**
 * @return the queue with the given host and prefix, or NULL; if there are two, that whose host is
 * written in the same way
 */
const Lp__BatchQueue *batch_state_find_queue(const batch_state_t *state, const char *host,
					     const char *prefix);
const Lp__BatchService *batch_state_service(const batch_state_t *state, const char *name);
batch_job_t *batch_state_job(const batch_state_t *state, const char *id);
/** @return the task, or NULL when it does not exist */
batch_task_t *batch_state_task(const batch_state_t *state, const Lp__BatchTask *ref);
/** @return the task, or NULL when it does not exist */
batch_task_t *batch_job_task(batch_job_t *job, uint32_t occurrence, uint32_t step, uint32_t index);
/** @return the record of the VM incarnation, or NULL when it has none */
batch_vm_t *batch_state_vm(const batch_state_t *state, const char *id, uint64_t born_ms);
batch_wave_t *batch_state_wave(const batch_state_t *state, uint64_t number);
/** @return number of tasks in all occurrences; UINT64_MAX: it does not fit */
uint64_t batch_job_task_count(const Lp__BatchJob *job);
/** @return NULL when the job is valid, or a static string that describes the error */
const char *batch_job_check(const Lp__BatchJob *job);
/** Updates the expected run times of the job's steps, and what follows from them. */
void batch_job_estimate(const batch_state_t *state, batch_job_t *job);
bool batch_job_ended(const batch_job_t *job);
/**
 * True when the caller may read and cancel the job.
 * @param organisation of the caller; "": its key was not looked at
 */
bool batch_job_open_to(const batch_job_t *job, const char *organisation);
/** @return name of the state in the HTTP API */
const char *batch_job_state_name(batch_job_state_t state);
/** @return true when all steps on which the step depends are done */
bool batch_step_unblocked(const batch_step_t *step);
/**
 * @return wall clock time in ms from which the occurrence of the step may run; 0: the job is not
 * scheduled; UINT64_MAX: never
 */
uint64_t batch_step_due_ms(const batch_step_t *step);
/**
 * @return true when the maintenance of every machine of the wave is complete, or the platform no
 * longer knows the machine
 */
bool batch_wave_complete(const batch_wave_t *wave);
/** True while maintenance is requested or in progress in this state. */
bool batch_order_in_progress(Lp__BatchOrderState state);
/**
 * Adds the names of the machines whose maintenance is requested or in progress, in any wave, to the
 * set. The names belong to the waves.
 */
void batch_state_machines_in_maintenance(const batch_state_t *state, GHashTable *names);
/**
 * Adds the names of the machines whose maintenance may not begin now, because a wave that includes
 * them has as many machines in maintenance as its limit allows.
 * @param in_maintenance set filled by batch_state_machines_in_maintenance()
 */
void batch_state_blocked_machines(const batch_state_t *state, GHashTable *in_maintenance,
				  GHashTable *names);
/**
 * @return lower bound of the time since the platform request was last sent, in microseconds
 * @param now_us time on the clock of batch_state_t.clock_us
 */
uint64_t batch_request_age_us(const batch_state_t *state, const batch_request_t *request,
			      uint64_t now_us);
/** Sets ref to the identity of the task's latest run, in the form used in commands. */
void batch_task_ref(const batch_task_t *task, Lp__BatchTask *ref);
