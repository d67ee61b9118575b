#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "command.pb-c.h"
#include "peer.pb-c.h"
#include "timer.h"

#define REPLICA_MEMBERS_MAX 64

/**
 * @file
 * The replicated log as other modules see it: propose a command, have committed commands applied.
 * Joins the pure raft core with the write-ahead log and the peer transport. Control thread only.
 */

/** Called once per proposal. The result's code is RESULT_UNAVAILABLE when the command was certainly
 * not applied, RESULT_UNKNOWN when it may still be. */
typedef void (*replica_done_fn)(void *arg, const Lp__Result *result);

/** Port to the state machine. */
typedef struct {
	/** Applies a committed command; fills result (strings owned by the state machine until the
	 * next call). */
	void (*apply)(void *arg, uint64_t index, const Lp__Command *command, Lp__Result *result);
	/** Serialises the state. @return memory allocated with malloc() */
	uint8_t *(*save)(void *arg, size_t *length);
	/** Replaces the state by a snapshot. @return 0, or -1 when it cannot be read */
	int (*load)(void *arg, const uint8_t *data, size_t length);
	/** The applied index moved, or the leader changed. */
	void (*changed)(void *arg);
	void *arg;
} replica_machine_t;

/** Port to the transport. @return 0, or -1 when the message was not queued */
typedef int (*replica_send_fn)(void *arg, uint32_t node_id, const Lp__Envelope *envelope);

typedef struct {
	uint32_t node_id;
	const char *data_dir;	/**< NULL: no disk, learner */
	const uint32_t *voters; /**< founding voters' node ids */
	size_t voter_count;
	uint32_t heartbeat_ms;	  /**< 200 */
	uint32_t election_min_ms; /**< 800; the maximum is twice as long */
	uint32_t lease_ms;	  /**< 600 */
	uint32_t snapshot_every;  /**< applied entries between snapshots; 2,000 */
	/**
	 * 0: the nodes in voters, and only they, vote. Otherwise any node with a disk may be made a
	 * voter, until there are so many, and a voter that is silent for replace_ms gives way to a
	 * learner. A learner that is silent for four times as long is dropped.
	 */
	uint32_t flush_delay_ms; /**< proposals of so long are sent together; 0: at once */
	uint32_t log_bytes; /**< a snapshot is taken after so many bytes of entries; 0: 2 MiB */
	uint32_t voter_target;
	uint32_t replace_ms;
	uint64_t seed;
} replica_config_t;

struct replica;
typedef struct replica replica_t;

/**
 * Creates the data folder's identity of a founding voter. Fails when the folder holds one already.
 * @return 0, or -1 with a message in error
 */
int replica_found(const char *data_dir, uint32_t node_id, char *error, size_t error_size);

/**
 * Opens the data folder, recovers, and joins the group.
 * @return the replica, or NULL with a message in error (corruption: file and offset)
 */
replica_t *replica_create(void *parent, timer_service_t *timers, const replica_config_t *config,
			  const replica_machine_t *machine, replica_send_fn send, void *send_arg,
			  char *error, size_t error_size);
void replica_destroy(replica_t *replica);

/** Nodes of the present configuration. @return their number, at most max */
size_t replica_members(const replica_t *replica, uint32_t *nodes, size_t max);

/** Random id of this replica; founding voters have 1. */
uint64_t replica_id(const replica_t *replica);

/** Hands over a received raft, propose or propose_reply envelope. */
void replica_receive(replica_t *replica, uint32_t from, const Lp__Envelope *envelope);
/**
 * A peer came up with this identity; the leader replaces the old identity of the node. It may be
 * called again while the peer is up, which corrects an identity that was taken from an older log
 * entry since.
 */
void replica_peer_up(replica_t *replica, uint32_t node_id, uint64_t peer_replica_id, bool has_disk);

/**
 * Proposes a command, forwarding it to the leader where needed.
 * @param timeout_ms after which done gets RESULT_UNKNOWN (or RESULT_UNAVAILABLE if it was never
 * sent)
 */
void replica_propose(replica_t *replica, const Lp__Command *command, uint32_t timeout_ms,
		     replica_done_fn done, void *arg);

bool replica_is_leader(const replica_t *replica);
/** True while this process leads and holds the leader lease: its state is the latest. */
bool replica_has_lease(const replica_t *replica);
/** 0 when unknown. */
uint32_t replica_leader(const replica_t *replica);
uint64_t replica_term(const replica_t *replica);
uint64_t replica_applied(const replica_t *replica);
uint64_t replica_committed(const replica_t *replica);
/** True when a message of the current leader arrived within the longest election timeout. */
bool replica_in_contact(const replica_t *replica, uint64_t now_us);
/** Applied index a node last reported to this leader; 0 when unknown. */
uint64_t replica_peer_applied(const replica_t *replica, uint32_t node_id);
/** Time the node was last heard by this leader; 0 when never. */
uint64_t replica_peer_heard_us(const replica_t *replica, uint32_t node_id);
/** True when the data folder cannot be written; the replica does not vote then. */
bool replica_disk_failed(const replica_t *replica);
