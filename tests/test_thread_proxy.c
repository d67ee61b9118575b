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

#define THREADS 2
#define TARGETS 4

static uint16_t port;

/* --- stub of the claims: one replica that always has its majority --- */

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
	GPtrArray *all; /* stub_claim_t; the claim id is the index */
};

void claims_acquire(claims_t *claims, const char *key, const char *home, uint64_t now_us,
		    claims_done_fn done, void *arg)
{
	stub_claim_t *claim;

	for (guint i = 0; i < claims->all->len; i++) {
		claim = claims->all->pdata[i];
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
	g_ptr_array_add(claims->all, claim);
	done(arg, CLAIMS_GRANTED, claims->all->len - 1, NULL);
}

static stub_claim_t *end_claim(claims_t *claims, uint64_t id, stub_state_t state)
{
	stub_claim_t *claim = claims->all->pdata[id];

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

void claims_finish_run(claims_t *claims, uint64_t claim, const Lp__Outcome *outcome,
		       uint64_t now_us, void (*done)(void *arg), void *arg)
{
	stub_claim_t *ended = end_claim(claims, claim, STUB_RECORDED);

	lp__outcome__init(&ended->outcome);
	ended->outcome.status = outcome->status;
	ended->outcome.content_type = g_strdup(outcome->content_type);
	ended->outcome.body.data = g_memdup2(outcome->body.data, outcome->body.len);
	ended->outcome.body.len = outcome->body.len;
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

/* --- fixture: this thread is the control thread and the client --- */

typedef struct {
	struct tevent_context *ev;
	mailbox_t control;
	claims_t claims;
	metrics_t *metrics;
	route_table_t *routes;
	io_thread_t *threads[THREADS];
	lib_target_t *targets[TARGETS];
	http_client_t client;
	unsigned pending;
	unsigned outcomes[3];
	GRand *random;
	unsigned next;
} fixture_t;

typedef struct {
	fixture_t *f;
	char *token;
	bool repeatable;
	unsigned status;
	verdict_t outcome;
} exchange_t;

static void on_control_request(void *arg, http_request_t *request)
{
	http_request_reply(request, 200, NULL, 0, "control", 7);
}

static void announce(fixture_t *f, unsigned i, uint64_t at_us, uint64_t epoch)
{
	char vm[16];
	route_announcement_t announcement = {.vm = vm, .at_us = at_us, .echoed_epoch = epoch};

	g_snprintf(vm, sizeof(vm), "vm%u", i);
	route_table_announce(f->routes, &announcement);
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
	Lp__RequestClass read = LP__REQUEST_CLASS__INIT;
	Lp__RequestClass post = LP__REQUEST_CLASS__INIT;
	Lp__RequestClass *classes[] = {&read, &post};
	Lp__PoolSpec pool = LP__POOL_SPEC__INIT;
	Lp__PoolSpec *pools[] = {&pool};
	Lp__Template template = LP__TEMPLATE__INIT;

	read.name = "read";
	read.path_prefix = "/";
	read.deadline_ms = 600;
	read.repeatable = true;
	read.queue_limit = queue_limit;
	post.name = "post";
	post.path_prefix = "/post";
	post.deadline_ms = 600;
	post.queue_limit = queue_limit;
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

	port = lib_port_free();
	config.server.port = port;
	f->ev = tevent_context_init(NULL);
	assert_int_equal(mailbox_init(&f->control, f->ev), 0);
	f->claims.all = g_ptr_array_new_with_free_func(stub_claim_free);
	f->metrics = metrics_create();
	f->routes = route_table_create(&routes);
	f->random = g_rand_new_with_seed(1);
	config.routes = f->routes;
	config.metrics = f->metrics;
	config.control = &f->control;
	config.claims = &f->claims;
	set_template(f, 100);
	for (unsigned i = 0; i < TARGETS; i++) {
		f->targets[i] = lib_target_start();
		set_target(f, i, lib_target_address(f->targets[i]), 1);
		announce(f, i, clock_now_us() + 60 * US_PER_S, 1);
	}
	for (unsigned i = 0; i < THREADS; i++) {
		f->threads[i] = io_thread_start(&config);
		assert_non_null(f->threads[i]);
	}
	assert_int_equal(http_client_init(&f->client, f->ev, 60), 0);
	*state = f;
	return 0;
}

static void stop_threads(fixture_t *f)
{
	for (unsigned i = 0; i < THREADS; i++) {
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
	for (unsigned i = 0; i < TARGETS; i++)
		lib_target_stop(f->targets[i]);
	route_table_destroy(f->routes);
	metrics_destroy(f->metrics);
	g_ptr_array_unref(f->claims.all);
	g_rand_free(f->random);
	talloc_free(f->ev);
	g_free(f);
	return 0;
}

/* Every answer is held against what the stand-ins ran (I3, I4, I5). */
static void on_answer(void *arg, const http_call_result_t *result)
{
	exchange_t *exchange = arg;
	const char *word = http_call_header(result, "Lavenderpass-Outcome");
	unsigned count = lib_target_runs(exchange->token);

	exchange->f->pending--;
	if (!result->complete)
		fail_msg("no answer: %s", result->error);
	assert_non_null(word);
	assert_int_equal(verdict_parse(word, &exchange->outcome), 0);
	assert_non_null(http_call_header(result, "Lavenderpass-Request-Id"));
	assert_null(http_call_header(result, "X-Hop"));
	exchange->status = result->status;
	exchange->f->outcomes[exchange->outcome]++;
	if (exchange->outcome == VERDICT_NOT_RUN)
		assert_int_equal(count, 0);
	if (exchange->outcome == VERDICT_RAN) {
		char *body = g_strndup(result->body, result->body_length);
		char *expected = g_strconcat("ran:", exchange->token, NULL);

		assert_true(count >= 1);
		if (result->status == 200)
			assert_string_equal(body, expected);
		g_free(expected);
		g_free(body);
	}
	if (!exchange->repeatable)
		assert_true(count <= 1);
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
		exchange->token = g_strdup_printf("token-%u-%u", f->next++, g_random_int());
	exchange->f = f;
	exchange->repeatable = strstr(path, "/post") == NULL;
	request.body = exchange->token;
	request.body_length = strlen(exchange->token);
	f->pending++;
	call = http_client_send(&f->client, &request, on_answer, exchange);
	g_free(url);
	return call;
}

static void on_wake(struct tevent_context *ev, struct tevent_timer *te, struct timeval current,
		    void *private_data)
{
}

/* Runs the loop for at most 5 ms: what the tests wait for may happen in another thread. */
static void run_loop(fixture_t *f)
{
	tevent_add_timer(f->ev, f->ev, tevent_timeval_current_ofs(0, 5 * US_PER_MS), on_wake, NULL);
	assert_int_equal(tevent_loop_once(f->ev), 0);
}

static void wait_answers(fixture_t *f)
{
	while (f->pending > 0)
		assert_int_equal(tevent_loop_once(f->ev), 0);
}

static void wait_idle(fixture_t *f)
{
	for (unsigned i = 0; i < THREADS; i++) {
		uint64_t end_us = clock_now_us() + 3 * US_PER_S;

		while (!io_thread_idle(f->threads[i]) && clock_now_us() < end_us)
			run_loop(f);
		assert_true(io_thread_idle(f->threads[i]));
	}
}

static void exchange_one(fixture_t *f, exchange_t *exchange, const char *path, const char *key)
{
	start(f, exchange, path, key);
	wait_answers(f);
}

/* Guards against false outcomes, lost answers and second runs while targets misbehave at random. */
static void test_outcomes_are_true(void **state)
{
	fixture_t *f = *state;

	for (unsigned round = 0; round < 6; round++) {
		exchange_t exchanges[40] = {0};

		for (unsigned i = 0; i < TARGETS; i++)
			lib_target_set(f->targets[i],
				       (lib_target_mode_t)g_rand_int_range(f->random, 0,
									   LIB_TARGET_FORWARD),
				       (unsigned)g_rand_int_range(f->random, 1, 900));
		lib_target_set(f->targets[0], LIB_TARGET_ANSWER, 0);
		for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++) {
			char *key = g_strdup_printf("key-%u-%u", round, i);
			bool post = g_rand_boolean(f->random);

			start(f, &exchanges[i], post ? "/r/barid/orders/post" : "/r/barid/orders/x",
			      post ? key : NULL);
			g_free(key);
		}
		wait_answers(f);
		for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++) {
			if (exchanges[i].outcome == VERDICT_NOT_RUN)
				assert_int_equal(lib_target_runs(exchanges[i].token), 0);
			g_free(exchanges[i].token);
		}
	}
	wait_idle(f);
	assert_true(f->outcomes[VERDICT_RAN] > 60);
	for (guint i = 0; i < f->claims.all->len; i++)
		assert_int_not_equal(((stub_claim_t *)f->claims.all->pdata[i])->state, STUB_HELD);
	print_message("not-run %u, unknown %u, ran %u\n", f->outcomes[VERDICT_NOT_RUN],
		      f->outcomes[VERDICT_UNKNOWN], f->outcomes[VERDICT_RAN]);
}

static void set_all(fixture_t *f, lib_target_mode_t mode, unsigned late_ms)
{
	for (unsigned i = 0; i < TARGETS; i++)
		lib_target_set(f->targets[i], mode, late_ms);
}

/* Guards against each fault being taken for another; kinds of all targets at once. */
static void test_each_fault_has_its_outcome(void **state)
{
	static const struct {
		lib_target_mode_t mode;
		verdict_t outcome;
		unsigned status;
	} cases[] = {
		{LIB_TARGET_ANSWER, VERDICT_RAN, 200},
		{LIB_TARGET_WRONG_ID, VERDICT_UNKNOWN, 504},
		{LIB_TARGET_TRUNCATE, VERDICT_UNKNOWN, 504},
		{LIB_TARGET_CLOSE, VERDICT_UNKNOWN, 504},
		{LIB_TARGET_REFUSE, VERDICT_NOT_RUN, 503},
		{LIB_TARGET_SILENT, VERDICT_UNKNOWN, 504},
	};
	fixture_t *f = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		exchange_t post = {0};
		exchange_t read = {0};
		char key[16];

		g_snprintf(key, sizeof(key), "key%zu", i);
		set_all(f, cases[i].mode, 0);
		exchange_one(f, &post, "/r/barid/orders/post", key);
		exchange_one(f, &read, "/r/barid/orders/x", NULL);
		assert_int_equal(post.outcome, cases[i].outcome);
		assert_int_equal(post.status, cases[i].status);
		assert_int_equal(read.outcome, cases[i].outcome);
		g_free(post.token);
		g_free(read.token);
	}
}

/* Guards against a second run for a key, and against an answer other than the recorded one. */
static void test_stored_and_held_keys(void **state)
{
	fixture_t *f = *state;
	exchange_t first = {0};
	exchange_t again = {0};
	exchange_t lost = {0};
	exchange_t retried = {0};

	exchange_one(f, &first, "/r/barid/orders/post", "a");
	again.token = first.token;
	exchange_one(f, &again, "/r/barid/orders/post", "a");
	assert_int_equal(again.outcome, VERDICT_RAN);
	assert_int_equal(lib_target_runs(first.token), 1);
	set_all(f, LIB_TARGET_CLOSE, 0);
	exchange_one(f, &lost, "/r/barid/orders/post", "b");
	set_all(f, LIB_TARGET_ANSWER, 0);
	retried.token = lost.token;
	exchange_one(f, &retried, "/r/barid/orders/post", "b");
	assert_int_equal(retried.outcome, VERDICT_UNKNOWN);
	assert_int_equal(retried.status, 409);
	assert_int_equal(lib_target_runs(lost.token), 1);
	g_free(first.token);
	g_free(lost.token);
}

/* Guards against requests that are cut or refused by a planned stop (I7). */
static void test_drain_finishes_requests(void **state)
{
	fixture_t *f = *state;
	exchange_t exchanges[20] = {0};
	uint64_t end_us;

	set_all(f, LIB_TARGET_LATE, 300);
	for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++)
		start(f, &exchanges[i], "/r/barid/orders/x", NULL);
	end_us = clock_now_us() + 100 * US_PER_MS;
	while (clock_now_us() < end_us)
		run_loop(f);
	for (unsigned i = 0; i < THREADS; i++)
		io_thread_drain(f->threads[i]);
	wait_answers(f);
	wait_idle(f);
	for (unsigned i = 0; i < G_N_ELEMENTS(exchanges); i++) {
		assert_int_equal(exchanges[i].outcome, VERDICT_RAN);
		g_free(exchanges[i].token);
	}
	stop_threads(f);
}

