#define G_LOG_DOMAIN "replica"

#include <string.h>

#include <talloc.h>

#include "clock.h"
#include "message.h"
#include "replica_internal.h"

/* Delay before a proposal is sent again that was rejected or could not be sent. */
#define PROPOSAL_RETRY_US (50 * US_PER_MS)
/* Maximum size of a command. A larger one might not fit into an envelope of 1 MiB, and would then
 * block all later log entries. */
#define COMMAND_BYTES_MAX ((size_t)768 * 1024)
/* Timeout of a proposal that another node forwarded to this one. By then, the other node has given
 * up waiting for the reply. */
#define FORWARDED_TIMEOUT_US (60 * US_PER_S)

static int destroy_proposal(proposal_t *proposal)
{
	lp__command__free_unpacked(proposal->command, NULL);
	if (proposal->result != NULL)
		lp__result__free_unpacked(proposal->result, NULL);
	return 0;
}

static proposal_t *new_proposal(replica_t *replica, const Lp__Command *command)
{
	proposal_t *proposal = talloc_zero(replica, proposal_t);

	proposal->command = message_copy(&command->base);
	proposal->idempotent = command->op_id != NULL && command->op_id[0] != '\0';
	talloc_set_destructor(proposal, destroy_proposal);
	return proposal;
}

static void reject_too_large(proposal_t *proposal)
{
	Lp__Result result = LP__RESULT__INIT;

	result.code = LP__RESULT_CODE__RESULT_INVALID;
	result.message = (char *)"the command is larger than 768 KiB";
	proposal->result = message_copy(&result.base);
	proposal->state = PROPOSAL_ANSWERED;
}

void replica_propose(replica_t *replica, const Lp__Command *command, uint32_t timeout_ms,
		     replica_done_fn done, void *arg)
{
	proposal_t *proposal = new_proposal(replica, command);

	proposal->deadline_us = clock_now_us() + timeout_ms * US_PER_MS;
	proposal->done = done;
	proposal->arg = arg;
	if (lp__command__get_packed_size(command) > COMMAND_BYTES_MAX)
		reject_too_large(proposal);
	TAILQ_INSERT_TAIL(&replica->queued, proposal, link);
	replica_schedule_flush(replica);
}

static void reply_to_origin(replica_t *replica, uint32_t node, uint64_t seq,
			    const Lp__Result *result)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__ProposeReply reply = LP__PROPOSE_REPLY__INIT;

	reply.seq = seq;
	reply.result = (Lp__Result *)result;
	envelope.body_case = LP__ENVELOPE__BODY_PROPOSE_REPLY;
	envelope.propose_reply = &reply;
	replica->send(replica->send_arg, node, &envelope);
}

/* Reports the result of a proposal in list and frees the proposal. */
static void complete(replica_t *replica, struct proposal_list *list, proposal_t *proposal,
		     const Lp__Result *result)
{
	TAILQ_REMOVE(list, proposal, link);
	if (proposal->origin_node != 0)
		reply_to_origin(replica, proposal->origin_node, proposal->origin_seq, result);
	else
		proposal->done(proposal->arg, result);
	talloc_free(proposal);
}

static void complete_with_code(replica_t *replica, struct proposal_list *list, proposal_t *proposal,
			       Lp__ResultCode code, const char *message)
{
	Lp__Result result = LP__RESULT__INIT;

	result.code = code;
	result.message = (char *)message;
	complete(replica, list, proposal, &result);
}

/* Adds a proposal to the appended ones, which are sorted by index. Two can have the same index: the
 * entry of the earlier one was overwritten in this log but may still be committed by another
 * leader. */
static void insert_by_index(replica_t *replica, proposal_t *proposal)
{
	proposal_t *before = TAILQ_LAST(&replica->appended, proposal_list);

	while (before != NULL && before->index > proposal->index)
		before = TAILQ_PREV(before, proposal_list, link);
	if (before != NULL)
		TAILQ_INSERT_AFTER(&replica->appended, before, proposal, link);
	else
		TAILQ_INSERT_HEAD(&replica->appended, proposal, link);
}

