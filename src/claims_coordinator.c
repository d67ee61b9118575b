#include "claims_internal.h"

#include "clock.h"

/* Interval at which a release or record request is sent again until it is acknowledged. The request
 * or its reply may have been lost with the connection. */
#define RESEND_INTERVAL_US (500 * US_PER_MS)
/* Time after which an unacknowledged release or record request is given up. After a release that
 * was given up, the key stays claimed until it expires. */
#define RESEND_TIMEOUT_US (60 * US_PER_S)
/* Maximum number of recipients of a release or record request: the replicas of the key when it was
 * acquired and those when the attempt ends. */
#define RECIPIENTS_MAX (2 * CLAIMS_REPLICAS_MAX)

typedef enum {
	ATTEMPT_ACQUIRING,
	ATTEMPT_GRANTED,
	ATTEMPT_ENDING, /* a release or record request is sent until all recipients have
			   acknowledged it */
} attempt_state_t;

typedef enum {
	REPLY_NONE,
	REPLY_GRANTED,
	REPLY_HELD,
	REPLY_ABSTAIN,
} reply_state_t;

/* Reply of one replica of the key, with the incarnations that it has seen of the other replicas. */
typedef struct {
	reply_state_t state;
	uint64_t incarnation;
	uint64_t known_incarnations[CLAIMS_REPLICAS_MAX]; /* incarnations of the replicas in the
							     order of replica_ids; 0 if unknown */
} replica_reply_t;

typedef struct {
	uint64_t seq;
	attempt_state_t state;
	char *key;
	char *home;
	uint64_t epoch;
	uint32_t replica_ids[CLAIMS_REPLICAS_MAX];
	size_t replica_count;
	replica_reply_t replies[CLAIMS_REPLICAS_MAX];
	uint64_t began_us;
	uint64_t deadline_us;
	claims_done_fn on_acquired;
	void *on_acquired_arg;
	/* Used in ATTEMPT_ENDING only. */
	Lp__ClaimOp op;
	uint32_t recipients[RECIPIENTS_MAX];
	bool acknowledged[RECIPIENTS_MAX];
	size_t recipient_count;
	Lp__Outcome *outcome;
	uint64_t resend_us;
	uint64_t give_up_us;
	void (*on_recorded)(void *arg);
	void *on_recorded_arg;
} attempt_t;

void claims_attempt_free(gpointer data)
{
	attempt_t *attempt = data;

	g_free(attempt->key);
	g_free(attempt->home);
	claims_outcome_free(attempt->outcome);
	g_free(attempt);
}

static attempt_t *find_attempt(const claims_t *claims, uint64_t seq)
{
	return g_hash_table_lookup(claims->attempts, &seq);
}

static void send_op(claims_t *claims, const attempt_t *attempt, Lp__ClaimOp op, uint32_t to)
{
	Lp__ClaimRequest request = LP__CLAIM_REQUEST__INIT;
	Lp__ClaimOwner message;
	claims_owner_t owner = {
		.node_id = claims->config.node_id,
		.incarnation = claims->config.incarnation,
		.seq = attempt->seq,
	};

	claims_owner_to(&owner, &message);
	request.op = op;
	request.key = attempt->key;
	request.home = attempt->home;
	request.owner = &message;
	request.outcome = attempt->outcome;
	request.age_ms = (claims->now_us - attempt->began_us) / US_PER_MS;
	if (to == claims->config.node_id)
		claims_replica_request(claims, to, attempt->epoch, &request);
	else
		claims_queue_request(claims, to, &request);
}

static void add_recipient(attempt_t *attempt, uint32_t node_id)
{
	if (!claims_ids_contain(attempt->recipients, attempt->recipient_count, node_id))
		attempt->recipients[attempt->recipient_count++] = node_id;
}

/* Sends the release or record request to all recipients that have not acknowledged it. A reply may
 * complete and free the attempt meanwhile. */
static void send_to_unacknowledged(claims_t *claims, uint64_t seq)
{
	attempt_t *attempt = find_attempt(claims, seq);

	attempt->resend_us = claims->now_us + RESEND_INTERVAL_US;
	for (size_t i = 0; attempt != NULL && i < attempt->recipient_count; i++) {
		if (!attempt->acknowledged[i])
			send_op(claims, attempt, attempt->op, attempt->recipients[i]);
		attempt = find_attempt(claims, seq);
	}
}

