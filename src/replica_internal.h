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
	PROPOSAL_QUEUED,    /* waits for a leader or for the time of its next send */
	PROPOSAL_FORWARDED, /* sent to the leader, whose reply has not arrived */
	PROPOSAL_APPENDED,  /* appended to this leader's log */
	PROPOSAL_ANSWERED,  /* the result is known and is reported when this replica has applied the
			       entry */
} proposal_state_t;

typedef struct proposal {
	TAILQ_ENTRY(proposal) link;
	proposal_state_t state;
	Lp__Command *command;
	bool idempotent;    /* the command has an operation id, so appending it twice has no further
			       effect */
	bool maybe_applied; /* an earlier send of the command may have been or may still be applied
			     */
	uint64_t deadline_us;
	uint64_t retry_us;     /* earliest time of the next send */
	uint64_t seq;	       /* sequence number in the Propose message of the proposal */
	uint32_t forwarded_to; /* node id of the leader that the proposal was sent to */
	uint64_t index; /* log index of the command, known from the append or from the result */
	uint64_t term;
	Lp__Result *result;
	uint32_t origin_node; /* node that forwarded the proposal to this one; 0 if it was proposed
				 here */
	uint64_t origin_seq;
	replica_done_fn done;
	void *arg;
} proposal_t;

TAILQ_HEAD(proposal_list, proposal);

/* Latest replica id that a node reported when it came up. */
typedef struct {
	raft_id_t id;
	bool has_disk;
	uint64_t up_us; /* when the node was last reported to be up */
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
	uint64_t syncing_index; /* index of the last entry that will be durable when the running
				   write ends */

	char *log_path; /* path of the log file; NULL if there is no disk */
	char *snapshot_path;
	char *identity_path;
	wal_t *wal;
	uint8_t *pending_snapshot; /* snapshot file being written; NULL if none is */
	size_t pending_snapshot_length;
	uint64_t disk_retry_us;

	struct proposal_list queued;   /* proposals in the state QUEUED, FORWARDED or ANSWERED */
	struct proposal_list appended; /* proposals in the state APPENDED, sorted by index */
	uint64_t next_seq;

	known_peer_t known_peers[RAFT_MEMBERS_MAX];
	size_t known_peer_count;
	uint64_t leader_since_us; /* when this replica became the leader; 0 if it is not */
	uint64_t led_term; /* term that this replica leads, for the log line at its end; 0 if it
			      does not lead */
	uint64_t last_tick_us;
	uint64_t tick_gap_us; /* time between the latest two ticks */
	bool has_disk_thread;
	bool snapshot_due;
	bool vote_saved_since_sync; /* true when a vote was buffered after the running write started
				     */
	bool disk_failed;
	bool flush_scheduled;
	uint64_t config_seen_index; /* index of the latest configuration that known_peers was
				       updated from */
};

/* --- replica.c --- */
void replica_schedule_flush(replica_t *replica);

/* --- replica_store.c --- */
/* Reads the replica's identity from the data directory, or creates the directory. @return 0, or -1
 * with a message in error */
int replica_store_open(replica_t *replica, char *error, size_t error_size);
/* Passes the log and the snapshot on disk to the Raft core. @return 0, or -1 with a message in
 * error */
int replica_store_recover(replica_t *replica, char *error, size_t error_size);
void replica_store_append_vote(replica_t *replica, uint64_t term, raft_id_t vote);
void replica_store_append_entry(replica_t *replica, const Lp__LogEntry *entry);
/* Replaces the buffered records by all records of a log file that starts after the snapshot. */
void replica_store_buffer_log(replica_t *replica);
/* replica_store_write_snapshot() writes the snapshot file, and replica_store_rewrite_log() replaces
 * the log file. @return 0, or -1 with errno set */
int replica_store_write_snapshot(replica_t *replica);
int replica_store_rewrite_log(replica_t *replica);

/* --- replica_propose.c --- */
void replica_propose_queued(replica_t *replica, uint64_t now_us);
/* Completes the proposals up to the index of an entry that has just been applied. result is the
 * result of that entry. */
void replica_complete_proposals(replica_t *replica, const Lp__LogEntry *entry,
				const Lp__Result *result);
/* Completes proposals up to index with RESULT_UNKNOWN, because a snapshot was installed instead of
 * applying their entries one by one. */
void replica_complete_skipped(replica_t *replica, uint64_t index);
void replica_propose_tick(replica_t *replica, uint64_t now_us);
void replica_on_propose(replica_t *replica, uint32_t from, const Lp__Propose *propose);
void replica_on_propose_reply(replica_t *replica, const Lp__ProposeReply *reply);
void replica_abort_proposals(replica_t *replica);

/* --- replica_members.c --- */
void replica_members_tick(replica_t *replica, uint64_t now_us);
