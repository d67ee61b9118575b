#pragma once

#include <glib.h>

#include "batch_forecast.h"
#include "batch_leader.h"
#include "batch_lease.h"
#include "batch_outcome.h"
#include "call_queue.h"
#include "clock.h"
#include "policy_calls.h"
#include "start_window.h"

/**
 * @file
 * Declarations shared by the source files of the batch leader: batch_leader.c (activation and
 * ticks), batch_vms.c (VMs), batch_reports.c (reports and notices of VMs), batch_challenge.c
 * (reports that contradict a known VM),
 * batch_hold.c (leases, hold requests, finished and lost runs), batch_handover.c (runs of a
 * restarted VM), batch_dispatch.c (placement),
 * batch_orders.c (start, stop and pace requests), batch_ticket.c (tickets of the policy service),
 * batch_upkeep.c (maintenance waves, evacuation, throttling) and batch_machines.c (the platform's
 * machines and their moves between pools).
 */

/** What the leader knows about one incarnation of a VM. Not replicated. */
typedef struct leader_vm {
	LIST_ENTRY(leader_vm) link;
	LIST_ENTRY(leader_vm) service_link;
	struct leader_service *pool; /**< the VMs of its service; NULL: it has not reported, or has
					ended */
	uint64_t number;	     /**< VMs that became known later have a higher one */
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
	uint64_t next_born_ms; /**< start time of the next known incarnation with the same id, which
				  has ended this one; 0: none */
	uint64_t seq;
	uint64_t known_since_us; /**< time when this leader first learned of the incarnation */
	uint64_t last_report_us; /**< arrival time of the latest report; 0: none since this process
				    became leader */
	uint64_t vm_clock_ms;	 /**< reading of the VM's clock at vm_clock_read_us */
	uint64_t clock_seen_ms;	 /**< highest reading of the VM's clock */
	uint64_t vm_clock_read_us; /**< leader's monotonic time of the reading vm_clock_ms; 0: never
				      read */
	bool draining;
	uint64_t drain_until_us; /**< earliest time at which a draining VM ends */
	bool cordoned; /**< the VM gets no new tasks because of a planned move or maintenance */
	bool drained_for_move;	  /**< the VM gets no new tasks, and its machine moves once the VM's
				     tasks have ended */
	unsigned readings_missed; /**< number of readings of the platform's list without the VM's
				     machine since the VM is unresponsive */
	bool confirmed; /**< its service was known, or the log assigns runs to it; until then it is
			   no VM of any service, and is not in by_machine or by_address */
	bool dead;	/**< the VM has ended and runs no tasks any more */
	bool planned_end; /**< the VM ended because of a platform request */
	bool broke_off;	  /**< the VM broke off or refused a connection since it last responded,
			     so that unresponsive_since_us is close to the time of its end */
	bool listed_down; /**< the platform's latest list has the VM's machine as down */
	bool ended_with_fresh_run; /**< the VM crashed soon after the start of a run */
	bool ended_with_suspect;   /**< that run was suspected of a crash already */
	bool end_unproven; /**< only its silence shows that it has ended, so that its later reports
			      count */
	uint64_t challenged_us; /**< arrival time of the earliest report that challenges it and is
				   not settled; 0: none */
	uint64_t challenge_born_ms; /**< latest start that such a report names for another life with
				       its id; 0: none */
	uint64_t ask_due_us;	    /**< earliest time of the next question for a challenge */
	bool challenge_unanswered;  /**< a request sent since challenged_us was not answered */
	uint64_t shutdown_us;	    /**< arrival time of a notice of the VM's shutdown; 0: none, or
				       it was refuted */
	uint64_t ended_us;	    /**< time when the dead VM fell silent; 0: it is not dead */

	batch_vm_t *record; /**< replicated record of this incarnation; NULL: it has none */

	bool hold_in_flight;
	bool commit_in_flight;	 /**< a command with finished runs of this VM is being committed */
	bool fence_acked;	 /**< the VM has answered a hold request of this leader */
	uint64_t fence_acked_us; /**< time when it first did; from then on, it refuses requests of
				    earlier leaders */
	bool unresponsive;	 /**< the latest hold request was not answered */
	bool planned_suspect;	 /**< a suspected task is among the tasks of planned_job */
	bool fresh_suspect;	 /**< a run of a suspected task is among the runs of fresh_job */
	uint32_t hold_seq;    /**< number of the latest hold request; responses to earlier ones are
				 ignored */
	unsigned probes_sent; /**< number of probes sent for the latest hold request */
	uint64_t hold_due_us;
	uint64_t probe_due_us; /**< time to send a probe if the hold request is still unanswered */
	uint64_t unresponsive_since_us; /**< time since which the VM is unresponsive; 0: it is
					   responsive */
	uint64_t hold_answered_us;	/**< time when a hold request was last answered; 0: never */
	uint64_t answered_sent_us;	/**< time when the latest answered hold request was sent; 0:
					   none */
	batch_lease_t lease;
	uint64_t
		acked_end; /**< number of the latest finished run that was acknowledged to the VM */
	uint64_t unassigned_last_end; /**< number of the latest finished run that the VM has listed,
					 while it has no replicated record */
	unsigned orphan_count; /**< number of runs that the VM lists as running although the log
				  does not assign them to it */
	unsigned starts_in_flight;
	call_queue_t calls;	  /**< start, stop and pace requests */
	uint64_t calls_logged_us; /**< time of the latest log line about waiting calls */

	uint64_t pass_number; /**< number of the placement pass in which place_index is valid */
	guint place_index;
	unsigned planned_count; /**< number of start intents for this VM that are being committed */
	int64_t planned_cpu; /**< CPU reserved for the tasks of these start intents, in thousandths
				of a core */
	int64_t planned_mem;
	int64_t planned_gpu;
	uint64_t planned_job;  /**< job of these start intents, see batch_suspect.c; 0: none */
	uint64_t fresh_job;    /**< job of the VM's recently started and planned runs; valid in the
				  placement pass */
	uint64_t reserved_job; /**< job whose suspected tasks alone may start here until
				  reserved_until_us; 0: none */
	uint64_t reserved_until_us;

	uint64_t backoff_until_us;	/**< time until which the VM gets no new tasks, because it
					   refused a start request or could not be reached */
	uint64_t maintenance_resent_us; /**< time when the platform accepted a repeated maintenance
					   request, which possibly does not end this VM; 0: none */
	uint64_t cordoned_since_us;
	uint64_t pace_due_us;
	double recent_successes; /**< number of completed runs, halved every HEALTH_HALF_LIFE_US */
	double recent_failures;
	double slowness; /**< moving average of the ratio of measured to declared run time; 1: as
			    fast as declared */
	uint64_t quarantine_until_us;
} leader_vm_t;

