#pragma once

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Rendezvous hashing: every process picks the same nodes for a key, and a change of one node
 * changes the choice of few keys. Pure.
 */

typedef struct {
	uint32_t node_id;
	const char *data_centre;
} rendezvous_node_t;

/**
 * Picks the nodes with the highest scores for a key, at first at most one per data centre, then
 * whatever is left.
 * @param home only nodes of this data centre are picked, if there are any; NULL or "" for none
 * @param limit most nodes picked
 * @param node_ids in falling order of preference; room for limit
 * @return number picked
 */
size_t rendezvous_pick(const rendezvous_node_t *nodes, size_t count, const char *key,
		       const char *home, size_t limit, uint32_t *node_ids);
