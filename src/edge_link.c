#define G_LOG_DOMAIN "edge"

#include "edge_link.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/random.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "log.h"
#include "message.h"
#include "vm_relay.h"

#define CALL_CHECK_MS 50
/* Time without a LeaderHint message after which no leader is known. The messages come every 250 ms,
 * so three in a row can be missed. A shorter time would not find a new leader sooner: it is elected
 * 0.8 to 1.6 s after the old one falls silent. */
#define LEADER_HINT_TIMEOUT_MS 1000

/* Time after which a call is sent again whose outcome the leader did not know, or that it refused
 * although an earlier copy is possibly committed. */
#define ASK_AGAIN_MS 200

/* Why a call was not carried out, or why its outcome is unknown. */
typedef enum {
	CAUSE_NO_LEADER,
	CAUSE_NOT_CONNECTED,
	CAUSE_NOT_SENT_IN_TIME,
	CAUSE_UNAVAILABLE,
	CAUSE_REFUSED,
	CAUSE_NO_REPLY,
	CAUSE_REPLY_LOST,
	CAUSE_STOPPING,
} answer_cause_t;

static const struct {
	const char *label;
	const char *text;
} causes[] = {
	[CAUSE_NO_LEADER] = {"no_leader", "no active leader is known"},
	[CAUSE_NOT_CONNECTED] = {"not_connected", "the leader cannot be reached"},
	[CAUSE_NOT_SENT_IN_TIME] = {"not_sent_in_time", "no leader took the call in time"},
	[CAUSE_UNAVAILABLE] = {"unavailable", "the leader could not commit the call"},
	[CAUSE_REFUSED] = {"refused", "the leader refused the call"},
	[CAUSE_NO_REPLY] = {"no_reply", "no reply of the leader in time"},
	[CAUSE_REPLY_LOST] = {"reply_lost", "the reply of an earlier leader is lost"},
	[CAUSE_STOPPING] = {"stopping", "the process stops"},
};

typedef struct edge_call {
	TAILQ_ENTRY(edge_call) link;
	Lp__BatchCall *message;
	uint64_t started_us;
	uint64_t deadline_us;
	/* Node id of the leader whose reply is awaited; 0: the call must be sent (again). */
	uint32_t sent_to;
	/* peer_info_t.connections_ended of that leader when the call was sent. */
	uint64_t sent_connection;
	unsigned send_count;
	/* An earlier copy was possibly carried out, and the reply to it is lost. */
	bool uncertain;
	uint64_t ask_again_us; /* time before which the call is not sent again */
	edge_reply_fn done;
	void *arg;
} edge_call_t;

struct edge_link {
	const process_settings_t *settings;
	timer_service_t *timers;
	timer_sub_t call_check;
	peer_set_t *peers;
	vm_agent_t vm_agent;
	policy_agent_t policy_agent;
	TAILQ_HEAD(edge_calls, edge_call) calls;
	unsigned open_calls;
	uint64_t next_seq;
	uint32_t leader; /* node id of the latest active leader; 0: none known yet */
	uint64_t term;
	uint64_t last_hint_us;
	/* The leader has replied that it is none. Calls wait for the next hint of an active leader.
	 */
	bool leader_refused;
	bool refuses_calls;
	bool had_leader; /* whether a leader was known at the last tick; used to log changes */
	metrics_counter_t *calls_resent;
	metrics_counter_t *calls_unknown;
	metrics_counter_t *calls_unavailable;
	metrics_counter_t *answers[G_N_ELEMENTS(causes)];
	metrics_histogram_t *call_latency;
};

bool edge_link_has_leader(const edge_link_t *link)
{
	return link->leader != 0 &&
	       clock_now_us() < link->last_hint_us + LEADER_HINT_TIMEOUT_MS * US_PER_MS;
}

unsigned edge_link_open_calls(const edge_link_t *link)
{
	return link->open_calls;
}

