#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "batch_admit.h"
#include "batch_leader.h"
#include "clock.h"

#define CLIENTS 1000

static batch_admission_t admit_at(batch_admit_t *admit, uint64_t lag_ms, uint64_t oldest_ms,
				  uint32_t remaining_ms)
{
	batch_admit_input_t input = {
		.lag_us = lag_ms * US_PER_MS,
		.oldest_us = oldest_ms * US_PER_MS,
		.remaining_ms = remaining_ms,
	};

	return batch_admit(admit, &input);
}

/* Guards against a leader that takes jobs whose clients have left before they are committed. */
static void test_job_without_time_to_commit_is_refused(void **state)
{
	batch_admit_t admit = {0};

	assert_true(admit_at(&admit, 0, 25, 200).accept);
	assert_false(admit_at(&admit, 100, 150, 200).accept);
	assert_true(admit_at(&admit, 100, 150, 2850).accept);
	assert_true(admit_at(&admit, 100, 150, 0).accept);
}

/* Guards against a leader that is behind and takes ever more jobs, and against refusals that come
 * and go with each commit. */
static void test_leader_behind_refuses_until_it_has_caught_up(void **state)
{
	batch_admit_t admit = {0};

	assert_true(admit_at(&admit, 0, 700, 2850).accept);
	assert_false(admit_at(&admit, 500, 400, 2850).accept);
	assert_false(admit_at(&admit, 0, 700, 2850).accept);
	assert_false(admit_at(&admit, 0, 400, 2850).accept);
	assert_true(admit_at(&admit, 0, 200, 2850).accept);
	assert_true(admit_at(&admit, 0, 700, 2850).accept);
}

/* Guards against refused clients that all return at the same time, or before the delay is over. */
static void test_refused_clients_return_spread(void **state)
{
	unsigned by_second[16] = {0};

	for (unsigned i = 0; i < CLIENTS; i++) {
		g_autofree char *id = g_strdup_printf("%016x", i * 2654435761U);

		by_second[batch_admit_retry_after_s(1500, g_str_hash(id))]++;
	}
	for (unsigned second = 0; second < G_N_ELEMENTS(by_second); second++) {
		if (second >= 2 && second <= 5)
			assert_in_range(by_second[second], CLIENTS / 6, CLIENTS / 3);
		else
			assert_int_equal(by_second[second], 0);
	}
	assert_in_range(batch_admit_retry_after_s(60000, UINT32_MAX), 5, 15);
	assert_in_range(batch_admit_retry_after_s(0, 1), 1, 2);
}

/* --- lag of the leader --- */

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
		cmocka_unit_test(test_job_without_time_to_commit_is_refused),
		cmocka_unit_test(test_leader_behind_refuses_until_it_has_caught_up),
		cmocka_unit_test(test_refused_clients_return_spread),
		cmocka_unit_test(test_reelected_leader_starts_without_lag),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
