#include "batch_order.h"

#include <string.h>

#include <talloc.h>

#include "clock.h"

/* A job is still of some worth up to this many times its objective. */
#define LATE_FACTOR 3
/* Of a job's worth, this share does not depend on its size; the rest grows with its work. */
#define WORTH_FIXED 0.3
/* A job is worth at most this many times the mean job of its queue. */
#define WORTH_MAX 4.0

/* A job that a new leader first sees is taken to be at most so old. */
#define AGE_MAX_MS 30000ULL

enum {
	RANK_LASTING,
	RANK_IN_TIME,
	RANK_LATE,
	RANK_HOPELESS,
};
/* Ranks of one priority. */
#define RANKS 4

typedef struct {
	double sum;
	unsigned count;
} mean_t;

static uint64_t chain_from(const batch_step_t *steps, size_t count, bool left)
{
	uint64_t *end = talloc_zero_array(NULL, uint64_t, count);
	uint64_t longest = 0;

	for (size_t i = 0; i < count; i++) {
		const Lp__BatchStep *spec = steps[i].spec;
		bool done = left && steps[i].done == spec->count;

		for (size_t j = 0; j < spec->n_after; j++)
			end[i] = MAX(end[i], end[spec->after[j]]);
		end[i] += done ? 0 : spec->estimate_ms;
		longest = MAX(longest, end[i]);
	}
	talloc_free(end);
	return longest;
}

uint64_t batch_chain_ms(const batch_job_t *job, uint32_t occurrence, bool left)
{
	size_t steps = job->spec->n_steps;

	return chain_from(&job->steps[occurrence * steps], steps, left);
}

double batch_work_left(const batch_job_t *job)
{
	double left = job->work;

	for (uint32_t i = 0; i < job->step_count; i++) {
		const batch_step_t *step = &job->steps[i];

		left -= (double)step->done * step->spec->cpu_milli * step->spec->estimate_ms;
	}
	return left;
}

uint64_t batch_objective_ms(const batch_job_t *job, const Lp__BatchQueue *queue)
{
	if (queue == NULL)
		return 0;
	return batch_chain_ms(job, 0, false) * queue->stretch_percent / 100 + queue->objective_ms;
}

static bool step_ready(const batch_step_t *step, uint64_t now_us, uint64_t wall_ms)
{
	return step->waiting > step->planned && now_us >= step->retry_us &&
	       batch_step_due_ms(step) <= wall_ms && batch_step_unblocked(step);
}

static void add_means(GHashTable *means, const batch_job_t *job)
{
	mean_t *mean = g_hash_table_lookup(means, job->spec->prefix);

	if (mean == NULL) {
		mean = g_new0(mean_t, 1);
		g_hash_table_insert(means, job->spec->prefix, mean);
	}
	mean->sum += job->work;
	mean->count++;
}

/* Mean work of the active jobs of each queue. */
static GHashTable *mean_work(const batch_state_t *state)
{
	GHashTable *means = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	const batch_job_t *job;

	TAILQ_FOREACH (job, &state->active, link)
		add_means(means, job);
	return means;
}

static double density_of(const batch_job_t *job, GHashTable *means)
{
	const mean_t *mean = g_hash_table_lookup(means, job->spec->prefix);
	double average = mean != NULL && mean->count > 0 ? mean->sum / mean->count : 0;
	double worth = WORTH_FIXED;

	if (average > 0)
		worth += (1.0 - WORTH_FIXED) * job->work / average;
	return MIN(worth, WORTH_MAX) / MAX(batch_work_left(job), 1.0) * MAX(average, 1.0);
}

uint64_t batch_job_age_ms(batch_job_t *job, uint64_t now_us, uint64_t wall_ms)
{
	/* Only where a job is first seen the clocks of two leaders are compared; a step of the
	 * clock does not age what is known. */
	if (job->seen_us == 0) {
		uint64_t age_ms = wall_ms > job->accepted_ms ? wall_ms - job->accepted_ms : 0;

		job->seen_us = now_us - MIN(now_us, MIN(age_ms, AGE_MAX_MS) * US_PER_MS);
	}
	return (now_us - job->seen_us) / US_PER_MS;
}

static unsigned rank_of(const batch_step_t *step, const Lp__BatchQueue *queue, uint64_t now_us,
			uint64_t wall_ms)
{
	batch_job_t *job = step->job;
	uint64_t due_ms = batch_step_due_ms(step);
	uint64_t age_ms = due_ms > 0 ? (wall_ms > due_ms ? wall_ms - due_ms : 0)
				     : batch_job_age_ms(job, now_us, wall_ms);
	uint64_t end_ms = age_ms + batch_chain_ms(job, step->occurrence, true);
	uint64_t objective_ms = batch_objective_ms(job, queue);
	unsigned base = (queue != NULL ? queue->priority : 0) * RANKS;

	if (step->spec->long_running)
		return RANK_LASTING;
	if (end_ms <= objective_ms)
		return base + RANK_IN_TIME;
	/* Late work of any priority gives way to work that can be in time. */
	base += 1U << 16;
	return base + (end_ms <= LATE_FACTOR * objective_ms ? RANK_LATE : RANK_HOPELESS);
}

static gint compare(gconstpointer a, gconstpointer b)
{
	const batch_candidate_t *x = a;
	const batch_candidate_t *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->density != y->density)
		return x->density > y->density ? -1 : 1;
	return x->step->job->seq < y->step->job->seq ? -1 : 1;
}

GArray *batch_candidates(const batch_state_t *state, uint64_t now_us, uint64_t wall_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(batch_candidate_t));
	g_autoptr(GHashTable) means = mean_work(state);
	batch_job_t *job;

	TAILQ_FOREACH (job, &state->active, link) {
		const Lp__BatchQueue *queue = job->queue;
		double density = 0;

		if (batch_job_ended(job))
			continue;
		for (uint32_t i = 0; i < job->step_count; i++) {
			batch_candidate_t candidate = {.step = &job->steps[i], .queue = queue};

			if (!step_ready(candidate.step, now_us, wall_ms))
				continue;
			if (density == 0)
				density = density_of(job, means);
			candidate.density = density;
			candidate.rank = rank_of(candidate.step, queue, now_us, wall_ms);
			g_array_append_val(candidates, candidate);
		}
	}
	g_array_sort(candidates, compare);
	return candidates;
}
