#define G_LOG_DOMAIN "probe"

#include "probe.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "clock.h"
#include "log.h"

#define CONNECT_TIMEOUT_MS 1000
#define RESPONSE_LIMIT 1024
/* A target that accepts connections, but does not announce itself, is replaced after this time. */
#define REACHABLE_LIMIT_US (60 * US_PER_S)
/* The planner asks once a second while a target is silent; a longer pause means it was heard. */
#define PAUSE_US (5 * US_PER_S)

typedef struct {
	char *vm;
	http_call_t *call; /**< in progress */
	uint64_t started_us;
	uint64_t asked_us;
	bool finished;
	bool reachable;
} silence_t;

struct probe {
	http_client_t *client;
	GHashTable *silences; /**< VM id to silence_t */
};

static void silence_free(gpointer data)
{
	silence_t *silence = data;

	if (silence->call != NULL)
		http_call_cancel(silence->call);
	g_free(silence->vm);
	g_free(silence);
}

/** The connection is there; nothing is to be sent on it. */
static bool stop_before_send(void *arg)
{
	return false;
}

static void on_connected(void *arg, const http_call_result_t *result)
{
	silence_t *silence = arg;

	silence->call = NULL;
	silence->finished = true;
	silence->reachable = result->refused_before_send;
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", silence->vm), "silent target is %s",
		  silence->reachable ? "reachable on a new connection" : "not reachable");
}

static void start_probe(probe_t *probe, silence_t *silence, const char *address)
{
	char *url = g_strdup_printf("http://%s/", address);
	const http_call_request_t request = {
		.method = "GET",
		.url = url,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = 2 * CONNECT_TIMEOUT_MS,
		.response_limit = RESPONSE_LIMIT,
		.before_send = stop_before_send,
		.fresh_connection = true,
	};

	silence->call = http_client_send(probe->client, &request, on_connected, silence);
	g_free(url);
}

probe_t *probe_create(http_client_t *client)
{
	probe_t *probe = talloc_zero(NULL, probe_t);

	probe->client = client;
	probe->silences = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, silence_free);
	return probe;
}

void probe_destroy(probe_t *probe)
{
	g_hash_table_unref(probe->silences);
	talloc_free(probe);
}

bool probe_confirms_loss(probe_t *probe, const char *vm, const char *address, uint64_t now_us)
{
	silence_t *silence = g_hash_table_lookup(probe->silences, vm);

	if (silence != NULL && now_us - silence->asked_us > PAUSE_US) {
		probe_forget(probe, vm);
		silence = NULL;
	}
	if (silence == NULL) {
		silence = g_new0(silence_t, 1);
		silence->vm = g_strdup(vm);
		silence->started_us = now_us;
		g_hash_table_insert(probe->silences, silence->vm, silence);
		start_probe(probe, silence, address);
	}
	silence->asked_us = now_us;
	if (!silence->finished)
		return false;
	return !silence->reachable || now_us - silence->started_us > REACHABLE_LIMIT_US;
}

void probe_forget(probe_t *probe, const char *vm)
{
	g_hash_table_remove(probe->silences, vm);
}
