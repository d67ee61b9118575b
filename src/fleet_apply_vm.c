#include <string.h>

#include "fleet_internal.h"

#define PHASE_BIT(phase) (1U << LP__VM_PHASE__VM_##phase)

/* Phases to which a VmStep command can change a VM, indexed by the VM's current phase. */
static const uint32_t allowed_next_phases[] = {
	[LP__VM_PHASE__VM_JOINING] = PHASE_BIT(ACTIVE) | PHASE_BIT(LOST),
	[LP__VM_PHASE__VM_ACTIVE] = PHASE_BIT(LOST) | PHASE_BIT(QUARANTINED),
	[LP__VM_PHASE__VM_CORDONED] = PHASE_BIT(ACTIVE) | PHASE_BIT(DRAINING) | PHASE_BIT(LOST),
	[LP__VM_PHASE__VM_DRAINING] = PHASE_BIT(OUT) | PHASE_BIT(LOST),
	[LP__VM_PHASE__VM_OUT] = PHASE_BIT(RETURNING) | PHASE_BIT(LOST),
	[LP__VM_PHASE__VM_RETURNING] = PHASE_BIT(ACTIVE) | PHASE_BIT(LOST) | PHASE_BIT(QUARANTINED),
	[LP__VM_PHASE__VM_QUARANTINED] = PHASE_BIT(RETURNING) | PHASE_BIT(LOST),
	[LP__VM_PHASE__VM_LOST] = PHASE_BIT(RETURNING),
};

static void set_ok_result(const fleet_apply_ctx_t *ctx)
{
	fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_OK, "%s", "");
}

static void change_phase(const fleet_apply_ctx_t *ctx, fleet_vm_t *vm, Lp__VmPhase phase,
			 const char *reason)
{
	vm->phase = phase;
	vm->since_ms = ctx->time_ms;
	vm->since_index = ctx->index;
	fleet_replace_string(&vm->reason, reason);
}

/* Returns the VM. If it is unknown or has another epoch, sets an error result and returns NULL. */
static fleet_vm_t *find_vm_at_epoch(const fleet_apply_ctx_t *ctx, const char *id, uint64_t epoch)
{
	fleet_vm_t *vm = fleet_vm_find(ctx->fleet, id);

	if (vm == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "there is no VM %s", id);
		return NULL;
	}
	if (vm->epoch != epoch) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "VM %s has epoch %" G_GUINT64_FORMAT ", not %" G_GUINT64_FORMAT,
				 id, vm->epoch, epoch);
		return NULL;
	}
	return vm;
}

static void register_new_vm(const fleet_apply_ctx_t *ctx, const Lp__VmRegister *cmd)
{
	fleet_org_t *org = fleet_org_find(ctx->fleet, cmd->organisation);
	fleet_pool_t *pool = NULL;
	fleet_vm_t *vm;

	if (org == NULL || org->template == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "organisation %s has no template yet", cmd->organisation);
		return;
	}
	if (cmd->pool_hint[0] != '\0')
		pool = fleet_pool_find(org, cmd->pool_hint);
	if (pool == NULL || pool->spec == NULL)
		pool = fleet_spare_pool(org);
	vm = fleet_vm_add(ctx->fleet, pool, cmd->vm);
	fleet_vm_set_registration(vm, cmd);
	change_phase(ctx, vm, LP__VM_PHASE__VM_JOINING, "registered");
	set_ok_result(ctx);
}

static bool phase_allows_replacement(const fleet_vm_t *vm)
{
	return vm->phase == LP__VM_PHASE__VM_LOST || vm->phase == LP__VM_PHASE__VM_OUT ||
	       vm->phase == LP__VM_PHASE__VM_RETURNING;
}

