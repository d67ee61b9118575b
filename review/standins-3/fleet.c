#include "fleet.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <microhttpd.h>

/* A script ends after this time at the latest. */
#define LONGEST_S 110
#define TICK_MS 5
/* The tail of a task that serves is a mean of the last half second. */
#define TAIL_SAMPLES (500 / TICK_MS)
#define CONTROL_PORT 8623
#define FRONT_PORT 8624
#define READY_PORT 8622
#define WORKER_PORT 8080
#define SERVICE_PORT 8621
#define HEARTBEAT_MS 1500
#define HOST "jobs.example"
/* Status of a call that gets no answer; its connection is closed. */
#define NO_ANSWER 0
#define SERVICE "svc-a"

typedef struct worker worker_t;

typedef enum {
	RUN_WAITS,
	RUN_WORKS,
	RUN_STOPS
} run_state_t;

typedef struct {
	worker_t *worker;
	play_job_t *job;
	char task[64];
	char step[48]; /* ID.K.STEP */
	const json_t *spec;
	int64_t number;
	run_state_t state;
	uint64_t since_us;
	uint64_t stop_us;
	bool lasts;
	bool gang;
	bool reported_unasked;
	bool fills;
	double worked_ms; /**< work that is done, in ms at full pace */
	unsigned pace;	  /**< in percent */
	unsigned next_pace;
	uint64_t next_pace_us; /**< time from which next_pace holds; 0: none */
} run_t;

typedef struct {
	int64_t number;
	char task[64];
	int64_t run;
	const char *how;
} end_t;

struct worker {
	char id[32];
	char machine[32];
	char address[32];
	char rack[16];
	struct MHD_Daemon *daemon;
	int64_t born_ms;
	uint64_t born_us;
	int64_t fence;
	int64_t lease_ms;
	int64_t next_end;
	uint64_t seq;
	uint64_t beat_us;
	bool is_down; /* it has crashed */
	char control[64];
	GPtrArray *runs;	    /* of run_t */
	GHashTable *ended;	    /* task -> highest run that was stopped or has ended */
	GArray *ends;		    /* of end_t */
	double tails[TAIL_SAMPLES]; /* of the task that serves, at the latest ticks */
	unsigned tail_at;
	uint64_t over_us; /* time since which the tail is over the goal; 0: it is not */
	unsigned lives;
};

fleet_seen_t seen;

static fleet_config_t config;
static GMutex lock;
static GCond changed;
static FILE *record;
static uint64_t started_us;
static uint64_t ticked_us; /* time of the latest tick */
static char subnet[24];
static char *folder;
static pid_t core_pids[CORES];
static pid_t edge_pid;
static worker_t workers[WORKERS_MAX];
static GHashTable *jobs; /* id -> play_job_t */
static bool stopping;
static GThread *tick_thread;
static GThread *beat_thread;
static struct MHD_Daemon *platform;
static struct MHD_Daemon *policy;
static GHashTable *tickets; /* "STEP worker" -> int64_t time in us until which it is valid */
static unsigned policy_waiting;
static uint64_t policy_next;
static uint64_t policy_turn;

uint64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

void sleep_ms(unsigned ms)
{
	g_usleep((gulong)ms * 1000);
}

void record_line(const char *format, ...)
{
	va_list args;
	char text[1024];

	va_start(args, format);
	g_vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	if (record != NULL)
		(void)fprintf(record, "%9.3f %s\n", (double)(now_us() - started_us) / 1e6, text);
}

/* --- HTTP server --- */

typedef struct {
	GByteArray *body;
} upload_t;

typedef int (*answer_fn)(void *arg, struct MHD_Connection *connection, const char *method,
			 const char *path, const json_t *body, json_t **reply);

typedef struct {
	answer_fn answer;
	void *arg;
} server_arg_t;

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *size, void **state)
{
	const server_arg_t *server = cls;
	upload_t *upload = *state;
	struct MHD_Response *response;
	json_t *body;
	json_t *reply = NULL;
	enum MHD_Result result;
	char *text;
	int status;

	if (upload == NULL) {
		upload = g_new0(upload_t, 1);
		upload->body = g_byte_array_new();
		*state = upload;
		return MHD_YES;
	}
	if (*size > 0) {
		g_byte_array_append(upload->body, (const guint8 *)data, (guint)*size);
		*size = 0;
		return MHD_YES;
	}
	body = json_loadb((const char *)upload->body->data, upload->body->len, 0, NULL);
	status = server->answer(server->arg, connection, method, url, body, &reply);
	json_decref(body);
	if (status == NO_ANSWER) {
		json_decref(reply);
		return MHD_NO;
	}
	text = reply != NULL ? json_dumps(reply, JSON_COMPACT) : strdup("{}");
	json_decref(reply);
	response = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(connection, (unsigned)status, response);
	MHD_destroy_response(response);
	return result;
}

static void on_done(void *cls, struct MHD_Connection *connection, void **state,
		    enum MHD_RequestTerminationCode code)
{
	upload_t *upload = *state;

	if (upload == NULL)
		return;
	g_byte_array_unref(upload->body);
	g_free(upload);
	*state = NULL;
}

static struct MHD_Daemon *serve(const char *ip, uint16_t port, answer_fn answer, void *arg)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
	server_arg_t *server = g_new0(server_arg_t, 1);

	*server = (server_arg_t){.answer = answer, .arg = arg};
	inet_pton(AF_INET, ip, &address.sin_addr);
	return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
				port, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
				&address, MHD_OPTION_NOTIFY_COMPLETED, on_done, NULL,
				MHD_OPTION_END);
}

