#pragma once

#include "node.h"

/**
 * @file
 * Applies committed commands to the fleet and copies the changes to the data path: targets,
 * templates, slot shares and members.
 */

/** Callbacks through which the replica applies, saves and loads the node's fleet state. */
replica_state_machine_t publish_state_machine(node_t *node);

/** Publishes the whole state. Needed after loading a snapshot. */
void publish_all(node_t *node);
/** Publishes what depends on the members: this process's share of the slots, the entry processes of
 * other data centres, and the members that keep claims. */
void publish_members(node_t *node);
