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

/* True when no permit has been granted to a due VM. */
static bool is_waiting(const plan_run_t *run, const fleet_vm_t *vm, const char *image)
{
	return plan_is_due(vm, image) && vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
	       !g_hash_table_contains(run->taken, vm);
}

/* What the VMs of one rack or data centre add up to. */
typedef struct {
	uint32_t usable;
	uint32_t waiting;
} place_t;

static place_t *place_of(GHashTable *places, const fleet_vm_t *vm, bool by_rack)
{
	char *key = g_strdup_printf("%s/%s", vm->data_centre, by_rack ? vm->rack : "");
	place_t *place = g_hash_table_lookup(places, key);

	if (place != NULL) {
		g_free(key);
		return place;
	}
	place = g_new0(place_t, 1);
	g_hash_table_insert(places, key, place);
	return place;
}

static GHashTable *count_places(const plan_run_t *run, const fleet_pool_t *pool, bool by_rack,
				const char *image)
{
	GHashTable *places = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		place_t *place = place_of(places, vm, by_rack);

		place->usable += !g_hash_table_contains(run->taken, vm) &&
				 budget_vm_usable(vm, run->in->health, run->in->now_us);
		place->waiting += is_waiting(run, vm, image);
	}
	return places;
}

/* What the order of two due VMs depends on. */
typedef struct {
	GHashTable *places;
	bool by_rack;
	bool reserve_by_place;
	bool ramp; /* the batch, not the budgets, limits the VMs that are out */
} order_t;

/* The largest usable share of a rack or data centre goes first where it sets the failure reserve.
 * After that the expected time decides: short reboots first while the batch grows, because each
 * success raises it, and long ones first afterwards, so that none is left for the end. */
static bool goes_before(const order_t *order, const fleet_vm_t *a, const fleet_vm_t *b)
{
	const place_t *place_a = place_of(order->places, a, order->by_rack);
	const place_t *place_b = place_of(order->places, b, order->by_rack);

	if (order->reserve_by_place && place_a->usable != place_b->usable)
		return place_a->usable > place_b->usable;
	if (a->out_ms != 0 && b->out_ms != 0 && a->out_ms != b->out_ms)
		return order->ramp ? a->out_ms < b->out_ms : a->out_ms > b->out_ms;
	if (place_a->usable != place_b->usable)
		return place_a->usable > place_b->usable;
	return place_a->waiting > place_b->waiting;
}

const fleet_vm_t *plan_next_due(const plan_run_t *run, const fleet_pool_t *pool, const char *image,
				bool ramp)
{
	Lp__ReserveScope scope =
		pool->spec != NULL ? pool->spec->reserve_scope : LP__RESERVE_SCOPE__RESERVE_VMS;
	order_t order = {
		.by_rack = scope != LP__RESERVE_SCOPE__RESERVE_DATA_CENTRE,
		.reserve_by_place = scope != LP__RESERVE_SCOPE__RESERVE_VMS,
		.ramp = ramp,
	};
	const fleet_vm_t *best = NULL;
	const fleet_vm_t *vm;

	order.places = count_places(run, pool, order.by_rack, image);
	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (is_waiting(run, vm, image) && plan_vm_available(run, vm) &&
		    (best == NULL || goes_before(&order, vm, best)))
			best = vm;
	}
	g_hash_table_unref(order.places);
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
	/* 0 leaves the batch as it is; outcomes may have changed it in the meantime. */
	action->wave.batch = state->wave != NULL ? 0 : 1;
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

/* Expected time of a reboot that has not been measured; all that counts is that it is the same for
 * all such VMs and within the range of the measured ones. */
#define UNKNOWN_OUT_MS 75000

/* A pool with VMs to be taken, and what is left to do there. */
typedef struct {
	const fleet_pool_t *pool;
	uint32_t waiting;
	uint32_t parallel; /* VMs that the budget lets be out at a time */
	uint32_t free;
	double time_ms; /* that the waiting VMs need */
} candidate_t;

static candidate_t candidate_of(const plan_run_t *run, const state_t *state,
				const fleet_pool_t *pool)
{
	candidate_t candidate = {.pool = pool, .free = plan_budget(run, pool).free};
	uint32_t busy = 0;
	uint64_t work_ms = 0;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		busy += vm->permit == LP__PERMIT_KIND__PERMIT_MAINTENANCE ||
			g_hash_table_contains(run->taken, vm);
		if (!is_waiting(run, vm, state->spec->image) || !plan_vm_available(run, vm))
			continue;
		candidate.waiting++;
		work_ms += vm->out_ms != 0 ? vm->out_ms : UNKNOWN_OUT_MS;
	}
	candidate.parallel = candidate.free + busy;
	if (candidate.parallel > 0)
		candidate.time_ms = (double)work_ms / candidate.parallel;
	return candidate;
}

/* The pool with most work left goes first, because it decides when the wave ends. */
static candidate_t *most_constrained(GArray *candidates)
{
	candidate_t *best = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		candidate_t *candidate = &g_array_index(candidates, candidate_t, i);

		if (candidate->waiting > 0 && candidate->free > 0 &&
		    (best == NULL || candidate->time_ms > best->time_ms))
			best = candidate;
	}
	return best;
}

static GArray *find_candidates(const plan_run_t *run, const state_t *state)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	const fleet_pool_t *pool;

	TAILQ_FOREACH (pool, &state->org->pools, link) {
		if (pool->spec == NULL || plan_window_open(pool->spec, run->in->wall_ms)) {
			candidate_t candidate = candidate_of(run, state, pool);

			g_array_append_val(candidates, candidate);
		}
	}
	return candidates;
}

static void grant(plan_run_t *run, const state_t *state)
{
	GArray *candidates = find_candidates(run, state);
	uint32_t limit = state->wave->batch;
	uint32_t parallel = 0;
	candidate_t *best;

	if (state->spec->max_batch != 0)
		limit = MIN(limit, state->spec->max_batch);
	for (guint i = 0; i < candidates->len; i++)
		parallel += g_array_index(candidates, candidate_t, i).parallel;
	for (uint32_t busy = state->busy; busy < limit; busy++) {
		const fleet_vm_t *vm;

		best = most_constrained(candidates);
		if (best == NULL)
			break;
		vm = plan_next_due(run, best->pool, state->spec->image,
				   state->wave->batch < parallel);
		plan_grant(run, vm, LP__PERMIT_KIND__PERMIT_MAINTENANCE, NULL, state->wave->id,
			   "maintenance wave");
		*best = candidate_of(run, state, best->pool);
	}
	g_array_unref(candidates);
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
