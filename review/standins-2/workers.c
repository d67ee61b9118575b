/* Workers, as PROTOCOL describes them ("Running tasks", "Service discovery"). They guard their
 * room. */
#include <inttypes.h>
#include <string.h>

#include "play.h"

#define BEAT_MS 1500
#define HOLD_MAX_MS 10000
#define GANG_TIMEOUT_MS 3000
#define GREY_FAILS_MS 100 /* how long after a start a grey worker fails the run */
#define BROKEN_MS 20	  /* until the other members of a gang learn that one has ended */
#define TICK_MS 5

static uint64_t worker_clock_ms(const worker_t *worker)
{
	return (clock_now_us() - worker->clock_us) / US_PER_MS + 1000;
}

static void note_over(worker_t *worker, const char *task, uint32_t number)
{
	if (number > GPOINTER_TO_UINT(g_hash_table_lookup(worker->over, task)))
		g_hash_table_replace(worker->over, g_strdup(task), GUINT_TO_POINTER(number));
}

static json_t *lists(worker_t *worker)
{
	json_t *running = json_array();
	json_t *ends = json_array();
	uint64_t now_us = clock_now_us();

	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);
		uint64_t worked_ms = run->work_us != 0 ? (now_us - run->work_us) / US_PER_MS : 0;
		uint64_t percent =
			run->job->lasts ? 100 : MIN(99, worked_ms * 100 / MAX(1, run->job->dur_ms));

		json_array_append_new(running,
				      json_pack("[s, I, s, I, i]", run->task, (json_int_t)run->run,
						"", (json_int_t)percent, 0));
	}
	for (guint i = 0; i < worker->ends->len && i < 500; i++) {
		const end_t *end = &g_array_index(worker->ends, end_t, i);

		json_array_append_new(ends,
				      json_pack("[I, s, I, s, s]", (json_int_t)end->number,
						end->task, (json_int_t)end->run, end->how, ""));
	}
	return json_pack("{s:I, s:I, s:o, s:o}", "clockMs", (json_int_t)worker_clock_ms(worker),
			 "born", (json_int_t)worker->born_ms, "running", running, "finishedRuns",
			 ends);
}

static void answer_waits(worker_t *worker, bool all)
{
	uint64_t now_us = clock_now_us();

	for (guint i = 0; i < worker->waits->len;) {
		wait_t *wait = g_ptr_array_index(worker->waits, i);

		if (!all && worker->ends->len == 0 && now_us < wait->until_us) {
			i++;
			continue;
		}
		json_reply(wait->request, 200, lists(worker));
		g_free(wait);
		g_ptr_array_remove_index(worker->waits, i);
	}
}

/* --- runs --- */

static void note_failure(job_t *job, uint32_t run)
{
	job->failed_ends++;
	if (job->failed_run != run)
		job->failed_gangs++;
	job->failed_run = run;
}

static void break_members(const char *task, const run_t *ended)
{
	const char *dot = strrchr(task, '.');
	size_t step_length = (size_t)(dot - task) + 1;

	for (unsigned w = 0; w < play.worker_count; w++) {
		for (guint i = 0; i < play.workers[w].runs->len; i++) {
			run_t *run = &g_array_index(play.workers[w].runs, run_t, i);

			if (run->run == ended->run && strncmp(run->task, task, step_length) == 0 &&
			    run->broken_us == 0)
				run->broken_us = clock_now_us() + BROKEN_MS * US_PER_MS;
		}
	}
}

static void end_run(worker_t *worker, guint i, const char *how)
{
	run_t run = g_array_index(worker->runs, run_t, i);
	end_t end = {.number = ++worker->last_end, .run = run.run, .how = how};

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_remove_index(worker->runs, i);
	g_array_append_val(worker->ends, end);
	note_over(worker, run.task, run.run);
	record("%s: task %s run %u ends %s", worker->id, run.task, run.run, how);
	if (strcmp(how, "failed") == 0)
		note_failure(run.job, run.run);
	if (strcmp(how, "done") == 0)
		run.job->done_ends++;
	else if (run.job->gang && strcmp(how, "broken") != 0)
		break_members(run.task, &run);
}

