#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "peer.pb-c.h"

/**
 * @file
 * Core of the Raft protocol with pre-vote, check-quorum, leader lease, learners, snapshots and
 * single-server membership changes. It makes no system calls, takes no locks and writes no log
 * lines; the caller passes in the time and the random seed. Each call may queue actions, which the
 * caller fetches with raft_pop_action() and executes.
 */

#define RAFT_MEMBERS_MAX 64
/** Limit of the entries or snapshot data in one message, in bytes. A larger single entry is sent in
 * a message of its own. */
#define RAFT_BATCH_BYTES (64 * 1024)
/** Maximum number of unacknowledged entry batches or snapshot chunks per follower. */
#define RAFT_INFLIGHT_MAX 4

/** Identity of a replica. A node that lost its disk gets a new replica id. */
typedef struct {
	uint32_t node;
	uint64_t replica;
} raft_id_t;

typedef struct {
	raft_id_t id;
	bool voter; /**< true: voter; false: learner, which receives the log but has no vote */
} raft_member_t;

typedef struct {
	raft_member_t members[RAFT_MEMBERS_MAX];
	size_t count;
} raft_config_t;

typedef enum {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
} raft_role_t;

/** Serialised state of the state machine after the entry at index, and the configuration in force
 * at that entry. */
typedef struct {
	uint64_t index;
	uint64_t term;
	raft_config_t config;
	uint8_t *data;
	size_t length;
} raft_snapshot_t;

typedef enum {
	RAFT_SAVE_VOTE,	 /**< make term and vote durable */
	RAFT_SAVE_ENTRY, /**< append the entry to the log; if an entry with its index exists, first
			    truncate the log from that index */
	RAFT_SAVE_SNAPSHOT, /**< replace the log and the state machine by the snapshot */
	RAFT_SEND,   /**< send the message; if after_sync is set, not before all earlier saves are
			durable */
	RAFT_COMMIT, /**< apply the entries up to the index */
} raft_action_type_t;

typedef struct raft_action {
	TAILQ_ENTRY(raft_action) link;
	raft_action_type_t type;
	union {
		struct {
			uint64_t term;
			raft_id_t vote;
		} save_vote;
		const Lp__LogEntry *entry;	 /**< entry to save; valid until the next call that
						    changes the Raft state */
		const raft_snapshot_t *snapshot; /**< snapshot to save; valid until the next call
						    that changes the Raft state */
		struct {
			Lp__RaftMessage *message; /**< the message's entries are valid until the
						     next call that changes the Raft state */
			bool after_sync;
		} send;
		uint64_t commit;
	};
} raft_action_t;

typedef struct {
	raft_id_t self;
	bool has_disk; /**< whether the replica has a disk; without one, it never votes */
	uint64_t heartbeat_us;
	uint64_t election_min_us; /**< minimum election timeout; the maximum is twice as long */
	uint64_t lease_us;	  /**< duration of the leader lease; shorter than election_min_us */
	uint64_t seed;
} raft_options_t;

struct raft;
typedef struct raft raft_t;

raft_t *raft_create(void *parent, const raft_options_t *options);
/** First step of recovery: sets the index and term of the entry before the first log entry, and the
 * configuration in force there. */
void raft_restore_base(raft_t *raft, uint64_t index, uint64_t term, const raft_config_t *config);
/** During recovery: sets the latest durable term and vote. */
void raft_restore_vote(raft_t *raft, uint64_t term, raft_id_t vote);
/**
 * During recovery: appends an entry. If an entry with its index exists, the log is first truncated
 * from that index. Call it for the entries in the order of the log.
 * @return 0, or -1 when entries before it are missing
 */
int raft_restore_entry(raft_t *raft, const Lp__LogEntry *entry);
/**
 * Recovery step after the entries: sets the snapshot and copies its data. If the log does not hold
 * the snapshot's last entry, the snapshot came from a leader and replaces the log, so all entries
 * are dropped.
 */
void raft_restore_snapshot(raft_t *raft, const raft_snapshot_t *snapshot);
/** Ends recovery. The replica then grants no vote for one election timeout: before the restart, it
 * may have acknowledged a leader whose lease is still valid. */
void raft_start(raft_t *raft, uint64_t now_us);

/**
 * Removes the oldest queued action.
 * @return the action, which the caller frees with talloc_free(), or NULL when there is none
 */
raft_action_t *raft_pop_action(raft_t *raft);

void raft_tick(raft_t *raft, uint64_t now_us);
void raft_receive(raft_t *raft, uint64_t now_us, const Lp__RaftMessage *message);
/**
 * Appends an entry to the log if this replica is the leader. The next raft_replicate() sends it to
 * the followers.
 * @return index of the entry, or 0 when not the leader
 */
