#include "claims_internal.h"

#include "clock.h"

#define PAGE_BYTES (64U << 10)
/* A read that brought nothing final (the member itself is reading) is repeated at growing
 * intervals; a page that is not answered is asked for again. */
#define REPEAT_MIN_US (200 * US_PER_MS)
#define REPEAT_MAX_US (5 * US_PER_S)
#define PAGE_TIMEOUT_US (1 * US_PER_S)

void claims_learn_memory(claims_t *claims, uint32_t node_id, uint64_t incarnation)
{
	for (size_t i = 0; i < claims->known_count; i++) {
		if (claims->known[i].node_id == node_id) {
			claims->known[i].incarnation = incarnation;
			return;
		}
	}
	if (claims->known_count < CLAIMS_MEMBERS_MAX)
		claims->known[claims->known_count++] = (claims_memory_t){
			.node_id = node_id,
			.incarnation = incarnation,
		};
}

static void ask(claims_t *claims, const claims_member_set_t *set, size_t member)
{
	const claims_read_t *read = &set->reads[member];
	Lp__ClaimSyncRequest request = LP__CLAIM_SYNC_REQUEST__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	request.member_epoch = set->epoch;
	request.sync_id = read->sync_id;
	request.cursor = read->cursor;
	request.incarnation = claims->config.incarnation;
	request.full = claims->lost;
	envelope.body_case = LP__ENVELOPE__BODY_CLAIM_SYNC;
	envelope.claim_sync = &request;
	claims->send(claims->send_arg, set->members[member].node_id, &envelope);
}

static void start_read(claims_t *claims, const claims_member_set_t *set, claims_read_t *read,
		       size_t member)
{
	read->sync_id = claims->next_sync++;
	read->cursor = 0;
	read->reading = true;
	read->interval_us =
		MIN(MAX(read->interval_us * 2, (uint64_t)REPEAT_MIN_US), (uint64_t)REPEAT_MAX_US);
	read->next_us = claims->now_us + PAGE_TIMEOUT_US;
	ask(claims, set, member);
}

static void sync_set(claims_t *claims, claims_member_set_t *set)
{
	for (size_t i = 0; i < set->count; i++) {
		if (claims->now_us >= set->reads[i].next_us &&
		    !claims_read_satisfied(claims, set, i))
			start_read(claims, set, &set->reads[i], i);
	}
}

void claims_sync_tick(claims_t *claims)
{
	claims_member_set_t *current = claims_current(claims);

	if (current == NULL || !claims_set_has(current, claims->config.node_id))
		return;
	if (claims->lost) {
		sync_set(claims, current);
		return;
	}
	for (size_t i = 1; i < claims->set_count; i++) {
		if (!claims->sets[i]->full)
			sync_set(claims, claims->sets[i]);
	}
}

/* Members whose keys this replica cannot vouch for, in a reply about a set that is not full. */
static void list_missing(const claims_t *claims, const claims_member_set_t *set,
			 Lp__ClaimSyncReply *reply, uint32_t *missing)
{
	const claims_member_set_t *before = claims_set_before(claims, set);
	uint32_t self = claims->config.node_id;
	size_t n = 0;

	reply->missing = missing;
	if (!claims->lost && (before == NULL || !before->full))
		return;
	/* A loss of keys that had no other replica cannot be told apart after a later change. */
	if (claims->lost && before != NULL && claims_alone(before, self))
		return;
	for (size_t i = 0; i < set->count; i++) {
		if (!claims_read_satisfied(claims, set, i))
			missing[n++] = set->members[i].node_id;
	}
	if (claims->lost && claims_alone(set, self))
		missing[n++] = self;
	if (!claims->lost && before != NULL && !claims_removal_readable(before, set)) {
		for (size_t i = 0; i < before->count; i++) {
			if (!claims_set_has(set, before->members[i].node_id))
				missing[n++] = before->members[i].node_id;
		}
	}
	reply->n_missing = n;
	reply->missing_known = true;
}

