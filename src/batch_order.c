#include "batch_order.h"

#include <string.h>

#include <talloc.h>

#include "clock.h"

/* A late job gets the last rank, RANK_VERY_LATE, once its expected completion time exceeds this
 * multiple of its objective. */
#define VERY_LATE_FACTOR 3
/* Upper limit of an objective, so that its multiple does not wrap. */
#define OBJECTIVE_MAX_MS (UINT64_MAX / VERY_LATE_FACTOR)
/* Part of a job's value that is the same for every job. The rest of the value is proportional to
 * the job's work. */
#define VALUE_FIXED_SHARE 0.3
/* Upper limit of the value of a job. A job whose work is the mean of its queue has the value 1. */
#define VALUE_MAX 4.0

/* Age from which a very late job counts as starved. In each queue, one starved job at a time is
 * placed like a job on time, for STARVED_TURN_US or until it has ended, so that each gets its turn
 * however much work on time there is: with N starved jobs in its queue, within N turns. */
#define STARVED_AGE_MS 20000
#define STARVED_TURN_US (1 * US_PER_S)

/* Upper limit of a job's age at the time when a new leader first sees the job. This age is the
 * difference between the wall clocks of two processes, which can differ. */
#define INITIAL_AGE_MAX_MS 30000ULL

/* Ranks of steps; steps of the lowest rank are placed first. Long-running steps come before all
 * others, whatever the priority of their queue. The other ranks order the steps of queues with the
 * same priority, and candidate_rank() combines them with the priority. */
enum {
	RANK_LONG_RUNNING,
	RANK_ON_TIME,
	RANK_LATE,
	RANK_VERY_LATE,
};
#define RANKS_PER_PRIORITY 4

typedef struct {
	double sum;
	unsigned count;
} work_mean_t;

/* Run time of a step on the critical path. */
typedef enum {
	STEP_LONGEST, /* until its last task ends */
	STEP_MEAN,    /* of a task on average */
} step_time_t;

static uint64_t critical_path_ms(const batch_step_t *steps, size_t count, bool remaining_only,
				 step_time_t time)
{
	uint64_t *finish_ms = talloc_zero_array(NULL, uint64_t, count);
	uint64_t longest_ms = 0;

	for (size_t i = 0; i < count; i++) {
		const Lp__BatchStep *spec = steps[i].spec;
		bool skipped = remaining_only && steps[i].done == spec->count;

		for (size_t j = 0; j < spec->n_after; j++)
			finish_ms[i] = MAX(finish_ms[i], finish_ms[spec->after[j]]);
		if (!skipped)
			finish_ms[i] += (uint64_t)(time == STEP_LONGEST ? steps[i].longest_ms
									: steps[i].mean_ms);
		longest_ms = MAX(longest_ms, finish_ms[i]);
	}
	talloc_free(finish_ms);
	return longest_ms;
}

uint64_t batch_critical_path_ms(batch_job_t *job, uint32_t occurrence, bool remaining_only)
{
	size_t steps = job->spec->n_steps;
	const batch_step_t *first = &job->steps[occurrence * steps];

	if (!remaining_only) {
		if (job->path_ms == 0)
			job->path_ms = critical_path_ms(first, steps, false, STEP_LONGEST);
		return job->path_ms;
	}
	if (job->occurrences > 1)
		return critical_path_ms(first, steps, true, STEP_LONGEST);
	if (job->remaining_path_ms == 0 || job->remaining_path_steps_done != job->steps_done) {
		job->remaining_path_ms = critical_path_ms(first, steps, true, STEP_LONGEST);
		job->remaining_path_steps_done = job->steps_done;
	}
	return job->remaining_path_ms;
}

double batch_parallel_cores(const batch_job_t *job, uint64_t path_min_ms)
{
	uint64_t path_ms = critical_path_ms(job->steps, job->spec->n_steps, true, STEP_MEAN);

	return batch_remaining_work(job) / 1000.0 / (double)MAX(path_ms, path_min_ms);
}

double batch_remaining_work(const batch_job_t *job)
{
	double remaining = job->work;

	for (uint32_t i = 0; i < job->step_count; i++) {
		const batch_step_t *step = &job->steps[i];

		remaining -= (double)step->done * step->spec->cpu_milli * step->mean_ms;
	}
	return remaining;
}

