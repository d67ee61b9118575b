#define G_LOG_DOMAIN "proxy"

#include "proxy.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "proxy_internal.h"

#define CONNECT_TIMEOUT_MS 500
#define KEY_MAX 200
#define RESPONSE_LIMIT (16U << 20)
/* Attempts that were cancelled before sending cost no budget; this bounds them. */
#define ATTEMPTS_MAX 6
/* Least silence that is taken for a dead connection of a repeatable request. */
#define PROGRESS_MIN_MS 200

static void admit(proxy_request_t *request);
static void forward(proxy_request_t *request);
static void proceed(proxy_request_t *request, route_state_t state);

/* --- answers --- */

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
	request_log_t *log = request->proxy->config.log;
	request_log_entry_t entry = {
		.outcome = outcome,
		.status = status,
		.wall_ms = clock_wall_ms(),
		.took_us = clock_now_us() - request->started_us,
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
	g_queue_unlink(&request->proxy->requests, &request->link);
	proxy_path_clear(&request->path);
	g_free(request->answer.content_type);
	g_free(request->answer.body.data);
	if (request->answer_headers != NULL)
		g_array_unref(request->answer_headers);
	g_free(request);
}

static void reply(proxy_request_t *request, unsigned status, verdict_t outcome,
		  const GArray *headers, const void *body, size_t length)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	const http_header_t own[] = {
		{.name = HEADER_OUTCOME, .value = verdict_name(outcome)},
		{.name = HEADER_REQUEST_ID, .value = request->id},
	};

	if (headers != NULL)
		g_array_append_vals(all, headers->data, headers->len);
	g_array_append_vals(all, own, G_N_ELEMENTS(own));
	log_request(request, status, outcome, request->reason);
	if (request->admitted)
		route_close(request->proxy->config.routes, &request->ticket);
	count_request(request, outcome);
	http_request_reply(request->http, status, (const http_header_t *)(void *)all->data,
			   all->len, body, length);
	g_array_unref(all);
	request_free(request);
}

static void reply_text(proxy_request_t *request, unsigned status, verdict_t outcome,
		       const char *text)
{
	const http_header_t header[] = {
		{.name = "Content-Type", .value = "text/plain"},
		{.name = "Retry-After", .value = "1"},
	};
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));
	char *body = g_strconcat(text, "\n", NULL);

	request->reason = text;

	g_array_append_vals(headers, header, status == 503 || status == 429 ? 2 : 1);
	reply(request, status, outcome, headers, body, strlen(body));
	g_array_unref(headers);
	g_free(body);
}

/* Ends a request without an answer of a target; truthful also after earlier attempts. */
static void give_up(proxy_request_t *request, unsigned status, const char *reason)
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

/* Passes on a complete answer, after recording it when the request holds a claim. */
static void pass_on(proxy_request_t *request, const http_call_result_t *result)
{
	GArray *headers = proxy_answer_headers(result);
	const char *type = http_call_header(result, "Content-Type");

	if (!request->claimed) {
		reply(request, result->status, VERDICT_RAN, headers, result->body,
		      result->body_length);
		g_array_unref(headers);
		return;
	}
	lp__outcome__init(&request->answer);
	request->answer.status = result->status;
	request->answer.content_type = g_strdup(type != NULL ? type : "");
	request->answer.body.data = (uint8_t *)copy_body(result->body, result->body_length);
	request->answer.body.len = result->body_length;
	request->answer_headers = headers;
	proxy_claim_record(request);
}

void proxy_on_recorded(proxy_request_t *request)
{
	reply(request, request->answer.status, VERDICT_RAN, request->answer_headers,
	      request->answer.body.data, request->answer.body.len);
}

/* --- attempts --- */

static bool check_before_send(void *arg)
{
	const proxy_request_t *request = arg;

	return route_check(request->proxy->config.routes, &request->ticket, clock_now_us());
}

