#include <string.h>

#include "planner_internal.h"

#define MINUTES_PER_DAY (24 * 60)
#define MS_PER_MINUTE 60000
/* Weekday of 1 January 1970: a Thursday, which is 3 when weekdays are counted from Monday as 0. */
#define EPOCH_WEEKDAY 3

bool plan_in_maintenance_window(const Lp__PoolSpec *spec, uint64_t wall_ms)
{
	uint64_t minutes = wall_ms / MS_PER_MINUTE;
	uint32_t minute = (uint32_t)(minutes % MINUTES_PER_DAY);
	uint32_t day = (uint32_t)((minutes / MINUTES_PER_DAY + EPOCH_WEEKDAY) % 7);
	uint32_t previous_day = (day + 6) % 7;

	for (size_t i = 0; i < spec->n_windows; i++) {
		const Lp__Window *window = spec->windows[i];
		bool opens_today = (window->weekday_mask >> day & 1) != 0;
		bool opened_yesterday = (window->weekday_mask >> previous_day & 1) != 0;

		if (window->start_minute < window->end_minute) {
			if (opens_today && minute >= window->start_minute &&
			    minute < window->end_minute)
				return true;
		} else if ((opens_today && minute >= window->start_minute) ||
			   (opened_yesterday && minute < window->end_minute)) {
			return true;
		}
	}
	return spec->n_windows == 0;
}

bool plan_needs_maintenance(const fleet_vm_t *vm, const char *image)
{
	return strcmp(vm->image, image) != 0 && vm->phase != LP__VM_PHASE__VM_LOST &&
	       vm->phase != LP__VM_PHASE__VM_QUARANTINED;
}

/* True when the VM needs maintenance and has no permit yet. */
static bool needs_permit(const plan_run_t *run, const fleet_vm_t *vm, const char *image)
{
	return plan_needs_maintenance(vm, image) && vm->permit == LP__PERMIT_KIND__PERMIT_NONE &&
	       !g_hash_table_contains(run->granted, vm);
}

/* VM counts of one failure domain, a rack or data centre. */
typedef struct {
	uint32_t usable;
	uint32_t waiting_vms;
} failure_domain_t;

static failure_domain_t *failure_domain_of(GHashTable *domains, const fleet_vm_t *vm, bool by_rack)
{
	char *key = g_strdup_printf("%s/%s", vm->data_centre, by_rack ? vm->rack : "");
	failure_domain_t *domain = g_hash_table_lookup(domains, key);

	if (domain != NULL) {
		g_free(key);
		return domain;
	}
	domain = g_new0(failure_domain_t, 1);
	g_hash_table_insert(domains, key, domain);
	return domain;
}

static GHashTable *count_failure_domains(const plan_run_t *run, const fleet_pool_t *pool,
					 bool by_rack, const char *image)
{
	GHashTable *domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		failure_domain_t *domain = failure_domain_of(domains, vm, by_rack);

		domain->usable += !g_hash_table_contains(run->granted, vm) &&
				  budget_vm_usable(vm, run->input->health, run->input->now_us);
		domain->waiting_vms += needs_permit(run, vm, image);
	}
	return domains;
}

/* Parameters of the order in which VMs are maintained. */
typedef struct {
	GHashTable *domains;
	bool by_rack;
	bool reserve_by_domain;
	/* true: the wave's batch, not a budget, limits the VMs under maintenance */
	bool batch_limited;
} maintenance_order_t;

/*
 * True when a is maintained before b. The criteria are, in this order:
 * If the pool's reserve covers the loss of a rack or data centre, VMs of the one with the most
 * usable VMs come first, since each VM taken from it makes the reserve smaller.
 * Then the latest reboot times are compared, if both are known. While the batch limits the wave,
 * short reboots come first, because each success doubles the batch. Otherwise long reboots come
 * first, so that none is left for the end.
 * Among equals, VMs of the rack or data centre with the most usable VMs come first, then those of
 * the one with the most VMs that wait for maintenance.
 */
static bool is_maintained_before(const maintenance_order_t *order, const fleet_vm_t *a,
				 const fleet_vm_t *b)
{
	const failure_domain_t *domain_a = failure_domain_of(order->domains, a, order->by_rack);
	const failure_domain_t *domain_b = failure_domain_of(order->domains, b, order->by_rack);

	if (order->reserve_by_domain && domain_a->usable != domain_b->usable)
		return domain_a->usable > domain_b->usable;
	if (a->reboot_ms != 0 && b->reboot_ms != 0 && a->reboot_ms != b->reboot_ms)
		return order->batch_limited ? a->reboot_ms < b->reboot_ms
					    : a->reboot_ms > b->reboot_ms;
	if (domain_a->usable != domain_b->usable)
		return domain_a->usable > domain_b->usable;
	return domain_a->waiting_vms > domain_b->waiting_vms;
}

