#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/stat.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <glib.h>

#include "lib_cluster.h"

#define LIMIT_MS 30000
#define TARGETS 4
#define CALL_LIMIT_MS 10000L
#define BODY_LIMIT 65536

#define TEMPLATE                                                                     \
	"organisation: barid\n"                                                      \
	"pools:\n"                                                                   \
	"  - name: orders\n"                                                         \
	"    min_vms: 1\n"                                                           \
	"    keep_vms: 1\n"                                                          \
	"    classes:\n"                                                             \
	"      - {name: any, path_prefix: /, deadline_ms: 3000, repeatable: true}\n" \
	"  - name: backoffice\n"                                                     \
	"    spare: true\n"                                                          \
	"    min_vms: 0\n"                                                           \
	"    keep_vms: 0\n"

typedef struct {
	cluster_t *cluster;
	char *settings;
	char *dir;
	char *tokens;
} fixture_t;

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);
	cluster_config_t config = {
		.nodes = 3,
		.data_centres = 1,
		.voters = 3,
		.targets = TARGETS,
		.pools = "orders",
		.service_ms = 5,
		.timing = "  routing_lease_ms: 2000\n  lost_ms: 3000",
		.emulator_args = "--token t-secret",
	};

	fixture->dir = g_dir_make_tmp("lavenderpass-admin-XXXXXX", NULL);
	fixture->tokens = g_build_filename(fixture->dir, "tokens", NULL);
	assert_true(g_file_set_contents(
		fixture->tokens, "read r-secret\nwrite w-secret\ntarget t-secret\n", -1, NULL));
	fixture->settings = g_strdup_printf("token_file: %s\nlimits: {body_bytes: %d}",
					    fixture->tokens, BODY_LIMIT);
	config.settings = fixture->settings;
	fixture->cluster = cluster_create(&config);
	cluster_start(fixture->cluster);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	cluster_destroy(fixture->cluster);
	(void)remove(fixture->tokens);
	(void)remove(fixture->dir);
	g_free(fixture->tokens);
	g_free(fixture->settings);
	g_free(fixture->dir);
	g_free(fixture);
	return 0;
}

static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, data, (gssize)(size * count));
	return size * count;
}

/* One request with a token. @return the HTTP status; the answer's JSON in *answer, if wanted */
static long request(fixture_t *fixture, unsigned node, const char *token, const char *path,
		    const char *body, json_t **answer)
{
	char *url = g_strconcat(cluster_url(fixture->cluster, node), path, NULL);
	char *line = token == NULL ? NULL : g_strdup_printf("Authorization: Bearer %s", token);
	struct curl_slist *headers = line == NULL ? NULL : curl_slist_append(NULL, line);
	GString *text = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_LIMIT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (answer != NULL)
		*answer = json_loadb(text->str, text->len, 0, NULL);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_string_free(text, TRUE);
	g_free(line);
	g_free(url);
	return status;
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

static long apply(fixture_t *fixture, unsigned node, const char *op_id, unsigned revision,
		  const char *note, json_t **answer)
{
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:i}", "text", TEMPLATE, "author", "amina",
				 "note", note, "op_id", op_id, "expected_revision", (int)revision);
	char *text = json_dumps(body, JSON_COMPACT);
	long status = request(fixture, node, "w-secret", "/v1/templates/apply", text, answer);

	free(text);
	json_decref(body);
	return status;
}

static bool applied(void *arg)
{
	json_t *answer = NULL;
	long status = apply(arg, 1, "op-first", 0, "first note", &answer);

	json_decref(answer);
	return status == 200;
}

static bool vms_active(void *arg)
{
	json_t *answer = NULL;
	unsigned active = 0;
	size_t i;
	json_t *vm;

	request(arg, 2, "r-secret", "/v1/vms", NULL, &answer);
	json_array_foreach (json_object_get(answer, "vms"), i, vm)
		active += strcmp(text_of(vm, "phase"), "active") == 0;
	json_decref(answer);
	return active == TARGETS;
}

static void form_group(fixture_t *fixture)
{
	assert_true(cluster_wait(applied, fixture, LIMIT_MS));
	assert_true(cluster_wait(vms_active, fixture, LIMIT_MS));
}

/* Guards against an administration that a caller without the role can read or change, and against
 * announcements without the targets' token. */
static void test_tokens_and_roles(void **state)
{
	static const struct {
		const char *path;
		const char *body;
		long none;
		long target;
		long read;
		long write;
	} cases[] = {
		{"/healthz", NULL, 200, 200, 200, 200},
		{"/metrics", NULL, 200, 200, 200, 200},
		{"/v1/status", NULL, 401, 401, 200, 200},
		{"/v1/templates/check", "{}", 401, 401, 400, 400},
		{"/v1/templates/apply", "{}", 401, 401, 401, 400},
		{"/v1/jobs", "{}", 401, 401, 401, 400},
		{"/v1/jobs/cancel", "{}", 401, 401, 401, 400},
		{"/v1/announce", "{}", 401, 400, 401, 401},
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *path = cases[i].path;
		const char *body = cases[i].body;

		assert_int_equal(request(fixture, 1, NULL, path, body, NULL), cases[i].none);
		assert_int_equal(request(fixture, 1, "w-secre", path, body, NULL), cases[i].none);
		assert_int_equal(request(fixture, 1, "w-secret2", path, body, NULL), cases[i].none);
		assert_int_equal(request(fixture, 1, "t-secret", path, body, NULL),
				 cases[i].target);
		assert_int_equal(request(fixture, 1, "r-secret", path, body, NULL), cases[i].read);
		assert_int_equal(request(fixture, 1, "w-secret", path, body, NULL), cases[i].write);
	}
}

