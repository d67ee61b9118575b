#define G_LOG_DOMAIN "batch"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "batch_leader_internal.h"
#include "log.h"

/* The first hold without an answer is repeated at once, as one answer may have been lost; later
 * ones after this, often enough to notice a return. */
#define HOLD_RETRY_US (200 * US_PER_MS)
/* Shortest time between two holds of a VM; ends that come together are listed together. It grows
 * while the leader is late, up to where a step would wait too long for the one before. */
#define HOLD_GAP_US (15 * US_PER_MS)
#define HOLD_GAP_MAX_US (150 * US_PER_MS)
/* A hold that is out for so long beyond its wait has probably lost its answer: a probe asks on
 * another connection. Answers take some ms, and some tens while this process is busy. */
#define PROBE_SLACK_US (100 * US_PER_MS)
#define PROBE_GAP_US (150 * US_PER_MS)
/* The second probe shows whether the VM or one answer is lost. */
#define PROBES_MAX 2
/* A hold waits until a task should have ended, and this share of its declared time and this much
 * longer: declared times are off by a fifth. */
#define WAIT_MARGIN_PERCENT 25
#define WAIT_LEAST_MS 200
/* A VM whose holds are answered but whose ends fail is tried again after this. */
#define QUARANTINE_US (4 * US_PER_S)
/* So many failed ends at least, and twice the good ones, make a VM suspect of failing everything.
 */
#define QUARANTINE_FAILURES 3.0
/* A run without progress for so long stands still: holds look every second, and a run gains a
 * percent in some ms. */
#define STALL_US (2500 * US_PER_MS)
/* Weight of one end in the estimate of a VM's speed. */
#define SLOWNESS_WEIGHT 0.25
#define SLOWNESS_MAX 10.0

typedef struct {
	vm_handle_t vm;
	uint32_t number;
	uint64_t sent_us;
	bool granted;
	uint64_t noted;
} hold_t;

batch_lease_limits_t leader_lease_limits(const batch_leader_t *leader)
{
	const batch_leader_config_t *config = &leader->config;

	return (batch_lease_limits_t){
		.length_us =
			config->lease_ms * (100ULL + config->clock_skew_percent) * US_PER_MS / 100,
		.late_us = config->late_order_ms * US_PER_MS,
	};
}

void leader_grant_settled(leader_vm_t *vm, const vm_reply_t *reply, uint64_t sent_us)
{
	batch_lease_limits_t limits = leader_lease_limits(vm->leader);
	uint64_t now_us = leader_now_us(vm->leader);

	if (reply->code == VM_REPLY_NOT_SENT)
		return;
	if (reply->code == VM_REPLY_NONE)
		batch_lease_given_up(&vm->lease, &limits, sent_us, now_us);
	else
		batch_lease_answered(&vm->lease, &limits, now_us);
}

static bool lease_is_over(const leader_vm_t *vm, uint64_t now_us)
{
	batch_lease_limits_t limits = leader_lease_limits(vm->leader);

	return now_us > batch_lease_end_us(&vm->lease, &limits);
}

/* --- losses --- */

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	size_t count;
	Lp__BatchTask refs[];
} loss_t;

static void on_loss_recorded(void *arg, Lp__ResultCode code)
{
	g_autofree loss_t *loss = arg;
	batch_leader_t *leader = loss->leader;

	if (!leader->active || leader->generation != loss->generation)
		return;
	leader->place_due = true;
	if (code == LP__RESULT_CODE__RESULT_OK)
		return;
	for (size_t i = 0; i < loss->count; i++) {
		batch_task_t *task = batch_state_task(leader->state, &loss->refs[i]);

		if (task != NULL && task->run == loss->refs[i].run)
			task->soft.losing = false;
	}
}

