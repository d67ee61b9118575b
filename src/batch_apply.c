#define G_LOG_DOMAIN "batch"

#include <string.h>

#include "batch_internal.h"
#include "clock.h"
#include "message.h"

static void set_result(Lp__Result *result, Lp__ResultCode code, const char *message)
{
	result->code = code;
	result->message = (char *)message;
}

/* --- VM incarnations --- */

batch_vm_t *batch_vm_new(batch_state_t *state, const char *id, uint64_t born_ms,
			 const char *address, const char *machine)
{
	batch_vm_t *vm = g_new0(batch_vm_t, 1);

	vm->id = g_strdup(id);
	vm->born_ms = born_ms;
	vm->address = g_strdup(address);
	vm->machine = g_strdup(machine);
	LIST_INIT(&vm->tasks);
	LIST_INSERT_HEAD(&state->vms, vm, link);
	g_hash_table_insert(state->vms_by_incarnation, batch_vm_key(id, born_ms), vm);
	if (state->vm_listener.added != NULL)
		state->vm_listener.added(state->vm_listener.arg, vm);
	return vm;
}

void batch_vm_free(batch_state_t *state, batch_vm_t *vm)
{
	g_autofree char *key = batch_vm_key(vm->id, vm->born_ms);

	if (state->vm_listener.removed != NULL)
		state->vm_listener.removed(state->vm_listener.arg, vm);
	g_hash_table_remove(state->vms_by_incarnation, key);
	LIST_REMOVE(vm, link);
	g_free(vm->id);
	g_free(vm->address);
	g_free(vm->machine);
	g_free(vm);
}

/* Removes the records of earlier incarnations with the same id or address as the latest one,
 * except those to which tasks are assigned. */
static void remove_earlier_incarnations(batch_state_t *state, const batch_vm_t *latest)
{
	batch_vm_t *vm = LIST_FIRST(&state->vms);

	while (vm != NULL) {
		batch_vm_t *next = LIST_NEXT(vm, link);

		if (vm->task_count == 0 && vm->born_ms < latest->born_ms &&
		    (strcmp(vm->id, latest->id) == 0 || strcmp(vm->address, latest->address) == 0))
			batch_vm_free(state, vm);
		vm = next;
	}
}

static batch_vm_t *find_or_add_vm(batch_state_t *state, const Lp__BatchStart *start)
{
	batch_vm_t *vm = batch_state_vm(state, start->vm, start->born_ms);

	if (vm != NULL)
		return vm;
	vm = batch_vm_new(state, start->vm, start->born_ms, start->address, start->machine);
	remove_earlier_incarnations(state, vm);
	return vm;
}

void batch_task_attach_vm(batch_task_t *task, batch_vm_t *vm)
{
	task->vm = vm;
	LIST_INSERT_HEAD(&vm->tasks, task, vm_link);
	vm->task_count++;
	task->step->job->tasks_on_vms++;
	if (task->step->job->account != NULL)
		org_use_add(&task->step->job->account->used, task->step->spec, 1);
}

void batch_task_detach_vm(batch_task_t *task)
{
	LIST_REMOVE(task, vm_link);
	task->vm->task_count--;
	task->step->job->tasks_on_vms--;
	if (task->step->job->account != NULL)
		org_use_subtract(&task->step->job->account->used, task->step->spec, 1);
	task->vm = NULL;
}

/* Detaches the task from its VM and resets the leader's state of the task, except for the VM of
 * the last failure and a pending start intent, which the leader counts until its commit is known.
 */
static void detach_vm(batch_task_t *task)
{
	if (task->vm == NULL)
		return;
	batch_task_detach_vm(task);
	task->local = (run_local_state_t){
		.intent_pending = task->local.intent_pending,
		.intent_vm = task->local.intent_vm,
		.failed_vm_hash = task->local.failed_vm_hash,
	};
}

/* --- jobs --- */

/* Archives the job if it has ended and none of its tasks has a VM. */
static void archive_if_finished(batch_state_t *state, batch_job_t *job)
{
	if (job->archived || !batch_job_ended(job) || job->tasks_on_vms > 0)
		return;
	batch_job_archive(state, job);
	TAILQ_REMOVE(&state->active, job, link);
	TAILQ_INSERT_TAIL(&state->ended, job, link);
}

