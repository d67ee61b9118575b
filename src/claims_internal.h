#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "claims.h"
#include "rendezvous.h"

/**
 * @file
 * Shared by the sources of claims: stored claims (claims_store.c), member sets and keys this
 * replica is authoritative for (claims_config.c), requests to the replica (claims_replica.c),
 * attempts of the coordinator (claims_coordinator.c), sync between replicas (claims_sync.c),
 * message batches (claims_batch.c).
 */

#define CLAIMS_REPLICAS_MAX 3
#define CLAIMS_MAJORITY(count) ((count) / 2 + 1)
#define CLAIMS_MEMBERS_MAX 64
/* Number of member sets kept for syncs. Keys that need an older one are answered with abstain until
 * the retention period has passed. */
#define CLAIMS_MEMBER_SETS_MAX 16

typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t seq;
} claims_owner_t;

/** An attempt that holds a key. */
typedef struct {
	claims_owner_t owner;
	uint64_t acquired_us;
	Lp__Outcome *outcome; /**< NULL: no outcome recorded */
} claims_holder_t;

/** A claimed key. After a sync from two replicas, more than one attempt may hold it. */
typedef struct {
	char *key;
	char *home;
	GArray *holders; /**< claims_holder_t; never empty */
	uint64_t serial; /**< renewed when an outcome is added; orders the records of a sync */
} claims_record_t;

typedef struct {
	GHashTable *by_key;
	GTree *by_serial;
	uint64_t next_serial;
	uint64_t expire_cursor;
} claims_store_t;

/** State of the sync from one member for one member set. */
typedef struct {
	uint64_t sync_id; /**< 0: no sync started yet */
	uint64_t cursor;
	uint64_t next_request_us;
	uint64_t retry_interval_us;
	uint64_t incarnation; /**< incarnation of the member that sends the pages */
	bool running;
	bool first_page_intact;
	bool first_page_intact_before;
	bool first_page_missing_known;
	GArray *first_page_missing;
	/* Result of the latest complete sync: the member's status in its first page. */
	bool complete;
	bool intact;
	bool intact_before;
	bool missing_known;
	GArray *missing; /**< uint32_t node ids; the peer may lack claims of their keys */
} claims_peer_sync_t;

/** A member set, with the state of the syncs for it. */
typedef struct {
	uint64_t epoch;
	rendezvous_node_t members[CLAIMS_MEMBERS_MAX];
	size_t count;
	uint64_t since_us;
	bool authoritative; /**< this replica is authoritative for all its keys in this set */
	claims_peer_sync_t syncs[CLAIMS_MEMBERS_MAX];
} claims_member_set_t;

/** Latest known incarnation of another replica. Claims are held in memory, so a new incarnation has
 * lost those of the earlier one. */
typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
} claims_known_incarnation_t;

/** Latest sequence number received from a coordinator. */
typedef struct {
	uint64_t incarnation;
	uint64_t last_seq;
} claims_sequence_t;

/** Messages to one node, queued until claims_flush(). */
typedef struct {
	uint32_t node_id;
	GPtrArray *requests; /**< Lp__ClaimRequest */
	GPtrArray *replies;  /**< Lp__ClaimReply */
	size_t request_bytes;
	size_t reply_bytes;
} claims_batch_t;

struct claims {
	claims_config_t config;
	claims_send_fn send;
	void *send_arg;
	uint64_t now_us;
	uint64_t started_us;
	bool memory_lost; /**< started without earlier claims; not synced yet */
	claims_store_t store;
	claims_member_set_t *sets[CLAIMS_MEMBER_SETS_MAX]; /**< oldest first */
	size_t set_count;
	claims_known_incarnation_t known_incarnations[CLAIMS_MEMBERS_MAX];
	size_t known_incarnation_count;
	GHashTable *sequences; /**< node id -> claims_sequence_t */
	GHashTable *attempts;  /**< sequence number -> attempt */
	uint64_t next_seq;
	uint64_t next_sync_id;
	claims_batch_t batches[CLAIMS_MEMBERS_MAX];
	size_t batch_count;
};

/* --- claims_store.c --- */
void claims_store_init(claims_store_t *store);
void claims_store_finish(claims_store_t *store);
claims_record_t *claims_store_find(const claims_store_t *store, const char *key);
/**
 * Adds a holder of the key, and a record if there is none.
 * @return the holder, valid until the store changes
 */
claims_holder_t *claims_store_add_holder(claims_store_t *store, const char *key, const char *home,
					 const claims_owner_t *owner, uint64_t acquired_us);
