#pragma once

#include "peer.h"
#include "timer.h"
#include "vm_port.h"

/**
 * @file
 * VM requests sent through edge processes. With hundreds of VMs, a surge of demand needs some
 * thousand HTTP requests a second, more than the leader's CPU can make. The leader decides, and
 * edge processes in the VM's data centre make the HTTP requests. When an edge process ends, its
 * requests have no response, which the leader handles like a VM that does not respond.
 */

/** The leader's side: implements vm_port_t by forwarding requests to edge processes. */
struct vm_relay;
typedef struct vm_relay vm_relay_t;

typedef struct {
	vm_port_t direct; /**< sends the requests that are not forwarded */
	const char *(*data_centre)(void *arg, const char *vm); /**< of a VM; NULL: unknown */
	size_t (*vm_count)(void *arg);			       /**< number of known VMs */
	void *arg; /**< first argument of data_centre and vm_count */
} vm_relay_options_t;

/** @return the relay, to be freed with vm_relay_destroy(); without peers, it forwards nothing */
vm_relay_t *vm_relay_create(timer_service_t *timers, const vm_relay_options_t *options);
/** Completes open requests as without a response, and frees the relay. */
void vm_relay_destroy(vm_relay_t *relay);
/** Sets the peers among which edge processes are chosen. Call it before the port is used. */
void vm_relay_set_peers(vm_relay_t *relay, peer_set_t *peers);
/** @return functions that send requests through the relay; valid as long as the relay */
vm_port_t vm_relay_port(vm_relay_t *relay);
/** Completes a forwarded request. @param from node id of the edge process that made it */
void vm_relay_handle_result(vm_relay_t *relay, uint32_t from, const Lp__VmResult *result);
/** Completes the requests forwarded to a peer that went down as without a response. */
void vm_relay_peer_down(vm_relay_t *relay, uint32_t node_id);

/** The edge process's side: makes the requests that the leader forwards. */
typedef struct {
	vm_port_t port;
	peer_set_t *peers;
} vm_agent_t;

/** Makes a forwarded request, and sends its result back. @param from node id of the leader */
void vm_agent_handle_request(vm_agent_t *agent, uint32_t from, const Lp__VmOrder *order);
