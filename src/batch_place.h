#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "command.pb-c.h"

/**
 * @file
 * Placement of one step's tasks on the VMs of a pool. Answers the surges that ask for more than a
 * pool holds: tasks go to the rack of their data, gangs are placed whole or not at all, tasks that
 * serve are kept apart from those that fill, and VMs with bad results come last. Answers the loss
 * and the slowness of VMs, racks and data centres: a job is late as soon as one of its tasks is, so
 * its tasks share as few of them as possible, and a failure delays few jobs instead of most. Tasks
 * that last are spread instead: each of them counts by itself. Pure.
 */

/** A VM as the placement sees it; amounts are what is not reserved. */
typedef struct {
	const char *rack; /**< label */
	const char *data_centre;
	const char *const *labels;
	size_t label_count;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t gpu;
	int64_t cpu_total;
	double slowness;  /**< 1 is the speed that was declared; higher is slower */
	uint32_t serving; /**< tasks with a tail goal */
	uint32_t filling; /**< best-effort tasks */
	uint32_t long_running;
	uint32_t same_step; /**< tasks of the step that is placed */
	uint32_t same_job;  /**< tasks of the job that is placed, those of the step among them */
	bool leaving;	    /**< its machine is due for maintenance */
	bool failed_here;   /**< a task of the step has failed on it */
	bool usable;
	bool allowed; /**< by the queue's policy; always true without one */
} place_vm_t;

/**
 * Chooses VMs for up to want tasks and takes their room.
 * @param chosen positions in vms, one for each placed task
 * @return number of tasks that were placed; for a gang want or 0
 */
size_t place_step(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
		  size_t *chosen);
/** What a task takes of a VM's processor; those that fill use what is left over. */
int64_t place_cpu(const Lp__BatchStep *step);
/** Takes the room of a task of the step. @param sign -1: gives it back */
void place_take(place_vm_t *vm, const Lp__BatchStep *step, int sign);
/** True when an empty VM of this size could run a task of the step. */
bool place_fits(const place_vm_t *vm, const Lp__BatchStep *step);
