#define G_LOG_DOMAIN "batch"

#include "batch_leader_internal.h"

#include <inttypes.h>
#include <string.h>

#include "log.h"

/* Weight of ends in the estimate of a VM's health halves in this time: several ends of the shortest
 * tasks (0.6 s) are seen in it. */
#define HEALTH_HALVE_US (4 * US_PER_S)
/* Ticks are due every 25 ms; later than this the process has more to do than it can. */
#define TICK_LATE_US (40 * US_PER_MS)
#define SLOW_PART_US (30 * US_PER_MS)
/* After its farewell a VM still ends what runs there; bounds.stopMs is 200. */
#define LEFT_GRACE_US (500 * US_PER_MS)
/* Looks this often for lives that only the log knows; such a run was never ordered here, and waits
 * for at most this. */
#define ADOPT_PERIOD_US (1 * US_PER_S)

static void forget_vm(leader_vm_t *vm);

uint64_t leader_now_us(const batch_leader_t *leader)
{
	return leader->clock_us(leader->arg);
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

batch_vm_t *leader_vm_life(leader_vm_t *vm)
{
	const batch_state_t *state = vm->leader->state;

	if (vm->life_revision != state->vms_revision) {
		vm->life = batch_state_vm(state, vm->id, vm->born_ms);
		vm->life_revision = state->vms_revision;
		if (vm->life != NULL)
			vm->life->leader = vm;
	}
	return vm->life;
}

void leader_vm_set_clock(leader_vm_t *vm, uint64_t clock_ms, uint64_t now_us)
{
	if (clock_ms == 0)
		return;
	vm->clock_ms = clock_ms;
	vm->clock_us = now_us;
}

bool leader_vm_is_empty(leader_vm_t *vm)
{
	const batch_vm_t *life = leader_vm_life(vm);

	return vm->planned == 0 && vm->orphans == 0 && (life == NULL || life->task_count == 0);
}

uint64_t leader_vm_clock_ms(const leader_vm_t *vm, uint64_t now_us)
{
	return vm->clock_us == 0 ? 0 : vm->clock_ms + (now_us - vm->clock_us) / US_PER_MS;
}

uint32_t leader_vm_hash(const char *vm_id)
{
	return g_str_hash(vm_id) | 1U;
}

leader_vm_t *leader_vm_of_machine(const batch_leader_t *leader, const char *machine)
{
	return g_hash_table_lookup(leader->by_machine, machine);
}

bool leader_vm_answers(const leader_vm_t *vm, uint64_t now_us)
{
	return !vm->dead && !vm->suspect && vm->heard_us != 0 &&
	       now_us < vm->heard_us + vm->leader->config.silent_ms * US_PER_MS;
}

void task_name_set(task_name_t *name, const batch_task_t *task)
{
	g_strlcpy(name->job, task->step->job->spec->id, sizeof(name->job));
	name->occurrence = task->step->occurrence;
	name->step = task->step->number;
	name->index = task->index;
}

void run_text_set(char text[RUN_TEXT_MAX], const task_name_t *name, uint32_t run)
{
	g_snprintf(text, RUN_TEXT_MAX, "%u.%u.%u run %u", name->occurrence, name->step, name->index,
		   run);
}

void run_text_of(char text[RUN_TEXT_MAX], const batch_task_t *task)
{
	task_name_t name;

	task_name_set(&name, task);
	run_text_set(text, &name, task->run);
}

batch_task_t *leader_task(const batch_leader_t *leader, const task_name_t *name)
{
	batch_job_t *job = batch_state_job(leader->state, name->job);

	return job == NULL ? NULL : batch_job_task(job, name->occurrence, name->step, name->index);
}

/* --- VMs --- */

static char *copy_text(const char *text)
{
	return g_strdup(text != NULL ? text : "");
}

static leader_vm_t *new_vm(batch_leader_t *leader, const char *id, uint64_t born_ms,
			   const char *address)
{
	leader_vm_t *vm = g_new0(leader_vm_t, 1);

	*vm = (leader_vm_t){
		.leader = leader,
		.id = copy_text(id),
		.machine = copy_text(""),
		.service = copy_text(""),
		.address = copy_text(address),
		.data_centre = copy_text(""),
		.rack = copy_text(""),
		.born_ms = born_ms,
		.slowness = 1.0,
		.life_revision = UINT64_MAX,
	};
	LIST_INSERT_HEAD(&leader->vms, vm, link);
	g_hash_table_insert(leader->by_id, vm->id, vm);
	return vm;
}

static void free_labels(leader_vm_t *vm)
{
	for (size_t i = 0; i < vm->label_count; i++)
		g_free(vm->labels[i]);
	g_free(vm->labels);
	vm->labels = NULL;
	vm->label_count = 0;
}

static void add_index(GHashTable *table, char *key, leader_vm_t *vm)
{
	const leader_vm_t *known = g_hash_table_lookup(table, key);

	if (key[0] != '\0' && (known == NULL || known->born_ms <= vm->born_ms))
		g_hash_table_replace(table, key, vm);
}

/* Finds the VM under its machine and address from now on, unless a later life has them. */
static void index_vm(leader_vm_t *vm)
{
	add_index(vm->leader->by_address, vm->address, vm);
	add_index(vm->leader->by_machine, vm->machine, vm);
}

static void drop_index(GHashTable *table, const char *key, const leader_vm_t *vm)
{
	if (g_hash_table_lookup(table, key) == vm)
		g_hash_table_remove(table, key);
}

static void unindex_vm(const leader_vm_t *vm)
{
	drop_index(vm->leader->by_address, vm->address, vm);
	drop_index(vm->leader->by_machine, vm->machine, vm);
}

/* Remembers the latest life of the VM that has ended: its late reports are not believed. */
static void note_end(const leader_vm_t *vm)
{
	const uint64_t *known_ms = g_hash_table_lookup(vm->leader->ended, vm->id);
	uint64_t *ended_ms;

	if (known_ms != NULL && *known_ms >= vm->born_ms)
		return;
	ended_ms = g_new(uint64_t, 1);
	*ended_ms = vm->born_ms;
	g_hash_table_replace(vm->leader->ended, g_strdup(vm->id), ended_ms);
}

static void free_vm(leader_vm_t *vm)
{
	batch_vm_t *life = leader_vm_life(vm);

	if (life != NULL && life->leader == vm)
		life->leader = NULL;
	LIST_REMOVE(vm, link);
	drop_index(vm->leader->by_id, vm->id, vm);
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
	drop_index(vm->leader->by_id, vm->id, vm);
	unindex_vm(vm);
	note_end(vm);
	metrics_add(vm->leader->count.dead, 1);
	g_snprintf(born, sizeof(born), "%" PRIu64, vm->born_ms);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", vm->id, "born", born, "machine", vm->machine, "reason", reason),
		  "VM does not run any more");
	leader_lose_all(vm, reason);
}

