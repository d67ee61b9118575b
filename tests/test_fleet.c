#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "fleet.h"
#include "fleet_internal.h"

#define OK LP__RESULT_CODE__RESULT_OK
#define CONFLICT LP__RESULT_CODE__RESULT_CONFLICT
#define INVALID LP__RESULT_CODE__RESULT_INVALID
#define NOT_FOUND LP__RESULT_CODE__RESULT_NOT_FOUND

static fleet_t fleet;
static Lp__Result result;
static uint64_t next_index;

static int set_up(void **state)
{
	fleet_init(&fleet);
	next_index = 1;
	return 0;
}

static int tear_down(void **state)
{
	fleet_finish(&fleet);
	return 0;
}

/* Applies a command whose body is the given message. op is the command's operation id; "": none. */
#define APPLY(kind, field, body, op)                                                    \
	apply(&(Lp__Command){.base = PROTOBUF_C_MESSAGE_INIT(&lp__command__descriptor), \
			     .op_id = (char *)(op),                                     \
			     .time_ms = 7,                                              \
			     .body_case = LP__COMMAND__BODY_##kind,                     \
			     .field = (body)})

static Lp__ResultCode apply(const Lp__Command *command)
{
	fleet_apply(&fleet, next_index++, command, &result);
	return result.code;
}

static Lp__ResultCode apply_template(uint64_t revision, const char *author, const char *op,
				     const char *second_pool, bool paused)
{
	Lp__PoolSpec spare = LP__POOL_SPEC__INIT;
	Lp__PoolSpec other = LP__POOL_SPEC__INIT;
	Lp__PoolSpec *pools[] = {&spare, &other};
	Lp__MaintenanceSpec maintenance = LP__MAINTENANCE_SPEC__INIT;
	Lp__Template template = LP__TEMPLATE__INIT;
	Lp__ApplyTemplate cmd = LP__APPLY_TEMPLATE__INIT;

	spare.name = "spare";
	spare.spare = true;
	other.name = (char *)second_pool;
	maintenance.image = "new";
	maintenance.paused = paused;
	template.organisation = "o";
	template.n_pools = 2;
	template.pools = pools;
	template.maintenance = &maintenance;
	cmd.template_ = &template;
	cmd.expected_revision = revision;
	cmd.author = (char *)author;
	cmd.note = "for the night";
	return APPLY(APPLY_TEMPLATE, apply_template, &cmd, op);
}

static Lp__ResultCode apply_register(const char *vm, const char *address, const char *hint)
{
	Lp__VmRegister cmd = LP__VM_REGISTER__INIT;

	cmd.vm = (char *)vm;
	cmd.organisation = "o";
	cmd.data_centre = "dc1";
	cmd.rack = "r1";
	cmd.address = (char *)address;
	cmd.pool_hint = (char *)hint;
	cmd.image = "old";
	return APPLY(VM_REGISTER, vm_register, &cmd, "");
}

static Lp__ResultCode apply_phase_change(const char *vm, uint64_t epoch, Lp__VmPhase from,
					 Lp__VmPhase to, const char *image)
{
	Lp__VmStep cmd = LP__VM_STEP__INIT;

	cmd.vm = (char *)vm;
	cmd.epoch = epoch;
	cmd.from = from;
	cmd.to = to;
	cmd.image = (char *)image;
	return APPLY(VM_STEP, vm_step, &cmd, "");
}

static Lp__ResultCode apply_cordon(const char *vm, uint64_t epoch, Lp__PermitKind permit,
				   const char *to_pool, uint64_t wave)
{
	Lp__VmCordon cmd = LP__VM_CORDON__INIT;

	cmd.vm = (char *)vm;
	cmd.epoch = epoch;
	cmd.permit = permit;
	cmd.to_pool = (char *)to_pool;
	cmd.wave = wave;
	return APPLY(VM_CORDON, vm_cordon, &cmd, "");
}

static Lp__ResultCode apply_assign(const char *vm, uint64_t epoch, const char *pool)
{
	Lp__VmAssign cmd = LP__VM_ASSIGN__INIT;

	cmd.vm = (char *)vm;
	cmd.epoch = epoch;
	cmd.pool = (char *)pool;
	return APPLY(VM_ASSIGN, vm_assign, &cmd, "");
}

