#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "proxy_internal.h"

/* --- paths --- */

static char *take_name(const char **rest)
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
 * A target may resolve dot segments and doubled slashes, and would then run another path than the
 * one that chose the class, perhaps one that may not be repeated.
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
	path->organisation = take_name(&rest);
	if (path->organisation == NULL)
		goto fail;
	rest++;
	path->service = take_name(&rest);
	if (path->service == NULL)
		goto fail;
	path->path = g_strdup(rest);
	/* An escaped slash is as ambiguous as a dot segment. */
	path->decoded = g_uri_unescape_string(rest, "/");
	*reason = "the path is ambiguous or malformed";
	if (path->decoded == NULL || is_ambiguous(path->decoded))
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
	g_free(path->path);
	g_free(path->decoded);
	*path = (proxy_path_t){0};
}

/* --- headers --- */

static void header_clear(void *data)
{
	http_header_t *header = data;

	g_free((char *)header->name);
	g_free((char *)header->value);
}

static GArray *headers_new(void)
{
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(http_header_t));

	g_array_set_clear_func(headers, header_clear);
	return headers;
}

static void add(GArray *headers, const char *name, const char *value)
{
	http_header_t header = {.name = g_strdup(name), .value = g_strdup(value)};

	g_array_append_val(headers, header);
}

static bool is_listed(const char *name, const char *const *list)
{
	for (; *list != NULL; list++) {
		if (g_ascii_strcasecmp(name, *list) == 0)
			return true;
	}
	return false;
}

/* RFC 9110 section 7.6.1, and what each hop states anew. */
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

	return is_listed(name, names) ||
	       g_ascii_strncasecmp(name, "Lavenderpass-", strlen("Lavenderpass-")) == 0;
}

/* True when the Connection header names the header. */
static bool is_named_by(const char *connection, const char *name)
{
	char **words;
	bool named = false;

	if (connection == NULL)
		return false;
	words = g_strsplit(connection, ",", -1);
	for (char **word = words; *word != NULL && !named; word++)
		named = g_ascii_strcasecmp(g_strstrip(*word), name) == 0;
	g_strfreev(words);
	return named;
}

typedef struct {
	GArray *headers;
	const char *connection;
} copier_t;

static void copy_request_header(void *arg, const char *name, const char *value)
{
	const copier_t *copier = arg;

	if (!is_hop_by_hop(name) && !is_named_by(copier->connection, name))
		add(copier->headers, name, value);
}

GArray *proxy_request_headers(proxy_request_t *request, uint64_t now_us)
{
	uint64_t deadline_us = request->ticket.entry.deadline_us;
	uint64_t left_ms = deadline_us > now_us ? (deadline_us - now_us) / US_PER_MS : 0;
	copier_t copier = {
		.headers = headers_new(),
		.connection = http_request_header(request->http, "Connection"),
	};
	const char *team = http_request_header(request->http, HEADER_TEAM);
	char text[32];

	http_request_headers(request->http, copy_request_header, &copier);
	add(copier.headers, HEADER_REQUEST_ID, request->id);
	g_snprintf(text, sizeof(text), "%" PRIu64, left_ms);
	add(copier.headers, HEADER_DEADLINE, text);
	if (team != NULL)
		add(copier.headers, HEADER_TEAM, team);
	if (request->forwarding) {
		add(copier.headers, HEADER_FORWARDED, "1");
		return copier.headers;
	}
	g_snprintf(text, sizeof(text), "%" PRIu64, request->ticket.epoch);
	add(copier.headers, HEADER_EPOCH, text);
	return copier.headers;
}

GArray *proxy_answer_headers(const http_call_result_t *result)
{
	copier_t copier = {
		.headers = headers_new(),
		.connection = http_call_header(result, "Connection"),
	};

	for (size_t i = 0; i < result->header_count; i++)
		copy_request_header(&copier, result->headers[i].name, result->headers[i].value);
	return copier.headers;
}

/* --- verdicts --- */

verdict_t proxy_attempt_verdict(const http_call_result_t *result, bool forwarding)
{
	const char *word = http_call_header(result, HEADER_OUTCOME);
	verdict_t verdict = http_call_verdict(result);
	verdict_t told = VERDICT_RAN;

	if (verdict != VERDICT_RAN)
		return verdict;
	/* An entry process says the outcome of every request; without it the answer is not its own.
	 */
	if (word == NULL)
		return forwarding ? VERDICT_UNKNOWN : VERDICT_RAN;
	if (verdict_parse(word, &told) != 0)
		return VERDICT_UNKNOWN;
	/* Of a target, only the statuses of a refusal make the word a truthful one. */
	if (!forwarding && told == VERDICT_NOT_RUN && result->status != 503 &&
	    result->status != 429)
		return VERDICT_UNKNOWN;
	return told;
}