static void replace_text(char **field, const char *value)
{
	if (value == NULL || strcmp(*field, value) == 0)
		return;
	g_free(*field);
	*field = g_strdup(value);
}

leader_vm_t *leader_vm_from_life(batch_leader_t *leader, batch_vm_t *life)
{
	batch_lease_limits_t limits = leader_lease_limits(leader);
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, life->id);
	leader_vm_t *added;

	if (vm != NULL && vm->born_ms > life->born_ms) {
		/* Keeps the later life under the id; the earlier one has ended with it. */
		added = new_vm(leader, life->id, life->born_ms, life->address);
		g_hash_table_insert(leader->by_id, vm->id, vm);
		leader_vm_mark_dead(added, "a later life of the VM has reported");
		return added;
	}
	added = new_vm(leader, life->id, life->born_ms, life->address);
	replace_text(&added->machine, life->machine);
	index_vm(added);
	/* An earlier leader may have sent grants that are still on their way. */
	added->lease.answered_end_us = leader->active_us + limits.late_us + limits.length_us;
	return added;
}

static void take_report(leader_vm_t *vm, const vm_report_t *report, uint64_t now_us)
{
	unindex_vm(vm);
	replace_text(&vm->machine, report->machine);
	replace_text(&vm->service, report->service);
	replace_text(&vm->address, report->address);
	replace_text(&vm->data_centre, report->data_centre);
	replace_text(&vm->rack, report->rack);
	free_labels(vm);
	vm->labels = g_new0(char *, report->label_count + 1);
	for (size_t i = 0; i < report->label_count; i++)
		vm->labels[vm->label_count++] = g_strdup(report->labels[i]);
	vm->cpu_milli = report->cpu_milli;
	vm->mem_mib = report->mem_mib;
	vm->gpu = report->gpu;
	vm->seq = report->seq;
	/* A report that was on its way when the machine went down arrives within a second. */
	if (vm->ordered_us != 0 && now_us > vm->ordered_us + US_PER_S) {
		vm->ordered_us = 0;
		vm->cordoned = false;
	}
	vm->heard_us = now_us;
	leader_vm_set_clock(vm, report->clock_ms, now_us);
	if (report->draining && !vm->draining)
		log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", vm->id, "service", vm->service),
			  "VM drains");
	vm->draining = report->draining;
	vm->drain_until_us = now_us + report->remaining_ms * US_PER_MS;
}

