#include "claims_internal.h"

#include "clock.h"

claims_owner_t claims_owner_from(const Lp__ClaimOwner *owner)
{
	return (claims_owner_t){
		.node_id = owner->node_id,
		.incarnation = owner->incarnation,
		.seq = owner->seq,
	};
}

void claims_owner_to(const claims_owner_t *owner, Lp__ClaimOwner *message)
{
	lp__claim_owner__init(message);
	message->node_id = owner->node_id;
	message->incarnation = owner->incarnation;
	message->seq = owner->seq;
}

/*
 * Checks and stores the sequence number of a coordinator's request. Numbers must rise: a connection
 * keeps the order of messages, and no message of an older connection arrives after one of a newer
 * connection. An ACQUIRE whose number is not above that of the latest ACQUIRE or RELEASE is
 * rejected, because its RELEASE may have been handled already and the claim would then remain.
 * @return false when the request is to be rejected
 */
static bool advance_sequence(claims_t *claims, const claims_owner_t *owner)
{
	claims_sequence_t *sequence =
		g_hash_table_lookup(claims->sequences, GUINT_TO_POINTER(owner->node_id));

	if (sequence == NULL) {
		sequence = g_new0(claims_sequence_t, 1);
		g_hash_table_insert(claims->sequences, GUINT_TO_POINTER(owner->node_id), sequence);
	}
	if (sequence->incarnation != owner->incarnation) {
		sequence->incarnation = owner->incarnation;
		sequence->last_seq = 0;
	}
	if (owner->seq <= sequence->last_seq)
		return false;
	sequence->last_seq = owner->seq;
	return true;
}

static Lp__ClaimStatus handle_acquire(claims_t *claims, uint64_t epoch,
				      const Lp__ClaimRequest *request, const claims_owner_t *owner,
				      claims_record_t **record)
{
	const claims_member_set_t *set = claims_current_set(claims);
	uint32_t ids[CLAIMS_REPLICAS_MAX];
	size_t count;

	if (!advance_sequence(claims, owner) || set == NULL || set->epoch != epoch)
		return LP__CLAIM_STATUS__CLAIM_ABSTAIN;
	count = claims_set_replicas(set, request->key, request->home, ids);
	if (!claims_ids_contain(ids, count, claims->config.node_id))
		return LP__CLAIM_STATUS__CLAIM_ABSTAIN;
	*record = claims_store_find(&claims->store, request->key);
	if (*record != NULL)
		return LP__CLAIM_STATUS__CLAIM_HELD;
	if (!claims_is_authoritative(claims, request->key, request->home))
		return LP__CLAIM_STATUS__CLAIM_ABSTAIN;
	claims_store_add_holder(&claims->store, request->key, request->home, owner, claims->now_us);
	return LP__CLAIM_STATUS__CLAIM_GRANTED;
}

static void handle_release(claims_t *claims, const Lp__ClaimRequest *request,
			   const claims_owner_t *owner)
{
	claims_record_t *record = claims_store_find(&claims->store, request->key);

	advance_sequence(claims, owner);
	if (record != NULL)
		claims_store_remove_holder(&claims->store, record, owner);
}

static void handle_record(claims_t *claims, const Lp__ClaimRequest *request,
			  const claims_owner_t *owner)
{
	uint64_t age_us = MIN(request->age_ms * US_PER_MS, claims->now_us);
	claims_holder_t *holder;

	if (request->outcome == NULL || age_us >= claims->config.retention_us)
		return;
	holder = claims_store_add_holder(&claims->store, request->key, request->home, owner,
					 claims->now_us - age_us);
	if (holder->outcome != NULL)
		return;
	holder->outcome = claims_outcome_copy(request->outcome, claims->config.outcome_limit);
	claims_store_renew_serial(&claims->store, claims_store_find(&claims->store, request->key));
}

static Lp__ClaimStatus handle_request(claims_t *claims, uint64_t epoch,
				      const Lp__ClaimRequest *request, claims_record_t **record)
{
	claims_owner_t owner = claims_owner_from(request->owner);

	switch (request->op) {
	case LP__CLAIM_OP__CLAIM_ACQUIRE:
		return handle_acquire(claims, epoch, request, &owner, record);
	case LP__CLAIM_OP__CLAIM_RELEASE:
		handle_release(claims, request, &owner);
		return LP__CLAIM_STATUS__CLAIM_GRANTED;
	case LP__CLAIM_OP__CLAIM_RECORD:
		handle_record(claims, request, &owner);
		return LP__CLAIM_STATUS__CLAIM_GRANTED;
	case _LP__CLAIM_OP_IS_INT_SIZE:
		break;
	}
	return LP__CLAIM_STATUS__CLAIM_ABSTAIN;
}

void claims_replica_request(claims_t *claims, uint32_t from, uint64_t epoch,
			    const Lp__ClaimRequest *request)
{
	Lp__ClaimReply reply = LP__CLAIM_REPLY__INIT;
	Lp__ClaimOwner holder = LP__CLAIM_OWNER__INIT;
	claims_record_t *record = NULL;

	if (request->owner == NULL)
		return;
	reply.key = request->key;
	reply.op = request->op;
	reply.owner = request->owner;
	reply.status = handle_request(claims, epoch, request, &record);
	if (reply.status == LP__CLAIM_STATUS__CLAIM_HELD) {
		const claims_holder_t *answer = claims_record_latest_outcome(record);

		claims_owner_to(&g_array_index(record->holders, claims_holder_t, 0).owner, &holder);
		reply.holder = &holder;
		reply.has_outcome = answer != NULL;
		reply.outcome = answer != NULL ? answer->outcome : NULL;
	}
	if (from == claims->config.node_id)
		claims_coordinator_reply(claims, from, epoch, claims->config.incarnation,
					 claims->known_incarnations,
					 claims->known_incarnation_count, &reply);
	else
		claims_queue_reply(claims, from, &reply);
}
