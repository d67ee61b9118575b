#include <string.h>

#include "planner_internal.h"

#define MINUTES_PER_DAY (24 * 60)
#define MS_PER_MINUTE 60000
/* 1 January 1970 was a Thursday; day 0 is Monday. */
#define WEEKDAY_OF_EPOCH 3

bool plan_window_open(const Lp__PoolSpec *spec, uint64_t wall_ms)
{
	uint64_t minutes = wall_ms / MS_PER_MINUTE;
	uint32_t minute = (uint32_t)(minutes % MINUTES_PER_DAY);
	uint32_t day = (uint32_t)((minutes / MINUTES_PER_DAY + WEEKDAY_OF_EPOCH) % 7);
	uint32_t day_before = (day + 6) % 7;

	for (size_t i = 0; i < spec->n_windows; i++) {
		const Lp__Window *w = spec->windows[i];
		bool today = (w->weekday_mask >> day & 1) != 0;
		bool yesterday = (w->weekday_mask >> day_before & 1) != 0;

		if (w->start_minute < w->end_minute) {
			if (today && minute >= w->start_minute && minute < w->end_minute)
				return true;
		} else if ((today && minute >= w->start_minute) ||
			   (yesterday && minute < w->end_minute)) {
			return true;
		}
	}
	return spec->n_windows == 0;
}

bool plan_is_due(const fleet_vm_t *vm, const char *image)
{
	return strcmp(vm->image, image) != 0 && vm->phase != LP__VM_PHASE__VM_LOST &&
	       vm->phase != LP__VM_PHASE__VM_QUARANTINED;
}

/* Due VMs of the pool that no permit has been granted to. */
static uint32_t count_due(const plan_run_t *run, const fleet_pool_t *pool, const fleet_vm_t *like,
			  const char *image)
{
	const fleet_vm_t *vm;
	uint32_t due = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (plan_is_due(vm, image) && vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
		    !g_hash_table_contains(run->taken, vm) &&
		    (like == NULL || (strcmp(vm->rack, like->rack) == 0 &&
				      strcmp(vm->data_centre, like->data_centre) == 0)))
			due++;
	}
	return due;
}

/* Order within a pool: the largest usable share of a rack or data centre first, because it sets
 * the failure reserve; then the rack with most work left. */
static int compare_due(const plan_run_t *run, const fleet_vm_t *a, const fleet_vm_t *b,
		       const char *image)
{
	const Lp__PoolSpec *spec = a->pool->spec;
	bool by_dc = spec != NULL && spec->reserve_scope == LP__RESERVE_SCOPE__RESERVE_DATA_CENTRE;
	uint32_t share_a = plan_share(run, a, !by_dc);
	uint32_t share_b = plan_share(run, b, !by_dc);

	if (share_a != share_b)
		return share_a > share_b ? -1 : 1;
	share_a = count_due(run, a->pool, a, image);
	share_b = count_due(run, b->pool, b, image);
	if (share_a != share_b)
		return share_a > share_b ? -1 : 1;
	return strcmp(a->id, b->id);
}

const fleet_vm_t *plan_next_due(const plan_run_t *run, const fleet_pool_t *pool, const char *image)
{
	const fleet_vm_t *best = NULL;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (plan_is_due(vm, image) && plan_vm_available(run, vm) &&
		    (best == NULL || compare_due(run, vm, best, image) < 0))
			best = vm;
	}
	return best;
}

/* State of an organisation's maintenance in one run. */
typedef struct {
	const fleet_org_t *org;
	const Lp__MaintenanceSpec *spec;
	const fleet_wave_t *wave; /* open wave for the image, or NULL */
	uint32_t due;		  /* without a permit */
	uint32_t busy;		  /* under a permit of the wave */
	bool window_open;	  /* for at least one due VM */
	bool in_contact;	  /* all data centres with VMs of the organisation */
} state_t;

static void count_vm(const plan_run_t *run, state_t *state, const fleet_vm_t *vm)
{
	const fleet_pool_t *pool = vm->pool;

	if (!plan_in_contact(run, vm))
		state->in_contact = false;
	if (vm->permit == LP__PERMIT_KIND__PERMIT_MAINTENANCE) {
		if (state->wave != NULL && vm->wave == state->wave->id)
			state->busy++;
	} else if (plan_is_due(vm, state->spec->image)) {
		state->due++;
		if (pool->spec == NULL || plan_window_open(pool->spec, run->in->wall_ms))
			state->window_open = true;
	}
}

static state_t observe(const plan_run_t *run, const fleet_org_t *org)
{
	state_t state = {.org = org, .spec = org->template->maintenance, .in_contact = true};
	const fleet_wave_t *wave;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (wave, &run->in->fleet->waves, link) {
		if (wave->org == org && wave->state != LP__WAVE_STATE__WAVE_DONE) {
			state.wave = wave;
			break;
		}
	}
	TAILQ_FOREACH (pool, &org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link)
			count_vm(run, &state, vm);
	}
	return state;
}

