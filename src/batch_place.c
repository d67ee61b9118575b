#include "batch_place.h"

#include <string.h>

#include <glib.h>

/* Costs, in units of a fully loaded VM. A task on the wrong rack takes 1.5 times as long
 * (crossRackFactor), which outweighs any difference in load. */
#define COST_WRONG_RACK 4.0
/* A best-effort task slows tasks that serve; leaving a VM to either kind avoids pacing later. */
#define COST_MIXED 3.0
/* A VM that takes twice the declared time is used when the others are full. */
#define COST_SLOWNESS 2.0
/* Tasks are packed: a machine that runs nothing can follow the demand to another pool, or be
 * switched off. */
#define COST_EMPTY 0.5
/* A long-running task on a machine that is due for maintenance has to move once more. */
#define COST_LEAVING 2.0

int64_t place_cpu(const Lp__BatchStep *step)
{
	return step->best_effort ? 0 : step->cpu_milli;
}

bool place_fits(const place_vm_t *vm, const Lp__BatchStep *step)
{
	if (!step->best_effort && vm->cpu_milli < (int64_t)step->cpu_milli)
		return false;
	return vm->mem_mib >= (int64_t)step->mem_mib && vm->gpu >= (int64_t)step->gpu;
}

static bool has_label(const place_vm_t *vm, const char *label)
{
	for (size_t i = 0; i < vm->label_count; i++) {
		if (strcmp(vm->labels[i], label) == 0)
			return true;
	}
	return false;
}

static bool may_run(const place_vm_t *vm, const Lp__BatchStep *step)
{
	if (!vm->usable || !vm->allowed || !place_fits(vm, step))
		return false;
	if (step->max_per_vm > 0 && vm->same_step >= step->max_per_vm)
		return false;
	return step->constraint[0] == '\0' || has_label(vm, step->constraint);
}

static double cost(const place_vm_t *vm, const Lp__BatchStep *step, const char *rack)
{
	double total = vm->cpu_total > 0 ? (double)vm->cpu_total : 1.0;
	double used = 1.0 - (double)vm->cpu_milli / total;
	double sum = COST_SLOWNESS * (vm->slowness - 1.0) - used;

	if (step->data_rack[0] != '\0' && strcmp(vm->rack, step->data_rack) != 0)
		sum += COST_WRONG_RACK;
	if (rack != NULL && strcmp(vm->rack, rack) != 0)
		sum += COST_WRONG_RACK;
	if (step->best_effort)
		sum += vm->serving > 0 ? COST_MIXED : 0.1 * vm->filling;
	else if (step->tail_goal_ms > 0)
		sum += vm->filling > 0 ? COST_MIXED : 0.0;
	if (step->long_running && vm->long_running == 0)
		sum += COST_EMPTY;
	if (step->long_running && vm->leaving)
		sum += COST_LEAVING;
	return sum;
}

void place_take(place_vm_t *vm, const Lp__BatchStep *step, int sign)
{
	vm->cpu_milli -= sign * place_cpu(step);
	vm->mem_mib -= sign * (int64_t)step->mem_mib;
	vm->gpu -= sign * (int64_t)step->gpu;
	vm->same_step += (uint32_t)sign;
	vm->long_running += step->long_running ? (uint32_t)sign : 0;
	vm->serving += step->tail_goal_ms > 0 ? (uint32_t)sign : 0;
	vm->filling += step->best_effort ? (uint32_t)sign : 0;
}

static place_vm_t *cheapest(place_vm_t *vms, size_t count, const Lp__BatchStep *step,
			    const char *rack)
{
	place_vm_t *best = NULL;
	double best_cost = 0;

	for (size_t i = 0; i < count; i++) {
		double candidate;

		if (!may_run(&vms[i], step))
			continue;
		candidate = cost(&vms[i], step, rack);
		if (best == NULL || candidate < best_cost) {
			best = &vms[i];
			best_cost = candidate;
		}
	}
	return best;
}

static size_t fill(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
		   const char *rack, size_t *chosen)
{
	size_t placed = 0;

	while (placed < want) {
		place_vm_t *vm = cheapest(vms, count, step, rack);

		if (vm == NULL)
			break;
		place_take(vm, step, 1);
		chosen[placed++] = (size_t)(vm - vms);
	}
	return placed;
}

static void undo(place_vm_t *vms, const Lp__BatchStep *step, const size_t *chosen, size_t placed)
{
	for (size_t i = 0; i < placed; i++)
		place_take(&vms[chosen[i]], step, -1);
}

/* Tasks that one rack takes; stops at want. */
static size_t room_of_rack(const place_vm_t *vms, size_t count, const Lp__BatchStep *step,
			   size_t want, const char *rack)
{
	size_t room = 0;

	for (size_t i = 0; i < count && room < want; i++) {
		place_vm_t copy = vms[i];

		if (strcmp(copy.rack, rack) != 0)
			continue;
		while (room < want && may_run(&copy, step)) {
			place_take(&copy, step, 1);
			room++;
		}
	}
	return room;
}

/* The rack that the tasks of the step already use, or else the one with the most room. */
static const char *best_rack(const place_vm_t *vms, size_t count, const Lp__BatchStep *step,
			     size_t want)
{
	const char *best = NULL;
	size_t best_room = 0;

	for (size_t i = 0; i < count; i++) {
		if (vms[i].same_step > 0)
			return vms[i].rack;
	}
	for (size_t i = 0; i < count; i++) {
		size_t room;

		if (i > 0 && strcmp(vms[i].rack, vms[i - 1].rack) == 0)
			continue;
		room = room_of_rack(vms, count, step, want, vms[i].rack);
		if (room > best_room) {
			best = vms[i].rack;
			best_room = room;
		}
	}
	return best;
}

size_t place_step(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
		  size_t *chosen)
{
	const char *rack = step->rack_local ? best_rack(vms, count, step, want) : NULL;
	size_t placed = fill(vms, count, step, want, rack, chosen);

	if (step->gang && placed < want) {
		undo(vms, step, chosen, placed);
		return 0;
	}
	return placed;
}