static void end_job(const batch_state_t *state, batch_job_t *job, batch_job_state_t final_state,
		    uint64_t wall_ms)
{
	if (batch_job_ended(job))
		return;
	job->state = final_state;
	job->ended_ms = wall_ms;
	if (state->job_listener.ended != NULL)
		state->job_listener.ended(state->job_listener.arg, job);
}

static void remove_expired_jobs(batch_state_t *state, uint64_t wall_ms)
{
	batch_job_t *job;

	while ((job = TAILQ_FIRST(&state->ended)) != NULL &&
	       job->ended_ms + BATCH_ENDED_RETENTION_MS < wall_ms)
		batch_state_remove_job(state, &state->ended, job);
}

static void apply_submit(batch_state_t *state, uint64_t wall_ms, const Lp__BatchJob *spec,
			 Lp__Result *result)
{
	const Lp__BatchQueue *queue;
	batch_job_t *job;

	remove_expired_jobs(state, wall_ms);
	job = batch_state_job(state, spec->id);
	if (job != NULL) {
		/* Two submissions with the same id were on their way at the same time. */
		if (!batch_same_place(job->spec->host, job->spec->prefix, spec->host, spec->prefix))
			set_result(result, LP__RESULT_CODE__RESULT_CONFLICT,
				   "another queue has a job with this id");
		return;
	}
	if (batch_job_check(spec) != NULL) {
		set_result(result, LP__RESULT_CODE__RESULT_INVALID, batch_job_check(spec));
		return;
	}
	/* A configuration without the queue was committed after the leader received the job. */
	queue = batch_state_find_queue(state, spec->host, spec->prefix);
	if (queue == NULL) {
		set_result(result, LP__RESULT_CODE__RESULT_NOT_FOUND, "the queue was removed");
		return;
	}
	job = batch_job_new(message_copy(&spec->base), state->next_seq++, wall_ms);
	batch_job_accept_queue(state, job, queue);
	batch_job_accept_organisation(state, job);
	batch_state_add_job(state, job);
}

static void apply_cancel(batch_state_t *state, uint64_t wall_ms, const Lp__BatchCancel *cancel,
			 Lp__Result *result)
{
	batch_job_t *job = batch_state_job(state, cancel->id);

	if (job == NULL ||
	    !batch_same_place(job->spec->host, job->spec->prefix, cancel->host, cancel->prefix) ||
	    !batch_job_open_to(job, cancel->organisation)) {
		set_result(result, LP__RESULT_CODE__RESULT_NOT_FOUND, "no such job");
		return;
	}
	if (batch_job_ended(job))
		return;
	end_job(state, job, BATCH_JOB_CANCELLED, wall_ms);
	archive_if_finished(state, job);
}

/* --- tasks --- */

static void set_status(batch_task_t *task, batch_task_status_t status)
{
	batch_step_t *step = task->step;
	uint32_t *const counts[] = {
		[BATCH_TASK_WAITING] = &step->waiting,
		[BATCH_TASK_ASSIGNED] = &step->assigned,
		[BATCH_TASK_DONE] = &step->done,
	};

	(*counts[task->status])--;
	(*counts[status])++;
	task->status = status;
}

static void mark_task_done(const batch_state_t *state, batch_task_t *task, uint64_t wall_ms)
{
	batch_step_t *step = task->step;
	batch_job_t *job = step->job;

	if (task->status == BATCH_TASK_DONE)
		return;
	set_status(task, BATCH_TASK_DONE);
	if (step->done == step->spec->count && ++job->steps_done == job->step_count)
		end_job(state, job, BATCH_JOB_COMPLETE, wall_ms);
}

static void complete_task(const batch_state_t *state, batch_task_t *task, uint64_t wall_ms)
{
	batch_step_t *step = task->step;

	/* The members of a gang end together, so the completion of one member completes all of
	 * them. */
	if (step->spec->gang) {
		for (uint32_t i = 0; i < step->spec->count; i++)
			mark_task_done(state, &step->tasks[i], wall_ms);
		return;
	}
	mark_task_done(state, task, wall_ms);
}

static void count_failure(const batch_state_t *state, batch_task_t *task, uint64_t wall_ms)
{
	batch_step_t *step = task->step;
	const Lp__BatchQueue *queue = step->job->queue;
	uint32_t attempts = queue != NULL ? queue->attempts : 0;
	uint32_t failures = step->spec->gang ? ++step->gang_failures : ++task->failures;

	if (!step->spec->long_running && attempts > 0 && failures >= attempts)
		end_job(state, step->job, BATCH_JOB_FAILED, wall_ms);
}

