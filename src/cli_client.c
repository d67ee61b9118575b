#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "clock.h"

#define CONNECT_TIMEOUT_MS 2000
/* Pause before each further attempt once every server has been tried. */
#define RESEND_INTERVAL_US 300000

/* Result of one attempt to send a request to a server. */
typedef enum {
	ATTEMPT_NOT_SENT,    /* no connection, so the server did not carry out the request */
	ATTEMPT_NO_RESPONSE, /* no complete response, so the request may have been carried out */
	ATTEMPT_RESPONDED,   /* a complete HTTP response was received */
} attempt_result_t;

/* Reads a token from a file in which each line holds "role token" or only a token. Returns the
 * first token with role write, otherwise the first that does not have role target.
 * @return token to be freed with g_free(), or NULL after an error message */
static char *read_token(const char *file)
{
	char *text = NULL;
	char *token = NULL;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, NULL)) {
		cli_error("cannot read the token file %s", file);
		return NULL;
	}
	lines = g_strsplit(text, "\n", 0);
	for (size_t i = 0; lines[i] != NULL; i++) {
		char *line = g_strstrip(lines[i]);
		bool write = g_str_has_prefix(line, "write ");
		bool read = g_str_has_prefix(line, "read ");

		if (line[0] == '\0' || line[0] == '#' || g_str_has_prefix(line, "target "))
			continue;
		if (!write && token != NULL)
			continue;
		g_free(token);
		token = g_strdup(write || read ? g_strstrip(strchr(line, ' ')) : line);
		if (write)
			break;
	}
	if (token == NULL)
		cli_error("no token in %s", file);
	g_strfreev(lines);
	g_free(text);
	return token;
}

static size_t append_body(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, data, (gssize)(size * count));
	return size * count;
}

static attempt_result_t send_once(const char *url, struct curl_slist *headers, const char *body,
				  unsigned timeout_s, cli_response_t *response, char *error)
{
	GString *text = g_string_new(NULL);
	CURL *easy = curl_easy_init();
	CURLcode code;

	error[0] = '\0';
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT, (long)timeout_s);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, error);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(easy);
	json_decref(response->body);
	response->body = NULL;
	response->status = 0;
	if (code == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
		response->body = json_loadb(text->str, text->len, 0, NULL);
	} else if (error[0] == '\0') {
		g_strlcpy(error, curl_easy_strerror(code), CURL_ERROR_SIZE);
	}
	curl_easy_cleanup(easy);
	g_string_free(text, TRUE);
	if (code == CURLE_OK)
		return ATTEMPT_RESPONDED;
	return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
			       code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL
		       ? ATTEMPT_NOT_SENT
		       : ATTEMPT_NO_RESPONSE;
}

/* Returns the error message in a response, or a text for its HTTP status when it has none. */
static const char *error_message(const cli_response_t *response)
{
	const char *message = cli_json_string(response->body, "error");

	if (message[0] != '\0')
		return message;
	return response->status == 413
		       ? "the request is larger than limits.body_bytes of the server"
		       : "no reason given";
}

static void print_conflict(const cli_response_t *response)
{
	const char *author = cli_json_string(response->body, "author");
	const char *note = cli_json_string(response->body, "note");
	const char *message = error_message(response);
	char *note_suffix = g_strconcat("note: ", note, NULL);

	cli_error("conflict, nothing was changed: %s", message);
	if (author[0] != '\0' && !g_str_has_suffix(message, note_suffix))
		(void)fprintf(stderr, "revision %lld is in force, applied by %s with note: %s\n",
			      (long long)cli_json_number(response->body, "revision"), author, note);
	if (author[0] != '\0')
		(void)fputs("read that note, then plan and apply again if your change is still "
			    "wanted\n",
			    stderr);
	g_free(note_suffix);
}

/* Returns the exit status for a response; prints an error message unless the response is a
 * success. */
static cli_exit_t check_status(const cli_options_t *options, const cli_response_t *response)
{
	if (response->status >= 200 && response->status <= 299) {
		if (response->body != NULL)
			return CLI_OK;
		cli_error("the server's answer is not JSON; is this an entry process?");
		return CLI_FAILED;
	}
	if (response->status == 409) {
		print_conflict(response);
		return CLI_CONFLICT;
	}
	if (response->status == 401 && options->token_file == NULL)
		cli_error("the server demands a token; give --token-file FILE");
	else if (response->status == 401)
		cli_error("the server refused the token of %s: it is unknown there, or its role "
			  "does not allow this command",
			  options->token_file);
	else if (response->status >= 500)
		cli_error("the server could not do this (status %ld): %s", response->status,
			  error_message(response));
	else
		cli_error("refused (status %ld): %s", response->status, error_message(response));
	return response->status >= 500 ? CLI_UNAVAILABLE : CLI_FAILED;
}

