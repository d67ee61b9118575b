#pragma once

#include "node.h"

/**
 * @file
 * Applies committed commands to the fleet and copies the changes to the data path: targets,
 * templates, slot shares and members.
 */

/**
 * Returns the callbacks through which the replica applies commands to the node's fleet state and
 * saves and loads it.
 */
replica_state_machine_t publish_state_machine(node_t *node);

/**
 * Publishes the whole state to the data path. Must be called after a snapshot is loaded at start.
 */
void publish_all(node_t *node);
/**
 * Publishes what depends on the members: this process's share of the slots, the entry processes of
 * other data centres, and the members that store claims.
 */
void publish_members(node_t *node);
