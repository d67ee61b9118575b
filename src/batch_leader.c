#define G_LOG_DOMAIN "batch"

#include "batch_leader_internal.h"

#include <inttypes.h>
#include <string.h>

#include "batch_suspect.h"
#include "log.h"
#include "vm_evidence.h"

/* Half-life of a VM's counts of completed and failed runs, from which its health is estimated.
 * Several of the shortest tasks (0.6 s) finish in this time. */
#define HEALTH_HALF_LIFE_US (4 * US_PER_S)
/* Gap between ticks above which this process counts as overloaded. Ticks are due every 25 ms. */
#define TICK_LATE_US (40 * US_PER_MS)
/* Input delay up to which this process does not count as overloaded: the network's delay, and a few
 * ms of work in this process and the edge process. */
#define INPUT_DELAY_NORMAL_US (25 * US_PER_MS)
#define SLOW_PART_US (30 * US_PER_MS)
/* Interval between searches for replicated VM records that have no leader_vm_t. Such a record was
 * committed by a start intent of an earlier leader. This leader starts to manage its VM at most
 * this long after the commit. */
#define ADOPT_PERIOD_US (1 * US_PER_S)
/* Time without a report after which a VM that was never confirmed is forgotten; several report
 * intervals. */
#define UNCONFIRMED_KEEP_US (10 * US_PER_S)
/* Shortest interval between two log lines about foreign reports, which can come all the time. */
#define FOREIGN_LOG_PERIOD_US (10 * US_PER_S)

static void free_dead_vm(leader_vm_t *vm);

uint64_t leader_now_us(const batch_leader_t *leader)
{
	return leader->now_us(leader->arg);
}

void leader_propose(batch_leader_t *leader, Lp__BatchCommand *command, batch_proposed_fn done,
		    void *done_arg)
{
	command->term = leader->term;
	command->leader_ms = (leader_now_us(leader) - leader->activated_us) / US_PER_MS + 1;
	leader->propose(leader->arg, command, done, done_arg);
}

void vm_handle_set(vm_handle_t *handle, const leader_vm_t *vm)
{
	handle->leader = vm->leader;
	handle->generation = vm->leader->generation;
	g_strlcpy(handle->vm, vm->id, sizeof(handle->vm));
	handle->born_ms = vm->born_ms;
}

leader_vm_t *vm_handle_get(const vm_handle_t *handle)
{
	batch_leader_t *leader = handle->leader;
	leader_vm_t *vm;

	if (!leader->active || handle->generation != leader->generation)
		return NULL;
	vm = g_hash_table_lookup(leader->by_id, handle->vm);
	return vm != NULL && vm->born_ms == handle->born_ms ? vm : NULL;
}

vm_ref_t leader_vm_ref(const leader_vm_t *vm)
{
	return (vm_ref_t){.address = vm->address, .id = vm->id};
}

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

void task_id_set(task_id_t *id, const batch_task_t *task)
{
	g_strlcpy(id->job, task->step->job->spec->id, sizeof(id->job));
	id->occurrence = task->step->occurrence;
	id->step = task->step->number;
	id->index = task->index;
}

void run_label_format(char text[RUN_LABEL_MAX], const task_id_t *id, uint32_t run)
{
	g_snprintf(text, RUN_LABEL_MAX, "%u.%u.%u run %u", id->occurrence, id->step, id->index,
		   run);
}

void run_label_of_task(char text[RUN_LABEL_MAX], const batch_task_t *task)
{
	task_id_t id;

	task_id_set(&id, task);
	run_label_format(text, &id, task->run);
}

batch_task_t *leader_find_task(const batch_leader_t *leader, const task_id_t *id)
{
	batch_job_t *job = batch_state_job(leader->state, id->job);

	return job == NULL ? NULL : batch_job_task(job, id->occurrence, id->step, id->index);
}

/* --- VMs --- */

static char *copy_or_empty(const char *text)
{
	return g_strdup(text != NULL ? text : "");
}

