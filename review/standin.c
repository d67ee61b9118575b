/*
 * Stand-ins for the cases of this review: workers, the platform, the operator, clients and a proxy in
 * one program, which starts lavenderpass (three core and two edge processes) on loopback addresses with
 * the commands of the deploy file, plays one case on the real clock, and checks what clients and
 * workers have seen.
 *
 *	standin CASE RECORD	exit status 1: the rule was broken, 0: it held, 2: the case could not run
 *	TROUBLE=0		plays the case without its disruption
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "json_reply.h"
#include "mono_timer.h"
#include "timer.h"

#include "standin.h"

struct tevent_context *ev;
worker_t workers[WORKERS_MAX];
unsigned worker_count;
bool trouble;
process_t processes[PROCESSES];
char listed_state[WORKERS_MAX][16];

static timer_service_t timers;
static http_client_t client;
static http_server_t platform;
static unsigned port_base;
static unsigned network; /* second byte of the loopback addresses */
static char work_dir[64];
static uint64_t start_us;
static FILE *record_file;
static GPtrArray *run_records; /* elements: run_record_t */
static unsigned broken;
static bool platform_lists = true;

uint64_t elapsed_ms(void)
{
	return (clock_now_us() - start_us) / US_PER_MS;
}

void record(const char *format, ...)
{
	va_list args;

	fprintf(record_file, "%7.3f  ", (double)elapsed_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

void report_broken(const char *rule, const char *format, ...)
{
	char text[256];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	broken++;
	if (broken <= 40)
		record("RULE BROKEN %s: %s", rule, text);
}

unsigned broken_count(void)
{
	return broken;
}

/* --- processes of lavenderpass --- */

static unsigned control_port(void)
{
	return port_base + 12;
}

static unsigned front_port(void)
{
	return port_base + 10;
}

static void write_settings(const process_t *process, bool bootstrap)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const char *role = process->core ? "core" : "edge";

	g_string_append_printf(
		text,
		"nodeName=%s\nrole=%s\nmachineClass=%s\nserves=%s\nip=%s\nzone=%s\nregion=muscat\n"
		"zones.ruwi=muscat\nzones.ghubra=muscat\nzones.seeb=muscat\nportRange=%u,%u\n",
		process->name, role, role, process->core ? "control" : "edge", process->ip,
		process->zone, port_base, port_base + 9);
	if (process->core)
		g_string_append_printf(text, "listen.control=%s:%u\ndataDir=%s\n", process->ip,
				       control_port(), process->data_dir);
	else
		g_string_append_printf(text, "listen.front=%s:%u\nlisten.ready=%s:%u\n",
				       process->ip, front_port(), process->ip, port_base + 11);
	g_string_append_printf(text, "seeds=");
	for (unsigned i = 0; i < CORES; i++)
		g_string_append_printf(text, "%s%s:%u", i > 0 ? "," : "", processes[i].ip,
				       control_port());
	g_string_append_printf(
		text,
		"\nbootstrap=%s\nlossCounts=%s\nlimits.cpuShare=0.39\nlimits.cores=1\n"
		"limits.memoryMb=256\nlimits.maxFds=4096\nlimits.linkMbps=1000.0\n"
		"limits.diskMb=%d\ndiscovery=registry\nentry=vip\nheartbeatMs=1500\n"
		"contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n"
		"faultTolerance.machines=1\nfaultTolerance.zones=1\n"
		"faultTolerance.regionCount=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n"
		"bounds.contactMs=3000\nbounds.ackTimeoutMs=4000\nbounds.catchUpS=4\n"
		"bounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
		"bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n"
		"bounds.maxStretchMs=5000\nbounds.recoverS=12\nbounds.holdMaxMs=10000\n"
		"bounds.stopMs=200\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\n"
		"bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n"
		"bounds.status_s=120\nbounds.crossRackFactor=1.5\nbounds.checkpointS=0.5\n"
		"bounds.restoreMs=100\nbounds.noticeMs=4500\nbounds.migrateS=1.5\n"
		"bounds.maintenanceS=2\nbounds.fencing=true\nbounds.leaseMs=3000\n"
		"bounds.thawMs=300\nbounds.paceMs=100\nbounds.impactMs=4000\n"
		"config_mode=highest\ncontrolMode=push\nadvice=\ncloudApi.addr=127.%u.5.1:%u\n"
		"cloudApi.ratePerS=64.0\ncloudApi.duties=\ncloudApi.dutyPerS=64.0\n",
		bootstrap ? "true" : "false", process->core ? "true" : "false",
		process->core ? 128 : 0, network, port_base + 14);
	g_file_set_contents(process->settings, text->str, -1, NULL);
}

static void start_process(process_t *process)
{
	g_autofree char *log = g_strconcat(process->settings, ".log", NULL);

	write_settings(process, !process->started);
	process->started = true;
	process->pid = fork();
	if (process->pid == 0) {
		/* It ends with this program, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("LAVENDERPASS_SETTINGS", process->settings, 1);
		execl("target/lavenderpass", "lavenderpass", process->core ? "core" : "edge",
		      (char *)NULL);
		_exit(127);
	}
}

void signal_process(process_t *process, int signum)
{
	record("signal %d to %s", signum, process->name);
	kill(process->pid, signum);
}

static void set_up_processes(void)
{
	static const char *const zones[] = {"ruwi", "ghubra", "seeb"};

	for (unsigned i = 0; i < PROCESSES; i++) {
		process_t *process = &processes[i];
		bool core = i < CORES;

		*process = (process_t){.core = core};
		g_strlcpy(process->zone, zones[i % 3], sizeof(process->zone));
		g_snprintf(process->name, sizeof(process->name), "%s-%s-%u", core ? "core" : "edge",
			   process->zone, 1 + i / CORES);
		g_snprintf(process->ip, sizeof(process->ip), "127.%u.%u.%u", network, core ? 1 : 2,
			   1 + i);
		g_snprintf(process->settings, sizeof(process->settings), "%s/%s.conf", work_dir,
			   process->name);
		g_snprintf(process->data_dir, sizeof(process->data_dir), "%s/data-%s", work_dir,
			   process->name);
		g_mkdir(process->data_dir, 0700);
	}
	for (unsigned i = 0; i < PROCESSES; i++)
		start_process(&processes[i]);
}

static void end_processes(void)
{
	for (unsigned i = 0; i < PROCESSES; i++) {
		if (processes[i].pid <= 0)
			continue;
		kill(processes[i].pid, SIGCONT);
		kill(processes[i].pid, SIGKILL);
		waitpid(processes[i].pid, NULL, 0);
	}
}

static void check_processes_run(void)
{
	for (unsigned i = 0; i < PROCESSES; i++) {
		if (processes[i].pid > 0 &&
		    waitpid(processes[i].pid, NULL, WNOHANG) == processes[i].pid) {
			record("%s has ended by itself", processes[i].name);
			processes[i].pid = 0;
		}
	}
}

/* --- HTTP calls of the stand-ins --- */

typedef struct {
	reply_fn fn;
	void *arg;
} call_t;

static void on_call_done(void *arg, const http_call_result_t *result)
{
	g_autofree call_t *call = arg;
	json_t *body = result->complete && result->body_length > 0
			       ? json_loadb(result->body, result->body_length, 0, NULL)
			       : NULL;

	if (call->fn != NULL)
		call->fn(call->arg, result->complete ? result->status : 0, body);
	json_decref(body);
}

static void send_call_on(const char *method, const char *address, const char *path,
			 const char *host, json_t *body, uint32_t timeout_ms, bool keep_alive,
			 reply_fn fn, void *arg)
{
	const http_header_t headers[] = {{"Content-Type", "application/json"},
					 {"Deadline-Ms", "3000"},
					 {"Host", host != NULL ? host : address}};
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	call_t *call = g_new0(call_t, 1);
	const http_call_request_t request = {
		.method = method,
		.url = url,
		.headers = headers,
		.header_count = 3,
		.body = text,
		.body_length = text != NULL ? strlen(text) : 0,
		.connect_timeout_ms = 1000,
		.timeout_ms = timeout_ms,
		.response_limit = 1 << 20,
		.fresh_connection = !keep_alive,
	};

	*call = (call_t){.fn = fn, .arg = arg};
	http_client_send(&client, &request, on_call_done, call);
	free(text);
	json_decref(body);
}

void send_call(const char *method, const char *address, const char *path, const char *host,
	       json_t *body, uint32_t timeout_ms, reply_fn fn, void *arg)
{
	send_call_on(method, address, path, host, body, timeout_ms, false, fn, arg);
}

/* --- runs, as the workers see them --- */

static run_record_t *active_record(const worker_t *worker, const char *task, uint32_t run)
{
	for (guint i = run_records->len; i-- > 0;) {
		run_record_t *known = g_ptr_array_index(run_records, i);

		if (known->end_us == 0 && known->worker == worker && known->run == run &&
		    strcmp(known->task, task) == 0)
			return known;
	}
	return NULL;
}

static void note_start(worker_t *worker, const char *task, uint32_t run)
{
	run_record_t *added = g_new0(run_record_t, 1);

	for (guint i = 0; i < run_records->len; i++) {
		const run_record_t *known = g_ptr_array_index(run_records, i);

		if (strcmp(known->task, task) == 0 && known->end_us == 0)
			report_broken("TWICE",
				      "%s: run %u starts on %s while run %u runs on %s, which is up",
				      task, run, worker->id, known->run, known->worker->id);
	}
	*added = (run_record_t){
		.worker = worker, .life = worker->life, .run = run, .start_us = clock_now_us()};
	g_strlcpy(added->task, task, sizeof(added->task));
	g_ptr_array_add(run_records, added);
}

static void note_end(worker_t *worker, const char *task, uint32_t run, const char *how,
		     uint64_t number)
{
	run_record_t *known = active_record(worker, task, run);

	if (known == NULL)
		return;
	known->end_us = clock_now_us();
	known->how = how;
	known->number = number;
}

/* An end counts as taken note of unless the worker's lease lapsed in between. */
static void note_seen(worker_t *worker, uint64_t last_seen)
{
	for (guint i = 0; i < run_records->len; i++) {
		run_record_t *known = g_ptr_array_index(run_records, i);

		if (known->worker == worker && known->life == worker->life && known->number != 0 &&
		    known->number <= last_seen && !known->noted)
			known->noted = !known->lapsed_since;
	}
}

static void note_lapse(worker_t *worker)
{
	for (guint i = 0; i < run_records->len; i++) {
		run_record_t *known = g_ptr_array_index(run_records, i);

		if (known->worker == worker && known->life == worker->life && !known->noted)
			known->lapsed_since = true;
	}
}

/* Judges at the end of the case: starts after a run that ended done, and starts after as many failed
 * runs as the queue allows. */
void judge_runs(unsigned attempts)
{
	for (guint i = 0; i < run_records->len; i++) {
		const run_record_t *started = g_ptr_array_index(run_records, i);
		unsigned failed = 0;

		for (guint j = 0; j < run_records->len; j++) {
			const run_record_t *ended = g_ptr_array_index(run_records, j);

			if (ended->end_us == 0 || ended->end_us > started->start_us ||
			    !ended->noted || strcmp(ended->task, started->task) != 0)
				continue;
			if (strcmp(ended->how, "done") == 0)
				report_broken("TWICE",
					      "%s: run %u starts on %s after run %u has ended done on "
					      "%s, which was taken note of",
					      started->task, started->run, started->worker->id,
					      ended->run, ended->worker->id);
			failed += strcmp(ended->how, "failed") == 0;
		}
		if (failed >= attempts)
			report_broken("BUDGET", "%s: run %u starts after %u runs ended failed, of "
						"%u attempts",
				      started->task, started->run, failed, attempts);
	}
}

unsigned count_runs(const char *job, const char *how)
{
	unsigned count = 0;

	for (guint i = 0; i < run_records->len; i++) {
		const run_record_t *known = g_ptr_array_index(run_records, i);

		if (strncmp(known->task, job, strlen(job)) == 0 &&
		    (how == NULL || (known->end_us != 0 && strcmp(known->how, how) == 0)))
			count++;
	}
	return count;
}

unsigned count_active(const worker_t *worker, const char *job)
{
	unsigned count = 0;

	for (guint i = 0; i < run_records->len; i++) {
		const run_record_t *known = g_ptr_array_index(run_records, i);

		count += known->end_us == 0 && (worker == NULL || known->worker == worker) &&
			 strncmp(known->task, job, strlen(job)) == 0;
	}
	return count;
}

/* @return when the last run of the task ended; 0: it runs, or has not run yet */
uint64_t not_running_since_us(const char *task)
{
	uint64_t since_us = 0;

	for (guint i = 0; i < run_records->len; i++) {
		const run_record_t *known = g_ptr_array_index(run_records, i);

		if (strcmp(known->task, task) != 0)
			continue;
		if (known->end_us == 0)
			return 0;
		since_us = MAX(since_us, known->end_us);
	}
	return since_us;
}

/* --- workers --- */

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t end_us;
	const char *how;
	uint32_t cpu;
	uint32_t mem;
	uint64_t started_us;
	uint64_t length_us;
} running_t;

typedef struct {
	uint64_t number;
	char task[80];
	uint32_t run;
	const char *how;
} end_t;

typedef struct {
	worker_t *worker;
	http_request_t *request;
	uint64_t until_us;
	uint64_t last_seen;
} waiting_hold_t;

static GPtrArray *waiting_holds; /* elements: waiting_hold_t */

static uint64_t worker_clock_ms(const worker_t *worker)
{
	return 1000 + (clock_now_us() - worker->started_us) / US_PER_MS;
}

static void end_run(worker_t *worker, guint i, const char *how)
{
	running_t run = g_array_index(worker->running, running_t, i);
	end_t end = {.number = ++worker->last_number, .run = run.run, .how = how};

	g_strlcpy(end.task, run.task, sizeof(end.task));
	g_array_append_val(worker->ends, end);
	g_hash_table_replace(worker->highest, g_strdup(run.task), GUINT_TO_POINTER(run.run));
	note_end(worker, run.task, run.run, how, end.number);
	if (worker->log_runs)
		record("%s ends %s run %u: %s", worker->id, run.task, run.run, how);
	g_array_remove_index(worker->running, i);
}

static void tick_runs(worker_t *worker)
{
	uint64_t now_us = clock_now_us();
	bool lapsed = worker->lease_us != 0 && worker->lease_us <= now_us;

	for (guint i = 0; i < worker->running->len;) {
		const running_t *run = &g_array_index(worker->running, running_t, i);

		if (run->end_us <= MIN(now_us, worker->lease_us))
			end_run(worker, i, run->how);
		else if (lapsed)
			end_run(worker, i, "lapsed");
		else
			i++;
	}
	if (lapsed && !worker->lease_lapsed) {
		note_lapse(worker);
		worker->lease_lapsed = true;
	}
}

static void extend_lease(worker_t *worker, const json_t *body)
{
	uint64_t until_ms = (uint64_t)json_integer_value(json_object_get(body, "deadlineMs"));
	uint64_t now_ms = worker_clock_ms(worker);

	if (until_ms <= now_ms)
		return;
	worker->lease_us = MAX(worker->lease_us,
			       clock_now_us() + MIN(until_ms - now_ms, 10000) * US_PER_MS);
	worker->lease_lapsed = false;
}

static json_t *hold_lists(const worker_t *worker, uint64_t last_seen)
{
	json_t *running = json_array();
	json_t *ends = json_array();

	for (guint i = 0; i < worker->running->len; i++) {
		const running_t *run = &g_array_index(worker->running, running_t, i);
		uint64_t done_us = clock_now_us() - run->started_us;

		json_array_append_new(running,
				      json_pack("[s, I, s, I, I]", run->task, (json_int_t)run->run,
						worker->checkpoint,
						(json_int_t)MIN(100, done_us * 100 / run->length_us),
						(json_int_t)run->cpu));
	}
	/* The ends after lastSeen are returned 500 at a time. */
	for (guint i = 0; i < worker->ends->len && json_array_size(ends) < 500; i++) {
		const end_t *end = &g_array_index(worker->ends, end_t, i);

		if (end->number > last_seen)
			json_array_append_new(ends, json_pack("[I, s, I, s, s]",
							      (json_int_t)end->number, end->task,
							      (json_int_t)end->run, end->how,
							      worker->checkpoint));
	}
	return json_pack("{s:I, s:I, s:o, s:o}", "clockMs", (json_int_t)worker_clock_ms(worker),
			 "born", (json_int_t)worker->born_ms, "running", running, "finishedRuns",
			 ends);
}

static bool has_new_end(const worker_t *worker, uint64_t last_seen)
{
	return worker->ends->len > 0 &&
	       g_array_index(worker->ends, end_t, worker->ends->len - 1).number > last_seen;
}

static void answer_hold(waiting_hold_t *hold)
{
	json_t *lists = hold_lists(hold->worker, hold->last_seen);

	if (hold->worker->log_holds)
		record("%s answers a hold: lastSeen %" PRIu64 ", %zu running, %zu ends, of %u kept",
		       hold->worker->id, hold->last_seen,
		       json_array_size(json_object_get(lists, "running")),
		       json_array_size(json_object_get(lists, "finishedRuns")),
		       hold->worker->ends->len);
	json_reply(hold->request, 200, lists);
}

static void tick_holds(void)
{
	for (guint i = 0; i < waiting_holds->len;) {
		waiting_hold_t *hold = g_ptr_array_index(waiting_holds, i);

		if (clock_now_us() < hold->until_us && !has_new_end(hold->worker, hold->last_seen)) {
			i++;
			continue;
		}
		answer_hold(hold);
		g_free(hold);
		g_ptr_array_remove_index(waiting_holds, i);
	}
}

static void drop_holds(const worker_t *worker)
{
	for (guint i = 0; i < waiting_holds->len;) {
		waiting_hold_t *hold = g_ptr_array_index(waiting_holds, i);

		if (hold->worker != worker) {
			i++;
			continue;
		}
		http_request_reply(hold->request, 503, NULL, 0, NULL, 0);
		g_free(hold);
		g_ptr_array_remove_index(waiting_holds, i);
	}
}

static void handle_hold(worker_t *worker, http_request_t *request, const json_t *body)
{
	uint64_t last_seen = (uint64_t)json_integer_value(json_object_get(body, "lastSeen"));
	uint64_t wait_ms = (uint64_t)json_integer_value(json_object_get(body, "waitMs"));
	waiting_hold_t *hold = g_new0(waiting_hold_t, 1);
	guint kept = 0;

	extend_lease(worker, body);
	note_seen(worker, last_seen);
	while (kept < worker->ends->len &&
	       g_array_index(worker->ends, end_t, kept).number <= last_seen)
		kept++;
	if (kept > 0)
		g_array_remove_range(worker->ends, 0, kept);
	*hold = (waiting_hold_t){.worker = worker,
				 .request = request,
				 .until_us = clock_now_us() + MIN(wait_ms, 2000) * US_PER_MS,
				 .last_seen = last_seen};
	g_ptr_array_add(waiting_holds, hold);
	tick_holds();
}

/* @return reason of the refusal; NULL: the run is there */
static const char *handle_start(worker_t *worker, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));
	uint64_t until_ms = (uint64_t)json_integer_value(json_object_get(body, "deadlineMs"));
	running_t run = {.run = number};
	uint64_t cpu = 0;
	uint64_t mem = 0;
	task_traits_t traits;

	if (until_ms <= worker_clock_ms(worker))
		return "late";
	for (guint i = 0; i < worker->running->len; i++) {
		const running_t *known = &g_array_index(worker->running, running_t, i);

		cpu += known->cpu;
		mem += known->mem;
		if (strcmp(known->task, task) == 0) {
			extend_lease(worker, body);
			return known->run == number ? NULL : "old";
		}
	}
	extend_lease(worker, body);
	if (number <= GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, task)))
		return "old";
	traits = task_traits(task, number);
	if (cpu + traits.cpu > worker->cpu || mem + traits.mem > worker->mem)
		return "room";
	note_start(worker, task, number);
	g_strlcpy(run.task, task, sizeof(run.task));
	run.cpu = traits.cpu;
	run.mem = traits.mem;
	run.how = traits.how;
	run.started_us = clock_now_us();
	run.length_us = traits.length_ms * US_PER_MS;
	run.end_us = traits.lasts ? UINT64_MAX - US_PER_S : run.started_us + run.length_us;
	g_array_append_val(worker->running, run);
	if (worker->log_runs)
		record("%s starts %s run %u, fence %d", worker->id, task, number,
		       (int)json_integer_value(json_object_get(body, "fence")));
	if (worker->on_start != NULL)
		worker->on_start(worker);
	return NULL;
}

