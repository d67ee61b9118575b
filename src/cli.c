#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#define DEFAULT_SERVER "http://127.0.0.1:8080"
#define DEFAULT_TIMEOUT_S 15

/* Letters of the options that all commands of the administration API accept: --server,
 * --token-file, --json and --timeout. */
#define OPERATOR_OPTIONS "skjt"

typedef struct {
	const char *name;     /* one or two words, such as "vms" or "jobs list" */
	const char *operands; /* operands as shown in the usage message */
	int min_operands;
	int max_operands;
	const char *options; /* accepted options, as letters from long_options */
	cli_exit_t (*run)(const cli_options_t *options);
	const char *help;
} command_t;

#define UNLIMITED_OPERANDS 1000000

static const command_t commands[] = {
	{"serve", "--settings FILE", 0, 0, "S", cli_serve, "run the entry process"},
	{"edge", "", 0, 0, "", cli_edge, "run an edge process on the users' platform"},
	{"core", "", 0, 0, "", cli_core,
	 "run a process that keeps the log, on the users' platform"},
	{"init", "--settings FILE --first", 0, 0, "SF", cli_init,
	 "create the data folder of a founding voter"},
	{"config check", "FILE", 1, 1, "", cli_config_check, "check a settings file"},
	{"template check", "FILE", 1, 1, OPERATOR_OPTIONS "p", cli_template_check,
	 "check a template against the rules"},
	{"template plan", "FILE", 1, 1, OPERATOR_OPTIONS "p", cli_template_plan,
	 "show what a template would cause"},
	{"template apply", "FILE --note TEXT", 1, 1, OPERATOR_OPTIONS "panOe", cli_template_apply,
	 "put a template in force"},
	{"template history", "[ORGANISATION]", 0, 1, OPERATOR_OPTIONS, cli_template_history,
	 "list applied revisions"},
	{"status", "", 0, 0, OPERATOR_OPTIONS, cli_status,
	 "promises, waves, notes of the day staff"},
	{"explain", "vm|pool|wave|job|request ID", 2, 2, OPERATOR_OPTIONS, cli_explain,
	 "why something is as it is (a pool's ID is ORGANISATION/POOL)"},
	{"vms", "", 0, 0, OPERATOR_OPTIONS "oP", cli_vms, "list VMs"},
	{"pools", "", 0, 0, OPERATOR_OPTIONS "o", cli_pools, "list pools"},
	{"waves", "", 0, 0, OPERATOR_OPTIONS "o", cli_waves, "list maintenance waves"},
	{"jobs list", "", 0, 0, OPERATOR_OPTIONS "oPT", cli_jobs_list, "list jobs"},
	{"jobs submit", "FILE | NAME=VALUE...", 1, UNLIMITED_OPERANDS, OPERATOR_OPTIONS,
	 cli_jobs_submit, "submit a job, or the jobs of a JSON file"},
	{"jobs cancel", "JOB... --reason TEXT", 1, UNLIMITED_OPERANDS, OPERATOR_OPTIONS "R",
	 cli_jobs_cancel, "cancel jobs"},
};

static const struct option long_options[] = {
	{"server", required_argument, NULL, 's'},
	{"token-file", required_argument, NULL, 'k'},
	{"json", no_argument, NULL, 'j'},
	{"timeout", required_argument, NULL, 't'},
	{"settings", required_argument, NULL, 'S'},
	{"first", no_argument, NULL, 'F'},
	{"param", required_argument, NULL, 'p'},
	{"author", required_argument, NULL, 'a'},
	{"note", required_argument, NULL, 'n'},
	{"op-id", required_argument, NULL, 'O'},
	{"expected-revision", required_argument, NULL, 'e'},
	{"organisation", required_argument, NULL, 'o'},
	{"pool", required_argument, NULL, 'P'},
	{"state", required_argument, NULL, 'T'},
	{"reason", required_argument, NULL, 'R'},
	{"help", no_argument, NULL, 'h'},
	{0},
};

static void print_help(FILE *out)
{
	(void)fputs("usage: lavenderpass COMMAND [OPTIONS]\n\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		(void)fprintf(out, "  %s %s\n        %s\n", commands[i].name, commands[i].operands,
			      commands[i].help);
	(void)fputs("\noptions of operator commands:\n"
		    "  --server URL[,URL]        entry processes, tried in turn; default is\n"
		    "                            $LAVENDERPASS_SERVER, else " DEFAULT_SERVER "\n"
		    "  --token-file FILE         token, or lines of \"role token\"\n"
		    "  --json                    print the server's answer\n"
		    "  --timeout SECONDS         (15)\n"
		    "  --param NAME=VALUE        value of a template's parameter; repeat for each\n"
		    "  --author NAME             default: login name\n"
		    "  --note TEXT               why; shown to the operators on duty\n"
		    "  --expected-revision N     default: the revision in force, which is printed\n"
		    "  --op-id ID                resend of an apply whose outcome was unknown\n"
		    "  --organisation, --pool, --state NAME   limit a list\n\n"
		    "exit status: 0 done, 1 failed, 2 usage, 3 conflict, 4 unavailable or outcome\n"
		    "unknown\n",
		    out);
}

