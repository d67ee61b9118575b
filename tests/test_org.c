#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batch_order.h"
#include "clock.h"
#include "lib_batch.h"
#include "org_access.h"
#include "org_keys.h"
#include "org_shares.h"

#define KEYS_MAX 3
#define ORGANISATIONS_MAX 4

/* --- configurations --- */

typedef struct {
	const char *name;
	const char *keys[KEYS_MAX];
	uint64_t cpu_limit_milli;
	uint32_t weight;
} test_org_t;

/* A configuration message with its parts. */
typedef struct {
	Lp__BatchConfig config;
	Lp__BatchQueue queue;
	Lp__BatchQueue *queues[1];
	Lp__BatchService service;
	Lp__BatchService *services[1];
	Lp__BatchOrganisation organisations[ORGANISATIONS_MAX];
	Lp__BatchOrganisation *list[ORGANISATIONS_MAX];
	Lp__BatchLimits limits[ORGANISATIONS_MAX];
	ProtobufCBinaryData keys[ORGANISATIONS_MAX][KEYS_MAX];
	uint8_t digests[ORGANISATIONS_MAX][KEYS_MAX][ORG_KEY_DIGEST_BYTES];
} test_config_t;

static void add_organisation(test_config_t *test, const test_org_t *org)
{
	size_t n = test->config.n_organisations++;
	Lp__BatchOrganisation *organisation = &test->organisations[n];

	lp__batch_organisation__init(organisation);
	lp__batch_limits__init(&test->limits[n]);
	organisation->name = (char *)org->name;
	organisation->weight_milli = org->weight * 1000;
	organisation->limits = &test->limits[n];
	organisation->limits->cpu_milli = org->cpu_limit_milli;
	organisation->keys = test->keys[n];
	for (size_t i = 0; i < KEYS_MAX && org->keys[i] != NULL; i++) {
		org_key_digest(org->keys[i], test->digests[n][i]);
		test->keys[n][organisation->n_keys++] = (ProtobufCBinaryData){
			.data = test->digests[n][i], .len = ORG_KEY_DIGEST_BYTES};
	}
	test->list[n] = organisation;
}

static void make_config(test_config_t *test, uint64_t version, const test_org_t *orgs, size_t count)
{
	lp__batch_config__init(&test->config);
	lp__batch_queue__init(&test->queue);
	lp__batch_service__init(&test->service);
	test->service.name = (char *)"s";
	test->queue.name = (char *)"q";
	test->queue.host = (char *)"h";
	test->queue.prefix = (char *)"/q/";
	test->queue.service = (char *)"s";
	test->queue.timeout_ms = 3000;
	test->queue.attempts = 2;
	test->queue.objective_ms = 600;
	test->queue.stretch_percent = 160;
	test->queues[0] = &test->queue;
	test->services[0] = &test->service;
	test->config.version = version;
	test->config.queues = test->queues;
	test->config.n_queues = 1;
	test->config.services = test->services;
	test->config.n_services = 1;
	test->config.organisations = test->list;
	test->config.checks_keys = true;
	for (size_t i = 0; i < count; i++)
		add_organisation(test, &orgs[i]);
}

static void configure(batch_state_t *state, uint64_t version, const test_org_t *orgs, size_t count)
{
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	test_config_t test;

	make_config(&test, version, orgs, count);
	command.body_case = LP__BATCH_COMMAND__BODY_CONFIG;
	command.config = &test.config;
	assert_int_equal(batch_test_apply(state, 1000, &command), LP__RESULT_CODE__RESULT_OK);
}

/* --- keys --- */

static ProtobufCBinaryData digest_of(const char *key, uint8_t buffer[ORG_KEY_DIGEST_BYTES])
{
	org_key_digest(key, buffer);
	return (ProtobufCBinaryData){.data = buffer, .len = ORG_KEY_DIGEST_BYTES};
}

static org_caller_t identify(org_access_t *access, test_config_t *test, const char *key)
{
	uint8_t buffer[ORG_KEY_DIGEST_BYTES];
	ProtobufCBinaryData digest = {0};

	if (key != NULL)
		digest = digest_of(key, buffer);
	return org_access_identify(access, &test->config, test->queue.name, test->queue.is_public,
				   &digest, 1, 5000);
}

