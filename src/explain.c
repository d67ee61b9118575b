#define G_LOG_DOMAIN "explain"

#include <stdlib.h>
#include <string.h>

#include "admin.h"
#include "budget.h"
#include "clock.h"
#include "json_reply.h"
#include "verdict.h"

/* GET /v1/explain describes a VM, pool, maintenance wave, job or request to an operator: its state,
 * since when and why, what it waits for, what happens next, and the template revision in force with
 * its author and note. The texts assume that the operator knows no more than the revision notes. */

/** Adds to a reply the name of the organisation, and the revision, author and note of its template
 * in force. */
static void add_revision(json_t *reply, const fleet_org_t *org)
{
	json_object_set_new(reply, "organisation", json_string(org->name));
	json_object_set_new(reply, "revision", json_integer((json_int_t)org->revision));
	json_object_set_new(reply, "author", json_string(org->author == NULL ? "" : org->author));
	json_object_set_new(reply, "note", json_string(org->note == NULL ? "" : org->note));
}

/**
 * Lists the node ids of the entry processes in a data centre that have not yet applied the log
 * entry with the given index. The caller frees the text with g_free().
 */
static char *list_processes_behind(const node_t *node, const char *data_centre, uint64_t index)
{
	GString *text = g_string_new(NULL);
	const fleet_member_t *member;

	TAILQ_FOREACH (member, &node->fleet.members, link) {
		const peer_info_t *info = peer_info(node->peers, member->node_id);
		uint64_t applied = member->node_id == node->settings->node
					   ? node->fleet.applied_index
				   : info == NULL ? 0
						  : info->applied_index;

		if (strcmp(member->data_centre, data_centre) == 0 && applied < index)
			g_string_append_printf(text, "%s%u", text->len == 0 ? "" : ", ",
					       member->node_id);
	}
	return g_string_free(text, FALSE);
}

/** Describes what a cordoned VM waits for before its next phase. The caller frees the text with
 * g_free(). */
static char *describe_cordon_wait(const node_t *node, const fleet_vm_t *vm)
{
	const health_entry_t *entry = health_find(&node->health, vm->id);
	char *behind = list_processes_behind(node, vm->data_centre, vm->since_index);
	char *text;

	if (behind[0] != '\0')
		text = g_strdup_printf(
			"entry processes %s to stop sending, or the target's echo of "
			"epoch %" G_GUINT64_FORMAT " and its routing lease",
			behind, vm->epoch);
	else if (entry != NULL && entry->in_flight > 0)
		text = g_strdup_printf("%u requests in flight to finish", entry->in_flight);
	else
		text = g_strdup("the next planner run");
	g_free(behind);
	return text;
}

/** Describes what a VM waits for before its next phase; "" for an active VM. The caller frees the
 * text with g_free(). */
static char *describe_vm_wait(const node_t *node, const fleet_vm_t *vm)
{
	switch (vm->phase) {
	case LP__VM_PHASE__VM_JOINING:
		return g_strdup("its first announcement");
	case LP__VM_PHASE__VM_ACTIVE:
		return g_strdup("");
	case LP__VM_PHASE__VM_CORDONED:
		return describe_cordon_wait(node, vm);
	case LP__VM_PHASE__VM_DRAINING:
		return g_strdup("the platform to report the VM drained");
	case LP__VM_PHASE__VM_OUT:
		return g_strdup("the platform to report the reboot complete, and an announcement");
	case LP__VM_PHASE__VM_RETURNING:
		return g_strdup("the end of the probation");
	case LP__VM_PHASE__VM_QUARANTINED:
		return g_strdup("10 minutes to pass while it announces itself, or a repair");
	case LP__VM_PHASE__VM_LOST:
		return g_strdup("an announcement");
	case _LP__VM_PHASE_IS_INT_SIZE:
		break;
	}
	return g_strdup("");
}

