#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "admission.h"
#include "clock.h"

#define CLASSES 3
#define ENTRIES 200

typedef struct {
	admission_t admission;
	admission_class_t classes[CLASSES];
	admission_entry_t entries[ENTRIES];
	admission_class_t *class_of[ENTRIES];
} fixture_t;

static void init(fixture_t *f, uint32_t limit)
{
	*f = (fixture_t){0};
	admission_init(&f->admission);
	for (unsigned i = 0; i < CLASSES; i++)
		admission_add_class(&f->admission, &f->classes[i], i, limit);
}

static admission_result_t offer(fixture_t *f, unsigned i, unsigned class, uint64_t time_limit_us,
				uint32_t free_slots, uint64_t now_us)
{
	f->class_of[i] = &f->classes[class];
	f->entries[i].time_limit_us = time_limit_us;
	f->entries[i].deadline_us = now_us + time_limit_us;
	return admission_offer(&f->admission, &f->classes[class], &f->entries[i], 8, free_slots,
			       now_us);
}

/*
 * Guards against queues that exceed their limit, requests that get lost, and requests that are
 * started after their deadline.
 */
static void test_queues_stay_consistent_under_random_operations(void **state)
{
	for (guint32 seed = 1; seed <= 20; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		uint64_t now_us = 1;
		unsigned queued = 0;
		fixture_t f;

		init(&f, 30);
		for (unsigned step = 0; step < 20000; step++) {
			unsigned i = (unsigned)g_rand_int_range(random, 0, ENTRIES);
			unsigned class = (unsigned)g_rand_int_range(random, 0, CLASSES);
			admission_entry_t *entry = &f.entries[i];
			bool late;

			now_us += (uint64_t)g_rand_int_range(random, 0, 3000);
			switch (g_rand_int_range(random, 0, 6)) {
			case 0:
				entry = admission_next(&f.admission, now_us, &late);
				queued -= entry != NULL;
				assert_true(entry == NULL || late || now_us <= entry->deadline_us);
				break;
			case 1:
				admission_record_service_time(
					&f.classes[class],
					(uint64_t)g_rand_int_range(random, 1, 50000));
				break;
			case 2:
				if (entry->queued) {
					admission_remove(&f.admission, f.class_of[i], entry);
					queued--;
				}
				break;
			case 3:
				while (admission_take_late(&f.admission, now_us) != NULL)
					queued--;
				break;
			default:
				if (!entry->queued &&
				    offer(&f, i, class, 100000, 0, now_us) == ADMISSION_QUEUED)
					queued++;
				break;
			}
			assert_int_equal(f.admission.length, queued);
			assert_true(f.classes[class].length <= 30);
		}
		g_rand_free(random);
	}
}

/* Guards against a class that gets more or less slot time than its priority gives it. */
static void test_slot_time_follows_priority(void **state)
{
	static const uint64_t service_us[CLASSES] = {9000, 1000, 4000};
	double used_us[CLASSES] = {0};
	fixture_t f;
	bool late;

	init(&f, ENTRIES);
	for (unsigned i = 0; i < CLASSES; i++)
		f.classes[i].service_us = (double)service_us[i];
	/*
	 * With a free slot for each request, requests are served at once; no class may accumulate a
	 * deficit that it could use later under load.
	 */
	for (unsigned i = 0; i < 300; i++) {
		offer(&f, 0, i % CLASSES, 3600 * US_PER_S, ENTRIES, 1);
		admission_next(&f.admission, 1, &late);
	}
	for (unsigned i = 0; i < ENTRIES; i++)
		offer(&f, i, i % CLASSES, 3600 * US_PER_S, ENTRIES, 1);
	for (unsigned step = 0; step < 3000; step++) {
		admission_entry_t *entry = admission_next(&f.admission, 1, &late);
		unsigned i = (unsigned)(entry - f.entries);

		used_us[f.class_of[i] - f.classes] += (double)service_us[f.class_of[i] - f.classes];
		offer(&f, i, (unsigned)(f.class_of[i] - f.classes), 3600 * US_PER_S, ENTRIES, 1);
	}
	assert_true(used_us[0] / used_us[1] > 1.9 && used_us[0] / used_us[1] < 2.1);
	assert_true(used_us[1] / used_us[2] > 1.9 && used_us[1] / used_us[2] < 2.1);
}

/*
 * Guards against queueing requests that cannot meet their deadline, and against refusing every
 * request once the estimated service time exceeds the deadline.
 */
static void test_late_requests_are_refused(void **state)
{
	fixture_t f;
	bool late;

	init(&f, 100);
	admission_record_service_time(&f.classes[0], 40 * US_PER_MS);
	for (unsigned i = 0; i < 8; i++)
		assert_int_equal(offer(&f, i, 0, 100 * US_PER_MS, 0, 1), ADMISSION_QUEUED);
	/*
	 * With 8 slots and 8 queued requests of 40 ms, a ninth waits 45 ms. As it takes 40 ms
	 * itself, it cannot meet its deadline of 60 ms.
	 */
	assert_int_equal(offer(&f, 8, 0, 60 * US_PER_MS, 0, 1), ADMISSION_LATE);
	init(&f, 100);
	admission_record_service_time(&f.classes[0], 900 * US_PER_MS);
	assert_int_equal(offer(&f, 0, 0, 100 * US_PER_MS, 0, 1), ADMISSION_LATE);
	assert_int_equal(offer(&f, 0, 0, 100 * US_PER_MS, 1, 1), ADMISSION_QUEUED);
	assert_non_null(admission_next(&f.admission, 1, &late));
	assert_false(late);
}

/*
 * Guards against one organisation that takes all open requests of the process, and against a quota
 * that admits more requests than its rate allows.
 */
static void test_organisation_shares_and_quotas(void **state)
{
	quota_t quota = {0};
	unsigned accepted = 0;

	assert_true(admission_share_allows(700, 700, 1000, 2));
	assert_false(admission_share_allows(760, 760, 1000, 2));
	assert_true(admission_share_allows(400, 990, 1000, 2));
	assert_false(admission_share_allows(0, 1000, 1000, 2));
	quota_set(&quota, 50, 1);
	for (uint64_t now_us = 1; now_us < 10 * US_PER_S; now_us += 1000)
		accepted += quota_take(&quota, now_us);
	assert_in_range(accepted, 540, 550);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_queues_stay_consistent_under_random_operations),
		cmocka_unit_test(test_slot_time_follows_priority),
		cmocka_unit_test(test_late_requests_are_refused),
		cmocka_unit_test(test_organisation_shares_and_quotas),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