static void end_predecessor(const leader_vm_t *latest, leader_vm_t *vm)
{
	if (vm != NULL && vm != latest && !vm->dead && vm->born_ms < latest->born_ms)
		leader_vm_mark_dead(vm, "its machine or address has a later VM");
}

/* A VM with the same machine or address that was born earlier has ended. */
static void end_predecessors(batch_leader_t *leader, const leader_vm_t *latest)
{
	end_predecessor(latest, g_hash_table_lookup(leader->by_address, latest->address));
	end_predecessor(latest, leader_vm_of_machine(leader, latest->machine));
}

static bool is_later(const leader_vm_t *vm, uint64_t born_ms)
{
	return vm != NULL && vm->heard_us != 0 && vm->born_ms > born_ms;
}

/* A life of the VM, or of another VM at its address or machine, that was born later is known; or
 * this life is known to have ended. */
static bool is_superseded(const batch_leader_t *leader, const char *vm, const char *address,
			  const char *machine, uint64_t born_ms)
{
	const uint64_t *ended_ms = g_hash_table_lookup(leader->ended, vm);

	return (ended_ms != NULL && *ended_ms >= born_ms) ||
	       is_later(g_hash_table_lookup(leader->by_address, address), born_ms) ||
	       is_later(leader_vm_of_machine(leader, machine), born_ms);
}

/* Intents of an earlier leader that were on their way are recorded although this one leads already.
 * Their life may have ended before this leader heard of it. */
static void adopt_life(batch_leader_t *leader, batch_vm_t *life)
{
	bool ended = is_superseded(leader, life->id, life->address, life->machine, life->born_ms);
	leader_vm_t *vm = leader_vm_from_life(leader, life);
	char count[16];

	g_snprintf(count, sizeof(count), "%u", life->task_count);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("vm", life->id, "runs", count),
		  "an earlier leader has recorded runs on a VM that was not known");
	if (ended)
		leader_vm_mark_dead(vm, "its machine or address has a later VM");
	else
		leader_upkeep_cordon(leader, vm);
}

static void adopt_lives(batch_leader_t *leader, uint64_t now_us)
{
	batch_vm_t *life;

	if (now_us < leader->adopt_due_us)
		return;
	leader->adopt_due_us = now_us + ADOPT_PERIOD_US;
	LIST_FOREACH (life, &leader->state->vms, link) {
		if (life->task_count > 0 && life->leader == NULL)
			adopt_life(leader, life);
	}
}

static leader_vm_t *add_reported(batch_leader_t *leader, const vm_report_t *report)
{
	leader_vm_t *vm = new_vm(leader, report->id, report->born_ms, report->address);

	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", report->id, "service", report->service, "machine",
			     report->machine, "rack", report->rack),
		  "VM has reported for the first time");
	return vm;
}

bool batch_leader_report(batch_leader_t *leader, const vm_report_t *report, uint64_t heard_us)
{
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, report->id);
	bool is_new;

	if (is_superseded(leader, report->id, report->address, report->machine, report->born_ms) ||
	    (vm != NULL && vm->born_ms > report->born_ms))
		return false;
	if (vm != NULL && vm->born_ms < report->born_ms) {
		leader_vm_mark_dead(vm, "a later life of the VM has reported");
		vm = NULL;
	}
	if (vm != NULL && vm->heard_us != 0 && report->seq <= vm->seq)
		return false;
	is_new = vm == NULL || vm->heard_us == 0;
	if (vm == NULL)
		vm = add_reported(leader, report);
	take_report(vm, report, heard_us);
	end_predecessors(leader, vm);
	leader_machine_reported(leader, vm);
	index_vm(vm);
	if (is_new) {
		leader_upkeep_returned(leader, vm);
		leader_upkeep_cordon(leader, vm);
	}
	vm->left_us = 0;
	leader->place_due = true;
	return true;
}

const char *batch_leader_data_centre(const batch_leader_t *leader, const char *vm_id)
{
	const leader_vm_t *vm = g_hash_table_lookup(leader->by_id, vm_id);

	return vm != NULL && vm->data_centre[0] != '\0' ? vm->data_centre : NULL;
}

size_t batch_leader_vm_count(const batch_leader_t *leader)
{
	return g_hash_table_size(leader->machines);
}