/** The VMs of a service that have reported and not ended, latest first. */
typedef struct leader_service {
	LIST_HEAD(leader_service_vms, leader_vm) vms;
} leader_service_t;

/** A machine owned by the platform. Each start of the machine is a new VM incarnation. */
typedef struct {
	char *name;
	char *pool; /**< name of the service whose pool the machine belongs to */
	double cores;
	bool up;
	bool request_in_flight;	       /**< a platform request for the machine is being committed or
					  carried out */
	bool requested_by_this_leader; /**< the latest platform request for the machine came from
					  this leader */
	uint64_t retry_us;
	unsigned busy_replies;
	uint64_t arrival_deadline_us; /**< time by which the machine must report after a move; 0: no
					 move, or it has reported */
	uint64_t listed_reading; /**< number of the latest reading of the platform's list with it */
	uint64_t idle_since_us;	 /**< time when it was first seen without tasks; 0: it runs tasks */
	char *drain_to; /**< pool to which the machine moves once its tasks have ended; NULL: no
			   such move is planned */
} leader_machine_t;

/** Parts of the leader's periodic work, whose time is measured separately. */
typedef enum {
	LEADER_PART_VMS,
	LEADER_PART_MACHINES,
	LEADER_PART_WAVES,
	LEADER_PART_PLACEMENT,
	LEADER_PART_COUNT,
} leader_part_t;

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
	uint64_t generation; /**< number of calls of batch_leader_activate(); responses to requests
				sent before the latest call are ignored */
	uint64_t activated_us;
	uint64_t activated_log_ms; /**< batch_state_t.log_clock_ms at the activation */
	uint64_t last_tick_us;
	uint64_t tick_lag_us; /**< smoothed delay of ticks, a measure of the load of this process */
	uint64_t input_delay_us; /**< time that messages wait before this process reads them */
	LIST_HEAD(leader_vms, leader_vm) vms;
	uint64_t vm_count;	/**< number of VMs that became known so far */
	GHashTable *services;	/**< service name, interned -> leader_service_t */
	GHashTable *by_id;	/**< VM id -> leader_vm_t of the latest incarnation; no dead VMs */
	GHashTable *by_machine; /**< machine -> leader_vm_t of the latest VM on it; no dead or
				   unconfirmed VMs */
	GHashTable *by_address; /**< address -> leader_vm_t of the latest VM with it; no dead or
				   unconfirmed VMs */
	GHashTable *known_services; /**< set of the names of all services that a configuration has
				       named since this process started */
	uint64_t services_version;  /**< version of the latest configuration whose services are in
				       known_services; 0: none */
	uint64_t foreign_logged_us; /**< time of the latest log line about a foreign report */
	GHashTable *challenges;	    /**< reports that wait for the VMs that they challenge, see
				       batch_challenge.c */
	uint64_t refuted_logged_us; /**< time of the latest log line about a refuted report */
	GHashTable *ended_incarnations; /**< VM id -> uint64_t, the born_ms of the latest
					   incarnation that has ended */
	uint64_t pass_count;
	bool placement_due;
	uint64_t next_placement_us; /**< earliest time of the next placement pass */
	start_window_t window;
	policy_calls_t policy_calls;
	uint64_t window_logged_us;
	bool window_full; /**< the latest placement pass left out steps because of the window */
	uint64_t waiting_due_us; /**< time of the next placement pass for steps that wait for a VM
				    of their own or for a ticket; 0: none */
	uint64_t decay_due_us;
	uint64_t estimate_due_us;
	uint64_t adopt_due_us;
	double mean_slowness;

	bool list_in_flight; /**< a request for the platform's list of machines is in flight */
	bool list_complete;  /**< the whole list of machines was received at least once since this
				process became leader */
	uint64_t list_requested_us;
	uint64_t list_reading; /**< number of readings of the list that were begun */
	size_t listed_count;   /**< number of machines in the present reading so far */
	uint64_t capacity_due_us;
	uint64_t platform_request_seq; /**< number of platform requests sent since this process
					  became leader */
	GHashTable *machines;	       /**< machine name -> leader_machine_t */
	GHashTable *smoothed_need;     /**< pool name -> double, the smoothed CPU demand in cores */
	batch_outcome_t outcome;       /**< how jobs have ended while this process led */
	forecast_t forecast;	       /**< demand of the pools; kept up to date on followers too */
	uint64_t forecast_seq; /**< number of the latest job that the forecast has counted */
	uint64_t maintenance_due_us;
	unsigned maintenance_requests_left; /**< number of maintenance requests still allowed until
					       the next update of the waves */
	struct {
		metrics_counter_t *starts;
		metrics_counter_t *start_refused;
		metrics_counter_t *start_unsure;
		metrics_counter_t *tickets_awaited; /**< number of runs that waited for a ticket
						       after their commit */
		metrics_counter_t *ends;
		metrics_counter_t *lost;
		metrics_counter_t *handed_over; /**< number of runs handed over to the next
						   incarnation of their VM */
		metrics_counter_t *holds;
		metrics_counter_t *holds_overtaken; /**< number of hold requests for which a probe
						       was answered first */
		metrics_counter_t *stops;
		metrics_counter_t *calls_waiting;   /**< number of VM requests that wait to be sent
						     */
		metrics_counter_t *calls_withdrawn; /**< number of VM requests that were not sent,
						       as they had become pointless */
		metrics_counter_t *dead;
		metrics_counter_t *shutdowns_refuted; /**< number of notices of a shutdown after
							 which the VM still ran */
		metrics_counter_t *foreign_reports;   /**< number of reports that contradict what is
							 known about their VM */
		metrics_counter_t *challenges;	      /**< number of reports that challenge a VM */
		metrics_counter_t *challenges_refuted; /**< number of those whose VM has answered */
		metrics_counter_t *crashes;  /**< number of VMs that crashed soon after the start of
						a run */
		metrics_counter_t *suspects; /**< number of such runs */
		metrics_counter_t *given_up; /**< number of jobs that failed for that */
		metrics_counter_t *drains;   /**< number of machines drained for another pool */
		metrics_counter_t *preemptions; /**< number of late tasks stopped for that */
		metrics_counter_t *candidates;	/**< number of steps examined for placement */
		metrics_counter_t *place_vms;	/**< number of VMs examined for placement */
		metrics_counter_t *passes;	/**< number of placement passes */
		metrics_counter_t *window_full; /**< number of passes that the window has ended */
		metrics_counter_t *window;	/**< number of starts allowed at the same time */
		metrics_counter_t *in_flight;	/**< number of starts in flight */
		metrics_counter_t *part_us[LEADER_PART_COUNT]; /**< time spent in each part */
		metrics_histogram_t *start_latency;
	} stats;
};

