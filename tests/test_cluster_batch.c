/*
 * Fault soak of the batch service: the real programs as separate processes on loopback addresses of
 * their own, a fleet of VMs that this program plays, clients that submit, ask and cancel, and
 *faults from outside the processes: SIGKILL with and without the loss of the disk, SIGSTOP,
 *SIGTERM, VMs that fall silent, lose answers or end. The promises are checked while it runs, from
 *what clients and VMs see.
 *
 *	LAVENDERPASS_SEED=N	plays one seed (default 1)
 *	LAVENDERPASS_SEEDS=N	plays N seeds from there
 *	LAVENDERPASS_SOAK_S=N	seconds with faults for each seed (default 15)
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
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
#include "timer.h"

#define CORES 3
#define EDGES 2
#define PROCESSES (CORES + EDGES)
#define VMS 8
#define TASK_MS 300
#define REPORT_MS 500
#define SETTLE_S 30

typedef struct {
	pid_t pid; /* 0: does not run */
	char ip[32];
	char settings[256];
	char data_dir[256];
	bool core;
	bool started;
	bool stopped; /* SIGSTOP */
	uint64_t restart_us;
	uint64_t resume_us;
} process_t;

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t end_us;
} run_t;

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t number;
	const char *how;
} ended_t;

typedef struct {
	http_server_t server;
	char ip[32];
	char id[32];
	uint64_t born_ms;
	uint64_t seq;
	uint64_t fence;
	uint64_t lease_us;
	uint64_t last_end;
	GArray *runs;	     /* run_t */
	GArray *ended;	     /* ended_t */
	GHashTable *highest; /* task -> run */
	uint64_t silent_until_us;
	double lose_answers;
	unsigned beat_core; /* that it reports to */
} vm_t;

typedef struct {
	char id[20];
	bool accepted;
	bool unsure;  /* an answer was lost: it may have been accepted */
	bool refused; /* every answer so far was a refusal */
	bool cancelled;
	bool complete;
	uint64_t asked_us;
} job_t;

static struct tevent_context *ev;
static timer_service_t timers;
static http_client_t client;
static process_t processes[PROCESSES];
static vm_t vms[VMS];
static GPtrArray *jobs;
static GHashTable *done_tasks; /* noted by a hold with a higher number */
static GRand *rng;
static GString *broken;
static unsigned port_base;
static unsigned network; /* second byte of the addresses */
static char root[64];
static uint64_t start_us;
static bool faults_on;
static bool submitting;
static unsigned starts;
static bool configured;

static void violate(const char *rule, const char *what)
{
	g_string_append_printf(broken, "%" PRIu64 " ms: %s: %s\n",
			       (uint64_t)((clock_now_us() - start_us) / US_PER_MS), rule, what);
}

static bool chance(double share)
{
	return g_rand_double(rng) < share;
}

/* --- processes --- */

static unsigned front_port(void)
{
	return port_base + 10;
}

static unsigned ready_port(void)
{
	return port_base + 11;
}

static unsigned control_port(void)
{
	return port_base + 12;
}

static void write_settings(const process_t *process, bool first)
{
	g_autofree char *text = g_strdup_printf(
		"nodeName=%s\nip=%s\nzone=z\nportRange=%u,%u\n"
		"seeds=127.%u.1.1:%u,127.%u.1.2:%u,127.%u.1.3:%u\nbootstrap=%s\n"
		"heartbeatMs=%d\nfaultTolerance.machines=1\nbounds.graceS=3\n%s%s\n",
		process->ip, process->ip, port_base, port_base + 9, network, control_port(),
		network, control_port(), network, control_port(), first ? "true" : "false",
		REPORT_MS, process->core ? "dataDir=" : "", process->core ? process->data_dir : "");
	g_autofree char *listen =
		process->core
			? g_strdup_printf("listen.control=%s:%u\n", process->ip, control_port())
			: g_strdup_printf("listen.front=%s:%u\nlisten.ready=%s:%u\n", process->ip,
					  front_port(), process->ip, ready_port());
	g_autofree char *all = g_strconcat(text, listen, NULL);

	assert_true(g_file_set_contents(process->settings, all, -1, NULL));
}

static const char *binary(void)
{
	static char path[256];
	const char *build = getenv("LAVENDERPASS_BUILD");

	snprintf(path, sizeof(path), "%s/lavenderpass", build != NULL ? build : "build/release");
	return path;
}

