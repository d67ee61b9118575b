#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <talloc.h>

#include "adapter.h"
#include "org_keys.h"

static json_t *parse(const char *text)
{
	json_t *value = json_loads(text, 0, NULL);

	assert_non_null(value);
	return value;
}

static const char settings_text[] = "nodeName=core-ruwi-1\nrole=core\nip=10.1.0.11\nzone=ruwi\n"
				    "listen.control=10.1.0.11:8623\nportRange=7060,7075\n"
				    "seeds=10.1.0.11:8623,10.2.0.25:8623\nbootstrap=true\n"
				    "dataDir=/data/my-core\nheartbeatMs=1500\nunknown.key=1\n"
				    "faultTolerance.machines=2\nbounds.maintenanceS=2\n"
				    "cloudApi.addr=10.200.0.107:8621\ncloudApi.dutyPerS=64.0\n";

static int load_settings(const char *text, process_settings_t *settings, char *error, size_t size)
{
	char path[] = "/tmp/lp-settings-XXXXXX";
	int fd = g_mkstemp(path);
	int result;

	assert_true(fd >= 0);
	close(fd);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	result = adapter_settings_load(path, settings, error, size);
	g_unlink(path);
	return result;
}

/* Guards against misread settings, and against unknown keys that make loading fail. */
static void test_settings_are_read(void **state)
{
	process_settings_t settings;
	char error[256] = "";

	assert_int_equal(load_settings(settings_text, &settings, error, sizeof(error)), 0);
	assert_string_equal(settings.name, "core-ruwi-1");
	assert_int_equal(settings.node_id, 0x0a01000b);
	assert_int_equal(settings.peer_port, 7060);
	assert_int_equal(settings.control_port, 8623);
	assert_int_equal(settings.seed_count, 2);
	assert_int_equal(settings.seeds[1], 0x0a020019);
	assert_true(settings.bootstrap);
	assert_int_equal(settings.tolerated_machine_losses, 2);
	assert_int_equal(settings.maintenance_downtime_ms, 2000);
	assert_int_equal(settings.platform_requests_per_s, 64);
	process_settings_finish(&settings);
}

/* Guards against a lost voter that is replaced too late: a second disk may be lost catch_up_max_ms
 * after the first, and the replacement must be a voter by then. */
static void test_lost_voter_is_replaced_in_time(void **state)
{
	process_settings_t settings;
	char error[256] = "";

	assert_int_equal(load_settings(settings_text, &settings, error, sizeof(error)), 0);
	assert_int_equal(settings.catch_up_max_ms, 4000);
	assert_true(batch_node_voter_timeout_ms(&settings) + 1000 <= settings.catch_up_max_ms);
	settings.catch_up_max_ms = 6000;
	assert_true(batch_node_voter_timeout_ms(&settings) + 1000 <= settings.catch_up_max_ms);
	process_settings_finish(&settings);
}

