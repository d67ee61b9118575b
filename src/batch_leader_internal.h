#pragma once

#include <glib.h>

#include "batch_leader.h"
#include "batch_lease.h"
#include "clock.h"

/**
 * @file
 * Declarations shared by the files of the batch leader: batch_leader.c (VMs and activation),
 * batch_hold.c (leases, hold requests, finished and lost runs), batch_dispatch.c (placement),
 * batch_orders.c (start, stop and pace requests), batch_ticket.c (tickets of the policy service),
 * batch_upkeep.c (maintenance waves, evacuation) and batch_machines.c (the platform's machines,
 * moves between pools).
 */

/** The leader's view of one incarnation of a VM. Not replicated. */
typedef struct leader_vm {
	LIST_ENTRY(leader_vm) link;
	batch_leader_t *leader;
	char *id;
	char *machine;
	char *service;
	char *address;
	char *data_centre;
	char *rack;
	char **labels;
	size_t label_count;
	uint32_t cpu_milli;
	uint32_t mem_mib;
	uint32_t gpu;
	uint64_t born_ms;
	uint64_t seq;
	uint64_t last_report_us;   /**< when the latest report arrived; 0: none since activation */
	uint64_t vm_clock_ms;	   /**< the VM's clock at vm_clock_read_us */
	uint64_t vm_clock_read_us; /**< leader's time when vm_clock_ms was read; 0: never */
	bool draining;
	uint64_t drain_until_us; /**< a draining VM keeps running at least until then */
	bool cordoned;		 /**< gets no new tasks, before a move or maintenance */
	bool dead;		 /**< has ended and runs nothing any more */
	uint64_t shutdown_us;	 /**< when the VM announced its shutdown; 0: it has not */

	batch_vm_t *record; /**< replicated record of this incarnation, or NULL; use
			       leader_vm_record() */
	uint64_t record_revision;

	bool hold_in_flight;
	bool commit_in_flight; /**< a command with finished runs is being committed */
	bool fence_acked;      /**< has answered a hold request with this leader's fencing token */
	bool unresponsive;     /**< the latest hold request was not answered */
	uint32_t hold_seq;     /**< latest hold request; responses to earlier ones are ignored */
	unsigned probes_sent;  /**< probes sent for the latest hold request */
	uint64_t hold_due_us;
	uint64_t probe_due_us; /**< when to send a probe if the hold request is still unanswered */
	uint64_t unresponsive_since_us; /**< since when it is unresponsive; 0: it responds */
	uint64_t hold_answered_us;	/**< when a hold request was last answered; 0: never */
	batch_lease_t lease;
	uint64_t acked_end;	      /**< latest finished run acknowledged to the VM */
	uint64_t unassigned_last_end; /**< latest finished run of a VM without a record */
	unsigned orphan_count;	      /**< tasks it runs that are not assigned to it in the log */
	unsigned starts_in_flight;

	uint64_t pass_number; /**< the placement pass that place_index belongs to */
	guint place_index;
	unsigned planned_count; /**< start intents being committed */
	int64_t planned_cpu;	/**< thousandths of a core reserved for these intents */
	int64_t planned_mem;
	int64_t planned_gpu;

	uint64_t backoff_until_us; /**< gets no new tasks until then, after it refused a start */
	uint64_t maintenance_resent_us; /**< time of a repeated maintenance request; 0: none */
	uint64_t cordoned_since_us;	/**< when it was cordoned */
	uint64_t pace_due_us;
	double recent_successes; /**< completed runs, decayed with HEALTH_HALF_LIFE_US */
	double recent_failures;
	double slowness; /**< smoothed ratio of measured to declared run time; 1: as declared */
	uint64_t quarantine_until_us;
} leader_vm_t;

/** A machine of the platform. A VM is one incarnation of it. */
typedef struct {
	char *name;
	char *pool; /**< service whose pool the machine is in */
	double cores;
	bool up;
	bool request_in_flight; /**< a platform request for it is being committed or carried out */
	bool requested_by_this_leader; /**< this leader sent the latest platform request for it */
	uint64_t retry_us;
	unsigned busy_replies;
	uint64_t maintenance_since_us; /**< start of its maintenance downtime; 0: not down */
	uint64_t arrival_deadline_us;  /**< must report by then after a move; 0: was not moved */
	uint64_t idle_since_us;	       /**< since when it runs no task; 0: it runs some */
} leader_machine_t;

struct batch_leader {
	batch_leader_config_t config;
	batch_state_t *state;
	vm_port_t port;
	batch_propose_fn propose;
	uint64_t (*now_us)(void *arg);
	uint64_t (*wall_ms)(void *arg);
	void *arg;
	metrics_t *metrics;

