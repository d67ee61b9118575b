#include "claims_internal.h"

#include <string.h>

/* Records looked at in one call. A record that stays longer than the retention does no harm, but a
 * walk over all records of a day would hold up the control thread. */
#define EXPIRE_STEP 1000

static gint compare_serials(gconstpointer a, gconstpointer b, gpointer unused)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void record_free(gpointer data)
{
	claims_record_t *record = data;

	g_free(record->key);
	g_free(record->home);
	g_array_unref(record->owners);
	claims_outcome_free(record->outcome);
	g_free(record);
}

void claims_store_init(claims_store_t *store)
{
	store->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, record_free);
	store->by_serial = g_tree_new_full(compare_serials, NULL, NULL, NULL);
	store->next_serial = 1;
}

void claims_store_finish(claims_store_t *store)
{
	g_tree_unref(store->by_serial);
	g_hash_table_unref(store->by_key);
}

claims_record_t *claims_store_find(const claims_store_t *store, const char *key)
{
	return g_hash_table_lookup(store->by_key, key);
}

claims_record_t *claims_store_add(claims_store_t *store, const char *key, const char *home,
				  uint64_t acquired_us)
{
	claims_record_t *record = g_new(claims_record_t, 1);

	*record = (claims_record_t){
		.key = g_strdup(key),
		.home = g_strdup(home),
		.owners = g_array_sized_new(FALSE, FALSE, sizeof(claims_owner_t), 1),
		.acquired_us = acquired_us,
		.serial = store->next_serial++,
	};
	g_hash_table_insert(store->by_key, record->key, record);
	g_tree_insert(store->by_serial, &record->serial, record);
	return record;
}

void claims_store_remove(claims_store_t *store, claims_record_t *record)
{
	g_tree_remove(store->by_serial, &record->serial);
	g_hash_table_remove(store->by_key, record->key);
}

void claims_store_touch(claims_store_t *store, claims_record_t *record)
{
	g_tree_remove(store->by_serial, &record->serial);
	record->serial = store->next_serial++;
	g_tree_insert(store->by_serial, &record->serial, record);
}

claims_record_t *claims_store_after(const claims_store_t *store, uint64_t cursor)
{
	GTreeNode *node = g_tree_upper_bound(store->by_serial, &cursor);

	return node != NULL ? g_tree_node_value(node) : NULL;
}

void claims_store_expire(claims_store_t *store, uint64_t before_us)
{
	for (unsigned i = 0; i < EXPIRE_STEP; i++) {
		claims_record_t *record = claims_store_after(store, store->expire_cursor);

		if (record == NULL) {
			store->expire_cursor = 0;
			return;
		}
		store->expire_cursor = record->serial;
		if (record->acquired_us < before_us)
			claims_store_remove(store, record);
	}
}

static bool same_owner(const claims_owner_t *a, const claims_owner_t *b)
{
	return a->node_id == b->node_id && a->incarnation == b->incarnation && a->seq == b->seq;
}

bool claims_record_held_by(const claims_record_t *record, const claims_owner_t *owner)
{
	for (guint i = 0; i < record->owners->len; i++) {
		if (same_owner(&g_array_index(record->owners, claims_owner_t, i), owner))
			return true;
	}
	return false;
}

void claims_record_hold(claims_record_t *record, const claims_owner_t *owner)
{
	if (!claims_record_held_by(record, owner))
		g_array_append_val(record->owners, *owner);
}

void claims_record_drop(claims_record_t *record, const claims_owner_t *owner)
{
	for (guint i = 0; i < record->owners->len; i++) {
		if (same_owner(&g_array_index(record->owners, claims_owner_t, i), owner)) {
			g_array_remove_index(record->owners, i);
			return;
		}
	}
}

void claims_record_outcome(claims_record_t *record, const Lp__Outcome *outcome, size_t limit)
{
	Lp__Outcome *copy = claims_outcome_copy(outcome, limit);

	claims_outcome_free(record->outcome);
	record->outcome = copy;
}

Lp__Outcome *claims_outcome_copy(const Lp__Outcome *outcome, size_t limit)
{
	Lp__Outcome *copy = g_new(Lp__Outcome, 1);

	lp__outcome__init(copy);
	copy->status = outcome->status;
	copy->content_type = g_strdup(outcome->content_type);
	copy->truncated = outcome->truncated || outcome->body.len > limit;
	/* A part of the body must never be taken for the whole answer. */
	if (!copy->truncated && outcome->body.len > 0) {
		copy->body.len = outcome->body.len;
		copy->body.data = g_memdup2(outcome->body.data, outcome->body.len);
	}
	return copy;
}

void claims_outcome_free(Lp__Outcome *outcome)
{
	if (outcome == NULL)
		return;
	g_free(outcome->content_type);
	g_free(outcome->body.data);
	g_free(outcome);
}
