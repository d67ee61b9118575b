#define G_LOG_DOMAIN "proxy"

#include "proxy.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "proxy_internal.h"

#define CONNECT_TIMEOUT_MS 500
#define IDEMPOTENCY_KEY_MAX 200
#define RESPONSE_BODY_MAX (16U << 20)
/* Limit of the attempts for one request. Needed in addition to the retry budget, because attempts
 * cancelled before sending are not charged to it. */
#define ATTEMPTS_MAX 6
/* Lower limit of the attempt timeout of a repeatable request. */
#define PROGRESS_TIMEOUT_MIN_MS 200

static void admit_request(proxy_request_t *request);
static void forward_request(proxy_request_t *request);
static void handle_route_state(proxy_request_t *request, route_state_t state);

/* --- replies --- */

static void count_request(const proxy_request_t *request, verdict_t outcome)
{
	metrics_t *metrics = request->proxy->config.metrics;
	char labels[3 * ROUTE_NAME_MAX + 64];
	int used = g_snprintf(labels, sizeof(labels), "organisation=\"%s\",class=\"%s\"",
			      request->path.organisation, request->ticket.class_name);

	metrics_record_us(metrics_histogram(metrics, "lavenderpass_request_us", labels),
			  clock_now_us() - request->started_us);
	g_snprintf(labels + used, sizeof(labels) - (size_t)used, ",outcome=\"%s\"",
		   verdict_name(outcome));
	metrics_add(metrics_counter(metrics, "lavenderpass_requests_total", labels), 1);
}

static void log_request(const proxy_request_t *request, unsigned status, verdict_t outcome,
			const char *reason)
{
	request_log_t *log = request->proxy->config.request_log;
	request_log_entry_t entry = {
		.outcome = outcome,
		.status = status,
		.replied_wall_ms = clock_wall_ms(),
		.duration_us = clock_now_us() - request->started_us,
	};

	if (log == NULL)
		return;
	g_strlcpy(entry.id, request->id, sizeof(entry.id));
	if (request->path.organisation != NULL)
		g_strlcpy(entry.organisation, request->path.organisation,
			  sizeof(entry.organisation));
	if (request->path.service != NULL)
		g_strlcpy(entry.service, request->path.service, sizeof(entry.service));
	if (request->admitted)
		g_strlcpy(entry.class_name, request->ticket.class_name, sizeof(entry.class_name));
	if (reason != NULL)
		g_strlcpy(entry.reason, reason, sizeof(entry.reason));
	request_log_add(log, &entry);
}

static void request_free(proxy_request_t *request)
{
	g_queue_unlink(&request->proxy->requests, &request->queue_link);
	proxy_path_clear(&request->path);
	g_free(request->recorded_outcome.content_type);
	g_free(request->recorded_outcome.body.data);
	if (request->response_headers != NULL)
		g_array_unref(request->response_headers);
	g_free(request);
}

static void reply(proxy_request_t *request, unsigned status, verdict_t outcome,
		  const GArray *headers, const void *body, size_t length)
{
	GArray *all_headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	const http_header_t own_headers[] = {
		{.name = HEADER_OUTCOME, .value = verdict_name(outcome)},
		{.name = HEADER_REQUEST_ID, .value = request->id},
	};

	if (headers != NULL)
		g_array_append_vals(all_headers, headers->data, headers->len);
	g_array_append_vals(all_headers, own_headers, G_N_ELEMENTS(own_headers));
	log_request(request, status, outcome, request->reason);
	if (request->admitted)
		route_close_request(request->proxy->config.routes, &request->ticket);
	count_request(request, outcome);
	http_request_reply(request->http, status, (const http_header_t *)(void *)all_headers->data,
			   all_headers->len, body, length);
	g_array_unref(all_headers);
	request_free(request);
}

static void reply_text(proxy_request_t *request, unsigned status, verdict_t outcome,
		       const char *text)
{
	const http_header_t text_headers[] = {
		{.name = "Content-Type", .value = "text/plain"},
		{.name = "Retry-After", .value = "1"},
	};
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	char *body = g_strconcat(text, "\n", NULL);

	request->reason = text;

	g_array_append_vals(headers, text_headers, status == 503 || status == 429 ? 2 : 1);
	reply(request, status, outcome, headers, body, strlen(body));
	g_array_unref(headers);
	g_free(body);
}

