#pragma once

#include <glib.h>

#include "batch_admit.h"
#include "batch_node.h"
#include "batch_queued.h"
#include "duty_limit.h"
#include "org_access.h"
#include "policy_relay.h"
#include "reply_queue.h"
#include "vm_cache.h"
#include "vm_relay.h"

/**
 * @file
 * Internal state of a core process, shared by batch_node.c (replicated log, peers, start and
 * shutdown) and batch_calls.c (clients' calls).
 */

struct batch_node {
	const process_settings_t *settings;
	struct tevent_context *ev;
	timer_service_t *timers;
	metrics_t *metrics;
	peer_set_t *peers;
	replica_t *replica;
	batch_state_t state;
	batch_leader_t *leader;
	uint64_t active_term; /* term in which this process acts as the leader; 0: it does not */
	timer_sub_t tick_timer;
	timer_sub_t hint_timer;
	/* Event that runs batch_leader_place_tasks(). */
	struct tevent_immediate *placement_event;
	bool placement_scheduled;
	GHashTable *submitting; /* ids of submitted jobs that are not committed yet */
	TAILQ_HEAD(pending_calls, pending_call) pending; /* calls being committed, oldest first */
	batch_admit_t admit;
	batch_queued_t queued;
	org_access_t access;
	vm_cache_t report_cache;
	vm_relay_t *relay;
	policy_relay_t *policy_relay;
	policy_agent_t policy_agent;
	reply_queue_t replies; /* replies to edge processes that could not be sent yet */
	timer_sub_t reply_timer;
	/* Set by batch_node_resign(): batch_node_is_active_leader() returns false from then on. */
	bool resigned;
	metrics_counter_t *jobs_submitted;
	metrics_counter_t *jobs_rejected;
	metrics_counter_t *jobs_over_limit; /* refused because of an organisation's limit */
	metrics_histogram_t *commit_latency;
	metrics_histogram_t *tick_gap;
	metrics_histogram_t *input_delay;
	metrics_histogram_t *member_wait;
	metrics_counter_t *passes_deferred;
	duty_limit_t tick_limit;
	duty_limit_t placement_limit;
	uint64_t last_tick_us;
};

/** Prepares for calls of edge processes. */
void batch_calls_init(batch_node_t *node);
void batch_calls_finish(batch_node_t *node);
/**
 * Handles a client's call forwarded by an edge process, and replies to it.
 * @param from node id of the edge process
 */
void batch_node_handle_forwarded_call(batch_node_t *node, uint32_t from, const Lp__BatchCall *call);
