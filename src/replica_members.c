#define G_LOG_DOMAIN "replica"

#include "replica_internal.h"

#include <glib.h>

#include "clock.h"
#include "log.h"

/* A learner has caught up when it lags behind the leader by at most this many entries. */
#define CAUGHT_UP_LAG_MAX 16
/* A silent voter is removed after replace_ms, a silent learner after this many times as long,
 * because the learner is useful if it returns and costs little until then. */
#define LEARNER_REMOVE_FACTOR 4

static known_peer_t *find_known_peer(replica_t *replica, uint32_t node)
{
	for (size_t i = 0; i < replica->known_peer_count; i++) {
		if (replica->known_peers[i].id.node == node)
			return &replica->known_peers[i];
	}
	return NULL;
}

void replica_peer_up(replica_t *replica, uint32_t node_id, uint64_t peer_replica_id, bool has_disk)
{
	known_peer_t *known = find_known_peer(replica, node_id);

	if (node_id == replica->self.node || peer_replica_id == 0)
		return;
	if (known == NULL) {
		if (replica->known_peer_count == RAFT_MEMBERS_MAX)
			return;
		known = &replica->known_peers[replica->known_peer_count++];
	}
	*known = (known_peer_t){
		.id = {node_id, peer_replica_id}, .has_disk = has_disk, .up_us = clock_now_us()};
}

/* Updates the replica ids in known_peers from a configuration that arrived after the nodes came up.
 * An earlier leader may have seen a newer id of a node than this process has; if this process then
 * became leader, it would replace the newer id by its older one. */
static void adopt_newer_config(replica_t *replica)
{
	const raft_config_t *config = raft_config(replica->raft);
	uint64_t index = raft_config_index(replica->raft);

	if (index == replica->config_seen_index)
		return;
	replica->config_seen_index = index;
	if (raft_role(replica->raft) == RAFT_LEADER)
		return;
	for (size_t i = 0; i < config->count; i++) {
		known_peer_t *known = find_known_peer(replica, config->members[i].id.node);

		if (known != NULL)
			known->id = config->members[i].id;
	}
}

static size_t count_voters(const replica_t *replica)
{
	const raft_config_t *config = raft_config(replica->raft);
	size_t voters = 0;

	for (size_t i = 0; i < config->count; i++)
		voters += config->members[i].voter;
	return voters;
}

/* True when the node may become a voter. If voter_target is set, any node may while there are fewer
 * voters than that; otherwise only the founding voters may. The caller must check that the node has
 * a disk. */
static bool may_become_voter(const replica_t *replica, uint32_t node)
{
	if (replica->config.voter_target > 0)
		return count_voters(replica) < replica->config.voter_target;
	for (size_t i = 0; i < replica->config.founding_voter_count; i++) {
		if (replica->founding_voters[i] == node)
			return true;
	}
	return false;
}

static bool has_caught_up(const replica_t *replica, raft_id_t id, uint64_t now_us)
{
	raft_peer_info_t info;

	return raft_peer_info(replica->raft, id, &info) == 0 && info.match_index > 0 &&
	       info.match_index + CAUGHT_UP_LAG_MAX >= raft_last_index(replica->raft) &&
	       now_us < info.last_reply_us + replica->config.election_min_ms * US_PER_MS;
}

static bool is_silent(const replica_t *replica, raft_id_t id, uint64_t now_us, uint32_t limit_ms)
{
	raft_peer_info_t info;
	uint64_t latest_us = replica->leader_since_us;

	if (raft_id_equal(id, replica->self) || raft_peer_info(replica->raft, id, &info) != 0)
		return false;
	latest_us = MAX(latest_us, info.last_reply_us);
	/* A member that was added recently may not have replied yet, so its silence is counted from
	 * the time when it came up. */
	for (size_t i = 0; i < replica->known_peer_count; i++) {
		if (raft_id_equal(replica->known_peers[i].id, id))
			latest_us = MAX(latest_us, replica->known_peers[i].up_us);
	}
	return now_us > latest_us + limit_ms * US_PER_MS;
}

