#include "fleet.h"

#include <string.h>

#include "fleet_internal.h"

void fleet_replace_string(char **field, const char *value)
{
	char *copy = g_strdup(value != NULL ? value : "");

	g_free(*field);
	*field = copy;
}

void fleet_init(fleet_t *fleet)
{
	memset(fleet, 0, sizeof(*fleet));
	TAILQ_INIT(&fleet->orgs);
	TAILQ_INIT(&fleet->waves);
	for (int i = 0; i < FLEET_JOB_STATES; i++)
		TAILQ_INIT(&fleet->jobs[i]);
	TAILQ_INIT(&fleet->members);
	fleet->next_wave = 1;
	fleet->vm_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->outcome_by_op_id = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&fleet->op_outcomes);
	g_queue_init(&fleet->audit);
}

static void vm_free(fleet_vm_t *vm)
{
	g_free(vm->id);
	g_free(vm->data_centre);
	g_free(vm->rack);
	g_free(vm->address);
	g_free(vm->image);
	g_free(vm->reason);
	g_free(vm);
}

static void pool_free(fleet_pool_t *pool)
{
	fleet_vm_t *vm = TAILQ_FIRST(&pool->vms);

	while (vm != NULL) {
		fleet_vm_t *next = TAILQ_NEXT(vm, pool_link);

		vm_free(vm);
		vm = next;
	}
	g_free(pool->name);
	g_free(pool);
}

static void org_free(fleet_org_t *org)
{
	fleet_pool_t *pool = TAILQ_FIRST(&org->pools);

	while (pool != NULL) {
		fleet_pool_t *next = TAILQ_NEXT(pool, link);

		pool_free(pool);
		pool = next;
	}
	lp__template__free_unpacked(org->template, NULL);
	g_free(org->name);
	g_free(org->author);
	g_free(org->note);
	g_free(org);
}

void fleet_wave_free(fleet_wave_t *wave)
{
	g_free(wave->image);
	g_free(wave->reason);
	g_free(wave);
}

void fleet_job_free(fleet_job_t *job)
{
	lp__job_spec__free_unpacked(job->spec, NULL);
	g_free(job->vm);
	g_free(job->reason);
	g_free(job->result);
	g_ptr_array_unref(job->failed_on);
	g_free(job);
}

void fleet_member_free(fleet_member_t *member)
{
	g_free(member->data_centre);
	g_free(member->peer_address);
	g_free(member->http_address);
	g_free(member);
}

static void free_orgs_and_waves(fleet_t *fleet)
{
	fleet_org_t *org = TAILQ_FIRST(&fleet->orgs);
	fleet_wave_t *wave = TAILQ_FIRST(&fleet->waves);

	while (org != NULL) {
		fleet_org_t *next = TAILQ_NEXT(org, link);

		org_free(org);
		org = next;
	}
	while (wave != NULL) {
		fleet_wave_t *next = TAILQ_NEXT(wave, link);

		fleet_wave_free(wave);
		wave = next;
	}
}

static void free_jobs_and_members(fleet_t *fleet)
{
	fleet_member_t *member = TAILQ_FIRST(&fleet->members);

	for (int i = 0; i < FLEET_JOB_STATES; i++) {
		fleet_job_t *job = TAILQ_FIRST(&fleet->jobs[i]);

		while (job != NULL) {
			fleet_job_t *next = TAILQ_NEXT(job, link);

			fleet_job_free(job);
			job = next;
		}
	}
	while (member != NULL) {
		fleet_member_t *next = TAILQ_NEXT(member, link);

		fleet_member_free(member);
		member = next;
	}
}

static void op_free(void *op)
{
	lp__op_outcome__free_unpacked(op, NULL);
}

static void audit_free(void *record)
{
	lp__audit_record__free_unpacked(record, NULL);
}

void fleet_finish(fleet_t *fleet)
{
	g_hash_table_unref(fleet->vm_by_id);
	g_hash_table_unref(fleet->job_by_id);
	g_hash_table_unref(fleet->outcome_by_op_id);
	free_jobs_and_members(fleet);
	free_orgs_and_waves(fleet);
	g_queue_clear_full(&fleet->op_outcomes, op_free);
	g_queue_clear_full(&fleet->audit, audit_free);
	g_free(fleet->message);
}

fleet_vm_t *fleet_vm_find(const fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->vm_by_id, id);
}

fleet_org_t *fleet_org_find(const fleet_t *fleet, const char *name)
{
	fleet_org_t *org;

	TAILQ_FOREACH (org, &fleet->orgs, link) {
		if (strcmp(org->name, name) == 0)
			return org;
	}
	return NULL;
}

fleet_pool_t *fleet_pool_find(const fleet_org_t *org, const char *name)
{
	fleet_pool_t *pool;

	TAILQ_FOREACH (pool, &org->pools, link) {
		if (strcmp(pool->name, name) == 0)
			return pool;
	}
	return NULL;
}

fleet_pool_t *fleet_spare_pool(const fleet_org_t *org)
{
	fleet_pool_t *pool;

	TAILQ_FOREACH (pool, &org->pools, link) {
		if (pool->spec != NULL && pool->spec->spare)
			return pool;
	}
	return NULL;
}

fleet_job_t *fleet_job_find(const fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->job_by_id, id);
}

fleet_member_t *fleet_member_find(const fleet_t *fleet, uint32_t node_id)
{
	fleet_member_t *member;

	TAILQ_FOREACH (member, &fleet->members, link) {
		if (member->node_id == node_id)
			return member;
	}
	return NULL;
}

fleet_wave_t *fleet_wave_find(const fleet_t *fleet, uint64_t id)
{
	fleet_wave_t *wave;

	TAILQ_FOREACH (wave, &fleet->waves, link) {
		if (wave->id == id)
			return wave;
	}
	return NULL;
}

bool fleet_vm_routable(const fleet_vm_t *vm)
{
	/*
	 * A VM in phase VM_RETURNING must get requests too, since it passes its probation only if
	 * it serves them without repeated failures.
	 */
	return vm->phase == LP__VM_PHASE__VM_ACTIVE || vm->phase == LP__VM_PHASE__VM_RETURNING;
}

bool fleet_vm_uses_budget(const fleet_vm_t *vm)
{
	return vm->phase != LP__VM_PHASE__VM_ACTIVE;
}

/* Returns an enum value's name in lower case, without its first prefix_length characters. */
static const char *enum_name(const ProtobufCEnumDescriptor *descriptor, int value,
			     size_t prefix_length)
{
	const ProtobufCEnumValue *enum_value =
		protobuf_c_enum_descriptor_get_value(descriptor, value);
	char *lower;
	const char *name;

	if (enum_value == NULL)
		return "unknown";
	lower = g_ascii_strdown(enum_value->name + prefix_length, -1);
	name = g_intern_string(lower);
	g_free(lower);
	return name;
}

const char *fleet_phase_name(Lp__VmPhase phase)
{
	return enum_name(&lp__vm_phase__descriptor, (int)phase, strlen("VM_"));
}

const char *fleet_permit_name(Lp__PermitKind permit)
{
	return enum_name(&lp__permit_kind__descriptor, (int)permit, strlen("PERMIT_"));
}

const char *fleet_wave_state_name(Lp__WaveState state)
{
	return enum_name(&lp__wave_state__descriptor, (int)state, strlen("WAVE_"));
}

const char *fleet_job_state_name(Lp__JobState state)
{
	return enum_name(&lp__job_state__descriptor, (int)state, strlen("JOB_"));
}
