#pragma once

#include "node.h"

/**
 * @file
 * Handles the announcements that targets send by HTTP: responds with the target's epoch, pool and
 * task leases, proposes the registration of new targets, and forwards reports to the leader and to
 * the entry processes of the data centre.
 */

struct announce;
typedef struct announce announce_t;

announce_t *announce_create(node_t *node);
void announce_destroy(announce_t *announce);

/** Handles a POST request to /v1/announce and responds to it. */
void announce_handle(announce_t *announce, http_request_t *request);
/** Updates this process's view of the targets from reports that a peer forwarded. */
void announce_handle_forwarded_reports(announce_t *announce, const Lp__TargetReports *reports);