static Lp__ResultCode apply_job_update(const char *job, uint32_t attempt, Lp__JobState to,
				       const char *vm)
{
	Lp__JobUpdate cmd = LP__JOB_UPDATE__INIT;

	cmd.job = (char *)job;
	cmd.attempt = attempt;
	cmd.state = to;
	cmd.vm = (char *)vm;
	return APPLY(JOB_UPDATE, job_update, &cmd, "");
}

static Lp__ResultCode apply_submit(const char *job, bool repeatable)
{
	Lp__JobSpec spec = LP__JOB_SPEC__INIT;
	Lp__JobSubmit cmd = LP__JOB_SUBMIT__INIT;

	spec.job = (char *)job;
	spec.organisation = "o";
	spec.pool = "a";
	spec.repeatable = repeatable;
	cmd.spec = &spec;
	return APPLY(JOB_SUBMIT, job_submit, &cmd, "");
}

static Lp__ResultCode apply_member(uint32_t node, const char *dc, bool up)
{
	Lp__Member member = LP__MEMBER__INIT;
	Lp__MemberUpdate cmd = LP__MEMBER_UPDATE__INIT;

	member.node_id = node;
	member.data_centre = (char *)dc;
	member.up = up;
	cmd.member = &member;
	return APPLY(MEMBER_UPDATE, member_update, &cmd, "");
}

/*
 * Guards against a template that overwrites one that another operator applied meanwhile: it must
 * get a conflict that names the other operator. Also guards against a resent operation that is
 * applied twice: it must get the result of its first attempt.
 */
static void test_concurrent_template_conflicts(void **state)
{
	uint64_t index;

	assert_int_equal(apply_template(0, "amal", "op-1", "a", false), OK);
	index = result.index;
	assert_int_equal(apply_template(0, "badr", "op-2", "b", false), CONFLICT);
	assert_string_equal(result.author, "amal");
	assert_string_equal(result.note, "for the night");
	assert_int_equal(result.revision, 1);
	assert_int_equal(apply_template(1, "badr", "op-3", "a", false), OK);
	assert_int_equal(apply_template(0, "amal", "op-1", "a", false), OK);
	assert_int_equal(result.revision, 1);
	assert_int_equal(result.index, index);
	assert_int_equal(apply_template(1, "badr", "op-2", "b", false), CONFLICT);
	assert_string_equal(result.author, "amal");
	assert_int_equal(fleet_org_find(&fleet, "o")->revision, 2);
	assert_int_equal(g_queue_get_length(&fleet.audit), 2);
}

/*
 * Guards against registering a VM in the wrong pool, and against two VMs with the same id or
 * address.
 */
static void test_registration_chooses_pool_and_refuses_duplicates(void **state)
{
	const fleet_vm_t *vm;

	assert_int_equal(apply_register("v1", "1:1", "a"), NOT_FOUND);
	apply_template(0, "amal", "", "a", false);
	assert_int_equal(apply_register("v1", "1:1", "a"), OK);
	assert_int_equal(apply_register("v2", "1:1", "unknown"), CONFLICT);
	assert_int_equal(apply_register("v2", "2:1", "unknown"), OK);
	vm = fleet_vm_find(&fleet, "v1");
	assert_string_equal(vm->pool->name, "a");
	assert_string_equal(fleet_vm_find(&fleet, "v2")->pool->name, "spare");
	apply_phase_change("v1", 1, LP__VM_PHASE__VM_JOINING, LP__VM_PHASE__VM_ACTIVE, "");
	assert_int_equal(apply_register("v1", "9:1", "a"), CONFLICT);
	apply_phase_change("v1", 1, LP__VM_PHASE__VM_ACTIVE, LP__VM_PHASE__VM_LOST, "");
	assert_int_equal(vm->epoch, 2);
	assert_int_equal(apply_register("v1", "9:1", "spare"), OK);
	assert_int_equal(vm->phase, LP__VM_PHASE__VM_RETURNING);
	assert_int_equal(vm->epoch, 3);
	assert_string_equal(vm->pool->name, "a");
}

