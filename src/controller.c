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

/* A member that was not heard for this long is recorded as down, so that its slots are shared out
 * among the others. Longer than a leader change and a peer reconnection together. */
#define MEMBER_DOWN_US (6 * US_PER_S)
#define LOAD_REPORT_MS 1000
/* The planner runs again soon after a change: with one run a second, each VM of a wave waited half
 * a second on average at each of its four steps. */
#define CHANGE_MS 100

struct controller {
	node_t *node;
	platform_t *platform;
	probe_t *probe;
	capacity_t capacity;
	GArray *demands; /**< of the latest planner run */
	timer_sub_t plan_timer;
	timer_sub_t load_timer;
	timer_sub_t change_timer;
	bool changed;	       /**< since the latest planner run */
	unsigned pending;      /**< proposals without an outcome */
	uint64_t led_since_us; /**< 0: not leader */
	metrics_counter_t *runs;
	metrics_counter_t *actions;
	metrics_counter_t *conflicts;
};

/* --- ports of the planner --- */

/** Time and index asked about, and the answer. */
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

	/* A member that is down may be cut off and still route, so it counts as not applied. */
	if (applied < query->index)
		query->ok = false;
}

static bool all_applied(void *arg, const char *data_centre, uint64_t index)
{
	const controller_t *controller = arg;
	member_query_t query = {.node = controller->node, .index = index, .ok = true};

	node_each_member(controller->node, data_centre, check_applied, &query);
	return query.ok;
}

static void check_heard(void *arg, const fleet_member_t *member)
{
	member_query_t *query = arg;
	const node_t *node = query->node;
	uint64_t heard_us = replica_peer_heard_us(node->replica, member->node_id);

	if (member->node_id == node->settings->node)
		query->ok = true;
	else if (heard_us != 0 && query->now_us - heard_us < MEMBER_DOWN_US)
		query->ok = true;
}

/** True when one entry process of the data centre at least is heard. */
static bool in_contact(void *arg, const char *data_centre)
{
	const controller_t *controller = arg;
	member_query_t query = {.node = controller->node, .now_us = clock_now_us(), .ok = false};

	node_each_member(controller->node, data_centre, check_heard, &query);
	return query.ok;
}

static bool is_platform_done(void *arg, const fleet_vm_t *vm, plan_kind_t kind)
{
	const controller_t *controller = arg;

	switch (kind) {
	case PLAN_DRAIN:
		return platform_done(controller->platform, PLATFORM_DRAIN, vm->id, vm->epoch);
	case PLAN_REBOOT:
		return platform_done(controller->platform, PLATFORM_REBOOT, vm->id, vm->epoch);
	case PLAN_CORDON:
	case PLAN_STEP:
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
		.all_applied = all_applied,
		.in_contact = in_contact,
		.platform_done = is_platform_done,
		.arg = controller,
		.now_us = now_us,
		.wall_ms = clock_wall_ms(),
	};
}

/* --- carrying out actions --- */

static void on_proposed(void *arg, const Lp__Result *result)
{
	controller_t *controller = arg;

	controller->pending--;
	/* The planner plans again from the state as it is then. */
	if (result->code != LP__RESULT_CODE__RESULT_OK)
		metrics_add(controller->conflicts, 1);
}

static void propose(controller_t *controller, Lp__Command *command)
{
	controller->pending++;
	node_propose(controller->node, command, on_proposed, controller);
}

/** A silent VM is declared lost only after a probe on a new connection failed. */
static bool loss_is_confirmed(controller_t *controller, const fleet_vm_t *vm)
{
	return probe_confirms_loss(controller->probe, vm->id, vm->address, clock_now_us());
}

static void propose_action(controller_t *controller, const plan_action_t *action)
{
	command_t command;

	if (command_init_action(&command, action))
		propose(controller, &command.command);
}

static void take_step(controller_t *controller, const plan_action_t *action)
{
	if (action->step.to == LP__VM_PHASE__VM_LOST && !loss_is_confirmed(controller, action->vm))
		return;
	if (action->step.to == LP__VM_PHASE__VM_ACTIVE) {
		platform_forget(controller->platform, action->vm->id);
		probe_forget(controller->probe, action->vm->id);
	}
	propose_action(controller, action);
}

/** Image that the VM's wave installs. */
static const char *wave_image(const controller_t *controller, const fleet_vm_t *vm)
{
	const fleet_wave_t *wave = fleet_wave_find(&controller->node->fleet, vm->wave);

	return wave == NULL ? vm->image : wave->image;
}