/* Learns from the end of a run how long it took, by the clock of the log. */
static void learn_run_time(const batch_state_t *state, const batch_task_t *task,
			   const Lp__BatchEnd *end)
{
	batch_step_t *step = task->step;
	bool complete = end->kind == LP__BATCH_END_KIND__BATCH_END_DONE;
	bool ended_early = end->kind == LP__BATCH_END_KIND__BATCH_END_STOPPED ||
			   end->kind == LP__BATCH_END_KIND__BATCH_END_LAPSED;

	/* The clock of the log stands between two leaders, so the time of a run that began under an
	 * earlier one is not known. A lost run that has not begun says nothing. */
	if (state->declared_times || step->job->run_class == NULL || step->spec->long_running ||
	    step->spec->estimate_ms == 0 || task->run != end->task->run ||
	    task->status != BATCH_TASK_ASSIGNED || task->checkpoint != NULL ||
	    task->assigned_log_ms <= state->log_term_since_ms ||
	    state->log_clock_ms <= task->assigned_log_ms || !(complete || ended_early) ||
	    (ended_early && !end->begun && end->kind == LP__BATCH_END_KIND__BATCH_END_LAPSED))
		return;
	run_times_learn(step->job->run_class, &step->sample, step->spec->estimate_ms,
			(double)(state->log_clock_ms - task->assigned_log_ms), complete,
			step->spec->count);
	batch_job_estimate(state, step->job);
}

static void store_checkpoint(batch_step_t *step, batch_task_t *task, const char *checkpoint)
{
	if (checkpoint[0] == '\0')
		return;
	/* All members of a gang must resume from the same checkpoint. */
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++) {
		g_free(step->tasks[i].checkpoint);
		step->tasks[i].checkpoint = g_strdup(checkpoint);
	}
	if (step->spec->gang)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

/* Ends the run if it is the latest run of the task. Unless the task is done, it waits to be
 * placed again. */
static void end_run(batch_state_t *state, batch_task_t *task, uint32_t run, uint64_t wall_ms)
{
	if (task->run != run)
		return;
	detach_vm(task);
	task->ended_ms = wall_ms;
	if (task->status == BATCH_TASK_ASSIGNED)
		set_status(task, BATCH_TASK_WAITING);
}

/* @param begun whether a run of the job is known to have begun */
static void apply_end(batch_state_t *state, const Lp__BatchEnd *end, bool begun, uint64_t wall_ms)
{
	batch_task_t *task = batch_state_task(state, end->task);
	batch_job_t *job;

	if (task == NULL)
		return;
	job = task->step->job;
	job->begun |= begun;
	learn_run_time(state, task, end);
	store_checkpoint(task->step, task, end->checkpoint);
	switch (end->kind) {
	case LP__BATCH_END_KIND__BATCH_END_DONE:
		if (!task->step->spec->long_running)
			complete_task(state, task, wall_ms);
		break;
	case LP__BATCH_END_KIND__BATCH_END_FAILED:
		if (task->status != BATCH_TASK_DONE)
			count_failure(state, task, wall_ms);
		break;
	case LP__BATCH_END_KIND__BATCH_END_STOPPED:
	case LP__BATCH_END_KIND__BATCH_END_LAPSED:
	case LP__BATCH_END_KIND__BATCH_END_BROKEN:
	case LP__BATCH_END_KIND__BATCH_END_ALONE:
	case _LP__BATCH_END_KIND_IS_INT_SIZE:
		break;
	}
	end_run(state, task, end->task->run, wall_ms);
	archive_if_finished(state, job);
}

/* A run that ended on its VM has not crashed it, so the task is not suspected any more. */
static void clear_crashes(const batch_state_t *state, const Lp__BatchEnd *end)
{
	batch_task_t *task = batch_state_task(state, end->task);

	if (task == NULL || task->run != end->task->run)
		return;
	task->crashes = 0;
	task->seen_crashes = 0;
}

