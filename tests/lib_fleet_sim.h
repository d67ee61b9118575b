#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "health.h"
#include "planner.h"

/**
 * @file
 * Simulates a fleet with a virtual clock, for tests and benchmarks of the planner. Targets announce
 * themselves once a second, a platform drains and reboots VMs, and faults can be injected. Commands
 * are applied at once; the entry processes of a data centre apply them one step later.
 */

#define SIM_VM_MAX 128
#define SIM_DC_MAX 4

typedef struct {
	char id[16];
	int dc;
	char rack[16];
	char image[32];
	bool down;	   /**< the VM does not announce itself: it has failed or is rebooting */
	uint64_t up_at_us; /**< time when the VM is up again; valid while down */
	uint64_t answered_epoch; /**< epoch in the response to the latest announcement */
	bool answered_cordoned;
	uint64_t cordon_echoed_us; /**< time of the first echo of the cordon; 0: none */
	uint64_t drain_epoch;	   /**< epoch of the VM at the latest drain request */
	uint64_t reboot_epoch;
	uint32_t in_flight;
	uint64_t served;
	uint64_t reboot_us; /**< duration of the VM's next reboot */
} sim_vm_t;

typedef struct sim sim_t;

struct sim {
	fleet_t fleet;
	health_t health;
	GRand *rand;
	uint64_t now_us;
	uint64_t wall_ms;
	uint64_t log_index;
	sim_vm_t vms[SIM_VM_MAX];
	size_t vm_count;
	int dc_count;
	bool unreachable[SIM_DC_MAX]; /**< data centres that the leader cannot reach */
	/** data centres whose processes apply no commands: applied_index does not advance */
	bool apply_stalled[SIM_DC_MAX];
	/** log index up to which all entry processes of the data centre have applied the log */
	uint64_t applied_index[SIM_DC_MAX];
	GArray *demands; /**< array of pool_demand_t, or NULL */
	GPtrArray *(*plan)(const plan_input_t *input);
	/** Called before each planner action is applied; may be NULL. */
	void (*before_action)(sim_t *sim, const plan_action_t *action);
	uint64_t moves;
	uint64_t reboots;
	uint64_t permits_granted;
	uint64_t violations; /**< number of permits granted although the pool had no free budget */
};

/**
 * Reads a template file from examples/ with the default values of its parameters. Ends the program
 * on an error.
 */
Lp__Template *sim_load_template(const char *file);
void sim_init(sim_t *sim, uint32_t seed);
void sim_finish(sim_t *sim);
/**
 * Applies a command without an operation id.
 * @return the command's result code
 */
Lp__ResultCode sim_apply_command(sim_t *sim, Lp__Command *command);
/** Applies the template as a change of the organisation's current revision. */
Lp__ResultCode sim_apply_template(sim_t *sim, const Lp__Template *template);
/** Adds and registers a VM. It announces itself from the next step on. */
sim_vm_t *sim_add_vm(sim_t *sim, const char *org, const char *pool, int dc, int rack,
		     const char *image);
void sim_fail_vm(sim_t *sim, sim_vm_t *vm, uint64_t for_us);
sim_vm_t *sim_find_vm(const sim_t *sim, const char *id);
plan_input_t sim_input(sim_t *sim);
/**
 * Advances the clock by one second: the VMs announce themselves, then the planner runs up to 4
 * times and its actions are applied.
 */
void sim_step(sim_t *sim);
/**
 * True when no VM of the organisation has a permit and all its active VMs run the template's image.
 */
bool sim_wave_finished(const sim_t *sim, const char *org);
