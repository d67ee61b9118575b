#pragma once

#include <stdatomic.h>
#include <stdint.h>

/**
 * @file
 * Histogram of durations with logarithmic buckets. The upper bounds of the buckets range from 1 µs
 * to 100 s, each 5% above the previous one. Durations are recorded atomically, from any thread.
 */

/* The range from 1 to 1e8 µs takes ln(1e8) / ln(1.05) = 377.5 buckets; the last bucket is for
 * longer durations. */
#define HISTOGRAM_BUCKETS 379

typedef struct {
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS];
	_Atomic uint64_t sum_us;
} histogram_t;

void histogram_record(histogram_t *histogram, uint64_t us);
uint64_t histogram_count(const histogram_t *histogram);
/**
 * Estimates a quantile of the recorded durations.
 * @param quantile 0 to 1
 * @return upper bound, in µs, of the bucket that contains the quantile; 0 when nothing was recorded
 */
uint64_t histogram_quantile(const histogram_t *histogram, double quantile);