/* --- HTTP client --- */

static size_t on_data(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * count));
	return size * count;
}

/* @return status, 0: no response */
static int call(const char *method, const char *url, const char *host, const char *body,
		long timeout_ms, GString *reply)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
	g_autofree char *host_line = g_strdup_printf("Host: %s", host != NULL ? host : "");
	GString *text = reply != NULL ? reply : g_string_new(NULL);
	long status = 0;

	headers = curl_slist_append(headers, "Expect:");
	headers = curl_slist_append(headers, "Deadline-Ms: 3000");
	if (host != NULL)
		headers = curl_slist_append(headers, host_line);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXREDIRS, 2L);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	if (reply == NULL)
		g_string_free(text, TRUE);
	return (int)status;
}

/* @return the worker's kind: the first worker is of another one than the others */
static const char *worker_kind(const worker_t *worker)
{
	return worker == &workers[0] ? "b" : "a";
}

/* --- runs of a worker; the lock is held --- */

static int64_t worker_clock_ms(const worker_t *worker)
{
	return (int64_t)((now_us() - worker->born_us) / 1000) + 1000;
}

static int64_t step_number(const run_t *run, const char *key)
{
	return json_integer_value(json_object_get(run->spec, key));
}

static void note_end(worker_t *worker, const char *task, int64_t number)
{
	int64_t *known = g_hash_table_lookup(worker->ended, task);

	if (known == NULL) {
		known = g_new0(int64_t, 1);
		g_hash_table_insert(worker->ended, g_strdup(task), known);
	}
	*known = MAX(*known, number);
}

static void end_run(run_t *run, const char *how)
{
	worker_t *worker = run->worker;
	end_t end = {.number = ++worker->next_end, .run = run->number, .how = how};

	g_strlcpy(end.task, run->task, sizeof(end.task));
	g_array_append_val(worker->ends, end);
	note_end(worker, run->task, run->number);
	record_line("%s ends run %" PRId64 " of %s: %s", worker->id, run->number, run->task, how);
	seen.done += strcmp(how, "done") == 0;
	seen.stopped += strcmp(how, "stopped") == 0;
	seen.alone += strcmp(how, "alone") == 0 && run->job->cancel_us == 0;
	seen.lapsed += strcmp(how, "lapsed") == 0;
	seen.broken += strcmp(how, "broken") == 0;
	run->job->done += strcmp(how, "done") == 0;
	if (--run->job->running == 0)
		run->job->idle_since_us = now_us();
	g_ptr_array_remove_fast(worker->runs, run);
	g_free(run);
	g_cond_broadcast(&changed);
}

static run_t *find_run(const worker_t *worker, const char *task)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		run_t *run = g_ptr_array_index(worker->runs, i);

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

/* @return members of the run's gang that are present, in any state if state is -1 */
static GPtrArray *gang_members(const run_t *run)
{
	GPtrArray *members = g_ptr_array_new();

	for (unsigned i = 0; i < config.workers; i++) {
		for (guint j = 0; j < workers[i].runs->len; j++) {
			run_t *other = g_ptr_array_index(workers[i].runs, j);

			if (other->number == run->number && strcmp(other->step, run->step) == 0)
				g_ptr_array_add(members, other);
		}
	}
	return members;
}

static void end_gang(run_t *run, const char *how, const char *others)
{
	g_autoptr(GPtrArray) members = gang_members(run);

	for (guint i = 0; i < members->len; i++) {
		run_t *member = g_ptr_array_index(members, i);

		end_run(member, member == run ? how : others);
	}
}

static void end_any(run_t *run, const char *how)
{
	if (run->gang && strcmp(how, "done") == 0)
		end_gang(run, "done", "done");
	else if (run->gang && run->state != RUN_WAITS)
		end_gang(run, how, "broken");
	else
		end_run(run, how);
}

/* @return whether runs of the worker have ended, so that its list has to be read again */
static bool tick_run(run_t *run, uint64_t at_us)
{
	uint64_t cancel_us = run->job->cancel_us;

	if (cancel_us != 0 && run->state != RUN_STOPS &&
	    at_us > cancel_us + (CANCEL_MS + STOP_MS) * 1000ULL) {
		seen.unasked_ms = MAX(seen.unasked_ms, (at_us - cancel_us) / 1000);
		if (!run->reported_unasked) {
			seen.unasked++;
			record_line("%s still runs run %" PRId64 " of %s, %" PRIu64
				    " ms after the cancelling was acknowledged",
				    run->worker->id, run->number, run->task,
				    (at_us - cancel_us) / 1000);
		}
		run->reported_unasked = true;
	}
	if (run->state == RUN_STOPS && at_us >= run->stop_us) {
		end_any(run, "stopped");
		return true;
	}
	if (run->next_pace_us != 0 && at_us >= run->next_pace_us) {
		run->pace = run->next_pace;
		run->next_pace_us = 0;
	}
	if (run->state == RUN_WORKS && !run->lasts && run->worked_ms >= run->job->work_ms) {
		end_any(run, "done");
		return true;
	}
	if (run->state == RUN_WAITS && at_us >= run->since_us + GANG_TIMEOUT_MS * 1000ULL) {
		end_run(run, "alone");
		return true;
	}
	return false;
}

static void start_gang_if_complete(run_t *run)
{
	g_autoptr(GPtrArray) members = gang_members(run);

	if ((int64_t)members->len < step_number(run, "count"))
		return;
	for (guint i = 0; i < members->len; i++) {
		run_t *member = g_ptr_array_index(members, i);

		member->state = RUN_WORKS;
		member->since_us = now_us();
	}
	record_line("the gang %s works, run %" PRId64, run->step, run->number);
}

