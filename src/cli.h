#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/**
 * @file
 * The command line interface: option parsing, commands, client of the administration API, and
 * output.
 */

/** Exit statuses. Scripts rely on the values, so they must not change. */
typedef enum {
	CLI_OK = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
	CLI_CONFLICT = 3,
	CLI_UNAVAILABLE = 4, /**< the change was not made, or its outcome is unknown; a message on
				standard error says which of the two */
} cli_exit_t;

typedef struct {
	char **args; /**< operands, terminated by NULL */
	int arg_count;
	char **servers; /**< base URLs of the entry processes, tried in turn */
	const char *token_file;
	bool json; /**< --json: print the response as JSON */
	unsigned timeout_s;
	const char *settings; /**< path of the settings file */
	bool first;	      /**< whether --first was given to the command init */
	const char *author;
	const char *note;  /**< reason for a template change */
	const char *op_id; /**< --op-id: operation id of an earlier attempt to apply the template,
			      or NULL */
	const char *organisation;
	const char *pool;
	const char *state; /**< --state: list only the jobs in this state; NULL for all jobs */
	const char *reason;
	bool has_expected_revision;
	uint64_t expected_revision;
	json_t *parameters; /**< template parameters: JSON object of strings */
} cli_options_t;

/** Parses the command line and runs the command. @return exit status */
int cli_main(int argc, char **argv);

/* --- cli_client.c --- */

/** Response of an entry process to a request of the command line client. */
typedef struct {
	long status;	   /**< HTTP status, or 0 without a response */
	json_t *body;	   /**< response body, or NULL when there is none or it is not JSON */
	bool may_have_run; /**< whether the server may have carried out the request, but its outcome
				is unknown */
} cli_response_t;

/**
 * Sends a GET request to the servers in turn until one responds. Prints an error message on
 * failure.
 * @param response to be freed with cli_response_finish(), also after a failure
 */
cli_exit_t cli_get(const cli_options_t *options, const char *path, cli_response_t *response);
/** Like cli_get(), but sends a POST request. For requests that change nothing, such as a template
 * check. */
cli_exit_t cli_post_query(const cli_options_t *options, const char *path, json_t *body,
			  cli_response_t *response);
/**
 * Sends a POST request that makes a change. Repeats it, to each server in turn, until one responds
 * or the timeout expires, so the request has to be idempotent, for example by an operation id.
 */
cli_exit_t cli_post_change(const cli_options_t *options, const char *path, json_t *body,
			   cli_response_t *response);
void cli_response_finish(cli_response_t *response);
/** Percent-encodes text for use in a URL. @return copy to be freed with g_free() */
char *cli_uri_escape(const char *text);

/* --- cli_print.c --- */

typedef struct {
	const char *title; /**< column heading */
	const char *key;   /**< member of the row objects to print in the column */
} cli_column_t;

/** Prints a message to standard error, with the program's name as prefix. */
void cli_error(const char *format, ...) __attribute__((format(printf, 1, 2)));
/**
 * Truncates text to a width in characters; truncated text ends in "...".
 * @return copy to be freed with g_free()
 */
char *cli_truncate(const char *text, size_t width);
/**
 * Prints an array of objects as a table of at most 80 columns. Texts are truncated to fit, except
 * those in the first table column.
 */
void cli_print_table(const json_t *rows, const cli_column_t *columns, size_t count);
/**
 * Prints text wrapped at 80 columns.
 * @param prefix printed at the start of the first line
 * @param indent number of spaces at the start of the other lines
 */
void cli_print_wrapped(const char *prefix, unsigned indent, const char *text);
void cli_print_json(const json_t *value);
/** Formats a wall-clock time in UTC with a resolution of one second; "" for the time 0. */
void cli_format_time(json_int_t wall_ms, char *out, size_t size);
/** @return the text of the object's member with the given key, or "" when there is none */
const char *cli_json_string(const json_t *object, const char *key);
/** @return the integer value of the object's member with the given key, or 0 when there is none */
json_int_t cli_json_number(const json_t *object, const char *key);

/* --- commands; each returns the exit status --- */
cli_exit_t cli_serve(const cli_options_t *options);
cli_exit_t cli_edge(const cli_options_t *options);
cli_exit_t cli_core(const cli_options_t *options);
cli_exit_t cli_init(const cli_options_t *options);
cli_exit_t cli_config_check(const cli_options_t *options);
cli_exit_t cli_template_check(const cli_options_t *options);
cli_exit_t cli_template_plan(const cli_options_t *options);
cli_exit_t cli_template_apply(const cli_options_t *options);
cli_exit_t cli_template_history(const cli_options_t *options);
cli_exit_t cli_status(const cli_options_t *options);
cli_exit_t cli_explain(const cli_options_t *options);
cli_exit_t cli_vms(const cli_options_t *options);
cli_exit_t cli_pools(const cli_options_t *options);
cli_exit_t cli_waves(const cli_options_t *options);
cli_exit_t cli_jobs_list(const cli_options_t *options);
cli_exit_t cli_jobs_submit(const cli_options_t *options);
cli_exit_t cli_jobs_cancel(const cli_options_t *options);