const fleet_vm_t *plan_next_vm_to_maintain(const plan_run_t *run, const fleet_pool_t *pool,
					   const char *image, bool batch_limited)
{
	Lp__ReserveScope scope =
		pool->spec != NULL ? pool->spec->reserve_scope : LP__RESERVE_SCOPE__RESERVE_VMS;
	maintenance_order_t order = {
		.by_rack = scope != LP__RESERVE_SCOPE__RESERVE_DATA_CENTRE,
		.reserve_by_domain = scope != LP__RESERVE_SCOPE__RESERVE_VMS,
		.batch_limited = batch_limited,
	};
	const fleet_vm_t *best = NULL;
	const fleet_vm_t *vm;

	order.domains = count_failure_domains(run, pool, order.by_rack, image);
	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (needs_permit(run, vm, image) && plan_may_grant_permit(run, vm) &&
		    (best == NULL || is_maintained_before(&order, vm, best)))
			best = vm;
	}
	g_hash_table_unref(order.domains);
	return best;
}

/* Maintenance state of an organisation at the start of a planner run. */
typedef struct {
	const fleet_org_t *org;
	const Lp__MaintenanceSpec *spec;
	const fleet_wave_t *wave;    /* the organisation's wave that is not done yet, or NULL */
	uint32_t due_without_permit; /* VMs that need maintenance and have no permit */
	uint32_t in_progress;	     /* VMs under a maintenance permit of the wave */
	/* true: the maintenance window of at least one VM counted in due_without_permit is open */
	bool window_open;
	/* true: every data centre that has VMs of the organisation is reachable */
	bool all_dcs_reachable;
} maintenance_state_t;

static void add_vm_to_state(const plan_run_t *run, maintenance_state_t *state, const fleet_vm_t *vm)
{
	const fleet_pool_t *pool = vm->pool;

	if (!plan_dc_reachable(run, vm))
		state->all_dcs_reachable = false;
	if (vm->permit == LP__PERMIT_KIND__PERMIT_MAINTENANCE) {
		if (state->wave != NULL && vm->wave == state->wave->id)
			state->in_progress++;
	} else if (plan_needs_maintenance(vm, state->spec->image)) {
		state->due_without_permit++;
		if (pool->spec == NULL ||
		    plan_in_maintenance_window(pool->spec, run->input->wall_ms))
			state->window_open = true;
	}
}

static maintenance_state_t read_maintenance_state(const plan_run_t *run, const fleet_org_t *org)
{
	maintenance_state_t state = {
		.org = org, .spec = org->template->maintenance, .all_dcs_reachable = true};
	const fleet_wave_t *wave;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (wave, &run->input->fleet->waves, link) {
		if (wave->org == org && wave->state != LP__WAVE_STATE__WAVE_DONE) {
			state.wave = wave;
			break;
		}
	}
	TAILQ_FOREACH (pool, &org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link)
			add_vm_to_state(run, &state, vm);
	}
	return state;
}

static void add_wave_update(plan_run_t *run, const maintenance_state_t *state, Lp__WaveState to,
			    const char *reason)
{
	plan_action_t *action = plan_add_action(run, PLAN_WAVE, NULL, "%s", reason);

	action->wave.id = state->wave != NULL ? state->wave->id : 0;
	action->wave.org = state->org;
	action->wave.image = state->spec->image;
	action->wave.state = to;
	/*
	 * 0 leaves the batch of an existing wave unchanged. The planner must not set it, since a
	 * reboot that ended after this planner run started may have changed it.
	 */
	action->wave.batch = state->wave != NULL ? 0 : 1;
}

/* Returns why no VM may be granted a maintenance permit now, or NULL when it may. */
static const char *wave_pause_reason(const maintenance_state_t *state)
{
	if (state->spec->paused)
		return "paused by the template";
	if (!state->all_dcs_reachable)
		return "a data centre is out of contact";
	if (state->due_without_permit > 0 && !state->window_open)
		return "no maintenance window is open";
	return NULL;
}

/*
 * Plans the wave's next state.
 * @return true when VMs may be granted maintenance permits
 */
static bool advance_wave_state(plan_run_t *run, const maintenance_state_t *state)
{
	const fleet_wave_t *wave = state->wave;
	const char *pause = wave_pause_reason(state);

	if (wave->state == LP__WAVE_STATE__WAVE_STOPPED)
		return false;
	if (wave->failures >= MAX(state->spec->stop_after_failures, 1U)) {
		add_wave_update(run, state, LP__WAVE_STATE__WAVE_STOPPED, "too many failures");
		return false;
	}
	if (state->due_without_permit == 0 && state->in_progress == 0) {
		add_wave_update(run, state, LP__WAVE_STATE__WAVE_DONE, "no VM is due");
		return false;
	}
	if (pause != NULL) {
		if (wave->state != LP__WAVE_STATE__WAVE_PAUSED)
			add_wave_update(run, state, LP__WAVE_STATE__WAVE_PAUSED, pause);
		return false;
	}
	if (wave->state == LP__WAVE_STATE__WAVE_PAUSED)
		add_wave_update(run, state, LP__WAVE_STATE__WAVE_RUNNING, "resumed");
	return wave->state == LP__WAVE_STATE__WAVE_RUNNING;
}