static void register_known_vm(const fleet_apply_ctx_t *ctx, fleet_vm_t *vm,
			      const Lp__VmRegister *cmd)
{
	bool relocated = strcmp(vm->address, cmd->address) != 0 ||
			 strcmp(vm->data_centre, cmd->data_centre) != 0;

	if (strcmp(vm->pool->org->name, cmd->organisation) != 0) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "VM %s belongs to organisation %s", vm->id, vm->pool->org->name);
		return;
	}
	if (relocated && !phase_allows_replacement(vm)) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "VM %s is %s at %s in %s", vm->id, fleet_phase_name(vm->phase),
				 vm->address, vm->data_centre);
		return;
	}
	fleet_vm_set_registration(vm, cmd);
	if (relocated) {
		vm->epoch++;
		vm->reboot_ms = 0;
		change_phase(ctx, vm, LP__VM_PHASE__VM_RETURNING, "replaced");
	}
	set_ok_result(ctx);
}

/**
 * Returns a VM other than the given one that is registered with the address and is not lost, or
 * NULL.
 */
static const fleet_vm_t *find_other_vm_at_address(const fleet_t *fleet, const char *id,
						  const char *address)
{
	GHashTableIter iter;
	gpointer value;
	const fleet_vm_t *other = NULL;

	g_hash_table_iter_init(&iter, fleet->vm_by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const fleet_vm_t *vm = value;

		/*
		 * The VM with the lowest id is returned, since the order of the hash table can
		 * differ between replicas.
		 */
		if (vm->phase != LP__VM_PHASE__VM_LOST && strcmp(vm->id, id) != 0 &&
		    strcmp(vm->address, address) == 0 &&
		    (other == NULL || strcmp(vm->id, other->id) < 0))
			other = vm;
	}
	return other;
}

void fleet_apply_vm_register(const fleet_apply_ctx_t *ctx, const Lp__VmRegister *cmd)
{
	fleet_vm_t *vm = fleet_vm_find(ctx->fleet, cmd->vm);
	const fleet_vm_t *other;

	if (cmd->vm[0] == '\0' || cmd->address[0] == '\0' || cmd->data_centre[0] == '\0') {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "a registration needs vm, address and data_centre");
		return;
	}
	other = find_other_vm_at_address(ctx->fleet, cmd->vm, cmd->address);
	if (other != NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "address %s belongs to VM %s", cmd->address, other->id);
		return;
	}
	if (vm != NULL)
		register_known_vm(ctx, vm, cmd);
	else
		register_new_vm(ctx, cmd);
}

/*
 * Returns the destination pool of a move. If there is none, sets an error result and returns NULL.
 */
static fleet_pool_t *find_move_destination(const fleet_apply_ctx_t *ctx, const fleet_vm_t *vm,
					   const char *name)
{
	fleet_pool_t *pool = fleet_pool_find(vm->pool->org, name);

	if (pool == NULL || pool->spec == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "organisation %s has no pool %s", vm->pool->org->name, name);
		return NULL;
	}
	if (pool == vm->pool) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "VM %s is in pool %s already", vm->id, name);
		return NULL;
	}
	return pool;
}

void fleet_apply_vm_cordon(const fleet_apply_ctx_t *ctx, const Lp__VmCordon *cmd)
{
	fleet_vm_t *vm = find_vm_at_epoch(ctx, cmd->vm, cmd->epoch);
	fleet_pool_t *to_pool = NULL;

	if (vm == NULL)
		return;
	if (vm->phase != LP__VM_PHASE__VM_ACTIVE || vm->permit != LP__PERMIT_KIND__PERMIT_NONE) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "VM %s is %s with permit %s", vm->id, fleet_phase_name(vm->phase),
				 fleet_permit_name(vm->permit));
		return;
	}
	if (cmd->permit == LP__PERMIT_KIND__PERMIT_NONE ||
	    (uint32_t)cmd->permit > LP__PERMIT_KIND__PERMIT_REPAIR) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "a cordon needs a permit of a known kind");
		return;
	}
	if (cmd->permit == LP__PERMIT_KIND__PERMIT_MOVE) {
		to_pool = find_move_destination(ctx, vm, cmd->to_pool);
		if (to_pool == NULL)
			return;
	}
	vm->permit = cmd->permit;
	vm->to_pool = to_pool;
	vm->wave = cmd->wave;
	vm->epoch++;
	change_phase(ctx, vm, LP__VM_PHASE__VM_CORDONED, cmd->reason);
	set_ok_result(ctx);
}

