#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <talloc.h>

#include "clock.h"
#include "http_server.h"
#include "json_reply.h"
#include "lib_role_vm.h"
#include "timer.h"

#define VM_ID "i-1"
#define VM_TICK_US (5 * US_PER_MS)
#define REPORT_US (400 * US_PER_MS)
/* Progress of a run. Tasks that make none are taken as stalled. */
#define MS_PER_PERCENT 600

role_vm_t role_vm;

typedef struct {
	http_request_t *request;
	json_t *body;
	uint64_t due_us;
} pending_t;

static timer_service_t timers;
static timer_sub_t tick;
static http_server_t vm_server;
static GPtrArray *ends; /* of json_t, the list of finished runs */
static GArray *starts;	/* of pending_t */
static GArray *stops;	/* of pending_t; answered once the run has stopped */
static GArray *holds;	/* of pending_t */
static json_int_t end_count;
static uint64_t born_us;
static uint64_t report_due_us;

/* --- the VM --- */

static json_int_t vm_clock_ms(void)
{
	return (json_int_t)((clock_now_us() - born_us) / US_PER_MS + 1);
}

static void answer(http_request_t *request, json_t *body)
{
	json_object_set_new(body, "clockMs", json_integer(vm_clock_ms()));
	json_reply(request, 200, body);
}

static role_vm_run_t *find_run(const char *task)
{
	for (guint i = 0; i < role_vm.runs->len; i++) {
		role_vm_run_t *run = &g_array_index(role_vm.runs, role_vm_run_t, i);

		if (strcmp(run->task, task) == 0)
			return run;
	}
	return NULL;
}

static const char *task_of(const pending_t *pending)
{
	return json_string_value(json_object_get(pending->body, "task"));
}

static void start_run(const pending_t *pending)
{
	role_vm_run_t run = {
		.run = (uint32_t)json_integer_value(json_object_get(pending->body, "runId")),
		.started_us = clock_now_us()};

	if (find_run(task_of(pending)) != NULL)
		return;
	g_strlcpy(run.task, task_of(pending), sizeof(run.task));
	g_array_append_val(role_vm.runs, run);
	if (role_vm.start_count++ == 0)
		role_vm.first_start_us = run.started_us;
	role_vm.last_start_us = run.started_us;
}

static void answer_hold(const pending_t *hold)
{
	json_int_t seen = json_integer_value(json_object_get(hold->body, "lastSeen"));
	json_t *running = json_array();
	json_t *finished = json_array();

	while (ends->len > 0 &&
	       json_integer_value(json_array_get(g_ptr_array_index(ends, 0), 0)) <= seen)
		g_ptr_array_remove_index(ends, 0);
	for (guint i = 0; i < ends->len; i++)
		json_array_append(finished, g_ptr_array_index(ends, i));
	for (guint i = 0; i < role_vm.runs->len; i++) {
		const role_vm_run_t *run = &g_array_index(role_vm.runs, role_vm_run_t, i);
		uint64_t worked_ms = (clock_now_us() - run->started_us) / US_PER_MS;

		json_array_append_new(
			running, json_pack("[s, I, s, I, i]", run->task, (json_int_t)run->run, "",
					   (json_int_t)MIN(worked_ms / MS_PER_PERCENT, 99), 0));
	}
	answer(hold->request, json_pack("{s:I, s:o, s:o}", "born", (json_int_t)1, "running",
					running, "finishedRuns", finished));
}

/* Answers the requests that are due. @return their number */
static unsigned answer_due(GArray *list, void (*fn)(const pending_t *pending))
{
	unsigned answered = 0;

	for (guint i = 0; i < list->len;) {
		pending_t pending = g_array_index(list, pending_t, i);

		if (clock_now_us() < pending.due_us) {
			i++;
			continue;
		}
		g_array_remove_index(list, i);
		fn(&pending);
		json_decref(pending.body);
		answered++;
	}
	return answered;
}

static void answer_start(const pending_t *pending)
{
	start_run(pending);
	answer(pending->request, json_object());
}

static void answer_stop(const pending_t *pending)
{
	answer(pending->request, json_object());
}

static void end_stopped_runs(void)
{
	for (guint i = 0; i < role_vm.runs->len;) {
		const role_vm_run_t *run = &g_array_index(role_vm.runs, role_vm_run_t, i);

		if (run->stopped_us == 0 || clock_now_us() < run->stopped_us) {
			i++;
			continue;
		}
		g_ptr_array_add(ends, json_pack("[I, s, I, s, s]", ++end_count, run->task,
						(json_int_t)run->run, "stopped", ""));
		g_array_remove_index(role_vm.runs, i);
	}
}

static void on_report_reply(void *arg, const http_call_result_t *result)
{
}

static void report(void)
{
	static const http_header_t header = {"Content-Type", "application/json"};
	static json_int_t seq;
	json_t *body = json_pack(
		"{s:s, s:o, s:s, s:s, s:i, s:s, s:i, s:s, s:{s:i, s:i, s:i}, s:[s, s], s:I, s:I, "
		"s:I}",
		"service", "svc", "addr",
		json_sprintf("127.%u.3.1:%u", role_vm.roles->network,
			     role_vm.roles->port_base + 13),
		"zone", "z", "version", "v1", "slots", 8, "state", "ready", "warmupLeftMs", 0,
		"machine", "m-1", "capacity", "cpu", ROLE_VM_CPU_MILLI, "memMb", 64000, "gpu", 0,
		"labels", "a", "r1", "clockMs", vm_clock_ms(), "seq", ++seq, "born", (json_int_t)1);
	char *text = json_dumps(body, JSON_COMPACT);

	for (unsigned i = 0; i < ROLES_CORES; i++) {
		g_autofree char *url =
			g_strdup_printf("%s/instances/" VM_ID, role_vm.roles->cores[i].url);
		const http_call_request_t request = {
			.method = "PUT",
			.url = url,
			.headers = &header,
			.header_count = 1,
			.body = text,
			.body_length = strlen(text),
			.connect_timeout_ms = 500,
			.timeout_ms = 1000,
			.response_limit = 100000,
		};

		assert_non_null(http_client_send(&role_vm.client, &request, on_report_reply, NULL));
	}
	free(text);
	json_decref(body);
}

