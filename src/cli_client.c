#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "clock.h"

#define CONNECT_TIMEOUT_MS 2000
#define RESEND_WAIT_US 300000

/* How one attempt ended. */
typedef enum {
	ATTEMPT_NOT_SENT,
	ATTEMPT_LOST,
	ATTEMPT_ANSWERED,
} attempt_t;

/* The token of the strongest role, or the file's first line when it names no roles. */
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

static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	g_string_append_len((GString *)arg, data, (gssize)(size * count));
	return size * count;
}

static attempt_t attempt(const char *url, struct curl_slist *headers, const char *body,
			 unsigned timeout_s, cli_answer_t *answer, char *error)
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
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	code = curl_easy_perform(easy);
	json_decref(answer->body);
	answer->body = NULL;
	answer->status = 0;
	if (code == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
		answer->body = json_loadb(text->str, text->len, 0, NULL);
	} else if (error[0] == '\0') {
		g_strlcpy(error, curl_easy_strerror(code), CURL_ERROR_SIZE);
	}
	curl_easy_cleanup(easy);
	g_string_free(text, TRUE);
	if (code == CURLE_OK)
		return ATTEMPT_ANSWERED;
	return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
			       code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL
		       ? ATTEMPT_NOT_SENT
		       : ATTEMPT_LOST;
}

/* What the server said, or what its status means where the answer has no message. */
static const char *message_of(const cli_answer_t *answer)
{
	const char *message = cli_string(answer->body, "error");

	if (message[0] != '\0')
		return message;
	return answer->status == 413 ? "the request is larger than limits.body_bytes of the server"
				     : "no reason given";
}

static void explain_conflict(const cli_answer_t *answer)
{
	const char *author = cli_string(answer->body, "author");
	const char *note = cli_string(answer->body, "note");
	const char *message = message_of(answer);
	char *shown = g_strconcat("note: ", note, NULL);

	cli_error("conflict, nothing was changed: %s", message);
	if (author[0] != '\0' && !g_str_has_suffix(message, shown))
		(void)fprintf(stderr, "revision %lld is in force, applied by %s with note: %s\n",
			      (long long)cli_number(answer->body, "revision"), author, note);
	if (author[0] != '\0')
		(void)fputs("read that note, then plan and apply again if your change is still "
			    "wanted\n",
			    stderr);
	g_free(shown);
}

/* Explains an answer that is not a success. */
static cli_exit_t judge(const cli_options_t *options, const cli_answer_t *answer)
{
	if (answer->status >= 200 && answer->status <= 299) {
		if (answer->body != NULL)
			return CLI_OK;
		cli_error("the server's answer is not JSON; is this an entry process?");
		return CLI_FAILED;
	}
	if (answer->status == 409) {
		explain_conflict(answer);
		return CLI_CONFLICT;
	}
	if (answer->status == 401 && options->token_file == NULL)
		cli_error("the server demands a token; give --token-file FILE");
	else if (answer->status == 401)
		cli_error("the server refused the token of %s: it is unknown there, or its role "
			  "does not allow this command",
			  options->token_file);
	else if (answer->status >= 500)
		cli_error("the server could not do this (status %ld): %s", answer->status,
			  message_of(answer));
	else
		cli_error("refused (status %ld): %s", answer->status, message_of(answer));
	return answer->status >= 500 ? CLI_UNAVAILABLE : CLI_FAILED;
}

static bool may_have_run(attempt_t outcome, const cli_answer_t *answer)
{
	if (outcome == ATTEMPT_LOST)
		return true;
	return outcome == ATTEMPT_ANSWERED && answer->status >= 500 &&
	       strcmp(cli_string(answer->body, "outcome"), "not-run") != 0 &&
	       (answer->status != 503 ||
		strcmp(cli_string(answer->body, "outcome"), "unknown") == 0);
}

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

/* Tries the servers in turn: each once, and with resend until the time is over. */
static attempt_t try_servers(const cli_options_t *options, const char *path, const char *body,
			     bool resend, struct curl_slist *headers, cli_answer_t *answer,
			     char *error)
{
	uint64_t end_us = clock_now_us() + options->timeout_s * US_PER_S;
	unsigned count = g_strv_length(options->servers);
	attempt_t outcome = ATTEMPT_NOT_SENT;

	for (unsigned i = 0;; i++) {
		uint64_t now_us = clock_now_us();
		unsigned left_s = now_us >= end_us ? 1 : (unsigned)((end_us - now_us) / US_PER_S);
		const char *server = options->servers[i % count];
		size_t length = strlen(server);
		char *url;

		while (length > 0 && server[length - 1] == '/')
			length--;
		url = g_strdup_printf("%.*s%s", (int)length, server, path);
		outcome = attempt(url, headers, body, MAX(left_s, 1), answer, error);
		g_free(url);
		answer->may_have_run |= may_have_run(outcome, answer);
		if (outcome == ATTEMPT_ANSWERED && answer->status < 500)
			return outcome;
		/* A server that never took a connection is not waited for. */
		if (i + 1 >= count && (!resend || (outcome == ATTEMPT_NOT_SENT && i + 1 == count &&
						   !answer->may_have_run)))
			return outcome;
		if (clock_now_us() >= end_us)
			return outcome;
		if (i + 1 >= count)
			g_usleep(RESEND_WAIT_US);
	}
}

static cli_exit_t call(const cli_options_t *options, const char *path, json_t *body, bool resend,
		       cli_answer_t *answer)
{
	char error[CURL_ERROR_SIZE] = "";
	bool failed = false;
	char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
	struct curl_slist *headers = make_headers(options, &failed);
	attempt_t outcome = ATTEMPT_NOT_SENT;
	cli_exit_t rc = CLI_FAILED;

	*answer = (cli_answer_t){0};
	if (failed)
		goto out;
	outcome = try_servers(options, path, text, resend, headers, answer, error);
	if (outcome == ATTEMPT_ANSWERED) {
		rc = judge(options, answer);
	} else {
		cli_error("no answer from the server: %s", error);
		rc = CLI_UNAVAILABLE;
	}
	/* An answer with a status below 500 settles what earlier attempts came to. */
	if (rc != CLI_UNAVAILABLE)
		answer->may_have_run = false;
out:
	curl_slist_free_all(headers);
	free(text);
	return rc;
}

cli_exit_t cli_get(const cli_options_t *options, const char *path, cli_answer_t *answer)
{
	return call(options, path, NULL, false, answer);
}

cli_exit_t cli_query(const cli_options_t *options, const char *path, json_t *body,
		     cli_answer_t *answer)
{
	return call(options, path, body, false, answer);
}

cli_exit_t cli_change(const cli_options_t *options, const char *path, json_t *body,
		      cli_answer_t *answer)
{
	cli_exit_t rc = call(options, path, body, true, answer);

	if (rc == CLI_UNAVAILABLE)
		(void)fputs(answer->may_have_run
				    ? "the outcome is unknown: the change may still take effect\n"
				    : "the change was not made\n",
			    stderr);
	return rc;
}

void cli_answer_finish(cli_answer_t *answer)
{
	json_decref(answer->body);
	answer->body = NULL;
}

char *cli_escape(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}
