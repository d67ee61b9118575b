#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "batch.pb-c.h"

/**
 * @file
 * Accounts of organisations: what each may have running at the same time on all VMs, and what is
 * assigned to VMs. Part of the replicated state, except for members marked as not replicated. A
 * task is charged from its start intent until the end or the certain loss of its run is committed,
 * so that the account is never below what runs. Answers the load of an organisation that submits
 * more than it may have running.
 */

/** Resources of tasks. */
typedef struct {
	uint64_t cpu_milli;
	uint64_t mem_mib;
	uint64_t gpu;
} org_use_t;

typedef struct {
	char *name;
	uint32_t weight_milli; /**< share of a full service relative to others, in thousandths */
	org_use_t limit;       /**< 0: no limit */
	org_use_t used;	       /**< by tasks that VMs may be running */
	org_use_t reserved;    /**< for gangs whose start intent is being applied */
	org_use_t planned;     /**< by start intents that the leader has proposed and that are not
				  applied yet; valid in a placement pass, not replicated */
	/* Demand for machines, in cores, as the leader last summed it up; not replicated. */
	double demand_cores;   /**< of waiting and running jobs that can be in time */
	double entitled_cores; /**< its share of the machines that are not reserved */
	double arriving_cores; /**< arriving work per time, smoothed */
	double arrived_core_s; /**< work that has arrived since the latest sum */
	double within_share;   /**< the part of its latest demand that its share covers, 0 to 1 */
	unsigned jobs;	       /**< number of active jobs */
	bool configured;       /**< the present configuration has the organisation */
} org_account_t;

/** The accounts of all organisations that are configured or have active jobs, by name. */
typedef struct {
	GHashTable *by_name; /**< name -> org_account_t */
} org_accounts_t;

/** @return weight relative to other organisations, above 0 */
double org_account_weight(const org_account_t *account);

void org_accounts_init(org_accounts_t *accounts);
void org_accounts_finish(org_accounts_t *accounts);
/**
 * Takes over weights and limits of a configuration. An organisation that it does not have keeps its
 * account, with the latest limits, until its last active job ends.
 */
void org_accounts_configure(org_accounts_t *accounts, const Lp__BatchConfig *config);
/** Adds the account of an organisation that the configuration does not have any more. */
void org_accounts_restore(org_accounts_t *accounts, const Lp__BatchOrganisation *saved);
/** @return the account, or NULL when there is none */
org_account_t *org_accounts_find(const org_accounts_t *accounts, const char *name);
/** Counts a new active job. @param name of the organisation, not empty */
org_account_t *org_accounts_add_job(org_accounts_t *accounts, const char *name);
/** Counts the end of an active job. Removes the account if nothing refers to it any more. */
void org_accounts_remove_job(org_accounts_t *accounts, org_account_t *account);

/** Parts of the demand of a job, in cores. */
typedef struct {
	double within; /**< for which the pools get machines */
	double excess; /**< beyond the share of its organisation: it gets machines that nobody else
			  needs */
} org_demand_t;

/** Begins to sum up the demand of the organisations. @param cores to be shared */
void org_accounts_begin_demand(org_accounts_t *accounts, double cores);
/**
 * Adds the demand of a job. What its organisation's limit keeps from running is left out.
 * @param account NULL: the job has none, and no share
 */
org_demand_t org_account_add_demand(org_account_t *account, double cores);
/** Ends the sum, and updates within_share. @param period_us time since the latest sum */
void org_accounts_end_demand(org_accounts_t *accounts, uint64_t period_us);

/** Adds the resources of tasks of the step. */
void org_use_add(org_use_t *use, const Lp__BatchStep *step, uint64_t tasks);
/** Subtracts the resources of tasks of the step. */
void org_use_subtract(org_use_t *use, const Lp__BatchStep *step, uint64_t tasks);
/**
 * @param pending counts like use; NULL: nothing
 * @return number of tasks of the step, at most wanted, that can be started within the limit; of a
 * gang all or none
 */
uint32_t org_account_room(const org_account_t *account, const org_use_t *pending,
			  const Lp__BatchStep *step, uint32_t wanted);
/** True when the step's tasks, of a gang all together, can run while nothing else does. */
bool org_account_can_ever_run(const org_account_t *account, const Lp__BatchStep *step);
