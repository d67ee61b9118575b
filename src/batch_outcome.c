#define G_LOG_DOMAIN "batch"

#include "batch_outcome.h"

#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "log.h"

typedef enum {
	RESULT_IN_TIME,
	RESULT_LATE,
	RESULT_FAILED,
	RESULT_CANCELLED,
	RESULT_COUNT,
} result_t;

static const char *const result_names[] = {
	[RESULT_IN_TIME] = "in_time",
	[RESULT_LATE] = "late",
	[RESULT_FAILED] = "failed",
	[RESULT_CANCELLED] = "cancelled",
};

typedef struct {
	metrics_counter_t *ended[RESULT_COUNT];
	metrics_counter_t *used_cpu;
	metrics_counter_t *limit_cpu;
	metrics_counter_t *active_jobs;
	metrics_histogram_t *time; /* of complete jobs, from acceptance to completion */
} series_t;

void batch_outcome_init(batch_outcome_t *outcome, metrics_t *metrics)
{
	*outcome = (batch_outcome_t){
		.metrics = metrics,
		.by_organisation = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
}

void batch_outcome_finish(batch_outcome_t *outcome)
{
	g_hash_table_destroy(outcome->by_organisation);
}

char *batch_outcome_label(const char *name)
{
	char *label = g_strdup(name);

	g_strcanon(label, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.", '_');
	return label;
}

static series_t *series_of(batch_outcome_t *outcome, const char *organisation)
{
	series_t *series = g_hash_table_lookup(outcome->by_organisation, organisation);
	g_autofree char *name = NULL;
	g_autofree char *label = NULL;

	if (series != NULL)
		return series;
	if (g_hash_table_size(outcome->by_organisation) >= BATCH_OUTCOME_ORGANISATIONS_MAX &&
	    strcmp(organisation, "other") != 0)
		return series_of(outcome, "other");
	name = batch_outcome_label(organisation);
	label = g_strdup_printf("organisation=\"%s\"", name);
	series = g_new0(series_t, 1);
	series->used_cpu = metrics_counter(outcome->metrics, "org_used_cpu_milli", label);
	series->limit_cpu = metrics_counter(outcome->metrics, "org_limit_cpu_milli", label);
	series->active_jobs = metrics_counter(outcome->metrics, "org_active_jobs", label);
	series->time = metrics_histogram(outcome->metrics, "batch_job_time_us", label);
	for (size_t i = 0; i < RESULT_COUNT; i++) {
		g_autofree char *labels =
			g_strdup_printf("%s,result=\"%s\"", label, result_names[i]);

		series->ended[i] =
			metrics_counter(outcome->metrics, "batch_jobs_ended_total", labels);
	}
	g_hash_table_insert(outcome->by_organisation, g_strdup(organisation), series);
	return series;
}

void batch_outcome_show_accounts(batch_outcome_t *outcome, const org_accounts_t *accounts)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const org_account_t *account = value;
		const series_t *series =
			g_hash_table_lookup(outcome->by_organisation, account->name);

		if (series == NULL)
			continue;
		metrics_set(series->used_cpu, account->used.cpu_milli);
		metrics_set(series->limit_cpu, account->limit.cpu_milli);
		metrics_set(series->active_jobs, account->jobs);
	}
}

static result_t result_of(const batch_job_t *job, uint64_t age_ms, uint64_t objective_ms)
{
	if (job->state == BATCH_JOB_CANCELLED)
		return RESULT_CANCELLED;
	if (job->state == BATCH_JOB_FAILED)
		return RESULT_FAILED;
	return age_ms <= objective_ms ? RESULT_IN_TIME : RESULT_LATE;
}

void batch_outcome_report(batch_outcome_t *outcome, const batch_job_t *job, uint64_t age_ms,
			  uint64_t objective_ms)
{
	result_t result = result_of(job, age_ms, objective_ms);
	series_t *series = series_of(outcome, job->spec->organisation);
	char age[24];
	char objective[24];

	metrics_add(series->ended[result], 1);
	if (job->state == BATCH_JOB_COMPLETE)
		metrics_record_us(series->time, age_ms * US_PER_MS);
	g_snprintf(age, sizeof(age), "%" PRIu64, age_ms);
	g_snprintf(objective, sizeof(objective), "%" PRIu64, objective_ms);
	log_event(G_LOG_LEVEL_INFO,
		  LOG_FIELDS("request", job->spec->id, "organisation", job->spec->organisation,
			     "queue", job->queue != NULL ? job->queue->name : "", "result",
			     result_names[result], "age_ms", age, "objective_ms", objective),
		  "job ended");
}
