#include <stdarg.h>
#include <string.h>

#include "fleet_internal.h"
#include "message.h"

void fleet_answer(fleet_t *fleet, Lp__Result *result, Lp__ResultCode code, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_free(fleet->message);
	fleet->message = g_strdup_vprintf(format, args);
	va_end(args);
	result->code = code;
	result->message = fleet->message;
}

const char *fleet_template_problem(const Lp__Template *template)
{
	size_t spares = 0;

	if (template == NULL || template->organisation[0] == '\0')
		return "the template names no organisation";
	for (size_t i = 0; i < template->n_pools; i++) {
		spares += template->pools[i]->spare;
		if (template->pools[i]->name[0] == '\0')
			return "a pool has no name";
		for (size_t j = 0; j < i; j++) {
			if (strcmp(template->pools[i]->name, template->pools[j]->name) == 0)
				return "two pools have the same name";
		}
	}
	return spares == 1 ? NULL : "exactly one pool must be the spare pool";
}

static void record_audit(const fleet_step_t *step, const fleet_org_t *org)
{
	Lp__AuditRecord record = LP__AUDIT_RECORD__INIT;
	char *summary = g_strdup_printf("%zu pools, image %s", org->template->n_pools,
					org->template->maintenance != NULL
						? org->template->maintenance->image
						: "unchanged");

	record.index = step->index;
	record.time_ms = step->time_ms;
	record.organisation = org->name;
	record.revision = org->revision;
	record.author = org->author;
	record.note = org->note;
	record.summary = summary;
	fleet_audit_add(step->fleet, message_copy(&record.base));
	g_free(summary);
}

/* A stopped wave is resumed by a template that lifts the pause set by the previous one, so that a
 * template applied for another purpose does not resume it. */
static void resume_stopped_waves(const fleet_step_t *step, const fleet_org_t *org, bool was_paused)
{
	const Lp__MaintenanceSpec *spec = org->template->maintenance;
	fleet_wave_t *wave;

	if (spec == NULL || spec->paused || !was_paused)
		return;
	TAILQ_FOREACH (wave, &step->fleet->waves, link) {
		if (wave->org != org || wave->state != LP__WAVE_STATE__WAVE_STOPPED ||
		    strcmp(wave->image, spec->image) != 0)
			continue;
		wave->state = LP__WAVE_STATE__WAVE_RUNNING;
		wave->failures = 0;
		wave->batch = 1;
		wave->since_ms = step->time_ms;
		fleet_set_string(&wave->reason, "resumed by template");
	}
}

static void answer_revision(const fleet_step_t *step, const fleet_org_t *org)
{
	step->result->revision = org->revision;
	step->result->author = org->author;
	step->result->note = org->note;
}

static void accept_template(const fleet_step_t *step, fleet_org_t *org,
			    const Lp__ApplyTemplate *cmd)
{
	Lp__Template *old = org->template;
	bool was_paused = old != NULL && old->maintenance != NULL && old->maintenance->paused;

	org->template = message_copy(&cmd->template_->base);
	fleet_org_bind_pools(org);
	lp__template__free_unpacked(old, NULL);
	org->revision++;
	org->index = step->index;
	org->time_ms = step->time_ms;
	fleet_set_string(&org->author, cmd->author);
	fleet_set_string(&org->note, cmd->note);
	resume_stopped_waves(step, org, was_paused);
	record_audit(step, org);
}

void fleet_apply_template(const fleet_step_t *step, const Lp__ApplyTemplate *cmd)
{
	const char *problem = fleet_template_problem(cmd->template_);
	fleet_org_t *org;
	uint64_t revision;

	if (problem != NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID, "%s",
			     problem);
		return;
	}
	org = fleet_org_find(step->fleet, cmd->template_->organisation);
	revision = org != NULL ? org->revision : 0;
	if (cmd->expected_revision != revision) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "expected revision %" G_GUINT64_FORMAT ", the current one is "
			     "%" G_GUINT64_FORMAT "%s%s%s%s",
			     cmd->expected_revision, revision, org != NULL ? ", applied by " : "",
			     org != NULL ? org->author : "", org != NULL ? " with note: " : "",
			     org != NULL ? org->note : "");
		if (org != NULL)
			answer_revision(step, org);
		return;
	}
	if (org == NULL)
		org = fleet_org_add(step->fleet, cmd->template_->organisation);
	accept_template(step, org, cmd);
	answer_revision(step, org);
	fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_OK,
		     "revision %" G_GUINT64_FORMAT " applied", org->revision);
}

static void apply_body(const fleet_step_t *step, const Lp__Command *command)
{
	switch (command->body_case) {
	case LP__COMMAND__BODY_APPLY_TEMPLATE:
		fleet_apply_template(step, command->apply_template);
		return;
	case LP__COMMAND__BODY_VM_REGISTER:
		fleet_apply_vm_register(step, command->vm_register);
		return;
	case LP__COMMAND__BODY_VM_CORDON:
		fleet_apply_vm_cordon(step, command->vm_cordon);
		return;
	case LP__COMMAND__BODY_VM_STEP:
		fleet_apply_vm_step(step, command->vm_step);
		return;
	case LP__COMMAND__BODY_VM_ASSIGN:
		fleet_apply_vm_assign(step, command->vm_assign);
		return;
	case LP__COMMAND__BODY_WAVE_UPDATE:
		fleet_apply_wave(step, command->wave_update);
		return;
	case LP__COMMAND__BODY_JOB_SUBMIT:
		fleet_apply_job_submit(step, command->job_submit);
		return;
	case LP__COMMAND__BODY_JOB_UPDATE:
		fleet_apply_job_update(step, command->job_update);
		return;
	case LP__COMMAND__BODY_JOB_CANCEL:
		fleet_apply_job_cancel(step, command->job_cancel);
		return;
	case LP__COMMAND__BODY_MEMBER_UPDATE:
		fleet_apply_member(step, command->member_update);
		return;
	case LP__COMMAND__BODY_BATCH: /* of another state machine */
	case LP__COMMAND__BODY__NOT_SET:
	case _LP__COMMAND__BODY__CASE_IS_INT_SIZE:
		break;
	}
	fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
		     "the command is empty or of an unknown kind");
}

static void remember_outcome(fleet_t *fleet, const char *op_id, const Lp__Result *result)
{
	Lp__OpOutcome outcome = LP__OP_OUTCOME__INIT;

	outcome.op_id = (char *)op_id;
	outcome.result = (Lp__Result *)result;
	fleet_op_add(fleet, message_copy(&outcome.base));
}

void fleet_apply(fleet_t *fleet, uint64_t index, const Lp__Command *command, Lp__Result *result)
{
	fleet_step_t step = {
		.fleet = fleet, .index = index, .time_ms = command->time_ms, .result = result};
	const Lp__OpOutcome *known;

	lp__result__init(result);
	fleet->applied = index;
	known = command->op_id[0] != '\0' ? g_hash_table_lookup(fleet->op_by_id, command->op_id)
					  : NULL;
	if (known != NULL) {
		*result = *known->result;
		return;
	}
	result->index = index;
	apply_body(&step, command);
	if (command->op_id[0] != '\0')
		remember_outcome(fleet, command->op_id, result);
}