static void end_attempt(claims_t *claims, attempt_t *attempt, Lp__ClaimOp op)
{
	const claims_member_set_t *set = claims_current_set(claims);
	uint32_t ids[CLAIMS_REPLICAS_MAX];
	size_t count = set != NULL ? claims_set_replicas(set, attempt->key, attempt->home, ids) : 0;

	attempt->state = ATTEMPT_ENDING;
	attempt->op = op;
	attempt->give_up_us = claims->now_us + RESEND_TIMEOUT_US;
	for (size_t i = 0; i < attempt->replica_count; i++)
		add_recipient(attempt, attempt->replica_ids[i]);
	for (size_t i = 0; i < count; i++)
		add_recipient(attempt, ids[i]);
	send_to_unacknowledged(claims, attempt->seq);
}

/* Reports the result of an acquire. If it is not CLAIMS_GRANTED, tells the replicas that granted
 * the key to release it. */
static void finish_acquire(claims_t *claims, attempt_t *attempt, claims_result_t result,
			   const Lp__Outcome *outcome)
{
	claims_done_fn done = attempt->on_acquired;
	void *arg = attempt->on_acquired_arg;
	uint64_t seq = attempt->seq;

	attempt->on_acquired = NULL;
	if (result == CLAIMS_GRANTED)
		attempt->state = ATTEMPT_GRANTED;
	else
		end_attempt(claims, attempt, LP__CLAIM_OP__CLAIM_RELEASE);
	done(arg, result, seq, outcome);
}

/*
 * True when the grants of two replicas may count towards the same majority: neither replica has
 * seen an incarnation of the other one that differs from the one that granted the key. Otherwise
 * replica A could have granted the key to this attempt, lost its memory, synced from replica B
 * before B granted the key to this attempt, and then granted the key to another attempt.
 */
static bool grants_are_consistent(const attempt_t *attempt, size_t a, size_t b)
{
	const replica_reply_t *x = &attempt->replies[a];
	const replica_reply_t *y = &attempt->replies[b];

	return (x->known_incarnations[b] == 0 || x->known_incarnations[b] == y->incarnation) &&
	       (y->known_incarnations[a] == 0 || y->known_incarnations[a] == x->incarnation);
}

static bool has_majority(const attempt_t *attempt)
{
	for (size_t i = 0; i < attempt->replica_count; i++) {
		size_t consistent_grants = 0;

		if (attempt->replies[i].state != REPLY_GRANTED)
			continue;
		for (size_t k = 0; k < attempt->replica_count; k++) {
			if (attempt->replies[k].state == REPLY_GRANTED &&
			    grants_are_consistent(attempt, i, k))
				consistent_grants++;
		}
		/* A key has at most three replicas, so a majority is at most two and checking pairs
		 * suffices. */
		if (consistent_grants >= CLAIMS_MAJORITY(attempt->replica_count))
			return true;
	}
	return false;
}

static void evaluate_replies(claims_t *claims, attempt_t *attempt)
{
	size_t outstanding = 0;
	size_t granted = 0;
	size_t held = 0;

	if (has_majority(attempt)) {
		finish_acquire(claims, attempt, CLAIMS_GRANTED, NULL);
		return;
	}
	for (size_t i = 0; i < attempt->replica_count; i++) {
		outstanding += attempt->replies[i].state == REPLY_NONE;
		granted += attempt->replies[i].state == REPLY_GRANTED;
		held += attempt->replies[i].state == REPLY_HELD;
	}
	/* If a replica reported that the key is held, the outcome can still arrive with one of the
	 * outstanding replies. */
	if (outstanding == 0 ||
	    (held == 0 && outstanding + granted < CLAIMS_MAJORITY(attempt->replica_count)))
		finish_acquire(claims, attempt, CLAIMS_UNKNOWN, NULL);
}

static attempt_t *new_attempt(claims_t *claims, const char *key, const char *home,
			      claims_done_fn done, void *arg)
{
	const claims_member_set_t *set = claims_current_set(claims);
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->seq = claims->next_seq++;
	attempt->key = g_strdup(key);
	attempt->home = g_strdup(home != NULL ? home : "");
	attempt->on_acquired = done;
	attempt->on_acquired_arg = arg;
	attempt->began_us = claims->now_us;
	attempt->deadline_us = claims->now_us + claims->config.acquire_timeout_ms * US_PER_MS;
	if (set != NULL) {
		attempt->epoch = set->epoch;
		attempt->replica_count =
			claims_set_replicas(set, key, attempt->home, attempt->replica_ids);
	}
	g_hash_table_insert(claims->attempts, &attempt->seq, attempt);
	return attempt;
}

