#include "claims_internal.h"

#include <string.h>

/* Number of records that each call of claims_store_expire_some() checks. Checking all records of a
 * day at once would block the control thread; expired records do no harm. */
#define EXPIRE_BATCH 1000

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
	g_array_unref(record->holders);
	g_free(record);
}

static void holder_clear(gpointer data)
{
	claims_holder_t *holder = data;

	claims_outcome_free(holder->outcome);
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

static claims_record_t *add_record(claims_store_t *store, const char *key, const char *home)
{
	claims_record_t *record = g_new(claims_record_t, 1);

	*record = (claims_record_t){
		.key = g_strdup(key),
		.home = g_strdup(home),
		.holders = g_array_sized_new(FALSE, FALSE, sizeof(claims_holder_t), 1),
		.serial = store->next_serial++,
	};
	g_array_set_clear_func(record->holders, holder_clear);
	g_hash_table_insert(store->by_key, record->key, record);
	g_tree_insert(store->by_serial, &record->serial, record);
	return record;
}

static void remove_record(claims_store_t *store, claims_record_t *record)
{
	g_tree_remove(store->by_serial, &record->serial);
	g_hash_table_remove(store->by_key, record->key);
}

claims_holder_t *claims_store_add_holder(claims_store_t *store, const char *key, const char *home,
					 const claims_owner_t *owner, uint64_t acquired_us)
{
	claims_record_t *record = claims_store_find(store, key);
	claims_holder_t new_holder = {.owner = *owner, .acquired_us = acquired_us};
	claims_holder_t *holder;

	if (record == NULL)
		record = add_record(store, key, home);
	holder = claims_record_holder(record, owner);
	if (holder != NULL)
		return holder;
	g_array_append_val(record->holders, new_holder);
	return &g_array_index(record->holders, claims_holder_t, record->holders->len - 1);
}

void claims_store_remove_holder(claims_store_t *store, claims_record_t *record,
				const claims_owner_t *owner)
{
	const claims_holder_t *holder = claims_record_holder(record, owner);

	if (holder == NULL || holder->outcome != NULL)
		return;
	g_array_remove_index(record->holders,
			     (guint)(holder - (claims_holder_t *)record->holders->data));
	if (record->holders->len == 0)
		remove_record(store, record);
}

void claims_store_renew_serial(claims_store_t *store, claims_record_t *record)
{
	g_tree_remove(store->by_serial, &record->serial);
	record->serial = store->next_serial++;
	g_tree_insert(store->by_serial, &record->serial, record);
}

claims_record_t *claims_store_next(const claims_store_t *store, uint64_t cursor)
{
	GTreeNode *node = g_tree_upper_bound(store->by_serial, &cursor);

	return node != NULL ? g_tree_node_value(node) : NULL;
}

static void expire_holders(claims_store_t *store, claims_record_t *record, uint64_t before_us)
{
	for (guint i = record->holders->len; i-- > 0;) {
		if (g_array_index(record->holders, claims_holder_t, i).acquired_us < before_us)
			g_array_remove_index(record->holders, i);
	}
	if (record->holders->len == 0)
		remove_record(store, record);
}

void claims_store_expire_some(claims_store_t *store, uint64_t before_us)
{
	for (unsigned i = 0; i < EXPIRE_BATCH; i++) {
		claims_record_t *record = claims_store_next(store, store->expire_cursor);

		if (record == NULL) {
			store->expire_cursor = 0;
			return;
		}
		store->expire_cursor = record->serial;
		expire_holders(store, record, before_us);
	}
}

static bool same_owner(const claims_owner_t *a, const claims_owner_t *b)
{
	return a->node_id == b->node_id && a->incarnation == b->incarnation && a->seq == b->seq;
}

claims_holder_t *claims_record_holder(const claims_record_t *record, const claims_owner_t *owner)
{
	for (guint i = 0; i < record->holders->len; i++) {
		claims_holder_t *holder = &g_array_index(record->holders, claims_holder_t, i);

		if (same_owner(&holder->owner, owner))
			return holder;
	}
	return NULL;
}

const claims_holder_t *claims_record_latest_outcome(const claims_record_t *record)
{
	const claims_holder_t *answer = NULL;

	for (guint i = 0; i < record->holders->len; i++) {
		const claims_holder_t *holder = &g_array_index(record->holders, claims_holder_t, i);

		if (holder->outcome != NULL &&
		    (answer == NULL || holder->acquired_us > answer->acquired_us))
			answer = holder;
	}
	return answer;
}

Lp__Outcome *claims_outcome_copy(const Lp__Outcome *outcome, size_t limit)
{
	Lp__Outcome *copy = g_new(Lp__Outcome, 1);

	lp__outcome__init(copy);
	copy->status = outcome->status;
	copy->content_type = g_strdup(outcome->content_type);
	copy->truncated = outcome->truncated || outcome->body.len > limit;
	/* A body above the limit is left out, because a part of it could be taken for the whole
	 * response. */
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
