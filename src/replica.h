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
 * Replicated log: proposes commands and applies committed ones to a state machine. Connects the
 * Raft core with the write-ahead log and the peer transport. Control thread only.
 */

/** Called once for each proposal, with its result. The result's code is RESULT_UNAVAILABLE
 * when the command certainly was not and will not be applied, and RESULT_UNKNOWN when it may have
 * been applied or may be applied later. */
typedef void (*replica_done_fn)(void *arg, const Lp__Result *result);

/** Callbacks of the state machine. */
typedef struct {
	/** Applies a committed command and fills in the result. The state machine owns the result's
	 * strings and keeps them until the next call. */
	void (*apply)(void *arg, uint64_t index, const Lp__Command *command, Lp__Result *result);
	/** Serialises the state. @return memory allocated with malloc(), freed by the caller */
	uint8_t *(*save)(void *arg, size_t *length);
	/** Replaces the state by a snapshot. @return 0, or -1 when the snapshot cannot be read */
	int (*load)(void *arg, const uint8_t *data, size_t length);
	/** Called after the applied index or the leader has changed; NULL if not needed. */
	void (*changed)(void *arg);
	void *arg;
} replica_state_machine_t;

/** Sends an envelope to a node. @return 0, or -1 when it was not queued */
typedef int (*replica_send_fn)(void *arg, uint32_t node_id, const Lp__Envelope *envelope);

typedef struct {
	uint32_t node_id;
	const char *data_dir; /**< path of the data directory; NULL if the process has no disk, and
				 its replica is then a learner */
	const uint32_t *founding_voters; /**< node ids of the founding voters; copied */
	size_t founding_voter_count;
	uint32_t heartbeat_ms;	  /**< interval of the leader's heartbeats, such as 200 */
	uint32_t election_min_ms; /**< minimum election timeout, such as 800; the maximum is twice
				     as long */
	uint32_t lease_ms;	  /**< duration of the leader lease, such as 600; shorter than
				     election_min_ms */
	uint32_t snapshot_every;  /**< number of applied entries after which a snapshot is taken,
				     such as 2,000 */
	uint32_t flush_delay_ms; /**< time for which proposals are collected and then sent together;
				    0: each is sent at once */
	uint32_t log_bytes_max;	 /**< total size in bytes of the applied entries after which a
				    snapshot is taken, and maximum total size of those kept in the
				    log after it; 0: 2 MiB */
	/**
	 * Number of voters to aim for; 0: exactly the nodes in founding_voters are voters.
	 * Otherwise any node with a disk can become a voter until there are this many. A voter that
	 * is silent for replace_ms is removed when a learner can replace it; a learner is removed
	 * when it is silent for four times replace_ms.
	 */
	uint32_t voter_target;
	uint32_t replace_ms;
	uint64_t seed;
	/**
	 * Passes all messages that have arrived from other members to replica_receive(); NULL if
	 * not needed. Called with the send_arg of replica_create() before timeouts are judged, so
	 * that a busy event loop does not count as silence of the others.
	 */
	void (*receive_pending)(void *arg);
} replica_config_t;

struct replica;
typedef struct replica replica_t;

/**
 * Initialises an empty data directory for a founding voter, whose replica id is 1. Fails when the
 * directory already holds an identity.
 * @return 0, or -1 with a message in error
 */
int replica_init_data_dir(const char *data_dir, uint32_t node_id, char *error, size_t error_size);

/**
 * Opens the data directory, recovers the state and joins the group.
 * @return the replica, or NULL with a message in error, which names the file and offset of
 * corrupted data
 */
replica_t *replica_create(void *parent, timer_service_t *timers, const replica_config_t *config,
			  const replica_state_machine_t *state_machine, replica_send_fn send,
			  void *send_arg, char *error, size_t error_size);
void replica_destroy(replica_t *replica);

/** Gets the node ids of the current configuration. @return their number, at most max */
size_t replica_members(const replica_t *replica, uint32_t *nodes, size_t max);

/** Returns the replica id, which is 1 for founding voters and otherwise random. */
uint64_t replica_id(const replica_t *replica);

/** Handles an envelope from a peer whose body is raft, propose or propose_reply. */
void replica_receive(replica_t *replica, uint32_t from, const Lp__Envelope *envelope);
/**
 * Tells the replica that a peer is up and has this replica id; the leader then replaces the node's
 * earlier replica id in the configuration. Must be repeated while the peer is up, because an older
 * log entry may since have overwritten the id with an outdated one.
 */
void replica_peer_up(replica_t *replica, uint32_t node_id, uint64_t peer_replica_id, bool has_disk);

/**
 * Proposes a command. If this replica is not the leader, it forwards the command to the leader.
 * @param timeout_ms time after which done gets RESULT_UNKNOWN, or RESULT_UNAVAILABLE if the command
 * was never sent
 */
void replica_propose(replica_t *replica, const Lp__Command *command, uint32_t timeout_ms,
		     replica_done_fn done, void *arg);

bool replica_is_leader(const replica_t *replica);
/** See raft_is_sole_leader(). */
bool replica_is_sole_leader(const replica_t *replica);
/** True while this replica leads and holds the leader lease, so that its state is up to date. */
bool replica_has_lease(const replica_t *replica);
/** Returns the node id of the leader, or 0 when it is unknown. */
uint32_t replica_leader(const replica_t *replica);
uint64_t replica_term(const replica_t *replica);
uint64_t replica_applied(const replica_t *replica);
uint64_t replica_committed(const replica_t *replica);
/** True when this replica leads, or heard from the leader within the maximum election timeout. */
bool replica_has_leader_contact(const replica_t *replica, uint64_t now_us);
/** Returns the applied index that a node last reported to this leader, or 0 when it is unknown. */
uint64_t replica_peer_applied(const replica_t *replica, uint32_t node_id);
/** Returns when this leader last received a reply from a node, or 0 if it has received none. */
uint64_t replica_peer_last_reply_us(const replica_t *replica, uint32_t node_id);
/** True while the data directory cannot be written; the replica then neither votes nor leads. */
bool replica_disk_failed(const replica_t *replica);
