#pragma once

#include "node.h"

/**
 * @file
 * HTTP handlers of all paths outside /r/: health check, metrics, announcements of targets and
 * administration API. They run in the control thread and send the reply to the request that they
 * are given.
 */

/**
 * Checks the bearer token of a request and calls the handler for its method and path; implements
 * http_handler_fn.
 * @param arg the node_t
 */
void admin_handle(void *arg, http_request_t *request);

/** POST /v1/templates/check: parses and validates a template. */
void admin_template_check(node_t *node, http_request_t *request);
/** POST /v1/templates/plan: estimates the effects of applying a template. */
void admin_template_plan(node_t *node, http_request_t *request);
/** POST /v1/templates/apply: puts a template into force as the organisation's new revision. */
void admin_template_apply(node_t *node, http_request_t *request);
/** GET /v1/templates/history: audit records of applied templates, newest first. */
void admin_template_history(node_t *node, http_request_t *request);
/** GET /v1/templates/current: the template in force for an organisation. */
void admin_template_current(node_t *node, http_request_t *request);

/** GET /v1/status: cluster, pools, maintenance waves, organisations and members. */
void admin_status(node_t *node, http_request_t *request);
/** GET /v1/vms: all VMs with their phase and health. */
void admin_vms(node_t *node, http_request_t *request);
/** GET /v1/pools: all pools with their availability budget. */
void admin_pools(node_t *node, http_request_t *request);
/** GET /v1/waves: all maintenance waves. */
void admin_waves(node_t *node, http_request_t *request);
/** GET /v1/jobs: jobs, optionally only those in one state. */
void admin_jobs(node_t *node, http_request_t *request);
/** POST /v1/jobs: submits a job. */
void admin_job_submit(node_t *node, http_request_t *request);
/** POST /v1/jobs/cancel: cancels jobs by id. */
void admin_job_cancel(node_t *node, http_request_t *request);

/**
 * GET /v1/explain: state of a VM, pool, maintenance wave, job or request, and the reason for that
 * state.
 */
void admin_explain(node_t *node, http_request_t *request);
