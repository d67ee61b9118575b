#define G_LOG_DOMAIN "node"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "batch_lookup.h"
#include "batch_node_internal.h"
#include "clock.h"
#include "log.h"

/* Interval at which replies that could not be sent are tried again. A connection that broke is back
 * after 50 ms at the earliest. */
#define REPLY_RETRY_MS 50

typedef struct pending_call {
	TAILQ_ENTRY(pending_call) link;
	batch_node_t *node;
	uint64_t seq;
	uint64_t proposed_us;
	char *job_id; /* id of the submitted job; NULL for a cancellation */
	batch_reply_fn done;
	void *arg;
} pending_call_t;

static void reply_with_reason(uint64_t seq, Lp__BatchAnswer answer, uint32_t retry_after_s,
			      const char *reason, batch_reply_fn done, void *arg)
{
	Lp__BatchReply reply = LP__BATCH_REPLY__INIT;

	reply.seq = seq;
	reply.answer = answer;
	reply.retry_after_s = retry_after_s;
	reply.reason = (char *)reason;
	done(arg, &reply);
}

static void reply_with_answer(uint64_t seq, Lp__BatchAnswer answer, uint32_t retry_after_s,
			      batch_reply_fn done, void *arg)
{
	reply_with_reason(seq, answer, retry_after_s, "", done, arg);
}

static Lp__BatchAnswer answer_for_result(Lp__ResultCode code)
{
	switch (code) {
	case LP__RESULT_CODE__RESULT_OK:
		return LP__BATCH_ANSWER__BATCH_ANSWER_OK;
	case LP__RESULT_CODE__RESULT_NOT_FOUND:
		return LP__BATCH_ANSWER__BATCH_ANSWER_NO_JOB;
	case LP__RESULT_CODE__RESULT_UNAVAILABLE:
		return LP__BATCH_ANSWER__BATCH_ANSWER_UNAVAILABLE;
	case LP__RESULT_CODE__RESULT_INVALID:
	case LP__RESULT_CODE__RESULT_CONFLICT:
		return LP__BATCH_ANSWER__BATCH_ANSWER_INVALID;
	case LP__RESULT_CODE__RESULT_UNKNOWN:
	case _LP__RESULT_CODE_IS_INT_SIZE:
		break;
	}
	return LP__BATCH_ANSWER__BATCH_ANSWER_UNKNOWN;
}

static void on_committed(void *arg, Lp__ResultCode code)
{
	g_autofree pending_call_t *call = arg;

	Lp__BatchAnswer answer = answer_for_result(code);

	TAILQ_REMOVE(&call->node->pending, call, link);
	if (call->job_id != NULL) {
		if (code == LP__RESULT_CODE__RESULT_NOT_FOUND)
			answer = LP__BATCH_ANSWER__BATCH_ANSWER_NO_QUEUE;
		g_hash_table_remove(call->node->submitting, call->job_id);
		log_event(G_LOG_LEVEL_INFO,
			  LOG_FIELDS("request", call->job_id, "outcome",
				     code == LP__RESULT_CODE__RESULT_OK ? "accepted" : "failed"),
			  "job submission completed");
		g_free(call->job_id);
		batch_leader_request_placement(call->node->leader);
	}
	reply_with_answer(call->seq, answer, 1, call->done, call->arg);
}

static pending_call_t *pending_call_new(batch_node_t *node, const Lp__BatchCall *call,
					const char *job_id, batch_reply_fn done, void *arg)
{
	pending_call_t *pending = g_new0(pending_call_t, 1);

	*pending = (pending_call_t){.node = node,
				    .seq = call->seq,
				    .proposed_us = clock_now_us(),
				    .job_id = g_strdup(job_id),
				    .done = done,
				    .arg = arg};
	TAILQ_INSERT_TAIL(&node->pending, pending, link);
	return pending;
}

