#pragma once

#include <jansson.h>

#include "node.h"

/**
 * @file
 * Carries out the job decisions on the leader: proposals to the log, requests to the workers' task
 * interface. Control thread only.
 */

/** A worker ends a task whose lease was not renewed for so long, in ms. Longer than the time in
 * which a new leader hears every worker, so that a leader change ends no task. */
#define JOB_LEASE_MS 10000

struct job_runner;
typedef struct job_runner job_runner_t;

job_runner_t *job_runner_create(node_t *node);
void job_runner_destroy(job_runner_t *runner);

/** Tasks of a target, from an announcement here or at a peer. */
void job_runner_report(job_runner_t *runner, const Lp__TargetReport *report);
/** A cancellation was applied. */
void job_runner_cancelled(job_runner_t *runner, const Lp__JobCancel *cancel);

/**
 * Leases of the reported tasks that the log still wants on this VM; part of the answer to an
 * announcement, so that a data centre that is cut off keeps its tasks running.
 * @return JSON array (new reference)
 */
json_t *job_runner_leases(const node_t *node, const Lp__TargetReport *report);
