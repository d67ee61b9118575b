#define G_LOG_DOMAIN "batch"

#include "batch_internal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "message.h"
#include "org_keys.h"

void batch_state_init(batch_state_t *state)
{
	*state = (batch_state_t){.next_seq = 1};
	state->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	state->by_seq = g_hash_table_new(g_int64_hash, g_int64_equal);
	state->vms_by_incarnation = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state->log_clock_ms = 1;
	state->last_requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_INIT(&state->active);
	TAILQ_INIT(&state->ended);
	LIST_INIT(&state->accepted_queues);
	org_accounts_init(&state->organisations);
	run_times_init(&state->run_times);
	LIST_INIT(&state->vms);
	LIST_INIT(&state->waves);
	LIST_INIT(&state->moves);
	state->wave_machines = g_hash_table_new(g_str_hash, g_str_equal);
}

static void free_jobs(batch_state_t *state, struct batch_job_list *list)
{
	batch_job_t *job;

	while ((job = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, job, link);
		batch_job_free(state, job);
	}
}

void batch_state_finish(batch_state_t *state)
{
	batch_vm_t *vm;
	batch_wave_t *wave;

	free_jobs(state, &state->active);
	free_jobs(state, &state->ended);
	while ((vm = LIST_FIRST(&state->vms)) != NULL)
		batch_vm_free(state, vm);
	g_hash_table_remove_all(state->wave_machines);
	while ((wave = LIST_FIRST(&state->waves)) != NULL)
		batch_wave_free(wave);
	while (!LIST_EMPTY(&state->moves))
		batch_move_set(state, LIST_FIRST(&state->moves)->machine, NULL);
	if (state->config != NULL)
		lp__batch_config__free_unpacked(state->config, NULL);
	org_accounts_finish(&state->organisations);
	run_times_finish(&state->run_times);
	g_hash_table_destroy(state->vms_by_incarnation);
	g_hash_table_destroy(state->last_requests);
	g_hash_table_destroy(state->wave_machines);
	g_hash_table_destroy(state->by_id);
	g_hash_table_destroy(state->by_seq);
}

/* --- jobs --- */

static uint32_t occurrence_count(const Lp__BatchJob *spec)
{
	return spec->times > 0 ? spec->times : 1;
}

static const char *check_step(const Lp__BatchJob *job, size_t i)
{
	const Lp__BatchStep *step = job->steps[i];

	if (step->count == 0)
		return "a step has no tasks";
	for (size_t j = 0; j < step->n_after; j++) {
		if (step->after[j] >= i)
			return "a step waits for itself or a later one";
	}
	return NULL;
}

uint64_t batch_job_task_count(const Lp__BatchJob *job)
{
	uint64_t count = 0;

	for (size_t i = 0; i < job->n_steps; i++) {
		if (!g_uint64_checked_add(&count, count, job->steps[i]->count))
			return UINT64_MAX;
	}
	return g_uint64_checked_mul(&count, count, occurrence_count(job)) ? count : UINT64_MAX;
}

const char *batch_job_check(const Lp__BatchJob *job)
{
	if (job->n_steps == 0)
		return "the job has no steps";
	for (size_t i = 0; i < job->n_steps; i++) {
		const char *error = check_step(job, i);

		if (error != NULL)
			return error;
	}
	return batch_job_task_count(job) > BATCH_TASKS_MAX ? "the job has too many tasks" : NULL;
}

static void init_step(batch_step_t *step, batch_job_t *job, uint32_t occurrence, uint32_t number)
{
	const Lp__BatchStep *spec = job->spec->steps[number];

	*step = (batch_step_t){
		.job = job,
		.occurrence = occurrence,
		.number = number,
		.spec = spec,
		.tasks = g_new0(batch_task_t, spec->count),
		.waiting = spec->count,
		.mean_ms = spec->estimate_ms,
		.longest_ms = spec->estimate_ms,
	};
	for (uint32_t i = 0; i < spec->count; i++)
		step->tasks[i] = (batch_task_t){.step = step, .index = i};
}

