#pragma once

#include "batch_state.h"

/**
 * @file
 * Declarations shared by the source files of the batch state: batch_state.c (lookups),
 * batch_apply.c (commands) and batch_snapshot.c (snapshots).
 */

/** Creates a job whose tasks are all waiting. Takes ownership of spec. */
batch_job_t *batch_job_new(Lp__BatchJob *spec, uint64_t seq, uint64_t accepted_ms);
void batch_job_free(batch_state_t *state, batch_job_t *job);
/** Frees the steps, tasks and specification of an ended job. Its state can still be queried. */
void batch_job_archive(batch_state_t *state, batch_job_t *job);
/**
 * Lets the job keep the settings of the queue, and run on its service, whatever later
 * configurations do with the queue.
 */
void batch_job_accept_queue(batch_state_t *state, batch_job_t *job, const Lp__BatchQueue *queue);
/** Charges the job's tasks to the account of the organisation that submitted it, if any. */
void batch_job_accept_organisation(batch_state_t *state, batch_job_t *job);
/** Sets the job's service to that of its queue, if the present configuration has the queue. */
void batch_job_follow_service(const batch_state_t *state, batch_job_t *job);
/**
 * Adds the job to the lookup tables and to the list of active jobs. A job that has ended and has no
 * tasks on VMs is archived instead and added to the list of ended jobs.
 */
void batch_state_add_job(batch_state_t *state, batch_job_t *job);
/** Removes the job from the lookup tables and from list, and frees the job. */
void batch_state_remove_job(batch_state_t *state, struct batch_job_list *list, batch_job_t *job);

/** Creates the record of a VM incarnation and adds it to the state. */
batch_vm_t *batch_vm_new(batch_state_t *state, const char *id, uint64_t born_ms,
			 const char *address, const char *machine);
void batch_vm_free(batch_state_t *state, batch_vm_t *vm);
/** @return key of a VM incarnation in vms_by_incarnation, which the caller frees with g_free() */
char *batch_vm_key(const char *id, uint64_t born_ms);
/**
 * Creates a maintenance wave and adds it to the state. @param since_ms wall clock time when the
 * wave was started
 */
batch_wave_t *batch_wave_new(batch_state_t *state, const Lp__BatchWave *message, uint64_t since_ms);
void batch_wave_free(batch_wave_t *wave);
/**
 * Stores or removes the unfinished move of a machine. @param pool destination of the move; NULL:
 * the move has ended
 */
void batch_move_set(batch_state_t *state, const char *machine, const char *pool);
/**
 * Stores the present clock_us as the time of the machine's latest platform request.
 * @param result_log_ms as in batch_request_t
 */
void batch_record_request(batch_state_t *state, const char *machine, uint64_t result_log_ms);
/**
 * Assigns the task to the VM, counts it among the tasks of the VM and of its job, and charges it to
 * the job's account.
 */
void batch_task_attach_vm(batch_task_t *task, batch_vm_t *vm);
/** Reverses batch_task_attach_vm(). */
void batch_task_detach_vm(batch_task_t *task);
struct batch_ticket_cache;
/** Frees the tickets of the policy service for a step. @param cache NULL: does nothing */
void ticket_cache_free(struct batch_ticket_cache *cache);