/** Identifies a VM incarnation across an asynchronous call, during which the VM can be freed. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	char vm[VM_NAME_MAX];
	uint64_t born_ms;
} vm_handle_t;

uint64_t leader_now_us(const batch_leader_t *leader);
/** Proposes the command to the replicated log, with this leader's term and clock. */
void leader_propose(batch_leader_t *leader, Lp__BatchCommand *command, batch_proposed_fn done,
		    void *done_arg);
void vm_handle_set(vm_handle_t *handle, const leader_vm_t *vm);
/**
 * @return the VM, or NULL when it is no longer known or the leader was deactivated after the handle
 * was set
 */
leader_vm_t *vm_handle_get(const vm_handle_t *handle);
vm_ref_t leader_vm_ref(const leader_vm_t *vm);
/** @return the replicated record of the VM's incarnation, or NULL when it has none */
static inline batch_vm_t *leader_vm_record(const leader_vm_t *vm)
{
	return vm->record;
}

/* batch_vms.c */
void leader_vms_init(batch_leader_t *leader);
/** Forgets all VMs. */
void leader_vms_clear(batch_leader_t *leader);
void leader_vms_finish(batch_leader_t *leader);
/** Adds an incarnation of a VM, which is the latest one with its id from then on. */
leader_vm_t *leader_vm_new(batch_leader_t *leader, const char *id, uint64_t born_ms,
			   const char *address);
