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

/* True when this incarnation, or a later one with its id, is known to have ended. */
static bool has_ended(const batch_leader_t *leader, const char *vm, uint64_t born_ms)
{
	const uint64_t *ended_ms = g_hash_table_lookup(leader->ended_incarnations, vm);

	return ended_ms != NULL && *ended_ms >= born_ms;
}

/* Adds the VM of a replicated record that was committed after this leader was activated, by a start
 * intent of an earlier leader. If the VM has already ended, it is marked as dead at once; if
 * another one has reported from its machine or address, it is asked. */
static void adopt_vm_record(batch_leader_t *leader, batch_vm_t *record)
{
	bool ended = has_ended(leader, record->id, record->born_ms);
	bool has_rival = g_hash_table_contains(leader->by_address, record->address) ||
			 leader_vm_of_machine(leader, record->machine) != NULL;
	leader_vm_t *vm = leader_vm_from_record(leader, record);
	char count[16];

	g_snprintf(count, sizeof(count), "%u", record->task_count);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", record->id, "runs", count),
		  "found runs of an earlier leader on an unknown VM");
	if (ended) {
		leader_vm_mark_dead(vm, "it had ended before its runs were committed");
		return;
	}
	if (has_rival)
		leader_ask_vm(vm, leader_now_us(leader));
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

/* Adds a confirmed VM to the fleet. */
static void join_fleet(leader_vm_t *vm)
{
	leader_machine_reported(vm->leader, vm);
	leader_vm_index(vm);
}

/* Confirms a VM whose service has become known. If another VM is known on its machine or address,
 * it is forgotten instead: its next report challenges that one. */
static void confirm_vm(leader_vm_t *vm)
{
	batch_leader_t *leader = vm->leader;

	if (g_hash_table_contains(leader->by_address, vm->address) ||
	    leader_vm_of_machine(leader, vm->machine) != NULL) {
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

/* What a report is to be used for. */
typedef enum {
	REPORT_UPDATES, /* it is from the known VM with its id */
	REPORT_ADDS,	/* it is from an unknown VM or life */
	REPORT_IGNORED,
} report_use_t;

/* Judges a report by what is known about the VM with its id. */
static report_use_t judge_report(batch_leader_t *leader, const vm_report_t *report,
				 bool known_service)
{
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, report->id);
	vm_identity_t known;

	if (has_ended(leader, report->id, report->born_ms))
		return REPORT_IGNORED;
	if (vm == NULL)
		return REPORT_ADDS;
	known = identity_of(vm);
	switch (vm_evidence_of_report(&known, report, known_service)) {
	case VM_REPORT_UPDATE:
		return REPORT_UPDATES;
	case VM_REPORT_OTHER_LIFE:
		return REPORT_ADDS;
	case VM_REPORT_REPLACES:
		leader_vm_free(vm);
		return REPORT_ADDS;
	case VM_REPORT_OUTDATED:
		return REPORT_IGNORED;
	case VM_REPORT_FOREIGN:
		log_foreign_report(leader, vm, report);
		return REPORT_IGNORED;
	}
	return REPORT_IGNORED;
}

/* True when the report counts, whatever it says of other VMs: it is from a VM that has answered, or
 * from one that is kept aside because its service is not known. */
static bool is_uncontested(const leader_vm_t *vm, bool known_service)
{
	return vm != NULL ? vm->answered_sent_us != 0 || !(vm->confirmed || known_service)
			  : !known_service;
}

static void use_report(batch_leader_t *leader, leader_vm_t *vm, const vm_report_t *report,
		       bool known_service, uint64_t received_us)
{
	bool is_new = vm == NULL || vm->last_report_us == 0;

	if (vm == NULL)
		vm = add_reported_vm(leader, report, known_service);
	vm->confirmed |= known_service;
	leader_vm_apply_report(vm, report, received_us);
	if (!vm->confirmed)
		return;
	join_fleet(vm);
	if (is_new)
		leader_maintenance_cordon(leader, vm);
	leader->placement_due = true;
}

bool batch_leader_report(batch_leader_t *leader, const vm_report_t *report, uint64_t received_us)
{
	bool known_service = leader_service_known(leader, report->service);
	report_use_t use = judge_report(leader, report, known_service);
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, report->id);
	leader_vm_t *updated = use == REPORT_UPDATES ? vm : NULL;

	if (use == REPORT_IGNORED)
		return false;
	/* A life of a known VM challenges that one also when its service is not known any more. */
	if (!is_uncontested(updated, known_service || (vm != NULL && updated == NULL))) {
		switch (leader_challenge(leader, report, received_us)) {
		case REPORT_UNCONTESTED:
			break;
		case REPORT_WAITS:
			leader_challenge_keep(leader, report, received_us);
			return false;
		case REPORT_REFUTED:
		case REPORT_OUTDATED:
			return false;
		}
	}
	use_report(leader, updated, report, known_service, received_us);
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