/** Describes what happens to a VM after its current phase. */
static const char *describe_vm_next(const fleet_vm_t *vm)
{
	bool move = vm->permit == LP__PERMIT_KIND__PERMIT_MOVE;

	switch (vm->phase) {
	case LP__VM_PHASE__VM_JOINING:
		return "active";
	case LP__VM_PHASE__VM_ACTIVE:
		return "serves until a wave or a move takes it";
	case LP__VM_PHASE__VM_CORDONED:
		return move ? "joins the other pool" : "draining by the platform";
	case LP__VM_PHASE__VM_DRAINING:
		return "reboot";
	case LP__VM_PHASE__VM_OUT:
		return "returning, on probation";
	case LP__VM_PHASE__VM_RETURNING:
		return vm->permit == LP__PERMIT_KIND__PERMIT_NONE
			       ? "active"
			       : "active; the permit is given back";
	case LP__VM_PHASE__VM_QUARANTINED:
		return "returning, on probation; a VM that fails again is quarantined again";
	case LP__VM_PHASE__VM_LOST:
		return "returning when it announces itself; a spare VM replaces it meanwhile";
	case _LP__VM_PHASE_IS_INT_SIZE:
		break;
	}
	return "";
}

static json_t *explain_vm(const node_t *node, const char *id)
{
	const fleet_vm_t *vm = fleet_vm_find(&node->fleet, id);
	char *waits_for;
	json_t *reply;

	if (vm == NULL)
		return NULL;
	waits_for = describe_vm_wait(node, vm);
	reply = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:s, s:s, s:I, s:s}", "kind", "vm",
			  "id", vm->id, "state", fleet_phase_name(vm->phase), "pool",
			  vm->pool->name, "permit", fleet_permit_name(vm->permit), "since_ms",
			  (json_int_t)vm->since_ms, "why", vm->reason, "waits_for", waits_for,
			  "next", describe_vm_next(vm), "wave", (json_int_t)vm->wave, "to_pool",
			  vm->to_pool == NULL ? "" : vm->to_pool->name);
	g_free(waits_for);
	add_revision(reply, vm->pool->org);
	return reply;
}

/**
 * Lists the unavailable VMs of a pool, each with its phase and the reason. The caller frees the
 * text with g_free().
 */
static char *list_unavailable_vms(const node_t *node, const fleet_pool_t *pool)
{
	GString *text = g_string_new(NULL);
	uint64_t now_us = clock_now_us();
	const fleet_vm_t *vm;

	TAILQ_FOREACH (vm, &pool->vms, pool_link) {
		bool active = vm->phase == LP__VM_PHASE__VM_ACTIVE;

		if (active && health_state(&node->health, vm->id, now_us) == HEALTH_SERVING)
			continue;
		g_string_append_printf(text, "%s%s (%s: %s)", text->len == 0 ? "" : "; ", vm->id,
				       active ? "in doubt" : fleet_phase_name(vm->phase),
				       vm->reason);
	}
	return g_string_free(text, FALSE);
}

static json_t *explain_pool(const node_t *node, const char *id)
{
	char **parts = g_strsplit(id, "/", 2);
	const fleet_org_t *org = parts[0] == NULL ? NULL : fleet_org_find(&node->fleet, parts[0]);
	const fleet_pool_t *pool =
		org == NULL || parts[1] == NULL ? NULL : fleet_pool_find(org, parts[1]);
	json_t *reply = NULL;
	char *unavailable;
	char *why;
	budget_t budget;

	if (pool == NULL)
		goto out;
	budget = budget_of(pool, &node->health, clock_now_us());
	unavailable = list_unavailable_vms(node, pool);
	why = g_strdup_printf("%u of %u VMs usable; the template keeps %u and reserves %u; "
			      "%u may be taken now",
			      budget.usable, budget.vms, budget.keep, budget.reserve, budget.free);
	reply = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "kind", "pool", "id", id, "state",
			  budget.usable < budget.keep			 ? "broken"
			  : budget.usable < budget.keep + budget.reserve ? "at-risk"
									 : "kept",
			  "why", why, "waits_for", unavailable, "next",
			  budget.free > 0 ? "moves and maintenance may take VMs"
					  : "no move or maintenance until a VM returns");
	g_free(unavailable);
	g_free(why);
	add_revision(reply, org);