static leader_vm_t *new_vm(batch_leader_t *leader, const char *id, uint64_t born_ms,
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

/* Adds the VM to the VMs of the service that it has reported. */
static void join_service(leader_vm_t *vm)
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

/* Adds the VM to the tables by_address and by_machine. An entry of a later incarnation is kept. */
static void index_vm(leader_vm_t *vm)
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

static void free_vm(leader_vm_t *vm)
{
	batch_vm_t *record = leader_vm_record(vm);

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
	remember_ended_incarnation(vm);
	metrics_add(vm->leader->stats.dead, 1);
	g_snprintf(born, sizeof(born), "%" PRIu64, vm->born_ms);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", vm->id, "born", born, "machine", vm->machine, "reason", reason),
		  "VM has ended");
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

void leader_vm_read_restart(leader_vm_t *vm, const vm_reply_t *reply)
{
	batch_leader_t *leader = vm->leader;
	leader_vm_t *next;

	leader_vm_mark_restarted(vm, reply->born_ms, "another life of the VM answers");
	next = new_vm(leader, vm->id, reply->born_ms, vm->address);
	next->confirmed = true;
	replace_string(&next->machine, vm->machine);
	index_vm(next);
	leader_vm_set_clock(next, reply->clock_ms, leader_now_us(leader));
}

leader_vm_t *leader_vm_from_record(batch_leader_t *leader, batch_vm_t *record)
{
	batch_lease_limits_t limits = leader_lease_limits(leader);
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, record->id);
	leader_vm_t *added;

	if (vm != NULL && vm->born_ms > record->born_ms) {
		/* A later incarnation has reported, so the incarnation of this record has ended.
		 * new_vm() has put it into by_id nevertheless; put the later one back. */
		added = new_vm(leader, record->id, record->born_ms, record->address);
		added->confirmed = true;
		g_hash_table_insert(leader->by_id, vm->id, vm);
		leader_vm_mark_restarted(added, vm->born_ms, "a later life of the VM has reported");
		return added;
	}
	added = new_vm(leader, record->id, record->born_ms, record->address);
	added->confirmed = true;
	replace_string(&added->machine, record->machine);
	index_vm(added);
	/* A lease grant of an earlier leader can still reach the VM, so assume the latest
	 * possible expiry. */
	added->lease.answered_end_us =
		leader->activated_us + limits.max_delivery_delay_us + limits.duration_us;
	return added;
}

static void apply_report(leader_vm_t *vm, const vm_report_t *report, uint64_t now_us)
{
	bool service_changed;

	unindex_vm(vm);
	replace_string(&vm->machine, report->machine);
	service_changed = replace_string(&vm->service, report->service);
	if (vm->confirmed && (service_changed || vm->pool == NULL)) {
		leave_service(vm);
		join_service(vm);
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

static void mark_predecessor_dead(const leader_vm_t *latest, leader_vm_t *vm)
{
	if (vm != NULL && vm != latest && !vm->dead && vm->born_ms < latest->born_ms)
		leader_vm_mark_dead(vm, "its machine or address has a later VM");
}

/* Marks earlier VMs with the same machine or address as dead. */
static void mark_predecessors_dead(batch_leader_t *leader, const leader_vm_t *latest)
{
	mark_predecessor_dead(latest, g_hash_table_lookup(leader->by_address, latest->address));
	mark_predecessor_dead(latest, leader_vm_of_machine(leader, latest->machine));
}

static bool has_later_report(const leader_vm_t *vm, uint64_t born_ms)
{
	return vm != NULL && vm->last_report_us != 0 && vm->born_ms > born_ms;
}

/* True when this incarnation is known to have ended, or a later VM has reported the same address
 * or machine. */
static bool is_superseded(const batch_leader_t *leader, const char *vm, const char *address,
			  const char *machine, uint64_t born_ms)
{
	const uint64_t *ended_ms = g_hash_table_lookup(leader->ended_incarnations, vm);

	return (ended_ms != NULL && *ended_ms >= born_ms) ||
	       has_later_report(g_hash_table_lookup(leader->by_address, address), born_ms) ||
	       has_later_report(leader_vm_of_machine(leader, machine), born_ms);
}

/* Adds the VM of a replicated record that was committed after this leader was activated, by a start
 * intent of an earlier leader. If the VM has already ended, it is marked as dead at once. */
static void adopt_vm_record(batch_leader_t *leader, batch_vm_t *record)
{
	bool ended = is_superseded(leader, record->id, record->address, record->machine,
				   record->born_ms);
	leader_vm_t *vm = leader_vm_from_record(leader, record);
	char count[16];

	g_snprintf(count, sizeof(count), "%u", record->task_count);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", record->id, "runs", count),
		  "found runs of an earlier leader on an unknown VM");
	if (ended)
		leader_vm_mark_dead(vm, "its machine or address has a later VM");
	else
		leader_maintenance_cordon(leader, vm);
}

static void adopt_vm_records(batch_leader_t *leader, uint64_t now_us)
{
	batch_vm_t *record;

	if (now_us < leader->adopt_due_us)
		return;
	leader->adopt_due_us = now_us + ADOPT_PERIOD_US;
	LIST_FOREACH (record, &leader->state->vms, link) {
		if (record->task_count > 0 && record->leader == NULL)
			adopt_vm_record(leader, record);
	}
}

static leader_vm_t *add_reported_vm(batch_leader_t *leader, const vm_report_t *report,
				    bool confirmed)
{
	leader_vm_t *vm = new_vm(leader, report->id, report->born_ms, report->address);

	vm->confirmed |= confirmed;
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", report->id, "service", report->service, "machine",
			     report->machine, "rack", report->rack),
		  vm->confirmed ? "VM has reported for the first time"
				: "VM of an unknown service has reported; it is not used until a "
				  "configuration names the service");
	return vm;
}

