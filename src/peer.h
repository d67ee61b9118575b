#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "peer.pb-c.h"
#include "timer.h"

/**
 * @file
 * Connections between entry processes: protobuf messages with a length prefix over TCP. Each
 * process dials every other one. It sends messages on the connections that it dialled, and receives
 * messages on those that it accepted. Control thread only.
 */

struct tevent_context;

/** Maximum number of peers of one process. Each needs two file descriptors; the smallest VMs allow
 * 4,096 in total. */
#define PEER_MAX 1800

typedef struct {
	uint32_t node_id;
	const char *address; /**< IP:port */
	bool permanent;	     /**< whether the peer is kept even if it is silent for
				remove_silent_after_ms */
} peer_address_t;

/** State of a peer, from its latest Hello, pings and pongs. The peer set owns the strings. */
typedef struct {
	uint32_t node_id;
	uint64_t replica_id;
	uint64_t incarnation;
	const char *data_centre;
	const char *http_address;
	bool has_disk; /**< whether the peer has a data directory and may vote */
	bool up;       /**< whether the peer answers pings; see peer_config_t.timeout_ms */
	uint64_t last_heard_us;
	uint64_t applied_index; /**< last log index the peer has applied */
	/** Number of connections with the peer, in either direction, that have ended. While it does
	 * not change, no message that was queued to the peer or sent by it is lost. */
	uint64_t connections_ended;
} peer_info_t;

typedef struct {
	const char *cluster;
	uint32_t node_id;
	uint64_t replica_id;
	uint64_t incarnation; /**< random number that the peer chose at its start */
	const char *data_centre;
	const char *http_address;
	bool has_disk;		    /**< whether this process has a data directory and may vote */
	const char *listen_address; /**< IP:port */
	const peer_address_t *peers;
	size_t peer_count;
	uint32_t ping_ms; /**< interval of pings to each peer; process.c sets 500 */
	/** Port at which this process dials back peers that connected to it. The node id of such a
	 * peer is its IPv4 address in host byte order. 0: only peers with a configured address are
	 * dialled. */
	uint16_t dial_back_port;
	/** Time without a pong after which a dialled connection is replaced; 1,500 in process.c. */
	uint32_t timeout_ms;
	/** Time after which a peer without a permanent address is removed if nothing was received
	 * from it. 0: never. */
	uint32_t remove_silent_after_ms;
} peer_config_t;

typedef void (*peer_message_fn)(void *arg, uint32_t from, const Lp__Envelope *envelope);
/** Called when a peer comes up, goes down or restarts (has a new incarnation). */
typedef void (*peer_change_fn)(void *arg, const peer_info_t *info);

struct peer_set;
typedef struct peer_set peer_set_t;

typedef struct {
	peer_message_fn message_received;
	peer_change_fn peer_changed;
	uint64_t (*applied_index)(void *arg); /**< returns the index to send with each ping */
	/** Called when messages of another member were read ahead of other events, with the time
	 * since the preceding check, which they have waited at most; NULL if not needed. */
	void (*member_waited)(void *arg, uint64_t us);
	void *arg;
} peer_callbacks_t;

/**
 * Starts to listen and to dial the configured peers. Copies the configuration.
 * @param parent talloc parent of the set
 * @return the set, or NULL when the listen address cannot be bound (errno is set)
 */
peer_set_t *peer_set_create(void *parent, struct tevent_context *ev, timer_service_t *timers,
			    const peer_config_t *config, const peer_callbacks_t *callbacks);
void peer_set_destroy(peer_set_t *set);

/** Sets the address at which a peer is dialled; adds the peer if it is unknown. Does nothing when
 * address->node_id is that of this process, or the set is full. */
void peer_set_address(peer_set_t *set, const peer_address_t *address);

/**
 * Queues a message to a peer. Messages to the same peer arrive in order. If a connection breaks,
 * the messages queued on it are lost.
 * @return 0, or -1 when the peer is not connected, its send queue is full or the message is too
 * large
 */
int peer_send(peer_set_t *set, uint32_t node_id, const Lp__Envelope *envelope);

/**
 * Handles the messages that have arrived from members (peers with a disk), and sends those queued
 * to them, without waiting for the event loop to reach their connections. Does nothing when this
 * process has no disk. Call it before a timeout of the replicated log is judged; the set itself
 * does so every 10 ms, and between the messages of one event. Does nothing when called while it
 * runs.
 */
void peer_set_serve_members(peer_set_t *set);

/**
 * @param now_us present monotonic time in microseconds
 * @return lower bound of the present reading of the peer's monotonic clock in microseconds, see
 * peer_clock.h; 0: unknown
 */
uint64_t peer_clock_reading_us(const peer_set_t *set, uint32_t node_id, uint64_t now_us);

/** @return the state of a peer, valid until the peer is forgotten, or NULL for an unknown node */
const peer_info_t *peer_info(const peer_set_t *set, uint32_t node_id);
/** Returns the number of known peers, connected or not. */
size_t peer_count(const peer_set_t *set);
/** @param i index of the peer, below peer_count(); it changes when another peer is forgotten */
const peer_info_t *peer_info_at(const peer_set_t *set, size_t i);

typedef struct {
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint64_t frames_sent;
	uint64_t frames_received;
	uint64_t invalid_frames; /**< number of invalid or unexpected frames; each closes its
				    connection */
	uint64_t wrong_cluster;	 /**< number of Hellos that name another cluster */
	uint64_t reconnects; /**< number of dialled connections replaced after timeout_ms without a
				pong */
	uint64_t forgotten;  /**< number of silent peers removed after remove_silent_after_ms */
	uint64_t refused_over_limit; /**< number of connections of unknown peers refused because of
					PEER_MAX */
	uint64_t members_served_first; /**< number of members' connections that were read or written
					  ahead of other events */
	/** Number of Hellos refused because their node id is 0, is that of this process or of a
	 * peer with a live connection, or, on a dialled connection, is not that of the expected
	 * peer. */
	uint64_t duplicate_node;
} peer_counters_t;
const peer_counters_t *peer_counters(const peer_set_t *set);
