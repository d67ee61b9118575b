#include <stdarg.h>
#include <string.h>

#include "fleet_internal.h"
#include "message.h"

void fleet_set_result(fleet_t *fleet, Lp__Result *result, Lp__ResultCode code, const char *format,
		      ...)
{
	va_list args;

	va_start(args, format);
	g_free(fleet->message);
	fleet->message = g_strdup_vprintf(format, args);
	va_end(args);
	result->code = code;
	result->message = fleet->message;
}

const char *fleet_check_template(const Lp__Template *template)
{
	size_t spare_count = 0;

	if (template == NULL || template->organisation[0] == '\0')
		return "the template names no organisation";
	for (size_t i = 0; i < template->n_pools; i++) {
		spare_count += template->pools[i]->spare;
		if (template->pools[i]->name[0] == '\0')
			return "a pool has no name";
		for (size_t j = 0; j < i; j++) {
			if (strcmp(template->pools[i]->name, template->pools[j]->name) == 0)
				return "two pools have the same name";
		}
	}
	return spare_count == 1 ? NULL : "exactly one pool must be the spare pool";
}

static void add_audit_record(const fleet_apply_ctx_t *ctx, const fleet_org_t *org)
{
	Lp__AuditRecord record = LP__AUDIT_RECORD__INIT;
	char *summary = g_strdup_printf("%zu pools, image %s", org->template->n_pools,
					org->template->maintenance != NULL
						? org->template->maintenance->image
						: "unchanged");

	record.index = ctx->index;
	record.time_ms = ctx->time_ms;
	record.organisation = org->name;
	record.revision = org->revision;
	record.author = org->author;
	record.note = org->note;
	record.summary = summary;
	fleet_audit_record_add(ctx->fleet, message_copy(&record.base));
	g_free(summary);
}

/*
 * Resumes the organisation's stopped waves for the template's image if the template was paused
 * before and no longer is. A template that is applied for another purpose must not resume a wave.
 * @param was_paused value of "paused" in the previous template
 */
static void resume_stopped_waves(const fleet_apply_ctx_t *ctx, const fleet_org_t *org,
				 bool was_paused)
{
	const Lp__MaintenanceSpec *spec = org->template->maintenance;
	fleet_wave_t *wave;

	if (spec == NULL || spec->paused || !was_paused)
		return;
	TAILQ_FOREACH (wave, &ctx->fleet->waves, link) {
		if (wave->org != org || wave->state != LP__WAVE_STATE__WAVE_STOPPED ||
		    strcmp(wave->image, spec->image) != 0)
			continue;
		wave->state = LP__WAVE_STATE__WAVE_RUNNING;
		wave->failures = 0;
		wave->batch = 1;
		wave->since_ms = ctx->time_ms;
		fleet_replace_string(&wave->reason, "resumed by template");
	}
}

static void set_result_revision(const fleet_apply_ctx_t *ctx, const fleet_org_t *org)
{
	ctx->result->revision = org->revision;
	ctx->result->author = org->author;
	ctx->result->note = org->note;
}

static void replace_template(const fleet_apply_ctx_t *ctx, fleet_org_t *org,
			     const Lp__ApplyTemplate *cmd)
{
	Lp__Template *old = org->template;
	bool was_paused = old != NULL && old->maintenance != NULL && old->maintenance->paused;

	org->template = message_copy(&cmd->template_->base);
	fleet_org_bind_pool_specs(org);
	lp__template__free_unpacked(old, NULL);
	org->revision++;
	org->index = ctx->index;
	org->time_ms = ctx->time_ms;
	fleet_replace_string(&org->author, cmd->author);
	fleet_replace_string(&org->note, cmd->note);
	resume_stopped_waves(ctx, org, was_paused);
	add_audit_record(ctx, org);
}

