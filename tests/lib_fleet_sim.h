#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "health.h"
#include "planner.h"

/**
 * @file
 * A fleet with a virtual clock, for tests and benchmarks of the planner: targets that announce
 * themselves once a second, a platform that drains and reboots, and faults. The log is applied at
 * once; entry processes of a data centre apply it one step later.
 */

#define SIM_VM_MAX 128
#define SIM_DC_MAX 4

typedef struct {
	char id[16];
	int dc;
	char rack[16];
	char image[32];
	bool down;	     /**< failed or rebooting */
	uint64_t up_at_us;   /**< when it is up again */
	uint64_t told_epoch; /**< by the answer to its latest announcement */
	bool told_cordoned;
	uint64_t told_us;     /**< first announcement that echoed the cordon; 0: none */
	uint64_t drain_epoch; /**< of the latest platform operation */
	uint64_t reboot_epoch;
	uint32_t in_flight;
	uint64_t served;
	uint64_t reboot_us; /**< time that its next reboot takes */
} sim_vm_t;

typedef struct sim sim_t;

struct sim {
	fleet_t fleet;
	health_t health;
	GRand *rand;
	uint64_t now_us;
	uint64_t wall_ms;
	uint64_t index;
	sim_vm_t vms[SIM_VM_MAX];
	size_t vm_count;
	int dc_count;
	bool cut[SIM_DC_MAX];	      /**< out of contact with the leader */
	bool stuck[SIM_DC_MAX];	      /**< one of its entry processes applies nothing */
	uint64_t applied[SIM_DC_MAX]; /**< by all entry processes of the data centre */
	GArray *demands;	      /**< pool_demand_t, or NULL */
	GPtrArray *(*plan)(const plan_input_t *input);
	/** Called before an action is applied. */
	void (*check)(sim_t *sim, const plan_action_t *action);
	uint64_t moves;
	uint64_t maintained;
	uint64_t grants;
	uint64_t violations; /**< permits granted without free budget */
};

/** Reads an example template with the defaults of its parameters; ends the program on errors. */
Lp__Template *sim_load_template(const char *file);
void sim_init(sim_t *sim, uint32_t seed);
void sim_finish(sim_t *sim);
/** Applies a command without an operation id. @return its code */
Lp__ResultCode sim_apply(sim_t *sim, Lp__Command *command);
/** Applies a template at the current revision. */
Lp__ResultCode sim_apply_template(sim_t *sim, const Lp__Template *template);
/** Adds and registers a VM that serves at once. */
sim_vm_t *sim_add_vm(sim_t *sim, const char *org, const char *pool, int dc, int rack,
		     const char *image);
void sim_fail_vm(sim_t *sim, sim_vm_t *vm, uint64_t for_us);
sim_vm_t *sim_find_vm(const sim_t *sim, const char *id);
plan_input_t sim_input(sim_t *sim);
/** Advances by one second: announcements, one run of the planner, its actions. */
void sim_step(sim_t *sim);
/** True when no VM is under a maintenance permit and none of the organisation is due. */
bool sim_wave_finished(const sim_t *sim, const char *org);