static run_t *find_serving(const worker_t *worker)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		run_t *run = g_ptr_array_index(worker->runs, i);

		if (step_number(run, "goalMs") > 0 && run->state == RUN_WORKS)
			return run;
	}
	return NULL;
}

static double mean_tail_ms(const worker_t *worker)
{
	double sum = 0;

	for (unsigned i = 0; i < TAIL_SAMPLES; i++)
		sum += worker->tails[i];
	return sum / TAIL_SAMPLES;
}

/* The tasks that fill disturb the one that serves, by as much as they work. */
static void tick_tail(worker_t *worker, uint64_t at_us)
{
	const run_t *serving = find_serving(worker);
	double tail_ms = config.tail_ms;
	unsigned working = 0;

	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *run = g_ptr_array_index(worker->runs, i);

		if (!run->fills || run->state != RUN_WORKS)
			continue;
		tail_ms += config.disturb_ms * run->pace / 100.0;
		working += run->pace > 0;
	}
	worker->tails[worker->tail_at++ % TAIL_SAMPLES] = tail_ms;
	if (serving == NULL || working == 0 ||
	    mean_tail_ms(worker) <= (double)step_number(serving, "goalMs")) {
		worker->over_us = 0;
		return;
	}
	if (worker->over_us == 0)
		worker->over_us = at_us;
	if ((at_us - worker->over_us) / 1000 <= seen.harm_ms)
		return;
	seen.harm_ms = (at_us - worker->over_us) / 1000;
	if (seen.harm_ms % 1000 < TICK_MS)
		record_line("%s: %s is over its goal for %" PRIu64 " ms on end, the tail is %.0f "
			    "ms, %u tasks that fill work beside it",
			    worker->id, serving->task, seen.harm_ms, mean_tail_ms(worker), working);
}

static void tick_work(worker_t *worker, uint64_t at_us)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		run_t *run = g_ptr_array_index(worker->runs, i);

		if (run->state == RUN_WORKS)
			run->worked_ms += (double)(at_us - MAX(run->since_us, ticked_us)) / 1000 *
					  run->pace / 100;
	}
}

static void tick_worker(worker_t *worker)
{
	bool again;

	if (worker->runs->len > 0 && worker_clock_ms(worker) > worker->lease_ms) {
		while (worker->runs->len > 0)
			end_any(g_ptr_array_index(worker->runs, 0), "lapsed");
	}
	tick_work(worker, now_us());
	tick_tail(worker, now_us());
	do {
		again = false;
		for (guint i = 0; i < worker->runs->len && !again; i++)
			again = tick_run(g_ptr_array_index(worker->runs, i), now_us());
	} while (again);
}

static void *run_ticks(void *arg)
{
	while (!stopping) {
		g_mutex_lock(&lock);
		for (unsigned i = 0; i < config.workers; i++)
			tick_worker(&workers[i]);
		ticked_us = now_us();
		g_mutex_unlock(&lock);
		sleep_ms(TICK_MS);
	}
	return NULL;
}

/* --- calls to a worker --- */

static int refuse(const worker_t *worker, const char *reason, json_t **reply)
{
	seen.rejected++;
	*reply = json_pack("{s:I,s:s}", "clockMs", (json_int_t)worker_clock_ms(worker), "reason",
			   reason);
	return 409;
}

static int accept_call(const worker_t *worker, json_t **reply)
{
	*reply = json_pack("{s:I}", "clockMs", (json_int_t)worker_clock_ms(worker));
	return 200;
}

static int64_t field(const json_t *body, const char *key)
{
	return json_integer_value(json_object_get(body, key));
}

static void extend_lease(worker_t *worker, const json_t *body)
{
	int64_t limit = worker_clock_ms(worker) + HOLD_MAX_MS;

	if (json_object_get(body, "deadlineMs") != NULL)
		worker->lease_ms = MAX(worker->lease_ms, MIN(field(body, "deadlineMs"), limit));
}

static bool has_room(const worker_t *worker, const run_t *added)
{
	int64_t cpu = added->fills ? 0 : step_number(added, "cpu");
	int64_t mem = step_number(added, "memMb");

	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *run = g_ptr_array_index(worker->runs, i);

		cpu += run->fills ? 0 : step_number(run, "cpu");
		mem += step_number(run, "memMb");
	}
	return cpu <= config.cpu_milli && mem <= config.mem_mib;
}

static bool has_ticket(const worker_t *worker, const run_t *run)
{
	g_autofree char *key = g_strdup_printf("%s %s", run->step, worker->id);
	const int64_t *until_us = g_hash_table_lookup(tickets, key);

	return until_us != NULL && (int64_t)now_us() <= *until_us;
}

/* Reads the task's name. @return false: no client has sent its job */
static bool describe_run(run_t *run, const char *task)
{
	g_auto(GStrv) parts = g_strsplit(task, ".", 4);

	if (g_strv_length(parts) != 4)
		return false;
	run->job = g_hash_table_lookup(jobs, parts[0]);
	if (run->job == NULL)
		return false;
	g_strlcpy(run->task, task, sizeof(run->task));
	g_snprintf(run->step, sizeof(run->step), "%s.%s.%s", parts[0], parts[1], parts[2]);
	run->spec = json_array_get(run->job->steps, (size_t)atoi(parts[2]));
	run->gang = json_is_true(json_object_get(run->spec, "gang"));
	run->lasts = json_is_true(json_object_get(run->spec, "longRunning"));
	run->fills = json_is_true(json_object_get(run->spec, "fills"));
	run->pace = 100;
	return run->spec != NULL;
}

