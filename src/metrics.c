#include "metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "histogram.h"

struct metrics_counter {
	_Atomic uint64_t value;
};

struct metrics_histogram {
	histogram_t histogram;
};

/* A counter or histogram with one set of labels. The union is the first member, so that a pointer
 * to the counter or histogram can be cast to a pointer to the series. */
typedef struct {
	union {
		metrics_counter_t counter;
		metrics_histogram_t histogram;
	};
	char *name;
	char *labels;
	bool is_histogram;
} series_t;

struct metrics {
	pthread_mutex_t lock;
	GHashTable *by_key; /* maps "name{labels}" to series_t */
};

static void series_free(void *data)
{
	series_t *series = data;

	g_free(series->name);
	g_free(series->labels);
	g_free(series);
}

metrics_t *metrics_create(void)
{
	metrics_t *metrics = g_new0(metrics_t, 1);

	pthread_mutex_init(&metrics->lock, NULL);
	metrics->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, series_free);
	return metrics;
}

void metrics_destroy(metrics_t *metrics)
{
	if (metrics == NULL)
		return;
	g_hash_table_destroy(metrics->by_key);
	pthread_mutex_destroy(&metrics->lock);
	g_free(metrics);
}

/* Finds the series with the given name and labels, or creates it with value 0. */
static series_t *find_or_add(metrics_t *metrics, const char *name, const char *labels,
			     bool is_histogram)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	series_t *series;

	pthread_mutex_lock(&metrics->lock);
	series = g_hash_table_lookup(metrics->by_key, key);
	if (series == NULL) {
		series = g_new0(series_t, 1);
		series->name = g_strdup(name);
		series->labels = g_strdup(labels);
		series->is_histogram = is_histogram;
		g_hash_table_insert(metrics->by_key, g_steal_pointer(&key), series);
	}
	pthread_mutex_unlock(&metrics->lock);
	g_free(key);
	return series;
}

metrics_counter_t *metrics_counter(metrics_t *metrics, const char *name, const char *labels)
{
	return &find_or_add(metrics, name, labels, false)->counter;
}

void metrics_add(metrics_counter_t *counter, uint64_t n)
{
	atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

void metrics_set(metrics_counter_t *counter, uint64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

uint64_t metrics_get(const metrics_counter_t *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

metrics_histogram_t *metrics_histogram(metrics_t *metrics, const char *name, const char *labels)
{
	return &find_or_add(metrics, name, labels, true)->histogram;
}

void metrics_record_us(metrics_histogram_t *histogram, uint64_t us)
{
	histogram_record(&histogram->histogram, us);
}

uint64_t metrics_quantile_us(const metrics_histogram_t *histogram, double quantile)
{
	return histogram_quantile(&histogram->histogram, quantile);
}

static int compare_series(const void *a, const void *b)
{
	const series_t *left = *(series_t *const *)a;
	const series_t *right = *(series_t *const *)b;
	int order = strcmp(left->name, right->name);

	return order != 0 ? order : strcmp(left->labels, right->labels);
}

static void render_histogram(GString *out, const series_t *series)
{
	static const char *const quantiles[] = {"0.5", "0.9", "0.99", "0.999"};
	const histogram_t *histogram = &series->histogram.histogram;
	const char *comma = *series->labels != '\0' ? "," : "";

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(
			out, "%s{%s%squantile=\"%s\"} %" PRIu64 "\n", series->name, series->labels,
			comma, quantiles[i],
			histogram_quantile(histogram, g_ascii_strtod(quantiles[i], NULL)));
	g_string_append_printf(out, "%s_sum{%s} %" PRIu64 "\n", series->name, series->labels,
			       atomic_load(&histogram->sum_us));
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", series->name, series->labels,
			       histogram_count(histogram));
}

char *metrics_render(metrics_t *metrics)
{
	GString *out = g_string_new(NULL);
	GPtrArray *sorted_series = g_ptr_array_new();
	const char *previous_name = "";
	GHashTableIter iter;
	void *value;
	char *text;

	pthread_mutex_lock(&metrics->lock);
	g_hash_table_iter_init(&iter, metrics->by_key);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(sorted_series, value);
	pthread_mutex_unlock(&metrics->lock);
	g_ptr_array_sort(sorted_series, compare_series);
	for (guint i = 0; i < sorted_series->len; i++) {
		const series_t *series = sorted_series->pdata[i];

		if (strcmp(previous_name, series->name) != 0)
			g_string_append_printf(out, "# TYPE %s %s\n", series->name,
					       series->is_histogram ? "summary" : "untyped");
		previous_name = series->name;
		if (series->is_histogram)
			render_histogram(out, series);
		else
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n", series->name,
					       series->labels, metrics_get(&series->counter));
	}
	g_ptr_array_free(sorted_series, TRUE);
	text = strdup(out->str);
	g_string_free(out, TRUE);
	return text;
}
