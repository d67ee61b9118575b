/*
 * Soak test of the batch service with faults. Runs the real programs as processes on loopback
 * addresses, simulates a fleet of VMs, and acts as the clients that submit, query and cancel jobs.
 * Injected faults: SIGKILL with and without loss of the disk, SIGSTOP, SIGTERM, and VMs that fall
 * silent, lose responses or restart, and reports of another system on their machines. Keys of the
 * clients' organisation, and a queue below the other one, come and go by new configurations. Checks
 * all the time, from what clients and VMs see, that no accepted job is lost and no task runs twice,
 * and which keys are accepted.
 *
 *	LAVENDERPASS_SEED=N	first random seed (default 1)
 *	LAVENDERPASS_SEEDS=N	number of consecutive seeds to run (default 1)
 *	LAVENDERPASS_SOAK_S=N	seconds with faults for each seed (default 15)
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

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
#include "lib_roles.h"
#include "timer.h"

#define CORES 3
#define EDGES 2
#define PROCESSES (CORES + EDGES)
#define VMS 8
#define TASK_MS 300
#define REPORT_MS 500
#define RECOVERY_MAX_S 30
/* Longest time from the start of a VM under its earlier id to its first report. */
#define REPORT_DELAY_MAX_MS 1500
/* Share of the ticks of 100 ms in which a VM restarts under its id. */
#define RESTART_SHARE 0.2
/* Share of the ticks of 100 ms in which another system reports from the machine of a VM. */
#define FOREIGN_REPORT_SHARE 0.5
/* Latest start that such a report names, from now on. */
#define FOREIGN_BORN_MAX_MS 1000
/* Interval between configurations, each with a further key. A key is valid for three versions. */
#define CONFIG_TICKS 20
#define KEY_VERSIONS 3
/* Time after the acknowledgement of a configuration from which on it is obeyed. */
#define CONFIG_APPLY_MS 2500
/* Deeper than the parser accepts. */
#define MALFORMED_ENTRY_DEPTH 5000

typedef struct {
	pid_t pid; /* process id; 0: not running */
	char ip[32];
	char settings[256];
	char data_dir[256];
	bool core;	/* true: core process; false: edge process */
	bool started;	/* was started at least once */
	bool suspended; /* was stopped with SIGSTOP */
	uint64_t restart_us;
	uint64_t resume_us;
} process_t;

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t end_us;
} running_task_t;

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t number;
	const char *outcome;
} finished_run_t;

typedef struct {
	http_server_t server;
	char ip[32];
	char id[32];
	uint64_t born_ms;
	uint64_t started_us;	  /* begin of its clock */
	uint64_t first_report_us; /* the VM sends no report before this time */
	uint64_t seq;
	uint64_t fence;
	uint64_t lease_us; /* time when the task lease ends */
	uint64_t last_end_number;
	GArray *runs;		  /* elements: running_task_t */
	GArray *finished_runs;	  /* elements: finished_run_t, not acknowledged yet */
	GHashTable *highest_runs; /* task id -> highest run number seen */
	uint64_t silent_until_us; /* time until which the VM fails all requests */
	double response_loss;	  /* share of responses replaced by an error, 0 to 1 */
	unsigned report_core; /* index in processes of the core process that the VM reports to */
} vm_t;

typedef struct {
	char id[20];
	bool inner; /* submitted to the queue that configurations add and remove */
	bool accepted;
	bool unknown;			/* a response was lost, so the job may have been accepted */
	bool started;			/* a VM was told to start a task of the job */
	unsigned submissions_in_flight; /* submissions that have no result yet */
	bool cancelled;
	bool complete;
	uint64_t last_request_us;
} job_t;

static struct tevent_context *ev;
static timer_service_t timers;
static http_client_t client;
static process_t processes[PROCESSES];
static vm_t vms[VMS];
static GPtrArray *jobs;
static GHashTable *done_tasks; /* ids of done tasks that the leader has acknowledged */
static GRand *rng;
static GString *violations; /* one line for each violated guarantee */
static unsigned port_base;
static unsigned address_network; /* second byte of the loopback addresses */
static char work_dir[64];
static uint64_t start_us;
static bool faults_on;
static bool submitting;
static unsigned task_starts;
static bool configured;
static unsigned config_version; /* latest acknowledged version of the configuration */
static uint64_t config_acked_us;

