#include "budget.h"

bool budget_vm_usable(const fleet_vm_t *vm, const health_t *health, uint64_t now_us)
{
	return vm->phase == LP__VM_PHASE__VM_ACTIVE &&
	       health_state(health, vm->id, now_us) == HEALTH_SERVING;
}

static const char *domain_name(const fleet_vm_t *vm, Lp__ReserveScope scope)
{
	return scope == LP__RESERVE_SCOPE__RESERVE_RACK ? vm->rack : vm->data_centre;
}

/*
 * The key includes the data centre, since racks of different data centres may have the same name.
 */
static char *domain_key(const fleet_vm_t *vm, Lp__ReserveScope scope)
{
	return g_strdup_printf("%s/%s", vm->data_centre, domain_name(vm, scope));
}

static uint32_t count_in_domain(GHashTable *vms_per_domain, const fleet_vm_t *vm,
				Lp__ReserveScope scope)
{
	char *key = domain_key(vm, scope);
	uint32_t count = GPOINTER_TO_UINT(g_hash_table_lookup(vms_per_domain, key)) + 1;

	g_hash_table_replace(vms_per_domain, key, GUINT_TO_POINTER(count));
	return count;
}

static bool is_excluded(GHashTable *excluded, const fleet_vm_t *vm)
{
	return excluded != NULL && g_hash_table_contains(excluded, vm);
}

budget_t budget_excluding(const fleet_pool_t *pool, const health_t *health, uint64_t now_us,
			  GHashTable *excluded)
{
	GHashTable *vms_per_domain = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	Lp__ReserveScope scope =
		pool->spec != NULL ? pool->spec->reserve_scope : LP__RESERVE_SCOPE__RESERVE_VMS;
	budget_t budget = {.vms = pool->vm_count};
	uint32_t largest_domain = 0;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		if (vm->permit != LP__PERMIT_KIND__PERMIT_NONE || is_excluded(excluded, vm)) {
			budget.out++;
		} else if (budget_vm_usable(vm, health, now_us)) {
			budget.usable++;
			if (scope != LP__RESERVE_SCOPE__RESERVE_VMS)
				largest_domain = MAX(largest_domain,
						     count_in_domain(vms_per_domain, vm, scope));
		} else if (vm->phase == LP__VM_PHASE__VM_ACTIVE) {
			budget.doubt++;
		}
	}
	g_hash_table_unref(vms_per_domain);
	if (pool->spec != NULL) {
		budget.keep = pool->spec->keep_vms;
		budget.reserve = scope == LP__RESERVE_SCOPE__RESERVE_VMS ? pool->spec->reserve_vms
									 : largest_domain;
	}
	if (budget.usable > budget.keep + budget.reserve)
		budget.free = budget.usable - budget.keep - budget.reserve;
	return budget;
}

budget_t budget_of(const fleet_pool_t *pool, const health_t *health, uint64_t now_us)
{
	return budget_excluding(pool, health, now_us, NULL);
}
