#include "command.h"

static void fill_vm_cordon(command_t *command, const plan_action_t *action)
{
	Lp__VmCordon *cordon = &command->cordon;

	lp__vm_cordon__init(cordon);
	cordon->vm = action->vm->id;
	cordon->epoch = action->vm->epoch;
	cordon->permit = action->cordon.permit;
	if (action->cordon.to_pool != NULL)
		cordon->to_pool = action->cordon.to_pool->name;
	cordon->wave = action->cordon.wave;
	cordon->reason = action->reason;
	command->command.body_case = LP__COMMAND__BODY_VM_CORDON;
	command->command.vm_cordon = cordon;
}

static void fill_vm_step(command_t *command, const plan_action_t *action)
{
	Lp__VmStep *step = &command->step;

	lp__vm_step__init(step);
	step->vm = action->vm->id;
	step->epoch = action->vm->epoch;
	step->from = action->step.from;
	step->to = action->step.to;
	step->reason = action->reason;
	if (action->step.image != NULL)
		step->image = (char *)action->step.image;
	command->command.body_case = LP__COMMAND__BODY_VM_STEP;
	command->command.vm_step = step;
}

static void fill_vm_assign(command_t *command, const plan_action_t *action)
{
	Lp__VmAssign *assign = &command->assign;

	lp__vm_assign__init(assign);
	assign->vm = action->vm->id;
	assign->epoch = action->vm->epoch;
	assign->pool = action->assign.pool->name;
	assign->reason = action->reason;
	command->command.body_case = LP__COMMAND__BODY_VM_ASSIGN;
	command->command.vm_assign = assign;
}

static void fill_wave_update(command_t *command, const plan_action_t *action)
{
	Lp__WaveUpdate *wave = &command->wave;

	lp__wave_update__init(wave);
	wave->wave = action->wave.id;
	wave->organisation = action->wave.org->name;
	wave->image = (char *)action->wave.image;
	wave->state = action->wave.state;
	wave->batch = action->wave.batch;
	wave->reason = action->reason;
	command->command.body_case = LP__COMMAND__BODY_WAVE_UPDATE;
	command->command.wave_update = wave;
}

bool command_init_action(command_t *command, const plan_action_t *action)
{
	lp__command__init(&command->command);
	switch (action->kind) {
	case PLAN_CORDON:
		fill_vm_cordon(command, action);
		return true;
	case PLAN_SET_PHASE:
		fill_vm_step(command, action);
		return true;
	case PLAN_ASSIGN:
		fill_vm_assign(command, action);
		return true;
	case PLAN_WAVE:
		fill_wave_update(command, action);
		return true;
	case PLAN_DRAIN:
	case PLAN_REBOOT:
		return false;
	}
	return false;
}
