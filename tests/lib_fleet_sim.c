#include "lib_fleet_sim.h"

#include <stdio.h>
#include <string.h>

#include "budget.h"
#include "clock.h"
#include "command.h"
#include "template.h"

#define ROUTING_LEASE_US (4 * US_PER_S)
#define LOST_US (10 * US_PER_S)
#define MAX_PLANNER_RUNS_PER_STEP 4
/*
 * Monday, 5 January 2026, 22:00 UTC. The maintenance windows of the templates in examples/ are open
 * then.
 */
#define START_WALL_MS (1767650400ULL * 1000)

static const char *const dc_names[SIM_DC_MAX] = {"dc1", "dc2", "dc3", "dc4"};

static int dc_number(const char *name)
{
	return name[2] - '1';
}

Lp__Template *sim_load_template(const char *file)
{
	Lp__Template *template;
	char error[512];
	char *text;
	gsize length;

	if (!g_file_get_contents(file, &text, &length, NULL))
		g_error("cannot read %s; run this from the source directory", file);
	if (template_parse(file, text, length, NULL, 0, &template, error, sizeof(error)) != 0)
		g_error("%s", error);
	g_free(text);
	return template;
}

void sim_init(sim_t *sim, uint32_t seed)
{
	memset(sim, 0, sizeof(*sim));
	fleet_init(&sim->fleet);
	health_init(&sim->health, ROUTING_LEASE_US, LOST_US);
	sim->rand = g_rand_new_with_seed(seed);
	sim->now_us = 100 * US_PER_S;
	sim->wall_ms = START_WALL_MS;
	sim->plan = planner_run;
}

void sim_finish(sim_t *sim)
{
	fleet_finish(&sim->fleet);
	health_finish(&sim->health);
	g_rand_free(sim->rand);
}

Lp__ResultCode sim_apply_command(sim_t *sim, Lp__Command *command)
{
	Lp__Result result;

	command->time_ms = sim->wall_ms;
	fleet_apply(&sim->fleet, ++sim->log_index, command, &result);
	return result.code;
}

Lp__ResultCode sim_apply_template(sim_t *sim, const Lp__Template *template)
{
	Lp__Command command = LP__COMMAND__INIT;
	Lp__ApplyTemplate apply = LP__APPLY_TEMPLATE__INIT;
	const fleet_org_t *org = fleet_org_find(&sim->fleet, template->organisation);

	apply.template_ = (Lp__Template *)template;
	apply.expected_revision = org != NULL ? org->revision : 0;
	apply.author = "sim";
	command.body_case = LP__COMMAND__BODY_APPLY_TEMPLATE;
	command.apply_template = &apply;
	return sim_apply_command(sim, &command);
}

sim_vm_t *sim_add_vm(sim_t *sim, const char *org, const char *pool, int dc, int rack,
		     const char *image)
{
	sim_vm_t *vm = &sim->vms[sim->vm_count++];
	Lp__Command command = LP__COMMAND__INIT;
	Lp__VmRegister reg = LP__VM_REGISTER__INIT;
	char address[32];

	g_assert(sim->vm_count <= SIM_VM_MAX);
	snprintf(vm->id, sizeof(vm->id), "vm-%03zu", sim->vm_count);
	snprintf(vm->rack, sizeof(vm->rack), "rack-%d", rack);
	g_strlcpy(vm->image, image, sizeof(vm->image));
	snprintf(address, sizeof(address), "10.0.%d.%zu:80", dc, sim->vm_count);
	vm->dc = dc;
	vm->reboot_us = 60 * US_PER_S;
	sim->dc_count = MAX(sim->dc_count, dc + 1);
	reg.vm = vm->id;
	reg.organisation = (char *)org;
	reg.data_centre = (char *)dc_names[dc];
	reg.rack = vm->rack;
	reg.address = address;
	reg.pool_hint = (char *)pool;
	reg.image = vm->image;
	reg.slots = 8;
	command.body_case = LP__COMMAND__BODY_VM_REGISTER;
	command.vm_register = &reg;
	if (sim_apply_command(sim, &command) != LP__RESULT_CODE__RESULT_OK)
		g_error("cannot register VM %s: %s", vm->id, sim->fleet.message);
	return vm;
}

void sim_fail_vm(sim_t *sim, sim_vm_t *vm, uint64_t for_us)
{
	vm->down = true;
	vm->up_at_us = MAX(vm->up_at_us, sim->now_us + for_us);
}

sim_vm_t *sim_find_vm(const sim_t *sim, const char *id)
{
	for (size_t i = 0; i < sim->vm_count; i++) {
		if (strcmp(sim->vms[i].id, id) == 0)
			return (sim_vm_t *)&sim->vms[i];
	}
	g_error("VM %s does not exist in the simulation", id);
}

static bool all_applied(void *arg, const char *data_centre, uint64_t index)
{
	const sim_t *sim = arg;
	int dc = dc_number(data_centre);

	return !sim->unreachable[dc] && sim->applied_index[dc] >= index;
}

static bool in_contact(void *arg, const char *data_centre)
{
	return !((sim_t *)arg)->unreachable[dc_number(data_centre)];
}

static bool platform_done(void *arg, const fleet_vm_t *vm, plan_kind_t kind)
{
	const sim_vm_t *sim_vm = sim_find_vm(arg, vm->id);

	if (kind == PLAN_DRAIN)
		return sim_vm->drain_epoch == vm->epoch;
	return sim_vm->reboot_epoch == vm->epoch && !sim_vm->down;
}