/* Guards against a call that is accepted without a known key, and against a key that counts for
 * another organisation. */
static void test_keys_identify_organisations(void **state)
{
	static const test_org_t orgs[] = {{.name = "a", .keys = {"ka1", "ka2"}},
					  {.name = "none"},
					  {.name = "b", .keys = {"kb"}}};
	metrics_t *metrics = metrics_create();
	org_access_t access;
	test_config_t test;

	org_access_init(&access, metrics);
	make_config(&test, 1, orgs, 3);
	assert_string_equal(identify(&access, &test, "ka1").organisation, "a");
	assert_string_equal(identify(&access, &test, "ka2").organisation, "a");
	assert_string_equal(identify(&access, &test, "kb").organisation, "b");
	assert_false(identify(&access, &test, "kc").known);
	assert_false(identify(&access, &test, "").known);
	assert_false(identify(&access, &test, "ka").known);
	assert_false(identify(&access, &test, NULL).known);
	assert_int_equal(metrics_get(access.missing), 1);
	assert_int_equal(metrics_get(access.unknown), 3);
	org_access_finish(&access);
	metrics_destroy(metrics);
}

/* Guards against a digest of another size that matches because only a part is compared. */
static void test_short_digests_match_nothing(void **state)
{
	static const test_org_t orgs[] = {{.name = "a", .keys = {"ka"}}};
	uint8_t buffer[ORG_KEY_DIGEST_BYTES];
	ProtobufCBinaryData digest = digest_of("ka", buffer);
	test_config_t test;

	make_config(&test, 1, orgs, 1);
	assert_non_null(org_keys_find(&test.config, &digest));
	for (digest.len = 0; digest.len < ORG_KEY_DIGEST_BYTES; digest.len++)
		assert_null(org_keys_find(&test.config, &digest));
}

/* Guards against keys that are wanted where the configuration wants none. */
static void test_public_queues_and_old_configurations_need_no_key(void **state)
{
	static const test_org_t orgs[] = {{.name = "a", .keys = {"ka"}}};
	metrics_t *metrics = metrics_create();
	org_access_t access;
	test_config_t test;

	org_access_init(&access, metrics);
	make_config(&test, 1, orgs, 1);
	test.queue.is_public = true;
	assert_true(identify(&access, &test, NULL).known);
	assert_string_equal(identify(&access, &test, "ka").organisation, "");
	test.queue.is_public = false;
	assert_false(identify(&access, &test, NULL).known);
	test.config.checks_keys = false;
	assert_true(identify(&access, &test, NULL).known);
	/* An empty list of organisations has no keys, and admits nobody. */
	test.config.checks_keys = true;
	test.config.n_organisations = 0;
	assert_false(identify(&access, &test, "ka").known);
	org_access_finish(&access);
	metrics_destroy(metrics);
}

/* Guards against shown text from which a key can be found. */
static void test_keys_are_not_shown(void **state)
{
	static const test_org_t orgs[] = {{.name = "a", .keys = {"secret-key-1"}}};
	metrics_t *metrics = metrics_create();
	org_access_t access;
	test_config_t test;
	char *text;

	org_access_init(&access, metrics);
	make_config(&test, 1, orgs, 1);
	assert_true(identify(&access, &test, "secret-key-1").known);
	text = metrics_render(metrics);
	assert_non_null(strstr(text, "org_key_last_accepted_seconds{key=\"a6c1eaef\"} 5"));
	assert_null(strstr(text, "secret"));
	free(text);
	org_access_finish(&access);
	metrics_destroy(metrics);
}

/* Guards against a configuration in which it is not clear whose call it is. */
static void test_shared_keys_and_names_are_invalid(void **state)
{
	static const test_org_t shared[] = {{.name = "a", .keys = {"k1", "k2"}},
					    {.name = "b", .keys = {"k3", "k1"}}};
	static const test_org_t same_name[] = {{.name = "a"}, {.name = "a"}};
	static const test_org_t repeated[] = {{.name = "a", .keys = {"k1", "k1"}}, {.name = "b"}};
	char error[128] = "";
	test_config_t test;

	make_config(&test, 1, shared, 2);
	assert_int_equal(batch_config_check(&test.config, error, sizeof(error)), -1);
	assert_string_equal(error, "organisations \"a\" and \"b\" share a key");
	make_config(&test, 1, same_name, 2);
	assert_int_equal(batch_config_check(&test.config, error, sizeof(error)), -1);
	assert_string_equal(error, "two organisations have the name \"a\"");
	make_config(&test, 1, repeated, 2);
	assert_int_equal(batch_config_check(&test.config, error, sizeof(error)), 0);
}

