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
 * I/O threads: each has an event context, an HTTP server on the shared port, an HTTP client and a
 * proxy. Paths below /r/ go to the proxy, all others to the control handler.
 */

typedef struct {
	http_server_config_t server;
	route_table_t *routes;
	metrics_t *metrics;
	/** Claims live in the control thread; the proxy posts to this mailbox. */
	mailbox_t *control;
	claims_t *claims;
	request_log_t *log; /**< of answered requests; NULL: none */
	/** Called in the control thread for paths outside /r/; must reply. */
	http_handler_fn control_handler;
	void *control_arg;
	uint64_t seed;
} io_thread_config_t;

struct io_thread;
typedef struct io_thread io_thread_t;

/** @return a running thread, or NULL when the port cannot be bound (errno is set) */
io_thread_t *io_thread_start(const io_thread_config_t *config);
/** Stops accepting; in-flight and queued requests are finished. */
void io_thread_drain(io_thread_t *thread);
/** True when the thread has no request in progress. Any thread. */
bool io_thread_idle(const io_thread_t *thread);
/** Ends and joins the thread. */
void io_thread_stop(io_thread_t *thread);