static bool append_to_log(replica_t *replica, proposal_t *proposal)
{
	size_t length = lp__command__get_packed_size(proposal->command);
	uint8_t *packed = talloc_array(replica, uint8_t, length + 1);

	lp__command__pack(proposal->command, packed);
	proposal->index =
		raft_propose(replica->raft, LP__ENTRY_TYPE__ENTRY_COMMAND, packed, length);
	talloc_free(packed);
	if (proposal->index == 0)
		return false;
	proposal->term = raft_term(replica->raft);
	proposal->state = PROPOSAL_APPENDED;
	insert_by_index(replica, proposal);
	return true;
}

static void forward_to_leader(replica_t *replica, proposal_t *proposal, uint32_t leader,
			      uint64_t now_us)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__Propose propose = LP__PROPOSE__INIT;

	propose.seq = replica->next_seq++;
	propose.command = proposal->command;
	envelope.body_case = LP__ENVELOPE__BODY_PROPOSE;
	envelope.propose = &propose;
	if (replica->send(replica->send_arg, leader, &envelope) != 0) {
		proposal->retry_us = now_us + PROPOSAL_RETRY_US;
		return;
	}
	proposal->seq = propose.seq;
	proposal->forwarded_to = leader;
	proposal->state = PROPOSAL_FORWARDED;
}

static void complete_answered(replica_t *replica)
{
	proposal_t *proposal;
	bool found;

	/* Start again after each callback, because it may change the list. */
	do {
		found = false;
		TAILQ_FOREACH (proposal, &replica->queued, link) {
			if (proposal->state == PROPOSAL_ANSWERED &&
			    proposal->index <= replica->applied_index) {
				found = true;
				complete(replica, &replica->queued, proposal, proposal->result);
				break;
			}
		}
	} while (found);
}

void replica_propose_queued(replica_t *replica, uint64_t now_us)
{
	uint32_t leader = raft_leader(replica->raft).node;
	proposal_t *proposal;
	proposal_t *next;

	complete_answered(replica);
	for (proposal = TAILQ_FIRST(&replica->queued); proposal != NULL; proposal = next) {
		next = TAILQ_NEXT(proposal, link);
		/* Also send the proposal to the new leader: its operation id makes a second append
		 * harmless. */
		if (proposal->state == PROPOSAL_FORWARDED && proposal->idempotent && leader != 0 &&
		    leader != proposal->forwarded_to) {
			proposal->state = PROPOSAL_QUEUED;
			proposal->maybe_applied = true;
		}
		if (proposal->state != PROPOSAL_QUEUED || now_us < proposal->retry_us)
			continue;
		if (raft_role(replica->raft) == RAFT_LEADER) {
			TAILQ_REMOVE(&replica->queued, proposal, link);
			append_to_log(replica, proposal);
		} else if (leader != 0 && leader != replica->self.node) {
			forward_to_leader(replica, proposal, leader, now_us);
		}
	}
}

/* Handles a proposal at whose index another entry was committed, so that the command was certainly
 * not applied there. Proposals of this node are queued again; others fail. */
static void on_entry_overwritten(replica_t *replica, proposal_t *proposal)
{
	if (proposal->origin_node != 0) {
		complete_with_code(replica, &replica->appended, proposal,
				   LP__RESULT_CODE__RESULT_UNAVAILABLE, "the leader changed");
		return;
	}
	TAILQ_REMOVE(&replica->appended, proposal, link);
	proposal->state = PROPOSAL_QUEUED;
	TAILQ_INSERT_TAIL(&replica->queued, proposal, link);
	replica_schedule_flush(replica);
}

void replica_complete_proposals(replica_t *replica, const Lp__LogEntry *entry,
				const Lp__Result *result)
{
	proposal_t *proposal;

	while ((proposal = TAILQ_FIRST(&replica->appended)) != NULL &&
	       proposal->index <= entry->index) {
		if (proposal->index == entry->index && proposal->term == entry->term)
			complete(replica, &replica->appended, proposal, result);
		else
			on_entry_overwritten(replica, proposal);
	}
	complete_answered(replica);
}

