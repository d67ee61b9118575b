#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "batch_state.h"

/**
 * @file
 * Port to the VMs and to the platform that owns the machines: what the leader of the batch jobs
 * orders and what comes back. The adapter translates; tests use a simulated fleet. All functions
 * copy what they are given, and call done exactly once, later and from the event loop.
 */

/** Longest id of a job, a VM or a checkpoint that the leader handles, in bytes with the final 0. */
#define VM_NAME_MAX 64

typedef enum {
	VM_REPLY_OK,
	VM_REPLY_FENCED,   /**< the VM has seen a higher fencing token */
	VM_REPLY_OLD_RUN,  /**< this run, or a later one, was stopped or ended there */
	VM_REPLY_TOO_LATE, /**< the lease had expired before the order arrived */
	VM_REPLY_NO_ROOM,
	VM_REPLY_BAD_TICKET, /**< the queue's policy has not allowed it, or not any more */
	VM_REPLY_INVALID,
	VM_REPLY_UNHEALTHY,  /**< refused; nothing was done */
	VM_REPLY_OTHER_LIFE, /**< another life of the VM, or another VM, has the address */
	VM_REPLY_BUSY,	     /**< of the platform: the machine is not up, or leaving */
	VM_REPLY_NOT_SENT,   /**< the order certainly did not reach the VM */
	VM_REPLY_NONE,	     /**< no answer; the order may be carried out, even seconds later */
} vm_reply_code_t;

const char *vm_reply_name(vm_reply_code_t code);

/** Names a task as the VMs do. */
typedef struct {
	char job[VM_NAME_MAX];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} task_name_t;

/** Where an order goes. */
typedef struct {
	const char *address; /**< IP:port */
	const char *id;	     /**< the VM that is meant */
} vm_ref_t;

typedef struct {
	task_name_t task;
	uint32_t run;
	const char *spec;
	uint64_t lease_until_ms; /**< on the VM's clock; for all that runs there */
	uint64_t fence;
	const char *checkpoint; /**< NULL: from the beginning */
	const char *ticket;	/**< NULL: none needed */
} vm_start_t;

typedef struct {
	task_name_t task;
	uint32_t run;
	uint64_t fence;
} vm_stop_t;

typedef struct {
	task_name_t task;
	uint32_t run;
	uint32_t percent; /**< 0 to 100 */
	uint64_t fence;
} vm_pace_t;

typedef struct {
	uint64_t fence;
	uint64_t lease_until_ms; /**< 0: the lease is not extended */
	uint64_t noted;		 /**< ends up to this number are recorded and may be forgotten */
	uint32_t wait_ms;	 /**< the answer waits so long for an end */
} vm_hold_t;

typedef struct {
	task_name_t task;
	uint32_t run;
	char checkpoint[VM_NAME_MAX]; /**< "": none */
	uint32_t percent;	      /**< progress; a long-running task is at work at 100 */
	uint32_t load; /**< of the last half second: tail in ms of a task with a goal, otherwise
			  thousandths of a core in use */
} vm_running_t;

typedef struct {
	uint64_t number; /**< of the end in the VM's list */
	task_name_t task;
	uint32_t run;
	Lp__BatchEndKind kind;
	char checkpoint[VM_NAME_MAX];
} vm_ended_t;

typedef struct {
	vm_reply_code_t code;
	uint64_t clock_ms; /**< the VM's; 0: not told */
	uint64_t born_ms;  /**< 0: not told */
	const vm_running_t *running;
	size_t running_count;
	const vm_ended_t *ended;
	size_t ended_count;
} vm_reply_t;

typedef void (*vm_done_fn)(void *arg, const vm_reply_t *reply);

/** Leave of a queue's policy to run one step on one VM. */
typedef struct {
	char vm[VM_NAME_MAX];
	char ticket[VM_NAME_MAX];
} vm_ticket_t;

typedef struct {
	bool answered;
	const vm_ticket_t *tickets;
	size_t ticket_count;
} advice_reply_t;

typedef void (*advice_done_fn)(void *arg, const advice_reply_t *reply);

/** A machine of the platform; a VM is one life of it. */
typedef struct {
	char machine[VM_NAME_MAX];
	char pool[VM_NAME_MAX];
	char vm[VM_NAME_MAX]; /**< "": none */
	uint32_t cpu_milli;
	bool up;
	bool down;
} machine_info_t;

typedef struct {
	bool answered;
	const machine_info_t *machines;
	size_t machine_count;
	const char *next_page; /**< NULL: this was the last one */
} machine_list_t;

typedef void (*machine_list_fn)(void *arg, const machine_list_t *list);

/** An order of the platform. */
typedef struct {
	const char *machine;
	const char *pool; /**< NULL: maintenance in a wave, otherwise a move to this pool */
	uint64_t wave;
	const char *holder; /**< name of this process */
	uint64_t fence;
} machine_order_t;

typedef struct {
	void (*start)(void *arg, const vm_ref_t *vm, const vm_start_t *start, vm_done_fn done,
		      void *done_arg);
	void (*stop)(void *arg, const vm_ref_t *vm, const vm_stop_t *stop, vm_done_fn done,
		     void *done_arg);
	void (*pace)(void *arg, const vm_ref_t *vm, const vm_pace_t *pace, vm_done_fn done,
		     void *done_arg);
	void (*hold)(void *arg, const vm_ref_t *vm, const vm_hold_t *hold, vm_done_fn done,
		     void *done_arg);
	void (*advise)(void *arg, const task_name_t *step, const char *const *vms, size_t count,
		       advice_done_fn done, void *done_arg);
	void (*machines)(void *arg, const char *page, machine_list_fn done, void *done_arg);
	void (*order)(void *arg, const machine_order_t *order, vm_done_fn done, void *done_arg);
	void *arg;
} vm_port_t;

/** What a VM says of itself. */
typedef struct {
	const char *id;
	const char *machine; /**< "": not told */
	const char *service;
	const char *address;
	const char *data_centre;
	const char *rack; /**< label of its rack; "": none */
	const char *const *labels;
	size_t label_count;
	uint32_t cpu_milli;
	uint32_t mem_mib;
	uint32_t gpu;
	bool draining;
	uint64_t remaining_ms; /**< least time left while it drains */
	uint64_t warmup_ms;    /**< how much longer it is slow */
	uint64_t born_ms;
	uint64_t clock_ms;
	uint64_t seq;
} vm_report_t;
