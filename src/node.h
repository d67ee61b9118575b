#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <tevent.h>

#include "claims.h"
#include "fleet.h"
#include "health.h"
#include "http_client.h"
#include "http_server.h"
#include "io_thread.h"
#include "mailbox.h"
#include "metrics.h"
#include "peer.h"
#include "replica.h"
#include "request_log.h"
#include "route_table.h"
#include "settings.h"
#include "timer.h"

/**
 * @file
 * State of an entry process that belongs to its control thread. The modules that run in that thread
 * (such as announce, admin, controller and publish) share it.
 */

struct announce;
struct controller;
struct job_runner;
struct auth;

typedef struct node {
	const settings_t *settings;
	uint64_t incarnation; /**< random number that identifies one start of the process */
	struct tevent_context *ev;
	timer_service_t timers;
	mailbox_t mailbox; /**< queue of work that the I/O threads pass to the control thread */
	metrics_t *metrics;
	fleet_t fleet;	 /**< replicated state, as applied so far by this process */
	health_t health; /**< health of the targets, derived from their announcements */
	route_table_t *routes;
	request_log_t requests;
	peer_set_t *peers;
	replica_t *replica;
	claims_t *claims; /**< NULL until the process starts to serve requests */
	http_client_t client;
	struct announce *announce;
	struct controller *controller;
	struct job_runner *jobs;
	struct auth *auth;
	io_thread_t **threads; /**< I/O threads, which proxy requests to targets */
	unsigned thread_count;
	bool started_serving;	/**< whether the process serves requests, which it starts when the
				     replica has caught up or the wait for that has timed out */
	bool draining;		/**< whether SIGTERM was received */
	uint64_t contact_index; /**< commit index at the first contact with a leader; 0 before that
				     contact */
} node_t;

/** Time after which a command without a result is reported as RESULT_UNKNOWN. */
#define NODE_PROPOSE_TIMEOUT_MS 5000

/**
 * Sets time_ms of a command and proposes it to the replicated log. Calls done with the result.
 */
void node_propose(node_t *node, Lp__Command *command, replica_done_fn done, void *arg);

/** Calls fn for each member that the replicated state has in the given data centre. */
void node_each_member(const node_t *node, const char *data_centre,
		      void (*fn)(void *arg, const fleet_member_t *member), void *arg);
