#define G_LOG_DOMAIN "admin"

#include "admin.h"

#include <stdlib.h>
#include <string.h>

#include "announce.h"
#include "auth.h"
#include "clock.h"
#include "json_reply.h"

#define FORWARDED_HEADER "Lavenderpass-Forwarded"
#define FORWARD_CONNECT_TIMEOUT_MS 500
#define FORWARD_TIMEOUT_MS 3000
#define FORWARD_RESPONSE_LIMIT (16 * 1024 * 1024)

typedef void (*route_handler_fn)(node_t *node, http_request_t *request);

typedef struct {
	const char *method;
	const char *path;
	route_handler_fn handler;
	auth_role_t role;
	bool prefer_leader; /**< whether the leader should answer the request, because it receives
				 the announcements of all targets */
} route_t;

static void handle_health(node_t *node, http_request_t *request)
{
	if (node->draining)
		json_reply_error(request, 503, "shutting down");
	else
		json_reply(request, 200, json_pack("{s:s}", "state", "serving"));
}

static void handle_metrics(node_t *node, http_request_t *request)
{
	const http_header_t header = {.name = "Content-Type", .value = "text/plain; version=0.0.4"};
	const peer_counters_t *peers = peer_counters(node->peers);
	metrics_t *metrics = node->metrics;
	char *text;

	metrics_set(metrics_counter(metrics, "lavenderpass_peer_bytes_sent", ""),
		    peers->bytes_sent);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_bytes_received", ""),
		    peers->bytes_received);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_frames_sent", ""),
		    peers->frames_sent);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_frames_bad", ""),
		    peers->invalid_frames);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_wrong_cluster", ""),
		    peers->wrong_cluster);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_reconnects", ""),
		    peers->reconnects);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_refused", ""),
		    peers->refused_over_limit);
	metrics_set(metrics_counter(metrics, "lavenderpass_applied_index", ""),
		    node->fleet.applied_index);
	metrics_set(metrics_counter(metrics, "lavenderpass_is_leader", ""),
		    replica_is_leader(node->replica));
	metrics_set(metrics_counter(metrics, "lavenderpass_claims", ""),
		    node->claims == NULL ? 0 : claims_count(node->claims));
	text = metrics_render(metrics);
	http_request_reply(request, 200, &header, 1, text, strlen(text));
	free(text);
}

static void handle_announce(node_t *node, http_request_t *request)
{
	announce_handle(node->announce, request);
}

/* HTTP routes of the administration API, with the role that a caller needs. */
static const route_t routes[] = {
	{"GET", "/healthz", handle_health, AUTH_NONE, false},
	{"GET", "/metrics", handle_metrics, AUTH_NONE, false},
	{"POST", "/v1/announce", handle_announce, AUTH_TARGET, false},
	{"POST", "/v1/templates/check", admin_template_check, AUTH_READ, false},
	{"POST", "/v1/templates/plan", admin_template_plan, AUTH_READ, true},
	{"POST", "/v1/templates/apply", admin_template_apply, AUTH_WRITE, false},
	{"GET", "/v1/templates/history", admin_template_history, AUTH_READ, false},
	{"GET", "/v1/templates/current", admin_template_current, AUTH_READ, false},
	{"GET", "/v1/status", admin_status, AUTH_READ, true},
	{"GET", "/v1/vms", admin_vms, AUTH_READ, true},
	{"GET", "/v1/pools", admin_pools, AUTH_READ, true},
	{"GET", "/v1/waves", admin_waves, AUTH_READ, true},
	{"GET", "/v1/jobs", admin_jobs, AUTH_READ, false},
	{"POST", "/v1/jobs", admin_job_submit, AUTH_WRITE, false},
	{"POST", "/v1/jobs/cancel", admin_job_cancel, AUTH_WRITE, false},
	{"GET", "/v1/explain", admin_explain, AUTH_READ, true},
};

/**
 * A request that was forwarded to the leader. The handler answers it in this process when the
 * leader does not respond.
 */
typedef struct {
	node_t *node;
	http_request_t *request;
	route_handler_fn handler;
} forwarded_request_t;

static void on_leader_response(void *arg, const http_call_result_t *result)
{
	forwarded_request_t *forwarded = arg;
	const http_header_t header = {.name = "Content-Type", .value = "application/json"};

	if (result->complete)
		http_request_reply(forwarded->request, result->status, &header, 1, result->body,
				   result->body_length);
	else if (forwarded->node->peers == NULL) /* peers is NULL while the process shuts down */
		json_reply_error(forwarded->request, 503, "shutting down");
	else
		forwarded->handler(forwarded->node, forwarded->request);
	g_free(forwarded);
}

/**
 * Forwards a request to the leader, with the caller's Authorization header.
 * @return false when this process has to answer the request itself: it is the leader, the leader is
 * not connected, another process has forwarded the request already, or it cannot be sent
 */
static bool forward_to_leader(node_t *node, http_request_t *request, route_handler_fn handler)
{
	const peer_info_t *leader = peer_info(node->peers, replica_leader(node->replica));
	const char *authorization = http_request_header(request, "Authorization");
	const http_header_t headers[] = {
		{.name = FORWARDED_HEADER, .value = "1"},
		{.name = "Authorization", .value = authorization},
	};
	http_call_request_t call = {
		.method = http_request_method(request),
		.headers = headers,
		.header_count = authorization == NULL ? 1 : 2,
		.connect_timeout_ms = FORWARD_CONNECT_TIMEOUT_MS,
		.timeout_ms = FORWARD_TIMEOUT_MS,
		.response_limit = FORWARD_RESPONSE_LIMIT,
	};
	forwarded_request_t *forwarded;
	char *url;

	if (replica_is_leader(node->replica) || leader == NULL || !leader->up ||
	    leader->http_address == NULL || http_request_header(request, FORWARDED_HEADER) != NULL)
		return false;
	call.body = http_request_body(request, &call.body_length);
	url = g_strdup_printf("http://%s%s?%s", leader->http_address, http_request_path(request),
			      http_request_query(request));
	call.url = url;
	forwarded = g_new(forwarded_request_t, 1);
	*forwarded = (forwarded_request_t){.node = node, .request = request, .handler = handler};
	if (http_client_send(&node->client, &call, on_leader_response, forwarded) == NULL) {
		g_free(forwarded);
		forwarded = NULL;
	}
	g_free(url);
	return forwarded != NULL;
}

/**
 * Whether the leader should answer a request. Never true for /v1/explain with kind=request, because
 * only the process that proxied a request has a record of it.
 */
static bool should_forward(const route_t *route, http_request_t *request)
{
	const char *kind = http_request_param(request, "kind");

	return route->prefer_leader && (kind == NULL || strcmp(kind, "request") != 0);
}

void admin_handle(void *arg, http_request_t *request)
{
	node_t *node = arg;
	const char *path = http_request_path(request);
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const route_t *route = &routes[i];

		if (strcmp(route->path, path) != 0)
			continue;
		path_known = true;
		if (strcmp(route->method, http_request_method(request)) != 0)
			continue;
		if (!auth_allows(node->auth, http_request_header(request, "Authorization"),
				 route->role)) {
			json_reply_error(request, 401,
					 "a bearer token with the needed role is required");
			return;
		}
		if (!should_forward(route, request) ||
		    !forward_to_leader(node, request, route->handler))
			route->handler(node, request);
		return;
	}
	if (path_known)
		json_reply_error(request, 405, "method not allowed");
	else
		json_reply_error(request, 404, "no such path");
}
