#include <getopt.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

#include "cli.h"
#include "replica.h"
#include "serve.h"

/* Stubs of functions that cli_process.c refers to and that no test calls. They are weak, so that
 * the real definitions take precedence when they are linked in, too. */
__attribute__((weak)) int serve_run(const settings_t *settings)
{
	return 0;
}

__attribute__((weak)) int replica_init_data_dir(const char *data_dir, uint32_t node_id, char *error,
						size_t error_size)
{
	return 0;
}

#define CALLS_MAX 8

/* HTTP server that sends prepared responses in order. For status 0 it closes the connection
 * instead. */
static struct {
	pthread_mutex_t lock;
	unsigned status[CALLS_MAX];
	const char *response_text[CALLS_MAX];
	char *path[CALLS_MAX];	 /* path of each request received */
	json_t *body[CALLS_MAX]; /* JSON body of each request received, or NULL */
	unsigned calls;		 /* number of requests received */
	struct MHD_Daemon *daemon;
	char url[64];
	char template[64]; /* path of a temporary template file */
} server = {.lock = PTHREAD_MUTEX_INITIALIZER};

static enum MHD_Result reply(struct MHD_Connection *connection, const char *url, GString *text)
{
	unsigned call = server.calls++;
	struct MHD_Response *response;
	enum MHD_Result rc;