static void propose_loss(batch_leader_t *leader, batch_task_t **tasks, size_t count)
{
	loss_t *loss = g_malloc0(sizeof(*loss) + count * sizeof(loss->refs[0]));
	Lp__BatchEnd *ends = talloc_zero_array(NULL, Lp__BatchEnd, count);
	Lp__BatchEnd **list = talloc_zero_array(ends, Lp__BatchEnd *, count);
	Lp__BatchLost lost = LP__BATCH_LOST__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	*loss = (loss_t){.leader = leader, .generation = leader->generation, .count = count};
	for (size_t i = 0; i < count; i++) {
		tasks[i]->soft.losing = true;
		batch_task_ref(tasks[i], &loss->refs[i]);
		lp__batch_end__init(&ends[i]);
		ends[i].task = &loss->refs[i];
		ends[i].kind = LP__BATCH_END_KIND__BATCH_END_LAPSED;
		ends[i].checkpoint = tasks[i]->soft.saved;
		list[i] = &ends[i];
	}
	lost.runs = list;
	lost.n_runs = count;
	command.body_case = LP__BATCH_COMMAND__BODY_LOST;
	command.lost = &lost;
	metrics_add(leader->count.lost, count);
	leader->propose(leader->arg, &command, on_loss_recorded, loss);
	talloc_free(ends);
}

void leader_lose_run(batch_leader_t *leader, batch_task_t *task, const char *reason)
{
	char run[RUN_TEXT_MAX];

	if (task->soft.losing || task->vm == NULL)
		return;
	run_text_of(run, task);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", task->vm->id,
			     "reason", reason),
		  "run is lost");
	propose_loss(leader, &task, 1);
}

void leader_lose_all(leader_vm_t *vm, const char *reason)
{
	batch_vm_t *life = leader_vm_life(vm);
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();
	batch_task_t *task;
	char count[16];

	if (life == NULL)
		return;
	LIST_FOREACH (task, &life->tasks, vm_link) {
		if (!task->soft.losing)
			g_ptr_array_add(tasks, task);
	}
	if (tasks->len == 0)
		return;
	g_snprintf(count, sizeof(count), "%u", tasks->len);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id, "runs", count, "reason", reason),
		  "all runs of the VM are lost");
	propose_loss(vm->leader, (batch_task_t **)tasks->pdata, tasks->len);
}

/* --- ends --- */

void leader_learn(leader_vm_t *vm, const batch_task_t *task, Lp__BatchEndKind kind, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;
	double declared_us = (double)spec->estimate_ms * (double)US_PER_MS;
	double ratio;

	if (kind == LP__BATCH_END_KIND__BATCH_END_FAILED) {
		vm->recent_failed += 1;
		if (vm->recent_failed >= QUARANTINE_FAILURES &&
		    vm->recent_failed > 2 * vm->recent_ok && now_us >= vm->quarantine_until_us) {
			vm->quarantine_until_us = now_us + QUARANTINE_US;
			log_event(G_LOG_LEVEL_MESSAGE,
				  LOG_FIELDS("vm", vm->id, "service", vm->service),
				  "VM fails what it starts; it gets no tasks for %d s",
				  (int)(QUARANTINE_US / US_PER_S));
		}
		return;
	}
	if (kind != LP__BATCH_END_KIND__BATCH_END_DONE)
		return;
	vm->recent_ok += 1;
	if (declared_us <= 0 || task->soft.phase != RUN_CONFIRMED || task->checkpoint != NULL)
		return;
	ratio = (double)(now_us - task->soft.since_us) / declared_us;
	if (spec->data_rack[0] != '\0' && strcmp(spec->data_rack, vm->rack) != 0)
		ratio /= 1.5; /* crossRackFactor */
	ratio = CLAMP(ratio, 0.2, SLOWNESS_MAX);
	vm->slowness += SLOWNESS_WEIGHT * (ratio - vm->slowness);
}

typedef struct {
	vm_handle_t vm;
} ends_t;

static void on_ends_recorded(void *arg, Lp__ResultCode code)
{
	g_autofree ends_t *ends = arg;
	leader_vm_t *vm = vm_handle_get(&ends->vm);

	if (vm == NULL)
		return;
	vm->ends_busy = false;
	vm->leader->place_due = true;
	/* Applied or not: the next hold lists what is not recorded. */
	leader_hold_tick(vm, leader_now_us(vm->leader));
}

