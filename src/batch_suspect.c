#define G_LOG_DOMAIN "batch"

#include "batch_suspect.h"

#include <string.h>

#include "log.h"

/* Longest time from the commit of a start intent until its run starts. */
#define START_DELAY_MAX_US (1500 * US_PER_MS)
/* Runs that were assigned longer before a leader's activation than this, by the clock of the log,
 * are not suspected by it. The platform's list shows the end of a VM within 1 to 2 s. */
#define INHERITED_FRESH_MS 3000
/* A request without a response that ends earlier than this after its wait time was broken off by
 * the VM; a request to a VM that is cut off ends by its timeout, which is 300 ms for a start, 450
 * ms for a hold, and 500 ms for a connection. */
#define BROKEN_OFF_US (250 * US_PER_MS)
/* VMs of a rack or service that end within SAME_TIME_US have a common cause if one of them had no
 * recently started runs. Those that end within SAME_MOMENT_US also have one if another had no
 * suspected task, or if they are at least SAME_MOMENT_VMS and half of the rack or service. */
#define SAME_TIME_US (500 * US_PER_MS)
#define SAME_MOMENT_US (50 * US_PER_MS)
#define SAME_MOMENT_VMS 3
/* Longest time from the confirmed start of a run to the known end of its VM for which the run was
 * certainly on the VM. */
#define CRASH_DELAY_MAX_US (400 * US_PER_MS)
/* Longest wait of a suspected step for its reserved VM to have room and no recently started runs. A
 * hold request shows within 1.1 s that the runs are proven, and short tasks take up to some
 * seconds. */
#define ISOLATION_WAIT_US (5 * US_PER_S)
/* A reservation is renewed by each attempt to place the step, which comes every 50 ms. */
#define RESERVATION_US (300 * US_PER_MS)
/* VMs of a pool that may be reserved at the same time, as a divisor of their number. */
#define RESERVED_DIVISOR 2

/* Size limit of the list of runs in a log line, enough for about five runs. */
#define LOG_RUNS_BYTES 160

/* Value of leader_vm_t.fresh_job and planned_job for runs of several jobs. */
#define SEVERAL_JOBS UINT64_MAX

bool suspect_run_proven(const leader_vm_t *vm, const batch_task_t *task)
{
	const run_local_state_t *local = &task->local;
	uint64_t delay_us = START_DELAY_MAX_US;

	switch (local->phase) {
	case RUN_AWAITS_TICKET:
	case RUN_START_QUEUED:
	case RUN_REFUSED:
		return true;
	case RUN_CONFIRMED:
		if (vm->clock_seen_ms >= local->confirmed_clock_ms + SUSPECT_PROOF_MS)
			return true;
		break;
	case RUN_START_SENT:
	case RUN_UNSURE:
		/* The request is possibly carried out late, unless the VM has stopped the run. */
		if (local->stop_acked)
			return true;
		delay_us += vm->leader->config.late_request_ms * US_PER_MS;
		break;
	case RUN_INHERITED:
		/* The leader at that time would have seen a crash soon after an earlier start. */
		if (task->assigned_log_ms + INHERITED_FRESH_MS < vm->leader->activated_log_ms)
			return true;
		break;
	}
	return vm->vm_clock_read_us > task->assigned_us + delay_us;
}

void suspect_start_replied(leader_vm_t *vm, batch_task_t *task, const vm_reply_t *reply,
			   uint64_t sent_us)
{
	if (reply->code == VM_REPLY_OK && task->local.confirmed_clock_ms == 0)
		task->local.confirmed_clock_ms = reply->clock_ms;
	if (reply->code == VM_REPLY_NO_RESPONSE &&
	    leader_now_us(vm->leader) < sent_us + BROKEN_OFF_US) {
		task->local.start_broken = true;
		vm->broke_off = true;
	}
}

void suspect_hold_failed(leader_vm_t *vm, vm_reply_code_t code, uint64_t sent_us, uint32_t wait_ms)
{
	if (code == VM_REPLY_NO_RESPONSE)
		sent_us += wait_ms * US_PER_MS;
	else if (code != VM_REPLY_NOT_SENT)
		return;
	vm->broke_off |= leader_now_us(vm->leader) < sent_us + BROKEN_OFF_US;
}

/* --- crashes --- */

static bool ended_as_planned(const leader_vm_t *vm, uint64_t now_us)
{
	return vm->planned_end || vm->shutdown_us != 0 ||
	       (vm->draining && now_us >= vm->drain_until_us);
}

/* True when all recently started runs on the VM belong to the job. */
static bool only_fresh_job(const leader_vm_t *vm, const batch_vm_t *record, const batch_job_t *job)
{
	const batch_task_t *task;

	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (task->step->job != job && !suspect_run_proven(vm, task))
			return false;
	}
	return true;
}

