#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batch_state.h"
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

static void start(const char *id, uint32_t index, uint32_t run, const char *vm, uint64_t term)
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

static void end(const char *id, uint32_t index, uint32_t run, const char *vm, uint64_t number,
		Lp__BatchEndKind kind)
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

static const batch_task_t *task_of(const char *id, uint32_t index)
{
	return batch_job_task(batch_state_job(&batch, id), 0, 0, index);
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

/* Guards against a repeated submission that becomes a second job. */
static void test_repeated_submission_is_one_job(void **state)
{
	assert_int_equal(submit("a", 2, false), LP__RESULT_CODE__RESULT_OK);
	start("a", 0, 1, "vm", 1);
	assert_int_equal(submit("a", 2, false), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(g_hash_table_size(batch.by_id), 1);
	assert_int_equal(task_of("a", 0)->run, 1);
}

/* Guards against the intent of a deposed leader that is recorded after its successor's. */
static void test_intents_of_earlier_leaders_are_void(void **state)
{
	submit("a", 2, false);
	start("a", 0, 1, "vm-2", 2);
	start("a", 1, 1, "vm-1", 1);
	assert_int_equal(task_of("a", 0)->status, BATCH_TASK_ASSIGNED);
	assert_int_equal(task_of("a", 1)->status, BATCH_TASK_WAITING);
}

/* Guards against a second assignment of a task that has a VM. */
static void test_assigned_task_keeps_its_vm(void **state)
{
	submit("a", 1, false);
	start("a", 0, 1, "vm-1", 1);
	start("a", 0, 2, "vm-2", 1);
	assert_string_equal(task_of("a", 0)->vm->id, "vm-1");
	assert_int_equal(task_of("a", 0)->run, 1);
}

/* Guards against ends that are counted again when a VM lists them twice. */
static void test_ends_count_once(void **state)
{
	submit("a", 1, false);
	start("a", 0, 1, "vm", 1);
	end("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_FAILED);
	assert_int_equal(task_of("a", 0)->failures, 1);
	end("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_FAILED);
	assert_int_equal(task_of("a", 0)->failures, 1);
	assert_int_equal(batch_state_job(&batch, "a")->state, BATCH_JOB_RUNNING);
	start("a", 0, 2, "vm", 1);
	end("a", 0, 2, "vm", 2, LP__BATCH_END_KIND__BATCH_END_FAILED);
	assert_int_equal(batch_state_job(&batch, "a")->state, BATCH_JOB_FAILED);
}

/* Guards against a run that was taken for lost and has ended done all the same: the task must not
 * run again. */
static void test_done_end_of_an_earlier_run_counts(void **state)
{
	submit("a", 2, false);
	start("a", 0, 1, "vm", 1);
	end("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_LAPSED);
	start("a", 0, 2, "vm", 1);
	end("a", 0, 1, "vm", 2, LP__BATCH_END_KIND__BATCH_END_DONE);
	assert_int_equal(task_of("a", 0)->status, BATCH_TASK_DONE);
	assert_non_null(task_of("a", 0)->vm);
}

/* Guards against a gang that runs again although one of its members has ended done. */
static void test_gang_is_done_with_one_member(void **state)
{
	submit("g", 2, true);
	start("g", 0, 1, "vm", 1);
	start("g", 1, 1, "vm-2", 1);
	end("g", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_DONE);
	assert_int_equal(batch_state_job(&batch, "g")->state, BATCH_JOB_COMPLETE);
}

/* Guards against a job that cannot go on because its queue was removed. */
static void test_job_keeps_its_service_without_a_queue(void **state)
{
	submit("a", 1, false);
	assert_int_equal(set_config(3, false), LP__RESULT_CODE__RESULT_OK);
	assert_null(batch_state_job(&batch, "a")->queue);
	assert_string_equal(batch_state_job(&batch, "a")->service, "s");
	/* An older version changes nothing. */
	set_config(2, true);
	assert_int_equal(batch.config->version, 3);
}

/* Guards against jobs that are kept for ever, or forgotten while clients still ask. */
static void test_ended_jobs_are_forgotten_in_time(void **state)
{
	submit("a", 1, false);
	start("a", 0, 1, "vm", 1);
	end("a", 0, 1, "vm", 1, LP__BATCH_END_KIND__BATCH_END_DONE);
	wall_ms += BATCH_ENDED_RETENTION_MS - 1;
	submit("b", 1, false);
	assert_non_null(batch_state_job(&batch, "a"));
	wall_ms += 2;
	submit("c", 1, false);
	assert_null(batch_state_job(&batch, "a"));
}

static void random_step(GRand *rand, unsigned i)
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
	task = task_of(id, index);
	if (task == NULL)
		return;
	if (task->vm == NULL)
		start(id, index, task->run + 1, vm, 1);
	else
		end(id, index, task->run, task->vm->id, i + 1, kinds[g_rand_int_range(rand, 0, 3)]);
}

/* Guards against a snapshot that loses something: a replica that loads it goes on as the one that
 * wrote it. */
static void test_snapshot_keeps_everything(void **state)
{
	GRand *rand = g_rand_new_with_seed(11);

	for (unsigned i = 0; i < 600; i++) {
		size_t length;
		size_t again_length;
		uint8_t *data;
		uint8_t *again;

		random_step(rand, i);
		if (i % 20 != 0)
			continue;
		data = batch_state_save(&batch, &length);
		assert_int_equal(batch_state_load(&batch, data, length), 0);
		/* The order of the VMs in memory may differ; a second pass has the same one. */
		again = batch_state_save(&batch, &again_length);
		assert_int_equal(length, again_length);
		free(data);
		assert_int_equal(batch_state_load(&batch, again, again_length), 0);
		free(again);
	}
	g_rand_free(rand);
}

/* Guards against a damaged snapshot that ends the process instead of being refused. */
static void test_damaged_snapshot_is_refused(void **state)
{
	GRand *rand = g_rand_new_with_seed(12);
	uint8_t *data;
	size_t length;

	for (unsigned i = 0; i < 200; i++)
		random_step(rand, i);
	data = batch_state_save(&batch, &length);
	for (unsigned i = 0; i < 300; i++) {
		size_t at = (size_t)g_rand_int_range(rand, 0, (gint32)length);
		uint8_t *copy = g_memdup2(data, length);
		batch_state_t other;

		copy[at] ^= (uint8_t)g_rand_int_range(rand, 1, 256);
		batch_state_init(&other);
		(void)batch_state_load(&other, copy, length);
		batch_state_finish(&other);
		g_free(copy);
	}
	free(data);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_repeated_submission_is_one_job, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_intents_of_earlier_leaders_are_void, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_assigned_task_keeps_its_vm, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_ends_count_once, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_done_end_of_an_earlier_run_counts, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_gang_is_done_with_one_member, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_job_keeps_its_service_without_a_queue, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_ended_jobs_are_forgotten_in_time, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_keeps_everything, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_damaged_snapshot_is_refused, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
