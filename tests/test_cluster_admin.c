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

#define WAIT_TIMEOUT_MS 30000
#define TARGETS 4
#define REQUEST_TIMEOUT_MS 10000L
#define BODY_LIMIT_BYTES 65536

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
	char *extra_settings;
	char *dir;
	char *token_file;
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
	fixture->token_file = g_build_filename(fixture->dir, "tokens", NULL);
	assert_true(g_file_set_contents(
		fixture->token_file, "read r-secret\nwrite w-secret\ntarget t-secret\n", -1, NULL));
	fixture->extra_settings = g_strdup_printf("token_file: %s\nlimits: {body_bytes: %d}",
						  fixture->token_file, BODY_LIMIT_BYTES);
	config.extra_settings = fixture->extra_settings;
	fixture->cluster = cluster_create(&config);
	cluster_start(fixture->cluster);
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	cluster_destroy(fixture->cluster);
	(void)remove(fixture->token_file);
	(void)remove(fixture->dir);
	g_free(fixture->token_file);
	g_free(fixture->extra_settings);
	g_free(fixture->dir);
	g_free(fixture);
	return 0;
}

static size_t append_to_body(char *bytes, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, bytes, (gssize)(size * count));
	return size * count;
}

/* Sends a request with a bearer token: a POST request if body is given, otherwise a GET request.
 * @param token bearer token, or NULL to send none
 * @param response set to the JSON of the response (new reference), or to NULL; may be NULL
 * @return HTTP status, or 0 without a complete response */
static long request(fixture_t *fixture, unsigned node, const char *token, const char *path,
		    const char *body, json_t **response)
{
	char *url = g_strconcat(cluster_url(fixture->cluster, node), path, NULL);
	char *authorization =
		token == NULL ? NULL : g_strdup_printf("Authorization: Bearer %s", token);
	struct curl_slist *headers =
		authorization == NULL ? NULL : curl_slist_append(NULL, authorization);
	GString *body_text = g_string_new(NULL);
	CURL *curl = curl_easy_init();
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_to_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body_text);
	if (body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	if (response != NULL)
		*response = json_loadb(body_text->str, body_text->len, 0, NULL);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_string_free(body_text, TRUE);
	g_free(authorization);
	g_free(url);
	return status;
}

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

/* Applies TEMPLATE as the revision that follows the given one. @return HTTP status */
static long apply_template(fixture_t *fixture, unsigned node, const char *op_id, unsigned revision,
			   const char *note, json_t **response)
{
	json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:i}", "text", TEMPLATE, "author", "amina",
				 "note", note, "op_id", op_id, "expected_revision", (int)revision);
	char *body_text = json_dumps(body, JSON_COMPACT);
	long status =
		request(fixture, node, "w-secret", "/v1/templates/apply", body_text, response);

	free(body_text);
	json_decref(body);
	return status;
}

static bool first_template_applied(void *arg)
{
	json_t *response = NULL;
	long status = apply_template(arg, 1, "op-first", 0, "first note", &response);

	json_decref(response);
	return status == 200;
}

static bool all_vms_active(void *arg)
{
	json_t *response = NULL;
	unsigned active = 0;
	size_t i;
	json_t *vm;

	request(arg, 2, "r-secret", "/v1/vms", NULL, &response);
	json_array_foreach (json_object_get(response, "vms"), i, vm)
		active += strcmp(get_text(vm, "phase"), "active") == 0;
	json_decref(response);
	return active == TARGETS;
}

static void wait_until_serving(fixture_t *fixture)
{
	assert_true(cluster_wait_until(first_template_applied, fixture, WAIT_TIMEOUT_MS));
	assert_true(cluster_wait_until(all_vms_active, fixture, WAIT_TIMEOUT_MS));
}

/* Guards against admin endpoints that accept callers without the required role, and announcements
 * accepted without the targets' token. */
