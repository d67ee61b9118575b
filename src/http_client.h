#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "http_server.h"
#include "verdict.h"

/**
 * @file
 * Asynchronous HTTP client: a libcurl multi handle driven by a tevent context. Used by the thread
 * of that context only.
 */

struct tevent_context;
struct http_call;
typedef struct http_call http_call_t;

typedef struct {
	const char *method;
	const char *url;
	const http_header_t *headers;
	size_t header_count;
	const void *body;
	size_t body_length;
	uint32_t connect_timeout_ms;
	uint32_t timeout_ms;	      /**< for the whole call; 0: none */
	uint32_t progress_timeout_ms; /**< longest time without a byte sent or received; 0: none */
	size_t response_limit; /**< largest response body in bytes; a larger one fails the call */
	/** Called right before the request is written to the connection; false cancels the call. */
	bool (*before_send)(void *arg);
	void *before_send_arg;
	/**
	 * Uses a new connection. On an idle connection that the peer closes at that moment, it
	 * would be unknown whether the request ran, so requests that may not be repeated need a new
	 * one.
	 */
	bool fresh_connection;
	/**
	 * When the response has this header with another value, the response belongs to another
	 * request: the call fails and its connection is closed. NULL: no check.
	 */
	const http_header_t *expected_header;
} http_call_request_t;

/** Result of a call; valid while the done function runs. */
typedef struct {
	bool connected; /**< a connection was ready for the request */
	bool sent;	/**< at least one byte of the request may have reached the peer */
	bool complete;	/**< status, headers and the complete body were received */
	bool cancelled_before_send; /**< before_send returned false */
	bool timed_out;		    /**< a timeout ended the call */
	bool mismatched;	    /**< expected_header had another value */
	unsigned status;
	const http_header_t *headers;
	size_t header_count;
	const void *body;
	size_t body_length;
	const char *error; /**< description of the failure; NULL when complete */
	uint64_t elapsed_us;
} http_call_result_t;

typedef void (*http_call_done_fn)(void *arg, const http_call_result_t *result);

typedef struct {
	struct tevent_context *ev;
	void *multi;		    /**< CURLM handle */
	struct tevent_timer *timer; /**< the timeout that libcurl asked for */
	unsigned call_count;
	uint32_t connection_age_max_s; /**< older connections are not reused */
	GQueue in_progress;	       /**< http_call_t in progress */
	GQueue idle_handles;	       /**< CURL handles kept for reuse */
} http_client_t;

/**
 * @param connection_age_max_s connections older than this many seconds are not reused
 * @return 0, or -1 when out of memory
 */
int http_client_init(http_client_t *client, struct tevent_context *ev,
		     uint32_t connection_age_max_s);
/** Limits the connections to each host; further calls wait until one is free. */
void http_client_set_host_connection_limit(http_client_t *client, unsigned connections);
/** Fails the calls in progress (their done functions are called) and frees the client. */
void http_client_finish(http_client_t *client);

/**
 * Starts a call. The data in request is copied.
 * @return the call, valid until done was called; NULL when out of memory (done is not called)
 */
http_call_t *http_client_send(http_client_t *client, const http_call_request_t *request,
			      http_call_done_fn done, void *arg);
/** Ends a call and closes its connection; done is not called. */
void http_call_cancel(http_call_t *call);

/** Outcome by what was sent and received; the Lavenderpass-Outcome header is ignored. */
verdict_t http_call_verdict(const http_call_result_t *result);
/** Value of a response header, or NULL. The name is compared without regard to case. */
const char *http_call_header(const http_call_result_t *result, const char *name);