/* --- limits --- */

static batch_state_t batch;

static Lp__BatchStep make_step(uint32_t count, uint32_t cpu_milli, bool gang)
{
	Lp__BatchStep step = LP__BATCH_STEP__INIT;

	step.count = count;
	step.cpu_milli = cpu_milli;
	step.estimate_ms = 1000;
	step.gang = gang;
	return step;
}

static void submit(const char *id, const char *organisation, Lp__BatchStep step)
{
	assert_int_equal(batch_test_submit_for(&batch, 1000, id, organisation, &step),
			 LP__RESULT_CODE__RESULT_OK);
}

/* Applies a start intent for the first tasks of the job's only step, each on a VM of its own. */
static void start(const char *id, uint32_t count, uint64_t term)
{
	const batch_job_t *job = batch_state_job(&batch, id);
	Lp__BatchTask tasks[8];
	Lp__BatchTask *task_list[8];
	Lp__BatchStart entries[8];
	Lp__BatchStart *list[8];
	char names[8][8];
	Lp__BatchStarts starts = LP__BATCH_STARTS__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	for (uint32_t i = 0; i < count; i++) {
		batch_task_ref(batch_job_task(batch_state_job(&batch, id), 0, 0, i), &tasks[i]);
		tasks[i].run = job->steps[0].tasks[i].run + 1;
		task_list[i] = &tasks[i];
		lp__batch_start__init(&entries[i]);
		g_snprintf(names[i], sizeof(names[i]), "vm%u", i);
		entries[i].vm = names[i];
		entries[i].born_ms = 5;
		entries[i].tasks = &task_list[i];
		entries[i].n_tasks = 1;
		list[i] = &entries[i];
	}
	starts.starts = list;
	starts.n_starts = count;
	starts.term = term;
	command.body_case = LP__BATCH_COMMAND__BODY_STARTS;
	command.starts = &starts;
	batch_test_apply(&batch, 1000, &command);
}

static void lose(const char *id, uint32_t index)
{
	Lp__BatchTask task;
	Lp__BatchEnd end = LP__BATCH_END__INIT;
	Lp__BatchEnd *list[] = {&end};
	Lp__BatchLost lost = LP__BATCH_LOST__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	batch_task_ref(batch_job_task(batch_state_job(&batch, id), 0, 0, index), &task);
	end.task = &task;
	lost.runs = list;
	lost.n_runs = 1;
	command.body_case = LP__BATCH_COMMAND__BODY_LOST;
	command.lost = &lost;
	batch_test_apply(&batch, 1000, &command);
}

static void reload(void)
{
	size_t length;
	uint8_t *snapshot = batch_state_save(&batch, &length);

	assert_int_equal(batch_state_load(&batch, snapshot, length), 0);
	free(snapshot);
}

static const org_account_t *account(const char *name)
{
	return org_accounts_find(&batch.organisations, name);
}

static const test_org_t limited[] = {{.name = "a", .cpu_limit_milli = 3500, .weight = 1},
				     {.name = "b", .weight = 1}};

/* Guards against start intents of two leaders that together exceed the limit of an organisation:
 * each leader knows only its own when it proposes them. */
static void test_start_intents_beyond_the_limit_are_not_applied(void **state)
{
	configure(&batch, 1, limited, 2);
	submit("one", "a", make_step(2, 1000, false));
	submit("two", "a", make_step(3, 1000, false));
	submit("three", "b", make_step(5, 1000, false));
	start("one", 2, 1);
	start("two", 3, 2);
	start("three", 5, 2);
	assert_int_equal(account("a")->used.cpu_milli, 3000);
	assert_int_equal(batch_state_job(&batch, "two")->steps[0].assigned, 1);
	assert_int_equal(batch_state_job(&batch, "three")->steps[0].assigned, 5);
	/* Room is free again only when the loss of a run is certain. */
	lose("one", 0);
	assert_int_equal(account("a")->used.cpu_milli, 2000);
	start("two", 3, 2);
	assert_int_equal(account("a")->used.cpu_milli, 3000);
}