static void test_roles_are_enforced(void **state)
{
	static const struct {
		const char *path;
		const char *body;
		long none;   /* status without a valid token */
		long target; /* status with a token of role target */
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

/* Guards against a resend that creates a second revision, a conflict response that does not name
 * the winning change, and a history without the notes, which operators rely on. */
static void test_apply_resend_conflict_history(void **state)
{
	fixture_t *fixture = *state;
	json_t *response = NULL;
	const json_t *newest;

	wait_until_serving(fixture);
	assert_int_equal(apply_template(fixture, 3, "op-first", 0, "first note", &response), 200);
	assert_int_equal(json_integer_value(json_object_get(response, "revision")), 1);
	json_decref(response);
	assert_int_equal(apply_template(fixture, 2, "op-second", 0, "second note", &response), 409);
	assert_string_equal(get_text(response, "author"), "amina");
	assert_string_equal(get_text(response, "note"), "first note");
	assert_string_equal(get_text(response, "outcome"), "not-run");
	json_decref(response);
	assert_int_equal(apply_template(fixture, 2, "op-third", 1, "third note", NULL), 200);
	assert_int_equal(request(fixture, 2, "r-secret", "/v1/templates/history?organisation=barid",
				 NULL, &response),
			 200);
	assert_int_equal(json_array_size(json_object_get(response, "history")), 2);
	newest = json_array_get(json_object_get(response, "history"), 0);
	assert_string_equal(get_text(newest, "note"), "third note");
	json_decref(response);
	assert_int_equal(request(fixture, 2, "r-secret", "/v1/templates/history?organisation=other",
				 NULL, &response),
			 200);
	assert_int_equal(json_array_size(json_object_get(response, "history")), 0);
	json_decref(response);
}

/* Whether /v1/explain reports that a job is in the given state. */
static bool job_in_state(fixture_t *fixture, const char *job, const char *wanted)
{
	char *path = g_strdup_printf("/v1/explain?kind=job&id=%s", job);
	json_t *response = NULL;
	bool reached;

	request(fixture, 3, "r-secret", path, NULL, &response);
	reached = strcmp(get_text(response, "state"), wanted) == 0;
	json_decref(response);
	g_free(path);
	return reached;
}

static bool short_job_done(void *arg)
{
	return job_in_state(arg, "short", "done");
}

static bool long_job_running(void *arg)
{
	return job_in_state(arg, "long", "running");
}

static bool huge_job_rejected(void *arg)
{
	return job_in_state(arg, "huge", "rejected");
}

/* Guards against jobs that never start or finish, a job too large for any VM that queues forever
 * instead of being rejected, and a different job accepted under an existing id. */
static void test_job_states(void **state)
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
	json_t *response = NULL;

	wait_until_serving(fixture);
	assert_int_equal(request(fixture, 1, "w-secret", "/v1/jobs", short_job, NULL), 200);
	assert_int_equal(request(fixture, 2, "w-secret", "/v1/jobs", short_job, NULL), 200);
	assert_int_equal(request(fixture, 2, "w-secret", "/v1/jobs", other_job, NULL), 409);
	assert_int_equal(request(fixture, 3, "w-secret", "/v1/jobs", long_job, NULL), 200);
	assert_int_equal(request(fixture, 3, "w-secret", "/v1/jobs", huge_job, NULL), 200);
	assert_int_equal(request(fixture, 3, "w-secret", "/v1/jobs", lost_job, NULL), 404);
	assert_true(cluster_wait_until(short_job_done, fixture, WAIT_TIMEOUT_MS));
	assert_true(cluster_wait_until(long_job_running, fixture, WAIT_TIMEOUT_MS));
	assert_true(cluster_wait_until(huge_job_rejected, fixture, WAIT_TIMEOUT_MS));
	assert_int_equal(
		request(fixture, 1, "w-secret", "/v1/jobs/cancel",
			"{\"jobs\": [\"long\", \"short\", \"none\"], \"reason\": \"night\"}",
			&response),
		200);
	assert_string_equal(get_text(response, "message"), "1 of 3 jobs cancelled");
	json_decref(response);
	assert_int_equal(
		request(fixture, 1, "r-secret", "/v1/jobs?state=cancelled", NULL, &response), 200);
	assert_int_equal(json_array_size(json_object_get(response, "jobs")), 1);
	assert_string_equal(
		get_text(json_array_get(json_object_get(response, "jobs"), 0), "reason"), "night");
	json_decref(response);
}

/* Guards against explanations that lack the state, the reason or the template's note. */
static void test_explain_has_state_and_reason(void **state)
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
	} error_cases[] = {
		{"kind=vm&id=none", 404},	   {"kind=pool&id=barid", 404},
		{"kind=pool&id=none/orders", 404}, {"kind=wave&id=99", 404},
		{"kind=job&id=none", 404},	   {"kind=request&id=1", 404},
		{"kind=other&id=1", 400},	   {"kind=vm", 400},
	};
	fixture_t *fixture = *state;

	wait_until_serving(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strconcat("/v1/explain?", cases[i].query, NULL);
		json_t *response = NULL;

		assert_int_equal(request(fixture, 1, "r-secret", path, NULL, &response), 200);
		assert_string_equal(get_text(response, "state"), cases[i].state);
		assert_true(get_text(response, "why")[0] != '\0');
		assert_string_equal(get_text(response, "note"), "first note");
		json_decref(response);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(error_cases); i++) {
		char *path = g_strconcat("/v1/explain?", error_cases[i].query, NULL);

		assert_int_equal(request(fixture, 1, "r-secret", path, NULL, NULL),
				 error_cases[i].status);
		g_free(path);
	}
}

