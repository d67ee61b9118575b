#pragma once

#include <stdbool.h>
#include <stddef.h>

/**
 * @file
 * Checks the bearer tokens of the administration API and of announcements. The token file has one
 * "role token" per line; the roles are read, write (which includes read) and target
 * (announcements).
 */

typedef enum {
	AUTH_NONE,   /**< no token required */
	AUTH_TARGET, /**< may announce targets */
	AUTH_READ,   /**< may read the administration API */
	AUTH_WRITE,  /**< may read and change */
} auth_role_t;

struct auth;
typedef struct auth auth_t;

/**
 * Loads the token file.
 * @param file NULL: no tokens; when is_loopback is true, every request is allowed, otherwise only
 * announcements and what needs no role
 * @param is_loopback the HTTP listener is on a loopback address
 * @param error message that names the file and line
 * @return NULL on failure
 */
auth_t *auth_create(const char *file, bool is_loopback, char *error, size_t error_size);
void auth_destroy(auth_t *auth);

/**
 * Checks whether the sender of a request has a role. Announcements are open to all when the token
 * file has no target token.
 * @param header value of the Authorization header, or NULL
 * @param needed role that the request requires
 */
bool auth_allows(const auth_t *auth, const char *header, auth_role_t needed);
