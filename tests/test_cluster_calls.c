/*
 * Many requests to one VM at the same time, with real processes: a VM that takes its time to answer
 * each request gets the stops of a wide job that is cancelled, and the starts of a wide gang.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "http_client.h"
#include "http_server.h"
#include "json_reply.h"
#include "lib_roles.h"
#include "timer.h"

#define MEMORY_MIB 256
#define VM_ID "i-1"
#define VM_CPU_MILLI 64000
#define VM_TICK_US (5 * US_PER_MS)
#define REPORT_US (400 * US_PER_MS)
/* Connections that a VM takes. */
#define VM_CONNECTIONS 64
#define STOP_MS 180
/* Time after the acknowledgement of a cancellation within which the stops have been requested. */
#define CANCEL_MS 3000
/* Time that the members of a gang wait for each other. */
#define GANG_TIMEOUT_MS 3000
#define START_WAIT_MS 10000

typedef struct {
	char task[80];
	uint32_t run;
	uint64_t started_us;
	uint64_t stopped_us; /* time when the run has stopped; 0: it was not told to stop */
} vm_run_t;

typedef struct {
	http_request_t *request;
	json_t *body;
	uint64_t due_us;
} pending_t;

static struct tevent_context *ev;
static timer_service_t timers;
static timer_sub_t tick;
static http_client_t client;
static http_server_t vm_server;
static roles_t roles;
static GArray *runs;	/* of vm_run_t */
static GPtrArray *ends; /* of json_t, the list of finished runs */
static GArray *starts;	/* of pending_t */
static GArray *stops;	/* of pending_t; answered once the run has stopped */
static GArray *holds;	/* of pending_t */
static json_int_t end_count;
static uint64_t born_us;
static uint64_t report_due_us;
static uint32_t start_answer_ms;
static unsigned start_count;
static uint64_t first_start_us;
static uint64_t last_start_us;
static unsigned most_pending; /* most start and stop requests at the VM at the same time */

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

