#define G_LOG_DOMAIN "batch"

#include <string.h>

#include <talloc.h>

#include "batch_leader_internal.h"
#include "batch_order.h"
#include "batch_place.h"
#include "batch_suspect.h"
#include "log.h"

/* Shortest interval between placement passes: one pass then reuses the capacity of all tasks
 * that finish at about the same time. */
#define PLACE_MIN_INTERVAL_US (15 * US_PER_MS)
/* Time until the next pass, as a multiple of the duration of the latest one: placement takes at
 * most a tenth of the processor. */
#define PLACE_INTERVAL_FACTOR 9
/* Upper limit of this time. A pass can take long because the process was not scheduled. */
#define PLACE_MAX_INTERVAL_US (300 * US_PER_MS)
/* Size limit of the task list in a log line, enough for about ten tasks of a step. For the other
 * tasks, later log lines about their runs name the VM. */
#define LOG_TASKS_BYTES 160
#define WINDOW_LOG_PERIOD_US (1 * US_PER_S)

/* Most task sizes that a pool remembers as not placeable. */
#define UNPLACEABLE_MAX 8

/* Delay of the next placement pass after one that left out a VM because calls wait there. */
#define CALLS_WAIT_US (25 * US_PER_MS)

/* Interval between placement passes while a suspected task waits for a VM of its own. */
#define SUSPECT_INTERVAL_US (50 * US_PER_MS)

/* Resources of a task. */
typedef struct {
	int64_t cpu_milli;
	int64_t mem_mib;
} unplaceable_t;

/* The VMs of one service, as used in a placement pass. */
typedef struct {
	place_vm_t most;   /* the most unreserved resources of any VM, each for itself */
	GArray *place_vms; /* of place_vm_t */
	GPtrArray *vms;	   /* of leader_vm_t, in the same order as place_vms */
	size_t unplaceable_count;
	unplaceable_t unplaceable[UNPLACEABLE_MAX]; /* task sizes that fitted on no VM of the pool
						       in this pass */
} pool_t;

typedef struct {
	batch_leader_t *leader;
	uint64_t now_us;
	uint64_t wall_ms;
	uint64_t number;
	uint64_t vms_examined;
	GHashTable *pools;	  /* service name, interned -> pool_t */
	const char *last_service; /* service of the latest look-up, and its pool */
	pool_t *last_pool;
	GArray *planned; /* of planned_t */
	org_shares_t shares;
} placement_pass_t;

typedef struct {
	batch_task_t *task;
	leader_vm_t *vm;
	uint32_t run;
} planned_t;

static void pool_free(void *data)
{
	pool_t *pool = data;

	g_array_unref(pool->place_vms);
	g_ptr_array_unref(pool->vms);
	g_free(pool);
}

static bool vm_usable(const leader_vm_t *vm, uint64_t now_us)
{
	return leader_vm_is_responsive(vm, now_us) && !vm->draining && !vm->cordoned &&
	       !vm->drained_for_move && !leader_vm_is_in_doubt(vm) && vm->orphan_count == 0 &&
	       vm->vm_clock_read_us != 0 && now_us >= vm->backoff_until_us;
}

/* True while starts would wait at the VM for longer than a response may take. They wait in the
 * order of their urgency instead, and can go to another VM. */
static bool vm_calls_wait(const leader_vm_t *vm, uint64_t now_us)
{
	return call_queue_wait_us(&vm->calls, CALL_START, now_us) > START_WINDOW_LATENCY_US;
}

static place_vm_t make_place_vm(leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);
	const batch_task_t *task;
	place_vm_t place_vm = {
		.rack = vm->rack,
		.data_centre = vm->data_centre,
		.labels = (const char *const *)vm->labels,
		.label_count = vm->label_count,
		.cpu_milli = (int64_t)vm->cpu_milli - vm->planned_cpu,
		.mem_mib = (int64_t)vm->mem_mib - vm->planned_mem,
		.gpu = (int64_t)vm->gpu - vm->planned_gpu,
		.cpu_total = vm->cpu_milli,
		.slowness = MAX(1.0, vm->slowness / MAX(0.5, vm->leader->mean_slowness)),
		.maintenance_due = leader_maintenance_due(vm->leader, vm->machine),
		.usable = vm_usable(vm, now_us),
		.allowed = true,
	};

	if (record != NULL) {
		LIST_FOREACH (task, &record->tasks, vm_link)
			place_adjust_reservation(&place_vm, task->step->spec, 1);
	}
	return place_vm;
}

