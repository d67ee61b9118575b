#define G_LOG_DOMAIN "node"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "batch_node_internal.h"
#include "clock.h"
#include "log.h"

typedef struct {
	batch_node_t *node;
	uint64_t seq;
	char *id; /* of a submission */
	batch_reply_fn done;
	void *arg;
} pending_call_t;

static void answer(uint64_t seq, Lp__BatchAnswer how, uint32_t retry_after_s, batch_reply_fn done,
		   void *arg)
{
	Lp__BatchReply reply = LP__BATCH_REPLY__INIT;

	reply.seq = seq;
	reply.answer = how;
	reply.retry_after_s = retry_after_s;
	done(arg, &reply);
}

static Lp__BatchAnswer answer_of(Lp__ResultCode code)
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

static void on_recorded(void *arg, Lp__ResultCode code)
{
	g_autofree pending_call_t *call = arg;

	if (call->id != NULL) {
		g_hash_table_remove(call->node->submitting, call->id);
		log_event(G_LOG_LEVEL_INFO,
			  LOG_FIELDS("request", call->id, "outcome",
				     code == LP__RESULT_CODE__RESULT_OK ? "accepted" : "failed"),
			  "job was recorded");
		g_free(call->id);
		batch_leader_wake(call->node->leader);
	}
	answer(call->seq, answer_of(code), 1, call->done, call->arg);
}

static pending_call_t *pending_new(batch_node_t *node, const Lp__BatchCall *call, const char *id,
				   batch_reply_fn done, void *arg)
{
	pending_call_t *pending = g_new0(pending_call_t, 1);

	*pending = (pending_call_t){
		.node = node, .seq = call->seq, .id = g_strdup(id), .done = done, .arg = arg};
	return pending;
}

static bool same_queue(const batch_job_t *job, const Lp__BatchQueue *queue)
{
	return strcmp(job->spec->host, queue->host) == 0 &&
	       strcmp(job->spec->prefix, queue->prefix) == 0;
}

static void submit(batch_node_t *node, const Lp__BatchCall *call, const Lp__BatchQueue *queue,
		   const char *id, batch_reply_fn done, void *arg)
{
	const batch_job_t *known = batch_state_job(&node->state, id);
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	Lp__BatchJob job;
	batch_admission_t admission = {.accept = true};

	if (known != NULL) {
		answer(call->seq,
		       same_queue(known, queue) ? LP__BATCH_ANSWER__BATCH_ANSWER_OK
						: LP__BATCH_ANSWER__BATCH_ANSWER_INVALID,
		       0, done, arg);
		return;
	}
	if (call->job == NULL || strlen(id) >= VM_NAME_MAX || batch_job_check(call->job) != NULL) {
		answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_INVALID, 0, done, arg);
		return;
	}
	/* A submission that may be recorded already must not be refused when it is repeated. */
	if (!g_hash_table_contains(node->submitting, id))
		admission = batch_leader_admit(node->leader, queue, call->job);
	if (!admission.accept) {
		metrics_add(node->refused, 1);
		log_event(
			G_LOG_LEVEL_INFO,
			LOG_FIELDS("request", id, "queue", queue->name, "reason", admission.reason),
			"job is refused");
		answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_REFUSED, admission.retry_after_s,
		       done, arg);
		return;
	}
	metrics_add(node->submitted, 1);
	g_hash_table_add(node->submitting, g_strdup(id));
	job = *call->job;
	job.id = (char *)id;
	job.host = queue->host;
	job.prefix = queue->prefix;
	command.body_case = LP__BATCH_COMMAND__BODY_SUBMIT;
	command.submit = &job;
	batch_node_propose(node, &command, on_recorded, pending_new(node, call, id, done, arg));
}

static void cancel(batch_node_t *node, const Lp__BatchCall *call, const Lp__BatchQueue *queue,
		   const char *id, batch_reply_fn done, void *arg)
{
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	Lp__BatchCancel message = LP__BATCH_CANCEL__INIT;

	message.id = (char *)id;
	message.host = queue->host;
	message.prefix = queue->prefix;
	command.body_case = LP__BATCH_COMMAND__BODY_CANCEL;
	command.cancel = &message;
	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("request", id), "job is cancelled by its client");
	batch_node_propose(node, &command, on_recorded, pending_new(node, call, NULL, done, arg));
}

static void tell_state(batch_node_t *node, const Lp__BatchCall *call, const Lp__BatchQueue *queue,
		       const char *id, batch_reply_fn done, void *arg)
{
	Lp__BatchReply reply = LP__BATCH_REPLY__INIT;
	const batch_job_t *job = batch_state_job(&node->state, id);

	reply.seq = call->seq;
	if (id[0] == '\0') {
		reply.is_pending = true;
		reply.pending = batch_state_pending(&node->state, queue, clock_wall_ms());
	} else if (job == NULL || !same_queue(job, queue)) {
		reply.answer = LP__BATCH_ANSWER__BATCH_ANSWER_NO_JOB;
	} else {
		reply.state = (char *)batch_job_state_name(job->state);
	}
	done(arg, &reply);
}

void batch_node_handle_call(batch_node_t *node, const Lp__BatchCall *call, batch_reply_fn done,
			    void *arg)
{
	const Lp__BatchQueue *queue;
	const char *id;

	if (!batch_node_is_active_leader(node)) {
		answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_NOT_LEADER, 0, done, arg);
		return;
	}
	if (node->state.config == NULL) {
		answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_UNAVAILABLE, 1, done, arg);
		return;
	}
	queue = batch_state_route(&node->state, call->host, call->path);
	if (queue == NULL) {
		answer(call->seq, LP__BATCH_ANSWER__BATCH_ANSWER_NO_QUEUE, 0, done, arg);
		return;
	}
	id = call->path + strlen(queue->prefix);
	switch (call->kind) {
	case LP__BATCH_CALL_KIND__BATCH_CALL_SUBMIT:
		submit(node, call, queue, id, done, arg);
		break;
	case LP__BATCH_CALL_KIND__BATCH_CALL_CANCEL:
		cancel(node, call, queue, id, done, arg);
		break;
	case LP__BATCH_CALL_KIND__BATCH_CALL_STATE:
	case _LP__BATCH_CALL_KIND_IS_INT_SIZE:
		tell_state(node, call, queue, id, done, arg);
		break;
	}
}

/* --- calls that another process has passed on --- */

typedef struct {
	batch_node_t *node;
	uint32_t from;
} remote_call_t;

static void send_reply(void *arg, const Lp__BatchReply *reply)
{
	remote_call_t *remote = arg;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	envelope.body_case = LP__ENVELOPE__BODY_BATCH_REPLY;
	envelope.batch_reply = (Lp__BatchReply *)reply;
	if (peer_send(remote->node->peers, remote->from, &envelope) != 0)
		g_message("an answer could not be sent; the edge process asks again");
	talloc_free(remote);
}

void batch_node_handle_forwarded_call(batch_node_t *node, uint32_t from, const Lp__BatchCall *call)
{
	remote_call_t *remote = talloc_zero(NULL, remote_call_t);

	*remote = (remote_call_t){.node = node, .from = from};
	batch_node_handle_call(node, call, send_reply, remote);
}