static int usage_error(const command_t *command, const char *message)
{
	cli_error("%s", message);
	if (command != NULL)
		(void)fprintf(stderr, "usage: lavenderpass %s %s\n", command->name,
			      command->operands);
	else
		(void)fputs("'lavenderpass --help' lists the commands\n", stderr);
	return CLI_USAGE;
}

/* Finds the command that the first one or two arguments name.
 * @param word_count set to the number of words in the command's name */
static const command_t *find_command(int argc, char **argv, int *word_count)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char **name_words = g_strsplit(commands[i].name, " ", 2);
		int name_word_count = (int)g_strv_length(name_words);
		bool match = argc > name_word_count;

		for (int j = 0; match && j < name_word_count; j++)
			match = strcmp(name_words[j], argv[j + 1]) == 0;
		g_strfreev(name_words);
		if (match) {
			*word_count = name_word_count;
			return &commands[i];
		}
	}
	return NULL;
}

/* Adds a template parameter given as NAME=VALUE. @return false when text is malformed */
static bool add_template_parameter(cli_options_t *options, const char *text)
{
	const char *equals = strchr(text, '=');
	char *name;

	if (equals == NULL || equals == text)
		return false;
	name = g_strndup(text, (gsize)(equals - text));
	json_object_set_new(options->parameters, name, json_string(equals + 1));
	g_free(name);
	return true;
}

/* Sets the number given with --timeout or --expected-revision. @return false when it is out of
 * range */
static bool set_number_option(cli_options_t *options, int opt, const char *value)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(value, 10, opt == 't', opt == 't' ? 3600 : INT64_MAX,
					&number, NULL))
		return false;
	if (opt == 't') {
		options->timeout_s = (unsigned)number;
	} else {
		options->has_expected_revision = true;
		options->expected_revision = number;
	}
	return true;
}

/* Sets the member of options that belongs to a command line option with a text value. @return false
 * when the text is empty */
static bool set_text_option(cli_options_t *options, int opt, const char *value)
{
	const struct {
		int opt;
		const char **field;
	} text_options[] = {
		{'k', &options->token_file}, {'S', &options->settings},
		{'a', &options->author},     {'n', &options->note},
		{'O', &options->op_id},	     {'o', &options->organisation},
		{'P', &options->pool},	     {'T', &options->state},
		{'R', &options->reason},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(text_options); i++) {
		if (text_options[i].opt == opt)
			*text_options[i].field = value;
	}
	return value[0] != '\0';
}

/* Sets the member of options that belongs to a command line option. @return false when the value is
 * invalid */
static bool set_option(cli_options_t *options, int opt, const char *value)
{
	switch (opt) {
	case 's':
		g_strfreev(options->servers);
		options->servers = g_strsplit(value, ",", 0);
		return options->servers[0] != NULL;
	case 'j':
		options->json = true;
		return true;
	case 'F':
		options->first = true;
		return true;
	case 'p':
		return add_template_parameter(options, value);
	case 't':
	case 'e':
		return set_number_option(options, opt, value);
	default:
		return set_text_option(options, opt, value);
	}
}

/* Parses the options and operands that follow the command's name.
 * @return CLI_OK, CLI_USAGE after an error message, or -1 after printing the help */
static int parse_options(const command_t *command, cli_options_t *options, int argc, char **argv)
{
	int index = -1;
	int opt;

	while ((opt = getopt_long(argc, argv, "h", long_options, &index)) != -1) {
		if (opt == 'h') {
			print_help(stdout);
			return -1;
		}
		if (opt == '?')
			return usage_error(command, "bad option");
		if (strchr(command->options, opt) == NULL)
			return usage_error(command, "this command does not take that option");
		if (!set_option(options, opt, optarg)) {
			cli_error("--%s: bad value '%s'", long_options[index].name, optarg);
			return CLI_USAGE;
		}
	}
	options->args = argv + optind;
	options->arg_count = argc - optind;
	if (options->arg_count < command->min_operands ||
	    options->arg_count > command->max_operands)
		return usage_error(command, "wrong number of operands");
	return CLI_OK;
}

int cli_main(int argc, char **argv)
{
	const char *server = getenv("LAVENDERPASS_SERVER");
	cli_options_t options = {.timeout_s = DEFAULT_TIMEOUT_S};
	const command_t *command;
	char **command_args;
	int word_count = 0;
	int rc;

	if (argc < 2 || strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_help(argc < 2 ? stderr : stdout);
		return argc < 2 ? CLI_USAGE : CLI_OK;
	}
	command = find_command(argc, argv, &word_count);
	if (command == NULL)
		return usage_error(NULL, "unknown command");
	options.servers =
		g_strsplit(server == NULL || server[0] == '\0' ? DEFAULT_SERVER : server, ",", 0);
	options.parameters = json_object();
	/* getopt_long() skips the first argument as the program's name and reorders the others, so
	 * it gets a copy of the arguments without the command's name. */
	command_args =
		g_memdup2(argv + word_count, sizeof(*argv) * (size_t)(argc - word_count + 1));
	command_args[0] = argv[0];
	rc = parse_options(command, &options, argc - word_count, command_args);
	if (rc == CLI_OK) {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		rc = (int)command->run(&options);
		curl_global_cleanup();
	}
	g_free(command_args);
	json_decref(options.parameters);
	g_strfreev(options.servers);
	return rc < 0 ? CLI_OK : rc;
}