/* Makes quarantined VMs unusable. If all VMs of the pool are quarantined, all stay usable, as
 * the cause is then possibly in the jobs. */
static void exclude_quarantined(const placement_pass_t *pass, pool_t *pool)
{
	place_vm_t *place_vms = (place_vm_t *)pool->place_vms->data;
	guint healthy = 0;

	for (guint i = 0; i < pool->vms->len; i++) {
		const leader_vm_t *vm = g_ptr_array_index(pool->vms, i);

		healthy += pass->now_us >= vm->quarantine_until_us;
	}
	for (guint i = 0; healthy > 0 && i < pool->vms->len; i++) {
		const leader_vm_t *vm = g_ptr_array_index(pool->vms, i);

		if (pass->now_us < vm->quarantine_until_us)
			place_vms[i].usable = false;
	}
}

static void update_mean_slowness(batch_leader_t *leader)
{
	const leader_vm_t *vm;
	double sum = 0;
	unsigned count = 0;

	LIST_FOREACH (vm, &leader->vms, link) {
		if (vm->dead)
			continue;
		sum += vm->slowness;
		count++;
	}
	if (count > 0)
		leader->mean_slowness = sum / count;
}

/* Updates the most unreserved resources of the pool's VMs. */
static void update_most(pool_t *pool)
{
	const place_vm_t *place_vms = (const place_vm_t *)pool->place_vms->data;

	pool->most = (place_vm_t){.cpu_milli = -1, .mem_mib = -1, .gpu = -1};
	for (guint i = 0; i < pool->place_vms->len; i++) {
		pool->most.cpu_milli = MAX(pool->most.cpu_milli, place_vms[i].cpu_milli);
		pool->most.mem_mib = MAX(pool->most.mem_mib, place_vms[i].mem_mib);
		pool->most.gpu = MAX(pool->most.gpu, place_vms[i].gpu);
	}
}

/* Lets a placement pass run at due_us at the latest. */
static void wait_until(batch_leader_t *leader, uint64_t due_us)
{
	if (leader->waiting_due_us == 0 || due_us < leader->waiting_due_us)
		leader->waiting_due_us = due_us;
}

static pool_t *new_pool(placement_pass_t *pass, const char *service)
{
	pool_t *pool = g_new0(pool_t, 1);
	const leader_service_t *known;
	leader_vm_t *vm;

	pool->place_vms = g_array_new(FALSE, FALSE, sizeof(place_vm_t));
	pool->vms = g_ptr_array_new();
	if (g_hash_table_size(pass->pools) == 0)
		update_mean_slowness(pass->leader);
	g_hash_table_insert(pass->pools, (char *)service, pool);
	known = g_hash_table_lookup(pass->leader->services, service);
	if (known == NULL)
		return pool;
	LIST_FOREACH (vm, &known->vms, service_link) {
		place_vm_t place_vm = make_place_vm(vm, pass->now_us);

		pass->vms_examined++;
		if (!place_vm.usable)
			continue;
		if (vm_calls_wait(vm, pass->now_us)) {
			wait_until(pass->leader, pass->now_us + CALLS_WAIT_US);
			continue;
		}
		suspect_scan_vm(vm);
		vm->pass_number = pass->number;
		vm->place_index = pool->vms->len;
		g_array_append_val(pool->place_vms, place_vm);
		g_ptr_array_add(pool->vms, vm);
	}
	exclude_quarantined(pass, pool);
	update_most(pool);
	return pool;
}

/* @param service name of the service, interned */
static pool_t *get_pool(placement_pass_t *pass, const char *service)
{
	if (pass->last_pool != NULL && pass->last_service == service)
		return pass->last_pool;
	pass->last_service = service;
	pass->last_pool = g_hash_table_lookup(pass->pools, service);
	if (pass->last_pool == NULL)
		pass->last_pool = new_pool(pass, service);
	return pass->last_pool;
}

