#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "raft_internal.h"

static void queue_append_reply(raft_t *raft, raft_id_t to, const Lp__AppendRequest *append,
			       bool success, uint64_t match, bool after_sync)
{
	Lp__RaftMessage *message = raft_queue_message(raft, to, after_sync);
	Lp__AppendReply *reply = talloc(message, Lp__AppendReply);

	lp__append_reply__init(reply);
	reply->term = raft->term;
	reply->success = success;
	reply->match = match;
	reply->round = append->round;
	reply->applied = raft->applied_index;
	message->body_case = LP__RAFT_MESSAGE__BODY_APPEND_REPLY;
	message->append_reply = reply;
}

static void reply_append(raft_t *raft, raft_id_t to, const Lp__AppendRequest *append, bool success,
			 uint64_t match)
{
	queue_append_reply(raft, to, append, success, match, true);
}

/* Acknowledges a request whose entries are in the log up to index match. A heartbeat is
 * acknowledged without waiting for the disk, up to the entries that are durable already: otherwise
 * the leader would lose its lease while a write is slow. */
static void acknowledge_append(raft_t *raft, raft_id_t to, const Lp__AppendRequest *append,
			       uint64_t match)
{
	if (append->n_entries > 0 || raft->vote_unsynced) {
		reply_append(raft, to, append, true, match);
		return;
	}
	queue_append_reply(raft, to, append, true, MIN(match, raft->synced_index), false);
}

static void accept_leader(raft_t *raft, uint64_t now_us, uint64_t term, raft_id_t leader)
{
	raft_become_follower(raft, now_us, term, leader);
	raft->leader_contact_us = now_us;
	raft_reset_election_timeout(raft, now_us);
}

/* Raft's consistency check: returns true when this log holds the entry that precedes the entries of
 * the request. Otherwise sets *retry_index to the prev_index that the leader should try next. */
static bool prev_entry_matches(const raft_t *raft, const Lp__AppendRequest *append,
			       uint64_t *retry_index)
{
	uint64_t term;
	uint64_t conflict_term;

	/* Committed entries are in every later leader's log, so the leader's log has the same entry
	 * at this index. */
	if (append->prev_index <= raft->commit_index)
		return true;
	if (!raft_log_term(raft, append->prev_index, &conflict_term)) {
		*retry_index = raft_last_index(raft);
		return false;
	}
	if (conflict_term == append->prev_term)
		return true;
	*retry_index = append->prev_index - 1;
	while (*retry_index > raft->commit_index && raft_log_term(raft, *retry_index, &term) &&
	       term == conflict_term)
		(*retry_index)--;
	return false;
}

static void store_entry(raft_t *raft, const Lp__LogEntry *entry)
{
	uint64_t term;

	if (entry->index <= raft->commit_index)
		return;
	if (raft_log_term(raft, entry->index, &term)) {
		if (term == entry->term)
			return;
		raft_log_truncate(raft, entry->index);
	}
	raft_log_append(raft, entry);
	raft_queue_action(raft, RAFT_SAVE_ENTRY)->entry = raft_entry(raft, entry->index);
}

void raft_on_append(raft_t *raft, uint64_t now_us, raft_id_t from, const Lp__AppendRequest *append)
{
	uint64_t last = append->prev_index + append->n_entries;
	uint64_t retry_index = 0;

	if (append->term < raft->term) {
		reply_append(raft, from, append, false, 0);
		return;
	}
	accept_leader(raft, now_us, append->term, from);
	if (!prev_entry_matches(raft, append, &retry_index)) {
		reply_append(raft, from, append, false, retry_index);
		return;
	}
	for (size_t i = 0; i < append->n_entries; i++) {
		if (append->entries[i]->index != append->prev_index + 1 + i)
			return;
	}
	for (size_t i = 0; i < append->n_entries; i++)
		store_entry(raft, append->entries[i]);
	raft_set_commit(raft, append->commit < last ? append->commit : last);
	if (last < raft->commit_index)
		last = raft->commit_index;
	/* While this follower's disk cannot be written, it rejects the append although it holds the
	 * entries, so that the leader does not count them as durable; see on_append_rejected(). */
	if (raft->disk_writable)
		acknowledge_append(raft, from, append, last);
	else
		reply_append(raft, from, append, false, last);
}

static void reply_snapshot(raft_t *raft, raft_id_t to, uint64_t offset, bool done)
{
	Lp__RaftMessage *message = raft_queue_message(raft, to, true);
	Lp__SnapshotReply *reply = talloc(message, Lp__SnapshotReply);

	lp__snapshot_reply__init(reply);
	reply->term = raft->term;
	reply->offset = offset;
	reply->done = done;
	message->body_case = LP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY;
	message->snapshot_reply = reply;
}

static void install_incoming_snapshot(raft_t *raft)
{
	uint64_t term;

	raft_snapshot_copy(raft, &raft->snapshot, &raft->incoming);
	talloc_free(raft->incoming.data);
	raft->incoming = (raft_snapshot_t){0};
	if (raft_log_term(raft, raft->snapshot.index, &term) && term == raft->snapshot.term)
		raft_log_compact(raft, raft->snapshot.index);
	else
		raft_log_reset(raft, &raft->snapshot);
	raft->commit_index = raft->snapshot.index;
	raft_queue_action(raft, RAFT_SAVE_SNAPSHOT)->snapshot = &raft->snapshot;
}

void raft_on_snapshot(raft_t *raft, uint64_t now_us, raft_id_t from, const Lp__SnapshotChunk *chunk)
{
	raft_snapshot_t *incoming = &raft->incoming;

	if (chunk->term < raft->term) {
		reply_snapshot(raft, from, 0, false);
		return;
	}
	accept_leader(raft, now_us, chunk->term, from);
	if (chunk->last_index <= raft->commit_index) {
		reply_snapshot(raft, from, 0, true);
		return;
	}
	/* A chunk of another snapshot, or one sent in another term, restarts the transfer: the
	 * leaders of two terms may serialise the same state differently. */
	if (chunk->last_index != incoming->index || chunk->last_term != incoming->term ||
	    chunk->term != raft->incoming_leader_term) {
		raft->incoming_leader_term = chunk->term;
		talloc_free(incoming->data);
		*incoming = (raft_snapshot_t){.index = chunk->last_index, .term = chunk->last_term};
	}
	if (chunk->offset != incoming->length ||
	    !raft_config_from_message(&incoming->config, chunk->config)) {
		reply_snapshot(raft, from, incoming->length, false);
		return;
	}
	incoming->data = talloc_realloc(raft, incoming->data, uint8_t,
					incoming->length + chunk->data.len + 1);
	if (chunk->data.len > 0)
		memcpy(incoming->data + incoming->length, chunk->data.data, chunk->data.len);
	incoming->length += chunk->data.len;
	if (chunk->done)
		install_incoming_snapshot(raft);
	reply_snapshot(raft, from, incoming->length, chunk->done);
}
