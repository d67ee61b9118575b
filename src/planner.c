#include "planner.h"

#include <stdarg.h>
#include <string.h>

#include "clock.h"
#include "planner_internal.h"

/* A VM that is in phase VM_OUT for longer than this is marked lost. A reboot takes 30 to 120 s. */
#define REBOOT_TIMEOUT_MS (5 * 60 * 1000)
/*
 * A VM is marked lost when the platform has not reported its drain as complete this long after the
 * drain timeout.
 */
#define DRAIN_GRACE_MS (5 * 60 * 1000)
/* A returning VM that is still suspect this long after the end of its probation is quarantined. */
#define PROBATION_GRACE_MS (60 * 1000)
/*
 * A quarantined VM that is healthy starts a new probation once it has been quarantined this long.
 */
#define QUARANTINE_RETRY_MS (10 * 60 * 1000)

#define DEFAULT_PROBATION_MS 5000
#define DEFAULT_DRAIN_TIMEOUT_MS 30000

static void plan_action_free(void *data)
{
	plan_action_t *action = data;

	g_free(action->reason);
	g_free(action);
}

plan_action_t *plan_add_action(plan_run_t *run, plan_kind_t kind, const fleet_vm_t *vm,
			       const char *format, ...)
{
	plan_action_t *action = g_new0(plan_action_t, 1);
	va_list args;

	action->kind = kind;
	action->vm = vm;
	va_start(args, format);
	action->reason = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(run->actions, action);
	return action;
}

void plan_grant_permit(plan_run_t *run, const fleet_vm_t *vm, Lp__PermitKind permit,
		       const fleet_pool_t *to_pool, uint64_t wave, const char *reason)
{
	plan_action_t *action = plan_add_action(run, PLAN_CORDON, vm, "%s", reason);

	action->cordon.permit = permit;
	action->cordon.to_pool = to_pool;
	action->cordon.wave = wave;
	g_hash_table_add(run->granted, (void *)vm);
}

bool plan_dc_reachable(const plan_run_t *run, const fleet_vm_t *vm)
{
	return run->input->in_contact == NULL ||
	       run->input->in_contact(run->input->arg, vm->data_centre);
}

budget_t plan_pool_budget(const plan_run_t *run, const fleet_pool_t *pool)
{
	return budget_excluding(pool, run->input->health, run->input->now_us, run->granted);
}

bool plan_may_grant_permit(const plan_run_t *run, const fleet_vm_t *vm)
{
	return vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
	       !g_hash_table_contains(run->granted, vm) &&
	       budget_vm_usable(vm, run->input->health, run->input->now_us) &&
	       plan_dc_reachable(run, vm);
}

static const Lp__MaintenanceSpec *maintenance_spec(const fleet_vm_t *vm)
{
	const Lp__Template *template = vm->pool->org->template;

	return template != NULL ? template->maintenance : NULL;
}

static uint64_t time_in_phase_ms(const plan_run_t *run, const fleet_vm_t *vm)
{
	return run->input->wall_ms > vm->since_ms ? run->input->wall_ms - vm->since_ms : 0;
}

static void add_phase_change(plan_run_t *run, const fleet_vm_t *vm, Lp__VmPhase to,
			     const char *reason)
{
	plan_action_t *action = plan_add_action(run, PLAN_SET_PHASE, vm, "%s", reason);

	action->step.from = vm->phase;
	action->step.to = to;
}

static health_state_t vm_health(const plan_run_t *run, const fleet_vm_t *vm)
{
	return health_state(run->input->health, vm->id, run->input->now_us);
}

/* True when the VM has announced itself since it entered its current phase. */
static bool announced_in_current_phase(const plan_run_t *run, const fleet_vm_t *vm)
{
	const health_entry_t *entry = health_find(run->input->health, vm->id);
	uint64_t elapsed_us = time_in_phase_ms(run, vm) * US_PER_MS;

	return entry != NULL && entry->announced_us + elapsed_us > run->input->now_us;
}