static bool wants(const claims_t *claims, const claims_member_set_t *set,
		  const claims_record_t *record, uint32_t node_id, bool full)
{
	const claims_member_set_t *before = claims_set_before(claims, set);
	uint32_t ids[CLAIMS_SET];
	size_t count = claims_set_pick(set, record->key, record->home, ids);
	size_t size = count;

	if (!claims_ids_have(ids, count, node_id))
		return false;
	if (full || before == NULL)
		return true;
	count = claims_set_pick(before, record->key, record->home, ids);
	return size < count || !claims_ids_have(ids, count, node_id);
}

static Lp__ClaimRecord *to_message(const claims_t *claims, const claims_record_t *record,
				   guint index)
{
	const claims_holder_t *holder = &g_array_index(record->holders, claims_holder_t, index);
	Lp__ClaimRecord *message = g_new(Lp__ClaimRecord, 1);

	lp__claim_record__init(message);
	message->key = record->key;
	message->home = record->home;
	message->owner = g_new(Lp__ClaimOwner, 1);
	claims_owner_to(&holder->owner, message->owner);
	message->has_outcome = holder->outcome != NULL;
	message->outcome = holder->outcome;
	message->age_ms = (claims->now_us - holder->acquired_us) / US_PER_MS;
	return message;
}

static void record_message_free(gpointer data)
{
	Lp__ClaimRecord *message = data;

	g_free(message->owner);
	g_free(message);
}

/* Collects a page of records. @return the cursor of the next page, 0 at the end */
static uint64_t collect(const claims_t *claims, const claims_member_set_t *set, uint32_t to,
			const Lp__ClaimSyncRequest *request, GPtrArray *page)
{
	uint64_t cursor = request->cursor;
	size_t bytes = 0;
	const claims_record_t *record;

	while ((record = claims_store_after(&claims->store, cursor)) != NULL) {
		if (bytes >= PAGE_BYTES)
			return cursor;
		cursor = record->serial;
		if (!wants(claims, set, record, to, request->full))
			continue;
		for (guint i = 0; i < record->holders->len; i++) {
			Lp__ClaimRecord *message = to_message(claims, record, i);

			bytes += lp__claim_record__get_packed_size(message);
			g_ptr_array_add(page, message);
		}
	}
	return 0;
}

static void list_before(const claims_member_set_t *before, Lp__ClaimSyncReply *reply,
			Lp__ClaimMember *members, Lp__ClaimMember **pointers)
{
	if (before == NULL)
		return;
	for (size_t i = 0; i < before->count; i++) {
		lp__claim_member__init(&members[i]);
		members[i].node_id = before->members[i].node_id;
		members[i].data_centre = (char *)before->members[i].data_centre;
		pointers[i] = &members[i];
	}
	reply->epoch_before = before->epoch;
	reply->n_members_before = before->count;
	reply->members_before = pointers;
}

static void send_page(claims_t *claims, const claims_member_set_t *set, uint32_t to,
		      Lp__ClaimSyncReply *reply, const Lp__ClaimSyncRequest *request)
{
	GPtrArray *page = g_ptr_array_new_with_free_func(record_message_free);
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	reply->next_cursor = collect(claims, set, to, request, page);
	reply->done = reply->next_cursor == 0;
	reply->n_records = page->len;
	reply->records = (Lp__ClaimRecord **)page->pdata;
	envelope.body_case = LP__ENVELOPE__BODY_CLAIM_SYNC_REPLY;
	envelope.claim_sync_reply = reply;
	claims->send(claims->send_arg, to, &envelope);
	g_ptr_array_unref(page);
}

void claims_sync_request(claims_t *claims, uint32_t from, const Lp__ClaimSyncRequest *request)
{
	const claims_member_set_t *set = claims_set_of_epoch(claims, request->member_epoch);
	const claims_member_set_t *before;
	Lp__ClaimSyncReply reply = LP__CLAIM_SYNC_REPLY__INIT;
	Lp__ClaimMember members[CLAIMS_MEMBERS_MAX];
	Lp__ClaimMember *pointers[CLAIMS_MEMBERS_MAX];
	uint32_t missing[2 * CLAIMS_MEMBERS_MAX];

	/* One that lost its memory may have granted claims in the latest set already. */
	if (set == NULL || (request->full && set != claims_current(claims)) ||
	    (claims->lost && set != claims_current(claims)))
		return;
	claims_learn_memory(claims, from, request->incarnation);
	before = claims_set_before(claims, set);
	reply.member_epoch = request->member_epoch;
	reply.sync_id = request->sync_id;
	reply.incarnation = claims->config.incarnation;
	reply.intact = !claims->lost && set->full;
	reply.intact_before = !claims->lost && before != NULL && before->full;
	list_before(before, &reply, members, pointers);
	if (!reply.intact)
		list_missing(claims, set, &reply, missing);
	send_page(claims, set, from, &reply, request);
}

