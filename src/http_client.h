#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "http_server.h"
#include "verdict.h"

/**
 * @file
 * Asynchronous HTTP client: a libcurl multi handle driven by a tevent context. All functions must
 * be called in the thread of that context.
 */

struct mono_timer;
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
	uint32_t timeout_ms;	      /**< timeout of the whole call; 0: none */
	uint32_t progress_timeout_ms; /**< longest time without a byte sent or received; 0: none */
	/** Largest response body in bytes; the call fails when the body is larger. */
	size_t response_limit;
	/** Size of the buffer for received data, in bytes; 0: libcurl's default of 16 KB. A smaller
	 * one saves memory where many calls with short responses are in progress. */
	uint32_t receive_buffer;
	/**
	 * Called right before the request is written to the connection. Returns false to cancel the
	 * call.
	 */
	bool (*before_send)(void *arg);
	void *before_send_arg;
	/**
	 * True to use a new connection. When the peer closes a reused idle connection at the moment
	 * of sending, it is unknown whether the request ran, so requests that must not be repeated
	 * need a new connection.
	 */
	bool fresh_connection;
	/**
	 * Header that the response must not have with another value. If it does, the response
	 * belongs to another request: the call fails and its connection is closed. NULL: no check.
	 */
	const http_header_t *expected_header;
} http_call_request_t;

/** Result of a call, valid only while the done function runs. */
typedef struct {
	bool connected;		    /**< a connection was ready for the request */
	bool sent;		    /**< part of the request may have reached the peer */
	bool complete;		    /**< status, headers and the complete body were received */
	bool cancelled_before_send; /**< before_send returned false */
	bool timed_out;		    /**< a timeout ended the call */
	bool mismatched;	    /**< the response had expected_header with another value */
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
	void *multi;		  /**< CURLM handle */
	struct mono_timer *timer; /**< timer for the timeout that libcurl asked for */
	unsigned call_count;
	/** Age in seconds above which connections are not reused. */
	uint32_t connection_age_max_s;
	GQueue in_progress; /**< elements: http_call_t in progress */
} http_client_t;

/**
 * Initialises a client.
 * @param connection_age_max_s age in seconds above which connections are not reused
 * @return 0, or -1 when out of memory
 */
int http_client_init(http_client_t *client, struct tevent_context *ev,
		     uint32_t connection_age_max_s);
/**
 * Limits the connections to each host. Calls beyond the limit wait until a connection is free, and
 * their timeout ends them only then (libcurl 7.88.1).
 */
void http_client_set_host_connection_limit(http_client_t *client, unsigned connections);
/**
 * Ends the calls in progress as failed (their done functions are called) and frees the client's
 * resources.
 */
void http_client_finish(http_client_t *client);

/**
 * Starts a call. The data in request is copied.
 * @return the call, valid until done has returned; NULL when out of memory (done is not called)
 */
http_call_t *http_client_send(http_client_t *client, const http_call_request_t *request,
			      http_call_done_fn done, void *arg);
/** Cancels a call and closes its connection. Its done function is not called. */
void http_call_cancel(http_call_t *call);

/**
 * Derives the outcome from what was sent and received; the Lavenderpass-Outcome header is ignored.
 */
verdict_t http_call_verdict(const http_call_result_t *result);
/** Returns the value of a response header, or NULL. The case of the name does not matter. */
const char *http_call_header(const http_call_result_t *result, const char *name);