/* Guards against an invalid or missing value that is read as 0; the error message names the key. */
static void test_invalid_settings_are_rejected(void **state)
{
	static const struct {
		const char *text;
		const char *key;
	} cases[] = {
		{"ip=10.1.0.11\nzone=z\nportRange=1,2\n", "nodeName"},
		{"nodeName=n\nip=here\nzone=z\nportRange=1,2\n", "ip"},
		{"nodeName=n\nip=10.0.0.1\nzone=z\nportRange=x\n", "portRange"},
		{"nodeName=n\nip=10.0.0.1\nzone=z\nportRange=1,2\nseeds=10.0.0.1\n", "seeds"},
		{"nodeName=n\nip=10.0.0.1\nzone=z\nportRange=1,2\nheartbeatMs=-1\n", "heartbeatMs"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		process_settings_t settings;
		char error[256] = "";

		assert_int_equal(load_settings(cases[i].text, &settings, error, sizeof(error)), -1);
		assert_non_null(strstr(error, cases[i].key));
	}
}

/* Guards against fields of a job that are dropped or swapped while decoding. */
static void test_job_is_decoded(void **state)
{
	void *mem = talloc_new(NULL);
	json_t *body = parse("{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
			     "\"estimateMs\":900,\"affinity\":\"r1-3\"},{\"count\":2,\"after\":[0],"
			     "\"savesProgress\":true,\"gang\":true,\"antiAffinity\":1,"
			     "\"fills\":true,\"goalMs\":30,\"maxUnavailable\":1,"
			     "\"longRunning\":true,\"constraints\":\"a\"}],\"times\":3,"
			     "\"startAtMs\":1700000000000,\"intervalMs\":2000}");
	Lp__BatchJob *job = adapter_decode_job(mem, body);

	assert_non_null(job);
	assert_int_equal(job->n_steps, 2);
	assert_int_equal(job->steps[0]->cpu_milli, 500);
	assert_string_equal(job->steps[0]->data_rack, "r1-3");
	assert_int_equal(job->steps[1]->n_after, 1);
	assert_true(job->steps[1]->checkpoints);
	assert_true(job->steps[1]->gang);
	assert_true(job->steps[1]->best_effort);
	assert_true(job->steps[1]->long_running);
	assert_int_equal(job->steps[1]->max_per_vm, 1);
	assert_int_equal(job->steps[1]->tail_goal_ms, 30);
	assert_int_equal(job->steps[1]->max_unavailable, 1);
	assert_string_equal(job->steps[1]->constraint, "a");
	assert_int_equal(job->times, 3);
	assert_int_equal(job->first_due_ms, 1700000000000);
	json_decref(body);
	talloc_free(mem);
}

/* Guards against numbers that are cut to the width of their field, so that another job is accepted
 * than the one that was sent. */
static void test_numbers_out_of_range_are_rejected(void **state)
{
	static const char *const steps[] = {
		"{\"count\":4294967296}",
		"{\"count\":1,\"cpu\":4294967296}",
		"{\"count\":1,\"memMb\":4294967297}",
		"{\"count\":1},{\"count\":1,\"after\":[4294967296]}",
		"{\"count\":1},{\"count\":1,\"after\":[-1]}",
		"{\"count\":-1}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_autofree char *text =
			g_strdup_printf("{\"spec\":\"x\",\"steps\":[%s]}", steps[i]);
		void *mem = talloc_new(NULL);
		json_t *body = parse(text);

		assert_null(adapter_decode_job(mem, body));
		json_decref(body);
		talloc_free(mem);
	}
}

static const char sound_report[] =
	"{\"service\":\"s\",\"addr\":\"10.128.0.9:8080\",\"zone\":\"z\",\"machine\":\"m-1\","
	"\"version\":\"v1\",\"slots\":8,\"state\":\"draining\",\"warmupLeftMs\":0,"
	"\"remainingMs\":2000,\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},"
	"\"labels\":[\"a\",\"r1-3\"],\"born\":5,\"clockMs\":7,\"seq\":4}";

static const char sound_machine[] =
	"{\"machine\":\"m-1\",\"pool\":\"p\",\"state\":\"down\",\"zone\":\"z\",\"labels\":[\"a\","
	"\"r1-3\"],\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},\"id\":\"\"}";

/* One value of each type. */
static const char *const values_of_types[] = {"null", "true", "\"x\"", "7",
					      "-7",   "[]",   "[3]",   "{}"};

static bool same_type(const json_t *value, const json_t *other)
{
	if (json_is_number(value) && json_is_number(other))
		return json_number_value(other) >= 0;
	if (json_is_string(value) && json_is_string(other))
		return true;
	return false;
}

/* Calls check with copies of the object, or of its member named part if that is not NULL, that lack
 * one member each, or have one of another type. */
static void for_each_malformed(const char *text, const char *part,
			       void (*check)(const json_t *object, const char *key))
{
	json_t *sound = parse(text);
	const json_t *members = part != NULL ? json_object_get(sound, part) : sound;
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)members, key, value) {
		json_t *object = json_deep_copy(sound);
		json_t *changed = part != NULL ? json_object_get(object, part) : object;

		json_object_del(changed, key);
		check(object, key);
		for (size_t i = 0; i < G_N_ELEMENTS(values_of_types); i++) {
			json_t *other = json_loads(values_of_types[i], JSON_DECODE_ANY, NULL);

			if (!same_type(value, other)) {
				json_object_set(changed, key, other);
				check(object, key);
			}
			json_decref(other);
		}
		json_decref(object);
	}
	json_decref(sound);
}

