#define G_LOG_DOMAIN "controller"

#include "controller.h"

#include <string.h>

#include <talloc.h>

#include "capacity.h"
#include "clock.h"
#include "command.h"
#include "log.h"
#include "platform.h"
#include "probe.h"

/*
 * A member that the leader hears nothing from for this long is recorded as down, and the other
 * members get its share of the slots. It is longer than a leader change plus a reconnection between
 * processes.
 */
#define MEMBER_TIMEOUT_US (6 * US_PER_S)
#define LOAD_REPORT_INTERVAL_MS 1000
/*
 * Interval at which the leader checks whether the state changed and the planner must run again.
 * With only the regular run once a second, each VM of a wave waited 0.5 s on average at each of its
 * four phase changes.
 */
#define CHANGE_CHECK_INTERVAL_MS 100

struct controller {
	node_t *node;
	platform_t *platform;
	probe_t *probe;
	capacity_t capacity;
	GArray *demands; /**< demands passed to the latest planner run */
	timer_sub_t plan_timer;
	timer_sub_t load_timer;
	timer_sub_t change_timer;
	bool changed;		    /**< the applied state changed since the latest planner run */
	unsigned pending_proposals; /**< number of proposals without a result yet */
	uint64_t leader_since_us; /**< time when this process became leader; 0: it is not leader */
	metrics_counter_t *planner_runs;
	metrics_counter_t *planner_actions;
	metrics_counter_t *failed_proposals;
};

/* --- planner callbacks --- */

/** Argument of the check_*() callbacks, which set ok to the result of the check. */
typedef struct {
	const node_t *node;
	uint64_t index;
	uint64_t now_us;
	bool ok;
} member_query_t;

static void check_applied(void *arg, const fleet_member_t *member)
{
	member_query_t *query = arg;
	const node_t *node = query->node;
	uint64_t applied = member->node_id == node->settings->node
				   ? replica_applied(node->replica)
				   : replica_peer_applied(node->replica, member->node_id);

	/*
	 * Members recorded as down are checked too, since a partitioned member may still route
	 * requests.
	 */
	if (applied < query->index)
		query->ok = false;
}

static bool is_applied_by_all(void *arg, const char *data_centre, uint64_t index)
{
	const controller_t *controller = arg;
	member_query_t query = {.node = controller->node, .index = index, .ok = true};

	node_each_member(controller->node, data_centre, check_applied, &query);
	return query.ok;
}

static void check_heard_recently(void *arg, const fleet_member_t *member)
{
	member_query_t *query = arg;
	const node_t *node = query->node;
	uint64_t heard_us = replica_peer_last_reply_us(node->replica, member->node_id);

	if (member->node_id == node->settings->node)
		query->ok = true;
	else if (heard_us != 0 && query->now_us - heard_us < MEMBER_TIMEOUT_US)
		query->ok = true;
}

/**
 * True when an entry process of the data centre is this process or has replied to it, as the
 * leader, within MEMBER_TIMEOUT_US.
 */
static bool is_data_centre_heard(void *arg, const char *data_centre)
{
	const controller_t *controller = arg;
	member_query_t query = {.node = controller->node, .now_us = clock_now_us(), .ok = false};

	node_each_member(controller->node, data_centre, check_heard_recently, &query);
	return query.ok;
}

static bool is_platform_op_done(void *arg, const fleet_vm_t *vm, plan_kind_t kind)
{
	const controller_t *controller = arg;

	switch (kind) {
	case PLAN_DRAIN:
		return platform_done(controller->platform, PLATFORM_DRAIN, vm->id, vm->epoch);
	case PLAN_REBOOT:
		return platform_done(controller->platform, PLATFORM_REBOOT, vm->id, vm->epoch);
	case PLAN_CORDON:
	case PLAN_SET_PHASE:
	case PLAN_ASSIGN:
	case PLAN_WAVE:
		break;
	}
	return false;
}

void controller_plan_input(controller_t *controller, plan_input_t *input)
{
	node_t *node = controller->node;
	uint64_t now_us = clock_now_us();

	if (controller->demands != NULL)
		g_array_unref(controller->demands);
	controller->demands = capacity_demands(&controller->capacity, &node->fleet, now_us);
	*input = (plan_input_t){
		.fleet = &node->fleet,
		.health = &node->health,
		.demands = (const pool_demand_t *)(void *)controller->demands->data,
		.demand_count = controller->demands->len,
		.all_applied = is_applied_by_all,
		.in_contact = is_data_centre_heard,
		.platform_done = is_platform_op_done,
		.arg = controller,
		.now_us = now_us,
		.wall_ms = clock_wall_ms(),
	};
}

