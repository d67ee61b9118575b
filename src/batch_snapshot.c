#define G_LOG_DOMAIN "batch"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "batch_internal.h"
#include "message.h"

/* In this file, the messages of a snapshot are allocated under the talloc context mem. Their
 * strings belong to the state and are not copied. */

static Lp__BatchStepState *save_step(void *mem, const batch_step_t *step)
{
	Lp__BatchStepState *message = talloc(mem, Lp__BatchStepState);

	lp__batch_step_state__init(message);
	message->gang_failures = step->gang_failures;
	message->n_tasks = step->spec->count;
	message->tasks = talloc_array(mem, Lp__BatchTaskState *, step->spec->count);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];
		Lp__BatchTaskState *saved = talloc(mem, Lp__BatchTaskState);

		lp__batch_task_state__init(saved);
		saved->status = task->status;
		saved->run = task->run;
		saved->failures = task->failures;
		saved->crashes = task->crashes;
		saved->seen_crashes = task->seen_crashes;
		saved->assigned_log_ms = task->assigned_log_ms;
		saved->vm = task->vm != NULL ? task->vm->snapshot_index : 0;
		if (task->checkpoint != NULL)
			saved->checkpoint = task->checkpoint;
		message->tasks[i] = saved;
	}
	return message;
}

static Lp__BatchJobState *save_job(void *mem, const batch_job_t *job)
{
	Lp__BatchJobState *message = talloc(mem, Lp__BatchJobState);

	lp__batch_job_state__init(message);
	message->seq = job->seq;
	message->job = job->spec;
	message->state = job->state;
	message->accepted_ms = job->accepted_ms;
	message->ended_ms = job->ended_ms;
	message->service = (char *)job->service;
	message->begun = job->begun;
	/* The steps of an archived job were freed. */
	if (job->archived)
		return message;
	message->queue = (Lp__BatchQueue *)job->queue;
	message->n_steps = job->step_count;
	message->steps = talloc_array(mem, Lp__BatchStepState *, job->step_count);
	for (uint32_t i = 0; i < job->step_count; i++)
		message->steps[i] = save_step(mem, &job->steps[i]);
	return message;
}

static void save_jobs(void *mem, const batch_state_t *state, Lp__BatchSnapshot *snapshot)
{
	const struct batch_job_list *lists[] = {&state->ended, &state->active};
	const batch_job_t *job;

	snapshot->jobs = talloc_array(mem, Lp__BatchJobState *, g_hash_table_size(state->by_id));
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		TAILQ_FOREACH (job, lists[i], link)
			snapshot->jobs[snapshot->n_jobs++] = save_job(mem, job);
	}
}

static void save_vms(void *mem, const batch_state_t *state, Lp__BatchSnapshot *snapshot)
{
	batch_vm_t *vm;
	unsigned count = 0;

	LIST_FOREACH (vm, &state->vms, link)
		vm->snapshot_index = ++count;
	snapshot->vms = talloc_array(mem, Lp__BatchVmState *, count);
	LIST_FOREACH (vm, &state->vms, link) {
		Lp__BatchVmState *saved = talloc(mem, Lp__BatchVmState);

		lp__batch_vm_state__init(saved);
		saved->id = vm->id;
		saved->born_ms = vm->born_ms;
		saved->address = vm->address;
		saved->machine = vm->machine;
		saved->noted = vm->acknowledged;
		snapshot->vms[snapshot->n_vms++] = saved;
	}
}

static Lp__BatchWaveState *save_wave(void *mem, const batch_wave_t *wave)
{
	Lp__BatchWaveState *message = talloc(mem, Lp__BatchWaveState);

	lp__batch_wave_state__init(message);
	message->since_ms = wave->since_ms;
	message->wave = talloc(mem, Lp__BatchWave);
	lp__batch_wave__init(message->wave);
	message->wave->wave = wave->number;
	message->wave->duration_ms = wave->duration_ms;
	message->wave->max_down = wave->max_down;
	message->wave->machines = talloc_array(mem, char *, wave->machine_count);
	message->orders = talloc_array(mem, Lp__BatchOrder *, wave->machine_count);
	for (size_t i = 0; i < wave->machine_count; i++) {
		Lp__BatchOrder *order = talloc(mem, Lp__BatchOrder);

		lp__batch_order__init(order);
		order->state = wave->machines[i].state;
		order->born_ms = wave->machines[i].born_ms;
		message->wave->machines[message->wave->n_machines++] = wave->machines[i].machine;
		message->orders[message->n_orders++] = order;
	}
	return message;
}

static void save_waves(void *mem, const batch_state_t *state, Lp__BatchSnapshot *snapshot)
{
	const batch_wave_t *wave;
	size_t count = 0;

	LIST_FOREACH (wave, &state->waves, link)
		count++;
	snapshot->waves = talloc_array(mem, Lp__BatchWaveState *, count);
	LIST_FOREACH (wave, &state->waves, link)
		snapshot->waves[snapshot->n_waves++] = save_wave(mem, wave);
}

