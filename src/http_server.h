#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http_budget.h"
#include "mailbox.h"
#include "metrics.h"

/**
 * @file
 * HTTP server: libmicrohttpd in external epoll mode, driven by a tevent context. The servers of
 * several I/O threads can share a port through SO_REUSEPORT.
 */

struct MHD_Daemon;
struct tevent_context;
struct http_request;
typedef struct http_request http_request_t;

/**
 * Handles a request; runs in the server's thread once the whole request was received. The handler
 * owns the request until http_request_reply().
 */
typedef void (*http_handler_fn)(void *arg, http_request_t *request);

typedef struct {
	const char *address; /**< IP address to listen on */
	uint16_t port;
	/** Largest request body in bytes; the reply to a larger one is 413. */
	size_t body_limit;
	unsigned connection_limit;
	unsigned idle_timeout_s; /**< time without activity after which a connection is closed */
	/**
	 * Limit of the memory that clients make the server hold, in bytes; 0: no limit. Requests
	 * that exceed it are answered 503, and connections that have stalled are closed for others.
	 */
	size_t memory_limit;
	metrics_t *metrics; /**< gets counters of what was refused and closed; NULL: none */
	const char *name;   /**< value of the label "server" of these counters */
} http_server_config_t;

/** Why a server turned a client away. */
typedef enum {
	HTTP_REFUSED_BODY,	 /**< no memory for a request's headers or body: answered 503 */
	HTTP_REFUSED_CONNECTION, /**< no memory for a further connection: closed at once */
	HTTP_REFUSED_STALLED,	 /**< a stalled connection was closed to make room */
	HTTP_REFUSED_COUNT,
} http_refused_t;

/** A header of a request or response. */
typedef struct {
	const char *name;
	const char *value;
} http_header_t;

typedef struct {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *daemon_watch; /**< watch of the daemon's epoll descriptor */
	struct mono_timer *timer;	/**< timer of the daemon's next run */
	mailbox_t mailbox;		/**< receives replies made in other threads */
	http_handler_fn handler;
	void *handler_arg;
	http_server_config_t config;
	unsigned open_requests; /**< value returned by http_server_open_requests() */
	bool draining;
	/** True when a connection was resumed after the latest run of the daemon. */
	bool resumed_connections;
	/**
	 * Shared with the requests. Outlives the server while requests have no reply, so that their
	 * replies are dropped.
	 */
	struct http_server_shared *shared;
	uint64_t malformed; /**< number of requests rejected as malformed */
	http_budget_t budget;
	http_holder_t orphans; /**< requests whose clients have disconnected before the reply */
	unsigned connections;
	uint64_t refused[HTTP_REFUSED_COUNT];
	metrics_counter_t *refused_total[HTTP_REFUSED_COUNT]; /**< NULL without metrics */
	metrics_counter_t *memory_used;
	uint64_t refusal_logged_us; /**< time of the latest log line about clients turned away */
} http_server_t;

/** Starts listening. @return 0, or -1 with errno set, for example when the port is in use */
int http_server_init(http_server_t *server, struct tevent_context *ev,
		     const http_server_config_t *config, http_handler_fn handler, void *arg);
/**
 * Checks that no other process listens on an address. The servers of one process share an address
 * through SO_REUSEPORT, which would also let two processes share it by mistake.
 * @return 0, or -1 with errno set when the address is in use or invalid
 */
int http_server_check_address(const char *address, uint16_t port);
/**
 * Stops accepting connections. Requests in progress continue; each connection is closed after its
 * next response.
 */
void http_server_drain(http_server_t *server);
/** Returns the number of requests whose response is not completely written yet. */
unsigned http_server_open_requests(const http_server_t *server);
/**
 * Closes all connections. Requests without a reply stay valid until their owners call
 * http_request_reply(), which then sends nothing.
 */
void http_server_finish(http_server_t *server);

const char *http_request_method(const http_request_t *request);
/** Returns the path as received, without the query. */
const char *http_request_path(const http_request_t *request);
/** Returns the query string as received, without the question mark; "" when there is none. */
const char *http_request_query(const http_request_t *request);
/** Returns the value of a header, or NULL. The case of the name does not matter. */
const char *http_request_header(http_request_t *request, const char *name);
/** Returns a decoded query parameter, or NULL. */
const char *http_request_param(http_request_t *request, const char *name);
/**
 * Returns the body of the request, valid until the reply.
 * @param length set to the length of the body in bytes
 */
const void *http_request_body(const http_request_t *request, size_t *length);
/**
 * Frees the body, for a handler that has decoded it and keeps bytes of that until the reply.
 * @return false when there is no room for them; the handler then has to drop them and refuse the
 * request
 */
bool http_request_replace_body(http_request_t *request, size_t bytes);
/** Calls fn for each header, with its name as received. */
void http_request_for_each_header(http_request_t *request,
				  void (*fn)(void *arg, const char *name, const char *value),
				  void *arg);

/**
 * Sets a function that is called once, in the server's thread, when the client disconnects before
 * the reply. The request's owner must reply nevertheless; the reply is dropped.
 */
void http_request_set_disconnect_handler(http_request_t *request, void (*fn)(void *arg), void *arg);

/**
 * Sends the reply and ends the caller's ownership of the request. Must be called exactly once per
 * request, from any thread. Headers and body are copied.
 * @param status HTTP status code
 */
void http_request_reply(http_request_t *request, unsigned status, const http_header_t *headers,
			size_t header_count, const void *body, size_t length);
