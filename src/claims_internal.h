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
 * Shared by the parts of claims: records (claims_store.c), member sets and which keys this replica
 * may vouch for (claims_config.c), requests of coordinators (claims_replica.c), attempts
 * (claims_coordinator.c), read-back (claims_sync.c), batches (claims_batch.c).
 */

#define CLAIMS_REPLICAS_MAX 3
#define CLAIMS_MAJORITY(count) ((count) / 2 + 1)
#define CLAIMS_MEMBERS_MAX 64
/* Member sets that are remembered while keys are read back; older ones are forgotten, and their
 * keys abstain until the retention has passed. */
#define CLAIMS_MEMBER_SETS_MAX 16

typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
	uint64_t seq;
} claims_owner_t;

/** One attempt that holds a key. */
typedef struct {
	claims_owner_t owner;
	uint64_t acquired_us;
	Lp__Outcome *outcome; /**< NULL: not recorded */
} claims_holder_t;

/** A claimed key. A key read back from two replicas can be held by more than one attempt. */
typedef struct {
	char *key;
	char *home;
	GArray *holders; /**< claims_holder_t; never empty */
	uint64_t serial; /**< order of the last change; position in a read-back */
} claims_record_t;

typedef struct {
	GHashTable *by_key;
	GTree *by_serial;
	uint64_t next_serial;
	uint64_t expire_cursor;
} claims_store_t;

/** The read-back from one member for one member set. */
typedef struct {
	uint64_t sync_id; /**< 0: never asked */
	uint64_t cursor;
	uint64_t next_us; /**< when to ask again */
	uint64_t interval_us;
	uint64_t incarnation; /**< of the member whose pages are being read */
	bool running;
	bool first_page_intact;
	bool first_page_intact_before;
	bool first_page_missing_known;
	GArray *first_page_missing;
	/* What the latest complete read said at its start. */
	bool complete;
	bool intact;
	bool intact_before;
	bool missing_known;
	GArray *missing; /**< uint32_t node ids */
} claims_peer_sync_t;

/** A member set and what this replica has read back for it. */
typedef struct {
	uint64_t epoch;
	rendezvous_node_t members[CLAIMS_MEMBERS_MAX];
	size_t count;
	uint64_t since_us;
	bool authoritative; /**< this replica vouches for all its keys of this set */
	claims_peer_sync_t syncs[CLAIMS_MEMBERS_MAX];
} claims_member_set_t;

/** What a process knows of another replica's memory. */
typedef struct {
	uint32_t node_id;
	uint64_t incarnation;
} claims_known_incarnation_t;

/** Order of the requests of one coordinator. */
typedef struct {
	uint64_t incarnation;
	uint64_t last_seq;
} claims_sequence_t;

/** Messages to one node that wait for claims_flush(). */
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
	bool memory_lost; /**< the memory may have been lost at the start and is not read back yet
			   */
	claims_store_t store;
	claims_member_set_t *sets[CLAIMS_MEMBER_SETS_MAX]; /**< oldest first */
	size_t set_count;
	claims_known_incarnation_t known_incarnations[CLAIMS_MEMBERS_MAX];
	size_t known_incarnation_count;
	GHashTable *sequences; /**< node id to claims_sequence_t */
	GHashTable *attempts;  /**< seq to attempt */
	uint64_t next_seq;
	uint64_t next_sync_id;
	claims_batch_t batches[CLAIMS_MEMBERS_MAX];
	size_t batch_count;
};

/* claims_store.c */
void claims_store_init(claims_store_t *store);
void claims_store_finish(claims_store_t *store);
claims_record_t *claims_store_find(const claims_store_t *store, const char *key);
/** Adds a holder, and the record where needed. @return the holder, valid until the next change */
claims_holder_t *claims_store_add_holder(claims_store_t *store, const char *key, const char *home,
					 const claims_owner_t *owner, uint64_t acquired_us);
/** Removes a holder that has no outcome, and the record with the last one. */
void claims_store_remove_holder(claims_store_t *store, claims_record_t *record,
				const claims_owner_t *owner);
