#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "batch_state.h"
#include "metrics.h"
#include "vm_port.h"

/**
 * @file
 * Manages batch jobs on the leader of the replicated log: renews the task leases of VMs, commits
 * finished runs, places waiting tasks, sends start and stop requests, restarts lost runs, and
 * carries out maintenance waves. It is event-driven and uses neither sockets nor the system clock:
 * requests to VMs and to the platform go through vm_port_t, commands through batch_propose_fn, and
 * the time is passed as an argument or read with now_us() and wall_ms().
 */

typedef void (*batch_proposed_fn)(void *arg, Lp__ResultCode code);
/**
 * Proposes a command to the replicated log. Calls done(done_arg, code) once the command is applied
 * on this replica, or with an error code if it is not committed.
 */
typedef void (*batch_propose_fn)(void *arg, Lp__BatchCommand *command, batch_proposed_fn done,
				 void *done_arg);

typedef struct {
	uint32_t lease_ms;	  /**< duration of the lease granted to the tasks on a VM */
	uint32_t lease_max_ms;	  /**< longest lease that a VM accepts; it shortens longer ones */
	uint32_t late_request_ms; /**< longest time from sending a request that stays unanswered
				     until the VM carries it out */
	uint32_t clock_skew_percent; /**< most by which a VM's clock can run slow, in percent */
	uint32_t hold_wait_ms; /**< longest time that a VM delays the response to a hold request */
	uint32_t report_timeout_ms; /**< a VM gets no new tasks when its latest report is older than
				       this */
	uint32_t holder_lease_ms;   /**< time for which a leader sends no platform request for a
				       machine after another leader has sent one for it */
	uint32_t maintenance_ms;    /**< expected downtime of a machine for maintenance */
	uint32_t platform_requests_per_s; /**< rate limit of the platform's HTTP API */
	uint32_t move_ms; /**< expected downtime of a machine for a move to another pool */
	uint32_t stop_ms; /**< longest time that a VM takes to stop a run */
	const char *name; /**< name that identifies this process in platform requests */
} batch_leader_config_t;

typedef struct {
	batch_leader_config_t config;
	batch_state_t *state;
	vm_port_t port;
	batch_propose_fn propose;
	uint64_t (*now_us)(void *arg);
	uint64_t (*wall_ms)(void *arg);
	void *arg; /**< first argument of propose, now_us and wall_ms */
	metrics_t *metrics;
} batch_leader_options_t;

struct batch_leader;
typedef struct batch_leader batch_leader_t;

batch_leader_t *batch_leader_create(const batch_leader_options_t *options);
void batch_leader_destroy(batch_leader_t *leader);

/**
 * Starts managing batch jobs after this process has become leader.
 * @param term Raft term, sent as fencing token in VM requests
 */
void batch_leader_activate(batch_leader_t *leader, uint64_t term);
/**
 * Stops managing batch jobs after this process has lost leadership. Sends no further requests and
 * ignores the responses to requests in flight.
 */
void batch_leader_deactivate(batch_leader_t *leader);
bool batch_leader_active(const batch_leader_t *leader);

/** Handles a VM's report. @return false when the report is outdated and was ignored */
bool batch_leader_report(batch_leader_t *leader, const vm_report_t *report, uint64_t received_us);
/** @return data centre of a VM, or NULL when unknown */
const char *batch_leader_data_centre(const batch_leader_t *leader, const char *vm_id);
size_t batch_leader_machine_count(const batch_leader_t *leader);
/**
 * Returns whether a task of the job has begun on a VM, as far as is known. A run that an earlier
 * leader has assigned counts as begun until its VM has answered, unless the VM is silent for longer
 * than the interval of its reports.
 */
bool batch_leader_job_begun(const batch_leader_t *leader, const batch_job_t *job);
/** Handles a VM's announcement that it shuts down. */
void batch_leader_vm_shutdown(batch_leader_t *leader, const char *vm_id);
/**
 * Does the periodic work for all VMs, machines and maintenance waves, then places waiting tasks.
 * Must be called every 25 to 50 ms.
 */
void batch_leader_tick(batch_leader_t *leader);
/**
 * Tells how long messages wait before this process reads them. It counts as load like a late tick.
 */
void batch_leader_set_input_delay(batch_leader_t *leader, uint64_t delay_us);
/**
 * Keeps the forecast of demand up to date on a process that does not lead, so that it can plan at
 * once when it becomes leader. Called instead of batch_leader_tick().
 */
void batch_leader_observe(batch_leader_t *leader);
/**
 * Places waiting tasks if anything has changed since the last placement pass. Called after events
 * such as a finished run.
 */
void batch_leader_place_tasks(batch_leader_t *leader);
/** Makes the next tick run a placement pass, for example after a job was accepted. */
void batch_leader_request_placement(batch_leader_t *leader);

/** Returns the smoothed delay of the ticks in us, a measure of the load of this process. */
uint64_t batch_leader_lag_us(const batch_leader_t *leader);
