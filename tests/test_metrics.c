#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "metrics.h"

/* Guards against quantiles that are off by more than the width of a bucket. */
static void test_quantiles_are_within_a_bucket(void **state)
{
	metrics_t *metrics = metrics_create();
	metrics_histogram_t *histogram = metrics_histogram(metrics, "h", "");

	assert_int_equal(metrics_quantile_us(histogram, 0.5), 0);
	for (unsigned us = 1; us <= 100000; us++)
		metrics_record_us(histogram, us);
	for (unsigned percent = 10; percent <= 100; percent += 10) {
		uint64_t got = metrics_quantile_us(histogram, percent / 100.0);

		assert_in_range(got, percent * 1000, percent * 1051 + 1);
	}
	metrics_record_us(histogram, UINT64_MAX / 2);
	assert_true(metrics_quantile_us(histogram, 1) >= 100000000);
	metrics_destroy(metrics);
}

/* Guards against two series for the same name and labels, and against invalid output in the
 * Prometheus text format. */
static void test_series_are_found_again_and_rendered(void **state)
{
	metrics_t *metrics = metrics_create();
	char *text;

	metrics_add(metrics_counter(metrics, "c", "a=\"1\""), 2);
	metrics_add(metrics_counter(metrics, "c", "a=\"1\""), 3);
	metrics_record_us(metrics_histogram(metrics, "h", "b=\"2\""), 1);
	text = metrics_render(metrics);
	assert_non_null(strstr(text, "c{a=\"1\"} 5\n"));
	assert_non_null(strstr(text, "h{b=\"2\",quantile=\"0.99\"} 1\n"));
	assert_non_null(strstr(text, "h_count{b=\"2\"} 1\n"));
	free(text);
	metrics_destroy(metrics);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_quantiles_are_within_a_bucket),
		cmocka_unit_test(test_series_are_found_again_and_rendered),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
