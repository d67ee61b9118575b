#include "batch_queued.h"

void batch_queued_init(batch_queued_t *queued, batch_job_begun_fn job_begun, void *arg)
{
	*queued = (batch_queued_t){.job_begun = job_begun, .arg = arg};
}

void batch_queued_finish(batch_queued_t *queued)
{
	*queued = (batch_queued_t){0};
}

bool batch_queued_job_waits(const batch_queued_t *queued, const batch_job_t *job)
{
	return job->state == BATCH_JOB_QUEUED ||
	       (job->state == BATCH_JOB_RUNNING && !queued->job_begun(queued->arg, job));
}

static void count_jobs(batch_queued_t *queued, const batch_state_t *state, uint64_t wall_ms)
{
	batch_accepted_queue_t *accepted;
	const batch_job_t *job;

	LIST_FOREACH (accepted, &state->accepted_queues, link)
		accepted->waiting = 0;
	TAILQ_FOREACH (job, &state->active, link) {
		if (job->accepted_queue == NULL || !batch_queued_job_waits(queued, job) ||
		    (job->spec->times > 0 && job->spec->first_due_ms > wall_ms))
			continue;
		job->accepted_queue->waiting++;
	}
	queued->walks++;
}

uint32_t batch_queued_count(batch_queued_t *queued, const batch_state_t *state,
			    const Lp__BatchQueue *queue, uint64_t wall_ms, uint64_t now_us)
{
	const batch_accepted_queue_t *accepted;
	uint32_t count = 0;

	if (queued->counted_us == 0 || now_us >= queued->counted_us + BATCH_QUEUED_AGE_US) {
		count_jobs(queued, state, wall_ms);
		queued->counted_us = now_us;
	}
	LIST_FOREACH (accepted, &state->accepted_queues, link) {
		if (batch_same_place(accepted->queue->host, accepted->queue->prefix, queue->host,
				     queue->prefix))
			count += accepted->waiting;
	}
	return count;
}
