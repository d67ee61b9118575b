#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "adapter.h"
#include "lib_vm_sim.h"

/* Messages of other systems, as they arrive, to a leader whose VMs are full of tasks. */

#define VMS 4
#define TASKS (8 * VMS)
/* Longest time for which a VM is cut off here without its lease's end, in ms. */
#define CUT_OFF_MS 3000

/* One value of each type. */
static const char *const values_of_types[] = {"null", "true", "\"x\"", "7",
					      "-7",   "[]",   "[3]",   "{}"};

static const char *const report_members[] = {
	"service", "addr",  "machine", "zone",	   "version", "slots",	 "state", "warmupLeftMs",
	"cpu",	   "memMb", "gpu",     "capacity", "labels",  "clockMs", "born",  "seq",
};

static const char *const machine_members[] = {
	"pool", "state", "zone", "labels", "capacity", "cpu", "memMb", "gpu", "id",
};

static void assert_no_violations(const vm_sim_t *sim)
{
	if (vm_sim_violations(sim)[0] != '\0')
		print_message("%s", vm_sim_violations(sim));
	assert_string_equal(vm_sim_violations(sim), "");
}

static vm_sim_t *create_full_fleet(uint64_t seed, bool cuts_refuse)
{
	const vm_sim_config_t config = {
		.services = 1, .vms_per_service = VMS, .cuts_refuse = cuts_refuse, .seed = seed};
	vm_sim_t *sim = vm_sim_create(&config);

	vm_sim_run(sim, 4000);
	vm_sim_fill(sim, "a", 6000);
	return sim;
}

/* Checks that each task ran once and that all VMs are still used, and frees the simulation. */
static void finish_full_fleet(vm_sim_t *sim)
{
	const batch_job_t *job = batch_state_job(vm_sim_state(sim), "a");

	vm_sim_run(sim, 20000);
	assert_int_equal(job->state, BATCH_JOB_COMPLETE);
	assert_int_equal(vm_sim_start_count(sim), TASKS);
	vm_sim_fill(sim, "b", 30000);
	assert_no_violations(sim);
	vm_sim_destroy(sim);
}

/* @return the object that has the member: the message, or its capacity */
static json_t *owner_of(json_t *message, const char *member)
{
	json_t *capacity = json_object_get(message, "capacity");

	return json_object_get(capacity, member) != NULL ? capacity : message;
}

static bool is_negative(const json_t *value)
{
	return json_is_number(value) && json_number_value(value) < 0;
}

/* Calls deliver with each message that differs from the sound one in the member: without it, and
 * with a value of each other type. */
static void for_each_malformed(const json_t *sound, const char *member,
			       void (*deliver)(void *arg, const json_t *message), void *arg)
{
	for (size_t i = 0; i <= G_N_ELEMENTS(values_of_types); i++) {
		json_t *message = json_deep_copy(sound);
		json_t *owner = owner_of(message, member);
		json_t *value =
			i > 0 ? json_loads(values_of_types[i - 1], JSON_DECODE_ANY, NULL) : NULL;

		if (value == NULL) {
			json_object_del(owner, member);
			deliver(arg, message);
		} else if (json_typeof(value) != json_typeof(json_object_get(owner, member)) ||
			   is_negative(value)) {
			json_object_set(owner, member, value);
			deliver(arg, message);
		}
		json_decref(value);
		json_decref(message);
	}
}

typedef struct {
	vm_sim_t *sim;
	const char *id;
} sender_t;

static void deliver_report(void *arg, const json_t *message)
{
	const sender_t *sender = arg;
	void *mem = talloc_new(NULL);
	const vm_report_t *report = adapter_decode_report(mem, sender->id, message);

	if (report != NULL)
		vm_sim_deliver_report(sender->sim, report);
	talloc_free(mem);
}

