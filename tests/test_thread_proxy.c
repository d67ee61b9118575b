#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>
#include <tevent.h>

#include "clock.h"
#include "http_client.h"
#include "io_thread.h"
#include "lib_port.h"
#include "lib_target.h"

#define IO_THREAD_COUNT 2
#define TARGET_COUNT 4

static uint16_t port;

/* --- stub of the claims: a single replica, which always is a majority --- */

typedef enum {
	STUB_HELD,
	STUB_RELEASED,
	STUB_RECORDED,
	STUB_ABANDONED,
} stub_state_t;

typedef struct {
	char *key;
	stub_state_t state;
	Lp__Outcome outcome;
} stub_claim_t;

struct claims {
	GPtrArray *entries; /* elements: stub_claim_t, indexed by claim id */
};

void claims_acquire(claims_t *claims, const char *key, const char *home, uint64_t now_us,
		    claims_done_fn done, void *arg)
{
	stub_claim_t *claim;

	for (guint i = 0; i < claims->entries->len; i++) {
		claim = claims->entries->pdata[i];
		if (strcmp(claim->key, key) != 0 || claim->state == STUB_RELEASED)
			continue;
		if (claim->state == STUB_RECORDED)
			done(arg, CLAIMS_STORED, 0, &claim->outcome);
		else
			done(arg, CLAIMS_UNKNOWN, 0, NULL);
		return;
	}
	claim = g_new0(stub_claim_t, 1);
	claim->key = g_strdup(key);
	g_ptr_array_add(claims->entries, claim);
	done(arg, CLAIMS_GRANTED, claims->entries->len - 1, NULL);
}

static stub_claim_t *end_claim(claims_t *claims, uint64_t id, stub_state_t state)
{
	stub_claim_t *claim = claims->entries->pdata[id];

	assert_int_equal(claim->state, STUB_HELD);
	claim->state = state;
	return claim;
}

void claims_release(claims_t *claims, uint64_t claim, uint64_t now_us)
{
	end_claim(claims, claim, STUB_RELEASED);
}

void claims_abandon(claims_t *claims, uint64_t claim)
{
	end_claim(claims, claim, STUB_ABANDONED);
}

void claims_record_outcome(claims_t *claims, uint64_t claim, const Lp__Outcome *outcome,
			   uint64_t now_us, void (*done)(void *arg), void *arg)
{
	stub_claim_t *recorded = end_claim(claims, claim, STUB_RECORDED);

	lp__outcome__init(&recorded->outcome);
	recorded->outcome.status = outcome->status;
	recorded->outcome.content_type = g_strdup(outcome->content_type);
	recorded->outcome.body.data = g_memdup2(outcome->body.data, outcome->body.len);
	recorded->outcome.body.len = outcome->body.len;
	done(arg);
}

static void stub_claim_free(void *data)
{
	stub_claim_t *claim = data;

	g_free(claim->key);
	if (claim->state == STUB_RECORDED) {
		g_free(claim->outcome.content_type);
		g_free(claim->outcome.body.data);
	}
	g_free(claim);
}

/* --- fixture: the test's thread serves as the control thread and as the client --- */

typedef struct {
	struct tevent_context *ev;
	mailbox_t control;
	claims_t claims;
	metrics_t *metrics;
	route_table_t *routes;
	io_thread_t *threads[IO_THREAD_COUNT];
	lib_target_t *targets[TARGET_COUNT];
	http_client_t client;
	unsigned pending_count;	    /* number of requests without a response yet */
	unsigned outcome_counts[3]; /* number of responses, by verdict_t */
	GRand *random;
	unsigned next_token; /* sequence number for the token of the next request */
} fixture_t;

typedef struct {
	fixture_t *f;
	char *token; /* body of the request, unique to it; owned by the test */
	bool repeatable;
	unsigned status;
	verdict_t outcome;
} exchange_t;

static void on_control_request(void *arg, http_request_t *request)
{
	http_request_reply(request, 200, NULL, 0, "control", 7);
}

static void announce(fixture_t *f, unsigned i, uint64_t announced_us, uint64_t epoch)
{
	char vm[16];
	route_announcement_t announcement = {
		.vm = vm, .announced_us = announced_us, .echoed_epoch = epoch};

	g_snprintf(vm, sizeof(vm), "vm%u", i);
	route_table_set_announcement(f->routes, &announcement);
}

