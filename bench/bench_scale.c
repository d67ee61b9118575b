/*
 * Measures the duration of a planner run, the size of the snapshot, and the heap memory of the
 * fleet state, for several numbers of VMs and pools.
 *
 *   bench_scale
 *
 * The fleet spans 5 data centres with 4 VMs per rack. Scenarios: "steady", in which all VMs run the
 * template's image, and "wave", in which the template requires another image, so that every VM is
 * due for maintenance.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "clock.h"
#include "fleet.h"
#include "health.h"
#include "planner.h"
#include "template.h"

#define RUN_COUNT 9
#define DATA_CENTRE_COUNT 5
#define VMS_PER_RACK 4
#define QUOTA_COUNT 480
#define ROUTING_LEASE_US (4 * US_PER_S)
#define LOST_TIMEOUT_US (10 * US_PER_S)
#define NOW_US (1000 * US_PER_S)
/* Monday, 5 January 2026, 22:00 UTC; the simulated wall-clock time. */
#define WALL_TIME_MS (1767650400ULL * 1000)

static bool always_applied(void *arg, const char *data_centre, uint64_t index)
{
	return true;
}

static bool always_in_contact(void *arg, const char *data_centre)
{
	return true;
}

static bool platform_never_done(void *arg, const fleet_vm_t *vm, plan_kind_t kind)
{
	return false;
}

static uint64_t next_log_index = 1;

static void apply_command(fleet_t *fleet, Lp__Command *command)
{
	Lp__Result result;

	command->time_ms = WALL_TIME_MS;
	fleet_apply(fleet, next_log_index++, command, &result);
	if (result.code != LP__RESULT_CODE__RESULT_OK)
		g_error("command refused: %s", result.message);
}

static void apply_template(fleet_t *fleet, unsigned pool_count, const char *image)
{
	GString *text = g_string_new("organisation: bench\n");
	Lp__Command command = LP__COMMAND__INIT;
	Lp__ApplyTemplate body = LP__APPLY_TEMPLATE__INIT;
	const fleet_org_t *org = fleet_org_find(fleet, "bench");
	char error[512];

	g_string_append_printf(text, "maintenance: {image: %s}\nquotas:\n", image);
	for (unsigned i = 0; i < QUOTA_COUNT; i++)
		g_string_append_printf(text, "  - {team: team%u, max_running_jobs: 10}\n", i);
	g_string_append(text, "pools:\n");
	for (unsigned i = 0; i < pool_count; i++)
		g_string_append_printf(text,
				       "  - name: p%u\n    spare: %s\n    keep_vms: 2\n"
				       "    min_vms: 2\n    may_leave: ['*']\n    classes:\n"
				       "      - {name: all, path_prefix: /, deadline_ms: 1000,"
				       " repeatable: true}\n",
				       i, i == 0 ? "true" : "false");
	if (template_parse("bench", text->str, text->len, NULL, 0, &body.template_, error,
			   sizeof(error)) != 0)
		g_error("%s", error);
	body.expected_revision = org == NULL ? 0 : org->revision;
	body.author = "bench";
	command.body_case = LP__COMMAND__BODY_APPLY_TEMPLATE;
	command.apply_template = &body;
	apply_command(fleet, &command);
	lp__template__free_unpacked(body.template_, NULL);
	g_string_free(text, TRUE);
}