static void assert_no_report(const json_t *body, const char *key)
{
	void *mem = talloc_new(NULL);

	if (adapter_decode_report(mem, "i-1", body) != NULL)
		fail_msg("a report with a malformed member \"%s\" is accepted", key);
	talloc_free(mem);
}

/* Guards against a report of another system, with a member missing or of another type, that names a
 * VM. */
static void test_malformed_reports_are_rejected(void **state)
{
	static const char *const replacements[][2] = {
		{"\"draining\"", "\"lost\""},
		{"\"draining\"", "\"\""},
		{"\"10.128.0.9:8080\"", "\"here\""},
		{"\"seq\":4", "\"seq\":0"},
		{"\"seq\":4", "\"seq\":4.5"},
		{"\"s\"", "\"\""},
		{"\"m-1\"", "\"\""},
		{"\"r1-3\"", "3"},
		{"\"born\":5", "\"born\":0"},
		{"\"born\":5", "\"born\":5.5"},
		{"\"v1\"", "\"\""},
	};
	void *mem = talloc_new(NULL);
	json_t *body = parse(sound_report);
	vm_report_t *report = adapter_decode_report(mem, "i-1", body);

	assert_non_null(report);
	assert_string_equal(report->rack, "r1-3");
	assert_true(report->draining);
	json_object_set_new(body, "state", json_string("ready"));
	json_object_del(body, "remainingMs");
	report = adapter_decode_report(mem, "i-1", body);
	assert_non_null(report);
	assert_false(report->draining);
	json_decref(body);
	for (size_t i = 0; i < G_N_ELEMENTS(replacements); i++) {
		g_auto(GStrv) parts = g_strsplit(sound_report, replacements[i][0], 2);
		g_autofree char *text = g_strjoinv(replacements[i][1], parts);

		body = parse(text);
		assert_no_report(body, replacements[i][1]);
		json_decref(body);
	}
	for_each_malformed(sound_report, NULL, assert_no_report);
	for_each_malformed(sound_report, "capacity", assert_no_report);
	talloc_free(mem);
}

/* Decodes a list of machines that has the entry only. */
static machine_info_t *decode_machine(void *mem, const json_t *entry, size_t *count,
				      size_t *malformed)
{
	json_t *body = json_pack("{s:[O]}", "machines", entry);
	const char *next_page;
	machine_info_t *machines = adapter_decode_machines(mem, body, count, &next_page, malformed);

	json_decref(body);
	return machines;
}

static void assert_says_nothing(const json_t *entry, const char *key)
{
	void *mem = talloc_new(NULL);
	size_t malformed;
	size_t count;
	const machine_info_t *machines = decode_machine(mem, entry, &count, &malformed);

	assert_int_equal(malformed, 1);
	if (count > 0 && (!machines[0].name_only || machines[0].up || machines[0].down))
		fail_msg("an entry with a malformed member \"%s\" is used", key);
	talloc_free(mem);
}

/* Guards against an entry of the platform's list, with a member missing or of another type, that
 * tells the state of a machine. */
static void test_malformed_machines_say_nothing(void **state)
{
	void *mem = talloc_new(NULL);
	json_t *entry = parse(sound_machine);
	size_t malformed;
	size_t count;
	const machine_info_t *machines = decode_machine(mem, entry, &count, &malformed);

	assert_int_equal(count, 1);
	assert_int_equal(malformed, 0);
	assert_true(machines[0].down);
	assert_false(machines[0].name_only);
	for_each_malformed(sound_machine, NULL, assert_says_nothing);
	for_each_malformed(sound_machine, "capacity", assert_says_nothing);
	json_decref(entry);
	talloc_free(mem);
}

static void assert_no_lists(const json_t *body, const char *key)
{
	void *mem = talloc_new(NULL);
	vm_reply_t reply = {0};

	if (adapter_decode_run_lists(mem, body, &reply) == 0)
		fail_msg("a hold response with a malformed member \"%s\" is accepted", key);
	talloc_free(mem);
}

