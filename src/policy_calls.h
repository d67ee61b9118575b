#pragma once

#include "batch_state.h"
#include "metrics.h"
#include "serial_share.h"
#include "vm_port.h"

/**
 * @file
 * The leader's calls to the policy service: keeps those that wait, sends them by this process and
 * by others (serial_share.h), repeats those that were not handled, and asks a second process when
 * the first one does not answer. It knows steps only by their references. Single-threaded.
 */

struct policy_calls;
struct policy_call_group;

/** A queue of jobs whose steps need tickets. */
typedef struct {
	serial_source_t source;
	double asked;  /**< number of VMs asked about of late, older ones count less */
	double usable; /**< and of those that were allowed, and still there with the answer */
} policy_queue_t;

/** A call that waits or is under way. */
typedef struct {
	shared_call_t shared; /**< first member */
	struct policy_calls *owner;
	struct policy_call_group *group; /**< calls that ask the same, of which one answer counts */
	uint64_t generation;		 /**< generation of the owner in which it was made */
	uint64_t id;			 /**< the same for all calls of the group */
	unsigned attempts;		 /**< number of times that it was sent without an answer */
	bool late;			 /**< another one asks the same in its place */
	bool is_renewal;		 /**< it must list all its VMs */
	task_id_t step;			 /**< its first task, by names */
	Lp__BatchTask first_task;	 /**< and by numbers */
	policy_queue_t *queue;
	uint64_t decide_us; /**< declared time of the service's work on a call */
	uint64_t per_vm_us; /**< and on each VM listed */
	uint64_t valid_us;  /**< validity of the tickets */
	size_t needed;	    /**< number of VMs that the tasks of the step need */
	size_t vm_count;
	char vms[][VM_NAME_MAX]; /**< VMs that it lists, the preferred ones first */
} policy_call_t;

/** Functions of the part that makes calls. */
typedef struct {
	/** @return false: the call has become pointless */
	bool (*is_wanted)(void *arg, const policy_call_t *call);
	/** @return whether tasks may be placed on the VM */
	bool (*is_usable)(void *arg, const char *vm);
	/** Called once for each call that was added, unless a reset drops it. @param reply not
	 * answered: the call was given up */
	void (*done)(void *arg, const policy_call_t *call, const advice_reply_t *reply);
	uint64_t (*now_us)(void *arg);
	void *arg;
} policy_calls_user_t;

typedef struct policy_calls {
	serial_share_t share;
	const vm_port_t *port;
	policy_calls_user_t user;
	GHashTable *queues; /**< host and prefix -> policy_queue_t */
	uint64_t generation;
	uint64_t last_id;
	uint64_t helpers_read_us; /**< time when the processes that can help were last listed */
	uint64_t link_time_us;	  /**< time of the links to other processes, there and back */
	bool sending;		  /**< what waits is being sent */
	metrics_counter_t *waiting;
	metrics_counter_t *window;
	metrics_counter_t *repeated;
	metrics_counter_t *replaced;
} policy_calls_t;

/** What a call asks about. */
typedef struct {
	const Lp__BatchQueue *queue; /**< it has a policy service */
	task_id_t step;		     /**< first task of the step, by names */
	Lp__BatchTask first_task;    /**< and by numbers */
	const char *const *vms;
	size_t vm_count; /**< fewer are listed if other calls wait, unless it is a renewal */
	size_t needed;	 /**< number of VMs that the tasks of the step need, at least 1 */
	bool is_renewal; /**< committed runs wait for it: it goes before other calls */
} policy_question_t;

/** @param port, metrics must outlive the calls */
void policy_calls_init(policy_calls_t *calls, const vm_port_t *port,
		       const policy_calls_user_t *user, metrics_t *metrics);
/** Drops what waits and all answers to come, without a call of done. Also before a new term. */
void policy_calls_reset(policy_calls_t *calls);
void policy_calls_finish(policy_calls_t *calls);
/** @return id of the next call that is added, above 0 */
uint64_t policy_calls_next_id(const policy_calls_t *calls);
/** Adds a call, and sends it as soon as it is its turn. */
void policy_calls_add(policy_calls_t *calls, const policy_question_t *question);
/** Sends what rests are over for, and replaces calls of processes that do not answer. */
void policy_calls_tick(policy_calls_t *calls);