/*
 * Replies without the response of a target: with the outcome "unknown" when an earlier attempt may
 * have run the request, otherwise with "not-run" and the given status and reason.
 */
static void fail_request(proxy_request_t *request, unsigned status, const char *reason)
{
	metrics_t *metrics = request->proxy->config.metrics;
	char labels[128];

	if (request->may_have_run) {
		proxy_claim_abandon(request);
		reply_text(request, 504, VERDICT_UNKNOWN, "no complete answer was received");
		return;
	}
	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	metrics_add(metrics_counter(metrics, "lavenderpass_refused_total", labels), 1);
	proxy_claim_release(request);
	reply_text(request, status, VERDICT_NOT_RUN, reason);
}

static char *copy_body(const void *body, size_t length)
{
	return g_memdup2(body, length);
}

/* Replies with a target's complete response. When the request holds a claim, the response is
 * recorded first. */
static void deliver_response(proxy_request_t *request, const http_call_result_t *result)
{
	GArray *headers = proxy_response_headers(result);
	const char *type = http_call_header(result, "Content-Type");

	if (!request->holds_claim) {
		reply(request, result->status, VERDICT_RAN, headers, result->body,
		      result->body_length);
		g_array_unref(headers);
		return;
	}
	lp__outcome__init(&request->recorded_outcome);
	request->recorded_outcome.status = result->status;
	request->recorded_outcome.content_type = g_strdup(type != NULL ? type : "");
	request->recorded_outcome.body.data =
		(uint8_t *)copy_body(result->body, result->body_length);
	request->recorded_outcome.body.len = result->body_length;
	request->response_headers = headers;
	proxy_claim_record_outcome(request);
}

void proxy_on_outcome_recorded(proxy_request_t *request)
{
	reply(request, request->recorded_outcome.status, VERDICT_RAN, request->response_headers,
	      request->recorded_outcome.body.data, request->recorded_outcome.body.len);
}

/* --- attempts --- */

static bool may_still_send(void *arg)
{
	const proxy_request_t *request = arg;

	return route_grant_is_valid(request->proxy->config.routes, &request->ticket,
				    clock_now_us());
}

static router_result_t attempt_result(verdict_t outcome, const http_call_result_t *result)
{
	if (result->cancelled_before_send)
		return ROUTER_CANCELLED;
	switch (outcome) {
	case VERDICT_RAN:
		return result->status >= 500 ? ROUTER_FAILED : ROUTER_OK;
	case VERDICT_NOT_RUN:
		return result->complete ? ROUTER_REFUSED : ROUTER_FAILED;
	case VERDICT_UNKNOWN:
		break;
	}
	return ROUTER_FAILED;
}

static void finish_attempt(proxy_request_t *request, router_result_t result)
{
	uint64_t now_us = clock_now_us();

	if (!request->to_entry_process)
		route_finish_attempt(request->proxy->config.routes, &request->ticket, result,
				     now_us - request->sent_us, now_us);
}

static void retry_request(proxy_request_t *request, verdict_t outcome, bool was_sent)
{
	uint64_t now_us = clock_now_us();
	proxy_t *proxy = request->proxy;
	bool may_retry = outcome == VERDICT_NOT_RUN || request->ticket.repeatable;

	if (!may_retry || request->to_entry_process || request->client_disconnected ||
	    proxy->stopping || now_us >= request->ticket.entry.deadline_us ||
	    request->ticket.attempts >= ATTEMPTS_MAX) {
		fail_request(request, 503, "the request could not be run");
		return;
	}
	if (was_sent)
		metrics_add(proxy->retries_total, 1);
	handle_route_state(request,
			   route_retry(proxy->config.routes, &request->ticket, was_sent, now_us));
}

static void on_call_done(void *arg, const http_call_result_t *result)
{
	proxy_request_t *request = arg;
	verdict_t outcome = proxy_attempt_outcome(result, request->to_entry_process);

	request->call = NULL;
	if (result->mismatched)
		metrics_add(request->proxy->mismatched_total, 1);
	request->ticket.timed_out = result->timed_out;
	finish_attempt(request, attempt_result(outcome, result));
	if (outcome == VERDICT_RAN) {
		deliver_response(request, result);
		return;
	}
	if (outcome == VERDICT_UNKNOWN)
		request->may_have_run = true;
	retry_request(request, outcome, !result->cancelled_before_send);
}