static void on_tick(void *arg, uint64_t now_us)
{
	if (now_us >= report_due_us) {
		report_due_us = now_us + REPORT_US;
		report();
	}
	answer_due(starts, answer_start);
	end_stopped_runs();
	answer_due(stops, answer_stop);
	for (guint i = 0; i < holds->len && ends->len > 0; i++)
		g_array_index(holds, pending_t, i).due_us = 0;
	answer_due(holds, answer_hold);
}

static void on_vm_request(void *arg, http_request_t *request)
{
	const char *path = http_request_path(request);
	pending_t pending = {
		.request = request, .body = json_request_body(request), .due_us = clock_now_us()};
	role_vm_run_t *run;

	if (strcmp(path, "/run-start") == 0) {
		pending.due_us += role_vm.start_answer_ms * US_PER_MS;
		g_array_append_val(starts, pending);
	} else if (strcmp(path, "/run-stop") == 0) {
		run = find_run(task_of(&pending));
		if (run != NULL && run->stopped_us == 0)
			run->stopped_us = clock_now_us() + ROLE_VM_STOP_MS * US_PER_MS;
		pending.due_us = run != NULL ? run->stopped_us : 0;
		g_array_append_val(stops, pending);
	} else if (strcmp(path, "/hold") == 0) {
		pending.due_us +=
			(uint64_t)json_integer_value(json_object_get(pending.body, "waitMs")) *
			US_PER_MS;
		g_array_append_val(holds, pending);
	} else {
		json_decref(pending.body);
		json_reply(request, 404, json_object());
	}
	role_vm.most_pending = MAX(role_vm.most_pending, starts->len + stops->len);
}

/* --- clients --- */

void role_vm_run_until(uint64_t end_us)
{
	while (clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(role_vm.ev), 0);
}

typedef struct {
	bool ended;
	unsigned status;
} client_call_t;

static void on_client_reply(void *arg, const http_call_result_t *result)
{
	client_call_t *call = arg;

	call->ended = true;
	call->status = result->status;
}

unsigned role_vm_call_edge(const char *method, const char *job, json_t *body)
{
	static const http_header_t header = {"Content-Type", "application/json"};
	g_autofree char *url = g_strdup_printf("%s/q/%s", role_vm.roles->edge.url, job);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	const http_call_request_t request = {
		.method = method,
		.url = url,
		.headers = &header,
		.header_count = 1,
		.body = text,
		.body_length = text != NULL ? strlen(text) : 0,
		.connect_timeout_ms = 500,
		.timeout_ms = 3000,
		.response_limit = 100000,
	};
	client_call_t call = {0};

	assert_non_null(http_client_send(&role_vm.client, &request, on_client_reply, &call));
	while (!call.ended)
		assert_int_equal(tevent_loop_once(role_vm.ev), 0);
	free(text);
	json_decref(body);
	return call.status;
}

void role_vm_submit(const char *job, unsigned count, unsigned cpu_milli, bool gang)
{
	json_t *step = json_pack("{s:i, s:i, s:i, s:i}", "count", (int)count, "cpu", (int)cpu_milli,
				 "memMb", 8, "estimateMs", 60000);

	if (gang)
		json_object_set_new(step, "gang", json_true());
	assert_int_equal(
		role_vm_call_edge("POST", job,
				  json_pack("{s:s, s:[o]}", "spec", "spec", "steps", step)),
		200);
}

bool role_vm_has_started(const char *job)
{
	for (guint i = 0; i < role_vm.runs->len; i++) {
		if (g_str_has_prefix(g_array_index(role_vm.runs, role_vm_run_t, i).task, job))
			return true;
	}
	return false;
}

int role_vm_start(roles_t *roles)
{
	char ip[32];
	const http_server_config_t config = {.address = ip,
					     .port = (uint16_t)(roles->port_base + 13),
					     .body_limit = 65536,
					     .connection_limit = ROLE_VM_CONNECTIONS,
					     .idle_timeout_s = 30};

	g_snprintf(ip, sizeof(ip), "127.%u.3.1", roles->network);
	role_vm = (role_vm_t){.ev = tevent_context_init(NULL),
			      .roles = roles,
			      .runs = g_array_new(FALSE, TRUE, sizeof(role_vm_run_t))};
	timer_service_init(&timers, role_vm.ev);
	ends = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	starts = g_array_new(FALSE, TRUE, sizeof(pending_t));
	stops = g_array_new(FALSE, TRUE, sizeof(pending_t));
	holds = g_array_new(FALSE, TRUE, sizeof(pending_t));
	born_us = clock_now_us();
	if (http_client_init(&role_vm.client, role_vm.ev, 60) != 0 ||
	    http_server_init(&vm_server, role_vm.ev, &config, on_vm_request, NULL) != 0)
		return -1;
	timer_subscribe(&timers, &tick, VM_TICK_US, on_tick, NULL);
	return 0;
}

void role_vm_stop(void)
{
	timer_unsubscribe(&timers, &tick);
	http_client_finish(&role_vm.client);
	http_server_finish(&vm_server);
	timer_service_finish(&timers);
	talloc_free(role_vm.ev);
}
