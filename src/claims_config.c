/*
 * Decides which keys a replica is authoritative for, so that it may grant them. A key is claimed
 * when a majority of its replicas granted it to the same attempt. The key's authoritative replicas
 * that lack this claim must be fewer than a majority, or they could grant the key to a second
 * attempt. Hence:
 * - A replica that lost its memory is authoritative for a key when it has synced from all other
 *   replicas of the key in the current member set and all of them are authoritative for the key.
 *   Syncs for earlier member sets do not count, because the replica may already have granted claims
 *   in the current set before it lost its memory.
 * - A replica that is new for a key, or that stays while the key's number of replicas shrinks, is
 *   authoritative when it has synced from enough replicas that were authoritative in the previous
 *   member set: every majority of the key's replicas in that set must include one of them.
 * - When the retention period has passed since the loss of memory or the change of members, the
 *   replica is authoritative for all keys, because every claim that it may lack has expired.
 */
#include "claims_internal.h"

#include <string.h>

claims_member_set_t *claims_set_new(uint64_t epoch, uint64_t now_us)
{
	claims_member_set_t *set = g_new0(claims_member_set_t, 1);

	set->epoch = epoch;
	set->since_us = now_us;
	return set;
}

void claims_set_add(claims_member_set_t *set, uint32_t node_id, const char *data_centre)
{
	if (set->count == CLAIMS_MEMBERS_MAX)
		return;
	set->syncs[set->count] = (claims_peer_sync_t){
		.missing = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.first_page_missing = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};
	set->members[set->count++] = (rendezvous_node_t){
		.node_id = node_id,
		.data_centre = g_strdup(data_centre),
	};
}

void claims_set_free(claims_member_set_t *set)
{
	for (size_t i = 0; i < set->count; i++) {
		g_array_unref(set->syncs[i].missing);
		g_array_unref(set->syncs[i].first_page_missing);
		g_free((char *)set->members[i].data_centre);
	}
	g_free(set);
}

claims_member_set_t *claims_current_set(const claims_t *claims)
{
	return claims->set_count > 0 ? claims->sets[claims->set_count - 1] : NULL;
}

claims_member_set_t *claims_set_by_epoch(const claims_t *claims, uint64_t epoch)
{
	for (size_t i = 0; i < claims->set_count; i++) {
		if (claims->sets[i]->epoch == epoch)
			return claims->sets[i];
	}
	return NULL;
}

claims_member_set_t *claims_previous_set(const claims_t *claims, const claims_member_set_t *set)
{
	for (size_t i = 1; i < claims->set_count; i++) {
		if (claims->sets[i] == set)
			return claims->sets[i - 1];
	}
	return NULL;
}

size_t claims_set_replicas(const claims_member_set_t *set, const char *key, const char *home,
			   uint32_t *node_ids)
{
	return rendezvous_pick(set->members, set->count, key, home, CLAIMS_REPLICAS_MAX, node_ids);
}

bool claims_ids_contain(const uint32_t *ids, size_t count, uint32_t node_id)
{
	for (size_t i = 0; i < count; i++) {
		if (ids[i] == node_id)
			return true;
	}
	return false;
}

static const rendezvous_node_t *find_member(const claims_member_set_t *set, uint32_t node_id)
{
	for (size_t i = 0; i < set->count; i++) {
		if (set->members[i].node_id == node_id)
			return &set->members[i];
	}
	return NULL;
}

bool claims_set_contains(const claims_member_set_t *set, uint32_t node_id)
{
	return find_member(set, node_id) != NULL;
}

static const claims_peer_sync_t *find_sync(const claims_member_set_t *set, uint32_t node_id)
{
	const rendezvous_node_t *member = find_member(set, node_id);

	return member != NULL ? &set->syncs[member - set->members] : NULL;
}

/* Replicas of a key in a member set and in the set before it. */
typedef struct {
	uint32_t current[CLAIMS_REPLICAS_MAX];
	size_t current_count;
	uint32_t previous[CLAIMS_REPLICAS_MAX];
	size_t previous_count; /* number of previous replicas; 0 if the previous member set is
				  unknown */
} key_replicas_t;

static bool in_current(const key_replicas_t *replicas, uint32_t node_id)
{
	return claims_ids_contain(replicas->current, replicas->current_count, node_id);
}

static bool in_previous(const key_replicas_t *replicas, uint32_t node_id)
{
	return claims_ids_contain(replicas->previous, replicas->previous_count, node_id);
}