void batch_leader_left(batch_leader_t *leader, const char *vm_id)
{
	leader_vm_t *vm = g_hash_table_lookup(leader->by_id, vm_id);

	if (vm != NULL && vm->left_us == 0)
		vm->left_us = leader_now_us(leader);
}

/* --- life cycle --- */

static void count_init(batch_leader_t *leader)
{
	metrics_t *metrics = leader->metrics;

	leader->count.starts = metrics_counter(metrics, "batch_starts_total", "");
	leader->count.start_refused = metrics_counter(metrics, "batch_starts_refused_total", "");
	leader->count.start_unsure = metrics_counter(metrics, "batch_starts_unsure_total", "");
	leader->count.ends = metrics_counter(metrics, "batch_ends_total", "");
	leader->count.lost = metrics_counter(metrics, "batch_runs_lost_total", "");
	leader->count.holds = metrics_counter(metrics, "batch_holds_total", "");
	leader->count.holds_overtaken = metrics_counter(metrics, "batch_holds_overtaken_total", "");
	leader->count.stops = metrics_counter(metrics, "batch_stops_total", "");
	leader->count.dead = metrics_counter(metrics, "batch_vms_ended_total", "");
	leader->count.start_latency = metrics_histogram(metrics, "batch_start_latency_us", "");
}

batch_leader_t *batch_leader_create(const batch_leader_options_t *options)
{
	batch_leader_t *leader = g_new0(batch_leader_t, 1);

	leader->config = options->config;
	leader->state = options->state;
	leader->port = options->port;
	leader->propose = options->propose;
	leader->clock_us = options->now_us;
	leader->clock_wall_ms = options->wall_ms;
	leader->arg = options->arg;
	leader->metrics = options->metrics;
	leader->mean_slowness = 1.0;
	leader->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	leader->by_machine = g_hash_table_new(g_str_hash, g_str_equal);
	leader->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	leader->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	LIST_INIT(&leader->vms);
	leader->machines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, leader_machine_free);
	leader->need_before = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	count_init(leader);
	return leader;
}

void batch_leader_destroy(batch_leader_t *leader)
{
	batch_leader_deactivate(leader);
	g_hash_table_destroy(leader->by_id);
	g_hash_table_destroy(leader->by_machine);
	g_hash_table_destroy(leader->by_address);
	g_hash_table_destroy(leader->ended);
	g_hash_table_destroy(leader->machines);
	g_hash_table_destroy(leader->need_before);
	g_free(leader);
}

/* Runs that an earlier leader started are confirmed by the next hold, or lost. */
static void inherit_runs(batch_leader_t *leader)
{
	batch_vm_t *life;
	batch_task_t *task;

	LIST_FOREACH (life, &leader->state->vms, link) {
		life->leader = NULL;
		LIST_FOREACH (task, &life->tasks, vm_link) {
			g_autofree char *saved = g_strdup(task->soft.saved);

			task->soft = (run_soft_t){.paced = 100, .since_us = leader->active_us};
			g_strlcpy(task->soft.saved, saved, sizeof(task->soft.saved));
		}
		/* Pacing of an earlier leader is not known; it is ordered anew where needed. */
		if (life->task_count > 0)
			leader_upkeep_cordon(leader, leader_vm_from_life(leader, life));
	}
}

void batch_leader_activate(batch_leader_t *leader, uint64_t term)
{
	char text[24];

	batch_leader_deactivate(leader);
	leader->active = true;
	leader->term = term;
	leader->generation++;
	leader->active_us = leader_now_us(leader);
	leader->place_due = true;
	leader->list_busy = false;
	leader->list_known = false;
	leader->list_read_us = 0;
	leader->order_seq = 0;
	leader->adopt_due_us = leader->active_us + ADOPT_PERIOD_US;
	inherit_runs(leader);
	g_snprintf(text, sizeof(text), "%" PRIu64, term);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("term", text), "runs the batch jobs");
}

void batch_leader_deactivate(batch_leader_t *leader)
{
	leader_vm_t *vm;
	leader_vm_t *next;

	if (leader->active)
		log_event(G_LOG_LEVEL_MESSAGE, NULL, "does not run the batch jobs any more");
	leader->active = false;
	leader_unplan_all(leader);
	for (vm = LIST_FIRST(&leader->vms); vm != NULL; vm = next) {
		next = LIST_NEXT(vm, link);
		free_vm(vm);
	}
	g_hash_table_remove_all(leader->ended);
	g_hash_table_remove_all(leader->machines);
	g_hash_table_remove_all(leader->need_before);
}

bool batch_leader_active(const batch_leader_t *leader)
{
	return leader->active;
}