uint64_t raft_propose(raft_t *raft, Lp__EntryType type, const uint8_t *data, size_t length);
/** Sends entries to each follower up to its limit of unacknowledged batches. Call after a group of
 * proposals. */
void raft_replicate(raft_t *raft, uint64_t now_us);
/** Tells the core that all entries and votes saved so far are durable. */
void raft_mark_synced(raft_t *raft, uint64_t now_us);
/** Tells the core that the entries up to index are durable and, if votes is true, that the saved
 * vote is durable too. */
void raft_mark_synced_to(raft_t *raft, uint64_t index, bool votes, uint64_t now_us);
/** Tells the core that the caller has applied the entries up to index. */
void raft_mark_applied(raft_t *raft, uint64_t index);
/** Tells the core whether the disk can be written. While it cannot, the replica still accepts
 * entries in memory but neither votes nor leads. */
void raft_set_disk_writable(raft_t *raft, uint64_t now_us, bool writable);
/**
 * Stores a snapshot of the state machine at index, which must be committed. Drops the log entries
 * up to index, except the last keep_entries of them. The data is copied.
 */
void raft_compact(raft_t *raft, uint64_t index, const uint8_t *data, size_t length,
		  uint64_t keep_entries);

typedef enum {
	RAFT_ADD_LEARNER, /**< add a learner and remove any other replica of its node */
	RAFT_PROMOTE,	  /**< make a learner a voter */
	RAFT_REMOVE,
} raft_member_change_t;

/**
 * Appends a configuration entry with one membership change. Fails when this replica is not the
 * leader, when an earlier change or the first entry of the term is not committed yet, when no
 * majority of the new configuration responds, or when the change has no effect.
 * @return 0, or -1
 */
int raft_change_member(raft_t *raft, raft_member_change_t change, raft_id_t id);

raft_role_t raft_role(const raft_t *raft);
uint64_t raft_term(const raft_t *raft);
raft_id_t raft_voted_for(const raft_t *raft);
/** Returns the leader of the current term; its node is 0 when the leader is unknown. */
raft_id_t raft_leader(const raft_t *raft);
uint64_t raft_committed(const raft_t *raft);
uint64_t raft_first_index(const raft_t *raft);
uint64_t raft_last_index(const raft_t *raft);
/** @return the entry, valid until the next call, or NULL when the log does not hold it */
const Lp__LogEntry *raft_entry(const raft_t *raft, uint64_t index);
const raft_config_t *raft_config(const raft_t *raft);
/** Returns the index of the latest configuration entry in the log. If the log has none, returns the
 * index of the entry before the first one. */
uint64_t raft_config_index(const raft_t *raft);
/** Returns the configuration in force before the first log entry. */
const raft_config_t *raft_base_config(const raft_t *raft);
/** Returns the term of the entry before the first log entry. */
uint64_t raft_base_term(const raft_t *raft);
const raft_snapshot_t *raft_snapshot(const raft_t *raft);
/**
 * True while no other member can have become the leader: a majority has acknowledged a recent
 * heartbeat. Unlike raft_has_lease(), also while committed entries are being applied.
 */
bool raft_is_sole_leader(const raft_t *raft, uint64_t now_us);
/**
 * True when this replica leads, no other leader can have been elected, and this replica knows of
 * all committed entries and has applied them.
 */
bool raft_has_lease(const raft_t *raft, uint64_t now_us);
/** Returns when this replica, as the leader, sent the latest heartbeat round that a majority of the
 * voters has acknowledged, or when it became the leader if there is none. Still valid right after
 * its term as the leader has ended. */
uint64_t raft_majority_contact_us(const raft_t *raft, uint64_t now_us);
/** Returns when the latest message of a leader arrived, or the time of raft_start() if none has
 * arrived yet. */
uint64_t raft_leader_contact_us(const raft_t *raft);

/** State of replication to another member, as the leader knows it. */
typedef struct {
	uint64_t match_index; /**< index of the last entry known to be durable at the member */
	uint64_t applied_index;
	uint64_t last_reply_us;
} raft_peer_info_t;
/** Gets the state of another member. @return 0, or -1 when this replica is not the leader or id is
 * not another member */
int raft_peer_info(const raft_t *raft, raft_id_t id, raft_peer_info_t *info);

/**
 * Serialises a configuration.
 * @return talloc memory under parent
 */
uint8_t *raft_config_pack(void *parent, const raft_config_t *config, size_t *length);
/** Parses a configuration. @return 0, or -1 when the data is malformed or has too many members */
int raft_config_unpack(raft_config_t *config, const uint8_t *data, size_t length);
/** @return the member with this id, or NULL */
const raft_member_t *raft_config_find(const raft_config_t *config, raft_id_t id);
bool raft_id_equal(raft_id_t a, raft_id_t b);
