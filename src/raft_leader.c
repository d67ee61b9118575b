#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "raft_internal.h"

static raft_peer_t *find_peer(raft_t *raft, raft_id_t id)
{
	for (size_t i = 0; i < raft->peer_count; i++) {
		if (raft_id_equal(raft->peers[i].id, id))
			return &raft->peers[i];
	}
	return NULL;
}

void raft_leader_update_peers(raft_t *raft)
{
	raft_peer_t peers[RAFT_MEMBERS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < raft->config.count; i++) {
		raft_id_t id = raft->config.members[i].id;
		const raft_peer_t *old = find_peer(raft, id);

		if (raft_id_equal(id, raft->options.self))
			continue;
		if (old != NULL)
			peers[count++] = *old;
		else
			peers[count++] =
				(raft_peer_t){.id = id, .next_index = raft_last_index(raft) + 1};
	}
	memcpy(raft->peers, peers, count * sizeof(*peers));
	raft->peer_count = count;
}

static uint64_t append_leader_entry(raft_t *raft, Lp__EntryType type, const uint8_t *data,
				    size_t length)
{
	Lp__LogEntry entry = LP__LOG_ENTRY__INIT;

	entry.index = raft_last_index(raft) + 1;
	entry.term = raft->term;
	entry.type = type;
	entry.data.data = (uint8_t *)data;
	entry.data.len = length;
	raft_log_append(raft, &entry);
	raft_queue_action(raft, RAFT_SAVE_ENTRY)->entry = raft_entry(raft, entry.index);
	return entry.index;
}

/* Returns the highest value that a majority of the voters has reached. values[i] is the value of
 * peers[i], self that of this replica. */