/* Guards against a hold response of another system that counts as the answer of a VM. */
static void test_malformed_hold_responses_are_rejected(void **state)
{
	static const char text[] = "{\"clockMs\":7,\"born\":5,\"running\":[],\"finishedRuns\":[]}";

	/* An empty list is a list; the values of the other types are not. */
	for (size_t i = 0; i < G_N_ELEMENTS(values_of_types); i++) {
		static const char *const keys[] = {"clockMs", "born", "running", "finishedRuns"};

		for (size_t k = 0; k < G_N_ELEMENTS(keys); k++) {
			json_t *body = parse(text);
			json_t *value = json_loads(values_of_types[i], JSON_DECODE_ANY, NULL);
			bool sound = k < 2 ? json_is_number(value) && json_number_value(value) > 0
					   : json_is_array(value);

			json_object_set_new(body, keys[k], value);
			if (!sound)
				assert_no_lists(body, keys[k]);
			json_object_del(body, keys[k]);
			assert_no_lists(body, keys[k]);
			json_decref(body);
		}
	}
}

/* Guards against an invalid configuration that is accepted. */
static void test_invalid_configurations_are_rejected(void **state)
{
	static const struct {
		const char *routes;
		bool decodes;
		bool valid;
	} cases[] = {
		{"{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\",\"timeoutMs\":3000}", true,
		 true},
		{"{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"t\",\"timeoutMs\":3000}", true,
		 false},
		{"{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\",\"timeoutMs\":0}", true,
		 false},
		{"{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\",\"timeoutMs\":1},"
		 "{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\",\"timeoutMs\":1}",
		 true, false},
		{"{\"host\":\"h\",\"service\":\"s\",\"timeoutMs\":3000}", false, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		g_autofree char *text = g_strdup_printf(
			"{\"version\":7,\"routes\":[%s],\"services\":[{\"name\":\"s\"}]}",
			cases[i].routes);
		json_t *body = parse(text);
		char error[128] = "";
		Lp__BatchConfig *config =
			adapter_decode_config(mem, body, text, strlen(text), error, sizeof(error));

		assert_int_equal(config != NULL, cases[i].decodes);
		if (config != NULL)
			assert_int_equal(batch_config_check(config, error, sizeof(error)) == 0,
					 cases[i].valid);
		json_decref(body);
		talloc_free(mem);
	}
}

/* Guards against misread keys, weights and limits of organisations. */
static void test_organisations_are_decoded(void **state)
{
	void *mem = talloc_new(NULL);
	const char *text =
		"{\"version\":7,\"routes\":[{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\","
		"\"timeoutMs\":1,\"public\":true}],\"services\":[{\"name\":\"s\"}],\"tenants\":[{"
		"\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,\"weight\":2.5,"
		"\"maxCount\":"
		"{\"cpu\":11136783,\"memMb\":30966189,\"gpu\":0}},{\"name\":\"b\"}]}";
	json_t *body = parse(text);
	char error[128];
	const Lp__BatchConfig *config =
		adapter_decode_config(mem, body, text, strlen(text), error, sizeof(error));
	uint8_t digest[ORG_KEY_DIGEST_BYTES];

	assert_non_null(config);
	assert_true(config->checks_keys);
	assert_true(config->queues[0]->is_public);
	assert_int_equal(config->n_organisations, 2);
	assert_string_equal(config->organisations[0]->name, "a");
	assert_int_equal(config->organisations[0]->weight_milli, 2500);
	assert_int_equal(config->organisations[0]->limits->cpu_milli, 11136783);
	assert_int_equal(config->organisations[0]->limits->mem_mib, 30966189);
	assert_int_equal(config->organisations[0]->n_keys, 2);
	org_key_digest("k2", digest);
	assert_memory_equal(config->organisations[0]->keys[1].data, digest, sizeof(digest));
	assert_int_equal(config->organisations[1]->n_keys, 0);
	json_decref(body);
	talloc_free(mem);
}

/* Guards against malformed organisations that are accepted, and against an error that does not name
 * the entry. */
static void test_malformed_organisations_are_rejected(void **state)
{
	static const char *const keys[] = {"name", "apiKeys", "weight", "maxCount"};
	static const struct {
		const char *value;
		bool sound[G_N_ELEMENTS(keys)];
	} cases[] = {
		{"\"x\"", {true}},
		{"\"\"", {false}},
		{"7", {false, false, true}},
		{"-7", {false}},
		{"true", {false}},
		{"[]", {false, true}},
		{"[\"\"]", {false}},
		{"[7]", {false}},
		{"{}", {false, false, false, true}},
		{"{\"cpu\":-1}", {false}},
		{"{\"cpu\":\"1\"}", {false}},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases) * G_N_ELEMENTS(keys); i++) {
		size_t row = i / G_N_ELEMENTS(keys);
		size_t key = i % G_N_ELEMENTS(keys);
		void *mem = talloc_new(NULL);
		json_t *body = parse("{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":["
				     "{\"name\":\"a\"},{\"name\":\"b\"}]}");
		char error[128] = "";
		const Lp__BatchConfig *config;

		json_object_set_new(json_array_get(json_object_get(body, "tenants"), 1), keys[key],
				    json_loads(cases[row].value, JSON_DECODE_ANY, NULL));
		config = adapter_decode_config(mem, body, "", 0, error, sizeof(error));
		assert_int_equal(config != NULL, cases[row].sound[key]);
		if (config == NULL)
			assert_non_null(strstr(error, "organisation 2"));
		json_decref(body);
		talloc_free(mem);
	}
}

/* Guards against memory errors in the decoding of organisations from bytes that were changed at
 * random; what decodes is also checked. */
static void test_mutated_organisations_do_not_crash(void **state)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\","
		"\"timeoutMs\":1,\"public\":true}],\"services\":[{\"name\":\"s\"}],\"tenants\":[{"
		"\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"weight\":2.5,\"maxCount\":{\"cpu\":1,"
		"\"memMb\":2,\"gpu\":0}},{\"name\":\"b\",\"apiKeys\":[\"k3\"]}]}";
	static const char bytes[] = "\"{}[]:,0-9.eE+truenl\\ \x01\xff";
	GRand *rand = g_rand_new_with_seed(1);

	for (unsigned i = 0; i < 20000; i++) {
		void *mem = talloc_new(NULL);
		g_autofree char *mutated = g_strdup(text);
		char error[256] = "";
		Lp__BatchConfig *config;
		json_t *body;

		for (int j = g_rand_int_range(rand, 1, 4); j > 0; j--)
			mutated[g_rand_int_range(rand, 0, (gint32)strlen(text))] =
				bytes[g_rand_int_range(rand, 0, sizeof(bytes) - 1)];
		body = json_loads(mutated, 0, NULL);
		config = adapter_decode_config(mem, body, mutated, strlen(mutated), error,
					       sizeof(error));
		if (config != NULL)
			batch_config_check(config, error, sizeof(error));
		json_decref(body);
		talloc_free(mem);
	}
	g_rand_free(rand);
}

