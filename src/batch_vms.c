#define G_LOG_DOMAIN "batch"

#include "batch_leader_internal.h"

#include <inttypes.h>
#include <string.h>

#include "batch_suspect.h"
#include "log.h"

/* Time of a response from which on a VM counts as overloaded, in addition to the longest time that
 * it takes to stop a run. */
#define SLOW_MARGIN_US (100 * US_PER_MS)

/* @return the VM of the incarnation, which may have ended; NULL: unknown */
static leader_vm_t *find_incarnation(const batch_leader_t *leader, const char *id, uint64_t born_ms)
{
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, id);

	if (vm != NULL && vm->born_ms == born_ms)
		return vm;
	LIST_FOREACH (vm, &leader->vms, link) {
		if (vm->born_ms == born_ms && strcmp(vm->id, id) == 0)
			return vm;
	}
	return NULL;
}

static void link_record(leader_vm_t *vm, batch_vm_t *record)
{
	/* A VM that is back after it counted as ended has the runs from now on. */
	if (record->leader != NULL)
		record->leader->record = NULL;
	vm->record = record;
	vm->confirmed = true;
	record->leader = vm;
}

static void on_record_added(void *arg, batch_vm_t *record)
{
	leader_vm_t *vm = find_incarnation(arg, record->id, record->born_ms);

	if (vm != NULL)
		link_record(vm, record);
}

static void on_record_removed(void *arg, batch_vm_t *record)
{
	if (record->leader != NULL)
		record->leader->record = NULL;
	record->leader = NULL;
}

void leader_vm_set_clock(leader_vm_t *vm, uint64_t clock_ms, uint64_t now_us)
{
	if (clock_ms == 0)
		return;
	vm->vm_clock_ms = clock_ms;
	vm->clock_seen_ms = MAX(vm->clock_seen_ms, clock_ms);
	vm->vm_clock_read_us = now_us;
}

void leader_vm_read_clock(leader_vm_t *vm, const vm_reply_t *reply)
{
	/* Another incarnation has another clock. */
	if (reply->code == VM_REPLY_OTHER_INCARNATION ||
	    (reply->born_ms != 0 && reply->born_ms != vm->born_ms))
		return;
	leader_vm_set_clock(vm, reply->clock_ms, leader_now_us(vm->leader));
}

bool leader_vm_is_empty(leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);

	return vm->planned_count == 0 && vm->orphan_count == 0 &&
	       (record == NULL || record->task_count == 0);
}

uint64_t leader_vm_clock_ms(const leader_vm_t *vm, uint64_t now_us)
{
	return vm->vm_clock_read_us == 0
		       ? 0
		       : vm->vm_clock_ms + (now_us - vm->vm_clock_read_us) / US_PER_MS;
}

uint32_t leader_vm_hash(const char *vm_id)
{
	return g_str_hash(vm_id) | 1U;
}

leader_vm_t *leader_vm_of_machine(const batch_leader_t *leader, const char *machine)
{
	return g_hash_table_lookup(leader->by_machine, machine);
}

bool leader_vm_report_is_fresh(const leader_vm_t *vm, uint64_t now_us)
{
	return vm->last_report_us != 0 &&
	       now_us < vm->last_report_us + vm->leader->config.report_timeout_ms * US_PER_MS;
}

bool leader_vm_is_responsive(const leader_vm_t *vm, uint64_t now_us)
{
	return !vm->dead && !vm->unresponsive && leader_vm_report_is_fresh(vm, now_us);
}

static char *copy_or_empty(const char *text)
{
	return g_strdup(text != NULL ? text : "");
}

leader_vm_t *leader_vm_new(batch_leader_t *leader, const char *id, uint64_t born_ms,
			   const char *address)
{
	leader_vm_t *vm = g_new0(leader_vm_t, 1);
	batch_vm_t *record;

	*vm = (leader_vm_t){
		.leader = leader,
		.number = ++leader->vm_count,
		.id = copy_or_empty(id),
		.machine = copy_or_empty(""),
		.service = copy_or_empty(""),
		.address = copy_or_empty(address),
		.data_centre = copy_or_empty(""),
		.rack = copy_or_empty(""),
		.born_ms = born_ms,
		.slowness = 1.0,
		.known_since_us = leader_now_us(leader),
	};
	call_queue_init(&vm->calls, CALL_QUEUE_LEADER, NULL,
			leader->config.stop_ms * US_PER_MS + SLOW_MARGIN_US);
	LIST_INSERT_HEAD(&leader->vms, vm, link);
	g_hash_table_insert(leader->by_id, vm->id, vm);
	record = batch_state_vm(leader->state, vm->id, vm->born_ms);
	if (record != NULL)
		link_record(vm, record);
	return vm;
}

static leader_service_t *get_service(batch_leader_t *leader, const char *name)
{
	const char *key = g_intern_string(name);
	leader_service_t *service = g_hash_table_lookup(leader->services, key);

	if (service != NULL)
		return service;
	service = g_new0(leader_service_t, 1);
	LIST_INIT(&service->vms);
	g_hash_table_insert(leader->services, (char *)key, service);
	return service;
}

