#pragma once

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Rendezvous hashing: every process selects the same nodes for a key, and adding or removing a node
 * changes the selection for only a few keys. Has no side effects outside its arguments.
 */

typedef struct {
	uint32_t node_id;
	const char *data_centre;
} rendezvous_node_t;

/**
 * Selects the nodes with the highest scores for a key: first at most one per data centre, then, up
 * to the limit, any others.
 * @param required_dc data centre of the nodes; NULL, "" or a data centre without nodes: any
 * @param limit maximum number of nodes to select, at most 8
 * @param node_ids array of at least limit entries, filled in falling order of preference
 * @return number of nodes selected
 */
size_t rendezvous_pick(const rendezvous_node_t *nodes, size_t count, const char *key,
		       const char *required_dc, size_t limit, uint32_t *node_ids);
