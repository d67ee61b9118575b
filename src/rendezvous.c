#include "rendezvous.h"

#include <stdbool.h>
#include <string.h>

#include <xxhash.h>

typedef struct {
	const rendezvous_node_t *nodes[8];
	size_t count;
	size_t limit;
} selection_t;

static bool has_node(const selection_t *selection, const rendezvous_node_t *node)
{
	for (size_t i = 0; i < selection->count; i++) {
		if (selection->nodes[i] == node)
			return true;
	}
	return false;
}

static bool has_data_centre(const selection_t *selection, const char *data_centre)
{
	for (size_t i = 0; i < selection->count; i++) {
		if (strcmp(selection->nodes[i]->data_centre, data_centre) == 0)
			return true;
	}
	return false;
}

static bool is_in_data_centre(const rendezvous_node_t *node, const char *required_dc)
{
	return required_dc == NULL || strcmp(node->data_centre, required_dc) == 0;
}

/*
 * Returns the unselected node with the highest score for the key, or NULL if there is none. Among
 * nodes with equal scores, the one with the lowest id is returned.
 * @param required_dc data centre of the node; NULL: any
 * @param one_per_dc true to skip nodes whose data centre already has a selected node
 */
static const rendezvous_node_t *find_best_node(const rendezvous_node_t *nodes, size_t count,
					       const char *key, const char *required_dc,
					       const selection_t *selection, bool one_per_dc)
{
	const rendezvous_node_t *found = NULL;
	size_t length = strlen(key);
	uint64_t found_score = 0;

	for (size_t i = 0; i < count; i++) {
		const rendezvous_node_t *node = &nodes[i];
		uint64_t score;

		if (!is_in_data_centre(node, required_dc) || has_node(selection, node) ||
		    (one_per_dc && has_data_centre(selection, node->data_centre)))
			continue;
		score = XXH3_64bits_withSeed(key, length, node->node_id);
		if (found == NULL || score > found_score ||
		    (score == found_score && node->node_id < found->node_id)) {
			found = node;
			found_score = score;
		}
	}
	return found;
}

size_t rendezvous_pick(const rendezvous_node_t *nodes, size_t count, const char *key,
		       const char *required_dc, size_t limit, uint32_t *node_ids)
{
	selection_t selection = {.limit = limit < 8 ? limit : 8};
	const rendezvous_node_t *node;
	bool one_per_dc = true;
	bool has_required_dc = false;

	for (size_t i = 0; required_dc != NULL && i < count && !has_required_dc; i++)
		has_required_dc = strcmp(nodes[i].data_centre, required_dc) == 0;
	if (!has_required_dc)
		required_dc = NULL;
	while (selection.count < selection.limit) {
		node = find_best_node(nodes, count, key, required_dc, &selection, one_per_dc);
		if (node == NULL && !one_per_dc)
			break;
		if (node == NULL)
			one_per_dc = false;
		else
			selection.nodes[selection.count++] = node;
	}
	for (size_t i = 0; i < selection.count; i++)
		node_ids[i] = selection.nodes[i]->node_id;
	return selection.count;
}
