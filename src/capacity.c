#include "capacity.h"

#include <math.h>

#include "clock.h"

#define REPORT_VALID_US (5 * US_PER_S)
/* The smoothing is longer than a surge of some seconds, so that neither a surge nor the quiet time
 * between surges is taken for lasting demand. */
#define SMOOTH_US (20 * US_PER_S)
#define MEAN_US (300 * US_PER_S)
/* The lowest and highest values are kept per slice of the windows. */
#define SLICE_US (5 * US_PER_S)
#define SUSTAIN_SLICES (CAPACITY_SUSTAIN_US / SLICE_US)
#define SURPLUS_SLICES (CAPACITY_SURPLUS_US / SLICE_US)

typedef struct {
	uint32_t slots;
	uint64_t at_us;
} node_load_t;

typedef struct {
	GHashTable *by_node; /* node id to node_load_t */
	uint64_t started_us;
	double smooth;
	double mean;
	double low[SURPLUS_SLICES];
	double high[SURPLUS_SLICES];
	uint64_t slice; /* number of the current slice */
} pool_load_t;

static void pool_load_free(void *data)
{
	pool_load_t *load = data;

	g_hash_table_unref(load->by_node);
	g_free(load);
}

void capacity_init(capacity_t *capacity)
{
	capacity->by_pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_load_free);
	capacity->sampled_us = 0;
}

void capacity_finish(capacity_t *capacity)
{
	g_hash_table_unref(capacity->by_pool);
}

static pool_load_t *load_of(capacity_t *capacity, const char *org, const char *pool)
{
	char *key = g_strdup_printf("%s/%s", org, pool);
	pool_load_t *load = g_hash_table_lookup(capacity->by_pool, key);

	if (load != NULL) {
		g_free(key);
		return load;
	}
	load = g_new0(pool_load_t, 1);
	load->by_node = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	g_hash_table_insert(capacity->by_pool, key, load);
	return load;
}

void capacity_report(capacity_t *capacity, uint32_t node_id, const Lp__LoadReport *report,
		     uint64_t now_us)
{
	for (size_t i = 0; i < report->n_pools; i++) {
		const Lp__PoolLoad *pool = report->pools[i];
		pool_load_t *load = load_of(capacity, pool->organisation, pool->pool);
		node_load_t *node = g_new0(node_load_t, 1);

		node->slots = pool->in_flight + pool->queued;
		node->at_us = now_us;
		g_hash_table_replace(load->by_node, GUINT_TO_POINTER(node_id), node);
	}
}

static double slots_now(const pool_load_t *load, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;
	double slots = 0;

	g_hash_table_iter_init(&iter, load->by_node);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_load_t *node = value;

		if (now_us <= node->at_us + REPORT_VALID_US)
			slots += node->slots;
	}
	return slots;
}

static void start_load(pool_load_t *load, double slots, uint64_t now_us)
{
	load->started_us = now_us;
	load->smooth = slots;
	load->mean = slots;
	load->slice = now_us / SLICE_US;
	load->low[load->slice % SURPLUS_SLICES] = slots;
	load->high[load->slice % SURPLUS_SLICES] = slots;
}

static void open_slices(pool_load_t *load, uint64_t slice)
{
	uint64_t first = load->slice + 1;

	/* After a long gap only the slices of the window are of interest. */
	if (slice > SURPLUS_SLICES)
		first = MAX(first, slice - SURPLUS_SLICES + 1);
	for (uint64_t s = first; s <= slice; s++) {
		load->low[s % SURPLUS_SLICES] = load->smooth;
		load->high[s % SURPLUS_SLICES] = load->smooth;
	}
	load->slice = MAX(load->slice, slice);
}

static void sample(pool_load_t *load, uint64_t elapsed_us, uint64_t now_us)
{
	double slots = slots_now(load, now_us);
	size_t at;

	if (load->started_us == 0) {
		start_load(load, slots, now_us);
		return;
	}
	load->smooth += (slots - load->smooth) * -expm1(-(double)elapsed_us / (double)SMOOTH_US);
	load->mean += (slots - load->mean) * -expm1(-(double)elapsed_us / (double)MEAN_US);
	open_slices(load, now_us / SLICE_US);
	at = load->slice % SURPLUS_SLICES;
	load->low[at] = MIN(load->low[at], load->smooth);
	load->high[at] = MAX(load->high[at], load->smooth);
}

void capacity_sample(capacity_t *capacity, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, capacity->by_pool);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sample(value, now_us - capacity->sampled_us, now_us);
	capacity->sampled_us = now_us;
}

static pool_demand_t demand_of(const pool_load_t *load, const fleet_pool_t *pool, uint64_t now_us)
{
	pool_demand_t demand = {.pool = pool, .slots_mean = load->mean};
	uint64_t observed_us = now_us - load->started_us;

	demand.slots_sustained = load->smooth;
	demand.slots_peak = load->smooth;
	for (uint64_t i = 0; i < SUSTAIN_SLICES && i <= load->slice; i++)
		demand.slots_sustained =
			MIN(demand.slots_sustained, load->low[(load->slice - i) % SURPLUS_SLICES]);
	for (uint64_t i = 0; i < SURPLUS_SLICES && i <= load->slice; i++)
		demand.slots_peak =
			MAX(demand.slots_peak, load->high[(load->slice - i) % SURPLUS_SLICES]);
	/* Surplus is not known before a whole period has been observed. */
	if (observed_us < CAPACITY_SURPLUS_US)
		demand.slots_peak = INFINITY;
	return demand;
}

GArray *capacity_demands(const capacity_t *capacity, const fleet_t *fleet, uint64_t now_us)
{
	GArray *demands = g_array_new(FALSE, FALSE, sizeof(pool_demand_t));
	const fleet_org_t *org;
	const fleet_pool_t *pool;

	TAILQ_FOREACH (org, &fleet->orgs, link) {
		TAILQ_FOREACH (pool, &org->pools, link) {
			char *key = g_strdup_printf("%s/%s", org->name, pool->name);
			const pool_load_t *load = g_hash_table_lookup(capacity->by_pool, key);

			g_free(key);
			if (load != NULL && load->started_us != 0 &&
			    now_us >= load->started_us + CAPACITY_SUSTAIN_US) {
				pool_demand_t demand = demand_of(load, pool, now_us);

				g_array_append_val(demands, demand);
			}
		}
	}
	return demands;
}
