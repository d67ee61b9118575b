#pragma once

#include <stdbool.h>

#include <glib.h>

/**
 * @file
 * Structured logs on standard error, by GLib's logging. One line for each change of state; what
 * happens often is counted instead (metrics.h).
 */

/**
 * @param json one JSON object per line instead of text
 * @param debug also debug messages
 * @param node_id shown in each line; 0 for none
 */
void log_init(bool json, bool debug, unsigned node_id);

/**
 * From now on lines are written to standard output as JSON, with the name of this machine. A line
 * that the reader does not take at once, or that exceeds LOG_LINES_PER_S, is counted and dropped; a
 * later line tells the number. Warnings and errors are not limited.
 */
void log_init_stdout(const char *name);

/** Lines a second that a process may write on average. A request has up to 6 lines, and a machine
 * takes some 50 requests a second at the peak. */
#define LOG_LINES_PER_S 400

/** Lines below this level are dropped. */
void log_set_least(GLogLevelFlags level);

/**
 * Logs a change of state with fields, such as
 * log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", id, "pool", pool), "VM drained").
 */
#define LOG_FIELDS(...)           \
	(const char *const[])     \
	{                         \
		__VA_ARGS__, NULL \
	}

/** @param fields name and value alternating, ended by NULL; or NULL */
void log_event_full(const char *domain, GLogLevelFlags level, const char *const *fields,
		    const char *format, ...) G_GNUC_PRINTF(4, 5);
#define log_event(level, fields, ...) log_event_full(G_LOG_DOMAIN, level, fields, __VA_ARGS__)