batch_job_t *batch_job_new(Lp__BatchJob *spec, uint64_t seq, uint64_t accepted_ms)
{
	batch_job_t *job = g_new0(batch_job_t, 1);
	uint32_t steps = (uint32_t)spec->n_steps;

	job->seq = seq;
	job->spec = spec;
	job->prefix = g_intern_string(spec->prefix);
	job->accepted_ms = accepted_ms;
	job->occurrences = occurrence_count(spec);
	job->step_count = steps * job->occurrences;
	job->steps = g_new0(batch_step_t, job->step_count);
	for (uint32_t i = 0; i < job->step_count; i++) {
		const Lp__BatchStep *step = spec->steps[i % steps];

		init_step(&job->steps[i], job, i / steps, i % steps);
		job->task_count += step->count;
		job->work += (double)step->count * step->cpu_milli * step->estimate_ms;
	}
	return job;
}

static void free_steps(batch_job_t *job)
{
	for (uint32_t i = 0; i < job->step_count; i++) {
		batch_step_t *step = &job->steps[i];

		for (uint32_t j = 0; j < step->spec->count; j++) {
			if (step->tasks[j].vm != NULL)
				batch_task_detach_vm(&step->tasks[j]);
			g_free(step->tasks[j].checkpoint);
		}
		g_free(step->tasks);
		ticket_cache_free(step->tickets);
	}
	g_free(job->steps);
	job->steps = NULL;
	job->step_count = 0;
	job->occurrences = 0;
}

static void release_queue(batch_job_t *job);

static void release_account(batch_state_t *state, batch_job_t *job)
{
	if (job->account != NULL)
		org_accounts_remove_job(&state->organisations, job->account);
	job->account = NULL;
}

void batch_job_archive(batch_state_t *state, batch_job_t *job)
{
	Lp__BatchJob *spec = job->spec;

	job->archived = true;
	if (job->counted)
		state->active_tasks -= job->task_count;
	job->counted = false;
	free_steps(job);
	release_queue(job);
	release_account(state, job);
	for (size_t i = 0; i < spec->n_steps; i++)
		lp__batch_step__free_unpacked(spec->steps[i], NULL);
	free(spec->steps);
	spec->steps = NULL;
	spec->n_steps = 0;
	if (spec->spec != protobuf_c_empty_string)
		free(spec->spec);
	spec->spec = (char *)protobuf_c_empty_string;
}

void batch_job_free(batch_state_t *state, batch_job_t *job)
{
	free_steps(job);
	release_queue(job);
	release_account(state, job);
	lp__batch_job__free_unpacked(job->spec, NULL);
	g_free(job);
}

void batch_job_estimate(const batch_state_t *state, batch_job_t *job)
{
	if (state->declared_times)
		return;
	job->work = 0;
	for (uint32_t i = 0; i < job->step_count; i++) {
		batch_step_t *step = &job->steps[i];
		const Lp__BatchStep *spec = step->spec;

		if (!spec->long_running) {
			run_estimate_t estimate = run_times_estimate(
				job->run_class, &step->sample, spec->estimate_ms, spec->count);

			step->mean_ms = estimate.mean_ms;
			step->longest_ms = estimate.longest_ms;
		}
		job->work += (double)spec->count * spec->cpu_milli * step->mean_ms;
	}
	job->path_ms = 0;
	job->remaining_path_ms = 0;
}

void batch_state_add_job(batch_state_t *state, batch_job_t *job)
{
	job->run_class =
		run_times_class(&state->run_times, job->spec->organisation, job->spec->prefix);
	batch_job_estimate(state, job);
	for (uint32_t i = 0; i < job->step_count; i++)
		job->steps[i].accepted_ms = job->steps[i].mean_ms;
	g_hash_table_insert(state->by_id, job->spec->id, job);
	g_hash_table_insert(state->by_seq, &job->seq, job);
	if (batch_job_ended(job) && job->tasks_on_vms == 0)
		batch_job_archive(state, job);
	if (job->archived) {
		TAILQ_INSERT_TAIL(&state->ended, job, link);
		return;
	}
	TAILQ_INSERT_TAIL(&state->active, job, link);
	job->counted = true;
	state->active_tasks += job->task_count;
}

void batch_state_remove_job(batch_state_t *state, struct batch_job_list *list, batch_job_t *job)
{
	g_hash_table_remove(state->by_id, job->spec->id);
	g_hash_table_remove(state->by_seq, &job->seq);
	TAILQ_REMOVE(list, job, link);
	batch_job_free(state, job);
}

