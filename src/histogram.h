#pragma once

#include <stdatomic.h>
#include <stdint.h>

/**
 * @file
 * Histogram of microseconds with logarithmic buckets, 1 µs to 100 s, each 5% wide. Recording is
 * atomic and allowed from any thread.
 */

/* ln(1e8) / ln(1.05) is 377.5; one bucket more takes what is longer than 100 s. */
#define HISTOGRAM_BUCKETS 379

typedef struct {
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS];
	_Atomic uint64_t sum_us;
} histogram_t;

void histogram_record(histogram_t *histogram, uint64_t us);
uint64_t histogram_count(const histogram_t *histogram);
/** @param quantile 0 to 1 @return upper edge of the bucket in µs; 0 when empty */
uint64_t histogram_quantile(const histogram_t *histogram, double quantile);