void claims_acquire(claims_t *claims, const char *key, const char *home, uint64_t now_us,
		    claims_done_fn done, void *arg)
{
	attempt_t *attempt;
	uint64_t seq;

	claims->now_us = now_us;
	attempt = new_attempt(claims, key, home, done, arg);
	seq = attempt->seq;
	if (attempt->replica_count == 0) {
		finish_acquire(claims, attempt, CLAIMS_UNKNOWN, NULL);
		return;
	}
	for (size_t i = 0; attempt != NULL && i < attempt->replica_count; i++) {
		send_op(claims, attempt, LP__CLAIM_OP__CLAIM_ACQUIRE, attempt->replica_ids[i]);
		attempt = find_attempt(claims, seq);
	}
}

static size_t index_of(const uint32_t *ids, size_t count, uint32_t node_id)
{
	size_t i = 0;

	while (i < count && ids[i] != node_id)
		i++;
	return i;
}

static uint64_t known_incarnation_of(const claims_known_incarnation_t *known, size_t count,
				     uint32_t node_id)
{
	for (size_t i = 0; i < count; i++) {
		if (known[i].node_id == node_id)
			return known[i].incarnation;
	}
	return 0;
}

static reply_state_t reply_state_of(const attempt_t *attempt, uint64_t epoch,
				    const Lp__ClaimReply *reply)
{
	if (epoch != attempt->epoch)
		return REPLY_ABSTAIN;
	switch (reply->status) {
	case LP__CLAIM_STATUS__CLAIM_GRANTED:
		return REPLY_GRANTED;
	case LP__CLAIM_STATUS__CLAIM_HELD:
		return REPLY_HELD;
	case LP__CLAIM_STATUS__CLAIM_ABSTAIN:
	case _LP__CLAIM_STATUS_IS_INT_SIZE:
		break;
	}
	return REPLY_ABSTAIN;
}

static void on_acquire_reply(claims_t *claims, attempt_t *attempt, size_t index, uint64_t epoch,
			     uint64_t incarnation, const claims_known_incarnation_t *known,
			     size_t known_count, const Lp__ClaimReply *reply)
{
	replica_reply_t *slot = &attempt->replies[index];

	/* A reply that is handled after the deadline, for example because this process was
	 * suspended, says nothing about the replica's present state. */
	if (claims->now_us >= attempt->deadline_us) {
		finish_acquire(claims, attempt, CLAIMS_UNKNOWN, NULL);
		return;
	}
	if (reply->status == LP__CLAIM_STATUS__CLAIM_HELD && reply->outcome != NULL) {
		finish_acquire(claims, attempt, CLAIMS_STORED, reply->outcome);
		return;
	}
	slot->state = reply_state_of(attempt, epoch, reply);
	slot->incarnation = incarnation;
	for (size_t i = 0; i < attempt->replica_count; i++)
		slot->known_incarnations[i] =
			known_incarnation_of(known, known_count, attempt->replica_ids[i]);
	evaluate_replies(claims, attempt);
}

static bool majority_acknowledged(const claims_t *claims, const attempt_t *attempt)
{
	const claims_member_set_t *set = claims_current_set(claims);
	uint32_t ids[CLAIMS_REPLICAS_MAX];
	size_t count = claims_set_replicas(set, attempt->key, attempt->home, ids);
	size_t acknowledged = 0;

	for (size_t i = 0; i < attempt->recipient_count; i++)
		acknowledged += attempt->acknowledged[i] &&
				claims_ids_contain(ids, count, attempt->recipients[i]);
	return acknowledged >= CLAIMS_MAJORITY(count);
}

static void notify_recorded(attempt_t *attempt)
{
	void (*recorded)(void *arg) = attempt->on_recorded;

	attempt->on_recorded = NULL;
	if (recorded != NULL)
		recorded(attempt->on_recorded_arg);
}

static void on_end_reply(claims_t *claims, attempt_t *attempt, uint32_t from)
{
	uint64_t seq = attempt->seq;
	size_t index = index_of(attempt->recipients, attempt->recipient_count, from);

	if (index == attempt->recipient_count)
		return;
	attempt->acknowledged[index] = true;
	if (attempt->on_recorded != NULL && majority_acknowledged(claims, attempt))
		notify_recorded(attempt);
	attempt = find_attempt(claims, seq);
	for (size_t i = 0; attempt != NULL && i < attempt->recipient_count; i++) {
		if (!attempt->acknowledged[i])
			return;
	}
	g_hash_table_remove(claims->attempts, &seq);
}

