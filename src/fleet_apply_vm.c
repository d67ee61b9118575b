#include <string.h>

#include "fleet_internal.h"

#define BIT(phase) (1U << LP__VM_PHASE__VM_##phase)

/* Phases that a VmStep may lead to, by the present phase. */
static const uint32_t step_targets[] = {
	[LP__VM_PHASE__VM_JOINING] = BIT(ACTIVE) | BIT(LOST),
	[LP__VM_PHASE__VM_ACTIVE] = BIT(LOST) | BIT(QUARANTINED),
	[LP__VM_PHASE__VM_CORDONED] = BIT(ACTIVE) | BIT(DRAINING) | BIT(LOST),
	[LP__VM_PHASE__VM_DRAINING] = BIT(OUT) | BIT(LOST),
	[LP__VM_PHASE__VM_OUT] = BIT(RETURNING) | BIT(LOST),
	[LP__VM_PHASE__VM_RETURNING] = BIT(ACTIVE) | BIT(LOST) | BIT(QUARANTINED),
	[LP__VM_PHASE__VM_QUARANTINED] = BIT(RETURNING) | BIT(LOST),
	[LP__VM_PHASE__VM_LOST] = BIT(RETURNING),
};

static void answer_ok(const fleet_step_t *step)
{
	fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_OK, "%s", "");
}

static void enter_phase(const fleet_step_t *step, fleet_vm_t *vm, Lp__VmPhase phase,
			const char *reason)
{
	vm->phase = phase;
	vm->since_ms = step->time_ms;
	vm->since_index = step->index;
	fleet_set_string(&vm->reason, reason);
}

/* The VM that a command names, when its epoch is the expected one. */
static fleet_vm_t *expect_vm(const fleet_step_t *step, const char *id, uint64_t epoch)
{
	fleet_vm_t *vm = fleet_vm_find(step->fleet, id);

	if (vm == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "there is no VM %s", id);
		return NULL;
	}
	if (vm->epoch != epoch) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "VM %s has epoch %" G_GUINT64_FORMAT ", not %" G_GUINT64_FORMAT, id,
			     vm->epoch, epoch);
		return NULL;
	}
	return vm;
}

static void register_new(const fleet_step_t *step, const Lp__VmRegister *cmd)
{
	fleet_org_t *org = fleet_org_find(step->fleet, cmd->organisation);
	fleet_pool_t *pool = NULL;
	fleet_vm_t *vm;

	if (org == NULL || org->template == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "organisation %s has no template yet", cmd->organisation);
		return;
	}
	if (cmd->pool_hint[0] != '\0')
		pool = fleet_pool_find(org, cmd->pool_hint);
	if (pool == NULL || pool->spec == NULL)
		pool = fleet_spare_pool(org);
	vm = fleet_vm_add(step->fleet, pool, cmd->vm);
	fleet_vm_set_registration(vm, cmd);
	enter_phase(step, vm, LP__VM_PHASE__VM_JOINING, "registered");
	answer_ok(step);
}

static bool may_be_replaced(const fleet_vm_t *vm)
{
	return vm->phase == LP__VM_PHASE__VM_LOST || vm->phase == LP__VM_PHASE__VM_OUT ||
	       vm->phase == LP__VM_PHASE__VM_RETURNING;
}

static void register_again(const fleet_step_t *step, fleet_vm_t *vm, const Lp__VmRegister *cmd)
{
	bool moved = strcmp(vm->address, cmd->address) != 0 ||
		     strcmp(vm->data_centre, cmd->data_centre) != 0;

	if (strcmp(vm->pool->org->name, cmd->organisation) != 0) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "VM %s belongs to organisation %s", vm->id, vm->pool->org->name);
		return;
	}
	if (moved && !may_be_replaced(vm)) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "VM %s is %s at %s in %s", vm->id, fleet_phase_name(vm->phase),
			     vm->address, vm->data_centre);
		return;
	}
	fleet_vm_set_registration(vm, cmd);
	if (moved) {
		vm->epoch++;
		vm->out_ms = 0;
		enter_phase(step, vm, LP__VM_PHASE__VM_RETURNING, "replaced");
	}
	answer_ok(step);
}

/** A VM of another id that is in use at an address, or NULL. */
static const fleet_vm_t *address_holder(const fleet_t *fleet, const char *id, const char *address)
{
	GHashTableIter iter;
	gpointer value;
	const fleet_vm_t *holder = NULL;

	g_hash_table_iter_init(&iter, fleet->vm_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fleet_vm_t *vm = value;

		/* The lowest id is named, so that the answer is the same everywhere. */
		if (vm->phase != LP__VM_PHASE__VM_LOST && strcmp(vm->id, id) != 0 &&
		    strcmp(vm->address, address) == 0 &&
		    (holder == NULL || strcmp(vm->id, holder->id) < 0))
			holder = vm;
	}
	return holder;
}

