#include "rendezvous.h"

#include <stdbool.h>
#include <string.h>

#include <xxhash.h>

typedef struct {
	const rendezvous_node_t *picked[8];
	size_t count;
	size_t limit;
} choice_t;

static bool has_node(const choice_t *choice, const rendezvous_node_t *node)
{
	for (size_t i = 0; i < choice->count; i++) {
		if (choice->picked[i] == node)
			return true;
	}
	return false;
}

static bool has_data_centre(const choice_t *choice, const char *data_centre)
{
	for (size_t i = 0; i < choice->count; i++) {
		if (strcmp(choice->picked[i]->data_centre, data_centre) == 0)
			return true;
	}
	return false;
}

static bool is_home(const rendezvous_node_t *node, const char *home)
{
	return home == NULL || strcmp(node->data_centre, home) == 0;
}

/* The best node that is not picked yet, or NULL. Equal scores are decided by the node id. */
static const rendezvous_node_t *best(const rendezvous_node_t *nodes, size_t count, const char *key,
				     const char *home, const choice_t *choice, bool distinct)
{
	const rendezvous_node_t *found = NULL;
	size_t length = strlen(key);
	uint64_t found_score = 0;

	for (size_t i = 0; i < count; i++) {
		const rendezvous_node_t *node = &nodes[i];
		uint64_t score;

		if (!is_home(node, home) || has_node(choice, node) ||
		    (distinct && has_data_centre(choice, node->data_centre)))
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
		       const char *home, size_t limit, uint32_t *node_ids)
{
	choice_t choice = {.limit = limit < 8 ? limit : 8};
	const rendezvous_node_t *node;
	bool distinct = true;
	bool homed = false;

	for (size_t i = 0; home != NULL && i < count && !homed; i++)
		homed = strcmp(nodes[i].data_centre, home) == 0;
	if (!homed)
		home = NULL;
	while (choice.count < choice.limit) {
		node = best(nodes, count, key, home, &choice, distinct);
		if (node == NULL && !distinct)
			break;
		if (node == NULL)
			distinct = false;
		else
			choice.picked[choice.count++] = node;
	}
	for (size_t i = 0; i < choice.count; i++)
		node_ids[i] = choice.picked[i]->node_id;
	return choice.count;
}