static void log_refusal(const batch_node_t *node, const Lp__BatchQueue *queue, const char *job_id,
			const batch_admit_input_t *input, const batch_admission_t *admission)
{
	char numbers[4][16];

	g_snprintf(numbers[0], sizeof(numbers[0]), "%u", (unsigned)(input->lag_us / US_PER_MS));
	g_snprintf(numbers[1], sizeof(numbers[1]), "%u", (unsigned)(input->oldest_us / US_PER_MS));
	g_snprintf(numbers[2], sizeof(numbers[2]), "%u", input->remaining_ms);
	g_snprintf(numbers[3], sizeof(numbers[3]), "%u", g_hash_table_size(node->submitting));
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", job_id, "queue", queue->name, "reason", admission->reason,
			     "lag_ms", numbers[0], "oldest_ms", numbers[1], "remaining_ms",
			     numbers[2], "open", numbers[3]),
		  "job rejected");
}

/* Replies to a submission that the leader has no time for. @return false when it can be taken */
static bool refuse_if_behind(batch_node_t *node, const Lp__BatchCall *call,
			     const Lp__BatchQueue *queue, const char *job_id, batch_reply_fn done,
			     void *arg)
{
	const pending_call_t *oldest = TAILQ_FIRST(&node->pending);
	const batch_admit_input_t input = {
		.lag_us = batch_leader_lag_us(node->leader),
		.oldest_us = oldest != NULL ? clock_now_us() - oldest->proposed_us : 0,
		.remaining_ms = call->remaining_ms,
		.job_hash = g_str_hash(job_id),
	};
	bool was_refusing = node->admit.refusing;
	batch_admission_t admission = batch_admit(&node->admit, &input);

	if (node->admit.refusing != was_refusing)
		log_event(G_LOG_LEVEL_MESSAGE, NULL,
			  was_refusing ? "the leader accepts jobs again"
				       : "the leader is behind and refuses jobs");
	if (admission.accept)
		return false;
	metrics_add(node->jobs_rejected, 1);
	log_refusal(node, queue, job_id, &input, &admission);
	reply_with_reason(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_REFUSED,
			  admission.retry_after_s, admission.reason, done, arg);
	return true;
}

/* Delay in ms after which a job that exceeds its organisation's limit may be submitted again: an
 * operator has to change the limit first. */
#define OVER_LIMIT_DELAY_MS 5000

/* Replies to a submission that can never run within the limit of its organisation. @return false
 * when it can */
static bool refuse_if_over_limit(batch_node_t *node, const Lp__BatchCall *call,
				 const char *organisation, const char *job_id, batch_reply_fn done,
				 void *arg)
{
	const org_account_t *account = org_accounts_find(&node->state.organisations, organisation);
	const char *reason = "the job exceeds what its organisation may have running";
	bool fits = true;

	for (size_t i = 0; account != NULL && i < call->job->n_steps; i++)
		fits &= org_account_can_ever_run(account, call->job->steps[i]);
	if (fits)
		return false;
	metrics_add(node->jobs_rejected, 1);
	metrics_add(node->jobs_over_limit, 1);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", job_id, "organisation", organisation, "reason", reason),
		  "job rejected");
	reply_with_reason(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_REFUSED,
			  batch_admit_retry_after_s(OVER_LIMIT_DELAY_MS, g_str_hash(job_id)),
			  reason, done, arg);
	return true;
}

/* Tasks of active jobs for each MiB of the process's memory; a task takes some 400 bytes, so that
 * they take two fifths of it at most. */
#define TASKS_PER_MIB 1024
/* Delay in ms after which a job may be submitted again that there was no memory for. */
#define NO_MEMORY_DELAY_MS 3000

/* Replies to a submission that would exceed the memory for tasks. @return false when it does not */
static bool refuse_if_full(batch_node_t *node, const Lp__BatchCall *call, const char *job_id,
			   batch_reply_fn done, void *arg)
{
	uint64_t limit = (uint64_t)node->settings->memory_mib * TASKS_PER_MIB;
	const char *reason = "there are too many unfinished tasks";

	if (node->state.active_tasks + batch_job_task_count(call->job) <= limit)
		return false;
	metrics_add(node->jobs_rejected, 1);
	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", job_id, "reason", reason),
		  "job rejected");
	reply_with_reason(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_REFUSED,
			  batch_admit_retry_after_s(NO_MEMORY_DELAY_MS, g_str_hash(job_id)), reason,
			  done, arg);
	return true;
}

