#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "clock.h"
#include "route_pool.h"

#define LEASE_US (4 * US_PER_S)
#define START_US (100 * US_PER_S)

static unsigned notify_count;

static void count_notify(route_ticket_t *ticket)
{
	notify_count++;
}

static void set_target(route_table_t *table, const char *pool, uint64_t epoch)
{
	const route_target_t target = {
		.vm = "vm",
		.organisation = "org",
		.pool = pool,
		.data_centre = "dc",
		.address = "10.0.0.1:80",
		.epoch = epoch,
		.routable = true,
		.slots = 2,
		.connections = 64,
	};

	route_table_set_target(table, &target);
}

static void announce(route_table_t *table, uint64_t announced_us, uint64_t epoch, bool cordoned)
{
	const route_announcement_t announcement = {.vm = "vm",
						   .announced_us = announced_us,
						   .echoed_epoch = epoch,
						   .echoed_cordoned = cordoned};

	route_table_set_announcement(table, &announcement);
}

static void set_template(route_table_t *table, bool with_class, uint32_t quota)
{
	Lp__RequestClass class = LP__REQUEST_CLASS__INIT;
	Lp__RequestClass *classes[] = {&class};
	Lp__PoolSpec pool = LP__POOL_SPEC__INIT;
	Lp__PoolSpec other_pool = LP__POOL_SPEC__INIT;
	Lp__PoolSpec *pools[] = {&pool, &other_pool};
	Lp__Quota team_quota = LP__QUOTA__INIT;
	Lp__Quota *quotas[] = {&team_quota};
	Lp__Template template = LP__TEMPLATE__INIT;

	class.name = "all";
	class.path_prefix = "/";
	class.deadline_ms = 1000;
	class.repeatable = true;
	class.queue_limit = 10;
	pool.name = "a";
	pool.classes = classes;
	pool.n_classes = with_class;
	other_pool.name = "b";
	other_pool.classes = classes;
	other_pool.n_classes = 1;
	team_quota.team = "team";
	team_quota.max_requests_per_s = quota;
	template.organisation = "org";
	template.pools = pools;
	template.n_pools = 2;
	template.quotas = quotas;
	template.n_quotas = 1;
	route_table_set_template(table, &template);
}

static int set_up(void **state)
{
	const route_table_config_t config = {
		.shard_count = 2, .data_centre = "dc", .routing_lease_us = LEASE_US, .seed = 1};
	route_table_t *table = route_table_create(&config);

	notify_count = 0;
	set_template(table, true, 2);
	set_target(table, "a", 1);
	announce(table, START_US, 1, false);
	*state = table;
	return 0;
}

static int tear_down(void **state)
{
	route_table_destroy(*state);
	return 0;
}

static route_state_t admit_request(route_table_t *table, route_ticket_t *ticket, const char *pool,
				   uint64_t now_us)
{
	*ticket = (route_ticket_t){.notify = count_notify};
	assert_int_equal(route_find_class(table, ticket, "org", pool, "/x"), ROUTE_CLASS_FOUND);
	ticket->entry.time_limit_us = US_PER_S;
	ticket->entry.deadline_us = now_us + US_PER_S;
	return route_admit(table, ticket, NULL, now_us);
}

static void finish_request(route_table_t *table, route_ticket_t *ticket, uint64_t now_us)
{
	route_finish_attempt(table, ticket, ROUTER_OK, 1000, now_us);
	route_close_request(table, ticket);
}

/*
 * Guards against sending a request to a target that became unusable after the grant: its routing
 * lease expired, it was cordoned, or it got another epoch (invariant I6).
 */
static void test_target_is_checked_before_sending(void **state)
{
	route_table_t *table = *state;
	route_ticket_t ticket;

	assert_int_equal(admit_request(table, &ticket, "a", START_US), ROUTE_GRANTED);
	assert_true(route_grant_is_valid(table, &ticket, START_US + LEASE_US));
	assert_false(route_grant_is_valid(table, &ticket, START_US + LEASE_US + 1));
	announce(table, START_US + 1, 1, true);
	assert_false(route_grant_is_valid(table, &ticket, START_US + 1));
	announce(table, START_US + 2, 0, false);
	assert_true(route_grant_is_valid(table, &ticket, START_US + 2));
	set_target(table, "a", 2);
	assert_false(route_grant_is_valid(table, &ticket, START_US + 2));
	/* An older announcement that a peer reports late must not undo the cordon. */
	announce(table, START_US + 3, 2, true);
	announce(table, START_US + 1, 2, false);
	assert_int_equal(admit_request(table, &ticket, "a", START_US + 3), ROUTE_NO_TARGET);
}

