#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "proxy_internal.h"

/* --- paths --- */

static char *parse_name(const char **rest)
{
	size_t length = strspn(*rest, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._-");
	char *name;

	if (length == 0 || length >= ROUTE_NAME_MAX || (*rest)[length] != '/')
		return NULL;
	name = g_strndup(*rest, length);
	*rest += length;
	return name;
}

/*
 * True when a target could resolve the path to another path, because it contains dot segments or
 * double slashes. The target would then run another request than the one whose class was found,
 * perhaps one that must not be repeated.
 */
static bool is_ambiguous(const char *decoded)
{
	return strstr(decoded, "//") != NULL || strstr(decoded, "/./") != NULL ||
	       strstr(decoded, "/../") != NULL || g_str_has_suffix(decoded, "/.") ||
	       g_str_has_suffix(decoded, "/..") || strchr(decoded, '\\') != NULL;
}

int proxy_path_parse(const char *raw, proxy_path_t *path, const char **reason)
{
	const char *rest = raw + strlen("/r/");

	*path = (proxy_path_t){0};
	*reason = "expected /r/{organisation}/{service}/{path}";
	path->organisation = parse_name(&rest);
	if (path->organisation == NULL)
		goto fail;
	rest++;
	path->service = parse_name(&rest);
	if (path->service == NULL)
		goto fail;
	path->target_path = g_strdup(rest);
	/* Returns NULL if the path has a percent-encoded slash, which is as ambiguous as a dot
	 * segment. */
	path->decoded_path = g_uri_unescape_string(rest, "/");
	*reason = "the path is ambiguous or malformed";
	if (path->decoded_path == NULL || is_ambiguous(path->decoded_path))
		goto fail;
	return 0;

fail:
	proxy_path_clear(path);
	return -1;
}

void proxy_path_clear(proxy_path_t *path)
{
	g_free(path->organisation);
	g_free(path->service);
	g_free(path->target_path);
	g_free(path->decoded_path);
	*path = (proxy_path_t){0};
}

/* --- headers --- */

static void header_clear(void *data)
{
	http_header_t *header = data;

	g_free((char *)header->name);
	g_free((char *)header->value);
}

static GArray *header_array_new(void)
{
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));

	g_array_set_clear_func(headers, header_clear);
	return headers;
}

static void append_header(GArray *headers, const char *name, const char *value)
{
	http_header_t header = {.name = g_strdup(name), .value = g_strdup(value)};

	g_array_append_val(headers, header);
}

static bool is_in_list(const char *name, const char *const *list)
{
	for (; *list != NULL; list++) {
		if (g_ascii_strcasecmp(name, *list) == 0)
			return true;
	}
	return false;
}

/* True for the headers that apply to one connection only (RFC 9110, section 7.6.1), and for further
 * ones that each hop sets itself. */
static bool is_hop_by_hop(const char *name)
{
	static const char *const names[] = {"Connection",
					    "Keep-Alive",
					    "Proxy-Connection",
					    "Proxy-Authenticate",
					    "Proxy-Authorization",
					    "TE",
					    "Trailer",
					    "Transfer-Encoding",
					    "Upgrade",
					    "Content-Length",
					    "Host",
					    "Expect",
					    "Date",
					    NULL};

	return is_in_list(name, names) ||
	       g_ascii_strncasecmp(name, "Lavenderpass-", strlen("Lavenderpass-")) == 0;
}

/*
 * True when the header is listed in the Connection header.
 * @param connection value of the Connection header, or NULL
 */
static bool is_in_connection_header(const char *connection, const char *name)
{
	char **items;
	bool found = false;

	if (connection == NULL)
		return false;
	items = g_strsplit(connection, ",", -1);
	for (char **item = items; *item != NULL && !found; item++)
		found = g_ascii_strcasecmp(g_strstrip(*item), name) == 0;
	g_strfreev(items);
	return found;
}

/* State of copying headers: the destination, and the value of the Connection header, which lists
 * headers that are not copied. */
typedef struct {
	GArray *headers;
	const char *connection;
} header_filter_t;

static void copy_request_header(void *arg, const char *name, const char *value)
{
	const header_filter_t *filter = arg;

	if (!is_hop_by_hop(name) && !is_in_connection_header(filter->connection, name))
		append_header(filter->headers, name, value);
}

GArray *proxy_outgoing_headers(proxy_request_t *request, uint64_t now_us)
{
	uint64_t deadline_us = request->ticket.entry.deadline_us;
	uint64_t remaining_ms = deadline_us > now_us ? (deadline_us - now_us) / US_PER_MS : 0;
	header_filter_t filter = {
		.headers = header_array_new(),
		.connection = http_request_header(request->http, "Connection"),
	};
	const char *team = http_request_header(request->http, HEADER_TEAM);
	char text[32];

	http_request_for_each_header(request->http, copy_request_header, &filter);
	append_header(filter.headers, HEADER_REQUEST_ID, request->id);
	g_snprintf(text, sizeof(text), "%" PRIu64, remaining_ms);
	append_header(filter.headers, HEADER_DEADLINE_MS, text);
	if (team != NULL)
		append_header(filter.headers, HEADER_TEAM, team);
	if (request->to_entry_process) {
		append_header(filter.headers, HEADER_FORWARDED, "1");
		return filter.headers;
	}
	g_snprintf(text, sizeof(text), "%" PRIu64, request->ticket.epoch);
	append_header(filter.headers, HEADER_EPOCH, text);
	return filter.headers;
}

GArray *proxy_response_headers(const http_call_result_t *result)
{
	header_filter_t filter = {
		.headers = header_array_new(),
		.connection = http_call_header(result, "Connection"),
	};

	for (size_t i = 0; i < result->header_count; i++)
		copy_request_header(&filter, result->headers[i].name, result->headers[i].value);
	return filter.headers;
}

/* --- outcomes --- */

verdict_t proxy_attempt_outcome(const http_call_result_t *result, bool to_entry_process)
{
	const char *outcome_header = http_call_header(result, HEADER_OUTCOME);
	verdict_t outcome = http_call_verdict(result);
	verdict_t stated = VERDICT_RAN;

	if (outcome != VERDICT_RAN)
		return outcome;
	/* An entry process always sends the Lavenderpass-Outcome header, so a response without it
	 * comes from some other server. */
	if (outcome_header == NULL)
		return to_entry_process ? VERDICT_UNKNOWN : VERDICT_RAN;
	if (verdict_parse(outcome_header, &stated) != 0)
		return VERDICT_UNKNOWN;
	/* "not-run" from a target is trusted only with a status that means a refusal. */
	if (!to_entry_process && stated == VERDICT_NOT_RUN && result->status != 503 &&
	    result->status != 429)
		return VERDICT_UNKNOWN;
	return stated;
}
