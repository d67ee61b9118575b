#include "batch_place.h"

#include <string.h>

#include <glib.h>

/* Costs of placing a task on a VM. A fully loaded VM costs 1 less than an empty one.
 * COST_WRONG_RACK outweighs any difference in load, because a task outside the rack of its data
 * takes 1.5 times as long (crossRackFactor). */
#define COST_WRONG_RACK 4.0
/* Cost of placing a best-effort task next to a latency-goal task, or the other way round. The
 * best-effort task would slow down the other one, and would soon have to be throttled. */
#define COST_MIXED_WORKLOAD 3.0
/* Cost of a VM that takes twice the declared run time. It exceeds any difference in load, so
 * that slow VMs are used only when the others are full. */
#define COST_SLOWNESS 2.0
/* Cost of placing a long-running task on a VM that runs no such task yet. Long-running tasks are
 * packed on few VMs, because a machine without tasks can move to another pool or be switched
 * off. */
#define COST_FIRST_LONG_RUNNING 0.5
/* Cost of a machine due for maintenance, from which a long-running task would soon have to move
 * again. */
#define COST_MAINTENANCE_DUE 2.0
/* Costs of spreading a job over VMs, racks and data centres. COST_SPLIT_JOB is multiplied by a
 * factor from 1 to 2, which is the higher the fewer of the tasks fit on the VM. The product exceeds
 * any difference in load. It is less than the cost of a VM that takes twice the declared time if
 * more than a third of the tasks fit. */
#define COST_SPLIT_JOB 1.2
#define COST_OTHER_RACK 0.3
#define COST_OTHER_DC 0.6
#define GAIN_SAME_JOB 1.0
/* Cost of a VM where a task of the step has failed. The VM is possibly the cause, and a task has
 * only a few attempts. */
#define COST_FAILED_HERE 3.0
/* Cost of a fully loaded VM for a task that is suspected of crashing VMs. It outweighs what the
 * load saves and the gain of sharing a VM with the job. */
#define COST_LOAD_AT_RISK 5.0

int64_t place_reserved_cpu_milli(const Lp__BatchStep *step)
{
	return step->best_effort ? 0 : step->cpu_milli;
}

bool place_fits(const place_vm_t *vm, const Lp__BatchStep *step)
{
	if (!step->best_effort && vm->cpu_milli < (int64_t)step->cpu_milli)
		return false;
	return vm->mem_mib >= (int64_t)step->mem_mib && vm->gpu >= (int64_t)step->gpu;
}

bool place_has_label(const place_vm_t *vm, const char *label)
{
	if (label[0] == '\0')
		return true;
	for (size_t i = 0; i < vm->label_count; i++) {
		if (strcmp(vm->labels[i], label) == 0)
			return true;
	}
	return false;
}

bool place_suits(const place_vm_t *vm, const Lp__BatchStep *step)
{
	if (!vm->usable || !place_fits(vm, step))
		return false;
	if (step->max_per_vm > 0 && vm->step_tasks >= step->max_per_vm)
		return false;
	return place_has_label(vm, step->constraint);
}

size_t place_capacity(const place_vm_t *vm, const Lp__BatchStep *step, size_t want)
{
	int64_t cpu = place_reserved_cpu_milli(step);
	int64_t capacity = (int64_t)want;

	if (!place_suits(vm, step))
		return 0;
	if (cpu > 0)
		capacity = MIN(capacity, vm->cpu_milli / cpu);
	if (step->mem_mib > 0)
		capacity = MIN(capacity, vm->mem_mib / (int64_t)step->mem_mib);
	if (step->gpu > 0)
		capacity = MIN(capacity, vm->gpu / (int64_t)step->gpu);
	if (step->max_per_vm > 0)
		capacity = MIN(capacity, (int64_t)step->max_per_vm - (int64_t)vm->step_tasks);
	return (size_t)capacity;
}

/* @return number of tasks of the step that fit on the VM, at most want */
static size_t task_capacity(const place_vm_t *vm, const Lp__BatchStep *step, size_t want)
{
	return vm->allowed ? place_capacity(vm, step, want) : 0;
}

/* True when the tasks of the step should share VMs, because one late task makes the whole job
 * late. */
static bool prefers_shared_vm(const Lp__BatchStep *step)
{
	return !step->long_running && !step->best_effort;
}

/* @return cost of spreading the job to this VM: a failure of the VM, its rack or its data centre
 * would then delay the job. Lower for a VM that already runs tasks of the job. @param anchor the VM
 * that runs most tasks of the job; NULL: none runs any */
static double split_cost(const place_vm_t *vm, size_t capacity, size_t want,
			 const place_vm_t *anchor)
{
	double sum = 0;

	if (capacity < want)
		sum += COST_SPLIT_JOB * (2.0 - (double)capacity / (double)want);
	if (vm->job_tasks > 0)
		return sum - GAIN_SAME_JOB;
	if (anchor != NULL && g_strcmp0(vm->rack, anchor->rack) != 0)
		sum += COST_OTHER_RACK;
	if (anchor != NULL && g_strcmp0(vm->data_centre, anchor->data_centre) != 0)
		sum += COST_OTHER_DC;
	return sum;
}

/* @return cost of a task on the VM. A loaded VM costs less, so that tasks are packed.
 * @param rack rack that all tasks of the step should share; NULL: none */
