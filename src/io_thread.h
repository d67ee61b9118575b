#pragma once

#include <stdbool.h>

#include "claims.h"
#include "http_server.h"
#include "mailbox.h"
#include "metrics.h"
#include "request_log.h"
#include "route_table.h"

/**
 * @file
 * I/O threads. Each has an event context, an HTTP server on a port shared by all threads, an HTTP
 * client and a proxy. Requests with a path below /r/ go to the proxy, all others to the control
 * handler.
 */

typedef struct {
	http_server_config_t server;
	route_table_t *routes;
	metrics_t *metrics;
	/** Mailbox of the control thread, which runs the claim operations. */
	mailbox_t *control_mailbox;
	claims_t *claims;	    /**< claims, used in the control thread only */
	request_log_t *request_log; /**< log of the requests replied to; NULL: none */
	/** Called in the control thread for paths outside /r/; must reply to the request. */
	http_handler_fn control_handler;
	void *control_arg;
	uint64_t seed; /**< seed passed to the proxy */
} io_thread_config_t;

struct io_thread;
typedef struct io_thread io_thread_t;

/**
 * Starts a thread.
 * @return the thread, to be freed with io_thread_stop(), or NULL with errno set, for example when
 * the port is in use
 */
io_thread_t *io_thread_start(const io_thread_config_t *config);
/** Makes the thread stop accepting connections. Requests in flight and in queues are completed. */
void io_thread_drain(io_thread_t *thread);
/** True when no request is in progress. Can be called from any thread. */
bool io_thread_idle(const io_thread_t *thread);
/** Ends and joins the thread and frees it. */
void io_thread_stop(io_thread_t *thread);