bool batch_job_ended(const batch_job_t *job)
{
	switch (job->state) {
	case BATCH_JOB_QUEUED:
	case BATCH_JOB_RUNNING:
		return false;
	case BATCH_JOB_COMPLETE:
	case BATCH_JOB_FAILED:
	case BATCH_JOB_CANCELLED:
		return true;
	}
	return false;
}

bool batch_job_open_to(const batch_job_t *job, const char *organisation)
{
	return organisation[0] == '\0' || job->spec->organisation[0] == '\0' ||
	       strcmp(job->spec->organisation, organisation) == 0;
}

const char *batch_job_state_name(batch_job_state_t state)
{
	switch (state) {
	case BATCH_JOB_QUEUED:
		return "queued";
	case BATCH_JOB_RUNNING:
		return "running";
	case BATCH_JOB_COMPLETE:
		return "complete";
	case BATCH_JOB_FAILED:
		return "failed";
	case BATCH_JOB_CANCELLED:
		return "canceled";
	}
	return "";
}

bool batch_step_unblocked(const batch_step_t *step)
{
	const batch_step_t *first = step - step->number;

	for (size_t i = 0; i < step->spec->n_after; i++) {
		const batch_step_t *predecessor = &first[step->spec->after[i]];

		if (predecessor->done < predecessor->spec->count)
			return false;
	}
	return true;
}

uint64_t batch_step_due_ms(const batch_step_t *step)
{
	const Lp__BatchJob *spec = step->job->spec;
	uint64_t due_ms;

	if (spec->times == 0)
		return 0;
	if (!g_uint64_checked_mul(&due_ms, step->occurrence, spec->interval_ms) ||
	    !g_uint64_checked_add(&due_ms, due_ms, spec->first_due_ms))
		return UINT64_MAX;
	return due_ms;
}

/* --- lookups --- */

batch_job_t *batch_state_job(const batch_state_t *state, const char *id)
{
	return g_hash_table_lookup(state->by_id, id);
}

batch_task_t *batch_job_task(batch_job_t *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
	batch_step_t *step_state;

	if (occurrence >= job->occurrences || step >= job->spec->n_steps)
		return NULL;
	step_state = &job->steps[occurrence * job->spec->n_steps + step];
	return index < step_state->spec->count ? &step_state->tasks[index] : NULL;
}

batch_task_t *batch_state_task(const batch_state_t *state, const Lp__BatchTask *ref)
{
	batch_job_t *job = g_hash_table_lookup(state->by_seq, &ref->job);

	return job == NULL ? NULL : batch_job_task(job, ref->occurrence, ref->step, ref->index);
}

char *batch_vm_key(const char *id, uint64_t born_ms)
{
	return g_strdup_printf("%s/%" PRIu64, id, born_ms);
}

batch_vm_t *batch_state_vm(const batch_state_t *state, const char *id, uint64_t born_ms)
{
	g_autofree char *key = batch_vm_key(id, born_ms);

	return g_hash_table_lookup(state->vms_by_incarnation, key);
}

batch_wave_t *batch_state_wave(const batch_state_t *state, uint64_t number)
{
	batch_wave_t *wave;

	LIST_FOREACH (wave, &state->waves, link) {
		if (wave->number == number)
			return wave;
	}
	return NULL;
}

void batch_task_ref(const batch_task_t *task, Lp__BatchTask *ref)
{
	lp__batch_task__init(ref);
	ref->job = task->step->job->seq;
	ref->occurrence = task->step->occurrence;
	ref->step = task->step->number;
	ref->index = task->index;
	ref->run = task->run;
}

bool batch_same_place(const char *host_a, const char *prefix_a, const char *host_b,
		      const char *prefix_b)
{
	return strcmp(prefix_a, prefix_b) == 0 && g_ascii_strcasecmp(host_a, host_b) == 0;
}

const Lp__BatchQueue *batch_state_find_queue(const batch_state_t *state, const char *host,
					     const char *prefix)
{
	const Lp__BatchConfig *config = state->config;
	const Lp__BatchQueue *found = NULL;

	for (size_t i = 0; config != NULL && i < config->n_queues; i++) {
		const Lp__BatchQueue *queue = config->queues[i];

		if (!batch_same_place(queue->host, queue->prefix, host, prefix))
			continue;
		if (strcmp(queue->host, host) == 0)
			return queue;
		found = queue;
	}
	return found;
}

