#pragma once

#include "node.h"

/**
 * @file
 * HTTP paths outside /r/: health, metrics, announcements, administration API. Control thread.
 */

/** http_handler_fn; arg is the node. */
void admin_handle(void *arg, http_request_t *request);

/** POST /v1/templates/check, plan, apply. */
void admin_template_check(node_t *node, http_request_t *request);
void admin_template_plan(node_t *node, http_request_t *request);
void admin_template_apply(node_t *node, http_request_t *request);
/** GET /v1/templates/history and /v1/templates/current. */
void admin_template_history(node_t *node, http_request_t *request);
void admin_template_current(node_t *node, http_request_t *request);

/** GET /v1/status, vms, pools, waves, jobs. */
void admin_status(node_t *node, http_request_t *request);
void admin_vms(node_t *node, http_request_t *request);
void admin_pools(node_t *node, http_request_t *request);
void admin_waves(node_t *node, http_request_t *request);
void admin_jobs(node_t *node, http_request_t *request);
/** POST /v1/jobs and /v1/jobs/cancel. */
void admin_job_submit(node_t *node, http_request_t *request);
void admin_job_cancel(node_t *node, http_request_t *request);

/** GET /v1/explain. */
void admin_explain(node_t *node, http_request_t *request);