static void handle_stop(worker_t *worker, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));
	uint32_t known = GPOINTER_TO_UINT(g_hash_table_lookup(worker->highest, task));

	for (guint i = 0; i < worker->running->len; i++) {
		const running_t *run = &g_array_index(worker->running, running_t, i);

		if (strcmp(run->task, task) == 0 && run->run == number) {
			end_run(worker, i, "stopped");
			return;
		}
	}
	g_hash_table_replace(worker->highest, g_strdup(task),
			     GUINT_TO_POINTER(MAX(known, number)));
}

/* A request that reaches a worker which is cut off: it never arrives there, and no answer comes. */
static void on_lost_request_closed(void *arg)
{
	http_request_reply(arg, 503, NULL, 0, NULL, 0);
}

static void on_worker_request(void *arg, http_request_t *request)
{
	worker_t *worker = arg;
	const char *path = http_request_path(request);
	const char *expected = http_request_header(request, "Expect-Instance");
	json_t *body;
	const char *reason = NULL;
	uint64_t fence;

	if (clock_now_us() < worker->cut_until_us) {
		http_request_set_disconnect_handler(request, on_lost_request_closed, request);
		return;
	}
	if (strcmp(path, "/healthz") == 0) {
		http_request_reply(request, 200, NULL, 0, NULL, 0);
		return;
	}
	body = json_request_body(request);
	fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));
	tick_runs(worker);
	if (expected != NULL && strcmp(expected, worker->id) != 0) {
		json_reply(request, 421,
			   json_pack("{s:I}", "clockMs", (json_int_t)worker_clock_ms(worker)));
		json_decref(body);
		return;
	}
	if (fence < worker->fence)
		reason = "fence";
	else
		worker->fence = fence;
	if (reason == NULL && strcmp(path, "/hold") == 0) {
		handle_hold(worker, request, body);
		json_decref(body);
		return;
	}
	if (reason == NULL && strcmp(path, "/run-start") == 0)
		reason = handle_start(worker, body);
	else if (reason == NULL && strcmp(path, "/run-stop") == 0)
		handle_stop(worker, body);
	if (reason != NULL)
		json_reply(request, 409,
			   json_pack("{s:I, s:s}", "clockMs", (json_int_t)worker_clock_ms(worker),
				     "reason", reason));
	else
		json_reply(request, 200,
			   json_pack("{s:I}", "clockMs", (json_int_t)worker_clock_ms(worker)));
	json_decref(body);
}

