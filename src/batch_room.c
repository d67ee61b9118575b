#include <string.h>

#include "batch_internal.h"
#include "batch_leader_internal.h"
#include "batch_place.h"

/* A VM that can take long-running tasks, with what other long-running tasks leave of it. Tasks that
 * end by themselves make room in time, as long-running ones are placed before them. */
typedef struct {
	place_vm_t place;
	const batch_vm_t *record;
	GPtrArray *taken; /* of batch_task_t: tasks that move here */
} room_t;

static void free_room(void *data)
{
	room_t *room = data;

	g_ptr_array_unref(room->taken);
	g_free(room);
}

static bool takes_tasks(const leader_vm_t *vm, uint64_t now_us)
{
	return leader_vm_is_responsive(vm, now_us) && !vm->draining && !vm->cordoned &&
	       !vm->drained_for_move && vm->shutdown_us == 0;
}

static room_t *new_room(const leader_vm_t *vm)
{
	const batch_vm_t *record = leader_vm_record(vm);
	room_t *room = g_new0(room_t, 1);
	const batch_task_t *task;

	room->record = record;
	room->taken = g_ptr_array_new();
	room->place = (place_vm_t){
		.labels = (const char *const *)vm->labels,
		.label_count = vm->label_count,
		.cpu_milli = vm->cpu_milli,
		.mem_mib = vm->mem_mib,
		.gpu = vm->gpu,
	};
	if (record == NULL)
		return room;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (task->step->spec->long_running && !task->local.evacuate)
			place_adjust_reservation(&room->place, task->step->spec, 1);
	}
	return room;
}

static uint32_t count_step_tasks(const room_t *room, const batch_step_t *step)
{
	const batch_task_t *task;
	uint32_t count = 0;

	for (guint i = 0; i < room->taken->len; i++)
		count += ((const batch_task_t *)g_ptr_array_index(room->taken, i))->step == step;
	if (room->record == NULL)
		return count;
	LIST_FOREACH (task, &room->record->tasks, vm_link)
		count += task->step == step && !task->local.evacuate;
	return count;
}

static bool fits(const room_t *room, const batch_task_t *task)
{
	const Lp__BatchStep *spec = task->step->spec;

	return place_fits(&room->place, spec) && place_has_label(&room->place, spec->constraint) &&
	       (spec->max_per_vm == 0 || count_step_tasks(room, task->step) < spec->max_per_vm);
}

/* Reserves room for the task on the VM with the least CPU left that fits. */
static bool take_room(GPtrArray *rooms, batch_task_t *task)
{
	room_t *best = NULL;

	for (guint i = 0; i < rooms->len; i++) {
		room_t *room = g_ptr_array_index(rooms, i);

		if (fits(room, task) &&
		    (best == NULL || room->place.cpu_milli < best->place.cpu_milli))
			best = room;
	}
	if (best == NULL)
		return false;
	place_adjust_reservation(&best->place, task->step->spec, 1);
	g_ptr_array_add(best->taken, task);
	return true;
}

/* Long-running tasks of the service that have no VM, or are being moved, get room first. */
static bool take_room_for_waiting(const batch_leader_t *leader, const char *service,
				  GPtrArray *rooms)
{
	batch_job_t *job;
	bool all_fit = true;

	TAILQ_FOREACH (job, &leader->state->active, link) {
		if (batch_job_ended(job) || strcmp(job->service, service) != 0)
			continue;
		for (uint32_t i = 0; i < job->step_count; i++) {
			batch_step_t *step = &job->steps[i];

			for (uint32_t j = 0; step->spec->long_running && j < step->spec->count;
			     j++) {
				batch_task_t *task = &step->tasks[j];

				if (task->status == BATCH_TASK_WAITING || task->local.evacuate)
					all_fit &= take_room(rooms, task);
			}
		}
	}
	return all_fit;
}

evacuation_room_t leader_evacuation_room(const leader_vm_t *vm, uint64_t now_us)
{
	const batch_vm_t *record = leader_vm_record(vm);
	g_autoptr(GPtrArray) rooms = g_ptr_array_new_with_free_func(free_room);
	const leader_vm_t *other;
	batch_task_t *task;

	if (record == NULL || vm->pool == NULL)
		return EVACUATION_FITS;
	LIST_FOREACH (other, &vm->pool->vms, service_link) {
		if (other != vm && takes_tasks(other, now_us))
			g_ptr_array_add(rooms, new_room(other));
	}
	if (!take_room_for_waiting(vm->leader, vm->service, rooms))
		return EVACUATION_OTHERS_WAIT;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (task->step->spec->long_running && !task->local.evacuate &&
		    !take_room(rooms, task))
			return EVACUATION_NO_ROOM;
	}
	return EVACUATION_FITS;
}