/* Adds a confirmed VM to the fleet. It ends earlier VMs with its machine or address. */
static void join_fleet(leader_vm_t *vm)
{
	batch_leader_t *leader = vm->leader;

	mark_predecessors_dead(leader, vm);
	leader_machine_reported(leader, vm);
	index_vm(vm);
}

/* Confirms a VM whose service has become known, unless it has ended since its report. */
static void confirm_vm(leader_vm_t *vm)
{
	batch_leader_t *leader = vm->leader;

	if (is_superseded(leader, vm->id, vm->address, vm->machine, vm->born_ms)) {
		free_vm(vm);
		return;
	}
	vm->confirmed = true;
	join_service(vm);
	join_fleet(vm);
	leader_maintenance_cordon(leader, vm);
	leader->placement_due = true;
}

/* Adds the services of a new configuration to the known ones, and confirms their VMs. */
static void note_services(batch_leader_t *leader)
{
	const Lp__BatchConfig *config = leader->state->config;
	leader_vm_t *vm;
	leader_vm_t *next;

	if (config == NULL || config->version == leader->services_version)
		return;
	leader->services_version = config->version;
	for (size_t i = 0; i < config->n_services; i++)
		g_hash_table_add(leader->known_services, g_strdup(config->services[i]->name));
	for (vm = LIST_FIRST(&leader->vms); vm != NULL; vm = next) {
		next = LIST_NEXT(vm, link);
		if (!vm->confirmed && !vm->dead &&
		    g_hash_table_contains(leader->known_services, vm->service))
			confirm_vm(vm);
	}
}

bool leader_service_known(batch_leader_t *leader, const char *service)
{
	const batch_job_t *job;

	note_services(leader);
	if (g_hash_table_contains(leader->known_services, service))
		return true;
	TAILQ_FOREACH (job, &leader->state->active, link) {
		if (strcmp(job->service, service) == 0)
			return true;
	}
	return false;
}

static vm_identity_t identity_of(const leader_vm_t *vm)
{
	return (vm_identity_t){
		.machine = vm->machine,
		.address = vm->address,
		.service = vm->service,
		.born_ms = vm->born_ms,
		.seq = vm->seq,
		.reported = vm->last_report_us != 0,
		.confirmed = vm->confirmed,
	};
}

static void log_foreign_report(batch_leader_t *leader, const leader_vm_t *vm,
			       const vm_report_t *report)
{
	uint64_t now_us = leader_now_us(leader);

	metrics_add(leader->stats.foreign_reports, 1);
	if (leader->foreign_logged_us != 0 &&
	    now_us < leader->foreign_logged_us + FOREIGN_LOG_PERIOD_US)
		return;
	leader->foreign_logged_us = now_us;
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", report->id, "service", report->service, "address",
			     report->address, "machine", report->machine, "known_service",
			     vm->service, "known_address", vm->address, "known_machine",
			     vm->machine),
		  "ignoring a report that contradicts what is known about its VM");
}