static void report_violation(const char *rule, const char *subject)
{
	g_string_append_printf(violations, "%" PRIu64 " ms: %s: %s\n",
			       (uint64_t)((clock_now_us() - start_us) / US_PER_MS), rule, subject);
}

static bool random_chance(double probability)
{
	return g_rand_double(rng) < probability;
}

/* --- processes --- */

static unsigned client_api_port(void)
{
	return port_base + 10;
}

static unsigned readiness_port(void)
{
	return port_base + 11;
}

static unsigned control_port(void)
{
	return port_base + 12;
}

static void write_settings(const process_t *process, bool bootstrap)
{
	g_autofree char *text = g_strdup_printf(
		"nodeName=%s\nip=%s\nzone=z\nportRange=%u,%u\n"
		"seeds=127.%u.1.1:%u,127.%u.1.2:%u,127.%u.1.3:%u\nbootstrap=%s\n"
		"heartbeatMs=%d\nfaultTolerance.machines=1\nbounds.graceS=3\n%s%s\n",
		process->ip, process->ip, port_base, port_base + 9, address_network, control_port(),
		address_network, control_port(), address_network, control_port(),
		bootstrap ? "true" : "false", REPORT_MS, process->core ? "dataDir=" : "",
		process->core ? process->data_dir : "");
	g_autofree char *listen =
		process->core
			? g_strdup_printf("listen.control=%s:%u\n", process->ip, control_port())
			: g_strdup_printf("listen.front=%s:%u\nlisten.ready=%s:%u\n", process->ip,
					  client_api_port(), process->ip, readiness_port());
	g_autofree char *all = g_strconcat(text, listen, NULL);

	assert_true(g_file_set_contents(process->settings, all, -1, NULL));
}

static void start_process(process_t *process)
{
	write_settings(process, !process->started);
	process->started = true;
	process->restart_us = 0;
	process->suspended = false;
	process->pid = roles_spawn(process->settings, process->core ? "core" : "edge");
}

static void collect_exit_status(process_t *process)
{
	if (process->pid > 0 && waitpid(process->pid, NULL, WNOHANG) == process->pid)
		process->pid = 0;
}

static void delete_data_files(const process_t *process)
{
	static const char *const names[] = {"log", "snapshot", "identity"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path = g_build_filename(process->data_dir, names[i], NULL);

		g_unlink(path);
	}
}

static unsigned count_running_cores(void)
{
	unsigned count = 0;

	for (unsigned i = 0; i < CORES; i++)
		count += processes[i].pid > 0 && !processes[i].suspended;
	return count;
}

/* Picks a random process and fault. A core process is hit only while all of them run, and at least
 * 6 s after the previous fault of a core process. */
static void inject_process_fault(void)
{
	static uint64_t no_core_fault_until_us;
	process_t *process = &processes[g_rand_int_range(rng, 0, PROCESSES)];
	uint64_t now_us = clock_now_us();

	if (process->pid == 0 || process->suspended ||
	    (process->core && (count_running_cores() < CORES || now_us < no_core_fault_until_us)))
		return;
	if (process->core)
		no_core_fault_until_us = now_us + 6 * US_PER_S;
	switch (g_rand_int_range(rng, 0, 4)) {
	case 0:
		kill(process->pid, SIGSTOP);
		process->suspended = true;
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
			delete_data_files(process);
		break;
	default:
		kill(process->pid, SIGKILL);
		break;
	}
	process->restart_us = now_us + (uint64_t)g_rand_int_range(rng, 100, 2000) * US_PER_MS;
}

static void resume_and_restart_processes(uint64_t now_us)
{
	for (unsigned i = 0; i < PROCESSES; i++) {
		process_t *process = &processes[i];

		collect_exit_status(process);
		if (process->suspended && now_us >= process->resume_us) {
			kill(process->pid, SIGCONT);
			process->suspended = false;
		}
		if (process->pid == 0 && process->started && now_us >= process->restart_us)
			start_process(process);
	}
}

/* --- VMs --- */

static void finish_run(vm_t *vm, guint i, const char *outcome)
{
	running_task_t run = g_array_index(vm->runs, running_task_t, i);
	finished_run_t finished = {
		.run = run.run, .number = ++vm->last_end_number, .outcome = outcome};

	g_strlcpy(finished.task, run.task, sizeof(finished.task));
	g_array_append_val(vm->finished_runs, finished);
	g_hash_table_replace(vm->highest_runs, g_strdup(run.task), GUINT_TO_POINTER(run.run));
	g_array_remove_index(vm->runs, i);
}