bool has_room(const worker_t *worker, uint64_t cpu, uint64_t mem)
{
	uint64_t used_cpu = 0;
	uint64_t used_mem = 0;

	for (guint i = 0; i < worker->running->len; i++) {
		used_cpu += g_array_index(worker->running, running_t, i).cpu;
		used_mem += g_array_index(worker->running, running_t, i).mem;
	}
	return worker->up && !worker->draining && used_cpu + cpu <= worker->cpu &&
	       used_mem + mem <= worker->mem;
}

void start_worker(worker_t *worker)
{
	const http_server_config_t config = {.address = worker->ip,
					     .port = (uint16_t)(port_base + 13),
					     .body_limit = 65536,
					     .connection_limit = 200,
					     .idle_timeout_s = 60};

	worker->life++;
	worker->started_us = clock_now_us();
	worker->born_ms = clock_wall_ms();
	worker->seq = 0;
	worker->fence = 0;
	worker->lease_us = 0;
	worker->lease_lapsed = false;
	worker->last_number = 0;
	worker->draining = false;
	worker->beat_core = (unsigned)g_random_int_range(0, CORES);
	worker->beat_due_us = worker->first_beat_after_ms > 0
				      ? clock_now_us() + worker->first_beat_after_ms * US_PER_MS
				      : 0;
	worker->beat_in_flight = false;
	g_array_set_size(worker->running, 0);
	g_array_set_size(worker->ends, 0);
	g_hash_table_remove_all(worker->highest);
	if (http_server_init(&worker->server, ev, &config, on_worker_request, worker) != 0) {
		fprintf(stderr, "cannot listen on %s: %s\n", worker->ip, strerror(errno));
		exit(2);
	}
	worker->up = true;
	g_strlcpy(listed_state[worker - workers], "up", sizeof(listed_state[0]));
	record("%s starts its life %u at %s", worker->id, worker->life, worker->ip);
}

