#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "batch_state.h"

/**
 * @file
 * Interface of the batch leader to the VMs and to the platform that owns the machines. It is
 * implemented by the adapter over HTTP, and by a simulated fleet in tests. All functions copy their
 * arguments. They call done exactly once, from the event loop and never before they return.
 */

/**
 * Size of the buffer for the name of a job, VM, machine, pool, checkpoint or ticket, in bytes with
 * the terminating null.
 */
#define VM_NAME_MAX 64

typedef enum {
	VM_REPLY_OK,
	VM_REPLY_FENCED,    /**< the receiver has seen a higher fencing token */
	VM_REPLY_STALE_RUN, /**< this run, or a later run of the task, was stopped or has ended on
			       the VM */
	VM_REPLY_TOO_LATE,  /**< the granted lease had already expired when the request arrived */
	VM_REPLY_NO_ROOM,
	VM_REPLY_BAD_TICKET, /**< the ticket of the policy service is missing, invalid or expired */
	VM_REPLY_INVALID,
	VM_REPLY_UNHEALTHY, /**< the VM is unhealthy and has refused the request without effect */
	VM_REPLY_OTHER_INCARNATION, /**< the address belongs to another VM or another incarnation of
				       the VM */
	VM_REPLY_BUSY, /**< sent by the platform only: the machine is not up or leaves its pool */
	VM_REPLY_NOT_SENT,    /**< the request did not reach the VM */
	VM_REPLY_NO_RESPONSE, /**< no response in time; the request can still be carried out, even
				 seconds later */
} vm_reply_code_t;

const char *vm_reply_name(vm_reply_code_t code);

/** Identifies a task in requests to VMs and to the policy service. */
typedef struct {
	char job[VM_NAME_MAX];
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
} task_id_t;

static inline bool task_id_equal(const task_id_t *a, const task_id_t *b)
{
	return a->occurrence == b->occurrence && a->step == b->step && a->index == b->index &&
	       strcmp(a->job, b->job) == 0;
}

/** Destination of a VM request. */
typedef struct {
	const char *address; /**< IP:port */
	const char *id;	     /**< VM id; a VM with another id refuses the request */
	/** Monotonic time in microseconds from which on the request is not sent any more and gets
	 * VM_REPLY_NOT_SENT; 0: the request's own timeout. */
	uint64_t expires_us;
} vm_ref_t;

typedef struct {
	task_id_t task;
	uint32_t run;
	const char *spec;
	uint64_t lease_until_ms; /**< end of the lease granted to all tasks on the VM, by the VM's
				    clock */
	uint64_t fence;
	const char *checkpoint; /**< checkpoint to resume from; NULL: start from the beginning */
	const char *ticket;	/**< ticket of the policy service; NULL: none needed */
} vm_start_t;

typedef struct {
	task_id_t task;
	uint32_t run;
	uint64_t fence;
} vm_stop_t;

typedef struct {
	task_id_t task;
	uint32_t run;
	uint32_t percent; /**< allowed speed in percent of full speed; 0 halts the task */
	uint64_t fence;
} vm_pace_t;

typedef struct {
	uint64_t fence;
	uint64_t lease_until_ms; /**< end of the lease granted to all tasks on the VM, by the VM's
				    clock; 0: none is granted */
	uint64_t acknowledged; /**< number of the VM's latest finished run that is committed; the VM
				  may forget this run and all earlier ones */
	uint32_t wait_ms; /**< longest time for which the VM delays its response to wait for a run
			     to finish */
} vm_hold_t;

typedef struct {
	task_id_t task;
	uint32_t run;
	char checkpoint[VM_NAME_MAX]; /**< latest checkpoint of the run; "": none */
	uint32_t percent; /**< progress, 0 to 100; a long-running task is available from 100 */
	uint32_t load;	  /**< tail latency in ms for a latency-goal task, otherwise CPU use in
			     thousandths of a core, measured over the last half second */
} vm_run_status_t;

typedef struct {
	uint64_t number; /**< number of the entry in the VM's list of finished runs, increasing */
	task_id_t task;
	uint32_t run;
	Lp__BatchEndKind kind;
	char checkpoint[VM_NAME_MAX];
} vm_finished_run_t;

