#include "histogram.h"

#include <math.h>

#define LN_BUCKET_RATIO                                                                    \
	0.04879016416943204 /* ln(1.05): each bucket's upper bound is 5% above that of the \
			       previous bucket */

/* Returns the index of the bucket for a duration. The last bucket also takes all longer
 * durations. */
static unsigned bucket_index(uint64_t us)
{
	double bucket;

	if (us <= 1)
		return 0;
	bucket = ceil(log((double)us) / LN_BUCKET_RATIO);
	return bucket < HISTOGRAM_BUCKETS - 1 ? (unsigned)bucket : HISTOGRAM_BUCKETS - 1;
}

void histogram_record(histogram_t *histogram, uint64_t us)
{
	atomic_fetch_add_explicit(&histogram->counts[bucket_index(us)], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_us, us, memory_order_relaxed);
}

uint64_t histogram_count(const histogram_t *histogram)
{
	uint64_t count = 0;

	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
		count += atomic_load_explicit(&histogram->counts[i], memory_order_relaxed);
	return count;
}

uint64_t histogram_quantile(const histogram_t *histogram, double quantile)
{
	uint64_t count = histogram_count(histogram);
	uint64_t rank = (uint64_t)ceil(quantile * (double)count);
	uint64_t cumulative = 0;

	if (count == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += atomic_load_explicit(&histogram->counts[i], memory_order_relaxed);
		if (cumulative >= rank)
			return (uint64_t)ceil(exp(LN_BUCKET_RATIO * i));
	}
	return (uint64_t)ceil(exp(LN_BUCKET_RATIO * (HISTOGRAM_BUCKETS - 1)));
}
