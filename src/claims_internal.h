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
 * Shared by the sources of claims: claims_store.c (stored claims), claims_config.c (member sets,
 * and the keys that this replica is authoritative for), claims_replica.c (requests to the replica),
 * claims_coordinator.c (attempts of the coordinator), claims_sync.c (claims syncs between
 * replicas), claims_batch.c (batches of messages).
 */

#define CLAIMS_REPLICAS_MAX 3
#define CLAIMS_MAJORITY(count) ((count) / 2 + 1)
#define CLAIMS_MEMBERS_MAX 64
/* Maximum number of member sets kept for claims syncs. For a key that needs an older set, the
 * replica abstains until the retention period has passed. */
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
	Lp__Outcome *outcome; /**< outcome of the run; NULL if none was recorded */
} claims_holder_t;

/** A claimed key. After syncs from two replicas, several attempts can hold it. */
typedef struct {
	char *key;
	char *home;
	GArray *holders; /**< array of claims_holder_t; never empty */
	uint64_t serial; /**< position of the record in the order in which syncs send records;
			    renewed when an outcome is added or a synced claim is merged */
} claims_record_t;

typedef struct {
	GHashTable *by_key;
	GTree *by_serial;
	uint64_t next_serial;
	uint64_t expire_cursor;
} claims_store_t;

/** State of the claims sync from one member for one member set. */
typedef struct {
	uint64_t sync_id; /**< id of the latest sync; 0 if none was started */
	uint64_t cursor;
	uint64_t next_request_us;
	uint64_t retry_interval_us;
	uint64_t incarnation; /**< incarnation of the member that sends the pages */
	bool running;
	bool first_page_intact;
	bool first_page_intact_before;
	bool first_page_missing_known;
	GArray *first_page_missing;
	/* Status that the member reported in the first page of the latest complete sync. */
	bool complete;
	bool intact;
	bool intact_before;
	bool missing_known;
	GArray *missing; /**< array of uint32_t: node ids of the members whose keys the peer may
			    lack claims of */
} claims_peer_sync_t;

/** A member set, with the state of the syncs for it. */
typedef struct {
	uint64_t epoch;
	rendezvous_node_t members[CLAIMS_MEMBERS_MAX];
	size_t count;
	uint64_t since_us;
	bool authoritative; /**< whether this replica is authoritative for all keys that it is a
			       replica of in this set */
	claims_peer_sync_t syncs[CLAIMS_MEMBERS_MAX];
} claims_member_set_t;

/** Latest known incarnation of another replica. Claims are held in memory, so a new incarnation has
 * lost the claims of the earlier one. */
typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
} claims_known_incarnation_t;

/** Incarnation and latest sequence number of a coordinator. */
typedef struct {
	uint64_t incarnation;
	uint64_t last_seq;
} claims_sequence_t;

/** Messages queued for one node, which claims_flush() sends in a batch. */
typedef struct {
	uint32_t node_id;
	GPtrArray *requests; /**< array of Lp__ClaimRequest */
	GPtrArray *replies;  /**< array of Lp__ClaimReply */
	size_t request_bytes;
	size_t reply_bytes;
} claims_batch_t;