static void update_wave(plan_run_t *run, const state_t *state, Lp__WaveState to, const char *reason)
{
	plan_action_t *action = plan_add(run, PLAN_WAVE, NULL, "%s", reason);

	action->wave.id = state->wave != NULL ? state->wave->id : 0;
	action->wave.org = state->org;
	action->wave.image = state->spec->image;
	action->wave.state = to;
	action->wave.batch = state->wave != NULL ? state->wave->batch : 1;
}

/* Why the wave may not take VMs now, or NULL. */
static const char *pause_reason(const state_t *state)
{
	if (state->spec->paused)
		return "paused by the template";
	if (!state->in_contact)
		return "a data centre is out of contact";
	if (state->due > 0 && !state->window_open)
		return "no maintenance window is open";
	return NULL;
}

/* Brings the wave's state up to date. @return true when VMs may be taken */
static bool steer_wave(plan_run_t *run, const state_t *state)
{
	const fleet_wave_t *wave = state->wave;
	const char *pause = pause_reason(state);

	if (wave->state == LP__WAVE_STATE__WAVE_STOPPED)
		return false;
	if (wave->failures >= MAX(state->spec->stop_after_failures, 1U)) {
		update_wave(run, state, LP__WAVE_STATE__WAVE_STOPPED, "too many failures");
		return false;
	}
	if (state->due == 0 && state->busy == 0) {
		update_wave(run, state, LP__WAVE_STATE__WAVE_DONE, "no VM is due");
		return false;
	}
	if (pause != NULL) {
		if (wave->state != LP__WAVE_STATE__WAVE_PAUSED)
			update_wave(run, state, LP__WAVE_STATE__WAVE_PAUSED, pause);
		return false;
	}
	if (wave->state == LP__WAVE_STATE__WAVE_PAUSED)
		update_wave(run, state, LP__WAVE_STATE__WAVE_RUNNING, "resumed");
	return wave->state == LP__WAVE_STATE__WAVE_RUNNING;
}

static uint32_t count_busy(const plan_run_t *run, const fleet_pool_t *pool)
{
	const fleet_vm_t *vm;
	uint32_t busy = 0;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (vm->permit == LP__PERMIT_KIND__PERMIT_MAINTENANCE ||
		    g_hash_table_contains(run->taken, vm))
			busy++;
	}
	return busy;
}

/* The pool with most rounds of work left goes first, because it decides when the wave ends. */
static const fleet_pool_t *most_constrained(const plan_run_t *run, const state_t *state)
{
	const fleet_pool_t *best = NULL;
	const fleet_pool_t *pool;
	double most = -1;

	TAILQ_FOREACH (pool, &state->org->pools, link) {
		uint32_t free;
		double rounds;

		if (pool->spec != NULL && !plan_window_open(pool->spec, run->in->wall_ms))
			continue;
		free = plan_budget(run, pool).free;
		if (free == 0 || plan_next_due(run, pool, state->spec->image) == NULL)
			continue;
		rounds = (double)count_due(run, pool, NULL, state->spec->image) /
			 (free + count_busy(run, pool));
		if (rounds > most) {
			most = rounds;
			best = pool;
		}
	}
	return best;
}

static void grant(plan_run_t *run, const state_t *state)
{
	uint32_t limit = state->wave->batch;
	const fleet_pool_t *pool;

	if (state->spec->max_batch != 0)
		limit = MIN(limit, state->spec->max_batch);
	for (uint32_t busy = state->busy; busy < limit; busy++) {
		pool = most_constrained(run, state);
		if (pool == NULL)
			return;
		plan_grant(run, plan_next_due(run, pool, state->spec->image),
			   LP__PERMIT_KIND__PERMIT_MAINTENANCE, NULL, state->wave->id,
			   "maintenance wave");
	}
}

void plan_maintenance(plan_run_t *run, const fleet_org_t *org)
{
	state_t state;

	if (org->template->maintenance == NULL)
		return;
	state = observe(run, org);
	if (state.spec->image[0] == '\0') {
		if (state.wave != NULL)
			update_wave(run, &state, LP__WAVE_STATE__WAVE_DONE,
				    "the template names no image");
		return;
	}
	if (state.wave == NULL || strcmp(state.wave->image, state.spec->image) != 0) {
		state.wave = NULL;
		if (state.due > 0 && pause_reason(&state) == NULL)
			update_wave(run, &state, LP__WAVE_STATE__WAVE_RUNNING,
				    "VMs differ from the template's image");
		return;
	}
	if (steer_wave(run, &state))
		grant(run, &state);
}
