#include "route_table.h"

#include <string.h>

#include "clock.h"
#include "route_internal.h"

#define DEFAULT_OPEN_LIMIT 2000

/* --- table --- */

static void target_free(route_target_entry_t *target)
{
	g_free(target->vm);
	g_free(target->address);
	g_free(target);
}

static void class_free(void *data)
{
	route_class_t *class = data;

	g_free(class->name);
	g_free(class->prefix);
	g_free(class);
}

static void pool_free(void *data)
{
	route_pool_t *pool = data;

	for (guint i = 0; i < pool->targets->len; i++)
		target_free(pool->targets->pdata[i]);
	g_ptr_array_unref(pool->targets);
	g_ptr_array_unref(pool->classes);
	g_rand_free(pool->random);
	g_free(pool->candidates);
	g_free(pool->name);
	g_free(pool);
}

static void org_free(void *data)
{
	route_org_t *org = data;

	g_hash_table_destroy(org->quotas);
	g_free(org->name);
	g_free(org);
}

route_table_t *route_table_create(const route_table_config_t *config)
{
	route_table_t *table = g_new0(route_table_t, 1);

	table->config = *config;
	if (table->config.open_limit == 0)
		table->config.open_limit = DEFAULT_OPEN_LIMIT;
	table->config.shard_count = MAX(config->shard_count, 1);
	table->data_centre = g_strdup(config->data_centre);
	table->config.data_centre = table->data_centre;
	table->process_count = 1;
	pthread_mutex_init(&table->lock, NULL);
	table->orgs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, org_free);
	table->targets_by_vm = g_hash_table_new(g_str_hash, g_str_equal);
	table->peer_addresses = g_ptr_array_new_with_free_func(g_free);
	table->shards = g_new0(route_shard_t, table->config.shard_count);
	for (unsigned i = 0; i < table->config.shard_count; i++) {
		pthread_mutex_init(&table->shards[i].lock, NULL);
		table->shards[i].pools =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
	}
	return table;
}

void route_table_destroy(route_table_t *table)
{
	if (table == NULL)
		return;
	for (unsigned i = 0; i < table->config.shard_count; i++) {
		g_hash_table_destroy(table->shards[i].pools);
		pthread_mutex_destroy(&table->shards[i].lock);
	}
	g_hash_table_destroy(table->targets_by_vm);
	g_hash_table_destroy(table->orgs);
	g_ptr_array_unref(table->peer_addresses);
	pthread_mutex_destroy(&table->lock);
	g_free(table->shards);
	g_free(table->data_centre);
	g_free(table);
}

static char *pool_key(const char *organisation, const char *name)
{
	return g_strconcat(organisation, "/", name, NULL);
}

static route_shard_t *shard_of_key(route_table_t *table, const char *key)
{
	return &table->shards[g_str_hash(key) % table->config.shard_count];
}

route_pool_t *route_pool_find(route_table_t *table, const char *organisation, const char *name)
{
	char *key = pool_key(organisation, name);
	route_shard_t *shard = shard_of_key(table, key);
	route_pool_t *pool;

	pthread_mutex_lock(&shard->lock);
	pool = g_hash_table_lookup(shard->pools, key);
	pthread_mutex_unlock(&shard->lock);
	g_free(key);
	return pool;
}

/* The caller must hold the table's lock. */
static route_org_t *org_find_or_add(route_table_t *table, const char *name)
{
	route_org_t *org = g_hash_table_lookup(table->orgs, name);

	if (org != NULL)
		return org;
	org = g_new0(route_org_t, 1);
	org->name = g_strdup(name);
	org->quotas = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(table->orgs, org->name, org);
	return org;
}

/* The caller must hold the table's lock. */
static route_pool_t *pool_find_or_add(route_table_t *table, const char *organisation,
				      const char *name)
{
	route_pool_t *pool = route_pool_find(table, organisation, name);
	char *key;

	if (pool != NULL)
		return pool;
	key = pool_key(organisation, name);
	pool = g_new0(route_pool_t, 1);
	pool->shard = shard_of_key(table, key);
	pool->org = org_find_or_add(table, organisation);
	pool->name = g_strdup(name);
	pool->targets = g_ptr_array_new();
	pool->classes = g_ptr_array_new_with_free_func(class_free);
	pool->random = g_rand_new_with_seed((guint32)(table->config.seed ^ g_str_hash(key)));
	admission_init(&pool->admission);
	retry_budget_init(&pool->retry_budget);
	pthread_mutex_lock(&pool->shard->lock);
	g_hash_table_insert(pool->shard->pools, key, pool);
	pthread_mutex_unlock(&pool->shard->lock);
	return pool;
}

