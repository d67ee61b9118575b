#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include "batch_leader_internal.h"
#include "log.h"
#include "message.h"
#include "vm_cache.h"
#include "vm_evidence.h"

/* Time for which a report waits until the VMs that it challenges are settled. Longer than a lease
 * with its longest delay; a VM that still runs reports again. */
#define CHALLENGE_KEEP_US (20 * US_PER_S)
/* Limit of the reports that wait, which another system could send without end. */
#define CHALLENGES_MAX 4096
/* Shortest interval between two questions to a VM that has refuted a challenge. */
#define ASK_INTERVAL_US (100 * US_PER_MS)
/* Shortest interval between two log lines about false reports, which can come all the time. */
#define REFUTED_LOG_PERIOD_US (10 * US_PER_S)

/* A report that waits until the VMs that it challenges are settled. */
typedef struct {
	Lp__VmReportCopy *report;
	uint64_t received_us;
} challenge_t;

static void free_challenge(void *data)
{
	challenge_t *challenge = data;

	lp__vm_report_copy__free_unpacked(challenge->report, NULL);
	g_free(challenge);
}

void leader_challenges_init(batch_leader_t *leader)
{
	leader->challenges = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_challenge);
}

void leader_challenges_finish(batch_leader_t *leader)
{
	g_hash_table_destroy(leader->challenges);
}

/* --- the VMs that a report challenges --- */

static bool is_rival(const leader_vm_t *vm, const vm_report_t *report)
{
	return vm != NULL && vm->confirmed && !vm->dead &&
	       (vm->born_ms != report->born_ms || strcmp(vm->id, report->id) != 0);
}

void leader_ask_vm(leader_vm_t *vm, uint64_t now_us)
{
	if (vm->challenged_us == 0) {
		vm->challenged_us = now_us;
		vm->challenge_unanswered = false;
	}
	if (now_us < vm->ask_due_us)
		return;
	vm->ask_due_us = UINT64_MAX;
	vm->hold_due_us = MIN(vm->hold_due_us, now_us);
	/* Asks the VM even while a hold request waits there. */
	vm->probe_due_us = now_us;
	vm->probes_sent = 0;
}

/* @return what the report shows about the VM, which is asked if that is open */
static report_challenge_t challenge_vm(leader_vm_t *vm, const vm_report_t *report,
				       uint64_t received_us)
{
	const vm_rival_t rival = {
		.born_ms = vm->born_ms,
		.answered_us = vm->answered_sent_us,
		.has_runs = vm->record != NULL && vm->record->task_count > 0,
	};

	switch (vm_evidence_of_rival(&rival, report->born_ms, received_us)) {
	case VM_RIVAL_CHALLENGED:
		break;
	case VM_RIVAL_LATER:
		return REPORT_OUTDATED;
	case VM_RIVAL_LIVES:
		return REPORT_REFUTED;
	}
	if (strcmp(vm->id, report->id) == 0)
		vm->challenge_born_ms = MAX(vm->challenge_born_ms, report->born_ms);
	leader_ask_vm(vm, leader_now_us(vm->leader));
	return REPORT_WAITS;
}

report_challenge_t leader_challenge(batch_leader_t *leader, const vm_report_t *report,
				    uint64_t received_us)
{
	leader_vm_t *const vms[] = {
		g_hash_table_lookup(leader->by_id, report->id),
		g_hash_table_lookup(leader->by_address, report->address),
		leader_vm_of_machine(leader, report->machine),
	};
	report_challenge_t worst = REPORT_UNCONTESTED;

	for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
		if (is_rival(vms[i], report))
			worst = MAX(worst, challenge_vm(vms[i], report, received_us));
	}
	return worst;
}

/* --- reports that wait --- */

void leader_challenge_keep(batch_leader_t *leader, const vm_report_t *report, uint64_t received_us)
{
	g_autofree char *key = g_strdup_printf("%s/%" PRIu64, report->id, report->born_ms);
	Lp__VmReportCopy message;
	challenge_t *challenge;

	if (g_hash_table_size(leader->challenges) >= CHALLENGES_MAX &&
	    !g_hash_table_contains(leader->challenges, key))
		return;
	metrics_add(leader->stats.challenges, 1);
	vm_report_to_message(&message, report);
	challenge = g_new0(challenge_t, 1);
	challenge->report = message_copy(&message.base);
	challenge->received_us = received_us;
	g_hash_table_replace(leader->challenges, g_steal_pointer(&key), challenge);
}