/* The worker's process ends: everything that runs on it ends without being listed. */
void end_worker(worker_t *worker, const char *how)
{
	record("%s: %s, with %u runs", worker->id, how, worker->running->len);
	worker->up = false;
	g_strlcpy(listed_state[worker - workers], "down", sizeof(listed_state[0]));
	for (guint i = 0; i < worker->running->len; i++) {
		const running_t *run = &g_array_index(worker->running, running_t, i);

		note_end(worker, run->task, run->run, "crashed", 0);
	}
	g_array_set_size(worker->running, 0);
	http_server_finish(&worker->server);
	drop_holds(worker);
}

worker_t *add_worker(const char *service, const char *kind, const char *rack)
{
	worker_t *worker = &workers[worker_count++];
	unsigned n = worker_count;

	*worker = (worker_t){.cpu = 64000, .mem = 262144, .checkpoint = ""};
	worker->running = g_array_new(FALSE, TRUE, sizeof(running_t));
	worker->ends = g_array_new(FALSE, TRUE, sizeof(end_t));
	worker->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_snprintf(worker->ip, sizeof(worker->ip), "127.%u.3.%u", network, n);
	g_snprintf(worker->id, sizeof(worker->id), "i-%08x", 0x7f3a0000 + n);
	g_snprintf(worker->machine, sizeof(worker->machine), "m-%05x", 0xa3f0 + n);
	g_strlcpy(worker->service, service, sizeof(worker->service));
	g_strlcpy(worker->kind, kind, sizeof(worker->kind));
	g_strlcpy(worker->rack, rack, sizeof(worker->rack));
	g_strlcpy(worker->zone, processes[(n - 1) % 3].zone, sizeof(worker->zone));
	start_worker(worker);
	return worker;
}