/* Guards against a gang of which the limit admits some members: they would wait for the others. */
static void test_gangs_start_within_the_limit_or_not_at_all(void **state)
{
	configure(&batch, 1, limited, 2);
	submit("task", "a", make_step(1, 1000, false));
	submit("gang", "a", make_step(3, 1000, true));
	start("task", 1, 1);
	start("gang", 3, 1);
	assert_int_equal(batch_state_job(&batch, "gang")->steps[0].assigned, 0);
	lose("task", 0);
	start("gang", 3, 1);
	assert_int_equal(batch_state_job(&batch, "gang")->steps[0].assigned, 3);
	assert_int_equal(account("a")->used.cpu_milli, 3000);
	assert_int_equal(account("a")->reserved.cpu_milli, 0);
}

/* Guards against a limit that is lost when its organisation is removed, or with a snapshot. */
static void test_limits_hold_for_jobs_of_removed_organisations(void **state)
{
	configure(&batch, 1, limited, 2);
	submit("one", "a", make_step(5, 1000, false));
	start("one", 2, 1);
	configure(&batch, 2, &limited[1], 1);
	assert_int_equal(account("a")->limit.cpu_milli, 3500);
	reload();
	assert_int_equal(account("a")->limit.cpu_milli, 3500);
	assert_int_equal(account("a")->used.cpu_milli, 2000);
	start("one", 5, 1);
	assert_int_equal(account("a")->used.cpu_milli, 3000);
	assert_int_equal(batch_state_job(&batch, "one")->steps[0].assigned, 3);
}

/* Guards against accounts of removed organisations that are kept for ever. */
static void test_accounts_of_removed_organisations_end_with_their_jobs(void **state)
{
	Lp__BatchCancel cancel = LP__BATCH_CANCEL__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	configure(&batch, 1, limited, 2);
	submit("one", "a", make_step(1, 1000, false));
	configure(&batch, 2, &limited[1], 1);
	assert_non_null(account("a"));
	cancel.id = (char *)"one";
	cancel.host = (char *)"h";
	cancel.prefix = (char *)"/q/";
	cancel.organisation = (char *)"b";
	command.body_case = LP__BATCH_COMMAND__BODY_CANCEL;
	command.cancel = &cancel;
	/* Another organisation cannot cancel the job. */
	assert_int_equal(batch_test_apply(&batch, 1000, &command),
			 LP__RESULT_CODE__RESULT_NOT_FOUND);
	cancel.organisation = (char *)"a";
	assert_int_equal(batch_test_apply(&batch, 1000, &command), LP__RESULT_CODE__RESULT_OK);
	assert_null(account("a"));
	assert_non_null(account("b"));
}

/* Guards against a limit that is lowered below what runs: nothing starts until there is room. */
static void test_lowered_limit_stops_starts(void **state)
{
	static const test_org_t lowered[] = {{.name = "a", .cpu_limit_milli = 1500, .weight = 1}};

	configure(&batch, 1, limited, 2);
	submit("one", "a", make_step(5, 1000, false));
	start("one", 3, 1);
	configure(&batch, 2, lowered, 1);
	lose("one", 0);
	start("one", 1, 1);
	assert_int_equal(account("a")->used.cpu_milli, 2000);
	lose("one", 1);
	lose("one", 2);
	start("one", 3, 1);
	assert_int_equal(account("a")->used.cpu_milli, 1000);
}

/* Guards against accepting work that can never run. */
static void test_work_that_can_never_run_is_known(void **state)
{
	const org_account_t tight = {.limit = {.cpu_milli = 3500, .gpu = 1}};
	Lp__BatchStep step = make_step(10, 1000, false);

	assert_true(org_account_can_ever_run(&tight, &step));
	step.gang = true;
	assert_false(org_account_can_ever_run(&tight, &step));
	step.count = 3;
	assert_true(org_account_can_ever_run(&tight, &step));
	step.gang = false;
	step.gpu = 2;
	assert_false(org_account_can_ever_run(&tight, &step));
	step.gpu = 1;
	step.cpu_milli = 3501;
	assert_false(org_account_can_ever_run(&tight, &step));
}

