#include "raft.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "raft_internal.h"

/* A learner may start an election after this many minimum election timeouts without a message from
 * a leader. */
#define LEARNER_CAMPAIGN_TIMEOUTS 5
/* Highest term and index accepted in received messages; a message with a higher one is dropped. A
 * damaged value near UINT64_MAX would make the next term or index wrap around to 0. */
#define TERM_INDEX_MAX (UINT64_MAX / 4)

/* xorshift64* generator; its seed makes election timeouts repeatable in tests. */
static uint64_t next_random(raft_t *raft)
{
	raft->random_state ^= raft->random_state >> 12;
	raft->random_state ^= raft->random_state << 25;
	raft->random_state ^= raft->random_state >> 27;
	return raft->random_state * 0x2545f4914f6cdd1dULL;
}

raft_action_t *raft_queue_action(raft_t *raft, raft_action_type_t type)
{
	raft_action_t *action = talloc_zero(raft, raft_action_t);

	action->type = type;
	TAILQ_INSERT_TAIL(&raft->actions, action, link);
	return action;
}

raft_action_t *raft_pop_action(raft_t *raft)
{
	raft_action_t *action = TAILQ_FIRST(&raft->actions);

	if (action != NULL)
		TAILQ_REMOVE(&raft->actions, action, link);
	return action;
}

static Lp__ReplicaId *replica_id_to_message(void *parent, raft_id_t id)
{
	Lp__ReplicaId *message = talloc(parent, Lp__ReplicaId);

	lp__replica_id__init(message);
	message->node_id = id.node;
	message->replica_id = id.replica;
	return message;
}

Lp__RaftMessage *raft_queue_message(raft_t *raft, raft_id_t to, bool after_sync)
{
	raft_action_t *action = raft_queue_action(raft, RAFT_SEND);
	Lp__RaftMessage *message = talloc(action, Lp__RaftMessage);

	lp__raft_message__init(message);
	message->from = replica_id_to_message(message, raft->options.self);
	message->to = replica_id_to_message(message, to);
	action->send.message = message;
	action->send.after_sync = after_sync;
	return message;
}

raft_t *raft_create(void *parent, const raft_options_t *options)
{
	raft_t *raft = talloc_zero(parent, raft_t);

	raft->options = *options;
	TAILQ_INIT(&raft->actions);
	raft->random_state = options->seed * 0x9e3779b97f4a7c15ULL + 0x1234567887654321ULL;
	if (raft->random_state == 0)
		raft->random_state = 1;
	raft->disk_writable = true;
	return raft;
}

void raft_restore_vote(raft_t *raft, uint64_t term, raft_id_t vote)
{
	raft->term = term;
	raft->voted_for = vote;
}

void raft_reset_election_timeout(raft_t *raft, uint64_t now_us)
{
	uint64_t min_us = raft->options.election_min_us;

	raft->election_deadline_us = now_us + min_us + next_random(raft) % (min_us + 1);
}

/* Sets the time at which the next round of pre-votes starts. It is less than an election timeout,
 * because a round fails only when a voter had heard from the old leader shortly before. */
static void reset_pre_vote_timeout(raft_t *raft, uint64_t now_us)
{
	uint64_t quarter_us = raft->options.election_min_us / 4;

	raft->election_deadline_us = now_us + quarter_us + next_random(raft) % (quarter_us + 1);
}

/* Sets the time at which a candidate gives its election up. The votes need two writes, of the
 * candidate's own vote and of the voter's; a shorter time than this would end each election before
 * the votes arrive while a write takes some 100 ms. */
static void reset_candidate_timeout(raft_t *raft, uint64_t now_us)
{
	uint64_t min_us = raft->options.election_min_us;

	raft->election_deadline_us = now_us + min_us + next_random(raft) % (min_us / 2 + 1);
}

void raft_start(raft_t *raft, uint64_t now_us)
{
	raft->leader_contact_us = now_us;
	raft_reset_election_timeout(raft, now_us);
}

