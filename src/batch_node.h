#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "batch_leader.h"
#include "batch_state.h"
#include "peer.h"
#include "process.h"
#include "replica.h"

/**
 * @file
 * A process that keeps the log of the batch service: the replica, its peers, the replicated state,
 * and the leader's work while this process leads. Single-threaded.
 */

struct tevent_context;

typedef struct {
	const process_settings_t *settings;
	struct tevent_context *ev;
	timer_service_t *timers;
	metrics_t *metrics;
	vm_port_t port;
} batch_node_options_t;

struct batch_node;
typedef struct batch_node batch_node_t;

/**
 * Silence after which a voter gives way to a member that has caught up, in ms. Another machine may
 * be lost once the successor of the first has had its time to catch up; it must have a vote by
 * then.
 */
uint32_t batch_node_voter_timeout_ms(const process_settings_t *settings);

/** @return the node, or NULL with a message in error */
batch_node_t *batch_node_create(const batch_node_options_t *options, char *error,
				size_t error_size);
void batch_node_destroy(batch_node_t *node);
/** The settings name other seeds: they are dialled too. */
void batch_node_set_seeds(batch_node_t *node, const process_settings_t *settings);
/** Gives up the leadership, if this process leads; it is about to end. */
void batch_node_resign(batch_node_t *node);

/** True when this process leads and its state is the latest. */
bool batch_node_is_active_leader(const batch_node_t *node);
/** Node id of the leader; 0: unknown. */
uint32_t batch_node_leader(const batch_node_t *node);
/** The replicated state; read it only while batch_node_is_active_leader(). */
const batch_state_t *batch_node_state(const batch_node_t *node);
/** A VM has reported to this process, which leads. */
void batch_node_handle_report(batch_node_t *node, const vm_report_t *report);
/**
 * A VM has reported to this process, which does not lead: passes the report on.
 * @return false when the leader cannot be reached
 */
bool batch_node_forward_report(batch_node_t *node, const vm_report_t *report);
/** A VM has told this process, which leads, that it ends. */
void batch_node_handle_vm_exit(batch_node_t *node, const char *vm);

/** Calls back once; code is RESULT_UNAVAILABLE when the command was certainly not applied. */
void batch_node_propose(batch_node_t *node, Lp__BatchCommand *command, batch_proposed_fn done,
			void *arg);

typedef void (*batch_reply_fn)(void *arg, const Lp__BatchReply *reply);
/** Handles a client's call; done is called once, also when this process does not lead. */
void batch_node_handle_call(batch_node_t *node, const Lp__BatchCall *call, batch_reply_fn done,
			    void *arg);