static void set_target(fixture_t *f, unsigned i, const char *address, uint64_t epoch)
{
	char vm[16];
	route_target_t target = {
		.vm = vm,
		.organisation = "barid",
		.pool = "orders",
		.data_centre = "dc1",
		.address = address,
		.epoch = epoch,
		.routable = true,
		.slots = 8,
		.connections = 64,
	};

	g_snprintf(vm, sizeof(vm), "vm%u", i);
	route_table_set_target(f->routes, &target);
}

static void set_template(fixture_t *f, uint32_t queue_limit)
{
	Lp__RequestClass repeatable_class = LP__REQUEST_CLASS__INIT;
	Lp__RequestClass non_repeatable_class = LP__REQUEST_CLASS__INIT;
	Lp__RequestClass *classes[] = {&repeatable_class, &non_repeatable_class};
	Lp__PoolSpec pool = LP__POOL_SPEC__INIT;
	Lp__PoolSpec *pools[] = {&pool};
	Lp__Template template = LP__TEMPLATE__INIT;

	repeatable_class.name = "read";
	repeatable_class.path_prefix = "/";
	repeatable_class.deadline_ms = 600;
	repeatable_class.repeatable = true;
	repeatable_class.queue_limit = queue_limit;
	non_repeatable_class.name = "post";
	non_repeatable_class.path_prefix = "/post";
	non_repeatable_class.deadline_ms = 600;
	non_repeatable_class.queue_limit = queue_limit;
	pool.name = "orders";
	pool.classes = classes;
	pool.n_classes = 2;
	template.organisation = "barid";
	template.pools = pools;
	template.n_pools = 1;
	route_table_set_template(f->routes, &template);
}

static int set_up(void **state)
{
	fixture_t *f = g_new0(fixture_t, 1);
	const route_table_config_t routes = {
		.shard_count = 4,
		.data_centre = "dc1",
		.node_id = 1,
		.routing_lease_us = 4 * US_PER_S,
		.seed = 1,
	};
	io_thread_config_t config = {
		.server = {.address = "127.0.0.1",
			   .body_limit = 1 << 20,
			   .connection_limit = 500,
			   .idle_timeout_s = 30},
		.control_handler = on_control_request,
	};

	port = lib_port_find_unused();
	config.server.port = port;
	f->ev = tevent_context_init(NULL);
	assert_int_equal(mailbox_init(&f->control, f->ev), 0);
	f->claims.entries = g_ptr_array_new_with_free_func(stub_claim_free);
	f->metrics = metrics_create();
	f->routes = route_table_create(&routes);
	f->random = g_rand_new_with_seed(1);
	config.routes = f->routes;
	config.metrics = f->metrics;
	config.control_mailbox = &f->control;
	config.claims = &f->claims;
	set_template(f, 100);
	for (unsigned i = 0; i < TARGET_COUNT; i++) {
		f->targets[i] = lib_target_start();
		set_target(f, i, lib_target_address(f->targets[i]), 1);
		announce(f, i, clock_now_us() + 60 * US_PER_S, 1);
	}
	for (unsigned i = 0; i < IO_THREAD_COUNT; i++) {
		f->threads[i] = io_thread_start(&config);
		assert_non_null(f->threads[i]);
	}
	assert_int_equal(http_client_init(&f->client, f->ev, 60), 0);
	*state = f;
	return 0;
}

static void stop_threads(fixture_t *f)
{
	for (unsigned i = 0; i < IO_THREAD_COUNT; i++) {
		if (f->threads[i] != NULL)
			io_thread_stop(f->threads[i]);
		f->threads[i] = NULL;
	}
}

static int tear_down(void **state)
{
	fixture_t *f = *state;

	stop_threads(f);
	http_client_finish(&f->client);
	mailbox_finish(&f->control);
	for (unsigned i = 0; i < TARGET_COUNT; i++)
		lib_target_stop(f->targets[i]);
	route_table_destroy(f->routes);
	metrics_destroy(f->metrics);
	g_ptr_array_unref(f->claims.entries);
	g_rand_free(f->random);
	talloc_free(f->ev);
	g_free(f);
	return 0;
}

