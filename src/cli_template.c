#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

/* Builds the request body of the template commands check, plan and apply from the template file and
 * the --param options.
 * @return NULL after an error message when the file cannot be read */
static json_t *make_request_body(const cli_options_t *options)
{
	const char *file = options->args[0];
	GError *error = NULL;
	char *text = NULL;
	json_t *body;

	if (!g_file_get_contents(file, &text, NULL, &error)) {
		cli_error("%s", error->message);
		g_error_free(error);
		return NULL;
	}
	body = json_pack("{s:s, s:s, s:O}", "text", text, "name", file, "parameters",
			 options->parameters);
	if (body == NULL)
		cli_error("%s: not UTF-8", file);
	g_free(text);
	return body;
}

cli_exit_t cli_template_check(const cli_options_t *options)
{
	json_t *body = make_request_body(options);
	cli_response_t response;
	cli_exit_t rc;

	if (body == NULL)
		return CLI_FAILED;
	rc = cli_post_query(options, "/v1/templates/check", body, &response);
	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		(void)printf("%s: valid, organisation %s, %lld pools\n", options->args[0],
			     cli_json_string(response.body, "organisation"),
			     (long long)cli_json_number(response.body, "pools"));
	cli_response_finish(&response);
	json_decref(body);
	return rc;
}

static void print_plan(const json_t *plan)
{
	(void)printf("organisation %s, revision %lld is in force\n",
		     cli_json_string(plan, "organisation"),
		     (long long)cli_json_number(plan, "revision"));
	(void)printf("  moves:                      %lld\n",
		     (long long)cli_json_number(plan, "moves"));
	(void)printf("  VMs due for maintenance:    %lld\n",
		     (long long)cli_json_number(plan, "maintenance"));
	(void)printf("  roll-out, estimated:        %.1f min\n",
		     (double)cli_json_number(plan, "rollout_ms") / 60000.0);
	(void)printf("  roll-out, least possible:   %.1f min\n",
		     (double)cli_json_number(plan, "rollout_bound_ms") / 60000.0);
	(void)printf("  VMs held idle as buffer:    %lld\n",
		     (long long)cli_json_number(plan, "buffer_vms"));
	(void)printf("  pools at risk meanwhile:    %lld\n",
		     (long long)cli_json_number(plan, "at_risk"));
	if (cli_json_string(plan, "text")[0] != '\0')
		(void)printf("%s\n", cli_json_string(plan, "text"));
}

cli_exit_t cli_template_plan(const cli_options_t *options)
{
	json_t *body = make_request_body(options);
	cli_response_t response;
	cli_exit_t rc;

	if (body == NULL)
		return CLI_FAILED;
	rc = cli_post_query(options, "/v1/templates/plan", body, &response);
	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		print_plan(response.body);
	cli_response_finish(&response);
	json_decref(body);
	return rc;
}

/* Gets the revision in force from the server and prints it, so that the operator sees which
 * revision will be replaced. */
static cli_exit_t fetch_current_revision(const cli_options_t *options, json_t *body,
					 uint64_t *revision)
{
	cli_response_t response;
	cli_exit_t rc = cli_post_query(options, "/v1/templates/plan", body, &response);

	if (rc == CLI_OK) {
		*revision = (uint64_t)cli_json_number(response.body, "revision");
		(void)fprintf(stderr, "organisation %s: revision %llu is in force\n",
			      cli_json_string(response.body, "organisation"),
			      (unsigned long long)*revision);
	}
	cli_response_finish(&response);
	return rc;
}

/* Sends the request to apply the template. If the outcome is unknown, tells the operator how to
 * find it out. */
static cli_exit_t send_apply(const cli_options_t *options, json_t *body, const char *op_id)
{
	cli_response_t response;
	cli_exit_t rc = cli_post_change(options, "/v1/templates/apply", body, &response);

	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		(void)printf("revision %lld is in force\n",
			     (long long)cli_json_number(response.body, "revision"));
	if (rc == CLI_UNAVAILABLE && response.may_have_run)
		(void)fprintf(stderr,
			      "to learn the outcome, apply again with --op-id %s "
			      "--expected-revision %lld\n",
			      op_id, (long long)cli_json_number(body, "expected_revision"));
	cli_response_finish(&response);
	return rc;
}

cli_exit_t cli_template_apply(const cli_options_t *options)
{
	const char *author = options->author == NULL ? g_get_user_name() : options->author;
	uint64_t revision = options->expected_revision;
	cli_exit_t rc = CLI_OK;
	char *op_id;
	json_t *body;

	if (options->note == NULL) {
		cli_error("--note is required: say why, for the operators on duty");
		return CLI_USAGE;
	}
	if (options->op_id != NULL && !options->has_expected_revision) {
		cli_error("--op-id needs the --expected-revision of the first attempt");
		return CLI_USAGE;
	}
	body = make_request_body(options);
	if (body == NULL)
		return CLI_FAILED;
	if (!options->has_expected_revision)
		rc = fetch_current_revision(options, body, &revision);
	if (rc == CLI_OK) {
		op_id = options->op_id == NULL ? g_uuid_string_random() : g_strdup(options->op_id);
		json_object_set_new(body, "expected_revision", json_integer((json_int_t)revision));
		json_object_set_new(body, "op_id", json_string(op_id));
		json_object_set_new(body, "author", json_string(author));
		json_object_set_new(body, "note", json_string(options->note));
		rc = send_apply(options, body, op_id);
		g_free(op_id);
	}
	json_decref(body);
	return rc;
}

static void print_history(const json_t *history)
{
	size_t i;
	json_t *record;

	json_array_foreach (history, i, record) {
		char when[40];

		cli_format_time(cli_json_number(record, "time_ms"), when, sizeof(when));
		(void)printf("%s revision %lld, %s, %s\n", cli_json_string(record, "organisation"),
			     (long long)cli_json_number(record, "revision"),
			     cli_json_string(record, "author"), when);
		cli_print_wrapped("    ", 4, cli_json_string(record, "note"));
		if (cli_json_string(record, "summary")[0] != '\0')
			cli_print_wrapped("    ", 4, cli_json_string(record, "summary"));
	}
}

cli_exit_t cli_template_history(const cli_options_t *options)
{
	char *org = options->arg_count == 0 ? NULL : cli_uri_escape(options->args[0]);
	char *path = org == NULL ? g_strdup("/v1/templates/history")
				 : g_strdup_printf("/v1/templates/history?organisation=%s", org);
	cli_response_t response;
	cli_exit_t rc = cli_get(options, path, &response);

	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		print_history(json_object_get(response.body, "history"));
	cli_response_finish(&response);
	g_free(path);
	g_free(org);
	return rc;
}