static double vm_cost(const place_vm_t *vm, const Lp__BatchStep *step, const char *rack)
{
	double cpu_capacity = vm->cpu_total > 0 ? (double)vm->cpu_total : 1.0;
	double used_share = 1.0 - (double)vm->cpu_milli / cpu_capacity;
	double sum = COST_SLOWNESS * (vm->slowness - 1.0) - used_share;

	if (step->data_rack[0] != '\0' && strcmp(vm->rack, step->data_rack) != 0)
		sum += COST_WRONG_RACK;
	if (rack != NULL && strcmp(vm->rack, rack) != 0)
		sum += COST_WRONG_RACK;
	if (step->best_effort)
		sum += vm->latency_goal_tasks > 0 ? COST_MIXED_WORKLOAD
						  : 0.1 * vm->best_effort_tasks;
	else if (step->tail_goal_ms > 0)
		sum += vm->best_effort_tasks > 0 ? COST_MIXED_WORKLOAD : 0.0;
	if (step->long_running && vm->long_running_tasks == 0)
		sum += COST_FIRST_LONG_RUNNING;
	if (step->long_running && vm->maintenance_due)
		sum += COST_MAINTENANCE_DUE;
	if (vm->failed_here)
		sum += COST_FAILED_HERE;
	if (vm->for_suspect)
		sum += COST_LOAD_AT_RISK * used_share;
	return sum;
}

void place_adjust_reservation(place_vm_t *vm, const Lp__BatchStep *step, int sign)
{
	vm->cpu_milli -= sign * place_reserved_cpu_milli(step);
	vm->mem_mib -= sign * (int64_t)step->mem_mib;
	vm->gpu -= sign * (int64_t)step->gpu;
	vm->step_tasks += (uint32_t)sign;
	vm->job_tasks += (uint32_t)sign;
	vm->long_running_tasks += step->long_running ? (uint32_t)sign : 0;
	vm->latency_goal_tasks += step->tail_goal_ms > 0 ? (uint32_t)sign : 0;
	vm->best_effort_tasks += step->best_effort ? (uint32_t)sign : 0;
}

typedef struct {
	place_vm_t *vm;
	size_t capacity;
} vm_choice_t;

static vm_choice_t cheapest_vm(place_vm_t *vms, size_t count, const Lp__BatchStep *step,
			       size_t want, const char *rack, const place_vm_t *anchor)
{
	vm_choice_t best = {0};
	double best_cost = 0;

	for (size_t i = 0; i < count; i++) {
		size_t capacity = task_capacity(&vms[i], step, want);
		double candidate_cost;

		if (capacity == 0)
			continue;
		candidate_cost = vm_cost(&vms[i], step, rack);
		if (prefers_shared_vm(step))
			candidate_cost += split_cost(&vms[i], capacity, want, anchor);
		if (best.vm == NULL || candidate_cost < best_cost) {
			best = (vm_choice_t){.vm = &vms[i], .capacity = capacity};
			best_cost = candidate_cost;
		}
	}
	return best;
}

/* @return the VM that runs most tasks of the job, or NULL when none runs any */
static const place_vm_t *find_anchor(const place_vm_t *vms, size_t count)
{
	const place_vm_t *anchor = NULL;

	for (size_t i = 0; i < count; i++) {
		if (vms[i].job_tasks > (anchor != NULL ? anchor->job_tasks : 0))
			anchor = &vms[i];
	}
	return anchor;
}

/* Places tasks of the step on the cheapest VM until none fits any more. @return number of placed
 * tasks */
static size_t place_greedily(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
			     const char *rack, size_t *chosen)
{
	const place_vm_t *anchor = find_anchor(vms, count);
	size_t placed = 0;

	while (placed < want) {
		vm_choice_t choice = cheapest_vm(vms, count, step, want - placed, rack, anchor);
		size_t task_count = prefers_shared_vm(step) ? choice.capacity : 1;

		if (choice.vm == NULL)
			break;
		for (size_t i = 0; i < task_count; i++) {
			place_adjust_reservation(choice.vm, step, 1);
			chosen[placed++] = (size_t)(choice.vm - vms);
		}
		if (anchor == NULL)
			anchor = choice.vm;
	}
	return placed;
}

static void undo_placement(place_vm_t *vms, const Lp__BatchStep *step, const size_t *chosen,
			   size_t placed)
{
	for (size_t i = 0; i < placed; i++)
		place_adjust_reservation(&vms[chosen[i]], step, -1);
}

/* @return number of tasks that fit on the VMs of the rack, at most want */
static size_t rack_capacity(const place_vm_t *vms, size_t count, const Lp__BatchStep *step,
			    size_t want, const char *rack)
{
	size_t capacity = 0;

	for (size_t i = 0; i < count && capacity < want; i++) {
		if (strcmp(vms[i].rack, rack) == 0)
			capacity += task_capacity(&vms[i], step, want - capacity);
	}
	return capacity;
}

/* @return the rack that already runs tasks of the step, or else the rack on which most of its
 * tasks fit */
static const char *select_rack(const place_vm_t *vms, size_t count, const Lp__BatchStep *step,
			       size_t want)
{
	const char *best = NULL;
	size_t best_capacity = 0;

	for (size_t i = 0; i < count; i++) {
		if (vms[i].step_tasks > 0)
			return vms[i].rack;
	}
	for (size_t i = 0; i < count; i++) {
		size_t capacity;

		if (i > 0 && strcmp(vms[i].rack, vms[i - 1].rack) == 0)
			continue;
		capacity = rack_capacity(vms, count, step, want, vms[i].rack);
		if (capacity > best_capacity) {
			best = vms[i].rack;
			best_capacity = capacity;
		}
	}
	return best;
}

size_t place_step(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
		  size_t *chosen)
{
	const char *rack = step->rack_local ? select_rack(vms, count, step, want) : NULL;
	size_t placed = place_greedily(vms, count, step, want, rack, chosen);

	if (step->gang && placed < want) {
		undo_placement(vms, step, chosen, placed);
		return 0;
	}
	return placed;
}