static vm_run_t *find_run(const char *task)
{
	for (guint i = 0; i < runs->len; i++) {
		vm_run_t *run = &g_array_index(runs, vm_run_t, i);

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
	vm_run_t run = {
		.run = (uint32_t)json_integer_value(json_object_get(pending->body, "runId")),
		.started_us = clock_now_us()};

	if (find_run(task_of(pending)) != NULL)
		return;
	g_strlcpy(run.task, task_of(pending), sizeof(run.task));
	g_array_append_val(runs, run);
	if (start_count++ == 0)
		first_start_us = run.started_us;
	last_start_us = run.started_us;
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
	for (guint i = 0; i < runs->len; i++) {
		const vm_run_t *run = &g_array_index(runs, vm_run_t, i);

		json_array_append_new(running, json_pack("[s, I, s, i, i]", run->task,
							 (json_int_t)run->run, "", 50, 0));
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
	for (guint i = 0; i < runs->len;) {
		const vm_run_t *run = &g_array_index(runs, vm_run_t, i);

		if (run->stopped_us == 0 || clock_now_us() < run->stopped_us) {
			i++;
			continue;
		}
		g_ptr_array_add(ends, json_pack("[I, s, I, s, s]", ++end_count, run->task,
						(json_int_t)run->run, "stopped", ""));
		g_array_remove_index(runs, i);
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
		json_sprintf("127.%u.3.1:%u", roles.network, roles.port_base + 13), "zone", "z",
		"version", "v1", "slots", 8, "state", "ready", "warmupLeftMs", 0, "machine", "m-1",
		"capacity", "cpu", VM_CPU_MILLI, "memMb", 64000, "gpu", 0, "labels", "a", "r1",
		"clockMs", vm_clock_ms(), "seq", ++seq, "born", (json_int_t)1);
	char *text = json_dumps(body, JSON_COMPACT);

	for (unsigned i = 0; i < ROLES_CORES; i++) {
		g_autofree char *url = g_strdup_printf("%s/instances/" VM_ID, roles.cores[i].url);
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

		assert_non_null(http_client_send(&client, &request, on_report_reply, NULL));
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
	vm_run_t *run;

	if (strcmp(path, "/run-start") == 0) {
		pending.due_us += start_answer_ms * US_PER_MS;
		g_array_append_val(starts, pending);
	} else if (strcmp(path, "/run-stop") == 0) {
		run = find_run(task_of(&pending));
		if (run != NULL && run->stopped_us == 0)
			run->stopped_us = clock_now_us() + STOP_MS * US_PER_MS;
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
	most_pending = MAX(most_pending, starts->len + stops->len);
}

/* --- clients --- */

static void run_until(uint64_t end_us)
{
	while (clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(ev), 0);
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

/* @param body NULL: none; its reference is taken over */
static unsigned call_edge(const char *method, const char *job, json_t *body)
{
	static const http_header_t header = {"Content-Type", "application/json"};
	g_autofree char *url = g_strdup_printf("%s/q/%s", roles.edge.url, job);
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

	assert_non_null(http_client_send(&client, &request, on_client_reply, &call));
	while (!call.ended)
		assert_int_equal(tevent_loop_once(ev), 0);
	free(text);
	json_decref(body);
	return call.status;
}

static void submit(const char *job, unsigned count, unsigned cpu_milli, bool gang)
{
	json_t *step = json_pack("{s:i, s:i, s:i, s:i}", "count", (int)count, "cpu", (int)cpu_milli,
				 "memMb", 8, "estimateMs", 60000);

	if (gang)
		json_object_set_new(step, "gang", json_true());
	assert_int_equal(
		call_edge("POST", job, json_pack("{s:s, s:[o]}", "spec", "spec", "steps", step)),
		200);
}

static void wait_for_starts(unsigned count)
{
	uint64_t end_us = clock_now_us() + START_WAIT_MS * US_PER_MS;

	while (start_count < count && clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(ev), 0);
	assert_true(start_count >= count);
}

/* @return number of runs that work and were not told to stop */
static unsigned working_count(void)
{
	unsigned count = 0;

	for (guint i = 0; i < runs->len; i++)
		count += g_array_index(runs, vm_run_t, i).stopped_us == 0;
	return count;
}

static int set_up(void **state)
{
	const roles_config_t config = {.core_memory_mib = MEMORY_MIB,
				       .edge_memory_mib = MEMORY_MIB};
	char ip[32];
	const http_server_config_t vm_config = {.address = ip,
						.port = 0,
						.body_limit = 65536,
						.connection_limit = VM_CONNECTIONS,
						.idle_timeout_s = 30};
	http_server_config_t server_config = vm_config;

	if (roles_start(&roles, &config) != 0)
		return -1;
	g_snprintf(ip, sizeof(ip), "127.%u.3.1", roles.network);
	server_config.port = (uint16_t)(roles.port_base + 13);
	ev = tevent_context_init(NULL);
	timer_service_init(&timers, ev);
	runs = g_array_new(FALSE, TRUE, sizeof(vm_run_t));
	ends = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	starts = g_array_new(FALSE, TRUE, sizeof(pending_t));
	stops = g_array_new(FALSE, TRUE, sizeof(pending_t));
	holds = g_array_new(FALSE, TRUE, sizeof(pending_t));
	born_us = clock_now_us();
	if (http_client_init(&client, ev, 60) != 0 ||
	    http_server_init(&vm_server, ev, &server_config, on_vm_request, NULL) != 0)
		return -1;
	timer_subscribe(&timers, &tick, VM_TICK_US, on_tick, NULL);
	return 0;
}

static int tear_down(void **state)
{
	timer_unsubscribe(&timers, &tick);
	http_client_finish(&client);
	http_server_finish(&vm_server);
	timer_service_finish(&timers);
	talloc_free(ev);
	return roles_stop(&roles);
}

/* Begins a case without runs. */
static void begin(uint32_t answer_ms)
{
	assert_int_equal(runs->len, 0);
	start_count = 0;
	most_pending = 0;
	start_answer_ms = answer_ms;
}

/* Cancels a job whose tasks have worked for a while, and checks that all are told to stop in time.
 */
static void check_cancel(const char *job, unsigned count, unsigned cpu_milli)
{
	begin(2);
	submit(job, count, cpu_milli, false);
	wait_for_starts(count);
	run_until(clock_now_us() + 500 * US_PER_MS);
	assert_int_equal(call_edge("DELETE", job, NULL), 200);
	run_until(clock_now_us() + CANCEL_MS * US_PER_MS);
	assert_int_equal(working_count(), 0);
	assert_in_range(most_pending, 1, VM_CONNECTIONS);
	run_until(clock_now_us() + US_PER_S);
	assert_int_equal(runs->len, 0);
}

/* Guards against tasks of a cancelled job that work on because few of their stops are requested at
 * a time, and those that wait for a connection are given up and asked for again later. */
static void test_wide_job_is_stopped_in_time(void **state)
{
	check_cancel("00000000000000a1", 96, 500);
}

/* Guards against stops that take so many connections or so long that a wider job works on. */
static void test_job_of_many_tasks_is_stopped_in_time(void **state)
{
	check_cancel("00000000000000a2", 400, 150);
}

/* Guards against starts that wait while their job is cancelled and are sent nevertheless, or hold
 * up the stops of its other tasks. */
static void test_job_is_cancelled_while_its_starts_wait(void **state)
{
	unsigned started;

	begin(200);
	submit("00000000000000a3", 120, 500, false);
	wait_for_starts(4);
	assert_int_equal(call_edge("DELETE", "00000000000000a3", NULL), 200);
	run_until(clock_now_us() + 500 * US_PER_MS);
	started = start_count;
	run_until(clock_now_us() + CANCEL_MS * US_PER_MS);
	assert_int_equal(start_count, started);
	assert_int_equal(working_count(), 0);
	run_until(clock_now_us() + US_PER_S);
	assert_int_equal(runs->len, 0);
}

static void check_gang(const char *job, unsigned count)
{
	start_count = 0;
	submit(job, count, 2000, true);
	wait_for_starts(count);
	assert_int_equal(start_count, count);
	assert_true(last_start_us < first_start_us + GANG_TIMEOUT_MS * US_PER_MS);
	for (guint i = 0; i < runs->len; i++)
		assert_int_equal(g_array_index(runs, vm_run_t, i).run, 1);
	assert_int_equal(call_edge("DELETE", job, NULL), 200);
	run_until(clock_now_us() + (CANCEL_MS + 1000) * US_PER_MS);
	assert_int_equal(runs->len, 0);
}

/* Guards against a gang of which a part is started, because the starts of the others wait for a
 * connection until they count as refused. */
static void test_wide_gang_is_started_whole(void **state)
{
	begin(60);
	check_gang("00000000000000b1", 32);
}

/* The same beside the stops of a job that was cancelled just before. */
static void test_gang_is_started_whole_beside_a_cancelled_job(void **state)
{
	begin(60);
	submit("00000000000000a4", 40, 300, false);
	wait_for_starts(40);
	assert_int_equal(call_edge("DELETE", "00000000000000a4", NULL), 200);
	check_gang("00000000000000b2", 20);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wide_job_is_stopped_in_time),
		cmocka_unit_test(test_job_of_many_tasks_is_stopped_in_time),
		cmocka_unit_test(test_job_is_cancelled_while_its_starts_wait),
		cmocka_unit_test(test_wide_gang_is_started_whole),
		cmocka_unit_test(test_gang_is_started_whole_beside_a_cancelled_job),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
