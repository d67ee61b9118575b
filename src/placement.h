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

/** Resources that a job needs or a worker offers. */
typedef struct {
	uint32_t cores_milli;
	uint32_t mem_mib;
	uint32_t accelerators;
} placement_resources_t;

bool placement_fits(const placement_resources_t *size, const placement_resources_t *available);

/* --- job sizes --- */

/** Estimates job sizes from the observed usage of each job kind. */
typedef struct {
	GHashTable *by_kind;
} placement_estimator_t;

void placement_estimator_init(placement_estimator_t *estimator);
void placement_estimator_finish(placement_estimator_t *estimator);

/** Records the peak usage of a finished attempt for the jobs of its kind. */
void placement_record_usage(placement_estimator_t *estimator, const char *kind,
			    const placement_resources_t *declared,
			    const placement_resources_t *peak);

/**
 * Estimates the resources to reserve for a job. Accelerators are reserved as declared, because
 * whole devices are counted.
 * @param observed set to true when the estimate is based on observed usage of the kind, to false
 * when it is the declared size; may be NULL
 */
placement_resources_t placement_estimate_size(const placement_estimator_t *estimator,
					      const char *kind,
					      const placement_resources_t *declared,
					      bool *observed);

/* --- choice of a worker --- */

typedef struct {
	placement_resources_t capacity;
	placement_resources_t used; /**< per job, the larger of reserved and observed size */
	/** Part of used that belongs to non-urgent jobs that can be checkpointed. */
	placement_resources_t preemptible;
	bool usable;
	bool excluded; /**< the job failed on this worker before */
} placement_worker_t;

/**
 * Chooses the usable worker that has the least capacity left after placing the size.
 * @return index, or -1 when the size fits on no worker
 */
int placement_choose_best_fit(const placement_worker_t *workers, size_t count,
			      const placement_resources_t *size);

/**
 * Chooses the worker where the least has to be checkpointed for the size to fit.
 * @return index, or -1 when the size does not fit even after checkpointing
 */
int placement_choose_for_preemption(const placement_worker_t *workers, size_t count,
				    const placement_resources_t *size);

/** True when the size fits on some worker of the pool when that worker is empty. */
bool placement_fits_empty_worker(const placement_worker_t *workers, size_t count,
				 const placement_resources_t *size);