/* Lets the members of a gang work once all of one run are present. */
static void assemble_gangs(void)
{
	for (guint j = 0; j < play.jobs->len; j++) {
		job_t *job = g_ptr_array_index(play.jobs, j);
		GPtrArray *members;
		uint32_t latest = 0;

		if (!job->gang)
			continue;
		members = g_ptr_array_new();
		for (unsigned pass = 0; pass < 2; pass++) {
			for (unsigned w = 0; w < play.worker_count; w++) {
				for (guint i = 0; i < play.workers[w].runs->len; i++) {
					run_t *run = &g_array_index(play.workers[w].runs, run_t, i);

					if (run->job != job)
						continue;
					if (pass == 0)
						latest = MAX(latest, run->run);
					else if (run->run == latest)
						g_ptr_array_add(members, run);
				}
			}
		}
		for (guint i = 0; members->len == job->count && i < members->len; i++) {
			run_t *run = g_ptr_array_index(members, i);

			if (run->work_us == 0)
				run->work_us = clock_now_us();
		}
		g_ptr_array_unref(members);
	}
}

static const char *end_of(const worker_t *worker, const run_t *run, uint64_t now_us)
{
	if (now_us >= worker->lease_until_us)
		return "lapsed";
	if (run->broken_us != 0 && now_us >= run->broken_us)
		return "broken";
	if (worker->grey && now_us >= run->started_us + GREY_FAILS_MS * US_PER_MS)
		return "failed";
	if (run->work_us == 0 && now_us >= run->started_us + GANG_TIMEOUT_MS * US_PER_MS)
		return "alone";
	if (run->work_us != 0 && now_us >= run->work_us + run->job->dur_ms * US_PER_MS)
		return "done";
	return NULL;
}

static void tick_worker(worker_t *worker)
{
	uint64_t now_us = clock_now_us();

	if (worker->dark)
		return;
	for (guint i = 0; i < worker->runs->len;) {
		const char *how = end_of(worker, &g_array_index(worker->runs, run_t, i), now_us);

		if (how != NULL)
			end_run(worker, i, how);
		else
			i++;
	}
	answer_waits(worker, false);
}

static void tick_workers(void *arg)
{
	assemble_gangs();
	for (unsigned w = 0; w < play.worker_count; w++)
		tick_worker(&play.workers[w]);
	later(TICK_MS, tick_workers, NULL);
}

/* --- calls to a worker --- */

static void extend_lease(worker_t *worker, const json_t *body)
{
	json_int_t deadline_ms = json_integer_value(json_object_get(body, "deadlineMs"));
	uint64_t now_ms = worker_clock_ms(worker);

	if (deadline_ms > (json_int_t)now_ms)
		worker->lease_until_us =
			MAX(worker->lease_until_us,
			    clock_now_us() +
				    MIN((uint64_t)deadline_ms - now_ms, HOLD_MAX_MS) * US_PER_MS);
}

static bool has_room(const worker_t *worker, const job_t *job)
{
	uint64_t cpu = 0;
	uint64_t mem = 0;

	for (guint i = 0; i <= worker->runs->len; i++) {
		const job_t *of =
			i < worker->runs->len ? g_array_index(worker->runs, run_t, i).job : job;
		const json_t *step = json_array_get(json_object_get(of->body, "steps"), 0);

		cpu += (uint64_t)json_integer_value(json_object_get(step, "cpu"));
		mem += (uint64_t)json_integer_value(json_object_get(step, "memMb"));
	}
	return cpu <= play.spec.cpu && mem <= play.spec.mem_mb;
}

static bool has_ticket(const worker_t *worker, const char *task, const json_t *body)
{
	const char *ticket = json_string_value(json_object_get(body, "ticket"));
	const char *dot = strrchr(task, '.');
	g_autofree char *expected = g_strdup_printf("%s/%.*s", worker->id, (int)(dot - task), task);

	return ticket != NULL && strcmp(ticket, expected) == 0;
}