/* @return a report of another system that is like that of the VM, but for its start and number */
static json_t *imitate_report(const vm_report_t *report)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:I, s:I, s:i}, s:[s, s], "
			 "s:i, s:I, s:I}",
			 "service", report->service, "addr", "10.9.9.9:9", "machine",
			 report->machine, "zone", report->data_centre, "version", "v7", "slots", 8,
			 "state", "ready", "warmupLeftMs", 0, "capacity", "cpu",
			 (json_int_t)report->cpu_milli, "memMb", (json_int_t)report->mem_mib, "gpu",
			 0, "labels", "a", "rack", "clockMs", 90000, "born",
			 (json_int_t)report->born_ms + 1000, "seq", (json_int_t)report->seq + 1000);
}

/* Guards against tasks that run twice, because a report of another system lacks a member, or has
 * one of another type, and ends the VM whose machine or id it names. */
static void test_malformed_reports_end_no_vm(void **state)
{
	for (unsigned own_id = 0; own_id < 2; own_id++) {
		vm_sim_t *sim = create_full_fleet(20 + own_id, false);

		for (unsigned machine = 0; machine < VMS; machine++) {
			sender_t sender = {.sim = sim, .id = "agent-1"};
			vm_report_t report;
			json_t *sound;

			vm_sim_get_report(sim, machine, &report);
			if (own_id == 0)
				sender.id = report.id;
			sound = imitate_report(&report);
			for (size_t i = 0; i < G_N_ELEMENTS(report_members); i++)
				for_each_malformed(sound, report_members[i], deliver_report,
						   &sender);
			json_decref(sound);
		}
		finish_full_fleet(sim);
	}
}

/* How the reports of another system come. */
typedef enum {
	COME_ONCE,
	COME_ALL_THE_TIME, /* ten times a second for 6 s, with a change of the leader */
	COME_BEFORE_LEADER_CHANGE,
	COME_DURING_CUT_OFF,
	COME_DURING_RESETS, /* the cut refuses connections, as if the VMs had ended */
	COME_WAYS,
} come_t;

static void send_imitations(vm_sim_t *sim, const vm_sim_foreign_t *shared)
{
	for (unsigned machine = 0; machine < VMS; machine++)
		vm_sim_foreign_report(sim, machine, shared);
}

static void play_imitations(vm_sim_t *sim, const vm_sim_foreign_t *shared, come_t way)
{
	switch (way) {
	case COME_ONCE:
		send_imitations(sim, shared);
		break;
	case COME_ALL_THE_TIME:
		for (unsigned i = 0; i < 60; i++) {
			send_imitations(sim, shared);
			vm_sim_run(sim, vm_sim_now_ms(sim) + 100);
			if (i == 30)
				vm_sim_change_leader(sim);
		}
		break;
	case COME_BEFORE_LEADER_CHANGE:
		send_imitations(sim, shared);
		vm_sim_change_leader(sim);
		send_imitations(sim, shared);
		break;
	case COME_DURING_CUT_OFF:
	case COME_DURING_RESETS:
		for (unsigned machine = 0; machine < VMS; machine++)
			vm_sim_cut_off(sim, machine, CUT_OFF_MS);
		vm_sim_run(sim, vm_sim_now_ms(sim) + CUT_OFF_MS / 2);
		send_imitations(sim, shared);
		break;
	case COME_WAYS:
		break;
	}
}

/* Guards against tasks that run twice, and a VM that gets no task any more, because another system
 * sends a report that is all right in itself and names the VM's machine, address or id with a later
 * start. Only the VM's own answer tells the two apart. */
static void test_imitated_reports_end_no_vm(void **state)
{
	static const vm_sim_foreign_t shared[] = {
		{.service = true, .machine = true},
		{.service = true, .address = true},
		{.service = true, .machine = true, .address = true},
		{.service = true, .id = true},
		{.service = true, .id = true, .machine = true},
		{.service = true, .id = true, .address = true},
		{.service = true, .id = true, .machine = true, .address = true},
	};

	for (unsigned i = 0; i < 2 * G_N_ELEMENTS(shared); i++) {
		for (unsigned way = 0; way < COME_WAYS; way++) {
			vm_sim_foreign_t imitation = shared[i / 2];
			vm_sim_t *sim =
				create_full_fleet(100 + 10 * i + way, way == COME_DURING_RESETS);

			imitation.draining = i % 2 == 1;
			play_imitations(sim, &imitation, way);
			finish_full_fleet(sim);
		}
	}
}

