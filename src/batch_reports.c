#define G_LOG_DOMAIN "batch"

#include "batch_leader_internal.h"

#include <inttypes.h>
#include <string.h>

#include "log.h"
#include "vm_evidence.h"

/* Time without a report after which a VM that was never confirmed is forgotten; several report
 * intervals. */
#define UNCONFIRMED_KEEP_US (10 * US_PER_S)
/* Shortest interval between two log lines about foreign reports, which can come all the time. */
#define FOREIGN_LOG_PERIOD_US (10 * US_PER_S)

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

void leader_adopt_vm_records(batch_leader_t *leader, uint64_t now_us)
{
	batch_vm_t *record;

	if (now_us < leader->adopt_due_us)
		return;
	leader->adopt_due_us = now_us + LEADER_ADOPT_PERIOD_US;
	LIST_FOREACH (record, &leader->state->vms, link) {
		if (record->task_count > 0 && record->leader == NULL)
			adopt_vm_record(leader, record);
	}
}

static leader_vm_t *add_reported_vm(batch_leader_t *leader, const vm_report_t *report,
				    bool confirmed)
{
	leader_vm_t *vm = leader_vm_new(leader, report->id, report->born_ms, report->address);

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
	leader_vm_index(vm);
}

/* Confirms a VM whose service has become known, unless it has ended since its report. */
static void confirm_vm(leader_vm_t *vm)
{
	batch_leader_t *leader = vm->leader;

	if (is_superseded(leader, vm->id, vm->address, vm->machine, vm->born_ms)) {
		leader_vm_free(vm);
		return;
	}
	vm->confirmed = true;
	leader_vm_join_service(vm);
	join_fleet(vm);
	leader_maintenance_cordon(leader, vm);
	leader->placement_due = true;
}

void leader_note_services(batch_leader_t *leader)
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

	leader_note_services(leader);
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
		leader_vm_free(vm);
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
	leader_vm_apply_report(vm, report, received_us);
	if (!vm->confirmed)
		return true;
	join_fleet(vm);
	if (is_new)
		leader_maintenance_cordon(leader, vm);
	leader->placement_due = true;
	return true;
}

void batch_leader_vm_shutdown(batch_leader_t *leader, const char *vm_id)
{
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, vm_id);

	if (vm == NULL || vm->shutdown_us != 0)
		return;
	/* It has no tasks. If it still runs, its next report adds it again. */
	if (!vm->confirmed) {
		leader_vm_free(vm);
		return;
	}
	vm->shutdown_us = leader_now_us(leader);
	/* Asks the VM even while a hold request waits there. */
	vm->probe_due_us = vm->shutdown_us + VM_SHUTDOWN_SETTLE_US;
	vm->probes_sent = 0;
}

void leader_check_shutdown(leader_vm_t *vm, uint64_t now_us)
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

void leader_forget_silent_reporter(leader_vm_t *vm, uint64_t now_us)
{
	if (now_us > vm->last_report_us + UNCONFIRMED_KEEP_US)
		leader_vm_free(vm);
}