static size_t read_request_id(char *header, size_t size, size_t count, void *arg)
{
	static const char name[] = "Lavenderpass-Request-Id: ";
	char **id = arg;

	if (size * count > strlen(name) && strncasecmp(header, name, strlen(name)) == 0) {
		g_free(*id);
		*id = g_strstrip(g_strndup(header + strlen(name), size * count - strlen(name)));
	}
	return size * count;
}

/* Sends a HEAD request.
 * @return the request id assigned by the entry process, to be freed with g_free() */
static char *get_request_id(fixture_t *fixture, unsigned node, const char *path)
{
	char *url = g_strconcat(cluster_url(fixture->cluster, node), path, NULL);
	CURL *curl = curl_easy_init();
	char *id = NULL;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, read_request_id);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, &id);
	assert_int_equal(curl_easy_perform(curl), CURLE_OK);
	curl_easy_cleanup(curl);
	g_free(url);
	assert_non_null(id);
	return id;
}

/* Requests are explained by the entry process that received them. Guards against a process that
 * cannot explain its own requests, and against one that looks a request up at the leader or another
 * process. */
static void test_explain_request_at_its_process(void **state)
{
	fixture_t *fixture = *state;

	wait_until_serving(fixture);
	for (unsigned node = 1; node <= 3; node++) {
		char *id = get_request_id(fixture, node, "/r/barid/backoffice/x");
		char *path = g_strdup_printf("/v1/explain?kind=request&id=%s", id);
		json_t *response = NULL;

		assert_int_equal(request(fixture, node, "r-secret", path, NULL, &response), 200);
		assert_string_equal(get_text(response, "state"), "not-run");
		assert_string_equal(get_text(response, "why"), "no request class for this path");
		json_decref(response);
		assert_int_equal(request(fixture, node % 3 + 1, "r-secret", path, NULL, NULL), 404);
		g_free(path);
		g_free(id);
	}
}

/* A body above limits.body_bytes must be refused with status 413, not truncated and forwarded. */
static void test_oversize_body_is_rejected(void **state)
{
	static const char *const paths[] = {"/v1/templates/apply", "/v1/announce",
					    "/r/barid/orders/x"};
	fixture_t *fixture = *state;
	char *body = g_strnfill(BODY_LIMIT_BYTES + 1, 'x');

	wait_until_serving(fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++)
		assert_int_equal(request(fixture, 1, "w-secret", paths[i], body, NULL), 413);
	body[BODY_LIMIT_BYTES] = '\0';
	assert_int_equal(request(fixture, 1, "w-secret", "/r/barid/orders/x", body, NULL), 200);
	/* The pool backoffice is the spare pool. It has no request classes, so it serves no
	 * requests. */
	assert_int_equal(request(fixture, 1, NULL, "/r/barid/backoffice/x", "x", NULL), 404);
	g_free(body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_roles_are_enforced, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_apply_resend_conflict_history, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_job_states, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_explain_has_state_and_reason, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_explain_request_at_its_process, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_oversize_body_is_rejected, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
