#define G_LOG_DOMAIN "admin"

#include "admin.h"

#include <string.h>

#include "budget.h"
#include "clock.h"
#include "controller.h"
#include "json_reply.h"

/** Calls fn for every pool of every organisation. */
static void for_each_pool(const node_t *node,
			  void (*fn)(const node_t *, const fleet_pool_t *, json_t *), json_t *list)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;

	TAILQ_FOREACH (org, &node->fleet.orgs, link) {
		TAILQ_FOREACH (pool, &org->pools, link)
			fn(node, pool, list);
	}
}

/**
 * Returns the state of a pool's availability guarantee: "broken" when fewer VMs are usable than the
 * template requires, "at-risk" when the usable VMs beyond that number are fewer than the reserve,
 * otherwise "kept".
 */
static const char *availability_state(const budget_t *budget)
{
	if (budget->usable < budget->keep)
		return "broken";
	if (budget->usable < budget->keep + budget->reserve)
		return "at-risk";
	return "kept";
}

static void append_pool(const node_t *node, const fleet_pool_t *pool, json_t *list)
{
	budget_t budget = budget_of(pool, &node->health, clock_now_us());

	json_array_append_new(
		list, json_pack("{s:s, s:s, s:s, s:b, s:i, s:i, s:i, s:i, s:i, s:i, s:i}",
				"organisation", pool->org->name, "pool", pool->name, "promise",
				availability_state(&budget), "spare",
				pool->spec != NULL && pool->spec->spare, "vms", (int)budget.vms,
				"usable", (int)budget.usable, "out", (int)budget.out, "doubt",
				(int)budget.doubt, "keep", (int)budget.keep, "reserve",
				(int)budget.reserve, "free", (int)budget.free));
}

void admin_pools(node_t *node, http_request_t *request)
{
	json_t *list = json_array();

	for_each_pool(node, append_pool, list);
	json_reply(request, 200, json_pack("{s:o}", "pools", list));
}

static const char *health_name(health_state_t state)
{
	switch (state) {
	case HEALTH_SERVING:
		return "serving";
	case HEALTH_SUSPECT:
		return "doubt";
	case HEALTH_SILENT:
		return "silent";
	case HEALTH_NEVER_ANNOUNCED:
		return "never-announced";
	}
	return "";
}

static void append_vms(const node_t *node, const fleet_pool_t *pool, json_t *list)
{
	uint64_t now_us = clock_now_us();
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		json_t *entry = json_pack(
			"{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:I, s:s, s:s, s:s}",
			"vm", vm->id, "organisation", pool->org->name, "pool", pool->name,
			"data_centre", vm->data_centre, "rack", vm->rack, "address", vm->address,
			"phase", fleet_phase_name(vm->phase), "permit",
			fleet_permit_name(vm->permit), "epoch", (json_int_t)vm->epoch, "image",
			vm->image, "since_ms", (json_int_t)vm->since_ms, "reason", vm->reason,
			"health", health_name(health_state(&node->health, vm->id, now_us)),
			"to_pool", vm->to_pool == NULL ? "" : vm->to_pool->name);

		json_array_append_new(list, entry);
	}
}

void admin_vms(node_t *node, http_request_t *request)
{
	json_t *list = json_array();

	for_each_pool(node, append_vms, list);
	json_reply(request, 200, json_pack("{s:o}", "vms", list));
}

static json_t *waves_json(const node_t *node)
{
	const fleet_wave_t *wave;
	json_t *list = json_array();

	TAILQ_FOREACH (wave, &node->fleet.waves, link) {
		json_array_append_new(
			list,
			json_pack("{s:I, s:s, s:s, s:s, s:i, s:i, s:i, s:I, s:I, s:s}", "wave",
				  (json_int_t)wave->id, "organisation", wave->org->name, "image",
				  wave->image, "state", fleet_wave_state_name(wave->state), "batch",
				  (int)wave->batch, "done", (int)wave->done, "failures",
				  (int)wave->failures, "started_ms", (json_int_t)wave->started_ms,
				  "since_ms", (json_int_t)wave->since_ms, "reason", wave->reason));
	}
	return list;
}

void admin_waves(node_t *node, http_request_t *request)
{
	json_reply(request, 200, json_pack("{s:o}", "waves", waves_json(node)));
}

