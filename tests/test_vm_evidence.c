#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "vm_evidence.h"

static const vm_identity_t known = {
	.machine = "m-1",
	.address = "10.0.0.1:80",
	.service = "orders",
	.born_ms = 1000,
	.seq = 5,
	.reported = true,
	.confirmed = true,
};

static vm_report_t report_of(const char *service, uint64_t born_ms, uint64_t seq)
{
	return (vm_report_t){
		.id = "vm-1",
		.machine = "m-1",
		.service = service,
		.address = "10.0.0.1:80",
		.born_ms = born_ms,
		.seq = seq,
	};
}

/* Guards against a report that is overtaken by a later one, or by a later life of the VM, and is
 * taken as new. */
static void test_order_of_reports(void **state)
{
	vm_report_t report = report_of("orders", 1000, 6);

	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_UPDATE);
	report = report_of("orders", 1000, 5);
	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_OUTDATED);
	report = report_of("orders", 999, 9);
	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_OTHER_LIFE);
	report = report_of("orders", 1001, 1);
	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_OTHER_LIFE);
	/* A life may begin in another service. */
	report = report_of("stock", 1001, 1);
	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_OTHER_LIFE);
}

/* Guards against a VM that is ended, or reached at another address, by a report of another system
 * under its id. */
static void test_reports_of_another_system(void **state)
{
	vm_report_t report = report_of("node-agent", 2000, 1);

	assert_int_equal(vm_evidence_of_report(&known, &report, false), VM_REPORT_FOREIGN);
	report = report_of("node-agent", 1000, 9);
	assert_int_equal(vm_evidence_of_report(&known, &report, false), VM_REPORT_FOREIGN);
	report = report_of("orders", 1000, 9);
	report.address = "10.0.0.9:80";
	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_FOREIGN);
	report = report_of("orders", 1000, 9);
	report.machine = "m-9";
	assert_int_equal(vm_evidence_of_report(&known, &report, true), VM_REPORT_FOREIGN);
}

/* Guards against a VM that counts as foreign after a configuration has removed its service. */
static void test_vm_of_a_removed_service(void **state)
{
	vm_identity_t from_log = known;
	vm_report_t report = report_of("orders", 1000, 6);

	assert_int_equal(vm_evidence_of_report(&known, &report, false), VM_REPORT_UPDATE);
	report = report_of("orders", 1001, 1);
	assert_int_equal(vm_evidence_of_report(&known, &report, false), VM_REPORT_OTHER_LIFE);
	/* A new leader knows the VM from its runs alone. */
	from_log.service = "";
	from_log.reported = false;
	from_log.seq = 0;
	report = report_of("orders", 1000, 6);
	assert_int_equal(vm_evidence_of_report(&from_log, &report, false), VM_REPORT_UPDATE);
	report.address = "10.0.0.9:80";
	assert_int_equal(vm_evidence_of_report(&from_log, &report, false), VM_REPORT_FOREIGN);
}

/* Guards against a VM that cannot join, because another system has reported under its id before. */
static void test_unconfirmed_vms_bind_nothing(void **state)
{
	vm_identity_t agent = known;
	vm_report_t report = report_of("orders", 500, 1);

	agent.service = "node-agent";
	agent.confirmed = false;
	assert_int_equal(vm_evidence_of_report(&agent, &report, true), VM_REPORT_REPLACES);
	report = report_of("orders", 1000, 1);
	assert_int_equal(vm_evidence_of_report(&agent, &report, true), VM_REPORT_REPLACES);
	/* As long as no configuration names either service, the later start counts. */
	report = report_of("orders", 500, 1);
	assert_int_equal(vm_evidence_of_report(&agent, &report, false), VM_REPORT_OUTDATED);
	report = report_of("orders", 1001, 1);
	assert_int_equal(vm_evidence_of_report(&agent, &report, false), VM_REPORT_REPLACES);
	report = report_of("node-agent", 1000, 6);
	assert_int_equal(vm_evidence_of_report(&agent, &report, false), VM_REPORT_UPDATE);
}