/*
 * Returns the time without progress after which an attempt fails. An attempt to send a repeatable
 * request to a target times out early, to leave time for a retry. All other attempts have until the
 * deadline: those of requests that must not be repeated, those sent to another entry process, and
 * those for which no attempt timeout is known yet.
 */
static uint32_t progress_timeout_ms(const proxy_request_t *request, uint32_t remaining_ms)
{
	const route_ticket_t *ticket = &request->ticket;

	if (!ticket->repeatable || request->to_entry_process || ticket->attempt_timeout_us == 0)
		return remaining_ms;
	return (uint32_t)MIN(MAX(ticket->attempt_timeout_us / US_PER_MS, PROGRESS_TIMEOUT_MIN_MS),
			     remaining_ms);
}

static void send_to(proxy_request_t *request, const char *address)
{
	const char *query = http_request_query(request->http);
	uint64_t now_us = clock_now_us();
	uint64_t deadline_us = request->ticket.entry.deadline_us;
	uint32_t remaining_ms =
		deadline_us > now_us ? (uint32_t)((deadline_us - now_us) / US_PER_MS) + 1 : 1;
	const char *path = request->to_entry_process ? http_request_path(request->http)
						     : request->path.target_path;
	char *url = g_strconcat("http://", address, path, *query != '\0' ? "?" : "", query, NULL);
	GArray *headers = proxy_outgoing_headers(request, now_us);
	const http_header_t request_id_header = {.name = HEADER_REQUEST_ID, .value = request->id};
	size_t length;
	const void *body = http_request_body(request->http, &length);
	const http_call_request_t call = {
		.method = http_request_method(request->http),
		.url = url,
		.headers = (const http_header_t *)(void *)headers->data,
		.header_count = headers->len,
		.body = body,
		.body_length = length,
		.connect_timeout_ms = MIN(CONNECT_TIMEOUT_MS, remaining_ms),
		.timeout_ms = remaining_ms,
		.progress_timeout_ms = progress_timeout_ms(request, remaining_ms),
		.response_limit = RESPONSE_BODY_MAX,
		.before_send = request->to_entry_process ? NULL : may_still_send,
		.before_send_arg = request,
		.fresh_connection = !request->ticket.repeatable,
		.expected_header = &request_id_header,
	};

	request->state = PROXY_SENT;
	request->sent_us = now_us;
	metrics_add(request->proxy->attempts_total, 1);
	request->call =
		http_client_send(request->proxy->config.client, &call, on_call_done, request);
	g_array_unref(headers);
	g_free(url);
	if (request->call != NULL)
		return;
	finish_attempt(request, ROUTER_CANCELLED);
	fail_request(request, 503, "out of memory");
}

static void forward_request(proxy_request_t *request)
{
	char address[ROUTE_NAME_MAX];

	/* A request with a claim is not forwarded: the other entry process would claim the same key
	 * and find it held by this process. */
	if (request->from_entry_process || request->holds_claim || request->to_entry_process ||
	    !route_forward_address(request->proxy->config.routes, address, sizeof(address))) {
		fail_request(request, 503, "the pool has no usable target");
		return;
	}
	request->to_entry_process = true;
	metrics_add(request->proxy->forwards_total, 1);
	send_to(request, address);
}

static void handle_route_state(proxy_request_t *request, route_state_t state)
{
	switch (state) {
	case ROUTE_QUEUED:
		request->state = PROXY_QUEUED;
		return;
	case ROUTE_GRANTED:
		send_to(request, request->ticket.address);
		return;
	case ROUTE_NO_TARGET:
		forward_request(request);
		return;
	case ROUTE_QUEUE_FULL:
		fail_request(request, 503, "the queue is full");
		return;
	case ROUTE_TOO_LATE:
		fail_request(request, 503, "the request would miss its deadline");
		return;
	case ROUTE_QUOTA_EXCEEDED:
		fail_request(request, 429, "the team's quota is used up");
		return;
	case ROUTE_SHARE_EXCEEDED:
		fail_request(request, 503, "the organisation's share is used up");
		return;
	case ROUTE_NO_BUDGET:
		fail_request(request, 503, "the retry budget is used up");
		return;
	case ROUTE_REMOVED:
		fail_request(request, 503, "the pool or class was removed");
		return;
	}
}

/* --- admission --- */