/* Handles what a report says about the known VM with its id. @return the VM to which the report
 * applies, NULL when that has to be added
 * @param ignored set to true when the report must be ignored */
static leader_vm_t *handle_known_vm(batch_leader_t *leader, leader_vm_t *vm,
				    const vm_report_t *report, bool known_service, bool *ignored)
{
	vm_identity_t known = identity_of(vm);

	switch (vm_evidence_of_report(&known, report, known_service)) {
	case VM_REPORT_UPDATE:
		return vm;
	case VM_REPORT_RESTART:
		leader_vm_mark_restarted(vm, report->born_ms,
					 "a later life of the VM has reported");
		return NULL;
	case VM_REPORT_REPLACES:
		free_vm(vm);
		return NULL;
	case VM_REPORT_OUTDATED:
		*ignored = true;
		return NULL;
	case VM_REPORT_FOREIGN:
		log_foreign_report(leader, vm, report);
		*ignored = true;
		return NULL;
	}
	return NULL;
}

bool batch_leader_report(batch_leader_t *leader, const vm_report_t *report, uint64_t received_us)
{
	bool known_service = leader_service_known(leader, report->service);
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, report->id);
	bool ignored = false;
	bool is_new;

	if (is_superseded(leader, report->id, report->address, report->machine, report->born_ms))
		return false;
	if (vm != NULL)
		vm = handle_known_vm(leader, vm, report, known_service, &ignored);
	if (ignored)
		return false;
	is_new = vm == NULL || vm->last_report_us == 0;
	if (vm == NULL)
		vm = add_reported_vm(leader, report, known_service);
	vm->confirmed |= known_service;
	apply_report(vm, report, received_us);
	if (!vm->confirmed)
		return true;
	join_fleet(vm);
	if (is_new)
		leader_maintenance_cordon(leader, vm);
	leader->placement_due = true;
	return true;
}

const char *batch_leader_data_centre(const batch_leader_t *leader, const char *vm_id)
{
	const leader_vm_t *vm = g_hash_table_lookup(leader->by_id, vm_id);

	return vm != NULL && vm->data_centre[0] != '\0' ? vm->data_centre : NULL;
}

size_t batch_leader_machine_count(const batch_leader_t *leader)
{
	return g_hash_table_size(leader->machines);
}

void batch_leader_vm_shutdown(batch_leader_t *leader, const char *vm_id)
{
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, vm_id);

	if (vm == NULL || vm->shutdown_us != 0)
		return;
	/* It has no tasks. If it still runs, its next report adds it again. */
	if (!vm->confirmed) {
		free_vm(vm);
		return;
	}
	vm->shutdown_us = leader_now_us(leader);
	/* Asks the VM even while a hold request waits there. */
	vm->probe_due_us = vm->shutdown_us + VM_SHUTDOWN_SETTLE_US;
	vm->probes_sent = 0;
}

static void check_shutdown(leader_vm_t *vm, uint64_t now_us)
{
	const vm_shutdown_t shutdown = {
		.notice_us = vm->shutdown_us,
		.answered_us = vm->answered_sent_us,
		.draining = vm->draining,
		.refused = vm->unresponsive && vm->broke_off,
	};

	switch (vm_evidence_of_shutdown(&shutdown, now_us)) {
	case VM_SHUTDOWN_OPEN:
		break;
	case VM_SHUTDOWN_ENDED:
		leader_vm_mark_dead(vm, "it has left");
		break;
	case VM_SHUTDOWN_REFUTED:
		vm->shutdown_us = 0;
		vm->leader->placement_due = true;
		metrics_add(vm->leader->stats.shutdowns_refuted, 1);
		log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id),
			  "VM still runs after a notice of its shutdown, which is ignored");
		break;
	}
}

/* --- activation --- */

static const char *part_name(leader_part_t part)
{
	switch (part) {
	case LEADER_PART_VMS:
		return "vms";
	case LEADER_PART_MACHINES:
		return "machines";
	case LEADER_PART_WAVES:
		return "waves";
	case LEADER_PART_PLACEMENT:
		return "placement";
	case LEADER_PART_COUNT:
		break;
	}
	return "";
}