static void launch(process_t *process)
{
	g_autofree char *log = g_strconcat(process->settings, ".log", NULL);

	write_settings(process, !process->started);
	process->started = true;
	process->restart_us = 0;
	process->stopped = false;
	process->pid = fork();
	assert_true(process->pid >= 0);
	if (process->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		setenv("LAVENDERPASS_SETTINGS", process->settings, 1);
		execl(binary(), "lavenderpass", process->core ? "core" : "edge", (char *)NULL);
		_exit(127);
	}
}

static void reap(process_t *process)
{
	if (process->pid > 0 && waitpid(process->pid, NULL, WNOHANG) == process->pid)
		process->pid = 0;
}

static void wipe(const process_t *process)
{
	static const char *const names[] = {"log", "snapshot", "identity"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path = g_build_filename(process->data_dir, names[i], NULL);

		g_unlink(path);
	}
}

static unsigned cores_well(void)
{
	unsigned count = 0;

	for (unsigned i = 0; i < CORES; i++)
		count += processes[i].pid > 0 && !processes[i].stopped;
	return count;
}

/* At most one core process is away at a time, and for some seconds after. */
static void hurt_process(void)
{
	static uint64_t calm_us;
	process_t *process = &processes[g_rand_int_range(rng, 0, PROCESSES)];
	uint64_t now_us = clock_now_us();

	if (process->pid == 0 || process->stopped ||
	    (process->core && (cores_well() < CORES || now_us < calm_us)))
		return;
	if (process->core)
		calm_us = now_us + 6 * US_PER_S;
	switch (g_rand_int_range(rng, 0, 4)) {
	case 0:
		kill(process->pid, SIGSTOP);
		process->stopped = true;
		process->resume_us =
			now_us + (uint64_t)g_rand_int_range(rng, 300, 3000) * US_PER_MS;
		return;
	case 1:
		kill(process->pid, SIGTERM);
		break;
	case 2:
		kill(process->pid, SIGKILL);
		waitpid(process->pid, NULL, 0);
		process->pid = 0;
		if (process->core)
			wipe(process);
		break;
	default:
		kill(process->pid, SIGKILL);
		break;
	}
	process->restart_us = now_us + (uint64_t)g_rand_int_range(rng, 100, 2000) * US_PER_MS;
}

static void look_after_processes(uint64_t now_us)
{
	for (unsigned i = 0; i < PROCESSES; i++) {
		process_t *process = &processes[i];

		reap(process);
		if (process->stopped && now_us >= process->resume_us) {
			kill(process->pid, SIGCONT);
			process->stopped = false;
		}
		if (process->pid == 0 && process->started && now_us >= process->restart_us)
			launch(process);
	}
}

/* --- VMs --- */

static void note_end(vm_t *vm, guint i, const char *how)
{
	run_t run = g_array_index(vm->runs, run_t, i);
	ended_t ended = {.run = run.run, .number = ++vm->last_end, .how = how};

	g_strlcpy(ended.task, run.task, sizeof(ended.task));
	g_array_append_val(vm->ended, ended);
	g_hash_table_replace(vm->highest, g_strdup(run.task), GUINT_TO_POINTER(run.run));
	g_array_remove_index(vm->runs, i);
}

static void advance(vm_t *vm)
{
	uint64_t now_us = clock_now_us();

	for (guint i = 0; i < vm->runs->len;) {
		const run_t *run = &g_array_index(vm->runs, run_t, i);

		if (run->end_us <= MIN(now_us, vm->lease_us))
			note_end(vm, i, "done");
		else if (vm->lease_us <= now_us)
			note_end(vm, i, "lapsed");
		else
			i++;
	}
}

static uint64_t vm_clock_ms(void)
{
	return clock_now_us() / US_PER_MS;
}

static void extend(vm_t *vm, const json_t *body)
{
	uint64_t until_ms = (uint64_t)json_integer_value(json_object_get(body, "deadlineMs"));
	uint64_t now_ms = vm_clock_ms();

	if (until_ms > now_ms)
		vm->lease_us = MAX(vm->lease_us,
				   clock_now_us() + MIN(until_ms - now_ms, 10000) * US_PER_MS);
}

static job_t *job_of(const char *task)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		if (strncmp(task, job->id, 16) == 0)
			return job;
	}
	return NULL;
}