static key_replicas_t key_replicas(const claims_member_set_t *set,
				   const claims_member_set_t *previous, const char *key,
				   const char *home)
{
	key_replicas_t replicas = {0};

	replicas.current_count = claims_set_replicas(set, key, home, replicas.current);
	if (previous != NULL)
		replicas.previous_count =
			claims_set_replicas(previous, key, home, replicas.previous);
	return replicas;
}

/* True when none of the members in the peer's missing list is a replica of the key. A peer that
 * lists itself has lost the claims of the keys of which it was the only replica. */
static bool is_unaffected_by_missing(const claims_peer_sync_t *sync, const key_replicas_t *replicas,
				     uint32_t node_id)
{
	if (!sync->missing_known)
		return false;
	for (guint i = 0; i < sync->missing->len; i++) {
		uint32_t missing = g_array_index(sync->missing, uint32_t, i);

		if (missing == node_id && replicas->previous_count != 1)
			continue;
		if (in_current(replicas, missing) || in_previous(replicas, missing))
			return false;
	}
	return true;
}

/* True when a peer that was synced from is authoritative for the key in the current member set. */
static bool peer_is_authoritative(const claims_peer_sync_t *sync, const key_replicas_t *replicas,
				  uint32_t node_id)
{
	if (!sync->complete)
		return false;
	if (sync->intact || is_unaffected_by_missing(sync, replicas, node_id))
		return true;
	return sync->intact_before && in_previous(replicas, node_id) &&
	       replicas->current_count >= replicas->previous_count;
}

/* True when a peer that was synced from was authoritative for the key in the previous member set
 * and has kept its claims. */
static bool peer_was_authoritative(const claims_peer_sync_t *sync, const key_replicas_t *replicas,
				   uint32_t node_id)
{
	if (!sync->complete)
		return false;
	if (sync->intact_before)
		return true;
	return in_current(replicas, node_id) &&
	       (sync->intact || is_unaffected_by_missing(sync, replicas, node_id));
}

static bool is_authoritative_after_loss(const claims_t *claims, const char *key, const char *home)
{
	const claims_member_set_t *set = claims_current_set(claims);
	key_replicas_t replicas = key_replicas(set, claims_previous_set(claims, set), key, home);
	uint32_t self = claims->config.node_id;

	if (!in_current(&replicas, self) || replicas.current_count == 1)
		return false;
	for (size_t i = 0; i < replicas.current_count; i++) {
		if (replicas.current[i] != self &&
		    !peer_is_authoritative(find_sync(set, replicas.current[i]), &replicas,
					   replicas.current[i]))
			return false;
	}
	return true;
}

static bool retention_passed(const claims_t *claims, uint64_t since_us)
{
	return claims->now_us - since_us >= claims->config.retention_us;
}

static bool is_authoritative_in_set(const claims_t *claims, size_t index, const char *key,
				    const char *home)
{
	const claims_member_set_t *set = claims->sets[index];
	uint32_t self = claims->config.node_id;
	key_replicas_t replicas =
		key_replicas(set, index > 0 ? claims->sets[index - 1] : NULL, key, home);
	size_t authoritative_count = 0;

	if (!in_current(&replicas, self))
		return false;
	if (set->authoritative || retention_passed(claims, set->since_us))
		return true;
	if (replicas.previous_count == 0)
		return false;
	if (in_previous(&replicas, self) && is_authoritative_in_set(claims, index - 1, key, home)) {
		if (replicas.current_count >= replicas.previous_count)
			return true;
		authoritative_count++;
	}
	for (size_t i = 0; i < replicas.previous_count; i++) {
		const claims_peer_sync_t *sync = find_sync(set, replicas.previous[i]);

		if (replicas.previous[i] != self && sync != NULL &&
		    peer_was_authoritative(sync, &replicas, replicas.previous[i]))
			authoritative_count++;
	}
	return authoritative_count + CLAIMS_MAJORITY(replicas.previous_count) >
	       replicas.previous_count;
}

bool claims_is_authoritative(const claims_t *claims, const char *key, const char *home)
{
	if (claims->set_count == 0)
		return false;
	if (claims->memory_lost)
		return is_authoritative_after_loss(claims, key, home);
	return is_authoritative_in_set(claims, claims->set_count - 1, key, home);
}