/*
 * Guards against accepting a move that names an outdated epoch, and against a VM in two pools or
 * none.
 */
static void test_move_checks_epoch_and_keeps_one_pool(void **state)
{
	const fleet_vm_t *vm;

	apply_template(0, "amal", "", "a", false);
	apply_register("v1", "1:1", "a");
	vm = fleet_vm_find(&fleet, "v1");
	assert_int_equal(apply_cordon("v1", 1, LP__PERMIT_KIND__PERMIT_MOVE, "spare", 0), CONFLICT);
	apply_phase_change("v1", 1, LP__VM_PHASE__VM_JOINING, LP__VM_PHASE__VM_ACTIVE, "");
	assert_int_equal(apply_cordon("v1", 1, LP__PERMIT_KIND__PERMIT_MOVE, "a", 0), INVALID);
	assert_int_equal(apply_cordon("v1", 1, LP__PERMIT_KIND__PERMIT_MOVE, "x", 0), NOT_FOUND);
	assert_int_equal(apply_cordon("v1", 1, LP__PERMIT_KIND__PERMIT_MOVE, "spare", 0), OK);
	assert_int_equal(apply_cordon("v1", 2, LP__PERMIT_KIND__PERMIT_MAINTENANCE, "", 0),
			 CONFLICT);
	assert_int_equal(apply_assign("v1", 1, "spare"), CONFLICT);
	assert_int_equal(apply_assign("v1", 2, "a"), CONFLICT);
	assert_int_equal(apply_assign("v1", 2, "spare"), OK);
	assert_int_equal(vm->epoch, 3);
	assert_string_equal(vm->pool->name, "spare");
	assert_int_equal(fleet_pool_find(vm->pool->org, "a")->vm_count, 0);
	assert_int_equal(vm->permit, LP__PERMIT_KIND__PERMIT_NONE);
}

/*
 * Guards against losing the VMs of a pool that the template removes, and against moves into a
 * removed pool.
 */
static void test_removed_pool_keeps_its_vms(void **state)
{
	const fleet_org_t *org;

	apply_template(0, "amal", "", "a", false);
	apply_register("v1", "1:1", "a");
	apply_register("v2", "2:1", "spare");
	apply_phase_change("v2", 1, LP__VM_PHASE__VM_JOINING, LP__VM_PHASE__VM_ACTIVE, "");
	apply_cordon("v2", 1, LP__PERMIT_KIND__PERMIT_MOVE, "a", 0);
	assert_int_equal(apply_template(1, "amal", "", "b", false), OK);
	org = fleet_org_find(&fleet, "o");
	assert_null(fleet_pool_find(org, "a")->spec);
	assert_int_equal(apply_assign("v2", 2, "a"), CONFLICT);
	assert_int_equal(apply_assign("v2", 2, "spare"), OK);
	apply_phase_change("v1", 1, LP__VM_PHASE__VM_JOINING, LP__VM_PHASE__VM_ACTIVE, "");
	apply_cordon("v1", 1, LP__PERMIT_KIND__PERMIT_MOVE, "b", 0);
	assert_int_equal(apply_assign("v1", 2, "b"), OK);
	assert_null(fleet_pool_find(org, "a"));
}

static void apply_maintenance(const char *vm, const char *image, bool returns)
{
	uint64_t epoch = fleet_vm_find(&fleet, vm)->epoch;

	assert_int_equal(apply_cordon(vm, epoch, LP__PERMIT_KIND__PERMIT_MAINTENANCE, "", 1), OK);
	epoch++;
	apply_phase_change(vm, epoch, LP__VM_PHASE__VM_CORDONED, LP__VM_PHASE__VM_DRAINING, "");
	apply_phase_change(vm, epoch, LP__VM_PHASE__VM_DRAINING, LP__VM_PHASE__VM_OUT, "");
	if (!returns) {
		apply_phase_change(vm, epoch, LP__VM_PHASE__VM_OUT, LP__VM_PHASE__VM_LOST, "");
		return;
	}
	apply_phase_change(vm, epoch, LP__VM_PHASE__VM_OUT, LP__VM_PHASE__VM_RETURNING, image);
	apply_phase_change(vm, epoch + 1, LP__VM_PHASE__VM_RETURNING, LP__VM_PHASE__VM_ACTIVE, "");
	assert_int_equal(fleet_vm_find(&fleet, vm)->permit, LP__PERMIT_KIND__PERMIT_NONE);
}