static void check_start(const vm_t *vm, const char *task)
{
	const job_t *job = job_of(task);

	if (job == NULL)
		violate("UNASKED", task);
	else if (job->refused)
		violate("REFUSED", task);
	if (g_hash_table_contains(done_tasks, task))
		violate("TWICE after its end", task);
	for (unsigned i = 0; i < VMS; i++) {
		advance(&vms[i]);
		for (guint j = 0; j < vms[i].runs->len; j++) {
			if (&vms[i] != vm &&
			    strcmp(g_array_index(vms[i].runs, run_t, j).task, task) == 0)
				violate("TWICE", task);
		}
	}
}

static const char *start_run(vm_t *vm, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));
	uint64_t until_ms = (uint64_t)json_integer_value(json_object_get(body, "deadlineMs"));
	run_t run = {.run = number};

	if (until_ms <= vm_clock_ms())
		return "late";
	extend(vm, body);
	for (guint i = 0; i < vm->runs->len; i++) {
		const run_t *known = &g_array_index(vm->runs, run_t, i);

		if (strcmp(known->task, task) == 0)
			return known->run == number ? NULL : "old";
	}
	if (number <= GPOINTER_TO_UINT(g_hash_table_lookup(vm->highest, task)))
		return "old";
	if (vm->runs->len >= 16)
		return "room";
	check_start(vm, task);
	g_strlcpy(run.task, task, sizeof(run.task));
	run.end_us = clock_now_us() +
		     (uint64_t)g_rand_int_range(rng, TASK_MS / 2, TASK_MS * 2) * US_PER_MS;
	g_array_append_val(vm->runs, run);
	starts++;
	return NULL;
}

static void stop_run(vm_t *vm, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));

	for (guint i = 0; i < vm->runs->len; i++) {
		if (strcmp(g_array_index(vm->runs, run_t, i).task, task) == 0) {
			note_end(vm, i, "stopped");
			return;
		}
	}
	g_hash_table_replace(vm->highest, g_strdup(task), GUINT_TO_POINTER(number));
}

static json_t *hold(vm_t *vm, const json_t *body)
{
	uint64_t noted = (uint64_t)json_integer_value(json_object_get(body, "lastSeen"));
	json_t *running = json_array();
	json_t *ended = json_array();

	extend(vm, body);
	for (guint i = 0; i < vm->ended->len;) {
		const ended_t *end = &g_array_index(vm->ended, ended_t, i);

		if (end->number > noted) {
			json_array_append_new(ended, json_pack("[I, s, I, s, s]",
							       (json_int_t)end->number, end->task,
							       (json_int_t)end->run, end->how, ""));
			i++;
			continue;
		}
		if (strcmp(end->how, "done") == 0)
			g_hash_table_add(done_tasks, g_strdup(end->task));
		g_array_remove_index(vm->ended, i);
	}
	for (guint i = 0; i < vm->runs->len; i++) {
		const run_t *run = &g_array_index(vm->runs, run_t, i);

		json_array_append_new(running, json_pack("[s, I, s, i, i]", run->task,
							 (json_int_t)run->run, "", 50, 0));
	}
	return json_pack("{s:o, s:o}", "running", running, "finishedRuns", ended);
}

static bool is_fenced(vm_t *vm, const json_t *body)
{
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(body, "fence"));

	if (fence < vm->fence)
		return true;
	vm->fence = fence;
	return false;
}

static void on_vm_request(void *arg, http_request_t *request)
{
	vm_t *vm = arg;
	const char *path = http_request_path(request);
	const char *expected = http_request_header(request, "Expect-Instance");
	json_t *body = json_reply_body(request);
	json_t *answer = NULL;
	unsigned status = 200;
	const char *reason = NULL;

	/* Without an answer the connection ends; the order is not carried out. */
	if (clock_now_us() < vm->silent_until_us) {
		http_request_reply(request, 500, NULL, 0, NULL, 0);
		json_decref(body);
		return;
	}
	advance(vm);
	if (expected != NULL && strcmp(expected, vm->id) != 0)
		status = 421;
	else if (is_fenced(vm, body))
		reason = "fence";
	else if (strcmp(path, "/run-start") == 0)
		reason = start_run(vm, body);
	else if (strcmp(path, "/run-stop") == 0)
		stop_run(vm, body);
	else if (strcmp(path, "/hold") == 0)
		answer = hold(vm, body);
	if (reason != NULL)
		status = 409;
	answer = answer != NULL ? answer : json_object();
	json_object_set_new(answer, "clockMs", json_integer((json_int_t)vm_clock_ms()));
	json_object_set_new(answer, "born", json_integer((json_int_t)vm->born_ms));
	if (reason != NULL)
		json_object_set_new(answer, "reason", json_string(reason));
	/* Carried out, and the answer is lost. */
	if (faults_on && chance(vm->lose_answers))
		status = 500;
	json_reply(request, status, answer);
	json_decref(body);
}