struct claims {
	claims_config_t config;
	claims_send_fn send;
	void *send_arg;
	uint64_t now_us;
	uint64_t started_us;
	bool memory_lost; /**< this process started without the earlier claims and has not synced
			     them yet */
	claims_store_t store;
	claims_member_set_t *sets[CLAIMS_MEMBER_SETS_MAX]; /**< member sets, oldest first */
	size_t set_count;
	claims_known_incarnation_t known_incarnations[CLAIMS_MEMBERS_MAX];
	size_t known_incarnation_count;
	GHashTable *sequences; /**< coordinator's node id -> claims_sequence_t */
	GHashTable *attempts;  /**< attempts of this coordinator: sequence number -> attempt_t */
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
 * Adds a holder to the key's record, which is created if there is none.
 * @return the holder, valid until the store changes
 */
claims_holder_t *claims_store_add_holder(claims_store_t *store, const char *key, const char *home,
					 const claims_owner_t *owner, uint64_t acquired_us);
/** Removes the holder of an attempt if it has no outcome. Also removes the record if this was its
 * last holder. */
void claims_store_remove_holder(claims_store_t *store, claims_record_t *record,
				const claims_owner_t *owner);
/** Gives the record a new serial, so that a running sync sends it again. */
void claims_store_renew_serial(claims_store_t *store, claims_record_t *record);
/** Returns the record with the lowest serial above the cursor, or NULL if there is none. */
claims_record_t *claims_store_next(const claims_store_t *store, uint64_t cursor);
/** Removes holders that acquired their key before before_us. Each call checks only some of the
 * records, so it must be called repeatedly. */
void claims_store_expire_some(claims_store_t *store, uint64_t before_us);
/** Finds the holder of an attempt. @return the holder, or NULL if it does not hold the key */
claims_holder_t *claims_record_holder(const claims_record_t *record, const claims_owner_t *owner);
/** Finds the holder that acquired the key last, among those with an outcome. @return the holder, or
 * NULL */
const claims_holder_t *claims_record_latest_outcome(const claims_record_t *record);
/** Makes a deep copy of an outcome. A body of more than limit bytes is left out, and the copy is
 * marked as truncated. */
Lp__Outcome *claims_outcome_copy(const Lp__Outcome *outcome, size_t limit);
void claims_outcome_free(Lp__Outcome *outcome);

/* --- claims_config.c --- */
claims_member_set_t *claims_set_new(uint64_t epoch, uint64_t now_us);
void claims_set_add(claims_member_set_t *set, uint32_t node_id, const char *data_centre);
void claims_set_free(claims_member_set_t *set);
claims_member_set_t *claims_current_set(const claims_t *claims);
claims_member_set_t *claims_set_by_epoch(const claims_t *claims, uint64_t epoch);
/** Returns the member set before the given one, or NULL when it is unknown. */
claims_member_set_t *claims_previous_set(const claims_t *claims, const claims_member_set_t *set);
size_t claims_set_replicas(const claims_member_set_t *set, const char *key, const char *home,
			   uint32_t *node_ids);
bool claims_set_contains(const claims_member_set_t *set, uint32_t node_id);
bool claims_ids_contain(const uint32_t *ids, size_t count, uint32_t node_id);
/** True when this replica has certainly lost no claim of the key that may have been granted, so
 * that it may grant the key. claims_config.c describes the rules. */
bool claims_is_authoritative(const claims_t *claims, const char *key, const char *home);
/** Determines again which member sets this replica is authoritative for, and drops the sets that
 * are no longer needed. */
void claims_update_authority(claims_t *claims);
/** True when this replica needs no further sync from the member for this set. */
bool claims_sync_is_sufficient(const claims_t *claims, const claims_member_set_t *set,
			       size_t member);
/** True when the node is the only member of its data centre, and therefore the only replica of the
 * keys whose home is that data centre. */
bool claims_is_sole_member_of_dc(const claims_member_set_t *set, uint32_t node_id);
/** True when the removal of members between the two sets loses no claim: for every key, each
 * majority of its replicas in the previous set includes a remaining member. */
bool claims_removal_is_recoverable(const claims_member_set_t *previous,
				   const claims_member_set_t *set);

/* --- claims_replica.c --- */
void claims_replica_request(claims_t *claims, uint32_t from, uint64_t epoch,
			    const Lp__ClaimRequest *request);
claims_owner_t claims_owner_from(const Lp__ClaimOwner *owner);
void claims_owner_to(const claims_owner_t *owner, Lp__ClaimOwner *message);

/* --- claims_coordinator.c --- */
/** Handles a reply of a replica. known lists the incarnations that it has seen of other replicas.
 */
void claims_coordinator_reply(claims_t *claims, uint32_t from, uint64_t epoch, uint64_t incarnation,
			      const claims_known_incarnation_t *known, size_t known_count,
			      const Lp__ClaimReply *reply);
/** Handles a request of this coordinator that could not be sent. */
void claims_coordinator_send_failed(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request);
void claims_coordinator_tick(claims_t *claims);
void claims_attempt_free(gpointer data);

/* --- claims_sync.c --- */
void claims_sync_tick(claims_t *claims);
void claims_sync_request(claims_t *claims, uint32_t from, const Lp__ClaimSyncRequest *request);
void claims_sync_reply(claims_t *claims, uint32_t from, const Lp__ClaimSyncReply *reply);
/** Stores the latest incarnation that was seen of a replica. */
void claims_note_incarnation(claims_t *claims, uint32_t node_id, uint64_t incarnation);

/* --- claims_batch.c --- */
void claims_queue_request(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request);
void claims_queue_reply(claims_t *claims, uint32_t to, const Lp__ClaimReply *reply);
void claims_batches_free(claims_t *claims);