void claims_coordinator_reply(claims_t *claims, uint32_t from, uint64_t epoch, uint64_t incarnation,
			      const claims_known_incarnation_t *known, size_t known_count,
			      const Lp__ClaimReply *reply)
{
	attempt_t *attempt;
	size_t index;

	if (reply->owner == NULL || reply->owner->node_id != claims->config.node_id ||
	    reply->owner->incarnation != claims->config.incarnation)
		return;
	attempt = find_attempt(claims, reply->owner->seq);
	if (attempt == NULL)
		return;
	if (attempt->state == ATTEMPT_ENDING && reply->op == attempt->op) {
		on_end_reply(claims, attempt, from);
		return;
	}
	index = index_of(attempt->replica_ids, attempt->replica_count, from);
	if (attempt->state == ATTEMPT_ACQUIRING && reply->op == LP__CLAIM_OP__CLAIM_ACQUIRE &&
	    index < attempt->replica_count)
		on_acquire_reply(claims, attempt, index, epoch, incarnation, known, known_count,
				 reply);
}

void claims_coordinator_send_failed(claims_t *claims, uint32_t to, const Lp__ClaimRequest *request)
{
	attempt_t *attempt = find_attempt(claims, request->owner->seq);
	size_t index;

	if (attempt == NULL || attempt->state != ATTEMPT_ACQUIRING ||
	    request->op != LP__CLAIM_OP__CLAIM_ACQUIRE)
		return;
	index = index_of(attempt->replica_ids, attempt->replica_count, to);
	if (index == attempt->replica_count)
		return;
	attempt->replies[index].state = REPLY_ABSTAIN;
	evaluate_replies(claims, attempt);
}

void claims_release(claims_t *claims, uint64_t claim, uint64_t now_us)
{
	attempt_t *attempt = find_attempt(claims, claim);

	claims->now_us = now_us;
	if (attempt != NULL && attempt->state == ATTEMPT_GRANTED)
		end_attempt(claims, attempt, LP__CLAIM_OP__CLAIM_RELEASE);
}

void claims_record_outcome(claims_t *claims, uint64_t claim, const Lp__Outcome *outcome,
			   uint64_t now_us, void (*done)(void *arg), void *arg)
{
	attempt_t *attempt = find_attempt(claims, claim);

	claims->now_us = now_us;
	if (attempt == NULL || attempt->state != ATTEMPT_GRANTED) {
		if (done != NULL)
			done(arg);
		return;
	}
	attempt->outcome = claims_outcome_copy(outcome, claims->config.outcome_limit);
	attempt->on_recorded = done;
	attempt->on_recorded_arg = arg;
	attempt->deadline_us = now_us + claims->config.record_timeout_ms * US_PER_MS;
	end_attempt(claims, attempt, LP__CLAIM_OP__CLAIM_RECORD);
}

void claims_abandon(claims_t *claims, uint64_t claim)
{
	const attempt_t *attempt = find_attempt(claims, claim);

	if (attempt != NULL && attempt->state == ATTEMPT_GRANTED)
		g_hash_table_remove(claims->attempts, &claim);
}

static void tick_attempt(claims_t *claims, attempt_t *attempt)
{
	switch (attempt->state) {
	case ATTEMPT_ACQUIRING:
		if (claims->now_us >= attempt->deadline_us)
			finish_acquire(claims, attempt, CLAIMS_UNKNOWN, NULL);
		break;
	case ATTEMPT_GRANTED:
		break;
	case ATTEMPT_ENDING:
		if (claims->now_us >= attempt->give_up_us)
			g_hash_table_remove(claims->attempts, &attempt->seq);
		else if (claims->now_us >= attempt->resend_us)
			send_to_unacknowledged(claims, attempt->seq);
		break;
	}
}

void claims_coordinator_tick(claims_t *claims)
{
	GHashTableIter iter;
	gpointer value;
	GArray *due = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	/* Collect the attempts first, because callbacks may add and remove attempts. */
	g_hash_table_iter_init(&iter, claims->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const attempt_t *attempt = value;

		if (attempt->state != ATTEMPT_GRANTED)
			g_array_append_val(due, attempt->seq);
	}
	for (guint i = 0; i < due->len; i++) {
		attempt_t *attempt = find_attempt(claims, g_array_index(due, uint64_t, i));

		if (attempt != NULL && attempt->on_recorded != NULL &&
		    claims->now_us >= attempt->deadline_us) {
			notify_recorded(attempt);
			attempt = find_attempt(claims, g_array_index(due, uint64_t, i));
		}
		if (attempt != NULL)
			tick_attempt(claims, attempt);
	}
	g_array_unref(due);
}