static void init_metrics(batch_leader_t *leader)
{
	metrics_t *metrics = leader->metrics;

	leader->stats.starts = metrics_counter(metrics, "batch_starts_total", "");
	leader->stats.start_refused = metrics_counter(metrics, "batch_starts_refused_total", "");
	leader->stats.start_unsure = metrics_counter(metrics, "batch_starts_unsure_total", "");
	leader->stats.ends = metrics_counter(metrics, "batch_ends_total", "");
	leader->stats.lost = metrics_counter(metrics, "batch_runs_lost_total", "");
	leader->stats.handed_over = metrics_counter(metrics, "batch_runs_handed_over_total", "");
	leader->stats.holds = metrics_counter(metrics, "batch_holds_total", "");
	leader->stats.holds_overtaken = metrics_counter(metrics, "batch_holds_overtaken_total", "");
	leader->stats.stops = metrics_counter(metrics, "batch_stops_total", "");
	leader->stats.dead = metrics_counter(metrics, "batch_vms_ended_total", "");
	leader->stats.shutdowns_refuted =
		metrics_counter(metrics, "batch_shutdowns_refuted_total", "");
	leader->stats.foreign_reports = metrics_counter(metrics, "batch_reports_foreign_total", "");
	leader->stats.crashes = metrics_counter(metrics, "batch_vm_crashes_after_start_total", "");
	leader->stats.suspects = metrics_counter(metrics, "batch_suspect_runs_total", "");
	leader->stats.given_up = metrics_counter(metrics, "batch_jobs_given_up_total", "");
	leader->stats.drains = metrics_counter(metrics, "batch_drains_total", "");
	leader->stats.preemptions = metrics_counter(metrics, "batch_preemptions_total", "");
	leader->stats.candidates = metrics_counter(metrics, "batch_candidates_total", "");
	leader->stats.place_vms = metrics_counter(metrics, "batch_place_vms_total", "");
	leader->stats.passes = metrics_counter(metrics, "batch_passes_total", "");
	leader->stats.window_full = metrics_counter(metrics, "batch_window_full_total", "");
	leader->stats.window = metrics_counter(metrics, "batch_start_window", "");
	leader->stats.in_flight = metrics_counter(metrics, "batch_starts_in_flight", "");
	for (int i = 0; i < LEADER_PART_COUNT; i++) {
		g_autofree char *labels = g_strdup_printf("part=\"%s\"", part_name(i));

		leader->stats.part_us[i] = metrics_counter(metrics, "batch_part_us_total", labels);
	}
	leader->stats.start_latency = metrics_histogram(metrics, "batch_start_latency_us", "");
}

batch_leader_t *batch_leader_create(const batch_leader_options_t *options)
{
	batch_leader_t *leader = g_new0(batch_leader_t, 1);

	leader->config = options->config;
	leader->state = options->state;
	leader->port = options->port;
	leader->propose = options->propose;
	leader->now_us = options->now_us;
	leader->wall_ms = options->wall_ms;
	leader->arg = options->arg;
	leader->metrics = options->metrics;
	leader->mean_slowness = 1.0;
	leader->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	leader->state->vm_listener = (batch_vm_listener_t){
		.added = on_record_added, .removed = on_record_removed, .arg = leader};
	leader->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	leader->by_machine = g_hash_table_new(g_str_hash, g_str_equal);
	leader->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	leader->known_services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	leader->ended_incarnations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	LIST_INIT(&leader->vms);
	leader->machines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, leader_machine_free);
	leader->smoothed_need = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	forecast_init(&leader->forecast);
	init_metrics(leader);
	return leader;
}

void batch_leader_destroy(batch_leader_t *leader)
{
	batch_leader_deactivate(leader);
	leader->state->vm_listener = (batch_vm_listener_t){0};
	g_hash_table_destroy(leader->services);
	g_hash_table_destroy(leader->by_id);
	g_hash_table_destroy(leader->by_machine);
	g_hash_table_destroy(leader->by_address);
	g_hash_table_destroy(leader->known_services);
	g_hash_table_destroy(leader->ended_incarnations);
	g_hash_table_destroy(leader->machines);
	g_hash_table_destroy(leader->smoothed_need);
	forecast_finish(&leader->forecast);
	g_free(leader);
}