/* Guards against a claim that stays held, or a run without a record, when the client leaves. */
static void test_client_leaves(void **state)
{
	fixture_t *f = *state;
	exchange_t exchange = {0};
	http_call_t *call;

	set_all(f, LIB_TARGET_LATE, 100);
	call = start(f, &exchange, "/r/barid/orders/post", "left");
	while (lib_target_runs(exchange.token) == 0)
		run_loop(f);
	http_call_cancel(call);
	f->pending--;
	while (f->claims.all->len == 0 ||
	       ((stub_claim_t *)f->claims.all->pdata[0])->state == STUB_HELD)
		run_loop(f);
	assert_int_equal(((stub_claim_t *)f->claims.all->pdata[0])->state, STUB_RECORDED);
	wait_idle(f);
	g_free(exchange.token);
}

/* Guards against sending on an expired lease or to another epoch, and against a second hop. */
static void test_lease_epoch_and_forwarding(void **state)
{
	fixture_t *f = *state;
	lib_target_t *peer = lib_target_start();
	const route_peer_t peers[] = {{.node_id = 2,
				       .data_centre = "dc2",
				       .http_address = lib_target_address(peer),
				       .up = true}};
	exchange_t refused = {0};
	exchange_t forwarded = {0};
	char *head;

	for (unsigned i = 0; i < TARGETS; i++)
		set_target(f, i, lib_target_address(f->targets[i]), 2);
	exchange_one(f, &refused, "/r/barid/orders/x", NULL);
	assert_int_equal(refused.status, 503);
	route_table_set_peers(f->routes, peers, 1);
	lib_target_set(peer, LIB_TARGET_FORWARD, 0);
	exchange_one(f, &forwarded, "/r/barid/orders/x?q=1", NULL);
	assert_int_equal(forwarded.outcome, VERDICT_RAN);
	head = lib_target_head(peer);
	assert_non_null(strstr(head, "POST /r/barid/orders/x?q=1 HTTP"));
	assert_non_null(strstr(head, "Lavenderpass-Forwarded: 1"));
	g_free(head);
	announce(f, 0, clock_now_us() + 60 * US_PER_S, 2);
	g_free(forwarded.token);
	forwarded.token = NULL;
	exchange_one(f, &forwarded, "/r/barid/orders/y?q=2", NULL);
	head = lib_target_head(f->targets[0]);
	assert_non_null(strstr(head, "POST /y?q=2 HTTP"));
	assert_non_null(strstr(head, "Lavenderpass-Epoch: 2\r\n"));
	assert_null(strstr(head, "Lavenderpass-Epoch: 99"));
	g_free(head);
	g_free(refused.token);
	g_free(forwarded.token);
	lib_target_stop(peer);
}

/* Guards against running what has no key, no class, or a path that a target may read differently.
 */
static void test_bad_requests_are_not_run(void **state)
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

		exchange_one(f, &exchange, cases[i].path, NULL);
		assert_int_equal(exchange.status, cases[i].status);
		assert_int_equal(exchange.outcome, VERDICT_NOT_RUN);
		g_free(exchange.token);
	}
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_outcomes_are_true),
		CASE(test_each_fault_has_its_outcome),
		CASE(test_stored_and_held_keys),
		CASE(test_drain_finishes_requests),
		CASE(test_client_leaves),
		CASE(test_lease_epoch_and_forwarding),
		CASE(test_bad_requests_are_not_run),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
