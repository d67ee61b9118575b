#include "placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLES 32
/* From so many observations on, the declared size is no longer used. */
#define TRUSTED 3
/* A ratio extrapolates: from a few samples that happen to be alike it predicts sizes far beyond any
 * that was seen, and possible jobs were refused (bench_placement, seed 9: 59 jobs). */
#define RATIO_TRUSTED 8
#define RATIO_ADVANTAGE 1.5
/* Memory that runs out ends the task, so more of the spread is reserved than for cores, which are
 * only shared. Four fifths of the samples lie below, and a margin of a tenth is added. */
#define MEM_QUANTILE 0.8
#define MEM_MARGIN 1.1
#define CORES_QUANTILE 0.5

/* Samples of one resource: absolute values, and ratios to the declared ones. */
typedef struct {
	double values[SAMPLES];
	double ratios[SAMPLES];
	/* Computed at each observation, as estimates are wanted much more often. */
	bool by_ratio;
	double predicted; /* value or ratio */
} samples_t;

typedef struct {
	samples_t cores;
	samples_t mem;
	unsigned count; /* ever recorded; the latest SAMPLES are kept */
} kind_t;

bool placement_fits(const placement_size_t *size, const placement_size_t *room)
{
	return size->cores_milli <= room->cores_milli && size->mem_mib <= room->mem_mib &&
	       size->accelerators <= room->accelerators;
}

void placement_kinds_init(placement_kinds_t *kinds)
{
	kinds->by_kind = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void placement_kinds_finish(placement_kinds_t *kinds)
{
	g_hash_table_unref(kinds->by_kind);
}

static void add_sample(samples_t *samples, unsigned index, uint32_t declared, uint32_t peak)
{
	samples->values[index] = peak;
	samples->ratios[index] = (double)peak / MAX(declared, 1);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(const double *sorted, unsigned count, double q)
{
	return sorted[(unsigned)lrint(q * (count - 1))];
}

/*
 * The jobs of a kind are either alike, whatever is declared, or in proportion to what is declared.
 * Whichever of the two is spread less is the better predictor.
 */
static void predict(samples_t *samples, unsigned count, double q)
{
	double values[SAMPLES];
	double ratios[SAMPLES];
	double spread_values;
	double spread_ratios;

	memcpy(values, samples->values, count * sizeof(double));
	memcpy(ratios, samples->ratios, count * sizeof(double));
	qsort(values, count, sizeof(double), compare_doubles);
	qsort(ratios, count, sizeof(double), compare_doubles);
	spread_values = (quantile(values, count, 0.9) + 1) / (quantile(values, count, 0.1) + 1);
	spread_ratios =
		(quantile(ratios, count, 0.9) + 1e-6) / (quantile(ratios, count, 0.1) + 1e-6);
	samples->by_ratio =
		count >= RATIO_TRUSTED && spread_values > RATIO_ADVANTAGE * spread_ratios;
	samples->predicted = quantile(samples->by_ratio ? ratios : values, count, q);
}

void placement_observe(placement_kinds_t *kinds, const char *kind, const placement_size_t *declared,
		       const placement_size_t *peak)
{
	kind_t *entry = g_hash_table_lookup(kinds->by_kind, kind);

	if (entry == NULL) {
		entry = g_new0(kind_t, 1);
		g_hash_table_insert(kinds->by_kind, g_strdup(kind), entry);
	}
	add_sample(&entry->cores, entry->count % SAMPLES, declared->cores_milli, peak->cores_milli);
	add_sample(&entry->mem, entry->count % SAMPLES, declared->mem_mib, peak->mem_mib);
	entry->count++;
	predict(&entry->cores, MIN(entry->count, SAMPLES), CORES_QUANTILE);
	predict(&entry->mem, MIN(entry->count, SAMPLES), MEM_QUANTILE);
}

static uint32_t estimate(const samples_t *samples, uint32_t declared)
{
	double size = samples->predicted * (samples->by_ratio ? declared : 1);

	return (uint32_t)MIN(size, (double)UINT32_MAX / 2);
}

placement_size_t placement_estimate(const placement_kinds_t *kinds, const char *kind,
				    const placement_size_t *declared, bool *observed)
{
	const kind_t *entry = g_hash_table_lookup(kinds->by_kind, kind);
	bool trusted = entry != NULL && entry->count >= TRUSTED;
	placement_size_t size = *declared;

	if (observed != NULL)
		*observed = trusted;
	if (trusted) {
		size.cores_milli = estimate(&entry->cores, declared->cores_milli);
		size.mem_mib = (uint32_t)(estimate(&entry->mem, declared->mem_mib) * MEM_MARGIN);
	}
	size.cores_milli = MAX(size.cores_milli, 1);
	size.mem_mib = MAX(size.mem_mib, 1);
	return size;
}

static uint32_t left(uint32_t capacity, uint32_t used)
{
	return capacity > used ? capacity - used : 0;
}

static placement_size_t room_of(const placement_worker_t *worker)
{
	return (placement_size_t){
		.cores_milli = left(worker->capacity.cores_milli, worker->used.cores_milli),
		.mem_mib = left(worker->capacity.mem_mib, worker->used.mem_mib),
		.accelerators = left(worker->capacity.accelerators, worker->used.accelerators),
	};
}

static double share(uint32_t part, uint32_t whole)
{
	return whole > 0 ? (double)part / whole : 0;
}

/* Room that is left, as shares of the worker; accelerators are the scarcest and weigh most. */
static double room_left(const placement_worker_t *worker, const placement_size_t *size)
{
	placement_size_t room = room_of(worker);

	return share(room.cores_milli - size->cores_milli, worker->capacity.cores_milli) +
	       share(room.mem_mib - size->mem_mib, worker->capacity.mem_mib) +
	       4 * share(room.accelerators - size->accelerators, worker->capacity.accelerators);
}

int placement_choose(const placement_worker_t *workers, size_t count, const placement_size_t *size)
{
	double best_left = 0;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		placement_size_t room = room_of(&workers[i]);
		double after;

		if (!workers[i].usable || workers[i].excluded || !placement_fits(size, &room))
			continue;
		after = room_left(&workers[i], size);
		if (best < 0 || after < best_left) {
			best = (int)i;
			best_left = after;
		}
	}
	return best;
}

int placement_choose_victim(const placement_worker_t *workers, size_t count,
			    const placement_size_t *size)
{
	double least = 0;
	int best = -1;

	for (size_t i = 0; i < count; i++) {
		const placement_worker_t *worker = &workers[i];
		placement_size_t room = room_of(worker);
		placement_size_t most = {
			.cores_milli = room.cores_milli + worker->preemptible.cores_milli,
			.mem_mib = room.mem_mib + worker->preemptible.mem_mib,
			.accelerators = room.accelerators + worker->preemptible.accelerators,
		};
		double lacking;

		if (!worker->usable || worker->excluded || !placement_fits(size, &most))
			continue;
		lacking = share(left(size->cores_milli, room.cores_milli),
				worker->capacity.cores_milli) +
			  share(left(size->mem_mib, room.mem_mib), worker->capacity.mem_mib) +
			  share(left(size->accelerators, room.accelerators),
				worker->capacity.accelerators);
		if (best < 0 || lacking < least) {
			best = (int)i;
			least = lacking;
		}
	}
	return best;
}

bool placement_possible(const placement_worker_t *workers, size_t count,
			const placement_size_t *size)
{
	for (size_t i = 0; i < count; i++) {
		if (placement_fits(size, &workers[i].capacity))
			return true;
	}
	return false;
}