bool claims_sync_is_sufficient(const claims_t *claims, const claims_member_set_t *set,
			       size_t member)
{
	const claims_peer_sync_t *sync = &set->syncs[member];
	const claims_member_set_t *previous = claims_previous_set(claims, set);
	uint32_t node_id = set->members[member].node_id;

	if (node_id == claims->config.node_id)
		return true;
	/* After a loss of memory, the sync is repeated until the peer is authoritative for all its
	 * keys. A peer that is still syncing may itself wait for this replica. */
	if (claims->memory_lost)
		return sync->complete && sync->intact;
	if (previous == NULL || !claims_set_contains(previous, node_id))
		return true;
	return sync->complete && sync->intact_before;
}

/* True when all members of the previous set are in the new set, in the same data centres. Then none
 * of them becomes a replica of a further key, and no key loses replicas. */
static bool only_adds_members(const claims_member_set_t *previous, const claims_member_set_t *set)
{
	for (size_t i = 0; i < previous->count; i++) {
		const rendezvous_node_t *node = find_member(set, previous->members[i].node_id);

		if (node == NULL ||
		    strcmp(node->data_centre, previous->members[i].data_centre) != 0)
			return false;
	}
	return true;
}

bool claims_is_sole_member_of_dc(const claims_member_set_t *set, uint32_t node_id)
{
	const rendezvous_node_t *node = find_member(set, node_id);

	for (size_t i = 0; node != NULL && i < set->count; i++) {
		if (&set->members[i] != node &&
		    strcmp(set->members[i].data_centre, node->data_centre) == 0)
			return false;
	}
	return true;
}

bool claims_removal_is_recoverable(const claims_member_set_t *previous,
				   const claims_member_set_t *set)
{
	size_t removed = 0;

	for (size_t i = 0; i < previous->count; i++) {
		uint32_t node_id = previous->members[i].node_id;

		if (claims_set_contains(set, node_id))
			continue;
		removed++;
		if (claims_is_sole_member_of_dc(previous, node_id))
			return false;
	}
	return removed <= 1;
}

static bool all_syncs_sufficient(const claims_t *claims, const claims_member_set_t *set)
{
	for (size_t i = 0; i < set->count; i++) {
		if (!claims_sync_is_sufficient(claims, set, i))
			return false;
	}
	return true;
}

static bool memory_is_restored(const claims_t *claims, const claims_member_set_t *set)
{
	if (set->count < 2 || claims_is_sole_member_of_dc(set, claims->config.node_id))
		return false;
	for (size_t i = 0; i < set->count; i++) {
		const claims_peer_sync_t *sync = &set->syncs[i];

		if (set->members[i].node_id != claims->config.node_id &&
		    (!sync->complete || !sync->intact))
			return false;
	}
	return true;
}

static bool is_set_authoritative(const claims_t *claims, size_t index)
{
	const claims_member_set_t *set = claims->sets[index];
	const claims_member_set_t *previous = index > 0 ? claims->sets[index - 1] : NULL;

	if (set->authoritative || retention_passed(claims, set->since_us))
		return true;
	if (previous == NULL || !previous->authoritative)
		return false;
	if (claims_set_contains(previous, claims->config.node_id) &&
	    only_adds_members(previous, set))
		return true;
	return claims_removal_is_recoverable(previous, set) && all_syncs_sufficient(claims, set);
}

static void drop_oldest_set(claims_t *claims)
{
	claims_set_free(claims->sets[0]);
	claims->set_count--;
	memmove(&claims->sets[0], &claims->sets[1], claims->set_count * sizeof(claims->sets[0]));
}

/*
 * Drops the oldest member sets, but keeps as many as possible. A new member syncs the earlier sets
 * one after the other, and cannot become authoritative when its peers have dropped a set that it
 * needs. After a loss of memory, only the current set is synced.
 */
static void drop_old_sets(claims_t *claims)
{
	while (claims->memory_lost && claims->set_count > 2)
		drop_oldest_set(claims);
	while (claims->set_count == CLAIMS_MEMBER_SETS_MAX)
		drop_oldest_set(claims);
}

void claims_update_authority(claims_t *claims)
{
	if (claims->set_count == 0)
		return;
	if (claims->memory_lost && memory_is_restored(claims, claims_current_set(claims))) {
		claims->memory_lost = false;
		claims_current_set(claims)->authoritative = true;
	} else if (claims->memory_lost && retention_passed(claims, claims->started_us)) {
		claims->memory_lost = false;
	}
	for (size_t i = 0; i < claims->set_count && !claims->memory_lost; i++)
		claims->sets[i]->authoritative = is_set_authoritative(claims, i);
	drop_old_sets(claims);
}
