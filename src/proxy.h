#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "claims.h"
#include "http_client.h"
#include "http_server.h"
#include "mailbox.h"
#include "metrics.h"
#include "request_log.h"
#include "route_pool.h"

/**
 * @file
 * Reverse proxy of one I/O thread for the paths below /r/: finds the request class, claims the
 * idempotency key, waits for a slot of a target, sends the request, checks the response and
 * replies. All functions run in that thread unless stated otherwise.
 */

typedef struct {
	route_table_t *routes;
	metrics_t *metrics;
	http_client_t *client;
	/** Mailbox of the I/O thread; receives results from other threads. */
	mailbox_t *mailbox;
	mailbox_t *control_mailbox; /**< mailbox of the control thread */
	claims_t *claims;	    /**< claims, used in the control thread only */
	request_log_t *request_log; /**< log of the requests replied to; NULL: none */
	/** Not used, because request ids must differ between processes and restarts. */
	uint64_t seed;
} proxy_config_t;

struct proxy;
typedef struct proxy proxy_t;

proxy_t *proxy_create(const proxy_config_t *config);
/**
 * Ends queued requests and calls in progress, and stops the control thread from posting to the
 * proxy's mailbox. Call mailbox_finish() next, so that messages already posted are handled, then
 * proxy_destroy().
 */
void proxy_stop(proxy_t *proxy);
/** Replies to the remaining requests with their actual outcome and frees the proxy. */
void proxy_destroy(proxy_t *proxy);
/** Handles a request whose path starts with /r/, and replies to it at once or later. */
void proxy_handle_request(proxy_t *proxy, http_request_t *http);
/** Returns the number of requests in progress, including those whose client has disconnected. */
unsigned proxy_request_count(const proxy_t *proxy);
