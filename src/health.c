#include "health.h"

#include <string.h>

#include "clock.h"

/* Added to the routing lease, for the time between the check of a lease and the write of the
 * request (section 4.3). */
#define ECHO_MARGIN_US (500 * US_PER_MS)
/* A single failed request can be the request's own fault. */
#define DOUBT_FAILURES 3

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
	health->since_us = 0;
}

void health_finish(health_t *health)
{
	g_hash_table_unref(health->by_vm);
}

void health_start(health_t *health, uint64_t now_us)
{
	health->since_us = now_us;
}

static health_entry_t *entry_of(health_t *health, const char *vm)
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
	entry_of(health, vm)->failures = failures;
}

void health_forget(health_t *health, const char *vm)
{
	g_hash_table_remove(health->by_vm, vm);
}

static void note_run(const health_t *health, health_entry_t *entry, uint64_t at_us, uint64_t served)
{
	bool gap =
		entry->announced_us == 0 || at_us > entry->announced_us + health->routing_lease_us;

	/* A count that went down tells that the target restarted. */
	if (gap || served < entry->served) {
		entry->first_us = at_us;
		entry->served_base = served;
		entry->failures = 0;
	}
}

static void note_echo(health_entry_t *entry, const Lp__TargetReport *report, uint64_t at_us)
{
	bool same = entry->echoed_epoch == report->echoed_epoch &&
		    entry->echoed_cordoned == report->echoed_cordoned;

	entry->echoed_epoch = report->echoed_epoch;
	entry->echoed_cordoned = report->echoed_cordoned;
	if (!report->echoed_cordoned)
		entry->echoed_us = 0;
	else if (!same || entry->echoed_us == 0)
		entry->echoed_us = at_us;
}

void health_report(health_t *health, const Lp__TargetReport *report, uint64_t now_us)
{
	health_entry_t *entry = entry_of(health, report->vm);
	uint64_t age_us = report->age_ms * US_PER_MS;
	uint64_t at_us = now_us > age_us ? now_us - age_us : 1;

	if (health->since_us == 0)
		health->since_us = now_us;
	/* Several processes report the same target; an older announcement changes nothing. */
	if (at_us < entry->announced_us)
		return;
	note_run(health, entry, at_us, report->served);
	note_echo(entry, report, at_us);
	entry->announced_us = at_us;
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
	uint64_t heard_us =
		entry != NULL ? MAX(entry->announced_us, health->since_us) : health->since_us;

	if (heard_us == 0)
		return HEALTH_NEVER;
	if (now_us > heard_us + health->lost_us)
		return HEALTH_SILENT;
	if (entry == NULL || entry->announced_us == 0)
		return HEALTH_NEVER;
	if (now_us > entry->announced_us + health->routing_lease_us || entry->leaving ||
	    entry->failures >= DOUBT_FAILURES)
		return HEALTH_DOUBT;
	return HEALTH_SERVING;
}

bool health_quiesced_by_echo(const health_t *health, const char *vm, uint64_t epoch,
			     uint64_t now_us)
{
	const health_entry_t *entry = health_find(health, vm);

	return entry != NULL && entry->echoed_cordoned && entry->echoed_epoch == epoch &&
	       entry->echoed_us != 0 &&
	       now_us >= entry->echoed_us + health->routing_lease_us + ECHO_MARGIN_US;
}