static void begin_life(vm_t *vm, unsigned n)
{
	static unsigned lives;

	g_snprintf(vm->id, sizeof(vm->id), "i-%u-%u", n, lives++);
	vm->born_ms = clock_wall_ms();
	vm->seq = 0;
	vm->fence = 0;
	vm->lease_us = 0;
	vm->last_end = 0;
	g_array_set_size(vm->runs, 0);
	g_array_set_size(vm->ended, 0);
	g_hash_table_remove_all(vm->highest);
}

typedef struct {
	unsigned vm;
} beat_t;

static void on_beat(void *arg, const http_call_result_t *result)
{
	g_autofree beat_t *beat = arg;

	if (!result->complete || result->status != 200)
		vms[beat->vm].beat_core = (unsigned)g_rand_int_range(rng, 0, CORES);
}

static void send_to_core(const char *method, unsigned core, const char *path, json_t *body,
			 http_call_done_fn done, void *arg)
{
	const http_header_t headers[] = {{"Content-Type", "application/json"}};
	g_autofree char *url =
		g_strdup_printf("http://%s:%u%s", processes[core].ip, control_port(), path);
	char *text = json_dumps(body, JSON_COMPACT);
	const http_call_request_t request = {
		.method = method,
		.url = url,
		.headers = headers,
		.header_count = 1,
		.body = text,
		.body_length = strlen(text),
		.connect_timeout_ms = 500,
		.timeout_ms = 1500,
		.response_limit = 100000,
	};

	assert_non_null(http_client_send(&client, &request, done, arg));
	free(text);
	json_decref(body);
}

static void report(unsigned n)
{
	vm_t *vm = &vms[n];
	g_autofree char *path = g_strdup_printf("/instances/%s", vm->id);
	beat_t *beat = g_new0(beat_t, 1);
	json_t *body = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, s:I}",
		"service", "svc", "addr", "", "zone", "z", "version", "v1", "state", "ready",
		"machine", vm->ip, "capacity", "cpu", 64000, "memMb", 64000, "gpu", 0, "labels",
		"a", "r1", "clockMs", (json_int_t)vm_clock_ms(), "seq", (json_int_t)++vm->seq,
		"born", (json_int_t)vm->born_ms);

	beat->vm = n;
	json_object_set_new(body, "addr", json_sprintf("%s:%u", vm->ip, port_base + 13));
	send_to_core("PUT", vm->beat_core, path, body, on_beat, beat);
}

static void hurt_vm(void)
{
	unsigned n = (unsigned)g_rand_int_range(rng, 0, VMS);

	switch (g_rand_int_range(rng, 0, 3)) {
	case 0:
		vms[n].silent_until_us =
			clock_now_us() + (uint64_t)g_rand_int_range(rng, 500, 4000) * US_PER_MS;
		break;
	case 1:
		vms[n].lose_answers = chance(0.5) ? 0.1 : 0;
		break;
	default:
		begin_life(&vms[n], n);
		break;
	}
}

/* --- clients --- */

typedef struct {
	job_t *job;
	char method[8];
} ask_t;

static void on_answer(void *arg, const http_call_result_t *result)
{
	g_autofree ask_t *ask = arg;
	job_t *job = ask->job;
	json_t *body;
	const char *state;

	if (strcmp(ask->method, "POST") == 0) {
		bool accepted = result->complete && result->status == 200;
		bool refused = result->complete && (result->status == 429 ||
						    result->status == 503 || result->status == 404);

		job->accepted |= accepted;
		job->unsure |= !accepted && !refused && result->sent;
		job->refused = !job->accepted && !job->unsure;
		return;
	}
	if (!result->complete)
		return;
	if (strcmp(ask->method, "DELETE") == 0) {
		job->cancelled |= result->status == 200;
		return;
	}
	if (result->status == 410 && job->accepted)
		violate("LOST", job->id);
	if (result->status != 200)
		return;
	body = json_loadb(result->body, result->body_length, 0, NULL);
	state = json_string_value(json_object_get(body, "state"));
	job->complete |= g_strcmp0(state, "complete") == 0;
	if (g_strcmp0(state, "failed") == 0)
		violate("failed without cause", job->id);
	json_decref(body);
}