static void finish_due_runs(vm_t *vm)
{
	uint64_t now_us = clock_now_us();

	for (guint i = 0; i < vm->runs->len;) {
		const running_task_t *run = &g_array_index(vm->runs, running_task_t, i);

		if (run->end_us <= MIN(now_us, vm->lease_us))
			finish_run(vm, i, "done");
		else if (vm->lease_us <= now_us)
			finish_run(vm, i, "lapsed");
		else
			i++;
	}
}

static uint64_t vm_clock_ms(const vm_t *vm)
{
	return (clock_now_us() - vm->started_us) / US_PER_MS + 1;
}

static void extend_lease(vm_t *vm, const json_t *body)
{
	uint64_t until_ms = (uint64_t)json_integer_value(json_object_get(body, "deadlineMs"));
	uint64_t now_ms = vm_clock_ms(vm);

	if (until_ms > now_ms)
		vm->lease_us = MAX(vm->lease_us,
				   clock_now_us() + MIN(until_ms - now_ms, 10000) * US_PER_MS);
}

static job_t *find_job(const char *task)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		if (strncmp(task, job->id, 16) == 0)
			return job;
	}
	return NULL;
}

/* A start can overtake the response that accepts its job, so the job counts as rejected only once
 * every submission has its result. Called at each start and at each result of a submission. */
static void check_not_rejected(const job_t *job)
{
	if (job->started && job->submissions_in_flight == 0 && !job->accepted && !job->unknown)
		report_violation("task of a rejected job started", job->id);
}

static void check_start(const vm_t *vm, const char *task)
{
	job_t *job = find_job(task);

	if (job == NULL) {
		report_violation("task of an unknown job started", task);
	} else {
		job->started = true;
		check_not_rejected(job);
	}
	if (g_hash_table_contains(done_tasks, task))
		report_violation("task started again after it was done", task);
	for (unsigned i = 0; i < VMS; i++) {
		finish_due_runs(&vms[i]);
		for (guint j = 0; j < vms[i].runs->len; j++) {
			if (&vms[i] != vm &&
			    strcmp(g_array_index(vms[i].runs, running_task_t, j).task, task) == 0)
				report_violation("task runs on two VMs", task);
		}
	}
}

static const char *handle_run_start(vm_t *vm, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));
	uint64_t until_ms = (uint64_t)json_integer_value(json_object_get(body, "deadlineMs"));
	running_task_t run = {.run = number};

	if (until_ms <= vm_clock_ms(vm))
		return "late";
	extend_lease(vm, body);
	for (guint i = 0; i < vm->runs->len; i++) {
		const running_task_t *known = &g_array_index(vm->runs, running_task_t, i);

		if (strcmp(known->task, task) == 0)
			return known->run == number ? NULL : "old";
	}
	if (number <= GPOINTER_TO_UINT(g_hash_table_lookup(vm->highest_runs, task)))
		return "old";
	if (vm->runs->len >= 16)
		return "room";
	check_start(vm, task);
	g_strlcpy(run.task, task, sizeof(run.task));
	run.end_us = clock_now_us() +
		     (uint64_t)g_rand_int_range(rng, TASK_MS / 2, TASK_MS * 2) * US_PER_MS;
	g_array_append_val(vm->runs, run);
	task_starts++;
	return NULL;
}

static void handle_run_stop(vm_t *vm, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	uint32_t number = (uint32_t)json_integer_value(json_object_get(body, "runId"));

	for (guint i = 0; i < vm->runs->len; i++) {
		if (strcmp(g_array_index(vm->runs, running_task_t, i).task, task) == 0) {
			finish_run(vm, i, "stopped");
			return;
		}
	}
	g_hash_table_replace(vm->highest_runs, g_strdup(task), GUINT_TO_POINTER(number));
}

static json_t *handle_hold(vm_t *vm, const json_t *body)
{
	uint64_t acknowledged = (uint64_t)json_integer_value(json_object_get(body, "lastSeen"));
	json_t *running = json_array();
	json_t *ended = json_array();

	extend_lease(vm, body);
	for (guint i = 0; i < vm->finished_runs->len;) {
		const finished_run_t *end = &g_array_index(vm->finished_runs, finished_run_t, i);

		if (end->number > acknowledged) {
			json_array_append_new(ended,
					      json_pack("[I, s, I, s, s]", (json_int_t)end->number,
							end->task, (json_int_t)end->run,
							end->outcome, ""));
			i++;
			continue;
		}
		if (strcmp(end->outcome, "done") == 0)
			g_hash_table_add(done_tasks, g_strdup(end->task));
		g_array_remove_index(vm->finished_runs, i);
	}
	for (guint i = 0; i < vm->runs->len; i++) {
		const running_task_t *run = &g_array_index(vm->runs, running_task_t, i);

		json_array_append_new(running, json_pack("[s, I, s, i, i]", run->task,
							 (json_int_t)run->run, "", 50, 0));
	}
	return json_pack("{s:o, s:o}", "running", running, "finishedRuns", ended);
}