static bool is_placeable(const batch_task_t *task)
{
	return task->status == BATCH_TASK_WAITING && task->vm == NULL &&
	       !task->local.intent_pending;
}

/* @return leader_vm_hash() of the VMs on which waiting tasks of the step have failed, as a set
 * that the caller frees; NULL: none */
static GHashTable *failed_vms(const batch_step_t *step)
{
	GHashTable *failed = NULL;

	for (uint32_t i = 0; i < step->spec->count; i++) {
		const batch_task_t *task = &step->tasks[i];

		if (task->local.failed_vm_hash == 0 || !is_placeable(task))
			continue;
		if (failed == NULL)
			failed = g_hash_table_new(NULL, NULL);
		g_hash_table_add(failed, GUINT_TO_POINTER(task->local.failed_vm_hash));
	}
	return failed;
}

/* @return the entry in place_vms for the VM to which the task is assigned or is about to be
 * assigned by a pending start intent; NULL: no such VM in this pass */
static place_vm_t *place_vm_of_task(const placement_pass_t *pass, place_vm_t *place_vms,
				    const batch_task_t *task)
{
	const leader_vm_t *vm = task->local.intent_pending ? task->local.intent_vm
				: task->vm != NULL	   ? task->vm->leader
							   : NULL;

	return vm != NULL && vm->pass_number == pass->number ? &place_vms[vm->place_index] : NULL;
}

static void count_job_tasks(const placement_pass_t *pass, place_vm_t *place_vms,
			    const batch_step_t *placed)
{
	const batch_job_t *job = placed->job;

	for (uint32_t i = 0; i < job->step_count; i++) {
		const batch_step_t *step = &job->steps[i];

		if (step->assigned + step->pending_intents == 0)
			continue;
		for (uint32_t j = 0; j < step->spec->count; j++) {
			place_vm_t *place_vm = place_vm_of_task(pass, place_vms, &step->tasks[j]);

			if (place_vm == NULL)
				continue;
			place_vm->job_tasks++;
			place_vm->step_tasks += step == placed;
		}
	}
}

/* Updates place_vms for the placement of the step: counts the tasks of the step and its job on
 * each VM, and marks the VMs where its tasks have failed and those that the policy service
 * allows. */
static void prepare_pool(const placement_pass_t *pass, pool_t *pool, const batch_step_t *step,
			 const Lp__BatchQueue *queue, bool suspect)
{
	bool isolate = suspect && suspect_isolates(step, pass->now_us);
	place_vm_t *place_vms = (place_vm_t *)pool->place_vms->data;
	bool advised = ticket_needed(queue);
	g_autoptr(GHashTable) failed = failed_vms(step);

	for (guint i = 0; i < pool->vms->len; i++) {
		const leader_vm_t *vm = g_ptr_array_index(pool->vms, i);

		place_vms[i].step_tasks = 0;
		place_vms[i].job_tasks = 0;
		place_vms[i].allowed = !advised || ticket_allows(step, vm->id);
		place_vms[i].for_suspect = suspect;
		if (!suspect_vm_open(vm, step, isolate, pass->now_us)) {
			place_vms[i].allowed = false;
			wait_until(pass->leader, pass->now_us + SUSPECT_INTERVAL_US);
		}
		place_vms[i].failed_here =
			failed != NULL &&
			g_hash_table_contains(failed, GUINT_TO_POINTER(leader_vm_hash(vm->id)));
	}
	count_job_tasks(pass, place_vms, step);
}

#define TICKET_RANKS 4

/* @return rank of the VM among those for which the step needs tickets, 0 first: VMs on the rack of
 * its data, then VMs that run tasks, as idle machines may leave the pool before the answer */
static unsigned ticket_rank(const place_vm_t *place, const Lp__BatchStep *spec)
{
	bool local = spec->data_rack[0] != '\0' && strcmp(place->rack, spec->data_rack) == 0;
	bool idle = place->cpu_milli == place->cpu_total;

	return (local ? 0 : 2) + (idle ? 1 : 0);
}

/* Lists the VMs that can take a task of the step and for which it has no ticket.
 * @return their number */
