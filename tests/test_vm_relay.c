#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <unistd.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "clock.h"
#include "lib_port.h"
#include "metrics.h"
#include "vm_relay.h"

#define CORE_ID 1
#define EDGE_ID 2
#define PING_MS 20
#define PEER_TIMEOUT_MS 20000
#define VM_COUNT 1000
/* Longer than the time in which a start request without a result fails. */
#define BLOCKED_MS 700

/* One process. Each has an event loop of its own, so that one can be blocked. */
typedef struct {
	struct tevent_context *ev;
	timer_service_t timers;
	peer_set_t *peers;
} process_t;

static process_t core;
static process_t edge;
static vm_relay_t *relay;
static vm_agent_t agent;
static metrics_t *metrics;
static const char *vm_data_centre;
static unsigned direct_starts;
static unsigned edge_starts;
static unsigned replies;
static unsigned platform_requests;
static bool leads;
static vm_reply_code_t reply_code;

static void count_direct_start(void *arg, const vm_ref_t *vm, const vm_start_t *start,
			       vm_reply_fn done, void *done_arg)
{
	const vm_reply_t reply = {.code = VM_REPLY_OK};

	direct_starts++;
	done(done_arg, &reply);
}

static void answer_start(void *arg, const vm_ref_t *vm, const vm_start_t *start, vm_reply_fn done,
			 void *done_arg)
{
	const vm_reply_t reply = {.code = VM_REPLY_OK, .clock_ms = 1};

	edge_starts++;
	done(done_arg, &reply);
}

static void on_reply(void *arg, const vm_reply_t *reply)
{
	replies++;
	reply_code = reply->code;
}

static const char *data_centre_of_vm(void *arg, const char *vm)
{
	return vm_data_centre;
}

static bool is_leader(void *arg)
{
	return leads;
}

static void count_platform_request(void *arg, const platform_request_t *request, vm_reply_fn done,
				   void *done_arg)
{
	platform_requests++;
}

static size_t vm_count(void *arg)
{
	return VM_COUNT;
}

static void on_core_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	if (envelope->body_case == LP__ENVELOPE__BODY_VM_RESULT)
		vm_relay_handle_result(relay, from, envelope->vm_result);
}

static void on_core_peer_change(void *arg, const peer_info_t *info)
{
	vm_relay_peers_changed(relay);
}

static void on_edge_message(void *arg, uint32_t from, const Lp__Envelope *envelope)
{
	if (envelope->body_case == LP__ENVELOPE__BODY_VM_ORDER)
		vm_agent_handle_request(&agent, from, envelope->vm_order);
}

static void start_process(process_t *process, uint32_t id, const char *data_centre,
			  const char *address, const peer_address_t *peer,
			  const peer_callbacks_t *callbacks)
{
	const peer_config_t config = {
		.cluster = "c",
		.node_id = id,
		.replica_id = id,
		.incarnation = id,
		.data_centre = data_centre,
		.http_address = "127.0.0.1:80",
		.has_disk = id == CORE_ID,
		.listen_address = address,
		.peers = peer,
		.peer_count = 1,
		.ping_ms = PING_MS,
		.timeout_ms = PEER_TIMEOUT_MS,
	};

	process->ev = tevent_context_init(NULL);
	timer_service_init(&process->timers, process->ev);
	process->peers =
		peer_set_create(process->ev, process->ev, &process->timers, &config, callbacks);
	assert_non_null(process->peers);
}

static void stop_process(process_t *process)
{
	peer_set_destroy(process->peers);
	timer_service_finish(&process->timers);
	talloc_free(process->ev);
}

/* Runs the event loop for the time; the timer service keeps it from waiting longer. */
static void run_process_ms(process_t *process, unsigned ms)
{
	uint64_t end_us = clock_now_us() + ms * US_PER_MS;

	while (clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(process->ev), 0);
}

static void run_both_ms(unsigned ms)
{
	for (unsigned i = 0; i < ms; i += 10) {
		run_process_ms(&core, 5);
		run_process_ms(&edge, 5);
	}
}

