/* The platform's list of machines and the policy service. */
#include <string.h>

#include "play.h"

#define ADVISE_WAITING_MAX 32

static json_t *machine_entry(const worker_t *worker)
{
	static const char *const zones[] = {"z1", "z2", "z3"};

	return json_pack("{s:s, s:s, s:s, s:s, s:[s, s], s:{s:i, s:i, s:i}, s:s}", "machine",
			 worker->machine, "pool", SERVICE, "state", worker->dark ? "down" : "up",
			 "zone", zones[worker->zone], "labels", "a", worker->rack, "capacity",
			 "cpu", (int)play.spec.cpu, "memMb", (int)play.spec.mem_mb, "gpu", 0, "id",
			 worker->dark ? "" : worker->id);
}

static void on_platform_request(void *arg, http_request_t *request)
{
	json_t *machines;

	if (strcmp(http_request_path(request), "/machines") != 0) {
		record("platform: %s refused: busy", http_request_path(request));
		json_reply(request, 409, json_pack("{s:s}", "reason", "busy"));
		return;
	}
	machines = json_array();
	for (unsigned i = 0; i < play.worker_count; i++)
		json_array_append_new(machines, machine_entry(&play.workers[i]));
	json_reply(request, 200, json_pack("{s:o, s:n}", "machines", machines, "nextToken"));
}

/* --- policy --- */

static void advise_next(void);

static const worker_t *find_worker(const char *id)
{
	for (unsigned i = 0; i < play.worker_count; i++) {
		if (strcmp(play.workers[i].id, id) == 0)
			return &play.workers[i];
	}
	return NULL;
}

static void decide(void *arg)
{
	http_request_t *request = arg;
	json_t *body = json_request_body(request);
	const char *step = json_string_value(json_object_get(body, "step"));
	const json_t *ids = json_object_get(body, "workers");
	const job_t *job = step != NULL ? find_job(step) : NULL;
	json_t *allowed = json_array();

	for (size_t i = 0; job != NULL && i < json_array_size(ids); i++) {
		const char *id = json_string_value(json_array_get(ids, i));
		const worker_t *worker = id != NULL ? find_worker(id) : NULL;

		if (worker != NULL && (play.allows == NULL || play.allows(job, worker)))
			json_array_append_new(
				allowed, json_pack("[s, o]", id, json_sprintf("%s/%s", id, step)));
	}
	record("policy: step %s, %zu workers named, %zu of them allowed", step != NULL ? step : "?",
	       json_array_size(ids), json_array_size(allowed));
	json_reply(request, 200, json_pack("{s:o, s:i}", "allowed", allowed, "validMs", 3000));
	json_decref(body);
	play.advising = false;
	advise_next();
}

static void advise_next(void)
{
	http_request_t *request;
	json_t *body;
	size_t named;

	if (play.advising || (request = g_queue_pop_head(&play.advise_queue)) == NULL)
		return;
	body = json_request_body(request);
	named = json_array_size(json_object_get(body, "workers"));
	json_decref(body);
	play.advising = true;
	later(20 + named, decide, request); /* decideMs 20, perWorkerMs 1 */
}

static void on_policy_request(void *arg, http_request_t *request)
{
	if (g_queue_get_length(&play.advise_queue) >= ADVISE_WAITING_MAX) {
		json_reply(request, 429, json_object());
		return;
	}
	g_queue_push_tail(&play.advise_queue, request);
	advise_next();
}

bool start_services(void)
{
	char platform_ip[32];
	char policy_ip[32];
	http_server_config_t config = {.port = (uint16_t)(play.port + 13),
				       .body_limit = 1 << 20,
				       .connection_limit = 64,
				       .idle_timeout_s = 60};

	g_snprintf(platform_ip, sizeof(platform_ip), "127.%u.3.1", play.network);
	g_snprintf(policy_ip, sizeof(policy_ip), "127.%u.3.2", play.network);
	g_queue_init(&play.advise_queue);
	config.address = platform_ip;
	if (http_server_init(&play.platform, play.ev, &config, on_platform_request, NULL) != 0)
		return false;
	config.address = policy_ip;
	return http_server_init(&play.policy, play.ev, &config, on_policy_request, NULL) == 0;
}