/*
 * Counts the VM as a success or a failure of the wave that it belongs to. A success doubles the
 * wave's batch, a failure halves it.
 */
static void record_wave_outcome(const fleet_apply_ctx_t *ctx, fleet_vm_t *vm, bool success)
{
	fleet_wave_t *wave = fleet_wave_find(ctx->fleet, vm->wave);

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

static bool has_wave_image(const fleet_apply_ctx_t *ctx, const fleet_vm_t *vm)
{
	const fleet_wave_t *wave = fleet_wave_find(ctx->fleet, vm->wave);

	return wave != NULL && strcmp(wave->image, vm->image) == 0;
}

static void release_permit(fleet_vm_t *vm)
{
	fleet_pool_t *to_pool = vm->to_pool;

	vm->permit = LP__PERMIT_KIND__PERMIT_NONE;
	vm->to_pool = NULL;
	vm->wave = 0;
	if (to_pool != NULL)
		fleet_pool_free_if_unused(to_pool);
}

static void end_permit_on_phase_change(const fleet_apply_ctx_t *ctx, fleet_vm_t *vm,
				       Lp__VmPhase from)
{
	if (vm->phase == LP__VM_PHASE__VM_ACTIVE) {
		/*
		 * A VM that was uncordoned before it was drained counts as neither success nor
		 * failure.
		 */
		if (from == LP__VM_PHASE__VM_RETURNING)
			record_wave_outcome(ctx, vm, has_wave_image(ctx, vm));
		release_permit(vm);
	} else if (vm->phase == LP__VM_PHASE__VM_LOST ||
		   vm->phase == LP__VM_PHASE__VM_QUARANTINED) {
		record_wave_outcome(ctx, vm, false);
		release_permit(vm);
	}
}

void fleet_apply_vm_step(const fleet_apply_ctx_t *ctx, const Lp__VmStep *cmd)
{
	fleet_vm_t *vm = find_vm_at_epoch(ctx, cmd->vm, cmd->epoch);
	Lp__VmPhase from;
	bool routable;

	if (vm == NULL)
		return;
	from = vm->phase;
	if (from != cmd->from) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "VM %s is %s, not %s", vm->id, fleet_phase_name(from),
				 fleet_phase_name(cmd->from));
		return;
	}
	if ((uint32_t)cmd->to > LP__VM_PHASE__VM_LOST ||
	    (allowed_next_phases[from] & (1U << cmd->to)) == 0) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "VM %s cannot go from %s to %s", vm->id, fleet_phase_name(from),
				 fleet_phase_name(cmd->to));
		return;
	}
	routable = fleet_vm_routable(vm);
	if (from == LP__VM_PHASE__VM_OUT && cmd->to == LP__VM_PHASE__VM_RETURNING &&
	    ctx->time_ms > vm->since_ms)
		vm->reboot_ms = ctx->time_ms - vm->since_ms;
	change_phase(ctx, vm, cmd->to, cmd->reason);
	if (cmd->image[0] != '\0')
		fleet_replace_string(&vm->image, cmd->image);
	/*
	 * A new epoch invalidates leases that were granted before the VM became or stopped being
	 * routable. A joining VM needs none, since no request has been sent to it yet.
	 */
	if (routable != fleet_vm_routable(vm) && from != LP__VM_PHASE__VM_JOINING)
		vm->epoch++;
	end_permit_on_phase_change(ctx, vm, from);
	set_ok_result(ctx);
}