/* --- heartbeats --- */

static void control_address(const worker_t *worker, unsigned core, char out[32])
{
	if (worker != NULL && worker->proxied)
		proxy_address(core, out);
	else
		g_snprintf(out, 32, "%s:%u", processes[core].ip, control_port());
}

typedef struct {
	worker_t *worker;
	unsigned life;
} beat_t;

static void on_beat_answered(void *arg, unsigned status, const json_t *body)
{
	g_autofree beat_t *beat = arg;
	worker_t *worker = beat->worker;

	if (beat->life != worker->life)
		return;
	worker->beat_in_flight = false;
	if (status >= 200 && status < 300) {
		if (worker->acked_beats++ == 0 || worker->life != worker->acked_life)
			record("%s life %u: heartbeat is acknowledged", worker->id, worker->life);
		worker->acked_life = worker->life;
		worker->drain_acked |= worker->draining;
		worker->beat_due_us = clock_now_us() + 1500 * US_PER_MS;
		return;
	}
	/* The next node is called. */
	worker->beat_core = (worker->beat_core + 1) % CORES;
	worker->beat_due_us = clock_now_us();
}

json_t *beat_body(worker_t *worker)
{
	json_t *body = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:I, s:I, s:i}, s:[s, s], s:I, s:I, s:I}",
		"service", worker->service, "machine", worker->machine, "zone", worker->zone,
		"version", "v1", "slots", 8, "state", worker->draining ? "draining" : "ready",
		"warmupLeftMs", 0, "capacity", "cpu", (json_int_t)worker->cpu, "memMb",
		(json_int_t)worker->mem, "gpu", 0, "labels", worker->kind, worker->rack, "clockMs",
		(json_int_t)worker_clock_ms(worker), "seq", (json_int_t)++worker->seq, "born",
		(json_int_t)worker->born_ms);

	json_object_set_new(body, "addr", json_sprintf("%s:%u", worker->ip, port_base + 13));
	if (worker->draining)
		json_object_set_new(body, "remainingMs", json_integer(2000));
	return body;
}

static void tick_beat(worker_t *worker)
{
	g_autofree char *path = g_strdup_printf("/instances/%s", worker->id);
	char address[32];
	beat_t *beat;

	if (!worker->up || worker->beat_in_flight || clock_now_us() < worker->beat_due_us ||
	    (clock_now_us() < worker->cut_until_us && !worker->proxied))
		return;
	worker->beat_in_flight = true;
	control_address(worker, worker->beat_core, address);
	beat = g_new0(beat_t, 1);
	*beat = (beat_t){.worker = worker, .life = worker->life};
	/* A new life has no connections yet. */
	send_call_on("PUT", address, path, NULL, beat_body(worker), 1000,
		     worker->acked_life == worker->life, on_beat_answered, beat);
}

void put_instance(unsigned core, const char *id, json_t *body, reply_fn fn, void *arg)
{
	g_autofree char *path = g_strdup_printf("/instances/%s", id);
	char address[32];

	control_address(NULL, core, address);
	send_call("PUT", address, path, NULL, body, 1000, fn, arg);
}

void delete_instance(worker_t *worker, unsigned core, reply_fn fn, void *arg)
{
	g_autofree char *path = g_strdup_printf("/instances/%s", worker->id);
	char address[32];

	control_address(worker, core, address);
	record("%s life %u sends DELETE to %s", worker->id, worker->life, processes[core].name);
	send_call_on("DELETE", address, path, NULL, NULL, 1000, true, fn, arg);
}

/* --- platform --- */

static void handle_upkeep(http_request_t *request)
{
	json_t *body = json_request_body(request);
	const char *machine = json_string_value(json_object_get(body, "machine"));
	const char *reason = "wave";

	for (unsigned i = 0; i < worker_count; i++) {
		worker_t *worker = &workers[i];

		if (g_strcmp0(worker->machine, machine) != 0 || !worker->in_wave)
			continue;
		reason = worker->up ? NULL : "busy";
		if (reason != NULL)
			break;
		end_worker(worker, "its machine goes down for upkeep");
		g_strlcpy(listed_state[i], "upkeep", sizeof(listed_state[0]));
		worker->upkeep_until_us = clock_now_us() + 2 * US_PER_S;
	}
	json_reply(request, reason == NULL ? 200 : 409,
		   reason == NULL ? json_object() : json_pack("{s:s}", "reason", reason));
	json_decref(body);
}

