#pragma once

#include <sys/queue.h>

#include "disk_thread.h"
#include "raft.h"
#include "replica.h"
#include "wal.h"

/**
 * @file
 * Shared by the sources of the replica: replica.c (event handling and flush cycle), replica_store.c
 * (files and recovery), replica_propose.c (proposals), replica_members.c (membership changes).
 */

struct tevent_immediate;

typedef enum {
	PROPOSAL_QUEUED,    /* waits for a leader or for its next send */
	PROPOSAL_FORWARDED, /* sent to the leader, which has not replied */
	PROPOSAL_APPENDED,  /* appended to this leader's log */
	PROPOSAL_ANSWERED,  /* has its result; waits until this replica has applied its entry */
} proposal_state_t;

typedef struct proposal {
	TAILQ_ENTRY(proposal) link;
	proposal_state_t state;
	Lp__Command *command;
	bool idempotent;    /* has an operation id, so a second append has no effect */
	bool maybe_applied; /* may be applied through an earlier send */
	uint64_t deadline_us;
	uint64_t retry_us;     /* earliest time of the next send */
	uint64_t seq;	       /* sequence number of its Propose message */
	uint32_t forwarded_to; /* node id of the leader it was sent to */
	uint64_t index;	       /* log index, from the append or from the result */
	uint64_t term;
	Lp__Result *result;
	uint32_t origin_node; /* node that forwarded it here; 0: proposed here */
	uint64_t origin_seq;
	replica_done_fn done;
	void *arg;
} proposal_t;

TAILQ_HEAD(proposal_list, proposal);

/* Latest replica id under which a node came up. */
typedef struct {
	raft_id_t id;
	bool has_disk;
	uint64_t up_us; /* when it was last reported to be up */
} known_peer_t;

struct replica {
	replica_config_t config;
	uint32_t *founding_voters;
	replica_state_machine_t state_machine;
	replica_send_fn send;
	void *send_arg;
	timer_service_t *timers;
	timer_sub_t tick;
	struct tevent_immediate *flush_event;

	raft_t *raft;
	raft_id_t self;
	uint64_t applied_index;
	uint64_t snapshot_index;
	uint64_t bytes_since_snapshot; /* size of the entries applied since the latest snapshot */
	uint32_t last_leader;
	TAILQ_HEAD(raft_message_list, raft_action)
	unsynced_messages;			   /* messages that wait for the next write */
	struct raft_message_list syncing_messages; /* messages that wait for the running write */
	disk_thread_t disk_thread;
	uint64_t syncing_index; /* last entry that is durable when the running write ends */

	char *log_path; /* NULL: no disk */
	char *snapshot_path;
	char *identity_path;
	wal_t *wal;
	uint8_t *pending_snapshot; /* snapshot file being written; NULL: none */
	size_t pending_snapshot_length;
	uint64_t disk_retry_us;

	struct proposal_list queued;   /* in state QUEUED, FORWARDED or ANSWERED */
	struct proposal_list appended; /* in state APPENDED, by index */
	uint64_t next_seq;

	known_peer_t known_peers[RAFT_MEMBERS_MAX];
	size_t known_peer_count;
	uint64_t leader_since_us; /* 0: not the leader */
	bool has_disk_thread;
	bool snapshot_due;
	bool vote_saved_since_sync; /* a vote was buffered after the running write started */
	bool disk_failed;
	bool flush_scheduled;
	uint64_t config_seen_index; /* latest configuration compared with known_peers */
};

/* --- replica.c --- */
void replica_schedule_flush(replica_t *replica);

/* --- replica_store.c --- */
/* Reads the replica's identity, or creates the data directory. @return 0, or -1 with a message */
int replica_store_open(replica_t *replica, char *error, size_t error_size);
/* Recovers the log and the snapshot into the Raft core. @return 0, or -1 with a message */
int replica_store_recover(replica_t *replica, char *error, size_t error_size);
void replica_store_append_vote(replica_t *replica, uint64_t term, raft_id_t vote);
void replica_store_append_entry(replica_t *replica, const Lp__LogEntry *entry);
/* Replaces the buffered records by the full contents of a log that starts after the snapshot. */
void replica_store_buffer_log(replica_t *replica);
/* The next two return 0, or -1 with errno set. */
int replica_store_write_snapshot(replica_t *replica);
int replica_store_rewrite_log(replica_t *replica);

/* --- replica_propose.c --- */
void replica_propose_queued(replica_t *replica, uint64_t now_us);
/* Completes the proposals up to the index of an entry that was just applied. */
void replica_complete_proposals(replica_t *replica, const Lp__LogEntry *entry,
				const Lp__Result *result);
/* Completes proposals up to index with RESULT_UNKNOWN: a snapshot was installed instead of applying
 * their entries. */
void replica_complete_skipped(replica_t *replica, uint64_t index);
void replica_propose_tick(replica_t *replica, uint64_t now_us);
void replica_on_propose(replica_t *replica, uint32_t from, const Lp__Propose *propose);
void replica_on_propose_reply(replica_t *replica, const Lp__ProposeReply *reply);
void replica_abort_proposals(replica_t *replica);

/* --- replica_members.c --- */
void replica_members_tick(replica_t *replica, uint64_t now_us);
