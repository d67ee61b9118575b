#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

static void print_problems(const json_t *status)
{
	if (!json_is_true(json_object_get(status, "in_contact")))
		cli_print_wrapped("PROBLEM: ", 9,
				  "this process is not in contact with a leader; what it shows "
				  "may be old");
	if (json_is_true(json_object_get(status, "disk_failed")))
		(void)puts("PROBLEM: the data folder of this process cannot be written");
	if (cli_json_string(status, "platform_error")[0] != '\0')
		cli_print_wrapped("PROBLEM: platform: ", 9,
				  cli_json_string(status, "platform_error"));
}

/* Layout of a pool's status line: column at which the pool's name ends, and widths of the name and
 * of the numbers. */
#define POOL_NAME_END 33
#define POOL_NAME_WIDTH 22
#define POOL_NUMBERS_WIDTH 47

/* Prints the availability of a pool on one line of 80 columns, or on two lines when the name or the
 * numbers are too wide. */
static void print_pool(const json_t *pool)
{
	char *full = g_strdup_printf("%s/%s", cli_json_string(pool, "organisation"),
				     cli_json_string(pool, "pool"));
	char *name = cli_truncate(full, 80 - (POOL_NAME_END - POOL_NAME_WIDTH));
	char *numbers = g_strdup_printf(
		" %3lld/%-3lld usable  keep %3lld  reserve %2lld  free %3lld",
		(long long)cli_json_number(pool, "usable"), (long long)cli_json_number(pool, "vms"),
		(long long)cli_json_number(pool, "keep"),
		(long long)cli_json_number(pool, "reserve"),
		(long long)cli_json_number(pool, "free"));

	(void)printf("  %-8s %-*s", cli_json_string(pool, "promise"), POOL_NAME_WIDTH, name);
	if (g_utf8_strlen(name, -1) > POOL_NAME_WIDTH || strlen(numbers) > POOL_NUMBERS_WIDTH)
		(void)printf("\n%*s", POOL_NAME_END - POOL_NAME_WIDTH, "");
	(void)puts(numbers);
	g_free(numbers);
	g_free(name);
	g_free(full);
}

/* Prints the pools whose availability guarantee is kept, or those whose guarantee is not kept. */
static void print_pools(const json_t *pools, bool kept)
{
	size_t i;
	json_t *pool;

	json_array_foreach (pools, i, pool) {
		if ((strcmp(cli_json_string(pool, "promise"), "kept") == 0) == kept)
			print_pool(pool);
	}
}

static void print_waves(const json_t *waves)
{
	size_t i;
	json_t *wave;

	(void)puts("\nWAVES");
	json_array_foreach (waves, i, wave) {
		char *text = g_strdup_printf(
			"%lld %s %s: %s, %lld done, %lld failed, %s",
			(long long)cli_json_number(wave, "wave"),
			cli_json_string(wave, "organisation"), cli_json_string(wave, "image"),
			cli_json_string(wave, "state"), (long long)cli_json_number(wave, "done"),
			(long long)cli_json_number(wave, "failures"),
			cli_json_string(wave, "reason"));

		cli_print_wrapped("  ", 4, text);
		g_free(text);
	}
	if (json_array_size(waves) == 0)
		(void)puts("  none");
}

static char *join_numbers(const json_t *numbers)
{
	GString *text = g_string_new(NULL);
	size_t i;
	json_t *number;

	json_array_foreach (numbers, i, number)
		g_string_append_printf(text, "%s%lld", i == 0 ? "" : " ",
				       (long long)json_integer_value(number));
	return g_string_free(text, FALSE);
}

