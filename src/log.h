#pragma once

#include <stdbool.h>

#include <glib.h>

/**
 * @file
 * Structured logs through GLib, written to standard error by default. A change of state is logged
 * as one line; frequent events are only counted (metrics.h).
 */

/**
 * Installs the log writer of the process. A further call changes the options.
 * @param json whether to write one JSON object per line instead of text
 * @param debug whether to write debug messages, too
 * @param node_id node id shown in each line; 0 for none
 */
void log_init(bool json, bool debug, unsigned node_id);

/**
 * Switches the log to standard output, as JSON lines with the name of this machine. A line is
 * dropped when standard output does not accept it at once. Info and debug lines are also dropped
 * when they exceed the rate LOG_LINES_PER_S. The next line that is written gives the number of
 * dropped lines.
 */
void log_init_stdout(const char *machine_name);

/**
 * Limit of the average rate of log lines of a process. A request causes up to 6 lines, and a
 * machine handles about 50 requests per second at peak load.
 */
#define LOG_LINES_PER_S 400

/** Sets the least important level that is logged; messages of lower importance are dropped. */
void log_set_min_level(GLogLevelFlags level);

/**
 * Fields of log_event() as alternating names and values, for example log_event(G_LOG_LEVEL_MESSAGE,
 * LOG_FIELDS("vm", id, "pool", pool), "VM drained").
 */
#define LOG_FIELDS(...)           \
	(const char *const[])     \
	{                         \
		__VA_ARGS__, NULL \
	}

/**
 * Logs an event with fields; usually called through log_event().
 * @param domain name of the logging module, shown in the line
 * @param fields alternating names and values, terminated by NULL; or NULL for no fields
 */
void log_event_full(const char *domain, GLogLevelFlags level, const char *const *fields,
		    const char *format, ...) G_GNUC_PRINTF(4, 5);
/** Logs an event in the domain G_LOG_DOMAIN. @param fields LOG_FIELDS(...), or NULL */
#define log_event(level, fields, ...) log_event_full(G_LOG_DOMAIN, level, fields, __VA_ARGS__)
