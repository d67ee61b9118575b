#include "planner.h"

#include <stdarg.h>
#include <string.h>

#include "clock.h"
#include "planner_internal.h"

/* A reboot takes 30 to 120 s; a VM that is out for longer than this is given up. */
#define OUT_LIMIT_MS (5 * 60 * 1000)
/* A drain is given up this long after the drain timeout. */
#define DRAIN_LIMIT_MS (5 * 60 * 1000)
/* A returning VM that still fails this long after its probation is quarantined. */
#define PROBATION_LIMIT_MS (60 * 1000)
/* A quarantined VM is tried again after this time. */
#define QUARANTINE_MS (10 * 60 * 1000)

#define DEFAULT_PROBATION_MS 5000
#define DEFAULT_DRAIN_TIMEOUT_MS 30000

static void action_free(void *data)
{
	plan_action_t *action = data;

	g_free(action->reason);
	g_free(action);
}

plan_action_t *plan_add(plan_run_t *run, plan_kind_t kind, const fleet_vm_t *vm, const char *format,
			...)
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

void plan_grant(plan_run_t *run, const fleet_vm_t *vm, Lp__PermitKind permit,
		const fleet_pool_t *to_pool, uint64_t wave, const char *reason)
{
	plan_action_t *action = plan_add(run, PLAN_CORDON, vm, "%s", reason);

	action->cordon.permit = permit;
	action->cordon.to_pool = to_pool;
	action->cordon.wave = wave;
	g_hash_table_add(run->taken, (void *)vm);
}

bool plan_in_contact(const plan_run_t *run, const fleet_vm_t *vm)
{
	return run->in->in_contact == NULL || run->in->in_contact(run->in->arg, vm->data_centre);
}

budget_t plan_budget(const plan_run_t *run, const fleet_pool_t *pool)
{
	return budget_without(pool, run->in->health, run->in->now_us, run->taken);
}

bool plan_vm_available(const plan_run_t *run, const fleet_vm_t *vm)
{
	return vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
	       !g_hash_table_contains(run->taken, vm) &&
	       budget_vm_usable(vm, run->in->health, run->in->now_us) && plan_in_contact(run, vm);
}

static const Lp__MaintenanceSpec *maintenance_of(const fleet_vm_t *vm)
{
	const Lp__Template *template = vm->pool->org->template;

	return template != NULL ? template->maintenance : NULL;
}

static uint64_t phase_ms(const plan_run_t *run, const fleet_vm_t *vm)
{
	return run->in->wall_ms > vm->since_ms ? run->in->wall_ms - vm->since_ms : 0;
}

static void add_step(plan_run_t *run, const fleet_vm_t *vm, Lp__VmPhase to, const char *reason)
{
	plan_action_t *action = plan_add(run, PLAN_STEP, vm, "%s", reason);

	action->step.from = vm->phase;
	action->step.to = to;
}

static health_state_t health_of(const plan_run_t *run, const fleet_vm_t *vm)
{
	return health_state(run->in->health, vm->id, run->in->now_us);
}

/* True when the target was announced after it entered its present phase. */
static bool announced_since(const plan_run_t *run, const fleet_vm_t *vm)
{
	const health_entry_t *entry = health_find(run->in->health, vm->id);
	uint64_t elapsed_us = phase_ms(run, vm) * US_PER_MS;

	return entry != NULL && entry->announced_us + elapsed_us > run->in->now_us;
}

static bool is_quiesced(const plan_run_t *run, const fleet_vm_t *vm)
{
	const plan_input_t *in = run->in;

	return in->all_applied(in->arg, vm->data_centre, vm->since_index) ||
	       health_quiesced_by_echo(in->health, vm->id, vm->epoch, in->now_us);
}

/* True when no request is in flight on the target, by an announcement made in this phase, or the
 * drain timeout has passed. */
static bool is_idle(const plan_run_t *run, const fleet_vm_t *vm)
{
	const Lp__MaintenanceSpec *spec = maintenance_of(vm);
	const health_entry_t *entry = health_find(run->in->health, vm->id);
	uint64_t timeout_ms = spec != NULL ? spec->drain_timeout_ms : DEFAULT_DRAIN_TIMEOUT_MS;

	if (phase_ms(run, vm) >= timeout_ms)
		return true;
	return entry != NULL && entry->in_flight == 0 && announced_since(run, vm);
}

/* A cordon is lifted when failures since its grant have brought the pool below its promise. */
static bool is_needed_back(const plan_run_t *run, const fleet_vm_t *vm)
{
	budget_t budget = budget_of(vm->pool, run->in->health, run->in->now_us);

	return budget.usable < budget.keep && health_of(run, vm) == HEALTH_SERVING;
}

static void plan_cordoned(plan_run_t *run, const fleet_vm_t *vm)
{
	plan_action_t *action;

	if (health_of(run, vm) == HEALTH_SILENT) {
		add_step(run, vm, LP__VM_PHASE__VM_LOST, "silent while cordoned");
	} else if (is_needed_back(run, vm)) {
		add_step(run, vm, LP__VM_PHASE__VM_ACTIVE, "its pool fell below keep_vms");
	} else if (!is_quiesced(run, vm) || !is_idle(run, vm)) {
		return;
	} else if (vm->permit != LP__PERMIT_KIND__PERMIT_MOVE) {
		add_step(run, vm, LP__VM_PHASE__VM_DRAINING, "quiesced");
	} else if (vm->to_pool != NULL) {
		action = plan_add(run, PLAN_ASSIGN, vm, "%s", vm->reason);
		action->assign.pool = vm->to_pool;
	}
}