/* Replies with the response and, in its list of running runs, entries of another writer that the
 * parser refuses: a number out of range, deep nesting, and bytes that are not UTF-8. */
static void reply_with_malformed_entries(http_request_t *request, json_t *response)
{
	const http_header_t header = {.name = "Content-Type", .value = "application/json"};
	static const char list[] = "\"running\":[";
	g_autofree char *deep = g_strnfill(MALFORMED_ENTRY_DEPTH, '[');
	g_autofree char *closing = g_strnfill(MALFORMED_ENTRY_DEPTH, ']');
	char *text = json_dumps(response, JSON_COMPACT);
	char *rows = strstr(text, list) + strlen(list);
	g_autofree char *malformed = g_strdup_printf("[\"agent\",1,\"\",1e999,0],%s%s,\"\xff\"%s",
						     deep, closing, *rows == ']' ? "" : ",");
	g_autofree char *body =
		g_strdup_printf("%.*s%s%s", (int)(rows - text), text, malformed, rows);

	http_request_reply(request, 200, &header, 1, body, strlen(body));
	free(text);
	json_decref(response);
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
	json_t *body = json_request_body(request);
	json_t *response = NULL;
	unsigned status = 200;
	const char *reason = NULL;

	/* A silent VM does not carry out the request. Status 500 leaves the caller uncertain
	 * whether it did. */
	if (clock_now_us() < vm->silent_until_us) {
		http_request_reply(request, 500, NULL, 0, NULL, 0);
		json_decref(body);
		return;
	}
	finish_due_runs(vm);
	if (expected != NULL && strcmp(expected, vm->id) != 0)
		status = 421;
	else if (is_fenced(vm, body))
		reason = "fence";
	else if (strcmp(path, "/run-start") == 0)
		reason = handle_run_start(vm, body);
	else if (strcmp(path, "/run-stop") == 0)
		handle_run_stop(vm, body);
	else if (strcmp(path, "/hold") == 0)
		response = handle_hold(vm, body);
	if (reason != NULL)
		status = 409;
	response = response != NULL ? response : json_object();
	json_object_set_new(response, "clockMs", json_integer((json_int_t)vm_clock_ms(vm)));
	if (strcmp(path, "/hold") == 0)
		json_object_set_new(response, "born", json_integer((json_int_t)vm->born_ms));
	if (reason != NULL)
		json_object_set_new(response, "reason", json_string(reason));
	/* The request was carried out, but its response is lost. */
	if (faults_on && random_chance(vm->response_loss))
		status = 500;
	if (json_object_get(response, "running") != NULL && status == 200)
		reply_with_malformed_entries(request, response);
	else
		json_reply(request, status, response);
	json_decref(body);
}

/* Begins an incarnation that knows nothing of the earlier one. @param keeps_id it has the id of the
 * earlier one, and its first report can take up to REPORT_DELAY_MAX_MS */
static void start_incarnation(vm_t *vm, unsigned n, bool keeps_id)
{
	static unsigned incarnations;

	if (!keeps_id)
		g_snprintf(vm->id, sizeof(vm->id), "i-%u-%u", n, incarnations++);
	vm->first_report_us = 0;
	if (keeps_id)
		vm->first_report_us =
			clock_now_us() +
			(uint64_t)g_rand_int_range(rng, 0, REPORT_DELAY_MAX_MS) * US_PER_MS;
	vm->born_ms = MAX(vm->born_ms + 1, clock_wall_ms());
	vm->started_us = clock_now_us();
	vm->seq = 0;
	vm->fence = 0;
	vm->lease_us = 0;
	vm->last_end_number = 0;
	g_array_set_size(vm->runs, 0);
	g_array_set_size(vm->finished_runs, 0);
	g_hash_table_remove_all(vm->highest_runs);
}

typedef struct {
	unsigned vm;
} report_call_t;