static void finish_call(edge_link_t *link, edge_call_t *call, const Lp__BatchReply *reply)
{
	TAILQ_REMOVE(&link->calls, call, link);
	link->open_calls--;
	metrics_record_us(link->call_latency, clock_now_us() - call->started_us);
	call->done(call->arg, reply);
	lp__batch_call__free_unpacked(call->message, NULL);
	g_free(call);
}

/* Completes a call that was not carried out, or whose outcome is unknown. */
static void finish_without_reply(edge_link_t *link, edge_call_t *call, answer_cause_t cause)
{
	Lp__BatchReply reply = LP__BATCH_REPLY__INIT;
	bool unknown = call->uncertain || call->sent_to != 0;

	reply.answer = unknown ? LP__BATCH_ANSWER__BATCH_ANSWER_UNKNOWN
			       : LP__BATCH_ANSWER__BATCH_ANSWER_UNAVAILABLE;
	reply.retry_after_s = 1;
	reply.reason = (char *)causes[cause].text;
	metrics_add(unknown ? link->calls_unknown : link->calls_unavailable, 1);
	metrics_add(link->answers[cause], 1);
	finish_call(link, call, &reply);
}

/* Sends a call to the leader. @return false when no leader is known or its connection is down */
static bool send_call(edge_link_t *link, edge_call_t *call, uint64_t now_us)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	if (!edge_link_has_leader(link) || link->leader_refused)
		return false;
	call->message->resent = call->uncertain;
	call->message->remaining_ms =
		(uint32_t)((call->deadline_us - MIN(now_us, call->deadline_us)) / US_PER_MS);
	envelope.body_case = LP__ENVELOPE__BODY_BATCH_CALL;
	envelope.batch_call = call->message;
	if (peer_send(link->peers, link->leader, &envelope) != 0)
		return false;
	if (call->send_count > 0)
		metrics_add(link->calls_resent, 1);
	call->sent_to = link->leader;
	call->sent_connection = peer_info(link->peers, link->leader)->connections_ended;
	call->send_count++;
	return true;
}

void edge_link_call(edge_link_t *link, const Lp__BatchCall *message, uint32_t timeout_ms,
		    edge_reply_fn done, void *arg)
{
	edge_call_t *call = g_new0(edge_call_t, 1);
	uint64_t now_us = clock_now_us();

	*call = (edge_call_t){
		.message = message_copy(&message->base),
		.started_us = now_us,
		.deadline_us = now_us + timeout_ms * US_PER_MS,
		.done = done,
		.arg = arg,
	};
	call->message->seq = link->next_seq++;
	TAILQ_INSERT_TAIL(&link->calls, call, link);
	link->open_calls++;
	if (link->refuses_calls)
		finish_without_reply(link, call, CAUSE_STOPPING);
	else if (!edge_link_has_leader(link))
		finish_without_reply(link, call, CAUSE_NO_LEADER);
	else if (!send_call(link, call, now_us) && !link->leader_refused)
		finish_without_reply(link, call, CAUSE_NOT_CONNECTED);
}

/* --- messages --- */

static void add_peer(edge_link_t *link, uint32_t id, bool permanent)
{
	char address[32];
	peer_address_t peer = {.node_id = id, .address = address, .permanent = permanent};

	process_address(id, link->settings->peer_port, address, sizeof(address));
	peer_set_address(link->peers, &peer);
}

/* Prepares to send a call again whose earlier copy was possibly carried out. */
static void mark_uncertain(edge_call_t *call)
{
	if (call->sent_to != 0 && call->message->kind != LP__BATCH_CALL_KIND__BATCH_CALL_STATE)
		call->uncertain = true;
	call->sent_to = 0;
}

static void resend_to_new_leader(edge_link_t *link, uint64_t now_us)
{
	edge_call_t *call;

	TAILQ_FOREACH (call, &link->calls, link) {
		if (call->sent_to == link->leader || now_us < call->ask_again_us)
			continue;
		mark_uncertain(call);
		send_call(link, call, now_us);
	}
}