static uint64_t majority_value(const raft_t *raft, const uint64_t *values, uint64_t self)
{
	uint64_t sorted[RAFT_MEMBERS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < raft->config.count; i++) {
		const raft_member_t *member = &raft->config.members[i];
		uint64_t value = self;
		size_t at = count;

		if (!member->voter)
			continue;
		for (size_t p = 0; p < raft->peer_count; p++) {
			if (raft_id_equal(raft->peers[p].id, member->id))
				value = values[p];
		}
		for (; at > 0 && sorted[at - 1] < value; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = value;
		count++;
	}
	return count == 0 ? 0 : sorted[count / 2];
}

/* Returns the send time of the latest heartbeat round that a majority of the voters has
 * acknowledged. */
static uint64_t majority_acked_round_us(const raft_t *raft, uint64_t now_us)
{
	uint64_t values[RAFT_MEMBERS_MAX];

	for (size_t i = 0; i < raft->peer_count; i++)
		values[i] = raft->peers[i].acked_round_sent_us;
	return majority_value(raft, values, now_us);
}

bool raft_is_sole_leader(const raft_t *raft, uint64_t now_us)
{
	uint64_t acked_us;

	if (raft->role != RAFT_LEADER)
		return false;
	acked_us = majority_acked_round_us(raft, now_us);
	return acked_us > 0 && now_us < acked_us + raft->options.lease_us;
}

bool raft_has_lease(const raft_t *raft, uint64_t now_us)
{
	return raft->commit_index >= raft->term_first_index &&
	       raft->applied_index >= raft->commit_index && raft_is_sole_leader(raft, now_us);
}

int raft_peer_info(const raft_t *raft, raft_id_t id, raft_peer_info_t *info)
{
	if (raft->role != RAFT_LEADER)
		return -1;
	for (size_t i = 0; i < raft->peer_count; i++) {
		const raft_peer_t *peer = &raft->peers[i];

		if (!raft_id_equal(peer->id, id))
			continue;
		*info = (raft_peer_info_t){.match_index = peer->match_index,
					   .applied_index = peer->applied_index,
					   .last_reply_us = peer->last_reply_us};
		return 0;
	}
	return -1;
}

static void attach_entries(const raft_t *raft, Lp__AppendRequest *append, uint64_t first)
{
	size_t bytes = 0;
	uint64_t last = first;

	for (; last <= raft_last_index(raft); last++) {
		bytes += lp__log_entry__get_packed_size(raft_entry(raft, last)) + 4;
		if (bytes > RAFT_BATCH_BYTES && last > first)
			break;
	}
	append->n_entries = last - first;
	append->entries = talloc_array(append, Lp__LogEntry *, append->n_entries);
	for (size_t i = 0; i < append->n_entries; i++)
		append->entries[i] = (Lp__LogEntry *)raft_entry(raft, first + i);
}

/* Sends a batch of the entries after index prev, or an append request without entries if entries is
 * false. @return index of the last entry sent */
static uint64_t send_append(raft_t *raft, raft_peer_t *peer, uint64_t prev, uint64_t prev_term,
			    bool entries)
{
	Lp__RaftMessage *message = raft_queue_message(raft, peer->id, false);
	Lp__AppendRequest *append = talloc(message, Lp__AppendRequest);

	lp__append_request__init(append);
	append->term = raft->term;
	append->prev_index = prev;
	append->prev_term = prev_term;
	append->commit = raft->commit_index;
	append->round = raft->heartbeat_round;
	if (entries)
		attach_entries(raft, append, prev + 1);
	message->body_case = LP__RAFT_MESSAGE__BODY_APPEND;
	message->append = append;
	peer->sent_commit_index = raft->commit_index;
	return prev + append->n_entries;
}

static void send_snapshot_chunk(raft_t *raft, raft_peer_t *peer)
{
	const raft_snapshot_t *snapshot = &raft->snapshot;
	Lp__RaftMessage *message = raft_queue_message(raft, peer->id, false);
	Lp__SnapshotChunk *chunk = talloc(message, Lp__SnapshotChunk);
	size_t length = snapshot->length - peer->snapshot_sent_bytes;

	if (length > RAFT_BATCH_BYTES)
		length = RAFT_BATCH_BYTES;
	lp__snapshot_chunk__init(chunk);
	chunk->term = raft->term;
	chunk->last_index = snapshot->index;
	chunk->last_term = snapshot->term;
	chunk->config = raft_config_to_message(chunk, &snapshot->config);
	chunk->offset = peer->snapshot_sent_bytes;
	chunk->data.data = snapshot->data + peer->snapshot_sent_bytes;
	chunk->data.len = length;
	chunk->done = peer->snapshot_sent_bytes + length == snapshot->length;
	message->body_case = LP__RAFT_MESSAGE__BODY_SNAPSHOT;
	message->snapshot = chunk;
	peer->snapshot_sent_bytes += length;
}

static void send_snapshot_chunks(raft_t *raft, raft_peer_t *peer, uint64_t now_us)
{
	/* The snapshot in transfer has been replaced by a newer one: start the transfer again. */
	if (peer->snapshot_index != raft->snapshot.index) {
		peer->snapshot_index = raft->snapshot.index;
		peer->snapshot_acked_bytes = 0;
		peer->snapshot_sent_bytes = 0;
		peer->snapshot_progress_us = now_us;
		send_snapshot_chunk(raft, peer);
	}
	while (peer->snapshot_sent_bytes < raft->snapshot.length &&
	       peer->snapshot_sent_bytes <
		       peer->snapshot_acked_bytes + RAFT_INFLIGHT_MAX * RAFT_BATCH_BYTES)
		send_snapshot_chunk(raft, peer);
}

static void start_snapshot(raft_t *raft, raft_peer_t *peer, uint64_t now_us)
{
	peer->state = PEER_SNAPSHOT;
	peer->snapshot_index = 0;
	send_snapshot_chunks(raft, peer, now_us);
}

/* Sends an append without entries to find out whether the follower holds the entry before
 * next_index. */
static void probe_peer(raft_t *raft, raft_peer_t *peer, uint64_t now_us)
{
	uint64_t prev_term;

	peer->state = PEER_PROBE;
	peer->inflight_count = 0;
	if (raft_log_term(raft, peer->next_index - 1, &prev_term))
		send_append(raft, peer, peer->next_index - 1, prev_term, false);
	else
		start_snapshot(raft, peer, now_us);
}

static void send_pending_entries(raft_t *raft, raft_peer_t *peer, uint64_t now_us)
{
	uint64_t prev_term;

	if (peer->state == PEER_SNAPSHOT) {
		send_snapshot_chunks(raft, peer, now_us);
		return;
	}
	if (peer->state != PEER_REPLICATE)
		return;
	if (!raft_log_term(raft, peer->next_index - 1, &prev_term)) {
		start_snapshot(raft, peer, now_us);
		return;
	}
	while (peer->inflight_count < RAFT_INFLIGHT_MAX &&
	       peer->next_index <= raft_last_index(raft)) {
		uint64_t last;

		raft_log_term(raft, peer->next_index - 1, &prev_term);
		last = send_append(raft, peer, peer->next_index - 1, prev_term, true);
		peer->inflight_last_index[peer->inflight_count++] = last;
		peer->next_index = last + 1;
	}
	/* Send the new commit index at once, so that the follower can apply entries before the next
	 * heartbeat. */
	if (peer->inflight_count == 0 && peer->sent_commit_index < raft->commit_index &&
	    raft_log_term(raft, peer->next_index - 1, &prev_term))
		send_append(raft, peer, peer->next_index - 1, prev_term, false);
}

void raft_replicate(raft_t *raft, uint64_t now_us)
{
	if (raft->role != RAFT_LEADER)
		return;
	for (size_t i = 0; i < raft->peer_count; i++)
		send_pending_entries(raft, &raft->peers[i], now_us);
}

static void send_heartbeat(raft_t *raft, raft_peer_t *peer, uint64_t now_us)
{
	uint64_t prev = peer->state == PEER_SNAPSHOT ? peer->match_index : peer->next_index - 1;
	uint64_t prev_term = 0;

	if (!raft_log_term(raft, prev, &prev_term)) {
		if (peer->state != PEER_SNAPSHOT)
			start_snapshot(raft, peer, now_us);
		prev = 0;
	}
	send_append(raft, peer, prev, prev_term, false);
	if (peer->state != PEER_SNAPSHOT ||
	    now_us < peer->snapshot_progress_us + 2 * raft->options.heartbeat_us ||
	    now_us > peer->last_reply_us + raft->options.election_min_us)
		return;
	/* A chunk or the reply to it was lost: send one chunk again until the follower replies. */
	if (peer->snapshot_index != raft->snapshot.index) {
		send_snapshot_chunks(raft, peer, now_us);
		return;
	}
	peer->snapshot_sent_bytes = peer->snapshot_acked_bytes;
	peer->snapshot_progress_us = now_us;
	send_snapshot_chunk(raft, peer);
}

static void send_heartbeats(raft_t *raft, uint64_t now_us)
{
	raft->next_heartbeat_us = now_us + raft->options.heartbeat_us;
	raft->heartbeat_round++;
	raft->round_sent_us[raft->heartbeat_round % ROUND_HISTORY] = now_us;
	for (size_t i = 0; i < raft->peer_count; i++)
		send_heartbeat(raft, &raft->peers[i], now_us);
}

void raft_become_leader(raft_t *raft, uint64_t now_us)
{
	raft->role = RAFT_LEADER;
	raft->leader = raft->options.self;
	raft->leader_since_us = now_us;
	raft->heartbeat_round = 0;
	raft->peer_count = 0;
	raft_leader_update_peers(raft);
	raft->term_first_index = append_leader_entry(raft, LP__ENTRY_TYPE__ENTRY_NOOP, NULL, 0);
	send_heartbeats(raft, now_us);
}

/* Returns the send time of the oldest heartbeat round that no majority of the voters has
 * acknowledged, or now_us if there is none. The time since the latest acknowledged round would also
 * count a time in which this replica was blocked and sent no heartbeats. */
static uint64_t oldest_unacked_round_us(const raft_t *raft, uint64_t now_us)
{
	uint64_t acked_us = majority_acked_round_us(raft, now_us);
	uint64_t first = raft->heartbeat_round < ROUND_HISTORY
				 ? 1
				 : raft->heartbeat_round - ROUND_HISTORY + 1;

	for (uint64_t round = first; round <= raft->heartbeat_round; round++) {
		uint64_t sent_us = raft->round_sent_us[round % ROUND_HISTORY];

		if (sent_us > acked_us)
			return sent_us;
	}
	return now_us;
}

uint64_t raft_majority_contact_us(const raft_t *raft, uint64_t now_us)
{
	return MAX(majority_acked_round_us(raft, now_us), raft->leader_since_us);
}

void raft_leader_tick(raft_t *raft, uint64_t now_us)
{
	if (now_us > oldest_unacked_round_us(raft, now_us) + raft->options.election_min_us) {
		raft_become_follower(raft, now_us, raft->term, (raft_id_t){0});
		return;
	}
	if (now_us >= raft->next_heartbeat_us)
		send_heartbeats(raft, now_us);
}

void raft_leader_advance_commit(raft_t *raft, uint64_t now_us)
{
	uint64_t values[RAFT_MEMBERS_MAX];
	uint64_t term;
	uint64_t index;

	for (size_t i = 0; i < raft->peer_count; i++)
		values[i] = raft->peers[i].match_index;
	index = majority_value(raft, values, raft->synced_index);
	/* Only an entry of this term can be committed by counting replicas; earlier entries are
	 * committed along with it. An entry of an earlier term may still be overwritten by a new
	 * leader, even when a majority holds it. */
	if (index <= raft->commit_index || !raft_log_term(raft, index, &term) || term != raft->term)
		return;
	raft_set_commit(raft, index);
	raft_replicate(raft, now_us);
}

static void acknowledge_round(raft_t *raft, raft_peer_t *peer, uint64_t round)
{
	uint64_t sent_us;

	if (round == 0 || round > raft->heartbeat_round ||
	    round + ROUND_HISTORY <= raft->heartbeat_round)
		return;
	sent_us = raft->round_sent_us[round % ROUND_HISTORY];
	if (sent_us > peer->acked_round_sent_us)
		peer->acked_round_sent_us = sent_us;
}

static void on_append_success(raft_t *raft, raft_peer_t *peer, uint64_t now_us, uint64_t match)
{
	size_t acked_batches = 0;

	if (match > raft_last_index(raft))
		return;
	if (match > peer->match_index)
		peer->match_index = match;
	while (acked_batches < peer->inflight_count &&
	       peer->inflight_last_index[acked_batches] <= peer->match_index)
		acked_batches++;
	peer->inflight_count -= acked_batches;
	memmove(peer->inflight_last_index, peer->inflight_last_index + acked_batches,
		peer->inflight_count * sizeof(*peer->inflight_last_index));
	if (peer->state == PEER_PROBE ||
	    (peer->state == PEER_SNAPSHOT && peer->match_index >= raft->base_index)) {
		peer->state = PEER_REPLICATE;
		peer->inflight_count = 0;
		peer->next_index = peer->match_index + 1;
	}
	if (peer->next_index <= peer->match_index)
		peer->next_index = peer->match_index + 1;
	raft_leader_advance_commit(raft, now_us);
	send_pending_entries(raft, peer, now_us);
}

static void on_append_rejected(raft_t *raft, raft_peer_t *peer, uint64_t now_us,
			       uint64_t retry_index)
{
	bool follower_not_durable = retry_index + 1 >= peer->next_index;
	uint64_t prev_term;

	if (peer->state == PEER_SNAPSHOT)
		return;
	peer->next_index = retry_index + 1;
	if (peer->next_index > raft_last_index(raft) + 1)
		peer->next_index = raft_last_index(raft) + 1;
	if (peer->next_index <= peer->match_index)
		peer->next_index = peer->match_index + 1;
	if (!follower_not_durable || !raft_log_term(raft, peer->next_index - 1, &prev_term)) {
		probe_peer(raft, peer, now_us);
		return;
	}
	/* The follower holds the entries in memory but cannot write its disk. It gets further
	 * entries one batch at a time and does not count towards commits. */
	peer->state = PEER_PROBE;
	peer->inflight_count = 0;
	if (peer->next_index <= raft_last_index(raft))
		send_append(raft, peer, peer->next_index - 1, prev_term, true);
}

/**
 * Finds the peer that sent a reply. A reply with a later term makes this replica a follower.
 * @return the peer, or NULL when the reply is to be ignored
 */
static raft_peer_t *find_replying_peer(raft_t *raft, uint64_t now_us, raft_id_t from, uint64_t term)
{
	raft_peer_t *peer;

	if (term > raft->term) {
		raft_become_follower(raft, now_us, term, (raft_id_t){0});
		return NULL;
	}
	peer = find_peer(raft, from);
	if (raft->role != RAFT_LEADER || term != raft->term || peer == NULL)
		return NULL;
	peer->last_reply_us = now_us;
	return peer;
}

void raft_on_append_reply(raft_t *raft, uint64_t now_us, raft_id_t from,
			  const Lp__AppendReply *reply)
{
	raft_peer_t *peer = find_replying_peer(raft, now_us, from, reply->term);

	if (peer == NULL)
		return;
	if (reply->applied > peer->applied_index)
		peer->applied_index = reply->applied;
	acknowledge_round(raft, peer, reply->round);
	if (reply->success)
		on_append_success(raft, peer, now_us, reply->match);
	else
		on_append_rejected(raft, peer, now_us, reply->match);
}

void raft_on_snapshot_reply(raft_t *raft, uint64_t now_us, raft_id_t from,
			    const Lp__SnapshotReply *reply)
{
	raft_peer_t *peer = find_replying_peer(raft, now_us, from, reply->term);

	if (peer == NULL)
		return;
	if (peer->state != PEER_SNAPSHOT)
		return;
	if (reply->done) {
		peer->next_index = peer->snapshot_index + 1;
		probe_peer(raft, peer, now_us);
		return;
	}
	/* The reply's offset refers to a snapshot that has been replaced: send the new snapshot
	 * from its start. */
	if (peer->snapshot_index != raft->snapshot.index) {
		send_pending_entries(raft, peer, now_us);
		return;
	}
	if (reply->offset > raft->snapshot.length)
		return;
	if (reply->offset > peer->snapshot_acked_bytes) {
		peer->snapshot_progress_us = now_us;
		peer->snapshot_acked_bytes = reply->offset;
		if (peer->snapshot_sent_bytes < reply->offset)
			peer->snapshot_sent_bytes = reply->offset;
	} else if (reply->offset < peer->snapshot_acked_bytes) {
		/* The follower restarted or dropped the transfer. send_heartbeat() continues from
		 * the offset in the reply. */
		peer->snapshot_acked_bytes = reply->offset;
	}
	send_pending_entries(raft, peer, now_us);
}

uint64_t raft_propose(raft_t *raft, Lp__EntryType type, const uint8_t *data, size_t length)
{
	if (raft->role != RAFT_LEADER)
		return 0;
	return append_leader_entry(raft, type, data, length);
}

/* Applies a membership change to config. @return false when the change has no effect */
static bool apply_member_change(const raft_t *raft, raft_config_t *config,
				raft_member_change_t change, raft_id_t id)
{
	const raft_member_t *member = raft_config_find(config, id);
	size_t kept = 0;

	switch (change) {
	case RAFT_ADD_LEARNER:
		if (member != NULL || id.node == raft->options.self.node)
			return false;
		for (size_t i = 0; i < config->count; i++) {
			if (config->members[i].id.node != id.node)
				config->members[kept++] = config->members[i];
		}
		if (kept == RAFT_MEMBERS_MAX)
			return false;
		config->members[kept] = (raft_member_t){.id = id};
		config->count = kept + 1;
		return true;
	case RAFT_PROMOTE:
		if (member == NULL || member->voter)
			return false;
		config->members[member - config->members].voter = true;
		return true;
	case RAFT_REMOVE:
		if (member == NULL || id.node == raft->options.self.node)
			return false;
		for (size_t i = 0; i < config->count; i++) {
			if (!raft_id_equal(config->members[i].id, id))
				config->members[kept++] = config->members[i];
		}
		config->count = kept;
		return true;
	}
	return false;
}

/* True when a majority of the voters in config has acknowledged a heartbeat within the minimum
 * election timeout. If a change needed the acknowledgement of a replica that is permanently down,
 * it would never be committed and would block all later changes. */
static bool has_responsive_majority(const raft_t *raft, const raft_config_t *config)
{
	uint64_t now_us = raft->round_sent_us[raft->heartbeat_round % ROUND_HISTORY];
	size_t voters = 0;
	size_t answering = 0;

	for (size_t i = 0; i < config->count; i++) {
		raft_id_t id = config->members[i].id;

		if (!config->members[i].voter)
			continue;
		voters++;
		answering += raft_id_equal(id, raft->options.self);
		for (size_t p = 0; p < raft->peer_count; p++) {
			const raft_peer_t *peer = &raft->peers[p];

			answering +=
				raft_id_equal(peer->id, id) && peer->acked_round_sent_us > 0 &&
				now_us < peer->acked_round_sent_us + raft->options.election_min_us;
		}
	}
	return answering > voters / 2;
}

int raft_change_member(raft_t *raft, raft_member_change_t change, raft_id_t id)
{
	raft_config_t config = raft->config;
	uint8_t *data;
	size_t length;

	/* Until an entry of this term is committed, a membership change of an earlier leader may be
	 * pending that this leader does not know of. A majority of the configuration after that
	 * change and a majority of the one after the new change could then have no member in
	 * common. */
	if (raft->role != RAFT_LEADER || raft->commit_index < raft->term_first_index ||
	    raft->config_index > raft->commit_index ||
	    !apply_member_change(raft, &config, change, id) ||
	    !has_responsive_majority(raft, &config))
		return -1;
	data = raft_config_pack(raft, &config, &length);
	append_leader_entry(raft, LP__ENTRY_TYPE__ENTRY_CONFIG, data, length);
	talloc_free(data);
	raft_leader_update_peers(raft);
	return 0;
}