static void note_start(run_t *run)
{
	for (unsigned i = 0; i < config.workers; i++) {
		if (&workers[i] != run->worker && find_run(&workers[i], run->task) != NULL) {
			seen.twice++;
			record_line("%s runs on two workers", run->task);
		}
	}
	seen.starts++;
	run->job->starts++;
	run->job->running++;
	record_line("%s starts run %" PRId64 " of %s", run->worker->id, run->number, run->task);
}

static int answer_start(worker_t *worker, const json_t *body, json_t **reply)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	run_t described = {.worker = worker, .number = field(body, "runId")};
	const int64_t *ended;
	run_t *present;
	run_t *run;

	if (task == NULL || !describe_run(&described, task)) {
		record_line("%s gets a start of an unknown task", worker->id);
		return 400;
	}
	if (field(body, "fence") < worker->fence)
		return refuse(worker, "fence", reply);
	worker->fence = field(body, "fence");
	extend_lease(worker, body);
	present = find_run(worker, task);
	if (present != NULL && present->number == described.number)
		return accept_call(worker, reply);
	ended = g_hash_table_lookup(worker->ended, task);
	if ((ended != NULL && *ended >= described.number) ||
	    (present != NULL && present->number > described.number))
		return refuse(worker, "old", reply);
	if (field(body, "deadlineMs") < worker_clock_ms(worker))
		return refuse(worker, "late", reply);
	if (described.job->advised && !has_ticket(worker, &described))
		return refuse(worker, "ticket", reply);
	if (!has_room(worker, &described))
		return refuse(worker, "room", reply);
	run = g_new0(run_t, 1);
	*run = described;
	run->since_us = now_us();
	run->state = run->gang ? RUN_WAITS : RUN_WORKS;
	note_start(run);
	g_ptr_array_add(worker->runs, run);
	if (run->gang)
		start_gang_if_complete(run);
	return accept_call(worker, reply);
}

static int answer_stop(worker_t *worker, const json_t *body, json_t **reply)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t number = field(body, "runId");
	run_t *run = task != NULL ? find_run(worker, task) : NULL;

	if (task == NULL)
		return 400;
	if (field(body, "fence") < worker->fence)
		return refuse(worker, "fence", reply);
	worker->fence = field(body, "fence");
	note_end(worker, task, number);
	if (run != NULL && run->number <= number && run->state != RUN_STOPS) {
		run->state = RUN_STOPS;
		run->stop_us = now_us() + config.stop_ms * 1000ULL;
	}
	while (config.stop_waits && run != NULL && !worker->is_down) {
		g_cond_wait_until(&changed, &lock, g_get_monotonic_time() + 20000);
		run = find_run(worker, task);
		run = run != NULL && run->number <= number ? run : NULL;
	}
	return accept_call(worker, reply);
}

static int answer_pace(worker_t *worker, const json_t *body, json_t **reply)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	run_t *run = task != NULL ? find_run(worker, task) : NULL;

	if (field(body, "fence") < worker->fence)
		return refuse(worker, "fence", reply);
	worker->fence = field(body, "fence");
	if (run != NULL && run->number == field(body, "runId")) {
		run->next_pace = (unsigned)field(body, "percent");
		run->next_pace_us = now_us() + PACE_MS * 1000;
		seen.paces++;
	}
	return accept_call(worker, reply);
}

/* @return the rough figure of a row: the tail of a task that serves, else the CPU in use */
static json_int_t load_figure(const run_t *run)
{
	if (step_number(run, "goalMs") > 0)
		return (json_int_t)mean_tail_ms(run->worker);
	return (json_int_t)(step_number(run, "cpu") * run->pace / 100);
}

static json_t *list_running(const worker_t *worker)
{
	json_t *rows = json_array();

	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *run = g_ptr_array_index(worker->runs, i);
		uint64_t age_ms = (now_us() - run->since_us) / 1000;
		uint64_t percent = run->lasts ? (age_ms > 500 ? 100 : 50)
					      : MIN(99, (uint64_t)(run->worked_ms * 100 /
								   MAX(1, run->job->work_ms)));

		json_array_append_new(
			rows, json_pack("[s,I,s,I,I]", run->task, (json_int_t)run->number, "",
					(json_int_t)(run->state == RUN_WAITS ? 0 : percent),
					load_figure(run)));
	}
	return rows;
}

static int answer_hold(worker_t *worker, const json_t *body, json_t **reply)
{
	int64_t until = g_get_monotonic_time() + MIN(field(body, "waitMs"), 2000) * 1000;
	unsigned life = worker->lives;
	json_t *rows;

	if (field(body, "fence") < worker->fence)
		return refuse(worker, "fence", reply);
	worker->fence = field(body, "fence");
	extend_lease(worker, body);
	while (worker->ends->len > 0 &&
	       g_array_index(worker->ends, end_t, 0).number <= field(body, "lastSeen"))
		g_array_remove_index(worker->ends, 0);
	while (worker->ends->len == 0 && g_get_monotonic_time() < until && !stopping &&
	       worker->lives == life && !worker->is_down)
		g_cond_wait_until(&changed, &lock, until);
	if (worker->lives != life || worker->is_down)
		return NO_ANSWER;
	rows = json_array();
	for (guint i = 0; i < MIN(worker->ends->len, 500); i++) {
		const end_t *end = &g_array_index(worker->ends, end_t, i);

		json_array_append_new(rows,
				      json_pack("[I,s,I,s,s]", (json_int_t)end->number, end->task,
						(json_int_t)end->run, end->how, ""));
	}
	*reply = json_pack("{s:I,s:I,s:o,s:o}", "clockMs", (json_int_t)worker_clock_ms(worker),
			   "born", (json_int_t)worker->born_ms, "running", list_running(worker),
			   "finishedRuns", rows);
	return 200;
}

