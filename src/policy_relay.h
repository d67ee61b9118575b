#pragma once

#include "metrics.h"
#include "peer.h"
#include "timer.h"
#include "vm_port.h"

/**
 * @file
 * Calls to the policy service that other processes make for the leader: it handles one call at a
 * time for each calling machine. The leader decides who calls (serial_share.h); this module carries
 * the queries and answers. A query has no effect, so that it may be repeated at any time. All
 * processes make queries for the leader, whether they have a disk or not.
 */

/** The leader's side. */
struct policy_relay;
typedef struct policy_relay policy_relay_t;

/**
 * Creates a relay, which knows no other processes until policy_relay_set_peers() is called.
 * @param direct makes the calls of this process
 * @return the relay, to be freed with policy_relay_destroy()
 */
policy_relay_t *policy_relay_create(timer_service_t *timers, const vm_port_t *direct,
				    metrics_t *metrics);
/** Completes open calls of other processes with ADVICE_NO_RESPONSE and frees the relay. */
void policy_relay_destroy(policy_relay_t *relay);
void policy_relay_set_peers(policy_relay_t *relay, peer_set_t *peers);
/** See vm_port_t.advisers. */
size_t policy_relay_advisers(const policy_relay_t *relay, uint32_t *nodes, size_t max);
/** See vm_port_t.advise. A call is completed without a response as soon as the process that makes
 * it, or the connection to it, has ended. */
void policy_relay_advise(policy_relay_t *relay, const advice_request_t *request,
			 advice_done_fn done, void *arg);
/** @param from node id of the process that sent the answer */
void policy_relay_handle_answer(policy_relay_t *relay, uint32_t from,
				const Lp__PolicyAnswer *answer);

/** The side of the process that makes calls for the leader. */
typedef struct {
	vm_port_t port;
	peer_set_t *peers;
	unsigned call_count; /**< calls under way */
	metrics_counter_t *calls;
	metrics_counter_t *refused;
} policy_agent_t;

/** @param port, peers, metrics must outlive the agent */
void policy_agent_init(policy_agent_t *agent, const vm_port_t *port, peer_set_t *peers,
		       metrics_t *metrics);
/**
 * Calls the policy service, and sends the answer back. A query that has expired is not sent; one
 * that comes while calls of an earlier leader are under way may be refused.
 * @param from node id of the leader
 */
void policy_agent_handle_query(policy_agent_t *agent, uint32_t from, const Lp__PolicyQuery *query);
