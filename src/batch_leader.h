#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "batch_state.h"
#include "metrics.h"
#include "vm_port.h"

/**
 * @file
 * Manages batch jobs on the leader of the replicated log: extends the task leases of VMs, commits
 * finished runs, places waiting tasks, sends start and stop requests, restarts lost runs, and
 * carries out maintenance waves. It is event-driven and uses neither sockets nor the system clock:
 * VM and platform requests go through vm_port_t, commands through batch_propose_fn, and the time is
 * an argument or the result of now_us() and wall_ms().
 */

typedef void (*batch_proposed_fn)(void *arg, Lp__ResultCode code);
/**
 * Proposes a command to the replicated log. Calls done(done_arg, code) after the command was
 * applied locally, or with the error.
 */
typedef void (*batch_propose_fn)(void *arg, Lp__BatchCommand *command, batch_proposed_fn done,
				 void *done_arg);

typedef struct {
	uint32_t lease_ms;	  /**< length of the lease granted to a VM's tasks */
	uint32_t late_request_ms; /**< an unanswered request is carried out after at most this time,
				   or never */
	uint32_t clock_skew_percent; /**< a VM's clock may run slower by up to this */
	uint32_t hold_wait_ms;	     /**< longest time a hold request waits for a run to finish */
	uint32_t report_timeout_ms;  /**< a VM without reports for this long gets no new tasks */
	uint32_t holder_lease_ms; /**< least time between platform requests of two leaders for the
				     same machine */
	uint32_t maintenance_ms;  /**< expected downtime of a machine for maintenance */
	uint32_t platform_requests_per_s; /**< rate limit of the platform's HTTP API */
	uint32_t move_ms; /**< expected downtime of a machine for a move to another pool */
	const char *name; /**< name of this process in platform requests */
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
 * Starts managing batch jobs after this process became leader.
 * @param term Raft term, used as fencing token in VM requests
 */
void batch_leader_activate(batch_leader_t *leader, uint64_t term);
/**
 * Stops managing batch jobs after this process lost leadership. Sends no more requests and ignores
 * pending responses.
 */
void batch_leader_deactivate(batch_leader_t *leader);
bool batch_leader_active(const batch_leader_t *leader);

/** Handles a report of a VM. @return false when the report is outdated */
bool batch_leader_report(batch_leader_t *leader, const vm_report_t *report, uint64_t received_us);
/** @return data centre of a VM, or NULL when unknown */
const char *batch_leader_data_centre(const batch_leader_t *leader, const char *vm_id);
size_t batch_leader_machine_count(const batch_leader_t *leader);
/** Handles a VM's notice that it shuts down. */
void batch_leader_vm_shutdown(batch_leader_t *leader, const char *vm_id);
/**
 * Does the periodic work for all VMs, machines and waves, then places waiting tasks. Call it every
 * 25 to 50 ms.
 */
void batch_leader_tick(batch_leader_t *leader);
/**
 * Places waiting tasks unless nothing has changed since the last placement. Call it after events.
 */
void batch_leader_place_tasks(batch_leader_t *leader);
/** Requests a placement at the next tick, for example after a job was accepted. */
void batch_leader_request_placement(batch_leader_t *leader);

typedef struct {
	bool accept;
	uint32_t retry_after_s;
	const char *reason; /**< static string */
} batch_admission_t;
/**
 * Decides whether to accept a job. It accepts every job: a late job still has some value and only
 * uses capacity that no job on schedule can use (see batch_order.h).
 */
batch_admission_t batch_leader_admit(batch_leader_t *leader, const Lp__BatchQueue *queue,
				     const Lp__BatchJob *job);