/*
 * Guards against a wave whose batch grows after failures, and against counting a VM as done that
 * was rebooted with its old image.
 */
static void test_wave_batch_follows_successes_and_failures(void **state)
{
	Lp__WaveUpdate cmd = LP__WAVE_UPDATE__INIT;
	const fleet_wave_t *wave;

	apply_template(0, "amal", "", "a", true);
	for (int i = 0; i < 4; i++) {
		char id[4] = {'v', (char)('0' + i)};

		apply_register(id, id, "a");
		apply_phase_change(id, 1, LP__VM_PHASE__VM_JOINING, LP__VM_PHASE__VM_ACTIVE, "");
	}
	cmd.organisation = "o";
	cmd.image = "new";
	assert_int_equal(APPLY(WAVE_UPDATE, wave_update, &cmd, ""), OK);
	assert_int_equal(APPLY(WAVE_UPDATE, wave_update, &cmd, ""), CONFLICT);
	wave = fleet_wave_find(&fleet, 1);
	apply_maintenance("v0", "new", true);
	apply_maintenance("v1", "new", true);
	assert_int_equal(wave->batch, 4);
	apply_maintenance("v2", "old", true);
	apply_maintenance("v3", "", false);
	assert_int_equal(wave->batch, 1);
	assert_int_equal(wave->done, 2);
	assert_int_equal(wave->failures, 2);
	cmd.wave = 1;
	cmd.state = LP__WAVE_STATE__WAVE_STOPPED;
	APPLY(WAVE_UPDATE, wave_update, &cmd, "");
	apply_template(1, "amal", "", "a", false);
	assert_int_equal(wave->state, LP__WAVE_STATE__WAVE_RUNNING);
	assert_int_equal(wave->failures, 0);
}

/*
 * Guards against queueing a non-repeatable job again after it has run, and against accepting
 * updates that name an earlier attempt.
 */
static void test_job_updates_check_attempt_and_repeatability(void **state)
{
	Lp__JobCancel cancel = LP__JOB_CANCEL__INIT;
	char *ids[] = {"j1", "j2", "none"};
	const fleet_job_t *job;

	apply_template(0, "amal", "", "a", false);
	apply_register("v1", "1:1", "a");
	assert_int_equal(apply_submit("j1", false), OK);
	assert_int_equal(apply_submit("j1", false), OK);
	assert_int_equal(apply_submit("j1", true), CONFLICT);
	assert_int_equal(apply_submit("j2", true), OK);
	assert_int_equal(apply_job_update("j1", 0, LP__JOB_STATE__JOB_PLACED, "v1"), OK);
	assert_int_equal(apply_job_update("j1", 0, LP__JOB_STATE__JOB_RUNNING, "v1"), CONFLICT);
	assert_int_equal(apply_job_update("j1", 1, LP__JOB_STATE__JOB_RUNNING, "v1"), OK);
	assert_int_equal(apply_job_update("j1", 1, LP__JOB_STATE__JOB_QUEUED, "v1"), CONFLICT);
	apply_job_update("j2", 0, LP__JOB_STATE__JOB_PLACED, "v1");
	apply_job_update("j2", 1, LP__JOB_STATE__JOB_RUNNING, "v1");
	assert_int_equal(apply_job_update("j2", 1, LP__JOB_STATE__JOB_QUEUED, "v1"), OK);
	job = fleet_job_find(&fleet, "j2");
	assert_int_equal(job->failed_on->len, 1);
	assert_string_equal(job->vm, "");
	cancel.n_jobs = 3;
	cancel.jobs = ids;
	assert_int_equal(APPLY(JOB_CANCEL, job_cancel, &cancel, ""), OK);
	assert_string_equal(result.message, "2 of 3 jobs cancelled");
	assert_int_equal(apply_job_update("j1", 1, LP__JOB_STATE__JOB_DONE, "v1"), CONFLICT);
}