static int answer_worker(void *arg, struct MHD_Connection *connection, const char *method,
			 const char *path, const json_t *body, json_t **reply)
{
	worker_t *worker = arg;
	const char *intended =
		MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Expect-Instance");
	int status = 404;

	if (strcmp(path, "/healthz") == 0)
		return 200;
	if (intended != NULL && strcmp(intended, worker->id) != 0)
		return 421;
	if (strcmp(path, "/hold") != 0)
		sleep_ms(config.answer_ms);
	g_mutex_lock(&lock);
	if (worker->is_down) {
		g_mutex_unlock(&lock);
		return NO_ANSWER;
	}
	if (strcmp(path, "/run-start") == 0)
		status = answer_start(worker, body, reply);
	else if (strcmp(path, "/run-stop") == 0)
		status = answer_stop(worker, body, reply);
	else if (strcmp(path, "/hold") == 0)
		status = answer_hold(worker, body, reply);
	else if (strcmp(path, "/pace") == 0)
		status = answer_pace(worker, body, reply);
	g_mutex_unlock(&lock);
	return status;
}

/* --- the platform and the policy service --- */

static int answer_platform(void *arg, struct MHD_Connection *connection, const char *method,
			   const char *path, const json_t *body, json_t **reply)
{
	json_t *rows;

	if (strcmp(path, "/machines") != 0) {
		*reply = json_pack("{s:s}", "reason", "busy");
		return 409;
	}
	rows = json_array();
	for (unsigned i = 0; i < config.workers; i++)
		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:s,s:s,s:[s,s],s:{s:I,s:I,s:i},s:s}", "machine",
				  workers[i].machine, "pool", SERVICE, "state",
				  workers[i].is_down ? "down" : "up", "zone", "z1", "labels",
				  worker_kind(&workers[i]), workers[i].rack, "capacity", "cpu",
				  (json_int_t)config.cpu_milli, "memMb", (json_int_t)config.mem_mib,
				  "gpu", 0, "id", workers[i].is_down ? "" : workers[i].id));
	*reply = json_pack("{s:o}", "machines", rows);
	return 200;
}

static const char *ticket_text(void)
{
	static char text[512];

	memset(text, 't', MIN(config.ticket_length, sizeof(text) - 1));
	return config.ticket_length > 0 ? text : "ticket-1";
}

/* True when the caller has closed its connection. */
static bool has_hung_up(struct MHD_Connection *connection)
{
	int fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Handles one call at a time, in turn; with 32 that wait, it answers 429. */
static int answer_policy(void *arg, struct MHD_Connection *connection, const char *method,
			 const char *path, const json_t *body, json_t **reply)
{
	const char *step = json_string_value(json_object_get(body, "step"));
	const json_t *names = json_object_get(body, "workers");
	size_t count = json_array_size(names);
	json_t *rows;
	uint64_t turn;

	if (step == NULL || count == 0 || count > 100)
		return 400;
	g_mutex_lock(&lock);
	seen.advise_calls++;
	if (policy_waiting >= 32) {
		seen.advise_refused++;
		record_line("advice about %s: 429", step);
		g_mutex_unlock(&lock);
		return 429;
	}
	policy_waiting++;
	turn = policy_next++;
	record_line("advice about %s is asked, %u calls wait", step, policy_waiting);
	while (policy_turn != turn && !stopping)
		g_cond_wait_until(&changed, &lock, g_get_monotonic_time() + 20000);
	if (config.drops_calls && has_hung_up(connection)) {
		policy_waiting--;
		policy_turn++;
		g_cond_broadcast(&changed);
		record_line("advice about %s: the caller has hung up", step);
		g_mutex_unlock(&lock);
		return NO_ANSWER;
	}
	g_mutex_unlock(&lock);
	sleep_ms(config.decide_ms + config.per_worker_ms * (unsigned)count);
	g_mutex_lock(&lock);
	rows = json_array();
	for (size_t i = 0; i < count; i++) {
		const char *name = json_string_value(json_array_get(names, i));
		int64_t *until_us = g_new(int64_t, 1);

		*until_us = (int64_t)now_us() + config.valid_ms * 1000LL;
		g_hash_table_replace(tickets, g_strdup_printf("%s %s", step, name), until_us);
		json_array_append_new(rows, json_pack("[s,s]", name, ticket_text()));
	}
	policy_waiting--;
	policy_turn++;
	g_cond_broadcast(&changed);
	record_line("advice about %s is given", step);
	g_mutex_unlock(&lock);
	*reply = json_pack("{s:o}", "allowed", rows);
	return 200;
}

/* --- heartbeats --- */

static void beat(worker_t *worker)
{
	g_autofree char *body = NULL;
	json_t *message;
	char url[160];

	message = json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:I,s:i},s:[s,s],s:I,s:I,s:I}",
			    "service", SERVICE, "addr", worker->address, "machine", worker->machine,
			    "zone", "z1", "version", "v1", "slots", 8, "state", "ready",
			    "warmupLeftMs", 0, "capacity", "cpu", (json_int_t)config.cpu_milli,
			    "memMb", (json_int_t)config.mem_mib, "gpu", 0, "labels",
			    worker_kind(worker), worker->rack, "clockMs",
			    (json_int_t)worker_clock_ms(worker), "seq", (json_int_t)++worker->seq,
			    "born", (json_int_t)worker->born_ms);
	body = json_dumps(message, JSON_COMPACT);
	json_decref(message);
	for (unsigned attempt = 0; attempt < CORES; attempt++) {
		int status;

		if (worker->control[0] == '\0')
			g_snprintf(worker->control, sizeof(worker->control), "%s%u:%d", subnet,
				   (unsigned)g_random_int_range(1, CORES + 1), CONTROL_PORT);
		g_snprintf(url, sizeof(url), "http://%s/instances/%s", worker->control, worker->id);
		status = call("PUT", url, NULL, body, 1000, NULL);
		if (status >= 200 && status < 300)
			return;
		worker->control[0] = '\0';
	}
}