static void plan_draining(plan_run_t *run, const fleet_vm_t *vm)
{
	const Lp__MaintenanceSpec *spec = maintenance_of(vm);
	uint64_t timeout_ms = spec != NULL ? spec->drain_timeout_ms : DEFAULT_DRAIN_TIMEOUT_MS;

	if (!run->in->platform_done(run->in->arg, vm, PLAN_DRAIN)) {
		if (phase_ms(run, vm) >= timeout_ms + DRAIN_LIMIT_MS)
			add_step(run, vm, LP__VM_PHASE__VM_LOST, "the platform did not drain it");
		else
			plan_add(run, PLAN_DRAIN, vm, "%s", vm->reason);
	} else if (is_idle(run, vm)) {
		add_step(run, vm, LP__VM_PHASE__VM_OUT, "drained");
	}
}

static void plan_out(plan_run_t *run, const fleet_vm_t *vm)
{
	const health_entry_t *entry = health_find(run->in->health, vm->id);
	bool done = run->in->platform_done(run->in->arg, vm, PLAN_REBOOT);

	if (done && health_of(run, vm) == HEALTH_SERVING && announced_since(run, vm)) {
		add_step(run, vm, LP__VM_PHASE__VM_RETURNING, "announced after its reboot");
		((plan_action_t *)g_ptr_array_index(run->actions, run->actions->len - 1))
			->step.image = entry->image[0] != '\0' ? entry->image : NULL;
	} else if (phase_ms(run, vm) >= OUT_LIMIT_MS) {
		add_step(run, vm, LP__VM_PHASE__VM_LOST, "did not come back from its reboot");
	} else if (!done) {
		plan_add(run, PLAN_REBOOT, vm, "%s", vm->reason);
	}
}

static void plan_returning(plan_run_t *run, const fleet_vm_t *vm)
{
	const Lp__MaintenanceSpec *spec = maintenance_of(vm);
	uint64_t probation_ms = spec != NULL ? spec->probation_ms : DEFAULT_PROBATION_MS;
	health_state_t health = health_of(run, vm);

	if (health == HEALTH_SILENT)
		add_step(run, vm, LP__VM_PHASE__VM_LOST, "silent during its probation");
	else if (health == HEALTH_SERVING && phase_ms(run, vm) >= probation_ms)
		add_step(run, vm, LP__VM_PHASE__VM_ACTIVE, "served its probation");
	else if (health == HEALTH_DOUBT && phase_ms(run, vm) >= probation_ms + PROBATION_LIMIT_MS)
		add_step(run, vm, LP__VM_PHASE__VM_QUARANTINED, "failed its probation");
}

void plan_phases(plan_run_t *run, const fleet_vm_t *vm)
{
	health_state_t health = health_of(run, vm);

	switch (vm->phase) {
	case LP__VM_PHASE__VM_JOINING:
		if (health == HEALTH_SERVING)
			add_step(run, vm, LP__VM_PHASE__VM_ACTIVE, "announced");
		else if (health == HEALTH_SILENT)
			add_step(run, vm, LP__VM_PHASE__VM_LOST, "silent while joining");
		return;
	case LP__VM_PHASE__VM_ACTIVE:
		if (health == HEALTH_SILENT)
			add_step(run, vm, LP__VM_PHASE__VM_LOST, "silent");
		return;
	case LP__VM_PHASE__VM_CORDONED:
		plan_cordoned(run, vm);
		return;
	case LP__VM_PHASE__VM_DRAINING:
		plan_draining(run, vm);
		return;
	case LP__VM_PHASE__VM_OUT:
		plan_out(run, vm);
		return;
	case LP__VM_PHASE__VM_RETURNING:
		plan_returning(run, vm);
		return;
	case LP__VM_PHASE__VM_QUARANTINED:
		if (phase_ms(run, vm) >= QUARANTINE_MS && health == HEALTH_SERVING)
			add_step(run, vm, LP__VM_PHASE__VM_RETURNING, "tried again");
		return;
	case LP__VM_PHASE__VM_LOST:
		if (health == HEALTH_SERVING && announced_since(run, vm))
			add_step(run, vm, LP__VM_PHASE__VM_RETURNING, "announced again");
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
			if (plan_in_contact(run, vm))
				plan_phases(run, vm);
		}
	}
	if (org->template == NULL)
		return;
	/* Moves come first: they answer need that is there already. */
	plan_moves(run, org);
	plan_maintenance(run, org);
}

GPtrArray *planner_run(const plan_input_t *input)
{
	plan_run_t run = {
		.in = input,
		.actions = g_ptr_array_new_with_free_func(action_free),
		.taken = g_hash_table_new(g_direct_hash, g_direct_equal),
	};
	const fleet_org_t *org;

	TAILQ_FOREACH (org, &input->fleet->orgs, link)
		plan_org(&run, org);
	g_hash_table_unref(run.taken);
	return run.actions;
}