static void end_from_reply(batch_leader_t *leader, leader_vm_t *vm, const vm_ended_t *ended,
			   Lp__BatchTask *ref, Lp__BatchEnd *end)
{
	batch_task_t *task = leader_task(leader, &ended->task);
	uint64_t now_us = leader_now_us(leader);

	lp__batch_task__init(ref);
	lp__batch_end__init(end);
	end->task = ref;
	end->kind = ended->kind;
	end->checkpoint = (char *)ended->checkpoint;
	/* The job was forgotten long ago: job 0 does not exist. */
	if (task == NULL)
		return;
	batch_task_ref(task, ref);
	ref->run = ended->run;
	if (task->run == ended->run && task->vm == leader_vm_life(vm)) {
		if (ended->kind == LP__BATCH_END_KIND__BATCH_END_FAILED)
			task->soft.failed_vm = leader_vm_hash(vm->id);
		leader_learn(vm, task, ended->kind, now_us);
	}
	if (ended->kind == LP__BATCH_END_KIND__BATCH_END_FAILED ||
	    ended->kind == LP__BATCH_END_KIND__BATCH_END_ALONE ||
	    ended->kind == LP__BATCH_END_KIND__BATCH_END_LAPSED) {
		char run[RUN_TEXT_MAX];

		run_text_set(run, &ended->task, ended->run);
		log_event(G_LOG_LEVEL_INFO,
			  LOG_FIELDS("request", ended->task.job, "task", run, "vm", vm->id, "end",
				     ended->kind == LP__BATCH_END_KIND__BATCH_END_FAILED ? "failed"
				     : ended->kind == LP__BATCH_END_KIND__BATCH_END_ALONE
					     ? "alone"
					     : "lapsed"),
			  "run has ended early");
	}
}

static void record_ends(leader_vm_t *vm, batch_vm_t *life, const vm_reply_t *reply)
{
	batch_leader_t *leader = vm->leader;
	void *mem = talloc_new(NULL);
	Lp__BatchTask *refs = talloc_zero_array(mem, Lp__BatchTask, reply->ended_count);
	Lp__BatchEnd *items = talloc_zero_array(mem, Lp__BatchEnd, reply->ended_count);
	Lp__BatchEnd **list = talloc_zero_array(mem, Lp__BatchEnd *, reply->ended_count);
	Lp__BatchEnds ends = LP__BATCH_ENDS__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;
	ends_t *context;

	for (size_t i = 0; i < reply->ended_count; i++) {
		if (reply->ended[i].number <= life->noted)
			continue;
		end_from_reply(leader, vm, &reply->ended[i], &refs[ends.n_ends],
			       &items[ends.n_ends]);
		list[ends.n_ends] = &items[ends.n_ends];
		ends.n_ends++;
		ends.noted = MAX(ends.noted, reply->ended[i].number);
	}
	if (ends.n_ends == 0)
		goto finish;
	ends.vm = vm->id;
	ends.born_ms = vm->born_ms;
	ends.ends = list;
	command.body_case = LP__BATCH_COMMAND__BODY_ENDS;
	command.ends = &ends;
	context = g_new0(ends_t, 1);
	vm_handle_set(&context->vm, vm);
	vm->ends_busy = true;
	metrics_add(leader->count.ends, ends.n_ends);
	leader->propose(leader->arg, &command, on_ends_recorded, context);
finish:
	talloc_free(mem);
}

/* --- holds --- */

static bool stands_still(const batch_task_t *task, uint64_t now_us)
{
	const Lp__BatchStep *spec = task->step->spec;
	const run_soft_t *soft = &task->soft;

	/* Those that fill take what is left over; the members of a gang wait for each other. */
	if (spec->long_running || spec->best_effort || spec->gang || soft->paced < 100 ||
	    soft->phase != RUN_CONFIRMED || soft->evacuate)
		return false;
	return now_us >= soft->stalled_us + STALL_US && soft->percent < 100;
}

static void check_progress(leader_vm_t *vm, batch_task_t *task, uint64_t now_us)
{
	char run[RUN_TEXT_MAX];

	if (!stands_still(task, now_us))
		return;
	task->soft.evacuate = true;
	vm->quarantine_until_us = now_us + QUARANTINE_US;
	run_text_of(run, task);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", task->step->job->spec->id, "task", run, "vm", vm->id,
			     "reason", "no progress"),
		  "moves a task to another VM");
}

