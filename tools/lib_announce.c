#include <string.h>

#include <curl/curl.h>

#include "clock.h"
#include "lib_emulator.h"

#define POLL_INTERVAL_MS 10
#define ANNOUNCE_TIMEOUT_MS 1000

/* An announcement in progress. */
typedef struct {
	target_t *target;
	uint32_t generation;
	char *body;
	GString *response;
	struct curl_slist *headers;
	bool retried; /* whether this is the second attempt, after the first could not connect */
} announcement_t;

static char *build_body(const emulator_t *emu, const target_t *target)
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
		target->assigned_pool == NULL ? target->pool_hint : target->assigned_pool, "cores",
		options->cores, "mem_mib", options->mem_mib, "accelerators", options->accelerators,
		"slots", options->slots, "connections", options->max_connections, "image",
		target->image, "state", target_is_leaving(target) ? "leaving" : "serving",
		"in_flight", target->in_flight, "served", (json_int_t)target->served, "epoch",
		(json_int_t)target->epoch, "cordoned", target->cordoned, "tasks",
		target_task_usage(target, clock_now_us()));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static size_t append_response(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, data, (gssize)(size * count));
	return size * count;
}

static void start_announcement(emulator_t *emu, CURLM *multi, target_t *target, bool retried)
{
	char **entries = g_hash_table_lookup(emu->options.entries, target->data_centre);
	announcement_t *announcement;
	CURL *easy;
	char url[128];

	if (entries == NULL || entries[0] == NULL)
		return;
	g_snprintf(url, sizeof(url), "http://%s/v1/announce",
		   entries[target->next_entry++ % g_strv_length(entries)]);
	announcement = g_new0(announcement_t, 1);
	*announcement = (announcement_t){
		.target = target,
		.generation = target->generation,
		.body = build_body(emu, target),
		.response = g_string_new(NULL),
		.headers = curl_slist_append(NULL, "Content-Type: application/json"),
		.retried = retried,
	};
	if (emu->options.token != NULL) {
		char *header = g_strdup_printf("Authorization: Bearer %s", emu->options.token);

		announcement->headers = curl_slist_append(announcement->headers, header);
		g_free(header);
	}
	easy = curl_easy_init();
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, announcement->body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, announcement->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)ANNOUNCE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, announcement->response);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, announcement);
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
			task_renew_lease(target, job, (uint32_t)attempt, (uint64_t)lease_ms);
	}
}

/* Applies the response to an announcement. A response with an older epoch is ignored: the entry
 * process that sent it has not yet applied the latest commands. */
static void apply_response(target_t *target, const char *text)
{
	json_t *response = json_loads(text, 0, NULL);
	json_int_t epoch;
	const char *pool;
	int cordoned;

	if (json_unpack(response, "{s:I, s:s, s:b}", "epoch", &epoch, "pool", &pool, "cordoned",
			&cordoned) == 0 &&
	    (uint64_t)epoch >= target->epoch) {
		target->epoch = (uint64_t)epoch;
		target->cordoned = cordoned;
		g_free(target->assigned_pool);
		target->assigned_pool = pool[0] == '\0' ? NULL : g_strdup(pool);
		renew_leases(target, json_object_get(response, "leases"));
	}
	json_decref(response);
}

/* Handles the end of an announcement. Ignores the response if the target's process has died
 * since. */
static void finish_announcement(emulator_t *emu, CURLM *multi, CURL *easy, CURLcode code)
{
	announcement_t *announcement;
	long status = 0;
	target_t *target;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &announcement);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	target = announcement->target;
	pthread_mutex_lock(&emu->lock);
	target->announcing = false;
	if (announcement->generation != target->generation)
		status = 0;
	else if (code == CURLE_OK && status == 200)
		apply_response(target, announcement->response->str);
	else if (code == CURLE_COULDNT_CONNECT && !announcement->retried)
		/* Retry once with the next entry process, as a load balancer would. */
		start_announcement(emu, multi, target, true);
	pthread_mutex_unlock(&emu->lock);
	curl_multi_remove_handle(multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(announcement->headers);
	g_string_free(announcement->response, TRUE);
	free(announcement->body);
	g_free(announcement);
}

static void start_due_announcements(emulator_t *emu, CURLM *multi)
{
	uint64_t period_us = (uint64_t)emu->options.announce_interval_ms * US_PER_MS;
	uint64_t now_us = clock_now_us();

	pthread_mutex_lock(&emu->lock);
	for (unsigned i = 0; i < emu->target_count; i++) {
		target_t *target = &emu->targets[i];

		target_update(emu, target, now_us);
		if (now_us < target->announce_due_us)
			continue;
		target->announce_due_us += period_us;
		if (target->announce_due_us < now_us)
			target->announce_due_us = now_us + period_us;
		if (!target->announcing && target->mode != MODE_MUTE && target->listen_fd >= 0)
			start_announcement(emu, multi, target, false);
	}
	pthread_mutex_unlock(&emu->lock);
}

void *announce_thread(void *emulator)
{
	emulator_t *emu = emulator;
	CURLM *multi = curl_multi_init();
	int running;
	int messages_left;
	const CURLMsg *message;

	for (;;) {
		start_due_announcements(emu, multi);
		curl_multi_perform(multi, &running);
		while ((message = curl_multi_info_read(multi, &messages_left)) != NULL) {
			if (message->msg == CURLMSG_DONE)
				finish_announcement(emu, multi, message->easy_handle,
						    message->data.result);
		}
		curl_multi_poll(multi, NULL, 0, POLL_INTERVAL_MS, NULL);
	}
	return NULL;
}
