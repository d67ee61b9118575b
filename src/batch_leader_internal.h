#pragma once

#include <glib.h>

#include "batch_leader.h"
#include "batch_lease.h"
#include "clock.h"

/**
 * @file
 * Shared by the parts of the leader: batch_leader.c (VMs and life cycle), batch_hold.c (leases,
 * holds, ends, losses), batch_dispatch.c (which task runs where), batch_orders.c (starts and
 * stops), batch_upkeep.c (waves, evacuation).
 */

/** One life of a VM, as the leader sees it. */
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
	uint64_t heard_us; /**< latest report; 0: none in this term */
	uint64_t clock_ms; /**< the VM's clock */
	uint64_t clock_us; /**< when it was told; 0: never */
	bool draining;
	uint64_t drain_until_us; /**< the VM stays at least until then */
	bool cordoned;		 /**< about to be moved or maintained: no new tasks */
	bool dead;		 /**< certainly runs nothing any more */
	uint64_t left_us;	 /**< it has said that it ends; 0: it has not */

	batch_vm_t *life; /**< valid while life_revision is the state's */
	uint64_t life_revision;

	bool hold_busy;
	bool ends_busy;	      /**< ends are being recorded */
	bool confirmed;	      /**< it has acknowledged this leader's fencing token */
	bool suspect;	      /**< the latest hold had no answer */
	uint32_t hold_number; /**< of the latest hold; answers to earlier ones are not read */
	unsigned hold_probes; /**< sent for the latest hold */
	uint64_t hold_due_us;
	uint64_t hold_late_us; /**< a hold without an answer by then is probed */
	uint64_t suspect_us;   /**< since when */
	uint64_t answered_us;  /**< latest answer to a hold; 0: none */
	batch_lease_t lease;
	uint64_t noted_told;	 /**< highest number of a recorded end that it was told */
	uint64_t noted_unlogged; /**< ends of a life that the log does not know */
	unsigned orphans;	 /**< it runs so many tasks that the log does not know */
	unsigned starts_busy;

	uint64_t place_pass; /**< the placement that place_index belongs to */
	guint place_index;
	unsigned planned;    /**< intents that are being recorded */
	int64_t planned_cpu; /**< reserved for them */
	int64_t planned_mem;
	int64_t planned_gpu;

	uint64_t refused_until_us; /**< it had no room, or was unhealthy */
	uint64_t ordered_us;	   /**< maintenance was ordered again; 0: it was not */
	uint64_t cordoned_us;	   /**< since when */
	uint64_t pace_due_us;
	double recent_ok; /**< ends, halved every HEALTH_HALVE_US */
	double recent_failed;
	double slowness; /**< measured run time against the declared one; 1: as declared */
	uint64_t quarantine_until_us;
} leader_vm_t;

/** A machine of the platform. */
typedef struct {
	char *name;
	char *pool; /**< service that it belongs to */
	double cores;
	bool up;
	bool busy;	   /**< an order is being recorded or carried out */
	bool ordered_here; /**< the latest order is this leader's */
	uint64_t retry_us;
	unsigned refusals;
	uint64_t begun_us; /**< since when it is known to be down for maintenance; 0: it is not */
	uint64_t coming_until_us; /**< it was moved and is to report by then; 0: it was not */
	uint64_t idle_us;	  /**< since when it runs nothing; 0: it runs something */
} leader_machine_t;

struct batch_leader {
	batch_leader_config_t config;
	batch_state_t *state;
	vm_port_t port;
	batch_propose_fn propose;
	uint64_t (*clock_us)(void *arg);
	uint64_t (*clock_wall_ms)(void *arg);
	void *arg;
	metrics_t *metrics;