static void save_moves(void *mem, const batch_state_t *state, Lp__BatchSnapshot *snapshot)
{
	const batch_move_t *move;
	size_t count = 0;

	LIST_FOREACH (move, &state->moves, link)
		count++;
	snapshot->moves = talloc_array(mem, Lp__BatchOrder *, count);
	LIST_FOREACH (move, &state->moves, link) {
		Lp__BatchOrder *saved = talloc(mem, Lp__BatchOrder);

		lp__batch_order__init(saved);
		saved->machine = move->machine;
		saved->pool = move->pool;
		snapshot->moves[snapshot->n_moves++] = saved;
	}
}

static void save_requests(void *mem, const batch_state_t *state, Lp__BatchSnapshot *snapshot)
{
	size_t count = g_hash_table_size(state->last_requests);
	GHashTableIter iter;
	void *machine;
	void *value;

	snapshot->ordered = talloc_array(mem, char *, count + 1);
	snapshot->ordered_ms = talloc_array(mem, uint64_t, count + 1);
	g_hash_table_iter_init(&iter, state->last_requests);
	while (g_hash_table_iter_next(&iter, &machine, &value)) {
		const batch_request_t *request = value;

		snapshot->ordered[snapshot->n_ordered++] = machine;
		snapshot->ordered_ms[snapshot->n_ordered_ms++] = request->result_log_ms;
	}
	snapshot->log_clock_ms = state->log_clock_ms;
	snapshot->log_term = state->log_term;
	snapshot->log_leader_ms = state->log_leader_ms;
}

/* A snapshot of a version without the clock of the log has no results. */
static void load_requests(batch_state_t *state, const Lp__BatchSnapshot *snapshot)
{
	state->log_clock_ms = MAX(snapshot->log_clock_ms, 1);
	state->log_term = snapshot->log_term;
	state->log_leader_ms = snapshot->log_leader_ms;
	state->log_term_since_ms = state->log_clock_ms;
	for (size_t i = 0; i < snapshot->n_ordered; i++)
		batch_record_request(state, snapshot->ordered[i],
				     i < snapshot->n_ordered_ms
					     ? MIN(snapshot->ordered_ms[i], state->log_clock_ms)
					     : 0);
}

static void save_removed_organisations(void *mem, const batch_state_t *state,
				       Lp__BatchSnapshot *snapshot)
{
	GHashTable *accounts = state->organisations.by_name;
	GHashTableIter iter;
	void *value;

	snapshot->removed_organisations =
		talloc_array(mem, Lp__BatchOrganisation *, g_hash_table_size(accounts) + 1);
	g_hash_table_iter_init(&iter, accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const org_account_t *account = value;
		Lp__BatchOrganisation *saved;

		if (account->configured)
			continue;
		saved = talloc(mem, Lp__BatchOrganisation);
		lp__batch_organisation__init(saved);
		saved->name = account->name;
		saved->weight_milli = account->weight_milli;
		saved->limits = talloc(mem, Lp__BatchLimits);
		lp__batch_limits__init(saved->limits);
		saved->limits->cpu_milli = account->limit.cpu_milli;
		saved->limits->mem_mib = account->limit.mem_mib;
		saved->limits->gpu = account->limit.gpu;
		snapshot->removed_organisations[snapshot->n_removed_organisations++] = saved;
	}
}

uint8_t *batch_state_save(const batch_state_t *state, size_t *length)
{
	void *mem = talloc_new(NULL);
	Lp__BatchSnapshot snapshot = LP__BATCH_SNAPSHOT__INIT;
	uint8_t *packed;

	snapshot.config = state->config;
	snapshot.next_seq = state->next_seq;
	snapshot.start_term = state->start_term;
	save_vms(mem, state, &snapshot);
	save_jobs(mem, state, &snapshot);
	save_waves(mem, state, &snapshot);
	save_moves(mem, state, &snapshot);
	save_requests(mem, state, &snapshot);
	save_removed_organisations(mem, state, &snapshot);
	packed = malloc(lp__batch_snapshot__get_packed_size(&snapshot) + 1);
	if (packed == NULL)
		g_error("out of memory while saving a snapshot");
	*length = lp__batch_snapshot__pack(&snapshot, packed);
	talloc_free(mem);
	return packed;
}

/* --- loading --- */

static int load_task(const batch_state_t *state, batch_step_t *step, batch_task_t *task,
		     const Lp__BatchTaskState *message, GPtrArray *vms)
{
	if (message->status > BATCH_TASK_DONE || message->vm > vms->len)
		return -1;
	task->status = (batch_task_status_t)message->status;
	task->run = message->run;
	task->failures = message->failures;
	task->crashes = message->crashes;
	task->seen_crashes = message->seen_crashes;
	task->assigned_log_ms = message->assigned_log_ms;
	task->assigned_us = state->clock_us;
	task->local.pace_percent = 100;
	if (message->checkpoint[0] != '\0')
		task->checkpoint = g_strdup(message->checkpoint);
	if (message->vm > 0)
		batch_task_attach_vm(task, g_ptr_array_index(vms, message->vm - 1));
	switch (task->status) {
	case BATCH_TASK_WAITING:
		step->waiting++;
		break;
	case BATCH_TASK_ASSIGNED:
		step->assigned++;
		break;
	case BATCH_TASK_DONE:
		step->done++;
		break;
	}
	return 0;
}