typedef struct {
	vm_reply_code_t code;
	uint64_t clock_ms;   /**< reading of the VM's clock; 0: not in the response */
	uint64_t born_ms;    /**< start time of the VM's incarnation; 0: not in the response */
	uint64_t elapsed_us; /**< time of the call where it was made, which is an edge process if it
				was relayed; 0: unknown */
	const vm_run_status_t *running;
	size_t running_count;
	const vm_finished_run_t *finished;
	size_t finished_count;
	bool partial; /**< the lists possibly leave out runs: the VM has more finished ones than fit
			 in a response, or an entry cannot be read */
	size_t malformed; /**< number of entries of the lists that cannot be read */
} vm_reply_t;

typedef void (*vm_reply_fn)(void *arg, const vm_reply_t *reply);

/** Permission to run one step on one VM, issued by the policy service. */
typedef struct {
	char vm[VM_NAME_MAX];
	char ticket[VM_NAME_MAX];
} vm_ticket_t;

typedef enum {
	ADVICE_ANSWERED,
	ADVICE_BUSY,	 /**< the service, or the process that calls it, takes no more calls now */
	ADVICE_NOT_SENT, /**< the request did not reach the service */
	ADVICE_NO_RESPONSE, /**< no usable response in time */
} advice_code_t;

/** Request to the policy service. */
typedef struct {
	uint32_t node;	/**< process that makes the call, from advisers(); 0: this process */
	task_id_t step; /**< the index of the task is not used */
	const char *const *vms;
	size_t vm_count;
	uint64_t timeout_ms;
} advice_request_t;

typedef struct {
	advice_code_t code;
	const vm_ticket_t *tickets;
	size_t ticket_count;
	uint64_t elapsed_us; /**< time of the call at the process that made it */
	/** Longest time since the service has issued the tickets. */
	uint64_t age_us;
} advice_reply_t;

typedef void (*advice_done_fn)(void *arg, const advice_reply_t *reply);

/** A machine in the platform's list. Each start of a machine is a new VM incarnation. */
typedef struct {
	char machine[VM_NAME_MAX];
	char pool[VM_NAME_MAX];
	char vm[VM_NAME_MAX]; /**< id of the VM on the machine; "": none */
	uint32_t cpu_milli;
	bool up;
	bool down;
	bool name_only; /**< the other members cannot be read */
} machine_info_t;

typedef struct {
	bool answered;
	const machine_info_t *machines;
	size_t machine_count;
	const char *next_page; /**< page to request next; NULL: this is the last page */
} machine_list_t;

typedef void (*machine_list_fn)(void *arg, const machine_list_t *list);

/** A platform request, for maintenance of a machine or its move to another pool. */
typedef struct {
	const char *machine;
	const char *pool; /**< destination pool of a move; NULL: maintenance in a wave */
	uint64_t wave;
	const char *holder; /**< name of the process that sends the request */
	uint64_t fence;
} platform_request_t;

typedef struct {
	void (*start)(void *arg, const vm_ref_t *vm, const vm_start_t *start, vm_reply_fn done,
		      void *done_arg);
	void (*stop)(void *arg, const vm_ref_t *vm, const vm_stop_t *stop, vm_reply_fn done,
		     void *done_arg);
	void (*pace)(void *arg, const vm_ref_t *vm, const vm_pace_t *pace, vm_reply_fn done,
		     void *done_arg);
	void (*hold)(void *arg, const vm_ref_t *vm, const vm_hold_t *hold, vm_reply_fn done,
		     void *done_arg);
	/** Lists the other processes that can call the policy service. Only the port of the leader
	 * has it. @return their number, at most max */
	size_t (*advisers)(void *arg, uint32_t *nodes, size_t max);
	void (*advise)(void *arg, const advice_request_t *request, advice_done_fn done,
		       void *done_arg);
	void (*machines)(void *arg, const char *page, machine_list_fn done, void *done_arg);
	void (*order)(void *arg, const platform_request_t *request, vm_reply_fn done,
		      void *done_arg);
	void *arg;
} vm_port_t;

/** Report that a VM sends about itself at regular intervals. */
typedef struct {
	const char *id;
	const char *machine; /**< machine that the VM runs on; "": unknown */
	const char *service;
	const char *address;
	const char *data_centre;
	const char *rack; /**< rack label of the VM; "": none */
	const char *const *labels;
	size_t label_count;
	uint32_t cpu_milli;
	uint32_t mem_mib;
	uint32_t gpu;
	bool draining;
	uint64_t remaining_ms; /**< shortest time for which a draining VM keeps running */
	uint64_t warmup_ms;    /**< remaining time for which the VM runs at reduced speed after its
				  start */
	uint64_t born_ms;
	uint64_t clock_ms;
	uint64_t seq;
} vm_report_t;
