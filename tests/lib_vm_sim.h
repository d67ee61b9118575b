#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "batch_leader.h"
#include "metrics.h"

/**
 * @file
 * Simulated fleet with a virtual clock, for tests of the batch leader. It simulates VMs with
 * leases, fencing tokens, run numbers and lists of finished runs, a replicated log with a commit
 * delay of some ms, and a platform that moves and maintains machines. It injects faults, and
 * records violations of the guarantees, such as a task that runs twice.
 */

/**
 * Processor time of the leader's process. While the leader is busy, the events for it wait: timers
 * are handled first, messages in the order of their arrival. A call whose response is not handled
 * before its timeout ends without a response. All 0: the leader takes no time.
 */
typedef struct {
	uint32_t message_us; /**< for each message that it reads or sends */
	uint32_t commit_us;  /**< for each command of the replicated log, in addition to the message
				that acknowledges it */
	uint32_t candidate_ns; /**< for each candidate that a placement pass examines */
} vm_sim_processor_t;
/** Specification of jobs whose tasks take the number of ms that follows, whatever is declared. */
#define VM_SIM_RUN_MS_PREFIX "run_ms="
/** Id prefix of jobs whose task 0 of step 0 crashes its VM up to 15 ms after it has started. */
#define VM_SIM_DEADLY_PREFIX "deadly"

/** Id prefix of jobs that the policy service allows on one rack only, followed by its number. */
#define VM_SIM_RACK_PREFIX "rack-"
/** Number of VMs in a rack, for these jobs. */
#define VM_SIM_RACK_SIZE 4

/** Most organisations of a simulated fleet. */
#define VM_SIM_ORGANISATIONS_MAX 32

typedef struct {
	uint32_t weight;
	uint64_t cpu_limit_milli; /**< 0: no limit */
} vm_sim_organisation_t;

typedef struct {
	unsigned services;
	unsigned vms_per_service;
	/** The organisations, named o0, o1 and so on, to which jobs without one are spread.
	 * Long-running jobs, which would use up a limit for good, are the last one's. */
	vm_sim_organisation_t organisations[VM_SIM_ORGANISATIONS_MAX];
	unsigned organisation_count;
	unsigned unnamed_services; /**< number of the last services that the first configuration
				      does not name yet */
	unsigned standby_vms; /**< number of machines in the standby pool, which are switched off */
	double late_request_share; /**< share of VM requests that get no response and are carried
				      out 2 to 12 s later */
	double lost_reply_share;   /**< share of VM and platform requests whose response is lost */
	uint32_t stop_ms; /**< time that a VM takes to stop a run; until then it lists it as
			     before */
	double lost_request_share; /**< share of VM requests that do not reach the VM, because the
				      edge process that passes them on ends */
	double failed_end_share;   /**< share of runs that fail */
	uint32_t mean_crash_interval_ms;   /**< mean time between crashes in the fleet, each of one
					      VM; 0: no crashes */
	uint32_t mean_restart_interval_ms; /**< mean time between restarts in the fleet, each of one
					      VM under its id, whose first report comes up to 1.5 s
					      later; 0: no restarts */
	uint32_t mean_cutoff_interval_ms;  /**< mean time between network outages in the fleet, each
					      of one VM for 1 to 6 s; 0: no outages */
	uint32_t mean_leader_change_interval_ms; /**< mean time between leader changes; 0: no
						    changes */
	uint32_t mean_commit_stall_interval_ms;	 /**< mean time between outages of the replicated
						    log, in which nothing is committed for 0.5 to 5
						    s; 0: no outages */
	double late_platform_share; /**< share of platform requests that get no response and are
				       carried out 0.5 to 6 s later */
	uint32_t platform_requests_per_s; /**< rate limit that the leader is told; 0: 64 */
	vm_sim_processor_t processor;
	bool silent_crashes; /**< requests to a crashed VM get no response; false: the VM's
				connections are broken off and refused */
	bool cuts_refuse;    /**< connections to a VM that is cut off are refused at once; false:
				requests to it get no response */
	bool keep_ids; /**< a VM that has crashed starts again under its id; false: under another */
	bool declared_times; /**< the leader takes run times as declared */
	bool advised;	     /**< a policy service allows some VMs only, see vm_sim_set_policy() */
	uint32_t policy_valid_ms; /**< validity of its tickets; 0: 3000 */
	/** Declared and true times of a decision and of each VM listed. The policy service handles
	 * one request at a time, and a request that takes too long gets no response, like one of
	 * the adapter. Both 0: it answers each request after the time of vm_sim_set_policy(). */
	uint32_t policy_decide_ms;
	uint32_t policy_per_vm_ms;
	/** True time of its work, as a multiple of the declared one; 0: 1. */
	unsigned policy_slowness;
	/** Number of other processes that can call it for the leader. It handles one call at a time
	 * for each process. */
	unsigned policy_helpers;
	uint32_t policy_link_ms;     /**< time of the links to and from these processes */
	bool policy_in_turn;	     /**< it handles the calls of all processes in turn */
	unsigned policy_waiting_max; /**< most calls that wait before it refuses further ones; 0:
					none */
	bool policy_works_on;	     /**< it also works on calls that were given up */
	bool unguarded;		     /**< VMs carry out start requests that exceed their capacity */
	uint64_t seed;
} vm_sim_config_t;

