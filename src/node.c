#include "node.h"

#include <string.h>

#include "clock.h"

void node_propose(node_t *node, Lp__Command *command, replica_done_fn done, void *arg)
{
	command->time_ms = clock_wall_ms();
	replica_propose(node->replica, command, NODE_PROPOSE_TIMEOUT_MS, done, arg);
}

void node_each_member(const node_t *node, const char *data_centre,
		      void (*fn)(void *arg, const fleet_member_t *member), void *arg)
{
	const fleet_member_t *member;

	TAILQ_FOREACH (member, &node->fleet.members, link) {
		if (strcmp(member->data_centre, data_centre) == 0)
			fn(arg, member);
	}
}