void leader_vm_free(leader_vm_t *vm);
/** Frees a dead VM that has no tasks left, once no late report of it can arrive. */
void leader_vm_free_if_done(leader_vm_t *vm);
/** Adds the VM to the tables by_address and by_machine. An entry of a later incarnation is kept. */
void leader_vm_index(leader_vm_t *vm);
/** Adds the VM to the VMs of the service that it has reported. */
void leader_vm_join_service(leader_vm_t *vm);
void leader_vm_apply_report(leader_vm_t *vm, const vm_report_t *report, uint64_t now_us);
/** Adds a VM that has a replicated record but has not reported to this leader yet. */
leader_vm_t *leader_vm_from_record(batch_leader_t *leader, batch_vm_t *record);
void leader_vm_mark_dead(leader_vm_t *vm, const char *reason);
/**
 * Marks the VM as dead because a later incarnation has the same id. Its runs that the later one has
 * possibly started are handed over to that.
 */
void leader_vm_mark_restarted(leader_vm_t *vm, uint64_t next_born_ms, const char *reason);
/**
 * Does the same after a reply has shown the other incarnation, which has not reported yet, and adds
 * that to the known VMs. If it started earlier than the VM, a false report has named the VM.
 */
void leader_vm_read_other_life(leader_vm_t *vm, const vm_reply_t *reply);
/** Stores a reading of the VM's clock that arrived in a message. A reading of 0 is ignored. */
void leader_vm_set_clock(leader_vm_t *vm, uint64_t clock_ms, uint64_t now_us);
/** Stores the reading of the VM's clock in a reply, unless it is from another incarnation. */
void leader_vm_read_clock(leader_vm_t *vm, const vm_reply_t *reply);
/**
 * True when no task is assigned to the VM, no start intent for it is pending, and it runs no task
 * that the log does not assign to it.
 */
