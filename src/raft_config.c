#include <string.h>

#include <talloc.h>

#include "raft_internal.h"

bool raft_id_equal(raft_id_t a, raft_id_t b)
{
	return a.node == b.node && a.replica == b.replica;
}

const raft_member_t *raft_config_find(const raft_config_t *config, raft_id_t id)
{
	for (size_t i = 0; i < config->count; i++) {
		if (raft_id_equal(config->members[i].id, id))
			return &config->members[i];
	}
	return NULL;
}

static bool add_members(raft_config_t *config, Lp__ReplicaId *const *ids, size_t count, bool voter)
{
	if (count > RAFT_MEMBERS_MAX - config->count)
		return false;
	for (size_t i = 0; i < count; i++) {
		config->members[config->count++] = (raft_member_t){
			.id = {.node = ids[i]->node_id, .replica = ids[i]->replica_id},
			.voter = voter,
		};
	}
	return true;
}

bool raft_config_from_message(raft_config_t *config, const Lp__RaftConfig *message)
{
	*config = (raft_config_t){0};
	return message != NULL && add_members(config, message->voters, message->n_voters, true) &&
	       add_members(config, message->learners, message->n_learners, false);
}

Lp__RaftConfig *raft_config_to_message(void *parent, const raft_config_t *config)
{
	Lp__RaftConfig *message = talloc(parent, Lp__RaftConfig);

	lp__raft_config__init(message);
	message->voters = talloc_array(message, Lp__ReplicaId *, RAFT_MEMBERS_MAX);
	message->learners = talloc_array(message, Lp__ReplicaId *, RAFT_MEMBERS_MAX);
	for (size_t i = 0; i < config->count; i++) {
		const raft_member_t *member = &config->members[i];
		Lp__ReplicaId *id = talloc(message, Lp__ReplicaId);

		lp__replica_id__init(id);
		id->node_id = member->id.node;
		id->replica_id = member->id.replica;
		if (member->voter)
			message->voters[message->n_voters++] = id;
		else
			message->learners[message->n_learners++] = id;
	}
	return message;
}

uint8_t *raft_config_pack(void *parent, const raft_config_t *config, size_t *length)
{
	Lp__RaftConfig *message = raft_config_to_message(parent, config);
	uint8_t *data;

	*length = lp__raft_config__get_packed_size(message);
	data = talloc_array(parent, uint8_t, *length + 1);
	lp__raft_config__pack(message, data);
	talloc_free(message);
	return data;
}

int raft_config_unpack(raft_config_t *config, const uint8_t *data, size_t length)
{
	Lp__RaftConfig *message = lp__raft_config__unpack(NULL, length, data);
	bool ok;

	if (message == NULL)
		return -1;
	ok = raft_config_from_message(config, message);
	lp__raft_config__free_unpacked(message, NULL);
	return ok ? 0 : -1;
}