static void save_vote(raft_t *raft)
{
	raft_action_t *action = raft_queue_action(raft, RAFT_SAVE_VOTE);

	raft->vote_unsynced = true;
	action->save_vote.term = raft->term;
	action->save_vote.vote = raft->voted_for;
}

void raft_become_follower(raft_t *raft, uint64_t now_us, uint64_t term, raft_id_t leader)
{
	if (raft->role != RAFT_FOLLOWER)
		raft_reset_election_timeout(raft, now_us);
	if (term > raft->term) {
		raft->term = term;
		raft->voted_for = (raft_id_t){0};
		save_vote(raft);
	}
	raft->role = RAFT_FOLLOWER;
	raft->leader = leader;
}

void raft_set_commit(raft_t *raft, uint64_t index)
{
	if (index <= raft->commit_index)
		return;
	raft->commit_index = index;
	raft_queue_action(raft, RAFT_COMMIT)->commit = index;
}

static bool may_vote(const raft_t *raft)
{
	return raft->options.has_disk && raft->disk_writable;
}

/* True when this replica is allowed to start an election: voters always, learners after a long time
 * without a leader. A learner can hold the latest log, and a promotion that it has not received yet
 * can already require its vote, so that no voter wins without it. Like any candidate, it needs the
 * votes of a majority of the voters. */
static bool may_campaign(const raft_t *raft, uint64_t now_us)
{
	const raft_member_t *self = raft_config_find(&raft->config, raft->options.self);

	if (self == NULL || !may_vote(raft))
		return false;
	return self->voter ||
	       now_us > raft->leader_contact_us +
				LEARNER_CAMPAIGN_TIMEOUTS * raft->options.election_min_us;
}

/* True while this replica must not vote for another replica, because its own lease or that of
 * another leader may still be valid. */
static bool heard_leader_recently(const raft_t *raft, uint64_t now_us)
{
	return raft->role == RAFT_LEADER ||
	       now_us < raft->leader_contact_us + raft->options.election_min_us;
}

static bool has_vote_majority(const raft_t *raft)
{
	size_t voters = 0;
	size_t granted = 0;

	for (size_t i = 0; i < raft->config.count; i++) {
		if (!raft->config.members[i].voter)
			continue;
		voters++;
		granted += raft->votes_granted[i];
	}
	return granted > voters / 2;
}

static void request_votes(raft_t *raft, bool pre_vote)
{
	uint64_t last_term = 0;

	raft_log_term(raft, raft_last_index(raft), &last_term);
	memset(raft->votes_granted, 0, sizeof(raft->votes_granted));
	for (size_t i = 0; i < raft->config.count; i++) {
		const raft_member_t *member = &raft->config.members[i];
		Lp__RaftMessage *message;
		Lp__VoteRequest *vote;

		if (raft_id_equal(member->id, raft->options.self)) {
			raft->votes_granted[i] = true;
			continue;
		}
		if (!member->voter)
			continue;
		message = raft_queue_message(raft, member->id, !pre_vote);
		vote = talloc(message, Lp__VoteRequest);
		lp__vote_request__init(vote);
		vote->term = pre_vote ? raft->term + 1 : raft->term;
		vote->pre_vote = pre_vote;
		vote->last_index = raft_last_index(raft);
		vote->last_term = last_term;
		message->body_case = LP__RAFT_MESSAGE__BODY_VOTE;
		message->vote = vote;
	}
}

static void start_election(raft_t *raft, uint64_t now_us)
{
	raft->role = RAFT_CANDIDATE;
	raft->term++;
	raft->voted_for = raft->options.self;
	save_vote(raft);
	reset_candidate_timeout(raft, now_us);
	request_votes(raft, false);
	/* A replica that is the only voter becomes leader in raft_mark_synced_to(), when its own
	 * vote is durable. */
}

static void start_pre_vote(raft_t *raft, uint64_t now_us)
{
	raft->role = RAFT_PRE_CANDIDATE;
	raft->leader = (raft_id_t){0};
	reset_pre_vote_timeout(raft, now_us);
	request_votes(raft, true);
	if (has_vote_majority(raft))
		start_election(raft, now_us);
}

