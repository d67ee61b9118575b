#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"
#include "message.h"

/*
 * Appends a copy of an initialised message to the list. The list owns only the copied structure;
 * the fleet still owns the strings.
 */
static void *append_message(GPtrArray *list, const void *init, size_t size)
{
	void *message = g_memdup2(init, size);

	g_ptr_array_add(list, message);
	return message;
}

static void append_org(GPtrArray *list, const fleet_org_t *org)
{
	const Lp__OrgState init = LP__ORG_STATE__INIT;
	Lp__OrgState *state = append_message(list, &init, sizeof(init));

	state->template_ = org->template;
	state->revision = org->revision;
	state->author = org->author;
	state->note = org->note;
	state->time_ms = org->time_ms;
	state->index = org->index;
}

static void fill_registration(Lp__VmRegister *reg, const fleet_vm_t *vm)
{
	reg->vm = vm->id;
	reg->organisation = vm->pool->org->name;
	reg->data_centre = vm->data_centre;
	reg->rack = vm->rack;
	reg->address = vm->address;
	reg->image = vm->image;
	reg->cores = vm->cores;
	reg->mem_mib = vm->mem_mib;
	reg->accelerators = vm->accelerators;
	reg->slots = vm->slots;
	reg->connections = vm->connections;
}

static void append_vm(GPtrArray *list, GPtrArray *registrations, const fleet_vm_t *vm)
{
	const Lp__VmRegister reg_init = LP__VM_REGISTER__INIT;
	const Lp__VmState init = LP__VM_STATE__INIT;
	Lp__VmState *state = append_message(list, &init, sizeof(init));

	state->reg = append_message(registrations, &reg_init, sizeof(reg_init));
	fill_registration(state->reg, vm);
	state->pool = vm->pool->name;
	if (vm->to_pool != NULL)
		state->to_pool = vm->to_pool->name;
	state->epoch = vm->epoch;
	state->phase = vm->phase;
	state->permit = vm->permit;
	state->wave = vm->wave;
	state->since_ms = vm->since_ms;
	state->since_index = vm->since_index;
	state->reason = vm->reason;
	state->out_ms = vm->reboot_ms;
}

static void append_wave(GPtrArray *list, const fleet_wave_t *wave)
{
	const Lp__WaveRecord init = LP__WAVE_RECORD__INIT;
	Lp__WaveRecord *record = append_message(list, &init, sizeof(init));

	record->wave = wave->id;
	record->organisation = wave->org->name;
	record->image = wave->image;
	record->state = wave->state;
	record->batch = wave->batch;
	record->failures = wave->failures;
	record->done = wave->done;
	record->since_ms = wave->since_ms;
	record->started_ms = wave->started_ms;
	record->reason = wave->reason;
}

static void append_job(GPtrArray *list, const fleet_job_t *job)
{
	const Lp__JobRecord init = LP__JOB_RECORD__INIT;
	Lp__JobRecord *record = append_message(list, &init, sizeof(init));

	record->spec = job->spec;
	record->state = job->state;
	record->attempt = job->attempt;
	record->vm = job->vm;
	record->vm_epoch = job->vm_epoch;
	record->since_ms = job->since_ms;
	record->reason = job->reason;
	record->result = job->result;
	record->n_failed_on = job->failed_on->len;
	record->failed_on = (char **)job->failed_on->pdata;
}

static void append_member(GPtrArray *list, const fleet_member_t *member)
{
	const Lp__Member init = LP__MEMBER__INIT;
	Lp__Member *message = append_message(list, &init, sizeof(init));

	message->node_id = member->node_id;
	message->replica_id = member->replica_id;
	message->data_centre = member->data_centre;
	message->peer_address = member->peer_address;
	message->http_address = member->http_address;
	message->disk = member->disk;
	message->up = member->up;
}

/* Lists of the messages from which a snapshot is built. */
typedef struct {
	GPtrArray *orgs;
	GPtrArray *vms;
	GPtrArray *registrations;
	GPtrArray *waves;
	GPtrArray *jobs;
	GPtrArray *members;
	GPtrArray *ops;
	GPtrArray *audit;
} snapshot_lists_t;

