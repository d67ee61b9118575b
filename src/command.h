#pragma once

#include <stdbool.h>

#include "command.pb-c.h"
#include "planner.h"

/**
 * @file
 * Converts actions of the planner to commands of the replicated log. The conversion has no side
 * effects.
 */

/** A command together with its body. Its strings belong to the action that it was made from. */
typedef struct {
	Lp__Command command;
	union {
		Lp__VmCordon cordon;
		Lp__VmStep step;
		Lp__VmAssign assign;
		Lp__WaveUpdate wave;
	};
} command_t;

/**
 * Initialises a command from an action of the planner. The command contains pointers to itself, so
 * it must not be copied.
 * @return false when the action is a platform request, which is no command of the log
 */
bool command_init_action(command_t *command, const plan_action_t *action);