static void *run_beats(void *arg)
{
	while (!stopping) {
		for (unsigned i = 0; i < config.workers && !stopping; i++) {
			if (now_us() < workers[i].beat_us || workers[i].is_down)
				continue;
			workers[i].beat_us = now_us() + HEARTBEAT_MS * 1000ULL;
			beat(&workers[i]);
		}
		sleep_ms(20);
	}
	return NULL;
}

/* --- the system's processes --- */

static void write_settings(const char *path, const char *role, unsigned host, unsigned number)
{
	GString *text = g_string_new(NULL);
	bool core = strcmp(role, "core") == 0;

	g_string_append_printf(
		text,
		"nodeName=%s-%u\nrole=%s\nmachineClass=%s\nserves=%s\nip=%s%u\nzone=z1\nregion=r1\n"
		"zones.z1=r1\n",
		role, number, role, role, core ? "control" : "edge", subnet, host);
	if (core)
		g_string_append_printf(text, "listen.control=%s%u:%d\ndataDir=%s/data-%u\n", subnet,
				       host, CONTROL_PORT, folder, number);
	else
		g_string_append_printf(text, "listen.front=%s%u:%d\nlisten.ready=%s%u:%d\n", subnet,
				       host, FRONT_PORT, subnet, host, READY_PORT);
	g_string_append_printf(
		text,
		"portRange=7060,7075\nseeds=%s1:%d,%s2:%d,%s3:%d\nbootstrap=true\nlossCounts=%s\n"
		"limits.cpuShare=0.39\nlimits.cores=1\nlimits.memoryMb=256\nlimits.maxFds=4096\n"
		"limits.linkMbps=1000.0\nlimits.diskMb=%d\ndiscovery=registry\nentry=vip\n"
		"heartbeatMs=%d\ncontracts=base,drain,config,cost,recover,sched,advice,upkeep,"
		"sharing\nfaultTolerance.machines=1\nfaultTolerance.zones=0\n"
		"faultTolerance.regionCount=0\n",
		subnet, CONTROL_PORT, subnet, CONTROL_PORT, subnet, CONTROL_PORT,
		core ? "true" : "false", core ? 128 : 0, HEARTBEAT_MS);
	g_string_append_printf(
		text,
		"bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\n"
		"bounds.ackTimeoutMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS="
		"6\n"
		"bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n"
		"bounds.maxStretchMs=5000\nbounds.recoverS=12\nbounds.holdMaxMs=%d\n"
		"bounds.stopMs=%d\nbounds.gangTimeoutMs=%d\nbounds.cancel_ms=%d\n"
		"bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=%d\n"
		"bounds.status_s=120\nbounds.crossRackFactor=1.5\nbounds.checkpointS=0.5\n"
		"bounds.restoreMs=100\nbounds.noticeMs=4500\nbounds.migrateS=1.5\n"
		"bounds.maintenanceS=2\nbounds.fencing=true\nbounds.leaseMs=3000\n"
		"bounds.thawMs=300\nbounds.paceMs=100\nbounds.impactMs=4000\nconfig_mode=highest\n"
		"controlMode=push\nadvice=%s22:%d\ncloudApi.addr=%s21:%d\n"
		"cloudApi.ratePerS=64.0\ncloudApi.duties=\ncloudApi.dutyPerS=64.0\n",
		HOLD_MAX_MS, STOP_MS, GANG_TIMEOUT_MS, CANCEL_MS, FINISH_MS / 1000, subnet,
		SERVICE_PORT, subnet, SERVICE_PORT);
	g_file_set_contents(path, text->str, -1, NULL);
	g_string_free(text, TRUE);
}

static pid_t start_process(const char *role, unsigned host, unsigned number)
{
	g_autofree char *settings = g_strdup_printf("%s/%s-%u.conf", folder, role, number);
	g_autofree char *output = g_strdup_printf("%s/%s-%u.log", folder, role, number);
	g_autofree char *variable = g_strdup_printf("LAVENDERPASS_SETTINGS=%s", settings);
	g_autofree char *data = g_strdup_printf("%s/data-%u", folder, number);
	char *argv[] = {(char *)"target/lavenderpass", (char *)role, NULL};
	char *envp[] = {variable, (char *)"PATH=/usr/bin:/bin", (char *)"LANG=C.UTF-8", NULL};
	posix_spawn_file_actions_t actions;
	pid_t pid = -1;

	if (strcmp(role, "core") == 0)
		g_mkdir_with_parents(data, 0700);
	write_settings(settings, role, host, number);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, output, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	if (posix_spawn(&pid, argv[0], &actions, NULL, argv, envp) != 0)
		pid = -1;
	posix_spawn_file_actions_destroy(&actions);
	return pid;
}