	bool active;
	uint64_t term;
	uint64_t generation; /**< counts activations; late answers of earlier ones are ignored */
	uint64_t active_us;
	uint64_t tick_us; /**< latest tick */
	uint64_t lag_us;  /**< how late ticks come, smoothed: the load of this process */
	LIST_HEAD(leader_vms, leader_vm) vms;
	GHashTable *by_id;	/**< lives that are not dead */
	GHashTable *by_machine; /**< machine -> leader_vm_t, not dead */
	GHashTable *by_address; /**< address -> leader_vm_t that was born last */
	GHashTable *ended;	/**< VM -> uint64_t: birth of its latest life that has ended */
	uint64_t passes;	/**< placements */
	bool place_due;
	uint64_t place_us; /**< latest placement */
	uint64_t halve_due_us;
	uint64_t adopt_due_us;
	double mean_slowness;

	bool list_busy;	 /**< the platform's list is being read */
	bool list_known; /**< it was read whole since this process leads */
	uint64_t list_read_us;
	uint64_t capacity_due_us;
	uint64_t order_seq;	 /**< orders to the platform in this term */
	GHashTable *machines;	 /**< name -> leader_machine_t */
	GHashTable *need_before; /**< pool -> double: smoothed need, in cores */
	uint64_t order_due_us;
	unsigned orders_left; /**< maintenance orders in this period */
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
	} count;
};

/** Identifies a VM's life across an asynchronous call. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	char vm[VM_NAME_MAX];
	uint64_t born_ms;
} vm_handle_t;

uint64_t leader_now_us(const batch_leader_t *leader);
void vm_handle_set(vm_handle_t *handle, const leader_vm_t *vm);
/** @return the VM, or NULL when it is gone or the process has stopped leading since */
leader_vm_t *vm_handle_get(const vm_handle_t *handle);
vm_ref_t leader_vm_ref(const leader_vm_t *vm);
/** The replicated record of the VM's life, or NULL. */
batch_vm_t *leader_vm_life(leader_vm_t *vm);
/** Creates the view of a life that the log knows and that has not reported yet. */
leader_vm_t *leader_vm_from_life(batch_leader_t *leader, batch_vm_t *life);
void leader_vm_mark_dead(leader_vm_t *vm, const char *reason);
/** Takes over what a VM told of its clock; 0: nothing. */
void leader_vm_set_clock(leader_vm_t *vm, uint64_t clock_ms, uint64_t now_us);
/** True when nothing runs on the VM, is about to, or may without the log's knowledge. */
bool leader_vm_is_empty(leader_vm_t *vm);
/** Present time on the VM's clock, estimated; 0: unknown. */
uint64_t leader_vm_clock_ms(const leader_vm_t *vm, uint64_t now_us);
/** Never 0, so that 0 can stand for no VM. */
uint32_t leader_vm_hash(const char *vm_id);
leader_vm_t *leader_vm_of_machine(const batch_leader_t *leader, const char *machine);
bool leader_vm_answers(const leader_vm_t *vm, uint64_t now_us);

void task_name_set(task_name_t *name, const batch_task_t *task);
/** Room for the text of run_text_set(): four numbers, in bytes with the final 0. */
#define RUN_TEXT_MAX 64
/** How log lines name a run: OCCURRENCE.STEP.INDEX run NUMBER. */
void run_text_set(char text[RUN_TEXT_MAX], const task_name_t *name, uint32_t run);
/** The same for the latest run of a task. */
void run_text_of(char text[RUN_TEXT_MAX], const batch_task_t *task);
/** The task that a VM names, or NULL. */
batch_task_t *leader_task(const batch_leader_t *leader, const task_name_t *name);

/* batch_hold.c */
batch_lease_limits_t leader_lease_limits(const batch_leader_t *leader);
/** Sends what the VM needs to hear: a hold, or the loss of its tasks when its lease has ended. */
void leader_hold_tick(leader_vm_t *vm, uint64_t now_us);
/** Accounts for a grant that was sent at sent_us. */
void leader_grant_settled(leader_vm_t *vm, const vm_reply_t *reply, uint64_t sent_us);
/** Records that a run does not run, and makes the task wait again. */
void leader_lose_run(batch_leader_t *leader, batch_task_t *task, const char *reason);
void leader_lose_all(leader_vm_t *vm, const char *reason);
/** Estimates of the VM's speed and health from an end. */
void leader_learn(leader_vm_t *vm, const batch_task_t *task, Lp__BatchEndKind kind,
		  uint64_t now_us);