/* Adds what another replica holds. A key may be held by several attempts; only one can have been
 * decided, and which one is not known, so all are kept. */
static void merge(claims_t *claims, const Lp__ClaimRecord *message)
{
	uint64_t age_us = MIN(message->age_ms * US_PER_MS, claims->now_us);
	claims_holder_t *holder;
	claims_owner_t owner;

	if (message->owner == NULL || age_us >= claims->config.retention_us)
		return;
	owner = claims_owner_from(message->owner);
	holder = claims_store_hold(&claims->store, message->key, message->home, &owner,
				   claims->now_us - age_us);
	if (message->outcome == NULL || holder->outcome != NULL)
		return;
	holder->outcome = claims_outcome_copy(message->outcome, claims->config.outcome_limit);
	claims_store_touch(&claims->store, claims_store_find(&claims->store, message->key));
}

/* A replica that has just started learns the earlier member set from the others. */
static void learn_before(claims_t *claims, const Lp__ClaimSyncReply *reply)
{
	claims_member_set_t *before;

	if (claims->set_count != 1 || !claims->lost || reply->epoch_before == 0 ||
	    claims->sets[0]->epoch != reply->member_epoch)
		return;
	before = claims_set_new(reply->epoch_before, claims->started_us);
	for (size_t i = 0; i < reply->n_members_before; i++)
		claims_set_add(before, reply->members_before[i]->node_id,
			       reply->members_before[i]->data_centre);
	claims->sets[1] = claims->sets[0];
	claims->sets[0] = before;
	claims->set_count = 2;
}

static claims_read_t *find_read(claims_member_set_t *set, uint32_t node_id, size_t *member)
{
	for (size_t i = 0; set != NULL && i < set->count; i++) {
		if (set->members[i].node_id == node_id) {
			*member = i;
			return &set->reads[i];
		}
	}
	return NULL;
}

static void take_first_page(claims_read_t *read, const Lp__ClaimSyncReply *reply)
{
	read->incarnation = reply->incarnation;
	read->first_intact = reply->intact;
	read->first_intact_before = reply->intact_before;
	read->first_missing_known = reply->missing_known;
	g_array_set_size(read->first_missing, 0);
	g_array_append_vals(read->first_missing, reply->missing, (guint)reply->n_missing);
}

static void complete_read(claims_t *claims, claims_read_t *read)
{
	GArray *missing = read->missing;

	read->reading = false;
	read->complete = true;
	read->intact = read->first_intact;
	read->intact_before = read->first_intact_before;
	read->missing_known = read->first_missing_known;
	read->missing = read->first_missing;
	read->first_missing = missing;
	read->next_us = claims->now_us + read->interval_us;
	claims_update_full(claims);
}

void claims_sync_reply(claims_t *claims, uint32_t from, const Lp__ClaimSyncReply *reply)
{
	claims_member_set_t *set = claims_set_of_epoch(claims, reply->member_epoch);
	size_t member = 0;
	claims_read_t *read = find_read(set, from, &member);

	claims_learn_memory(claims, from, reply->incarnation);
	if (read == NULL || !read->reading || reply->sync_id != read->sync_id)
		return;
	if (read->cursor == 0) {
		learn_before(claims, reply);
		take_first_page(read, reply);
	} else if (read->incarnation != reply->incarnation) {
		/* The member restarted between two pages. */
		read->reading = false;
		read->next_us = claims->now_us;
		return;
	}
	for (size_t i = 0; i < reply->n_records; i++)
		merge(claims, reply->records[i]);
	if (reply->done) {
		complete_read(claims, read);
		return;
	}
	if (reply->next_cursor <= read->cursor)
		return;
	read->cursor = reply->next_cursor;
	read->next_us = claims->now_us + PAGE_TIMEOUT_US;
	ask(claims, set, member);
}