static bool same_service(const leader_vm_t *a, const leader_vm_t *b)
{
	return strcmp(a->service, b->service) == 0;
}

static bool same_rack(const leader_vm_t *a, const leader_vm_t *b)
{
	return a->rack[0] != '\0' && strcmp(a->rack, b->rack) == 0;
}

static uint64_t time_between(uint64_t a, uint64_t b)
{
	return a > b ? a - b : b - a;
}

/* @return time when the VM ended or fell silent; 0: it is up */
static uint64_t silent_since_us(const leader_vm_t *vm)
{
	if (vm->dead)
		return vm->planned_end ? 0 : vm->ended_us;
	return vm->unresponsive ? vm->unresponsive_since_us : 0;
}

static bool has_fresh_run(leader_vm_t *vm, bool suspected_only)
{
	const batch_vm_t *record = leader_vm_record(vm);
	const batch_task_t *task;

	if (vm->dead)
		return suspected_only ? vm->ended_with_suspect : vm->ended_with_fresh_run;
	if (record == NULL)
		return false;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if ((task->crashes > 0 || !suspected_only) && !suspect_run_proven(vm, task))
			return true;
	}
	return false;
}

/* True when the VM ended together with others of its rack or service for which in_group is true. */
static bool group_ended(leader_vm_t *vm, bool (*in_group)(const leader_vm_t *, const leader_vm_t *))
{
	leader_vm_t *other;
	unsigned members = 1;
	unsigned ended = 1;

	LIST_FOREACH (other, &vm->leader->vms, link) {
		uint64_t since_us = silent_since_us(other);
		uint64_t gap_us = time_between(since_us, vm->ended_us);
		bool ends_too = since_us != 0 && gap_us <= SAME_TIME_US;

		if (other == vm || !in_group(vm, other))
			continue;
		/* No requests are sent to an idle VM, so that only the list shows its end. */
		if (!other->dead && other->listed_down && since_us == 0)
			return true;
		members += ends_too || (!other->dead && other->known_since_us <= vm->ended_us);
		if (!ends_too)
			continue;
		if (!has_fresh_run(other, gap_us <= SAME_MOMENT_US))
			return true;
		ended += gap_us <= SAME_MOMENT_US;
	}
	return ended >= SAME_MOMENT_VMS && 2 * ended >= members;
}

/* True when the run was certainly on the VM when the VM ended: the VM has confirmed the start, and
 * is known to have ended soon after that. A start request that was broken off has possibly not been
 * carried out, and a run has possibly ended unnoticed on a VM that was silent for some time. */
static bool certainly_on_vm(const leader_vm_t *vm, const batch_task_t *task)
{
	const run_local_state_t *local = &task->local;

	return local->phase == RUN_CONFIRMED && vm->ended_us >= local->phase_since_us &&
	       vm->ended_us <= local->phase_since_us + CRASH_DELAY_MAX_US;
}

Lp__BatchCrash suspect_judge(leader_vm_t *vm, const batch_task_t *task, bool crashed)
{
	const batch_vm_t *record = leader_vm_record(vm);
	bool start_seen = task->local.phase == RUN_CONFIRMED || task->local.start_broken;

	if (ended_as_planned(vm, leader_now_us(vm->leader)) || suspect_run_proven(vm, task))
		return LP__BATCH_CRASH__BATCH_CRASH_NONE;
	/* A silent VM is possibly only cut off, and a start request to it has possibly not
	 * arrived. */
	if (!crashed)
		return start_seen ? LP__BATCH_CRASH__BATCH_CRASH_UNSURE
				  : LP__BATCH_CRASH__BATCH_CRASH_NONE;
	if (!certainly_on_vm(vm, task))
		return LP__BATCH_CRASH__BATCH_CRASH_UNSURE;
	/* Without the time of the end, a common cause cannot be ruled out. */
	if (vm->broke_off && record != NULL && only_fresh_job(vm, record, task->step->job) &&
	    !group_ended(vm, same_service) && !group_ended(vm, same_rack))
		return LP__BATCH_CRASH__BATCH_CRASH_CAUSE;
	return LP__BATCH_CRASH__BATCH_CRASH_SUSPECT;
}

