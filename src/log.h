#pragma once

#include <stdbool.h>

#include <glib.h>

/**
 * @file
 * Structured logs through GLib, to standard error by default. Each change of state is logged in one
 * line; frequent events are counted instead (metrics.h).
 */

/**
 * Installs the log writer of the process. It may be called again to change the options.
 * @param json write one JSON object per line instead of text
 * @param debug also write debug messages
 * @param node_id shown in each line; 0: none
 */
void log_init(bool json, bool debug, unsigned node_id);

/**
 * Writes lines to standard output from now on, as JSON with the name of this machine. A line that
 * the reader does not accept at once, and an info or debug message beyond LOG_LINES_PER_S, is
 * dropped and counted; the next line that is written reports the number.
 */
void log_init_stdout(const char *machine_name);

/**
 * Average number of lines that a process may write per second. A request causes up to 6 lines, and
 * a machine handles about 50 requests per second at peak load.
 */
#define LOG_LINES_PER_S 400

/** Sets the least important level that is logged; less important messages are dropped. */
void log_set_min_level(GLogLevelFlags level);

/**
 * Names and values of the fields of log_event(), for example
 * log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", id, "pool", pool), "VM drained").
 */
#define LOG_FIELDS(...)           \
	(const char *const[])     \
	{                         \
		__VA_ARGS__, NULL \
	}

/**
 * Logs an event with fields; usually called through log_event().
 * @param domain module that logs, shown in the line
 * @param fields alternating names and values, terminated by NULL; or NULL
 */
void log_event_full(const char *domain, GLogLevelFlags level, const char *const *fields,
		    const char *format, ...) G_GNUC_PRINTF(4, 5);
/** Logs an event of the module G_LOG_DOMAIN. @param fields LOG_FIELDS(...) or NULL */
#define log_event(level, fields, ...) log_event_full(G_LOG_DOMAIN, level, fields, __VA_ARGS__)
