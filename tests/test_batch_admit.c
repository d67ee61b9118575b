#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "batch_leader.h"
#include "clock.h"

static uint64_t leader_clock_us;

static uint64_t leader_now_us(void *arg)
{
	return leader_clock_us;
}

static uint64_t leader_wall_ms(void *arg)
{
	return leader_clock_us / US_PER_MS;
}

static void ignore_list_request(void *arg, const char *page, machine_list_fn done, void *done_arg)
{
}

static void run_leader_ms(batch_leader_t *leader, uint64_t ms, uint64_t tick_ms)
{
	uint64_t end_us = leader_clock_us + ms * US_PER_MS;

	while (leader_clock_us < end_us) {
		leader_clock_us += tick_ms * US_PER_MS;
		batch_leader_tick(leader);
	}
}

/* Guards against a leader that takes the time between two of its terms for a lag of its ticks. */
static void test_reelected_leader_starts_without_lag(void **state)
{
	batch_state_t batch_state;
	batch_leader_options_t options = {
		.config = {.report_timeout_ms = 2000, .lease_ms = 5000, .name = "core"},
		.state = &batch_state,
		.port = {.machines = ignore_list_request},
		.now_us = leader_now_us,
		.wall_ms = leader_wall_ms,
		.metrics = metrics_create(),
	};
	batch_leader_t *leader;

	leader_clock_us = US_PER_S;
	batch_state_init(&batch_state);
	leader = batch_leader_create(&options);
	batch_leader_activate(leader, 1);
	run_leader_ms(leader, 1000, 25);
	assert_int_equal(batch_leader_lag_us(leader), 0);
	run_leader_ms(leader, 500, 250);
	assert_in_range(batch_leader_lag_us(leader), 200 * US_PER_MS, 250 * US_PER_MS);
	batch_leader_deactivate(leader);
	leader_clock_us += 30 * US_PER_S;
	batch_leader_activate(leader, 3);
	run_leader_ms(leader, 100, 25);
	assert_int_equal(batch_leader_lag_us(leader), 0);
	batch_leader_destroy(leader);
	batch_state_finish(&batch_state);
	metrics_destroy(options.metrics);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reelected_leader_starts_without_lag),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
