#pragma once

/**
 * @file
 * Whether a request, or one attempt of it, may have run.
 */

typedef enum {
	VERDICT_NOT_RUN, /**< certainly not run; safe to send again */
	VERDICT_UNKNOWN, /**< may have run, may still run */
	VERDICT_RAN,	 /**< ran; the answer is whole */
} verdict_t;

/** Header value and log word of a verdict: "not-run", "unknown" or "ran". */
const char *verdict_name(verdict_t verdict);

/**
 * Parses a header value.
 * @return 0, or -1 when the word is none of the three; *verdict is then unchanged.
 */
int verdict_parse(const char *word, verdict_t *verdict);
