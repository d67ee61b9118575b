#include <string.h>

#include "fleet_internal.h"
#include "message.h"

fleet_org_t *fleet_org_add(fleet_t *fleet, const char *name)
{
	fleet_org_t *org = g_new0(fleet_org_t, 1);

	org->name = g_strdup(name);
	org->author = g_strdup("");
	org->note = g_strdup("");
	TAILQ_INIT(&org->pools);
	TAILQ_INSERT_TAIL(&fleet->orgs, org, link);
	return org;
}

fleet_pool_t *fleet_pool_add(fleet_org_t *org, const char *name)
{
	fleet_pool_t *pool = g_new0(fleet_pool_t, 1);

	pool->name = g_strdup(name);
	pool->org = org;
	TAILQ_INIT(&pool->vms);
	TAILQ_INSERT_TAIL(&org->pools, pool, link);
	return pool;
}

static bool is_move_destination(const fleet_pool_t *pool)
{
	const fleet_pool_t *other;
	const fleet_vm_t *vm;

	TAILQ_FOREACH (other, &pool->org->pools, link) {
		TAILQ_FOREACH (vm, &other->vms, pool_link) {
			if (vm->to_pool == pool)
				return true;
		}
	}
	return false;
}

void fleet_pool_free_if_unused(fleet_pool_t *pool)
{
	if (pool->spec != NULL || !TAILQ_EMPTY(&pool->vms) || is_move_destination(pool))
		return;
	TAILQ_REMOVE(&pool->org->pools, pool, link);
	g_free(pool->name);
	g_free(pool);
}

/*
 * Changes the destination of moves into pools that were removed from the template to the spare
 * pool.
 */
static void redirect_moves(fleet_org_t *org)
{
	fleet_pool_t *spare = fleet_spare_pool(org);
	fleet_pool_t *pool;
	fleet_vm_t *vm;

	TAILQ_FOREACH (pool, &org->pools, link) {
		TAILQ_FOREACH (vm, &pool->vms, pool_link) {
			if (vm->to_pool != NULL && vm->to_pool->spec == NULL)
				vm->to_pool = spare;
		}
	}
}

void fleet_org_bind_pool_specs(fleet_org_t *org)
{
	fleet_pool_t *pool;
	fleet_pool_t *next;

	TAILQ_FOREACH (pool, &org->pools, link)
		pool->spec = NULL;
	for (size_t i = org->template->n_pools; i-- > 0;) {
		const Lp__PoolSpec *spec = org->template->pools[i];

		pool = fleet_pool_find(org, spec->name);
		if (pool == NULL)
			pool = fleet_pool_add(org, spec->name);
		pool->spec = spec;
		TAILQ_REMOVE(&org->pools, pool, link);
		TAILQ_INSERT_HEAD(&org->pools, pool, link);
	}
	redirect_moves(org);
	for (pool = TAILQ_FIRST(&org->pools); pool != NULL; pool = next) {
		next = TAILQ_NEXT(pool, link);
		fleet_pool_free_if_unused(pool);
	}
}

fleet_vm_t *fleet_vm_add(fleet_t *fleet, fleet_pool_t *pool, const char *id)
{
	fleet_vm_t *vm = g_new0(fleet_vm_t, 1);

	vm->id = g_strdup(id);
	vm->reason = g_strdup("");
	vm->epoch = 1;
	vm->phase = LP__VM_PHASE__VM_JOINING;
	vm->permit = LP__PERMIT_KIND__PERMIT_NONE;
	vm->pool = pool;
	TAILQ_INSERT_TAIL(&pool->vms, vm, pool_link);
	pool->vm_count++;
	g_hash_table_insert(fleet->vm_by_id, vm->id, vm);
	return vm;
}

void fleet_vm_change_pool(fleet_vm_t *vm, fleet_pool_t *pool)
{
	fleet_pool_t *old_pool = vm->pool;

	TAILQ_REMOVE(&old_pool->vms, vm, pool_link);
	old_pool->vm_count--;
	vm->pool = pool;
	TAILQ_INSERT_TAIL(&pool->vms, vm, pool_link);
	pool->vm_count++;
	fleet_pool_free_if_unused(old_pool);
}

void fleet_vm_set_registration(fleet_vm_t *vm, const Lp__VmRegister *reg)
{
	fleet_replace_string(&vm->data_centre, reg->data_centre);
	fleet_replace_string(&vm->rack, reg->rack);
	fleet_replace_string(&vm->address, reg->address);
	fleet_replace_string(&vm->image, reg->image);
	vm->cores = reg->cores;
	vm->mem_mib = reg->mem_mib;
	vm->accelerators = reg->accelerators;
	vm->slots = reg->slots;
	vm->connections = reg->connections;
}

fleet_job_t *fleet_job_add(fleet_t *fleet, const Lp__JobSpec *spec, Lp__JobState state)
{
	fleet_job_t *job = g_new0(fleet_job_t, 1);

	job->spec = message_copy(&spec->base);
	job->state = state;
	job->vm = g_strdup("");
	job->reason = g_strdup("");
	job->result = g_strdup("");
	job->failed_on = g_ptr_array_new_with_free_func(g_free);
	TAILQ_INSERT_TAIL(&fleet->jobs[state], job, link);
	g_hash_table_insert(fleet->job_by_id, job->spec->job, job);
	return job;
}

fleet_member_t *fleet_member_add(fleet_t *fleet, uint32_t node_id)
{
	fleet_member_t *member = g_new0(fleet_member_t, 1);
	fleet_member_t *other;

	member->node_id = node_id;
	TAILQ_FOREACH (other, &fleet->members, link) {
		if (other->node_id > node_id)
			break;
	}
	if (other != NULL)
		TAILQ_INSERT_BEFORE(other, member, link);
	else
		TAILQ_INSERT_TAIL(&fleet->members, member, link);
	return member;
}

void fleet_member_update(fleet_member_t *member, const Lp__Member *from)
{
	member->replica_id = from->replica_id;
	fleet_replace_string(&member->data_centre, from->data_centre);
	fleet_replace_string(&member->peer_address, from->peer_address);
	fleet_replace_string(&member->http_address, from->http_address);
	member->disk = from->disk;
	member->up = from->up;
}

void fleet_op_outcome_add(fleet_t *fleet, Lp__OpOutcome *outcome)
{
	g_queue_push_tail(&fleet->op_outcomes, outcome);
	g_hash_table_insert(fleet->outcome_by_op_id, outcome->op_id, outcome);
	while (g_queue_get_length(&fleet->op_outcomes) > FLEET_OP_OUTCOME_LIMIT) {
		Lp__OpOutcome *oldest = g_queue_pop_head(&fleet->op_outcomes);

		g_hash_table_remove(fleet->outcome_by_op_id, oldest->op_id);
		lp__op_outcome__free_unpacked(oldest, NULL);
	}
}

void fleet_audit_record_add(fleet_t *fleet, Lp__AuditRecord *record)
{
	g_queue_push_tail(&fleet->audit, record);
	while (g_queue_get_length(&fleet->audit) > FLEET_AUDIT_RECORD_LIMIT)
		lp__audit_record__free_unpacked(g_queue_pop_head(&fleet->audit), NULL);
}