static size_t list_ticket_vms(const pool_t *pool, const batch_step_t *step, const char **ids)
{
	/* Steps that are asked about at the same time should not all get tickets for the same VMs.
	 */
	guint start = g_str_hash(step->job->spec->id) + step->number;
	size_t count = 0;

	for (unsigned rank = 0; rank < TICKET_RANKS; rank++) {
		for (guint i = 0; i < pool->vms->len; i++) {
			guint at = (start + i) % pool->vms->len;
			const leader_vm_t *vm = g_ptr_array_index(pool->vms, at);
			const place_vm_t *place = &g_array_index(pool->place_vms, place_vm_t, at);

			if (ticket_rank(place, step->spec) == rank &&
			    place_suits(place, step->spec) && !ticket_allows(step, vm->id))
				ids[count++] = vm->id;
		}
	}
	return count;
}

/* @return number of VMs for which tasks of the step need tickets, at least 1
 * @param wanted number of tasks without a VM */
static size_t count_needed_vms(const pool_t *pool, const Lp__BatchStep *spec, size_t wanted)
{
	size_t allowed = 0;
	size_t others = 0;
	size_t needed = 0;

	for (guint i = 0; i < pool->vms->len && allowed < wanted; i++) {
		const place_vm_t *vm = &g_array_index(pool->place_vms, place_vm_t, i);

		if (vm->allowed)
			allowed += place_capacity(vm, spec, wanted);
	}
	for (guint i = 0; i < pool->vms->len && allowed + others < wanted; i++) {
		const place_vm_t *vm = &g_array_index(pool->place_vms, place_vm_t, i);
		size_t capacity = vm->allowed ? 0 : place_capacity(vm, spec, wanted);

		others += capacity;
		needed += capacity > 0;
	}
	return MAX(needed, 1);
}

/* Requests tickets for VMs that can take a task of the step now and for which it has none. The pool
 * must be prepared for the step. @param wanted number of tasks without a VM */
static void request_tickets(placement_pass_t *pass, const pool_t *pool, batch_step_t *step,
			    const Lp__BatchQueue *queue, size_t wanted)
{
	g_autofree const char **ids = NULL;
	uint64_t due_us;
	size_t count;

	if (!ticket_may_request(pass->leader, step, pass->now_us))
		return;
	ids = g_new(const char *, pool->vms->len);
	count = list_ticket_vms(pool, step, ids);
	due_us = ticket_request(pass->leader, step, queue, ids, count,
				count_needed_vms(pool, step->spec, wanted), pass->now_us);
	if (due_us != 0)
		wait_until(pass->leader, due_us);
}

static uint32_t next_run(const batch_step_t *step, const batch_task_t *task)
{
	uint32_t run = task->run;

	/* All members of a gang get the same run number. */
	for (uint32_t i = 0; step->spec->gang && i < step->spec->count; i++)
		run = MAX(run, step->tasks[i].run);
	return run + 1;
}

static void reserve_task(placement_pass_t *pass, batch_task_t *task, leader_vm_t *vm)
{
	const Lp__BatchStep *spec = task->step->spec;
	planned_t planned = {.task = task, .vm = vm, .run = next_run(task->step, task)};

	start_window_add(&pass->leader->window);
	task->local.intent_pending = true;
	task->local.intent_vm = vm;
	task->step->pending_intents++;
	vm->planned_count++;
	vm->planned_cpu += place_reserved_cpu_milli(spec);
	vm->planned_mem += spec->mem_mib;
	vm->planned_gpu += spec->gpu;
	suspect_run_planned(vm, task);
	if (task->step->job->account != NULL) {
		org_use_add(&task->step->job->account->planned, spec, 1);
		org_shares_add(&pass->shares, task->step->job->service, task->step->job->account,
			       spec->cpu_milli);
	}
	g_array_append_val(pass->planned, planned);
}

/* True when a task that needs no more than one of the step has fitted on no VM in this pass. */
static bool pool_known_full(const pool_t *pool, const Lp__BatchStep *spec)
{
	for (size_t i = 0; i < pool->unplaceable_count && !spec->best_effort; i++) {
		if (spec->cpu_milli >= pool->unplaceable[i].cpu_milli &&
		    spec->mem_mib >= pool->unplaceable[i].mem_mib)
			return true;
	}
	return false;
}