/* Guards against a VM in two pools, and use after free, when it moves with requests in flight. */
static void test_move_with_requests_in_flight(void **state)
{
	route_table_t *table = *state;
	route_ticket_t old_ticket;
	route_ticket_t new_ticket;

	assert_int_equal(admit_request(table, &old_ticket, "a", START_US), ROUTE_GRANTED);
	set_target(table, "b", 2);
	announce(table, START_US + 1, 2, false);
	assert_int_equal(admit_request(table, &new_ticket, "a", START_US + 1), ROUTE_NO_TARGET);
	route_close_request(table, &new_ticket);
	assert_int_equal(admit_request(table, &new_ticket, "b", START_US + 1), ROUTE_GRANTED);
	assert_false(route_grant_is_valid(table, &old_ticket, START_US + 1));
	finish_request(table, &old_ticket, START_US + 2);
	finish_request(table, &new_ticket, START_US + 2);
}

/*
 * Guards against requests that stay queued for ever when a slot becomes free, their deadline passes
 * or their class is removed.
 */
static void test_queued_requests_are_granted_or_refused(void **state)
{
	route_table_t *table = *state;
	route_ticket_t tickets[5];

	for (unsigned i = 0; i < 5; i++)
		assert_int_equal(admit_request(table, &tickets[i], "a", START_US),
				 i < 2 ? ROUTE_GRANTED : ROUTE_QUEUED);
	finish_request(table, &tickets[0], START_US + 1000);
	assert_int_equal(tickets[2].state, ROUTE_GRANTED);
	assert_true(route_cancel(table, &tickets[3]));
	assert_false(route_cancel(table, &tickets[2]));
	route_tick(table, START_US + US_PER_S + 1);
	assert_int_equal(tickets[4].state, ROUTE_TOO_LATE);
	assert_int_equal(notify_count, 2);
	assert_int_equal(admit_request(table, &tickets[4], "a", START_US + 2000), ROUTE_QUEUED);
	set_template(table, false, 2);
	assert_int_equal(tickets[4].state, ROUTE_REMOVED);
	assert_int_equal(notify_count, 3);
	assert_int_equal(route_find_class(table, &tickets[4], "org", "a", "/x"),
			 ROUTE_UNKNOWN_CLASS);
}

/* Guards against ejecting a healthy target because of attempts that ended early at the deadline. */
static void test_attempts_cut_by_the_deadline_do_not_eject(void **state)
{
	route_table_t *table = *state;
	route_ticket_t ticket;

	assert_int_equal(admit_request(table, &ticket, "a", START_US), ROUTE_GRANTED);
	route_finish_attempt(table, &ticket, ROUTER_OK, US_PER_S, START_US);
	for (unsigned i = 0; i < 10; i++) {
		assert_int_equal(admit_request(table, &ticket, "a", START_US), ROUTE_GRANTED);
		ticket.timed_out = true;
		route_finish_attempt(table, &ticket, ROUTER_FAILED, US_PER_MS, START_US);
		assert_false(ticket.is_probe);
	}
}

/* Guards against a quota charged by other teams, or not divided between the entry processes. */
static void test_quota_is_per_team_and_divided_between_processes(void **state)
{
	route_table_t *table = *state;
	const route_peer_t peer = {
		.node_id = 2, .data_centre = "dc2", .http_address = "10.0.0.2:80", .up = true};
	unsigned granted = 0;

	route_table_set_peers(table, &peer, 1);
	set_template(table, true, 200);
	for (unsigned i = 0; i < 400; i++) {
		uint64_t now_us = clock_now_us();
		route_ticket_t ticket = {.notify = count_notify};

		announce(table, now_us, 1, false);
		assert_int_equal(route_find_class(table, &ticket, "org", "a", "/x"),
				 ROUTE_CLASS_FOUND);
		ticket.entry.time_limit_us = US_PER_S;
		ticket.entry.deadline_us = now_us + US_PER_S;
		if (route_admit(table, &ticket, i % 2 == 0 ? "team" : "other", now_us) ==
		    ROUTE_GRANTED) {
			granted += i % 2 == 0;
			route_finish_attempt(table, &ticket, ROUTER_OK, 10, now_us);
		}
		route_close_request(table, &ticket);
	}
	/* At most as many requests are granted as the quota had tokens when the template changed,
	 * plus the tokens added during the test. */
	assert_in_range(granted, 1, 50);
}

#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		CASE(test_target_is_checked_before_sending),
		CASE(test_move_with_requests_in_flight),
		CASE(test_queued_requests_are_granted_or_refused),
		CASE(test_attempts_cut_by_the_deadline_do_not_eject),
		CASE(test_quota_is_per_team_and_divided_between_processes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