static void on_report_reply(void *arg, const http_call_result_t *result)
{
	g_autofree report_call_t *report_call = arg;

	if (!result->complete || result->status != 200)
		vms[report_call->vm].report_core = (unsigned)g_rand_int_range(rng, 0, CORES);
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

static json_t *report_body(const vm_t *vm)
{
	json_t *body = json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:s, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, "
		"s:I}",
		"service", "svc", "addr", "", "zone", "z", "version", "v1", "slots", 8, "state",
		"ready", "warmupLeftMs", 0, "machine", vm->ip, "capacity", "cpu", 64000, "memMb",
		64000, "gpu", 0, "labels", "a", "r1", "clockMs", (json_int_t)vm_clock_ms(vm), "seq",
		(json_int_t)vm->seq, "born", (json_int_t)vm->born_ms);

	json_object_set_new(body, "addr", json_sprintf("%s:%u", vm->ip, port_base + 13));
	return body;
}

static void send_report(unsigned n)
{
	vm_t *vm = &vms[n];
	g_autofree char *path = g_strdup_printf("/instances/%s", vm->id);
	report_call_t *report_call;

	if (clock_now_us() < vm->first_report_us)
		return;
	report_call = g_new0(report_call_t, 1);
	report_call->vm = n;
	vm->seq++;
	send_to_core("PUT", vm->report_core, path, report_body(vm), on_report_reply, report_call);
}

static void on_foreign_reply(void *arg, const http_call_result_t *result)
{
}

/* Takes a member out of the report, or replaces its value by one of another type. */
static void spoil_report(json_t *body)
{
	static const char *const members[] = {"service", "machine", "zone",	    "version",
					      "slots",	 "state",   "warmupLeftMs", "capacity",
					      "labels",	 "clockMs", "seq",	    "born"};
	const char *member = members[g_rand_int_range(rng, 0, G_N_ELEMENTS(members))];

	if (random_chance(0.5))
		json_object_del(body, member);
	else
		json_object_set_new(body, member, json_true());
}

/* Sends a report of another system on the machine of a VM: like that of the VM, but with a later
 * start, under an id of its own or the VM's, and with its own address or the VM's; at times
 * malformed. */
static void send_foreign_report(void)
{
	const vm_t *vm = &vms[g_rand_int_range(rng, 0, VMS)];
	g_autofree char *path =
		g_strdup_printf("/instances/%s", random_chance(0.5) ? vm->id : "agent-1");
	unsigned core = (unsigned)g_rand_int_range(rng, 0, CORES);
	json_t *body = report_body(vm);

	json_object_set_new(body, "born",
			    json_integer((json_int_t)MAX(vm->born_ms, clock_wall_ms()) +
					 g_rand_int_range(rng, 1, FOREIGN_BORN_MAX_MS)));
	json_object_set_new(body, "seq", json_integer((json_int_t)vm->seq + 1000));
	if (random_chance(0.5))
		json_object_set_new(body, "addr", json_sprintf("%s:9", vm->ip));
	if (random_chance(0.3)) {
		json_object_set_new(body, "state", json_string("draining"));
		json_object_set_new(body, "remainingMs", json_integer(2000));
	}
	if (random_chance(0.5))
		spoil_report(body);
	send_to_core("PUT", core, path, body, on_foreign_reply, NULL);
}

static void inject_vm_fault(void)
{
	unsigned n = (unsigned)g_rand_int_range(rng, 0, VMS);

	switch (g_rand_int_range(rng, 0, 3)) {
	case 0:
		vms[n].silent_until_us =
			clock_now_us() + (uint64_t)g_rand_int_range(rng, 500, 4000) * US_PER_MS;
		break;
	case 1:
		vms[n].response_loss = random_chance(0.5) ? 0.1 : 0;
		break;
	default:
		start_incarnation(&vms[n], n, false);
		break;
	}
}

/* Restarts a VM under its id. */
static void restart_random_vm(void)
{
	unsigned n = (unsigned)g_rand_int_range(rng, 0, VMS);

	start_incarnation(&vms[n], n, true);
}

/* --- clients --- */

typedef struct {
	job_t *job;
	char method[8];
} client_call_t;