/* Prints the template revision in force of each organisation, with its author and note. */
static void print_revisions(const json_t *organisations)
{
	size_t i;
	json_t *org;

	(void)puts("\nNOTES OF THE DAY STAFF");
	json_array_foreach (organisations, i, org) {
		const json_t *behind = json_object_get(org, "behind");
		char *nodes = join_numbers(behind);
		char *title;
		char when[40];

		cli_format_time(cli_json_number(org, "time_ms"), when, sizeof(when));
		title = g_strdup_printf("%s, revision %lld, %s, %s",
					cli_json_string(org, "organisation"),
					(long long)cli_json_number(org, "revision"),
					cli_json_string(org, "author"), when);
		cli_print_wrapped("  ", 4, title);
		cli_print_wrapped("    ", 4, cli_json_string(org, "note"));
		if (json_array_size(behind) > 0)
			cli_print_wrapped("    not yet in force on process ", 6, nodes);
		g_free(title);
		g_free(nodes);
	}
	if (json_array_size(organisations) == 0)
		(void)puts("  none");
}

static void print_members(const json_t *members)
{
	size_t i;
	json_t *member;

	(void)puts("\nENTRY PROCESSES");
	json_array_foreach (members, i, member) {
		char *dc = cli_truncate(cli_json_string(member, "data_centre"), 32);

		(void)printf("  %lld %-20s %-5s %-6s applied %lld\n",
			     (long long)cli_json_number(member, "node"), dc,
			     json_is_true(json_object_get(member, "up")) ? "up" : "down",
			     json_is_true(json_object_get(member, "leader")) ? "leader" : "",
			     (long long)cli_json_number(member, "applied"));
		g_free(dc);
	}
}

cli_exit_t cli_status(const cli_options_t *options)
{
	cli_response_t response;
	cli_exit_t rc = cli_get(options, "/v1/status", &response);
	const json_t *status = response.body;

	if (rc == CLI_OK && options->json) {
		cli_print_json(status);
	} else if (rc == CLI_OK) {
		print_problems(status);
		(void)puts("PROMISES");
		print_pools(json_object_get(status, "pools"), false);
		print_pools(json_object_get(status, "pools"), true);
		print_waves(json_object_get(status, "waves"));
		print_revisions(json_object_get(status, "organisations"));
		print_members(json_object_get(status, "members"));
		(void)printf("\ncluster %s, shown by process %lld in %s\n",
			     cli_json_string(status, "cluster"),
			     (long long)cli_json_number(status, "node"),
			     cli_json_string(status, "data_centre"));
	}
	cli_response_finish(&response);
	return rc;
}

/* Prints the response of /v1/explain: first the fields common to all kinds, then the other fields
 * by name, then the template revision. */
static void print_explanation(const json_t *body)
{
	static const char *const wrapped_fields[][2] = {
		{"why", "  why:       "},
		{"waits_for", "  waits for: "},
		{"next", "  next:      "},
	};
	static const char *const known_keys[] = {"kind",     "id",	  "state", "since_ms",
						 "why",	     "waits_for", "next",  "organisation",
						 "revision", "author",	  "note"};
	char when[40];
	const char *key;
	json_t *value;

	cli_format_time(cli_json_number(body, "since_ms"), when, sizeof(when));
	(void)printf("%s %s: %s%s%s\n", cli_json_string(body, "kind"), cli_json_string(body, "id"),
		     cli_json_string(body, "state"), when[0] == '\0' ? "" : " since ", when);
	for (size_t i = 0; i < G_N_ELEMENTS(wrapped_fields); i++) {
		if (cli_json_string(body, wrapped_fields[i][0])[0] != '\0')
			cli_print_wrapped(wrapped_fields[i][1], 13,
					  cli_json_string(body, wrapped_fields[i][0]));
	}
	json_object_foreach ((json_t *)body, key, value) {
		bool printed = false;

		for (size_t i = 0; i < G_N_ELEMENTS(known_keys); i++)
			printed |= strcmp(known_keys[i], key) == 0;
		if (!printed && json_is_string(value) && json_string_value(value)[0] != '\0')
			(void)printf("  %s: %s\n", key, json_string_value(value));
		else if (!printed && json_is_integer(value))
			(void)printf("  %s: %lld\n", key, (long long)json_integer_value(value));
	}
	if (cli_json_string(body, "author")[0] != '\0') {
		(void)printf("  note of %s with revision %lld of %s:\n",
			     cli_json_string(body, "author"),
			     (long long)cli_json_number(body, "revision"),
			     cli_json_string(body, "organisation"));
		cli_print_wrapped("    ", 4, cli_json_string(body, "note"));
	}
}

