#define G_LOG_DOMAIN "batch"

#include <inttypes.h>

#include "batch_leader_internal.h"
#include "batch_suspect.h"
#include "log.h"

/* Runs whose handover is being committed. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	vm_handle_t next; /* the VM that gets the runs */
	size_t count;
	Lp__BatchTask refs[];
} handover_t;

/* True when the run was certainly started by the VM's incarnation that has listed it: no start
 * request for it is left that the next incarnation can have carried out. */
static bool ended_with_vm(const batch_task_t *task)
{
	return task->local.listed && !task->local.start_unanswered;
}

/* Assumes the latest possible end of the lease that a start request for an earlier incarnation has
 * granted to the VM. The request named the end by the clock of the earlier incarnation, so that
 * only the VM's own limit applies. */
static void assume_longest_lease(leader_vm_t *vm)
{
	const batch_leader_config_t *config = &vm->leader->config;
	uint64_t lease_ms = config->lease_max_ms * (100ULL + config->clock_skew_percent) / 100;
	uint64_t end_us =
		leader_now_us(vm->leader) + (config->late_request_ms + lease_ms) * US_PER_MS;

	vm->lease.answered_end_us = MAX(vm->lease.answered_end_us, end_us);
}

static void on_handover_committed(void *arg, Lp__ResultCode code)
{
	g_autofree handover_t *handover = arg;
	batch_leader_t *leader = handover->leader;
	leader_vm_t *next = vm_handle_get(&handover->next);

	if (!leader->active || leader->generation != handover->generation)
		return;
	if (next != NULL)
		assume_longest_lease(next);
	/* Without a commit, the next tick of the dead VM proposes the handover again. */
	for (size_t i = 0; i < handover->count; i++) {
		batch_task_t *task = batch_state_task(leader->state, &handover->refs[i]);

		if (task != NULL && task->run == handover->refs[i].run)
			task->local.handover_pending = false;
	}
}

static void propose_handover(leader_vm_t *vm, batch_task_t **tasks, size_t count)
{
	batch_leader_t *leader = vm->leader;
	handover_t *handover = g_malloc0(sizeof(*handover) + count * sizeof(handover->refs[0]));
	g_autofree Lp__BatchTask **list = g_new0(Lp__BatchTask *, count);
	Lp__BatchHandover message = LP__BATCH_HANDOVER__INIT;
	Lp__BatchCommand command = LP__BATCH_COMMAND__INIT;

	*handover =
		(handover_t){.leader = leader, .generation = leader->generation, .count = count};
	vm_handle_set(&handover->next, vm);
	handover->next.born_ms = vm->next_born_ms;
	for (size_t i = 0; i < count; i++) {
		tasks[i]->local.handover_pending = true;
		tasks[i]->local.crash = suspect_judge(vm, tasks[i], true);
		batch_task_ref(tasks[i], &handover->refs[i]);
		list[i] = &handover->refs[i];
	}
	message.vm = vm->id;
	message.born_ms = vm->born_ms;
	message.next_born_ms = vm->next_born_ms;
	message.address = vm->address;
	message.machine = vm->machine;
	message.tasks = list;
	message.n_tasks = count;
	command.body_case = LP__BATCH_COMMAND__BODY_HANDOVER;
	command.handover = &message;
	metrics_add(leader->stats.handed_over, count);
	leader_propose(leader, &command, on_handover_committed, handover);
}

static void log_handover(const leader_vm_t *vm, size_t count)
{
	char born[24];
	char next_born[24];
	char runs[16];

	g_snprintf(born, sizeof(born), "%" PRIu64, vm->born_ms);
	g_snprintf(next_born, sizeof(next_born), "%" PRIu64, vm->next_born_ms);
	g_snprintf(runs, sizeof(runs), "%zu", count);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", vm->id, "born", born, "next_born", next_born, "runs", runs),
		  "asking the next life of the VM for runs that it has possibly started");
}

void leader_hand_over_runs(leader_vm_t *vm)
{
	batch_vm_t *record = leader_vm_record(vm);
	g_autoptr(GPtrArray) tasks = g_ptr_array_new();
	batch_task_t *task;

	if (vm->next_born_ms == 0 || record == NULL)
		return;
	LIST_FOREACH (task, &record->tasks, vm_link) {
		if (!task->local.handover_pending && !task->local.loss_pending &&
		    !ended_with_vm(task))
			g_ptr_array_add(tasks, task);
	}
	if (tasks->len == 0)
		return;
	log_handover(vm, tasks->len);
	propose_handover(vm, (batch_task_t **)tasks->pdata, tasks->len);
}