/* After the upkeep, a new worker joins the pool on the machine. */
static void tick_upkeep(worker_t *worker)
{
	if (worker->upkeep_until_us == 0 || clock_now_us() < worker->upkeep_until_us)
		return;
	worker->upkeep_until_us = 0;
	g_strlcat(worker->id, "b", sizeof(worker->id));
	start_worker(worker);
}

static void on_platform_request(void *arg, http_request_t *request)
{
	const char *path = http_request_path(request);
	json_t *machines;

	if (strcmp(path, "/machine-upkeep") == 0) {
		handle_upkeep(request);
		return;
	}
	/* There is one pool only. */
	if (strcmp(path, "/machines") != 0) {
		json_reply(request, 400, json_object());
		return;
	}
	if (!platform_lists) {
		http_request_reply(request, 503, NULL, 0, NULL, 0);
		return;
	}
	machines = json_array();
	for (unsigned i = 0; i < worker_count; i++) {
		const worker_t *worker = &workers[i];

		json_array_append_new(
			machines,
			json_pack("{s:s, s:s, s:s, s:s, s:[s, s], s:{s:I, s:I, s:i}, s:s}", "machine",
				  worker->machine, "pool", worker->service, "state", listed_state[i],
				  "zone", worker->zone, "labels", worker->kind, worker->rack,
				  "capacity", "cpu", (json_int_t)worker->cpu, "memMb",
				  (json_int_t)worker->mem, "gpu", 0, "id", worker->id));
	}
	json_reply(request, 200, json_pack("{s:o, s:n}", "machines", machines, "nextToken"));
}

/* --- proxy between a worker and the core processes --- */

typedef struct proxy_conn {
	struct proxy_conn *next;
	int fds[2];
	struct tevent_fd *watches[2];
	bool unborn; /* opened during the cut: its first packet is lost until it is repeated */
	bool held;
	bool finished[2];
	uint64_t since_us; /* when the held bytes, or the first packet, were first sent */
	uint64_t next_us;  /* when they are sent again */
	uint64_t step_us;
	GByteArray *kept;
	unsigned core;
} proxy_conn_t;

static int proxy_listeners[CORES];
static proxy_conn_t *proxy_conns;
static bool proxy_cut;

void proxy_address(unsigned core, char out[32])
{
	g_snprintf(out, 32, "127.%u.4.%u:%u", network, core + 1, control_port());
}

static void pass_on(proxy_conn_t *conn, int from);

static void on_proxy_readable(struct tevent_context *context, struct tevent_fd *fde, uint16_t flags,
			      void *private_data)
{
	proxy_conn_t *conn = private_data;

	pass_on(conn, fde == conn->watches[0] ? 0 : 1);
}

