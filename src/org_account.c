#include "org_account.h"

#include <string.h>

/* Time constant with which the arriving work is smoothed. */
#define ARRIVAL_SMOOTHING_S 0.5

static void account_free(void *data)
{
	org_account_t *account = data;

	g_free(account->name);
	g_free(account);
}

/* An organisation without a weight has the least possible one. */
double org_account_weight(const org_account_t *account)
{
	return MAX(account->weight_milli, 1);
}

void org_accounts_init(org_accounts_t *accounts)
{
	accounts->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
}

void org_accounts_finish(org_accounts_t *accounts)
{
	g_hash_table_destroy(accounts->by_name);
	accounts->by_name = NULL;
}

org_account_t *org_accounts_find(const org_accounts_t *accounts, const char *name)
{
	return g_hash_table_lookup(accounts->by_name, name);
}

static org_account_t *find_or_add(org_accounts_t *accounts, const char *name)
{
	org_account_t *account = org_accounts_find(accounts, name);

	if (account != NULL)
		return account;
	account = g_new0(org_account_t, 1);
	account->name = g_strdup(name);
	account->within_share = 1;
	g_hash_table_insert(accounts->by_name, account->name, account);
	return account;
}

static void apply_settings(org_account_t *account, const Lp__BatchOrganisation *settings)
{
	const Lp__BatchLimits *limits = settings->limits;

	account->weight_milli = settings->weight_milli;
	account->limit = (org_use_t){0};
	if (limits != NULL)
		account->limit = (org_use_t){.cpu_milli = limits->cpu_milli,
					     .mem_mib = limits->mem_mib,
					     .gpu = limits->gpu};
}

static gboolean is_unused(gpointer key, gpointer value, gpointer arg)
{
	const org_account_t *account = value;

	return !account->configured && account->jobs == 0;
}

void org_accounts_configure(org_accounts_t *accounts, const Lp__BatchConfig *config)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((org_account_t *)value)->configured = false;
	for (size_t i = 0; i < config->n_organisations; i++) {
		org_account_t *account = find_or_add(accounts, config->organisations[i]->name);

		account->configured = true;
		apply_settings(account, config->organisations[i]);
	}
	g_hash_table_foreach_remove(accounts->by_name, is_unused, NULL);
}

void org_accounts_restore(org_accounts_t *accounts, const Lp__BatchOrganisation *saved)
{
	apply_settings(find_or_add(accounts, saved->name), saved);
}

org_account_t *org_accounts_add_job(org_accounts_t *accounts, const char *name)
{
	org_account_t *account = find_or_add(accounts, name);

	account->jobs++;
	return account;
}

void org_accounts_remove_job(org_accounts_t *accounts, org_account_t *account)
{
	account->jobs--;
	if (is_unused(account->name, account, NULL))
		g_hash_table_remove(accounts->by_name, account->name);
}

void org_accounts_begin_demand(org_accounts_t *accounts, double cores)
{
	GHashTableIter iter;
	void *value;
	double weights = 0;

	g_hash_table_iter_init(&iter, accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const org_account_t *account = value;

		weights += account->jobs > 0 ? org_account_weight(account) : 0;
	}
	g_hash_table_iter_init(&iter, accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		org_account_t *account = value;

		account->demand_cores = 0;
		account->entitled_cores = 0;
		if (account->jobs > 0)
			account->entitled_cores = cores * org_account_weight(account) / weights;
	}
}

org_demand_t org_account_add_demand(org_account_t *account, double cores)
{
	org_demand_t demand = {.within = cores};
	double left;

	if (account == NULL)
		return demand;
	if (account->limit.cpu_milli > 0)
		cores = MIN(cores, MAX(0, (double)account->limit.cpu_milli / 1000.0 -
						  account->demand_cores));
	left = MAX(0, account->entitled_cores - account->demand_cores);
	account->demand_cores += cores;
	demand.within = MIN(cores, left);
	demand.excess = cores - demand.within;
	return demand;
}

void org_accounts_end_demand(org_accounts_t *accounts, uint64_t period_us)
{
	double period_s = (double)period_us / 1e6;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		org_account_t *account = value;
		double demand;

		account->arriving_cores +=
			(account->arrived_core_s / period_s - account->arriving_cores) *
			MIN(1, period_s / ARRIVAL_SMOOTHING_S);
		account->arrived_core_s = 0;
		demand = MAX(account->demand_cores, account->arriving_cores);
		account->within_share =
			demand > account->entitled_cores ? account->entitled_cores / demand : 1;
	}
}

void org_use_add(org_use_t *use, const Lp__BatchStep *step, uint64_t tasks)
{
	use->cpu_milli += tasks * step->cpu_milli;
	use->mem_mib += tasks * step->mem_mib;
	use->gpu += tasks * step->gpu;
}

void org_use_subtract(org_use_t *use, const Lp__BatchStep *step, uint64_t tasks)
{
	use->cpu_milli -= tasks * step->cpu_milli;
	use->mem_mib -= tasks * step->mem_mib;
	use->gpu -= tasks * step->gpu;
}

/* @return number of tasks, at most wanted, that fit into what the limit leaves */
static uint64_t tasks_within(uint64_t limit, uint64_t used, uint64_t per_task, uint64_t wanted)
{
	if (limit == 0 || per_task == 0)
		return wanted;
	return limit > used ? MIN(wanted, (limit - used) / per_task) : 0;
}

uint32_t org_account_room(const org_account_t *account, const org_use_t *pending,
			  const Lp__BatchStep *step, uint32_t wanted)
{
	const org_use_t none = {0};
	const org_use_t *limit = &account->limit;
	const org_use_t *used = &account->used;
	const org_use_t *reserved = &account->reserved;
	uint64_t room = wanted;

	if (pending == NULL)
		pending = &none;
	room = tasks_within(limit->cpu_milli,
			    used->cpu_milli + reserved->cpu_milli + pending->cpu_milli,
			    step->cpu_milli, room);
	room = tasks_within(limit->mem_mib, used->mem_mib + reserved->mem_mib + pending->mem_mib,
			    step->mem_mib, room);
	room = tasks_within(limit->gpu, used->gpu + reserved->gpu + pending->gpu, step->gpu, room);
	return step->gang && room < wanted ? 0 : (uint32_t)room;
}

bool org_account_can_ever_run(const org_account_t *account, const Lp__BatchStep *step)
{
	const org_account_t idle = {.limit = account->limit};

	return org_account_room(&idle, NULL, step, step->gang ? step->count : 1) > 0;
}
