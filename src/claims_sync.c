#include "claims_internal.h"

#include "clock.h"

#define SYNC_PAGE_BYTES (64U << 10)
/* A sync from a member that is still syncing itself is repeated at an interval that grows from
 * SYNC_RETRY_MIN_US to SYNC_RETRY_MAX_US. A page that has not arrived after SYNC_PAGE_TIMEOUT_US is
 * requested again. */
#define SYNC_RETRY_MIN_US (200 * US_PER_MS)
#define SYNC_RETRY_MAX_US (5 * US_PER_S)
#define SYNC_PAGE_TIMEOUT_US (1 * US_PER_S)

void claims_note_incarnation(claims_t *claims, uint32_t node_id, uint64_t incarnation)
{
	for (size_t i = 0; i < claims->known_incarnation_count; i++) {
		if (claims->known_incarnations[i].node_id == node_id) {
			claims->known_incarnations[i].incarnation = incarnation;
			return;
		}
	}
	if (claims->known_incarnation_count < CLAIMS_MEMBERS_MAX)
		claims->known_incarnations[claims->known_incarnation_count++] =
			(claims_known_incarnation_t){
				.node_id = node_id,
				.incarnation = incarnation,
			};
}

static void send_sync_request(claims_t *claims, const claims_member_set_t *set, size_t member)
{
	const claims_peer_sync_t *sync = &set->syncs[member];
	Lp__ClaimSyncRequest request = LP__CLAIM_SYNC_REQUEST__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	request.member_epoch = set->epoch;
	request.sync_id = sync->sync_id;
	request.cursor = sync->cursor;
	request.incarnation = claims->config.incarnation;
	request.full = claims->memory_lost;
	envelope.body_case = LP__ENVELOPE__BODY_CLAIM_SYNC;
	envelope.claim_sync = &request;
	claims->send(claims->send_arg, set->members[member].node_id, &envelope);
}

static void start_sync(claims_t *claims, const claims_member_set_t *set, claims_peer_sync_t *sync,
		       size_t member)
{
	sync->sync_id = claims->next_sync_id++;
	sync->cursor = 0;
	sync->running = true;
	sync->retry_interval_us = MIN(MAX(sync->retry_interval_us * 2, (uint64_t)SYNC_RETRY_MIN_US),
				      (uint64_t)SYNC_RETRY_MAX_US);
	sync->next_request_us = claims->now_us + SYNC_PAGE_TIMEOUT_US;
	send_sync_request(claims, set, member);
}

static void start_due_syncs(claims_t *claims, claims_member_set_t *set)
{
	for (size_t i = 0; i < set->count; i++) {
		if (claims->now_us >= set->syncs[i].next_request_us &&
		    !claims_sync_is_sufficient(claims, set, i))
			start_sync(claims, set, &set->syncs[i], i);
	}
}

void claims_sync_tick(claims_t *claims)
{
	claims_member_set_t *current = claims_current_set(claims);

	if (current == NULL || !claims_set_contains(current, claims->config.node_id))
		return;
	if (claims->memory_lost) {
		start_due_syncs(claims, current);
		return;
	}
	for (size_t i = 1; i < claims->set_count; i++) {
		if (!claims->sets[i]->authoritative)
			start_due_syncs(claims, claims->sets[i]);
	}
}

/* Fills in the reply's list of the members whose keys this replica may lack claims of, for a member
 * set that it is not authoritative for. */
static void list_missing(const claims_t *claims, const claims_member_set_t *set,
			 Lp__ClaimSyncReply *reply, uint32_t *missing)
{
	const claims_member_set_t *previous = claims_previous_set(claims, set);
	uint32_t self = claims->config.node_id;
	size_t missing_count = 0;

	reply->missing = missing;
	if (!claims->memory_lost && (previous == NULL || !previous->authoritative))
		return;
	/* Send no list, so that the requester assumes that claims of any key may be missing: after
	 * another change of members, it could not tell from the list which keys had only this
	 * replica. */
	if (claims->memory_lost && previous != NULL && claims_is_sole_member_of_dc(previous, self))
		return;
	for (size_t i = 0; i < set->count; i++) {
		if (!claims_sync_is_sufficient(claims, set, i))
			missing[missing_count++] = set->members[i].node_id;
	}
	if (claims->memory_lost && claims_is_sole_member_of_dc(set, self))
		missing[missing_count++] = self;
	if (!claims->memory_lost && previous != NULL &&
	    !claims_removal_is_recoverable(previous, set)) {
		for (size_t i = 0; i < previous->count; i++) {
			if (!claims_set_contains(set, previous->members[i].node_id))
				missing[missing_count++] = previous->members[i].node_id;
		}
	}
	reply->n_missing = missing_count;
	reply->missing_known = true;
}