/** Removes a holder without an outcome, and the record if it was the last holder. */
void claims_store_remove_holder(claims_store_t *store, claims_record_t *record,
				const claims_owner_t *owner);
/** Gives the record a new serial, so that a running sync sends it again. */
void claims_store_renew_serial(claims_store_t *store, claims_record_t *record);
/** The record with the lowest serial above the cursor, or NULL. */
claims_record_t *claims_store_next(const claims_store_t *store, uint64_t cursor);
/** Removes holders acquired before a time. Each call checks some records, so call it repeatedly. */
void claims_store_expire_some(claims_store_t *store, uint64_t before_us);
/** @return the holder for this attempt, or NULL */
claims_holder_t *claims_record_holder(const claims_record_t *record, const claims_owner_t *owner);
/** @return the most recently acquired holder with an outcome, or NULL */
const claims_holder_t *claims_record_latest_outcome(const claims_record_t *record);
/** Deep copy. A body of more than limit bytes is left out and the copy marked as truncated. */
Lp__Outcome *claims_outcome_copy(const Lp__Outcome *outcome, size_t limit);
void claims_outcome_free(Lp__Outcome *outcome);

/* --- claims_config.c --- */
claims_member_set_t *claims_set_new(uint64_t epoch, uint64_t now_us);
void claims_set_add(claims_member_set_t *set, uint32_t node_id, const char *data_centre);
void claims_set_free(claims_member_set_t *set);
claims_member_set_t *claims_current_set(const claims_t *claims);
claims_member_set_t *claims_set_by_epoch(const claims_t *claims, uint64_t epoch);
/** The member set before this one, or NULL when it is not known. */
claims_member_set_t *claims_previous_set(const claims_t *claims, const claims_member_set_t *set);
size_t claims_set_replicas(const claims_member_set_t *set, const char *key, const char *home,
			   uint32_t *node_ids);
bool claims_set_contains(const claims_member_set_t *set, uint32_t node_id);
bool claims_ids_contain(const uint32_t *ids, size_t count, uint32_t node_id);
/** True when this replica has certainly forgotten no claim of the key that may have been granted,
 * so that it may grant the key. See claims_config.c. */
bool claims_is_authoritative(const claims_t *claims, const char *key, const char *home);
/** Recomputes the sets that this replica is authoritative for, and drops sets that are no longer
 * needed. */
void claims_update_authority(claims_t *claims);
/** True when the member need not be synced from again for this set. */
bool claims_sync_is_sufficient(const claims_t *claims, const claims_member_set_t *set,
			       size_t member);
/** True when the node is the only member of its data centre and so the only replica of keys homed
 * there. */
bool claims_is_sole_member_of_dc(const claims_member_set_t *set, uint32_t node_id);
/** True when, for every key, each majority of its replicas in the previous set includes a remaining
 * member, so that no claim is lost by the removal. */
bool claims_removal_is_recoverable(const claims_member_set_t *previous,
				   const claims_member_set_t *set);

/* --- claims_replica.c --- */
void claims_replica_request(claims_t *claims, uint32_t from, uint64_t epoch,
			    const Lp__ClaimRequest *request);
claims_owner_t claims_owner_from(const Lp__ClaimOwner *owner);
void claims_owner_to(const claims_owner_t *owner, Lp__ClaimOwner *message);

/* --- claims_coordinator.c --- */
/** Handles a replica's reply. known holds the incarnations that the replica knew of others. */
void claims_coordinator_reply(claims_t *claims, uint32_t from, uint64_t epoch, uint64_t incarnation,
			      const claims_known_incarnation_t *known, size_t known_count,
			      const Lp__ClaimReply *reply);
/** Handles a request that could not be sent. */
void claims_coordinator_send_failed(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request);
void claims_coordinator_tick(claims_t *claims);
void claims_attempt_free(gpointer data);

/* --- claims_sync.c --- */
void claims_sync_tick(claims_t *claims);
void claims_sync_request(claims_t *claims, uint32_t from, const Lp__ClaimSyncRequest *request);
void claims_sync_reply(claims_t *claims, uint32_t from, const Lp__ClaimSyncReply *reply);
/** Stores the incarnation under which a replica was last seen. */
void claims_note_incarnation(claims_t *claims, uint32_t node_id, uint64_t incarnation);

/* --- claims_batch.c --- */
void claims_queue_request(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request);
void claims_queue_reply(claims_t *claims, uint32_t to, const Lp__ClaimReply *reply);
void claims_batches_free(claims_t *claims);