/* @return number of tasks of the step that may be started now. Long-running tasks do not wait for
 * the window, and a gang is started as a whole. */
static size_t window_room(const placement_pass_t *pass, const Lp__BatchStep *spec)
{
	unsigned room = start_window_room(&pass->leader->window);

	if (spec->long_running || (spec->gang && room > 0))
		return spec->count;
	return MIN(room, spec->count);
}

/* @return number of tasks of the step, at most wanted, that the limit of its organisation lets
 * start */
static size_t account_room(const batch_step_t *step, size_t wanted)
{
	const org_account_t *account = step->job->account;

	if (account == NULL)
		return wanted;
	return org_account_room(account, &account->planned, step->spec, (uint32_t)wanted);
}

/* False when the window or the organisation's limit has no room, or no VM of the step's service has
 * enough unreserved resources for a task of it. Steps that need tickets of a policy service do not
 * need room on a VM, because examining them requests the tickets. */
static bool step_has_room(void *arg, const batch_step_t *step)
{
	placement_pass_t *pass = arg;

	if (window_room(pass, step->spec) == 0) {
		pass->leader->window_full = true;
		return false;
	}
	if (account_room(step, step->spec->gang ? step->spec->count : 1) == 0)
		return false;
	if (ticket_needed(step->job->queue))
		return true;
	return place_fits(&get_pool(pass, step->job->service)->most, step->spec);
}

/* Remembers the size of the step's tasks, if nothing but the free resources has limited where they
 * can run. */
static void remember_unplaceable(pool_t *pool, const batch_candidate_t *candidate)
{
	const Lp__BatchStep *spec = candidate->step->spec;

	if (spec->gang || spec->best_effort || spec->gpu > 0 || spec->max_per_vm > 0 ||
	    spec->constraint[0] != '\0' || pool->unplaceable_count == UNPLACEABLE_MAX ||
	    ticket_needed(candidate->queue))
		return;
	pool->unplaceable[pool->unplaceable_count++] =
		(unplaceable_t){.cpu_milli = spec->cpu_milli, .mem_mib = spec->mem_mib};
}

/* Logs one line for the step: which task goes to which VM, and how many tasks still wait. */
static void log_placement(const placement_pass_t *pass, const batch_step_t *step, size_t placed,
			  size_t wanted)
{
	g_autoptr(GString) tasks = g_string_new(NULL);
	char name[32];
	char left[16];

	for (size_t i = pass->planned->len - placed; i < pass->planned->len; i++) {
		const planned_t *planned = &g_array_index(pass->planned, planned_t, i);

		if (tasks->len > LOG_TASKS_BYTES)
			break;
		g_string_append_printf(tasks, "%s%u/%u@%s", tasks->len > 0 ? " " : "",
				       planned->task->index, planned->run, planned->vm->id);
	}
	g_snprintf(name, sizeof(name), "%u.%u", step->occurrence, step->number);
	g_snprintf(left, sizeof(left), "%zu", wanted - placed);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", step->job->spec->id, "step", name, "tasks", tasks->str,
			     "left", left),
		  "placed tasks");
}

/* Updates the wait of a suspected step for a VM without recently started runs of other jobs. */
static void update_isolation(const placement_pass_t *pass, const pool_t *pool,
			     const batch_candidate_t *candidate, size_t placed, size_t wanted)
{
	const Lp__BatchStep *spec = candidate->step->spec;
	bool advised = ticket_needed(candidate->queue);
	double *used = talloc_zero_array(NULL, double, pool->vms->len);

	for (guint i = 0; i < pool->vms->len; i++) {
		const place_vm_t *place_vm = &g_array_index(pool->place_vms, place_vm_t, i);
		const leader_vm_t *vm = g_ptr_array_index(pool->vms, i);
		bool eligible = place_vm->usable && place_has_label(place_vm, spec->constraint) &&
				(!advised || ticket_allows(candidate->step, vm->id));

		used[i] = eligible ? 1.0 - (double)place_vm->cpu_milli /
						     MAX(1.0, (double)place_vm->cpu_total)
				   : 2.0;
	}
	suspect_step_attempted(candidate->step, placed > 0, (leader_vm_t **)pool->vms->pdata, used,
			       pool->vms->len, pass->now_us);
	talloc_free(used);
	if (placed < wanted)
		wait_until(pass->leader, pass->now_us + SUSPECT_INTERVAL_US);
}