static int set_up(void **state)
{
	const peer_callbacks_t core_callbacks = {.message_received = on_core_message,
						 .peer_changed = on_core_peer_change};
	const peer_callbacks_t edge_callbacks = {.message_received = on_edge_message};
	char core_address[32];
	char edge_address[32];
	const peer_address_t core_peer = {CORE_ID, core_address, true};
	const peer_address_t edge_peer = {EDGE_ID, edge_address, true};
	vm_relay_options_t options = {
		.direct = {.start = count_direct_start, .order = count_platform_request},
		.data_centre = data_centre_of_vm,
		.vm_count = vm_count,
		.is_leader = is_leader};
	const vm_port_t edge_port = {.start = answer_start};

	direct_starts = 0;
	edge_starts = 0;
	replies = 0;
	platform_requests = 0;
	leads = true;
	vm_data_centre = "a";
	metrics = metrics_create();
	options.metrics = metrics;
	g_snprintf(core_address, sizeof(core_address), "127.0.0.1:%u", lib_port_find_unused());
	g_snprintf(edge_address, sizeof(edge_address), "127.0.0.1:%u", lib_port_find_unused());
	core.ev = NULL;
	start_process(&edge, EDGE_ID, "a", edge_address, &core_peer, &edge_callbacks);
	start_process(&core, CORE_ID, "a", core_address, &edge_peer, &core_callbacks);
	relay = vm_relay_create(&core.timers, &options);
	vm_relay_set_peers(relay, core.peers);
	vm_agent_init(&agent, &edge_port, edge.peers, metrics);
	for (unsigned i = 0; i < 500 && !peer_info(core.peers, EDGE_ID)->up; i++)
		run_both_ms(10);
	assert_true(peer_info(core.peers, EDGE_ID)->up);
	run_both_ms(100);
	return 0;
}

static int tear_down(void **state)
{
	vm_relay_destroy(relay);
	stop_process(&core);
	stop_process(&edge);
	metrics_destroy(metrics);
	return 0;
}

static void send_start(void)
{
	const vm_port_t port = vm_relay_port(relay);
	const vm_ref_t vm = {.address = "10.0.0.1:80", .id = "vm-1"};
	const vm_start_t start = {.task = {.job = "j"}, .run = 1, .spec = "spec"};

	port.start(port.arg, &vm, &start, on_reply, NULL);
}

/* Guards against a leader that makes the HTTP requests to hundreds of VMs itself when no edge
 * process of their data centre is up. */
static void test_requests_go_through_other_data_centres(void **state)
{
	vm_data_centre = "b";
	send_start();
	run_both_ms(100);
	vm_data_centre = NULL;
	send_start();
	run_both_ms(100);
	assert_int_equal(edge_starts, 2);
	assert_int_equal(direct_starts, 0);
	assert_int_equal(replies, 2);
}

/* Guards against requests that fail although their results have arrived, while the leader is
 * behind. */
static void test_arrived_results_do_not_time_out(void **state)
{
	send_start();
	run_process_ms(&core, 20);
	run_process_ms(&edge, 100);
	assert_int_equal(edge_starts, 1);
	assert_int_equal(replies, 0);
	usleep(BLOCKED_MS * 1000);
	for (unsigned i = 0; i < 30 && replies == 0; i++)
		run_process_ms(&core, 1);
	assert_int_equal(replies, 1);
	assert_int_equal(reply_code, VM_REPLY_OK);
	assert_true(vm_relay_input_delay_us(relay) >= BLOCKED_MS * US_PER_MS);
}

/* Guards against a request without a result that never fails. */
static void test_missing_result_times_out(void **state)
{
	send_start();
	run_process_ms(&core, 1000);
	assert_int_equal(replies, 1);
	assert_int_equal(reply_code, VM_REPLY_NO_RESPONSE);
}

/* Guards against an edge process that starts, when it wakes from a pause, a run that the leader has
 * given up and started elsewhere meanwhile. */
static void test_paused_edge_process_drops_expired_requests(void **state)
{
	send_start();
	for (unsigned i = 0; i < 300 && replies == 0; i++)
		run_process_ms(&core, 10);
	assert_int_equal(replies, 1);
	assert_int_equal(reply_code, VM_REPLY_NO_RESPONSE);
	run_both_ms(200);
	assert_int_equal(edge_starts, 0);
	send_start();
	run_both_ms(100);
	assert_int_equal(edge_starts, 1);
	assert_int_equal(replies, 2);
	assert_int_equal(reply_code, VM_REPLY_OK);
}

/* Guards against a leader that was paused after it had decided on a start or a platform request,
 * and sends it on waking, when another leader has taken over. */
static void test_paused_leader_sends_no_orders(void **state)
{
	const vm_port_t port = vm_relay_port(relay);
	const platform_request_t request = {.machine = "m-1", .holder = "core"};

	leads = false;
	send_start();
	assert_int_equal(replies, 0);
	port.order(port.arg, &request, on_reply, NULL);
	run_both_ms(400);
	assert_int_equal(edge_starts + direct_starts + platform_requests, 0);
	assert_int_equal(replies, 2);
	assert_int_equal(reply_code, VM_REPLY_NOT_SENT);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_requests_go_through_other_data_centres, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_arrived_results_do_not_time_out, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_missing_result_times_out, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_paused_edge_process_drops_expired_requests,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_paused_leader_sends_no_orders, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
