#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mailbox.h"

/**
 * @file
 * HTTP server adapter: libmicrohttpd in external epoll mode on one tevent context. Several servers
 * (one per I/O thread) may share a port through address reuse.
 */

struct MHD_Daemon;
struct tevent_context;
struct http_request;
typedef struct http_request http_request_t;

/** Runs in the server's thread once the whole request has been received. */
typedef void (*http_handler_fn)(void *arg, http_request_t *request);

typedef struct {
	const char *address; /**< IP address */
	uint16_t port;
	size_t body_limit; /**< bytes; larger bodies are answered with 413 */
	unsigned connection_limit;
	unsigned idle_timeout_s;
} http_server_config_t;

/** One header of a reply. */
typedef struct {
	const char *name;
	const char *value;
} http_header_t;

typedef struct {
	struct tevent_context *ev;
	struct MHD_Daemon *daemon;
	struct tevent_fd *watch;
	struct tevent_timer *timer;
	mailbox_t mailbox; /**< replies from other threads */
	http_handler_fn handler;
	void *arg;
	http_server_config_t config;
	unsigned open_requests;
	bool draining;
	bool resumed; /**< connections were resumed since the last run of the daemon */
	/** Shared with the requests: tells a late reply that the server is gone. */
	struct http_server_link *link;
	uint64_t malformed; /**< requests that the HTTP parser answered with an error */
} http_server_t;

/** @return 0, or -1 when the address cannot be bound (errno is set). */
int http_server_init(http_server_t *server, struct tevent_context *ev,
		     const http_server_config_t *config, http_handler_fn handler, void *arg);
/**
 * Checks that no other process listens on an address. Servers of one process share it through
 * SO_REUSEPORT, which would let two processes share it by mistake too.
 * @return 0, or -1 with errno set
 */
int http_server_check_address(const char *address, uint16_t port);
/** Stops accepting connections; requests in progress go on, keep-alive ends with the next reply. */
void http_server_drain(http_server_t *server);
/** Requests whose reply has not been written completely. */
unsigned http_server_open_requests(const http_server_t *server);
/**
 * Ends all connections. Requests without a reply stay with their owners, whose replies are dropped;
 * all functions on such a request stay valid until the reply.
 */
void http_server_finish(http_server_t *server);

const char *http_request_method(const http_request_t *request);
/** Path without the query, as received. */
const char *http_request_path(const http_request_t *request);
/** Raw query string without the question mark; "" when there is none. */
const char *http_request_query(const http_request_t *request);
/** Value of a header, or NULL. Names are compared without case. */
const char *http_request_header(http_request_t *request, const char *name);
/** Decoded query parameter, or NULL. */
const char *http_request_param(http_request_t *request, const char *name);
const void *http_request_body(const http_request_t *request, size_t *length);
/** Calls fn for each header; names as received. */
void http_request_headers(http_request_t *request,
			  void (*fn)(void *arg, const char *name, const char *value), void *arg);

/**
 * Has fn(arg) called once, in the server's thread, when the client goes away before the reply. The
 * request is still owned by the handler, which must reply (the reply is dropped).
 */
void http_request_on_abort(http_request_t *request, void (*fn)(void *arg), void *arg);

/**
 * Replies and gives up ownership of the request. May be called from any thread; body and headers
 * are copied. Exactly one reply per request.
 * @param status HTTP status code
 */
void http_request_reply(http_request_t *request, unsigned status, const http_header_t *headers,
			size_t header_count, const void *body, size_t length);
