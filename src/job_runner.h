#pragma once

#include <jansson.h>

#include "node.h"

/**
 * @file
 * Executes the leader's job decisions (jobs.h): proposes commands and sends requests to the task
 * API of the workers. Control thread only.
 */

/** A worker ends a task whose lease was not renewed for this long, in ms. Longer than it takes
 * until a new leader has heard from every worker, so that a leader change ends no task. */
#define JOB_LEASE_MS 10000

struct job_runner;
typedef struct job_runner job_runner_t;

job_runner_t *job_runner_create(node_t *node);
void job_runner_destroy(job_runner_t *runner);

/** Handles the task states in a target's report, received here or forwarded by a peer. */
void job_runner_handle_report(job_runner_t *runner, const Lp__TargetReport *report);
/** Stops the tasks of cancelled jobs; call it after the command was applied. */
void job_runner_handle_cancel(job_runner_t *runner, const Lp__JobCancel *cancel);

/**
 * Renews the leases of those reported tasks that are still assigned to the VM. Any process can do
 * so in its response to an announcement, so that tasks keep running in a data centre cut off from
 * the leader.
 * @return JSON array (new reference)
 */
json_t *job_runner_renew_leases(const node_t *node, const Lp__TargetReport *report);
