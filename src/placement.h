#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/**
 * @file
 * Placement of jobs: estimates job sizes from observed usage and chooses a worker. Has no side
 * effects outside its arguments.
 */

/** Resources that a job needs or that a worker offers. */
typedef struct {
	uint32_t cores_milli;
	uint32_t mem_mib;
	uint32_t accelerators;
} placement_resources_t;

bool placement_fits(const placement_resources_t *size, const placement_resources_t *available);

/* --- job sizes --- */

/** Observed usage of each job kind, from which job sizes are estimated. */
typedef struct {
	GHashTable *by_kind;
} placement_estimator_t;

void placement_estimator_init(placement_estimator_t *estimator);
void placement_estimator_finish(placement_estimator_t *estimator);

/** Records the peak usage of a finished attempt for its job kind. */
void placement_record_usage(placement_estimator_t *estimator, const char *kind,
			    const placement_resources_t *declared,
			    const placement_resources_t *peak);

/**
 * Estimates the resources to reserve for a job. The declared accelerators are reserved unchanged,
 * since a job gets whole devices.
 * @param observed set to true when the estimate is based on observed usage of the kind, and to
 * false when the declared size is used; may be NULL
 */
placement_resources_t placement_estimate_size(const placement_estimator_t *estimator,
					      const char *kind,
					      const placement_resources_t *declared,
					      bool *observed);

/* --- choice of a worker --- */

typedef struct {
	placement_resources_t capacity;
	/** sum over the worker's jobs of the larger of reserved and observed size */
	placement_resources_t used;
	/**
	 * Part of used that could be freed, since it belongs to non-urgent jobs that can be
	 * checkpointed.
	 */
	placement_resources_t preemptible;
	bool usable;
	bool excluded; /**< must not be chosen, because the job failed on it before */
} placement_worker_t;

/**
 * Chooses the usable worker that has the least free capacity left after placing the size.
 * @return index of the worker, or -1 when the size fits on none
 */
int placement_choose_best_fit(const placement_worker_t *workers, size_t count,
			      const placement_resources_t *size);

/**
 * Chooses the worker on which the fewest resources must be freed by checkpointing for the size to
 * fit.
 * @return index of the worker, or -1 when the size fits on none even after checkpointing
 */
int placement_choose_for_preemption(const placement_worker_t *workers, size_t count,
				    const placement_resources_t *size);

/** True when the size would fit on at least one of the workers if that worker were empty. */
bool placement_fits_empty_worker(const placement_worker_t *workers, size_t count,
				 const placement_resources_t *size);
