#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "http_server.h"
#include "verdict.h"

/**
 * @file
 * HTTP client adapter: libcurl multi on one tevent context. Used by one thread only.
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
	uint32_t timeout_ms;	      /**< for the whole call; 0 is none */
	uint32_t progress_timeout_ms; /**< no byte in either direction for so long ends the call */
	size_t response_limit;	      /**< bytes */
	/** Called right before the request is handed to the connection; false cancels the call. */
	bool (*before_send)(void *arg);
	void *before_send_arg;
	/**
	 * Uses a new connection, so that an idle connection that the peer has just closed cannot
	 * leave the outcome unknown. For requests that may not be repeated.
	 */
	bool fresh_connection;
	/**
	 * A response header of this name with another value ends the call and its connection: the
	 * response belongs to another request. NULL: no check.
	 */
	const http_header_t *expected_echo;
} http_call_request_t;

/** Result of a call; valid during the done function only. */
typedef struct {
	bool connected;		  /**< a connection existed and the request may have been written */
	bool sent;		  /**< at least one byte of the request may have reached the peer */
	bool complete;		  /**< status, headers and the whole body were received */
	bool refused_before_send; /**< before_send returned false */
	bool timed_out;		  /**< a timeout ended the call */
	bool mismatched;	  /**< the response was that of another request */
	unsigned status;
	const http_header_t *headers;
	size_t header_count;
	const void *body;
	size_t body_length;
	const char *error; /**< NULL when complete */
	uint64_t elapsed_us;
} http_call_result_t;

typedef void (*http_call_done_fn)(void *arg, const http_call_result_t *result);

typedef struct {
	struct tevent_context *ev;
	void *multi; /**< CURLM */
	struct tevent_timer *timer;
	unsigned calls;
	uint32_t connection_age_max_s;
	GQueue in_progress; /**< http_call_t */
	GQueue handles;	    /**< CURL, idle */
} http_client_t;

/** @return 0, or -1 when out of memory. */
int http_client_init(http_client_t *client, struct tevent_context *ev,
		     uint32_t connection_age_max_s);
/** Most connections to one host; more calls wait for one. */
void http_client_limit_host(http_client_t *client, unsigned connections);
/** Cancels the calls in progress: their done functions are called with complete = false. */
void http_client_finish(http_client_t *client);

/**
 * Starts a call; everything in request is copied.
 * @return the call, valid until done was called; NULL when out of memory (done is not called)
 */
http_call_t *http_client_send(http_client_t *client, const http_call_request_t *request,
			      http_call_done_fn done, void *arg);
/** Ends a call and closes its connection; done is not called. */
void http_call_cancel(http_call_t *call);

/** Verdict from the transport's facts alone, without regard to any outcome header. */
verdict_t http_call_verdict(const http_call_result_t *result);
/** Value of a response header, or NULL. */
const char *http_call_header(const http_call_result_t *result, const char *name);
