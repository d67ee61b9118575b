#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "http_client.h"

/**
 * @file
 * The platform's interface for draining and rebooting VMs, by HTTP. Requests carry an operation id
 * and are sent again until the platform answers, so that they survive lost answers and a change of
 * the leader. Control thread only.
 */

typedef enum {
	PLATFORM_DRAIN,
	PLATFORM_REBOOT,
} platform_op_t;

struct platform;
typedef struct platform platform_t;

/** @param base_url of the platform's API, or NULL: requests then never complete */
platform_t *platform_create(const char *base_url, http_client_t *client);
void platform_destroy(platform_t *platform);

/**
 * Requests an operation, or asks for its progress. Call it once per planner run until it is done.
 * @param epoch of the VM's permit; operations of one permit are not repeated
 */
void platform_request(platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch,
		      const char *image);
/** True when the platform reported the operation complete. */
bool platform_done(const platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch);
/** Forgets the operations of a VM; its permit was given back. */
void platform_forget(platform_t *platform, const char *vm);
/** Text of the latest failure of a request, or NULL. */
const char *platform_error(const platform_t *platform);