/* Longest time from the crash of two VMs until others on their machines are full of tasks, in ms:
 * the machines are back within 3.5 s, and report; the earlier VMs are asked, and the tasks start.
 */
#define REUSE_MAX_MS 4000

/* Guards against a VM that is not used soon after it has taken the machine and address of an
 * earlier one, under another id or the same, while nothing has asked the earlier one. */
static void test_replaced_vms_are_used_soon(void **state)
{
	for (unsigned i = 0; i < 8; i++) {
		const vm_sim_config_t config = {.services = 1,
						.vms_per_service = VMS,
						.seed = 300 + i,
						.keep_ids = i % 2 == 1,
						.silent_crashes = i >= 4};
		vm_sim_t *sim = vm_sim_create(&config);
		uint64_t crashed_ms;

		vm_sim_run(sim, 4000);
		crashed_ms = vm_sim_now_ms(sim);
		vm_sim_crash_vms(sim, 0, 2);
		vm_sim_run(sim, crashed_ms + 2900);
		vm_sim_submit_filling(sim, "a", 60000);
		vm_sim_run(sim, crashed_ms + REUSE_MAX_MS);
		assert_int_equal(vm_sim_running_count(sim), TASKS);
		assert_no_violations(sim);
		vm_sim_destroy(sim);
	}
}

static void add_listing(void *arg, const json_t *message)
{
	void *mem = talloc_new(NULL);
	json_t *body = json_pack("{s:[O]}", "machines", message);
	const char *next_page;
	size_t malformed;
	size_t count;
	const machine_info_t *entries =
		adapter_decode_machines(mem, body, &count, &next_page, &malformed);

	for (size_t i = 0; i < count; i++)
		vm_sim_add_listing(arg, &entries[i]);
	json_decref(body);
	talloc_free(mem);
}

/* Guards against tasks that run twice, because an entry of another system in the platform's list
 * lacks a member, or has one of another type, and says that the machine of a VM is down or runs
 * another VM, while this VM is cut off for a moment. */
static void test_malformed_listings_end_no_vm(void **state)
{
	for (unsigned i = 0; i < 4; i++) {
		vm_sim_t *sim = create_full_fleet(50 + i, false);

		for (unsigned machine = 0; machine < VMS; machine++) {
			vm_report_t report;
			json_t *sound;

			vm_sim_get_report(sim, machine, &report);
			sound = json_pack("{s:s, s:s, s:s, s:s, s:[s, s], s:{s:I, s:I, s:i}, s:s}",
					  "machine", report.machine, "pool", report.service,
					  "state", i % 2 == 0 ? "down" : "up", "zone", "dc",
					  "labels", "a", "rack", "capacity", "cpu",
					  (json_int_t)report.cpu_milli, "memMb",
					  (json_int_t)report.mem_mib, "gpu", 0, "id", "agent-1");
			for (size_t k = 0; k < G_N_ELEMENTS(machine_members); k++)
				for_each_malformed(sound, machine_members[k], add_listing, sim);
			json_decref(sound);
		}
		if (i >= 2)
			vm_sim_change_leader(sim);
		for (unsigned machine = 0; machine < VMS; machine++)
			vm_sim_cut_off(sim, machine, CUT_OFF_MS);
		finish_full_fleet(sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_reports_end_no_vm),
		cmocka_unit_test(test_imitated_reports_end_no_vm),
		cmocka_unit_test(test_replaced_vms_are_used_soon),
		cmocka_unit_test(test_malformed_listings_end_no_vm),
	};

	return cmocka_run_group_tests(tests, vm_sim_set_up, NULL);
}
