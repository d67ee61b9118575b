#pragma once

#include "batch_state.h"

/**
 * @file
 * Internals of the batch state, shared by batch_state.c (lookups), batch_apply.c (commands) and
 * batch_snapshot.c.
 */

/** Creates a job with all its steps and tasks waiting. Takes ownership of spec. */
batch_job_t *batch_job_new(Lp__BatchJob *spec, uint64_t seq, uint64_t accepted_ms);
void batch_job_free(batch_job_t *job);
/** Frees the steps, tasks and specification of an ended job; only its state can be queried then. */
void batch_job_archive(batch_job_t *job);
/** Sets the job's queue from the present configuration, and its service if there is a queue. */
void batch_job_resolve_queue(const batch_state_t *state, batch_job_t *job);
/** Adds the job to the lookup tables and to its list; archives it if it has ended. */
void batch_state_add_job(batch_state_t *state, batch_job_t *job);
/** Removes the job from the lookup tables and from list, and frees it. */
void batch_state_remove_job(batch_state_t *state, struct batch_job_list *list, batch_job_t *job);

/** Creates the record of a VM incarnation and adds it to the state. */
batch_vm_t *batch_vm_new(batch_state_t *state, const char *id, uint64_t born_ms,
			 const char *address, const char *machine);
void batch_vm_free(batch_state_t *state, batch_vm_t *vm);
/** @return key of a VM incarnation in vms_by_incarnation, to be freed with g_free() */
char *batch_vm_key(const char *id, uint64_t born_ms);
/** Creates a maintenance wave and adds it to the state. @param since_ms wall clock */
batch_wave_t *batch_wave_new(batch_state_t *state, const Lp__BatchWave *message, uint64_t since_ms);
void batch_wave_free(batch_wave_t *wave);
/** Stores the unfinished move of a machine. @param pool destination; NULL: the move has ended */
void batch_move_set(batch_state_t *state, const char *machine, const char *pool);
/** Stores clock_us as the time of the machine's latest platform request. */
void batch_record_request_time(batch_state_t *state, const char *machine);
/** Assigns the VM to the task and counts the task on it. */
void batch_task_attach_vm(batch_task_t *task, batch_vm_t *vm);
struct batch_ticket_cache;
/** Frees the policy service's tickets of a step. @param cache may be NULL */
void ticket_cache_free(struct batch_ticket_cache *cache);
