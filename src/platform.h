#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "http_client.h"

/**
 * @file
 * Client of the platform's HTTP API for draining and rebooting VMs. Requests carry an operation id
 * and are resent until the platform responds, so that lost responses and leader changes do no harm.
 * Control thread only.
 */

typedef enum {
	PLATFORM_DRAIN,
	PLATFORM_REBOOT,
} platform_op_t;

struct platform;
typedef struct platform platform_t;

/** @param base_url of the platform's API; when NULL, nothing is sent and operations never complete
 */
platform_t *platform_create(const char *base_url, http_client_t *client);
void platform_destroy(platform_t *platform);

/**
 * Requests an operation, or queries its progress. Call it in each planner run until it is complete.
 * @param epoch epoch of the VM; part of the operation id, so that an operation runs once per epoch
 * @param image image to boot, or NULL
 */
void platform_advance_op(platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch,
			 const char *image);
/** True when the platform has reported the operation as complete. */
bool platform_done(const platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch);
/** Discards the operations of a VM; call it when its permit is released. */
void platform_forget_vm(platform_t *platform, const char *vm);
/** Error of the latest request, or NULL when it succeeded. Owned by the platform. */
const char *platform_last_error(const platform_t *platform);