static void apply_ends(batch_state_t *state, uint64_t wall_ms, const Lp__BatchEnds *ends)
{
	batch_vm_t *vm = batch_state_vm(state, ends->vm, ends->born_ms);

	/* The VM has reported these finished runs before, and they are committed already. */
	if (vm != NULL && ends->noted <= vm->acknowledged && ends->noted != 0)
		return;
	for (size_t i = 0; i < ends->n_ends; i++) {
		/* A member of a gang that ended alone has waited for the others only. */
		bool begun = ends->ends[i]->kind != LP__BATCH_END_KIND__BATCH_END_ALONE;

		clear_crashes(state, ends->ends[i]);
		apply_end(state, ends->ends[i], begun, wall_ms);
	}
	if (vm != NULL)
		vm->acknowledged = MAX(vm->acknowledged, ends->noted);
}

/* Counts the crash of a VM soon after the start of the run, and gives up the job if its tasks cause
 * such crashes. */
static void count_crash(const batch_state_t *state, const Lp__BatchEnd *end, uint64_t wall_ms)
{
	batch_task_t *task = batch_state_task(state, end->task);

	if (end->crash == LP__BATCH_CRASH__BATCH_CRASH_NONE || task == NULL ||
	    task->run != end->task->run || task->status != BATCH_TASK_ASSIGNED)
		return;
	task->crashes++;
	task->seen_crashes += end->crash != LP__BATCH_CRASH__BATCH_CRASH_UNSURE;
	if (task->crashes < BATCH_CRASHES_MAX && (task->seen_crashes < BATCH_SEEN_CRASHES_MAX ||
						  end->crash != LP__BATCH_CRASH__BATCH_CRASH_CAUSE))
		return;
	task->step->job->given_up |= !batch_job_ended(task->step->job);
	end_job(state, task->step->job, BATCH_JOB_FAILED, wall_ms);
}

static void apply_lost(batch_state_t *state, uint64_t wall_ms, const Lp__BatchLost *lost)
{
	for (size_t i = 0; i < lost->n_runs; i++) {
		Lp__BatchEnd end = *lost->runs[i];

		end.kind = LP__BATCH_END_KIND__BATCH_END_LAPSED;
		count_crash(state, &end, wall_ms);
		apply_end(state, &end, end.begun, wall_ms);
	}
}

/* False when the task was assigned or done, or its job ended, after the leader proposed the start
 * intent. */
static bool can_assign(const batch_task_t *task, uint32_t run)
{
	return task->status == BATCH_TASK_WAITING && task->vm == NULL && run > task->run &&
	       !batch_job_ended(task->step->job);
}

static void assign_task(batch_state_t *state, batch_task_t *task, batch_vm_t *vm, uint32_t run)
{
	set_status(task, BATCH_TASK_ASSIGNED);
	task->run = run;
	task->assigned_us = state->clock_us;
	task->assigned_log_ms = state->log_clock_ms;
	/* Keep intent_pending and intent_vm: the leader that proposed this command clears them
	 * afterwards, when it is told that its proposal was committed. */
	task->local = (run_local_state_t){
		.pace_percent = 100,
		.intent_pending = task->local.intent_pending,
		.intent_vm = task->local.intent_vm,
		.failed_vm_hash = task->local.failed_vm_hash,
	};
	batch_task_attach_vm(task, vm);
	if (task->step->job->state == BATCH_JOB_QUEUED)
		task->step->job->state = BATCH_JOB_RUNNING;
}

/* A gang whose members are assigned by one command. */
typedef struct {
	batch_step_t *step;
	uint32_t tasks; /* for which the account's room is reserved */
} gang_start_t;

static gang_start_t *find_gang(const GArray *gangs, const batch_step_t *step)
{
	for (guint i = 0; i < gangs->len; i++) {
		gang_start_t *gang = &g_array_index(gangs, gang_start_t, i);

		if (gang->step == step)
			return gang;
	}
	return NULL;
}

/* Reserves the accounts' room for gangs in the order of the command, so that none is started in
 * part. @return the gangs, as gang_start_t */
