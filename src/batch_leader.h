#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "batch_state.h"
#include "metrics.h"
#include "vm_port.h"

/**
 * @file
 * Runs the batch jobs on the leader of the log: holds the leases of the VMs, records ends, places
 * waiting tasks, orders starts and stops, restarts what was lost, and carries out maintenance
 * waves. Event-driven, without a network or a clock of its own: orders go out through vm_port_t,
 * commands through batch_propose_fn, and time comes in as an argument or through now().
 */

typedef void (*batch_proposed_fn)(void *arg, Lp__ResultCode code);
/** Proposes a command; done is called once it was applied here, or with how it failed. */
typedef void (*batch_propose_fn)(void *arg, Lp__BatchCommand *command, batch_proposed_fn done,
				 void *done_arg);

typedef struct {
	uint32_t lease_ms;	/**< granted to what runs on a VM */
	uint32_t late_order_ms; /**< an order without an answer may be carried out so much later */
	uint32_t clock_skew_percent; /**< a VM's clock may be slower by so much */
	uint32_t hold_wait_ms;	     /**< longest wait of a hold for an end */
	uint32_t silent_ms;	     /**< without a report for so long, a VM gets no new tasks */
	uint32_t holder_lease_ms;    /**< orders of two leaders to one machine are so far apart */
	uint32_t maintenance_ms;     /**< a machine is down so long for maintenance */
	uint32_t orders_per_s;	     /**< that the platform takes */
	uint32_t move_ms;	     /**< a machine is down so long for a move */
	const char *name;	     /**< of this process, as holder of machines */
} batch_leader_config_t;

typedef struct {
	batch_leader_config_t config;
	batch_state_t *state;
	vm_port_t port;
	batch_propose_fn propose;
	uint64_t (*now_us)(void *arg);
	uint64_t (*wall_ms)(void *arg);
	void *arg; /**< of propose, now_us and wall_ms */
	metrics_t *metrics;
} batch_leader_options_t;

struct batch_leader;
typedef struct batch_leader batch_leader_t;

batch_leader_t *batch_leader_create(const batch_leader_options_t *options);
void batch_leader_destroy(batch_leader_t *leader);

/** This process leads from now on. @param term is the fencing token of its orders */
void batch_leader_activate(batch_leader_t *leader, uint64_t term);
/** This process does not lead any more: no orders are sent, answers are ignored. */
void batch_leader_deactivate(batch_leader_t *leader);
bool batch_leader_active(const batch_leader_t *leader);

/** A VM reported at heard_us. @return false when the report is older than what is known */
bool batch_leader_report(batch_leader_t *leader, const vm_report_t *report, uint64_t heard_us);
/** Data centre of a VM; NULL: unknown. */
const char *batch_leader_data_centre(const batch_leader_t *leader, const char *vm_id);
size_t batch_leader_vm_count(const batch_leader_t *leader);
/** A VM has left after a graceful end. */
void batch_leader_left(batch_leader_t *leader, const char *vm_id);
/** Looks after all VMs and machines, then places. Call it every 25 to 50 ms. */
void batch_leader_tick(batch_leader_t *leader);
/** Places what may be placed; call it after events. */
void batch_leader_work(batch_leader_t *leader);
/** Work may be placed: a job was accepted or a VM has room. Runs at the next tick. */
void batch_leader_wake(batch_leader_t *leader);

typedef struct {
	bool accept;
	uint32_t retry_after_s;
	const char *reason; /**< static */
} batch_admission_t;
/**
 * Whether a job should be accepted now. Every job is: a late one keeps some worth, and takes only
 * room that no job in time can use (batch_order.h).
 */
batch_admission_t batch_leader_admit(batch_leader_t *leader, const Lp__BatchQueue *queue,
				     const Lp__BatchJob *job);
