#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http_client.h"

/**
 * @file
 * Probes a silent target once on a new connection before it is declared lost: its announcements may
 * be silent because something between lost track of their connections. Nothing is sent, so that a
 * probe can never run a request. Control thread only.
 */

struct probe;
typedef struct probe probe_t;

probe_t *probe_create(http_client_t *client);
void probe_destroy(probe_t *probe);

/**
 * Tells whether a silent target may be declared lost. Starts a probe when none was made for this
 * silence; call it again in the next planner run.
 * @return true when the probe failed, or when the target has been reachable but silent for 60 s
 */
bool probe_confirms_loss(probe_t *probe, const char *vm, const char *address, uint64_t now_us);
/** Ends the silence of a target: the next one is probed anew. */
void probe_forget(probe_t *probe, const char *vm);