void replica_complete_skipped(replica_t *replica, uint64_t index)
{
	proposal_t *proposal;

	while ((proposal = TAILQ_FIRST(&replica->appended)) != NULL && proposal->index <= index)
		complete_with_code(replica, &replica->appended, proposal,
				   LP__RESULT_CODE__RESULT_UNKNOWN, "the leader changed");
	complete_answered(replica);
}

static void expire_proposal(replica_t *replica, struct proposal_list *list, proposal_t *proposal)
{
	switch (proposal->state) {
	case PROPOSAL_QUEUED:
		if (proposal->maybe_applied)
			break;
		complete_with_code(replica, list, proposal, LP__RESULT_CODE__RESULT_UNAVAILABLE,
				   "no leader");
		return;
	case PROPOSAL_ANSWERED:
		complete(replica, list, proposal, proposal->result);
		return;
	case PROPOSAL_FORWARDED:
	case PROPOSAL_APPENDED:
		break;
	}
	complete_with_code(replica, list, proposal, LP__RESULT_CODE__RESULT_UNKNOWN,
			   "no answer of the group in time");
}

static void expire_due_proposals(replica_t *replica, struct proposal_list *list, uint64_t now_us)
{
	proposal_t *proposal;

	do {
		TAILQ_FOREACH (proposal, list, link) {
			if (proposal->deadline_us <= now_us) {
				expire_proposal(replica, list, proposal);
				break;
			}
		}
	} while (proposal != NULL);
}

void replica_propose_tick(replica_t *replica, uint64_t now_us)
{
	expire_due_proposals(replica, &replica->queued, now_us);
	expire_due_proposals(replica, &replica->appended, now_us);
	if (!TAILQ_EMPTY(&replica->queued))
		replica_schedule_flush(replica);
}

void replica_on_propose(replica_t *replica, uint32_t from, const Lp__Propose *propose)
{
	proposal_t *proposal;
	Lp__Result result = LP__RESULT__INIT;

	if (propose->command == NULL)
		return;
	proposal = new_proposal(replica, propose->command);
	proposal->origin_node = from;
	proposal->origin_seq = propose->seq;
	proposal->deadline_us = clock_now_us() + FORWARDED_TIMEOUT_US;
	if (append_to_log(replica, proposal)) {
		replica_schedule_flush(replica);
		return;
	}
	talloc_free(proposal);
	result.code = LP__RESULT_CODE__RESULT_UNAVAILABLE;
	result.message = (char *)"not the leader";
	reply_to_origin(replica, from, propose->seq, &result);
}

void replica_on_propose_reply(replica_t *replica, const Lp__ProposeReply *reply)
{
	proposal_t *proposal;

	TAILQ_FOREACH (proposal, &replica->queued, link) {
		if (proposal->state == PROPOSAL_FORWARDED && proposal->seq == reply->seq)
			break;
	}
	if (proposal == NULL || reply->result == NULL)
		return;
	if (reply->result->code == LP__RESULT_CODE__RESULT_UNAVAILABLE) {
		proposal->state = PROPOSAL_QUEUED;
		proposal->retry_us = clock_now_us() + PROPOSAL_RETRY_US;
		return;
	}
	proposal->result = message_copy(&reply->result->base);
	proposal->index = reply->result->index;
	proposal->state = PROPOSAL_ANSWERED;
	complete_answered(replica);
}

void replica_abort_proposals(replica_t *replica)
{
	proposal_t *proposal;

	while ((proposal = TAILQ_FIRST(&replica->queued)) != NULL)
		expire_proposal(replica, &replica->queued, proposal);
	while ((proposal = TAILQ_FIRST(&replica->appended)) != NULL)
		expire_proposal(replica, &replica->appended, proposal);
}