static GArray *reserve_gangs(const batch_state_t *state, const Lp__BatchStarts *starts)
{
	GArray *gangs = g_array_new(FALSE, FALSE, sizeof(gang_start_t));

	for (size_t i = 0; i < starts->n_starts; i++) {
		for (size_t j = 0; j < starts->starts[i]->n_tasks; j++) {
			const Lp__BatchTask *ref = starts->starts[i]->tasks[j];
			const batch_task_t *task = batch_state_task(state, ref);
			gang_start_t added = {0};

			if (task == NULL || !task->step->spec->gang ||
			    task->step->job->account == NULL || !can_assign(task, ref->run))
				continue;
			if (find_gang(gangs, task->step) == NULL) {
				added.step = task->step;
				g_array_append_val(gangs, added);
			}
			find_gang(gangs, task->step)->tasks++;
		}
	}
	for (guint i = 0; i < gangs->len; i++) {
		gang_start_t *gang = &g_array_index(gangs, gang_start_t, i);
		org_account_t *account = gang->step->job->account;

		if (org_account_room(account, NULL, gang->step->spec, gang->tasks) == 0)
			gang->tasks = 0;
		org_use_add(&account->reserved, gang->step->spec, gang->tasks);
	}
	return gangs;
}

static void release_gangs(GArray *gangs)
{
	for (guint i = 0; i < gangs->len; i++) {
		const gang_start_t *gang = &g_array_index(gangs, gang_start_t, i);

		org_use_subtract(&gang->step->job->account->reserved, gang->step->spec,
				 gang->tasks);
	}
	g_array_unref(gangs);
}

/* Takes the account's room for a task that is about to be assigned. @return false when the limit of
 * the organisation leaves none */
static bool take_room(const GArray *gangs, const batch_task_t *task)
{
	const batch_step_t *step = task->step;
	org_account_t *account = step->job->account;
	gang_start_t *gang;

	if (account == NULL)
		return true;
	if (!step->spec->gang)
		return org_account_room(account, NULL, step->spec, 1) > 0;
	gang = find_gang(gangs, step);
	if (gang == NULL || gang->tasks == 0)
		return false;
	gang->tasks--;
	org_use_subtract(&account->reserved, step->spec, 1);
	return true;
}

static void apply_starts(batch_state_t *state, const Lp__BatchStarts *starts)
{
	GArray *gangs;

	/* Ignore start intents of a former leader that were committed after start intents of a
	 * later leader. */
	if (starts->term < state->start_term)
		return;
	state->start_term = starts->term;
	gangs = reserve_gangs(state, starts);
	for (size_t i = 0; i < starts->n_starts; i++) {
		const Lp__BatchStart *start = starts->starts[i];
		batch_vm_t *vm = find_or_add_vm(state, start);

		for (size_t j = 0; j < start->n_tasks; j++) {
			batch_task_t *task = batch_state_task(state, start->tasks[j]);

			if (task != NULL && can_assign(task, start->tasks[j]->run) &&
			    take_room(gangs, task))
				assign_task(state, task, vm, start->tasks[j]->run);
		}
	}
	release_gangs(gangs);
}

static void hand_over_task(batch_task_t *task, batch_vm_t *vm)
{
	run_local_state_t local = {
		.phase = RUN_UNSURE,
		.pace_percent = 100,
		.failed_vm_hash = task->local.failed_vm_hash,
		.crash = task->local.crash,
	};

	g_strlcpy(local.reported_checkpoint, task->local.reported_checkpoint,
		  sizeof(local.reported_checkpoint));
	batch_task_detach_vm(task);
	task->local = local;
	batch_task_attach_vm(task, vm);
}

static void apply_handover(batch_state_t *state, const Lp__BatchHandover *handover)
{
	const Lp__BatchStart next = {
		.vm = handover->vm,
		.born_ms = handover->next_born_ms,
		.address = handover->address,
		.machine = handover->machine,
	};
	const batch_vm_t *from = batch_state_vm(state, handover->vm, handover->born_ms);
	batch_vm_t *to;

	if (from == NULL || from->task_count == 0)
		return;
	to = find_or_add_vm(state, &next);
	for (size_t i = 0; i < handover->n_tasks; i++) {
		batch_task_t *task = batch_state_task(state, handover->tasks[i]);

		if (task != NULL && task->run == handover->tasks[i]->run && task->vm == from)
			hand_over_task(task, to);
	}
}

/* --- configuration, maintenance waves and moves --- */

static void apply_config(batch_state_t *state, const Lp__BatchConfig *config)
{
	batch_job_t *job;

	if (state->config != NULL && config->version <= state->config->version)
		return;
	if (state->config != NULL)
		lp__batch_config__free_unpacked(state->config, NULL);
	state->config = message_copy(&config->base);
	org_accounts_configure(&state->organisations, state->config);
	TAILQ_FOREACH (job, &state->active, link)
		batch_job_follow_service(state, job);
}