/** What the simulated processor of the leader has done. */
typedef struct {
	uint64_t busy_us;
	uint64_t longest_wait_us; /**< longest time for which an event has waited for the leader */
} vm_sim_stats_t;

struct vm_sim;
typedef struct vm_sim vm_sim_t;

/**
 * Group set-up for cmocka: logs only errors unless LAVENDERPASS_VERBOSE is set, because thousands
 * of log lines of the simulated leaders would hide the test results. @return 0
 */
int vm_sim_set_up(void **state);
vm_sim_t *vm_sim_create(const vm_sim_config_t *config);
void vm_sim_destroy(vm_sim_t *sim);
/** Runs the simulation until the virtual clock reaches until_ms. */
void vm_sim_run(vm_sim_t *sim, uint64_t until_ms);
/** Stops injecting faults. */
void vm_sim_stop_faults(vm_sim_t *sim);
uint64_t vm_sim_now_ms(const vm_sim_t *sim);

/**
 * Submits a copy of the job to a service. @param job its id, host and prefix are replaced in the
 * copy
 */
void vm_sim_submit(vm_sim_t *sim, const char *id, unsigned service, const Lp__BatchJob *job);
/**
 * Sets which VMs the policy service allows for steps of jobs without VM_SIM_RACK_PREFIX: those on
 * count machines from the index first on. At the beginning it allows none.
 * @param answer_ms time after which it answers
 */
void vm_sim_set_policy(vm_sim_t *sim, unsigned first, unsigned count, uint32_t answer_ms);
/** Lets a process get no more answers of the policy service. @param number from 1 to
 * policy_helpers; 0: the leader */
void vm_sim_silence_policy_helper(vm_sim_t *sim, unsigned number);
/** @return number of requests to the policy service */
unsigned vm_sim_policy_request_count(const vm_sim_t *sim);
/** @return number of start requests that VMs have refused for want of a valid ticket */
unsigned vm_sim_bad_ticket_count(const vm_sim_t *sim);
/** Sets the limit of an organisation in a new configuration. */
void vm_sim_limit(vm_sim_t *sim, unsigned organisation, uint64_t cpu_limit_milli);
/** Submits a job to service 0 whose tasks, eight for each VM, fill all its VMs. */
void vm_sim_submit_filling(vm_sim_t *sim, const char *id, uint32_t estimate_ms);
/**
 * Submits such a job, and runs the simulation until all its tasks run. Ends the program if they do
 * not within 5 s.
 */
void vm_sim_fill(vm_sim_t *sim, const char *id, uint32_t estimate_ms);
void vm_sim_cancel(vm_sim_t *sim, const char *id);
/** Starts a maintenance wave over all machines. */
void vm_sim_start_wave(vm_sim_t *sim, uint64_t number, uint32_t max_down);
/** Starts a maintenance wave over count machines from the index first on. */
void vm_sim_start_part_wave(vm_sim_t *sim, uint64_t number, unsigned first, unsigned count,
			    uint32_t max_down);
/** Sets the time between carrying out a platform request and responding to it. */
void vm_sim_set_platform_delay(vm_sim_t *sim, uint32_t platform_delay_ms);
/** Sets the time between reading the list of machines and responding with it. */
void vm_sim_set_list_delay(vm_sim_t *sim, uint32_t list_delay_ms);
/** Sets a time that passes before each commit, in addition to the usual 8 to 30 ms. */
void vm_sim_set_commit_delay(vm_sim_t *sim, uint32_t commit_delay_ms);
/**
 * Marks the runs that start on the VM from now on as stalled. The simulation does not act on the
 * mark yet: marked runs finish as usual.
 */
void vm_sim_stall_vm(vm_sim_t *sim, unsigned vm);
/** Removes a machine that runs a task of the job from the fleet: its VM ends without notice, and
 * the platform does not list the machine any more. */
void vm_sim_remove_machine_of(vm_sim_t *sim, const char *job);
/**
 * Crashes the first count VMs that are up, from the machine with the index first on, at the same
 * time. Their machines are back after 3 to 3.5 s.
 */
void vm_sim_crash_vms(vm_sim_t *sim, unsigned first, unsigned count);
/**
 * Crashes the VM on the machine with the index, and starts it again at once under its id. Its first
 * report comes after report_delay_ms at the earliest.
 */