void fleet_apply_vm_register(const fleet_step_t *step, const Lp__VmRegister *cmd)
{
	fleet_vm_t *vm = fleet_vm_find(step->fleet, cmd->vm);
	const fleet_vm_t *holder;

	if (cmd->vm[0] == '\0' || cmd->address[0] == '\0' || cmd->data_centre[0] == '\0') {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "a registration needs vm, address and data_centre");
		return;
	}
	holder = address_holder(step->fleet, cmd->vm, cmd->address);
	if (holder != NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "address %s belongs to VM %s", cmd->address, holder->id);
		return;
	}
	if (vm != NULL)
		register_again(step, vm, cmd);
	else
		register_new(step, cmd);
}

/* Destination of a move, or NULL with an answer. */
static fleet_pool_t *move_destination(const fleet_step_t *step, const fleet_vm_t *vm,
				      const char *name)
{
	fleet_pool_t *pool = fleet_pool_find(vm->pool->org, name);

	if (pool == NULL || pool->spec == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "organisation %s has no pool %s", vm->pool->org->name, name);
		return NULL;
	}
	if (pool == vm->pool) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "VM %s is in pool %s already", vm->id, name);
		return NULL;
	}
	return pool;
}

void fleet_apply_vm_cordon(const fleet_step_t *step, const Lp__VmCordon *cmd)
{
	fleet_vm_t *vm = expect_vm(step, cmd->vm, cmd->epoch);
	fleet_pool_t *to_pool = NULL;

	if (vm == NULL)
		return;
	if (vm->phase != LP__VM_PHASE__VM_ACTIVE || vm->permit != LP__PERMIT_KIND__PERMIT_NONE) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "VM %s is %s with permit %s", vm->id, fleet_phase_name(vm->phase),
			     fleet_permit_name(vm->permit));
		return;
	}
	if (cmd->permit == LP__PERMIT_KIND__PERMIT_NONE ||
	    (uint32_t)cmd->permit > LP__PERMIT_KIND__PERMIT_REPAIR) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "a cordon needs a permit of a known kind");
		return;
	}
	if (cmd->permit == LP__PERMIT_KIND__PERMIT_MOVE) {
		to_pool = move_destination(step, vm, cmd->to_pool);
		if (to_pool == NULL)
			return;
	}
	vm->permit = cmd->permit;
	vm->to_pool = to_pool;
	vm->wave = cmd->wave;
	vm->epoch++;
	enter_phase(step, vm, LP__VM_PHASE__VM_CORDONED, cmd->reason);
	answer_ok(step);
}

/* The batch doubles after a success and halves on a failure (section 4.6). */
static void count_in_wave(const fleet_step_t *step, fleet_vm_t *vm, bool success)
{
	fleet_wave_t *wave = fleet_wave_find(step->fleet, vm->wave);

	if (vm->permit != LP__PERMIT_KIND__PERMIT_MAINTENANCE || wave == NULL)
		return;
	if (success) {
		wave->done++;
		wave->batch = MIN(wave->batch * 2, 1U << 16);
	} else {
		wave->failures++;
		wave->batch = MAX(wave->batch / 2, 1U);
	}
}

static bool has_wave_image(const fleet_step_t *step, const fleet_vm_t *vm)
{
	const fleet_wave_t *wave = fleet_wave_find(step->fleet, vm->wave);

	return wave != NULL && strcmp(wave->image, vm->image) == 0;
}

static void release_permit(fleet_vm_t *vm)
{
	fleet_pool_t *to_pool = vm->to_pool;

	vm->permit = LP__PERMIT_KIND__PERMIT_NONE;
	vm->to_pool = NULL;
	vm->wave = 0;
	if (to_pool != NULL)
		fleet_pool_drop_unused(to_pool);
}

static void end_permit(const fleet_step_t *step, fleet_vm_t *vm, Lp__VmPhase from)
{
	if (vm->phase == LP__VM_PHASE__VM_ACTIVE) {
		/* A cordon that is lifted before the VM was drained is neither success nor
		 * failure. */
		if (from == LP__VM_PHASE__VM_RETURNING)
			count_in_wave(step, vm, has_wave_image(step, vm));
		release_permit(vm);
	} else if (vm->phase == LP__VM_PHASE__VM_LOST ||
		   vm->phase == LP__VM_PHASE__VM_QUARANTINED) {
		count_in_wave(step, vm, false);
		release_permit(vm);
	}
}

void fleet_apply_vm_step(const fleet_step_t *step, const Lp__VmStep *cmd)
{
	fleet_vm_t *vm = expect_vm(step, cmd->vm, cmd->epoch);
	Lp__VmPhase from;
	bool routable;

	if (vm == NULL)
		return;
	from = vm->phase;
	if (from != cmd->from) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "VM %s is %s, not %s", vm->id, fleet_phase_name(from),
			     fleet_phase_name(cmd->from));
		return;
	}
	if ((uint32_t)cmd->to > LP__VM_PHASE__VM_LOST ||
	    (step_targets[from] & (1U << cmd->to)) == 0) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "VM %s cannot go from %s to %s", vm->id, fleet_phase_name(from),
			     fleet_phase_name(cmd->to));
		return;
	}
	routable = fleet_vm_routable(vm);
	if (from == LP__VM_PHASE__VM_OUT && cmd->to == LP__VM_PHASE__VM_RETURNING &&
	    step->time_ms > vm->since_ms)
		vm->out_ms = step->time_ms - vm->since_ms;
	enter_phase(step, vm, cmd->to, cmd->reason);
	if (cmd->image[0] != '\0')
		fleet_set_string(&vm->image, cmd->image);
	/* Leases of the time before an interruption must not be valid after it. A joining VM was
	 * never routed to. */
	if (routable != fleet_vm_routable(vm) && from != LP__VM_PHASE__VM_JOINING)
		vm->epoch++;
	end_permit(step, vm, from);
	answer_ok(step);
}