static void leave_service(leader_vm_t *vm)
{
	if (vm->pool != NULL)
		LIST_REMOVE(vm, service_link);
	vm->pool = NULL;
}

void leader_vm_join_service(leader_vm_t *vm)
{
	leader_service_t *service = get_service(vm->leader, vm->service);
	leader_vm_t *next = LIST_FIRST(&service->vms);
	leader_vm_t *last = NULL;

	for (; next != NULL && next->number > vm->number; next = LIST_NEXT(next, service_link))
		last = next;
	if (last != NULL)
		LIST_INSERT_AFTER(last, vm, service_link);
	else
		LIST_INSERT_HEAD(&service->vms, vm, service_link);
	vm->pool = service;
}

static void free_labels(leader_vm_t *vm)
{
	for (size_t i = 0; i < vm->label_count; i++)
		g_free(vm->labels[i]);
	g_free(vm->labels);
	vm->labels = NULL;
	vm->label_count = 0;
}

static void index_if_latest(GHashTable *table, char *key, leader_vm_t *vm)
{
	const leader_vm_t *known = g_hash_table_lookup(table, key);

	if (key[0] != '\0' && (known == NULL || known->born_ms <= vm->born_ms))
		g_hash_table_replace(table, key, vm);
}

void leader_vm_index(leader_vm_t *vm)
{
	index_if_latest(vm->leader->by_address, vm->address, vm);
	index_if_latest(vm->leader->by_machine, vm->machine, vm);
}

static void remove_from_index(GHashTable *table, const char *key, const leader_vm_t *vm)
{
	if (g_hash_table_lookup(table, key) == vm)
		g_hash_table_remove(table, key);
}

static void unindex_vm(const leader_vm_t *vm)
{
	remove_from_index(vm->leader->by_address, vm->address, vm);
	remove_from_index(vm->leader->by_machine, vm->machine, vm);
}

/* Stores the start time of an ended incarnation, so that its delayed reports are ignored. */
static void remember_ended_incarnation(const leader_vm_t *vm)
{
	const uint64_t *known_ms = g_hash_table_lookup(vm->leader->ended_incarnations, vm->id);
	uint64_t *ended_ms;

	if (known_ms != NULL && *known_ms >= vm->born_ms)
		return;
	ended_ms = g_new(uint64_t, 1);
	*ended_ms = vm->born_ms;
	g_hash_table_replace(vm->leader->ended_incarnations, g_strdup(vm->id), ended_ms);
}

void leader_vm_free(leader_vm_t *vm)
{
	batch_vm_t *record = leader_vm_record(vm);

	leader_free_calls(vm);
	if (record != NULL && record->leader == vm)
		record->leader = NULL;
	LIST_REMOVE(vm, link);
	leave_service(vm);
	remove_from_index(vm->leader->by_id, vm->id, vm);
	unindex_vm(vm);
	free_labels(vm);
	g_free(vm->id);
	g_free(vm->machine);
	g_free(vm->service);
	g_free(vm->address);
	g_free(vm->data_centre);
	g_free(vm->rack);
	g_free(vm);
}

void leader_vm_mark_dead(leader_vm_t *vm, const char *reason)
{
	char born[24];

	if (vm->dead)
		return;
	vm->dead = true;
	leave_service(vm);
	remove_from_index(vm->leader->by_id, vm->id, vm);
	unindex_vm(vm);
	if (!vm->end_unproven)
		remember_ended_incarnation(vm);
	metrics_add(vm->leader->stats.dead, 1);
	g_snprintf(born, sizeof(born), "%" PRIu64, vm->born_ms);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", vm->id, "born", born, "machine", vm->machine, "reason", reason),
		  "VM has ended");
	leader_withdraw_calls(vm, reason);
	suspect_log_crash(vm);
	leader_hand_over_runs(vm);
	leader_mark_all_runs_lost(vm, reason);
}

void leader_vm_mark_restarted(leader_vm_t *vm, uint64_t next_born_ms, const char *reason)
{
	vm->next_born_ms = next_born_ms;
	leader_vm_mark_dead(vm, reason);
}

/* @return whether the field has changed. @param value NULL: the field keeps its value */
static bool replace_string(char **field, const char *value)
{
	if (value == NULL || strcmp(*field, value) == 0)
		return false;
	g_free(*field);
	*field = g_strdup(value);
	return true;
}

void leader_vm_read_other_life(leader_vm_t *vm, const vm_reply_t *reply)
{
	batch_leader_t *leader = vm->leader;
	leader_vm_t *next;

	/* The VM became known by a report, before the request was sent. If an earlier life answers,
	 * the report was false, and the earlier one has not ended. */
	vm->end_unproven = reply->born_ms < vm->born_ms;
	if (vm->end_unproven)
		g_hash_table_remove(leader->ended_incarnations, vm->id);
	leader_vm_mark_restarted(vm, reply->born_ms, "another life of the VM answers");
	next = leader_vm_new(leader, vm->id, reply->born_ms, vm->address);
	next->confirmed = true;
	replace_string(&next->machine, vm->machine);
	leader_vm_index(next);
	leader_vm_set_clock(next, reply->clock_ms, leader_now_us(leader));
}