/* @return NULL when the run is there; otherwise the reason of the refusal */
static const char *start_run(worker_t *worker, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));
	run_t run = {.run = number, .started_us = clock_now_us()};

	run.job = find_job(task);
	if (run.job == NULL)
		return "room";
	extend_lease(worker, body);
	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *known = &g_array_index(worker->runs, run_t, i);

		if (strcmp(known->task, task) == 0)
			return known->run == number ? NULL : "old";
	}
	if (number <= GPOINTER_TO_UINT(g_hash_table_lookup(worker->over, task)))
		return "old";
	if (json_integer_value(json_object_get(body, "deadlineMs")) <=
	    (json_int_t)worker_clock_ms(worker))
		return "late";
	if (play.needs_ticket && !has_ticket(worker, task, body))
		return "ticket";
	if (!has_room(worker, run.job))
		return "room";
	g_strlcpy(run.task, task, sizeof(run.task));
	run.work_us = run.job->gang ? 0 : run.started_us;
	run.job->starts++;
	g_array_append_val(worker->runs, run);
	record("%s: task %s run %u starts", worker->id, task, number);
	return NULL;
}

static void stop_run(worker_t *worker, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));

	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *run = &g_array_index(worker->runs, run_t, i);

		if (strcmp(run->task, task) == 0 && run->run == number) {
			end_run(worker, i, "stopped");
			return;
		}
	}
	note_over(worker, task, number);
}

static void hold(worker_t *worker, http_request_t *request, const json_t *body)
{
	uint64_t seen = (uint64_t)json_integer_value(json_object_get(body, "lastSeen"));
	uint64_t wait_ms = (uint64_t)json_integer_value(json_object_get(body, "waitMs"));
	wait_t *wait;

	extend_lease(worker, body);
	while (worker->ends->len > 0 && g_array_index(worker->ends, end_t, 0).number <= seen)
		g_array_remove_index(worker->ends, 0);
	if (wait_ms == 0 || worker->ends->len > 0) {
		json_reply(request, 200, lists(worker));
		return;
	}
	wait = g_new0(wait_t, 1);
	*wait = (wait_t){.worker = worker,
			 .request = request,
			 .until_us = clock_now_us() + MIN(wait_ms, 2000) * US_PER_MS};
	g_ptr_array_add(worker->waits, wait);
}

static void on_worker_request(void *arg, http_request_t *request)
{
	worker_t *worker = arg;
	const char *path = http_request_path(request);
	const char *expected = http_request_header(request, "Expect-Instance");
	json_t *body = json_request_body(request);
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
	const char *reason = NULL;

	if (worker->dark) {
		/* Keeps the request without an answer. */
		json_decref(body);
		return;
	}
	if (strcmp(path, "/healthz") == 0) {
		json_reply(request, 200, json_object());
		goto finish;
	}
	if (expected != NULL && strcmp(expected, worker->id) != 0) {
		json_reply(request, 421, json_object());
		goto finish;
	}
	if (fence < worker->fence)
		reason = "fence";
	worker->fence = MAX(worker->fence, fence);
	if (reason == NULL && strcmp(path, "/hold") == 0) {
		hold(worker, request, body);
		goto finish;
	}
	if (reason == NULL && strcmp(path, "/run-start") == 0)
		reason = start_run(worker, body);
	else if (reason == NULL && strcmp(path, "/run-stop") == 0)
		stop_run(worker, body);
	if (reason != NULL) {
		record("%s: %s refused: %s", worker->id, path, reason);
		json_reply(request, 409,
			   json_pack("{s:I, s:s}", "clockMs", (json_int_t)worker_clock_ms(worker),
				     "reason", reason));
	} else {
		json_reply(request, 200,
			   json_pack("{s:I}", "clockMs", (json_int_t)worker_clock_ms(worker)));
	}
finish:
	json_decref(body);
}

/* --- heartbeats --- */

static void beat(void *arg);

static void on_beat(void *arg, unsigned status, const json_t *body,
		    const http_call_result_t *result)
{
	worker_t *worker = arg;
	const char *address = json_string_value(json_object_get(body, "heartbeatAddr"));

	worker->beating = false;
	if (worker->dark)
		return;

	if (status == 200) {
		worker->beats_acked++;
		if (address != NULL)
			g_strlcpy(worker->beat_addr, address, sizeof(worker->beat_addr));
		later(BEAT_MS, beat, worker);
		return;
	}
	worker->beat_addr[0] = '\0';
	worker->beat_core = (worker->beat_core + 1) % CORES;
	later(100, beat, worker);
}

