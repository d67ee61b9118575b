#include "claims.h"

#include <talloc.h>

#include "claims_internal.h"

static int destroy_claims(claims_t *claims)
{
	claims_batches_free(claims);
	for (size_t i = 0; i < claims->set_count; i++)
		claims_set_free(claims->sets[i]);
	g_hash_table_unref(claims->attempts);
	g_hash_table_unref(claims->sequences);
	claims_store_finish(&claims->store);
	return 0;
}

claims_t *claims_create(void *parent, const claims_config_t *config, claims_send_fn send,
			void *send_arg)
{
	claims_t *claims = talloc_zero(parent, claims_t);

	claims->config = *config;
	claims->send = send;
	claims->send_arg = send_arg;
	claims->memory_lost = !config->fresh_cluster;
	claims->next_seq = 1;
	claims->next_sync_id = 1;
	claims->sequences = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	claims->attempts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, claims_attempt_free);
	claims_store_init(&claims->store);
	talloc_set_destructor(claims, destroy_claims);
	return claims;
}

void claims_destroy(claims_t *claims)
{
	talloc_free(claims);
}

void claims_set_members(claims_t *claims, uint64_t epoch, const claims_member_t *members,
			size_t count, uint64_t now_us)
{
	claims_member_set_t *current = claims_current_set(claims);
	claims_member_set_t *set;

	claims->now_us = now_us;
	if (current != NULL && epoch <= current->epoch)
		return;
	/* Send the queued messages now, because they must carry the old member epoch. */
	claims_flush(claims);
	if (current == NULL)
		claims->started_us = now_us;
	set = claims_set_new(epoch, now_us);
	for (size_t i = 0; i < count; i++)
		claims_set_add(set, members[i].node_id, members[i].data_centre);
	claims->sets[claims->set_count++] = set;
	set->authoritative = current == NULL && claims->config.fresh_cluster;
	claims_update_authority(claims);
	claims_sync_tick(claims);
}

static void receive_replies(claims_t *claims, uint32_t from, const Lp__ClaimReplyBatch *batch)
{
	claims_known_incarnation_t known[CLAIMS_MEMBERS_MAX];
	size_t count = MIN(batch->n_known, (size_t)CLAIMS_MEMBERS_MAX);

	for (size_t i = 0; i < count; i++)
		known[i] = (claims_known_incarnation_t){
			.node_id = batch->known[i]->node_id,
			.incarnation = batch->known[i]->incarnation,
		};
	for (size_t i = 0; i < batch->n_replies; i++)
		claims_coordinator_reply(claims, from, batch->member_epoch, batch->incarnation,
					 known, count, batch->replies[i]);
}

void claims_receive(claims_t *claims, uint32_t from, const Lp__Envelope *envelope, uint64_t now_us)
{
	claims->now_us = now_us;
	if (envelope->body_case == LP__ENVELOPE__BODY_CLAIMS) {
		const Lp__ClaimBatch *batch = envelope->claims;

		for (size_t i = 0; i < batch->n_requests; i++)
			claims_replica_request(claims, from, batch->member_epoch,
					       batch->requests[i]);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_REPLIES) {
		receive_replies(claims, from, envelope->claim_replies);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_SYNC) {
		claims_sync_request(claims, from, envelope->claim_sync);
	} else if (envelope->body_case == LP__ENVELOPE__BODY_CLAIM_SYNC_REPLY) {
		claims_sync_reply(claims, from, envelope->claim_sync_reply);
	}
}

void claims_tick(claims_t *claims, uint64_t now_us)
{
	claims->now_us = now_us;
	claims_update_authority(claims);
	claims_sync_tick(claims);
	claims_coordinator_tick(claims);
	if (now_us > claims->config.retention_us)
		claims_store_expire_some(&claims->store, now_us - claims->config.retention_us);
}

size_t claims_replica_set(const claims_t *claims, const char *key, const char *home,
			  uint32_t *node_ids)
{
	const claims_member_set_t *set = claims_current_set(claims);

	return set != NULL ? claims_set_replicas(set, key, home, node_ids) : 0;
}

size_t claims_count(const claims_t *claims)
{
	return g_hash_table_size(claims->store.by_key);
}

bool claims_syncing(const claims_t *claims)
{
	const claims_member_set_t *set = claims_current_set(claims);

	return set == NULL || claims->memory_lost || !set->authoritative;
}