batch_wave_t *batch_wave_new(batch_state_t *state, const Lp__BatchWave *message, uint64_t since_ms)
{
	batch_wave_t *wave = g_new0(batch_wave_t, 1);

	*wave = (batch_wave_t){
		.number = message->wave,
		.duration_ms = message->duration_ms,
		.max_down = message->max_down,
		.since_ms = since_ms,
		.machines = g_new0(batch_wave_machine_t, message->n_machines + 1),
		.machine_count = message->n_machines,
	};
	for (size_t i = 0; i < message->n_machines; i++)
		wave->machines[i].machine = g_strdup(message->machines[i]);
	for (size_t i = 0; i < message->n_machines; i++)
		g_hash_table_replace(state->wave_machines, wave->machines[i].machine,
				     &wave->machines[i]);
	LIST_INSERT_HEAD(&state->waves, wave, link);
	return wave;
}

void batch_wave_free(batch_wave_t *wave)
{
	LIST_REMOVE(wave, link);
	for (size_t i = 0; i < wave->machine_count; i++)
		g_free(wave->machines[i].machine);
	g_free(wave->machines);
	g_free(wave);
}

static void apply_wave(batch_state_t *state, uint64_t wall_ms, const Lp__BatchWave *message)
{
	if (batch_state_wave(state, message->wave) == NULL)
		batch_wave_new(state, message, wall_ms);
}

void batch_move_set(batch_state_t *state, const char *machine, const char *pool)
{
	batch_move_t *move;

	LIST_FOREACH (move, &state->moves, link) {
		if (strcmp(move->machine, machine) == 0)
			break;
	}
	if (move != NULL) {
		LIST_REMOVE(move, link);
		g_free(move->machine);
		g_free(move->pool);
		g_free(move);
	}
	if (pool == NULL)
		return;
	move = g_new0(batch_move_t, 1);
	move->machine = g_strdup(machine);
	move->pool = g_strdup(pool);
	LIST_INSERT_HEAD(&state->moves, move, link);
}

void batch_record_request(batch_state_t *state, const char *machine, uint64_t result_log_ms)
{
	batch_request_t *request = g_new(batch_request_t, 1);

	*request = (batch_request_t){.applied_us = state->clock_us, .result_log_ms = result_log_ms};
	g_hash_table_replace(state->last_requests, g_strdup(machine), request);
}

uint64_t batch_request_age_us(const batch_state_t *state, const batch_request_t *request,
			      uint64_t now_us)
{
	uint64_t local_us = now_us > request->applied_us ? now_us - request->applied_us : 0;
	uint64_t log_ms =
		request->result_log_ms != 0 ? state->log_clock_ms - request->result_log_ms : 0;

	return MAX(local_us, log_ms * US_PER_MS);
}

/* Adds the time since the previous command of the same leader. The time between the commands of
 * two leaders is unknown and does not count. */
static void advance_log_clock(batch_state_t *state, const Lp__BatchCommand *command)
{
	if (command->leader_ms == 0 || command->term < state->log_term)
		return;
	if (command->term == state->log_term && command->leader_ms > state->log_leader_ms)
		state->log_clock_ms += command->leader_ms - state->log_leader_ms;
	if (command->term > state->log_term)
		state->log_term_since_ms = state->log_clock_ms;
	if (command->term > state->log_term || command->leader_ms > state->log_leader_ms)
		state->log_leader_ms = command->leader_ms;
	state->log_term = command->term;
}

bool batch_order_in_progress(Lp__BatchOrderState state)
{
	return state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT ||
	       state == LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN;
}

void batch_state_machines_in_maintenance(const batch_state_t *state, GHashTable *names)
{
	const batch_wave_t *wave;

	LIST_FOREACH (wave, &state->waves, link) {
		for (size_t i = 0; i < wave->machine_count; i++) {
			if (batch_order_in_progress(wave->machines[i].state))
				g_hash_table_add(names, wave->machines[i].machine);
		}
	}
}

static bool limit_reached(const batch_wave_t *wave, GHashTable *in_maintenance)
{
	uint32_t count = 0;

	for (size_t i = 0; i < wave->machine_count; i++)
		count += g_hash_table_contains(in_maintenance, wave->machines[i].machine);
	return count >= wave->max_down;
}