static int load_step(const batch_state_t *state, batch_step_t *step,
		     const Lp__BatchStepState *message, GPtrArray *vms)
{
	if (message->n_tasks != step->spec->count)
		return -1;
	step->gang_failures = message->gang_failures;
	step->waiting = 0;
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (load_task(state, step, &step->tasks[i], message->tasks[i], vms) != 0)
			return -1;
	}
	if (step->done == step->spec->count)
		step->job->steps_done++;
	return 0;
}

static int load_job(batch_state_t *state, const Lp__BatchJobState *message, GPtrArray *vms)
{
	batch_job_t *job;

	/* Versions that let the number of tasks wrap have accepted such jobs. */
	if (message->job != NULL && batch_job_task_count(message->job) > BATCH_TASKS_MAX)
		return 0;
	/* Do not check an archived job: it is saved without steps, so that batch_job_check() would
	 * fail. */
	if (message->job == NULL || message->state > BATCH_JOB_CANCELLED ||
	    (message->n_steps > 0 && batch_job_check(message->job) != NULL))
		return -1;
	job = batch_job_new(message_copy(&message->job->base), message->seq, message->accepted_ms);
	job->state = (batch_job_state_t)message->state;
	job->ended_ms = message->ended_ms;
	job->begun = message->begun;
	if (message->queue != NULL)
		batch_job_accept_queue(state, job, message->queue);
	batch_job_accept_organisation(state, job);
	job->service = g_intern_string(message->service);
	if (message->n_steps != 0 && message->n_steps != job->step_count)
		goto malformed;
	for (size_t i = 0; i < message->n_steps; i++) {
		if (load_step(state, &job->steps[i], message->steps[i], vms) != 0)
			goto malformed;
	}
	batch_state_add_job(state, job);
	return 0;

malformed:
	batch_job_free(state, job);
	return -1;
}

static int load_wave(batch_state_t *state, const Lp__BatchWaveState *message)
{
	batch_wave_t *wave;

	if (message->wave == NULL || message->n_orders != message->wave->n_machines)
		return -1;
	wave = batch_wave_new(state, message->wave, message->since_ms);
	for (size_t i = 0; i < wave->machine_count; i++) {
		wave->machines[i].state = message->orders[i]->state;
		wave->machines[i].born_ms = message->orders[i]->born_ms;
		wave->machines[i].sent_us = state->clock_us;
		wave->machines[i].begun_us = state->clock_us;
	}
	return 0;
}

static int load_snapshot_message(batch_state_t *state, const Lp__BatchSnapshot *snapshot)
{
	g_autoptr(GPtrArray) vms = g_ptr_array_new();

	state->next_seq = snapshot->next_seq;
	state->start_term = snapshot->start_term;
	if (snapshot->config != NULL)
		state->config = message_copy(&snapshot->config->base);
	if (state->config != NULL)
		org_accounts_configure(&state->organisations, state->config);
	for (size_t i = 0; i < snapshot->n_removed_organisations; i++)
		org_accounts_restore(&state->organisations, snapshot->removed_organisations[i]);
	for (size_t i = 0; i < snapshot->n_vms; i++) {
		const Lp__BatchVmState *message = snapshot->vms[i];
		batch_vm_t *vm = batch_vm_new(state, message->id, message->born_ms,
					      message->address, message->machine);

		vm->acknowledged = message->noted;
		g_ptr_array_add(vms, vm);
	}
	for (size_t i = 0; i < snapshot->n_jobs; i++) {
		if (load_job(state, snapshot->jobs[i], vms) != 0)
			return -1;
	}
	/* The latest wave comes first, and must be added last. */
	for (size_t i = snapshot->n_waves; i-- > 0;) {
		if (load_wave(state, snapshot->waves[i]) != 0)
			return -1;
	}
	load_requests(state, snapshot);
	for (size_t i = 0; i < snapshot->n_moves; i++)
		batch_move_set(state, snapshot->moves[i]->machine, snapshot->moves[i]->pool);
	return 0;
}

int batch_state_load(batch_state_t *state, const uint8_t *data, size_t length)
{
	Lp__BatchSnapshot *snapshot = lp__batch_snapshot__unpack(NULL, length, data);
	uint64_t revision = state->revision;
	batch_vm_listener_t vm_listener = state->vm_listener;
	batch_job_listener_t job_listener = state->job_listener;
	bool declared_times = state->declared_times;
	uint64_t clock_us = state->clock_us;
	int result;

	if (snapshot == NULL)
		return -1;
	batch_state_finish(state);
	batch_state_init(state);
	state->revision = revision + 1;
	state->vm_listener = vm_listener;
	state->job_listener = job_listener;
	state->declared_times = declared_times;
	state->clock_us = clock_us;
	result = load_snapshot_message(state, snapshot);
	lp__batch_snapshot__free_unpacked(snapshot, NULL);
	return result;
}