static void append_pointer(void *item, void *list)
{
	g_ptr_array_add(list, item);
}

static void fill_lists(const fleet_t *fleet, snapshot_lists_t *lists)
{
	const fleet_org_t *org;
	const fleet_pool_t *pool;
	const fleet_vm_t *vm;
	const fleet_wave_t *wave;
	const fleet_job_t *job;
	const fleet_member_t *member;

	TAILQ_FOREACH (org, &fleet->orgs, link) {
		append_org(lists->orgs, org);
		TAILQ_FOREACH (pool, &org->pools, link) {
			TAILQ_FOREACH (vm, &pool->vms, pool_link)
				append_vm(lists->vms, lists->registrations, vm);
		}
	}
	TAILQ_FOREACH (wave, &fleet->waves, link)
		append_wave(lists->waves, wave);
	for (int i = 0; i < FLEET_JOB_STATES; i++) {
		TAILQ_FOREACH (job, &fleet->jobs[i], link)
			append_job(lists->jobs, job);
	}
	TAILQ_FOREACH (member, &fleet->members, link)
		append_member(lists->members, member);
	g_queue_foreach((GQueue *)&fleet->op_outcomes, append_pointer, lists->ops);
	g_queue_foreach((GQueue *)&fleet->audit, append_pointer, lists->audit);
}

static uint8_t *pack_snapshot(const fleet_t *fleet, const snapshot_lists_t *lists, size_t *length)
{
	Lp__FleetSnapshot snapshot = LP__FLEET_SNAPSHOT__INIT;
	uint8_t *data;

	snapshot.index = fleet->applied_index;
	snapshot.member_epoch = fleet->member_epoch;
	snapshot.next_wave = fleet->next_wave;
	snapshot.n_orgs = lists->orgs->len;
	snapshot.orgs = (Lp__OrgState **)lists->orgs->pdata;
	snapshot.n_vms = lists->vms->len;
	snapshot.vms = (Lp__VmState **)lists->vms->pdata;
	snapshot.n_waves = lists->waves->len;
	snapshot.waves = (Lp__WaveRecord **)lists->waves->pdata;
	snapshot.n_jobs = lists->jobs->len;
	snapshot.jobs = (Lp__JobRecord **)lists->jobs->pdata;
	snapshot.n_members = lists->members->len;
	snapshot.members = (Lp__Member **)lists->members->pdata;
	snapshot.n_ops = lists->ops->len;
	snapshot.ops = (Lp__OpOutcome **)lists->ops->pdata;
	snapshot.n_audit = lists->audit->len;
	snapshot.audit = (Lp__AuditRecord **)lists->audit->pdata;
	*length = lp__fleet_snapshot__get_packed_size(&snapshot);
	data = malloc(*length + 1);
	if (data == NULL)
		g_error("out of memory for a snapshot of %zu bytes", *length);
	lp__fleet_snapshot__pack(&snapshot, data);
	return data;
}

uint8_t *fleet_save(const fleet_t *fleet, size_t *length)
{
	snapshot_lists_t lists = {
		.orgs = g_ptr_array_new_with_free_func(g_free),
		.vms = g_ptr_array_new_with_free_func(g_free),
		.registrations = g_ptr_array_new_with_free_func(g_free),
		.waves = g_ptr_array_new_with_free_func(g_free),
		.jobs = g_ptr_array_new_with_free_func(g_free),
		.members = g_ptr_array_new_with_free_func(g_free),
		.ops = g_ptr_array_new(),
		.audit = g_ptr_array_new(),
	};
	uint8_t *data;

	fill_lists(fleet, &lists);
	data = pack_snapshot(fleet, &lists, length);
	g_ptr_array_unref(lists.orgs);
	g_ptr_array_unref(lists.vms);
	g_ptr_array_unref(lists.registrations);
	g_ptr_array_unref(lists.waves);
	g_ptr_array_unref(lists.jobs);
	g_ptr_array_unref(lists.members);
	g_ptr_array_unref(lists.ops);
	g_ptr_array_unref(lists.audit);
	return data;
}

