#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "command.pb-c.h"

/**
 * @file
 * Replicated state of the fleet: organisations, pools, VMs, maintenance waves, jobs and members
 * (the entry processes). Changed only by fleet_apply() and fleet_load(), which must be called on
 * the control thread.
 */

struct fleet_org;
struct fleet_pool;

/** State of one VM. The fleet owns the strings. */
typedef struct fleet_vm {
	TAILQ_ENTRY(fleet_vm) pool_link;
	char *id;
	struct fleet_pool *pool;    /**< pool of the VM; never NULL */
	struct fleet_pool *to_pool; /**< destination of a move in progress, or NULL */
	char *data_centre;
	char *rack;
	char *address; /**< IP:port */
	char *image;
	char *reason; /**< reason of the latest phase change */
	/**
	 * Incremented by each cordon, move and replacement, and when the VM becomes or stops being
	 * routable. Leases of earlier epochs are invalid.
	 */
	uint64_t epoch;
	uint64_t wave;	      /**< id of the wave for which the permit was granted; 0: none */
	uint64_t since_ms;    /**< wall-clock time of the last phase change, ms since 1970 */
	uint64_t since_index; /**< log index of the last change of phase, pool or cordon */
	uint64_t reboot_ms;   /**< duration of the latest reboot, ms; 0: unknown */
	Lp__VmPhase phase;
	Lp__PermitKind permit;
	uint32_t cores;
	uint32_t mem_mib;
	uint32_t accelerators;
	uint32_t slots; /**< number of requests that the VM can serve at the same time */
	uint32_t connections;
} fleet_vm_t;

typedef struct fleet_pool {
	TAILQ_ENTRY(fleet_pool) link;
	TAILQ_HEAD(fleet_vm_list, fleet_vm) vms;
	struct fleet_org *org;
	char *name;
	const Lp__PoolSpec
		*spec; /**< the pool's entry in the template; NULL when removed from it */
	uint32_t vm_count;
} fleet_pool_t;

typedef struct fleet_org {
	TAILQ_ENTRY(fleet_org) link;
	TAILQ_HEAD(fleet_pool_list, fleet_pool) pools;
	char *name;
	Lp__Template *template; /**< template in force; NULL until one is applied */
	uint64_t revision;	/**< revision of the template, counted from 1 */
	uint64_t index;		/**< log index at which the template was applied */
	uint64_t time_ms;	/**< wall-clock time when the template was applied, ms since 1970 */
	char *author;
	char *note;
} fleet_org_t;

/** A maintenance wave: the roll-out of one image over an organisation's VMs. */
typedef struct fleet_wave {
	TAILQ_ENTRY(fleet_wave) link;
	fleet_org_t *org;
	uint64_t id;
	char *image;
	Lp__WaveState state;
	uint32_t batch;	     /**< VMs that may be under maintenance at the same time */
	uint32_t failures;   /**< VMs that failed since the wave was started or resumed */
	uint32_t done;	     /**< number of VMs that became active again with the wave's image */
	uint64_t started_ms; /**< wall-clock time of the start, ms since 1970 */
	uint64_t since_ms;   /**< wall-clock time of the last state change, ms since 1970 */
	char *reason;	     /**< reason of the latest state change */
} fleet_wave_t;

typedef struct fleet_job {
	TAILQ_ENTRY(fleet_job) link; /**< entry in the list fleet_t.jobs[state] */
	Lp__JobSpec *spec;
	Lp__JobState state;
	uint32_t attempt;  /**< number of placements so far */
	char *vm;	   /**< VM of the latest attempt; "" while queued */
	uint64_t vm_epoch; /**< epoch of the VM when the job was placed */
	uint64_t since_ms; /**< wall-clock time of the last state change, ms since 1970 */
	char *reason;
	char *result;
	GPtrArray *failed_on; /**< ids of VMs on which an attempt failed */
} fleet_job_t;

/** An entry process. */
typedef struct fleet_member {
	TAILQ_ENTRY(fleet_member) link;
	uint32_t node_id;
	uint64_t replica_id;
	char *data_centre;
	char *peer_address;
	char *http_address;
	bool disk; /**< true: the process has a data directory; only such a member can vote */
	bool up;
} fleet_member_t;

TAILQ_HEAD(fleet_org_list, fleet_org);
TAILQ_HEAD(fleet_wave_list, fleet_wave);
TAILQ_HEAD(fleet_job_list, fleet_job);
TAILQ_HEAD(fleet_member_list, fleet_member);

#define FLEET_JOB_STATES 8

typedef struct {
	uint64_t applied_index; /**< log index of the last applied command */
	struct fleet_org_list orgs;
	struct fleet_wave_list waves; /**< newest first */
	struct fleet_job_list jobs[FLEET_JOB_STATES];
	uint32_t finished_count[FLEET_JOB_STATES]; /**< number of jobs kept in each final state */
	struct fleet_member_list members;	   /**< ascending by node id */
	uint64_t member_epoch; /**< incremented when members or their data centres change */
	uint64_t next_wave;
	GHashTable *vm_by_id;
	GHashTable *job_by_id;
	GHashTable *outcome_by_op_id;
	GQueue op_outcomes; /**< Lp__OpOutcome, oldest first; at most FLEET_OP_OUTCOME_LIMIT */
	GQueue audit;	    /**< Lp__AuditRecord, oldest first; at most FLEET_AUDIT_RECORD_LIMIT */
	char *message;	    /**< Lp__Result.message of the latest result */
} fleet_t;

void fleet_init(fleet_t *fleet);
void fleet_finish(fleet_t *fleet);

/**
 * Applies a committed command. The result depends only on the state and the command, so that all
 * replicas reach the same state. A resent operation returns its first result and changes nothing.
 * @param index log index of the command
 * @param result filled by the function; its strings are owned by the fleet and valid until the next
 * call
 */
void fleet_apply(fleet_t *fleet, uint64_t index, const Lp__Command *command, Lp__Result *result);

fleet_vm_t *fleet_vm_find(const fleet_t *fleet, const char *id);
fleet_org_t *fleet_org_find(const fleet_t *fleet, const char *name);
fleet_pool_t *fleet_pool_find(const fleet_org_t *org, const char *name);
fleet_pool_t *fleet_spare_pool(const fleet_org_t *org);
fleet_job_t *fleet_job_find(const fleet_t *fleet, const char *id);
fleet_member_t *fleet_member_find(const fleet_t *fleet, uint32_t node_id);
fleet_wave_t *fleet_wave_find(const fleet_t *fleet, uint64_t id);

/** True when the VM's phase allows new requests to be sent to it. */
bool fleet_vm_routable(const fleet_vm_t *vm);
/**
 * True when the VM counts against its pool's disruption budget, which is so in every phase except
 * VM_ACTIVE.
 */
bool fleet_vm_uses_budget(const fleet_vm_t *vm);

const char *fleet_phase_name(Lp__VmPhase phase);
const char *fleet_permit_name(Lp__PermitKind permit);
const char *fleet_wave_state_name(Lp__WaveState state);
const char *fleet_job_state_name(Lp__JobState state);

/**
 * Serialises the state.
 * @return snapshot of *length bytes; the caller frees it with free()
 */
uint8_t *fleet_save(const fleet_t *fleet, size_t *length);
/**
 * Replaces the state by that of a snapshot.
 * @return 0, or -1 when the snapshot is invalid; the state is then unchanged
 */
int fleet_load(fleet_t *fleet, const uint8_t *data, size_t length);
