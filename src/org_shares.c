#include "org_shares.h"

/* An organisation is over its share from this multiple of the share on, plus this part of what all
 * use. A single job of a small organisation would exceed its share otherwise. */
#define SHARE_TOLERANCE 1.25
#define SHARE_ALLOWANCE (1.0 / 32)

typedef struct {
	GHashTable *used_by; /* org_account_t -> double, CPU in use */
	double used;	     /* CPU in use by all organisations */
	double weight;	     /* sum of the weights of the organisations in used_by */
} service_use_t;

static void service_use_free(void *data)
{
	service_use_t *use = data;

	g_hash_table_destroy(use->used_by);
	g_free(use);
}

void org_shares_init(org_shares_t *shares)
{
	shares->services = NULL;
}

void org_shares_finish(org_shares_t *shares)
{
	g_clear_pointer(&shares->services, g_hash_table_destroy);
}

void org_shares_add(org_shares_t *shares, const char *service, const org_account_t *account,
		    uint64_t cpu_milli)
{
	service_use_t *use;
	double *used;

	if (shares->services == NULL)
		shares->services = g_hash_table_new_full(NULL, NULL, NULL, service_use_free);
	use = g_hash_table_lookup(shares->services, service);
	if (use == NULL) {
		use = g_new0(service_use_t, 1);
		use->used_by = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_hash_table_insert(shares->services, (char *)service, use);
	}
	used = g_hash_table_lookup(use->used_by, account);
	if (used == NULL) {
		used = g_new0(double, 1);
		g_hash_table_insert(use->used_by, (org_account_t *)account, used);
		use->weight += org_account_weight(account);
	}
	*used += (double)cpu_milli;
	use->used += (double)cpu_milli;
}

static void collect_job(org_shares_t *shares, const batch_job_t *job)
{
	uint64_t cpu_milli = 0;

	for (uint32_t i = 0; i < job->step_count; i++) {
		const batch_step_t *step = &job->steps[i];
		uint64_t tasks = (uint64_t)step->assigned + step->pending_intents;

		org_use_add(&job->account->planned, step->spec, step->pending_intents);
		cpu_milli += tasks * step->spec->cpu_milli;
	}
	/* An ended job is active while its tasks are being stopped, and demands nothing. */
	if (cpu_milli > 0 || !batch_job_ended(job))
		org_shares_add(shares, job->service, job->account, cpu_milli);
}

void org_shares_collect(org_shares_t *shares, const batch_state_t *state)
{
	const batch_job_t *job;
	GHashTableIter iter;
	void *account;

	if (g_hash_table_size(state->organisations.by_name) == 0)
		return;
	g_hash_table_iter_init(&iter, state->organisations.by_name);
	while (g_hash_table_iter_next(&iter, NULL, &account))
		((org_account_t *)account)->planned = (org_use_t){0};
	TAILQ_FOREACH (job, &state->active, link) {
		if (job->account != NULL)
			collect_job(shares, job);
	}
}

bool org_shares_over(const org_shares_t *shares, const batch_job_t *job)
{
	const service_use_t *use;
	const double *used;
	double share;

	if (shares->services == NULL || job->account == NULL)
		return false;
	use = g_hash_table_lookup(shares->services, job->service);
	used = use != NULL ? g_hash_table_lookup(use->used_by, job->account) : NULL;
	if (used == NULL)
		return false;
	share = org_account_weight(job->account) / use->weight;
	return *used > use->used * (share * SHARE_TOLERANCE + SHARE_ALLOWANCE);
}