/*
 * Guards against a change of the members or of their data centres that leaves the member epoch as
 * it was. The epoch identifies the set of members that store claims.
 */
static void test_member_epoch_follows_member_changes(void **state)
{
	apply_member(2, "dc1", true);
	apply_member(1, "dc1", true);
	assert_int_equal(fleet.member_epoch, 2);
	assert_int_equal(TAILQ_FIRST(&fleet.members)->node_id, 1);
	apply_member(1, "dc1", false);
	assert_int_equal(fleet.member_epoch, 2);
	apply_member(1, "dc2", true);
	assert_int_equal(fleet.member_epoch, 3);
}

/*
 * Guards against memory use that grows without limit with the number of operations and finished
 * jobs.
 */
static void test_kept_history_is_bounded(void **state)
{
	apply_template(0, "amal", "", "a", false);
	for (uint64_t i = 1; i <= FLEET_OP_OUTCOME_LIMIT + 10; i++) {
		char op[16];

		snprintf(op, sizeof(op), "op-%d", (int)i);
		apply_template(i, "amal", op, "a", false);
	}
	assert_int_equal(g_queue_get_length(&fleet.op_outcomes), FLEET_OP_OUTCOME_LIMIT);
	assert_int_equal(g_hash_table_size(fleet.outcome_by_op_id), FLEET_OP_OUTCOME_LIMIT);
	assert_int_equal(g_queue_get_length(&fleet.audit), FLEET_AUDIT_RECORD_LIMIT);
	for (int i = 0; i < FLEET_FINISHED_JOB_LIMIT + 10; i++) {
		char id[16];

		snprintf(id, sizeof(id), "j%d", i);
		apply_submit(id, true);
		apply_job_update(id, 0, LP__JOB_STATE__JOB_REJECTED, "");
	}
	assert_int_equal(g_hash_table_size(fleet.job_by_id), FLEET_FINISHED_JOB_LIMIT);
	assert_null(fleet_job_find(&fleet, "j0"));
}

static void apply_random_command(GRand *rand)
{
	char vm[4] = {'v', (char)('0' + g_rand_int_range(rand, 0, 8))};
	char job[4] = {'j', (char)('0' + g_rand_int_range(rand, 0, 8))};
	char op[4] = {'o', (char)('a' + g_rand_int_range(rand, 0, 26))};
	static const char *const pools[] = {"a", "b", "c", "spare"};
	const char *pool = pools[g_rand_int_range(rand, 0, 3)];
	const char *any_pool = pools[g_rand_int_range(rand, 0, 4)];
	const fleet_vm_t *known_vm = fleet_vm_find(&fleet, vm);
	const fleet_job_t *known_job = fleet_job_find(&fleet, job);
	const fleet_org_t *org = fleet_org_find(&fleet, "o");
	uint64_t epoch = known_vm != NULL ? known_vm->epoch : 0;

	switch (g_rand_int_range(rand, 0, 9)) {
	case 0:
		apply_template(org != NULL ? org->revision : 0, vm, op, pool, g_rand_boolean(rand));
		return;
	case 1:
		/*
		 * The VM registers with one of two addresses: its id, or its id without the first
		 * character. No other VM uses either.
		 */
		apply_register(vm, g_rand_boolean(rand) ? vm : vm + 1, pool);
		return;
	case 2:
		apply_cordon(vm, epoch, (Lp__PermitKind)g_rand_int_range(rand, 0, 4), any_pool, 1);
		return;
	case 3:
	case 4:
		apply_phase_change(vm, epoch,
				   known_vm != NULL ? known_vm->phase : LP__VM_PHASE__VM_LOST,
				   (Lp__VmPhase)g_rand_int_range(rand, 0, 9), "new");
		return;
	case 5:
		apply_assign(vm, epoch, any_pool);
		return;
	case 6:
		apply_submit(job, g_rand_boolean(rand));
		return;
	case 7:
		apply_job_update(job, known_job != NULL ? known_job->attempt : 0,
				 (Lp__JobState)g_rand_int_range(rand, 0, 8), vm);
		return;
	case 8:
		apply_member((uint32_t)g_rand_int_range(rand, 1, 5), pool, true);
		return;
	}
}

