#pragma once

#include <stdbool.h>

#include "command.pb-c.h"
#include "planner.h"

/**
 * @file
 * Converts the planner's actions to commands of the replicated log. Without side effects.
 */

/** A command with its body. Its strings belong to the action. */
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
 * Initialises a command from an action. The command contains pointers to itself, so it must not be
 * copied.
 * @return false when the action is a request to the platform, which is not a command of the log
 */
bool command_init_action(command_t *command, const plan_action_t *action);