static void call_edge(job_t *job, const char *method, json_t *body)
{
	const process_t *edge = &processes[CORES + g_rand_int_range(rng, 0, EDGES)];
	const http_header_t headers[] = {{"Content-Type", "application/json"}, {"Host", "h"}};
	g_autofree char *url =
		g_strdup_printf("http://%s:%u/q/%s", edge->ip, front_port(), job->id);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	ask_t *ask = g_new0(ask_t, 1);
	const http_call_request_t request = {
		.method = method,
		.url = url,
		.headers = headers,
		.header_count = 2,
		.body = text,
		.body_length = text != NULL ? strlen(text) : 0,
		.connect_timeout_ms = 500,
		.timeout_ms = 3000,
		.response_limit = 100000,
	};

	ask->job = job;
	job->asked_us = clock_now_us();
	g_strlcpy(ask->method, method, sizeof(ask->method));
	assert_non_null(http_client_send(&client, &request, on_answer, ask));
	free(text);
	json_decref(body);
}

static json_t *job_body(void)
{
	return json_pack("{s:s, s:[{s:i, s:i, s:i, s:i}, {s:i, s:i, s:i, s:i, s:[i]}]}", "spec",
			 "text", "steps", "count", 4, "cpu", 2000, "memMb", 100, "estimateMs",
			 TASK_MS, "count", 2, "cpu", 2000, "memMb", 100, "estimateMs", TASK_MS,
			 "after", 0);
}

static void submit_one(void)
{
	job_t *job = g_new0(job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%08x%08x", g_rand_int(rng), jobs->len);
	job->refused = true;
	g_ptr_array_add(jobs, job);
	call_edge(job, "POST", job_body());
}

static void look_after_jobs(uint64_t now_us)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		if (job->complete || job->cancelled || now_us < job->asked_us + 700 * US_PER_MS)
			continue;
		if (!job->accepted)
			call_edge(job, "POST", job_body());
		else if (faults_on && chance(0.02))
			call_edge(job, "DELETE", NULL);
		else
			call_edge(job, "GET", NULL);
	}
}

static void on_config(void *arg, const http_call_result_t *result)
{
	configured |= result->complete && result->status == 200;
}

static void send_config(void)
{
	json_t *body = json_pack("{s:i, s:[{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f}], "
				 "s:[{s:s, s:b, s:b}]}",
				 "version", 1, "routes", "name", "q", "host", "h", "prefix", "/q/",
				 "service", "svc", "timeoutMs", 3000, "sloMs", 600, "attempts", 3,
				 "stretch", 1.6, "services", "name", "svc", "admissionCheck", 1,
				 "standby", 0);

	send_to_core("PUT", (unsigned)g_rand_int_range(rng, 0, CORES), "/config", body, on_config,
		     NULL);
}

/* --- soak --- */

static void on_tick(void *arg, uint64_t now_us)
{
	static unsigned ticks;

	ticks++;
	look_after_processes(now_us);
	for (unsigned i = 0; i < VMS; i++) {
		advance(&vms[i]);
		if (ticks % 5 == i % 5 && now_us >= vms[i].silent_until_us)
			report(i);
	}
	if (!configured && ticks % 5 == 0)
		send_config();
	if (!configured)
		return;
	if (submitting && chance(0.5))
		submit_one();
	if (ticks % 3 == 0)
		look_after_jobs(now_us);
	if (faults_on && chance(0.08))
		hurt_process();
	if (faults_on && chance(0.05))
		hurt_vm();
}

static void run_for(uint64_t ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	while (clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(ev), 0);
}

static unsigned unfinished(void)
{
	unsigned count = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		count += !job->complete && !job->cancelled;
	}
	return count;
}

