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
/** Largest payload of a message in bytes (entries or a snapshot chunk). A larger single entry is
 * sent alone. */
#define RAFT_BATCH_BYTES (64 * 1024)
/** Largest number of unacknowledged entry batches or snapshot chunks per follower. */
#define RAFT_INFLIGHT_MAX 4

/** Identity of a replica. A node that lost its disk returns under a new replica id. */
typedef struct {
	uint32_t node;
	uint64_t replica;
} raft_id_t;

typedef struct {
	raft_id_t id;
	bool voter; /**< false: learner, which receives the log but has no vote */
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

/** State machine after it applied the entry at index, with the configuration in force there. */
typedef struct {
	uint64_t index;
	uint64_t term;
	raft_config_t config;
	uint8_t *data;
	size_t length;
} raft_snapshot_t;

typedef enum {
	RAFT_SAVE_VOTE,	 /**< make term and vote durable */
	RAFT_SAVE_ENTRY, /**< append the entry to the log; if its index is present, first truncate
			    the log from there */
	RAFT_SAVE_SNAPSHOT, /**< replace the log and the state machine by the snapshot */
	RAFT_SEND, /**< send the message; with after_sync only when all earlier saves are durable */
	RAFT_COMMIT, /**< entries up to this index may be applied */
} raft_action_type_t;

typedef struct raft_action {
	TAILQ_ENTRY(raft_action) link;
	raft_action_type_t type;
	union {
		struct {
			uint64_t term;
			raft_id_t vote;
		} save_vote;
		const Lp__LogEntry
			*entry; /**< valid until the next call that changes the Raft state */
		const raft_snapshot_t
			*snapshot; /**< valid until the next call that changes the Raft state */
		struct {
			Lp__RaftMessage *message; /**< its entries are valid until the next call
						     that changes the Raft state */
			bool after_sync;
		} send;
		uint64_t commit;
	};
} raft_action_t;

typedef struct {
	raft_id_t self;
	bool has_disk; /**< false: the replica has no disk and never votes */
	uint64_t heartbeat_us;
	uint64_t election_min_us; /**< minimum election timeout; the maximum is twice as long */
	uint64_t lease_us;	  /**< lease of a leader; shorter than election_min_us */
	uint64_t seed;
} raft_options_t;

struct raft;
typedef struct raft raft_t;

raft_t *raft_create(void *parent, const raft_options_t *options);
/** Recovery, first step: sets the index and term that precede the first log entry, and the
 * configuration in force there. */
void raft_restore_base(raft_t *raft, uint64_t index, uint64_t term, const raft_config_t *config);
/** Recovery: sets the latest durable term and vote. */
void raft_restore_vote(raft_t *raft, uint64_t term, raft_id_t vote);
/**
 * Recovery: adds an entry in log order. If its index is present, the log is first truncated from
 * there.
 * @return 0, or -1 when entries before it are missing
 */
int raft_restore_entry(raft_t *raft, const Lp__LogEntry *entry);
/**
 * Recovery, after the entries: sets the snapshot and copies its data. If the log does not hold the
 * snapshot's last entry, all entries are dropped, because a received snapshot replaces the log.
 */
void raft_restore_snapshot(raft_t *raft, const raft_snapshot_t *snapshot);
/** Ends recovery. The replica grants no vote for one election timeout, because before the restart
 * it may have acknowledged a leader whose lease still runs. */
void raft_start(raft_t *raft, uint64_t now_us);

/**
 * Removes the oldest queued action.
 * @return the action, which the caller frees with talloc_free(), or NULL when there is none
 */
raft_action_t *raft_pop_action(raft_t *raft);

void raft_tick(raft_t *raft, uint64_t now_us);
void raft_receive(raft_t *raft, uint64_t now_us, const Lp__RaftMessage *message);
/**
 * Appends an entry if this replica is the leader. The next raft_replicate() sends it.
 * @return index of the entry, or 0 when not the leader
 */
uint64_t raft_propose(raft_t *raft, Lp__EntryType type, const uint8_t *data, size_t length);
/** Sends entries to each follower up to its limit of unacknowledged batches. Call after a group of
 * proposals. */
void raft_replicate(raft_t *raft, uint64_t now_us);
/** Reports that all entries and votes saved so far are durable. */
void raft_mark_synced(raft_t *raft, uint64_t now_us);
/** Reports that entries up to index are durable, and with votes also the saved vote. */
void raft_mark_synced_to(raft_t *raft, uint64_t index, bool votes, uint64_t now_us);
/** Reports that the caller has applied the entries up to index. */
void raft_mark_applied(raft_t *raft, uint64_t index);
/** Reports whether the disk can be written. While it cannot, the replica still accepts entries in
 * memory but neither votes nor leads. */
void raft_set_disk_writable(raft_t *raft, uint64_t now_us, bool writable);
/**
 * Stores a snapshot of the state machine at index, which must be committed, and drops log entries
 * except the last keep_entries before it. The data is copied.
 */
void raft_compact(raft_t *raft, uint64_t index, const uint8_t *data, size_t length,
		  uint64_t keep_entries);

typedef enum {
	RAFT_ADD_LEARNER, /**< add a learner and remove any other replica of its node */
	RAFT_PROMOTE,	  /**< make a learner a voter */
	RAFT_REMOVE,
} raft_member_change_t;

/**
 * Appends a configuration entry with one membership change.
 * @return 0, or -1 when this replica is not the leader, when an earlier change or the first entry
 * of the term is not committed yet, when no majority of the new configuration responds, or when
 * there is nothing to change
 */
int raft_change_member(raft_t *raft, raft_member_change_t change, raft_id_t id);

raft_role_t raft_role(const raft_t *raft);
uint64_t raft_term(const raft_t *raft);
raft_id_t raft_voted_for(const raft_t *raft);
/** Leader of the current term; node 0 when not known. */
raft_id_t raft_leader(const raft_t *raft);
uint64_t raft_committed(const raft_t *raft);
uint64_t raft_first_index(const raft_t *raft);
uint64_t raft_last_index(const raft_t *raft);
/** @return the entry, or NULL when it is compacted or absent; valid until the next call */
const Lp__LogEntry *raft_entry(const raft_t *raft, uint64_t index);
const raft_config_t *raft_config(const raft_t *raft);
/** Log index of the latest configuration; the base index when the log has no configuration entry.
 */
uint64_t raft_config_index(const raft_t *raft);
/** Configuration in force before the first entry in the log. */
const raft_config_t *raft_base_config(const raft_t *raft);
/** Term of the entry before the first one in the log. */
uint64_t raft_base_term(const raft_t *raft);
const raft_snapshot_t *raft_snapshot(const raft_t *raft);
/**
 * True when this replica leads, no other leader can have been elected, and this replica knows of
 * all committed entries and has applied them.
 */
bool raft_has_lease(const raft_t *raft, uint64_t now_us);
/** When the latest message of a leader arrived; before the first one, the time of raft_start(). */
uint64_t raft_leader_contact_us(const raft_t *raft);

/** Leader's knowledge of another member. */
typedef struct {
	uint64_t match_index; /**< last entry known to be durable there */
	uint64_t applied_index;
	uint64_t last_reply_us;
} raft_peer_info_t;
/** @return 0, or -1 when this replica is not the leader or id is not another member */
int raft_peer_info(const raft_t *raft, raft_id_t id, raft_peer_info_t *info);

/**
 * Serialises a configuration.
 * @return talloc memory under parent
 */
uint8_t *raft_config_pack(void *parent, const raft_config_t *config, size_t *length);
/** @return 0, or -1 when the data is malformed or has too many members */
int raft_config_unpack(raft_config_t *config, const uint8_t *data, size_t length);
/** @return the member with this id, or NULL */
const raft_member_t *raft_config_find(const raft_config_t *config, raft_id_t id);
bool raft_id_equal(raft_id_t a, raft_id_t b);