static void take_running(leader_vm_t *vm, batch_task_t *task, const vm_running_t *running,
			 uint64_t now_us)
{
	run_soft_t *soft = &task->soft;

	if (soft->phase != RUN_CONFIRMED) {
		soft->phase = RUN_CONFIRMED;
		soft->since_us = now_us;
		soft->stalled_us = now_us;
	}
	if (soft->percent != running->percent || soft->stalled_us == 0)
		soft->stalled_us = now_us;
	soft->percent = running->percent;
	soft->load = running->load;
	if (strlen(running->checkpoint) < sizeof(soft->saved))
		g_strlcpy(soft->saved, running->checkpoint, sizeof(soft->saved));
	check_progress(vm, task, now_us);
}

/* Marks what the VM lists; returns the number of tasks that the log does not have there. */
static unsigned match_running(leader_vm_t *vm, const batch_vm_t *life, const vm_reply_t *reply,
			      GHashTable *listed, uint64_t now_us)
{
	unsigned orphans = 0;

	for (size_t i = 0; i < reply->running_count; i++) {
		const vm_running_t *running = &reply->running[i];
		batch_task_t *task = leader_task(vm->leader, &running->task);

		if (task != NULL && task->vm != NULL && task->vm == life &&
		    task->run == running->run) {
			take_running(vm, task, running, now_us);
			g_hash_table_add(listed, task);
			continue;
		}
		orphans++;
		leader_stop_orphan(vm, &running->task, running->run);
	}
	return orphans;
}

static void match_ended(const leader_vm_t *vm, const vm_reply_t *reply, GHashTable *listed)
{
	for (size_t i = 0; i < reply->ended_count; i++) {
		batch_task_t *task = leader_task(vm->leader, &reply->ended[i].task);

		if (task != NULL && task->run == reply->ended[i].run)
			g_hash_table_add(listed, task);
	}
}

/* The VM neither runs nor has ended a run that the log has there. */
static void on_missing(leader_vm_t *vm, batch_task_t *task, uint64_t sent_us)
{
	run_soft_t *soft = &task->soft;

	switch (soft->phase) {
	case RUN_INHERITED:
		/* Orders of earlier leaders are refused since the VM has seen this one's token. */
		if (soft->since_us < sent_us)
			leader_lose_run(vm->leader, task, "not started under an earlier leader");
		break;
	case RUN_ORDERED:
		break;
	case RUN_CONFIRMED:
		if (soft->since_us < sent_us)
			leader_lose_run(vm->leader, task, "the VM does not list it any more");
		break;
	case RUN_UNSURE:
		if (soft->stop_acked && soft->stop_acked_us < sent_us)
			leader_lose_run(vm->leader, task, "no answer to the start; stopped");
		else
			leader_order_stop(vm, task);
		break;
	case RUN_REFUSED:
		leader_lose_run(vm->leader, task, "the VM has refused it");
		break;
	}
}

static void find_missing(leader_vm_t *vm, batch_vm_t *life, GHashTable *listed, uint64_t sent_us)
{
	batch_task_t *task;
	batch_task_t *next;

	for (task = LIST_FIRST(&life->tasks); task != NULL; task = next) {
		next = LIST_NEXT(task, vm_link);
		if (!g_hash_table_contains(listed, task))
			on_missing(vm, task, sent_us);
	}
}

static void hold_answered(leader_vm_t *vm, const hold_t *hold, const vm_reply_t *reply)
{
	uint64_t now_us = leader_now_us(vm->leader);
	batch_vm_t *life = leader_vm_life(vm);
	g_autoptr(GHashTable) listed = g_hash_table_new(NULL, NULL);

	if (!vm->confirmed || vm->suspect)
		vm->leader->place_due = true;
	vm->confirmed = true;
	vm->suspect = false;
	vm->suspect_us = 0;
	vm->answered_us = now_us;
	vm->noted_told = MAX(vm->noted_told, hold->noted);
	vm->hold_due_us = now_us + CLAMP(2 * vm->leader->lag_us, HOLD_GAP_US, HOLD_GAP_MAX_US);
	vm->orphans = match_running(vm, life, reply, listed, now_us);
	if (life == NULL) {
		for (size_t i = 0; i < reply->ended_count; i++)
			vm->noted_unlogged = MAX(vm->noted_unlogged, reply->ended[i].number);
		return;
	}
	match_ended(vm, reply, listed);
	find_missing(vm, life, listed, hold->sent_us);
	record_ends(vm, life, reply);
}

