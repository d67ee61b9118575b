#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "http_client.h"

/**
 * @file
 * Probes a silent target once, on a new connection, before it is declared lost: announcements may
 * be missing only because a middlebox dropped the state of their connections. A probe sends no
 * request, so that it can never make the target execute one. Must be used on the control thread
 * only.
 */

struct probe;
typedef struct probe probe_t;

probe_t *probe_create(http_client_t *client);
void probe_destroy(probe_t *probe);

/**
 * Returns whether a silent target may be declared lost. The first call starts the probe. Must be
 * called again in each planner run while the target is silent.
 * @return true when the probe failed, or when the target was reachable but stayed silent for 60 s
 */
bool probe_confirms_loss(probe_t *probe, const char *vm, const char *address, uint64_t now_us);
/** Discards the probe of a target. The target is probed again when it next falls silent. */
void probe_forget(probe_t *probe, const char *vm);