void batch_state_blocked_machines(const batch_state_t *state, GHashTable *in_maintenance,
				  GHashTable *names)
{
	const batch_wave_t *wave;

	LIST_FOREACH (wave, &state->waves, link) {
		if (batch_wave_complete(wave) || !limit_reached(wave, in_maintenance))
			continue;
		for (size_t i = 0; i < wave->machine_count; i++)
			g_hash_table_add(names, wave->machines[i].machine);
	}
}

static batch_wave_machine_t *find_wave_machine(const batch_wave_t *wave, const char *name)
{
	for (size_t i = 0; i < wave->machine_count; i++) {
		if (strcmp(wave->machines[i].machine, name) == 0)
			return &wave->machines[i];
	}
	return NULL;
}

/* True when the maintenance of the machine may not begin now. The commands of the log decide this,
 * because a leader does not know which of its proposals are still committed after a timeout. */
static bool maintenance_blocked(const batch_state_t *state, const char *machine)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) blocked = g_hash_table_new(g_str_hash, g_str_equal);

	batch_state_machines_in_maintenance(state, names);
	batch_state_blocked_machines(state, names, blocked);
	return g_hash_table_contains(names, machine) || g_hash_table_contains(blocked, machine);
}

static void apply_maintenance(batch_state_t *state, uint64_t wall_ms, const Lp__BatchOrder *order,
			      batch_wave_machine_t *machine)
{
	if (order->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT)
		machine->sent_us = state->clock_us;
	if (order->state <= machine->state)
		return;
	if (order->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_BEGUN)
		machine->begun_us = state->clock_us;
	machine->state = order->state;
	if (order->born_ms != 0)
		machine->born_ms = order->born_ms;
	machine->since_ms = wall_ms;
}

static void apply_order(batch_state_t *state, uint64_t wall_ms, const Lp__BatchOrder *order,
			Lp__Result *result)
{
	const batch_wave_t *wave = batch_state_wave(state, order->wave);
	batch_wave_machine_t *machine =
		wave != NULL ? find_wave_machine(wave, order->machine) : NULL;

	if (machine != NULL && machine->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE &&
	    order->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT &&
	    maintenance_blocked(state, order->machine)) {
		set_result(result, LP__RESULT_CODE__RESULT_CONFLICT,
			   "too many machines of the wave are in maintenance");
		return;
	}
	batch_record_request(
		state, order->machine,
		order->state > LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT ? state->log_clock_ms : 0);
	if (order->pool[0] != '\0') {
		bool in_progress = order->state == LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT;

		batch_move_set(state, order->machine, in_progress ? order->pool : NULL);
		return;
	}
	if (machine != NULL)
		apply_maintenance(state, wall_ms, order, machine);
}

void batch_state_apply(batch_state_t *state, uint64_t wall_ms, const Lp__BatchCommand *command,
		       Lp__Result *result)
{
	state->revision++;
	advance_log_clock(state, command);
	switch (command->body_case) {
	case LP__BATCH_COMMAND__BODY_CONFIG:
		apply_config(state, command->config);
		break;
	case LP__BATCH_COMMAND__BODY_SUBMIT:
		apply_submit(state, wall_ms, command->submit, result);
		break;
	case LP__BATCH_COMMAND__BODY_CANCEL:
		apply_cancel(state, wall_ms, command->cancel, result);
		break;
	case LP__BATCH_COMMAND__BODY_STARTS:
		apply_starts(state, command->starts);
		break;
	case LP__BATCH_COMMAND__BODY_ENDS:
		apply_ends(state, wall_ms, command->ends);
		break;
	case LP__BATCH_COMMAND__BODY_LOST:
		apply_lost(state, wall_ms, command->lost);
		break;
	case LP__BATCH_COMMAND__BODY_WAVE:
		apply_wave(state, wall_ms, command->wave);
		break;
	case LP__BATCH_COMMAND__BODY_ORDER:
		apply_order(state, wall_ms, command->order, result);
		break;
	case LP__BATCH_COMMAND__BODY_HANDOVER:
		apply_handover(state, command->handover);
		break;
	case LP__BATCH_COMMAND__BODY__NOT_SET:
	case _LP__BATCH_COMMAND__BODY__CASE_IS_INT_SIZE:
		set_result(result, LP__RESULT_CODE__RESULT_INVALID, "empty command");
		break;
	}
}
