#include "capacity.h"

#include <math.h>

#include "clock.h"

#define REPORT_VALID_US (5 * US_PER_S)
/*
 * Time constant of the smoothed demand. It is longer than a surge of a few seconds, so that such a
 * surge does not count as lasting high demand, nor the quiet time between two surges as lasting low
 * demand.
 */
#define SMOOTHING_TIME_CONSTANT_US (20 * US_PER_S)
#define MEAN_TIME_CONSTANT_US (300 * US_PER_S)
/* Length of a time slice. The lowest and highest smoothed demand are stored per slice. */
#define SLICE_US (5 * US_PER_S)
#define SUSTAINED_SLICES (CAPACITY_SUSTAINED_WINDOW_US / SLICE_US)
#define SURPLUS_SLICES (CAPACITY_SURPLUS_WINDOW_US / SLICE_US)

typedef struct {
	uint32_t slots;
	uint64_t reported_us;
} node_load_t;

typedef struct {
	GHashTable *by_node; /* node id -> node_load_t */
	uint64_t first_sample_us;
	double smoothed;
	double mean;
	double slice_min[SURPLUS_SLICES];
	double slice_max[SURPLUS_SLICES];
	/*
	 * Number of the current slice, counted from time 0. Slice n is stored in slice_min and
	 * slice_max at index n modulo SURPLUS_SLICES.
	 */
	uint64_t current_slice;
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
	capacity->last_sample_us = 0;
}

void capacity_finish(capacity_t *capacity)
{
	g_hash_table_unref(capacity->by_pool);
}

static pool_load_t *get_load(capacity_t *capacity, const char *org, const char *pool)
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
		pool_load_t *load = get_load(capacity, pool->organisation, pool->pool);
		node_load_t *node = g_new0(node_load_t, 1);

		node->slots = pool->in_flight + pool->queued;
		node->reported_us = now_us;
		g_hash_table_replace(load->by_node, GUINT_TO_POINTER(node_id), node);
	}
}

static double current_slots(const pool_load_t *load, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;
	double slots = 0;

	g_hash_table_iter_init(&iter, load->by_node);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const node_load_t *node = value;

		if (now_us <= node->reported_us + REPORT_VALID_US)
			slots += node->slots;
	}
	return slots;
}

static void start_averages(pool_load_t *load, double slots, uint64_t now_us)
{
	load->first_sample_us = now_us;
	load->smoothed = slots;
	load->mean = slots;
	load->current_slice = now_us / SLICE_US;
	load->slice_min[load->current_slice % SURPLUS_SLICES] = slots;
	load->slice_max[load->current_slice % SURPLUS_SLICES] = slots;
}

static void start_slices(pool_load_t *load, uint64_t slice)
{
	uint64_t first = load->current_slice + 1;

	/*
	 * After a gap longer than the surplus window, only the slices of that window need to be
	 * written.
	 */
	if (slice > SURPLUS_SLICES)
		first = MAX(first, slice - SURPLUS_SLICES + 1);
	for (uint64_t s = first; s <= slice; s++) {
		load->slice_min[s % SURPLUS_SLICES] = load->smoothed;
		load->slice_max[s % SURPLUS_SLICES] = load->smoothed;
	}
	load->current_slice = MAX(load->current_slice, slice);
}

static void sample_pool(pool_load_t *load, uint64_t elapsed_us, uint64_t now_us)
{
	double slots = current_slots(load, now_us);
	size_t index;

	if (load->first_sample_us == 0) {
		start_averages(load, slots, now_us);
		return;
	}
	load->smoothed += (slots - load->smoothed) *
			  -expm1(-(double)elapsed_us / (double)SMOOTHING_TIME_CONSTANT_US);
	load->mean +=
		(slots - load->mean) * -expm1(-(double)elapsed_us / (double)MEAN_TIME_CONSTANT_US);
	start_slices(load, now_us / SLICE_US);
	index = load->current_slice % SURPLUS_SLICES;
	load->slice_min[index] = MIN(load->slice_min[index], load->smoothed);
	load->slice_max[index] = MAX(load->slice_max[index], load->smoothed);
}

void capacity_sample(capacity_t *capacity, uint64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, capacity->by_pool);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sample_pool(value, now_us - capacity->last_sample_us, now_us);
	capacity->last_sample_us = now_us;
}

static pool_demand_t make_demand(const pool_load_t *load, const fleet_pool_t *pool, uint64_t now_us)
{
	pool_demand_t demand = {.pool = pool, .slots_mean = load->mean};
	uint64_t observed_us = now_us - load->first_sample_us;

	demand.slots_sustained = load->smoothed;
	demand.slots_peak = load->smoothed;
	for (uint64_t i = 0; i < SUSTAINED_SLICES && i <= load->current_slice; i++)
		demand.slots_sustained =
			MIN(demand.slots_sustained,
			    load->slice_min[(load->current_slice - i) % SURPLUS_SLICES]);
	for (uint64_t i = 0; i < SURPLUS_SLICES && i <= load->current_slice; i++)
		demand.slots_peak =
			MAX(demand.slots_peak,
			    load->slice_max[(load->current_slice - i) % SURPLUS_SLICES]);
	/*
	 * Until a whole surplus window has been observed, an infinite peak prevents VMs from being
	 * moved away.
	 */
	if (observed_us < CAPACITY_SURPLUS_WINDOW_US)
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
			if (load != NULL && load->first_sample_us != 0 &&
			    now_us >= load->first_sample_us + CAPACITY_SUSTAINED_WINDOW_US) {
				pool_demand_t demand = make_demand(load, pool, now_us);

				g_array_append_val(demands, demand);
			}
		}
	}
	return demands;
}
