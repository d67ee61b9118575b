/*
 * Time of one planner run, size of the snapshot and heap of the fleet state, by number of VMs and
 * pools.
 *
 *   bench_scale
 *
 * The fleet lies in 5 data centres with 4 VMs to a rack. "steady": all VMs run the template's
 * image. "wave": the template asks for another image, so every VM is due for maintenance.
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

#define RUNS 9
#define CENTRES 5
#define RACK 4
#define QUOTAS 480
#define ROUTING_LEASE_US (4 * US_PER_S)
#define LOST_US (10 * US_PER_S)
#define NOW_US (1000 * US_PER_S)
/* Monday, 5 January 2026, 22:00 UTC. */
#define WALL_MS (1767650400ULL * 1000)

static bool yes_index(void *arg, const char *data_centre, uint64_t index)
{
	return true;
}

static bool yes_contact(void *arg, const char *data_centre)
{
	return true;
}

static bool not_done(void *arg, const fleet_vm_t *vm, plan_kind_t kind)
{
	return false;
}

static uint64_t next_index = 1;

static void apply(fleet_t *fleet, Lp__Command *command)
{
	Lp__Result result;

	command->time_ms = WALL_MS;
	fleet_apply(fleet, next_index++, command, &result);
	if (result.code != LP__RESULT_CODE__RESULT_OK)
		g_error("command refused: %s", result.message);
}

static void apply_template(fleet_t *fleet, unsigned pools, const char *image)
{
	GString *text = g_string_new("organisation: bench\n");
	Lp__Command command = LP__COMMAND__INIT;
	Lp__ApplyTemplate body = LP__APPLY_TEMPLATE__INIT;
	const fleet_org_t *org = fleet_org_find(fleet, "bench");
	char error[512];

	g_string_append_printf(text, "maintenance: {image: %s}\nquotas:\n", image);
	for (unsigned i = 0; i < QUOTAS; i++)
		g_string_append_printf(text, "  - {team: team%u, max_running_jobs: 10}\n", i);
	g_string_append(text, "pools:\n");
	for (unsigned i = 0; i < pools; i++)
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
	apply(fleet, &command);
	lp__template__free_unpacked(body.template_, NULL);
	g_string_free(text, TRUE);
}

static void add_vm(fleet_t *fleet, health_t *health, unsigned i, unsigned pools)
{
	Lp__Command command = LP__COMMAND__INIT;
	Lp__VmRegister reg = LP__VM_REGISTER__INIT;
	Lp__TargetReport report = LP__TARGET_REPORT__INIT;
	char *id = g_strdup_printf("barid-vm%04u", i);
	char *pool = g_strdup_printf("p%u", i / CENTRES % pools);
	char *dc = g_strdup_printf("dc-%u", i % CENTRES);
	char *rack = g_strdup_printf("rack-%u-%u", i % CENTRES, i / CENTRES / RACK);
	char *address = g_strdup_printf("10.0.%u.%u:8080", i / 250, i % 250);

	reg.vm = id;
	reg.organisation = "bench";
	reg.data_centre = dc;
	reg.rack = rack;
	reg.address = address;
	reg.pool_hint = pool;
	reg.image = "base";
	reg.cores = 64;
	reg.mem_mib = 262144;
	reg.accelerators = 2;
	reg.slots = 8;
	reg.connections = 64;
	command.body_case = LP__COMMAND__BODY_VM_REGISTER;
	command.vm_register = &reg;
	apply(fleet, &command);
	report.vm = id;
	report.reg = &reg;
	report.echoed_epoch = fleet_vm_find(fleet, id)->epoch;
	health_report(health, &report, NOW_US);
	g_free(id);
	g_free(pool);
	g_free(dc);
	g_free(rack);
	g_free(address);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void measure(const char *state, unsigned vms, unsigned pools, const fleet_t *fleet,
		    const health_t *health)
{
	const plan_input_t input = {
		.fleet = fleet,
		.health = health,
		.all_applied = yes_index,
		.in_contact = yes_contact,
		.platform_done = not_done,
		.now_us = NOW_US + US_PER_S,
		.wall_ms = WALL_MS,
	};
	double ms[RUNS];
	unsigned actions = 0;

	for (unsigned i = 0; i < RUNS; i++) {
		gint64 start_us = g_get_monotonic_time();
		GPtrArray *plan = planner_run(&input);

		ms[i] = (double)(g_get_monotonic_time() - start_us) / 1000;
		actions = plan->len;
		g_ptr_array_unref(plan);
	}
	qsort(ms, RUNS, sizeof(ms[0]), compare);
	printf("%s,%u,%u,%.3f,%.3f,%.3f,%u\n", state, vms, pools, ms[RUNS / 2], ms[0], ms[RUNS - 1],
	       actions);
}

static void run(unsigned vms, unsigned pools)
{
	fleet_t fleet;
	health_t health;
	size_t empty = mallinfo2().uordblks;
	size_t with_template;
	size_t with_vms;
	size_t length;
	uint8_t *snapshot;

	next_index = 1;
	fleet_init(&fleet);
	health_init(&health, ROUTING_LEASE_US, LOST_US);
	apply_template(&fleet, pools, "base");
	with_template = mallinfo2().uordblks;
	for (unsigned i = 0; i < vms; i++)
		add_vm(&fleet, &health, i, pools);
	with_vms = mallinfo2().uordblks;
	snapshot = fleet_save(&fleet, &length);
	free(snapshot);
	measure("steady", vms, pools, &fleet, &health);
	apply_template(&fleet, pools, "next");
	measure("wave", vms, pools, &fleet, &health);
	printf("size,%u,%u,template %zu B,VM %.0f B,snapshot %zu B\n", vms, pools,
	       with_template - empty, (double)(with_vms - with_template) / vms, length);
	fleet_finish(&fleet);
	health_finish(&health);
}

int main(void)
{
	static const unsigned sizes[][2] = {{50, 5},   {200, 28},  {400, 28}, {800, 28},
					    {1600, 7}, {1600, 28}, {1600, 56}};

	puts("state,vms,pools,median_ms,least_ms,greatest_ms,actions");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		run(sizes[i][0], sizes[i][1]);
	return 0;
}
