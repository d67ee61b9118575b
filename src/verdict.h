#pragma once

/**
 * @file
 * Outcome of a request or of one attempt of it: whether a target has executed it.
 */

typedef enum {
	VERDICT_NOT_RUN, /**< certainly not executed; can safely be sent again */
	VERDICT_UNKNOWN, /**< may have been executed, or may still be running */
	VERDICT_RAN,	 /**< executed, and the response is complete */
} verdict_t;

/** Returns the outcome's name in headers and log fields: "not-run", "unknown" or "ran". */
const char *verdict_name(verdict_t verdict);

/**
 * Parses an outcome in a header value.
 * @return 0, or -1 when the word is no outcome's name; *verdict is then unchanged
 */
int verdict_parse(const char *word, verdict_t *verdict);
