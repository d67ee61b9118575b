/*
 * Many requests to one VM at the same time, with real processes: a VM that takes its time to answer
 * each request gets the stops of a wide job that is cancelled, and the starts of a wide gang.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>

#include "clock.h"
#include "lib_role_vm.h"

#define MEMORY_MIB 256
/* Time after the acknowledgement of a cancellation within which the stops have been requested. */
#define CANCEL_MS 3000
/* Time that the members of a gang wait for each other. */
#define GANG_TIMEOUT_MS 3000
#define START_WAIT_MS 10000

static roles_t roles;

static void wait_for_starts(unsigned count)
{
	uint64_t end_us = clock_now_us() + START_WAIT_MS * US_PER_MS;

	while (role_vm.start_count < count && clock_now_us() < end_us)
		assert_int_equal(tevent_loop_once(role_vm.ev), 0);
	assert_true(role_vm.start_count >= count);
}

/* @return number of runs that work and were not told to stop */
static unsigned working_count(void)
{
	unsigned count = 0;

	for (guint i = 0; i < role_vm.runs->len; i++)
		count += g_array_index(role_vm.runs, role_vm_run_t, i).stopped_us == 0;
	return count;
}

static int set_up(void **state)
{
	const roles_config_t config = {.core_memory_mib = MEMORY_MIB,
				       .edge_memory_mib = MEMORY_MIB};

	return roles_start(&roles, &config) == 0 ? role_vm_start(&roles) : -1;
}

static int tear_down(void **state)
{
	role_vm_stop();
	return roles_stop(&roles);
}

/* Begins a case without runs. */
static void begin(uint32_t answer_ms)
{
	assert_int_equal(role_vm.runs->len, 0);
	role_vm.start_count = 0;
	role_vm.most_pending = 0;
	role_vm.start_answer_ms = answer_ms;
}

/* Cancels a job whose tasks have worked for a while, and checks that all are told to stop in time.
 */
static void check_cancel(const char *job, unsigned count, unsigned cpu_milli)
{
	begin(2);
	role_vm_submit(job, count, cpu_milli, false);
	wait_for_starts(count);
	role_vm_run_until(clock_now_us() + 500 * US_PER_MS);
	assert_int_equal(role_vm_call_edge("DELETE", job, NULL), 200);
	role_vm_run_until(clock_now_us() + CANCEL_MS * US_PER_MS);
	assert_int_equal(working_count(), 0);
	assert_in_range(role_vm.most_pending, 1, ROLE_VM_CONNECTIONS);
	role_vm_run_until(clock_now_us() + US_PER_S);
	assert_int_equal(role_vm.runs->len, 0);
}

/* Guards against tasks of a cancelled job that work on because few of their stops are requested at
 * a time, and those that wait for a connection are given up and asked for again later. */
static void test_wide_job_is_stopped_in_time(void **state)
{
	check_cancel("00000000000000a1", 96, 500);
}

/* Guards against stops that take so many connections or so long that a wider job works on. */
static void test_job_of_many_tasks_is_stopped_in_time(void **state)
{
	check_cancel("00000000000000a2", 400, 150);
}

/* Guards against starts that wait while their job is cancelled and are sent nevertheless, or hold
 * up the stops of its other tasks. */
static void test_job_is_cancelled_while_its_starts_wait(void **state)
{
	unsigned started;

	begin(200);
	role_vm_submit("00000000000000a3", 120, 500, false);
	wait_for_starts(4);
	assert_int_equal(role_vm_call_edge("DELETE", "00000000000000a3", NULL), 200);
	role_vm_run_until(clock_now_us() + 500 * US_PER_MS);
	started = role_vm.start_count;
	role_vm_run_until(clock_now_us() + CANCEL_MS * US_PER_MS);
	assert_int_equal(role_vm.start_count, started);
	assert_int_equal(working_count(), 0);
	role_vm_run_until(clock_now_us() + US_PER_S);
	assert_int_equal(role_vm.runs->len, 0);
}

static void check_gang(const char *job, unsigned count)
{
	role_vm.start_count = 0;
	role_vm_submit(job, count, 2000, true);
	wait_for_starts(count);
	assert_int_equal(role_vm.start_count, count);
	assert_true(role_vm.last_start_us < role_vm.first_start_us + GANG_TIMEOUT_MS * US_PER_MS);
	for (guint i = 0; i < role_vm.runs->len; i++)
		assert_int_equal(g_array_index(role_vm.runs, role_vm_run_t, i).run, 1);
	assert_int_equal(role_vm_call_edge("DELETE", job, NULL), 200);
	role_vm_run_until(clock_now_us() + (CANCEL_MS + 1000) * US_PER_MS);
	assert_int_equal(role_vm.runs->len, 0);
}

/* Guards against a gang of which a part is started, because the starts of the others wait for a
 * connection until they count as refused. */
static void test_wide_gang_is_started_whole(void **state)
{
	begin(60);
	check_gang("00000000000000b1", 32);
}

/* The same beside the stops of a job that was cancelled just before. */
static void test_gang_is_started_whole_beside_a_cancelled_job(void **state)
{
	begin(60);
	role_vm_submit("00000000000000a4", 40, 300, false);
	wait_for_starts(40);
	assert_int_equal(role_vm_call_edge("DELETE", "00000000000000a4", NULL), 200);
	check_gang("00000000000000b2", 20);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wide_job_is_stopped_in_time),
		cmocka_unit_test(test_job_of_many_tasks_is_stopped_in_time),
		cmocka_unit_test(test_job_is_cancelled_while_its_starts_wait),
		cmocka_unit_test(test_wide_gang_is_started_whole),
		cmocka_unit_test(test_gang_is_started_whole_beside_a_cancelled_job),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}