/* Resets the local state of the runs that earlier leaders started. The response to the next hold
 * request of each VM confirms its runs or shows that they are lost. */
static void inherit_runs(batch_leader_t *leader)
{
	batch_vm_t *record;
	batch_task_t *task;

	LIST_FOREACH (record, &leader->state->vms, link) {
		record->leader = NULL;
		LIST_FOREACH (task, &record->tasks, vm_link) {
			g_autofree char *saved = g_strdup(task->local.reported_checkpoint);

			/* The pace that an earlier leader has set is unknown. Assume 100%;
			 * leader_pace_tick() lowers it again where needed. */
			task->local = (run_local_state_t){.pace_percent = 100,
							  .phase_since_us = leader->activated_us};
			g_strlcpy(task->local.reported_checkpoint, saved,
				  sizeof(task->local.reported_checkpoint));
		}
		if (record->task_count > 0)
			leader_maintenance_cordon(leader, leader_vm_from_record(leader, record));
	}
}

void batch_leader_activate(batch_leader_t *leader, uint64_t term)
{
	char text[24];

	batch_leader_deactivate(leader);
	leader->active = true;
	leader->term = term;
	leader->generation++;
	leader->activated_us = leader_now_us(leader);
	leader->activated_log_ms = leader->state->log_clock_ms;
	leader->last_tick_us = 0;
	leader->tick_lag_us = 0;
	leader->placement_due = true;
	leader->window_full = false;
	start_window_init(&leader->window, leader->activated_us);
	leader->list_in_flight = false;
	leader->list_complete = false;
	leader->list_requested_us = 0;
	leader->platform_request_seq = 0;
	leader->adopt_due_us = leader->activated_us + ADOPT_PERIOD_US;
	inherit_runs(leader);
	g_snprintf(text, sizeof(text), "%" PRIu64, term);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("term", text), "started managing batch jobs");
}

void batch_leader_deactivate(batch_leader_t *leader)
{
	leader_vm_t *vm;
	leader_vm_t *next;

	if (leader->active)
		log_event(G_LOG_LEVEL_MESSAGE, NULL, "stopped managing batch jobs");
	leader->active = false;
	leader_clear_planned(leader);
	for (vm = LIST_FIRST(&leader->vms); vm != NULL; vm = next) {
		next = LIST_NEXT(vm, link);
		free_vm(vm);
	}
	start_window_finish(&leader->window);
	g_hash_table_remove_all(leader->ended_incarnations);
	g_hash_table_remove_all(leader->machines);
	g_hash_table_remove_all(leader->smoothed_need);
}

bool batch_leader_active(const batch_leader_t *leader)
{
	return leader->active;
}

void batch_leader_request_placement(batch_leader_t *leader)
{
	leader->placement_due = true;
}

static void free_dead_vm(leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);

	if (vm->dead && vm->planned_count == 0 && (record == NULL || record->task_count == 0) &&
	    leader_now_us(vm->leader) >
		    vm->last_report_us + vm->leader->config.late_request_ms * US_PER_MS)
		free_vm(vm);
}

static void decay_health(batch_leader_t *leader, uint64_t now_us)
{
	leader_vm_t *vm;

	if (now_us < leader->decay_due_us)
		return;
	leader->decay_due_us = now_us + HEALTH_HALF_LIFE_US;
	LIST_FOREACH (vm, &leader->vms, link) {
		vm->recent_successes /= 2;
		vm->recent_failures /= 2;
	}
}

/* Counts the time since since_us for the part, and logs it if it exceeds SLOW_PART_US. @return the
 * present time */
static uint64_t end_part(const batch_leader_t *leader, leader_part_t part, uint64_t since_us)
{
	uint64_t now_us = leader_now_us(leader);
	char ms[16];

	metrics_add(leader->stats.part_us[part], now_us - since_us);
	if (now_us > since_us + SLOW_PART_US) {
		g_snprintf(ms, sizeof(ms), "%u", (unsigned)((now_us - since_us) / US_PER_MS));
		log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("part", part_name(part), "ms", ms),
			  "part of the leader tick was slow");
	}
	return now_us;
}

