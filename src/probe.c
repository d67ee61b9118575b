#define G_LOG_DOMAIN "probe"

#include "probe.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "clock.h"
#include "log.h"

#define CONNECT_TIMEOUT_MS 1000
#define RESPONSE_LIMIT 1024
/* A silent target that accepts connections is declared lost after this time. */
#define REACHABLE_TIMEOUT_US (60 * US_PER_S)
/*
 * If more time than this passes between two calls of probe_confirms_loss() for a target, it is
 * probed again. The planner runs at least once a second while a target is silent, so the gap shows
 * that the target has announced itself meanwhile.
 */
#define MAX_ASK_GAP_US (5 * US_PER_S)

/** A target that sends no announcements, and the probe of it. */
typedef struct {
	char *vm;
	http_call_t *call;	 /**< probe in progress, or NULL */
	uint64_t first_asked_us; /**< time of the first probe_confirms_loss() in this silence */
	uint64_t last_asked_us;	 /**< time of the latest probe_confirms_loss() */
	bool probe_finished;	 /**< the probe has ended */
	bool reachable;		 /**< the probe could open a connection */
} silent_target_t;

struct probe {
	http_client_t *client;
	GHashTable *silent_targets; /**< VM id -> silent_target_t */
};

static void silent_target_free(gpointer data)
{
	silent_target_t *target = data;

	if (target->call != NULL)
		http_call_cancel(target->call);
	g_free(target->vm);
	g_free(target);
}

/** Called when the connection is open. Returns false, so that the request is not sent. */
static bool cancel_before_send(void *arg)
{
	return false;
}

static void on_probe_result(void *arg, const http_call_result_t *result)
{
	silent_target_t *target = arg;

	target->call = NULL;
	target->probe_finished = true;
	target->reachable = result->cancelled_before_send;
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", target->vm), "silent target is %s",
		  target->reachable ? "reachable on a new connection" : "not reachable");
}

static void start_probe(probe_t *probe, silent_target_t *target, const char *address)
{
	char *url = g_strdup_printf("http://%s/", address);
	const http_call_request_t request = {
		.method = "GET",
		.url = url,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = 2 * CONNECT_TIMEOUT_MS,
		.response_limit = RESPONSE_LIMIT,
		.before_send = cancel_before_send,
		.fresh_connection = true,
	};

	target->call = http_client_send(probe->client, &request, on_probe_result, target);
	g_free(url);
}

probe_t *probe_create(http_client_t *client)
{
	probe_t *probe = talloc_zero(NULL, probe_t);

	probe->client = client;
	probe->silent_targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, silent_target_free);
	return probe;
}

void probe_destroy(probe_t *probe)
{
	g_hash_table_unref(probe->silent_targets);
	talloc_free(probe);
}

bool probe_confirms_loss(probe_t *probe, const char *vm, const char *address, uint64_t now_us)
{
	silent_target_t *target = g_hash_table_lookup(probe->silent_targets, vm);

	if (target != NULL && now_us - target->last_asked_us > MAX_ASK_GAP_US) {
		probe_forget(probe, vm);
		target = NULL;
	}
	if (target == NULL) {
		target = g_new0(silent_target_t, 1);
		target->vm = g_strdup(vm);
		target->first_asked_us = now_us;
		g_hash_table_insert(probe->silent_targets, target->vm, target);
		start_probe(probe, target, address);
	}
	target->last_asked_us = now_us;
	if (!target->probe_finished)
		return false;
	return !target->reachable || now_us - target->first_asked_us > REACHABLE_TIMEOUT_US;
}

void probe_forget(probe_t *probe, const char *vm)
{
	g_hash_table_remove(probe->silent_targets, vm);
}