/* Guards against a second revision by a resend, a lost race that is not told who won, and a history
 * without the notes that night operators work from. */
static void test_apply_resend_conflict_history(void **state)
{
	fixture_t *fixture = *state;
	json_t *answer = NULL;
	const json_t *newest;

	form_group(fixture);
	assert_int_equal(apply(fixture, 3, "op-first", 0, "first note", &answer), 200);
	assert_int_equal(json_integer_value(json_object_get(answer, "revision")), 1);
	json_decref(answer);
	assert_int_equal(apply(fixture, 2, "op-second", 0, "second note", &answer), 409);
	assert_string_equal(text_of(answer, "author"), "amina");
	assert_string_equal(text_of(answer, "note"), "first note");
	assert_string_equal(text_of(answer, "outcome"), "not-run");
	json_decref(answer);
	assert_int_equal(apply(fixture, 2, "op-third", 1, "third note", NULL), 200);
	assert_int_equal(request(fixture, 2, "r-secret", "/v1/templates/history?organisation=barid",
				 NULL, &answer),
			 200);
	assert_int_equal(json_array_size(json_object_get(answer, "history")), 2);
	newest = json_array_get(json_object_get(answer, "history"), 0);
	assert_string_equal(text_of(newest, "note"), "third note");
	json_decref(answer);
	assert_int_equal(request(fixture, 2, "r-secret", "/v1/templates/history?organisation=other",
				 NULL, &answer),
			 200);
	assert_int_equal(json_array_size(json_object_get(answer, "history")), 0);
	json_decref(answer);
}

/* State of job "j" is the awaited one. */
static bool job_is(fixture_t *fixture, const char *job, const char *wanted)
{
	char *path = g_strdup_printf("/v1/explain?kind=job&id=%s", job);
	json_t *answer = NULL;
	bool reached;

	request(fixture, 3, "r-secret", path, NULL, &answer);
	reached = strcmp(text_of(answer, "state"), wanted) == 0;
	json_decref(answer);
	g_free(path);
	return reached;
}

static bool short_job_done(void *arg)
{
	return job_is(arg, "short", "done");
}

static bool long_job_running(void *arg)
{
	return job_is(arg, "long", "running");
}

static bool huge_job_rejected(void *arg)
{
	return job_is(arg, "huge", "rejected");
}

/* Guards against jobs that never start or end, an impossible job that waits for ever, and another
 * job under a known id that is told it was submitted. */
static void test_jobs(void **state)
{
	static const char short_job[] =
		"{\"job\": \"short\", \"organisation\": \"barid\", \"pool\": \"orders\", "
		"\"cores\": 1, "
		"\"mem_mib\": 64, \"run_time_ms\": 300, \"repeatable\": true}";
	static const char other_job[] = "{\"job\": \"short\", \"organisation\": \"barid\", "
					"\"pool\": \"orders\", \"cores\": 2}";
	static const char long_job[] = "{\"job\": \"long\", \"organisation\": \"barid\", \"pool\": "
				       "\"orders\", \"cores\": 1, "
				       "\"mem_mib\": 64, \"run_time_ms\": 600000}";
	static const char huge_job[] =
		"{\"job\": \"huge\", \"organisation\": \"barid\", \"pool\": \"orders\", \"cores\": "
		"100000, \"mem_mib\": 64}";
	static const char lost_job[] =
		"{\"job\": \"lost\", \"organisation\": \"barid\", \"pool\": \"none\"}";
	fixture_t *fixture = *state;
	json_t *answer = NULL;

	form_group(fixture);
	assert_int_equal(request(fixture, 1, "w-secret", "/v1/jobs", short_job, NULL), 200);
	assert_int_equal(request(fixture, 2, "w-secret", "/v1/jobs", short_job, NULL), 200);
	assert_int_equal(request(fixture, 2, "w-secret", "/v1/jobs", other_job, NULL), 409);
	assert_int_equal(request(fixture, 3, "w-secret", "/v1/jobs", long_job, NULL), 200);
	assert_int_equal(request(fixture, 3, "w-secret", "/v1/jobs", huge_job, NULL), 200);
	assert_int_equal(request(fixture, 3, "w-secret", "/v1/jobs", lost_job, NULL), 404);
	assert_true(cluster_wait(short_job_done, fixture, LIMIT_MS));
	assert_true(cluster_wait(long_job_running, fixture, LIMIT_MS));
	assert_true(cluster_wait(huge_job_rejected, fixture, LIMIT_MS));
	assert_int_equal(
		request(fixture, 1, "w-secret", "/v1/jobs/cancel",
			"{\"jobs\": [\"long\", \"short\", \"none\"], \"reason\": \"night\"}",
			&answer),
		200);
	assert_string_equal(text_of(answer, "message"), "1 of 3 jobs cancelled");
	json_decref(answer);
	assert_int_equal(request(fixture, 1, "r-secret", "/v1/jobs?state=cancelled", NULL, &answer),
			 200);
	assert_int_equal(json_array_size(json_object_get(answer, "jobs")), 1);
	assert_string_equal(text_of(json_array_get(json_object_get(answer, "jobs"), 0), "reason"),
			    "night");
	json_decref(answer);
}