static void hold_unanswered(leader_vm_t *vm, const hold_t *hold, const vm_reply_t *reply)
{
	uint64_t now_us = leader_now_us(vm->leader);

	vm->hold_due_us = vm->suspect ? now_us + HOLD_RETRY_US : now_us;
	if (!vm->suspect) {
		vm->suspect_us = now_us;
		log_event(G_LOG_LEVEL_MESSAGE,
			  LOG_FIELDS("vm", vm->id, "address", vm->address, "reply",
				     vm_reply_name(reply->code)),
			  "VM does not answer");
	}
	vm->suspect = true;
}

static void hold_settled(leader_vm_t *vm, const hold_t *hold, const vm_reply_t *reply)
{
	vm->hold_busy = false;
	switch (reply->code) {
	case VM_REPLY_OK:
		hold_answered(vm, hold, reply);
		break;
	case VM_REPLY_OTHER_LIFE:
	case VM_REPLY_FENCED:
	case VM_REPLY_OLD_RUN:
	case VM_REPLY_TOO_LATE:
	case VM_REPLY_NO_ROOM:
	case VM_REPLY_BAD_TICKET:
	case VM_REPLY_INVALID:
	case VM_REPLY_UNHEALTHY:
	case VM_REPLY_BUSY:
	case VM_REPLY_NOT_SENT:
	case VM_REPLY_NONE:
		hold_unanswered(vm, hold, reply);
		break;
	}
}

static void on_hold_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree hold_t *hold = arg;
	leader_vm_t *vm = vm_handle_get(&hold->vm);

	if (vm == NULL)
		return;
	if (reply->born_ms != 0 && reply->born_ms != vm->born_ms) {
		if (reply->born_ms > vm->born_ms)
			leader_vm_mark_dead(vm, "another life of the VM answers");
		vm->hold_busy &= hold->number != vm->hold_number;
		return;
	}
	if (hold->granted)
		leader_grant_settled(vm, reply, hold->sent_us);
	leader_vm_set_clock(vm, reply->clock_ms, leader_now_us(vm->leader));
	if (reply->code == VM_REPLY_OTHER_LIFE)
		leader_vm_mark_dead(vm, "its address has another VM");
	else if (hold->number == vm->hold_number)
		hold_settled(vm, hold, reply);
}

static void on_probe_reply(void *arg, const vm_reply_t *reply)
{
	g_autofree hold_t *probe = arg;
	leader_vm_t *vm = vm_handle_get(&probe->vm);

	if (vm == NULL)
		return;
	leader_vm_set_clock(vm, reply->clock_ms, leader_now_us(vm->leader));
	/* Without an answer, the hold's own timeout decides. */
	if (reply->code != VM_REPLY_OK || probe->number != vm->hold_number || !vm->hold_busy ||
	    (reply->born_ms != 0 && reply->born_ms != vm->born_ms))
		return;
	metrics_add(vm->leader->count.holds_overtaken, 1);
	vm->hold_number++;
	vm->hold_busy = false;
	hold_answered(vm, probe, reply);
}

static uint64_t noted_of(leader_vm_t *vm)
{
	const batch_vm_t *life = leader_vm_life(vm);

	return life != NULL ? life->noted : vm->noted_unlogged;
}

static bool hold_needed(leader_vm_t *vm)
{
	const batch_vm_t *life = leader_vm_life(vm);

	if (vm->orphans > 0 || vm->noted_told < noted_of(vm))
		return true;
	return life != NULL && (life->task_count > 0 || !vm->confirmed);
}

