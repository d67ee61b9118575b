#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "metrics.h"
#include "peer.h"
#include "process.h"
#include "timer.h"
#include "vm_port.h"

/**
 * @file
 * An edge process's link to the leader: finds it, passes clients' calls on, repeats them when the
 * leader changes (a job's id makes a repetition harmless), and gives up in time. Single-threaded.
 */

struct tevent_context;

typedef struct {
	const process_settings_t *settings;
	struct tevent_context *ev;
	timer_service_t *timers;
	metrics_t *metrics;
	vm_port_t port; /**< makes the calls of orders that the leader passes on */
} edge_link_options_t;

struct edge_link;
typedef struct edge_link edge_link_t;

/** @return the link, or NULL with a message in error */
edge_link_t *edge_link_create(const edge_link_options_t *options, char *error, size_t error_size);
void edge_link_destroy(edge_link_t *link);
void edge_link_set_seeds(edge_link_t *link, const process_settings_t *settings);

/** True while a leader tells that it serves. */
bool edge_link_has_leader(const edge_link_t *link);
/** Calls that have no answer yet. */
unsigned edge_link_open_calls(const edge_link_t *link);

/** @param reply UNAVAILABLE when the call certainly did not reach the leader */
typedef void (*edge_reply_fn)(void *arg, const Lp__BatchReply *reply);
/**
 * Passes a call on. Without a leader it is answered at once.
 * @param timeout_ms after which a call without an answer is answered as UNKNOWN
 */
void edge_link_call(edge_link_t *link, const Lp__BatchCall *message, uint32_t timeout_ms,
		    edge_reply_fn done, void *arg);
