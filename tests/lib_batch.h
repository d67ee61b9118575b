#pragma once

#include <stdint.h>

#include "batch_state.h"

/**
 * @file
 * Commands for tests of the batch state: one queue, /q/ of host h, that sends work to service s.
 */

/** @return the outcome of the command */
Lp__ResultCode batch_test_apply(batch_state_t *state, uint64_t wall_ms, Lp__BatchCommand *command);
/** Applies a configuration with the service and, if queue is not NULL, the queue; its host, prefix
 * and service are set. */
Lp__ResultCode batch_test_configure(batch_state_t *state, uint64_t wall_ms, uint64_t version,
				    Lp__BatchQueue *queue);
/** Submits a job of one step to the queue. */
Lp__ResultCode batch_test_submit(batch_state_t *state, uint64_t wall_ms, const char *id,
				 Lp__BatchStep *step);