void suspect_log_crash(leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);
	g_autoptr(GString) runs = g_string_new(NULL);
	const batch_task_t *task;
	char count_text[16];
	unsigned count = 0;

	vm->ended_us = vm->unresponsive && vm->unresponsive_since_us != 0
			       ? vm->unresponsive_since_us
			       : leader_now_us(vm->leader);
	if (record == NULL || ended_as_planned(vm, leader_now_us(vm->leader)))
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (suspect_run_proven(vm, task))
			continue;
		vm->ended_with_fresh_run = true;
		vm->ended_with_suspect |= task->crashes > 0;
		count++;
		if (runs->len < LOG_RUNS_BYTES)
			g_string_append_printf(runs, "%s%s/%u.%u.%u/%u:%u",
					       runs->len > 0 ? " " : "", task->step->job->spec->id,
					       task->step->occurrence, task->step->number,
					       task->index, task->run, task->crashes);
	}
	if (count == 0)
		return;
	metrics_add(vm->leader->stats.suspects, count);
	metrics_add(vm->leader->stats.crashes, 1);
	g_snprintf(count_text, sizeof(count_text), "%u", count);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", vm->id, "suspects", count_text, "runs", runs->str),
		  "VM has crashed soon after the start of runs");
}

void suspect_log_given_up(batch_leader_t *leader, const batch_job_t *job)
{
	metrics_add(leader->stats.given_up, 1);
	log_event(G_LOG_LEVEL_WARNING,
		  LOG_FIELDS("request", job->spec->id, "queue", job->spec->prefix),
		  "job has failed: VMs crash whenever they start one of its tasks");
}

/* --- placement --- */

static uint64_t merge_jobs(uint64_t known, uint64_t job)
{
	return known == 0 || known == job ? job : SEVERAL_JOBS;
}

void suspect_scan_vm(leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);
	const batch_task_t *task;

	if (vm->planned_count == 0) {
		vm->planned_job = 0;
		vm->planned_suspect = false;
	}
	vm->fresh_job = vm->planned_job;
	vm->fresh_suspect = vm->planned_suspect;
	if (record == NULL)
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (suspect_run_proven(vm, task))
			continue;
		vm->fresh_job = merge_jobs(vm->fresh_job, task->step->job->seq);
		vm->fresh_suspect |= task->crashes > 0;
	}
}

void suspect_run_planned(leader_vm_t *vm, const batch_task_t *task)
{
	uint64_t job = task->step->job->seq;

	vm->planned_job = merge_jobs(vm->planned_job, job);
	vm->planned_suspect |= task->crashes > 0;
	vm->fresh_job = merge_jobs(vm->fresh_job, job);
	vm->fresh_suspect |= task->crashes > 0;
}

static bool is_reserved(const leader_vm_t *vm, uint64_t now_us)
{
	return vm->reserved_job != 0 && now_us < vm->reserved_until_us;
}

bool suspect_vm_open(const leader_vm_t *vm, const batch_step_t *step, bool isolate, uint64_t now_us)
{
	uint64_t job = step->job->seq;

	if (vm->fresh_job == job)
		return true;
	if (vm->fresh_suspect || (is_reserved(vm, now_us) && vm->reserved_job != job))
		return false;
	return !isolate || vm->fresh_job == 0;
}

bool suspect_step(const batch_step_t *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];

		if (task->crashes > 0 && task->status == BATCH_TASK_WAITING)
			return true;
	}
	return false;
}

bool suspect_isolates(const batch_step_t *step, uint64_t now_us)
{
	return step->isolate_until_us == 0 || now_us < step->isolate_until_us;
}

/* Reserves a VM for the step, or renews its reservation. @return false: too many are reserved */
static bool reserve_vm(const batch_step_t *step, leader_vm_t **vms, const double *used,
		       size_t count, uint64_t now_us)
{
	leader_vm_t *best = NULL;
	double best_used = 0;
	size_t reserved = 0;

	for (size_t i = 0; i < count; i++) {
		if (is_reserved(vms[i], now_us) || vms[i]->fresh_suspect) {
			reserved++;
			if (!is_reserved(vms[i], now_us) || vms[i]->reserved_job != step->job->seq)
				continue;
			vms[i]->reserved_until_us = now_us + RESERVATION_US;
			return true;
		} else if (used[i] <= 1.0 && (best == NULL || used[i] < best_used)) {
			best = vms[i];
			best_used = used[i];
		}
	}
	if (best == NULL || (reserved + 1) * RESERVED_DIVISOR > MAX(count, RESERVED_DIVISOR))
		return false;
	best->reserved_job = step->job->seq;
	best->reserved_until_us = now_us + RESERVATION_US;
	return true;
}

void suspect_step_attempted(batch_step_t *step, bool placed, leader_vm_t **vms, const double *used,
			    size_t count, uint64_t now_us)
{
	if (placed) {
		step->isolate_until_us = 0;
		return;
	}
	if (!suspect_isolates(step, now_us))
		return;
	/* The steps that wait for a reservation get one in turn, so the wait is bounded from then
	 * on. */
	if (reserve_vm(step, vms, used, count, now_us) && step->isolate_until_us == 0)
		step->isolate_until_us = now_us + ISOLATION_WAIT_US;
}
