#pragma once

#include "settings.h"

/**
 * @file
 * Start, main loop and shutdown of an entry process.
 */

/**
 * Runs an entry process until SIGTERM or SIGINT, then shuts it down gracefully.
 * @return exit status of the process
 */
int serve_run(const settings_t *settings);
