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
/* The tasks of a job share a VM, or else a rack or a data centre. A second VM costs more than any
 * difference in load, and less than a VM that takes twice the declared time. */
#define COST_SPLIT 1.2
#define COST_OTHER_RACK 0.3
#define COST_OTHER_DC 0.6
#define GAIN_SAME_JOB 1.0
/* A run that failed may have failed through its VM; its next run is one of few attempts. */
#define COST_FAILED_HERE 3.0

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

/* Tasks of the step that the VM takes, up to want. */
static size_t room_of(const place_vm_t *vm, const Lp__BatchStep *step, size_t want)
{
	int64_t cpu = place_cpu(step);
	int64_t room = (int64_t)want;

	if (!may_run(vm, step))
		return 0;
	if (cpu > 0)
		room = MIN(room, vm->cpu_milli / cpu);
	if (step->mem_mib > 0)
		room = MIN(room, vm->mem_mib / (int64_t)step->mem_mib);
	if (step->gpu > 0)
		room = MIN(room, vm->gpu / (int64_t)step->gpu);
	if (step->max_per_vm > 0)
		room = MIN(room, (int64_t)step->max_per_vm - (int64_t)vm->same_step);
	return (size_t)room;
}

static bool stays_together(const Lp__BatchStep *step)
{
	return !step->long_running && !step->best_effort;
}

/* Cost of the further failures that the job meets with the VM: of a second VM, rack or data centre
 * than that of the anchor, a VM that runs tasks of the job. */
static double cost_apart(const place_vm_t *vm, size_t room, size_t want, const place_vm_t *anchor)
{
	double sum = 0;

	if (room < want)
		sum += COST_SPLIT * (2.0 - (double)room / (double)want);
	if (vm->same_job > 0)
		return sum - GAIN_SAME_JOB;
	if (anchor != NULL && g_strcmp0(vm->rack, anchor->rack) != 0)
		sum += COST_OTHER_RACK;
	if (anchor != NULL && g_strcmp0(vm->data_centre, anchor->data_centre) != 0)
		sum += COST_OTHER_DC;
	return sum;
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
	if (vm->failed_here)
		sum += COST_FAILED_HERE;
	return sum;
}

void place_take(place_vm_t *vm, const Lp__BatchStep *step, int sign)
{
	vm->cpu_milli -= sign * place_cpu(step);
	vm->mem_mib -= sign * (int64_t)step->mem_mib;
	vm->gpu -= sign * (int64_t)step->gpu;
	vm->same_step += (uint32_t)sign;
	vm->same_job += (uint32_t)sign;
	vm->long_running += step->long_running ? (uint32_t)sign : 0;
	vm->serving += step->tail_goal_ms > 0 ? (uint32_t)sign : 0;
	vm->filling += step->best_effort ? (uint32_t)sign : 0;
}

typedef struct {
	place_vm_t *vm;
	size_t room;
} choice_t;

static choice_t cheapest(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
			 const char *rack, const place_vm_t *anchor)
{
	choice_t best = {0};
	double best_cost = 0;

	for (size_t i = 0; i < count; i++) {
		size_t room = room_of(&vms[i], step, want);
		double candidate;

		if (room == 0)
			continue;
		candidate = cost(&vms[i], step, rack);
		if (stays_together(step))
			candidate += cost_apart(&vms[i], room, want, anchor);
		if (best.vm == NULL || candidate < best_cost) {
			best = (choice_t){.vm = &vms[i], .room = room};
			best_cost = candidate;
		}
	}
	return best;
}

/* The VM that runs most of the job's tasks; NULL: none does. */
static const place_vm_t *find_anchor(const place_vm_t *vms, size_t count)
{
	const place_vm_t *anchor = NULL;

	for (size_t i = 0; i < count; i++) {
		if (vms[i].same_job > (anchor != NULL ? anchor->same_job : 0))
			anchor = &vms[i];
	}
	return anchor;
}

static size_t fill(place_vm_t *vms, size_t count, const Lp__BatchStep *step, size_t want,
		   const char *rack, size_t *chosen)
{
	const place_vm_t *anchor = find_anchor(vms, count);
	size_t placed = 0;

	while (placed < want) {
		choice_t choice = cheapest(vms, count, step, want - placed, rack, anchor);
		size_t take = stays_together(step) ? choice.room : 1;

		if (choice.vm == NULL)
			break;
		for (size_t i = 0; i < take; i++) {
			place_take(choice.vm, step, 1);
			chosen[placed++] = (size_t)(choice.vm - vms);
		}
		if (anchor == NULL)
			anchor = choice.vm;
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
		if (strcmp(vms[i].rack, rack) == 0)
			room += room_of(&vms[i], step, want - room);
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
