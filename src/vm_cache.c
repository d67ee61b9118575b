#include "vm_cache.h"

#include <string.h>

#include "message.h"

typedef struct {
	Lp__VmReportCopy *copy;
	uint64_t received_us;
} cached_report_t;

static void free_report_message(void *data)
{
	lp__vm_report_copy__free_unpacked(data, NULL);
}

static void free_cached_report(void *data)
{
	cached_report_t *cached = data;

	free_report_message(cached->copy);
	g_free(cached);
}

void vm_cache_init(vm_cache_t *cache)
{
	cache->reports = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_cached_report);
	cache->unsent = g_ptr_array_new_with_free_func(free_report_message);
}

void vm_cache_finish(vm_cache_t *cache)
{
	g_hash_table_destroy(cache->reports);
	g_ptr_array_unref(cache->unsent);
}

static bool is_outdated(const vm_cache_t *cache, const Lp__VmReportCopy *message)
{
	const cached_report_t *cached = g_hash_table_lookup(cache->reports, message->id);

	if (cached == NULL)
		return false;
	if (message->born_ms != cached->copy->born_ms)
		return message->born_ms < cached->copy->born_ms;
	return message->seq <= cached->copy->seq;
}

static void store_report(vm_cache_t *cache, Lp__VmReportCopy *copy, uint64_t now_us)
{
	cached_report_t *cached = g_new0(cached_report_t, 1);

	cached->copy = copy;
	cached->received_us = now_us;
	g_hash_table_replace(cache->reports, copy->id, cached);
}

void vm_report_to_message(Lp__VmReportCopy *copy, const vm_report_t *report)
{
	lp__vm_report_copy__init(copy);
	copy->id = (char *)report->id;
	copy->machine = (char *)report->machine;
	copy->service = (char *)report->service;
	copy->address = (char *)report->address;
	copy->data_centre = (char *)report->data_centre;
	copy->rack = (char *)report->rack;
	copy->labels = (char **)report->labels;
	copy->n_labels = report->label_count;
	copy->cpu_milli = report->cpu_milli;
	copy->mem_mib = report->mem_mib;
	copy->gpu = report->gpu;
	copy->draining = report->draining;
	copy->remaining_ms = report->remaining_ms;
	copy->warmup_ms = report->warmup_ms;
	copy->born_ms = report->born_ms;
	copy->clock_ms = report->clock_ms;
	copy->seq = report->seq;
}

void vm_cache_add(vm_cache_t *cache, const vm_report_t *report, uint64_t now_us)
{
	Lp__VmReportCopy message;

	vm_report_to_message(&message, report);
	if (is_outdated(cache, &message))
		return;
	g_ptr_array_add(cache->unsent, message_copy(&message.base));
	store_report(cache, message_copy(&message.base), now_us);
}

void vm_cache_merge(vm_cache_t *cache, const Lp__VmReportCopies *copies, uint64_t now_us)
{
	for (size_t i = 0; i < copies->n_reports; i++) {
		if (!is_outdated(cache, copies->reports[i]))
			store_report(cache, message_copy(&copies->reports[i]->base), now_us);
	}
}

void vm_cache_remove(vm_cache_t *cache, const char *vm)
{
	g_hash_table_remove(cache->reports, vm);
}

void vm_cache_get_unsent(vm_cache_t *cache, Lp__VmReportCopies *message)
{
	lp__vm_report_copies__init(message);
	message->reports = (Lp__VmReportCopy **)cache->unsent->pdata;
	message->n_reports = cache->unsent->len;
}

void vm_cache_mark_sent(vm_cache_t *cache)
{
	g_ptr_array_set_size(cache->unsent, 0);
}

void vm_report_from_message(const Lp__VmReportCopy *copy, vm_report_t *report)
{
	*report = (vm_report_t){
		.id = copy->id,
		.machine = copy->machine,
		.service = copy->service,
		.address = copy->address,
		.data_centre = copy->data_centre,
		.rack = copy->rack,
		.labels = (const char *const *)copy->labels,
		.label_count = copy->n_labels,
		.cpu_milli = copy->cpu_milli,
		.mem_mib = copy->mem_mib,
		.gpu = copy->gpu,
		.draining = copy->draining,
		.remaining_ms = copy->remaining_ms,
		.warmup_ms = copy->warmup_ms,
		.born_ms = copy->born_ms,
		.clock_ms = copy->clock_ms,
		.seq = copy->seq,
	};
}

static void call_with_report(const Lp__VmReportCopy *copy, uint64_t received_us, vm_report_fn fn,
			     void *arg)
{
	vm_report_t report;

	vm_report_from_message(copy, &report);
	fn(arg, &report, received_us);
}

static int compare_starts(const void *a, const void *b)
{
	const cached_report_t *first = *(const cached_report_t *const *)a;
	const cached_report_t *second = *(const cached_report_t *const *)b;

	return (first->copy->born_ms < second->copy->born_ms) -
	       (first->copy->born_ms > second->copy->born_ms);
}

void vm_cache_foreach(const vm_cache_t *cache, uint64_t now_us, uint64_t age_max_us,
		      vm_report_fn fn, void *arg)
{
	g_autoptr(GPtrArray) recent = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, cache->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const cached_report_t *cached = value;

		if (now_us <= cached->received_us + age_max_us)
			g_ptr_array_add(recent, value);
	}
	g_ptr_array_sort(recent, compare_starts);
	for (guint i = 0; i < recent->len; i++) {
		const cached_report_t *cached = g_ptr_array_index(recent, i);

		call_with_report(cached->copy, cached->received_us, fn, arg);
	}
}

void vm_report_message_foreach(const Lp__VmReportCopies *copies, uint64_t now_us, vm_report_fn fn,
			       void *arg)
{
	for (size_t i = 0; i < copies->n_reports; i++)
		call_with_report(copies->reports[i], now_us, fn, arg);
}