uint64_t batch_objective_ms(batch_job_t *job, const Lp__BatchQueue *queue)
{
	uint64_t ms;

	if (queue == NULL)
		return 0;
	if (!g_uint64_checked_mul(&ms, batch_critical_path_ms(job, 0, false),
				  queue->stretch_percent))
		return OBJECTIVE_MAX_MS;
	return MIN(ms / 100 + queue->objective_ms, OBJECTIVE_MAX_MS);
}

/* True when the step has tasks to be placed now, if it is not blocked by other steps. */
static bool step_due(const batch_step_t *step, uint64_t now_us, uint64_t wall_ms)
{
	return step->waiting > step->pending_intents && now_us >= step->retry_us &&
	       batch_step_due_ms(step) <= wall_ms;
}

static void add_to_mean(GHashTable *means, const batch_job_t *job)
{
	work_mean_t *mean = g_hash_table_lookup(means, job->prefix);

	if (mean == NULL) {
		mean = g_new0(work_mean_t, 1);
		g_hash_table_insert(means, (char *)job->prefix, mean);
	}
	mean->sum += job->work;
	mean->count++;
}

/* @return mean declared work of the active jobs of each queue, keyed by the path prefix of the
 * queue */
static GHashTable *mean_work_by_prefix(const batch_state_t *state)
{
	GHashTable *means = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	const batch_job_t *job;

	TAILQ_FOREACH (job, &state->active, link)
		add_to_mean(means, job);
	return means;
}

/* @return work of the job's tasks that are not done, as expected when it was accepted */
static double accepted_remaining_work(const batch_job_t *job)
{
	double remaining = 0;

	for (uint32_t i = 0; i < job->step_count; i++) {
		const batch_step_t *step = &job->steps[i];

		remaining += (double)(step->spec->count - step->done) * step->spec->cpu_milli *
			     step->accepted_ms;
	}
	return remaining;
}

/* @return value of the job divided by its remaining work, which is measured in multiples of the
 * mean work of the jobs of its queue. The remaining work is what was expected at acceptance:
 * expected times change while jobs run, and jobs that overtake each other are all late in a
 * shortage. */
static double compute_value_density(const batch_job_t *job, GHashTable *means)
{
	const work_mean_t *mean = g_hash_table_lookup(means, job->prefix);
	double average = mean != NULL && mean->count > 0 ? mean->sum / mean->count : 0;
	double value = VALUE_FIXED_SHARE;

	if (average > 0)
		value += (1.0 - VALUE_FIXED_SHARE) * job->work / average;
	return MIN(value, VALUE_MAX) / MAX(accepted_remaining_work(job), 1.0) * MAX(average, 1.0);
}

uint64_t batch_job_age_ms(batch_job_t *job, uint64_t now_us, uint64_t wall_ms)
{
	/* The wall clock is used only when this leader first sees the job, so that later changes
	 * of the wall clock have no effect on the age. */
	if (job->accepted_mono_us == 0) {
		uint64_t age_ms = wall_ms > job->accepted_ms ? wall_ms - job->accepted_ms : 0;

		job->accepted_mono_us =
			now_us - MIN(now_us, MIN(age_ms, INITIAL_AGE_MAX_MS) * US_PER_MS);
	}
	return (now_us - job->accepted_mono_us) / US_PER_MS;
}

job_timing_t batch_job_timing(batch_job_t *job, uint32_t occurrence, uint64_t now_us,
			      uint64_t wall_ms)
{
	uint64_t due_ms = batch_step_due_ms(&job->steps[occurrence * job->spec->n_steps]);
	uint64_t age_ms = due_ms > 0 ? (wall_ms > due_ms ? wall_ms - due_ms : 0)
				     : batch_job_age_ms(job, now_us, wall_ms);
	uint64_t finish_age_ms = age_ms + batch_critical_path_ms(job, occurrence, true);
	uint64_t objective_ms = batch_objective_ms(job, job->queue);

	if (finish_age_ms <= objective_ms)
		return JOB_ON_TIME;
	return finish_age_ms <= VERY_LATE_FACTOR * objective_ms ? JOB_LATE : JOB_VERY_LATE;
}

static unsigned candidate_rank(const batch_step_t *step, job_timing_t timing)
{
	const Lp__BatchQueue *queue = step->job->queue;
	unsigned rank_base = (queue != NULL ? queue->priority : 0) * RANKS_PER_PRIORITY;

	if (step->spec->long_running)
		return RANK_LONG_RUNNING;
	if (timing == JOB_ON_TIME)
		return rank_base + RANK_ON_TIME;
	/* Late steps of all priorities come after all steps that can be on time. */
	rank_base += 1U << 16;
	return rank_base + (timing == JOB_LATE ? RANK_LATE : RANK_VERY_LATE);
}