static bool same_settings(const Lp__BatchQueue *a, const Lp__BatchQueue *b)
{
	size_t length = lp__batch_queue__get_packed_size(a);
	g_autofree uint8_t *packed_a = NULL;
	g_autofree uint8_t *packed_b = NULL;

	if (!batch_same_place(a->host, a->prefix, b->host, b->prefix) ||
	    lp__batch_queue__get_packed_size(b) != length)
		return false;
	packed_a = g_malloc(length);
	packed_b = g_malloc(length);
	lp__batch_queue__pack(a, packed_a);
	lp__batch_queue__pack(b, packed_b);
	return memcmp(packed_a, packed_b, length) == 0;
}

void batch_job_accept_queue(batch_state_t *state, batch_job_t *job, const Lp__BatchQueue *queue)
{
	batch_accepted_queue_t *accepted;

	LIST_FOREACH (accepted, &state->accepted_queues, link) {
		if (same_settings(accepted->queue, queue))
			break;
	}
	if (accepted == NULL) {
		accepted = g_new0(batch_accepted_queue_t, 1);
		accepted->queue = message_copy(&queue->base);
		LIST_INSERT_HEAD(&state->accepted_queues, accepted, link);
	}
	accepted->jobs++;
	job->accepted_queue = accepted;
	job->queue = accepted->queue;
	job->service = g_intern_string(queue->service);
}

static void release_queue(batch_job_t *job)
{
	batch_accepted_queue_t *accepted = job->accepted_queue;

	job->accepted_queue = NULL;
	job->queue = NULL;
	if (accepted == NULL || --accepted->jobs > 0)
		return;
	LIST_REMOVE(accepted, link);
	lp__batch_queue__free_unpacked(accepted->queue, NULL);
	g_free(accepted);
}

void batch_job_accept_organisation(batch_state_t *state, batch_job_t *job)
{
	if (job->spec->organisation[0] != '\0')
		job->account = org_accounts_add_job(&state->organisations, job->spec->organisation);
}

void batch_job_follow_service(const batch_state_t *state, batch_job_t *job)
{
	const Lp__BatchQueue *queue =
		batch_state_find_queue(state, job->spec->host, job->spec->prefix);

	/* The tasks of a job whose queue was removed still need VMs of its last service. */
	if (queue != NULL)
		job->service = g_intern_string(queue->service);
}

const Lp__BatchQueue *batch_state_match_queue(const batch_state_t *state, const char *host,
					      const char *path)
{
	const Lp__BatchConfig *config = state->config;
	const Lp__BatchQueue *best = NULL;
	size_t best_length = 0;

	for (size_t i = 0; config != NULL && i < config->n_queues; i++) {
		const Lp__BatchQueue *queue = config->queues[i];
		size_t length = strlen(queue->prefix);

		if (length < best_length || strncmp(path, queue->prefix, length) != 0 ||
		    g_ascii_strcasecmp(host, queue->host) != 0)
			continue;
		best = queue;
		best_length = length;
	}
	return best;
}

const Lp__BatchService *batch_state_service(const batch_state_t *state, const char *name)
{
	const Lp__BatchConfig *config = state->config;

	for (size_t i = 0; config != NULL && i < config->n_services; i++) {
		if (strcmp(config->services[i]->name, name) == 0)
			return config->services[i];
	}
	return NULL;
}

static bool has_service(const Lp__BatchConfig *config, const char *name)
{
	for (size_t i = 0; i < config->n_services; i++) {
		if (strcmp(config->services[i]->name, name) == 0)
			return true;
	}
	return false;
}

static const char *check_queue(const Lp__BatchConfig *config, const Lp__BatchQueue *queue,
			       GHashTable *seen)
{
	if (!has_service(config, queue->service))
		return "names a service that does not exist";
	if (queue->timeout_ms == 0)
		return "has a timeout of 0";
	if (!g_hash_table_add(seen, g_strdup_printf("%s\n%s", queue->host, queue->prefix)))
		return "has the host and prefix of another queue";
	return NULL;
}

int batch_config_check(const Lp__BatchConfig *config, char *error, size_t error_size)
{
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < config->n_queues; i++) {
		const char *fault = check_queue(config, config->queues[i], seen);

		if (fault != NULL) {
			g_snprintf(error, error_size, "queue \"%s\" %s", config->queues[i]->name,
				   fault);
			return -1;
		}
	}
	return org_keys_check(config, error, error_size);
}
