#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "health.h"

/**
 * @file
 * Decides maintenance and moves: which permits to grant and which steps to take. Pure; runs on the
 * leader once a second and for `template plan`.
 */

typedef enum {
	PLAN_CORDON, /**< grant a permit and cordon the VM */
	PLAN_STEP,   /**< change the VM's phase */
	PLAN_ASSIGN, /**< complete a move */
	PLAN_DRAIN,  /**< ask the platform to drain the VM */
	PLAN_REBOOT, /**< ask the platform to reboot the VM */
	PLAN_WAVE,   /**< start, pause, stop or finish a wave */
} plan_kind_t;

/** One action; strings point into the fleet or are literals, except reason, which is owned. */
typedef struct {
	plan_kind_t kind;
	const fleet_vm_t *vm;
	char *reason;
	union {
		struct {
			Lp__PermitKind permit;
			const fleet_pool_t *to_pool;
			uint64_t wave;
		} cordon;
		struct {
			Lp__VmPhase from;
			Lp__VmPhase to;
			const char *image; /**< NULL: unchanged */
		} step;
		struct {
			const fleet_pool_t *pool;
		} assign;
		struct {
			uint64_t id; /**< 0 starts a wave */
			const fleet_org_t *org;
			const char *image;
			Lp__WaveState state;
			uint32_t batch; /**< 0: unchanged */
		} wave;
	};
} plan_action_t;

/** Smoothed demand of a pool, in slots; the leader's view over all processes. */
typedef struct {
	const fleet_pool_t *pool;
	double slots_mean;	/**< mean slots in use or wanted, long average */
	double slots_sustained; /**< lowest demand over the sustain period: need that lasts */
	double slots_peak;	/**< highest demand over the surplus period */
} pool_demand_t;

typedef struct {
	const fleet_t *fleet;
	const health_t *health;
	const pool_demand_t *demands;
	size_t demand_count;
	/** True when all entry processes that could route to the VM have applied the index. */
	bool (*all_applied)(void *arg, const char *data_centre, uint64_t index);
	/** True when every member of the data centre is reachable from the leader. */
	bool (*in_contact)(void *arg, const char *data_centre);
	/** Platform's view: true when a drain or reboot requested for the VM and epoch is complete.
	 */
	bool (*platform_done)(void *arg, const fleet_vm_t *vm, plan_kind_t kind);
	void *arg;
	uint64_t now_us;
	uint64_t wall_ms;
} plan_input_t;

/** @return array of plan_action_t *, freed with g_ptr_array_unref() */
GPtrArray *planner_run(const plan_input_t *input);

/** What a template would do; for `template plan`. */
typedef struct {
	uint32_t moves;
	uint32_t maintenance;
	uint64_t rollout_ms; /**< estimated roll-out time of the wave */
	/** Lower bound that budgets, racks and the growth of the batch allow when all reboots take
	 * reboot_ms; reboots of unequal length can end earlier. */
	uint64_t rollout_bound_ms;
	uint32_t buffer_vms; /**< VMs held idle for the promises */
	uint32_t at_risk;    /**< pools whose budget cannot be kept with the VMs they have */
	char *text;	     /**< explanation, one line per pool */
} plan_estimate_t;

/**
 * @param proposed the template to be applied; the fleet holds the current one
 * @param reboot_ms expected time a VM is out
 */
void planner_estimate(const plan_input_t *input, const Lp__Template *proposed, uint64_t reboot_ms,
		      plan_estimate_t *estimate);
void plan_estimate_finish(plan_estimate_t *estimate);
