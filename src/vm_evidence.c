#include "vm_evidence.h"

#include <string.h>

/* A VM that has announced its end, and is not heard of any more, counts as ended after this time.
 * VMs stop their tasks within 200 ms (bounds.stopMs). */
#define SHUTDOWN_GRACE_US 500000ULL

static bool agree(const char *known, const char *reported)
{
	return known[0] == '\0' || reported[0] == '\0' || strcmp(known, reported) == 0;
}

/* A VM keeps its machine and its address for its whole life. */
static bool is_same_place(const vm_identity_t *known, const vm_report_t *report)
{
	return agree(known->machine, report->machine) && agree(known->address, report->address);
}

static vm_report_verdict_t judge_order(const vm_identity_t *known, const vm_report_t *report)
{
	return known->reported && report->seq <= known->seq ? VM_REPORT_OUTDATED : VM_REPORT_UPDATE;
}

static vm_report_verdict_t judge_unconfirmed(const vm_identity_t *known, const vm_report_t *report,
					     bool service_known)
{
	if (service_known && strcmp(known->service, report->service) != 0)
		return VM_REPORT_REPLACES;
	if (report->born_ms != known->born_ms)
		return report->born_ms > known->born_ms ? VM_REPORT_REPLACES : VM_REPORT_OUTDATED;
	return judge_order(known, report);
}

/* A VM whose service was removed goes on reporting it. One that is known from the log alone has not
 * named its service yet. */
static bool is_own_service(const vm_identity_t *known, const vm_report_t *report)
{
	if (known->service[0] != '\0')
		return strcmp(known->service, report->service) == 0;
	return report->born_ms == known->born_ms && is_same_place(known, report);
}

vm_report_verdict_t vm_evidence_of_report(const vm_identity_t *known, const vm_report_t *report,
					  bool service_known)
{
	if (!known->confirmed)
		return judge_unconfirmed(known, report, service_known);
	if (!service_known && !is_own_service(known, report))
		return VM_REPORT_FOREIGN;
	if (report->born_ms != known->born_ms)
		return VM_REPORT_OTHER_LIFE;
	if (!is_same_place(known, report))
		return VM_REPORT_FOREIGN;
	return judge_order(known, report);
}

vm_rival_verdict_t vm_evidence_of_rival(const vm_rival_t *rival, uint64_t report_born_ms,
					uint64_t received_us)
{
	if (rival->born_ms > report_born_ms && (rival->answered_us != 0 || rival->has_runs))
		return VM_RIVAL_LATER;
	return rival->answered_us >= received_us ? VM_RIVAL_LIVES : VM_RIVAL_CHALLENGED;
}

vm_challenge_verdict_t vm_evidence_of_challenge(const vm_challenge_t *challenge)
{
	if (challenge->answered_us >= challenge->challenged_us)
		return VM_CHALLENGE_REFUTED;
	return challenge->lapsed ? VM_CHALLENGE_LAPSED : VM_CHALLENGE_OPEN;
}

vm_listing_verdict_t vm_evidence_of_listing(const char *vm, const machine_info_t *listed,
					    bool pool_known)
{
	if (listed->name_only || !pool_known)
		return VM_LISTED_NOTHING;
	if (listed->down)
		return VM_LISTED_DOWN;
	if (listed->up && listed->vm[0] != '\0' && strcmp(listed->vm, vm) != 0)
		return VM_LISTED_GONE;
	return VM_LISTED_PRESENT;
}

vm_shutdown_verdict_t vm_evidence_of_shutdown(const vm_shutdown_t *shutdown, uint64_t now_us)
{
	if (shutdown->answered_us >= shutdown->notice_us + VM_SHUTDOWN_SETTLE_US)
		return VM_SHUTDOWN_REFUTED;
	if (now_us > shutdown->notice_us + SHUTDOWN_GRACE_US &&
	    (shutdown->draining || shutdown->refused))
		return VM_SHUTDOWN_ENDED;
	return VM_SHUTDOWN_OPEN;
}
