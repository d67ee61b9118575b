#include "placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SAMPLES 32
/* A job kind's observed usage replaces the declared size from this number of observations on. */
#define MIN_OBSERVATIONS 3
/*
 * Ratios of observed to declared size are used from this number of observations on. It is higher
 * than MIN_OBSERVATIONS, because a ratio extrapolates: based on a few similar samples, it predicted
 * sizes far beyond any observed one, and jobs that would have fitted were rejected
 * (bench_placement, seed 9: 59 jobs).
 */
#define RATIO_MIN_OBSERVATIONS 8
/* Ratios are used only when the spread of the peaks exceeds that of the ratios by this factor. */
#define RATIO_SPREAD_FACTOR 1.5
/*
 * Memory is estimated as the 80th percentile of the samples plus 10%, cores as their median: a task
 * that runs out of memory ends, but one that lacks cores only runs more slowly.
 */
#define MEM_QUANTILE 0.8
#define MEM_MARGIN 1.1
#define CORES_QUANTILE 0.5

/* Samples of one resource for one job kind: peak usage, and its ratio to the declared amount. */
typedef struct {
	double peaks[MAX_SAMPLES];
	double ratios[MAX_SAMPLES];
	/*
	 * by_ratio and predicted are updated with each observation, not when they are read, since
	 * they are read much more often.
	 */
	bool by_ratio;
	/* predicted peak usage; if by_ratio is set, its ratio to the declared amount */
	double predicted;
} resource_samples_t;

typedef struct {
	resource_samples_t cores;
	resource_samples_t mem;
	unsigned observation_count; /* observations so far; the latest MAX_SAMPLES are kept */
} kind_samples_t;

bool placement_fits(const placement_resources_t *size, const placement_resources_t *available)
{
	return size->cores_milli <= available->cores_milli && size->mem_mib <= available->mem_mib &&
	       size->accelerators <= available->accelerators;
}