void vm_sim_restart_vm(vm_sim_t *sim, unsigned machine, uint32_t report_delay_ms);
/**
 * Replaces the configuration by one that names the first count services and the standby pool, which
 * removes the other services with their queues, or brings them back.
 */
void vm_sim_configure(vm_sim_t *sim, unsigned count);
/** What the report of another system has in common with the VM of a machine. */
typedef struct {
	bool id;       /**< otherwise it has an id of its own */
	bool machine;  /**< otherwise it names no machine */
	bool address;  /**< otherwise it has an address of its own, where nothing answers */
	bool born;     /**< otherwise its start is later than that of the VM */
	bool service;  /**< otherwise it names a service that no configuration names */
	bool draining; /**< it says that it is about to end */
} vm_sim_foreign_t;
/** Gets the next report of the VM on the machine. Its strings belong to the simulation. */
void vm_sim_get_report(const vm_sim_t *sim, unsigned machine, vm_report_t *report);
/** Delivers a report of another system to the leader. */
void vm_sim_deliver_report(vm_sim_t *sim, const vm_report_t *report);
/** Delivers a report of another system that is all right in itself. */
void vm_sim_foreign_report(vm_sim_t *sim, unsigned machine, const vm_sim_foreign_t *shared);
/** Delivers a notice of the shutdown of the VM on the machine, which has the VM's id only. */
void vm_sim_send_shutdown_notice(vm_sim_t *sim, unsigned machine);
/** The VM on the machine reports from now on that it is about to end. */
void vm_sim_drain_vm(vm_sim_t *sim, unsigned machine);
/** Adds an entry of another system to the platform's list, after that of its machine. */
void vm_sim_add_listing(vm_sim_t *sim, const machine_info_t *entry);
/**
 * Adds an entry of another system to the platform's list for each machine: with a pool that no
 * configuration names, the machine is up and runs another VM, or, if down, it is down.
 */
void vm_sim_add_foreign_listings(vm_sim_t *sim, bool down);
/** Cuts the VM on the machine with the index off from the network for for_ms. */
void vm_sim_cut_off(vm_sim_t *sim, unsigned machine, uint32_t for_ms);
/** @return number of VMs that have crashed because of a task, see VM_SIM_DEADLY_PREFIX */
unsigned vm_sim_deadly_crash_count(const vm_sim_t *sim);
/** @return number of runs that have ended with a crash of their VM */
unsigned vm_sim_lost_run_count(const vm_sim_t *sim);
/** Sets the CPU capacity that the VM on the machine with the index reports from its next report on.
 */
void vm_sim_set_cpu(vm_sim_t *sim, unsigned machine, uint32_t cpu_milli);
/** @return CPU of the runs on the VM, in thousandths of a core */
uint32_t vm_sim_used_cpu(const vm_sim_t *sim, unsigned machine);
/** Holds up all commits, those in flight too, until delay_ms from now. */
void vm_sim_delay_commits(vm_sim_t *sim, uint32_t delay_ms);
void vm_sim_change_leader(vm_sim_t *sim);
/** Restarts all processes: the state is loaded from a snapshot, and a new leader takes over. */
void vm_sim_restart_processes(vm_sim_t *sim);

const batch_state_t *vm_sim_state(const vm_sim_t *sim);
/** @return whether the leader knows that a task of the job has begun */
bool vm_sim_job_begun(const vm_sim_t *sim, const char *id);
/** @return all violations recorded so far, one line each; "": none */
const char *vm_sim_violations(const vm_sim_t *sim);
/** @return number of runs that are running now on all VMs */
unsigned vm_sim_running_count(const vm_sim_t *sim);
/** @return number of machines that are not in the standby pool */
unsigned vm_sim_switched_on_count(const vm_sim_t *sim);
/** @return number of VMs of the service that are up */
unsigned vm_sim_service_vm_count(const vm_sim_t *sim, unsigned service);
uint64_t vm_sim_start_count(const vm_sim_t *sim);
uint64_t vm_sim_move_count(const vm_sim_t *sim);
/** @return number of requests for maintenance that were sent to the platform */
uint64_t vm_sim_maintenance_request_count(const vm_sim_t *sim);
/** @return the metrics of the simulated leader */
metrics_t *vm_sim_metrics(const vm_sim_t *sim);
const vm_sim_stats_t *vm_sim_stats(const vm_sim_t *sim);
/** @return number of runs of the job's tasks that are running now */
unsigned vm_sim_job_running_count(const vm_sim_t *sim, const char *id);
/**
 * Crashes a VM that runs a task of the job. Its machine is up again, with another VM, after
 * down_ms. @return false when no VM runs any
 */
bool vm_sim_crash_vm_of_job(vm_sim_t *sim, const char *id, uint32_t down_ms);