static bool address_is_free(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free;

	inet_pton(AF_INET, ip, &address.sin_addr);
	is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return is_free;
}

static bool choose_subnet(void)
{
	for (unsigned attempt = 0; attempt < 50; attempt++) {
		char ip[32];

		g_snprintf(subnet, sizeof(subnet), "127.%d.%d.", g_random_int_range(20, 250),
			   g_random_int_range(1, 250));
		g_snprintf(ip, sizeof(ip), "%s1", subnet);
		if (address_is_free(ip, CONTROL_PORT) && address_is_free(ip, 9464) &&
		    address_is_free(ip, WORKER_PORT))
			return true;
	}
	return false;
}

static bool begin_life(worker_t *worker)
{
	char ip[32];

	g_snprintf(ip, sizeof(ip), "%s%u", subnet, 31 + (unsigned)(worker - workers));
	worker->born_us = now_us();
	worker->born_ms = g_get_real_time() / 1000;
	worker->beat_us = now_us();
	worker->daemon = serve(ip, WORKER_PORT, answer_worker, worker);
	return worker->daemon != NULL;
}

void worker_crash(unsigned index)
{
	worker_t *worker = &workers[index];

	g_mutex_lock(&lock);
	record_line("%s crashes, with %u runs", worker->id, worker->runs->len);
	worker->is_down = true;
	worker->lives++;
	while (worker->runs->len > 0) {
		run_t *run = g_ptr_array_index(worker->runs, 0);

		if (--run->job->running == 0)
			run->job->idle_since_us = now_us();
		g_ptr_array_remove_index_fast(worker->runs, 0);
		g_free(run);
	}
	g_hash_table_remove_all(worker->ended);
	g_array_set_size(worker->ends, 0);
	worker->next_end = 0;
	worker->fence = 0;
	worker->lease_ms = 0;
	worker->seq = 0;
	g_cond_broadcast(&changed);
	g_mutex_unlock(&lock);
	MHD_stop_daemon(worker->daemon);
	worker->daemon = NULL;
}

int worker_of(const play_job_t *job)
{
	int found = -1;

	g_mutex_lock(&lock);
	for (unsigned i = 0; i < config.workers && found < 0; i++) {
		for (guint j = 0; j < workers[i].runs->len; j++) {
			const run_t *run = g_ptr_array_index(workers[i].runs, j);

			if (run->job == job)
				found = (int)i;
		}
	}
	g_mutex_unlock(&lock);
	return found;
}

static bool start_workers(void)
{
	for (unsigned i = 0; i < config.workers; i++) {
		worker_t *worker = &workers[i];
		char ip[32];

		g_snprintf(ip, sizeof(ip), "%s%u", subnet, 31 + i);
		g_snprintf(worker->address, sizeof(worker->address), "%s:%d", ip, WORKER_PORT);
		g_snprintf(worker->id, sizeof(worker->id), "i-%02u", i + 1);
		g_snprintf(worker->machine, sizeof(worker->machine), "m-%02u", i + 1);
		g_snprintf(worker->rack, sizeof(worker->rack), "r-%u", i % MAX(1, config.racks));
		worker->runs = g_ptr_array_new();
		worker->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		worker->ends = g_array_new(FALSE, FALSE, sizeof(end_t));
		if (!begin_life(worker))
			return false;
		worker->beat_us = now_us() + i * 50000ULL;
	}
	return true;
}

static bool wait_until_ready(void)
{
	char url[96];

	g_snprintf(url, sizeof(url), "http://%s11:%d/readyz", subnet, READY_PORT);
	for (unsigned i = 0; i < 100; i++) {
		if (call("GET", url, NULL, NULL, 500, NULL) == 200)
			return true;
		sleep_ms(100);
	}
	return false;
}

/* Ends the processes when the script is ended or takes too long. */
static void on_signal(int signal_number)
{
	for (unsigned i = 0; i < CORES; i++) {
		if (core_pids[i] > 0)
			kill(core_pids[i], SIGKILL);
	}
	if (edge_pid > 0)
		kill(edge_pid, SIGKILL);
	_exit(2);
}