/** Gives the record a new serial, so that a running read-back sends it again. */
void claims_store_renew_serial(claims_store_t *store, claims_record_t *record);
/** The record with the lowest serial above the cursor, or NULL. */
claims_record_t *claims_store_next(const claims_store_t *store, uint64_t cursor);
/** Removes some of the holders that are older than a time; call it again and again. */
void claims_store_expire_some(claims_store_t *store, uint64_t before_us);
/** @return the attempt's holder, or NULL */
claims_holder_t *claims_record_holder(const claims_record_t *record, const claims_owner_t *owner);
/** @return the youngest holder with an outcome, or NULL */
const claims_holder_t *claims_record_latest_outcome(const claims_record_t *record);
/** Deep copy, without the body when it exceeds the limit. */
Lp__Outcome *claims_outcome_copy(const Lp__Outcome *outcome, size_t limit);
void claims_outcome_free(Lp__Outcome *outcome);

/* claims_config.c */
claims_member_set_t *claims_set_new(uint64_t epoch, uint64_t now_us);
void claims_set_add(claims_member_set_t *set, uint32_t node_id, const char *data_centre);
void claims_set_free(claims_member_set_t *set);
claims_member_set_t *claims_current_set(const claims_t *claims);
claims_member_set_t *claims_set_by_epoch(const claims_t *claims, uint64_t epoch);
/** The set before, or NULL when it is not known. */
claims_member_set_t *claims_previous_set(const claims_t *claims, const claims_member_set_t *set);
size_t claims_set_replicas(const claims_member_set_t *set, const char *key, const char *home,
			   uint32_t *node_ids);
bool claims_set_contains(const claims_member_set_t *set, uint32_t node_id);
bool claims_ids_contain(const uint32_t *ids, size_t count, uint32_t node_id);
/** True when the replica has not forgotten any claim of the key that could have been decided. */
bool claims_is_authoritative(const claims_t *claims, const char *key, const char *home);
/** Recomputes which sets are vouched for as a whole, and forgets sets that are not needed. */
void claims_update_authority(claims_t *claims);
/** True when nothing more has to be read from the member for this set. */
bool claims_sync_is_sufficient(const claims_t *claims, const claims_member_set_t *set,
			       size_t member);
/** True when the node is the only member of its data centre: keys homed there have no other. */
bool claims_is_sole_member_of_dc(const claims_member_set_t *set, uint32_t node_id);
/** True when every majority of any key's earlier set includes a member that is still there. */
bool claims_removal_is_recoverable(const claims_member_set_t *previous,
				   const claims_member_set_t *set);

/* claims_replica.c */
void claims_replica_request(claims_t *claims, uint32_t from, uint64_t epoch,
			    const Lp__ClaimRequest *request);
claims_owner_t claims_owner_from(const Lp__ClaimOwner *owner);
void claims_owner_to(const claims_owner_t *owner, Lp__ClaimOwner *message);

/* claims_coordinator.c */
/** A reply to this process, with the memory of the replica that gave it. */
void claims_coordinator_reply(claims_t *claims, uint32_t from, uint64_t epoch, uint64_t incarnation,
			      const claims_known_incarnation_t *known, size_t known_count,
			      const Lp__ClaimReply *reply);
/** A request could not be sent. */
void claims_coordinator_send_failed(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request);
void claims_coordinator_tick(claims_t *claims);
void claims_attempt_free(gpointer data);

/* claims_sync.c */
void claims_sync_tick(claims_t *claims);
void claims_sync_request(claims_t *claims, uint32_t from, const Lp__ClaimSyncRequest *request);
void claims_sync_reply(claims_t *claims, uint32_t from, const Lp__ClaimSyncReply *reply);
/** Remembers a replica's present memory. */
void claims_note_incarnation(claims_t *claims, uint32_t node_id, uint64_t incarnation);

/* claims_batch.c */
void claims_queue_request(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request);
void claims_queue_reply(claims_t *claims, uint32_t to, const Lp__ClaimReply *reply);
void claims_batches_free(claims_t *claims);