void batch_leader_wake(batch_leader_t *leader)
{
	leader->place_due = true;
}

static void forget_vm(leader_vm_t *vm)
{
	const batch_vm_t *life = leader_vm_life(vm);

	if (vm->dead && vm->planned == 0 && (life == NULL || life->task_count == 0) &&
	    leader_now_us(vm->leader) > vm->heard_us + vm->leader->config.late_order_ms * US_PER_MS)
		free_vm(vm);
}

static void halve_health(batch_leader_t *leader, uint64_t now_us)
{
	leader_vm_t *vm;

	if (now_us < leader->halve_due_us)
		return;
	leader->halve_due_us = now_us + HEALTH_HALVE_US;
	LIST_FOREACH (vm, &leader->vms, link) {
		vm->recent_ok /= 2;
		vm->recent_failed /= 2;
	}
}

/* Tells which part of the work holds up the event loop. */
static uint64_t note_time(const batch_leader_t *leader, const char *part, uint64_t since_us)
{
	uint64_t now_us = leader_now_us(leader);
	char ms[16];

	if (now_us > since_us + SLOW_PART_US) {
		g_snprintf(ms, sizeof(ms), "%u", (unsigned)((now_us - since_us) / US_PER_MS));
		log_event(G_LOG_LEVEL_INFO, LOG_FIELDS("part", part, "ms", ms),
			  "the leader's work was slow");
	}
	return now_us;
}

static void tick_vm(leader_vm_t *vm, uint64_t now_us)
{
	if (!vm->dead && vm->left_us != 0 && now_us > vm->left_us + LEFT_GRACE_US)
		leader_vm_mark_dead(vm, "it has left");
	if (vm->dead) {
		leader_lose_all(vm, "the VM has ended");
		forget_vm(vm);
		return;
	}
	leader_stop_tick(vm, now_us);
	leader_pace_tick(vm, now_us);
	leader_evacuate_tick(vm, now_us);
	leader_hold_tick(vm, now_us);
}

static void measure_lag(batch_leader_t *leader, uint64_t now_us)
{
	uint64_t gap_us = leader->tick_us != 0 ? now_us - leader->tick_us : 0;
	uint64_t late_us = gap_us > TICK_LATE_US ? gap_us - TICK_LATE_US : 0;

	leader->tick_us = now_us;
	/* Rises at once, falls over some ticks. */
	leader->lag_us = MAX(late_us, leader->lag_us * 7 / 8);
}

void batch_leader_tick(batch_leader_t *leader)
{
	uint64_t now_us = leader_now_us(leader);
	uint64_t part_us;
	leader_vm_t *vm;

	if (!leader->active)
		return;
	measure_lag(leader, now_us);
	halve_health(leader, now_us);
	vm = LIST_FIRST(&leader->vms);
	while (vm != NULL) {
		leader_vm_t *next = LIST_NEXT(vm, link);

		tick_vm(vm, now_us);
		vm = next;
	}
	/* Every known VM has looked up its life in this tick. */
	adopt_lives(leader, now_us);
	part_us = note_time(leader, "vms", now_us);
	leader_machines_tick(leader, now_us);
	part_us = note_time(leader, "machines", part_us);
	leader_upkeep_tick(leader, now_us);
	part_us = note_time(leader, "waves", part_us);
	leader_place(leader, now_us);
	note_time(leader, "placement", part_us);
}

void batch_leader_work(batch_leader_t *leader)
{
	if (leader->active)
		leader_place(leader, leader_now_us(leader));
}

const char *vm_reply_name(vm_reply_code_t code)
{
	static const char *const names[] = {
		[VM_REPLY_OK] = "ok",
		[VM_REPLY_FENCED] = "fenced",
		[VM_REPLY_OLD_RUN] = "old run",
		[VM_REPLY_TOO_LATE] = "too late",
		[VM_REPLY_NO_ROOM] = "no room",
		[VM_REPLY_BAD_TICKET] = "bad ticket",
		[VM_REPLY_INVALID] = "invalid",
		[VM_REPLY_UNHEALTHY] = "unhealthy",
		[VM_REPLY_OTHER_LIFE] = "other life",
		[VM_REPLY_BUSY] = "busy",
		[VM_REPLY_NOT_SENT] = "not sent",
		[VM_REPLY_NONE] = "no answer",
	};

	return names[code];
}

batch_admission_t batch_leader_admit(batch_leader_t *leader, const Lp__BatchQueue *queue,
				     const Lp__BatchJob *job)
{
	return (batch_admission_t){.accept = true};
}