static void set_up(uint64_t seed)
{
	const struct {
		unsigned net;
		unsigned first;
		unsigned count;
	} kinds[] = {{1, 0, CORES}, {2, CORES, EDGES}};

	/* Loopback addresses of its own for each run, so that several may run at once. */
	network = 10 + (unsigned)getpid() % 200;
	g_snprintf(root, sizeof(root), "/tmp/lp-soak-XXXXXX");
	assert_non_null(g_mkdtemp(root));
	port_base = 20000 + (unsigned)(getpid() % 1000) * 20;
	rng = g_rand_new_with_seed((guint32)seed);
	broken = g_string_new(NULL);
	jobs = g_ptr_array_new_with_free_func(g_free);
	done_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	assert_int_equal(http_client_init(&client, ev, 60), 0);
	start_us = clock_now_us();
	configured = false;
	starts = 0;
	for (unsigned i = 0; i < VMS; i++) {
		const http_server_config_t config = {.address = vms[i].ip,
						     .port = (uint16_t)(port_base + 13),
						     .body_limit = 65536,
						     .connection_limit = 100,
						     .idle_timeout_s = 60};

		vms[i] = (vm_t){.beat_core = i % CORES};
		g_snprintf(vms[i].ip, sizeof(vms[i].ip), "127.%u.3.%u", network, i + 1);
		vms[i].runs = g_array_new(FALSE, TRUE, sizeof(run_t));
		vms[i].ended = g_array_new(FALSE, TRUE, sizeof(ended_t));
		vms[i].highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		begin_life(&vms[i], i);
		assert_int_equal(
			http_server_init(&vms[i].server, ev, &config, on_vm_request, &vms[i]), 0);
	}
	for (unsigned k = 0; k < G_N_ELEMENTS(kinds); k++) {
		for (unsigned i = 0; i < kinds[k].count; i++) {
			process_t *process = &processes[kinds[k].first + i];

			*process = (process_t){.core = k == 0};
			g_snprintf(process->ip, sizeof(process->ip), "127.%u.%u.%u", network,
				   kinds[k].net, i + 1);
			g_snprintf(process->settings, sizeof(process->settings), "%s/%s", root,
				   process->ip);
			g_snprintf(process->data_dir, sizeof(process->data_dir), "%s/data-%s", root,
				   process->ip);
			launch(process);
		}
	}
}

static void end_processes(void)
{
	for (unsigned i = 0; i < PROCESSES; i++) {
		if (processes[i].pid <= 0)
			continue;
		kill(processes[i].pid, SIGCONT);
		kill(processes[i].pid, SIGKILL);
		waitpid(processes[i].pid, NULL, 0);
		processes[i].pid = 0;
		processes[i].started = false;
	}
}

/* Keeps the logs of a seed that failed. */
static void tear_down(bool keep)
{
	end_processes();
	http_client_finish(&client);
	for (unsigned i = 0; i < VMS; i++) {
		http_server_finish(&vms[i].server);
		g_array_unref(vms[i].runs);
		g_array_unref(vms[i].ended);
		g_hash_table_destroy(vms[i].highest);
	}
	for (unsigned i = 0; i < PROCESSES && !keep; i++) {
		g_autofree char *log = g_strconcat(processes[i].settings, ".log", NULL);

		wipe(&processes[i]);
		g_rmdir(processes[i].data_dir);
		g_unlink(processes[i].settings);
		g_unlink(log);
	}
	if (!keep)
		g_rmdir(root);
	timer_service_finish(&timers);
	talloc_free(ev);
	g_ptr_array_unref(jobs);
	g_hash_table_destroy(done_tasks);
	g_rand_free(rng);
}

static uint64_t number_of(const char *name, uint64_t initial)
{
	const char *text = getenv(name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : initial;
}

static bool soak(uint64_t seed)
{
	timer_sub_t tick;
	uint64_t waited_s = 0;
	bool kept;

	set_up(seed);
	timer_subscribe(&timers, &tick, 100 * US_PER_MS, on_tick, NULL);
	run_for(4000);
	submitting = true;
	faults_on = true;
	run_for(number_of("LAVENDERPASS_SOAK_S", 15) * 1000);
	submitting = false;
	faults_on = false;
	for (; waited_s < SETTLE_S && unfinished() > 0; waited_s++)
		run_for(1000);
	timer_unsubscribe(&timers, &tick);
	if (!configured)
		violate("no configuration was accepted", "");
	if (unfinished() > 0)
		violate("LOST", "jobs that were accepted do not end");
	print_message("seed %" PRIu64 ": %u jobs, %u starts, all ended %" PRIu64
		      " s after the faults%s\n",
		      seed, jobs->len, starts, waited_s, broken->len > 0 ? ", BROKEN" : "");
	kept = broken->len == 0;
	if (!kept)
		print_message("%s(logs in %s)\n", broken->str, root);
	tear_down(!kept);
	g_string_free(broken, TRUE);
	return kept;
}

/* Guards against promises that hold in simulations only: see the head of this file. */
static void test_promises_hold_on_real_processes(void **state)
{
	uint64_t first = number_of("LAVENDERPASS_SEED", 1);
	uint64_t failed = 0;

	signal(SIGPIPE, SIG_IGN);
	for (uint64_t seed = first; seed < first + number_of("LAVENDERPASS_SEEDS", 1); seed++)
		failed += soak(seed) ? 0 : 1;
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_promises_hold_on_real_processes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