/* Time by which a task of the VM should have ended, by its declared time. */
static uint32_t next_end_ms(const leader_vm_t *vm, const batch_vm_t *life, uint64_t now_us)
{
	uint64_t next_ms = UINT32_MAX;
	const batch_task_t *task;

	LIST_FOREACH (task, &life->tasks, vm_link) {
		const Lp__BatchStep *spec = task->step->spec;
		double run_ms = spec->estimate_ms * MAX(1.0, vm->slowness);
		double margin_ms = run_ms * WAIT_MARGIN_PERCENT / 100 + WAIT_LEAST_MS;
		double age_ms = 0;

		if (spec->long_running)
			continue;
		if (task->soft.phase == RUN_CONFIRMED)
			age_ms = (double)(now_us - task->soft.since_us) / US_PER_MS;
		next_ms = MIN(next_ms, (uint64_t)(MAX(run_ms - age_ms, 0) + margin_ms));
	}
	return (uint32_t)next_ms;
}

static uint32_t hold_wait_ms(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *life = leader_vm_life(vm);

	/* Only tells the VM what was recorded, or looks for what should not be there, or whether
	 * the VM answers at all. */
	if (life == NULL || life->task_count == 0 || vm->orphans > 0 || !vm->confirmed ||
	    vm->suspect)
		return 0;
	return MIN(next_end_ms(vm, life, now_us), vm->leader->config.hold_wait_ms);
}

static void send_hold(leader_vm_t *vm, uint64_t now_us)
{
	batch_leader_t *leader = vm->leader;
	hold_t *hold = g_new0(hold_t, 1);
	vm_ref_t ref = leader_vm_ref(vm);
	uint64_t clock_ms = leader_vm_clock_ms(vm, now_us);
	vm_hold_t message = {
		.fence = leader->term,
		.noted = noted_of(vm),
		.wait_ms = hold_wait_ms(vm, now_us),
	};

	/* A VM that did not answer gets no grant until it does: each one that is carried out late
	 * would put off the time from which its tasks may run elsewhere. */
	hold->granted = !vm->suspect && clock_ms > 0;
	if (hold->granted)
		message.lease_until_ms = clock_ms + leader->config.lease_ms;
	vm_handle_set(&hold->vm, vm);
	hold->sent_us = now_us;
	hold->noted = message.noted;
	vm->hold_busy = true;
	hold->number = ++vm->hold_number;
	vm->hold_probes = 0;
	vm->hold_late_us =
		now_us + message.wait_ms * US_PER_MS + PROBE_SLACK_US + 2 * leader->lag_us;
	metrics_add(leader->count.holds, 1);
	leader->port.hold(leader->port.arg, &ref, &message, on_hold_reply, hold);
}

/* Asks a VM again whose hold should have been answered. Until its timeout the ends of the VM's
 * tasks would not be seen, and most of the jobs that run there would be late. */
static void probe_late_hold(leader_vm_t *vm, uint64_t now_us)
{
	batch_leader_t *leader = vm->leader;
	vm_ref_t ref = leader_vm_ref(vm);
	vm_hold_t message = {.fence = leader->term, .noted = noted_of(vm)};
	hold_t *probe;

	if (vm->suspect || now_us < vm->hold_late_us || vm->hold_probes >= PROBES_MAX)
		return;
	probe = g_new0(hold_t, 1);
	vm_handle_set(&probe->vm, vm);
	probe->number = vm->hold_number;
	probe->sent_us = now_us;
	probe->noted = message.noted;
	vm->hold_probes++;
	vm->hold_late_us = now_us + PROBE_GAP_US;
	metrics_add(leader->count.holds, 1);
	leader->port.hold(leader->port.arg, &ref, &message, on_probe_reply, probe);
}

void leader_hold_tick(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *life = leader_vm_life(vm);

	if (vm->hold_busy)
		probe_late_hold(vm, now_us);
	if (vm->hold_busy || vm->ends_busy)
		return;
	if (vm->suspect && vm->starts_busy == 0 && lease_is_over(vm, now_us) && life != NULL &&
	    life->task_count > 0) {
		/* Everything that ran there was ended by the VM itself when its lease expired. */
		leader_lose_all(vm, "the lease of the silent VM has expired");
	}
	if (now_us < vm->hold_due_us || !hold_needed(vm))
		return;
	send_hold(vm, now_us);
}