static void place_candidate(placement_pass_t *pass, const batch_candidate_t *candidate)
{
	batch_step_t *step = candidate->step;
	const Lp__BatchStep *spec = step->spec;
	pool_t *pool = get_pool(pass, step->job->service);
	bool suspect = suspect_step(step);
	bool advised = ticket_needed(candidate->queue);
	void *mem;
	batch_task_t **tasks;
	size_t *chosen;
	size_t wanted = 0;
	size_t placed;
	size_t room;

	if (pool->vms->len == 0 || !step_has_room(pass, step) ||
	    (!suspect && pool_known_full(pool, spec)))
		return;
	mem = talloc_new(NULL);
	tasks = talloc_zero_array(mem, batch_task_t *, spec->count);
	chosen = talloc_zero_array(mem, size_t, spec->count);
	room = window_room(pass, spec);
	for (uint32_t i = 0; i < spec->count && wanted < room; i++) {
		if (is_placeable(&step->tasks[i]))
			tasks[wanted++] = &step->tasks[i];
	}
	pass->leader->window_full |= wanted == room && room < spec->count;
	wanted = account_room(step, wanted);
	if (wanted == 0 || (spec->gang && wanted < spec->count))
		goto finish;
	if (advised && !ticket_allows_any(step) &&
	    !ticket_may_request(pass->leader, step, pass->now_us))
		goto finish;
	prepare_pool(pass, pool, step, candidate->queue, suspect);
	placed = place_step((place_vm_t *)pool->place_vms->data, pool->place_vms->len, spec, wanted,
			    chosen);
	if (placed < wanted && advised)
		request_tickets(pass, pool, step, candidate->queue,
				spec->gang ? wanted : wanted - placed);
	if (placed < wanted && !suspect)
		remember_unplaceable(pool, candidate);
	for (size_t i = 0; i < placed; i++)
		reserve_task(pass, tasks[i], g_ptr_array_index(pool->vms, chosen[i]));
	if (suspect)
		update_isolation(pass, pool, candidate, placed, wanted);
	if (placed > 0) {
		update_most(pool);
		log_placement(pass, step, placed, wanted);
	}
finish:
	talloc_free(mem);
}

/* --- start intents --- */

typedef struct {
	Lp__BatchTask ref;
	vm_handle_t vm;
	int64_t cpu; /* CPU reserved on the VM for the task, in thousandths of a core */
	int64_t mem;
	int64_t gpu;
} intent_t;

typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	size_t count;
	intent_t intents[];
} intents_t;

static void clear_planned(batch_task_t *task)
{
	if (!task->local.intent_pending)
		return;
	task->local.intent_pending = false;
	task->local.intent_vm = NULL;
	task->step->pending_intents--;
}

static void release_reservation(leader_vm_t *vm, const intent_t *intent)
{
	vm->planned_count--;
	vm->planned_cpu -= intent->cpu;
	vm->planned_mem -= intent->mem;
	vm->planned_gpu -= intent->gpu;
}

bool leader_start_fits(leader_vm_t *vm, const batch_task_t *started, uint64_t now_us)
{
	const Lp__BatchStep *spec = started->step->spec;
	const batch_vm_t *record = leader_vm_record(vm);
	const batch_task_t *task;
	place_vm_t room = {.cpu_milli = vm->cpu_milli, .mem_mib = vm->mem_mib, .gpu = vm->gpu};

	if (record == NULL || !leader_vm_report_is_fresh(vm, now_us))
		return false;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (task->local.phase != RUN_REFUSED)
			place_adjust_reservation(&room, task->step->spec, 1);
	}
	return (room.cpu_milli >= 0 || spec->best_effort) && room.mem_mib >= 0 && room.gpu >= 0;
}

/* True when the VM, as it has reported since the start was planned, can still take it. A commit can
 * take long, for example while disks stall. */
static bool may_still_start(leader_vm_t *vm, const batch_task_t *task)
{
	return !vm->draining && !leader_vm_is_in_doubt(vm) && vm->orphan_count == 0 &&
	       leader_start_fits(vm, task, leader_now_us(vm->leader));
}

