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
 * Life cycle of the requests below /r/ of one I/O thread: classify, claim, admit, send, check,
 * answer. All functions run in that thread unless stated otherwise.
 */

typedef struct {
	route_table_t *routes;
	metrics_t *metrics;
	http_client_t *client;
	mailbox_t *mailbox; /**< of the I/O thread */
	mailbox_t *control; /**< of the control thread */
	claims_t *claims;   /**< used in the control thread only */
	request_log_t *log; /**< NULL: none */
	uint64_t seed;
} proxy_config_t;

struct proxy;
typedef struct proxy proxy_t;

proxy_t *proxy_create(const proxy_config_t *config);
/**
 * Ends what can be ended, and all posts to the mailbox. The mailbox is to be finished next, so that
 * messages on their way arrive, then the proxy destroyed.
 */
void proxy_stop(proxy_t *proxy);
/** Answers the requests still in progress truthfully, and frees. */
void proxy_destroy(proxy_t *proxy);
/** Handles a request whose path starts with /r/. */
void proxy_handle(proxy_t *proxy, http_request_t *http);
/** Requests in progress, those included whose client is gone. */
unsigned proxy_requests(const proxy_t *proxy);