/* True when a comes before b. */
static bool comes_before(const batch_candidate_t *a, const batch_candidate_t *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	if (a->over_share != b->over_share)
		return b->over_share;
	/* Only a job that has its turn is very late among jobs on time. */
	if ((a->timing == JOB_VERY_LATE) != (b->timing == JOB_VERY_LATE))
		return a->timing == JOB_VERY_LATE;
	/* Very late jobs are worth nothing any more, so the oldest comes first. */
	if (a->timing != JOB_VERY_LATE && a->value_density != b->value_density)
		return a->value_density > b->value_density;
	if (a->step->job != b->step->job)
		return a->step->job->seq < b->step->job->seq;
	/* The last step of a job first, so that jobs end. */
	return a->step > b->step;
}

/* --- starved jobs --- */

static bool is_starved(const batch_candidate_t *candidate, uint64_t now_us, uint64_t wall_ms)
{
	return candidate->timing == JOB_VERY_LATE && !candidate->step->spec->long_running &&
	       batch_step_due_ms(candidate->step) == 0 &&
	       batch_job_age_ms(candidate->step->job, now_us, wall_ms) > STARVED_AGE_MS;
}

/* @return the jobs that have the present turn, by the path prefix of their queue */
static GHashTable *jobs_with_turn(const batch_state_t *state, uint64_t turn)
{
	GHashTable *chosen = g_hash_table_new(NULL, NULL);
	batch_job_t *job;

	TAILQ_FOREACH (job, &state->active, link) {
		if (job->starved_turn == turn && !batch_job_ended(job))
			g_hash_table_insert(chosen, (char *)job->prefix, job);
	}
	return chosen;
}

/* Chooses one starved job of each queue: the one that has the present turn, or else the one whose
 * last turn is the longest ago. The candidates are in the order of their jobs' acceptance. */
static void choose_starved(GHashTable *chosen, const batch_candidate_t *candidate, uint64_t turn)
{
	batch_job_t *job = candidate->step->job;
	const batch_job_t *other = g_hash_table_lookup(chosen, job->prefix);

	if (other == NULL ||
	    (other->starved_turn != turn && job->starved_turn < other->starved_turn))
		g_hash_table_insert(chosen, (char *)job->prefix, job);
}

/* Marks the turn of the chosen jobs. */
static void begin_turns(GHashTable *chosen, uint64_t turn)
{
	GHashTableIter iter;
	void *job;

	g_hash_table_iter_init(&iter, chosen);
	while (g_hash_table_iter_next(&iter, NULL, &job))
		((batch_job_t *)job)->starved_turn = turn;
}

/* Gives the starved jobs whose turn it is the rank of a job on time. */
static void promote_starved(const GArray *candidates, uint64_t turn)
{
	for (guint i = 0; i < candidates->len; i++) {
		batch_candidate_t *candidate = &g_array_index(candidates, batch_candidate_t, i);

		if (candidate->starved && candidate->step->job->starved_turn == turn)
			candidate->rank = candidate_rank(candidate->step, JOB_ON_TIME);
	}
}

/* --- collection --- */

typedef struct {
	batch_candidates_t *candidates;
	const batch_room_t *room;
	GHashTable *chosen; /* starved jobs that have the turn, by the path prefix of their queue */
	uint64_t turn;
	uint64_t now_us;
	uint64_t wall_ms;
} collection_t;

static bool has_room(const collection_t *collection, const batch_step_t *step)
{
	const batch_room_t *room = collection->room;

	return room == NULL || room->has_room(room->arg, step);
}

/* True when the job possibly is the starved job of its queue that gets the present turn. */
static bool may_get_turn(const collection_t *collection, batch_job_t *job)
{
	const batch_job_t *other;

	if (batch_job_age_ms(job, collection->now_us, collection->wall_ms) <= STARVED_AGE_MS)
		return false;
	other = g_hash_table_lookup(collection->chosen, job->prefix);
	return other == NULL ||
	       (other->starved_turn != collection->turn && job->starved_turn < other->starved_turn);
}

