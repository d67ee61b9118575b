#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "clock.h"
#include "retry.h"
#include "router.h"
#include "slots.h"

#define TARGETS 10
#define SEEDS 20

typedef struct {
	router_target_t targets[TARGETS];
	router_candidate_t candidates[TARGETS];
	size_t count;
	GRand *random;
	uint64_t now_us;
} pool_t;

typedef struct {
	unsigned target;
	bool is_probe;
} attempt_t;

static void pool_init(pool_t *pool, size_t count, guint32 seed)
{
	*pool = (pool_t){.count = count, .random = g_rand_new_with_seed(seed), .now_us = 1};
	for (size_t i = 0; i < count; i++)
		pool->candidates[i] =
			(router_candidate_t){.target = &pool->targets[i], .free = true};
}

static int choose(pool_t *pool)
{
	return router_choose(pool->candidates, pool->count, US_PER_S, 0, pool->now_us,
			     pool->random);
}

static void finish(pool_t *pool, const attempt_t *attempt, router_result_t result)
{
	router_finish(&pool->targets[attempt->target], pool->candidates, pool->count,
		      attempt->is_probe, result, 1000, pool->now_us);
}

static unsigned count_ejected(const pool_t *pool)
{
	unsigned ejected = 0;

	for (size_t i = 0; i < pool->count; i++)
		ejected += pool->targets[i].ejected;
	return ejected;
}

/*
 * Guards against ejecting more than half of a pool, against a second probe request to an ejected
 * target while the first is in progress, and against requests to a target without a free slot.
 */
static void test_ejection_limits_under_random_results(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		pool_t pool;
		GArray *open_attempts = g_array_new(FALSE, FALSE, sizeof(attempt_t));

		pool_init(&pool, 1 + seed % TARGETS, seed);
		for (unsigned step = 0; step < 5000; step++) {
			int chosen;

			pool.now_us += (uint64_t)g_rand_int_range(pool.random, 0, 200000);
			for (size_t i = 0; i < pool.count; i++)
				pool.candidates[i].free = g_rand_boolean(pool.random);
			chosen = choose(&pool);
			if (chosen >= 0) {
				attempt_t attempt = {.target = (unsigned)chosen};
				const router_target_t *target = &pool.targets[chosen];

				assert_true(pool.candidates[chosen].free);
				assert_false(target->ejected && target->probing);
				attempt.is_probe = router_start(&pool.targets[chosen], pool.now_us);
				g_array_append_val(open_attempts, attempt);
			}
			while (open_attempts->len > 0 && g_rand_boolean(pool.random)) {
				attempt_t attempt = g_array_index(open_attempts, attempt_t, 0);

				g_array_remove_index(open_attempts, 0);
				finish(&pool, &attempt,
				       (router_result_t)g_rand_int_range(pool.random, 0, 4));
			}
			assert_true(count_ejected(&pool) <= pool.count / 2);
		}
		g_array_unref(open_attempts);
		g_rand_free(pool.random);
	}
}

/*
 * Guards against a target that attracts requests because it fails fast, and against one that gets
 * no requests after it has recovered.
 */
static void test_failing_target_is_ejected_and_returns(void **state)
{
	pool_t pool;
	unsigned to_failing = 0;
	unsigned after_recovery = 0;

	pool_init(&pool, 8, 1);
	for (unsigned i = 0; i < 40000; i++) {
		attempt_t attempt = {.target = (unsigned)choose(&pool)};
		bool failing = attempt.target == 0 && i < 20000;

		attempt.is_probe = router_start(&pool.targets[attempt.target], pool.now_us);
		pool.now_us += 1000;
		finish(&pool, &attempt, failing ? ROUTER_FAILED : ROUTER_OK);
		to_failing += failing;
		after_recovery += attempt.target == 0 && i >= 30000;
	}
	assert_in_range(to_failing, 1, 20);
	assert_true(after_recovery > 500);
	g_rand_free(pool.random);
}

/* Guards against processes' shares that add up to more or fewer slots than the target has. */
static void test_slot_shares_add_up_to_total(void **state)
{
	for (unsigned total = 0; total <= 64; total++) {
		for (unsigned count = 1; count <= 9; count++) {
			uint32_t sum = 0;

			for (unsigned position = 0; position < count; position++)
				sum += slots_process_share(total, position, count, total * 7);
			assert_int_equal(sum, total);
		}
	}
}

/* Guards against a process that takes more slots than its share while the share changes. */
static void test_slots_stay_within_share(void **state)
{
	GRand *random = g_rand_new_with_seed(1);
	slots_t slots = {0};

	for (uint64_t now_us = 0; now_us < 2000 * US_PER_S; now_us += 10 * US_PER_MS) {
		uint32_t in_use_before = slots.in_use;

		switch (g_rand_int_range(random, 0, 6)) {
		case 0:
			slots_set(&slots, 8, 64, 0, (unsigned)g_rand_int_range(random, 1, 9), 0);
			break;
		case 1:
			if (slots.in_use > 0)
				slots_release(&slots);
			break;
		case 2:
			slots_refused(&slots, now_us);
			break;
		default:
			if (slots_take(&slots, now_us))
				assert_true(slots.in_use + slots.withheld <= slots.share);
			else
				assert_int_equal(slots.in_use, in_use_before);
			break;
		}
	}
	g_rand_free(random);
}

/* Guards against more retries than a tenth of the requests during an outage. */
static void test_retry_budget_bounds_amplification(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		retry_budget_t budget;
		unsigned requests = 0;
		unsigned retries = 0;

		retry_budget_init(&budget);
		for (unsigned step = 0; step < 20000; step++) {
			if (g_rand_boolean(random)) {
				retry_budget_add_request(&budget);
				requests++;
			} else {
				retries += retry_budget_take(&budget);
			}
			assert_true(retries <= 1 + requests / 10.0);
		}
		assert_true(retries > requests / 11);
		g_rand_free(random);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejection_limits_under_random_results),
		cmocka_unit_test(test_failing_target_is_ejected_and_returns),
		cmocka_unit_test(test_slot_shares_add_up_to_total),
		cmocka_unit_test(test_slots_stay_within_share),
		cmocka_unit_test(test_retry_budget_bounds_amplification),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