void raft_tick(raft_t *raft, uint64_t now_us)
{
	if (raft->role == RAFT_LEADER) {
		raft_leader_tick(raft, now_us);
		return;
	}
	if (now_us < raft->election_deadline_us)
		return;
	if (may_campaign(raft, now_us)) {
		start_pre_vote(raft, now_us);
	} else {
		raft->leader = (raft_id_t){0};
		raft_reset_election_timeout(raft, now_us);
	}
}

static bool candidate_log_is_up_to_date(const raft_t *raft, const Lp__VoteRequest *vote)
{
	uint64_t last_term = 0;

	raft_log_term(raft, raft_last_index(raft), &last_term);
	return vote->last_term > last_term ||
	       (vote->last_term == last_term && vote->last_index >= raft_last_index(raft));
}

static void reply_vote(raft_t *raft, raft_id_t to, uint64_t term, bool pre_vote, bool granted)
{
	/* Only a vote that was granted is a promise, which must be durable first. */
	Lp__RaftMessage *message = raft_queue_message(raft, to, granted && !pre_vote);
	Lp__VoteReply *reply = talloc(message, Lp__VoteReply);

	lp__vote_reply__init(reply);
	reply->term = term;
	reply->pre_vote = pre_vote;
	reply->granted = granted;
	message->body_case = LP__RAFT_MESSAGE__BODY_VOTE_REPLY;
	message->vote_reply = reply;
}

static void on_vote_request(raft_t *raft, uint64_t now_us, raft_id_t from,
			    const Lp__VoteRequest *vote)
{
	bool granted;

	if (!may_vote(raft))
		return;
	if (vote->term < raft->term || heard_leader_recently(raft, now_us)) {
		reply_vote(raft, from, raft->term, vote->pre_vote, false);
		return;
	}
	if (vote->pre_vote) {
		granted = vote->term > raft->term && candidate_log_is_up_to_date(raft, vote);
		reply_vote(raft, from, granted ? vote->term : raft->term, true, granted);
		return;
	}
	if (vote->term > raft->term)
		raft_become_follower(raft, now_us, vote->term, (raft_id_t){0});
	granted = (raft->voted_for.node == 0 || raft_id_equal(raft->voted_for, from)) &&
		  candidate_log_is_up_to_date(raft, vote);
	if (granted && raft->voted_for.node == 0) {
		raft->voted_for = from;
		raft->role = RAFT_FOLLOWER;
		save_vote(raft);
		raft_reset_election_timeout(raft, now_us);
	}
	reply_vote(raft, from, raft->term, false, granted);
}

static void on_vote_reply(raft_t *raft, uint64_t now_us, raft_id_t from, const Lp__VoteReply *reply)
{
	uint64_t expected = raft->role == RAFT_PRE_CANDIDATE ? raft->term + 1 : raft->term;

	if (!reply->granted) {
		if (reply->term > raft->term)
			raft_become_follower(raft, now_us, reply->term, (raft_id_t){0});
		return;
	}
	if (raft->role != (reply->pre_vote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE) ||
	    reply->term != expected)
		return;
	for (size_t i = 0; i < raft->config.count; i++) {
		if (raft_id_equal(raft->config.members[i].id, from))
			raft->votes_granted[i] = true;
	}
	if (!has_vote_majority(raft))
		return;
	if (reply->pre_vote)
		start_election(raft, now_us);
	else
		raft_become_leader(raft, now_us);
}

/* True when no term or index that this replica would adopt from the message exceeds TERM_INDEX_MAX.
 */
static bool is_within_term_index_max(const Lp__RaftMessage *message)
{
	uint64_t highest = 0;

	switch (message->body_case) {
	case LP__RAFT_MESSAGE__BODY_VOTE:
		highest = message->vote->term;
		break;
	case LP__RAFT_MESSAGE__BODY_VOTE_REPLY:
		highest = message->vote_reply->term;
		break;
	case LP__RAFT_MESSAGE__BODY_APPEND:
		highest = MAX(message->append->term, message->append->prev_index);
		break;
	case LP__RAFT_MESSAGE__BODY_APPEND_REPLY:
		highest = message->append_reply->term;
		break;
	case LP__RAFT_MESSAGE__BODY_SNAPSHOT:
		highest = MAX(message->snapshot->term, message->snapshot->last_index);
		break;
	case LP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		highest = message->snapshot_reply->term;
		break;
	case LP__RAFT_MESSAGE__BODY__NOT_SET:
	case _LP__RAFT_MESSAGE__BODY__CASE_IS_INT_SIZE:
		break;
	}
	return highest <= TERM_INDEX_MAX;
}

