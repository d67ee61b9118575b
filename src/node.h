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
 * State of an entry process that belongs to its control thread, shared by the adapters of that
 * thread (announce, admin, controller, publish).
 */

struct announce;
struct controller;
struct job_runner;
struct auth;

typedef struct node {
	const settings_t *settings;
	uint64_t incarnation; /**< random at each start */
	struct tevent_context *ev;
	timer_service_t timers;
	mailbox_t mailbox;
	metrics_t *metrics;
	fleet_t fleet;
	health_t health;
	route_table_t *routes;
	request_log_t requests;
	peer_set_t *peers;
	replica_t *replica;
	claims_t *claims; /**< NULL until the replica has caught up */
	http_client_t client;
	struct announce *announce;
	struct controller *controller;
	struct job_runner *jobs;
	struct auth *auth;
	io_thread_t **threads;
	unsigned thread_count;
	bool caught_up;		/**< the log was caught up once since start */
	bool draining;		/**< SIGTERM was received */
	uint64_t contact_index; /**< committed index when the leader was first heard */
} node_t;

/** Time after which a command without an answer is reported as unknown. */
#define NODE_PROPOSE_TIMEOUT_MS 5000

/** Fills time_ms and proposes a command. */
void node_propose(node_t *node, Lp__Command *command, replica_done_fn done, void *arg);

/** The members of a data centre that are up by the applied state; calls fn for each. */
void node_each_member(const node_t *node, const char *data_centre,
		      void (*fn)(void *arg, const fleet_member_t *member), void *arg);
