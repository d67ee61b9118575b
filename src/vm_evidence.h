#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "vm_port.h"

/**
 * @file
 * Decides what a message says about the life of a VM. A VM that still works must not count as
 * ended, because its tasks would then run a second time. Reports come from the VMs, but also from
 * other systems that announce themselves on the same machines, and late ones from VMs that have
 * ended since.
 *
 * A report that names the machine, the address or the id of another known VM or life challenges
 * that one: it ends nobody, but the known VM is asked at its own address. If it answers, the report
 * is false. Until it is settled, the VM that the report names gets no tasks. A report of an unknown
 * service challenges nobody.
 *
 * What ends a life, or all runs of a VM:
 * - A challenge, if the VM is silent and its lease has ended. An address that refuses connections
 *   counts as silent: a cut of the network can reset them.
 * - A notice of a shutdown, which names the VM's id only, if the VM answers no request that is sent
 *   later, and has reported that it is about to end, or its address refuses connections.
 * - A response of the VM's address that names another VM, or another start.
 * - An entry of the platform's list that has the VM's machine as down or with another VM, if its
 *   pool is known and the list was requested after the VM fell silent.
 * - Two complete readings of that list in a row without the machine of a silent VM.
 * - The platform's response to a move or maintenance request, if the VM started before the request.
 * - The end of the lease of a silent VM: its runs have ended, the VM possibly not.
 *
 * A service is known when a configuration has named it since this process started, or when an
 * accepted job runs in it. A VM of any other service possibly belongs to a configuration that is
 * still on its way, so that it is kept, unconfirmed, until a configuration names its service.
 */

/** What is known about the latest life of a VM id. */
typedef struct {
	const char *machine; /**< "": unknown */
	const char *address; /**< "": unknown */
	const char *service; /**< "": it has not reported to this process */
	uint64_t born_ms;
	uint64_t seq;
	bool reported;
	bool confirmed; /**< its service was known, or the log assigns runs to it */
} vm_identity_t;

/** What a report shows. */
typedef enum {
	VM_REPORT_UPDATE,     /**< it is the next report of the known life */
	VM_REPORT_OTHER_LIFE, /**< it is from another life of the VM than the known one */
	VM_REPORT_REPLACES,   /**< the known life was never confirmed, and is forgotten for this one
			       */
	VM_REPORT_OUTDATED,   /**< it was overtaken by a later one of the known life */
	VM_REPORT_FOREIGN,    /**< it contradicts what is known, and is from another sender */
} vm_report_verdict_t;

/**
 * @param known the latest known life with the id of the report
 * @param service_known the service that the report names is known
 */
vm_report_verdict_t vm_evidence_of_report(const vm_identity_t *known, const vm_report_t *report,
					  bool service_known);

/** What is known about a VM, or an earlier life, whose machine, address or id a report names. */
typedef struct {
	uint64_t born_ms;
	uint64_t answered_us; /**< time when the latest request was sent that the VM has answered;
				 0: none */
	bool has_runs;	      /**< the log assigns runs to it */
} vm_rival_t;

typedef enum {
	VM_RIVAL_CHALLENGED, /**< the VM must be asked */
	VM_RIVAL_LATER, /**< the report is outdated: the VM started later, and has answered this
			   leader or an earlier one */
	VM_RIVAL_LIVES, /**< the report is false: the VM has answered since */
} vm_rival_verdict_t;

/**
 * @param report_born_ms start of the VM that has sent the report
 * @param received_us arrival time of the report
 */
vm_rival_verdict_t vm_evidence_of_rival(const vm_rival_t *rival, uint64_t report_born_ms,
					uint64_t received_us);

/** What is known about a VM since it was challenged. */
typedef struct {
	uint64_t challenged_us;
	uint64_t answered_us; /**< time when the latest request was sent that the VM has answered;
				 0: none */
	bool lapsed;	      /**< a request since was not answered, and its lease has ended */
} vm_challenge_t;

typedef enum {
	VM_CHALLENGE_OPEN,    /**< not known yet */
	VM_CHALLENGE_LAPSED,  /**< its runs have ended, the VM possibly not */
	VM_CHALLENGE_REFUTED, /**< the VM lives */
} vm_challenge_verdict_t;

vm_challenge_verdict_t vm_evidence_of_challenge(const vm_challenge_t *challenge);

/** What the entry of a machine in the platform's list shows about the VM known there. */
typedef enum {
	VM_LISTED_NOTHING, /**< nothing: it cannot be read, or is from another system */
	VM_LISTED_PRESENT, /**< the machine is there, and does not run another VM */
	VM_LISTED_DOWN,	   /**< the machine is down */
	VM_LISTED_GONE,	   /**< the machine runs another VM */
} vm_listing_verdict_t;

/**
 * @param vm id of the VM that is known on the machine
 * @param pool_known the pool that the entry names is known, or is the machine's own
 */
vm_listing_verdict_t vm_evidence_of_listing(const char *vm, const machine_info_t *listed,
					    bool pool_known);

/** What is known about a VM since a notice of its shutdown arrived. */
typedef struct {
	uint64_t notice_us;   /**< arrival time of the notice */
	uint64_t answered_us; /**< time when the latest request was sent that the VM has answered;
				 0: none */
	bool draining;	      /**< the VM has reported that it is about to end */
	bool refused;	      /**< its address has broken off or refused the latest requests */
} vm_shutdown_t;

typedef enum {
	VM_SHUTDOWN_OPEN,    /**< not known yet */
	VM_SHUTDOWN_ENDED,   /**< the VM has ended */
	VM_SHUTDOWN_REFUTED, /**< the VM still runs: the notice is late, from its earlier life, or
				from another sender */
} vm_shutdown_verdict_t;

/** Time from a notice until a request is sent that the VM cannot answer if it has ended, in us. */
#define VM_SHUTDOWN_SETTLE_US 300000ULL

vm_shutdown_verdict_t vm_evidence_of_shutdown(const vm_shutdown_t *shutdown, uint64_t now_us);