void fleet_apply_vm_assign(const fleet_apply_ctx_t *ctx, const Lp__VmAssign *cmd)
{
	fleet_vm_t *vm = find_vm_at_epoch(ctx, cmd->vm, cmd->epoch);

	if (vm == NULL)
		return;
	if (vm->phase != LP__VM_PHASE__VM_CORDONED || vm->permit != LP__PERMIT_KIND__PERMIT_MOVE ||
	    vm->to_pool == NULL || strcmp(vm->to_pool->name, cmd->pool) != 0) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "VM %s is not cordoned for a move to pool %s", vm->id, cmd->pool);
		return;
	}
	if (vm->to_pool != vm->pool)
		fleet_vm_change_pool(vm, vm->to_pool);
	vm->epoch++;
	change_phase(ctx, vm, LP__VM_PHASE__VM_ACTIVE, cmd->reason);
	release_permit(vm);
	set_ok_result(ctx);
}

static void supersede_open_waves(const fleet_apply_ctx_t *ctx, const fleet_org_t *org,
				 const char *image)
{
	fleet_wave_t *wave;

	TAILQ_FOREACH (wave, &ctx->fleet->waves, link) {
		if (wave->org != org || wave->state == LP__WAVE_STATE__WAVE_DONE)
			continue;
		wave->state = LP__WAVE_STATE__WAVE_DONE;
		wave->since_ms = ctx->time_ms;
		g_free(wave->reason);
		wave->reason = g_strdup_printf("superseded by image %s", image);
	}
}

static void limit_waves(fleet_t *fleet)
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

static void start_wave(const fleet_apply_ctx_t *ctx, const Lp__WaveUpdate *cmd)
{
	fleet_org_t *org = fleet_org_find(ctx->fleet, cmd->organisation);
	fleet_wave_t *wave;

	if (org == NULL || cmd->image[0] == '\0') {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "a wave needs a known organisation and an image");
		return;
	}
	TAILQ_FOREACH (wave, &ctx->fleet->waves, link) {
		if (wave->org == org && wave->state != LP__WAVE_STATE__WAVE_DONE &&
		    strcmp(wave->image, cmd->image) == 0) {
			fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
					 "wave %" G_GUINT64_FORMAT " for image %s is open",
					 wave->id, wave->image);
			return;
		}
	}
	supersede_open_waves(ctx, org, cmd->image);
	wave = g_new0(fleet_wave_t, 1);
	wave->id = ctx->fleet->next_wave++;
	wave->org = org;
	wave->image = g_strdup(cmd->image);
	wave->reason = g_strdup(cmd->reason);
	wave->state = cmd->state;
	wave->batch = MAX(cmd->batch, 1U);
	wave->started_ms = ctx->time_ms;
	wave->since_ms = ctx->time_ms;
	TAILQ_INSERT_HEAD(&ctx->fleet->waves, wave, link);
	limit_waves(ctx->fleet);
	set_ok_result(ctx);
}

void fleet_apply_wave_update(const fleet_apply_ctx_t *ctx, const Lp__WaveUpdate *cmd)
{
	fleet_wave_t *wave;

	if ((uint32_t)cmd->state > LP__WAVE_STATE__WAVE_DONE) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_INVALID,
				 "the state of the wave is unknown");
		return;
	}
	if (cmd->wave == 0) {
		start_wave(ctx, cmd);
		return;
	}
	wave = fleet_wave_find(ctx->fleet, cmd->wave);
	if (wave == NULL) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_NOT_FOUND,
				 "there is no wave %" G_GUINT64_FORMAT, cmd->wave);
		return;
	}
	if (wave->state == LP__WAVE_STATE__WAVE_DONE) {
		fleet_set_result(ctx->fleet, ctx->result, LP__RESULT_CODE__RESULT_CONFLICT,
				 "wave %" G_GUINT64_FORMAT " is done", wave->id);
		return;
	}
	wave->state = cmd->state;
	if (cmd->batch > 0)
		wave->batch = cmd->batch;
	wave->since_ms = ctx->time_ms;
	fleet_replace_string(&wave->reason, cmd->reason);
	set_ok_result(ctx);
}