/* Whether the server may have carried out the request although no result is known. This is so after
 * a request without a complete response, and for a status of 500 or above, unless "outcome" in the
 * response is not-run. A status of 503 means that the request was not carried out, unless "outcome"
 * is unknown. */
static bool may_have_run(attempt_result_t result, const cli_response_t *response)
{
	if (result == ATTEMPT_NO_RESPONSE)
		return true;
	return result == ATTEMPT_RESPONDED && response->status >= 500 &&
	       strcmp(cli_json_string(response->body, "outcome"), "not-run") != 0 &&
	       (response->status != 503 ||
		strcmp(cli_json_string(response->body, "outcome"), "unknown") == 0);
}

/* Builds the request headers.
 * @param failed set to true after an error message when the token file has no usable token */
static struct curl_slist *make_headers(const cli_options_t *options, bool *failed)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
	char *token = NULL;
	char *line;

	if (options->token_file == NULL)
		return headers;
	token = read_token(options->token_file);
	*failed = token == NULL;
	if (token != NULL) {
		line = g_strdup_printf("Authorization: Bearer %s", token);
		headers = curl_slist_append(headers, line);
		g_free(line);
	}
	g_free(token);
	return headers;
}

/* Sends a request to the servers in turn until one responds with a status below 500. Each server
 * gets the request once or, with resend, repeatedly until the timeout expires. */
static attempt_result_t try_servers(const cli_options_t *options, const char *path,
				    const char *body, bool resend, struct curl_slist *headers,
				    cli_response_t *response, char *error)
{
	uint64_t deadline_us = clock_now_us() + options->timeout_s * US_PER_S;
	unsigned count = g_strv_length(options->servers);
	attempt_result_t result = ATTEMPT_NOT_SENT;

	for (unsigned i = 0;; i++) {
		uint64_t now_us = clock_now_us();
		unsigned remaining_s =
			now_us >= deadline_us ? 1 : (unsigned)((deadline_us - now_us) / US_PER_S);
		const char *server = options->servers[i % count];
		size_t length = strlen(server);
		char *url;

		while (length > 0 && server[length - 1] == '/')
			length--;
		url = g_strdup_printf("%.*s%s", (int)length, server, path);
		result = send_once(url, headers, body, MAX(remaining_s, 1), response, error);
		g_free(url);
		response->may_have_run |= may_have_run(result, response);
		if (result == ATTEMPT_RESPONDED && response->status < 500)
			return result;
		/* At the end of the first round, give up if the last server could not be reached
		 * and no server may have carried out the request. Otherwise the client would wait
		 * for the timeout although no server accepts connections. */
		if (i + 1 >= count && (!resend || (result == ATTEMPT_NOT_SENT && i + 1 == count &&
						   !response->may_have_run)))
			return result;
		if (clock_now_us() >= deadline_us)
			return result;
		if (i + 1 >= count)
			g_usleep(RESEND_INTERVAL_US);
	}
}

static cli_exit_t send_request(const cli_options_t *options, const char *path, json_t *body,
			       bool resend, cli_response_t *response)
{
	char error[CURL_ERROR_SIZE] = "";
	bool failed = false;
	char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	struct curl_slist *headers = make_headers(options, &failed);
	attempt_result_t result = ATTEMPT_NOT_SENT;
	cli_exit_t rc = CLI_FAILED;

	*response = (cli_response_t){0};
	if (failed)
		goto out;
	result = try_servers(options, path, text, resend, headers, response, error);
	if (result == ATTEMPT_RESPONDED) {
		rc = check_status(options, response);
	} else {
		cli_error("no answer from the server: %s", error);
		rc = CLI_UNAVAILABLE;
	}
	/* All attempts request the same operation, so a status below 500 also tells the outcome of
	 * earlier attempts that got no response. */
	if (rc != CLI_UNAVAILABLE)
		response->may_have_run = false;
out:
	curl_slist_free_all(headers);
	free(text);
	return rc;
}

cli_exit_t cli_get(const cli_options_t *options, const char *path, cli_response_t *response)
{
	return send_request(options, path, NULL, false, response);
}

cli_exit_t cli_post_query(const cli_options_t *options, const char *path, json_t *body,
			  cli_response_t *response)
{
	return send_request(options, path, body, false, response);
}

cli_exit_t cli_post_change(const cli_options_t *options, const char *path, json_t *body,
			   cli_response_t *response)
{
	cli_exit_t rc = send_request(options, path, body, true, response);

	if (rc == CLI_UNAVAILABLE)
		(void)fputs(response->may_have_run
				    ? "the outcome is unknown: the change may still take effect\n"
				    : "the change was not made\n",
			    stderr);
	return rc;
}

void cli_response_finish(cli_response_t *response)
{
	json_decref(response->body);
	response->body = NULL;
}

char *cli_uri_escape(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}
