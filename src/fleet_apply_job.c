#include <string.h>

#include "fleet_internal.h"

static bool is_final(Lp__JobState state)
{
	return state == LP__JOB_STATE__JOB_DONE || state == LP__JOB_STATE__JOB_FAILED ||
	       state == LP__JOB_STATE__JOB_CANCELLED || state == LP__JOB_STATE__JOB_REJECTED;
}

static void set_state(const fleet_step_t *step, fleet_job_t *job, Lp__JobState state,
		      const char *reason)
{
	struct fleet_job_list *list = &step->fleet->jobs[state];

	TAILQ_REMOVE(&step->fleet->jobs[job->state], job, link);
	job->state = state;
	job->since_ms = step->time_ms;
	fleet_set_string(&job->reason, reason);
	TAILQ_INSERT_TAIL(list, job, link);
}

/* Counts a job that finished and drops the oldest one beyond the limit. */
static void bound_finished(fleet_t *fleet, Lp__JobState state)
{
	struct fleet_job_list *list = &fleet->jobs[state];
	fleet_job_t *oldest = TAILQ_FIRST(list);
	uint32_t *count = &fleet->finished[state];

	if (++*count <= FLEET_FINISHED_JOB_LIMIT)
		return;
	TAILQ_REMOVE(list, oldest, link);
	g_hash_table_remove(fleet->job_by_id, oldest->spec->job);
	fleet_job_free(oldest);
	--*count;
}

static void answer_ok(const fleet_step_t *step, const char *message)
{
	fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_OK, "%s", message);
}

static bool same_spec(const Lp__JobSpec *a, const Lp__JobSpec *b)
{
	size_t length = lp__job_spec__get_packed_size(a);
	uint8_t *packed_a;
	uint8_t *packed_b;
	bool same;

	if (length != lp__job_spec__get_packed_size(b))
		return false;
	packed_a = g_malloc(length + 1);
	packed_b = g_malloc(length + 1);
	lp__job_spec__pack(a, packed_a);
	lp__job_spec__pack(b, packed_b);
	same = memcmp(packed_a, packed_b, length) == 0;
	g_free(packed_a);
	g_free(packed_b);
	return same;
}

void fleet_apply_job_submit(const fleet_step_t *step, const Lp__JobSubmit *cmd)
{
	const Lp__JobSpec *spec = cmd->spec;
	const fleet_org_t *org;
	fleet_job_t *job;

	if (spec == NULL || spec->job[0] == '\0') {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "a job needs an id");
		return;
	}
	job = fleet_job_find(step->fleet, spec->job);
	if (job != NULL) {
		if (same_spec(job->spec, spec))
			answer_ok(step, "submitted before");
		else
			fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
				     "another job has the id %s", spec->job);
		return;
	}
	org = fleet_org_find(step->fleet, spec->organisation);
	if (org == NULL || fleet_pool_find(org, spec->pool) == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "there is no pool %s/%s", spec->organisation, spec->pool);
		return;
	}
	job = fleet_job_add(step->fleet, spec, LP__JOB_STATE__JOB_QUEUED);
	job->since_ms = step->time_ms;
	answer_ok(step, "");
}

/* A job that may not be repeated can be queued again only while it is placed, that is when its
 * start was certainly refused. */
static const char *update_problem(const fleet_job_t *job, const Lp__JobUpdate *cmd)
{
	if (is_final(job->state))
		return "the job is finished";
	if (cmd->state == LP__JOB_STATE__JOB_PLACED && job->state != LP__JOB_STATE__JOB_QUEUED)
		return "the job is not queued";
	if (cmd->state == LP__JOB_STATE__JOB_QUEUED && !job->spec->repeatable &&
	    job->state != LP__JOB_STATE__JOB_PLACED)
		return "the job may have started and is not repeatable";
	return NULL;
}

static void note_failure(fleet_job_t *job, const char *vm)
{
	if (!g_ptr_array_find_with_equal_func(job->failed_on, vm, g_str_equal, NULL))
		g_ptr_array_add(job->failed_on, g_strdup(vm));
}

static bool place(const fleet_step_t *step, fleet_job_t *job, const char *vm_id)
{
	const fleet_vm_t *vm = fleet_vm_find(step->fleet, vm_id);

	if (vm == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "there is no VM %s", vm_id);
		return false;
	}
	job->attempt++;
	job->vm_epoch = vm->epoch;
	fleet_set_string(&job->vm, vm_id);
	return true;
}

void fleet_apply_job_update(const fleet_step_t *step, const Lp__JobUpdate *cmd)
{
	fleet_job_t *job = fleet_job_find(step->fleet, cmd->job);
	const char *problem;

	if (job == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "there is no job %s", cmd->job);
		return;
	}
	problem = job->attempt != cmd->attempt ? "the attempt differs" : update_problem(job, cmd);
	if (problem == NULL && (uint32_t)cmd->state >= FLEET_JOB_STATES)
		problem = "the state is unknown";
	if (problem != NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "job %s: %s", cmd->job, problem);
		return;
	}
	if (cmd->state == LP__JOB_STATE__JOB_PLACED) {
		if (!place(step, job, cmd->vm))
			return;
	} else if ((cmd->state == LP__JOB_STATE__JOB_QUEUED ||
		    cmd->state == LP__JOB_STATE__JOB_FAILED) &&
		   cmd->vm[0] != '\0') {
		note_failure(job, cmd->vm);
	}
	if (cmd->state == LP__JOB_STATE__JOB_QUEUED)
		fleet_set_string(&job->vm, "");
	fleet_set_string(&job->result, cmd->result);
	set_state(step, job, cmd->state, cmd->reason);
	if (is_final(cmd->state))
		bound_finished(step->fleet, cmd->state);
	answer_ok(step, "");
}

void fleet_apply_job_cancel(const fleet_step_t *step, const Lp__JobCancel *cmd)
{
	size_t cancelled = 0;

	for (size_t i = 0; i < cmd->n_jobs; i++) {
		fleet_job_t *job = fleet_job_find(step->fleet, cmd->jobs[i]);

		if (job == NULL || is_final(job->state))
			continue;
		set_state(step, job, LP__JOB_STATE__JOB_CANCELLED, cmd->reason);
		bound_finished(step->fleet, LP__JOB_STATE__JOB_CANCELLED);
		cancelled++;
	}
	fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_OK,
		     "%zu of %zu jobs cancelled", cancelled, cmd->n_jobs);
}

void fleet_apply_member(const fleet_step_t *step, const Lp__MemberUpdate *cmd)
{
	fleet_member_t *member;

	if (cmd->member == NULL || cmd->member->node_id == 0) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "a member needs a node id");
		return;
	}
	member = fleet_member_find(step->fleet, cmd->member->node_id);
	if (cmd->remove) {
		if (member != NULL) {
			TAILQ_REMOVE(&step->fleet->members, member, link);
			fleet_member_free(member);
			step->fleet->member_epoch++;
		}
	} else {
		if (member == NULL) {
			member = fleet_member_add(step->fleet, cmd->member->node_id);
			step->fleet->member_epoch++;
		} else if (strcmp(member->data_centre, cmd->member->data_centre) != 0) {
			step->fleet->member_epoch++;
		}
		fleet_member_set(member, cmd->member);
	}
	answer_ok(step, "");
}
