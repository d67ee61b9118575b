#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdio.h>

#include "adapter.h"
#include "log.h"
#include "replica.h"
#include "serve.h"
#include "settings.h"

#define ERROR_SIZE 512

/* Loads the settings file; prints an error message on failure.
 * @param file path, or NULL when --settings was not given */
static cli_exit_t load_settings(settings_t *settings, const char *file)
{
	char error[ERROR_SIZE];

	if (file == NULL) {
		cli_error("--settings is required");
		return CLI_USAGE;
	}
	if (settings_load(settings, file, error, sizeof(error)) != 0) {
		cli_error("%s", error);
		return CLI_FAILED;
	}
	return CLI_OK;
}

cli_exit_t cli_edge(const cli_options_t *options)
{
	return (cli_exit_t)adapter_run_edge();
}

cli_exit_t cli_core(const cli_options_t *options)
{
	return (cli_exit_t)adapter_run_core();
}

cli_exit_t cli_serve(const cli_options_t *options)
{
	settings_t settings;
	cli_exit_t rc = load_settings(&settings, options->settings);

	if (rc != CLI_OK)
		return rc;
	log_init(settings.log_format == SETTINGS_LOG_JSON, settings.log_debug, settings.node);
	rc = (cli_exit_t)serve_run(&settings);
	settings_finish(&settings);
	return rc;
}

cli_exit_t cli_init(const cli_options_t *options)
{
	char error[ERROR_SIZE] = "";
	settings_t settings;
	cli_exit_t rc;

	if (!options->first) {
		cli_error("--first is required: only the founding voters of a new group are "
			  "initialised; others join with an empty data folder");
		return CLI_USAGE;
	}
	rc = load_settings(&settings, options->settings);
	if (rc != CLI_OK)
		return rc;
	rc = CLI_FAILED;
	if (settings.data_dir == NULL)
		cli_error("%s: no data_dir; only VMs with a disk are initialised", settings.file);
	else if (replica_init_data_dir(settings.data_dir, settings.node, error, sizeof(error)) != 0)
		cli_error("%s", error);
	else
		rc = CLI_OK;
	if (rc == CLI_OK)
		(void)printf("%s: identity of founding voter %u created\n", settings.data_dir,
			     settings.node);
	settings_finish(&settings);
	return rc;
}

cli_exit_t cli_config_check(const cli_options_t *options)
{
	settings_t settings;
	cli_exit_t rc = load_settings(&settings, options->args[0]);

	if (rc == CLI_OK) {
		(void)printf("%s: valid, node %u in %s\n", settings.file, settings.node,
			     settings.data_centre);
		settings_finish(&settings);
	}
	return rc;
}