static void on_ticket_settled(void *arg)
{
	proxy_request_t *request = arg;

	if (request->ticket.state == ROUTE_GRANTED &&
	    (request->client_disconnected || request->proxy->stopping)) {
		finish_attempt(request, ROUTER_CANCELLED);
		fail_request(request, 503, "the client is gone");
		return;
	}
	handle_route_state(request, request->ticket.state);
}

static void post_ticket_settled(route_ticket_t *ticket)
{
	proxy_request_t *request = (proxy_request_t *)ticket;

	mailbox_post(request->proxy->config.mailbox, on_ticket_settled, request);
}

static void admit_request(proxy_request_t *request)
{
	const char *team = http_request_header(request->http, HEADER_TEAM);

	request->admitted = true;
	handle_route_state(request, route_admit(request->proxy->config.routes, &request->ticket,
						team, clock_now_us()));
}

static void reply_recorded_outcome(proxy_request_t *request, const Lp__Outcome *outcome)
{
	http_header_t type = {.name = "Content-Type", .value = outcome->content_type};
	GArray *headers;

	if (outcome->truncated) {
		reply_text(request, 409, VERDICT_RAN,
			   "the request ran before; its answer was too large to be kept");
		return;
	}
	headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	if (*outcome->content_type != '\0')
		g_array_append_val(headers, type);
	reply(request, outcome->status, VERDICT_RAN, headers, outcome->body.data,
	      outcome->body.len);
	g_array_unref(headers);
}

void proxy_on_claim_result(proxy_request_t *request, claims_result_t result, uint64_t claim_id,
			   const Lp__Outcome *outcome)
{
	switch (result) {
	case CLAIMS_STORED:
		reply_recorded_outcome(request, outcome);
		return;
	case CLAIMS_UNKNOWN:
		reply_text(request, 409, VERDICT_UNKNOWN,
			   "another attempt may hold the idempotency key");
		return;
	case CLAIMS_GRANTED:
		break;
	}
	request->claim_id = claim_id;
	request->holds_claim = true;
	if (request->client_disconnected || request->proxy->stopping)
		fail_request(request, 503, "the client is gone");
	else
		admit_request(request);
}

/* --- disconnected clients --- */

static void cancel_call(proxy_request_t *request)
{
	http_call_cancel(request->call);
	request->call = NULL;
	request->may_have_run = true;
	finish_attempt(request, ROUTER_CANCELLED);
	fail_request(request, 503, "the client is gone");
}

/* Cancels a queued request, or a sent one that is repeatable. A sent request that must not be
 * repeated continues, so that its outcome is recorded. */
static void on_client_disconnected(void *arg)
{
	proxy_request_t *request = arg;

	request->client_disconnected = true;
	switch (request->state) {
	case PROXY_QUEUED:
		if (route_cancel(request->proxy->config.routes, &request->ticket))
			fail_request(request, 503, "the client is gone");
		return;
	case PROXY_SENT:
		if (request->ticket.repeatable)
			cancel_call(request);
		return;
	case PROXY_CLAIMING:
	case PROXY_RECORDING:
		return;
	}
}

/* --- start of a request --- */

/* A forwarded request keeps its id, because the entry process that forwarded it checks the id in
 * the response. */
static void set_request_id(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	const char *given = http_request_header(request->http, HEADER_REQUEST_ID);

	if (request->from_entry_process && given != NULL && strlen(given) < sizeof(request->id)) {
		g_strlcpy(request->id, given, sizeof(request->id));
		return;
	}
	g_snprintf(request->id, sizeof(request->id), "%016" PRIx64 "-%" PRIu64, proxy->id_prefix,
		   ++proxy->last_sequence);
}

/* Sets the deadline to that of the request class, or to an earlier one that the client asks for. */
static void set_deadline(proxy_request_t *request)
{
	const char *given = http_request_header(request->http, HEADER_DEADLINE_MS);
	uint64_t time_limit_ms = request->ticket.deadline_ms;
	guint64 requested_ms;

	if (given != NULL &&
	    g_ascii_string_to_unsigned(given, 10, 1, G_MAXUINT32, &requested_ms, NULL))
		time_limit_ms = MIN(time_limit_ms, requested_ms);
	request->ticket.entry.time_limit_us = time_limit_ms * US_PER_MS;
	request->ticket.entry.deadline_us = request->started_us + time_limit_ms * US_PER_MS;
}