bool leader_vm_is_empty(leader_vm_t *vm);
/** @return estimated present reading of the VM's clock; 0: unknown */
uint64_t leader_vm_clock_ms(const leader_vm_t *vm, uint64_t now_us);
/** @return hash of a VM id, never 0 */
uint32_t leader_vm_hash(const char *vm_id);
leader_vm_t *leader_vm_of_machine(const batch_leader_t *leader, const char *machine);
/* batch_reports.c */
/** Adds the services of a new configuration to the known ones, and confirms their VMs. */
void leader_note_services(batch_leader_t *leader);
/**
 * Interval between searches for replicated VM records that have no leader_vm_t. Such a record was
 * committed by a start intent of an earlier leader. This leader starts to manage its VM at most
 * this long after the commit.
 */
#define LEADER_ADOPT_PERIOD_US (1 * US_PER_S)
/**
 * Adds the VMs of replicated records that were committed after this leader was activated, by start
 * intents of an earlier leader. Does nothing when called again too soon.
 */
void leader_adopt_vm_records(batch_leader_t *leader, uint64_t now_us);
/** Forgets a VM that was never confirmed and does not report any more. */
void leader_forget_silent_reporter(leader_vm_t *vm, uint64_t now_us);
/** Decides about a notice of the VM's shutdown that has arrived. */
void leader_check_shutdown(leader_vm_t *vm, uint64_t now_us);
/**
 * True when a configuration has named the service since this process started, or an accepted job
 * runs in it.
 */
bool leader_service_known(batch_leader_t *leader, const char *service);
/** True when the VM's latest report is recent enough to place tasks by it. */
bool leader_vm_report_is_fresh(const leader_vm_t *vm, uint64_t now_us);
bool leader_vm_is_responsive(const leader_vm_t *vm, uint64_t now_us);
/** True while a challenge or a notice of its shutdown is not settled. It gets no tasks then. */
static inline bool leader_vm_is_in_doubt(const leader_vm_t *vm)
{
	return vm->shutdown_us != 0 || vm->challenged_us != 0;
}

void task_id_set(task_id_t *id, const batch_task_t *task);
/** Size of the buffer of run_label_format(), in bytes: four numbers and the terminating null. */
#define RUN_LABEL_MAX 64
/** Formats a run for log lines, as OCCURRENCE.STEP.INDEX run NUMBER. */
void run_label_format(char text[RUN_LABEL_MAX], const task_id_t *id, uint32_t run);
/** Formats the latest run of the task like run_label_format(). */
void run_label_of_task(char text[RUN_LABEL_MAX], const batch_task_t *task);
/** @return the task that the id in a VM request identifies, or NULL when it does not exist */
batch_task_t *leader_find_task(const batch_leader_t *leader, const task_id_t *id);

