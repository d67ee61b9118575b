#pragma once

#include "node.h"
#include "planner.h"

/**
 * @file
 * Runs the planner on the leader and carries its actions out: proposals to the log, requests to the
 * platform. Also keeps the members' up flags.
 */

struct controller;
typedef struct controller controller_t;

controller_t *controller_create(node_t *node);
void controller_destroy(controller_t *controller);

/** The applied state changed: the planner runs within 100 ms. */
void controller_changed(controller_t *controller);
/** Load reports of a peer. */
void controller_load(controller_t *controller, uint32_t from, const Lp__LoadReport *report);
/** Fills the planner's input from the node's present state. */
void controller_plan_input(controller_t *controller, plan_input_t *input);
/** Text of the platform's latest failure, or NULL. */
const char *controller_platform_error(const controller_t *controller);