/* The queue of an accepted job may have been removed: found->queue is NULL then. */
static void handle_submit(batch_node_t *node, const Lp__BatchCall *call,
			  const batch_lookup_t *found, const char *organisation,
			  batch_reply_fn done, void *arg)
{
	const Lp__BatchQueue *queue = found->queue;
	const char *job_id = found->job_id;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	Lp__BatchJob job;

	if (found->job != NULL) {
		reply_with_answer(call->seq,
				  batch_job_open_to(found->job, organisation)
					  ? LP__BATCH_ANSWER__BATCH_ANSWER_OK
					  : LP__BATCH_ANSWER__BATCH_ANSWER_INVALID,
				  0, done, arg);
		return;
	}
	/* A job with the id was accepted at another path. */
	if (job_id[0] == '\0' || batch_state_job(&node->state, job_id) != NULL ||
	    call->job == NULL || batch_job_check(call->job) != NULL) {
		reply_with_answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_INVALID, 0, done, arg);
		return;
	}
	/* The admission check is skipped for a repeated submission: it must not be rejected,
	 * because the first one could be committed already, or still be. */
	if (!call->resent && !g_hash_table_contains(node->submitting, job_id) &&
	    (refuse_if_over_limit(node, call, organisation, job_id, done, arg) ||
	     refuse_if_full(node, call, job_id, done, arg) ||
	     refuse_if_behind(node, call, queue, job_id, done, arg)))
		return;
	metrics_add(node->jobs_submitted, 1);
	g_hash_table_add(node->submitting, g_strdup(job_id));
	job = *call->job;
	job.id = (char *)job_id;
	job.host = queue->host;
	job.prefix = queue->prefix;
	job.organisation = (char *)organisation;
	command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
	command.submit = &job;
	batch_node_propose(node, &command, on_committed,
			   pending_call_new(node, call, job_id, done, arg));
}

static void handle_cancel(batch_node_t *node, const Lp__BatchCall *call,
			  const batch_lookup_t *found, const char *organisation,
			  batch_reply_fn done, void *arg)
{
	const char *job_id = found->job_id;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	Lp__BatchCancel message = LP__BATCH_CANCEL__INIT;

	message.id = (char *)job_id;
	message.host = found->job != NULL ? found->job->spec->host : found->queue->host;
	message.prefix = found->job != NULL ? found->job->spec->prefix : found->queue->prefix;
	message.organisation = (char *)organisation;
	command.body_case = LP__BATCH_COMMAND__BODY_CANCEL;
	command.cancel = &message;
	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", job_id), "client cancels job");
	batch_node_propose(node, &command, on_committed,
			   pending_call_new(node, call, NULL, done, arg));
}

static bool job_begun(void *arg, const batch_job_t *job)
{
	const batch_node_t *node = arg;

	return batch_leader_job_begun(node->leader, job);
}

/* @return state of the job for clients, for whom it runs once a task of it has begun */
static const char *job_state_name(const batch_node_t *node, const batch_job_t *job)
{
	return batch_job_state_name(batch_queued_job_waits(&node->queued, job) ? BATCH_JOB_QUEUED
									       : job->state);
}

static void reply_with_state(batch_node_t *node, const Lp__BatchCall *call,
			     const batch_lookup_t *found, const char *organisation,
			     batch_reply_fn done, void *arg)
{
	Lp__BatchReply reply = LP__BATCH_REPLY__INIT;

	reply.seq = call->seq;
	if (found->job_id[0] == '\0') {
		reply.is_pending = true;
		reply.pending = batch_queued_count(&node->queued, &node->state, found->queue,
						   clock_wall_ms(), clock_now_us());
	} else if (found->job == NULL || !batch_job_open_to(found->job, organisation)) {
		reply.answer = LP__BATCH_ANSWER__BATCH_ANSWER_NO_JOB;
	} else {
		reply.state = (char *)job_state_name(node, found->job);
	}
	done(arg, &reply);
}