/* Guards against an explanation without state, reason or the note of the template. */
static void test_explain(void **state)
{
	static const struct {
		const char *query;
		const char *state;
	} cases[] = {
		{"kind=vm&id=barid-vm001", "active"},
		{"kind=pool&id=barid/orders", "kept"},
		{"kind=pool&id=barid%2Fbackoffice", "kept"},
	};
	static const struct {
		const char *query;
		long status;
	} refusals[] = {
		{"kind=vm&id=none", 404},	   {"kind=pool&id=barid", 404},
		{"kind=pool&id=none/orders", 404}, {"kind=wave&id=99", 404},
		{"kind=job&id=none", 404},	   {"kind=request&id=1", 404},
		{"kind=other&id=1", 400},	   {"kind=vm", 400},
	};
	fixture_t *fixture = *state;

	form_group(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/v1/explain?", cases[i].query, NULL);
		json_t *answer = NULL;

		assert_int_equal(request(fixture, 1, "r-secret", path, NULL, &answer), 200);
		assert_string_equal(text_of(answer, "state"), cases[i].state);
		assert_true(text_of(answer, "why")[0] != '\0');
		assert_string_equal(text_of(answer, "note"), "first note");
		json_decref(answer);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		char *path = g_strconcat("/v1/explain?", refusals[i].query, NULL);

		assert_int_equal(request(fixture, 1, "r-secret", path, NULL, NULL),
				 refusals[i].status);
		g_free(path);
	}
}

static size_t on_header(char *data, size_t size, size_t count, void *arg)
{
	static const char name[] = "Lavenderpass-Request-Id: ";
	char **id = arg;

	if (size * count > strlen(name) && strncasecmp(data, name, strlen(name)) == 0) {
		g_free(*id);
		*id = g_strstrip(g_strndup(data + strlen(name), size * count - strlen(name)));
	}
	return size * count;
}

/* Sends a request. @return its id, to be freed with g_free() */
static char *send_request(fixture_t *fixture, unsigned node, const char *path)
{
	char *url = g_strconcat(cluster_url(fixture->cluster, node), path, NULL);
	CURL *easy = curl_easy_init();
	char *id = NULL;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_LIMIT_MS);
	curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &id);
	assert_int_equal(curl_easy_perform(easy), CURLE_OK);
	curl_easy_cleanup(easy);
	g_free(url);
	assert_non_null(id);
	return id;
}

/* Guards against a request that its own process cannot explain, or that is sought at the leader. */
static void test_explain_request(void **state)
{
	fixture_t *fixture = *state;

	form_group(fixture);
	for (unsigned node = 1; node <= 3; node++) {
		char *id = send_request(fixture, node, "/r/barid/backoffice/x");
		char *path = g_strdup_printf("/v1/explain?kind=request&id=%s", id);
		json_t *answer = NULL;

		assert_int_equal(request(fixture, node, "r-secret", path, NULL, &answer), 200);
		assert_string_equal(text_of(answer, "state"), "not-run");
		assert_string_equal(text_of(answer, "why"), "no request class for this path");
		json_decref(answer);
		assert_int_equal(request(fixture, node % 3 + 1, "r-secret", path, NULL, NULL), 404);
		g_free(path);
		g_free(id);
	}
}

/* Guards against a body beyond limits.body_bytes that takes memory or is cut and then run. */
static void test_oversize_body(void **state)
{
	static const char *const paths[] = {"/v1/templates/apply", "/v1/announce",
					    "/r/barid/orders/x"};
	fixture_t *fixture = *state;
	char *body = g_strnfill(BODY_LIMIT + 1, 'x');

	form_group(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++)
		assert_int_equal(request(fixture, 1, "w-secret", paths[i], body, NULL), 413);
	body[BODY_LIMIT] = '\0';
	assert_int_equal(request(fixture, 1, "w-secret", "/r/barid/orders/x", body, NULL), 200);
	/* The spare pool has no classes, so it serves no requests. */
	assert_int_equal(request(fixture, 1, NULL, "/r/barid/backoffice/x", "x", NULL), 404);
	g_free(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_tokens_and_roles, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_apply_resend_conflict_history, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_jobs, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_explain, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_explain_request, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_oversize_body, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