	bool active;
	uint64_t term;
	uint64_t generation; /**< activation count; responses to older requests are ignored */
	uint64_t activated_us;
	uint64_t last_tick_us; /**< time of the latest tick */
	uint64_t tick_lag_us;  /**< smoothed delay of ticks, a measure of this process's load */
	LIST_HEAD(leader_vms, leader_vm) vms;
	GHashTable *by_id;	/**< VM id -> leader_vm_t of the latest incarnation, unless dead */
	GHashTable *by_machine; /**< machine -> leader_vm_t, unless dead */
	GHashTable *by_address; /**< address -> leader_vm_t of the latest incarnation */
	GHashTable *ended_incarnations; /**< VM id -> uint64_t: born_ms of its latest ended
					   incarnation */
	uint64_t pass_count;		/**< number of placement passes */
	bool placement_due;
	uint64_t last_placement_us; /**< time of the latest placement pass */
	uint64_t decay_due_us;
	uint64_t adopt_due_us;
	double mean_slowness;

	bool list_in_flight; /**< the platform's list of machines has been requested */
	bool list_complete;  /**< the whole list was received since activation */
	uint64_t list_requested_us;
	uint64_t capacity_due_us;
	uint64_t platform_request_seq; /**< platform requests sent in this term */
	GHashTable *machines;	       /**< name -> leader_machine_t */
	GHashTable *smoothed_need;     /**< pool -> double: smoothed demand in cores */
	uint64_t maintenance_due_us;
	unsigned maintenance_requests_left; /**< maintenance requests allowed in this period */
	struct {
		metrics_counter_t *starts;
		metrics_counter_t *start_refused;
		metrics_counter_t *start_unsure;
		metrics_counter_t *ends;
		metrics_counter_t *lost;
		metrics_counter_t *holds;
		metrics_counter_t *holds_overtaken; /**< a probe was answered first */
		metrics_counter_t *stops;
		metrics_counter_t *dead;
		metrics_histogram_t *start_latency;
	} stats;
};

/** Refers to one incarnation of a VM in the context of an asynchronous call. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	char vm[VM_NAME_MAX];
	uint64_t born_ms;
} vm_handle_t;

uint64_t leader_now_us(const batch_leader_t *leader);
void vm_handle_set(vm_handle_t *handle, const leader_vm_t *vm);
/** @return the VM, or NULL when it is gone or this activation of the leader has ended */
leader_vm_t *vm_handle_get(const vm_handle_t *handle);
vm_ref_t leader_vm_ref(const leader_vm_t *vm);
/** @return the replicated record of the VM's incarnation, or NULL */
batch_vm_t *leader_vm_record(leader_vm_t *vm);
/** Adds a VM that has a replicated record but has not reported yet. */
leader_vm_t *leader_vm_from_record(batch_leader_t *leader, batch_vm_t *record);
void leader_vm_mark_dead(leader_vm_t *vm, const char *reason);
/** Stores the VM's clock as read from a message; 0 is ignored. */
void leader_vm_set_clock(leader_vm_t *vm, uint64_t clock_ms, uint64_t now_us);
/**
 * True when the VM runs no task, is not about to start one, and runs none that the log does not
 * assign to it.
 */
bool leader_vm_is_empty(leader_vm_t *vm);
/** @return estimate of the VM's clock now; 0: unknown */
uint64_t leader_vm_clock_ms(const leader_vm_t *vm, uint64_t now_us);
/** @return hash of a VM id, never 0 */
uint32_t leader_vm_hash(const char *vm_id);
leader_vm_t *leader_vm_of_machine(const batch_leader_t *leader, const char *machine);
bool leader_vm_is_responsive(const leader_vm_t *vm, uint64_t now_us);

void task_id_set(task_id_t *id, const batch_task_t *task);
/** Size in bytes of a buffer for run_label_format(): four numbers and the final 0. */
#define RUN_LABEL_MAX 64
/** Formats a run for log lines: OCCURRENCE.STEP.INDEX run NUMBER. */
void run_label_format(char text[RUN_LABEL_MAX], const task_id_t *id, uint32_t run);
/** Formats the latest run of a task like run_label_format(). */
void run_label_of_task(char text[RUN_LABEL_MAX], const batch_task_t *task);
/** @return the task that a VM refers to, or NULL */
batch_task_t *leader_find_task(const batch_leader_t *leader, const task_id_t *id);

/* batch_hold.c */
batch_lease_limits_t leader_lease_limits(const batch_leader_t *leader);
/**
 * Sends a hold request or a probe when due, and marks the runs of an unresponsive VM as lost once
 * its lease has expired.
 */
void leader_hold_tick(leader_vm_t *vm, uint64_t now_us);
/**
 * Updates the VM's lease after a request that grants one, sent at sent_us, was answered or timed
 * out.
 */