/* True when an earlier copy of the call may have been accepted with the key that is unknown now. */
static bool maybe_accepted(const batch_node_t *node, const Lp__BatchCall *call, const char *job_id)
{
	return call->kind == LP__BATCH_CALL_KIND__BATCH_CALL_SUBMIT && call->resent &&
	       (batch_state_job(&node->state, job_id) != NULL ||
		g_hash_table_contains(node->submitting, job_id));
}

void batch_node_handle_call(batch_node_t *node, const Lp__BatchCall *call, batch_reply_fn done,
			    void *arg)
{
	batch_lookup_t found;
	org_caller_t caller;

	if (!batch_node_is_active_leader(node)) {
		reply_with_answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_NOT_LEADER, 0, done,
				  arg);
		return;
	}
	if (node->state.config == NULL) {
		reply_with_reason(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_UNAVAILABLE, 1,
				  "the leader has no configuration yet", done, arg);
		return;
	}
	found = batch_lookup(&node->state, call->host, call->path);
	if (found.queue == NULL && found.job == NULL) {
		reply_with_answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_NO_QUEUE, 0, done, arg);
		return;
	}
	if (found.queue == NULL)
		log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", call->path),
			  "call for a job whose queue is not in the configuration");
	caller = org_access_identify(
		&node->access, node->state.config, found.queue != NULL ? found.queue->name : "",
		batch_lookup_is_public(&found), &call->key_digest, clock_now_us(), clock_wall_ms());
	if (!caller.known) {
		reply_with_reason(call->seq,
				  maybe_accepted(node, call, found.job_id)
					  ? LP__BATCH_ANSWER__BATCH_ANSWER_UNKNOWN
					  : LP__BATCH_ANSWER__BATCH_ANSWER_UNAUTHORISED,
				  0, "the key is of no organisation", done, arg);
		return;
	}
	switch (call->kind) {
	case LP__BATCH_CALL_KIND__BATCH_CALL_SUBMIT:
		handle_submit(node, call, &found, caller.organisation, done, arg);
		break;
	case LP__BATCH_CALL_KIND__BATCH_CALL_CANCEL:
		handle_cancel(node, call, &found, caller.organisation, done, arg);
		break;
	case LP__BATCH_CALL_KIND__BATCH_CALL_STATE:
	case _LP__BATCH_CALL_KIND_IS_INT_SIZE:
		reply_with_state(node, call, &found, caller.organisation, done, arg);
		break;
	}
}

/* --- calls forwarded by edge processes --- */

typedef struct {
	batch_node_t *node;
	uint32_t from;
} forwarded_call_t;

static int send_to_edge(void *arg, uint32_t to, const Lp__BatchReply *reply)
{
	const batch_node_t *node = arg;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	envelope.body_case = LP__ENVELOPE__BODY_BATCH_REPLY;
	envelope.batch_reply = (Lp__BatchReply *)reply;
	return peer_send(node->peers, to, &envelope);
}

static void send_reply(void *arg, const Lp__BatchReply *reply)
{
	forwarded_call_t *forwarded = arg;

	reply_queue_send(&forwarded->node->replies, forwarded->from, reply, clock_now_us());
	talloc_free(forwarded);
}

static void flush_replies(void *arg, uint64_t now_us)
{
	batch_node_t *node = arg;

	reply_queue_flush(&node->replies, now_us);
}

void batch_calls_init(batch_node_t *node)
{
	batch_queued_init(&node->queued, job_begun, node);
	org_access_init(&node->access, node->metrics);
	reply_queue_init(&node->replies, node->metrics, send_to_edge, node);
	timer_subscribe(node->timers, &node->reply_timer, REPLY_RETRY_MS * US_PER_MS, flush_replies,
			node);
}

void batch_calls_finish(batch_node_t *node)
{
	timer_unsubscribe(node->timers, &node->reply_timer);
	reply_queue_finish(&node->replies);
	org_access_finish(&node->access);
	batch_queued_finish(&node->queued);
}

void batch_node_handle_forwarded_call(batch_node_t *node, uint32_t from, const Lp__BatchCall *call)
{
	forwarded_call_t *forwarded = talloc_zero(NULL, forwarded_call_t);

	*forwarded = (forwarded_call_t){.node = node, .from = from};
	batch_node_handle_call(node, call, send_reply, forwarded);
}
