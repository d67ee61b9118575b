#pragma once

#include <glib.h>

#include "batch_node.h"
#include "vm_cache.h"
#include "vm_relay.h"

/**
 * @file
 * Shared by the parts of a process that keeps the log: batch_node.c (log, peers, life cycle) and
 * batch_calls.c (clients' calls).
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
	uint64_t led_term; /* for which the leader's work runs; 0: none */
	timer_sub_t tick;
	timer_sub_t hint;
	struct tevent_immediate *work;
	bool work_scheduled;
	GHashTable *submitting; /* ids of jobs whose submission is being recorded */
	vm_cache_t vms;
	vm_relay_t *relay;
	bool resigned;
	metrics_counter_t *submitted;
	metrics_counter_t *refused;
	metrics_histogram_t *commit_latency;
	metrics_histogram_t *tick_gap;
	uint64_t tick_us; /* latest tick */
};

/** A client's call that another process has passed on. */
void batch_node_handle_forwarded_call(batch_node_t *node, uint32_t from, const Lp__BatchCall *call);
