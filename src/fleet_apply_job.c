#include <string.h>

#include "fleet_internal.h"

static bool is_final_state(Lp__JobState state)
{
	return state == LP__JOB_STATE__JOB_DONE || state == LP__JOB_STATE__JOB_FAILED ||
	       state == LP__JOB_STATE__JOB_CANCELLED || state == LP__JOB_STATE__JOB_REJECTED;
}

static void change_job_state(const fleet_apply_ctx_t *ctx, fleet_job_t *job, Lp__JobState state,
			     const char *reason)
{
	struct fleet_job_list *list = &ctx->fleet->jobs[state];

	TAILQ_REMOVE(&ctx->fleet->jobs[job->state], job, link);
	job->state = state;
	job->since_ms = ctx->time_ms;
	fleet_replace_string(&job->reason, reason);
	TAILQ_INSERT_TAIL(list, job, link);
}

/*
 * Counts a job that has just finished, and removes the oldest job in the same final state if there
 * are more than FLEET_FINISHED_JOB_LIMIT.
 */
static void limit_finished_jobs(fleet_t *fleet, Lp__JobState state)
{
	struct fleet_job_list *list = &fleet->jobs[state];
	fleet_job_t *oldest = TAILQ_FIRST(list);
	uint32_t *count = &fleet->finished_count[state];

	if (++*count <= FLEET_FINISHED_JOB_LIMIT)
		return;
	TAILQ_REMOVE(list, oldest, link);
	g_hash_table_remove(fleet->job_by_id, oldest->spec->job);
	fleet_job_free(oldest);
	--*count;
}

static void set_ok_result(const fleet_apply_ctx_t *ctx, const char *message)
{
	fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_OK, "%s", message);
}

static bool specs_are_equal(const Lp__JobSpec *a, const Lp__JobSpec *b)
{
	size_t length = lp__job_spec__get_packed_size(a);
	uint8_t *packed_a;
	uint8_t *packed_b;
	bool equal;

	if (length != lp__job_spec__get_packed_size(b))
		return false;
	packed_a = g_malloc(length + 1);
	packed_b = g_malloc(length + 1);
	lp__job_spec__pack(a, packed_a);
	lp__job_spec__pack(b, packed_b);
	equal = memcmp(packed_a, packed_b, length) == 0;
	g_free(packed_a);
	g_free(packed_b);
	return equal;
}

void fleet_apply_job_submit(const fleet_apply_ctx_t *ctx, const Lp__JobSubmit *cmd)
{
	const Lp__JobSpec *spec = cmd->spec;
	const fleet_org_t *org;
	fleet_job_t *job;

	if (spec == NULL || spec->job[0] == '\0') {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "a job needs an id");
		return;
	}
	job = fleet_job_find(ctx->fleet, spec->job);
	if (job != NULL) {
		if (specs_are_equal(job->spec, spec))
			set_ok_result(ctx, "submitted before");
		else
			fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
					 "another job has the id %s", spec->job);
		return;
	}
	org = fleet_org_find(ctx->fleet, spec->organisation);
	if (org == NULL || fleet_pool_find(org, spec->pool) == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "there is no pool %s/%s", spec->organisation, spec->pool);
		return;
	}
	job = fleet_job_add(ctx->fleet, spec, LP__JOB_STATE__JOB_QUEUED);
	job->since_ms = ctx->time_ms;
	set_ok_result(ctx, "");
}

/*
 * Returns why the update is not allowed, or NULL when it is. A job that is not repeatable can be
 * queued again only while it is placed: the leader proposes this only after the VM refused to start
 * the job.
 */
static const char *find_update_problem(const fleet_job_t *job, const Lp__JobUpdate *cmd)
{
	if (is_final_state(job->state))
		return "the job is finished";
	if (cmd->state == LP__JOB_STATE__JOB_PLACED && job->state != LP__JOB_STATE__JOB_QUEUED)
		return "the job is not queued";
	if (cmd->state == LP__JOB_STATE__JOB_QUEUED && !job->spec->repeatable &&
	    job->state != LP__JOB_STATE__JOB_PLACED)
		return "the job may have started and is not repeatable";
	return NULL;
}

