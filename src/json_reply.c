#include "json_reply.h"

#include <stdlib.h>
#include <string.h>

void json_reply(http_request_t *request, unsigned status, json_t *value)
{
	const http_header_t header = {.name = "Content-Type", .value = "application/json"};
	char *text = value == NULL ? NULL : json_dumps(value, JSON_COMPACT);

	if (text == NULL)
		http_request_reply(request, 500, NULL, 0, "", 0);
	else
		http_request_reply(request, status, &header, 1, text, strlen(text));
	free(text);
	json_decref(value);
}

void json_reply_error(http_request_t *request, unsigned status, const char *message)
{
	json_reply(request, status, json_pack("{s:s}", "error", message));
}

json_t *json_request_body(const http_request_t *request)
{
	size_t length;
	const void *body = http_request_body(request, &length);

	return json_loadb(body, length, 0, NULL);
}
