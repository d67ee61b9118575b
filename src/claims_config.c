/*
 * Which keys a replica vouches for. A key is decided when a majority of its set granted it to one
 * attempt. Of the replicas that vouch for a decided key, fewer than a majority may lack the claim,
 * or a second attempt could be granted it. Hence:
 *
 * - A replica that lost its memory vouches for a key when it has read from every other member of
 *   the key's present set, and all of them vouch for it. What it read for earlier member sets does
 *   not count, as its earlier life may have granted claims in the present one already.
 * - A replica that is new in a key's set, or stays in a set that shrinks, vouches when it has read
 *   from so many members that vouched for the key in the set before that every majority of that
 *   set includes one of them.
 * - When the retention has passed, there is nothing left to have forgotten.
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
	set->reads[set->count] = (claims_read_t){
		.missing = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.first_missing = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};
	set->members[set->count++] = (rendezvous_node_t){
		.node_id = node_id,
		.data_centre = g_strdup(data_centre),
	};
}

void claims_set_free(claims_member_set_t *set)
{
	for (size_t i = 0; i < set->count; i++) {
		g_array_unref(set->reads[i].missing);
		g_array_unref(set->reads[i].first_missing);
		g_free((char *)set->members[i].data_centre);
	}
	g_free(set);
}

claims_member_set_t *claims_current(const claims_t *claims)
{
	return claims->set_count > 0 ? claims->sets[claims->set_count - 1] : NULL;
}

claims_member_set_t *claims_set_of_epoch(const claims_t *claims, uint64_t epoch)
{
	for (size_t i = 0; i < claims->set_count; i++) {
		if (claims->sets[i]->epoch == epoch)
			return claims->sets[i];
	}
	return NULL;
}

claims_member_set_t *claims_set_before(const claims_t *claims, const claims_member_set_t *set)
{
	for (size_t i = 1; i < claims->set_count; i++) {
		if (claims->sets[i] == set)
			return claims->sets[i - 1];
	}
	return NULL;
}

size_t claims_set_pick(const claims_member_set_t *set, const char *key, const char *home,
		       uint32_t *node_ids)
{
	return rendezvous_pick(set->members, set->count, key, home, CLAIMS_SET, node_ids);
}

bool claims_ids_have(const uint32_t *ids, size_t count, uint32_t node_id)
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

bool claims_set_has(const claims_member_set_t *set, uint32_t node_id)
{
	return find_member(set, node_id) != NULL;
}

static const claims_read_t *find_read(const claims_member_set_t *set, uint32_t node_id)
{
	const rendezvous_node_t *member = find_member(set, node_id);

	return member != NULL ? &set->reads[member - set->members] : NULL;
}

/* A key's replicas in one member set and in the one before. */
typedef struct {
	uint32_t ids[CLAIMS_SET];
	size_t count;
	uint32_t before[CLAIMS_SET];
	size_t before_count; /* 0: not known */
} key_sets_t;

static bool in_set(const key_sets_t *sets, uint32_t node_id)
{
	return claims_ids_have(sets->ids, sets->count, node_id);
}

static bool in_before(const key_sets_t *sets, uint32_t node_id)
{
	return claims_ids_have(sets->before, sets->before_count, node_id);
}

static key_sets_t key_sets(const claims_member_set_t *set, const claims_member_set_t *before,
			   const char *key, const char *home)
{
	key_sets_t sets = {0};

	sets.count = claims_set_pick(set, key, home, sets.ids);
	if (before != NULL)
		sets.before_count = claims_set_pick(before, key, home, sets.before);
	return sets;
}

/* True when what a member could not vouch for does not concern the key. A member that names itself
 * has lost keys of which it was the only replica. */
static bool unaffected(const claims_read_t *read, const key_sets_t *sets, uint32_t node_id)
{
	if (!read->missing_known)
		return false;
	for (guint i = 0; i < read->missing->len; i++) {
		uint32_t missing = g_array_index(read->missing, uint32_t, i);

		if (missing == node_id && sets->before_count != 1)
			continue;
		if (in_set(sets, missing) || in_before(sets, missing))
			return false;
	}
	return true;
}

/* True when a member that was read vouches for the key in the present set. */
static bool vouches_now(const claims_read_t *read, const key_sets_t *sets, uint32_t node_id)
{
	if (!read->complete)
		return false;
	if (read->intact || unaffected(read, sets, node_id))
		return true;
	return read->intact_before && in_before(sets, node_id) && sets->count >= sets->before_count;
}

/* True when a member that was read vouched for the key in the set before, and still knows. */
static bool vouched_before(const claims_read_t *read, const key_sets_t *sets, uint32_t node_id)
{
	if (!read->complete)
		return false;
	if (read->intact_before)
		return true;
	return in_set(sets, node_id) && (read->intact || unaffected(read, sets, node_id));
}

static bool vouches_after_loss(const claims_t *claims, const char *key, const char *home)
{
	const claims_member_set_t *set = claims_current(claims);
	key_sets_t sets = key_sets(set, claims_set_before(claims, set), key, home);
	uint32_t self = claims->config.node_id;

	if (!in_set(&sets, self) || sets.count == 1)
		return false;
	for (size_t i = 0; i < sets.count; i++) {
		if (sets.ids[i] != self &&
		    !vouches_now(find_read(set, sets.ids[i]), &sets, sets.ids[i]))
			return false;
	}
	return true;
}

static bool retention_passed(const claims_t *claims, uint64_t since_us)
{
	return claims->now_us - since_us >= claims->config.retention_us;
}