/* --- executing planner actions --- */

static void on_proposed(void *arg, const Lp__Result *result)
{
	controller_t *controller = arg;

	controller->pending_proposals--;
	/* A failed proposal is not repeated: the next planner run starts from the new state. */
	if (result->code != LP__RESULT_CODE__RESULT_OK)
		metrics_add(controller->failed_proposals, 1);
}

static void propose(controller_t *controller, Lp__Command *command)
{
	controller->pending_proposals++;
	node_propose(controller->node, command, on_proposed, controller);
}

/**
 * True when the VM may be recorded as lost. Starts a connection probe of the VM if there is none
 * yet.
 */
static bool confirm_loss(controller_t *controller, const fleet_vm_t *vm)
{
	return probe_confirms_loss(controller->probe, vm->id, vm->address, clock_now_us());
}

static void propose_action(controller_t *controller, const plan_action_t *action)
{
	command_t command;

	if (command_init_action(&command, action))
		propose(controller, &command.command);
}

static void propose_phase_change(controller_t *controller, const plan_action_t *action)
{
	if (action->step.to == LP__VM_PHASE__VM_LOST && !confirm_loss(controller, action->vm))
		return;
	if (action->step.to == LP__VM_PHASE__VM_ACTIVE) {
		platform_forget_vm(controller->platform, action->vm->id);
		probe_forget(controller->probe, action->vm->id);
	}
	propose_action(controller, action);
}

/**
 * Returns the image to boot: that of the VM's wave, or the VM's current image if it has no wave.
 */
static const char *image_to_boot(const controller_t *controller, const fleet_vm_t *vm)
{
	const fleet_wave_t *wave = fleet_wave_find(&controller->node->fleet, vm->wave);

	return wave == NULL ? vm->image : wave->image;
}

static void execute_action(controller_t *controller, const plan_action_t *action)
{
	metrics_add(controller->planner_actions, 1);
	switch (action->kind) {
	case PLAN_SET_PHASE:
		propose_phase_change(controller, action);
		break;
	case PLAN_CORDON:
	case PLAN_ASSIGN:
	case PLAN_WAVE:
		propose_action(controller, action);
		break;
	case PLAN_DRAIN:
		platform_advance_op(controller->platform, PLATFORM_DRAIN, action->vm->id,
				    action->vm->epoch, NULL);
		break;
	case PLAN_REBOOT:
		platform_advance_op(controller->platform, PLATFORM_REBOOT, action->vm->id,
				    action->vm->epoch, image_to_boot(controller, action->vm));
		break;
	}
}

/* --- members --- */

static void propose_member_down(controller_t *controller, const fleet_member_t *member)
{
	Lp__Member copy = LP__MEMBER__INIT;
	Lp__MemberUpdate update = LP__MEMBER_UPDATE__INIT;
	Lp__Command command = LP__COMMAND__INIT;

	copy.node_id = member->node_id;
	copy.replica_id = member->replica_id;
	copy.data_centre = member->data_centre;
	copy.peer_address = member->peer_address;
	copy.http_address = member->http_address;
	copy.disk = member->disk;
	copy.up = false;
	update.member = &copy;
	command.body_case = LP__COMMAND__BODY_MEMBER_UPDATE;
	command.member_update = &update;
	propose(controller, &command);
}

/**
 * Records members as down that have sent nothing for MEMBER_TIMEOUT_US. A member that returns
 * records itself as up (serve.c).
 */
static void record_silent_members_as_down(controller_t *controller, uint64_t now_us)
{
	node_t *node = controller->node;
	const fleet_member_t *member;

	TAILQ_FOREACH (member, &node->fleet.members, link) {
		uint64_t heard_us = replica_peer_last_reply_us(node->replica, member->node_id);
		/* A new leader waits a whole timeout before it records a member as down. */
		bool silent =
			now_us - MAX(heard_us, controller->leader_since_us) > MEMBER_TIMEOUT_US;

		if (member->node_id != node->settings->node && member->up && silent)
			propose_member_down(controller, member);
	}
}

/* --- timers --- */

static bool update_leadership(controller_t *controller, uint64_t now_us)
{
	bool is_leader = replica_has_lease(controller->node->replica);

	if (!is_leader) {
		controller->leader_since_us = 0;
	} else if (controller->leader_since_us == 0) {
		controller->leader_since_us = now_us;
		health_start(&controller->node->health, now_us);
	}
	return is_leader;
}

static void set_target_failures(void *arg, const char *vm, uint32_t consecutive_failures)
{
	node_t *node = arg;

	health_set_failures(&node->health, vm, consecutive_failures);
}