plan_input_t sim_input(sim_t *sim)
{
	return (plan_input_t){
		.fleet = &sim->fleet,
		.health = &sim->health,
		.demands = sim->demands != NULL ? (pool_demand_t *)sim->demands->data : NULL,
		.demand_count = sim->demands != NULL ? sim->demands->len : 0,
		.all_applied = all_applied,
		.in_contact = in_contact,
		.platform_done = platform_done,
		.arg = sim,
		.now_us = sim->now_us,
		.wall_ms = sim->wall_ms,
	};
}

/*
 * Makes a target announce itself. Its report echoes the epoch and cordon state that the response to
 * its previous announcement contained. The response to this announcement contains the VM's current
 * epoch and cordon state.
 */
static void announce(sim_t *sim, sim_vm_t *vm)
{
	const fleet_vm_t *vm_state = fleet_vm_find(&sim->fleet, vm->id);
	Lp__TargetReport report = LP__TARGET_REPORT__INIT;
	Lp__VmRegister reg = LP__VM_REGISTER__INIT;
	bool cordoned = !fleet_vm_routable(vm_state);

	reg.image = vm->image;
	vm->served += 10;
	if (cordoned || vm_state->epoch != vm->answered_epoch)
		vm->in_flight = 0;
	report.vm = vm->id;
	report.reg = &reg;
	report.served = vm->served;
	report.in_flight = vm->in_flight;
	report.echoed_epoch = vm->answered_epoch;
	report.echoed_cordoned = vm->answered_cordoned;
	health_report(&sim->health, &report, sim->now_us);
	if (!vm->answered_cordoned)
		vm->cordon_echoed_us = 0;
	else if (vm->cordon_echoed_us == 0)
		vm->cordon_echoed_us = sim->now_us;
	if (vm_state->epoch != vm->answered_epoch)
		vm->cordon_echoed_us = 0;
	vm->answered_epoch = vm_state->epoch;
	vm->answered_cordoned = cordoned;
}

static void advance_vms(sim_t *sim)
{
	for (size_t i = 0; i < sim->vm_count; i++) {
		sim_vm_t *vm = &sim->vms[i];

		if (vm->down && sim->now_us >= vm->up_at_us) {
			vm->down = false;
			vm->served = 0;
			vm->answered_epoch = 0;
			vm->answered_cordoned = false;
		}
		if (!vm->down && !sim->unreachable[vm->dc])
			announce(sim, vm);
	}
}

static void platform_reboot(sim_t *sim, const fleet_vm_t *vm)
{
	sim_vm_t *sim_vm = sim_find_vm(sim, vm->id);
	const fleet_wave_t *wave = fleet_wave_find(&sim->fleet, vm->wave);

	if (sim_vm->reboot_epoch == vm->epoch)
		return;
	sim_vm->reboot_epoch = vm->epoch;
	if (wave != NULL)
		g_strlcpy(sim_vm->image, wave->image, sizeof(sim_vm->image));
	sim_fail_vm(sim, sim_vm, sim_vm->reboot_us);
	sim->reboots++;
}

static void apply_command(sim_t *sim, const plan_action_t *action)
{
	command_t command;

	command_init_action(&command, action);
	/*
	 * Only a wave update can be refused, since the fleet may have changed the wave; the next
	 * planner run plans it again. Any other refused command is an error.
	 */
	if (sim_apply_command(sim, &command.command) != LP__RESULT_CODE__RESULT_OK &&
	    action->kind != PLAN_WAVE)
		g_error("command of planner action %d was refused: %s", action->kind,
			sim->fleet.message);
}

static void apply_action(sim_t *sim, const plan_action_t *action)
{
	if (sim->before_action != NULL)
		sim->before_action(sim, action);
	switch (action->kind) {
	case PLAN_CORDON:
		sim->permits_granted++;
		if (budget_of(action->vm->pool, &sim->health, sim->now_us).free == 0)
			sim->violations++;
		apply_command(sim, action);
		return;
	case PLAN_ASSIGN:
		sim->moves++;
		apply_command(sim, action);
		return;
	case PLAN_SET_PHASE:
	case PLAN_WAVE:
		apply_command(sim, action);
		return;
	case PLAN_DRAIN:
		sim_find_vm(sim, action->vm->id)->drain_epoch = action->vm->epoch;
		return;
	case PLAN_REBOOT:
		platform_reboot(sim, action->vm);
		return;
	}
}

/*
 * Runs the planner once and applies its actions.
 * @return true when an action changed the fleet
 */
static bool run_planner(sim_t *sim)
{
	plan_input_t input = sim_input(sim);
	GPtrArray *actions = sim->plan(&input);
	uint64_t index = sim->log_index;

	for (guint i = 0; i < actions->len; i++)
		apply_action(sim, g_ptr_array_index(actions, i));
	g_ptr_array_unref(actions);
	return sim->log_index != index;
}

void sim_step(sim_t *sim)
{
	sim->now_us += US_PER_S;
	sim->wall_ms += 1000;
	advance_vms(sim);
	for (int dc = 0; dc < sim->dc_count; dc++) {
		if (!sim->unreachable[dc] && !sim->apply_stalled[dc])
			sim->applied_index[dc] = sim->log_index;
	}
	/* The leader, too, runs the planner again once its commands have been committed. */
	for (int run = 0; run < MAX_PLANNER_RUNS_PER_STEP && run_planner(sim); run++)
		;
}

bool sim_wave_finished(const sim_t *sim, const char *org_name)
{
	const fleet_org_t *org = fleet_org_find(&sim->fleet, org_name);
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (pool, &org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link) {
			if (vm->permit != LP__PERMIT_KIND__PERMIT_NONE ||
			    (vm->phase == LP__VM_PHASE__VM_ACTIVE &&
			     strcmp(vm->image, org->template->maintenance->image) != 0))
				return false;
		}
	}
	return true;
}