/* --- templates --- */

static route_class_t *class_find_or_add(route_pool_t *pool, const char *name)
{
	route_class_t *class;

	for (guint i = 0; i < pool->classes->len; i++) {
		class = pool->classes->pdata[i];
		if (strcmp(class->name, name) == 0)
			return class;
	}
	class = g_new0(route_class_t, 1);
	class->name = g_strdup(name);
	class->timeout_factor = ROUTE_TIMEOUT_FACTOR_MIN;
	g_ptr_array_add(pool->classes, class);
	admission_add_class(&pool->admission, &class->admission, 0, 0);
	return class;
}

static void set_class(route_pool_t *pool, const Lp__RequestClass *spec)
{
	route_class_t *class = class_find_or_add(pool, spec->name);

	g_free(class->prefix);
	class->prefix = g_strdup(spec->path_prefix);
	class->deadline_ms = spec->deadline_ms;
	class->repeatable = spec->repeatable;
	class->retired = false;
	admission_set_class(&class->admission, spec->priority, spec->queue_limit);
}

/* The caller must hold the lock of the pool's shard. */
static void retire_classes(route_pool_t *pool)
{
	for (guint i = 0; i < pool->classes->len; i++)
		((route_class_t *)pool->classes->pdata[i])->retired = true;
}

static void refuse_retired_classes(route_pool_t *pool)
{
	for (guint i = 0; i < pool->classes->len; i++) {
		route_class_t *class = pool->classes->pdata[i];

		if (class->retired)
			route_refuse_queued(pool, class);
	}
}

static void set_pool(route_table_t *table, const char *organisation, const Lp__PoolSpec *spec)
{
	route_pool_t *pool = pool_find_or_add(table, organisation, spec->name);

	pthread_mutex_lock(&pool->shard->lock);
	pool->in_template = true;
	retire_classes(pool);
	for (size_t i = 0; i < spec->n_classes; i++)
		set_class(pool, spec->classes[i]);
	refuse_retired_classes(pool);
	pthread_mutex_unlock(&pool->shard->lock);
}

static bool template_has_pool(const Lp__Template *template, const char *name)
{
	for (size_t i = 0; i < template->n_pools; i++) {
		if (strcmp(template->pools[i]->name, name) == 0)
			return true;
	}
	return false;
}

/* Refuses the queued requests of those pools of the template's organisation that the template no
 * longer has. */
static void remove_missing_pools(route_table_t *table, const Lp__Template *template)
{
	for (unsigned i = 0; i < table->config.shard_count; i++) {
		route_shard_t *shard = &table->shards[i];
		GHashTableIter iter;
		void *value;

		pthread_mutex_lock(&shard->lock);
		g_hash_table_iter_init(&iter, shard->pools);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			route_pool_t *pool = value;

			if (strcmp(pool->org->name, template->organisation) != 0 ||
			    template_has_pool(template, pool->name))
				continue;
			pool->in_template = false;
			retire_classes(pool);
			refuse_retired_classes(pool);
		}
		pthread_mutex_unlock(&shard->lock);
	}
}

/*
 * Returns this process's part of a quota. A quota holds for all entry processes together, among
 * which the load balancer distributes the requests evenly.
 */
static double process_rate_per_s(const route_table_t *table, uint32_t rate_per_s)
{
	return (double)rate_per_s / (table->process_count + table->peer_addresses->len);
}

static void set_quotas(route_table_t *table, route_org_t *org, const Lp__Template *template)
{
	GHashTable *old_quotas = org->quotas;
	uint64_t now_us = clock_now_us();

	org->quotas = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < template->n_quotas; i++) {
		const Lp__Quota *spec = template->quotas[i];
		const route_quota_t *previous = g_hash_table_lookup(old_quotas, spec->team);
		route_quota_t *quota = g_new0(route_quota_t, 1);

		if (previous != NULL)
			*quota = *previous;
		quota->max_requests_per_s = spec->max_requests_per_s;
		quota_set(&quota->bucket, process_rate_per_s(table, spec->max_requests_per_s),
			  now_us);
		g_hash_table_replace(org->quotas, g_strdup(spec->team), quota);
	}
	g_hash_table_destroy(old_quotas);
}