/* batch_challenge.c */
void leader_challenges_init(batch_leader_t *leader);
void leader_challenges_finish(batch_leader_t *leader);
/** What the known VMs say of a report. The later values go before the earlier ones. */
typedef enum {
	REPORT_UNCONTESTED, /**< it names the machine, address and id of no other known VM */
	REPORT_WAITS,	    /**< it challenges a VM, which is being asked */
	REPORT_REFUTED,	    /**< a VM that it has challenged has answered since */
	REPORT_OUTDATED,    /**< a later VM has taken the place of its sender */
} report_challenge_t;
/** Looks for the VMs that the report challenges, and asks them. */
report_challenge_t leader_challenge(batch_leader_t *leader, const vm_report_t *report,
				    uint64_t received_us);
/** Keeps a report that waits. It is applied once the VMs that it challenges have ended. */
void leader_challenge_keep(batch_leader_t *leader, const vm_report_t *report, uint64_t received_us);
/** Challenges the VM: asks it whether it still runs, soon and while a hold request waits there. */
void leader_ask_vm(leader_vm_t *vm, uint64_t now_us);
/** Applies or drops the reports that have waited for VMs which are settled now. */
void leader_challenges_tick(batch_leader_t *leader, uint64_t now_us);
/** Ends the VM, or refutes the challenge, if its answers so far show which is true. */
void leader_settle_challenge(leader_vm_t *vm, uint64_t now_us);
/** Notes that a hold request which was sent at sent_us has failed. It can end the VM. */
void leader_challenge_failed(leader_vm_t *vm, uint64_t sent_us);

/* batch_hold.c */
batch_lease_limits_t leader_lease_limits(const batch_leader_t *leader);
/**
 * Sends a hold request or a probe to the VM when one is due. Once the lease of an unresponsive VM
 * has expired, marks all its runs as lost.
 */
void leader_hold_tick(leader_vm_t *vm, uint64_t now_us);
/**
 * Updates the VM's lease after a hold or start request that grants a lease was answered or has
 * timed out.
 * @param sent_us time when the request was sent
 */
void leader_update_lease(leader_vm_t *vm, const vm_reply_t *reply, uint64_t sent_us);
/** True when no run is left on a silent VM, because its lease has ended, or it never had one. */
bool leader_lease_has_ended(const leader_vm_t *vm, uint64_t now_us);
/** Proposes to commit the latest run of the task as lost, so that the task is placed again. */
void leader_mark_run_lost(batch_leader_t *leader, batch_task_t *task, const char *reason);
/** Marks the run as certainly not started, and gives it up as lost. */
void leader_refuse_run(batch_leader_t *leader, batch_task_t *task, const char *reason);
/**
 * Gives up runs of the VM whose start requests have waited and were not sent.
 * @param tasks at least one, none of which is being committed as lost
 */
void leader_refuse_queued_runs(leader_vm_t *vm, batch_task_t **tasks, size_t count,
			       const char *reason);
/** Marks all runs of the VM as lost, except those that are being handed over. */
void leader_mark_all_runs_lost(leader_vm_t *vm, const char *reason);
/** Updates the estimates of the VM's speed and health after a run of the task has ended. */
void leader_update_vm_stats(leader_vm_t *vm, const batch_task_t *task, Lp__BatchEndKind kind,
			    uint64_t now_us);

/* batch_handover.c */
/**
 * Proposes to hand over the runs of a dead VM that its next incarnation has possibly started: a
 * start request names the VM by its id, so that the next incarnation carries it out as well.
 * Does nothing when no next incarnation is known.
 */
void leader_hand_over_runs(leader_vm_t *vm);

/* batch_orders.c: all requests wait in leader_vm_t.calls until the VM takes more of them */
void leader_request_start(leader_vm_t *vm, batch_task_t *task);
/**
 * Requests a stop of the task's run, unless a request waits, is in flight or was sent too recently,
 * or the run cannot start any more because its start request is withdrawn or its loss is being
 * committed.
 */