void fleet_apply_vm_assign(const fleet_step_t *step, const Lp__VmAssign *cmd)
{
	fleet_vm_t *vm = expect_vm(step, cmd->vm, cmd->epoch);

	if (vm == NULL)
		return;
	if (vm->phase != LP__VM_PHASE__VM_CORDONED || vm->permit != LP__PERMIT_KIND__PERMIT_MOVE ||
	    vm->to_pool == NULL || strcmp(vm->to_pool->name, cmd->pool) != 0) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "VM %s is not cordoned for a move to pool %s", vm->id, cmd->pool);
		return;
	}
	if (vm->to_pool != vm->pool)
		fleet_vm_transfer(vm, vm->to_pool);
	vm->epoch++;
	enter_phase(step, vm, LP__VM_PHASE__VM_ACTIVE, cmd->reason);
	release_permit(vm);
	answer_ok(step);
}

static void supersede_waves(const fleet_step_t *step, const fleet_org_t *org, const char *image)
{
	fleet_wave_t *wave;

	TAILQ_FOREACH (wave, &step->fleet->waves, link) {
		if (wave->org != org || wave->state == LP__WAVE_STATE__WAVE_DONE)
			continue;
		wave->state = LP__WAVE_STATE__WAVE_DONE;
		wave->since_ms = step->time_ms;
		g_free(wave->reason);
		wave->reason = g_strdup_printf("superseded by image %s", image);
	}
}

static void bound_waves(fleet_t *fleet)
{
	fleet_wave_t *wave;
	size_t count = 0;

	TAILQ_FOREACH (wave, &fleet->waves, link)
		count++;
	while (count-- > FLEET_WAVE_LIMIT) {
		wave = TAILQ_LAST(&fleet->waves, fleet_wave_list);
		TAILQ_REMOVE(&fleet->waves, wave, link);
		fleet_wave_free(wave);
	}
}

static void start_wave(const fleet_step_t *step, const Lp__WaveUpdate *cmd)
{
	fleet_org_t *org = fleet_org_find(step->fleet, cmd->organisation);
	fleet_wave_t *wave;

	if (org == NULL || cmd->image[0] == '\0') {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "a wave needs a known organisation and an image");
		return;
	}
	TAILQ_FOREACH (wave, &step->fleet->waves, link) {
		if (wave->org == org && wave->state != LP__WAVE_STATE__WAVE_DONE &&
		    strcmp(wave->image, cmd->image) == 0) {
			fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
				     "wave %" G_GUINT64_FORMAT " for image %s is open", wave->id,
				     wave->image);
			return;
		}
	}
	supersede_waves(step, org, cmd->image);
	wave = g_new0(fleet_wave_t, 1);
	wave->id = step->fleet->next_wave++;
	wave->org = org;
	wave->image = g_strdup(cmd->image);
	wave->reason = g_strdup(cmd->reason);
	wave->state = cmd->state;
	wave->batch = MAX(cmd->batch, 1U);
	wave->started_ms = step->time_ms;
	wave->since_ms = step->time_ms;
	TAILQ_INSERT_HEAD(&step->fleet->waves, wave, link);
	bound_waves(step->fleet);
	answer_ok(step);
}

void fleet_apply_wave(const fleet_step_t *step, const Lp__WaveUpdate *cmd)
{
	fleet_wave_t *wave;

	if ((uint32_t)cmd->state > LP__WAVE_STATE__WAVE_DONE) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_INVALID,
			     "the state of the wave is unknown");
		return;
	}
	if (cmd->wave == 0) {
		start_wave(step, cmd);
		return;
	}
	wave = fleet_wave_find(step->fleet, cmd->wave);
	if (wave == NULL) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
			     "there is no wave %" G_GUINT64_FORMAT, cmd->wave);
		return;
	}
	if (wave->state == LP__WAVE_STATE__WAVE_DONE) {
		fleet_answer(step->fleet, step->result, LP__RESULT_CODE__RESULT_CONFLICT,
			     "wave %" G_GUINT64_FORMAT " is done", wave->id);
		return;
	}
	wave->state = cmd->state;
	if (cmd->batch > 0)
		wave->batch = cmd->batch;
	wave->since_ms = step->time_ms;
	fleet_set_string(&wave->reason, cmd->reason);
	answer_ok(step);
}