bool leader_may_start(leader_vm_t *vm, batch_task_t *task)
{
	const char *reason = NULL;

	if (batch_job_ended(task->step->job))
		reason = "the job has ended before the start";
	else if (!may_still_start(vm, task))
		reason = "the VM cannot take it any more";
	if (reason == NULL)
		return true;
	leader_refuse_run(vm->leader, task, reason);
	return false;
}

/* @return whether a start request was sent */
static bool finish_intent(batch_leader_t *leader, const intent_t *intent, bool committed)
{
	batch_task_t *task = batch_state_task(leader->state, &intent->ref);
	leader_vm_t *vm = vm_handle_get(&intent->vm);

	if (vm != NULL)
		release_reservation(vm, intent);
	/* The task is NULL when its job has ended and the tasks were freed. */
	if (task == NULL)
		return false;
	clear_planned(task);
	if (!committed || task->status != BATCH_TASK_ASSIGNED || task->run != intent->ref.run ||
	    task->local.phase != RUN_INHERITED)
		return false;
	/* A start intent with the same run number, of an earlier leader or one that had timed out,
	 * was possibly committed first: for another VM, or so long ago that the run is being
	 * committed as lost. */
	if (task->local.loss_pending || task->vm == NULL ||
	    strcmp(task->vm->id, intent->vm.vm) != 0 || task->vm->born_ms != intent->vm.born_ms)
		return false;
	if (vm == NULL) {
		leader_mark_run_lost(leader, task, "the VM has ended before the start");
		return false;
	}
	if (!leader_may_start(vm, task) || !ticket_ready(vm, task))
		return false;
	leader_request_start(vm, task);
	return true;
}

static void on_intents_committed(void *arg, Lp__ResultCode code)
{
	g_autofree intents_t *intents = arg;
	batch_leader_t *leader = intents->leader;

	if (!leader->active || leader->generation != intents->generation)
		return;
	leader->placement_due = true;
	for (size_t i = 0; i < intents->count; i++) {
		if (!finish_intent(leader, &intents->intents[i],
				   code == LP__RESULT_CODE__RESULT_OK))
			start_window_remove(&leader->window);
	}
	for (size_t i = 0; i < intents->count; i++) {
		batch_task_t *task = batch_state_task(leader->state, &intents->intents[i].ref);

		if (task != NULL && task->local.phase == RUN_AWAITS_TICKET)
			ticket_request_awaited(leader, task->step);
	}
}

static void propose_intents(placement_pass_t *pass)
{
	batch_leader_t *leader = pass->leader;
	size_t count = pass->planned->len;
	intents_t *intents = g_malloc0(sizeof(*intents) + count * sizeof(intents->intents[0]));
	void *mem = talloc_new(NULL);
	Lp__BatchStart *starts = talloc_zero_array(mem, Lp__BatchStart, count);
	Lp__BatchStart **list = talloc_zero_array(mem, Lp__BatchStart *, count);
	Lp__BatchTask **refs = talloc_zero_array(mem, Lp__BatchTask *, count);
	Lp__BatchStarts message = LP__BATCH_STARTS__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	*intents = (intents_t){.leader = leader, .generation = leader->generation, .count = count};
	for (size_t i = 0; i < count; i++) {
		const planned_t *planned = &g_array_index(pass->planned, planned_t, i);
		const Lp__BatchStep *spec = planned->task->step->spec;
		Lp__BatchStart *start = i > 0 ? list[message.n_starts - 1] : NULL;

		batch_task_ref(planned->task, &intents->intents[i].ref);
		intents->intents[i].ref.run = planned->run;
		intents->intents[i].cpu = place_reserved_cpu_milli(spec);
		intents->intents[i].mem = spec->mem_mib;
		intents->intents[i].gpu = spec->gpu;
		vm_handle_set(&intents->intents[i].vm, planned->vm);
		refs[i] = &intents->intents[i].ref;
		if (start == NULL || strcmp(start->vm, planned->vm->id) != 0) {
			start = &starts[message.n_starts];
			lp__batch_start__init(start);
			start->vm = planned->vm->id;
			start->born_ms = planned->vm->born_ms;
			start->address = planned->vm->address;
			start->machine = planned->vm->machine;
			start->tasks = &refs[i];
			list[message.n_starts++] = start;
		}
		start->n_tasks++;
	}
	message.starts = list;
	message.term = leader->term;
	command.body_case = LP__BATCH_COMMAND__BODY_STARTS;
	command.starts = &message;
	leader_propose(leader, &command, on_intents_committed, intents);
	talloc_free(mem);
}

