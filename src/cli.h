#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/**
 * @file
 * The command line: options, commands, the client of the administration API, printing.
 */

/** Exit statuses. Scripts rely on them; they do not change. */
typedef enum {
	CLI_OK = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
	CLI_CONFLICT = 3,
	CLI_UNAVAILABLE = 4, /**< not done, or the outcome is unknown; the message says which */
} cli_exit_t;

typedef struct {
	char **args; /**< operands, ended by NULL */
	int arg_count;
	char **servers; /**< base URLs, tried in turn */
	const char *token_file;
	bool json;
	unsigned timeout_s;
	const char *settings;
	bool first;
	const char *author;
	const char *note;
	const char *op_id;
	const char *organisation;
	const char *pool;
	const char *state;
	const char *reason;
	bool has_expected_revision;
	uint64_t expected_revision;
	json_t *parameters; /**< object */
} cli_options_t;

/** Parses the command line and runs the command. @return exit status */
int cli_main(int argc, char **argv);

/* --- cli_client.c --- */

/** Answer of the server. */
typedef struct {
	long status;	   /**< 0: none */
	json_t *body;	   /**< NULL: none, or not JSON */
	bool may_have_run; /**< a request was sent whose outcome is unknown */
} cli_answer_t;

/**
 * GET, through the first server that answers. On failure a message is on standard error.
 * @param answer to be given back with cli_answer_finish() in every case
 */
cli_exit_t cli_get(const cli_options_t *options, const char *path, cli_answer_t *answer);
/** POST of a request that changes nothing; as cli_get(). */
cli_exit_t cli_query(const cli_options_t *options, const char *path, json_t *body,
		     cli_answer_t *answer);
/**
 * POST of a change that carries its own operation id: sent again, through the servers in turn,
 * until it is answered or the timeout is over.
 */
cli_exit_t cli_change(const cli_options_t *options, const char *path, json_t *body,
		      cli_answer_t *answer);
void cli_answer_finish(cli_answer_t *answer);
/** Percent-encoded copy, to be freed with g_free(). */
char *cli_escape(const char *text);

/* --- cli_print.c --- */

typedef struct {
	const char *title;
	const char *key;
} cli_column_t;

/** Message on standard error, with the program's name in front. */
void cli_error(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** Copy that is cut to a width and then ends in "..."; to be freed with g_free(). */
char *cli_cut(const char *text, size_t width);
/** Prints the rows of an array of objects in 80 columns; all columns but the first are cut to fit.
 */
void cli_print_table(const json_t *rows, const cli_column_t *columns, size_t count);
/** Prints text with a hanging indent, wrapped at 80 columns. */
void cli_print_wrapped(const char *first, unsigned indent, const char *text);
void cli_print_json(const json_t *value);
/** UTC, to the second; "" for 0. */
void cli_format_time(json_int_t wall_ms, char *out, size_t size);
/** String member, or "". */
const char *cli_string(const json_t *object, const char *key);
json_int_t cli_number(const json_t *object, const char *key);

/* --- commands --- */
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
