#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "health.h"

/**
 * @file
 * Decides which VMs are granted permits for maintenance or moves, and which phase changes and
 * platform requests follow. Has no side effects. Runs on the leader once a second and after state
 * changes, and for `template plan`.
 */

typedef enum {
	PLAN_CORDON, /**< grant a permit and cordon the VM */
	PLAN_SET_PHASE,
	PLAN_ASSIGN, /**< complete a move: assign the VM to its new pool */
	PLAN_DRAIN,  /**< request a drain from the platform */
	PLAN_REBOOT, /**< request a reboot from the platform */
	PLAN_WAVE,   /**< start, pause, resume, stop or finish a maintenance wave */
} plan_kind_t;

/**
 * One action of the planner. It owns reason; its other strings are literals or owned by the fleet.
 */
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
			/** image that the VM has booted; NULL: no change */
			const char *image;
		} step;
		struct {
			const fleet_pool_t *pool;
		} assign;
		struct {
			uint64_t id; /**< id of the wave; 0: start a new wave */
			const fleet_org_t *org;
			const char *image;
			Lp__WaveState state;
			uint32_t batch; /**< new batch size of the wave; 0: not changed */
		} wave;
	};
} plan_action_t;

/**
 * Smoothed demand of a pool: slots in use plus queued requests, summed over all entry processes.
 */
typedef struct {
	const fleet_pool_t *pool;
	double slots_mean;	/**< moving average with a time constant of 5 minutes */
	double slots_sustained; /**< lowest demand within CAPACITY_SUSTAINED_WINDOW_US */
	double slots_peak;	/**< highest demand within CAPACITY_SURPLUS_WINDOW_US */
} pool_demand_t;

typedef struct {
	const fleet_t *fleet;
	const health_t *health;
	const pool_demand_t *demands;
	size_t demand_count;
	/**
	 * Returns true when every entry process of the data centre has applied the replicated log
	 * up to the given index.
	 */
	bool (*all_applied)(void *arg, const char *data_centre, uint64_t index);
	/** Returns true when the leader reaches at least one entry process of the data centre. */
	bool (*in_contact)(void *arg, const char *data_centre);
	/**
	 * Returns true when the platform has completed the drain or reboot that was requested for
	 * the VM at its current epoch.
	 * @param kind PLAN_DRAIN or PLAN_REBOOT
	 */
	bool (*platform_done)(void *arg, const fleet_vm_t *vm, plan_kind_t kind);
	void *arg;
	uint64_t now_us;
	uint64_t wall_ms;
} plan_input_t;

/**
 * Runs the planner once.
 * @return array of plan_action_t *, freed with g_ptr_array_unref()
 */
GPtrArray *planner_run(const plan_input_t *input);

/** Estimated effect of applying a template, for `template plan`. */
typedef struct {
	uint32_t moves;
	uint32_t maintenance;
	uint64_t rollout_ms; /**< estimated duration of the maintenance wave */
	/**
	 * Lower bound of the wave's duration, assuming that every reboot takes reboot_ms. It
	 * follows from the pools' budgets, the racks and the growth of the batch. A wave whose
	 * reboots differ in length can end earlier.
	 */
	uint64_t rollout_bound_ms;
	/** sum over the pools of the VMs in excess of keep_vms, without lost or quarantined VMs */
	uint32_t buffer_vms;
	uint32_t at_risk; /**< pools with fewer usable VMs than keep_vms plus the failure reserve */
	char *text;	  /**< explanation, one line per pool; freed by plan_estimate_finish() */
} plan_estimate_t;

/**
 * Estimates what applying a template would change.
 * @param proposed template to apply; input->fleet holds the current one
 * @param reboot_ms expected duration of a reboot
 * @param estimate filled by the function; release it with plan_estimate_finish()
 */
void planner_estimate(const plan_input_t *input, const Lp__Template *proposed, uint64_t reboot_ms,
		      plan_estimate_t *estimate);
void plan_estimate_finish(plan_estimate_t *estimate);
