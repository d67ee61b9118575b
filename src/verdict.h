#pragma once

/**
 * @file
 * Whether a request, or one attempt of it, may have been executed by a target.
 */

typedef enum {
	VERDICT_NOT_RUN, /**< certainly not executed; safe to send again */
	VERDICT_UNKNOWN, /**< may have been executed or still be running */
	VERDICT_RAN,	 /**< executed; the answer is complete */
} verdict_t;

/** Text of the outcome for headers and log fields: "not-run", "unknown" or "ran". */
const char *verdict_name(verdict_t verdict);

/**
 * Parses a header value.
 * @return 0, or -1 when the word is none of the three; *verdict is unchanged then
 */
int verdict_parse(const char *word, verdict_t *verdict);