void admin_jobs(node_t *node, http_request_t *request)
{
	const char *state = http_request_param(request, "state");
	json_t *list = json_array();

	for (unsigned i = 0; i < FLEET_JOB_STATES; i++) {
		const fleet_job_t *job;

		if (state != NULL && strcmp(state, fleet_job_state_name(i)) != 0)
			continue;
		TAILQ_FOREACH (job, &node->fleet.jobs[i], link) {
			json_array_append_new(
				list,
				json_pack(
					"{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:I}", "job",
					job->spec->job, "organisation", job->spec->organisation,
					"pool", job->spec->pool, "kind", job->spec->kind, "state",
					fleet_job_state_name(job->state), "vm", job->vm, "attempt",
					(int)job->attempt, "reason", job->reason, "result",
					job->result, "since_ms", (json_int_t)job->since_ms));
		}
	}
	json_reply(request, 200, json_pack("{s:o}", "jobs", list));
}

/**
 * Returns the index of the last log entry that a member is known to have applied; 0 when the member
 * is neither this process nor a peer that it knows.
 */
static uint64_t member_applied_index(const node_t *node, uint32_t node_id)
{
	const peer_info_t *info;

	if (node_id == node->settings->node)
		return node->fleet.applied_index;
	info = peer_info(node->peers, node_id);
	return info == NULL ? 0 : info->applied_index;
}

/** Whether a member is this process itself or a peer that it is connected to. */
static bool member_up(const node_t *node, uint32_t node_id)
{
	const peer_info_t *info = peer_info(node->peers, node_id);

	return node_id == node->settings->node || (info != NULL && info->up);
}

static json_t *members_json(const node_t *node)
{
	const fleet_member_t *member;
	json_t *list = json_array();

	TAILQ_FOREACH (member, &node->fleet.members, link) {
		json_array_append_new(
			list, json_pack("{s:i, s:s, s:s, s:b, s:b, s:I, s:b, s:b}", "node",
					(int)member->node_id, "data_centre", member->data_centre,
					"http", member->http_address, "disk", member->disk, "up",
					member_up(node, member->node_id), "applied",
					(json_int_t)member_applied_index(node, member->node_id),
					"leader", replica_leader(node->replica) == member->node_id,
					"recorded_up", member->up));
	}
	return list;
}

/**
 * Lists the organisations. Each entry names the members that have applied its latest template
 * revision and those that have not.
 */
static json_t *organisations_json(const node_t *node)
{
	const fleet_org_t *org;
	json_t *list = json_array();

	TAILQ_FOREACH (org, &node->fleet.orgs, link) {
		const fleet_member_t *member;
		json_t *in_force = json_array();
		json_t *behind = json_array();

		TAILQ_FOREACH (member, &node->fleet.members, link) {
			bool applied = member_applied_index(node, member->node_id) >= org->index;

			json_array_append_new(applied ? in_force : behind,
					      json_integer(member->node_id));
		}
		json_array_append_new(list, json_pack("{s:s, s:I, s:s, s:s, s:I, s:o, s:o}",
						      "organisation", org->name, "revision",
						      (json_int_t)org->revision, "author",
						      org->author == NULL ? "" : org->author,
						      "note", org->note == NULL ? "" : org->note,
						      "time_ms", (json_int_t)org->time_ms,
						      "in_force", in_force, "behind", behind));
	}
	return list;
}

void admin_status(node_t *node, http_request_t *request)
{
	json_t *pools = json_array();
	const char *platform_error = controller_platform_error(node->controller);

	for_each_pool(node, append_pool, pools);
	json_reply(request, 200,
		   json_pack("{s:s, s:i, s:s, s:i, s:I, s:I, s:b, s:b, s:s, s:o, s:o, s:o, s:o}",
			     "cluster", node->settings->cluster, "node", (int)node->settings->node,
			     "data_centre", node->settings->data_centre, "leader",
			     (int)replica_leader(node->replica), "applied",
			     (json_int_t)node->fleet.applied_index, "committed",
			     (json_int_t)replica_committed(node->replica), "in_contact",
			     replica_has_leader_contact(node->replica, clock_now_us()),
			     "disk_failed", replica_disk_failed(node->replica), "platform_error",
			     platform_error == NULL ? "" : platform_error, "pools", pools, "waves",
			     waves_json(node), "organisations", organisations_json(node), "members",
			     members_json(node)));
}
