#define G_LOG_DOMAIN "admin"

#include "admin.h"

#include <stdlib.h>
#include <string.h>

#include "announce.h"
#include "auth.h"
#include "clock.h"
#include "json_reply.h"

typedef void (*admin_fn)(node_t *node, http_request_t *request);

typedef struct {
	const char *method;
	const char *path;
	auth_role_t role;
	admin_fn fn;
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
		    peers->frames_bad);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_wrong_cluster", ""),
		    peers->wrong_cluster);
	metrics_set(metrics_counter(metrics, "lavenderpass_peer_reconnects", ""),
		    peers->reconnects);
	metrics_set(metrics_counter(metrics, "lavenderpass_applied_index", ""),
		    node->fleet.applied);
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

static const route_t routes[] = {
	{"GET", "/healthz", AUTH_NONE, handle_health},
	{"GET", "/metrics", AUTH_NONE, handle_metrics},
	{"POST", "/v1/announce", AUTH_TARGET, handle_announce},
	{"POST", "/v1/templates/check", AUTH_READ, admin_template_check},
	{"POST", "/v1/templates/plan", AUTH_READ, admin_template_plan},
	{"POST", "/v1/templates/apply", AUTH_WRITE, admin_template_apply},
	{"GET", "/v1/templates/history", AUTH_READ, admin_template_history},
	{"GET", "/v1/templates/current", AUTH_READ, admin_template_current},
	{"GET", "/v1/status", AUTH_READ, admin_status},
	{"GET", "/v1/vms", AUTH_READ, admin_vms},
	{"GET", "/v1/pools", AUTH_READ, admin_pools},
	{"GET", "/v1/waves", AUTH_READ, admin_waves},
	{"GET", "/v1/jobs", AUTH_READ, admin_jobs},
	{"POST", "/v1/jobs", AUTH_WRITE, admin_job_submit},
	{"POST", "/v1/jobs/cancel", AUTH_WRITE, admin_job_cancel},
	{"GET", "/v1/explain", AUTH_READ, admin_explain},
};

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
		route->fn(node, request);
		return;
	}
	if (path_known)
		json_reply_error(request, 405, "method not allowed");
	else
		json_reply_error(request, 404, "no such path");
}
