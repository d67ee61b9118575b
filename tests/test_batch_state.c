#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batch_queued.h"
#include "batch_state.h"
#include "clock.h"
#include "lib_batch.h"

static batch_state_t batch;
static uint64_t wall_ms;

static Lp__ResultCode apply(Lp__BatchCommand *command)
{
	return batch_test_apply(&batch, wall_ms, command);
}

static Lp__ResultCode set_config(uint64_t version, bool with_queue)
{
	Lp__BatchQueue queue = LP__BATCH_QUEUE__INIT;

	queue.timeout_ms = 3000;
	queue.attempts = 2;
	return batch_test_configure(&batch, wall_ms, version, with_queue ? &queue : NULL);
}

static Lp__ResultCode submit(const char *id, uint32_t count, bool gang)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;

	step.count = count;
	step.gang = gang;
	return batch_test_submit(&batch, wall_ms, id, &step);
}

static void apply_start(const char *id, uint32_t index, uint32_t run, const char *vm, uint64_t term)
{
	const batch_job_t *job = batch_state_job(&batch, id);
	Lp__BatchTask task = LP__BATCH_TASK__INIT;
	Lp__BatchTask *tasks[] = {&task};
	Lp__BatchStart entry = LP__BATCH_START__INIT;
	Lp__BatchStart *entries[] = {&entry};
	Lp__BatchStarts starts = LP__BATCH_STARTS__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	task.job = job->seq;
	task.index = index;
	task.run = run;
	entry.vm = (char *)vm;
	entry.born_ms = 5;
	entry.tasks = tasks;
	entry.n_tasks = 1;
	starts.starts = entries;
	starts.n_starts = 1;
	starts.term = term;
	command.body_case = LP__BATCH_COMMAND__BODY_STARTS;
	command.starts = &starts;
	apply(&command);
}

static void apply_finished_run(const char *id, uint32_t index, uint32_t run, const char *vm,
			       uint64_t number, Lp__BatchEndKind kind)
{
	const batch_job_t *job = batch_state_job(&batch, id);
	Lp__BatchTask task = LP__BATCH_TASK__INIT;
	Lp__BatchEnd entry = LP__BATCH_END__INIT;
	Lp__BatchEnd *entries[] = {&entry};
	Lp__BatchEnds ends = LP__BATCH_ENDS__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	task.job = job->seq;
	task.index = index;
	task.run = run;
	entry.task = &task;
	entry.kind = kind;
	ends.vm = (char *)vm;
	ends.born_ms = 5;
	ends.noted = number;
	ends.ends = entries;
	ends.n_ends = 1;
	command.body_case = LP__BATCH_COMMAND__BODY_ENDS;
	command.ends = &ends;
	apply(&command);
}

static const batch_task_t *get_task(const char *id, uint32_t index)
{
	return batch_job_task(batch_state_job(&batch, id), 0, 0, index);
}

static void reload(void)
{
	size_t length;
	uint8_t *snapshot = batch_state_save(&batch, &length);

	assert_int_equal(batch_state_load(&batch, snapshot, length), 0);
	free(snapshot);
}

static batch_job_state_t job_state(const char *id)
{
	return batch_state_job(&batch, id)->state;
}

static int set_up(void **state)
{
	batch_state_init(&batch);
	wall_ms = 1000;
	return set_config(1, true) == LP__RESULT_CODE__RESULT_OK ? 0 : -1;
}

static int tear_down(void **state)
{
	batch_state_finish(&batch);
	return 0;
}

/* Guards against a number of active tasks that does not follow the jobs: submissions are refused by
 * it when the memory for tasks is used up. */
static void test_active_tasks_are_counted(void **state)
{
	submit("a", 5, false);
	submit("b", 7, false);
	assert_int_equal(batch.active_tasks, 12);
	reload();
	assert_int_equal(batch.active_tasks, 12);
	for (uint32_t i = 0; i < 5; i++) {
		apply_start("a", i, 1, "vm", 1);
		apply_finished_run("a", i, 1, "vm", i + 1, LP__BATCH_END_KIND__BATCH_END_DONE);
	}
	assert_int_equal(job_state("a"), BATCH_JOB_COMPLETE);
	assert_int_equal(batch.active_tasks, 7);
	reload();
	assert_int_equal(batch.active_tasks, 7);
}