static void collect_step(collection_t *collection, batch_step_t *step)
{
	batch_candidate_t candidate = {.step = step, .queue = step->job->queue};
	bool placeable;

	if (!step_due(step, collection->now_us, collection->wall_ms))
		return;
	placeable = has_room(collection, step);
	if ((!placeable && !may_get_turn(collection, step->job)) || !batch_step_unblocked(step))
		return;
	collection->candidates->examined++;
	candidate.timing = batch_job_timing(step->job, step->occurrence, collection->now_us,
					    collection->wall_ms);
	candidate.starved = is_starved(&candidate, collection->now_us, collection->wall_ms);
	if (candidate.starved)
		choose_starved(collection->chosen, &candidate, collection->turn);
	if (!placeable)
		return;
	candidate.rank = candidate_rank(step, candidate.timing);
	candidate.over_share = org_shares_over(collection->candidates->shares, step->job);
	g_array_append_val(collection->candidates->heap, candidate);
}

static void collect_candidates(collection_t *collection, const batch_state_t *state)
{
	batch_job_t *job;

	TAILQ_FOREACH (job, &state->active, link) {
		if (batch_job_ended(job))
			continue;
		for (uint32_t i = 0; i < job->step_count; i++)
			collect_step(collection, &job->steps[i]);
	}
}

static void set_value_densities(const GArray *candidates, const batch_state_t *state)
{
	g_autoptr(GHashTable) means = mean_work_by_prefix(state);
	const batch_job_t *job = NULL;
	double value_density = 0;

	for (guint i = 0; i < candidates->len; i++) {
		batch_candidate_t *candidate = &g_array_index(candidates, batch_candidate_t, i);

		if (candidate->step->job != job) {
			job = candidate->step->job;
			value_density = compute_value_density(job, means);
		}
		candidate->value_density = value_density;
	}
}

/* --- heap with the next candidate at its root --- */

static void sift_down(GArray *heap, guint parent)
{
	batch_candidate_t *items = (batch_candidate_t *)heap->data;
	batch_candidate_t moved = items[parent];

	for (guint child = 2 * parent + 1; child < heap->len; child = 2 * parent + 1) {
		if (child + 1 < heap->len && comes_before(&items[child + 1], &items[child]))
			child++;
		if (!comes_before(&items[child], &moved))
			break;
		items[parent] = items[child];
		parent = child;
	}
	items[parent] = moved;
}

void batch_candidates_init(batch_candidates_t *candidates, const batch_state_t *state,
			   const batch_room_t *room, const org_shares_t *shares, uint64_t now_us,
			   uint64_t wall_ms)
{
	uint64_t turn = now_us / STARVED_TURN_US;
	g_autoptr(GHashTable) chosen = jobs_with_turn(state, turn);
	collection_t collection = {.candidates = candidates,
				   .room = room,
				   .chosen = chosen,
				   .turn = turn,
				   .now_us = now_us,
				   .wall_ms = wall_ms};

	*candidates = (batch_candidates_t){
		.heap = g_array_new(FALSE, FALSE, sizeof(batch_candidate_t)),
		.shares = shares,
	};
	collect_candidates(&collection, state);
	begin_turns(chosen, turn);
	if (candidates->heap->len == 0)
		return;
	set_value_densities(candidates->heap, state);
	promote_starved(candidates->heap, turn);
	for (guint i = candidates->heap->len / 2; i-- > 0;)
		sift_down(candidates->heap, i);
}

/* Puts the first candidate back to where it belongs if its organisation has come over its share
 * since it was last looked at. */
static bool update_first(const batch_candidates_t *candidates)
{
	batch_candidate_t *first = &g_array_index(candidates->heap, batch_candidate_t, 0);

	if (first->over_share || !org_shares_over(candidates->shares, first->step->job))
		return false;
	first->over_share = true;
	sift_down(candidates->heap, 0);
	return true;
}

const batch_candidate_t *batch_candidates_next(batch_candidates_t *candidates)
{
	GArray *heap = candidates->heap;

	if (heap->len == 0)
		return NULL;
	while (update_first(candidates))
		;
	candidates->current = g_array_index(heap, batch_candidate_t, 0);
	g_array_remove_index_fast(heap, 0);
	if (heap->len > 0)
		sift_down(heap, 0);
	return &candidates->current;
}

void batch_candidates_finish(batch_candidates_t *candidates)
{
	g_array_unref(candidates->heap);
}