static void on_client_reply(void *arg, const http_call_result_t *result)
{
	g_autofree client_call_t *client_call = arg;
	job_t *job = client_call->job;
	json_t *body;
	const char *state;

	if (result->complete && result->status == 401)
		report_violation("valid key refused", job->id);
	if (result->complete && job->accepted &&
	    (result->status == 404 || result->status == 410 || result->status == 400))
		report_violation("accepted job lost", job->id);
	if (strcmp(client_call->method, "POST") == 0) {
		bool accepted = result->complete && result->status == 200;
		bool rejected =
			result->complete &&
			(result->status == 429 || result->status == 503 || result->status == 404);

		job->accepted |= accepted;
		job->unknown |= !accepted && !rejected && result->sent;
		job->submissions_in_flight--;
		check_not_rejected(job);
		return;
	}
	if (!result->complete)
		return;
	if (strcmp(client_call->method, "DELETE") == 0) {
		job->cancelled |= result->status == 200;
		return;
	}
	if (result->status != 200)
		return;
	body = json_loadb(result->body, result->body_length, 0, NULL);
	state = json_string_value(json_object_get(body, "state"));
	job->complete |= g_strcmp0(state, "complete") == 0;
	if (g_strcmp0(state, "failed") == 0)
		report_violation("job failed without a failed task", job->id);
	json_decref(body);
}

static char *authorization(unsigned version)
{
	return g_strdup_printf("Bearer key-%u", version);
}

static void on_probe_reply(void *arg, const http_call_result_t *result)
{
	if (result->complete && result->status == 200)
		report_violation("call with a key that is not valid was answered", arg);
}

/* Asks for the number of waiting jobs with a key that no configuration has had, or that a
 * configuration in force has withdrawn. */
static void send_probe(void)
{
	const process_t *edge = &processes[CORES + g_rand_int_range(rng, 0, EDGES)];
	bool withdrawn = config_version > KEY_VERSIONS && random_chance(0.5) &&
			 clock_now_us() > config_acked_us + CONFIG_APPLY_MS * US_PER_MS;
	g_autofree char *key =
		authorization(withdrawn ? config_version - KEY_VERSIONS : config_version + 1000);
	const http_header_t headers[] = {{"Host", "h"}, {"Authorization", key}};
	g_autofree char *url = g_strdup_printf("http://%s:%u/q/", edge->ip, client_api_port());
	const http_call_request_t request = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.header_count = G_N_ELEMENTS(headers),
		.connect_timeout_ms = 500,
		.timeout_ms = 3000,
		.response_limit = 100000,
	};

	assert_non_null(http_client_send(&client, &request, on_probe_reply,
					 (void *)(withdrawn ? "withdrawn" : "unknown")));
}

static void send_client_request(job_t *job, const char *method, json_t *body)
{
	const process_t *edge = &processes[CORES + g_rand_int_range(rng, 0, EDGES)];
	g_autofree char *key = authorization(config_version);
	const http_header_t headers[] = {
		{"Content-Type", "application/json"}, {"Host", "h"}, {"Authorization", key}};
	g_autofree char *url = g_strdup_printf("http://%s:%u/q/%s%s", edge->ip, client_api_port(),
					       job->inner ? "in/" : "", job->id);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	client_call_t *client_call = g_new0(client_call_t, 1);
	const http_call_request_t request = {
		.method = method,
		.url = url,
		.headers = headers,
		.header_count = G_N_ELEMENTS(headers),
		.body = text,
		.body_length = text != NULL ? strlen(text) : 0,
		.connect_timeout_ms = 500,
		.timeout_ms = 3000,
		.response_limit = 100000,
	};

	client_call->job = job;
	if (strcmp(method, "POST") == 0)
		job->submissions_in_flight++;
	job->last_request_us = clock_now_us();
	g_strlcpy(client_call->method, method, sizeof(client_call->method));
	assert_non_null(http_client_send(&client, &request, on_client_reply, client_call));
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

static void submit_job(void)
{
	job_t *job = g_new0(job_t, 1);

	g_snprintf(job->id, sizeof(job->id), "%08x%08x", g_rand_int(rng), jobs->len);
	job->inner = jobs->len % 2 == 1;
	g_ptr_array_add(jobs, job);
	send_client_request(job, "POST", job_body());
}

static void poll_jobs(uint64_t now_us)
{
	for (guint i = 0; i < jobs->len; i++) {
		job_t *job = g_ptr_array_index(jobs, i);

		if (job->complete || job->cancelled ||
		    now_us < job->last_request_us + 700 * US_PER_MS)
			continue;
		if (!job->accepted)
			send_client_request(job, "POST", job_body());
		else if (faults_on && random_chance(0.02))
			send_client_request(job, "DELETE", NULL);
		else if (random_chance(0.05))
			send_client_request(job, "POST", job_body());
		else
			send_client_request(job, "GET", NULL);
	}
}

static void on_config(void *arg, const http_call_result_t *result)
{
	unsigned version = GPOINTER_TO_UINT(arg);

	if (!result->complete || result->status != 200 || version <= config_version)
		return;
	configured = true;
	config_version = version;
	config_acked_us = clock_now_us();
}

/* @return an organisation with the keys of the version and of the latest ones before it */
static json_t *organisation_of(unsigned version)
{
	json_t *keys = json_array();

	for (unsigned i = 0; i < KEY_VERSIONS && i < version; i++) {
		g_autofree char *key = g_strdup_printf("key-%u", version - i);

		json_array_append_new(keys, json_string(key));
	}
	return json_pack("{s:s, s:o, s:i}", "name", "a", "apiKeys", keys, "weight", 1);
}

static json_t *make_queue(const char *prefix)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f}", "name", prefix, "host", "h",
			 "prefix", prefix, "service", "svc", "timeoutMs", 3000, "sloMs", 600,
			 "attempts", 3, "stretch", 1.6);
}

