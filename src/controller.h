#pragma once

#include "node.h"
#include "planner.h"

/**
 * @file
 * Runs the planner on the leader and executes its actions: proposes commands and sends requests to
 * the platform. Also records silent members as down, and reports this process's load to the leader.
 */

struct controller;
typedef struct controller controller_t;

controller_t *controller_create(node_t *node);
void controller_destroy(controller_t *controller);

/**
 * Must be called when the applied state changes; on the leader, the planner then runs within 100
 * ms.
 */
void controller_notify_change(controller_t *controller);
/** Stores a load report. from is the node id of the entry process that sent it. */
void controller_handle_load_report(controller_t *controller, uint32_t from,
				   const Lp__LoadReport *report);
/**
 * Fills the planner's input from the node's current state. The input is valid until the next call.
 */
void controller_plan_input(controller_t *controller, plan_input_t *input);
/** Returns the error of the latest platform request, or NULL when that request succeeded. */
const char *controller_platform_error(const controller_t *controller);
