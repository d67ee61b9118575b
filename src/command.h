#pragma once

#include <stdbool.h>

#include "command.pb-c.h"
#include "planner.h"

/**
 * @file
 * Commands of the replicated log made from the planner's actions. Pure.
 */

/** A command together with its body; strings point into the action. */
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
 * Fills a command. It points into itself and must not be copied.
 * @return false when the action is a request to the platform, which the log does not carry
 */
bool command_init_action(command_t *command, const plan_action_t *action);
