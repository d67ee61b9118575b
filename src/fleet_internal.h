#pragma once

#include "fleet.h"

/**
 * @file
 * Helpers shared by the fleet's source files.
 */

/** Operation outcomes kept for resends; at 1,000 changes a day this covers several days. */
#define FLEET_OP_LIMIT 4096
/** Audit records kept for `template history`. */
#define FLEET_AUDIT_LIMIT 1024
/** Waves kept, over all organisations. */
#define FLEET_WAVE_LIMIT 64
/** Finished jobs kept in each final state. */
#define FLEET_FINISHED_JOB_LIMIT 2048

/** Replaces an owned string by a copy. */
void fleet_set_string(char **field, const char *value);

fleet_org_t *fleet_org_add(fleet_t *fleet, const char *name);
fleet_pool_t *fleet_pool_add(fleet_org_t *org, const char *name);
/** Connects the pools to the current template, in its order; drops pools that are gone and empty.
 */
void fleet_org_bind_pools(fleet_org_t *org);
/** Frees a pool that is neither in the template nor in use by a VM. */
void fleet_pool_drop_unused(fleet_pool_t *pool);
fleet_vm_t *fleet_vm_add(fleet_t *fleet, fleet_pool_t *pool, const char *id);
/** Takes the VM out of its pool and puts it at the end of another one. */
void fleet_vm_transfer(fleet_vm_t *vm, fleet_pool_t *pool);
void fleet_vm_set_registration(fleet_vm_t *vm, const Lp__VmRegister *reg);
void fleet_wave_free(fleet_wave_t *wave);
void fleet_job_free(fleet_job_t *job);
fleet_job_t *fleet_job_add(fleet_t *fleet, const Lp__JobSpec *spec, Lp__JobState state);
fleet_member_t *fleet_member_add(fleet_t *fleet, uint32_t node_id);
void fleet_member_set(fleet_member_t *member, const Lp__Member *from);
void fleet_member_free(fleet_member_t *member);
void fleet_op_add(fleet_t *fleet, Lp__OpOutcome *outcome);
void fleet_audit_add(fleet_t *fleet, Lp__AuditRecord *record);

/** Sets the code and the message of a result. */
void fleet_answer(fleet_t *fleet, Lp__Result *result, Lp__ResultCode code, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/** Time and index of the command that is applied. */
typedef struct {
	fleet_t *fleet;
	uint64_t index;
	uint64_t time_ms;
	Lp__Result *result;
} fleet_step_t;

/** @return what the state machine cannot work with, or NULL */
const char *fleet_template_problem(const Lp__Template *template);
void fleet_apply_template(const fleet_step_t *step, const Lp__ApplyTemplate *cmd);
void fleet_apply_vm_register(const fleet_step_t *step, const Lp__VmRegister *cmd);
void fleet_apply_vm_cordon(const fleet_step_t *step, const Lp__VmCordon *cmd);
void fleet_apply_vm_step(const fleet_step_t *step, const Lp__VmStep *cmd);
void fleet_apply_vm_assign(const fleet_step_t *step, const Lp__VmAssign *cmd);
void fleet_apply_wave(const fleet_step_t *step, const Lp__WaveUpdate *cmd);
void fleet_apply_job_submit(const fleet_step_t *step, const Lp__JobSubmit *cmd);
void fleet_apply_job_update(const fleet_step_t *step, const Lp__JobUpdate *cmd);
void fleet_apply_job_cancel(const fleet_step_t *step, const Lp__JobCancel *cmd);
void fleet_apply_member(const fleet_step_t *step, const Lp__MemberUpdate *cmd);