/* batch_orders.c */
void leader_order_start(leader_vm_t *vm, batch_task_t *task);
/** Sends a stop order unless one is on its way or was just answered. */
void leader_order_stop(leader_vm_t *vm, batch_task_t *task);
void leader_stop_orphan(leader_vm_t *vm, const task_name_t *name, uint32_t run);
void leader_order_pace(leader_vm_t *vm, batch_task_t *task, uint32_t percent);
/** Stops what must not run any more. */
void leader_stop_tick(leader_vm_t *vm, uint64_t now_us);

/* batch_dispatch.c */
void leader_place(batch_leader_t *leader, uint64_t now_us);
void leader_unplan_all(batch_leader_t *leader);

/* batch_ticket.c */
typedef struct batch_ticket_book batch_ticket_book_t;
/** Ticket of the step for a VM, or NULL. */
const char *ticket_find(const batch_step_t *step, const char *vm, uint64_t now_us);
/** True while the step needs no new tickets or waits for them; asks otherwise. */
bool ticket_ready(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
		  const char *const *vms, size_t count, uint64_t now_us);
void ticket_drop(batch_step_t *step, const char *vm);

/* batch_upkeep.c */
void leader_upkeep_tick(batch_leader_t *leader, uint64_t now_us);
/** A VM of the machine has reported: its maintenance is over. */
void leader_upkeep_returned(batch_leader_t *leader, const leader_vm_t *vm);
/** Keeps tasks off a VM whose machine an earlier leader was about to maintain. */
void leader_upkeep_cordon(batch_leader_t *leader, leader_vm_t *vm);
/** Slows best-effort tasks down where tasks beside them miss their goal. */
void leader_pace_tick(leader_vm_t *vm, uint64_t now_us);
/** Moves long-running tasks off VMs that leave. */
void leader_evacuate_tick(leader_vm_t *vm, uint64_t now_us);

/* batch_machines.c */
leader_machine_t *leader_machine_add(batch_leader_t *leader, const char *name);
leader_machine_t *leader_machine(const batch_leader_t *leader, const char *name);
void leader_machine_free(void *data);
/** A VM of the machine has reported. */
void leader_machine_reported(batch_leader_t *leader, const leader_vm_t *vm);
/** Reads the platform's list, and moves machines to where the demand is. */
void leader_machines_tick(batch_leader_t *leader, uint64_t now_us);
/** An order about a machine while it is recorded or carried out; done functions free it. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	uint64_t wave; /**< of maintenance; unused by a move */
	char machine[VM_NAME_MAX];
	char pool[VM_NAME_MAX]; /**< that the machine is moved to; "": maintenance */
	uint64_t born_ms;	/**< of the machine's VM when this was created; 0: none */
	bool again;		/**< the platform may have carried out the same order before */
} machine_call_t;

/** @param pool NULL: maintenance in the wave */
machine_call_t *machine_call_new(batch_leader_t *leader, const char *machine, const char *pool,
				 uint64_t wave);
/** @return the machine, or NULL when this process has stopped leading since */
leader_machine_t *machine_call_get(const machine_call_t *call);
/** Proposes the state of the order. done(call, code) takes call over. */
void machine_call_propose(machine_call_t *call, Lp__BatchOrderState state, batch_proposed_fn done);
/** Fencing token of the next order to the platform. */
uint64_t leader_next_fence(batch_leader_t *leader);
/** True while the machine's maintenance was ordered and is not over. */
bool leader_in_maintenance(const batch_leader_t *leader, const char *machine);
/** True while a wave has yet to maintain the machine. */
bool leader_maintenance_due(const batch_leader_t *leader, const char *machine);
/** True while an earlier leader may still hold the machine: it ordered something lately, or its
 * order has no outcome yet. */
bool leader_held_by_other(const batch_leader_t *leader, const char *machine, uint64_t now_us);
/** True while a move of the machine was recorded and has no outcome. */
bool leader_move_open(const batch_leader_t *leader, const char *machine);