static router_result_t router_result(verdict_t verdict, const http_call_result_t *result)
{
	if (result->refused_before_send)
		return ROUTER_CANCELLED;
	switch (verdict) {
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

	if (!request->forwarding)
		route_finish(request->proxy->config.routes, &request->ticket, result,
			     now_us - request->sent_us, now_us);
}

static void try_again(proxy_request_t *request, verdict_t verdict, bool was_sent)
{
	uint64_t now_us = clock_now_us();
	proxy_t *proxy = request->proxy;
	bool allowed = verdict == VERDICT_NOT_RUN || request->ticket.repeatable;

	if (!allowed || request->forwarding || request->client_gone || proxy->stopping ||
	    now_us >= request->ticket.entry.deadline_us ||
	    request->ticket.attempts >= ATTEMPTS_MAX) {
		give_up(request, 503, "the request could not be run");
		return;
	}
	if (was_sent)
		metrics_add(proxy->retries, 1);
	proceed(request, route_retry(proxy->config.routes, &request->ticket, was_sent, now_us));
}

static void on_call_done(void *arg, const http_call_result_t *result)
{
	proxy_request_t *request = arg;
	verdict_t verdict = proxy_attempt_verdict(result, request->forwarding);

	request->call = NULL;
	if (result->mismatched)
		metrics_add(request->proxy->mismatched, 1);
	request->ticket.timed_out = result->timed_out;
	finish_attempt(request, router_result(verdict, result));
	if (verdict == VERDICT_RAN) {
		pass_on(request, result);
		return;
	}
	if (verdict == VERDICT_UNKNOWN)
		request->may_have_run = true;
	try_again(request, verdict, !result->refused_before_send);
}

/*
 * Silence after which an attempt is given up. A repeatable request has time for another one; one
 * that may not be repeated waits for its answer to the end.
 */
static uint32_t progress_timeout_ms(const proxy_request_t *request, uint32_t remaining_ms)
{
	const route_ticket_t *ticket = &request->ticket;

	if (!ticket->repeatable || request->forwarding || ticket->patience_us == 0)
		return remaining_ms;
	return (uint32_t)MIN(MAX(ticket->patience_us / US_PER_MS, PROGRESS_MIN_MS), remaining_ms);
}

static void send_to(proxy_request_t *request, const char *address)
{
	const char *query = http_request_query(request->http);
	uint64_t now_us = clock_now_us();
	uint64_t deadline_us = request->ticket.entry.deadline_us;
	uint32_t remaining_ms =
		deadline_us > now_us ? (uint32_t)((deadline_us - now_us) / US_PER_MS) + 1 : 1;
	const char *path =
		request->forwarding ? http_request_path(request->http) : request->path.path;
	char *url = g_strconcat("http://", address, path, *query != '\0' ? "?" : "", query, NULL);
	GArray *headers = proxy_request_headers(request, now_us);
	const http_header_t echo = {.name = HEADER_REQUEST_ID, .value = request->id};
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
		.response_limit = RESPONSE_LIMIT,
		.before_send = request->forwarding ? NULL : check_before_send,
		.before_send_arg = request,
		.fresh_connection = !request->ticket.repeatable,
		.expected_echo = &echo,
	};

	request->step = PROXY_SENT;
	request->sent_us = now_us;
	metrics_add(request->proxy->attempts, 1);
	request->call =
		http_client_send(request->proxy->config.client, &call, on_call_done, request);
	g_array_unref(headers);
	g_free(url);
	if (request->call != NULL)
		return;
	finish_attempt(request, ROUTER_CANCELLED);
	give_up(request, 503, "out of memory");
}

static void forward(proxy_request_t *request)
{
	char address[ROUTE_NAME_MAX];

	/* The other process claims the key itself and would find it held. */
	if (request->forwarded || request->claimed || request->forwarding ||
	    !route_forward_address(request->proxy->config.routes, address, sizeof(address))) {
		give_up(request, 503, "the pool has no usable target");
		return;
	}
	request->forwarding = true;
	metrics_add(request->proxy->forwards, 1);
	send_to(request, address);
}