void fleet_apply_template(const fleet_apply_ctx_t *ctx, const Lp__ApplyTemplate *cmd)
{
	const char *problem = fleet_check_template(cmd->template_);
	fleet_org_t *org;
	uint64_t revision;

	if (problem != NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID, "%s",
				 problem);
		return;
	}
	org = fleet_org_find(ctx->fleet, cmd->template_->organisation);
	revision = org != NULL ? org->revision : 0;
	if (cmd->expected_revision != revision) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "expected revision %" G_GUINT64_FORMAT ", the current one is "
				 "%" G_GUINT64_FORMAT "%s%s%s%s",
				 cmd->expected_revision, revision,
				 org != NULL ? ", applied by " : "", org != NULL ? org->author : "",
				 org != NULL ? " with note: " : "", org != NULL ? org->note : "");
		if (org != NULL)
			set_result_revision(ctx, org);
		return;
	}
	if (org == NULL)
		org = fleet_org_add(ctx->fleet, cmd->template_->organisation);
	replace_template(ctx, org, cmd);
	set_result_revision(ctx, org);
	fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_OK,
			 "revision %" G_GUINT64_FORMAT " applied", org->revision);
}

static void apply_command_body(const fleet_apply_ctx_t *ctx, const Lp__Command *command)
{
	switch (command->body_case) {
	case LP__COMMAND__BODY_APPLY_TEMPLATE:
		fleet_apply_template(ctx, command->apply_template);
		return;
	case LP__COMMAND__BODY_VM_REGISTER:
		fleet_apply_vm_register(ctx, command->vm_register);
		return;
	case LP__COMMAND__BODY_VM_CORDON:
		fleet_apply_vm_cordon(ctx, command->vm_cordon);
		return;
	case LP__COMMAND__BODY_VM_STEP:
		fleet_apply_vm_step(ctx, command->vm_step);
		return;
	case LP__COMMAND__BODY_VM_ASSIGN:
		fleet_apply_vm_assign(ctx, command->vm_assign);
		return;
	case LP__COMMAND__BODY_WAVE_UPDATE:
		fleet_apply_wave_update(ctx, command->wave_update);
		return;
	case LP__COMMAND__BODY_JOB_SUBMIT:
		fleet_apply_job_submit(ctx, command->job_submit);
		return;
	case LP__COMMAND__BODY_JOB_UPDATE:
		fleet_apply_job_update(ctx, command->job_update);
		return;
	case LP__COMMAND__BODY_JOB_CANCEL:
		fleet_apply_job_cancel(ctx, command->job_cancel);
		return;
	case LP__COMMAND__BODY_MEMBER_UPDATE:
		fleet_apply_member_update(ctx, command->member_update);
		return;
	case LP__COMMAND__BODY_BATCH: /* batch commands are applied by the state machine of batch
					 jobs */
	case LP__COMMAND__BODY__NOT_SET:
	case _LP__COMMAND__BODY__CASE_IS_INT_SIZE:
		break;
	}
	fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
			 "the command is empty or of an unknown kind");
}

static void store_outcome(fleet_t *fleet, const char *op_id, const Lp__Result *result)
{
	Lp__OpOutcome outcome = LP__OP_OUTCOME__INIT;

	outcome.op_id = (char *)op_id;
	outcome.result = (Lp__Result *)result;
	fleet_op_outcome_add(fleet, message_copy(&outcome.base));
}

void fleet_apply(fleet_t *fleet, uint64_t index, const Lp__Command *command, Lp__Result *result)
{
	fleet_apply_ctx_t ctx = {
		.fleet = fleet, .index = index, .time_ms = command->time_ms, .result = result};
	const Lp__OpOutcome *previous;

	lp__result__init(result);
	fleet->applied_index = index;
	previous = command->op_id[0] != '\0'
			   ? g_hash_table_lookup(fleet->outcome_by_op_id, command->op_id)
			   : NULL;
	if (previous != NULL) {
		*result = *previous->result;
		return;
	}
	result->index = index;
	apply_command_body(&ctx, command);
	if (command->op_id[0] != '\0')
		store_outcome(fleet, command->op_id, result);
}
