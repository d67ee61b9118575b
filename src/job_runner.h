#pragma once

#include <jansson.h>

#include "node.h"

/**
 * @file
 * Executes the leader's decisions on jobs (jobs.h): proposes commands and sends requests to the
 * task API of the workers. Must be used on the control thread only.
 */

/**
 * Lease of a task in ms: a worker ends a task whose lease was not renewed for this long. It is
 * longer than a new leader takes to hear from every worker, so that no task ends because of a
 * leader change.
 */
#define JOB_LEASE_MS 10000

struct job_runner;
typedef struct job_runner job_runner_t;

job_runner_t *job_runner_create(node_t *node);
void job_runner_destroy(job_runner_t *runner);

/**
 * Processes the task states in a target's report, which this process or a peer has received. Does
 * nothing unless this process is leader.
 */
void job_runner_handle_report(job_runner_t *runner, const Lp__TargetReport *report);
/**
 * Stops the tasks of cancelled jobs. Must be called after the command was applied; does nothing
 * unless this process is leader.
 */
void job_runner_handle_cancel(job_runner_t *runner, const Lp__JobCancel *cancel);

/**
 * Renews the leases of the reported tasks that are still assigned to the VM. Any process can do so
 * in its response to an announcement, so that tasks keep running in a data centre that is cut off
 * from the leader.
 * @return JSON array; the caller owns the reference
 */
json_t *job_runner_renew_leases(const node_t *node, const Lp__TargetReport *report);