static void proceed(proxy_request_t *request, route_state_t state)
{
	switch (state) {
	case ROUTE_QUEUED:
		request->step = PROXY_QUEUED;
		return;
	case ROUTE_GRANTED:
		send_to(request, request->ticket.address);
		return;
	case ROUTE_NO_TARGET:
		forward(request);
		return;
	case ROUTE_FULL:
		give_up(request, 503, "the queue is full");
		return;
	case ROUTE_LATE:
		give_up(request, 503, "the request would miss its deadline");
		return;
	case ROUTE_QUOTA:
		give_up(request, 429, "the team's quota is used up");
		return;
	case ROUTE_SHARE:
		give_up(request, 503, "the organisation's share is used up");
		return;
	case ROUTE_NO_BUDGET:
		give_up(request, 503, "the retry budget is used up");
		return;
	case ROUTE_GONE:
		give_up(request, 503, "the pool or class was removed");
		return;
	}
}

/* --- admission --- */

static void on_settled(void *arg)
{
	proxy_request_t *request = arg;

	if (request->ticket.state == ROUTE_GRANTED &&
	    (request->client_gone || request->proxy->stopping)) {
		finish_attempt(request, ROUTER_CANCELLED);
		give_up(request, 503, "the client is gone");
		return;
	}
	proceed(request, request->ticket.state);
}

static void notify(route_ticket_t *ticket)
{
	proxy_request_t *request = (proxy_request_t *)ticket;

	mailbox_post(request->proxy->config.mailbox, on_settled, request);
}

static void admit(proxy_request_t *request)
{
	const char *team = http_request_header(request->http, HEADER_TEAM);

	request->admitted = true;
	proceed(request,
		route_admit(request->proxy->config.routes, &request->ticket, team, clock_now_us()));
}

static void reply_stored(proxy_request_t *request, const Lp__Outcome *outcome)
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

void proxy_on_claim(proxy_request_t *request, claims_result_t result, uint64_t claim,
		    const Lp__Outcome *outcome)
{
	switch (result) {
	case CLAIMS_STORED:
		reply_stored(request, outcome);
		return;
	case CLAIMS_UNKNOWN:
		reply_text(request, 409, VERDICT_UNKNOWN,
			   "another attempt may hold the idempotency key");
		return;
	case CLAIMS_GRANTED:
		break;
	}
	request->claim = claim;
	request->claimed = true;
	if (request->client_gone || request->proxy->stopping)
		give_up(request, 503, "the client is gone");
	else
		admit(request);
}

/* --- clients that leave --- */

static void cancel_call(proxy_request_t *request)
{
	http_call_cancel(request->call);
	request->call = NULL;
	request->may_have_run = true;
	finish_attempt(request, ROUTER_CANCELLED);
	give_up(request, 503, "the client is gone");
}

