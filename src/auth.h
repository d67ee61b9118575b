#pragma once

#include <stdbool.h>
#include <stddef.h>

/**
 * @file
 * Checks the bearer tokens of requests to the administration API and of announcements. The token
 * file has one "role token" per line. The roles are read, write (which includes read) and target
 * (for announcements).
 */

typedef enum {
	AUTH_NONE,   /**< no token required */
	AUTH_TARGET, /**< may send announcements */
	AUTH_READ,   /**< may read through the administration API */
	AUTH_WRITE,  /**< may read and make changes through the administration API */
} auth_role_t;

struct auth;
typedef struct auth auth_t;

/**
 * Loads the token file.
 * @param file path, or NULL for no tokens. Without tokens, every request is allowed if is_loopback
 * is true; otherwise only announcements and requests that need no role are allowed
 * @param is_loopback whether the HTTP listener is on a loopback address
 * @param error on failure, set to a message that names the file and line
 * @return NULL on failure
 */
auth_t *auth_create(const char *file, bool is_loopback, char *error, size_t error_size);
void auth_destroy(auth_t *auth);

/** @return the bearer token in the value of an Authorization header, or NULL when it has none */
const char *auth_bearer_token(const char *header);

/**
 * Checks whether the sender of a request has the required role. Anyone may send announcements when
 * the token file has no target token.
 * @param header value of the Authorization header, or NULL
 * @param needed role that the request requires
 */
bool auth_allows(const auth_t *auth, const char *header, auth_role_t needed);
