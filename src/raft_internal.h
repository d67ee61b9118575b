#pragma once

#include "raft.h"

/**
 * @file
 * Shared by the sources of the Raft core: raft.c (roles, terms, elections), raft_log.c (entries and
 * configurations in memory), raft_leader.c (replication), raft_follower.c (receiving entries and
 * snapshots).
 */

#define ROUND_HISTORY 32

typedef enum {
	PEER_PROBE, /* the follower's match_index is unknown; only one message at a time is sent */
	PEER_REPLICATE, /* entries are sent without waiting for the replies to earlier ones */
	PEER_SNAPSHOT,
} raft_peer_state_t;

/* State of replication to another member, kept by the leader. */
typedef struct {
	raft_id_t id;
	raft_peer_state_t state;
	uint64_t match_index;
	uint64_t next_index;
	uint64_t inflight_last_index[RAFT_INFLIGHT_MAX]; /* index of the last entry of each
							    unacknowledged batch, oldest first */
	size_t inflight_count;
	uint64_t sent_commit_index;
	uint64_t acked_round_sent_us; /* send time of the latest heartbeat round that the member
					 acknowledged; 0 if there is none */
	uint64_t last_reply_us;
	uint64_t applied_index;
	uint64_t snapshot_index;
	size_t snapshot_acked_bytes;
	size_t snapshot_sent_bytes;
	uint64_t snapshot_progress_us;
} raft_peer_t;

struct raft {
	raft_options_t options;
	TAILQ_HEAD(raft_action_list, raft_action) actions;
	uint64_t random_state;
	raft_role_t role;
	uint64_t term;
	raft_id_t voted_for;
	raft_id_t leader;
	bool disk_writable;
	bool vote_unsynced; /* the term and vote are not durable yet */

	/* Log entries in memory, with the indexes base_index + 1 to base_index + entry_count. */
	Lp__LogEntry **entries;
	size_t entry_count;
	size_t entry_capacity;
	uint64_t base_index;
	uint64_t base_term;
	raft_config_t base_config;
	raft_config_t config; /* latest configuration in the log, committed or not */
	uint64_t config_index;
	raft_snapshot_t snapshot;
	uint64_t commit_index;
	uint64_t synced_index;
	uint64_t applied_index;

	uint64_t leader_contact_us; /* when the latest message of a leader arrived */
	uint64_t election_deadline_us;
	bool votes_granted[RAFT_MEMBERS_MAX]; /* whether each member of config has voted for this
						 candidate */

	raft_peer_t peers[RAFT_MEMBERS_MAX];
	size_t peer_count;
	uint64_t leader_since_us;
	uint64_t term_first_index; /* index of the first entry that this leader appended in its term
				    */
	uint64_t next_heartbeat_us;
	uint64_t heartbeat_round;
	uint64_t round_sent_us[ROUND_HISTORY];

	raft_snapshot_t incoming;      /* snapshot being received; data grows with each chunk */
	uint64_t incoming_leader_term; /* term of the leader that sends the incoming snapshot */
};

/* --- raft.c --- */

raft_action_t *raft_queue_action(raft_t *raft, raft_action_type_t type);
/* Queues an empty message and returns it. The caller sets its body, allocated as a talloc child of
 * the message. */
Lp__RaftMessage *raft_queue_message(raft_t *raft, raft_id_t to, bool after_sync);
void raft_become_follower(raft_t *raft, uint64_t now_us, uint64_t term, raft_id_t leader);
void raft_reset_election_timeout(raft_t *raft, uint64_t now_us);
void raft_set_commit(raft_t *raft, uint64_t index);
/* Reads a configuration from a message. @return false when the message is NULL or has too many
 * members */
bool raft_config_from_message(raft_config_t *config, const Lp__RaftConfig *message);
/* Converts a configuration to a message allocated under parent. */
Lp__RaftConfig *raft_config_to_message(void *parent, const raft_config_t *config);

/* --- raft_log.c --- */

/* Gets the term of the entry at index, which is either in the log or the one before the first
 * entry. @return false when it is neither */
bool raft_log_term(const raft_t *raft, uint64_t index, uint64_t *term);
void raft_log_append(raft_t *raft, const Lp__LogEntry *entry);
void raft_log_truncate(raft_t *raft, uint64_t from);
/* Drops the entries up to index, which becomes base_index. */
void raft_log_compact(raft_t *raft, uint64_t index);
/* Empties the log; its next entry is the one after the snapshot's last entry. */
void raft_log_reset(raft_t *raft, const raft_snapshot_t *snapshot);
raft_config_t raft_log_config_at(const raft_t *raft, uint64_t index);
void raft_snapshot_copy(raft_t *raft, raft_snapshot_t *to, const raft_snapshot_t *from);

/* --- raft_leader.c --- */

void raft_become_leader(raft_t *raft, uint64_t now_us);
void raft_leader_tick(raft_t *raft, uint64_t now_us);
void raft_leader_update_peers(raft_t *raft);
void raft_leader_advance_commit(raft_t *raft, uint64_t now_us);
void raft_on_append_reply(raft_t *raft, uint64_t now_us, raft_id_t from,
			  const Lp__AppendReply *reply);
void raft_on_snapshot_reply(raft_t *raft, uint64_t now_us, raft_id_t from,
			    const Lp__SnapshotReply *reply);

/* --- raft_follower.c --- */

void raft_on_append(raft_t *raft, uint64_t now_us, raft_id_t from, const Lp__AppendRequest *append);
void raft_on_snapshot(raft_t *raft, uint64_t now_us, raft_id_t from,
		      const Lp__SnapshotChunk *chunk);