static void beat(void *arg)
{
	worker_t *worker = arg;
	g_autofree char *path = g_strconcat("/instances/", worker->id, NULL);
	char address[64];
	json_t *report;

	if (worker->dark || worker->beating)
		return;
	worker->beating = true;
	g_snprintf(address, sizeof(address), "127.%u.1.%u:%u", play.network, worker->beat_core + 1,
		   play.port + 12);
	report = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, "
		"s:I}",
		"service", SERVICE, "addr", worker->ip, "machine", worker->machine, "zone",
		worker->zone == 0   ? "z1"
		: worker->zone == 1 ? "z2"
				    : "z3",
		"version", "v1", "slots", 8, "state", "ready", "warmupLeftMs", 0, "capacity", "cpu",
		(int)play.spec.cpu, "memMb", (int)play.spec.mem_mb, "gpu", 0, "labels", "a",
		worker->rack, "clockMs", (json_int_t)worker_clock_ms(worker), "born",
		(json_int_t)worker->born_ms, "seq", (json_int_t)++worker->seq);
	json_object_set_new(report, "addr",
			    json_sprintf("%s:%u", worker->ip, play.port + 20 + worker->index));
	call("PUT", worker->beat_addr[0] != '\0' ? worker->beat_addr : address, path, NULL, report,
	     1000, on_beat, worker);
}

static bool listen_on(worker_t *worker)
{
	const http_server_config_t config = {.address = worker->ip,
					     .port = (uint16_t)(play.port + 20 + worker->index),
					     .body_limit = 1 << 20,
					     .connection_limit = 64,
					     .idle_timeout_s = 60};

	if (http_server_init(&worker->server, play.ev, &config, on_worker_request, worker) == 0)
		return true;
	record("%s cannot listen", worker->id);
	return false;
}

bool start_worker(unsigned index, const worker_spec_t *spec)
{
	worker_t *worker = &play.workers[index];
	play.spec = *spec;
	*worker = (worker_t){.index = index, .zone = index / spec->rack_size % 3};
	g_snprintf(worker->id, sizeof(worker->id), "i-%02u%06x", index, g_random_int() & 0xffffff);
	g_snprintf(worker->machine, sizeof(worker->machine), "m-%02u", index);
	g_snprintf(worker->ip, sizeof(worker->ip), "127.%u.2.%u", play.network, index + 1);
	g_snprintf(worker->rack, sizeof(worker->rack), "r%u", index / spec->rack_size);
	worker->born_ms = clock_wall_ms();
	worker->clock_us = clock_now_us();
	worker->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
	worker->ends = g_array_new(FALSE, TRUE, sizeof(end_t));
	worker->over = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	worker->waits = g_ptr_array_new();
	worker->beat_core = index % CORES;
	if (!listen_on(worker))
		return false;
	if (play.worker_count == 0)
		later(TICK_MS, tick_workers, NULL);
	play.worker_count = MAX(play.worker_count, index + 1);
	record("%s starts on %s in rack %s", worker->id, worker->machine, worker->rack);
	beat(worker);
	return true;
}

void darken(worker_t *worker)
{
	record("%s loses power, with %u runs", worker->id, worker->runs->len);
	worker->dark = true;
	g_array_set_size(worker->runs, 0);
	g_array_set_size(worker->ends, 0);
	g_ptr_array_set_size(worker->waits, 0);
}

static void start_again(void *arg)
{
	worker_t *worker = arg;

	g_hash_table_remove_all(worker->over);
	worker->dark = false;
	worker->born_ms = clock_wall_ms();
	worker->clock_us = clock_now_us();
	worker->lease_until_us = 0;
	worker->fence = 0;
	worker->seq = 0;
	worker->last_end = 0;
	worker->beat_addr[0] = '\0';
	record("%s starts again under its id", worker->id);
	beat(worker);
}

void restart(worker_t *worker, uint64_t down_ms)
{
	darken(worker);
	later(down_ms, start_again, worker);
}