/* Guards against misread run lists of a VM. */
static void test_run_lists_are_decoded(void **state)
{
	void *mem = talloc_new(NULL);
	vm_reply_t reply = {0};
	json_t *body = parse(
		"{\"clockMs\":482113,\"born\":5,\"running\":[[\"5c0e.0.1.17\",2,\"0bb8\",41,12]],"
		"\"finishedRuns\":[[58,\"5c0e.0.1.9\",1,\"done\",\"\"]]}");

	assert_int_equal(adapter_decode_run_lists(mem, body, &reply), 0);
	assert_int_equal(reply.running_count, 1);
	assert_string_equal(reply.running[0].task.job, "5c0e");
	assert_int_equal(reply.running[0].task.index, 17);
	assert_int_equal(reply.running[0].percent, 41);
	assert_int_equal(reply.running[0].load, 12);
	assert_int_equal(reply.finished[0].number, 58);
	assert_int_equal(reply.finished[0].kind, LP__BATCH_END_KIND__BATCH_END_DONE);
	assert_false(reply.partial);
	json_decref(body);
	body = parse("{\"running\":[]}");
	assert_int_equal(adapter_decode_run_lists(mem, body, &reply), -1);
	json_decref(body);
	talloc_free(mem);
}

/* Guards against a hold response that is lost for one entry of another writer, and against such an
 * entry that ends a run. An entry that falls short is left out, or only acknowledged; if it names a
 * task, the list is partial, so that its run is not taken as lost. */
