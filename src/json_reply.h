#pragma once

#include <jansson.h>

#include "http_server.h"

/**
 * @file
 * JSON bodies of HTTP requests and replies.
 */

/**
 * Replies with a JSON value.
 * @param value its reference is taken over; NULL gives status 500
 */
void json_reply(http_request_t *request, unsigned status, json_t *value);
/** Replies with the object {"error": message}. */
void json_reply_error(http_request_t *request, unsigned status, const char *message);
/**
 * Parses the body of a request.
 * @return new reference, or NULL when the body is not JSON
 */
json_t *json_request_body(const http_request_t *request);
