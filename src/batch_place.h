#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "command.pb-c.h"

/**
 * @file
 * Placement of the tasks of one step on the VMs of a pool, without I/O or global state. Tasks
 * prefer the rack of their data, a gang is placed entirely or not at all, best-effort tasks are
 * kept apart from latency-goal tasks, and slow VMs are used last. One late task makes its whole job
 * late, so the tasks of a job share as few VMs, racks and data centres as possible: a failure then
 * delays few jobs instead of most. Long-running and best-effort tasks do not depend on each other
 * and are placed one by one.
 */

/** A VM as seen by placement. cpu_milli, mem_mib and gpu are the unreserved amounts. */
typedef struct {
	const char *rack; /**< rack label */
	const char *data_centre;
	const char *const *labels;
	size_t label_count;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t gpu;
	int64_t cpu_total; /**< reserved and unreserved CPU, in thousandths of a core */
	double slowness;   /**< ratio of measured to declared run time; 1: as fast as declared */
	uint32_t latency_goal_tasks;
	uint32_t best_effort_tasks;
	uint32_t long_running_tasks;
	uint32_t step_tasks;  /**< number of the VM's tasks that belong to the step being placed */
	uint32_t job_tasks;   /**< number of the VM's tasks that belong to the job being placed,
				 including those of the step */
	bool maintenance_due; /**< the VM's machine is due for maintenance */
	bool failed_here;     /**< a waiting task of the step has failed on the VM */
	bool for_suspect;     /**< the step has tasks that are suspected of crashing VMs */
	bool usable;	      /**< the VM accepts new tasks */
	bool allowed; /**< the queue's policy service allows the VM; true for queues without such a
			 service */
} place_vm_t;

/**
 * Chooses VMs for up to want tasks of the step, and reserves the resources of the tasks.
 * @param chosen receives the index in vms for each placed task; has space for want entries
 * @return number of placed tasks; for a gang, want or 0
 */
size_t place_step(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
		  size_t *chosen);
/** @return CPU that a task reserves, in thousandths of a core; 0 for a best-effort task */
int64_t place_reserved_cpu_milli(const Lp__BatchStep *step);
/**
 * Reserves the resources of one task on the VM and counts the task. @param sign 1, or -1 to undo a
 * reservation
 */
void place_adjust_reservation(place_vm_t *vm, const Lp__BatchStep *step, int sign);
/** @return true when the VM has the label. @param label "": any VM has it */
bool place_has_label(const place_vm_t *vm, const char *label);
/** @return true when the VM can take one more task of the step, if the policy service allows it */
bool place_suits(const place_vm_t *vm, const Lp__BatchStep *step);
/** @return number of tasks of the step that the VM can take, at most want, if the policy service
 * allows it */
size_t place_capacity(const place_vm_t *vm, const Lp__BatchStep *step, size_t want);
/** @return true when the VM has enough unreserved resources for one task of the step */
bool place_fits(const place_vm_t *vm, const Lp__BatchStep *step);