/*
 * Assumed duration of a reboot of a VM whose reboot time is not known. It must be the same for all
 * such VMs and within the range of measured reboot times; the exact value does not matter.
 */
#define DEFAULT_REBOOT_MS 75000

/*
 * Maintenance still to be done in a pool that may be maintained now: its maintenance window is
 * open, or it was removed from the template.
 */
typedef struct {
	const fleet_pool_t *pool;
	uint32_t waiting_vms;
	uint32_t max_parallel; /* VMs that may be under maintenance at once within the budget */
	uint32_t free_budget;
	double remaining_ms; /* estimated time until all waiting VMs have been rebooted */
} pool_candidate_t;

static pool_candidate_t make_candidate(const plan_run_t *run, const maintenance_state_t *state,
				       const fleet_pool_t *pool)
{
	pool_candidate_t candidate = {.pool = pool,
				      .free_budget = plan_pool_budget(run, pool).free};
	uint32_t in_progress = 0;
	uint64_t work_ms = 0;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		in_progress += vm->permit == LP__PERMIT_KIND__PERMIT_MAINTENANCE ||
			       g_hash_table_contains(run->granted, vm);
		if (!needs_permit(run, vm, state->spec->image) || !plan_may_grant_permit(run, vm))
			continue;
		candidate.waiting_vms++;
		work_ms += vm->reboot_ms != 0 ? vm->reboot_ms : DEFAULT_REBOOT_MS;
	}
	candidate.max_parallel = candidate.free_budget + in_progress;
	if (candidate.max_parallel > 0)
		candidate.remaining_ms = (double)work_ms / candidate.max_parallel;
	return candidate;
}

/*
 * Returns the pool with the longest remaining time, since it decides when the wave ends. Considers
 * only pools with a waiting VM and free budget; returns NULL when there is none.
 */
static pool_candidate_t *find_slowest_candidate(GArray *candidates)
{
	pool_candidate_t *best = NULL;

	for (guint i = 0; i < candidates->len; i++) {
		pool_candidate_t *candidate = &g_array_index(candidates, pool_candidate_t, i);

		if (candidate->waiting_vms > 0 && candidate->free_budget > 0 &&
		    (best == NULL || candidate->remaining_ms > best->remaining_ms))
			best = candidate;
	}
	return best;
}

static GArray *collect_candidates(const plan_run_t *run, const maintenance_state_t *state)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(pool_candidate_t));
	const fleet_pool_t *pool;

	TAILQ_FOREACH (pool, &state->org->pools, link) {
		if (pool->spec == NULL ||
		    plan_in_maintenance_window(pool->spec, run->input->wall_ms)) {
			pool_candidate_t candidate = make_candidate(run, state, pool);

			g_array_append_val(candidates, candidate);
		}
	}
	return candidates;
}

static void grant_maintenance_permits(plan_run_t *run, const maintenance_state_t *state)
{
	GArray *candidates = collect_candidates(run, state);
	uint32_t limit = state->wave->batch;
	uint32_t max_parallel = 0;
	pool_candidate_t *best;

	if (state->spec->max_batch != 0)
		limit = MIN(limit, state->spec->max_batch);
	for (guint i = 0; i < candidates->len; i++)
		max_parallel += g_array_index(candidates, pool_candidate_t, i).max_parallel;
	for (uint32_t in_progress = state->in_progress; in_progress < limit; in_progress++) {
		const fleet_vm_t *vm;

		best = find_slowest_candidate(candidates);
		if (best == NULL)
			break;
		vm = plan_next_vm_to_maintain(run, best->pool, state->spec->image,
					      state->wave->batch < max_parallel);
		plan_grant_permit(run, vm, LP__PERMIT_KIND__PERMIT_MAINTENANCE, NULL,
				  state->wave->id, "maintenance wave");
		*best = make_candidate(run, state, best->pool);
	}
	g_array_unref(candidates);
}

void plan_maintenance(plan_run_t *run, const fleet_org_t *org)
{
	maintenance_state_t state;

	if (org->template->maintenance == NULL)
		return;
	state = read_maintenance_state(run, org);
	if (state.spec->image[0] == '\0') {
		if (state.wave != NULL)
			add_wave_update(run, &state, LP__WAVE_STATE__WAVE_DONE,
					"the template names no image");
		return;
	}
	if (state.wave == NULL || strcmp(state.wave->image, state.spec->image) != 0) {
		state.wave = NULL;
		if (state.due_without_permit > 0 && wave_pause_reason(&state) == NULL)
			add_wave_update(run, &state, LP__WAVE_STATE__WAVE_RUNNING,
					"VMs differ from the template's image");
		return;
	}
	if (advance_wave_state(run, &state))
		grant_maintenance_permits(run, &state);
}