#define STEPS_MAX 5

/* Submits a job with steps of the given numbers of tasks. */
static Lp__ResultCode submit_counts(const char *id, const uint32_t *counts, unsigned n,
				    uint32_t times)
{
	Lp__BatchStep steps[STEPS_MAX];
	Lp__BatchStep *list[STEPS_MAX];
	Lp__BatchJob job = LP__BATCH_JOB__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	for (unsigned i = 0; i < n; i++) {
		lp__batch_step__init(&steps[i]);
		steps[i].count = counts[i];
		list[i] = &steps[i];
	}
	job.id = (char *)id;
	job.host = (char *)"h";
	job.prefix = (char *)"/q/";
	job.times = times;
	job.steps = list;
	job.n_steps = n;
	command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
	command.submit = &job;
	return apply(&command);
}

/* Guards against a job whose number of tasks wraps to a small one: it is accepted, and ends each
 * replica that applies it. */
static void test_jobs_whose_task_count_wraps_are_refused(void **state)
{
	static const struct {
		uint32_t counts[STEPS_MAX];
		unsigned n;
		uint32_t times;
	} cases[] = {
		{{UINT32_MAX, UINT32_MAX, 2}, 3, 1U << 31},
		{{UINT32_MAX, UINT32_MAX, 1, 1}, 4, 1U << 31},
		{{UINT32_MAX, UINT32_MAX, 3}, 3, 1U << 31},
		{{1U << 31, 1U << 31}, 2, 0},
		{{UINT32_MAX, 1}, 2, UINT32_MAX},
		{{1}, 1, UINT32_MAX},
		{{UINT32_MAX}, 1, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		assert_int_equal(submit_counts("a", cases[i].counts, cases[i].n, cases[i].times),
				 LP__RESULT_CODE__RESULT_INVALID);
	assert_null(batch_state_job(&batch, "a"));
}

/* Guards against numbers that are only refused in some combinations. */
static void test_task_counts_are_checked_exactly(void **state)
{
	static const uint32_t numbers[] = {
		1,     2,	 3,	   9999,     10000,	     19999,	     20000,
		20001, 1U << 16, 1U << 30, 1U << 31, UINT32_MAX / 2, UINT32_MAX - 1, UINT32_MAX};
	GRand *rand = g_rand_new_with_seed(17);

	for (unsigned i = 0; i < 20000; i++) {
		uint32_t counts[STEPS_MAX];
		unsigned n = (unsigned)g_rand_int_range(rand, 1, STEPS_MAX + 1);
		uint32_t times = numbers[g_rand_int_range(rand, 0, G_N_ELEMENTS(numbers))];
		double tasks = 0; /* wide enough, and exact where it matters */
		Lp__ResultCode code;

		for (unsigned j = 0; j < n; j++) {
			counts[j] = numbers[g_rand_int_range(rand, 0, G_N_ELEMENTS(numbers))];
			tasks += (double)counts[j] * times;
		}
		code = submit_counts("a", counts, n, times);
		if (tasks > BATCH_TASKS_MAX) {
			assert_int_equal(code, LP__RESULT_CODE__RESULT_INVALID);
			continue;
		}
		assert_int_equal(code, LP__RESULT_CODE__RESULT_OK);
		assert_int_equal(batch_state_job(&batch, "a")->task_count, (int)tasks);
		batch_state_finish(&batch);
		assert_int_equal(set_up(NULL), 0);
	}
	g_rand_free(rand);
}

/* Guards against a snapshot with such a job, of a version that accepted it, which ends each replica
 * that loads it. */
static void test_wrapped_job_of_a_snapshot_is_dropped(void **state)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;
	Lp__BatchStep *steps[] = {&step, &step, &step, &step};
	Lp__BatchJob jobs[] = {LP__BATCH_JOB__INIT, LP__BATCH_JOB__INIT};
	Lp__BatchJobState states[] = {LP__BATCH_JOB_STATE__INIT, LP__BATCH_JOB_STATE__INIT};
	Lp__BatchJobState *list[] = {&states[0], &states[1]};
	Lp__BatchSnapshot snapshot = LP__BATCH_SNAPSHOT__INIT;
	g_autofree uint8_t *packed = NULL;

	step.count = 1U << 31;
	jobs[0].id = (char *)"wrapped";
	jobs[0].times = 1U << 31;
	jobs[0].steps = steps;
	jobs[0].n_steps = 4;
	jobs[1].id = (char *)"ended";
	for (unsigned i = 0; i < 2; i++) {
		states[i].seq = i + 1;
		states[i].job = &jobs[i];
	}
	states[1].state = BATCH_JOB_COMPLETE;
	snapshot.jobs = list;
	snapshot.n_jobs = 2;
	packed = g_malloc(lp__batch_snapshot__get_packed_size(&snapshot));
	assert_int_equal(
		batch_state_load(&batch, packed, lp__batch_snapshot__pack(&snapshot, packed)), 0);
	assert_null(batch_state_job(&batch, "wrapped"));
	assert_non_null(batch_state_job(&batch, "ended"));
}

/* Guards against an occurrence that is due at once, as the time when it is due wraps. */
static void test_due_times_do_not_wrap(void **state)
{
	static const uint64_t numbers[] = {1, 1700000000000, INT64_MAX, UINT64_MAX};
	Lp__BatchStep step = LP__BATCH_STEP__INIT;
	Lp__BatchStep *steps[] = {&step};

	step.count = 1;
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(numbers); j++) {
			Lp__BatchJob job = LP__BATCH_JOB__INIT;
			Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
			const batch_job_t *accepted;

			job.id = (char *)"a";
			job.host = (char *)"h";
			job.prefix = (char *)"/q/";
			job.times = 4;
			job.first_due_ms = numbers[i];
			job.interval_ms = numbers[j];
			job.steps = steps;
			job.n_steps = 1;
			command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
			command.submit = &job;
			assert_int_equal(apply(&command), LP__RESULT_CODE__RESULT_OK);
			accepted = batch_state_job(&batch, "a");
			assert_true(batch_step_due_ms(&accepted->steps[0]) == numbers[i]);
			for (unsigned k = 1; k < 4; k++)
				assert_true(batch_step_due_ms(&accepted->steps[k]) >=
					    MAX(batch_step_due_ms(&accepted->steps[k - 1]),
						numbers[j]));
			batch_state_finish(&batch);
			assert_int_equal(set_up(NULL), 0);
		}
	}
}

