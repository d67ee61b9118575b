#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "batch_leader.h"
#include "metrics.h"

/**
 * @file
 * A simulated fleet with a virtual clock, for tests of the leader of the batch jobs: VMs with
 * leases, fencing tokens, run numbers and lists of ends; a log that applies commands some ms later;
 * a platform that moves and maintains machines. It injects faults and records broken promises.
 */

typedef struct {
	unsigned services;
	unsigned vms_per_service;
	unsigned standby_vms; /**< machines of a service that is off */
	double late_order;    /**< share of orders without an answer, carried out 2 to 12 s later */
	double lost_answer;   /**< share of orders that are carried out at once without an answer */
	double failing_end;   /**< share of runs that end failed */
	uint32_t crash_every_ms;  /**< a VM ends without notice, on average; 0: never */
	uint32_t silent_every_ms; /**< a VM is cut off for 1 to 6 s, on average; 0: never */
	uint32_t leader_every_ms; /**< another process leads, on average; 0: never */
	uint64_t seed;
} vm_sim_config_t;

struct vm_sim;
typedef struct vm_sim vm_sim_t;

vm_sim_t *vm_sim_create(const vm_sim_config_t *config);
void vm_sim_destroy(vm_sim_t *sim);
/** Runs until the virtual time. */
void vm_sim_run(vm_sim_t *sim, uint64_t until_ms);
/** No more faults from now on. */
void vm_sim_calm(vm_sim_t *sim);
uint64_t vm_sim_now_ms(const vm_sim_t *sim);

/** Submits a job to a service. @param job is copied; its id, host and prefix are set */
void vm_sim_submit(vm_sim_t *sim, const char *id, unsigned service, const Lp__BatchJob *job);
void vm_sim_cancel(vm_sim_t *sim, const char *id);
/** Starts a maintenance wave over all machines. */
void vm_sim_wave(vm_sim_t *sim, uint64_t number, uint32_t max_down);
/** The machine of a service is moved; its answer comes only after the new VM has reported. */
void vm_sim_slow_answers(vm_sim_t *sim, uint32_t platform_ms);
/** What is started on a VM from now on makes no progress. */
void vm_sim_stick(vm_sim_t *sim, unsigned vm);
void vm_sim_change_leader(vm_sim_t *sim);

const batch_state_t *vm_sim_state(const vm_sim_t *sim);
/** Broken promises so far, one line each; "" when none. */
const char *vm_sim_violations(const vm_sim_t *sim);
/** Tasks that run now. */
unsigned vm_sim_running(const vm_sim_t *sim);
uint64_t vm_sim_starts(const vm_sim_t *sim);
uint64_t vm_sim_moves(const vm_sim_t *sim);
