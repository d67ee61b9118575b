#pragma once

#include "batch_state.h"

/**
 * @file
 * Shared by the parts of the batch state: batch_state.c (lookups), batch_apply.c (commands),
 * batch_snapshot.c.
 */

/** Takes over spec. */
batch_job_t *batch_job_new(Lp__BatchJob *spec, uint64_t seq, uint64_t accepted_ms);
void batch_job_free(batch_job_t *job);
/** Drops everything that only running needs; the job is asked for its state from now on. */
void batch_job_archive(batch_job_t *job);
/** Finds the queue of the job in the configuration in force. */
void batch_job_resolve_queue(const batch_state_t *state, batch_job_t *job);
void batch_state_add_job(batch_state_t *state, batch_job_t *job);
void batch_state_remove_job(batch_state_t *state, struct batch_job_list *list, batch_job_t *job);

batch_vm_t *batch_vm_new(batch_state_t *state, const char *id, uint64_t born_ms,
			 const char *address, const char *machine);
void batch_vm_free(batch_state_t *state, batch_vm_t *vm);
/** @return key of a VM's life in the state, to be freed with g_free() */
char *batch_vm_key(const char *id, uint64_t born_ms);
batch_wave_t *batch_wave_new(batch_state_t *state, const Lp__BatchWave *message, uint64_t since_ms);
void batch_wave_free(batch_wave_t *wave);
/** Records a move, or with pool NULL that it has its outcome. */
void batch_move_set(batch_state_t *state, const char *machine, const char *pool);
/** An order for the machine is applied now. */
void batch_record_order_time(batch_state_t *state, const char *machine);
void batch_task_attach_vm(batch_task_t *task, batch_vm_t *vm);
struct batch_ticket_book;
void ticket_book_free(struct batch_ticket_book *book);
