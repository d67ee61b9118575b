#pragma once

#include <sys/queue.h>

#include "disk_thread.h"
#include "raft.h"
#include "replica.h"
#include "wal.h"

/**
 * @file
 * Shared by the parts of the replica: replica.c (event handling and the flush cycle),
 * replica_store.c (files and recovery), replica_propose.c (proposals), replica_members.c
 * (replaced identities and promotion).
 */

struct tevent_immediate;

typedef enum {
	PROPOSAL_QUEUED,    /* waits for a leader */
	PROPOSAL_FORWARDED, /* sent to the leader */
	PROPOSAL_APPENDED,  /* in this leader's log */
	PROPOSAL_ANSWERED,  /* has its result; waits until it is applied here */
} proposal_state_t;

typedef struct proposal {
	TAILQ_ENTRY(proposal) link;
	proposal_state_t state;
	Lp__Command *command;
	bool idempotent;    /* has an operation id, so that a second append does no harm */
	bool maybe_applied; /* an earlier send may still be applied */
	uint64_t deadline_us;
	uint64_t retry_us;     /* not sent again before */
	uint64_t seq;	       /* of the Propose message */
	uint32_t forwarded_to; /* it was forwarded to */
	uint64_t index;	       /* of the entry or of the result */
	uint64_t term;
	Lp__Result *result;
	uint32_t origin_node; /* node that forwarded it here; 0: local */
	uint64_t origin_seq;
	replica_done_fn done;
	void *arg;
} proposal_t;

TAILQ_HEAD(proposal_list, proposal);

/* Latest identity a node came up with. */
typedef struct {
	raft_id_t id;
	bool has_disk;
	uint64_t up_us; /* when it was known to be up */
} known_peer_t;

struct replica {
	replica_config_t config;
	uint32_t *voters;
	replica_machine_t state_machine;
	replica_send_fn send;
	void *send_arg;
	timer_service_t *timers;
	timer_sub_t tick;
	struct tevent_immediate *flush_event;

	raft_t *raft;
	raft_id_t self;
	uint64_t applied_index;
	uint64_t snapshot_index;
	uint64_t bytes_since_snapshot; /* of the entries applied since the snapshot */
	uint32_t last_leader;
	TAILQ_HEAD(raft_message_list, raft_action)
	unsynced_messages;			   /* messages that wait for the next sync */
	struct raft_message_list syncing_messages; /* messages that wait for the running one */
	disk_thread_t disk_thread;
	uint64_t syncing_index; /* entries up to it are durable once the running sync ends */

	char *log_path; /* NULL: no disk */
	char *snapshot_path;
	char *identity_path;
	wal_t *wal;
	uint8_t *pending_snapshot; /* that is being written; NULL: none */
	size_t pending_snapshot_length;
	uint64_t disk_retry_us;

	struct proposal_list queued;   /* PROPOSAL_QUEUED, PROPOSAL_FORWARDED, PROPOSAL_ANSWERED */
	struct proposal_list appended; /* PROPOSAL_APPENDED, by index */
	uint64_t next_seq;

	known_peer_t known_peers[RAFT_MEMBERS_MAX];
	size_t known_peer_count;
	uint64_t leader_since_us; /* 0: does not lead */
	bool has_disk_thread;
	bool snapshot_due;
	bool vote_saved_since_sync; /* since the running sync began */
	bool disk_failed;
	bool flush_scheduled;
	uint64_t config_seen_index; /* index of the latest configuration compared with known */
};

/* replica.c */
void replica_schedule_flush(replica_t *replica);

/* replica_store.c */
/* Finds or creates the identity. @return 0, or -1 with a message */
int replica_store_open(replica_t *replica, char *error, size_t error_size);
/* Recovers the log and the snapshot into the raft core. @return 0, or -1 with a message */
int replica_store_recover(replica_t *replica, char *error, size_t error_size);
void replica_store_append_vote(replica_t *replica, uint64_t term, raft_id_t vote);
void replica_store_append_entry(replica_t *replica, const Lp__LogEntry *entry);
/* Fills the log's buffer with what the log holds after the snapshot. */
void replica_store_buffer_log(replica_t *replica);
/* Each returns 0, or -1 with errno set. */
int replica_store_write_snapshot(replica_t *replica);
int replica_store_rewrite_log(replica_t *replica);

/* replica_propose.c */
void replica_propose_queued(replica_t *replica, uint64_t now_us);
/* Reports the outcome of the proposals whose index is settled by an applied entry. */
void replica_complete_proposals(replica_t *replica, const Lp__LogEntry *entry,
				const Lp__Result *result);
/* The state jumped to a snapshot; the results of entries up to index are not known. */
void replica_complete_skipped(replica_t *replica, uint64_t index);
void replica_propose_tick(replica_t *replica, uint64_t now_us);
void replica_on_propose(replica_t *replica, uint32_t from, const Lp__Propose *propose);
void replica_on_propose_reply(replica_t *replica, const Lp__ProposeReply *reply);
void replica_abort_proposals(replica_t *replica);

/* replica_members.c */
void replica_members_tick(replica_t *replica, uint64_t now_us);