cli_exit_t cli_explain(const cli_options_t *options)
{
	char *kind = cli_uri_escape(options->args[0]);
	char *id = cli_uri_escape(options->args[1]);
	char *path = g_strdup_printf("/v1/explain?kind=%s&id=%s", kind, id);
	cli_response_t response;
	cli_exit_t rc = cli_get(options, path, &response);

	if (rc == CLI_OK && options->json)
		cli_print_json(response.body);
	else if (rc == CLI_OK)
		print_explanation(response.body);
	cli_response_finish(&response);
	g_free(path);
	g_free(id);
	g_free(kind);
	return rc;
}

/* Removes the rows that do not match the options --organisation and --pool. */
static void filter_rows(const cli_options_t *options, json_t *rows)
{
	for (size_t i = 0; i < json_array_size(rows);) {
		const json_t *row = json_array_get(rows, i);
		bool excluded = (options->organisation != NULL &&
				 strcmp(cli_json_string(row, "organisation"),
					options->organisation) != 0) ||
				(options->pool != NULL &&
				 strcmp(cli_json_string(row, "pool"), options->pool) != 0);

		if (excluded)
			json_array_remove(rows, i);
		else
			i++;
	}
}

/* Gets a list from the server and prints it as a table, or as JSON with --json. */
static cli_exit_t fetch_and_print_list(const cli_options_t *options, const char *path,
				       const char *key, const cli_column_t *columns, size_t count)
{
	cli_response_t response;
	cli_exit_t rc = cli_get(options, path, &response);
	json_t *rows = json_object_get(response.body, key);

	if (rc == CLI_OK) {
		filter_rows(options, rows);
		if (options->json)
			cli_print_json(response.body);
		else
			cli_print_table(rows, columns, count);
	}
	cli_response_finish(&response);
	return rc;
}

cli_exit_t cli_vms(const cli_options_t *options)
{
	static const cli_column_t columns[] = {
		{"VM", "vm"},	      {"POOL", "pool"},	  {"RACK", "rack"},	{"PHASE", "phase"},
		{"HEALTH", "health"}, {"IMAGE", "image"}, {"REASON", "reason"},
	};

	return fetch_and_print_list(options, "/v1/vms", "vms", columns, G_N_ELEMENTS(columns));
}

cli_exit_t cli_pools(const cli_options_t *options)
{
	static const cli_column_t columns[] = {
		{"ORGANISATION", "organisation"},
		{"POOL", "pool"},
		{"PROMISE", "promise"},
		{"VMS", "vms"},
		{"USABLE", "usable"},
		{"OUT", "out"},
		{"DOUBT", "doubt"},
		{"KEEP", "keep"},
		{"RESERVE", "reserve"},
		{"FREE", "free"},
	};

	return fetch_and_print_list(options, "/v1/pools", "pools", columns, G_N_ELEMENTS(columns));
}

cli_exit_t cli_waves(const cli_options_t *options)
{
	static const cli_column_t columns[] = {
		{"WAVE", "wave"},	{"ORGANISATION", "organisation"},
		{"IMAGE", "image"},	{"STATE", "state"},
		{"BATCH", "batch"},	{"DONE", "done"},
		{"FAILED", "failures"}, {"REASON", "reason"},
	};

	return fetch_and_print_list(options, "/v1/waves", "waves", columns, G_N_ELEMENTS(columns));
}

cli_exit_t cli_jobs_list(const cli_options_t *options)
{
	static const cli_column_t columns[] = {
		{"JOB", "job"}, {"POOL", "pool"},	{"KIND", "kind"},     {"STATE", "state"},
		{"VM", "vm"},	{"ATTEMPT", "attempt"}, {"REASON", "reason"},
	};
	char *path = options->state == NULL ? g_strdup("/v1/jobs")
					    : g_strdup_printf("/v1/jobs?state=%s", options->state);
	cli_exit_t rc = fetch_and_print_list(options, path, "jobs", columns, G_N_ELEMENTS(columns));

	g_free(path);
	return rc;
}
