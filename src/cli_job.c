#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

typedef enum {
	FIELD_TEXT,
	FIELD_NUMBER,
	FIELD_BOOLEAN,
} field_type_t;

static const struct {
	const char *name;
	field_type_t type;
} job_fields[] = {
	{"job", FIELD_TEXT},	   {"organisation", FIELD_TEXT},   {"pool", FIELD_TEXT},
	{"team", FIELD_TEXT},	   {"kind", FIELD_TEXT},	   {"cores", FIELD_NUMBER},
	{"mem_mib", FIELD_NUMBER}, {"accelerators", FIELD_NUMBER}, {"run_time_ms", FIELD_NUMBER},
	{"urgent", FIELD_BOOLEAN}, {"repeatable", FIELD_BOOLEAN},
};

/* Converts the text of a job field to JSON. @return new reference, or NULL when text is no valid
 * value of the type */
static json_t *parse_value(field_type_t type, const char *text)
{
	guint64 number;

	switch (type) {
	case FIELD_TEXT:
		return json_string(text);
	case FIELD_NUMBER:
		if (g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, &number, NULL))
			return json_integer((json_int_t)number);
		return NULL;
	case FIELD_BOOLEAN:
		if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0)
			return json_boolean(text[0] == 't');
		return NULL;
	}
	return NULL;
}

/* Sets a job field from an operand NAME=VALUE. @return false after an error message */
static bool set_job_field(json_t *job, const char *operand)
{
	const char *equals = strchr(operand, '=');
	size_t length = equals == NULL ? 0 : (size_t)(equals - operand);
	json_t *value = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(job_fields) && equals != NULL; i++) {
		if (strlen(job_fields[i].name) == length &&
		    strncmp(job_fields[i].name, operand, length) == 0) {
			value = parse_value(job_fields[i].type, equals + 1);
			json_object_set(job, job_fields[i].name, value);
		}
	}
	if (value == NULL)
		cli_error("'%s': expected NAME=VALUE with a job's field and a value of its type",
			  operand);
	json_decref(value);
	return value != NULL;
}

/* Reads jobs from a JSON file that contains one job object or an array of them, or builds one job
 * from NAME=VALUE operands.
 * @return array (new reference), or NULL after an error message */
static json_t *read_jobs(const cli_options_t *options)
{
	json_error_t error;
	json_t *jobs;

	if (options->arg_count == 1 && strchr(options->args[0], '=') == NULL) {
		jobs = json_load_file(options->args[0], 0, &error);
		if (jobs == NULL)
			cli_error("%s:%d: %s", options->args[0], error.line, error.text);
		return json_is_object(jobs) ? json_pack("[o]", jobs) : jobs;
	}
	jobs = json_pack("[{}]");
	for (int i = 0; i < options->arg_count; i++) {
		if (!set_job_field(json_array_get(jobs, 0), options->args[i])) {
			json_decref(jobs);
			return NULL;
		}
	}
	return jobs;
}

/* Submits a job. A job without an id gets a random one, so that resending the request does not
 * submit a second job. */
static cli_exit_t submit_job(const cli_options_t *options, json_t *job)
{
	char *id = g_uuid_string_random();
	cli_response_t response;
	cli_exit_t rc;

	if (cli_json_string(job, "job")[0] == '\0')
		json_object_set_new(job, "job", json_string(id));
	g_free(id);
	rc = cli_post_change(options, "/v1/jobs", job, &response);
	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		(void)printf("job %s submitted\n", cli_json_string(job, "job"));
	else if (rc == CLI_UNAVAILABLE && response.may_have_run)
		(void)fprintf(stderr, "to learn the outcome, submit the same job with job=%s\n",
			      cli_json_string(job, "job"));
	else
		(void)fprintf(stderr, "job %s was not submitted\n", cli_json_string(job, "job"));
	cli_response_finish(&response);
	return rc;
}

cli_exit_t cli_jobs_submit(const cli_options_t *options)
{
	json_t *jobs = read_jobs(options);
	cli_exit_t rc = jobs == NULL ? CLI_FAILED : CLI_OK;
	size_t i;
	json_t *job;

	json_array_foreach (jobs, i, job) {
		rc = submit_job(options, job);
		if (rc != CLI_OK)
			break;
	}
	json_decref(jobs);
	return rc;
}

cli_exit_t cli_jobs_cancel(const cli_options_t *options)
{
	json_t *jobs = json_array();
	json_t *body;
	cli_response_t response;
	cli_exit_t rc;

	for (int i = 0; i < options->arg_count; i++)
		json_array_append_new(jobs, json_string(options->args[i]));
	body = json_pack("{s:o, s:s}", "jobs", jobs, "reason",
			 options->reason == NULL ? "" : options->reason);
	rc = cli_post_change(options, "/v1/jobs/cancel", body, &response);
	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		(void)printf("%d jobs cancelled, or ended before\n", options->arg_count);
	cli_response_finish(&response);
	json_decref(body);
	return rc;
}