static bool has_caught_up_learner(const replica_t *replica, uint64_t now_us)
{
	const raft_config_t *config = raft_config(replica->raft);

	for (size_t i = 0; i < config->count; i++) {
		const raft_member_t *member = &config->members[i];
		const known_peer_t *known = NULL;

		for (size_t j = 0; j < replica->known_peer_count; j++) {
			if (raft_id_equal(replica->known_peers[j].id, member->id))
				known = &replica->known_peers[j];
		}
		if (!member->voter && known != NULL && known->has_disk &&
		    has_caught_up(replica, member->id, now_us))
			return true;
	}
	return false;
}

static void log_member_change(const char *what, raft_id_t id)
{
	char node[16];
	char replica[24];

	g_snprintf(node, sizeof(node), "%u", id.node);
	g_snprintf(replica, sizeof(replica), "%" G_GUINT64_FORMAT, id.replica);
	log_event(G_LOG_LEVEL_MESSAGE, LOG_FIELDS("member", node, "replica", replica), "%s", what);
}

/* Removes at most one silent member per call: a voter if a learner that has caught up can replace
 * it, or a learner that has been silent for long. Otherwise decommissioned machines would fill the
 * configuration. */
static void remove_silent_member(replica_t *replica, uint64_t now_us)
{
	const raft_config_t *config = raft_config(replica->raft);

	for (size_t i = 0; i < config->count; i++) {
		raft_member_t member = config->members[i];
		uint32_t limit_ms =
			replica->config.replace_ms * (member.voter ? 1 : LEARNER_REMOVE_FACTOR);

		if (!is_silent(replica, member.id, now_us, limit_ms) ||
		    (member.voter && !has_caught_up_learner(replica, now_us)))
			continue;
		if (raft_change_member(replica->raft, RAFT_REMOVE, member.id) != 0)
			continue;
		log_member_change("silent member removed", member.id);
		for (size_t j = 0; j < replica->known_peer_count; j++) {
			if (raft_id_equal(replica->known_peers[j].id, member.id))
				replica->known_peers[j--] =
					replica->known_peers[--replica->known_peer_count];
		}
		replica_schedule_flush(replica);
		return;
	}
}

void replica_members_tick(replica_t *replica, uint64_t now_us)
{
	const raft_member_t *self;

	adopt_newer_config(replica);
	if (raft_role(replica->raft) != RAFT_LEADER) {
		replica->leader_since_us = 0;
		return;
	}
	if (replica->leader_since_us == 0)
		replica->leader_since_us = now_us;
	if (replica->config.voter_target > 0)
		remove_silent_member(replica, now_us);
	for (size_t i = 0; i < replica->known_peer_count; i++) {
		const known_peer_t *known = &replica->known_peers[i];
		const raft_member_t *member =
			raft_config_find(raft_config(replica->raft), known->id);

		if (member == NULL &&
		    raft_change_member(replica->raft, RAFT_ADD_LEARNER, known->id) == 0)
			log_member_change("member added as learner", known->id);
		else if (member != NULL && !member->voter && known->has_disk &&
			 may_become_voter(replica, known->id.node) &&
			 has_caught_up(replica, known->id, now_us) &&
			 raft_change_member(replica->raft, RAFT_PROMOTE, known->id) == 0)
			log_member_change("learner promoted to voter", known->id);
		else
			continue;
		replica_schedule_flush(replica);
	}
	/* A learner that has been elected leader has a disk, so it may promote itself. */
	self = raft_config_find(raft_config(replica->raft), replica->self);
	if (self != NULL && !self->voter && may_become_voter(replica, replica->self.node) &&
	    raft_change_member(replica->raft, RAFT_PROMOTE, self->id) == 0)
		replica_schedule_flush(replica);
}
