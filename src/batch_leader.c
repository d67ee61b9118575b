#define G_LOG_DOMAIN "batch"

#include "batch_leader_internal.h"

#include <inttypes.h>
#include <string.h>

#include "batch_order.h"
#include "log.h"

/* Half-life of a VM's counts of completed and failed runs, from which its health is estimated.
 * Several of the shortest tasks (0.6 s) finish in this time. */
#define HEALTH_HALF_LIFE_US (4 * US_PER_S)
/* Gap between ticks above which this process counts as overloaded. Ticks are due every 25 ms. */
#define TICK_LATE_US (40 * US_PER_MS)
/* Input delay up to which this process does not count as overloaded: the network's delay, and a few
 * ms of work in this process and the edge process. */
#define INPUT_DELAY_NORMAL_US (25 * US_PER_MS)
#define ESTIMATE_PERIOD_US (500 * US_PER_MS)
#define SLOW_PART_US (30 * US_PER_MS)

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

const char *batch_leader_data_centre(const batch_leader_t *leader, const char *vm_id)
{
	const leader_vm_t *vm = g_hash_table_lookup(leader->by_id, vm_id);

	return vm != NULL && vm->data_centre[0] != '\0' ? vm->data_centre : NULL;
}

size_t batch_leader_machine_count(const batch_leader_t *leader)
{
	return g_hash_table_size(leader->machines);
}

/* True for a run that an earlier leader has assigned to a VM that has not told yet whether it has
 * begun, but is not silent, as far as is known: after a restart, the VMs have yet to report. */
static bool is_probably_begun(const batch_leader_t *leader, const batch_task_t *task,
			      uint64_t now_us)
{
	const leader_vm_t *vm = task->vm != NULL ? task->vm->leader : NULL;

	if (task->status != BATCH_TASK_ASSIGNED || task->local.phase != RUN_INHERITED)
		return false;
	return now_us < leader->activated_us + leader->config.report_timeout_ms * US_PER_MS ||
	       (vm != NULL && leader_vm_is_responsive(vm, now_us));
}

bool batch_leader_job_begun(const batch_leader_t *leader, const batch_job_t *job)
{
	uint64_t now_us = leader_now_us(leader);

	if (job->begun || job->begun_seen)
		return true;
	for (uint32_t i = 0; !job->archived && i < job->step_count; i++) {
		const batch_step_t *step = &job->steps[i];

		for (uint32_t j = 0; step->assigned > 0 && j < step->spec->count; j++) {
			if (is_probably_begun(leader, &step->tasks[j], now_us))
				return true;
		}
	}
	return false;
}

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
	leader->stats.tickets_awaited = metrics_counter(metrics, "batch_tickets_awaited_total", "");
	leader->stats.ends = metrics_counter(metrics, "batch_ends_total", "");
	leader->stats.lost = metrics_counter(metrics, "batch_runs_lost_total", "");
	leader->stats.handed_over = metrics_counter(metrics, "batch_runs_handed_over_total", "");
	leader->stats.holds = metrics_counter(metrics, "batch_holds_total", "");
	leader->stats.holds_overtaken = metrics_counter(metrics, "batch_holds_overtaken_total", "");
	leader->stats.stops = metrics_counter(metrics, "batch_stops_total", "");
	leader->stats.calls_waiting = metrics_counter(metrics, "batch_vm_calls_waiting", "");
	leader->stats.calls_withdrawn =
		metrics_counter(metrics, "batch_vm_calls_withdrawn_total", "");
	leader->stats.dead = metrics_counter(metrics, "batch_vms_ended_total", "");
	leader->stats.shutdowns_refuted =
		metrics_counter(metrics, "batch_shutdowns_refuted_total", "");
	leader->stats.foreign_reports = metrics_counter(metrics, "batch_reports_foreign_total", "");
	leader->stats.challenges = metrics_counter(metrics, "batch_challenges_total", "");
	leader->stats.challenges_refuted =
		metrics_counter(metrics, "batch_challenges_refuted_total", "");
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