void placement_estimator_init(placement_estimator_t *estimator)
{
	estimator->by_kind = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void placement_estimator_finish(placement_estimator_t *estimator)
{
	g_hash_table_unref(estimator->by_kind);
}

static void add_sample(resource_samples_t *samples, unsigned index, uint32_t declared,
		       uint32_t peak)
{
	samples->peaks[index] = peak;
	samples->ratios[index] = (double)peak / MAX(declared, 1);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(const double *sorted, unsigned count, double fraction)
{
	return sorted[(unsigned)lrint(fraction * (count - 1))];
}

/*
 * Updates the prediction. Jobs of one kind use either about the same amount whatever they declare,
 * or an amount in proportion to what they declare. The prediction is based on the ratios if there
 * are at least RATIO_MIN_OBSERVATIONS and the peaks spread more than RATIO_SPREAD_FACTOR times as
 * much as the ratios, and on the peaks otherwise.
 */
static void update_prediction(resource_samples_t *samples, unsigned count, double fraction)
{
	double peaks[MAX_SAMPLES];
	double ratios[MAX_SAMPLES];
	double spread_peaks;
	double spread_ratios;

	memcpy(peaks, samples->peaks, count * sizeof(double));
	memcpy(ratios, samples->ratios, count * sizeof(double));
	qsort(peaks, count, sizeof(double), compare_doubles);
	qsort(ratios, count, sizeof(double), compare_doubles);
	spread_peaks = (quantile(peaks, count, 0.9) + 1) / (quantile(peaks, count, 0.1) + 1);
	spread_ratios =
		(quantile(ratios, count, 0.9) + 1e-6) / (quantile(ratios, count, 0.1) + 1e-6);
	samples->by_ratio = count >= RATIO_MIN_OBSERVATIONS &&
			    spread_peaks > RATIO_SPREAD_FACTOR * spread_ratios;
	samples->predicted = quantile(samples->by_ratio ? ratios : peaks, count, fraction);
}

void placement_record_usage(placement_estimator_t *estimator, const char *kind,
			    const placement_resources_t *declared,
			    const placement_resources_t *peak)
{
	kind_samples_t *entry = g_hash_table_lookup(estimator->by_kind, kind);

	if (entry == NULL) {
		entry = g_new0(kind_samples_t, 1);
		g_hash_table_insert(estimator->by_kind, g_strdup(kind), entry);
	}
	add_sample(&entry->cores, entry->observation_count % MAX_SAMPLES, declared->cores_milli,
		   peak->cores_milli);
	add_sample(&entry->mem, entry->observation_count % MAX_SAMPLES, declared->mem_mib,
		   peak->mem_mib);
	entry->observation_count++;
	update_prediction(&entry->cores, MIN(entry->observation_count, MAX_SAMPLES),
			  CORES_QUANTILE);
	update_prediction(&entry->mem, MIN(entry->observation_count, MAX_SAMPLES), MEM_QUANTILE);
}

static uint32_t predict_resource(const resource_samples_t *samples, uint32_t declared)
{
	double size = samples->predicted * (samples->by_ratio ? declared : 1);

	return (uint32_t)MIN(size, (double)UINT32_MAX / 2);
}

placement_resources_t placement_estimate_size(const placement_estimator_t *estimator,
					      const char *kind,
					      const placement_resources_t *declared, bool *observed)
{
	const kind_samples_t *entry = g_hash_table_lookup(estimator->by_kind, kind);
	bool has_enough_samples = entry != NULL && entry->observation_count >= MIN_OBSERVATIONS;
	placement_resources_t size = *declared;

	if (observed != NULL)
		*observed = has_enough_samples;
	if (has_enough_samples) {
		size.cores_milli = predict_resource(&entry->cores, declared->cores_milli);
		size.mem_mib =
			(uint32_t)(predict_resource(&entry->mem, declared->mem_mib) * MEM_MARGIN);
	}
	size.cores_milli = MAX(size.cores_milli, 1);
	size.mem_mib = MAX(size.mem_mib, 1);
	return size;
}

static uint32_t subtract_clamped(uint32_t capacity, uint32_t used)
{
	return capacity > used ? capacity - used : 0;
}

static placement_resources_t free_capacity(const placement_worker_t *worker)
{
	return (placement_resources_t){
		.cores_milli =
			subtract_clamped(worker->capacity.cores_milli, worker->used.cores_milli),
		.mem_mib = subtract_clamped(worker->capacity.mem_mib, worker->used.mem_mib),
		.accelerators =
			subtract_clamped(worker->capacity.accelerators, worker->used.accelerators),
	};
}

static double share_of(uint32_t part, uint32_t whole)
{
	return whole > 0 ? (double)part / whole : 0;
}

/*
 * Returns the capacity that remains on the worker after placing the size, as a sum of shares of its
 * capacity. Accelerators are the scarcest resource and count four times.
 */
static double leftover_share(const placement_worker_t *worker, const placement_resources_t *size)
{
	placement_resources_t available = free_capacity(worker);

	return share_of(available.cores_milli - size->cores_milli, worker->capacity.cores_milli) +
	       share_of(available.mem_mib - size->mem_mib, worker->capacity.mem_mib) +
	       4 * share_of(available.accelerators - size->accelerators,
			    worker->capacity.accelerators);
}

int placement_choose_best_fit(const placement_worker_t *workers, size_t count,
			      const placement_resources_t *size)
{
	double best_leftover = 0;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		placement_resources_t available = free_capacity(&workers[i]);
		double leftover;

		if (!workers[i].usable || workers[i].excluded || !placement_fits(size, &available))
			continue;
		leftover = leftover_share(&workers[i], size);
		if (best < 0 || leftover < best_leftover) {
			best = (int)i;
			best_leftover = leftover;
		}
	}
	return best;
}

int placement_choose_for_preemption(const placement_worker_t *workers, size_t count,
				    const placement_resources_t *size)
{
	double least_shortfall = 0;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		const placement_worker_t *worker = &workers[i];
		placement_resources_t available = free_capacity(worker);
		placement_resources_t max_available = {
			.cores_milli = available.cores_milli + worker->preemptible.cores_milli,
			.mem_mib = available.mem_mib + worker->preemptible.mem_mib,
			.accelerators = available.accelerators + worker->preemptible.accelerators,
		};
		double shortfall;

		if (!worker->usable || worker->excluded || !placement_fits(size, &max_available))
			continue;
		shortfall = share_of(subtract_clamped(size->cores_milli, available.cores_milli),
				     worker->capacity.cores_milli) +
			    share_of(subtract_clamped(size->mem_mib, available.mem_mib),
				     worker->capacity.mem_mib) +
			    share_of(subtract_clamped(size->accelerators, available.accelerators),
				     worker->capacity.accelerators);
		if (best < 0 || shortfall < least_shortfall) {
			best = (int)i;
			least_shortfall = shortfall;
		}
	}
	return best;
}

bool placement_fits_empty_worker(const placement_worker_t *workers, size_t count,
				 const placement_resources_t *size)
{
	for (size_t i = 0; i < count; i++) {
		if (placement_fits(size, &workers[i].capacity))
			return true;
	}
	return false;
}