static void test_malformed_entries_of_run_lists_cost_themselves_only(void **state)
{
	static const struct {
		const char *running;
		const char *finished;
		size_t running_count;
		size_t finished_count;
		bool partial;
	} cases[] = {
		{"[\"agent\",1,\"\",0,0],null,7,{},[]", "", 1, 0, false},
		{"[\"5c0e.0.1\",1,\"\",0,0],[\"5c0e.0.1.2.3\",1,\"\",0,0]", "", 1, 0, false},
		{"[\"5c0e.0.1.x\",1,\"\",0,0],[\"5c0e.0.1.99999999999\",1,\"\",0]", "", 1, 0,
		 false},
		{"[\"5c0e.0.1.8\",\"1\",\"\",0,0]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",99999999999,\"\",0,0]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",1,5,-4,1e300]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",1,5,4,12]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",1,\"\",\"4\",12]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",1,\"\",4,\"12\"]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",1,\"\"]", "", 1, 0, true},
		{"[\"5c0e.0.1.8\",1,\"\",4]", "", 2, 0, false},
		{"", "[58,\"5c0e.0.1\",1,\"done\",\"\"]", 1, 1, false},
		{"", "[58,\"5c0e.0.1.8\",null,\"done\",\"\"]", 1, 1, true},
		{"", "[58,\"5c0e.0.1.8\",1,\"gone\",\"\"]", 1, 1, true},
		{"", "[58,\"5c0e.0.1.8\",1,7,\"\"]", 1, 1, true},
		{"", "[58,\"5c0e.0.1.8\",1,\"done\"]", 1, 1, true},
		{"", "[58,\"5c0e.0.1.8\",1,\"done\",5]", 1, 1, true},
		{"", "[null,\"5c0e.0.1.8\",1,\"done\",\"\"]", 1, 0, true},
		{"", "null,{},[],[\"x\"]", 1, 0, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		void *mem = talloc_new(NULL);
		vm_reply_t reply = {0};
		g_autofree char *text =
			g_strdup_printf("{\"clockMs\":7,\"born\":5,\"running\":[%s%s[\"5c0e.0.1."
					"17\",2,\"0bb8\",41,12]],"
					"\"finishedRuns\":[%s]}",
					cases[i].running, cases[i].running[0] != '\0' ? "," : "",
					cases[i].finished);
		json_t *body = parse(text);

		assert_int_equal(adapter_decode_run_lists(mem, body, &reply), 0);
		assert_int_equal(reply.running_count, cases[i].running_count);
		assert_int_equal(reply.running[reply.running_count - 1].task.index, 17);
		assert_int_equal(reply.finished_count, cases[i].finished_count);
		assert_int_equal(reply.partial, cases[i].partial);
		if (reply.finished_count > 0) {
			assert_int_equal(reply.finished[0].number, 58);
			assert_string_equal(reply.finished[0].task.job, "");
		}
		json_decref(body);
		talloc_free(mem);
	}
}

/* Guards against a VM that counts as silent because of a checkpoint that is longer than the leader
 * keeps, and against an end that is lost with its checkpoint. */
static void test_long_checkpoints_cost_themselves_only(void **state)
{
	void *mem = talloc_new(NULL);
	vm_reply_t reply = {0};
	g_autofree char *checkpoint = g_strnfill(VM_NAME_MAX, 'c');
	g_autofree char *text = g_strdup_printf(
		"{\"clockMs\":7,\"born\":5,\"running\":[[\"5c0e.0.1.17\",2,\"%s\",41,12]],"
		"\"finishedRuns\":[[58,\"5c0e.0.1.9\",1,\"done\","
		"\"%s\"]]}",
		checkpoint, checkpoint);
	json_t *body = parse(text);

	assert_int_equal(adapter_decode_run_lists(mem, body, &reply), 0);
	assert_int_equal(reply.running_count, 1);
	assert_string_equal(reply.running[0].checkpoint, "");
	assert_int_equal(reply.finished_count, 1);
	assert_int_equal(reply.finished[0].kind, LP__BATCH_END_KIND__BATCH_END_DONE);
	assert_string_equal(reply.finished[0].task.job, "5c0e");
	assert_string_equal(reply.finished[0].checkpoint, "");
	assert_false(reply.partial);
	json_decref(body);
	talloc_free(mem);
}

