#include <string.h>

#include <curl/curl.h>

#include "clock.h"
#include "lib_emulator.h"

#define POLL_MS 10
#define TIMEOUT_MS 1000

/* One announcement in progress. */
typedef struct {
	target_t *target;
	uint32_t generation;
	char *body;
	GString *answer;
	struct curl_slist *headers;
	bool retried;
} call_t;

static char *build(const emulator_t *emu, const target_t *target)
{
	const emulator_options_t *options = &emu->options;
	char address[64];
	json_t *body;
	char *text;

	g_snprintf(address, sizeof(address), "%s:%u", options->address, target->port);
	body = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:s, s:s, s:i, s:I, s:I,"
		" s:b, s:o}",
		"vm", target->vm, "organisation", options->organisation, "data_centre",
		target->data_centre, "rack", target->rack, "address", address, "pool",
		target->told_pool == NULL ? target->pool : target->told_pool, "cores",
		options->cores, "mem_mib", options->mem_mib, "accelerators", options->accelerators,
		"slots", options->slots, "connections", options->connections, "image",
		target->image, "state", target_leaving(target) ? "leaving" : "serving", "in_flight",
		target->in_flight, "served", (json_int_t)target->served, "epoch",
		(json_int_t)target->epoch, "cordoned", target->cordoned, "tasks",
		task_report(target, clock_now_us()));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, data, (gssize)(size * count));
	return size * count;
}

static void start(emulator_t *emu, CURLM *multi, target_t *target, bool retried)
{
	char **entries = g_hash_table_lookup(emu->options.entries, target->data_centre);
	call_t *call;
	CURL *easy;
	char url[128];

	if (entries == NULL || entries[0] == NULL)
		return;
	g_snprintf(url, sizeof(url), "http://%s/v1/announce",
		   entries[target->next_entry++ % g_strv_length(entries)]);
	call = g_new0(call_t, 1);
	*call = (call_t){
		.target = target,
		.generation = target->generation,
		.body = build(emu, target),
		.answer = g_string_new(NULL),
		.headers = curl_slist_append(NULL, "Content-Type: application/json"),
		.retried = retried,
	};
	if (emu->options.token != NULL) {
		char *line = g_strdup_printf("Authorization: Bearer %s", emu->options.token);

		call->headers = curl_slist_append(call->headers, line);
		g_free(line);
	}
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call->answer);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	target->announcing = true;
	curl_multi_add_handle(multi, easy);
}

static void renew_leases(target_t *target, json_t *leases)
{
	size_t i;
	json_t *lease;

	json_array_foreach (leases, i, lease) {
		const char *job;
		json_int_t attempt;
		json_int_t lease_ms;

		if (json_unpack(lease, "{s:s, s:I, s:I}", "job", &job, "attempt", &attempt,
				"lease_ms", &lease_ms) == 0)
			task_renew(target, job, (uint32_t)attempt, (uint64_t)lease_ms);
	}
}

/* An answer with an older epoch comes from a process that lags; it is ignored. */
static void take_answer(target_t *target, const char *text)
{
	json_t *answer = json_loads(text, 0, NULL);
	json_int_t epoch;
	const char *pool;
	int cordoned;

	if (json_unpack(answer, "{s:I, s:s, s:b}", "epoch", &epoch, "pool", &pool, "cordoned",
			&cordoned) == 0 &&
	    (uint64_t)epoch >= target->epoch) {
		target->epoch = (uint64_t)epoch;
		target->cordoned = cordoned;
		g_free(target->told_pool);
		target->told_pool = pool[0] == '\0' ? NULL : g_strdup(pool);
		renew_leases(target, json_object_get(answer, "leases"));
	}
	json_decref(answer);
}

static void finish(emulator_t *emu, CURLM *multi, CURL *easy, CURLcode code)
{
	call_t *call;
	long status = 0;
	target_t *target;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	target = call->target;
	pthread_mutex_lock(&emu->lock);
	target->announcing = false;
	if (call->generation != target->generation)
		status = 0;
	else if (code == CURLE_OK && status == 200)
		take_answer(target, call->answer->str);
	else if (code == CURLE_COULDNT_CONNECT && !call->retried)
		/* As a load balancer would: the next process, once. */
		start(emu, multi, target, true);
	pthread_mutex_unlock(&emu->lock);
	curl_multi_remove_handle(multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(call->headers);
	g_string_free(call->answer, TRUE);
	free(call->body);
	g_free(call);
}

static void start_due(emulator_t *emu, CURLM *multi)
{
	uint64_t period_us = (uint64_t)emu->options.announce_ms * US_PER_MS;
	uint64_t now_us = clock_now_us();

	pthread_mutex_lock(&emu->lock);
	for (unsigned i = 0; i < emu->count; i++) {
		target_t *target = &emu->targets[i];

		target_tick(emu, target, now_us);
		if (now_us < target->announce_due_us)
			continue;
		target->announce_due_us += period_us;
		if (target->announce_due_us < now_us)
			target->announce_due_us = now_us + period_us;
		if (!target->announcing && target->mode != MODE_MUTE && target->listen_fd >= 0)
			start(emu, multi, target, false);
	}
	pthread_mutex_unlock(&emu->lock);
}

void *announce_run(void *emulator)
{
	emulator_t *emu = emulator;
	CURLM *multi = curl_multi_init();
	int running;
	int left;
	const CURLMsg *message;

	for (;;) {
		start_due(emu, multi);
		curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &left)) != NULL) {
			if (message->msg == CURLMSG_DONE)
				finish(emu, multi, message->easy_handle, message->data.result);
		}
		curl_multi_poll(multi, NULL, 0, POLL_MS, NULL);
	}
	return NULL;
}