static void run_planner(controller_t *controller, uint64_t now_us)
{
	plan_input_t input;
	GPtrArray *actions;

	if (!update_leadership(controller, now_us) || controller->pending_proposals > 0)
		return;
	controller->changed = false;
	metrics_add(controller->planner_runs, 1);
	record_silent_members_as_down(controller, now_us);
	controller_plan_input(controller, &input);
	actions = planner_run(&input);
	for (unsigned i = 0; i < actions->len; i++)
		execute_action(controller, g_ptr_array_index(actions, i));
	g_ptr_array_unref(actions);
}

static void on_plan_timer(void *arg, uint64_t now_us)
{
	controller_t *controller = arg;

	if (update_leadership(controller, now_us)) {
		capacity_sample(&controller->capacity, now_us);
		route_table_for_each_failure_count(controller->node->routes, set_target_failures,
						   controller->node);
	}
	run_planner(controller, now_us);
}

static void on_change_timer(void *arg, uint64_t now_us)
{
	controller_t *controller = arg;

	if (controller->changed)
		run_planner(controller, now_us);
}

void controller_notify_change(controller_t *controller)
{
	controller->changed = true;
}

static void append_load(void *arg, const route_load_t *load)
{
	GPtrArray *loads = arg;
	Lp__PoolLoad *entry = g_new(Lp__PoolLoad, 1);

	lp__pool_load__init(entry);
	entry->organisation = g_strdup(load->organisation);
	entry->pool = g_strdup(load->pool);
	entry->in_flight = load->in_flight;
	entry->queued = load->queued;
	entry->offered = load->offered;
	entry->refused = load->refused;
	entry->service_us = load->service_us;
	g_ptr_array_add(loads, entry);
}

static void free_load(gpointer data)
{
	Lp__PoolLoad *entry = data;

	g_free(entry->organisation);
	g_free(entry->pool);
	g_free(entry);
}

static void report_load(void *arg, uint64_t now_us)
{
	controller_t *controller = arg;
	node_t *node = controller->node;
	uint32_t leader = replica_leader(node->replica);
	GPtrArray *loads = g_ptr_array_new_with_free_func(free_load);
	Lp__LoadReport report = LP__LOAD_REPORT__INIT;
	Lp__Envelope envelope = LP__ENVELOPE__INIT;

	route_table_for_each_load(node->routes, append_load, loads);
	report.n_pools = loads->len;
	report.pools = (Lp__PoolLoad **)loads->pdata;
	envelope.body_case = LP__ENVELOPE__BODY_LOAD;
	envelope.load = &report;
	if (leader == node->settings->node)
		capacity_report(&controller->capacity, leader, &report, now_us);
	else if (leader != 0)
		peer_send(node->peers, leader, &envelope);
	g_ptr_array_unref(loads);
}

void controller_handle_load_report(controller_t *controller, uint32_t from,
				   const Lp__LoadReport *report)
{
	capacity_report(&controller->capacity, from, report, clock_now_us());
}

const char *controller_platform_error(const controller_t *controller)
{
	return platform_last_error(controller->platform);
}

controller_t *controller_create(node_t *node)
{
	controller_t *controller = talloc_zero(NULL, controller_t);

	controller->node = node;
	controller->platform = platform_create(node->settings->platform, &node->client);
	controller->probe = probe_create(&node->client);
	capacity_init(&controller->capacity);
	controller->planner_runs =
		metrics_counter(node->metrics, "lavenderpass_planner_runs_total", "");
	controller->planner_actions =
		metrics_counter(node->metrics, "lavenderpass_planner_actions_total", "");
	controller->failed_proposals =
		metrics_counter(node->metrics, "lavenderpass_planner_conflicts_total", "");
	timer_subscribe(&node->timers, &controller->plan_timer,
			node->settings->timing.planner_ms * US_PER_MS, on_plan_timer, controller);
	timer_subscribe(&node->timers, &controller->change_timer,
			CHANGE_CHECK_INTERVAL_MS * US_PER_MS, on_change_timer, controller);
	timer_subscribe(&node->timers, &controller->load_timer, LOAD_REPORT_INTERVAL_MS * US_PER_MS,
			report_load, controller);
	return controller;
}

void controller_destroy(controller_t *controller)
{
	timer_unsubscribe(&controller->node->timers, &controller->plan_timer);
	timer_unsubscribe(&controller->node->timers, &controller->load_timer);
	timer_unsubscribe(&controller->node->timers, &controller->change_timer);
	if (controller->demands != NULL)
		g_array_unref(controller->demands);
	capacity_finish(&controller->capacity);
	probe_destroy(controller->probe);
	platform_destroy(controller->platform);
	talloc_free(controller);
}
