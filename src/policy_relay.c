#define G_LOG_DOMAIN "policy"

#include "policy_relay.h"

#include <string.h>
#include <sys/queue.h>

#include <glib.h>
#include <talloc.h>

#include "clock.h"
#include "log.h"

#define CHECK_PERIOD_MS 50
/* Time for the query and its answer, in addition to that of the call. */
#define LINK_MARGIN_US (1 * US_PER_S)
/* Most calls that a process makes at the same time for leaders. The current one makes one at a
 * time; a second one is of a leader that was replaced. */
#define AGENT_CALLS_MAX 2
/* Most VMs that the service takes in a call. */
#define QUERY_VMS_MAX 100

/* --- leader --- */

typedef struct relayed_query {
	TAILQ_ENTRY(relayed_query) link;
	uint64_t seq;
	uint32_t node;
	uint64_t connections_ended; /* see peer_info_t, when the query was sent */
	uint64_t sent_us;
	uint64_t deadline_us;
	advice_done_fn done;
	void *arg;
} relayed_query_t;

struct policy_relay {
	timer_service_t *timers;
	timer_sub_t check;
	vm_port_t direct;
	peer_set_t *peers;
	TAILQ_HEAD(relayed_queries, relayed_query) calls;
	uint64_t next_seq;
	metrics_counter_t *own;
	metrics_counter_t *helped;
	metrics_counter_t *lost;
};

static const advice_reply_t no_response = {.code = ADVICE_NO_RESPONSE};

static void complete(policy_relay_t *relay, relayed_query_t *call, const advice_reply_t *reply)
{
	TAILQ_REMOVE(&relay->calls, call, link);
	call->done(call->arg, reply);
	g_free(call);
}

static bool is_lost(const policy_relay_t *relay, const relayed_query_t *call, uint64_t now_us)
{
	const peer_info_t *info;

	if (now_us >= call->deadline_us)
		return true;
	info = relay->peers != NULL ? peer_info(relay->peers, call->node) : NULL;
	return info == NULL || info->connections_ended != call->connections_ended;
}

static void check_calls(void *arg, uint64_t now_us)
{
	policy_relay_t *relay = arg;
	relayed_query_t *call;
	relayed_query_t *next;

	/* A completed call lets the leader add calls at the end of the list only. */
	for (call = TAILQ_FIRST(&relay->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (!is_lost(relay, call, now_us))
			continue;
		metrics_add(relay->lost, 1);
		complete(relay, call, &no_response);
	}
}

policy_relay_t *policy_relay_create(timer_service_t *timers, const vm_port_t *direct,
				    metrics_t *metrics)
{
	policy_relay_t *relay = g_new0(policy_relay_t, 1);

	relay->timers = timers;
	relay->direct = *direct;
	/* An answer to a query of an earlier process on this machine must not match. */
	relay->next_seq = (uint64_t)g_random_int() << 32;
	TAILQ_INIT(&relay->calls);
	relay->own = metrics_counter(metrics, "policy_calls_total", "process=\"leader\"");
	relay->helped = metrics_counter(metrics, "policy_calls_total", "process=\"other\"");
	relay->lost = metrics_counter(metrics, "policy_calls_lost_total", "");
	timer_subscribe(timers, &relay->check, CHECK_PERIOD_MS * US_PER_MS, check_calls, relay);
	return relay;
}

void policy_relay_set_peers(policy_relay_t *relay, peer_set_t *peers)
{
	relay->peers = peers;
}

void policy_relay_destroy(policy_relay_t *relay)
{
	relayed_query_t *call;
	relayed_query_t *next;

	timer_unsubscribe(relay->timers, &relay->check);
	for (call = TAILQ_FIRST(&relay->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		complete(relay, call, &no_response);
	}
	g_free(relay);
}

size_t policy_relay_advisers(const policy_relay_t *relay, uint32_t *nodes, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; relay->peers != NULL && i < peer_count(relay->peers) && count < max;
	     i++) {
		const peer_info_t *info = peer_info_at(relay->peers, i);

		if (info->up)
			nodes[count++] = info->node_id;
	}
	return count;
}

/* @return whether the peer's queue takes the query */
static bool send_query(policy_relay_t *relay, const advice_request_t *request, uint64_t now_us)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__PolicyQuery query = LP__POLICY_QUERY__INIT;
	uint64_t clock_us;

	if (relay->peers == NULL)
		return false;
	clock_us = peer_clock_reading_us(relay->peers, request->node, now_us);
	query.seq = relay->next_seq;
	query.job = (char *)request->step.job;
	query.occurrence = request->step.occurrence;
	query.step = request->step.step;
	query.vms = (char **)request->vms;
	query.n_vms = request->vm_count;
	query.timeout_ms = (uint32_t)MIN(request->timeout_ms, UINT32_MAX);
	query.expires_us = clock_us != 0 ? clock_us + LINK_MARGIN_US : 0;
	envelope.body_case = LP__ENVELOPE__BODY_POLICY_QUERY;
	envelope.policy_query = &query;
	return peer_send(relay->peers, request->node, &envelope) == 0;
}

