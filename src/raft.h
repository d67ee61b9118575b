#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "peer.pb-c.h"

/**
 * @file
 * The Raft core: pre-vote, check-quorum, leader lease, learners, snapshots and voter changes one at
 * a time. It makes no system call, takes no lock and writes no log line; time is an argument and
 * randomness is seeded. Each call may queue actions, which the caller takes with raft_take().
 */

#define RAFT_MEMBERS_MAX 64
/** Most bytes of entries or snapshot in one message, unless a single entry is larger. */
#define RAFT_BATCH_BYTES (64 * 1024)
/** Most unanswered batches for each follower. */
#define RAFT_INFLIGHT_MAX 4

/** Identity of a replica; a node that lost its disk returns with another replica id. */
typedef struct {
	uint32_t node;
	uint64_t replica;
} raft_id_t;

typedef struct {
	raft_id_t id;
	bool voter; /**< false: learner */
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

/** State of the machine after the entry index, and the configuration in force then. */
typedef struct {
	uint64_t index;
	uint64_t term;
	raft_config_t config;
	uint8_t *data;
	size_t length;
} raft_snapshot_t;

typedef enum {
	RAFT_SAVE_VOTE,	    /**< make term and vote durable */
	RAFT_SAVE_ENTRY,    /**< append to the log; an index already there cuts the log first */
	RAFT_SAVE_SNAPSHOT, /**< replace the log and the machine's state by the snapshot */
	RAFT_SEND,	    /**< send the message; after_sync: only once all saves are durable */
	RAFT_COMMIT,	    /**< entries up to the index may be applied */
} raft_action_type_t;

typedef struct raft_action {
	TAILQ_ENTRY(raft_action) link;
	raft_action_type_t type;
	union {
		struct {
			uint64_t term;
			raft_id_t vote;
		} save_vote;
		const Lp__LogEntry *entry;	 /**< valid until the next call */
		const raft_snapshot_t *snapshot; /**< valid until the next call */
		struct {
			Lp__RaftMessage *message; /**< entries valid until the next call */
			bool after_sync;
		} send;
		uint64_t commit;
	};
} raft_action_t;

typedef struct {
	raft_id_t self;
	bool disk; /**< false: never votes */
	uint64_t heartbeat_us;
	uint64_t election_min_us; /**< the maximum is twice as long */
	uint64_t lease_us;	  /**< below election_min_us */
	uint64_t seed;
} raft_options_t;

struct raft;
typedef struct raft raft_t;

raft_t *raft_create(void *parent, const raft_options_t *options);
/** Recovery, first step: the entry before the first recovered one. */
void raft_restore_base(raft_t *raft, uint64_t index, uint64_t term, const raft_config_t *config);
/** Recovery: the latest durable term and vote. */
void raft_restore_vote(raft_t *raft, uint64_t term, raft_id_t vote);
/**
 * Hands over a recovered entry, in log order; an entry with an index already present cuts the log.
 * @return 0, or -1 when there is a gap before the entry
 */
int raft_restore_entry(raft_t *raft, const Lp__LogEntry *entry);
/**
 * Recovery, after the entries: the snapshot; data is copied. Entries that do not continue it are
 * dropped, as a snapshot that was received replaces the log.
 */
void raft_restore_snapshot(raft_t *raft, const raft_snapshot_t *snapshot);
/** Ends recovery. Refuses votes for one election timeout, as a lease may rest on this replica. */
void raft_start(raft_t *raft, uint64_t now_us);

/** @return the oldest action, owned by the caller (talloc_free()), or NULL */
raft_action_t *raft_take(raft_t *raft);

void raft_tick(raft_t *raft, uint64_t now_us);
void raft_receive(raft_t *raft, uint64_t now_us, const Lp__RaftMessage *message);
/**
 * Appends an entry when this replica leads. It is sent by the next raft_replicate().
 * @return its index, or 0 when not the leader
 */
uint64_t raft_propose(raft_t *raft, Lp__EntryType type, const uint8_t *data, size_t length);
/** Sends what the followers' windows admit. Call after a group of proposals. */
void raft_replicate(raft_t *raft, uint64_t now_us);
/** All entries and votes that were saved before are durable. */
void raft_synced(raft_t *raft, uint64_t now_us);
/** Entries up to index are durable, and the vote if votes is true. */
void raft_mark_synced_to(raft_t *raft, uint64_t index, bool votes, uint64_t now_us);
/** The caller applied entries up to index. */
void raft_applied(raft_t *raft, uint64_t index);
/** While the disk cannot be written, the replica follows in memory, and neither votes nor leads. */
void raft_set_disk(raft_t *raft, uint64_t now_us, bool writable);
/**
 * Hands over a snapshot of the machine at the applied index, and drops entries that are older than
 * keep entries before it. Data is copied.
 */
void raft_compact(raft_t *raft, uint64_t index, const uint8_t *data, size_t length,
		  uint64_t keep_entries);

typedef enum {
	RAFT_ADD_LEARNER, /**< adds a learner and removes any other identity of its node */
	RAFT_PROMOTE,	  /**< makes a learner a voter */
	RAFT_REMOVE,
} raft_change_t;

/**
 * Appends a configuration with one change.
 * @return 0, or -1 when not the leader, when an earlier change or the first entry of the term is
 * not committed yet, when no majority of the new configuration answers, or when there is nothing
 * to change
 */
int raft_change(raft_t *raft, raft_change_t change, raft_id_t id);

raft_role_t raft_role(const raft_t *raft);
uint64_t raft_term(const raft_t *raft);
raft_id_t raft_voted_for(const raft_t *raft);
/** Node 0 when unknown. */
raft_id_t raft_leader(const raft_t *raft);
uint64_t raft_committed(const raft_t *raft);
uint64_t raft_first_index(const raft_t *raft);
uint64_t raft_last_index(const raft_t *raft);
/** @return the entry, or NULL when compacted or absent; valid until the next call */
const Lp__LogEntry *raft_entry(const raft_t *raft, uint64_t index);
const raft_config_t *raft_config(const raft_t *raft);
/** Index of the entry that set it; the base index when none is held. */
uint64_t raft_config_index(const raft_t *raft);
/** Configuration in force before the first entry held. */
const raft_config_t *raft_base_config(const raft_t *raft);
/** Term of the entry before the first one held. */
uint64_t raft_base_term(const raft_t *raft);
const raft_snapshot_t *raft_snapshot(const raft_t *raft);
/**
 * True when this replica leads, no other one can have been elected, and everything committed so far
 * is known to be committed and applied here.
 */
bool raft_has_lease(const raft_t *raft, uint64_t now_us);
/** Last time a message of the current leader arrived; 0 when never. */
uint64_t raft_leader_contact_us(const raft_t *raft);

/** What the leader knows of a member. */
typedef struct {
	uint64_t match_index; /**< last entry known to be durable there */
	uint64_t applied_index;
	uint64_t last_reply_us;
} raft_peer_info_t;
/** @return 0, or -1 when not leading or not a member */
int raft_peer_info(const raft_t *raft, raft_id_t id, raft_peer_info_t *info);

/** Serialises a configuration. @return memory under parent */
uint8_t *raft_config_pack(void *parent, const raft_config_t *config, size_t *length);
/** @return 0, or -1 when malformed or too large */
int raft_config_unpack(raft_config_t *config, const uint8_t *data, size_t length);
/** @return the member, or NULL */
const raft_member_t *raft_config_find(const raft_config_t *config, raft_id_t id);
bool raft_id_equal(raft_id_t a, raft_id_t b);
