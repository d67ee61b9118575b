#pragma once

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * How many VMs a request to the policy service lists while others wait. It takes time for each
 * request and for each VM listed, and allows only some. There is no I/O.
 */

typedef struct {
	uint64_t decide_us;   /**< declared time of a request */
	uint64_t per_vm_us;   /**< and of each VM that it lists */
	double allowed_share; /**< expected share of VMs that it allows, above 0 and at most 1 */
	size_t needed;	      /**< VMs that the tasks of the step need, at least 1 */
	size_t most;	      /**< most VMs of a request */
} advice_size_input_t;

/**
 * @return number of VMs for which the least time passes, over repeated requests, until one is
 * allowed, and as many more as the tasks need; from 1 to most
 */
size_t advice_size(const advice_size_input_t *input);
