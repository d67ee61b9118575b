#pragma once

#include <stdbool.h>
#include <stddef.h>

/**
 * @file
 * Bearer tokens of the administration API. The token file holds one "role token" per line; roles
 * are read, write (includes read) and target (announcements).
 */

typedef enum {
	AUTH_NONE,
	AUTH_TARGET,
	AUTH_READ,
	AUTH_WRITE,
} auth_role_t;

struct auth;
typedef struct auth auth_t;

/**
 * @param file NULL: no tokens; every caller is allowed everything if loopback is true, otherwise
 * nothing but announcements
 * @param loopback the HTTP listener is on a loopback address
 * @return NULL with a message that names file and line in error
 */
auth_t *auth_create(const char *file, bool loopback, char *error, size_t error_size);
void auth_destroy(auth_t *auth);

/**
 * True when the caller may do what needs the role.
 * @param header value of the Authorization header, or NULL
 */
bool auth_allows(const auth_t *auth, const char *header, auth_role_t needed);