static bool is_quiesced(const plan_run_t *run, const fleet_vm_t *vm)
{
	const plan_input_t *input = run->input;

	return input->all_applied(input->arg, vm->data_centre, vm->since_index) ||
	       health_cordon_in_effect(input->health, vm->id, vm->epoch, input->now_us);
}

/*
 * True when the VM has been in its current phase for the drain timeout, or when its latest
 * announcement was sent in this phase and reports no requests in flight.
 */
static bool is_idle_or_timed_out(const plan_run_t *run, const fleet_vm_t *vm)
{
	const Lp__MaintenanceSpec *spec = maintenance_spec(vm);
	const health_entry_t *entry = health_find(run->input->health, vm->id);
	uint64_t timeout_ms = spec != NULL ? spec->drain_timeout_ms : DEFAULT_DRAIN_TIMEOUT_MS;

	if (time_in_phase_ms(run, vm) >= timeout_ms)
		return true;
	return entry != NULL && entry->in_flight == 0 && announced_in_current_phase(run, vm);
}

/*
 * True when this cordoned VM is healthy and its pool has fewer than keep_vms usable VMs. Ending the
 * cordon then makes up for a VM that has failed since the cordon.
 */
static bool must_uncordon(const plan_run_t *run, const fleet_vm_t *vm)
{
	budget_t budget = budget_of(vm->pool, run->input->health, run->input->now_us);

	return budget.usable < budget.keep && vm_health(run, vm) == HEALTH_SERVING;
}

static void plan_cordoned_vm(plan_run_t *run, const fleet_vm_t *vm)
{
	plan_action_t *action;

	if (vm_health(run, vm) == HEALTH_SILENT) {
		add_phase_change(run, vm, LP__VM_PHASE__VM_LOST, "silent while cordoned");
	} else if (must_uncordon(run, vm)) {
		add_phase_change(run, vm, LP__VM_PHASE__VM_ACTIVE, "its pool fell below keep_vms");
	} else if (!is_quiesced(run, vm) || !is_idle_or_timed_out(run, vm)) {
		return;
	} else if (vm->permit != LP__PERMIT_KIND__PERMIT_MOVE) {
		add_phase_change(run, vm, LP__VM_PHASE__VM_DRAINING, "quiesced");
	} else if (vm->to_pool != NULL) {
		action = plan_add_action(run, PLAN_ASSIGN, vm, "%s", vm->reason);
		action->assign.pool = vm->to_pool;
	}
}

static void plan_draining_vm(plan_run_t *run, const fleet_vm_t *vm)
{
	const Lp__MaintenanceSpec *spec = maintenance_spec(vm);
	uint64_t timeout_ms = spec != NULL ? spec->drain_timeout_ms : DEFAULT_DRAIN_TIMEOUT_MS;

	if (!run->input->platform_done(run->input->arg, vm, PLAN_DRAIN)) {
		if (time_in_phase_ms(run, vm) >= timeout_ms + DRAIN_GRACE_MS)
			add_phase_change(run, vm, LP__VM_PHASE__VM_LOST,
					 "the platform did not drain it");
		else
			plan_add_action(run, PLAN_DRAIN, vm, "%s", vm->reason);
	} else if (is_idle_or_timed_out(run, vm)) {
		add_phase_change(run, vm, LP__VM_PHASE__VM_OUT, "drained");
	}
}

static void plan_out_vm(plan_run_t *run, const fleet_vm_t *vm)
{
	const health_entry_t *entry = health_find(run->input->health, vm->id);
	bool rebooted = run->input->platform_done(run->input->arg, vm, PLAN_REBOOT);

	if (rebooted && vm_health(run, vm) == HEALTH_SERVING &&
	    announced_in_current_phase(run, vm)) {
		add_phase_change(run, vm, LP__VM_PHASE__VM_RETURNING, "announced after its reboot");
		((plan_action_t *)g_ptr_array_index(run->actions, run->actions->len - 1))
			->step.image = entry->image[0] != '\0' ? entry->image : NULL;
	} else if (time_in_phase_ms(run, vm) >= REBOOT_TIMEOUT_MS) {
		add_phase_change(run, vm, LP__VM_PHASE__VM_LOST,
				 "did not come back from its reboot");
	} else if (!rebooted) {
		plan_add_action(run, PLAN_REBOOT, vm, "%s", vm->reason);
	}
}