static void connect_to_core(proxy_conn_t *conn)
{
	struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons((uint16_t)control_port())};

	inet_pton(AF_INET, processes[conn->core].ip, &to.sin_addr);
	conn->fds[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(conn->fds[1], (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(conn->fds[1]);
		conn->fds[1] = -1;
		return;
	}
	conn->watches[1] =
		tevent_add_fd(ev, ev, conn->fds[1], TEVENT_FD_READ, on_proxy_readable, conn);
}

static void finish_side(proxy_conn_t *conn, int from)
{
	TALLOC_FREE(conn->watches[from]);
	conn->finished[from] = true;
	if (conn->fds[1 - from] >= 0)
		shutdown(conn->fds[1 - from], SHUT_WR);
}

/* Bytes that are lost are sent again after 0.2 s, and a first packet after 1 s; each further time
 * after twice as long. */
static void hold(proxy_conn_t *conn, uint64_t first_repeat_us)
{
	conn->held = true;
	conn->since_us = clock_now_us();
	conn->step_us = first_repeat_us;
	conn->next_us = conn->since_us + first_repeat_us;
}

static void pass_on(proxy_conn_t *conn, int from)
{
	char buffer[65536];
	ssize_t length = recv(conn->fds[from], buffer, sizeof(buffer), MSG_DONTWAIT);

	if (length < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (length <= 0) {
		/* The end of a sender whose bytes are held up follows them. */
		if (conn->held && from == 0) {
			TALLOC_FREE(conn->watches[0]);
			conn->finished[0] = true;
			return;
		}
		finish_side(conn, from);
		return;
	}
	if (conn->held || (proxy_cut && from == 0)) {
		if (!conn->held)
			hold(conn, 200 * US_PER_MS);
		g_byte_array_append(conn->kept, (const guint8 *)buffer, (guint)length);
		return;
	}
	if (conn->fds[1 - from] >= 0 &&
	    send(conn->fds[1 - from], buffer, (size_t)length, MSG_NOSIGNAL) < 0)
		finish_side(conn, 1 - from);
}

static void on_proxy_accept(struct tevent_context *context, struct tevent_fd *fde, uint16_t flags,
			    void *private_data)
{
	unsigned core = GPOINTER_TO_UINT(private_data);
	int fd = accept4(proxy_listeners[core], NULL, NULL, SOCK_CLOEXEC);
	proxy_conn_t *conn;

	if (fd < 0)
		return;
	conn = g_new0(proxy_conn_t, 1);
	conn->fds[0] = fd;
	conn->fds[1] = -1;
	conn->core = core;
	conn->kept = g_byte_array_new();
	conn->next = proxy_conns;
	proxy_conns = conn;
	conn->unborn = proxy_cut;
	if (conn->unborn)
		hold(conn, US_PER_S);
	else
		connect_to_core(conn);
	conn->watches[0] = tevent_add_fd(ev, ev, fd, TEVENT_FD_READ, on_proxy_readable, conn);
}

void start_proxy(void)
{
	for (unsigned i = 0; i < CORES; i++) {
		struct sockaddr_in at = {.sin_family = AF_INET,
					 .sin_port = htons((uint16_t)control_port())};
		char ip[32];
		int enable = 1;

		g_snprintf(ip, sizeof(ip), "127.%u.4.%u", network, i + 1);
		inet_pton(AF_INET, ip, &at.sin_addr);
		proxy_listeners[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(proxy_listeners[i], SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
		if (bind(proxy_listeners[i], (struct sockaddr *)&at, sizeof(at)) != 0 ||
		    listen(proxy_listeners[i], 64) != 0)
			exit(2);
		tevent_add_fd(ev, ev, proxy_listeners[i], TEVENT_FD_READ, on_proxy_accept,
			      GUINT_TO_POINTER(i));
	}
}

/* Begins or ends the cut. */
void set_proxy_cut(bool cut)
{
	proxy_cut = cut;
	record("%s", cut ? "the link between the worker and the core is cut"
			 : "the link between the worker and the core works again");
}

/* Passes on what was held up, unless it is lost once more. */
static void repeat(proxy_conn_t *conn)
{
	if (proxy_cut) {
		conn->step_us *= 2;
		conn->next_us += conn->step_us;
		return;
	}
	conn->held = false;
	/* A connection that its opener has given up before it was there carries nothing. */
	if (conn->unborn && conn->finished[0])
		return;
	if (conn->unborn)
		connect_to_core(conn);
	conn->unborn = false;
	if (conn->fds[1] < 0)
		return;
	record("passed on to %s, %.1f s late: %.*s", processes[conn->core].name,
	       (double)(clock_now_us() - conn->since_us) / US_PER_S,
	       (int)strcspn((const char *)conn->kept->data, "\r\n"),
	       (const char *)conn->kept->data);
	send(conn->fds[1], conn->kept->data, conn->kept->len, MSG_NOSIGNAL);
	g_byte_array_set_size(conn->kept, 0);
	if (conn->finished[0])
		shutdown(conn->fds[1], SHUT_WR);
}

static void tick_proxy(void)
{
	for (proxy_conn_t *conn = proxy_conns; conn != NULL; conn = conn->next) {
		if (conn->held && clock_now_us() >= conn->next_us)
			repeat(conn);
	}
}

/* --- operator and clients --- */

typedef struct {
	json_t *config;
	unsigned core;
	bool acked;
	bool in_flight;
} put_config_t;

static void on_config_answered(void *arg, unsigned status, const json_t *body)
{
	put_config_t *put = arg;

	put->in_flight = false;
	put->acked = status == 200;
	if (!put->acked)
		put->core = (put->core + 1) % CORES;
}

bool put_config(json_t *config, unsigned timeout_ms)
{
	put_config_t put = {.config = config};
	uint64_t end_us = clock_now_us() + timeout_ms * US_PER_MS;
	char address[32];

	while (!put.acked && clock_now_us() < end_us) {
		if (!put.in_flight) {
			control_address(NULL, put.core, address);
			put.in_flight = true;
			send_call("PUT", address, "/config", NULL, json_incref(config), 1500,
				  on_config_answered, &put);
			run_for(100);
		}
		run_for(10);
	}
	while (put.in_flight)
		run_for(10);
	record("configuration %d: %s", (int)json_integer_value(json_object_get(config, "version")),
	       put.acked ? "acknowledged" : "not acknowledged");
	json_decref(config);
	return put.acked;
}

typedef struct {
	bool done;
	unsigned status;
	char state[16];
} answer_t;

static void on_answer(void *arg, unsigned status, const json_t *body)
{
	answer_t *answer = arg;
	const char *state = json_string_value(json_object_get(body, "state"));

	answer->done = true;
	answer->status = status;
	g_strlcpy(answer->state, state != NULL ? state : "", sizeof(answer->state));
}

/* Calls the core processes in turn until one answers 200. */
static unsigned operator_call(const char *method, const char *path, json_t *body, char state[16])
{
	answer_t answer = {0};

	for (unsigned i = 0; i < 2 * CORES && answer.status != 200; i++) {
		char address[32];

		control_address(NULL, i % CORES, address);
		answer = (answer_t){0};
		send_call(method, address, path, NULL, json_incref(body), 1000, on_answer, &answer);
		while (!answer.done)
			run_for(5);
	}
	json_decref(body);
	if (state != NULL)
		g_strlcpy(state, answer.state, 16);
	return answer.status;
}

bool start_wave(int number, const char *const *machines, size_t count, int duration_s, int max_count)
{
	json_t *list = json_array();
	unsigned status;

	for (size_t i = 0; i < count; i++) {
		json_array_append_new(list, json_string(machines[i]));
		for (unsigned j = 0; j < worker_count; j++)
			workers[j].in_wave |= strcmp(workers[j].machine, machines[i]) == 0;
		record("wave %d: %s", number, machines[i]);
	}
	status = operator_call("POST", "/wave-start",
			       json_pack("{s:i, s:o, s:i, s:i}", "wave", number, "machines", list,
					 "durationS", duration_s, "maxCount", max_count),
			       NULL);
	record("wave %d, of %zu machines, %d at once, in %d s: %u", number, count, max_count,
	       duration_s, status);
	return status == 200;
}

unsigned wave_state(int number, char state[16])
{
	g_autofree char *path = g_strdup_printf("/wave-get/%d", number);

	return operator_call("GET", path, NULL, state);
}

static void on_leader_asked(void *arg, unsigned status, const json_t *body)
{
	answer_t *answer = arg;

	answer->done = true;
	answer->status = status;
}

/* @return the core process that answers reads of the configuration by itself; NULL: none */
process_t *leader_process(void)
{
	for (unsigned i = 0; i < CORES; i++) {
		answer_t answer = {0};
		char address[32];

		control_address(NULL, i, address);
		send_call("GET", address, "/config", NULL, NULL, 500, on_leader_asked, &answer);
		while (!answer.done)
			run_for(5);
		if (answer.status == 200)
			return &processes[i];
	}
	return NULL;
}

static unsigned client_call(const char *method, const char *prefix, const char *id, json_t *body,
			    char state[16])
{
	static unsigned edge;
	process_t *process = &processes[CORES + edge++ % EDGES];
	g_autofree char *path = g_strconcat(prefix, id, NULL);
	g_autofree char *address = g_strdup_printf("%s:%u", process->ip, front_port());
	answer_t answer = {0};

	send_call(method, address, path, "pule25.example", body, 3000, on_answer, &answer);
	while (!answer.done)
		run_for(5);
	if (state != NULL)
		g_strlcpy(state, answer.state, 16);
	return answer.status;
}

uint64_t case_start_us(void)
{
	return start_us;
}

void send_config(json_t *config, reply_fn fn, void *arg)
{
	char address[32];

	control_address(NULL, 0, address);
	send_call("PUT", address, "/config", NULL, config, 1500, fn, arg);
}

void send_client_job(const char *prefix, const char *id, json_t *body, reply_fn fn, void *arg)
{
	static unsigned edge;
	process_t *process = &processes[CORES + edge++ % EDGES];
	g_autofree char *path = g_strconcat(prefix, id, NULL);
	g_autofree char *address = g_strdup_printf("%s:%u", process->ip, front_port());

	send_call_on("POST", address, path, "pule25.example", body, 3000, true, fn, arg);
}

bool submit_job(const char *prefix, const char *id, json_t *body, unsigned timeout_ms)
{
	uint64_t end_us = clock_now_us() + timeout_ms * US_PER_MS;
	unsigned status = 0;

	while (status != 200 && clock_now_us() < end_us) {
		status = client_call("POST", prefix, id, json_incref(body), NULL);
		if (status != 200)
			run_for(200);
	}
	json_decref(body);
	record("job %s%s handed in: %u", prefix, id, status);
	return status == 200;
}

unsigned job_state(const char *prefix, const char *id, char state[16])
{
	return client_call("GET", prefix, id, NULL, state);
}

json_t *make_config(int version, const char *const *routes, size_t route_count, const char *service,
		    int attempts)
{
	json_t *list = json_array();

	for (size_t i = 0; i < route_count; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f}", "name",
					routes[i] + 1, "host", "pule25.example", "prefix", routes[i],
					"kind", "mutating", "timeoutMs", 3000, "sloMs", 600,
					"priority", 0, "service", service, "attempts", attempts,
					"stretch", 1.6));
	return json_pack("{s:i, s:o, s:[{s:s, s:s, s:i, s:s, s:b, s:b, s:b}], s:{s:i, s:i, s:i, s:i}}",
			 "version", version, "routes", list, "services", "name", service,
			 "healthPath", "/healthz", "maxConns", 64, "proto", "h1", "tls", 0,
			 "admissionCheck", 1, "standby", 0, "limits", "maxHeaderBytes", 16384,
			 "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);
}

/* --- event loop --- */

static void on_tick(void *arg, uint64_t now_us)
{
	for (unsigned i = 0; i < worker_count; i++) {
		tick_upkeep(&workers[i]);
		if (!workers[i].up)
			continue;
		tick_runs(&workers[i]);
		tick_beat(&workers[i]);
	}
	tick_holds();
	tick_proxy();
	check_processes_run();
}

typedef struct {
	bool fired;
} pause_t;

static void on_pause_over(void *arg)
{
	((pause_t *)arg)->fired = true;
}

void run_for(uint64_t ms)
{
	pause_t pause = {0};

	mono_timer_add(ev, ev, ms * US_PER_MS, on_pause_over, &pause);
	while (!pause.fired && tevent_loop_once(ev) == 0)
		;
}

bool run_until(bool (*reached)(void *arg), void *arg, uint64_t timeout_ms)
{
	uint64_t end_us = clock_now_us() + timeout_ms * US_PER_MS;

	while (!reached(arg) && clock_now_us() < end_us)
		run_for(5);
	return reached(arg);
}

static bool addresses_free(void)
{
	static const char *const formats[] = {"127.%u.1.1", "127.%u.2.4", "127.%u.3.1", "127.%u.5.1"};

	for (size_t i = 0; i < G_N_ELEMENTS(formats); i++) {
		char ip[32];

		g_snprintf(ip, sizeof(ip), formats[i], network);
		for (unsigned port = port_base; port < port_base + 15; port++) {
			if (http_server_check_address(ip, (uint16_t)port) != 0)
				return false;
		}
	}
	return true;
}

static void choose_addresses(void)
{
	for (unsigned i = 0; i < 100; i++) {
		network = 10 + ((unsigned)getpid() + i) % 200;
		port_base = 20000 + ((unsigned)getpid() + 7 * i) % 500 * 20;
		if (addresses_free())
			return;
	}
	exit(2);
}

static int finish(int status)
{
	end_processes();
	if (getenv("STANDIN_KEEP") != NULL)
		fprintf(stderr, "logs in %s\n", work_dir);
	else {
		g_autofree char *pattern = g_strdup(work_dir);
		const char *const argv[] = {"rm", "-rf", pattern, NULL};

		g_spawn_sync(NULL, (char **)argv, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL,
			     NULL, NULL);
	}
	record("%s", status == 2   ? "the case could not run"
		     : broken > 0  ? "the rule was broken"
				   : "the rule held");
	if (broken > 40)
		record("%u breaks in all", broken);
	fclose(record_file);
	return status == 2 ? 2 : broken > 0;
}

int main(int argc, char **argv)
{
	const http_server_config_t platform_config = {.body_limit = 65536,
						      .connection_limit = 200,
						      .idle_timeout_s = 60};
	http_server_config_t config = platform_config;
	char ip[32];
	int status;

	if (argc != 3 || find_case(argv[1]) == NULL) {
		fprintf(stderr, "usage: standin CASE RECORD\n");
		return 2;
	}
	trouble = g_strcmp0(getenv("TROUBLE"), "0") != 0;
	record_file = fopen(argv[2], "w");
	if (record_file == NULL)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	start_us = clock_now_us();
	g_strlcpy(work_dir, "/tmp/lp-review-XXXXXX", sizeof(work_dir));
	if (g_mkdtemp(work_dir) == NULL)
		return 2;
	choose_addresses();
	record("case %s, %s the disruption", argv[1], trouble ? "with" : "without");
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	http_client_init(&client, ev, 60);
	run_records = g_ptr_array_new_with_free_func(g_free);
	waiting_holds = g_ptr_array_new();
	g_snprintf(ip, sizeof(ip), "127.%u.5.1", network);
	config.address = ip;
	config.port = (uint16_t)(port_base + 14);
	if (http_server_init(&platform, ev, &config, on_platform_request, NULL) != 0)
		return 2;
	set_up_processes();
	timer_sub_t tick;

	timer_subscribe(&timers, &tick, 5 * US_PER_MS, on_tick, NULL);
	status = find_case(argv[1])() ? 0 : 2;
	return finish(status);
}
