#include "health.h"

#include <string.h>

#include "clock.h"

/*
 * Added to the routing lease in health_cordon_in_effect(). It covers the time between an entry
 * process's check of the lease and its sending of the request to the target.
 */
#define CORDON_ECHO_MARGIN_US (500 * US_PER_MS)
/*
 * A target is suspect from this number of consecutive failures on. A single failure may be the
 * fault of the request.
 */
#define SUSPECT_FAILURES 3

static void entry_free(void *data)
{
	health_entry_t *entry = data;

	g_free(entry->vm);
	g_free(entry->image);
	g_free(entry);
}

void health_init(health_t *health, uint64_t routing_lease_us, uint64_t lost_us)
{
	health->by_vm = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	health->routing_lease_us = routing_lease_us;
	health->lost_us = lost_us;
	health->view_started_us = 0;
}

void health_finish(health_t *health)
{
	g_hash_table_unref(health->by_vm);
}

void health_start(health_t *health, uint64_t now_us)
{
	health->view_started_us = now_us;
}

static health_entry_t *get_entry(health_t *health, const char *vm)
{
	health_entry_t *entry = g_hash_table_lookup(health->by_vm, vm);

	if (entry == NULL) {
		entry = g_new0(health_entry_t, 1);
		entry->vm = g_strdup(vm);
		entry->image = g_strdup("");
		g_hash_table_insert(health->by_vm, entry->vm, entry);
	}
	return entry;
}

void health_set_failures(health_t *health, const char *vm, uint32_t failures)
{
	get_entry(health, vm)->failures = failures;
}

void health_remove(health_t *health, const char *vm)
{
	g_hash_table_remove(health->by_vm, vm);
}

static void update_run(const health_t *health, health_entry_t *entry, uint64_t announcement_us,
		       uint64_t served)
{
	bool had_gap = entry->announced_us == 0 ||
		       announcement_us > entry->announced_us + health->routing_lease_us;

	/* A served count lower than before shows that the target restarted. */
	if (had_gap || served < entry->served) {
		entry->run_started_us = announcement_us;
		entry->served_at_run_start = served;
		entry->failures = 0;
	}
}

static void update_echo(health_entry_t *entry, const Lp__TargetReport *report,
			uint64_t announcement_us)
{
	bool is_same_echo = entry->echoed_epoch == report->echoed_epoch &&
			    entry->echoed_cordoned == report->echoed_cordoned;

	entry->echoed_epoch = report->echoed_epoch;
	entry->echoed_cordoned = report->echoed_cordoned;
	if (!report->echoed_cordoned)
		entry->cordon_echoed_us = 0;
	else if (!is_same_echo || entry->cordon_echoed_us == 0)
		entry->cordon_echoed_us = announcement_us;
}

void health_report(health_t *health, const Lp__TargetReport *report, uint64_t now_us)
{
	health_entry_t *entry = get_entry(health, report->vm);
	uint64_t age_us = report->age_ms * US_PER_MS;
	uint64_t announcement_us = now_us > age_us ? now_us - age_us : 1;

	if (health->view_started_us == 0)
		health->view_started_us = now_us;
	/*
	 * Several processes report the same target, so a report of an older announcement can arrive
	 * late; it is ignored.
	 */
	if (announcement_us < entry->announced_us)
		return;
	update_run(health, entry, announcement_us, report->served);
	update_echo(entry, report, announcement_us);
	entry->announced_us = announcement_us;
	entry->leaving = report->leaving;
	entry->in_flight = report->in_flight;
	entry->served = report->served;
	if (report->reg != NULL && strcmp(entry->image, report->reg->image) != 0) {
		g_free(entry->image);
		entry->image = g_strdup(report->reg->image);
	}
}

const health_entry_t *health_find(const health_t *health, const char *vm)
{
	return g_hash_table_lookup(health->by_vm, vm);
}

health_state_t health_state(const health_t *health, const char *vm, uint64_t now_us)
{
	const health_entry_t *entry = health_find(health, vm);
	uint64_t last_heard_us = entry != NULL ? MAX(entry->announced_us, health->view_started_us)
					       : health->view_started_us;

	if (last_heard_us == 0)
		return HEALTH_NEVER_ANNOUNCED;
	if (now_us > last_heard_us + health->lost_us)
		return HEALTH_SILENT;
	if (entry == NULL || entry->announced_us == 0)
		return HEALTH_NEVER_ANNOUNCED;
	if (now_us > entry->announced_us + health->routing_lease_us || entry->leaving ||
	    entry->failures >= SUSPECT_FAILURES)
		return HEALTH_SUSPECT;
	return HEALTH_SERVING;
}

bool health_cordon_in_effect(const health_t *health, const char *vm, uint64_t epoch,
			     uint64_t now_us)
{
	const health_entry_t *entry = health_find(health, vm);

	return entry != NULL && entry->echoed_cordoned && entry->echoed_epoch == epoch &&
	       entry->cordon_echoed_us != 0 &&
	       now_us >= entry->cordon_echoed_us + health->routing_lease_us + CORDON_ECHO_MARGIN_US;
}
