#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>

/**
 * @file
 * Parts of the load tool: request arrivals, journal and summary.
 */

/** Outcome of a request or attempt, as the client sees it. */
typedef enum {
	LOAD_RAN,      /**< response with outcome ran or without an outcome */
	LOAD_NOT_RUN,  /**< response with outcome not-run */
	LOAD_UNKNOWN,  /**< response with outcome unknown */
	LOAD_LOST,     /**< no complete response */
	LOAD_NOT_SENT, /**< no connection was established */
	LOAD_OUTCOME_COUNT,
} load_outcome_t;

/** A class of requests: its options, the state of its arrivals, and its results. */
typedef struct {
	char *name;
	char *path;
	double rate_per_s; /**< mean arrival rate outside surges and low phases */
	bool repeatable;
	size_t body_bytes;     /**< minimum size of a request body */
	char *key_data_centre; /**< data centre prefix of idempotency keys, or NULL */

	GRand *rand; /**< used by this class only, so that its arrivals depend only on the seed */
	uint64_t next_arrival_us; /**< time of the next arrival */
	uint64_t surge_offset_us; /**< delay of the surge profile, so that classes surge in turn */

	uint64_t request_count; /**< requests that arrived so far */
	uint64_t resent_count;	/**< attempts after an unknown or lost outcome */
	uint64_t outcome_count[LOAD_OUTCOME_COUNT]; /**< requests by their last outcome */
	uint64_t wrong_bodies;	/**< responses with status 200 whose body is not the request's */
	uint64_t server_errors; /**< requests that ran with status 500 or above */
	GArray *latency_us;	/**< uint32_t, of requests that ran, from arrival to response */
} load_class_t;

/** Command line options. */
typedef struct {
	char **entries; /**< entry processes, IP:PORT; NULL-terminated */
	load_class_t *classes;
	size_t class_count;
	uint32_t seed;
	double duration_s;
	uint64_t max_requests; /**< 0: no limit */
	unsigned timeout_ms;   /**< of each attempt */
	unsigned max_resends;  /**< per request */
	unsigned resend_delay_ms;
	unsigned max_connections;
	double surge_start_s; /**< length of the normal phase before a surge; negative: no surges */
	double surge_length_s;
	double surge_low_s;	  /**< length of the low phase after a surge */
	const char *journal_path; /**< or NULL */
	const char *extra_header; /**< "NAME: VALUE", added to each request, or NULL */
} load_options_t;

/** Journal line about the start or the end of an attempt. */
typedef struct {
	const char *event; /**< "invoke" or "complete" */
	const char *id;
	const char *key; /**< idempotency key, or NULL */
	const char *class_name;
	const char *entry; /**< entry process, IP:PORT */
	unsigned attempt;  /**< from 1 */
	uint64_t due_us;   /**< arrival of the request */
	uint64_t sent_us;
	uint64_t completed_us;	/**< end of the attempt; 0: it has just started */
	long status;		/**< HTTP status; 0: no response */
	const char *outcome;	/**< Lavenderpass-Outcome header, or NULL */
	const char *request_id; /**< Lavenderpass-Request-Id header, or NULL */
	const char *body;	/**< response body: "own" (the request's), "other" or "none" */
	const char *error;	/**< libcurl's error, or NULL */
} load_event_t;

/** Parses NAME:PATH:RATE:repeatable|once[:BODY_BYTES[:KEY_HOME]], where KEY_HOME is the data centre
 * prefix of idempotency keys. @return false if malformed */
bool load_class_parse(load_class_t *class, const char *text);
/** Arrival rate at offset_us after the start, including surges. */
double load_rate_per_s(const load_options_t *options, const load_class_t *class,
		       uint64_t offset_us);
/** Advances class->next_arrival_us to the next arrival of a Poisson process. */
void load_draw_next_arrival(const load_options_t *options, load_class_t *class, uint64_t start_us);
/** Appends one JSON line. @param journal NULL: does nothing */
void load_journal_write(FILE *journal, const load_event_t *event);
/** Prints the results of all classes as JSON; sorts their latencies. */
void load_print_summary(const load_options_t *options, double elapsed_s);