static void start_claim(proxy_request_t *request)
{
	const char *key = http_request_header(request->http, HEADER_IDEMPOTENCY_KEY);

	if (key == NULL || *key == '\0' || strlen(key) > IDEMPOTENCY_KEY_MAX) {
		reply_text(request, 400, VERDICT_NOT_RUN,
			   "this class needs an Idempotency-Key of 1 to 200 bytes");
		return;
	}
	proxy_claim_acquire(request, key);
}

static void start_request(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	uint64_t now_us = request->started_us;

	set_deadline(request);
	http_request_set_disconnect_handler(request->http, on_client_disconnected, request);
	if (proxy->stopping)
		fail_request(request, 503, "the process is stopping");
	else if (!route_has_usable_target(proxy->config.routes, &request->ticket, now_us))
		forward_request(request);
	else if (!request->ticket.repeatable)
		start_claim(request);
	else
		admit_request(request);
}

void proxy_handle_request(proxy_t *proxy, http_request_t *http)
{
	proxy_request_t *request = g_new0(proxy_request_t, 1);
	const char *reason;

	request->proxy = proxy;
	request->http = http;
	request->started_us = clock_now_us();
	request->ticket.notify = post_ticket_settled;
	request->from_entry_process = http_request_header(http, HEADER_FORWARDED) != NULL;
	g_strlcpy(request->ticket.class_name, "none", sizeof(request->ticket.class_name));
	request->queue_link.data = request;
	g_queue_push_head_link(&proxy->requests, &request->queue_link);
	set_request_id(request);
	if (proxy_path_parse(http_request_path(http), &request->path, &reason) != 0) {
		request->path.organisation = g_strdup("none");
		reply_text(request, 400, VERDICT_NOT_RUN, reason);
		return;
	}
	switch (route_find_class(proxy->config.routes, &request->ticket, request->path.organisation,
				 request->path.service, request->path.decoded_path)) {
	case ROUTE_UNKNOWN_POOL:
		/* The path's organisation is not used as a metrics label: clients could create any
		 * number of labels with made-up names. */
		g_free(request->path.organisation);
		request->path.organisation = g_strdup("none");
		reply_text(request, 404, VERDICT_NOT_RUN, "no such organisation or service");
		return;
	case ROUTE_UNKNOWN_CLASS:
		reply_text(request, 404, VERDICT_NOT_RUN, "no request class for this path");
		return;
	case ROUTE_CLASS_FOUND:
		start_request(request);
		return;
	}
}

/* --- life cycle of the proxy --- */

proxy_t *proxy_create(const proxy_config_t *config)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	GRand *id_random = g_rand_new();

	proxy->config = *config;
	proxy->mailbox_ref = proxy_mailbox_ref_create(config->mailbox);
	g_queue_init(&proxy->requests);
	/* The prefix does not come from config.seed, because request ids must differ between
	 * processes and restarts. */
	proxy->id_prefix = (uint64_t)g_rand_int(id_random) << 32 | g_rand_int(id_random);
	g_rand_free(id_random);
	proxy->mismatched_total =
		metrics_counter(config->metrics, "lavenderpass_mismatched_total", "");
	proxy->attempts_total = metrics_counter(config->metrics, "lavenderpass_attempts_total", "");
	proxy->retries_total = metrics_counter(config->metrics, "lavenderpass_retries_total", "");
	proxy->forwards_total = metrics_counter(config->metrics, "lavenderpass_forwards_total", "");
	return proxy;
}

unsigned proxy_request_count(const proxy_t *proxy)
{
	return proxy->requests.length;
}

void proxy_stop(proxy_t *proxy)
{
	GList *next;

	proxy->stopping = true;
	proxy_mailbox_ref_close(proxy->mailbox_ref);
	for (GList *link = proxy->requests.head; link != NULL; link = next) {
		proxy_request_t *request = link->data;

		next = link->next;
		if (request->state == PROXY_QUEUED &&
		    route_cancel(proxy->config.routes, &request->ticket))
			fail_request(request, 503, "the process is stopping");
		else if (request->state == PROXY_SENT)
			cancel_call(request);
	}
}

void proxy_destroy(proxy_t *proxy)
{
	proxy_request_t *request;

	/* A claim that is granted from now on cannot be reported to the proxy any more, so the
	 * control thread releases it. */
	while ((request = g_queue_peek_head(&proxy->requests)) != NULL) {
		if (request->state == PROXY_RECORDING)
			proxy_on_outcome_recorded(request);
		else
			fail_request(request, 503, "the process is stopping");
	}
	g_free(proxy);
}
