#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "http_client.h"

/**
 * @file
 * Client of the platform's HTTP API for draining and rebooting VMs. Requests carry an operation id
 * and are sent again until the platform responds with success, so that lost responses and leader
 * changes do no harm. Must be used on the control thread only.
 */

typedef enum {
	PLATFORM_DRAIN,
	PLATFORM_REBOOT,
} platform_op_t;

struct platform;
typedef struct platform platform_t;

/**
 * Creates a client of the platform's API.
 * @param base_url URL of the API; NULL: nothing is sent, and operations never complete
 */
platform_t *platform_create(const char *base_url, http_client_t *client);
void platform_destroy(platform_t *platform);

/**
 * Requests an operation or queries its progress. Must be called in each planner run until the
 * operation is complete.
 * @param epoch epoch of the VM; it is part of the operation id, so that an operation runs once per
 * epoch
 * @param image image to boot, or NULL
 */
void platform_advance_op(platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch,
			 const char *image);
/** True when the platform has reported that the operation is complete. */
bool platform_done(const platform_t *platform, platform_op_t op, const char *vm, uint64_t epoch);
/** Discards the operations of a VM. Must be called when the VM becomes active again. */
void platform_forget_vm(platform_t *platform, const char *vm);
/**
 * Returns the error of the latest request to the platform, or NULL when that request succeeded. The
 * string is owned by the client.
 */
const char *platform_last_error(const platform_t *platform);
