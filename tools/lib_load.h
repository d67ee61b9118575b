#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/**
 * @file
 * Parts of the load tool: arrivals of requests, journal and summary.
 */

/** Outcome of a request or attempt, as the client sees it. */
typedef enum {
	LOAD_RAN,      /**< response with outcome ran, or without an outcome */
	LOAD_NOT_RUN,  /**< response with outcome not-run */
	LOAD_UNKNOWN,  /**< response with outcome unknown */
	LOAD_LOST,     /**< no complete response */
	LOAD_NOT_SENT, /**< no connection was established */
	LOAD_OUTCOME_COUNT,
} load_outcome_t;

/** @return name of the outcome as in the journal and the summary; a static string */
const char *load_outcome_name(load_outcome_t outcome);

/** A class of requests: its options, the state of its arrivals, and its results. */
typedef struct {
	char *name;
	char *path;
	double rate_per_s; /**< arrival rate in the normal phase, outside surges and low phases */
	bool repeatable;
	size_t body_bytes;     /**< minimum size of a request body */
	char *key_data_centre; /**< data centre that prefixes the idempotency keys, or NULL for no
				  prefix */

	GRand *rand; /**< generator used by this class only, so that its arrivals depend only on the
			seed */
	uint64_t next_arrival_us; /**< time of the next arrival */
	uint64_t surge_offset_us; /**< delay of this class's surges, so that the classes surge one
				     after the other */

	uint64_t request_count; /**< number of requests that have arrived */
	uint64_t resent_count;	/**< number of attempts that followed an unknown or lost outcome */
	uint64_t outcome_count[LOAD_OUTCOME_COUNT]; /**< number of requests by the outcome of their
						       last attempt */
	uint64_t wrong_bodies;	/**< number of responses with status 200 whose body is not that of
				   the request */
	uint64_t server_errors; /**< number of requests with outcome ran and a response status of
				     500 or above */
	GArray *latency_us;	/**< latencies (uint32_t) of the requests that ran, from arrival to
				   response */
} load_class_t;

/** Command line options of the load tool. */
typedef struct {
	char **entries; /**< addresses of the entry processes, IP:PORT; terminated by NULL */
	load_class_t *classes;
	size_t class_count;
	uint32_t seed;
	double duration_s;
	uint64_t max_requests; /**< maximum number of requests; 0 for no limit */
	unsigned timeout_ms;   /**< timeout of each attempt */
	unsigned max_resends;  /**< maximum number of resends per request */
	unsigned resend_delay_ms;
	unsigned max_connections;
	double surge_start_s; /**< length of the normal phase; negative for no surges */
	double surge_length_s;
	double surge_low_s;	  /**< length of the low phase after a surge */
	const char *journal_path; /**< path of the journal, or NULL for none */
	const char *extra_header; /**< added to each request, "NAME: VALUE"; or NULL */
} load_options_t;

/** A line of the load tool's journal, about the start or the end of an attempt. */
typedef struct {
	const char *event; /**< "invoke" at the start, "complete" at the end */
	const char *id;
	const char *key; /**< idempotency key of the request, or NULL */
	const char *class_name;
	const char *entry; /**< address of the entry process, IP:PORT */
	unsigned attempt;  /**< number of the attempt, from 1 */
	uint64_t due_us;   /**< arrival time of the request */
	uint64_t sent_us;
	uint64_t completed_us;	/**< time at which the attempt ended; 0 in a line about its start */
	long status;		/**< HTTP status of the response; 0 without a response */
	const char *outcome;	/**< value of the Lavenderpass-Outcome header, or NULL */
	const char *request_id; /**< value of the Lavenderpass-Request-Id header, or NULL */
	const char *body;   /**< response body: "own" (that of the request), "other" or "none" */
	const char *result; /**< what became of the attempt, from load_outcome_name(); NULL in a
			       line about its start */
	const char *error;  /**< error message of libcurl, or NULL */
} load_event_t;

/** Parses a class NAME:PATH:RATE:repeatable|once[:BODY_BYTES[:KEY_HOME]]. KEY_HOME is the data
 * centre that prefixes the idempotency keys. @return false if text is malformed */
bool load_class_parse(load_class_t *class, const char *text);
/** Returns the arrival rate of a class at offset_us after the start, including surges. */
double load_rate_per_s(const load_options_t *options, const load_class_t *class,
		       uint64_t offset_us);
/** Advances next_arrival_us of a class to the next arrival, drawn from a Poisson process. */
void load_draw_next_arrival(const load_options_t *options, load_class_t *class, uint64_t start_us);
/** Appends an event to the journal as one JSON line. @param journal NULL: the event is ignored */
void load_journal_write(FILE *journal, const load_event_t *event);
/** Prints the results of all classes as JSON. Sorts the latencies of the classes. */
void load_print_summary(const load_options_t *options, double elapsed_s);