	if (call >= CALLS_MAX)
		return MHD_NO;
	server.path[call] = g_strdup(url);
	server.body[call] = json_loadb(text->str, text->len, 0, NULL);
	if (server.status[call] == 0)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(server.response_text[call]),
						   (void *)server.response_text[call],
						   MHD_RESPMEM_MUST_COPY);
	rc = MHD_queue_response(connection, server.status[call], response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **context)
{
	enum MHD_Result rc;

	if (*context == NULL) {
		*context = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size > 0) {
		g_string_append_len(*context, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	pthread_mutex_lock(&server.lock);
	rc = reply(connection, url, *context);
	pthread_mutex_unlock(&server.lock);
	return rc;
}

static void on_completed(void *arg, struct MHD_Connection *connection, void **context,
			 enum MHD_RequestTerminationCode code)
{
	if (*context != NULL)
		g_string_free(*context, TRUE);
	*context = NULL;
}

static int set_up(void **state)
{
	int fd;

	memset(server.status, 0, sizeof(server.status));
	server.calls = 0;
	server.daemon =
		MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request, NULL,
				 MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	assert_non_null(server.daemon);
	g_snprintf(server.url, sizeof(server.url), "http://127.0.0.1:%u",
		   MHD_get_daemon_info(server.daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	g_strlcpy(server.template, "/tmp/template-XXXXXX", sizeof(server.template));
	fd = g_mkstemp(server.template);
	assert_true(write(fd, "x: 1\n", 5) == 5);
	close(fd);
	return 0;
}

static int tear_down(void **state)
{
	MHD_stop_daemon(server.daemon);
	unlink(server.template);
	for (unsigned i = 0; i < CALLS_MAX; i++) {
		g_clear_pointer(&server.path[i], g_free);
		json_decref(server.body[i]);
		server.body[i] = NULL;
	}
	return 0;
}

static void set_response(unsigned call, unsigned status, const char *response_text)
{
	server.status[call] = status;
	server.response_text[call] = response_text;
}

/* Runs a command line.
 * @param line arguments, separated by single spaces
 * @param stream file descriptor to capture, 1 or 2
 * @param output set to the captured output, to be freed with g_free(); may be NULL
 * @return exit status */
static int run_captured(const char *line, int stream, char **output)
{
	char **args = g_strsplit(line, " ", 0);
	char file[] = "/tmp/cli-XXXXXX";
	int fd = g_mkstemp(file);
	int saved = dup(stream);
	int rc;

	(void)fflush(stdout);
	dup2(fd, stream);
	/* The value 0 makes getopt_long() start again with a new argument list. */
	optind = 0;
	rc = cli_main((int)g_strv_length(args), args);
	(void)fflush(stdout);
	dup2(saved, stream);
	close(saved);
	close(fd);
	if (output != NULL)
		assert_true(g_file_get_contents(file, output, NULL, NULL));
	unlink(file);
	g_strfreev(args);
	return rc;
}

static int run_cli(const char *line, char **output)
{
	return run_captured(line, 1, output);
}

static int run_apply(const char *more)
{
	char *line = g_strdup_printf("lavenderpass template apply %s --server %s --author amina "
				     "--note why --timeout 5%s",
				     server.template, server.url, more);
	int rc = run_cli(line, NULL);

	g_free(line);
	return rc;
}

/* Guards against changed exit statuses, which scripts rely on. */
static void test_exit_statuses(void **state)
{
	static const char *const lines[] = {
		"lavenderpass",
		"lavenderpass nonsense",
		"lavenderpass explain vm",
		"lavenderpass status --note x",
		"lavenderpass status --timeout never",
		"lavenderpass template apply x.yaml",
		"lavenderpass init --settings x.yaml",
		"lavenderpass serve",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		assert_int_equal(run_cli(lines[i], NULL), CLI_USAGE);
	assert_int_equal(run_cli("lavenderpass --help", NULL), CLI_OK);
	assert_int_equal(run_cli("lavenderpass config check /nonexistent", NULL), CLI_FAILED);
	assert_int_equal(run_cli("lavenderpass status --server http://127.0.0.1:1", NULL),
			 CLI_UNAVAILABLE);
}

/* Guards against applying a template twice: when a response is lost, the request has to be sent
 * again with the same operation id. */
static void test_apply_is_resent_with_the_same_operation_id(void **state)
{
	set_response(0, 200, "{\"organisation\": \"barid\", \"revision\": 6}");
	set_response(2, 503, "{\"error\": \"no leader\", \"outcome\": \"unknown\"}");
	set_response(3, 200, "{\"revision\": 7}");
	assert_int_equal(run_apply(""), CLI_OK);
	assert_int_equal(server.calls, 4);
	assert_string_equal(server.path[0], "/v1/templates/plan");
	for (unsigned i = 1; i <= 3; i++) {
		assert_string_equal(server.path[i], "/v1/templates/apply");
		assert_string_equal(cli_json_string(server.body[i], "op_id"),
				    cli_json_string(server.body[1], "op_id"));
		assert_int_equal(cli_json_number(server.body[i], "expected_revision"), 6);
	}
	assert_true(strlen(cli_json_string(server.body[1], "op_id")) > 10);
}

/* Guards against a conflict or a refused template that is reported as a success or sent again. */
static void test_conflict_and_refusal_are_not_resent(void **state)
{
	set_response(
		0, 409,
		"{\"error\": \"conflict\", \"revision\": 7, \"author\": \"b\", \"note\": \"n\"}");
	set_response(1, 400, "{\"error\": \"template:3: keep_vms: too large\"}");
	assert_int_equal(run_apply(" --expected-revision 6"), CLI_CONFLICT);
	assert_int_equal(run_apply(" --expected-revision 6"), CLI_FAILED);
	assert_int_equal(server.calls, 2);
}

/* Guards against error messages from which an operator cannot tell whether anything was changed,
 * or what to do next. */
static void test_error_messages_tell_what_to_do(void **state)
{
	static const struct {
		unsigned status;
		const char *response_text;
		bool token;
		cli_exit_t rc;
		const char *shown[3];
	} cases[] = {
		{401, "{\"error\": \"x\"}", false, CLI_FAILED, {"give --token-file FILE"}},
		{401,
		 "{\"error\": \"x\"}",
		 true,
		 CLI_FAILED,
		 {"refused the token of ", "role does not allow"}},
		{409,
		 "{\"error\": \"expected revision 6\", \"revision\": 7, \"author\": \"amina\", "
		 "\"note\": \"after the batch\"}",
		 false,
		 CLI_CONFLICT,
		 {"nothing was changed: expected revision 6",
		  "revision 7 is in force, applied by amina with note: after the batch",
		  "plan and apply again"}},
		{503,
		 "{\"error\": \"the leader changed\", \"outcome\": \"unknown\"}",
		 false,
		 CLI_UNAVAILABLE,
		 {"status 503): the leader changed", "the outcome is unknown",
		  "apply again with --op-id"}},
		{503,
		 "{\"error\": \"no leader\", \"outcome\": \"not-run\"}",
		 false,
		 CLI_UNAVAILABLE,
		 {"status 503): no leader", "the change was not made"}},
		{413, "too large", false, CLI_FAILED, {"limits.body_bytes"}},
	};
	char *file = g_strconcat(server.template, ".token", NULL);

	assert_true(g_file_set_contents(file, "write secret\n", -1, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *line = g_strdup_printf(
			"lavenderpass template apply %s --server %s --author b --note n "
			"--timeout 1 --expected-revision 6%s%s",
			server.template, server.url, cases[i].token ? " --token-file " : "",
			cases[i].token ? file : "");
		char *errors = NULL;

		server.calls = 0;
		for (unsigned c = 0; c < CALLS_MAX; c++)
			set_response(c, cases[i].status, cases[i].response_text);
		assert_int_equal(run_captured(line, 2, &errors), cases[i].rc);
		for (size_t j = 0; j < G_N_ELEMENTS(cases[i].shown); j++) {
			if (cases[i].shown[j] != NULL && strstr(errors, cases[i].shown[j]) == NULL)
				fail_msg("case %zu does not show \"%s\":\n%s", i, cases[i].shown[j],
					 errors);
		}
		for (unsigned c = 0; c < CALLS_MAX; c++) {
			g_clear_pointer(&server.path[c], g_free);
			json_decref(server.body[c]);
			server.body[c] = NULL;
		}
		g_free(errors);
		g_free(line);
	}
	unlink(file);
	g_free(file);
}

/* Guards against a status that lists a broken pool below others, or has lines wider than 80
 * columns. */
static void test_status_lists_broken_pools_first(void **state)
{
	char *line = g_strdup_printf("lavenderpass status --server %s", server.url);
	char *output = NULL;
	char **lines;

	set_response(
		0, 200,
		"{\"in_contact\": true, \"pools\": ["
		"{\"organisation\": \"barid\", \"pool\": \"orders\", \"promise\": \"kept\"},"
		"{\"organisation\": \"barid\", \"pool\": \"pricing\", \"promise\": \"broken\"}],"
		"\"organisations\": [{\"organisation\": \"barid\", \"revision\": 7, \"author\": "
		"\"amina\", \"behind\": [3], \"note\": \"Image 7 goes out after the price batch; "
		"do not let anyone stop the wave before the batch in Muscat is through.\"}]}");
	assert_int_equal(run_cli(line, &output), CLI_OK);
	assert_true(strstr(output, "barid/pricing") < strstr(output, "barid/orders"));
	assert_non_null(strstr(output, "not yet in force on process 3"));
	lines = g_strsplit(output, "\n", 0);
	for (size_t i = 0; lines[i] != NULL; i++)
		assert_in_range(strlen(lines[i]), 0, 80);
	g_strfreev(lines);
	g_free(output);
	g_free(line);
}

/* Runs a command and checks that its output contains a text and has no line wider than 80
 * columns. */
static void check_width(const char *command, const char *shown)
{
	char *line = g_strdup_printf("lavenderpass %s --server %s", command, server.url);
	char *output = NULL;
	char **lines;

	assert_int_equal(run_cli(line, &output), CLI_OK);
	if (strstr(output, shown) == NULL)
		fail_msg("%s does not show %s:\n%s", command, shown, output);
	lines = g_strsplit(output, "\n", 0);
	for (size_t i = 0; lines[i] != NULL; i++) {
		if (g_utf8_strlen(lines[i], -1) > 80)
			fail_msg("%s: wider than 80 columns: %s", command, lines[i]);
	}
	g_strfreev(lines);
	g_free(output);
	g_free(line);
}

/* Guards against lists wider than 80 columns, and against a truncated id, which other commands
 * would not accept. */
static void test_lists_fit_80_columns(void **state)
{
	set_response(0, 200,
		     "{\"vms\": [{\"vm\": \"tesfaye-addis-worker-0123\", \"organisation\": "
		     "\"tesfaye\", \"pool\": \"dispatch-backoffice\", \"rack\": "
		     "\"addis-ababa-east-rack-12\", \"phase\": \"quarantined\", \"health\": "
		     "\"never-announced\", \"image\": \"worker-2026-11-with-new-printer\", "
		     "\"reason\": \"3 different jobs failed here in a row\"}]}");
	set_response(
		1, 200,
		"{\"in_contact\": false, \"pools\": [{\"organisation\": "
		"\"an-organisation-with-a-long-name-and-one-more-part\", \"pool\": "
		"\"and-a-pool-with-a-long-name\", \"promise\": \"at-risk\", \"usable\": 1599, "
		"\"vms\": 1600, \"keep\": 1590, \"reserve\": 120, \"free\": 0}], \"waves\": "
		"[{\"wave\": 12, \"organisation\": \"barid\", \"state\": \"paused\", "
		"\"image\": \"an-image-name-that-is-much-longer-than-any-line-of-a-terminal-"
		"which-has-only-eighty-columns\", \"reason\": \"no window\"}], "
		"\"organisations\": [{\"organisation\": \"barid\", \"author\": \"a night "
		"operator who writes a full name and the phone extension 4711\", \"revision\": "
		"7, \"time_ms\": 1, \"note\": \"n\"}], \"members\": [{\"node\": 1, "
		"\"data_centre\": \"a-data-centre-whose-name-fills-nearly-the-whole-line-of-"
		"text\", \"applied\": 123456789}]}");
	set_response(2, 200,
		     "{\"pools\": [{\"organisation\": \"tesfaye\", \"pool\": "
		     "\"dispatch-backoffice\", \"promise\": \"at-risk\", \"vms\": 1600, "
		     "\"usable\": 1500, \"free\": 100}]}");
	check_width("vms", "tesfaye-addis-worker-0123  ");
	check_width("status", "and-a-pool-");
	check_width("pools", "tesfaye ");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_exit_statuses),
		cmocka_unit_test_setup_teardown(test_apply_is_resent_with_the_same_operation_id,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_conflict_and_refusal_are_not_resent, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_error_messages_tell_what_to_do, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_status_lists_broken_pools_first, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_lists_fit_80_columns, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
