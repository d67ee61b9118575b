#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * @file
 * Where a job runs: estimates of job sizes from observed usage, and the choice of a worker. Pure.
 */

/** Resources of a job or a worker. */
typedef struct {
	uint32_t cores_milli;
	uint32_t mem_mib;
	uint32_t accelerators;
} placement_size_t;

bool placement_fits(const placement_size_t *size, const placement_size_t *room);

/* --- sizes --- */

/** Observed sizes per job kind. */
typedef struct {
	GHashTable *by_kind;
} placement_kinds_t;

void placement_kinds_init(placement_kinds_t *kinds);
void placement_kinds_finish(placement_kinds_t *kinds);

/** Records the peak usage of a finished attempt. */
void placement_observe(placement_kinds_t *kinds, const char *kind, const placement_size_t *declared,
		       const placement_size_t *peak);

/**
 * The size to reserve. Accelerators are taken as declared: they are counted, not estimated.
 * @param observed set to true when the estimate rests on observations of the kind, false when it
 * is the declared size; may be NULL
 */
placement_size_t placement_estimate(const placement_kinds_t *kinds, const char *kind,
				    const placement_size_t *declared, bool *observed);

/* --- choice --- */

typedef struct {
	placement_size_t capacity;
	placement_size_t used; /**< reserved or observed, whichever is more */
	/** Part of used that lower classes hold and that can be checkpointed. */
	placement_size_t preemptible;
	bool usable;
	bool excluded; /**< the job has failed there */
} placement_worker_t;

/** @return index of the worker that is left with the least room, or -1 */
int placement_choose(const placement_worker_t *workers, size_t count, const placement_size_t *size);

/** @return index of the worker where the least has to be checkpointed to make room, or -1 */
int placement_choose_victim(const placement_worker_t *workers, size_t count,
			    const placement_size_t *size);

/** True when the size would fit some worker of the pool if that were empty. */
bool placement_possible(const placement_worker_t *workers, size_t count,
			const placement_size_t *size);