static void on_leader_hint(edge_link_t *link, uint32_t from, const Lp__LeaderHint *hint)
{
	for (size_t i = 0; i < hint->n_members; i++)
		add_peer(link, hint->members[i], false);
	if (!hint->serving || hint->term < link->term)
		return;
	if (hint->term > link->term || link->leader != from) {
		char id[16];
		char term[24];

		g_snprintf(id, sizeof(id), "%u", from);
		g_snprintf(term, sizeof(term), "%" PRIu64, hint->term);
		log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("leader", id, "term", term),
			  "leader changed");
	}
	link->leader = from;
	link->leader_refused = false;
	link->term = hint->term;
	link->last_hint_us = clock_now_us();
	resend_to_new_leader(link, link->last_hint_us);
}

/* True when the reply does not settle the outcome: the leader does not know it, or it says that
 * this copy had no effect while an earlier one can still be committed. */
static bool must_ask_again(const edge_call_t *call, Lp__BatchAnswer answer)
{
	return answer == LP__BATCH_ANSWER__BATCH_ANSWER_UNKNOWN ||
	       (call->uncertain && (answer == LP__BATCH_ANSWER__BATCH_ANSWER_UNAVAILABLE ||
				    answer == LP__BATCH_ANSWER__BATCH_ANSWER_REFUSED));
}

static void on_batch_reply(edge_link_t *link, uint32_t from, const Lp__BatchReply *reply)
{
	edge_call_t *call;

	TAILQ_FOREACH (call, &link->calls, link) {
		if (call->message->seq == reply->seq)
			break;
	}
	if (call == NULL)
		return;
	if (reply->answer == LP__BATCH_ANSWER__BATCH_ANSWER_NOT_LEADER) {
		/* The next hint of an active leader lets the call be sent again. */
		if (call->sent_to == from)
			call->sent_to = 0;
		if (link->leader == from)
			link->leader_refused = true;
		return;
	}
	if (must_ask_again(call, reply->answer)) {
		/* The reply to a copy that was sent since then settles the outcome. */
		if (call->sent_to != from)
			return;
		mark_uncertain(call);
		call->ask_again_us = clock_now_us() + ASK_AGAIN_MS * US_PER_MS;
		return;
	}
	if (reply->answer == LP__BATCH_ANSWER__BATCH_ANSWER_UNAVAILABLE)
		metrics_add(link->answers[CAUSE_UNAVAILABLE], 1);
	else if (reply->answer == LP__BATCH_ANSWER__BATCH_ANSWER_REFUSED)
		metrics_add(link->answers[CAUSE_REFUSED], 1);
	finish_call(link, call, reply);
}

static void on_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	edge_link_t *link = arg;

	if (envelope->body_case == LP__ENVELOPE__BODY_LEADER_HINT)
		on_leader_hint(link, from, envelope->leader_hint);
	else if (envelope->body_case == LP__ENVELOPE__BODY_BATCH_REPLY)
		on_batch_reply(link, from, envelope->batch_reply);
	else if (envelope->body_case == LP__ENVELOPE__BODY_VM_ORDER)
		vm_agent_handle_request(&link->vm_agent, from, envelope->vm_order);
	else if (envelope->body_case == LP__ENVELOPE__BODY_POLICY_QUERY)
		policy_agent_handle_query(&link->policy_agent, from, envelope->policy_query);
}

static void on_peer_change(void *arg, const peer_info_t *info)
{
	char id[16];

	g_snprintf(id, sizeof(id), "%u", info->node_id);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("peer", id, "data_centre", info->data_centre),
		  info->up ? "peer is up" : "peer is down");
}

/* True when the call, or the reply to it, was possibly lost with a connection. */
static bool is_copy_lost(const edge_link_t *link, const edge_call_t *call)
{
	const peer_info_t *info;

	if (call->sent_to == 0)
		return false;
	info = peer_info(link->peers, call->sent_to);
	return info == NULL || info->connections_ended != call->sent_connection;
}