void leader_request_stop(leader_vm_t *vm, batch_task_t *task);
void leader_stop_orphan(leader_vm_t *vm, const task_id_t *id, uint32_t run);
void leader_request_pace(leader_vm_t *vm, batch_task_t *task, uint32_t percent);
/** Sends stop requests for the VM's runs that are no longer needed or must move to another VM. */
void leader_stop_tick(leader_vm_t *vm, uint64_t now_us);
/** Withdraws waiting requests that have become pointless, and sends those that are due. */
void leader_calls_tick(leader_vm_t *vm, uint64_t now_us);
/** Withdraws all waiting requests to a VM that has ended. Their runs have not started there. */
void leader_withdraw_calls(leader_vm_t *vm, const char *reason);
/** Drops all waiting requests to a VM that is about to be freed. */
void leader_free_calls(leader_vm_t *vm);

/* batch_dispatch.c */
void leader_place_tasks(batch_leader_t *leader, uint64_t now_us);
void leader_clear_planned(batch_leader_t *leader);
/** Runs another placement pass if the window has kept the latest one from starting tasks. */
void leader_window_changed(batch_leader_t *leader);
/**
 * True when the runs assigned to the VM, of which one is the run to be started, fit the capacity in
 * its latest report, and that report is not too old.
 */
bool leader_start_fits(leader_vm_t *vm, const batch_task_t *started, uint64_t now_us);
/**
 * Returns whether the run, whose start intent is committed, may still be started on the VM. If not,
 * it is given up as lost.
 */
bool leader_may_start(leader_vm_t *vm, batch_task_t *task);

/* batch_ticket.c */
typedef struct batch_ticket_cache batch_ticket_cache_t;
/** True when VMs need tickets of the policy service to run the queue's steps. */
bool ticket_needed(const Lp__BatchQueue *queue);
/**
 * Returns whether a task of the step may be assigned to the VM: the policy service has allowed
 * that, and the VM has not refused the ticket since. What the service allows does not change with
 * time, so that a ticket that has expired only has to be renewed before the start.
 */
bool ticket_allows(const batch_step_t *step, const char *vm);
/** Returns whether the policy service has allowed any VM for the step. */
bool ticket_allows_any(const batch_step_t *step);
/** @return the latest ticket to run the step on the VM, valid or not; NULL: none */
const char *ticket_latest(const batch_step_t *step, const char *vm);
/**
 * Returns whether the run, which is assigned to the VM, can be started now. If it needs a ticket
 * and has no valid one, it waits in RUN_AWAITS_TICKET for the answer to ticket_request_awaited().
 */
bool ticket_ready(leader_vm_t *vm, batch_task_t *task);
/**
 * Requests tickets for the runs of the step that wait for one, unless a request for the step is in
 * flight. When the answer arrives, each is started or given up as lost.
 */
void ticket_request_awaited(batch_leader_t *leader, batch_step_t *step);
/** False while a request for the step is in flight, or the next one has to wait. */
bool ticket_may_request(const batch_leader_t *leader, const batch_step_t *step, uint64_t now_us);
/**
 * Requests tickets for the step from the policy service. A request lists few of the VMs: first
 * those that the service has allowed before, then those that it was never asked about, so that
 * repeated requests come to all of them. May be called only while ticket_may_request().
 * @param vms ids of VMs that can take a task of the step and that are not allowed as far as is
 * known
 * @param needed number of VMs that the tasks without a VM need, at least 1
 * @return time from which on the call is to be repeated; 0: a request is in flight, or there is no
 * VM
 */
uint64_t ticket_request(batch_leader_t *leader, batch_step_t *step, const Lp__BatchQueue *queue,
			const char *const *vms, size_t count, size_t needed, uint64_t now_us);
/** Prepares the calls to the policy service. */
void ticket_init(batch_leader_t *leader);
/** Forgets a ticket that the VM has refused. */
void ticket_remove(batch_step_t *step, const char *vm, uint64_t now_us);