/* Checks a response against what the targets ran (invariants I3, I4 and I5). */
static void on_response(void *arg, const http_call_result_t *result)
{
	exchange_t *exchange = arg;
	const char *outcome_header = http_call_header(result, "Lavenderpass-Outcome");
	unsigned run_count = lib_target_run_count(exchange->token);

	exchange->f->pending_count--;
	if (!result->complete)
		fail_msg("no answer: %s", result->error);
	assert_non_null(outcome_header);
	assert_int_equal(verdict_parse(outcome_header, &exchange->outcome), 0);
	assert_non_null(http_call_header(result, "Lavenderpass-Request-Id"));
	assert_null(http_call_header(result, "X-Hop"));
	exchange->status = result->status;
	exchange->f->outcome_counts[exchange->outcome]++;
	if (exchange->outcome == VERDICT_NOT_RUN)
		assert_int_equal(run_count, 0);
	if (exchange->outcome == VERDICT_RAN) {
		char *body = g_strndup(result->body, result->body_length);
		char *expected = g_strconcat("ran:", exchange->token, NULL);

		assert_true(run_count >= 1);
		if (result->status == 200)
			assert_string_equal(body, expected);
		g_free(expected);
		g_free(body);
	}
	if (!exchange->repeatable)
		assert_true(run_count <= 1);
}

static http_call_t *start(fixture_t *f, exchange_t *exchange, const char *path, const char *key)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	const http_header_t headers[] = {{"Lavenderpass-Epoch", "99"}, {"Idempotency-Key", key}};
	http_call_request_t request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.header_count = key != NULL ? 2 : 1,
		.timeout_ms = 4000,
		.response_limit = 1 << 20,
		.fresh_connection = g_rand_boolean(f->random),
	};
	http_call_t *call;

	if (exchange->token == NULL)
		exchange->token = g_strdup_printf("token-%u-%u", f->next_token++, g_random_int());
	exchange->f = f;
	exchange->repeatable = strstr(path, "/post") == NULL;
	request.body = exchange->token;
	request.body_length = strlen(exchange->token);
	f->pending_count++;
	call = http_client_send(&f->client, &request, on_response, exchange);
	g_free(url);
	return call;
}

static void on_timer(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		     void *private_data)
{
}

/*
 * Runs the event loop once, for at most 5 ms, because an event in another thread does not wake the
 * loop.
 */
static void run_loop(fixture_t *f)
{
	tevent_add_timer(f->ev, f->ev, tevent_timeval_current_ofs(0, 5 * US_PER_MS), on_timer,
			 NULL);
	assert_int_equal(tevent_loop_once(f->ev), 0);
}

static void wait_for_responses(fixture_t *f)
{
	while (f->pending_count > 0)
		assert_int_equal(tevent_loop_once(f->ev), 0);
}

static void wait_until_idle(fixture_t *f)
{
	for (unsigned i = 0; i < IO_THREAD_COUNT; i++) {
		uint64_t end_us = clock_now_us() + 3 * US_PER_S;

		while (!io_thread_idle(f->threads[i]) && clock_now_us() < end_us)
			run_loop(f);
		assert_true(io_thread_idle(f->threads[i]));
	}
}

static void exchange_and_wait(fixture_t *f, exchange_t *exchange, const char *path, const char *key)
{
	start(f, exchange, path, key);
	wait_for_responses(f);
}

/* Guards against false outcomes, lost responses and second runs while targets fail at random. */
static void test_outcomes_match_what_targets_ran(void **state)
{
	fixture_t *f = *state;

	for (unsigned round = 0; round < 6; round++) {
		exchange_t exchanges[40] = {0};

		for (unsigned i = 0; i < TARGET_COUNT; i++)
			lib_target_set_mode(f->targets[i],
					    (lib_target_mode_t)g_rand_int_range(
						    f->random, 0, LIB_TARGET_AS_ENTRY_PROCESS),
					    (unsigned)g_rand_int_range(f->random, 1, 900));
		lib_target_set_mode(f->targets[0], LIB_TARGET_RESPOND, 0);
		for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++) {
			char *key = g_strdup_printf("key-%u-%u", round, i);
			bool non_repeatable = g_rand_boolean(f->random);

			start(f, &exchanges[i],
			      non_repeatable ? "/r/barid/orders/post" : "/r/barid/orders/x",
			      non_repeatable ? key : NULL);
			g_free(key);
		}
		wait_for_responses(f);
		for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++) {
			if (exchanges[i].outcome == VERDICT_NOT_RUN)
				assert_int_equal(lib_target_run_count(exchanges[i].token), 0);
			g_free(exchanges[i].token);
		}
	}
	wait_until_idle(f);
	assert_true(f->outcome_counts[VERDICT_RAN] > 60);
	for (guint i = 0; i < f->claims.entries->len; i++)
		assert_int_not_equal(((stub_claim_t *)f->claims.entries->pdata[i])->state,
				     STUB_HELD);
	print_message("not-run %u, unknown %u, ran %u\n", f->outcome_counts[VERDICT_NOT_RUN],
		      f->outcome_counts[VERDICT_UNKNOWN], f->outcome_counts[VERDICT_RAN]);
}