static void add_vm(fleet_t *fleet, health_t *health, unsigned i, unsigned pool_count)
{
	Lp__Command command = LP__COMMAND__INIT;
	Lp__VmRegister registration = LP__VM_REGISTER__INIT;
	Lp__TargetReport report = LP__TARGET_REPORT__INIT;
	char *id = g_strdup_printf("barid-vm%04u", i);
	char *pool = g_strdup_printf("p%u", i / DATA_CENTRE_COUNT % pool_count);
	char *dc = g_strdup_printf("dc-%u", i % DATA_CENTRE_COUNT);
	char *rack = g_strdup_printf("rack-%u-%u", i % DATA_CENTRE_COUNT,
				     i / DATA_CENTRE_COUNT / VMS_PER_RACK);
	char *address = g_strdup_printf("10.0.%u.%u:8080", i / 250, i % 250);

	registration.vm = id;
	registration.organisation = "bench";
	registration.data_centre = dc;
	registration.rack = rack;
	registration.address = address;
	registration.pool_hint = pool;
	registration.image = "base";
	registration.cores = 64;
	registration.mem_mib = 262144;
	registration.accelerators = 2;
	registration.slots = 8;
	registration.connections = 64;
	command.body_case = LP__COMMAND__BODY_VM_REGISTER;
	command.vm_register = &registration;
	apply_command(fleet, &command);
	report.vm = id;
	report.reg = &registration;
	report.echoed_epoch = fleet_vm_find(fleet, id)->epoch;
	health_report(health, &report, NOW_US);
	g_free(id);
	g_free(pool);
	g_free(dc);
	g_free(rack);
	g_free(address);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void measure_planner(const char *state_name, unsigned vm_count, unsigned pool_count,
			    const fleet_t *fleet, const health_t *health)
{
	const plan_input_t input = {
		.fleet = fleet,
		.health = health,
		.all_applied = always_applied,
		.in_contact = always_in_contact,
		.platform_done = platform_never_done,
		.now_us = NOW_US + US_PER_S,
		.wall_ms = WALL_TIME_MS,
	};
	double run_ms[RUN_COUNT];
	unsigned action_count = 0;

	for (unsigned i = 0; i < RUN_COUNT; i++) {
		gint64 start_us = g_get_monotonic_time();
		GPtrArray *plan = planner_run(&input);

		run_ms[i] = (double)(g_get_monotonic_time() - start_us) / 1000;
		action_count = plan->len;
		g_ptr_array_unref(plan);
	}
	qsort(run_ms, RUN_COUNT, sizeof(run_ms[0]), compare_doubles);
	printf("%s,%u,%u,%.3f,%.3f,%.3f,%u\n", state_name, vm_count, pool_count,
	       run_ms[RUN_COUNT / 2], run_ms[0], run_ms[RUN_COUNT - 1], action_count);
}

static void measure_fleet(unsigned vm_count, unsigned pool_count)
{
	fleet_t fleet;
	health_t health;
	size_t heap_before_bytes = mallinfo2().uordblks;
	size_t heap_with_template_bytes;
	size_t heap_with_vms_bytes;
	size_t snapshot_bytes;
	uint8_t *snapshot;

	next_log_index = 1;
	fleet_init(&fleet);
	health_init(&health, ROUTING_LEASE_US, LOST_TIMEOUT_US);
	apply_template(&fleet, pool_count, "base");
	heap_with_template_bytes = mallinfo2().uordblks;
	for (unsigned i = 0; i < vm_count; i++)
		add_vm(&fleet, &health, i, pool_count);
	heap_with_vms_bytes = mallinfo2().uordblks;
	snapshot = fleet_save(&fleet, &snapshot_bytes);
	free(snapshot);
	measure_planner("steady", vm_count, pool_count, &fleet, &health);
	apply_template(&fleet, pool_count, "next");
	measure_planner("wave", vm_count, pool_count, &fleet, &health);
	printf("size,%u,%u,template %zu B,VM %.0f B,snapshot %zu B\n", vm_count, pool_count,
	       heap_with_template_bytes - heap_before_bytes,
	       (double)(heap_with_vms_bytes - heap_with_template_bytes) / vm_count, snapshot_bytes);
	fleet_finish(&fleet);
	health_finish(&health);
}

int main(void)
{
	/* pairs of the number of VMs and the number of pools */
	static const unsigned fleet_sizes[][2] = {{50, 5},   {200, 28},	 {400, 28}, {800, 28},
						  {1600, 7}, {1600, 28}, {1600, 56}};

	puts("state,vms,pools,median_ms,least_ms,greatest_ms,actions");
	for (size_t i = 0; i < G_N_ELEMENTS(fleet_sizes); i++)
		measure_fleet(fleet_sizes[i][0], fleet_sizes[i][1]);
	return 0;
}