static bool vouches_in(const claims_t *claims, size_t index, const char *key, const char *home)
{
	const claims_member_set_t *set = claims->sets[index];
	uint32_t self = claims->config.node_id;
	key_sets_t sets = key_sets(set, index > 0 ? claims->sets[index - 1] : NULL, key, home);
	size_t kept = 0;

	if (!in_set(&sets, self))
		return false;
	if (set->full || retention_passed(claims, set->since_us))
		return true;
	if (sets.before_count == 0)
		return false;
	if (in_before(&sets, self) && vouches_in(claims, index - 1, key, home)) {
		if (sets.count >= sets.before_count)
			return true;
		kept++;
	}
	for (size_t i = 0; i < sets.before_count; i++) {
		const claims_read_t *read = find_read(set, sets.before[i]);

		if (sets.before[i] != self && read != NULL &&
		    vouched_before(read, &sets, sets.before[i]))
			kept++;
	}
	return kept + CLAIMS_MAJORITY(sets.before_count) > sets.before_count;
}

bool claims_vouches(const claims_t *claims, const char *key, const char *home)
{
	if (claims->set_count == 0)
		return false;
	if (claims->lost)
		return vouches_after_loss(claims, key, home);
	return vouches_in(claims, claims->set_count - 1, key, home);
}

bool claims_read_satisfied(const claims_t *claims, const claims_member_set_t *set, size_t member)
{
	const claims_read_t *read = &set->reads[member];
	const claims_member_set_t *before = claims_set_before(claims, set);
	uint32_t node_id = set->members[member].node_id;

	if (node_id == claims->config.node_id)
		return true;
	/* A member that is still reading may wait for this one: only a whole answer settles it. */
	if (claims->lost)
		return read->complete && read->intact;
	if (before == NULL || !claims_set_has(before, node_id))
		return true;
	return read->complete && read->intact_before;
}

/* True when every member of the earlier set is still there, in the same data centre: then those
 * that stay are new in no key's set, and no set shrinks. */
static bool only_adds(const claims_member_set_t *before, const claims_member_set_t *set)
{
	for (size_t i = 0; i < before->count; i++) {
		const rendezvous_node_t *node = find_member(set, before->members[i].node_id);

		if (node == NULL || strcmp(node->data_centre, before->members[i].data_centre) != 0)
			return false;
	}
	return true;
}

bool claims_alone(const claims_member_set_t *set, uint32_t node_id)
{
	const rendezvous_node_t *node = find_member(set, node_id);

	for (size_t i = 0; node != NULL && i < set->count; i++) {
		if (&set->members[i] != node &&
		    strcmp(set->members[i].data_centre, node->data_centre) == 0)
			return false;
	}
	return true;
}

bool claims_removal_readable(const claims_member_set_t *before, const claims_member_set_t *set)
{
	size_t removed = 0;

	for (size_t i = 0; i < before->count; i++) {
		uint32_t node_id = before->members[i].node_id;

		if (claims_set_has(set, node_id))
			continue;
		removed++;
		if (claims_alone(before, node_id))
			return false;
	}
	return removed <= 1;
}

static bool all_satisfied(const claims_t *claims, const claims_member_set_t *set)
{
	for (size_t i = 0; i < set->count; i++) {
		if (!claims_read_satisfied(claims, set, i))
			return false;
	}
	return true;
}

static bool recovered(const claims_t *claims, const claims_member_set_t *set)
{
	if (set->count < 2 || claims_alone(set, claims->config.node_id))
		return false;
	for (size_t i = 0; i < set->count; i++) {
		const claims_read_t *read = &set->reads[i];

		if (set->members[i].node_id != claims->config.node_id &&
		    (!read->complete || !read->intact))
			return false;
	}
	return true;
}

static bool is_full(const claims_t *claims, size_t index)
{
	const claims_member_set_t *set = claims->sets[index];
	const claims_member_set_t *before = index > 0 ? claims->sets[index - 1] : NULL;

	if (set->full || retention_passed(claims, set->since_us))
		return true;
	if (before == NULL || !before->full)
		return false;
	if (claims_set_has(before, claims->config.node_id) && only_adds(before, set))
		return true;
	return claims_removal_readable(before, set) && all_satisfied(claims, set);
}

static void forget_first(claims_t *claims)
{
	claims_set_free(claims->sets[0]);
	claims->set_count--;
	memmove(&claims->sets[0], &claims->sets[1], claims->set_count * sizeof(claims->sets[0]));
}

/* Keeps the latest full set, the one before it and what came later. Earlier full sets are kept as
 * long as there is room: a member that joins during a series of changes reads back for the set that
 * it joined in, and without an answer all its keys would abstain for the whole retention period. */
static void forget_sets(claims_t *claims)
{
	size_t first = claims->lost ? claims->set_count - 1 : 0;

	for (size_t i = 0; i < claims->set_count && !claims->lost; i++) {
		if (claims->sets[i]->full)
			first = i;
	}
	for (; first > 1 && !claims->sets[0]->full; first--)
		forget_first(claims);
	while (claims->set_count == CLAIMS_CONFIGS_MAX)
		forget_first(claims);
}

void claims_update_full(claims_t *claims)
{
	if (claims->set_count == 0)
		return;
	if (claims->lost && recovered(claims, claims_current(claims))) {
		claims->lost = false;
		claims_current(claims)->full = true;
	} else if (claims->lost && retention_passed(claims, claims->started_us)) {
		claims->lost = false;
	}
	for (size_t i = 0; i < claims->set_count && !claims->lost; i++)
		claims->sets[i]->full = is_full(claims, i);
	forget_sets(claims);
}
