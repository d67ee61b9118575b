#include "claims_internal.h"

/* A batch is sent at once when it has at least this many bytes. The value is well below the frame
 * limit of the peer transport. */
#define BATCH_BYTES (256U << 10)

static claims_batch_t *find_or_add_batch(claims_t *claims, uint32_t node_id)
{
	claims_batch_t *batch;

	for (size_t i = 0; i < claims->batch_count; i++) {
		if (claims->batches[i].node_id == node_id)
			return &claims->batches[i];
	}
	if (claims->batch_count == CLAIMS_MEMBERS_MAX)
		return NULL;
	batch = &claims->batches[claims->batch_count++];
	*batch = (claims_batch_t){
		.node_id = node_id,
		.requests = g_ptr_array_new(),
		.replies = g_ptr_array_new(),
	};
	return batch;
}

/* Makes a deep copy of a message by packing and unpacking it. The caller frees the copy. */
static void *copy_message_packed(const ProtobufCMessage *message, size_t *size)
{
	uint8_t *packed;
	void *copy;

	*size = protobuf_c_message_get_packed_size(message);
	packed = g_malloc(*size + 1);
	protobuf_c_message_pack(message, packed);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, *size, packed);
	g_free(packed);
	return copy;
}

static void clear_messages(GPtrArray *messages, size_t *bytes)
{
	for (guint i = 0; i < messages->len; i++)
		protobuf_c_message_free_unpacked(g_ptr_array_index(messages, i), NULL);
	g_ptr_array_set_size(messages, 0);
	*bytes = 0;
}

static uint64_t current_epoch(const claims_t *claims)
{
	const claims_member_set_t *set = claims_current_set(claims);

	return set != NULL ? set->epoch : 0;
}

static void send_requests(claims_t *claims, claims_batch_t *batch)
{
	Lp__ClaimBatch message = LP__CLAIM_BATCH__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	GPtrArray *requests = batch->requests;
	size_t bytes;

	if (requests->len == 0)
		return;
	message.member_epoch = current_epoch(claims);
	message.n_requests = requests->len;
	message.requests = (Lp__ClaimRequest **)requests->pdata;
	envelope.body_case = LP__ENVELOPE__BODY_CLAIMS;
	envelope.claims = &message;
	/* Handling a request that could not be sent can end its attempt, which then queues a
	 * release in this batch, so use a new array. */
	batch->requests = g_ptr_array_new();
	batch->request_bytes = 0;
	if (claims->send(claims->send_arg, batch->node_id, &envelope) < 0) {
		for (guint i = 0; i < requests->len; i++)
			claims_coordinator_send_failed(claims, batch->node_id,
						       g_ptr_array_index(requests, i));
	}
	clear_messages(requests, &bytes);
	g_ptr_array_unref(requests);
}

static void send_replies(claims_t *claims, claims_batch_t *batch)
{
	Lp__ClaimReplyBatch message = LP__CLAIM_REPLY_BATCH__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__ClaimMemory incarnations[CLAIMS_MEMBERS_MAX];
	Lp__ClaimMemory *known[CLAIMS_MEMBERS_MAX];

	if (batch->replies->len == 0)
		return;
	for (size_t i = 0; i < claims->known_incarnation_count; i++) {
		lp__claim_memory__init(&incarnations[i]);
		incarnations[i].node_id = claims->known_incarnations[i].node_id;
		incarnations[i].incarnation = claims->known_incarnations[i].incarnation;
		known[i] = &incarnations[i];
	}
	message.member_epoch = current_epoch(claims);
	message.incarnation = claims->config.incarnation;
	message.n_known = claims->known_incarnation_count;
	message.known = known;
	message.n_replies = batch->replies->len;
	message.replies = (Lp__ClaimReply **)batch->replies->pdata;
	envelope.body_case = LP__ENVELOPE__BODY_CLAIM_REPLIES;
	envelope.claim_replies = &message;
	claims->send(claims->send_arg, batch->node_id, &envelope);
	clear_messages(batch->replies, &batch->reply_bytes);
}

void claims_queue_request(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request)
{
	claims_batch_t *batch = find_or_add_batch(claims, to);
	size_t size;

	if (batch == NULL)
		return;
	g_ptr_array_add(batch->requests, copy_message_packed(&request->base, &size));
	batch->request_bytes += size;
	if (batch->request_bytes >= BATCH_BYTES)
		send_requests(claims, batch);
}

void claims_queue_reply(claims_t *claims, uint32_t to, const Lp__ClaimReply *reply)
{
	claims_batch_t *batch = find_or_add_batch(claims, to);
	size_t size;

	if (batch == NULL)
		return;
	g_ptr_array_add(batch->replies, copy_message_packed(&reply->base, &size));
	batch->reply_bytes += size;
	if (batch->reply_bytes >= BATCH_BYTES)
		send_replies(claims, batch);
}

void claims_flush(claims_t *claims)
{
	for (size_t i = 0; i < claims->batch_count; i++) {
		send_replies(claims, &claims->batches[i]);
		send_requests(claims, &claims->batches[i]);
	}
}

void claims_batches_free(claims_t *claims)
{
	for (size_t i = 0; i < claims->batch_count; i++) {
		clear_messages(claims->batches[i].requests, &claims->batches[i].request_bytes);
		clear_messages(claims->batches[i].replies, &claims->batches[i].reply_bytes);
		g_ptr_array_unref(claims->batches[i].requests);
		g_ptr_array_unref(claims->batches[i].replies);
	}
}