leader_vm_t *leader_vm_from_record(batch_leader_t *leader, batch_vm_t *record)
{
	batch_lease_limits_t limits = leader_lease_limits(leader);
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, record->id);
	leader_vm_t *added;

	if (vm != NULL && vm->born_ms > record->born_ms && vm->answered_sent_us == 0 &&
	    leader_vm_is_empty(vm)) {
		/* Only a report shows the later incarnation. Its next one challenges this VM. */
		leader_vm_free(vm);
		vm = NULL;
	}
	if (vm != NULL && vm->born_ms > record->born_ms) {
		/* A later incarnation has reported, so the incarnation of this record has ended.
		 * leader_vm_new() has put it into by_id nevertheless; put the later one back. */
		added = leader_vm_new(leader, record->id, record->born_ms, record->address);
		added->confirmed = true;
		g_hash_table_insert(leader->by_id, vm->id, vm);
		leader_vm_mark_restarted(added, vm->born_ms, "a later life of the VM has reported");
		return added;
	}
	added = leader_vm_new(leader, record->id, record->born_ms, record->address);
	added->confirmed = true;
	replace_string(&added->machine, record->machine);
	leader_vm_index(added);
	/* A lease grant of an earlier leader can still reach the VM, so assume the latest
	 * possible expiry. */
	added->lease.answered_end_us =
		leader->activated_us + limits.max_delivery_delay_us + limits.duration_us;
	return added;
}

void leader_vm_apply_report(leader_vm_t *vm, const vm_report_t *report, uint64_t now_us)
{
	bool service_changed;

	unindex_vm(vm);
	replace_string(&vm->machine, report->machine);
	service_changed = replace_string(&vm->service, report->service);
	if (vm->confirmed && (service_changed || vm->pool == NULL)) {
		leave_service(vm);
		leader_vm_join_service(vm);
	}
	replace_string(&vm->address, report->address);
	replace_string(&vm->data_centre, report->data_centre);
	replace_string(&vm->rack, report->rack);
	free_labels(vm);
	vm->labels = g_new0(char *, report->label_count + 1);
	for (size_t i = 0; i < report->label_count; i++)
		vm->labels[vm->label_count++] = g_strdup(report->labels[i]);
	vm->cpu_milli = report->cpu_milli;
	vm->mem_mib = report->mem_mib;
	vm->gpu = report->gpu;
	vm->seq = report->seq;
	/* A report that the VM sent before its maintenance can arrive up to a second after the
	 * platform's response. A report received later than that shows that the VM still runs, so
	 * uncordon it. */
	if (vm->maintenance_resent_us != 0 && now_us > vm->maintenance_resent_us + US_PER_S) {
		vm->maintenance_resent_us = 0;
		vm->cordoned = false;
	}
	vm->last_report_us = now_us;
	leader_vm_set_clock(vm, report->clock_ms, now_us);
	if (report->draining && !vm->draining)
		log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id, "service", vm->service),
			  "VM is draining");
	vm->draining = report->draining;
	vm->drain_until_us = now_us + report->remaining_ms * US_PER_MS;
}

void leader_vm_free_if_done(leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);

	if (vm->dead && vm->planned_count == 0 && (record == NULL || record->task_count == 0) &&
	    leader_now_us(vm->leader) >
		    vm->last_report_us + vm->leader->config.late_request_ms * US_PER_MS)
		leader_vm_free(vm);
}

void leader_vms_init(batch_leader_t *leader)
{
	LIST_INIT(&leader->vms);
	leader->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	leader->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	leader->by_machine = g_hash_table_new(g_str_hash, g_str_equal);
	leader->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	leader->ended_incarnations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	leader->state->vm_listener = (batch_vm_listener_t){
		.added = on_record_added, .removed = on_record_removed, .arg = leader};
}

void leader_vms_clear(batch_leader_t *leader)
{
	leader_vm_t *vm;
	leader_vm_t *next;

	for (vm = LIST_FIRST(&leader->vms); vm != NULL; vm = next) {
		next = LIST_NEXT(vm, link);
		leader_vm_free(vm);
	}
	g_hash_table_remove_all(leader->ended_incarnations);
}

void leader_vms_finish(batch_leader_t *leader)
{
	leader->state->vm_listener = (batch_vm_listener_t){0};
	g_hash_table_destroy(leader->services);
	g_hash_table_destroy(leader->by_id);
	g_hash_table_destroy(leader->by_machine);
	g_hash_table_destroy(leader->by_address);
	g_hash_table_destroy(leader->ended_incarnations);
}