static void set_all_modes(fixture_t *f, lib_target_mode_t mode, unsigned late_ms)
{
	for (unsigned i = 0; i < TARGET_COUNT; i++)
		lib_target_set_mode(f->targets[i], mode, late_ms);
}

/* Guards against a wrong outcome when all targets have the same fault. */
static void test_outcome_of_each_target_fault(void **state)
{
	static const struct {
		lib_target_mode_t mode;
		verdict_t outcome;
		unsigned status;
	} cases[] = {
		{LIB_TARGET_RESPOND, VERDICT_RAN, 200},
		{LIB_TARGET_WRONG_ID, VERDICT_UNKNOWN, 504},
		{LIB_TARGET_TRUNCATE, VERDICT_UNKNOWN, 504},
		{LIB_TARGET_CLOSE, VERDICT_UNKNOWN, 504},
		{LIB_TARGET_REFUSE, VERDICT_NOT_RUN, 503},
		{LIB_TARGET_SILENT, VERDICT_UNKNOWN, 504},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		exchange_t non_repeatable = {0};
		exchange_t repeatable = {0};
		char key[16];

		g_snprintf(key, sizeof(key), "key%zu", i);
		set_all_modes(f, cases[i].mode, 0);
		exchange_and_wait(f, &non_repeatable, "/r/barid/orders/post", key);
		exchange_and_wait(f, &repeatable, "/r/barid/orders/x", NULL);
		assert_int_equal(non_repeatable.outcome, cases[i].outcome);
		assert_int_equal(non_repeatable.status, cases[i].status);
		assert_int_equal(repeatable.outcome, cases[i].outcome);
		g_free(non_repeatable.token);
		g_free(repeatable.token);
	}
}

/*
 * Guards against a second run for an idempotency key, and against a reply other than the recorded
 * response.
 */
static void test_repeated_idempotency_keys(void **state)
{
	fixture_t *f = *state;
	exchange_t first_use = {0};
	exchange_t second_use = {0};
	exchange_t unknown_outcome = {0};
	exchange_t retry = {0};

	exchange_and_wait(f, &first_use, "/r/barid/orders/post", "a");
	second_use.token = first_use.token;
	exchange_and_wait(f, &second_use, "/r/barid/orders/post", "a");
	assert_int_equal(second_use.outcome, VERDICT_RAN);
	assert_int_equal(lib_target_run_count(first_use.token), 1);
	set_all_modes(f, LIB_TARGET_CLOSE, 0);
	exchange_and_wait(f, &unknown_outcome, "/r/barid/orders/post", "b");
	set_all_modes(f, LIB_TARGET_RESPOND, 0);
	retry.token = unknown_outcome.token;
	exchange_and_wait(f, &retry, "/r/barid/orders/post", "b");
	assert_int_equal(retry.outcome, VERDICT_UNKNOWN);
	assert_int_equal(retry.status, 409);
	assert_int_equal(lib_target_run_count(unknown_outcome.token), 1);
	g_free(first_use.token);
	g_free(unknown_outcome.token);
}

/* Guards against requests that a planned stop interrupts or refuses (invariant I7). */
static void test_drain_completes_requests(void **state)
{
	fixture_t *f = *state;
	exchange_t exchanges[20] = {0};
	uint64_t end_us;

	set_all_modes(f, LIB_TARGET_LATE, 300);
	for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++)
		start(f, &exchanges[i], "/r/barid/orders/x", NULL);
	end_us = clock_now_us() + 100 * US_PER_MS;
	while (clock_now_us() < end_us)
		run_loop(f);
	for (unsigned i = 0; i < IO_THREAD_COUNT; i++)
		io_thread_drain(f->threads[i]);
	wait_for_responses(f);
	wait_until_idle(f);
	for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++) {
		assert_int_equal(exchanges[i].outcome, VERDICT_RAN);
		g_free(exchanges[i].token);
	}
	stop_threads(f);
}