/* Guards against creating a second job from a repeated submission. */
static void test_repeated_submission_creates_one_job(void **state)
{
	assert_int_equal(submit("a", 2, false), LP__RESULT_CODE__RESULT_OK);
	apply_start("a", 0, 1, "vm", 1);
	assert_int_equal(submit("a", 2, false), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(g_hash_table_size(batch.by_id), 1);
	assert_int_equal(get_task("a", 0)->run, 1);
}

/* Guards against applying a start intent of a former leader that is committed after a start intent
 * of a later leader. */
static void test_start_intents_of_former_leaders_are_ignored(void **state)
{
	submit("a", 2, false);
	apply_start("a", 0, 1, "vm-2", 2);
	apply_start("a", 1, 1, "vm-1", 1);
	assert_int_equal(get_task("a", 0)->status, BATCH_TASK_ASSIGNED);
	assert_int_equal(get_task("a", 1)->status, BATCH_TASK_WAITING);
}

/* Guards against assigning a task again while it has a VM. */
static void test_assigned_task_keeps_its_vm(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm-1", 1);
	apply_start("a", 0, 2, "vm-2", 1);
	assert_string_equal(get_task("a", 0)->vm->id, "vm-1");
	assert_int_equal(get_task("a", 0)->run, 1);
}

/* Guards against counting a finished run twice when the VM lists it twice. */
static void test_finished_run_counts_once(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm", 1);
	apply_finished_run("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_FAILED);
	assert_int_equal(get_task("a", 0)->failures, 1);
	apply_finished_run("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_FAILED);
	assert_int_equal(get_task("a", 0)->failures, 1);
	assert_int_equal(batch_state_job(&batch, "a")->state, BATCH_JOB_RUNNING);
	apply_start("a", 0, 2, "vm", 1);
	apply_finished_run("a", 0, 2, "vm", 2, LP__BATCH_END_KIND__BATCH_END_FAILED);
	assert_int_equal(batch_state_job(&batch, "a")->state, BATCH_JOB_FAILED);
}

/* Guards against running a task again although a run that was considered lost has completed it. */
static void test_completion_of_a_lost_run_counts(void **state)
{
	submit("a", 2, false);
	apply_start("a", 0, 1, "vm", 1);
	apply_finished_run("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_LAPSED);
	apply_start("a", 0, 2, "vm", 1);
	apply_finished_run("a", 0, 1, "vm", 2, LP__BATCH_END_KIND__BATCH_END_DONE);
	assert_int_equal(get_task("a", 0)->status, BATCH_TASK_DONE);
	assert_non_null(get_task("a", 0)->vm);
}

/* Guards against running a gang again although one of its members is done. */
static void test_gang_completes_with_one_member(void **state)
{
	submit("g", 2, true);
	apply_start("g", 0, 1, "vm", 1);
	apply_start("g", 1, 1, "vm-2", 1);
	apply_finished_run("g", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_DONE);
	assert_int_equal(batch_state_job(&batch, "g")->state, BATCH_JOB_COMPLETE);
}

/* Guards against a job that cannot continue, or whose attempts are not limited any more, because
 * its queue was removed. */
static void test_job_keeps_its_service_when_its_queue_is_removed(void **state)
{
	submit("a", 1, false);
	assert_int_equal(set_config(3, false), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(batch_state_job(&batch, "a")->queue->attempts, 2);
	assert_string_equal(batch_state_job(&batch, "a")->service, "s");
	/* A configuration with a lower version must be ignored. */
	set_config(2, true);
	assert_int_equal(batch.config->version, 3);
}

/* Guards against a job without a service, accepted while the configuration that removes its queue
 * was being committed: it would never run (review/5). */
static void test_submission_without_a_queue_is_refused(void **state)
{
	set_config(2, false);
	assert_int_equal(submit("a", 1, false), LP__RESULT_CODE__RESULT_NOT_FOUND);
	assert_null(batch_state_job(&batch, "a"));
	set_config(3, true);
	assert_int_equal(submit("a", 1, false), LP__RESULT_CODE__RESULT_OK);
	/* A copy of an accepted submission. */
	set_config(4, false);
	assert_int_equal(submit("a", 1, false), LP__RESULT_CODE__RESULT_OK);
}

/* Guards against a failing task that is started for ever after the queue of its job was removed,
 * also by a member that has loaded a snapshot. */
static void test_attempts_are_limited_after_the_queue_is_removed(void **state)
{
	for (unsigned reloaded = 0; reloaded < 2; reloaded++) {
		const char *id = reloaded ? "b" : "a";

		set_config(10 + 2 * reloaded, true);
		submit(id, 1, false);
		apply_start(id, 0, 1, "vm", 1);
		apply_finished_run(id, 0, 1, "vm", 10 * reloaded + 1,
				   LP__BATCH_END_KIND__BATCH_END_FAILED);
		assert_int_equal(job_state(id), BATCH_JOB_RUNNING);
		set_config(11 + 2 * reloaded, false);
		if (reloaded)
			reload();
		apply_start(id, 0, 2, "vm", 1);
		apply_finished_run(id, 0, 2, "vm", 10 * reloaded + 2,
				   LP__BATCH_END_KIND__BATCH_END_FAILED);
		assert_int_equal(job_state(id), BATCH_JOB_FAILED);
	}
}

/* Guards against keeping ended jobs for ever, and against removing them before their retention
 * ends. */
static void test_ended_jobs_are_removed_after_retention(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm", 1);
	apply_finished_run("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_DONE);
	wall_ms += BATCH_ENDED_RETENTION_MS - 1;
	submit("b", 1, false);
	assert_non_null(batch_state_job(&batch, "a"));
	wall_ms += 2;
	submit("c", 1, false);
	assert_null(batch_state_job(&batch, "a"));
}

static void apply_random_command(GRand *rand, unsigned i)
{
	static const Lp__BatchEndKind kinds[] = {
		LP__BATCH_END_KIND__BATCH_END_DONE,
		LP__BATCH_END_KIND__BATCH_END_FAILED,
		LP__BATCH_END_KIND__BATCH_END_LAPSED,
	};
	g_autofree char *id = g_strdup_printf("j%d", g_rand_int_range(rand, 0, 12));
	g_autofree char *vm = g_strdup_printf("vm-%d", g_rand_int_range(rand, 0, 4));
	uint32_t index = (uint32_t)g_rand_int_range(rand, 0, 3);
	const batch_job_t *job = batch_state_job(&batch, id);
	const batch_task_t *task;

	if (job == NULL) {
		submit(id, 3, g_rand_int_range(rand, 0, 4) == 0);
		return;
	}
	task = get_task(id, index);
	if (task == NULL)
		return;
	if (task->vm == NULL)
		apply_start(id, index, task->run + 1, vm, 1);
	else
		apply_finished_run(id, index, task->run, task->vm->id, i + 1,
				   kinds[g_rand_int_range(rand, 0, 3)]);
}

/* Guards against a snapshot that loses data: a state loaded from it must give a snapshot of the
 * same length. */
static void test_snapshot_length_survives_loading(void **state)
{
	GRand *rand = g_rand_new_with_seed(11);

	for (unsigned i = 0; i < 600; i++) {
		size_t length;
		size_t again_length;
		uint8_t *data;
		uint8_t *again;

		apply_random_command(rand, i);
		if (i % 20 != 0)
			continue;
		data = batch_state_save(&batch, &length);
		assert_int_equal(batch_state_load(&batch, data, length), 0);
		/* Loading reverses the list of VMs, so loading twice restores its order. */
		again = batch_state_save(&batch, &again_length);
		assert_int_equal(length, again_length);
		free(data);
		assert_int_equal(batch_state_load(&batch, again, again_length), 0);
		free(again);
	}
	g_rand_free(rand);
}

/* Guards against a crash while a damaged snapshot is loaded; it may be refused or not. */
static void test_damaged_snapshot_does_not_crash(void **state)
{
	GRand *rand = g_rand_new_with_seed(12);
	uint8_t *data;
	size_t length;

	for (unsigned i = 0; i < 200; i++)
		apply_random_command(rand, i);
	data = batch_state_save(&batch, &length);
	for (unsigned i = 0; i < 300; i++) {
		size_t position = (size_t)g_rand_int_range(rand, 0, (gint32)length);
		uint8_t *copy = g_memdup2(data, length);
		batch_state_t other;

		copy[position] ^= (uint8_t)g_rand_int_range(rand, 1, 256);
		batch_state_init(&other);
		(void)batch_state_load(&other, copy, length);
		batch_state_finish(&other);
		g_free(copy);
	}
	free(data);
	g_rand_free(rand);
}

static void apply_order(batch_state_t *state, uint64_t term, uint64_t leader_ms,
			const char *machine, Lp__BatchOrderState order_state)
{
	Lp__BatchOrder order = LP__BATCH_ORDER__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	order.machine = (char *)machine;
	order.pool = (char *)"s";
	order.state = order_state;
	command.body_case = LP__BATCH_COMMAND__BODY_ORDER;
	command.order = &order;
	command.term = term;
	command.leader_ms = leader_ms;
	batch_test_apply(state, 1000, &command);
}

static uint64_t request_age_ms(const batch_state_t *state, const char *machine)
{
	const batch_request_t *request = g_hash_table_lookup(state->last_requests, machine);

	assert_non_null(request);
	return batch_request_age_us(state, request, state->clock_us) / US_PER_MS;
}

/* Guards against a fleet that does not move for the holder's lease after all processes were
 * restarted: the log tells how long ago each platform request had its result. A request without a
 * result, and the time between two leaders, must not count. */
static void test_request_age_survives_restart(void **state)
{
	uint8_t *snapshot;
	size_t length;

	/* All commands are replayed at the same local time, as at a start. */
	apply_order(&batch, 3, 1000, "old", LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT);
	apply_order(&batch, 3, 1200, "old", LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
	apply_order(&batch, 3, 1300, "open", LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT);
	apply_order(&batch, 3, 9000, "recent", LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
	assert_int_equal(request_age_ms(&batch, "old"), 7800);
	assert_int_equal(request_age_ms(&batch, "open"), 0);
	assert_int_equal(request_age_ms(&batch, "recent"), 0);
	/* The clock of the next leader begins at 0; a late command of the former one is ignored. */
	apply_order(&batch, 4, 500, "new", LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
	apply_order(&batch, 3, 20000, "stale", LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT);
	apply_order(&batch, 4, 2500, "newest", LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
	assert_int_equal(request_age_ms(&batch, "recent"), 2000);
	assert_int_equal(request_age_ms(&batch, "new"), 2000);
	snapshot = batch_state_save(&batch, &length);
	assert_int_equal(batch_state_load(&batch, snapshot, length), 0);
	free(snapshot);
	assert_int_equal(request_age_ms(&batch, "old"), 9800);
	assert_int_equal(request_age_ms(&batch, "open"), 0);
	/* Local time counts too, from when the command was applied. */
	batch.clock_us += 3 * US_PER_S;
	assert_int_equal(request_age_ms(&batch, "open"), 3000);
}

static void start_wave(uint64_t number, char **machines, size_t count, uint32_t max_down)
{
	Lp__BatchWave wave = LP__BATCH_WAVE__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	wave.wave = number;
	wave.machines = machines;
	wave.n_machines = count;
	wave.max_down = max_down;
	command.body_case = LP__BATCH_COMMAND__BODY_WAVE;
	command.wave = &wave;
	batch_test_apply(&batch, 1000, &command);
}

/* @return state of the machine in the wave after the command */
static Lp__BatchOrderState maintain(uint64_t number, const char *name, Lp__BatchOrderState state)
{
	const batch_wave_t *wave = batch_state_wave(&batch, number);
	Lp__BatchOrder order = LP__BATCH_ORDER__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	order.machine = (char *)name;
	order.wave = number;
	order.state = state;
	command.body_case = LP__BATCH_COMMAND__BODY_ORDER;
	command.order = &order;
	batch_test_apply(&batch, 1000, &command);
	for (size_t i = 0; i < wave->machine_count; i++) {
		if (strcmp(wave->machines[i].machine, name) == 0)
			return wave->machines[i].state;
	}
	return LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE;
}

/* Guards against more machines in maintenance than a wave allows, because the log commits a request
 * after its proposal has timed out, or because another wave has some of the same machines. */
static void test_log_keeps_the_limits_of_waves(void **state)
{
	char *first[] = {(char *)"a", (char *)"b", (char *)"c"};
	char *second[] = {(char *)"b", (char *)"c", (char *)"d"};
	const Lp__BatchOrderState sent = LP__BATCH_ORDER_STATE__BATCH_ORDER_SENT;
	const Lp__BatchOrderState none = LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE;
	const Lp__BatchOrderState done = LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE;

	start_wave(1, first, G_N_ELEMENTS(first), 1);
	start_wave(2, second, G_N_ELEMENTS(second), 2);
	assert_int_equal(maintain(1, "a", sent), sent);
	assert_int_equal(maintain(1, "b", sent), none);
	/* A repeated request keeps its slot. */
	assert_int_equal(maintain(1, "a", sent), sent);
	/* The first wave includes the machine too, and has reached its limit. */
	assert_int_equal(maintain(2, "b", sent), none);
	assert_int_equal(maintain(2, "d", sent), sent);
	assert_int_equal(maintain(1, "a", done), done);
	assert_int_equal(maintain(1, "b", sent), sent);
	/* In maintenance for the other wave, and both waves have reached their limits. */
	assert_int_equal(maintain(2, "b", sent), none);
	assert_int_equal(maintain(2, "c", sent), none);
	assert_int_equal(maintain(2, "d", done), done);
	assert_int_equal(maintain(1, "b", done), done);
	assert_int_equal(maintain(2, "c", sent), sent);
}

/* Guards against a machine that counts as maintained after a restart, because the entry of an
 * earlier wave is taken for the latest one. */
static void test_snapshot_keeps_the_latest_wave(void **state)
{
	char *machines[] = {(char *)"a"};
	const batch_wave_machine_t *machine;

	start_wave(1, machines, 1, 1);
	assert_int_equal(maintain(1, "a", LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE),
			 LP__BATCH_ORDER_STATE__BATCH_ORDER_DONE);
	start_wave(2, machines, 1, 1);
	for (unsigned i = 0; i < 2; i++) {
		size_t length;
		uint8_t *snapshot = batch_state_save(&batch, &length);

		assert_int_equal(batch_state_load(&batch, snapshot, length), 0);
		free(snapshot);
		machine = g_hash_table_lookup(batch.wave_machines, "a");
		assert_int_equal(machine->state, LP__BATCH_ORDER_STATE__BATCH_ORDER_NONE);
	}
}

static void apply_lost(const char *id, uint32_t index, uint32_t run, Lp__BatchCrash crash,
		       bool begun)
{
	Lp__BatchTask task = LP__BATCH_TASK__INIT;
	Lp__BatchEnd entry = LP__BATCH_END__INIT;
	Lp__BatchEnd *entries[] = {&entry};
	Lp__BatchLost lost = LP__BATCH_LOST__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	task.job = batch_state_job(&batch, id)->seq;
	task.index = index;
	task.run = run;
	entry.task = &task;
	entry.crash = crash;
	entry.begun = begun;
	lost.runs = entries;
	lost.n_runs = 1;
	command.body_case = LP__BATCH_COMMAND__BODY_LOST;
	command.lost = &lost;
	apply(&command);
}

static void apply_lost_run(const char *id, uint32_t index, uint32_t run, Lp__BatchCrash crash)
{
	apply_lost(id, index, run, crash, false);
}

/* Guards against crashes of VMs that are forgotten in a snapshot, and a job that is started again
 * although two VMs have crashed because of it. */
static void test_snapshot_keeps_crashes(void **state)
{
	submit("a", 2, false);
	apply_start("a", 1, 1, "vm-1", 1);
	apply_lost_run("a", 1, 1, LP__BATCH_CRASH__BATCH_CRASH_SUSPECT);
	reload();
	assert_int_equal(get_task("a", 1)->crashes, 1);
	assert_int_equal(get_task("a", 1)->seen_crashes, 1);
	assert_int_equal(get_task("a", 0)->crashes, 0);
	apply_start("a", 1, 2, "vm-2", 1);
	reload();
	assert_int_equal(job_state("a"), BATCH_JOB_RUNNING);
	apply_lost_run("a", 1, 2, LP__BATCH_CRASH__BATCH_CRASH_CAUSE);
	assert_int_equal(job_state("a"), BATCH_JOB_FAILED);
}

/* Guards against giving up a job under which fewer than two VMs have certainly crashed, and against
 * starting a task for ever whose starts no leader has seen. */
static void test_jobs_are_given_up_by_crashes(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm-1", 1);
	apply_lost_run("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_UNSURE);
	apply_start("a", 0, 2, "vm-2", 1);
	apply_lost_run("a", 0, 2, LP__BATCH_CRASH__BATCH_CRASH_CAUSE);
	assert_int_equal(job_state("a"), BATCH_JOB_RUNNING);
	apply_start("a", 0, 3, "vm-3", 1);
	apply_lost_run("a", 0, 3, LP__BATCH_CRASH__BATCH_CRASH_NONE);
	assert_int_equal(get_task("a", 0)->crashes, 2);
	apply_start("a", 0, 4, "vm-4", 1);
	apply_lost_run("a", 0, 4, LP__BATCH_CRASH__BATCH_CRASH_UNSURE);
	assert_int_equal(job_state("a"), BATCH_JOB_RUNNING);
	apply_start("a", 0, 5, "vm-5", 1);
	apply_lost_run("a", 0, 5, LP__BATCH_CRASH__BATCH_CRASH_UNSURE);
	assert_int_equal(job_state("a"), BATCH_JOB_FAILED);
}

/* Guards against counting the crash of a VM twice, or for a later run. */
static void test_lost_run_counts_one_crash(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm-1", 1);
	apply_lost_run("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_SUSPECT);
	apply_lost_run("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_SUSPECT);
	apply_start("a", 0, 2, "vm-2", 1);
	apply_lost_run("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_CAUSE);
	assert_int_equal(get_task("a", 0)->crashes, 1);
	assert_int_equal(job_state("a"), BATCH_JOB_RUNNING);
}

static bool job_begun(void *arg, const batch_job_t *job)
{
	return job->begun || job->begun_seen;
}

static uint32_t count_waiting(void)
{
	batch_queued_t queued;
	uint32_t count;

	batch_queued_init(&queued, job_begun, NULL);
	count = batch_queued_count(&queued, &batch, batch.config->queues[0], wall_ms, 1);
	batch_queued_finish(&queued);
	return count;
}

/* Guards against a job that is left out of the waiting ones because a task was assigned to a VM
 * that has never begun it. */
static void test_assigned_jobs_wait_until_they_begin(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm-1", 1);
	assert_int_equal(count_waiting(), 1);
	apply_lost_run("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_NONE);
	assert_int_equal(count_waiting(), 1);
	apply_start("a", 0, 2, "vm-2", 1);
	apply_finished_run("a", 0, 2, "vm-2", 1, LP__BATCH_END_KIND__BATCH_END_ALONE);
	reload();
	assert_int_equal(count_waiting(), 1);
	apply_start("a", 0, 3, "vm-3", 1);
	apply_finished_run("a", 0, 3, "vm-3", 1, LP__BATCH_END_KIND__BATCH_END_FAILED);
	reload();
	assert_int_equal(job_state("a"), BATCH_JOB_RUNNING);
	assert_int_equal(count_waiting(), 0);
}

/* Guards against a job that waits again when the VM that had begun it is lost. */
static void test_begun_jobs_do_not_wait_again(void **state)
{
	submit("a", 1, false);
	apply_start("a", 0, 1, "vm-1", 1);
	apply_lost("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_NONE, true);
	reload();
	assert_int_equal(count_waiting(), 0);
}

/* Guards against a walk over all jobs for each query of the number of waiting jobs. */
static void test_waiting_jobs_are_counted_for_many_queries(void **state)
{
	const Lp__BatchQueue *queue = batch.config->queues[0];
	batch_queued_t queued;

	batch_queued_init(&queued, job_begun, NULL);
	submit("a", 1, false);
	submit("b", 1, false);
	apply_start("b", 0, 1, "vm-1", 1);
	apply_finished_run("b", 0, 1, "vm-1", 1, LP__BATCH_END_KIND__BATCH_END_FAILED);
	for (unsigned i = 0; i < 1000; i++)
		assert_int_equal(batch_queued_count(&queued, &batch, queue, wall_ms, 1 + i), 1);
	assert_int_equal(queued.walks, 1);
	submit("c", 1, false);
	assert_int_equal(
		batch_queued_count(&queued, &batch, queue, wall_ms, 1 + BATCH_QUEUED_AGE_US), 2);
	batch_queued_finish(&queued);
}

/* Guards against a step that is never placed again, because it counts a start intent for ever: the
 * run of an earlier intent was lost while the intent was being committed. */
static void test_lost_run_keeps_the_pending_intent(void **state)
{
	batch_task_t *task;

	submit("a", 1, false);
	apply_start("a", 0, 1, "vm-1", 1);
	task = batch_job_task(batch_state_job(&batch, "a"), 0, 0, 0);
	task->local.intent_pending = true;
	task->step->pending_intents = 1;
	apply_lost_run("a", 0, 1, LP__BATCH_CRASH__BATCH_CRASH_NONE);
	assert_int_equal(task->status, BATCH_TASK_WAITING);
	assert_true(task->local.intent_pending);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_active_tasks_are_counted, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_jobs_whose_task_count_wraps_are_refused,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_task_counts_are_checked_exactly, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_wrapped_job_of_a_snapshot_is_dropped, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_due_times_do_not_wrap, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_repeated_submission_creates_one_job, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_start_intents_of_former_leaders_are_ignored,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_assigned_task_keeps_its_vm, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_finished_run_counts_once, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_completion_of_a_lost_run_counts, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_gang_completes_with_one_member, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_job_keeps_its_service_when_its_queue_is_removed, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_submission_without_a_queue_is_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_attempts_are_limited_after_the_queue_is_removed, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_ended_jobs_are_removed_after_retention, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_length_survives_loading, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_damaged_snapshot_does_not_crash, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_request_age_survives_restart, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_log_keeps_the_limits_of_waves, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_keeps_the_latest_wave, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_keeps_crashes, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_jobs_are_given_up_by_crashes, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_assigned_jobs_wait_until_they_begin, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_begun_jobs_do_not_wait_again, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_waiting_jobs_are_counted_for_many_queries,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_lost_run_keeps_the_pending_intent, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_lost_run_counts_one_crash, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