static answer_cause_t cause_at_deadline(const edge_call_t *call)
{
	if (call->uncertain)
		return CAUSE_REPLY_LOST;
	return call->sent_to != 0 ? CAUSE_NO_REPLY : CAUSE_NOT_SENT_IN_TIME;
}

static void check_calls(void *arg, uint64_t now_us)
{
	edge_link_t *link = arg;
	bool has_leader = edge_link_has_leader(link);
	edge_call_t *call;
	edge_call_t *next;

	if (has_leader != link->had_leader)
		log_event(G_LOG_LEVEL_MESSAGE, NULL,
			  has_leader ? "active leader found, ready"
				     : "no active leader, not ready");
	link->had_leader = has_leader;
	for (call = TAILQ_FIRST(&link->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (is_copy_lost(link, call))
			mark_uncertain(call);
		if (now_us >= call->deadline_us)
			finish_without_reply(link, call, cause_at_deadline(call));
		else if (call->sent_to == 0 && !call->uncertain && !has_leader)
			finish_without_reply(link, call, CAUSE_NO_LEADER);
		else if (call->sent_to == 0 && now_us >= call->ask_again_us)
			send_call(link, call, now_us);
	}
}

/* --- creation and destruction --- */

void edge_link_set_seeds(edge_link_t *link, const process_settings_t *settings)
{
	for (size_t i = 0; i < settings->seed_count; i++)
		add_peer(link, settings->seeds[i], true);
}

edge_link_t *edge_link_create(const edge_link_options_t *options, char *error, size_t error_size)
{
	const process_settings_t *settings = options->settings;
	edge_link_t *link = g_new0(edge_link_t, 1);
	uint64_t incarnation = 0;
	char address[32];
	peer_config_t config;
	const peer_callbacks_t callbacks = {
		.message_received = on_message, .peer_changed = on_peer_change, .arg = link};

	if (getrandom(&incarnation, sizeof(incarnation), 0) != (ssize_t)sizeof(incarnation))
		incarnation = clock_wall_ms();
	process_address(settings->node_id, settings->peer_port, address, sizeof(address));
	config = process_peer_config(settings, incarnation, address);
	link->settings = settings;
	link->timers = options->timers;
	/* A reply to a call of an earlier incarnation of this process must not match a new call. */
	link->next_seq = incarnation;
	TAILQ_INIT(&link->calls);
	link->calls_resent = metrics_counter(options->metrics, "edge_calls_resent_total", "");
	link->calls_unknown = metrics_counter(options->metrics, "edge_calls_unknown_total", "");
	link->calls_unavailable =
		metrics_counter(options->metrics, "edge_calls_unavailable_total", "");
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		g_autofree char *label = g_strdup_printf("cause=\"%s\"", causes[i].label);

		link->answers[i] = metrics_counter(options->metrics, "edge_answers_total", label);
	}
	link->call_latency = metrics_histogram(options->metrics, "edge_call_latency_us", "");
	link->peers =
		peer_set_create(options->ev, options->ev, options->timers, &config, &callbacks);
	if (link->peers == NULL) {
		g_snprintf(error, error_size, "%s: %s", address, strerror(errno));
		g_free(link);
		return NULL;
	}
	vm_agent_init(&link->vm_agent, &options->port, link->peers, options->metrics);
	policy_agent_init(&link->policy_agent, &options->port, link->peers, options->metrics);
	edge_link_set_seeds(link, settings);
	timer_subscribe(link->timers, &link->call_check, CALL_CHECK_MS * US_PER_MS, check_calls,
			link);
	return link;
}

void edge_link_refuse_calls(edge_link_t *link)
{
	link->refuses_calls = true;
}

void edge_link_finish_calls(edge_link_t *link)
{
	edge_call_t *call;
	edge_call_t *next;

	for (call = TAILQ_FIRST(&link->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		finish_without_reply(link, call, CAUSE_STOPPING);
	}
}

void edge_link_destroy(edge_link_t *link)
{
	timer_unsubscribe(link->timers, &link->call_check);
	edge_link_finish_calls(link);
	peer_set_destroy(link->peers);
	g_free(link);
}