static void log_refuted(batch_leader_t *leader, const vm_report_t *report, uint64_t now_us)
{
	char born[24];

	metrics_add(leader->stats.challenges_refuted, 1);
	if (leader->refuted_logged_us != 0 &&
	    now_us < leader->refuted_logged_us + REFUTED_LOG_PERIOD_US)
		return;
	leader->refuted_logged_us = now_us;
	g_snprintf(born, sizeof(born), "%" PRIu64, report->born_ms);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", report->id, "born", born, "service", report->service, "address",
			     report->address, "machine", report->machine),
		  "ignoring a report that names the place of a VM which still answers");
}

/* Judges a waiting report again. @return whether it is done with; *applicable is set when the VMs
 * that it has challenged have ended */
static bool review_challenge(batch_leader_t *leader, const challenge_t *challenge, uint64_t now_us,
			     bool *applicable)
{
	vm_report_t report;

	vm_report_from_message(challenge->report, &report);
	switch (leader_challenge(leader, &report, challenge->received_us)) {
	case REPORT_UNCONTESTED:
		*applicable = true;
		return true;
	case REPORT_WAITS:
		return now_us > challenge->received_us + CHALLENGE_KEEP_US;
	case REPORT_REFUTED:
		log_refuted(leader, &report, now_us);
		return true;
	case REPORT_OUTDATED:
		return true;
	}
	return true;
}

void leader_challenges_tick(batch_leader_t *leader, uint64_t now_us)
{
	g_autoptr(GPtrArray) applicable = g_ptr_array_new_with_free_func(free_challenge);
	GHashTableIter iter;
	void *key;
	void *value;

	g_hash_table_iter_init(&iter, leader->challenges);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		bool apply = false;

		if (!review_challenge(leader, value, now_us, &apply))
			continue;
		if (apply) {
			g_ptr_array_add(applicable, value);
			g_hash_table_iter_steal(&iter);
			g_free(key);
		} else {
			g_hash_table_iter_remove(&iter);
		}
	}
	for (guint i = 0; i < applicable->len; i++) {
		const challenge_t *challenge = g_ptr_array_index(applicable, i);
		vm_report_t report;

		vm_report_from_message(challenge->report, &report);
		batch_leader_report(leader, &report, challenge->received_us);
	}
}

/* --- the answer of a challenged VM --- */

static void end_challenged(leader_vm_t *vm, const char *reason)
{
	if (vm->challenge_born_ms > vm->born_ms)
		leader_vm_mark_restarted(vm, vm->challenge_born_ms, reason);
	else
		leader_vm_mark_dead(vm, reason);
}

void leader_settle_challenge(leader_vm_t *vm, uint64_t now_us)
{
	vm_challenge_t challenge;

	if (vm->dead || vm->challenged_us == 0)
		return;
	challenge = (vm_challenge_t){
		.challenged_us = vm->challenged_us,
		.answered_us = vm->answered_sent_us,
		.lapsed = vm->challenge_unanswered && vm->unresponsive &&
			  leader_lease_has_ended(vm, now_us),
	};
	switch (vm_evidence_of_challenge(&challenge)) {
	case VM_CHALLENGE_OPEN:
		break;
	case VM_CHALLENGE_LAPSED:
		vm->end_unproven = true;
		end_challenged(vm, "it is silent, its lease has ended, and another VM reports in "
				   "its place");
		break;
	case VM_CHALLENGE_REFUTED:
		vm->challenged_us = 0;
		vm->challenge_born_ms = 0;
		vm->ask_due_us = now_us + ASK_INTERVAL_US;
		vm->leader->placement_due = true;
		break;
	}
}

void leader_challenge_failed(leader_vm_t *vm, uint64_t sent_us)
{
	if (vm->challenged_us == 0 || sent_us < vm->challenged_us)
		return;
	vm->challenge_unanswered = true;
	leader_settle_challenge(vm, leader_now_us(vm->leader));
}
