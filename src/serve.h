#pragma once

#include "settings.h"

/**
 * @file
 * The entry process.
 */

/**
 * Runs until SIGTERM or SIGINT, then shuts down gracefully.
 * @return exit status of the process
 */
int serve_run(const settings_t *settings);
