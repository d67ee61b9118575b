#pragma once

#include "peer.h"
#include "timer.h"
#include "vm_port.h"

/**
 * @file
 * Orders to VMs that edge processes pass on. Answers fleets of hundreds of VMs, where a surge needs
 * some thousand calls a second, more than the leader's processor takes: the leader decides, and the
 * edge processes of the VM's data centre make the calls. An edge process that ends leaves its
 * orders without an answer, which the leader handles as for a VM that does not answer.
 */

/** The leader's side: a port that sends orders to edge processes. */
struct vm_relay;
typedef struct vm_relay vm_relay_t;

typedef struct {
	vm_port_t direct; /**< makes the calls itself; for what is not passed on */
	/** Data centre of a VM and the number of VMs known. */
	const char *(*data_centre)(void *arg, const char *vm);
	size_t (*vm_count)(void *arg);
	void *arg;
} vm_relay_options_t;

vm_relay_t *vm_relay_create(timer_service_t *timers, const vm_relay_options_t *options);
void vm_relay_destroy(vm_relay_t *relay);
/** Peers come and go; call it before the port is used. */
void vm_relay_set_peers(vm_relay_t *relay, peer_set_t *peers);
vm_port_t vm_relay_port(vm_relay_t *relay);
void vm_relay_handle_result(vm_relay_t *relay, uint32_t from, const Lp__VmResult *result);
/** The peer does not answer: its orders have no answer. */
void vm_relay_peer_down(vm_relay_t *relay, uint32_t node_id);

/** The edge process's side: makes the calls of an order, and sends the result back. */
typedef struct {
	vm_port_t port;
	peer_set_t *peers;
} vm_agent_t;

void vm_agent_handle_request(vm_agent_t *agent, uint32_t from, const Lp__VmOrder *order);
