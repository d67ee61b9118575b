#pragma once

#include "node.h"

/**
 * @file
 * Announcements of targets: takes them by HTTP, tells the target its epoch, and passes short
 * reports on to the entry processes of the data centre and to the leader.
 */

struct announce;
typedef struct announce announce_t;

announce_t *announce_create(node_t *node);
void announce_destroy(announce_t *announce);

/** POST /v1/announce; replies. */
void announce_handle(announce_t *announce, http_request_t *request);
/** Reports passed on by a peer. */
void announce_reports(announce_t *announce, const Lp__TargetReports *reports);