/* --- shares --- */

/* @return ids of the waiting jobs in placement order, separated by spaces */
static char *placement_order(void)
{
	GString *order = g_string_new(NULL);
	const batch_candidate_t *candidate;
	batch_candidates_t candidates;
	org_shares_t shares;

	org_shares_init(&shares);
	org_shares_collect(&shares, &batch);
	batch_candidates_init(&candidates, &batch, NULL, &shares, 1000000, 1000);
	while ((candidate = batch_candidates_next(&candidates)) != NULL) {
		const batch_job_t *job = candidate->step->job;

		g_string_append_printf(order, "%s ", job->spec->id);
		if (job->account != NULL)
			org_shares_add(&shares, job->service, job->account,
				       (uint64_t)candidate->step->waiting *
					       candidate->step->spec->cpu_milli);
	}
	batch_candidates_finish(&candidates);
	org_shares_finish(&shares);
	return g_string_free(order, FALSE);
}

/* Guards against one organisation whose small jobs take the room before those of another, and
 * against a share that changes the order while nobody exceeds it. */
static void test_organisations_over_their_share_come_last(void **state)
{
	static const test_org_t orgs[] = {{.name = "a", .weight = 1}, {.name = "b", .weight = 1}};
	g_autofree char *before = NULL;
	g_autofree char *after = NULL;

	configure(&batch, 1, orgs, 2);
	submit("running-a", "a", make_step(4, 1000, false));
	submit("running-b", "b", make_step(4, 1000, false));
	start("running-a", 4, 1);
	start("running-b", 4, 1);
	submit("small-a1", "a", make_step(1, 1000, false));
	submit("small-a2", "a", make_step(1, 1000, false));
	submit("large-b", "b", make_step(6, 1000, false));
	before = placement_order();
	assert_string_equal(before, "small-a1 small-a2 large-b ");
	lose("running-b", 0);
	lose("running-b", 1);
	lose("running-b", 2);
	after = placement_order();
	/* Three tasks of running-b wait again. Once these and large-b are placed, b is over its
	 * share. */
	assert_string_equal(after, "running-b large-b small-a1 small-a2 ");
}

/* Guards against a pass that gives all the room that has just become free to one organisation. */
static void test_shares_follow_the_tasks_placed_in_a_pass(void **state)
{
	static const test_org_t orgs[] = {{.name = "a", .weight = 1}, {.name = "b", .weight = 1}};
	g_autofree char *order = NULL;

	configure(&batch, 1, orgs, 2);
	submit("a1", "a", make_step(2, 1000, false));
	submit("a2", "a", make_step(2, 1000, false));
	submit("a3", "a", make_step(2, 1000, false));
	submit("b1", "b", make_step(3, 1000, false));
	order = placement_order();
	assert_string_equal(order, "a1 b1 a2 a3 ");
}

static int set_up(void **state)
{
	batch_state_init(&batch);
	return 0;
}

static int tear_down(void **state)
{
	batch_state_finish(&batch);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_keys_identify_organisations),
		cmocka_unit_test(test_short_digests_match_nothing),
		cmocka_unit_test(test_public_queues_and_old_configurations_need_no_key),
		cmocka_unit_test(test_keys_are_not_shown),
		cmocka_unit_test(test_shared_keys_and_names_are_invalid),
		cmocka_unit_test_setup_teardown(test_start_intents_beyond_the_limit_are_not_applied,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_gangs_start_within_the_limit_or_not_at_all,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_limits_hold_for_jobs_of_removed_organisations,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_accounts_of_removed_organisations_end_with_their_jobs, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(test_lowered_limit_stops_starts, set_up, tear_down),
		cmocka_unit_test(test_work_that_can_never_run_is_known),
		cmocka_unit_test_setup_teardown(test_organisations_over_their_share_come_last,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_shares_follow_the_tasks_placed_in_a_pass,
						set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