/* A request that may not be repeated goes on once it is sent, so that its outcome is recorded. */
static void on_client_gone(void *arg)
{
	proxy_request_t *request = arg;

	request->client_gone = true;
	switch (request->step) {
	case PROXY_QUEUED:
		if (route_cancel(request->proxy->config.routes, &request->ticket))
			give_up(request, 503, "the client is gone");
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

/* --- start --- */

/* The id of a forwarded request is kept: the first process checks its echo. */
static void set_id(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	const char *given = http_request_header(request->http, HEADER_REQUEST_ID);

	if (request->forwarded && given != NULL && strlen(given) < sizeof(request->id)) {
		g_strlcpy(request->id, given, sizeof(request->id));
		return;
	}
	g_snprintf(request->id, sizeof(request->id), "%016" PRIx64 "-%" PRIu64, proxy->id_base,
		   ++proxy->sequence);
}

/* A client may ask for an earlier deadline than that of the class. */
static void set_deadline(proxy_request_t *request)
{
	const char *given = http_request_header(request->http, HEADER_DEADLINE);
	uint64_t allowance_ms = request->ticket.deadline_ms;
	guint64 asked_ms;

	if (given != NULL && g_ascii_string_to_unsigned(given, 10, 1, G_MAXUINT32, &asked_ms, NULL))
		allowance_ms = MIN(allowance_ms, asked_ms);
	request->ticket.entry.allowance_us = allowance_ms * US_PER_MS;
	request->ticket.entry.deadline_us = request->started_us + allowance_ms * US_PER_MS;
}

static void start_claim(proxy_request_t *request)
{
	const char *key = http_request_header(request->http, HEADER_KEY);

	if (key == NULL || *key == '\0' || strlen(key) > KEY_MAX) {
		reply_text(request, 400, VERDICT_NOT_RUN,
			   "this class needs an Idempotency-Key of 1 to 200 bytes");
		return;
	}
	proxy_claim_acquire(request, key);
}

static void start(proxy_request_t *request)
{
	proxy_t *proxy = request->proxy;
	uint64_t now_us = request->started_us;

	set_deadline(request);
	http_request_on_abort(request->http, on_client_gone, request);
	if (proxy->stopping)
		give_up(request, 503, "the process is stopping");
	else if (!route_usable(proxy->config.routes, &request->ticket, now_us))
		forward(request);
	else if (!request->ticket.repeatable)
		start_claim(request);
	else
		admit(request);
}

void proxy_handle(proxy_t *proxy, http_request_t *http)
{
	proxy_request_t *request = g_new0(proxy_request_t, 1);
	const char *reason;

	request->proxy = proxy;
	request->http = http;
	request->started_us = clock_now_us();
	request->ticket.notify = notify;
	request->forwarded = http_request_header(http, HEADER_FORWARDED) != NULL;
	g_strlcpy(request->ticket.class_name, "none", sizeof(request->ticket.class_name));
	request->link.data = request;
	g_queue_push_head_link(&proxy->requests, &request->link);
	set_id(request);
	if (proxy_path_parse(http_request_path(http), &request->path, &reason) != 0) {
		request->path.organisation = g_strdup("none");
		reply_text(request, 400, VERDICT_NOT_RUN, reason);
		return;
	}
	switch (route_open(proxy->config.routes, &request->ticket, request->path.organisation,
			   request->path.service, request->path.decoded)) {
	case ROUTE_UNKNOWN_POOL:
		/* The name is the client's: as a label it would grow the metrics without bound. */
		g_free(request->path.organisation);
		request->path.organisation = g_strdup("none");
		reply_text(request, 404, VERDICT_NOT_RUN, "no such organisation or service");
		return;
	case ROUTE_UNKNOWN_CLASS:
		reply_text(request, 404, VERDICT_NOT_RUN, "no request class for this path");
		return;
	case ROUTE_OPENED:
		start(request);
		return;
	}
}

/* --- proxy --- */

proxy_t *proxy_create(const proxy_config_t *config)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	GRand *random = g_rand_new();

	proxy->config = *config;
	proxy->link = proxy_link_create(config->mailbox);
	g_queue_init(&proxy->requests);
	/* Not from the seed: ids must differ between processes and restarts. */
	proxy->id_base = (uint64_t)g_rand_int(random) << 32 | g_rand_int(random);
	g_rand_free(random);
	proxy->mismatched = metrics_counter(config->metrics, "lavenderpass_mismatched_total", "");
	proxy->attempts = metrics_counter(config->metrics, "lavenderpass_attempts_total", "");
	proxy->retries = metrics_counter(config->metrics, "lavenderpass_retries_total", "");
	proxy->forwards = metrics_counter(config->metrics, "lavenderpass_forwards_total", "");
	return proxy;
}

unsigned proxy_requests(const proxy_t *proxy)
{
	return proxy->requests.length;
}

void proxy_stop(proxy_t *proxy)
{
	GList *next;

	proxy->stopping = true;
	proxy_link_close(proxy->link);
	for (GList *link = proxy->requests.head; link != NULL; link = next) {
		proxy_request_t *request = link->data;

		next = link->next;
		if (request->step == PROXY_QUEUED &&
		    route_cancel(proxy->config.routes, &request->ticket))
			give_up(request, 503, "the process is stopping");
		else if (request->step == PROXY_SENT)
			cancel_call(request);
	}
}

void proxy_destroy(proxy_t *proxy)
{
	proxy_request_t *request;

	/* A claim that arrives now finds the link closed and is released. */
	while ((request = g_queue_peek_head(&proxy->requests)) != NULL) {
		if (request->step == PROXY_RECORDING)
			proxy_on_recorded(request);
		else
			give_up(request, 503, "the process is stopping");
	}
	g_free(proxy);
}