void route_table_set_template(route_table_t *table, const Lp__Template *template)
{
	route_org_t *org;

	pthread_mutex_lock(&table->lock);
	org = org_find_or_add(table, template->organisation);
	if (!org->has_template)
		table->org_count++;
	org->has_template = true;
	set_quotas(table, org, template);
	for (size_t i = 0; i < template->n_pools; i++)
		set_pool(table, template->organisation, template->pools[i]);
	remove_missing_pools(table, template);
	pthread_mutex_unlock(&table->lock);
}

/* --- targets --- */

/* The caller must hold the table's lock and the lock of the target's shard. */
static void set_slot_share(const route_table_t *table, route_target_entry_t *target)
{
	slots_set(&target->slots, target->slot_limit, target->connection_limit,
		  table->process_index, table->process_count, g_str_hash(target->vm));
}

void route_target_free_if_idle(route_target_entry_t *target)
{
	if (!target->removed || target->router.in_flight > 0)
		return;
	g_ptr_array_remove_fast(target->pool->targets, target);
	target_free(target);
}

/* The caller must hold the table's lock. */
static void remove_entry(route_table_t *table, route_target_entry_t *target)
{
	pthread_mutex_t *lock = &target->pool->shard->lock;

	g_hash_table_remove(table->targets_by_vm, target->vm);
	pthread_mutex_lock(lock);
	target->removed = true;
	route_target_free_if_idle(target);
	pthread_mutex_unlock(lock);
}

/* The caller must hold the table's lock. */
static route_target_entry_t *add_entry(route_table_t *table, route_pool_t *pool, const char *vm)
{
	route_target_entry_t *target = g_new0(route_target_entry_t, 1);

	target->pool = pool;
	target->vm = g_strdup(vm);
	g_hash_table_insert(table->targets_by_vm, target->vm, target);
	pthread_mutex_lock(&pool->shard->lock);
	g_ptr_array_add(pool->targets, target);
	pthread_mutex_unlock(&pool->shard->lock);
	return target;
}

static void copy_announcement(route_target_entry_t *to, const route_announcement_t *from)
{
	to->announced_us = from->announced_us;
	to->echoed_epoch = from->echoed_epoch;
	to->echoed_cordoned = from->echoed_cordoned;
	to->leaving = from->leaving;
}

void route_table_set_target(route_table_t *table, const route_target_t *target)
{
	route_announcement_t announcement = {0};
	route_target_entry_t *entry;
	route_pool_t *pool;

	if (strcmp(target->data_centre, table->data_centre) != 0) {
		route_table_remove_target(table, target->vm);
		return;
	}
	pthread_mutex_lock(&table->lock);
	pool = pool_find_or_add(table, target->organisation, target->pool);
	entry = g_hash_table_lookup(table->targets_by_vm, target->vm);
	if (entry != NULL && entry->pool != pool) {
		announcement = (route_announcement_t){
			.announced_us = entry->announced_us,
			.echoed_epoch = entry->echoed_epoch,
			.echoed_cordoned = entry->echoed_cordoned,
			.leaving = entry->leaving,
		};
		remove_entry(table, entry);
		entry = NULL;
	}
	if (entry == NULL) {
		entry = add_entry(table, pool, target->vm);
		copy_announcement(entry, &announcement);
	}
	pthread_mutex_lock(&pool->shard->lock);
	if (entry->address == NULL || strcmp(entry->address, target->address) != 0) {
		g_free(entry->address);
		entry->address = g_strdup(target->address);
	}
	entry->epoch = target->epoch;
	entry->routable = target->routable;
	entry->slot_limit = target->slots;
	entry->connection_limit = target->connections;
	set_slot_share(table, entry);
	pthread_mutex_unlock(&pool->shard->lock);
	pthread_mutex_unlock(&table->lock);
}

void route_table_remove_target(route_table_t *table, const char *vm)
{
	route_target_entry_t *target;

	pthread_mutex_lock(&table->lock);
	target = g_hash_table_lookup(table->targets_by_vm, vm);
	if (target != NULL)
		remove_entry(table, target);
	pthread_mutex_unlock(&table->lock);
}

void route_table_set_announcement(route_table_t *table, const route_announcement_t *announcement)
{
	route_target_entry_t *target;

	pthread_mutex_lock(&table->lock);
	target = g_hash_table_lookup(table->targets_by_vm, announcement->vm);
	if (target != NULL) {
		pthread_mutex_lock(&target->pool->shard->lock);
		/* A peer can report an announcement after a later one of the same target has
		 * arrived here. */
		if (announcement->announced_us >= target->announced_us)
			copy_announcement(target, announcement);
		pthread_mutex_unlock(&target->pool->shard->lock);
	}
	pthread_mutex_unlock(&table->lock);
}

