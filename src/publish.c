#define G_LOG_DOMAIN "publish"

#include "publish.h"

#include <string.h>

#include "clock.h"
#include "controller.h"
#include "job_runner.h"
#include "log.h"

static void publish_vm(node_t *node, const fleet_vm_t *vm)
{
	const route_target_t target = {
		.vm = vm->id,
		.organisation = vm->pool->org->name,
		.pool = vm->pool->name,
		.data_centre = vm->data_centre,
		.address = vm->address,
		.epoch = vm->epoch,
		.routable = fleet_vm_routable(vm),
		.slots = vm->slots,
		.connections = vm->connections,
	};

	/* An entry process routes only to targets in its own data centre. */
	if (strcmp(vm->data_centre, node->settings->data_centre) == 0)
		route_table_set_target(node->routes, &target);
	else
		route_table_remove_target(node->routes, vm->id);
}

static void publish_vm_by_id(node_t *node, const char *id)
{
	const fleet_vm_t *vm = fleet_vm_find(&node->fleet, id);

	if (vm != NULL)
		publish_vm(node, vm);
}

static void publish_org(node_t *node, const char *name)
{
	const fleet_org_t *org = fleet_org_find(&node->fleet, name);

	if (org != NULL && org->template != NULL)
		route_table_set_template(node->routes, org->template);
}

static void publish_slot_share(node_t *node)
{
	const fleet_member_t *member;
	unsigned count = 0;
	unsigned position = 0;
	bool is_member = false;

	TAILQ_FOREACH (member, &node->fleet.members, link) {
		if (strcmp(member->data_centre, node->settings->data_centre) != 0)
			continue;
		if (member->node_id == node->settings->node) {
			position = count++;
			is_member = true;
		} else if (member->up) {
			count++;
		}
	}
	if (is_member)
		route_table_set_share(node->routes, position, count);
}

static void publish_claim_members(node_t *node)
{
	GArray *members;
	const fleet_member_t *member;

	if (node->claims == NULL)
		return;
	members = g_array_new(FALSE, FALSE, sizeof(claims_member_t));
	TAILQ_FOREACH (member, &node->fleet.members, link) {
		claims_member_t entry = {
			.node_id = member->node_id,
			.data_centre = member->data_centre,
		};

		g_array_append_val(members, entry);
	}
	claims_set_members(node->claims, node->fleet.member_epoch,
			   (const claims_member_t *)(void *)members->data, members->len,
			   clock_now_us());
	g_array_unref(members);
}

static void publish_peers(node_t *node)
{
	route_peer_t *peers;
	size_t count = 0;

	/* The peer set does not exist yet while the replica replays its log at start. */
	if (node->peers == NULL)
		return;
	peers = g_new(route_peer_t, peer_count(node->peers));
	for (size_t i = 0; i < peer_count(node->peers); i++) {
		const peer_info_t *info = peer_info_at(node->peers, i);

		if (info->http_address == NULL || info->data_centre == NULL ||
		    strcmp(info->data_centre, node->settings->data_centre) == 0)
			continue;
		peers[count++] = (route_peer_t){
			.node_id = info->node_id,
			.data_centre = info->data_centre,
			.http_address = info->http_address,
			.up = info->up,
		};
	}
	route_table_set_peers(node->routes, peers, count);
	g_free(peers);
}

void publish_members(node_t *node)
{
	publish_slot_share(node);
	publish_claim_members(node);
	publish_peers(node);
}

void publish_all(node_t *node)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (org, &node->fleet.orgs, link) {
		publish_org(node, org->name);
		TAILQ_FOREACH (pool, &org->pools, link) {
			TAILQ_FOREACH (vm, &pool->vms, pool_link)
				publish_vm(node, vm);
		}
	}
	publish_members(node);
}

static void log_applied_template(const Lp__ApplyTemplate *apply, const Lp__Result *result)
{
	char revision[24];

	g_snprintf(revision, sizeof(revision), "%llu", (unsigned long long)result->revision);
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("organisation", apply->template_->organisation, "revision", revision,
			     "author", apply->author, "note", apply->note),
		  "template applied");
}

static void log_phase(const node_t *node, const char *id)
{
	const fleet_vm_t *vm = fleet_vm_find(&node->fleet, id);

	if (vm == NULL || !replica_is_leader(node->replica))
		return;
	log_event(G_LOG_LEVEL_MESSAGE,
		  LOG_FIELDS("vm", vm->id, "organisation", vm->pool->org->name, "pool",
			     vm->pool->name, "reason", vm->reason),
		  "VM is %s", fleet_phase_name(vm->phase));
}

static void publish_command(node_t *node, const Lp__Command *command, const Lp__Result *result)
{
	const char *vm = NULL;

	switch (command->body_case) {
	case LP__COMMAND__BODY_APPLY_TEMPLATE:
		publish_org(node, command->apply_template->template_->organisation);
		log_applied_template(command->apply_template, result);
		break;
	case LP__COMMAND__BODY_VM_REGISTER:
		vm = command->vm_register->vm;
		break;
	case LP__COMMAND__BODY_VM_CORDON:
		vm = command->vm_cordon->vm;
		break;
	case LP__COMMAND__BODY_VM_STEP:
		vm = command->vm_step->vm;
		break;
	case LP__COMMAND__BODY_VM_ASSIGN:
		vm = command->vm_assign->vm;
		break;
	case LP__COMMAND__BODY_MEMBER_UPDATE:
		publish_members(node);
		break;
	case LP__COMMAND__BODY_JOB_CANCEL:
		/* The job runner does not exist yet while the replica replays its log at start. */
		if (node->jobs != NULL)
			job_runner_handle_cancel(node->jobs, command->job_cancel);
		break;
	case LP__COMMAND__BODY_WAVE_UPDATE:
	case LP__COMMAND__BODY_JOB_SUBMIT:
	case LP__COMMAND__BODY_JOB_UPDATE:
	case LP__COMMAND__BODY_BATCH:
	case LP__COMMAND__BODY__NOT_SET:
	case _LP__COMMAND__BODY__CASE_IS_INT_SIZE:
		break;
	}
	if (vm != NULL) {
		publish_vm_by_id(node, vm);
		log_phase(node, vm);
	}
}

static void apply_command(void *arg, uint64_t index, const Lp__Command *command, Lp__Result *result)
{
	node_t *node = arg;

	fleet_apply(&node->fleet, index, command, result);
	if (result->code == LP__RESULT_CODE__RESULT_OK)
		publish_command(node, command, result);
}

static uint8_t *save_state(void *arg, size_t *length)
{
	const node_t *node = arg;

	return fleet_save(&node->fleet, length);
}

static int load_state(void *arg, const uint8_t *data, size_t length)
{
	node_t *node = arg;

	if (fleet_load(&node->fleet, data, length) != 0)
		return -1;
	/*
	 * The peer set does not exist yet while the replica loads its own snapshot at start;
	 * publish_all() is then called later.
	 */
	if (node->peers != NULL)
		publish_all(node);
	return 0;
}

static void on_changed(void *arg)
{
	node_t *node = arg;

	if (node->controller != NULL)
		controller_notify_change(node->controller);
}

replica_state_machine_t publish_state_machine(node_t *node)
{
	return (replica_state_machine_t){
		.apply = apply_command,
		.save = save_state,
		.load = load_state,
		.changed = on_changed,
		.arg = node,
	};
}
