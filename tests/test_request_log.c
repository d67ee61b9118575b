#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "request_log.h"

static void add_entry(request_log_t *log, unsigned number, unsigned status)
{
	request_log_entry_t entry = {.outcome = VERDICT_RAN, .status = status};

	g_snprintf(entry.id, sizeof(entry.id), "request-%u", number);
	request_log_add(log, &entry);
}

/* Guards against finding an overwritten or older entry after the ring buffer has wrapped. */
static void test_latest_requests_are_found(void **state)
{
	request_log_t log;
	request_log_entry_t entry;

	request_log_init(&log);
	assert_false(request_log_find(&log, "request-1", &entry));
	for (unsigned i = 1; i <= REQUEST_LOG_ENTRIES + 10; i++)
		add_entry(&log, i, 200);
	assert_false(request_log_find(&log, "request-10", &entry));
	assert_true(request_log_find(&log, "request-11", &entry));
	assert_true(request_log_find(&log, "request-4106", &entry));
	add_entry(&log, 50, 503);
	assert_true(request_log_find(&log, "request-50", &entry));
	assert_int_equal(entry.status, 503);
	request_log_finish(&log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_latest_requests_are_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