/* Sends the next version, with new keys. Every second one has a queue below the other. */
static void send_config(void)
{
	unsigned version = config_version + 1;
	json_t *queues = json_array();
	json_t *body;

	json_array_append_new(queues, make_queue("/q/"));
	if (version % 2 == 1)
		json_array_append_new(queues, make_queue("/q/in/"));
	body = json_pack("{s:i, s:o, s:[{s:s, s:b, s:b}], s:[o]}", "version", (int)version,
			 "routes", queues, "services", "name", "svc", "admissionCheck", 1,
			 "standby", 0, "tenants", organisation_of(version));
	send_to_core("PUT", (unsigned)g_rand_int_range(rng, 0, CORES), "/config", body, on_config,
		     GUINT_TO_POINTER(version));
}

/* --- soak test --- */

static void on_test_tick(void *arg, uint64_t now_us)
{
	static unsigned ticks;

	ticks++;
	resume_and_restart_processes(now_us);
	for (unsigned i = 0; i < VMS; i++) {
		finish_due_runs(&vms[i]);
		if (ticks % 5 == i % 5 && now_us >= vms[i].silent_until_us)
			send_report(i);
	}
	if (ticks % (configured ? CONFIG_TICKS : 5) == 0)
		send_config();
	if (!configured)
		return;
	if (submitting && random_chance(0.5))
		submit_job();
	if (ticks % 3 == 0)
		poll_jobs(now_us);
	if (ticks % 4 == 0)
		send_probe();
	if (faults_on && random_chance(0.08))
		inject_process_fault();
	if (faults_on && random_chance(0.05))
		inject_vm_fault();
	if (faults_on && random_chance(RESTART_SHARE))
		restart_random_vm();
	if (faults_on && random_chance(FOREIGN_REPORT_SHARE))
		send_foreign_report();
}

static void run_for(uint64_t ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	while (clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(ev), 0);
}

static unsigned unfinished_jobs(void)
{
	unsigned count = 0;

	for (guint i = 0; i < jobs->len; i++) {
		const job_t *job = g_ptr_array_index(jobs, i);

		count += !job->complete && !job->cancelled;
	}
	return count;
}

