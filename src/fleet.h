#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include <glib.h>

#include "command.pb-c.h"

/**
 * @file
 * The fleet's state: organisations, pools, VMs, waves, jobs, members. A deterministic state machine
 * that is changed only by fleet_apply(). Control thread only.
 */

struct fleet_org;
struct fleet_pool;

/** A VM. Strings are owned by the fleet. */
typedef struct fleet_vm {
	TAILQ_ENTRY(fleet_vm) pool_link;
	char *id;
	struct fleet_pool *pool;    /**< never NULL: a VM always belongs to exactly one pool */
	struct fleet_pool *to_pool; /**< destination of a move, or NULL */
	char *data_centre;
	char *rack;
	char *address; /**< IP:port */
	char *image;
	char *reason; /**< of the current phase */
	uint64_t epoch;
	uint64_t wave;
	uint64_t since_ms;    /**< wall clock */
	uint64_t since_index; /**< log index of the last change of phase, pool or cordon */
	uint64_t out_ms;      /**< how long its latest reboot took; 0: unknown */
	Lp__VmPhase phase;
	Lp__PermitKind permit;
	uint32_t cores;
	uint32_t mem_mib;
	uint32_t accelerators;
	uint32_t slots;
	uint32_t connections;
} fleet_vm_t;

typedef struct fleet_pool {
	TAILQ_ENTRY(fleet_pool) link;
	TAILQ_HEAD(fleet_vm_list, fleet_vm) vms;
	struct fleet_org *org;
	char *name;
	const Lp__PoolSpec *spec; /**< NULL when the template no longer names the pool */
	uint32_t vm_count;
} fleet_pool_t;

typedef struct fleet_org {
	TAILQ_ENTRY(fleet_org) link;
	TAILQ_HEAD(fleet_pool_list, fleet_pool) pools;
	char *name;
	Lp__Template *template; /**< NULL before the first apply */
	uint64_t revision;
	uint64_t index;
	uint64_t time_ms;
	char *author;
	char *note;
} fleet_org_t;

typedef struct fleet_wave {
	TAILQ_ENTRY(fleet_wave) link;
	fleet_org_t *org;
	uint64_t id;
	char *image;
	Lp__WaveState state;
	uint32_t batch;
	uint32_t failures;
	uint32_t done;
	uint64_t started_ms;
	uint64_t since_ms;
	char *reason;
} fleet_wave_t;

typedef struct fleet_job {
	TAILQ_ENTRY(fleet_job) link; /**< in the list of its state */
	Lp__JobSpec *spec;
	Lp__JobState state;
	uint32_t attempt;
	char *vm; /**< "" when not placed */
	uint64_t vm_epoch;
	uint64_t since_ms;
	char *reason;
	char *result;
	GPtrArray *failed_on; /**< VM ids */
} fleet_job_t;

typedef struct fleet_member {
	TAILQ_ENTRY(fleet_member) link;
	uint32_t node_id;
	uint64_t replica_id;
	char *data_centre;
	char *peer_address;
	char *http_address;
	bool disk;
	bool up;
} fleet_member_t;

TAILQ_HEAD(fleet_org_list, fleet_org);
TAILQ_HEAD(fleet_wave_list, fleet_wave);
TAILQ_HEAD(fleet_job_list, fleet_job);
TAILQ_HEAD(fleet_member_list, fleet_member);

#define FLEET_JOB_STATES 8

typedef struct {
	uint64_t applied; /**< index of the last applied command */
	struct fleet_org_list orgs;
	struct fleet_wave_list waves; /**< newest first */
	struct fleet_job_list jobs[FLEET_JOB_STATES];
	uint32_t finished[FLEET_JOB_STATES]; /**< number of jobs kept in each final state */
	struct fleet_member_list members;    /**< by node id */
	uint64_t member_epoch; /**< raised when the set of members or their data centres change */
	uint64_t next_wave;
	GHashTable *vm_by_id;
	GHashTable *job_by_id;
	GHashTable *op_by_id;
	GQueue ops;    /**< operation outcomes, oldest first; bounded */
	GQueue audit;  /**< Lp__AuditRecord, oldest first; bounded */
	char *message; /**< text of the latest result */
} fleet_t;

void fleet_init(fleet_t *fleet);
void fleet_finish(fleet_t *fleet);

/**
 * Applies a committed command. The same commands in the same order give the same state everywhere.
 * @param result filled; its strings are owned by the fleet until the next call
 */
void fleet_apply(fleet_t *fleet, uint64_t index, const Lp__Command *command, Lp__Result *result);

fleet_vm_t *fleet_vm_find(const fleet_t *fleet, const char *id);
fleet_org_t *fleet_org_find(const fleet_t *fleet, const char *name);
fleet_pool_t *fleet_pool_find(const fleet_org_t *org, const char *name);
fleet_pool_t *fleet_spare_pool(const fleet_org_t *org);
fleet_job_t *fleet_job_find(const fleet_t *fleet, const char *id);
fleet_member_t *fleet_member_find(const fleet_t *fleet, uint32_t node_id);
fleet_wave_t *fleet_wave_find(const fleet_t *fleet, uint64_t id);

/** True when the VM may be given new work as far as the log knows. */
bool fleet_vm_routable(const fleet_vm_t *vm);
/** True when the VM counts against its pool's budget although it belongs to it. */
bool fleet_vm_out(const fleet_vm_t *vm);

const char *fleet_phase_name(Lp__VmPhase phase);
const char *fleet_permit_name(Lp__PermitKind permit);
const char *fleet_wave_state_name(Lp__WaveState state);
const char *fleet_job_state_name(Lp__JobState state);

/** Serialises the state. @return memory allocated with malloc() */
uint8_t *fleet_save(const fleet_t *fleet, size_t *length);
/** Replaces the state. @return 0, or -1 when the snapshot cannot be read (the state is unchanged)
 */
int fleet_load(fleet_t *fleet, const uint8_t *data, size_t length);