out:
	g_strfreev(parts);
	return reply;
}

static json_t *explain_wave(const node_t *node, const char *id)
{
	const fleet_wave_t *wave = fleet_wave_find(&node->fleet, strtoull(id, NULL, 10));
	const char *next = "";
	json_t *reply;

	if (wave == NULL)
		return NULL;
	switch (wave->state) {
	case LP__WAVE_STATE__WAVE_RUNNING:
		next = "the next batch as budgets and windows allow";
		break;
	case LP__WAVE_STATE__WAVE_PAUSED:
		next = "goes on when the cause is gone";
		break;
	case LP__WAVE_STATE__WAVE_STOPPED:
		next = "stays stopped; to resume it, apply the template with paused: true and then "
		       "with paused: false; another image starts another wave";
		break;
	case LP__WAVE_STATE__WAVE_DONE:
	case _LP__WAVE_STATE_IS_INT_SIZE:
		break;
	}
	reply = json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:i, s:i}", "kind", "wave", "id", id,
			  "state", fleet_wave_state_name(wave->state), "why", wave->reason,
			  "since_ms", (json_int_t)wave->since_ms, "next", next, "done",
			  (int)wave->done, "failures", (int)wave->failures, "batch",
			  (int)wave->batch);
	add_revision(reply, wave->org);
	return reply;
}

static json_t *explain_job(const node_t *node, const char *id)
{
	const fleet_job_t *job = fleet_job_find(&node->fleet, id);
	const fleet_org_t *org;
	json_t *reply;

	if (job == NULL)
		return NULL;
	reply = json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:i, s:s}", "kind", "job", "id", id,
			  "state", fleet_job_state_name(job->state), "why", job->reason, "since_ms",
			  (json_int_t)job->since_ms, "vm", job->vm, "attempt", (int)job->attempt,
			  "result", job->result);
	org = fleet_org_find(&node->fleet, job->spec->organisation);
	if (org != NULL)
		add_revision(reply, org);
	return reply;
}

static json_t *explain_request(node_t *node, const char *id)
{
	request_log_entry_t entry;

	if (!request_log_find(&node->requests, id, &entry))
		return NULL;
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "kind", "request",
			 "id", id, "state", verdict_name(entry.outcome), "why",
			 entry.reason[0] != '\0' ? entry.reason : "a target's answer",
			 "organisation", entry.organisation, "service", entry.service, "class",
			 entry.class_name, "status", (json_int_t)entry.status, "since_ms",
			 (json_int_t)entry.replied_wall_ms, "took_us",
			 (json_int_t)entry.duration_us);
}

void admin_explain(node_t *node, http_request_t *request)
{
	const char *kind = http_request_param(request, "kind");
	const char *id = http_request_param(request, "id");
	json_t *reply = NULL;

	if (kind == NULL || id == NULL) {
		json_reply_error(request, 400, "kind and id are required");
		return;
	}
	if (strcmp(kind, "vm") == 0)
		reply = explain_vm(node, id);
	else if (strcmp(kind, "pool") == 0)
		reply = explain_pool(node, id);
	else if (strcmp(kind, "wave") == 0)
		reply = explain_wave(node, id);
	else if (strcmp(kind, "job") == 0)
		reply = explain_job(node, id);
	else if (strcmp(kind, "request") == 0)
		reply = explain_request(node, id);
	else {
		json_reply_error(request, 400, "kind has to be vm, pool, wave, job or request");
		return;
	}
	if (reply == NULL)
		json_reply_error(request, 404,
				 strcmp(kind, "request") == 0
					 ? "not among the latest requests of this process; ask the "
					   "entry process that answered it"
					 : "not found");
	else
		json_reply(request, 200, reply);
}