static bool should_send_record(const claims_t *claims, const claims_member_set_t *set,
			       const claims_record_t *record, uint32_t node_id, bool full)
{
	const claims_member_set_t *previous = claims_previous_set(claims, set);
	uint32_t ids[CLAIMS_REPLICAS_MAX];
	size_t count = claims_set_replicas(set, record->key, record->home, ids);
	size_t size = count;

	if (!claims_ids_contain(ids, count, node_id))
		return false;
	if (full || previous == NULL)
		return true;
	count = claims_set_replicas(previous, record->key, record->home, ids);
	return size < count || !claims_ids_contain(ids, count, node_id);
}

static Lp__ClaimRecord *record_to_message(const claims_t *claims, const claims_record_t *record,
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

/* Adds the records for one page of a claims sync to the array page. @return cursor of the next
 * page, or 0 after the last one */
static uint64_t collect_page(const claims_t *claims, const claims_member_set_t *set, uint32_t to,
			     const Lp__ClaimSyncRequest *request, GPtrArray *page)
{
	uint64_t cursor = request->cursor;
	size_t bytes = 0;
	const claims_record_t *record;

	while ((record = claims_store_next(&claims->store, cursor)) != NULL) {
		if (bytes >= SYNC_PAGE_BYTES)
			return cursor;
		cursor = record->serial;
		if (!should_send_record(claims, set, record, to, request->full))
			continue;
		for (guint i = 0; i < record->holders->len; i++) {
			Lp__ClaimRecord *message = record_to_message(claims, record, i);

			bytes += lp__claim_record__get_packed_size(message);
			g_ptr_array_add(page, message);
		}
	}
	return 0;
}

static void add_previous_members(const claims_member_set_t *previous, Lp__ClaimSyncReply *reply,
				 Lp__ClaimMember *members, Lp__ClaimMember **member_pointers)
{
	if (previous == NULL)
		return;
	for (size_t i = 0; i < previous->count; i++) {
		lp__claim_member__init(&members[i]);
		members[i].node_id = previous->members[i].node_id;
		members[i].data_centre = (char *)previous->members[i].data_centre;
		member_pointers[i] = &members[i];
	}
	reply->epoch_before = previous->epoch;
	reply->n_members_before = previous->count;
	reply->members_before = member_pointers;
}

static void send_page(claims_t *claims, const claims_member_set_t *set, uint32_t to,
		      Lp__ClaimSyncReply *reply, const Lp__ClaimSyncRequest *request)
{
	GPtrArray *page = g_ptr_array_new_with_free_func(record_message_free);
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	reply->next_cursor = collect_page(claims, set, to, request, page);
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
	const claims_member_set_t *set = claims_set_by_epoch(claims, request->member_epoch);
	const claims_member_set_t *previous;
	Lp__ClaimSyncReply reply = LP__CLAIM_SYNC_REPLY__INIT;
	Lp__ClaimMember members[CLAIMS_MEMBERS_MAX];
	Lp__ClaimMember *member_pointers[CLAIMS_MEMBERS_MAX];
	uint32_t missing[2 * CLAIMS_MEMBERS_MAX];

	/* Ignore requests for an earlier set if either side has lost its memory: that replica may
	 * already have granted claims in the current set, so only a sync of the current set counts.
	 */
	if (set == NULL || (request->full && set != claims_current_set(claims)) ||
	    (claims->memory_lost && set != claims_current_set(claims)))
		return;
	claims_note_incarnation(claims, from, request->incarnation);
	previous = claims_previous_set(claims, set);
	reply.member_epoch = request->member_epoch;
	reply.sync_id = request->sync_id;
	reply.incarnation = claims->config.incarnation;
	reply.intact = !claims->memory_lost && set->authoritative;
	reply.intact_before = !claims->memory_lost && previous != NULL && previous->authoritative;
	add_previous_members(previous, &reply, members, member_pointers);
	if (!reply.intact)
		list_missing(claims, set, &reply, missing);
	send_page(claims, set, from, &reply, request);
}

/* Adds a claim received from another replica. If several attempts hold the key, at most one of them
 * was granted by a majority; it is unknown which one, so all are kept. */
static void merge_record(claims_t *claims, const Lp__ClaimRecord *message)
{
	uint64_t age_us = MIN(message->age_ms * US_PER_MS, claims->now_us);
	claims_holder_t *holder;
	claims_owner_t owner;

	if (message->owner == NULL || age_us >= claims->config.retention_us)
		return;
	owner = claims_owner_from(message->owner);
	holder = claims_store_add_holder(&claims->store, message->key, message->home, &owner,
					 claims->now_us - age_us);
	if (message->outcome == NULL || holder->outcome != NULL)
		return;
	holder->outcome = claims_outcome_copy(message->outcome, claims->config.outcome_limit);
	claims_store_renew_serial(&claims->store, claims_store_find(&claims->store, message->key));
}

/* Takes over the previous member set from a peer, if this replica has just started and does not
 * know it. */
static void learn_previous_set(claims_t *claims, const Lp__ClaimSyncReply *reply)
{
	claims_member_set_t *previous;

	if (claims->set_count != 1 || !claims->memory_lost || reply->epoch_before == 0 ||
	    claims->sets[0]->epoch != reply->member_epoch)
		return;
	previous = claims_set_new(reply->epoch_before, claims->started_us);
	for (size_t i = 0; i < reply->n_members_before; i++)
		claims_set_add(previous, reply->members_before[i]->node_id,
			       reply->members_before[i]->data_centre);
	claims->sets[1] = claims->sets[0];
	claims->sets[0] = previous;
	claims->set_count = 2;
}

static claims_peer_sync_t *find_sync(claims_member_set_t *set, uint32_t node_id, size_t *member)
{
	for (size_t i = 0; set != NULL && i < set->count; i++) {
		if (set->members[i].node_id == node_id) {
			*member = i;
			return &set->syncs[i];
		}
	}
	return NULL;
}

static void save_first_page_status(claims_peer_sync_t *sync, const Lp__ClaimSyncReply *reply)
{
	sync->incarnation = reply->incarnation;
	sync->first_page_intact = reply->intact;
	sync->first_page_intact_before = reply->intact_before;
	sync->first_page_missing_known = reply->missing_known;
	g_array_set_size(sync->first_page_missing, 0);
	g_array_append_vals(sync->first_page_missing, reply->missing, (guint)reply->n_missing);
}

static void complete_sync(claims_t *claims, claims_peer_sync_t *sync)
{
	GArray *missing = sync->missing;

	sync->running = false;
	sync->complete = true;
	sync->intact = sync->first_page_intact;
	sync->intact_before = sync->first_page_intact_before;
	sync->missing_known = sync->first_page_missing_known;
	sync->missing = sync->first_page_missing;
	sync->first_page_missing = missing;
	sync->next_request_us = claims->now_us + sync->retry_interval_us;
	claims_update_authority(claims);
}

void claims_sync_reply(claims_t *claims, uint32_t from, const Lp__ClaimSyncReply *reply)
{
	claims_member_set_t *set = claims_set_by_epoch(claims, reply->member_epoch);
	size_t member = 0;
	claims_peer_sync_t *sync = find_sync(set, from, &member);

	claims_note_incarnation(claims, from, reply->incarnation);
	if (sync == NULL || !sync->running || reply->sync_id != sync->sync_id)
		return;
	if (sync->cursor == 0) {
		learn_previous_set(claims, reply);
		save_first_page_status(sync, reply);
	} else if (sync->incarnation != reply->incarnation) {
		/* The member restarted between two pages, so start the sync again. */
		sync->running = false;
		sync->next_request_us = claims->now_us;
		return;
	}
	for (size_t i = 0; i < reply->n_records; i++)
		merge_record(claims, reply->records[i]);
	if (reply->done) {
		complete_sync(claims, sync);
		return;
	}
	if (reply->next_cursor <= sync->cursor)
		return;
	sync->cursor = reply->next_cursor;
	sync->next_request_us = claims->now_us + SYNC_PAGE_TIMEOUT_US;
	send_sync_request(claims, set, member);
}