/* Guards against a list of machines, or of permitted VMs, that is lost for one entry of another
 * writer, and against taking a machine as gone whose entry cannot be read. */
static void test_malformed_entries_of_lists_cost_themselves_only(void **state)
{
	void *mem = talloc_new(NULL);
	const char *next_page = NULL;
	size_t count = 0;
	machine_info_t *machines;
	vm_ticket_t *tickets;
	size_t malformed;
	g_autofree char *text = g_strdup_printf(
		"{\"machines\":[null,5,[],{\"state\":\"up\"},{\"machine\":\"m-0\"},%s,"
		"{\"machine\":\"m-2\",\"pool\":\"p\",\"state\":\"down\"}]}",
		sound_machine);
	json_t *body = parse(text);

	machines = adapter_decode_machines(mem, body, &count, &next_page, &malformed);
	assert_int_equal(count, 3);
	assert_int_equal(malformed, 6);
	for (size_t i = 0; i < 3; i += 2) {
		assert_true(machines[i].name_only);
		assert_false(machines[i].up || machines[i].down);
	}
	assert_string_equal(machines[1].machine, "m-1");
	assert_true(machines[1].down);
	assert_false(machines[1].name_only);
	json_decref(body);
	body = parse("{\"allowed\":[null,[\"i-1\"],[\"i-2\",\"t\"],{}]}");
	tickets = adapter_decode_tickets(mem, body, &count);
	assert_int_equal(count, 1);
	assert_string_equal(tickets[0].vm, "i-2");
	json_decref(body);
	talloc_free(mem);
}

/* Guards against taking a list of 500 finished runs, the most in one response, for a whole one. */
static void test_partial_list_of_finished_runs_is_marked(void **state)
{
	for (unsigned count = 499; count <= 501; count++) {
		void *mem = talloc_new(NULL);
		vm_reply_t reply = {0};
		json_t *body =
			parse("{\"clockMs\":7,\"born\":5,\"running\":[],\"finishedRuns\":[]}");
		json_t *rows = json_object_get(body, "finishedRuns");

		for (unsigned i = 0; i < count; i++)
			json_array_append_new(rows, json_pack("[i, s, i, s, s]", (int)i + 1,
							      "5c0e.0.1.9", 1, "done", ""));
		assert_int_equal(adapter_decode_run_lists(mem, body, &reply), 0);
		assert_int_equal(reply.finished_count, count);
		assert_int_equal(reply.partial, count >= 500);
		json_decref(body);
		talloc_free(mem);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_settings_are_read),
		cmocka_unit_test(test_lost_voter_is_replaced_in_time),
		cmocka_unit_test(test_invalid_settings_are_rejected),
		cmocka_unit_test(test_job_is_decoded),
		cmocka_unit_test(test_numbers_out_of_range_are_rejected),
		cmocka_unit_test(test_malformed_reports_are_rejected),
		cmocka_unit_test(test_malformed_machines_say_nothing),
		cmocka_unit_test(test_malformed_hold_responses_are_rejected),
		cmocka_unit_test(test_invalid_configurations_are_rejected),
		cmocka_unit_test(test_organisations_are_decoded),
		cmocka_unit_test(test_malformed_organisations_are_rejected),
		cmocka_unit_test(test_mutated_organisations_do_not_crash),
		cmocka_unit_test(test_run_lists_are_decoded),
		cmocka_unit_test(test_malformed_entries_of_run_lists_cost_themselves_only),
		cmocka_unit_test(test_long_checkpoints_cost_themselves_only),
		cmocka_unit_test(test_malformed_entries_of_lists_cost_themselves_only),
		cmocka_unit_test(test_partial_list_of_finished_runs_is_marked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
