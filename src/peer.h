#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"
#include "timer.h"

/**
 * @file
 * Connections between entry processes: length-framed protobuf over TCP. Each process dials every
 * other one; a process sends on the connections that it dialled and receives on those it accepted.
 * Control thread only.
 */

struct tevent_context;

/** Peers of one process. Each takes two descriptors, of 4,096 on the smallest VMs. */
#define PEER_MAX 1800

typedef struct {
	uint32_t node_id;
	const char *address; /**< IP:port */
	bool permanent;	     /**< never forgotten */
} peer_address_t;

/** What is known of a peer from its latest Hello and pings. */
typedef struct {
	uint32_t node_id;
	uint64_t replica_id;
	uint64_t incarnation;
	const char *data_centre;
	const char *http_address;
	bool disk;
	bool up; /**< answered a ping within the peer timeout */
	uint64_t last_heard_us;
	uint64_t applied_index;
} peer_info_t;

typedef struct {
	const char *cluster;
	uint32_t node_id;
	uint64_t replica_id;
	uint64_t incarnation; /**< random at each start */
	const char *data_centre;
	const char *http_address;
	bool disk;
	const char *listen_address; /**< IP:port */
	const peer_address_t *peers;
	size_t peer_count;
	uint32_t ping_ms; /**< 500 */
	/** Node ids are IPv4 addresses in host order; a peer that dials this process is dialled
	 * back at this port. 0: only the configured peers are dialled. */
	uint16_t dial_back_port;
	uint32_t timeout_ms; /**< 2,000: silent for so long, the connection is replaced */
	/** A peer without a permanent address is forgotten when it was silent for so long.
	 * 0: never */
	uint32_t forget_ms;
} peer_config_t;

typedef void (*peer_message_fn)(void *arg, uint32_t from, const Lp__Envelope *envelope);
/** Called when a peer comes up, goes down, or comes back under another incarnation. */
typedef void (*peer_change_fn)(void *arg, const peer_info_t *info);

struct peer_set;
typedef struct peer_set peer_set_t;

typedef struct {
	peer_message_fn message;
	peer_change_fn change;
	uint64_t (*applied_index)(void *arg); /**< sent with each ping */
	void *arg;
} peer_callbacks_t;

/**
 * @param parent talloc parent of the set
 * @return the set, or NULL when the listen address cannot be bound (errno is set)
 */
peer_set_t *peer_set_create(void *parent, struct tevent_context *ev, timer_service_t *timers,
			    const peer_config_t *config, const peer_callbacks_t *callbacks);
void peer_set_destroy(peer_set_t *set);

/** Replaces the address of a peer, or adds the peer. */
void peer_set_address(peer_set_t *set, const peer_address_t *address);

/**
 * Queues a message. Messages to one peer arrive in order or not at all.
 * @return 0, or -1 when the peer has no connection or its send queue is full
 */
int peer_send(peer_set_t *set, uint32_t node_id, const Lp__Envelope *envelope);

/** @return the peer's facts, or NULL for an unknown node. */
const peer_info_t *peer_info(const peer_set_t *set, uint32_t node_id);
/** Peers that are known now; positions change when a peer is forgotten. */
size_t peer_count(const peer_set_t *set);
const peer_info_t *peer_at(const peer_set_t *set, size_t i);

typedef struct {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t frames_sent;
	uint64_t frames_received;
	uint64_t frames_bad;
	uint64_t wrong_cluster;
	uint64_t reconnects;	 /**< connections replaced because they were silent */
	uint64_t forgotten;	 /**< silent peers that were dropped from the set */
	uint64_t refused;	 /**< connections of further processes while the set was full */
	uint64_t duplicate_node; /**< Hello with this process's node id or that of a live peer */
} peer_counters_t;
const peer_counters_t *peer_counters(const peer_set_t *set);