/*
 * Guards against a claim that stays held, or an outcome that is not recorded, when the client
 * disconnects.
 */
static void test_client_disconnects(void **state)
{
	fixture_t *f = *state;
	exchange_t exchange = {0};
	http_call_t *call;

	set_all_modes(f, LIB_TARGET_LATE, 100);
	call = start(f, &exchange, "/r/barid/orders/post", "left");
	while (lib_target_run_count(exchange.token) == 0)
		run_loop(f);
	http_call_cancel(call);
	f->pending_count--;
	while (f->claims.entries->len == 0 ||
	       ((stub_claim_t *)f->claims.entries->pdata[0])->state == STUB_HELD)
		run_loop(f);
	assert_int_equal(((stub_claim_t *)f->claims.entries->pdata[0])->state, STUB_RECORDED);
	wait_until_idle(f);
	g_free(exchange.token);
}

/*
 * Guards against sending to a target that announced another epoch, and against wrong paths or
 * headers at a target and at another entry process.
 */
static void test_stale_epoch_and_forwarding(void **state)
{
	fixture_t *f = *state;
	lib_target_t *other_entry_process = lib_target_start();
	const route_peer_t peers[] = {{.node_id = 2,
				       .data_centre = "dc2",
				       .http_address = lib_target_address(other_entry_process),
				       .up = true}};
	exchange_t refused = {0};
	exchange_t forwarded = {0};
	char *request_head;

	for (unsigned i = 0; i < TARGET_COUNT; i++)
		set_target(f, i, lib_target_address(f->targets[i]), 2);
	exchange_and_wait(f, &refused, "/r/barid/orders/x", NULL);
	assert_int_equal(refused.status, 503);
	route_table_set_peers(f->routes, peers, 1);
	lib_target_set_mode(other_entry_process, LIB_TARGET_AS_ENTRY_PROCESS, 0);
	exchange_and_wait(f, &forwarded, "/r/barid/orders/x?q=1", NULL);
	assert_int_equal(forwarded.outcome, VERDICT_RAN);
	request_head = lib_target_last_request_head(other_entry_process);
	assert_non_null(strstr(request_head, "POST /r/barid/orders/x?q=1 HTTP"));
	assert_non_null(strstr(request_head, "Lavenderpass-Forwarded: 1"));
	g_free(request_head);
	announce(f, 0, clock_now_us() + 60 * US_PER_S, 2);
	g_free(forwarded.token);
	forwarded.token = NULL;
	exchange_and_wait(f, &forwarded, "/r/barid/orders/y?q=2", NULL);
	request_head = lib_target_last_request_head(f->targets[0]);
	assert_non_null(strstr(request_head, "POST /y?q=2 HTTP"));
	assert_non_null(strstr(request_head, "Lavenderpass-Epoch: 2\r\n"));
	assert_null(strstr(request_head, "Lavenderpass-Epoch: 99"));
	g_free(request_head);
	g_free(refused.token);
	g_free(forwarded.token);
	lib_target_stop(other_entry_process);
}

/*
 * Guards against running requests without an idempotency key or a class, or with a path that a
 * target may resolve differently.
 */
static void test_invalid_requests_are_not_run(void **state)
{
	static const struct {
		const char *path;
		unsigned status;
	} cases[] = {
		{"/r/barid/orders/post", 400},
		{"/r/barid/orders/x/../post", 400},
		{"/r/barid/orders/x%2fpost", 400},
		{"/r/barid/orders//post", 400},
		{"/r/barid/orders/%2e%2e/x", 400},
		{"/r/barid/nothing/x", 404},
		{"/r/barid/orders", 400},
		{"/r/bar%69d/orders/x", 400},
		{"/r/barid/orders/x/%2e/post", 400},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		exchange_t exchange = {0};

		exchange_and_wait(f, &exchange, cases[i].path, NULL);
		assert_int_equal(exchange.status, cases[i].status);
		assert_int_equal(exchange.outcome, VERDICT_NOT_RUN);
		g_free(exchange.token);
	}
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_outcomes_match_what_targets_ran),
		CASE(test_outcome_of_each_target_fault),
		CASE(test_repeated_idempotency_keys),
		CASE(test_drain_completes_requests),
		CASE(test_client_disconnects),
		CASE(test_stale_epoch_and_forwarding),
		CASE(test_invalid_requests_are_not_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
