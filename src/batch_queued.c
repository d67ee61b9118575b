#include "batch_queued.h"

void batch_queued_init(batch_queued_t *queued)
{
	*queued = (batch_queued_t){.counts = g_hash_table_new(NULL, NULL)};
}

void batch_queued_finish(batch_queued_t *queued)
{
	g_hash_table_destroy(queued->counts);
	*queued = (batch_queued_t){0};
}

static void count_jobs(batch_queued_t *queued, const batch_state_t *state, uint64_t wall_ms)
{
	const batch_job_t *job;

	g_hash_table_remove_all(queued->counts);
	TAILQ_FOREACH (job, &state->active, link) {
		gpointer key = (gpointer)job->queue;
		guint count;

		if (job->state != BATCH_JOB_QUEUED || job->queue == NULL ||
		    (job->spec->times > 0 && job->spec->first_due_ms > wall_ms))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(queued->counts, key));
		g_hash_table_insert(queued->counts, key, GUINT_TO_POINTER(count + 1));
	}
	queued->walks++;
}

uint32_t batch_queued_count(batch_queued_t *queued, const batch_state_t *state,
			    const Lp__BatchQueue *queue, uint64_t wall_ms, uint64_t now_us)
{
	uint64_t version = state->config != NULL ? state->config->version : 0;

	if (queued->counted_us == 0 || now_us >= queued->counted_us + BATCH_QUEUED_AGE_US ||
	    queued->config != state->config || queued->version != version) {
		count_jobs(queued, state, wall_ms);
		queued->counted_us = now_us;
		queued->config = state->config;
		queued->version = version;
	}
	return GPOINTER_TO_UINT(g_hash_table_lookup(queued->counts, queue));
}