static void plan_returning_vm(plan_run_t *run, const fleet_vm_t *vm)
{
	const Lp__MaintenanceSpec *spec = maintenance_spec(vm);
	uint64_t probation_ms = spec != NULL ? spec->probation_ms : DEFAULT_PROBATION_MS;
	health_state_t health = vm_health(run, vm);

	if (health == HEALTH_SILENT)
		add_phase_change(run, vm, LP__VM_PHASE__VM_LOST, "silent during its probation");
	else if (health == HEALTH_SERVING && time_in_phase_ms(run, vm) >= probation_ms)
		add_phase_change(run, vm, LP__VM_PHASE__VM_ACTIVE, "served its probation");
	else if (health == HEALTH_SUSPECT &&
		 time_in_phase_ms(run, vm) >= probation_ms + PROBATION_GRACE_MS)
		add_phase_change(run, vm, LP__VM_PHASE__VM_QUARANTINED, "failed its probation");
}

void plan_vm_phase(plan_run_t *run, const fleet_vm_t *vm)
{
	health_state_t health = vm_health(run, vm);

	switch (vm->phase) {
	case LP__VM_PHASE__VM_JOINING:
		if (health == HEALTH_SERVING)
			add_phase_change(run, vm, LP__VM_PHASE__VM_ACTIVE, "announced");
		else if (health == HEALTH_SILENT)
			add_phase_change(run, vm, LP__VM_PHASE__VM_LOST, "silent while joining");
		return;
	case LP__VM_PHASE__VM_ACTIVE:
		if (health == HEALTH_SILENT)
			add_phase_change(run, vm, LP__VM_PHASE__VM_LOST, "silent");
		return;
	case LP__VM_PHASE__VM_CORDONED:
		plan_cordoned_vm(run, vm);
		return;
	case LP__VM_PHASE__VM_DRAINING:
		plan_draining_vm(run, vm);
		return;
	case LP__VM_PHASE__VM_OUT:
		plan_out_vm(run, vm);
		return;
	case LP__VM_PHASE__VM_RETURNING:
		plan_returning_vm(run, vm);
		return;
	case LP__VM_PHASE__VM_QUARANTINED:
		if (time_in_phase_ms(run, vm) >= QUARANTINE_RETRY_MS && health == HEALTH_SERVING)
			add_phase_change(run, vm, LP__VM_PHASE__VM_RETURNING, "tried again");
		return;
	case LP__VM_PHASE__VM_LOST:
		if (health == HEALTH_SERVING && announced_in_current_phase(run, vm))
			add_phase_change(run, vm, LP__VM_PHASE__VM_RETURNING, "announced again");
		return;
	case _LP__VM_PHASE_IS_INT_SIZE:
		return;
	}
}

static void plan_org(plan_run_t *run, const fleet_org_t *org)
{
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (pool, &org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link) {
			if (plan_dc_reachable(run, vm))
				plan_vm_phase(run, vm);
		}
	}
	if (org->template == NULL)
		return;
	/*
	 * Moves are planned first, so that they take from the budget before maintenance does: they
	 * serve demand that exists already.
	 */
	plan_moves(run, org);
	plan_maintenance(run, org);
}

GPtrArray *planner_run(const plan_input_t *input)
{
	plan_run_t run = {
		.input = input,
		.actions = g_ptr_array_new_with_free_func(plan_action_free),
		.granted = g_hash_table_new(g_direct_hash, g_direct_equal),
	};
	const fleet_org_t *org;

	TAILQ_FOREACH (org, &input->fleet->orgs, link)
		plan_org(&run, org);
	g_hash_table_unref(run.granted);
	return run.actions;
}