static void add_failed_vm(fleet_job_t *job, const char *vm)
{
	if (!g_ptr_array_find_with_equal_func(job->failed_on, vm, g_str_equal, NULL))
		g_ptr_array_add(job->failed_on, g_strdup(vm));
}

static bool place_job(const fleet_apply_ctx_t *ctx, fleet_job_t *job, const char *vm_id)
{
	const fleet_vm_t *vm = fleet_vm_find(ctx->fleet, vm_id);

	if (vm == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "there is no VM %s", vm_id);
		return false;
	}
	job->attempt++;
	job->vm_epoch = vm->epoch;
	fleet_replace_string(&job->vm, vm_id);
	return true;
}

void fleet_apply_job_update(const fleet_apply_ctx_t *ctx, const Lp__JobUpdate *cmd)
{
	fleet_job_t *job = fleet_job_find(ctx->fleet, cmd->job);
	const char *problem;

	if (job == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "there is no job %s", cmd->job);
		return;
	}
	problem = job->attempt != cmd->attempt ? "the attempt differs"
					       : find_update_problem(job, cmd);
	if (problem == NULL && (uint32_t)cmd->state >= FLEET_JOB_STATES)
		problem = "the state is unknown";
	if (problem != NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "job %s: %s", cmd->job, problem);
		return;
	}
	if (cmd->state == LP__JOB_STATE__JOB_PLACED) {
		if (!place_job(ctx, job, cmd->vm))
			return;
	} else if ((cmd->state == LP__JOB_STATE__JOB_QUEUED ||
		    cmd->state == LP__JOB_STATE__JOB_FAILED) &&
		   cmd->vm[0] != '\0') {
		add_failed_vm(job, cmd->vm);
	}
	if (cmd->state == LP__JOB_STATE__JOB_QUEUED)
		fleet_replace_string(&job->vm, "");
	fleet_replace_string(&job->result, cmd->result);
	change_job_state(ctx, job, cmd->state, cmd->reason);
	if (is_final_state(cmd->state))
		limit_finished_jobs(ctx->fleet, cmd->state);
	set_ok_result(ctx, "");
}

void fleet_apply_job_cancel(const fleet_apply_ctx_t *ctx, const Lp__JobCancel *cmd)
{
	size_t cancelled = 0;

	for (size_t i = 0; i < cmd->n_jobs; i++) {
		fleet_job_t *job = fleet_job_find(ctx->fleet, cmd->jobs[i]);

		if (job == NULL || is_final_state(job->state))
			continue;
		change_job_state(ctx, job, LP__JOB_STATE__JOB_CANCELLED, cmd->reason);
		limit_finished_jobs(ctx->fleet, LP__JOB_STATE__JOB_CANCELLED);
		cancelled++;
	}
	fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_OK,
			 "%zu of %zu jobs cancelled", cancelled, cmd->n_jobs);
}

void fleet_apply_member_update(const fleet_apply_ctx_t *ctx, const Lp__MemberUpdate *cmd)
{
	fleet_member_t *member;

	if (cmd->member == NULL || cmd->member->node_id == 0) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "a member needs a node id");
		return;
	}
	member = fleet_member_find(ctx->fleet, cmd->member->node_id);
	if (cmd->remove) {
		if (member != NULL) {
			TAILQ_REMOVE(&ctx->fleet->members, member, link);
			fleet_member_free(member);
			ctx->fleet->member_epoch++;
		}
	} else {
		if (member == NULL) {
			member = fleet_member_add(ctx->fleet, cmd->member->node_id);
			ctx->fleet->member_epoch++;
		} else if (strcmp(member->data_centre, cmd->member->data_centre) != 0) {
			ctx->fleet->member_epoch++;
		}
		fleet_member_update(member, cmd->member);
	}
	set_ok_result(ctx, "");
}
