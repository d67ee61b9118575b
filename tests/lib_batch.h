#pragma once

#include <stdint.h>

#include "batch_state.h"

/**
 * @file
 * Helpers for tests that apply commands to a batch state. They use a single queue with host "h" and
 * prefix "/q/", whose jobs run on the service "s".
 */

/** Applies the command. @return its result code */
Lp__ResultCode batch_test_apply(batch_state_t *state, uint64_t wall_ms, Lp__BatchCommand *command);
/**
 * Applies a configuration with the service "s" and, unless queue is NULL, the queue. Overwrites the
 * host, prefix and service of queue.
 */
Lp__ResultCode batch_test_configure(batch_state_t *state, uint64_t wall_ms, uint64_t version,
				    Lp__BatchQueue *queue);
/** Submits a job with the given single step to the queue, for an organisation. */
Lp__ResultCode batch_test_submit_for(batch_state_t *state, uint64_t wall_ms, const char *id,
				     const char *organisation, Lp__BatchStep *step);
/** Submits a job with the given single step to the queue. */
Lp__ResultCode batch_test_submit(batch_state_t *state, uint64_t wall_ms, const char *id,
				 Lp__BatchStep *step);
