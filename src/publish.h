#pragma once

#include "node.h"

/**
 * @file
 * Carries the applied state over to the data path: targets, templates, slot shares, members.
 */

/** Port of the replicated log to the node's state machine. */
replica_machine_t publish_machine(node_t *node);

/** Publishes everything; after a snapshot was loaded. */
void publish_all(node_t *node);
/** Publishes the set of members: slot shares, peers of other data centres, claim members. */
void publish_members(node_t *node);
