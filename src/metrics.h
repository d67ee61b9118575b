#pragma once

#include <stdint.h>

/**
 * @file
 * Counters, gauges and latency histograms with labels, and their output in the Prometheus text
 * format. The functions may be called from any thread.
 */

struct metrics;
typedef struct metrics metrics_t;
struct metrics_counter;
typedef struct metrics_counter metrics_counter_t;
struct metrics_histogram;
typedef struct metrics_histogram metrics_histogram_t;

metrics_t *metrics_create(void);
void metrics_destroy(metrics_t *metrics);

/**
 * Finds or creates the counter with the given name and labels.
 * @param labels in Prometheus format, such as organisation="barid",class="orders"; "" for none
 * @return owned by metrics
 */
metrics_counter_t *metrics_counter(metrics_t *metrics, const char *name, const char *labels);
void metrics_add(metrics_counter_t *counter, uint64_t n);
/** Sets the value of a counter that serves as a gauge. */
void metrics_set(metrics_counter_t *counter, uint64_t value);
uint64_t metrics_get(const metrics_counter_t *counter);

/**
 * Finds or creates the histogram with the given name and labels. It records durations from 1 µs to
 * 100 s in buckets about 5% wide.
 * @param labels as for metrics_counter()
 * @return owned by metrics
 */
metrics_histogram_t *metrics_histogram(metrics_t *metrics, const char *name, const char *labels);
void metrics_record_us(metrics_histogram_t *histogram, uint64_t us);
/**
 * Estimates a quantile of the recorded durations.
 * @param quantile 0 to 1
 * @return upper bound, in µs, of the bucket that contains the quantile; 0 when nothing was recorded
 */
uint64_t metrics_quantile_us(const metrics_histogram_t *histogram, double quantile);

/**
 * Formats all metrics in the Prometheus text format.
 * @return text to be freed with free()
 */
char *metrics_render(metrics_t *metrics);