/* --- other entry processes --- */

static void update_quotas(route_table_t *table)
{
	GHashTableIter orgs;
	void *org;

	g_hash_table_iter_init(&orgs, table->orgs);
	while (g_hash_table_iter_next(&orgs, NULL, &org)) {
		GHashTableIter quotas;
		void *value;

		g_hash_table_iter_init(&quotas, ((route_org_t *)org)->quotas);
		while (g_hash_table_iter_next(&quotas, NULL, &value)) {
			route_quota_t *quota = value;

			quota_set(&quota->bucket,
				  process_rate_per_s(table, quota->max_requests_per_s),
				  clock_now_us());
		}
	}
}

void route_table_set_share(route_table_t *table, unsigned process_index, unsigned process_count)
{
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&table->lock);
	table->process_index = process_index;
	table->process_count = MAX(process_count, 1);
	g_hash_table_iter_init(&iter, table->targets_by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		route_target_entry_t *target = value;

		pthread_mutex_lock(&target->pool->shard->lock);
		set_slot_share(table, target);
		pthread_mutex_unlock(&target->pool->shard->lock);
	}
	update_quotas(table);
	pthread_mutex_unlock(&table->lock);
}

void route_table_set_peers(route_table_t *table, const route_peer_t *peers, size_t count)
{
	pthread_mutex_lock(&table->lock);
	g_ptr_array_set_size(table->peer_addresses, 0);
	for (size_t i = 0; i < count; i++) {
		if (peers[i].up && strcmp(peers[i].data_centre, table->data_centre) != 0)
			g_ptr_array_add(table->peer_addresses, g_strdup(peers[i].http_address));
	}
	update_quotas(table);
	pthread_mutex_unlock(&table->lock);
}

bool route_forward_address(route_table_t *table, char *address, size_t size)
{
	bool found;

	pthread_mutex_lock(&table->lock);
	found = table->peer_addresses->len > 0;
	if (found)
		g_strlcpy(address,
			  table->peer_addresses
				  ->pdata[table->next_peer++ % table->peer_addresses->len],
			  size);
	pthread_mutex_unlock(&table->lock);
	return found;
}

/* --- reports to the leader --- */

static void for_each_pool(route_table_t *table, void (*fn)(void *arg, const route_pool_t *pool),
			  void *arg)
{
	for (unsigned i = 0; i < table->config.shard_count; i++) {
		route_shard_t *shard = &table->shards[i];
		GHashTableIter iter;
		void *pool;

		pthread_mutex_lock(&shard->lock);
		g_hash_table_iter_init(&iter, shard->pools);
		while (g_hash_table_iter_next(&iter, NULL, &pool))
			fn(arg, pool);
		pthread_mutex_unlock(&shard->lock);
	}
}

typedef struct {
	void (*load)(void *arg, const route_load_t *load);
	void (*failures)(void *arg, const char *vm, uint32_t consecutive_failures);
	void *arg;
} report_callback_t;

static void report_load(void *arg, const route_pool_t *pool)
{
	const report_callback_t *callback = arg;
	route_load_t load = {
		.organisation = pool->org->name,
		.pool = pool->name,
		.queued = pool->admission.length,
		.offered = pool->offered,
		.refused = pool->refused,
		.service_us = (uint32_t)pool->smoothed_service_us,
	};

	for (guint i = 0; i < pool->targets->len; i++)
		load.in_flight += ((route_target_entry_t *)pool->targets->pdata[i])->slots.in_use;
	callback->load(callback->arg, &load);
}

void route_table_for_each_load(route_table_t *table,
			       void (*fn)(void *arg, const route_load_t *load), void *arg)
{
	report_callback_t callback = {.load = fn, .arg = arg};

	for_each_pool(table, report_load, &callback);
}

static void report_failures(void *arg, const route_pool_t *pool)
{
	const report_callback_t *callback = arg;

	for (guint i = 0; i < pool->targets->len; i++) {
		const route_target_entry_t *target = pool->targets->pdata[i];

		if (!target->removed)
			callback->failures(callback->arg, target->vm, target->router.failures);
	}
}

void route_table_for_each_failure_count(route_table_t *table,
					void (*fn)(void *arg, const char *vm,
						   uint32_t consecutive_failures),
					void *arg)
{
	report_callback_t callback = {.failures = fn, .arg = arg};

	for_each_pool(table, report_failures, &callback);
}