static void tick_vm(leader_vm_t *vm, uint64_t now_us)
{
	if (!vm->dead && vm->shutdown_us != 0)
		check_shutdown(vm, now_us);
	if (!vm->confirmed) {
		if (now_us > vm->last_report_us + UNCONFIRMED_KEEP_US)
			free_vm(vm);
		return;
	}
	if (vm->dead) {
		leader_hand_over_runs(vm);
		leader_mark_all_runs_lost(vm, "the VM has ended");
		free_dead_vm(vm);
		return;
	}
	leader_stop_tick(vm, now_us);
	leader_pace_tick(vm, now_us);
	leader_evacuate_tick(vm, now_us);
	leader_hold_tick(vm, now_us);
}

static void measure_lag(batch_leader_t *leader, uint64_t now_us)
{
	uint64_t gap_us = leader->last_tick_us != 0 ? now_us - leader->last_tick_us : 0;
	uint64_t late_us = gap_us > TICK_LATE_US ? gap_us - TICK_LATE_US : 0;

	leader->last_tick_us = now_us;
	start_window_delayed(&leader->window, late_us, now_us);
	/* Ticks can come in time while many messages wait. */
	if (leader->input_delay_us > INPUT_DELAY_NORMAL_US)
		late_us = MAX(late_us, leader->input_delay_us - INPUT_DELAY_NORMAL_US);
	/* A longer delay counts at once. After it, tick_lag_us falls by an eighth per tick. */
	leader->tick_lag_us = MAX(late_us, leader->tick_lag_us * 7 / 8);
}

void batch_leader_set_input_delay(batch_leader_t *leader, uint64_t delay_us)
{
	leader->input_delay_us = delay_us;
}

void batch_leader_observe(batch_leader_t *leader)
{
	note_services(leader);
	leader_observe_demand(leader, leader_now_us(leader));
}

void batch_leader_tick(batch_leader_t *leader)
{
	uint64_t now_us = leader_now_us(leader);
	uint64_t part_start_us;
	leader_vm_t *vm;

	if (!leader->active)
		return;
	measure_lag(leader, now_us);
	note_services(leader);
	decay_health(leader, now_us);
	vm = LIST_FIRST(&leader->vms);
	while (vm != NULL) {
		leader_vm_t *next = LIST_NEXT(vm, link);

		tick_vm(vm, now_us);
		vm = next;
	}
	adopt_vm_records(leader, now_us);
	part_start_us = end_part(leader, LEADER_PART_VMS, now_us);
	leader_machines_tick(leader, now_us);
	part_start_us = end_part(leader, LEADER_PART_MACHINES, part_start_us);
	leader_maintenance_tick(leader, now_us);
	part_start_us = end_part(leader, LEADER_PART_WAVES, part_start_us);
	leader_place_tasks(leader, now_us);
	end_part(leader, LEADER_PART_PLACEMENT, part_start_us);
}

void batch_leader_place_tasks(batch_leader_t *leader)
{
	uint64_t now_us = leader_now_us(leader);

	if (!leader->active)
		return;
	note_services(leader);
	leader_place_tasks(leader, now_us);
	end_part(leader, LEADER_PART_PLACEMENT, now_us);
}

const char *vm_reply_name(vm_reply_code_t code)
{
	static const char *const names[] = {
		[VM_REPLY_OK] = "ok",
		[VM_REPLY_FENCED] = "fenced",
		[VM_REPLY_STALE_RUN] = "old run",
		[VM_REPLY_TOO_LATE] = "too late",
		[VM_REPLY_NO_ROOM] = "no room",
		[VM_REPLY_BAD_TICKET] = "bad ticket",
		[VM_REPLY_INVALID] = "invalid",
		[VM_REPLY_UNHEALTHY] = "unhealthy",
		[VM_REPLY_OTHER_INCARNATION] = "other life",
		[VM_REPLY_BUSY] = "busy",
		[VM_REPLY_NOT_SENT] = "not sent",
		[VM_REPLY_NO_RESPONSE] = "no answer",
	};

	return names[code];
}

uint64_t batch_leader_lag_us(const batch_leader_t *leader)
{
	return leader->tick_lag_us;
}