static uint8_t *apply_random_commands(uint32_t seed, bool save_and_load, size_t *length)
{
	GRand *rand = g_rand_new_with_seed(seed);
	uint8_t *data;

	set_up(NULL);
	for (int i = 0; i < 3000; i++) {
		apply_random_command(rand);
		if (!save_and_load || i % 100 != 0)
			continue;
		data = fleet_save(&fleet, length);
		assert_int_equal(fleet_load(&fleet, data, *length), 0);
		free(data);
	}
	data = fleet_save(&fleet, length);
	tear_down(NULL);
	g_rand_free(rand);
	return data;
}

/*
 * Guards against replicas whose states differ because one was restored from a snapshot. Random
 * commands must lead to the same state with and without saving and loading in between.
 */
static void test_snapshot_restores_same_state(void **state)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		size_t length;
		size_t length_reloaded;
		uint8_t *data = apply_random_commands(seed, false, &length);
		uint8_t *reloaded = apply_random_commands(seed, true, &length_reloaded);

		assert_int_equal(length, length_reloaded);
		assert_memory_equal(data, reloaded, length);
		free(data);
		free(reloaded);
	}
}

/* Guards against losing the state by loading a damaged snapshot. */
static void test_damaged_snapshot_leaves_state_unchanged(void **state)
{
	static const uint8_t damaged[] = {0x12, 0x7f, 0x01};

	apply_template(0, "amal", "", "a", false);
	assert_int_equal(fleet_load(&fleet, damaged, sizeof(damaged)), -1);
	assert_non_null(fleet_org_find(&fleet, "o"));
}

/*
 * Guards against loading an organisation without a spare pool: the next registration would find no
 * pool for its VM (found by test_fuzz_wire, seed 20260101).
 */
static void test_snapshot_without_spare_pool_is_refused(void **state)
{
	Lp__Template template = LP__TEMPLATE__INIT;
	Lp__OrgState org = LP__ORG_STATE__INIT;
	Lp__OrgState *orgs[] = {&org};
	Lp__FleetSnapshot snapshot = LP__FLEET_SNAPSHOT__INIT;
	uint8_t packed[64];
	size_t length;

	template.organisation = "o";
	org.template_ = &template;
	snapshot.n_orgs = 1;
	snapshot.orgs = orgs;
	length = lp__fleet_snapshot__get_packed_size(&snapshot);
	assert_true(length <= sizeof(packed));
	lp__fleet_snapshot__pack(&snapshot, packed);
	assert_int_equal(fleet_load(&fleet, packed, length), -1);
	assert_null(fleet_org_find(&fleet, "o"));
}

/*
 * Guards against loading an operation outcome without a result: resending the operation would then
 * crash the process (found by test_fuzz_wire, seed 3, 3,000 rounds).
 */
static void test_snapshot_without_result_is_refused(void **state)
{
	Lp__OpOutcome outcome = LP__OP_OUTCOME__INIT;
	Lp__OpOutcome *ops[] = {&outcome};
	Lp__FleetSnapshot snapshot = LP__FLEET_SNAPSHOT__INIT;
	uint8_t packed[64];
	size_t length;

	outcome.op_id = "op1";
	snapshot.n_ops = 1;
	snapshot.ops = ops;
	length = lp__fleet_snapshot__get_packed_size(&snapshot);
	assert_true(length <= sizeof(packed));
	lp__fleet_snapshot__pack(&snapshot, packed);
	assert_int_equal(fleet_load(&fleet, packed, length), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_concurrent_template_conflicts, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(
			test_registration_chooses_pool_and_refuses_duplicates, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_move_checks_epoch_and_keeps_one_pool, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_removed_pool_keeps_its_vms, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_wave_batch_follows_successes_and_failures,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_job_updates_check_attempt_and_repeatability,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_member_epoch_follows_member_changes, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_kept_history_is_bounded, set_up, tear_down),
		cmocka_unit_test(test_snapshot_restores_same_state),
		cmocka_unit_test_setup_teardown(test_damaged_snapshot_leaves_state_unchanged,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_without_spare_pool_is_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_snapshot_without_result_is_refused, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