void raft_receive(raft_t *raft, uint64_t now_us, const Lp__RaftMessage *message)
{
	raft_id_t from;

	if (message->from == NULL || message->to == NULL ||
	    message->to->node_id != raft->options.self.node ||
	    message->to->replica_id != raft->options.self.replica ||
	    !is_within_term_index_max(message))
		return;
	from = (raft_id_t){message->from->node_id, message->from->replica_id};
	switch (message->body_case) {
	case LP__RAFT_MESSAGE__BODY_VOTE:
		on_vote_request(raft, now_us, from, message->vote);
		break;
	case LP__RAFT_MESSAGE__BODY_VOTE_REPLY:
		on_vote_reply(raft, now_us, from, message->vote_reply);
		break;
	case LP__RAFT_MESSAGE__BODY_APPEND:
		raft_on_append(raft, now_us, from, message->append);
		break;
	case LP__RAFT_MESSAGE__BODY_APPEND_REPLY:
		raft_on_append_reply(raft, now_us, from, message->append_reply);
		break;
	case LP__RAFT_MESSAGE__BODY_SNAPSHOT:
		raft_on_snapshot(raft, now_us, from, message->snapshot);
		break;
	case LP__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		raft_on_snapshot_reply(raft, now_us, from, message->snapshot_reply);
		break;
	case LP__RAFT_MESSAGE__BODY__NOT_SET:
	case _LP__RAFT_MESSAGE__BODY__CASE_IS_INT_SIZE:
		break;
	}
}

void raft_mark_synced_to(raft_t *raft, uint64_t index, bool votes, uint64_t now_us)
{
	if (!raft->disk_writable)
		return;
	/* A snapshot may have replaced the log while the entries were written. */
	raft->synced_index = MIN(index, raft_last_index(raft));
	if (votes)
		raft->vote_unsynced = false;
	if (raft->role == RAFT_LEADER)
		raft_leader_advance_commit(raft, now_us);
	else if (votes && raft->role == RAFT_CANDIDATE && has_vote_majority(raft))
		raft_become_leader(raft, now_us);
}

void raft_mark_synced(raft_t *raft, uint64_t now_us)
{
	raft_mark_synced_to(raft, raft_last_index(raft), true, now_us);
}

void raft_mark_applied(raft_t *raft, uint64_t index)
{
	raft->applied_index = index;
}

void raft_set_disk_writable(raft_t *raft, uint64_t now_us, bool writable)
{
	raft->disk_writable = writable;
	if (!writable && raft->role != RAFT_FOLLOWER)
		raft_become_follower(raft, now_us, raft->term, (raft_id_t){0});
}

raft_role_t raft_role(const raft_t *raft)
{
	return raft->role;
}

uint64_t raft_term(const raft_t *raft)
{
	return raft->term;
}

raft_id_t raft_voted_for(const raft_t *raft)
{
	return raft->voted_for;
}

raft_id_t raft_leader(const raft_t *raft)
{
	return raft->leader;
}

uint64_t raft_committed(const raft_t *raft)
{
	return raft->commit_index;
}

const raft_config_t *raft_config(const raft_t *raft)
{
	return &raft->config;
}

const raft_config_t *raft_base_config(const raft_t *raft)
{
	return &raft->base_config;
}

uint64_t raft_base_term(const raft_t *raft)
{
	return raft->base_term;
}

uint64_t raft_leader_contact_us(const raft_t *raft)
{
	return raft->leader_contact_us;
}

uint64_t raft_config_index(const raft_t *raft)
{
	return raft->config_index;
}
