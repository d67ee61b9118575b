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
 * A core process of the batch service, a member of the replicated log: the replica, the connections
 * to its peers, the replicated state, and the scheduling of jobs while this process is the leader.
 * Single-threaded.
 */

struct tevent_context;

typedef struct {
	const process_settings_t *settings;
	struct tevent_context *ev;
	timer_service_t *timers;
	metrics_t *metrics;
	vm_port_t port; /**< sends requests to VMs and to the platform */
} batch_node_options_t;

struct batch_node;
typedef struct batch_node batch_node_t;

/**
 * Returns the time in ms for which a voter must be silent before a member that has caught up
 * replaces it. The time is at least 1.5 s, and otherwise short enough that the replacement becomes
 * a voter within catch_up_max_ms, because a second machine can be lost that long after the first.
 */
uint32_t batch_node_voter_timeout_ms(const process_settings_t *settings);

/**
 * Creates the node.
 * @return the node, to be freed with batch_node_destroy(), or NULL with a message in error
 */
batch_node_t *batch_node_create(const batch_node_options_t *options, char *error,
				size_t error_size);
void batch_node_destroy(batch_node_t *node);
/** Connects to the seeds in settings, in addition to the known peers. */
void batch_node_set_seeds(batch_node_t *node, const process_settings_t *settings);
/**
 * Makes batch_node_is_active_leader() return false for good, so that clients' calls are refused and
 * no active leader is announced. Tasks are still scheduled until batch_node_destroy(). Call it
 * before the process ends.
 */
void batch_node_resign(batch_node_t *node);

/**
 * True when this process is the leader, holds the leader lease and has not resigned. Its replicated
 * state is then up to date.
 */
bool batch_node_is_active_leader(const batch_node_t *node);
/** @return node id of the leader, or 0 when it is unknown or unreachable */
uint32_t batch_node_leader_id(const batch_node_t *node);
/** Returns the replicated state, which is up to date only while batch_node_is_active_leader(). */
const batch_state_t *batch_node_state(const batch_node_t *node);
/** Processes a VM's report. Only for the leader. */
void batch_node_handle_report(batch_node_t *node, const vm_report_t *report);
/**
 * Forwards a VM's report to the leader. Only for a node that is not the leader.
 * @return false when the leader cannot be reached
 */
bool batch_node_forward_report(batch_node_t *node, const vm_report_t *report);
/** Handles a VM's notice of its own shutdown. Only for the leader. */
void batch_node_handle_vm_exit(batch_node_t *node, const char *vm);

/**
 * Proposes a command to the replicated log.
 * @param done called once with the result; RESULT_UNAVAILABLE means that the command was certainly
 * not applied
 */
void batch_node_propose(batch_node_t *node, Lp__BatchCommand *command, batch_proposed_fn done,
			void *arg);

/**
 * Receives the reply to a client's call.
 * @param reply valid only while the function runs
 */
typedef void (*batch_reply_fn)(void *arg, const Lp__BatchReply *reply);
/**
 * Handles a client's call.
 * @param done called once with the reply, also when this process is not the leader
 */
void batch_node_handle_call(batch_node_t *node, const Lp__BatchCall *call, batch_reply_fn done,
			    void *arg);