/* Guards against a VM that is ended by an entry of another system in the platform's list. */
static void test_listings(void **state)
{
	machine_info_t listed = {.machine = "m-1", .pool = "orders", .vm = "vm-1", .up = true};

	assert_int_equal(vm_evidence_of_listing("vm-1", &listed, true), VM_LISTED_PRESENT);
	assert_int_equal(vm_evidence_of_listing("vm-2", &listed, true), VM_LISTED_GONE);
	assert_int_equal(vm_evidence_of_listing("vm-2", &listed, false), VM_LISTED_NOTHING);
	/* A machine that is being moved or maintained: the response of the request counts. */
	listed.up = false;
	assert_int_equal(vm_evidence_of_listing("vm-2", &listed, true), VM_LISTED_PRESENT);
	listed.down = true;
	assert_int_equal(vm_evidence_of_listing("vm-1", &listed, true), VM_LISTED_DOWN);
	assert_int_equal(vm_evidence_of_listing("vm-1", &listed, false), VM_LISTED_NOTHING);
	listed.name_only = true;
	assert_int_equal(vm_evidence_of_listing("vm-1", &listed, true), VM_LISTED_NOTHING);
}

/* Guards against a VM that is ended by a notice of its shutdown, though it still runs, and against
 * one that has left and counts as running. */
static void test_shutdown_notices(void **state)
{
	vm_shutdown_t shutdown = {.notice_us = 1000000, .answered_us = 900000};

	/* A VM that has announced nothing, and is silent, is possibly cut off. */
	assert_int_equal(vm_evidence_of_shutdown(&shutdown, 9000000), VM_SHUTDOWN_OPEN);
	shutdown.refused = true;
	assert_int_equal(vm_evidence_of_shutdown(&shutdown, 1200000), VM_SHUTDOWN_OPEN);
	assert_int_equal(vm_evidence_of_shutdown(&shutdown, 1600000), VM_SHUTDOWN_ENDED);
	shutdown.refused = false;
	shutdown.draining = true;
	assert_int_equal(vm_evidence_of_shutdown(&shutdown, 1600000), VM_SHUTDOWN_ENDED);
	/* A VM that is about to end can still answer. */
	shutdown.answered_us = 1200000;
	assert_int_equal(vm_evidence_of_shutdown(&shutdown, 1600000), VM_SHUTDOWN_ENDED);
	shutdown.answered_us = shutdown.notice_us + VM_SHUTDOWN_SETTLE_US;
	assert_int_equal(vm_evidence_of_shutdown(&shutdown, 1600000), VM_SHUTDOWN_REFUTED);
}

/* Guards against a report that ends a VM which still answers, and against one of an earlier VM that
 * challenges a later one. */
static void test_reports_that_challenge_a_vm(void **state)
{
	vm_rival_t rival = {.born_ms = 1000};

	assert_int_equal(vm_evidence_of_rival(&rival, 2000, 50), VM_RIVAL_CHALLENGED);
	rival.answered_us = 49;
	assert_int_equal(vm_evidence_of_rival(&rival, 2000, 50), VM_RIVAL_CHALLENGED);
	rival.answered_us = 50;
	assert_int_equal(vm_evidence_of_rival(&rival, 2000, 50), VM_RIVAL_LIVES);
	rival.answered_us = 1;
	assert_int_equal(vm_evidence_of_rival(&rival, 999, 50), VM_RIVAL_LATER);
	rival.answered_us = 0;
	rival.has_runs = true;
	assert_int_equal(vm_evidence_of_rival(&rival, 999, 50), VM_RIVAL_LATER);
	/* Only a report, possibly of another system, shows the later VM. */
	rival.has_runs = false;
	assert_int_equal(vm_evidence_of_rival(&rival, 999, 50), VM_RIVAL_CHALLENGED);
}

/* Guards against a challenged VM that counts as ended by anything but its silence until the end of
 * its lease. */
static void test_challenged_vm(void **state)
{
	vm_challenge_t challenge = {.challenged_us = 100, .answered_us = 99};

	assert_int_equal(vm_evidence_of_challenge(&challenge), VM_CHALLENGE_OPEN);
	challenge.lapsed = true;
	assert_int_equal(vm_evidence_of_challenge(&challenge), VM_CHALLENGE_LAPSED);
	challenge.answered_us = 100;
	assert_int_equal(vm_evidence_of_challenge(&challenge), VM_CHALLENGE_REFUTED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order_of_reports),
		cmocka_unit_test(test_reports_of_another_system),
		cmocka_unit_test(test_vm_of_a_removed_service),
		cmocka_unit_test(test_reports_that_challenge_a_vm),
		cmocka_unit_test(test_challenged_vm),
		cmocka_unit_test(test_unconfirmed_vms_bind_nothing),
		cmocka_unit_test(test_listings),
		cmocka_unit_test(test_shutdown_notices),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