static void on_job_ended(void *arg, batch_job_t *job)
{
	batch_leader_t *leader = arg;
	uint64_t age_ms;

	/* The time of a scheduled job says nothing, nor does that of one which runs until it is
	 * cancelled. */
	if (!leader->active || job->spec->times > 0 || job->steps[0].spec->long_running)
		return;
	age_ms = batch_job_age_ms(job, leader_now_us(leader), leader->wall_ms(leader->arg));
	batch_outcome_report(&leader->outcome, job, age_ms, batch_objective_ms(job, job->queue));
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
	ticket_init(leader);
	leader_vms_init(leader);
	leader_challenges_init(leader);
	leader->known_services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	leader->machines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, leader_machine_free);
	leader->smoothed_need = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	forecast_init(&leader->forecast);
	batch_outcome_init(&leader->outcome, leader->metrics);
	leader->state->job_listener = (batch_job_listener_t){.ended = on_job_ended, .arg = leader};
	init_metrics(leader);
	return leader;
}

void batch_leader_destroy(batch_leader_t *leader)
{
	batch_leader_deactivate(leader);
	policy_calls_finish(&leader->policy_calls);
	leader_vms_finish(leader);
	leader_challenges_finish(leader);
	g_hash_table_destroy(leader->known_services);
	g_hash_table_destroy(leader->machines);
	g_hash_table_destroy(leader->smoothed_need);
	forecast_finish(&leader->forecast);
	leader->state->job_listener = (batch_job_listener_t){0};
	batch_outcome_finish(&leader->outcome);
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
	leader->adopt_due_us = leader->activated_us + LEADER_ADOPT_PERIOD_US;
	inherit_runs(leader);
	g_snprintf(text, sizeof(text), "%" PRIu64, term);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("term", text), "started managing batch jobs");
}

void batch_leader_deactivate(batch_leader_t *leader)
{
	if (leader->active)
		log_event(G_LOG_LEVEL_MESSAGE, NULL, "stopped managing batch jobs");
	leader->active = false;
	leader_clear_planned(leader);
	leader_vms_clear(leader);
	policy_calls_reset(&leader->policy_calls);
	g_hash_table_remove_all(leader->challenges);
	start_window_finish(&leader->window);
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

/* Updates the expected run times of all jobs: many were accepted when less was known. */
static void refresh_estimates(batch_leader_t *leader, uint64_t now_us)
{
	batch_job_t *job;

	if (now_us < leader->estimate_due_us)
		return;
	leader->estimate_due_us = now_us + ESTIMATE_PERIOD_US;
	TAILQ_FOREACH (job, &leader->state->active, link) {
		if (!batch_job_ended(job))
			batch_job_estimate(leader->state, job);
	}
	batch_outcome_show_accounts(&leader->outcome, &leader->state->organisations);
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
		leader_check_shutdown(vm, now_us);
	leader_settle_challenge(vm, now_us);
	if (!vm->confirmed) {
		leader_forget_silent_reporter(vm, now_us);
		return;
	}
	if (vm->dead) {
		leader_hand_over_runs(vm);
		leader_mark_all_runs_lost(vm, "the VM has ended");
		leader_vm_free_if_done(vm);
		return;
	}
	leader_calls_tick(vm, now_us);
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
	leader_note_services(leader);
	leader_observe_demand(leader, leader_now_us(leader));
}

static void show_calls(const batch_leader_t *leader)
{
	const leader_vm_t *vm;
	uint64_t waiting = 0;

	LIST_FOREACH (vm, &leader->vms, link)
		waiting += call_queue_waiting(&vm->calls);
	metrics_set(leader->stats.calls_waiting, waiting);
}

void batch_leader_tick(batch_leader_t *leader)
{
	uint64_t now_us = leader_now_us(leader);
	uint64_t part_start_us;
	leader_vm_t *vm;

	if (!leader->active)
		return;
	measure_lag(leader, now_us);
	leader_note_services(leader);
	refresh_estimates(leader, now_us);
	decay_health(leader, now_us);
	vm = LIST_FIRST(&leader->vms);
	while (vm != NULL) {
		leader_vm_t *next = LIST_NEXT(vm, link);

		tick_vm(vm, now_us);
		vm = next;
	}
	show_calls(leader);
	policy_calls_tick(&leader->policy_calls);
	leader_challenges_tick(leader, now_us);
	leader_adopt_vm_records(leader, now_us);
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
	leader_note_services(leader);
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