bool fleet_start(const fleet_config_t *wanted, const char *record_path)
{
	char ip[32];

	config = *wanted;
	started_us = now_us();
	record = fopen(record_path, "w");
	(void)setvbuf(record, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	alarm(LONGEST_S);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	jobs = g_hash_table_new(g_str_hash, g_str_equal);
	tickets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	folder = g_dir_make_tmp("lavenderpass-review-XXXXXX", NULL);
	if (folder == NULL || !choose_subnet())
		return false;
	g_snprintf(ip, sizeof(ip), "%s21", subnet);
	platform = serve(ip, SERVICE_PORT, answer_platform, NULL);
	g_snprintf(ip, sizeof(ip), "%s22", subnet);
	policy = serve(ip, SERVICE_PORT, answer_policy, NULL);
	if (platform == NULL || policy == NULL || !start_workers())
		return false;
	for (unsigned i = 0; i < CORES; i++)
		core_pids[i] = start_process("core", i + 1, i + 1);
	edge_pid = start_process("edge", 11, 1);
	tick_thread = g_thread_new("ticks", run_ticks, NULL);
	beat_thread = g_thread_new("beats", run_beats, NULL);
	return edge_pid > 0 && wait_until_ready();
}

static void end_process(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGCONT);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

static void remove_folder(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *entry = g_build_filename(path, name, NULL);

		if (g_file_test(entry, G_FILE_TEST_IS_DIR))
			remove_folder(entry);
		else
			g_unlink(entry);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(path);
}

void fleet_stop(void)
{
	record_line("workers: %u starts, %u rejected; ends: %u done, %u stopped, %u alone, %u "
		    "broken, %u lapsed; %u at the same time as another run; %u runs after the "
		    "cancelling; %u calls for advice; %u paces",
		    seen.starts, seen.rejected, seen.done, seen.stopped, seen.alone, seen.broken,
		    seen.lapsed, seen.twice, seen.unasked, seen.advise_calls, seen.paces);
	for (unsigned i = 0; i < CORES; i++)
		end_process(core_pids[i]);
	end_process(edge_pid);
	stopping = true;
	if (tick_thread != NULL)
		g_thread_join(tick_thread);
	if (beat_thread != NULL)
		g_thread_join(beat_thread);
	if (record != NULL)
		(void)fclose(record);
	record = NULL;
	if (getenv("KEEP") == NULL && folder != NULL)
		remove_folder(folder);
	else
		(void)printf("logs: %s\n", folder);
}

/* --- operator and clients --- */

bool operator_put_config(unsigned version, const char *const *prefixes, unsigned count,
			 bool advised)
{
	json_t *routes = json_array();
	json_t *message;
	g_autofree char *body = NULL;

	for (unsigned i = 0; i < count; i++) {
		g_autofree char *name = g_strdup_printf("r-%u", i + 1);
		json_t *route = json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:f}", "name", name,
					  "host", HOST, "prefix", prefixes[i], "kind", "mutating",
					  "timeoutMs", 3000, "sloMs", 600, "priority", 0, "service",
					  SERVICE, "attempts", 3, "stretch", 1.6);

		if (advised)
			json_object_set_new(route, "advice",
					    json_pack("{s:i,s:i,s:i}", "decideMs",
						      (int)config.decide_ms, "perWorkerMs",
						      (int)config.per_worker_ms, "validMs",
						      (int)config.valid_ms));
		json_array_append_new(routes, route);
	}
	message =
		json_pack("{s:i,s:o,s:[{s:s,s:s,s:i,s:s,s:b,s:b,s:b}],s:{s:i,s:i,s:i,s:i}}",
			  "version", (int)version, "routes", routes, "services", "name", SERVICE,
			  "healthPath", "/healthz", "maxConns", 64, "proto", "h1", "tls", 0,
			  "admissionCheck", 1, "standby", 0, "limits", "maxHeaderBytes", 16384,
			  "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);
	body = json_dumps(message, JSON_COMPACT);
	json_decref(message);
	for (unsigned attempt = 0; attempt < 40; attempt++) {
		char url[96];
		int status;

		g_snprintf(url, sizeof(url), "http://%s%u:%d/config", subnet, attempt % CORES + 1,
			   CONTROL_PORT);
		status = call("PUT", url, NULL, body, 2000, NULL);
		record_line("configuration %u is sent: %d", version, status);
		if (status == 200)
			return true;
		sleep_ms(200);
	}
	return false;
}

static void job_url(const play_job_t *job, char *url, size_t size)
{
	g_snprintf(url, size, "http://%s11:%d%s%s", subnet, FRONT_PORT, job->prefix, job->id);
}

static int client_send(play_job_t *job)
{
	json_t *message = json_pack("{s:s,s:O}", "spec", "(text)", "steps", job->steps);
	g_autofree char *body = json_dumps(message, JSON_COMPACT);
	char url[160];

	json_decref(message);
	job_url(job, url, sizeof(url));
	job->status = call("POST", url, HOST, body, 3000, NULL);
	record_line("job %s is handed in: %d", job->id, job->status);
	if (job->status == 200 && job->accepted_us == 0)
		job->accepted_us = now_us();
	return job->status;
}

static play_job_t *client_job(const char *prefix, json_t *steps, unsigned work_ms, bool advised)
{
	play_job_t *job = g_new0(play_job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%08x%08x", g_random_int(), g_random_int());
	job->prefix = prefix;
	job->steps = steps;
	job->work_ms = work_ms;
	job->advised = advised;
	job->idle_since_us = now_us();
	g_mutex_lock(&lock);
	g_hash_table_insert(jobs, job->id, job);
	g_mutex_unlock(&lock);
	return job;
}

play_job_t *client_submit(const char *prefix, json_t *steps, unsigned work_ms, bool advised)
{
	play_job_t *job = client_job(prefix, steps, work_ms, advised);

	client_send(job);
	return job;
}

int client_cancel(play_job_t *job)
{
	char url[160];
	int status;

	job_url(job, url, sizeof(url));
	status = call("DELETE", url, HOST, NULL, 3000, NULL);
	record_line("job %s is cancelled: %d", job->id, status);
	if (status == 200 || status == 410) {
		g_mutex_lock(&lock);
		job->cancel_us = now_us();
		g_mutex_unlock(&lock);
	}
	return status;
}

int client_read(play_job_t *job)
{
	g_autoptr(GString) reply = g_string_new(NULL);
	char url[160];
	json_t *body;
	const char *state;
	int status;

	job_url(job, url, sizeof(url));
	status = call("GET", url, HOST, NULL, 3000, reply);
	body = json_loads(reply->str, 0, NULL);
	state = json_string_value(json_object_get(body, "state"));
	g_strlcpy(job->state, state != NULL ? state : "", sizeof(job->state));
	json_decref(body);
	return status;
}
