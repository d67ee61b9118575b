#pragma once

#include "metrics.h"
#include "peer.h"
#include "policy_relay.h"
#include "timer.h"
#include "vm_port.h"

/**
 * @file
 * VM requests sent through edge processes. With hundreds of VMs, a surge of demand needs some
 * thousand HTTP requests a second, more than the leader's CPU can make. The leader decides, and
 * edge processes in the VM's data centre make the HTTP requests. When an edge process ends, the
 * requests forwarded to it get no response; the leader handles them as if the VM did not respond.
 * A forwarded request expires before the leader gives it up: an edge process that was paused or cut
 * off would otherwise start runs that the leader has started elsewhere meanwhile.
 */

/** The leader's side: implements vm_port_t by forwarding requests to edge processes. */
struct vm_relay;
typedef struct vm_relay vm_relay_t;

typedef struct {
	vm_port_t direct;	/**< sends the requests that are not forwarded */
	policy_relay_t *policy; /**< makes the calls to the policy service */
	/** Returns the data centre of a VM; NULL: unknown. */
	const char *(*data_centre)(void *arg, const char *vm);
	size_t (*vm_count)(void *arg); /**< returns the number of known VMs */
	/** Returns whether this process is certainly the leader now. If not, for example after a
	 * pause, starts and platform requests are not sent and get VM_REPLY_NOT_SENT. */
	bool (*is_leader)(void *arg);
	void *arg;	  /**< first argument of the other functions */
	uint32_t stop_ms; /**< longest time that a VM takes to stop a run */
	metrics_t *metrics;
} vm_relay_options_t;

/**
 * Creates a relay, which forwards nothing until vm_relay_set_peers() is called.
 * @return the relay, to be freed with vm_relay_destroy()
 */
vm_relay_t *vm_relay_create(timer_service_t *timers, const vm_relay_options_t *options);
/** Completes open requests with VM_REPLY_NO_RESPONSE and frees the relay. */
void vm_relay_destroy(vm_relay_t *relay);
/** Sets the peers from which the relay chooses edge processes. Call it before the port is used. */
void vm_relay_set_peers(vm_relay_t *relay, peer_set_t *peers);
/** Returns the functions that send requests through the relay, valid until it is destroyed. */
vm_port_t vm_relay_port(vm_relay_t *relay);
/**
 * Completes a forwarded request.
 * @param from node id of the edge process that sent the result
 */
void vm_relay_handle_result(vm_relay_t *relay, uint32_t from, const Lp__VmResult *result);
/** Must be called when a peer has come up, gone down or restarted. */
void vm_relay_peers_changed(vm_relay_t *relay);
/**
 * @return how long results of forwarded requests presently wait before this process reads them, in
 * microseconds, with the time on the network: a measure of how far it is behind
 */
uint64_t vm_relay_input_delay_us(const vm_relay_t *relay);

/** The edge process's side: makes the requests that the leader forwards. */
typedef struct {
	vm_port_t port;
	peer_set_t *peers;
	metrics_counter_t *expired; /**< number of requests dropped because they had expired */
} vm_agent_t;

/** @param port, peers, metrics must outlive the agent */
void vm_agent_init(vm_agent_t *agent, const vm_port_t *port, peer_set_t *peers, metrics_t *metrics);
/**
 * Sends a forwarded request to its VM, and the result back to the leader. A request that has
 * expired is not sent; its result is VM_REPLY_NOT_SENT.
 * @param from node id of the leader
 */
void vm_agent_handle_request(vm_agent_t *agent, uint32_t from, const Lp__VmOrder *order);