/* batch_upkeep.c */
void leader_maintenance_tick(batch_leader_t *leader, uint64_t now_us);
/**
 * Cordons the VM if an earlier leader has committed a maintenance request for its machine without a
 * known result.
 */
void leader_maintenance_cordon(batch_leader_t *leader, leader_vm_t *vm);
/**
 * Throttles the best-effort tasks on a VM where a latency-goal task misses its goal, and speeds
 * them up again afterwards.
 */
void leader_pace_tick(leader_vm_t *vm, uint64_t now_us);
/**
 * True when the stop request of a task that was selected to move to another VM can be sent, or
 * repeated: its step allows as many unavailable tasks as there are now.
 */
bool leader_may_stop_evacuated(const leader_vm_t *vm, const batch_task_t *task, uint64_t now_us);
/** Selects tasks on a draining or cordoned VM that must move to other VMs. */
void leader_evacuate_tick(leader_vm_t *vm, uint64_t now_us);

/* batch_machines.c */
leader_machine_t *leader_machine_add(batch_leader_t *leader, const char *name);
leader_machine_t *leader_find_machine(const batch_leader_t *leader, const char *name);
void leader_machine_free(void *data);
/** Updates the machine of a VM that has sent a report. */
void leader_machine_reported(batch_leader_t *leader, const leader_vm_t *vm);
/** Adds the jobs accepted since the last call to the forecast of the pools' demand. */
void leader_observe_demand(batch_leader_t *leader, uint64_t now_us);
/** Refreshes the list of the platform's machines, and moves machines to pools with more demand. */
void leader_machines_tick(batch_leader_t *leader, uint64_t now_us);
/** Context of a platform request while it is committed and carried out. Freed by the callbacks. */
typedef struct {
	batch_leader_t *leader;
	uint64_t generation;
	uint64_t created_us; /**< time when the call was created, before its command was proposed */
	uint64_t wave;	     /**< number of the maintenance wave; unused for a move */
	char machine[VM_NAME_MAX];
	char pool[VM_NAME_MAX]; /**< destination pool of a move; "": maintenance */
	uint64_t born_ms; /**< start time of the VM that the machine ran when this call was created;
			     0: none */
	bool resent;	  /**< the request was sent before, and the earlier copy has possibly been
			     carried out */
} machine_call_t;

/**
 * Creates the context of a platform request. @param pool destination pool of a move; NULL: the
 * request is for maintenance in the wave
 */
machine_call_t *machine_call_new(batch_leader_t *leader, const char *machine, const char *pool,
				 uint64_t wave);
/**
 * @return the machine of the call, or NULL when it is unknown or the leader was deactivated after
 * the call was created
 */
leader_machine_t *machine_call_get(const machine_call_t *call);
/**
 * False when the command of the call took so long to commit that the request must not be sent any
 * more: the next leader counts the holder's lease from about the time of the commit.
 */
bool machine_call_may_send(const machine_call_t *call);
/** Proposes to commit the state of the platform request. done() receives call and frees it. */
void machine_call_propose(machine_call_t *call, Lp__BatchOrderState state, batch_proposed_fn done);
/** @return fencing token for the next platform request, higher than all earlier ones */
uint64_t leader_next_fence(batch_leader_t *leader);
/** True while maintenance of the machine is requested or in progress. */
bool leader_in_maintenance(const batch_leader_t *leader, const char *machine);
/** True when the machine is part of a maintenance wave and its maintenance is not complete. */
bool leader_maintenance_due(const batch_leader_t *leader, const char *machine);
/**
 * True while a platform request of an earlier leader for the machine can still be carried out. This
 * leader must not send one then.
 */
bool leader_machine_leased_elsewhere(const batch_leader_t *leader, const char *machine,
				     uint64_t now_us);
/** True while a move of the machine is committed and its result is not committed yet. */
bool leader_move_pending(const batch_leader_t *leader, const char *machine);