static gint compare_planned(gconstpointer a, gconstpointer b)
{
	const planned_t *first = a;
	const planned_t *second = b;

	return strcmp(first->vm->id, second->vm->id);
}

static void report_window(batch_leader_t *leader, uint64_t now_us)
{
	char size[16];
	char in_flight[16];

	metrics_set(leader->stats.window, (uint64_t)leader->window.size);
	metrics_set(leader->stats.in_flight, leader->window.in_flight);
	if (!leader->window_full)
		return;
	metrics_add(leader->stats.window_full, 1);
	if (now_us < leader->window_logged_us + WINDOW_LOG_PERIOD_US)
		return;
	leader->window_logged_us = now_us;
	g_snprintf(size, sizeof(size), "%u", (unsigned)leader->window.size);
	g_snprintf(in_flight, sizeof(in_flight), "%u", leader->window.in_flight);
	log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("window", size, "in_flight", in_flight),
		  "waiting tasks are not started, because this process is behind");
}

void leader_window_changed(batch_leader_t *leader)
{
	if (leader->window_full && start_window_room(&leader->window) > 0)
		leader->placement_due = true;
}

void leader_clear_planned(batch_leader_t *leader)
{
	batch_job_t *job;

	TAILQ_FOREACH (job, &leader->state->active, link) {
		for (uint32_t i = 0; i < job->step_count; i++) {
			for (uint32_t j = 0; j < job->steps[i].spec->count; j++)
				clear_planned(&job->steps[i].tasks[j]);
		}
	}
}

void leader_place_tasks(batch_leader_t *leader, uint64_t now_us)
{
	placement_pass_t pass = {
		.leader = leader,
		.now_us = now_us,
		.wall_ms = leader->wall_ms(leader->arg),
		.number = ++leader->pass_count,
	};
	const batch_room_t room = {.has_room = step_has_room, .arg = &pass};
	batch_candidates_t candidates;
	const batch_candidate_t *candidate;

	leader->placement_due |= leader->waiting_due_us != 0 && now_us >= leader->waiting_due_us;
	if (!leader->placement_due || now_us < leader->next_placement_us)
		return;
	leader->placement_due = false;
	leader->window_full = false;
	leader->waiting_due_us = 0;
	pass.pools = g_hash_table_new_full(NULL, NULL, NULL, pool_free);
	pass.planned = g_array_new(FALSE, FALSE, sizeof(planned_t));
	org_shares_init(&pass.shares);
	org_shares_collect(&pass.shares, leader->state);
	batch_candidates_init(&candidates, leader->state, &room, &pass.shares, now_us,
			      pass.wall_ms);
	/* Long-running steps, which do not wait for the window, come first. */
	while ((candidate = batch_candidates_next(&candidates)) != NULL) {
		if (window_room(&pass, candidate->step->spec) == 0) {
			leader->window_full = true;
			break;
		}
		place_candidate(&pass, candidate);
	}
	if (pass.planned->len > 0) {
		g_array_sort(pass.planned, compare_planned);
		propose_intents(&pass);
	}
	metrics_add(leader->stats.candidates, candidates.examined);
	metrics_add(leader->stats.place_vms, pass.vms_examined);
	metrics_add(leader->stats.passes, 1);
	report_window(leader, now_us);
	leader->next_placement_us =
		now_us + CLAMP((leader_now_us(leader) - now_us) * (PLACE_INTERVAL_FACTOR + 1),
			       PLACE_MIN_INTERVAL_US, PLACE_MAX_INTERVAL_US);
	batch_candidates_finish(&candidates);
	org_shares_finish(&pass.shares);
	g_array_unref(pass.planned);
	g_hash_table_destroy(pass.pools);
}