static int load_org(fleet_t *fleet, const Lp__OrgState *state)
{
	fleet_org_t *org;

	/*
	 * Only a valid template is sure to have a spare pool, which registrations and moves need.
	 */
	if (fleet_check_template(state->template_) != NULL ||
	    fleet_org_find(fleet, state->template_->organisation) != NULL)
		return -1;
	org = fleet_org_add(fleet, state->template_->organisation);
	org->template = message_copy(&state->template_->base);
	fleet_org_bind_pool_specs(org);
	org->revision = state->revision;
	org->index = state->index;
	org->time_ms = state->time_ms;
	fleet_replace_string(&org->author, state->author);
	fleet_replace_string(&org->note, state->note);
	return 0;
}

static int load_vm(fleet_t *fleet, const Lp__VmState *state)
{
	fleet_org_t *org;
	fleet_pool_t *pool;
	fleet_vm_t *vm;

	org = state->reg != NULL ? fleet_org_find(fleet, state->reg->organisation) : NULL;
	if (org == NULL || (uint32_t)state->phase > LP__VM_PHASE__VM_LOST ||
	    (uint32_t)state->permit > LP__PERMIT_KIND__PERMIT_REPAIR ||
	    fleet_vm_find(fleet, state->reg->vm) != NULL)
		return -1;
	pool = fleet_pool_find(org, state->pool);
	if (pool == NULL)
		pool = fleet_pool_add(org, state->pool);
	vm = fleet_vm_add(fleet, pool, state->reg->vm);
	fleet_vm_set_registration(vm, state->reg);
	if (state->to_pool[0] != '\0')
		vm->to_pool = fleet_pool_find(org, state->to_pool);
	vm->epoch = state->epoch;
	vm->phase = state->phase;
	vm->permit = state->permit;
	vm->wave = state->wave;
	vm->since_ms = state->since_ms;
	vm->since_index = state->since_index;
	vm->reboot_ms = state->out_ms;
	fleet_replace_string(&vm->reason, state->reason);
	return 0;
}

static int load_wave(fleet_t *fleet, const Lp__WaveRecord *record)
{
	fleet_org_t *org = fleet_org_find(fleet, record->organisation);
	fleet_wave_t *wave;

	if (org == NULL || (uint32_t)record->state > LP__WAVE_STATE__WAVE_DONE)
		return -1;
	wave = g_new0(fleet_wave_t, 1);
	wave->org = org;
	wave->id = record->wave;
	wave->image = g_strdup(record->image);
	wave->reason = g_strdup(record->reason);
	wave->state = record->state;
	wave->batch = record->batch;
	wave->failures = record->failures;
	wave->done = record->done;
	wave->since_ms = record->since_ms;
	wave->started_ms = record->started_ms;
	TAILQ_INSERT_TAIL(&fleet->waves, wave, link);
	return 0;
}

static int load_job(fleet_t *fleet, const Lp__JobRecord *record)
{
	fleet_job_t *job;

	if (record->spec == NULL || (uint32_t)record->state >= FLEET_JOB_STATES ||
	    fleet_job_find(fleet, record->spec->job) != NULL)
		return -1;
	job = fleet_job_add(fleet, record->spec, record->state);
	job->attempt = record->attempt;
	job->vm_epoch = record->vm_epoch;
	job->since_ms = record->since_ms;
	fleet_replace_string(&job->vm, record->vm);
	fleet_replace_string(&job->reason, record->reason);
	fleet_replace_string(&job->result, record->result);
	for (size_t i = 0; i < record->n_failed_on; i++)
		g_ptr_array_add(job->failed_on, g_strdup(record->failed_on[i]));
	if (record->state >= LP__JOB_STATE__JOB_DONE)
		fleet->finished_count[record->state]++;
	return 0;
}

