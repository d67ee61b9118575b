#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/**
 * @file
 * Parts of the load tool: arrivals, journal, summary.
 */

/** What one request came to, seen by the client. */
typedef enum {
	SEEN_RAN,      /**< answered, outcome ran or none given */
	SEEN_NOT_RUN,  /**< answered with not-run */
	SEEN_UNKNOWN,  /**< answered with unknown */
	SEEN_LOST,     /**< no complete answer */
	SEEN_NOT_SENT, /**< no connection */
	SEEN_COUNT,
} seen_t;

typedef struct {
	char *name;
	char *path;
	double rate_per_s; /**< mean */
	bool repeatable;
	size_t body_bytes;
	char *key_home; /**< data centre prefix of idempotency keys, or NULL */

	GRand *rand;	  /**< of this class, so that arrivals depend on the seed alone */
	uint64_t next_us; /**< next arrival */
	uint64_t surge_shift_us;

	uint64_t invoked;
	uint64_t resent;
	uint64_t final[SEEN_COUNT]; /**< by the last answer of each request */
	uint64_t other_body;	    /**< answers with status 200 and another request's body */
	uint64_t failed_status;	    /**< ran with status 500 or above */
	GArray *latency_us;	    /**< uint32_t, of requests that ran, from the due time */
} load_class_t;

typedef struct {
	char **entries;
	load_class_t *classes;
	size_t class_count;
	uint32_t seed;
	double seconds;
	uint64_t requests; /**< 0: no limit */
	unsigned timeout_ms;
	unsigned resends;
	unsigned resend_wait_ms;
	unsigned connections;
	double surge_start_s; /**< negative: no surge */
	double surge_s;
	double surge_low_s;
	const char *journal;
	const char *header;
} load_options_t;

/** One attempt, as written to the journal. */
typedef struct {
	const char *event; /**< invoke or complete */
	const char *id;
	const char *key;
	const char *class_name;
	const char *entry;
	unsigned attempt;
	uint64_t due_us;
	uint64_t sent_us;
	uint64_t answer_us;
	long status;
	const char *outcome;
	const char *request_id;
	const char *body; /**< own, other or none */
	const char *error;
} load_event_t;

/** Parses NAME:PATH:RATE:repeatable|once[:BODY_BYTES[:KEY_HOME]]. @return false when malformed */
bool load_class_parse(load_class_t *class, const char *text);
/** Rate at a time after the start; the surge profile applies. */
double load_rate(const load_options_t *options, const load_class_t *class, uint64_t offset_us);
/** Draws the time of the next arrival after class->next_us. */
void load_next_arrival(const load_options_t *options, load_class_t *class, uint64_t start_us);
void load_journal(FILE *journal, const load_event_t *event);
/** Prints one JSON object. */
void load_summary(const load_options_t *options, double elapsed_s);