void policy_relay_advise(policy_relay_t *relay, const advice_request_t *request,
			 advice_done_fn done, void *arg)
{
	uint64_t now_us = clock_now_us();
	const peer_info_t *info;
	relayed_query_t *call;

	if (request->node == 0) {
		metrics_add(relay->own, 1);
		relay->direct.advise(relay->direct.arg, request, done, arg);
		return;
	}
	metrics_add(relay->helped, 1);
	relay->next_seq++;
	call = g_new0(relayed_query_t, 1);
	call->seq = relay->next_seq;
	call->node = request->node;
	call->sent_us = now_us;
	call->done = done;
	call->arg = arg;
	/* A query that could not be sent is completed by the next check. */
	if (send_query(relay, request, now_us)) {
		info = peer_info(relay->peers, request->node);
		call->connections_ended = info != NULL ? info->connections_ended : 0;
		call->deadline_us = now_us + request->timeout_ms * US_PER_MS + LINK_MARGIN_US;
	}
	TAILQ_INSERT_TAIL(&relay->calls, call, link);
}

void policy_relay_handle_answer(policy_relay_t *relay, uint32_t from,
				const Lp__PolicyAnswer *answer)
{
	uint64_t now_us = clock_now_us();
	advice_reply_t reply = {.elapsed_us = answer->elapsed_us};
	vm_ticket_t *tickets;
	relayed_query_t *call;

	TAILQ_FOREACH (call, &relay->calls, link) {
		if (call->seq == answer->seq && call->node == from)
			break;
	}
	/* The call was given up, or an earlier process on this machine made it. */
	if (call == NULL || answer->code > ADVICE_NO_RESPONSE)
		return;
	reply.code = (advice_code_t)answer->code;
	tickets = g_new0(vm_ticket_t, answer->n_tickets + 1);
	for (size_t i = 0; i < answer->n_tickets; i++) {
		g_strlcpy(tickets[i].vm, answer->tickets[i]->vm, VM_NAME_MAX);
		g_strlcpy(tickets[i].ticket, answer->tickets[i]->ticket, VM_NAME_MAX);
	}
	reply.tickets = tickets;
	reply.ticket_count = answer->n_tickets;
	/* The tickets were issued when the call ended; what has passed in addition was spent on the
	 * way, before or after. */
	reply.age_us = now_us - call->sent_us - MIN(answer->elapsed_us, now_us - call->sent_us);
	complete(relay, call, &reply);
	g_free(tickets);
}

/* --- process that makes the calls --- */

typedef struct {
	policy_agent_t *agent;
	uint32_t from;
	uint64_t seq;
	uint64_t received_us;
} agent_call_t;

static void send_answer(const agent_call_t *call, const advice_reply_t *reply)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__PolicyAnswer answer = LP__POLICY_ANSWER__INIT;
	void *mem = talloc_new(NULL);

	answer.seq = call->seq;
	answer.code = reply->code;
	answer.elapsed_us = clock_now_us() - call->received_us;
	answer.tickets = talloc_array(mem, Lp__PolicyTicket *, reply->ticket_count + 1);
	for (size_t i = 0; i < reply->ticket_count; i++) {
		Lp__PolicyTicket *ticket = talloc(mem, Lp__PolicyTicket);

		lp__policy_ticket__init(ticket);
		ticket->vm = (char *)reply->tickets[i].vm;
		ticket->ticket = (char *)reply->tickets[i].ticket;
		answer.tickets[answer.n_tickets++] = ticket;
	}
	envelope.body_case = LP__ENVELOPE__BODY_POLICY_ANSWER;
	envelope.policy_answer = &answer;
	if (peer_send(call->agent->peers, call->from, &envelope) != 0)
		g_message("cannot send an answer of the policy service to the leader");
	talloc_free(mem);
}

static void on_agent_reply(void *arg, const advice_reply_t *reply)
{
	g_autofree agent_call_t *call = arg;

	call->agent->call_count--;
	send_answer(call, reply);
}

void policy_agent_init(policy_agent_t *agent, const vm_port_t *port, peer_set_t *peers,
		       metrics_t *metrics)
{
	*agent = (policy_agent_t){
		.port = *port,
		.peers = peers,
		.calls = metrics_counter(metrics, "policy_relayed_calls_total", ""),
		.refused = metrics_counter(metrics, "policy_relayed_refused_total", ""),
	};
}

/* @return ADVICE_ANSWERED: the call can be made */
static advice_code_t check_query(const policy_agent_t *agent, const Lp__PolicyQuery *query,
				 uint64_t now_us)
{
	if (query->n_vms == 0 || query->n_vms > QUERY_VMS_MAX)
		return ADVICE_NOT_SENT;
	if (query->expires_us != 0 && now_us >= query->expires_us)
		return ADVICE_NOT_SENT;
	return agent->call_count < AGENT_CALLS_MAX ? ADVICE_ANSWERED : ADVICE_BUSY;
}

void policy_agent_handle_query(policy_agent_t *agent, uint32_t from, const Lp__PolicyQuery *query)
{
	agent_call_t received = {
		.agent = agent, .from = from, .seq = query->seq, .received_us = clock_now_us()};
	const advice_reply_t refused = {.code = check_query(agent, query, received.received_us)};
	advice_request_t request = {.step = {.occurrence = query->occurrence, .step = query->step},
				    .vms = (const char *const *)query->vms,
				    .vm_count = query->n_vms,
				    .timeout_ms = query->timeout_ms};

	if (refused.code != ADVICE_ANSWERED) {
		metrics_add(agent->refused, 1);
		send_answer(&received, &refused);
		return;
	}
	g_strlcpy(request.step.job, query->job, sizeof(request.step.job));
	agent->call_count++;
	metrics_add(agent->calls, 1);
	agent->port.advise(agent->port.arg, &request, on_agent_reply,
			   g_memdup2(&received, sizeof(received)));
}