static void start_cluster(uint64_t seed)
{
	const struct {
		unsigned net;
		unsigned first;
		unsigned count;
	} groups[] = {{1, 0, CORES}, {2, CORES, EDGES}};

	/* Each run of this program has its own loopback addresses, so that several runs can take
	 * place at the same time. */
	address_network = 10 + (unsigned)getpid() % 200;
	g_snprintf(work_dir, sizeof(work_dir), "/tmp/lp-soak-XXXXXX");
	assert_non_null(g_mkdtemp(work_dir));
	port_base = 20000 + (unsigned)(getpid() % 1000) * 20;
	rng = g_rand_new_with_seed((guint32)seed);
	violations = g_string_new(NULL);
	jobs = g_ptr_array_new_with_free_func(g_free);
	done_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	assert_int_equal(http_client_init(&client, ev, 60), 0);
	start_us = clock_now_us();
	configured = false;
	config_version = 0;
	task_starts = 0;
	for (unsigned i = 0; i < VMS; i++) {
		const http_server_config_t config = {.address = vms[i].ip,
						     .port = (uint16_t)(port_base + 13),
						     .body_limit = 65536,
						     .connection_limit = 100,
						     .idle_timeout_s = 60};

		vms[i] = (vm_t){.report_core = i % CORES};
		g_snprintf(vms[i].ip, sizeof(vms[i].ip), "127.%u.3.%u", address_network, i + 1);
		vms[i].runs = g_array_new(FALSE, TRUE, sizeof(running_task_t));
		vms[i].finished_runs = g_array_new(FALSE, TRUE, sizeof(finished_run_t));
		vms[i].highest_runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		start_incarnation(&vms[i], i, false);
		assert_int_equal(
			http_server_init(&vms[i].server, ev, &config, on_vm_request, &vms[i]), 0);
	}
	for (unsigned k = 0; k < G_N_ELEMENTS(groups); k++) {
		for (unsigned i = 0; i < groups[k].count; i++) {
			process_t *process = &processes[groups[k].first + i];

			*process = (process_t){.core = k == 0};
			g_snprintf(process->ip, sizeof(process->ip), "127.%u.%u.%u",
				   address_network, groups[k].net, i + 1);
			g_snprintf(process->settings, sizeof(process->settings), "%s/%s", work_dir,
				   process->ip);
			g_snprintf(process->data_dir, sizeof(process->data_dir), "%s/data-%s",
				   work_dir, process->ip);
			start_process(process);
		}
	}
}

static void kill_processes(void)
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

/* Ends the processes and frees everything. With keep, logs and data are kept for inspection. */
static void stop_cluster(bool keep)
{
	kill_processes();
	http_client_finish(&client);
	for (unsigned i = 0; i < VMS; i++) {
		http_server_finish(&vms[i].server);
		g_array_unref(vms[i].runs);
		g_array_unref(vms[i].finished_runs);
		g_hash_table_destroy(vms[i].highest_runs);
	}
	for (unsigned i = 0; i < PROCESSES && !keep; i++) {
		g_autofree char *log = g_strconcat(processes[i].settings, ".log", NULL);

		delete_data_files(&processes[i]);
		g_rmdir(processes[i].data_dir);
		g_unlink(processes[i].settings);
		g_unlink(log);
	}
	if (!keep)
		g_rmdir(work_dir);
	timer_service_finish(&timers);
	talloc_free(ev);
	g_ptr_array_unref(jobs);
	g_hash_table_destroy(done_tasks);
	g_rand_free(rng);
}

static uint64_t env_number(const char *name, uint64_t default_value)
{
	const char *text = getenv(name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : default_value;
}

static bool run_seed(uint64_t seed)
{
	timer_sub_t tick;
	uint64_t waited_s = 0;
	bool passed;

	start_cluster(seed);
	timer_subscribe(&timers, &tick, 100 * US_PER_MS, on_test_tick, NULL);
	run_for(4000);
	submitting = true;
	faults_on = true;
	run_for(env_number("LAVENDERPASS_SOAK_S", 15) * 1000);
	submitting = false;
	faults_on = false;
	for (; waited_s < RECOVERY_MAX_S && unfinished_jobs() > 0; waited_s++)
		run_for(1000);
	timer_unsubscribe(&timers, &tick);
	if (!configured)
		report_violation("no configuration was accepted", "");
	if (unfinished_jobs() > 0)
		report_violation("accepted job lost", "unfinished jobs remain after the faults");
	print_message("seed %" PRIu64 ": %u jobs, %u starts, all ended %" PRIu64
		      " s after the faults%s\n",
		      seed, jobs->len, task_starts, waited_s,
		      violations->len > 0 ? ", FAILED" : "");
	passed = violations->len == 0;
	if (!passed)
		print_message("%s(logs in %s)\n", violations->str, work_dir);
	stop_cluster(!passed);
	g_string_free(violations, TRUE);
	return passed;
}

/* Guards against guarantees that hold only in the simulation, but not with real processes, sockets
 * and disks. */
static void test_guarantees_hold_on_real_processes(void **state)
{
	uint64_t first = env_number("LAVENDERPASS_SEED", 1);
	uint64_t failed = 0;

	signal(SIGPIPE, SIG_IGN);
	for (uint64_t seed = first; seed < first + env_number("LAVENDERPASS_SEEDS", 1); seed++)
		failed += run_seed(seed) ? 0 : 1;
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_guarantees_hold_on_real_processes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