void leader_update_lease(leader_vm_t *vm, const vm_reply_t *reply, uint64_t sent_us);
/** Proposes to commit a run as lost, so that the task is placed again. */
void leader_mark_run_lost(batch_leader_t *leader, batch_task_t *task, const char *reason);
void leader_mark_all_runs_lost(leader_vm_t *vm, const char *reason);
/** Updates the estimates of a VM's speed and health after a run has finished. */
void leader_update_vm_stats(leader_vm_t *vm, const batch_task_t *task, Lp__BatchEndKind kind,
			    uint64_t now_us);

/* batch_orders.c */
void leader_request_start(leader_vm_t *vm, batch_task_t *task);
/** Sends a stop request unless one is pending or was just answered. */
void leader_request_stop(leader_vm_t *vm, batch_task_t *task);
void leader_stop_orphan(leader_vm_t *vm, const task_id_t *id, uint32_t run);
void leader_request_pace(leader_vm_t *vm, batch_task_t *task, uint32_t percent);
/** Stops the VM's runs that are not needed any more, or that must move elsewhere. */
void leader_stop_tick(leader_vm_t *vm, uint64_t now_us);

/* batch_dispatch.c */
void leader_place_tasks(batch_leader_t *leader, uint64_t now_us);
void leader_clear_planned(batch_leader_t *leader);

/* batch_ticket.c */
typedef struct batch_ticket_cache batch_ticket_cache_t;
/** @return ticket to run the step on a VM, or NULL */
const char *ticket_find(const batch_step_t *step, const char *vm, uint64_t now_us);
/**
 * Requests tickets for the step from the policy service unless it has valid ones or a request is
 * pending.
 * @return true when valid tickets are present
 */
bool ticket_ensure(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
		   const char *const *vms, size_t count, uint64_t now_us);
void ticket_remove(batch_step_t *step, const char *vm);

/* batch_upkeep.c */
void leader_maintenance_tick(batch_leader_t *leader, uint64_t now_us);
/** Completes the maintenance of the VM's machine when the VM started after it. */
void leader_maintenance_on_report(batch_leader_t *leader, const leader_vm_t *vm);
/** Cordons a VM whose machine an earlier leader was about to maintain. */
void leader_maintenance_cordon(batch_leader_t *leader, leader_vm_t *vm);
/** Throttles best-effort tasks on a VM where latency-goal tasks miss their goal. */
void leader_pace_tick(leader_vm_t *vm, uint64_t now_us);
/** Moves tasks off a VM that is draining or cordoned. */
void leader_evacuate_tick(leader_vm_t *vm, uint64_t now_us);

/* batch_machines.c */
leader_machine_t *leader_machine_add(batch_leader_t *leader, const char *name);
leader_machine_t *leader_find_machine(const batch_leader_t *leader, const char *name);
void leader_machine_free(void *data);
/** Updates the machine of a VM that has reported. */
void leader_machine_reported(batch_leader_t *leader, const leader_vm_t *vm);
/** Refreshes the platform's list of machines and moves machines to pools with more demand. */
void leader_machines_tick(batch_leader_t *leader, uint64_t now_us);
/** Context of a platform request while it is committed and sent. The callbacks free it. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	uint64_t wave; /**< number of the maintenance wave; unused for a move */
	char machine[VM_NAME_MAX];
	char pool[VM_NAME_MAX]; /**< target pool of a move; "": maintenance */
	uint64_t born_ms;	/**< start time of the machine's VM at creation; 0: no VM */
	bool resent;		/**< an earlier copy of the request may have been carried out */
} machine_call_t;

/** @param pool target pool of a move; NULL: maintenance in the wave */
machine_call_t *machine_call_new(batch_leader_t *leader, const char *machine, const char *pool,
				 uint64_t wave);
/** @return the machine, or NULL when this activation of the leader has ended */
leader_machine_t *machine_call_get(const machine_call_t *call);
/** Proposes to commit the state of the platform request. Passes ownership of call to done(). */
void machine_call_propose(machine_call_t *call, Lp__BatchOrderState state, batch_proposed_fn done);
/** @return fencing token of the next platform request; each is higher than the one before */
uint64_t leader_next_fence(batch_leader_t *leader);
/** True while maintenance of the machine was requested and is not complete. */
bool leader_in_maintenance(const batch_leader_t *leader, const char *machine);
/** True when a wave includes the machine and its maintenance is not complete. */
bool leader_maintenance_due(const batch_leader_t *leader, const char *machine);
/**
 * True while an earlier leader's platform request for the machine may still be carried out, so that
 * this leader must not send one.
 */
bool leader_machine_leased_elsewhere(const batch_leader_t *leader, const char *machine,
				     uint64_t now_us);
/** True while a move of the machine is committed and its result is not. */
bool leader_move_pending(const batch_leader_t *leader, const char *machine);
