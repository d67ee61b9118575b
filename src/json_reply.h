#pragma once

#include <jansson.h>

#include "http_server.h"

/**
 * @file
 * JSON bodies of requests and replies.
 */

/** Replies with a JSON value and takes over the reference; NULL gives status 500. */
void json_reply(http_request_t *request, unsigned status, json_t *value);
/** Replies with {"error": message}. */
void json_reply_error(http_request_t *request, unsigned status, const char *message);
/** @return the parsed body (new reference), or NULL when it is not JSON */
json_t *json_reply_body(const http_request_t *request);