static void carry_out(controller_t *controller, const plan_action_t *action)
{
	metrics_add(controller->actions, 1);
	switch (action->kind) {
	case PLAN_STEP:
		take_step(controller, action);
		break;
	case PLAN_CORDON:
	case PLAN_ASSIGN:
	case PLAN_WAVE:
		propose_action(controller, action);
		break;
	case PLAN_DRAIN:
		platform_request(controller->platform, PLATFORM_DRAIN, action->vm->id,
				 action->vm->epoch, NULL);
		break;
	case PLAN_REBOOT:
		platform_request(controller->platform, PLATFORM_REBOOT, action->vm->id,
				 action->vm->epoch, wave_image(controller, action->vm));
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

/** Records silent members as down; each takes itself up again when it returns (serve.c). */
static void watch_members(controller_t *controller, uint64_t now_us)
{
	node_t *node = controller->node;
	const fleet_member_t *member;

	TAILQ_FOREACH (member, &node->fleet.members, link) {
		uint64_t heard_us = replica_peer_heard_us(node->replica, member->node_id);
		/* A new leader gives every member the whole period. */
		bool silent = now_us - MAX(heard_us, controller->led_since_us) > MEMBER_DOWN_US;

		if (member->node_id != node->settings->node && member->up && silent)
			propose_member_down(controller, member);
	}
}

/* --- timers --- */

static bool check_leading(controller_t *controller, uint64_t now_us)
{
	bool leading = replica_has_lease(controller->node->replica);

	if (!leading) {
		controller->led_since_us = 0;
	} else if (controller->led_since_us == 0) {
		controller->led_since_us = now_us;
		health_start(&controller->node->health, now_us);
	}
	return leading;
}

static void set_failures(void *arg, const char *vm, uint32_t consecutive_failures)
{
	node_t *node = arg;

	health_set_failures(&node->health, vm, consecutive_failures);
}

static void run_plan(controller_t *controller, uint64_t now_us)
{
	plan_input_t input;
	GPtrArray *actions;

	if (!check_leading(controller, now_us) || controller->pending > 0)
		return;
	controller->changed = false;
	metrics_add(controller->runs, 1);
	watch_members(controller, now_us);
	controller_plan_input(controller, &input);
	actions = planner_run(&input);
	for (unsigned i = 0; i < actions->len; i++)
		carry_out(controller, g_ptr_array_index(actions, i));
	g_ptr_array_unref(actions);
}

static void on_plan_timer(void *arg, uint64_t now_us)
{
	controller_t *controller = arg;

	if (check_leading(controller, now_us)) {
		capacity_sample(&controller->capacity, now_us);
		route_table_failures(controller->node->routes, set_failures, controller->node);
	}
	run_plan(controller, now_us);
}

static void on_change_timer(void *arg, uint64_t now_us)
{
	controller_t *controller = arg;

	if (controller->changed)
		run_plan(controller, now_us);
}

void controller_changed(controller_t *controller)
{
	controller->changed = true;
}

static void add_load(void *arg, const route_load_t *load)
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

	route_table_loads(node->routes, add_load, loads);
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

void controller_load(controller_t *controller, uint32_t from, const Lp__LoadReport *report)
{
	capacity_report(&controller->capacity, from, report, clock_now_us());
}

const char *controller_platform_error(const controller_t *controller)
{
	return platform_error(controller->platform);
}

controller_t *controller_create(node_t *node)
{
	controller_t *controller = talloc_zero(NULL, controller_t);

	controller->node = node;
	controller->platform = platform_create(node->settings->platform, &node->client);
	controller->probe = probe_create(&node->client);
	capacity_init(&controller->capacity);
	controller->runs = metrics_counter(node->metrics, "lavenderpass_planner_runs_total", "");
	controller->actions =
		metrics_counter(node->metrics, "lavenderpass_planner_actions_total", "");
	controller->conflicts =
		metrics_counter(node->metrics, "lavenderpass_planner_conflicts_total", "");
	timer_subscribe(&node->timers, &controller->plan_timer,
			node->settings->timing.planner_ms * US_PER_MS, on_plan_timer, controller);
	timer_subscribe(&node->timers, &controller->change_timer, CHANGE_MS * US_PER_MS,
			on_change_timer, controller);
	timer_subscribe(&node->timers, &controller->load_timer, LOAD_REPORT_MS * US_PER_MS,
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
