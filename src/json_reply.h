#pragma once

#include <jansson.h>

#include "http_server.h"

/**
 * @file
 * JSON bodies of HTTP requests and replies.
 */

/**
 * Replies to a request with a JSON value.
 * @param value body of the reply; the function takes over the reference. With NULL, it replies with
 * status 500
 */
void json_reply(http_request_t *request, unsigned status, json_t *value);
/** Replies to a request with the object {"error": message}. */
void json_reply_error(http_request_t *request, unsigned status, const char *message);
/**
 * Parses the body of a request as JSON.
 * @return new reference, or NULL when the body is not valid JSON
 */
json_t *json_request_body(const http_request_t *request);
