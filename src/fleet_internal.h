#pragma once

#include "fleet.h"

/**
 * @file
 * Functions shared by the fleet_*.c files.
 */

/**
 * Number of operation outcomes kept to detect resent operations; 4,096 last about four days at
 * 1,000 changes a day.
 */
#define FLEET_OP_OUTCOME_LIMIT 4096
/** Number of audit records kept; `template history` shows them. */
#define FLEET_AUDIT_RECORD_LIMIT 1024
/** Number of waves kept, for all organisations together. */
#define FLEET_WAVE_LIMIT 64
/** Number of finished jobs kept in each final state. */
#define FLEET_FINISHED_JOB_LIMIT 2048

/** Frees *field and sets it to a copy of value. A NULL value is stored as "". */
void fleet_replace_string(char **field, const char *value);

fleet_org_t *fleet_org_add(fleet_t *fleet, const char *name);
fleet_pool_t *fleet_pool_add(fleet_org_t *org, const char *name);
/**
 * Adapts the organisation's pools to its current template: adds new pools, sorts the pools in the
 * template's order, redirects moves out of removed pools to the spare pool, and frees pools that
 * are no longer used.
 */
void fleet_org_bind_pool_specs(fleet_org_t *org);
/** Frees the pool if it is not in the template, has no VMs and is not the destination of a move. */
void fleet_pool_free_if_unused(fleet_pool_t *pool);
fleet_vm_t *fleet_vm_add(fleet_t *fleet, fleet_pool_t *pool, const char *id);
/** Moves the VM to another pool, at the end of its list. Frees the old pool if it is now unused. */
void fleet_vm_change_pool(fleet_vm_t *vm, fleet_pool_t *pool);
void fleet_vm_set_registration(fleet_vm_t *vm, const Lp__VmRegister *reg);
void fleet_wave_free(fleet_wave_t *wave);
void fleet_job_free(fleet_job_t *job);
fleet_job_t *fleet_job_add(fleet_t *fleet, const Lp__JobSpec *spec, Lp__JobState state);
fleet_member_t *fleet_member_add(fleet_t *fleet, uint32_t node_id);
void fleet_member_update(fleet_member_t *member, const Lp__Member *from);
void fleet_member_free(fleet_member_t *member);
void fleet_op_outcome_add(fleet_t *fleet, Lp__OpOutcome *outcome);
void fleet_audit_record_add(fleet_t *fleet, Lp__AuditRecord *record);

/** Sets the code and message of a result. The fleet owns the message. */
void fleet_set_result(fleet_t *fleet, Lp__Result *result, Lp__ResultCode code, const char *format,
		      ...) G_GNUC_PRINTF(4, 5);

/** Context of the command that is being applied. */
typedef struct {
	fleet_t *fleet;
	uint64_t index;	  /**< log index of the command */
	uint64_t time_ms; /**< wall-clock time at the proposer, ms since 1970 */
	Lp__Result *result;
} fleet_apply_ctx_t;

/**
 * Returns a description of the first error in the template, a static string, or NULL when it is
 * valid.
 */
const char *fleet_check_template(const Lp__Template *template);
void fleet_apply_template(const fleet_apply_ctx_t *ctx, const Lp__ApplyTemplate *cmd);
void fleet_apply_vm_register(const fleet_apply_ctx_t *ctx, const Lp__VmRegister *cmd);
void fleet_apply_vm_cordon(const fleet_apply_ctx_t *ctx, const Lp__VmCordon *cmd);
void fleet_apply_vm_step(const fleet_apply_ctx_t *ctx, const Lp__VmStep *cmd);
void fleet_apply_vm_assign(const fleet_apply_ctx_t *ctx, const Lp__VmAssign *cmd);
void fleet_apply_wave_update(const fleet_apply_ctx_t *ctx, const Lp__WaveUpdate *cmd);
void fleet_apply_job_submit(const fleet_apply_ctx_t *ctx, const Lp__JobSubmit *cmd);
void fleet_apply_job_update(const fleet_apply_ctx_t *ctx, const Lp__JobUpdate *cmd);
void fleet_apply_job_cancel(const fleet_apply_ctx_t *ctx, const Lp__JobCancel *cmd);
void fleet_apply_member_update(const fleet_apply_ctx_t *ctx, const Lp__MemberUpdate *cmd);
