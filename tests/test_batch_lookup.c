#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <glib.h>

#include "batch_lookup.h"
#include "lib_batch.h"

#define ID "5c0e7a21d94b36f8"

static batch_state_t batch;
static uint64_t version;

typedef struct {
	const char *host;
	const char *prefix;
	bool is_public;
} place_t;

static void configure(const place_t *places, unsigned count)
{
	Lp__BatchService service = LP__BATCH_SERVICE__INIT;
	Lp__BatchService *services[] = {&service};
	Lp__BatchQueue queues[4];
	Lp__BatchQueue *list[4];
	Lp__BatchConfig config = LP__BATCH_CONFIG__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	service.name = (char *)"s";
	config.version = ++version;
	config.services = services;
	config.n_services = 1;
	config.queues = list;
	config.n_queues = count;
	for (unsigned i = 0; i < count; i++) {
		lp__batch_queue__init(&queues[i]);
		queues[i].host = (char *)places[i].host;
		queues[i].prefix = (char *)places[i].prefix;
		queues[i].service = (char *)"s";
		queues[i].is_public = places[i].is_public;
		list[i] = &queues[i];
	}
	command.body_case = LP__BATCH_COMMAND__BODY_CONFIG;
	command.config = &config;
	assert_int_equal(batch_test_apply(&batch, 1000, &command), LP__RESULT_CODE__RESULT_OK);
}

static Lp__ResultCode submit_for(const char *organisation, const char *host, const char *prefix,
				 const char *id)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;
	Lp__BatchStep *steps[] = {&step};
	Lp__BatchJob job = LP__BATCH_JOB__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	step.count = 1;
	job.id = (char *)id;
	job.host = (char *)host;
	job.prefix = (char *)prefix;
	job.organisation = (char *)organisation;
	job.steps = steps;
	job.n_steps = 1;
	command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
	command.submit = &job;
	return batch_test_apply(&batch, 1000, &command);
}

static Lp__ResultCode submit(const char *host, const char *prefix, const char *id)
{
	return submit_for("", host, prefix, id);
}

static void cancel(const char *host, const char *prefix, const char *id)
{
	Lp__BatchCancel message = LP__BATCH_CANCEL__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	message.id = (char *)id;
	message.host = (char *)host;
	message.prefix = (char *)prefix;
	command.body_case = LP__BATCH_COMMAND__BODY_CANCEL;
	command.cancel = &message;
	assert_int_equal(batch_test_apply(&batch, 1000, &command), LP__RESULT_CODE__RESULT_OK);
}

static int set_up(void **state)
{
	batch_state_init(&batch);
	version = 0;
	return 0;
}

static int tear_down(void **state)
{
	batch_state_finish(&batch);
	return 0;
}

/* @param prefix of the queue that the call must find; NULL: none
 * @param job whether it must find the job */
static void check(const char *host, const char *path, const char *prefix, bool job)
{
	batch_lookup_t found = batch_lookup(&batch, host, path);

	if (prefix == NULL)
		assert_null(found.queue);
	else
		assert_string_equal(found.queue->prefix, prefix);
	assert_int_equal(found.job != NULL, job);
}

/* Guards against a job that is not found, or is taken for another one, because a configuration has
 * added, removed or renamed queues since it was accepted. */
static void test_job_stays_at_its_path(void **state)
{
	const place_t nested[] = {{.host = "h", .prefix = "/q/"},
				  {.host = "h", .prefix = "/q/in/"}};
	const place_t overlapping[] = {{.host = "h", .prefix = "/q/"},
				       {.host = "h", .prefix = "/q/in/"},
				       {.host = "h", .prefix = "/q/in/5c"}};
	const place_t renamed[] = {{.host = "H", .prefix = "/q/in/"}};
	const place_t other_host[] = {{.host = "i", .prefix = "/q/in/"}};

	configure(nested, 2);
	assert_int_equal(submit("h", "/q/in/", ID), LP__RESULT_CODE__RESULT_OK);
	check("h", "/q/in/" ID, "/q/in/", true);
	check("h", "/q/" ID, "/q/", false);
	configure(nested, 1);
	check("h", "/q/in/" ID, NULL, true);
	configure(overlapping, 3);
	check("h", "/q/in/" ID, NULL, true);
	configure(renamed, 1);
	check("h", "/q/in/" ID, "/q/in/", true);
	configure(other_host, 1);
	check("h", "/q/in/" ID, NULL, true);
	check("i", "/q/in/" ID, "/q/in/", false);
	configure(NULL, 0);
	check("H", "/q/in/" ID, NULL, true);
	check("h", "/q/in/" ID "0", NULL, false);
}

/* Guards against a queue that takes calls for a removed queue below it. */
static void test_queue_takes_ids_only(void **state)
{
	const place_t outer = {.host = "h", .prefix = "/q/"};

	configure(&outer, 1);
	check("h", "/q/", "/q/", false);
	check("h", "/q/" ID, "/q/", false);
	check("h", "/q/5C0E7A21D94B36F8", "/q/", false);
	check("h", "/q/in/", NULL, false);
	check("h", "/q/in/" ID, NULL, false);
	check("h", "/q/in" ID, NULL, false);
	check("h", "/q/" ID "/", NULL, false);
	check("h",
	      "/q/\xff\xff"
	      "0e7a21d94b36f8",
	      NULL, false);
	check("h", "/q", NULL, false);
	check("h", "", NULL, false);
	check("", "/q/" ID, NULL, false);
}

/* Guards against an answer that a job was accepted, when another queue's job has its id. */
static void test_id_of_another_queue_is_refused(void **state)
{
	const place_t places[] = {{.host = "h", .prefix = "/q/"},
				  {.host = "h", .prefix = "/q/in/"}};

	configure(places, 2);
	assert_int_equal(submit("h", "/q/", ID), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(submit("h", "/q/", ID), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(submit("h", "/q/in/", ID), LP__RESULT_CODE__RESULT_CONFLICT);
	check("h", "/q/in/" ID, "/q/in/", false);
}

/* Guards against jobs of a removed queue that anybody can read and cancel, or that nobody can, as
 * the configuration does not tell any more whether calls need a key. */
static void test_jobs_of_removed_queues_need_the_same_keys(void **state)
{
	static const char *const paths[] = {"/p/" ID, "/k/6c0e7a21d94b36f8"};
	const place_t places[] = {{.host = "h", .prefix = "/p/", .is_public = true},
				  {.host = "h", .prefix = "/k/"}};

	configure(places, 2);
	assert_int_equal(submit_for("", "h", "/p/", ID), LP__RESULT_CODE__RESULT_OK);
	assert_int_equal(submit_for("a", "h", "/k/", "6c0e7a21d94b36f8"),
			 LP__RESULT_CODE__RESULT_OK);
	for (unsigned archived = 0; archived <= 1; archived++) {
		for (unsigned i = 0; i < 2; i++) {
			batch_lookup_t found;

			configure(places, 2);
			found = batch_lookup(&batch, "h", paths[i]);
			assert_int_equal(batch_lookup_is_public(&found), i == 0);
			configure(NULL, 0);
			found = batch_lookup(&batch, "h", paths[i]);
			assert_non_null(found.job);
			assert_int_equal(found.job->queue == NULL, archived);
			assert_int_equal(batch_lookup_is_public(&found), i == 0);
		}
		cancel("h", "/p/", ID);
		cancel("h", "/k/", "6c0e7a21d94b36f8");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_job_stays_at_its_path, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_queue_takes_ids_only, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_jobs_of_removed_queues_need_the_same_keys,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_id_of_another_queue_is_refused, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