static int load_member(fleet_t *fleet, const Lp__Member *member)
{
	if (member->node_id == 0 || fleet_member_find(fleet, member->node_id) != NULL)
		return -1;
	fleet_member_update(fleet_member_add(fleet, member->node_id), member);
	return 0;
}

/*
 * An outcome without a result must be rejected, since resending its operation would dereference it.
 */
static int load_op(fleet_t *fleet, const Lp__OpOutcome *outcome)
{
	if (outcome->result == NULL || outcome->op_id[0] == '\0' ||
	    g_hash_table_contains(fleet->outcome_by_op_id, outcome->op_id))
		return -1;
	fleet_op_outcome_add(fleet, message_copy(&outcome->base));
	return 0;
}

static int load_snapshot(fleet_t *fleet, const Lp__FleetSnapshot *snapshot)
{
	int failed = 0;

	for (size_t i = 0; i < snapshot->n_orgs; i++)
		failed |= load_org(fleet, snapshot->orgs[i]);
	for (size_t i = 0; i < snapshot->n_vms; i++)
		failed |= load_vm(fleet, snapshot->vms[i]);
	for (size_t i = 0; i < snapshot->n_waves; i++)
		failed |= load_wave(fleet, snapshot->waves[i]);
	for (size_t i = 0; i < snapshot->n_jobs; i++)
		failed |= load_job(fleet, snapshot->jobs[i]);
	for (size_t i = 0; i < snapshot->n_members; i++)
		failed |= load_member(fleet, snapshot->members[i]);
	for (size_t i = 0; i < snapshot->n_ops; i++)
		failed |= load_op(fleet, snapshot->ops[i]);
	for (size_t i = 0; i < snapshot->n_audit; i++)
		fleet_audit_record_add(fleet, message_copy(&snapshot->audit[i]->base));
	fleet->applied_index = snapshot->index;
	fleet->member_epoch = snapshot->member_epoch;
	fleet->next_wave = snapshot->next_wave;
	return failed != 0 ? -1 : 0;
}

/*
 * Replaces the contents of fleet by those of from. TAILQ_CONCAT() moves the lists, since a plain
 * copy of an empty list's head would still point into from.
 */
static void replace_contents(fleet_t *fleet, fleet_t *from)
{
	fleet_finish(fleet);
	fleet_init(fleet);
	g_hash_table_unref(fleet->vm_by_id);
	g_hash_table_unref(fleet->job_by_id);
	g_hash_table_unref(fleet->outcome_by_op_id);
	fleet->applied_index = from->applied_index;
	fleet->member_epoch = from->member_epoch;
	fleet->next_wave = from->next_wave;
	fleet->vm_by_id = from->vm_by_id;
	fleet->job_by_id = from->job_by_id;
	fleet->outcome_by_op_id = from->outcome_by_op_id;
	fleet->op_outcomes = from->op_outcomes;
	fleet->audit = from->audit;
	memcpy(fleet->finished_count, from->finished_count, sizeof(fleet->finished_count));
	TAILQ_CONCAT(&fleet->orgs, &from->orgs, link);
	TAILQ_CONCAT(&fleet->waves, &from->waves, link);
	TAILQ_CONCAT(&fleet->members, &from->members, link);
	for (int i = 0; i < FLEET_JOB_STATES; i++)
		TAILQ_CONCAT(&fleet->jobs[i], &from->jobs[i], link);
}

int fleet_load(fleet_t *fleet, const uint8_t *data, size_t length)
{
	Lp__FleetSnapshot *snapshot = lp__fleet_snapshot__unpack(NULL, length, data);
	fleet_t loaded;

	if (snapshot == NULL)
		return -1;
	fleet_init(&loaded);
	if (load_snapshot(&loaded, snapshot) != 0) {
		lp__fleet_snapshot__free_unpacked(snapshot, NULL);
		fleet_finish(&loaded);
		return -1;
	}
	replace_contents(fleet, &loaded);
	lp__fleet_snapshot__free_unpacked(snapshot, NULL);
	return 0;
}
