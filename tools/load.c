#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "clock.h"
#include "lib_load.h"

#define POLL_MS 1

static const char usage[] =
	"usage: load --entries IP:PORT,... --class SPEC [--class SPEC ...] [OPTIONS]\n"
	"Sends requests at given rates, whether or not earlier ones were answered.\n"
	"  --class NAME:PATH:RATE:repeatable|once[:BODY_BYTES[:KEY_HOME]]\n"
	"                       RATE per second; each request's path is PATH/ID; once: sent with "
	"an\n"
	"                       idempotency key, and resent through another entry process after "
	"an\n"
	"                       unknown or lost answer\n"
	"  --seconds N          (10)    --requests N         (no limit)\n"
	"  --seed N             (1)     --timeout-ms N       (10000)\n"
	"  --resends N          (3)     --resend-wait-ms N   (200)\n"
	"  --connections N      at most so many open (1024)\n"
	"  --surge START,LENGTH[,LOW]  mean rate for START s, five times it for LENGTH s, a\n"
	"                       twentieth for LOW s (the rest), and again; classes surge in turn\n"
	"  --header 'NAME: VALUE'\n"
	"  --journal FILE       one JSON line for each sending and each answer\n"
	"Prints a summary as JSON. Exits with 0 unless an answer held another request's body.\n";

/* One request and its present attempt. */
typedef struct {
	load_class_t *class;
	char *id;
	char *key;
	char *body;
	size_t body_sent;
	const char *entry;
	unsigned entry_index;
	unsigned attempt;
	unsigned resends;
	bool sent; /* the present attempt had a connection */
	uint64_t due_us;
	uint64_t sent_us;
	uint64_t resend_us;
	struct curl_slist *headers;
	GByteArray *answer;
	char *outcome;
	char *request_id;
} request_t;

static struct {
	load_options_t options;
	CURLM *multi;
	FILE *journal;
	GQueue waiting; /* requests to be resent, in the order of their time */
	uint64_t start_us;
	uint64_t invoked;
	unsigned open;
} run;

static size_t on_body(char *data, size_t size, size_t count, void *arg)
{
	request_t *request = arg;

	g_byte_array_append(request->answer, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

/* Runs when a connection is ready for the request. libcurl sends a request again by itself when a
 * reused connection ends before the answer; the journal would not show that sending, so it is
 * refused. */
static int on_ready_to_send(void *arg, char *remote_ip, char *local_ip, int remote_port,
			    int local_port)
{
	request_t *request = arg;

	if (request->sent)
		return CURL_PREREQFUNC_ABORT;
	request->sent = true;
	return CURL_PREREQFUNC_OK;
}

static size_t read_body(char *out, size_t size, size_t count, void *arg)
{
	request_t *request = arg;
	size_t length = MIN(size * count, strlen(request->body) - request->body_sent);

	memcpy(out, request->body + request->body_sent, length);
	request->body_sent += length;
	return length;
}

static size_t on_header(char *data, size_t size, size_t count, void *arg)
{
	request_t *request = arg;
	char *line = g_strndup(data, size * count);
	char *colon = strchr(line, ':');
	char **field = NULL;

	if (colon != NULL) {
		*colon = '\0';
		if (g_ascii_strcasecmp(line, "Lavenderpass-Outcome") == 0)
			field = &request->outcome;
		else if (g_ascii_strcasecmp(line, "Lavenderpass-Request-Id") == 0)
			field = &request->request_id;
		if (field != NULL) {
			g_free(*field);
			*field = g_strdup(g_strstrip(colon + 1));
		}
	}
	g_free(line);
	return size * count;
}

static load_event_t event_of(const request_t *request, const char *event)
{
	return (load_event_t){
		.event = event,
		.id = request->id,
		.key = request->key,
		.class_name = request->class->name,
		.entry = request->entry,
		.attempt = request->attempt,
		.due_us = request->due_us,
		.sent_us = request->sent_us,
	};
}

static void start_attempt(request_t *request)
{
	char **entries = run.options.entries;
	CURL *easy = curl_easy_init();
	load_event_t event;
	char url[1024];

	request->entry = entries[request->entry_index++ % g_strv_length(entries)];
	request->attempt++;
	request->sent_us = clock_now_us();
	request->sent = false;
	request->body_sent = 0;
	g_byte_array_set_size(request->answer, 0);
	g_clear_pointer(&request->outcome, g_free);
	g_clear_pointer(&request->request_id, g_free);
	g_snprintf(url, sizeof(url), "http://%s%s/%s", request->entry, request->class->path,
		   request->id);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(request->body));
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, request);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)run.options.timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	event = event_of(request, "invoke");
	load_journal(run.journal, &event);
	curl_multi_add_handle(run.multi, easy);
	run.open++;
}

static char *make_body(const request_t *request)
{
	size_t length = MAX(request->class->body_bytes, strlen(request->id));
	char *body = g_malloc(length + 1);

	memset(body, '.', length);
	body[length] = '\0';
	memcpy(body, request->id, strlen(request->id));
	return body;
}

static void invoke(load_class_t *class, uint64_t due_us)
{
	request_t *request = g_new0(request_t, 1);
	char *header;

	*request = (request_t){
		.class = class,
		.id = g_strdup_printf("%s-%u-%" G_GUINT64_FORMAT, class->name, run.options.seed,
				      ++class->invoked),
		.entry_index = (unsigned)g_rand_int(class->rand),
		.due_us = due_us,
		.answer = g_byte_array_new(),
	};
	request->body = make_body(request);
	request->headers = curl_slist_append(NULL, "Expect:");
	if (run.options.header != NULL)
		request->headers = curl_slist_append(request->headers, run.options.header);
	if (!class->repeatable) {
		request->key = g_strdup_printf("%s%s%s", class->key_home ? class->key_home : "",
					       class->key_home ? ":" : "", request->id);
		header = g_strdup_printf("Idempotency-Key: %s", request->key);
		request->headers = curl_slist_append(request->headers, header);
		g_free(header);
	}
	run.invoked++;
	start_attempt(request);
}

static void request_free(request_t *request)
{
	curl_slist_free_all(request->headers);
	g_byte_array_free(request->answer, TRUE);
	g_free(request->id);
	g_free(request->key);
	g_free(request->body);
	g_free(request->outcome);
	g_free(request->request_id);
	g_free(request);
}

static seen_t judge(const request_t *request, CURLcode code)
{
	/* A failed connection is also reported after an attempt whose first connection broke. */
	if (code == CURLE_COULDNT_CONNECT && !request->sent)
		return SEEN_NOT_SENT;
	if (code != CURLE_OK)
		return SEEN_LOST;
	if (request->outcome != NULL && strcmp(request->outcome, "not-run") == 0)
		return SEEN_NOT_RUN;
	if (request->outcome != NULL && strcmp(request->outcome, "unknown") == 0)
		return SEEN_UNKNOWN;
	return SEEN_RAN;
}

static const char *compare_body(const request_t *request)
{
	size_t length = strlen(request->body);

	if (request->answer->len == 0)
		return "none";
	return request->answer->len == length &&
			       memcmp(request->answer->data, request->body, length) == 0
		       ? "own"
		       : "other";
}

/* @return true when the request is sent again */
static bool resend(request_t *request, seen_t seen)
{
	/* A load balancer would choose a process that accepts connections. */
	if (seen == SEEN_NOT_SENT && request->attempt < 2 * g_strv_length(run.options.entries)) {
		start_attempt(request);
		return true;
	}
	if (request->class->repeatable || (seen != SEEN_UNKNOWN && seen != SEEN_LOST) ||
	    request->resends >= run.options.resends)
		return false;
	request->resends++;
	request->class->resent++;
	request->resend_us = clock_now_us() + run.options.resend_wait_ms * US_PER_MS;
	g_queue_push_tail(&run.waiting, request);
	return true;
}

static void complete(CURL *easy, CURLcode code)
{
	uint64_t now_us = clock_now_us();
	request_t *request;
	load_event_t event;
	seen_t seen;
	uint32_t latency_us;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &request);
	event = event_of(request, "complete");
	event.answer_us = now_us;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &event.status);
	curl_multi_remove_handle(run.multi, easy);
	curl_easy_cleanup(easy);
	run.open--;
	event.outcome = request->outcome;
	event.request_id = request->request_id;
	event.body = compare_body(request);
	event.error = code == CURLE_OK ? NULL : curl_easy_strerror(code);
	load_journal(run.journal, &event);
	seen = judge(request, code);
	if (code == CURLE_OK && event.status == 200 && strcmp(event.body, "own") != 0)
		request->class->other_body++;
	if (resend(request, seen))
		return;
	request->class->final[seen]++;
	if (seen == SEEN_RAN) {
		request->class->failed_status += event.status >= 500;
		latency_us = (uint32_t)MIN(now_us - request->due_us, UINT32_MAX);
		g_array_append_val(request->class->latency_us, latency_us);
	}
	request_free(request);
}

/* @return true while requests are still to arrive */
static bool invoke_due(uint64_t now_us)
{
	uint64_t end_us = run.start_us + (uint64_t)(run.options.seconds * US_PER_S);
	bool more = false;

	for (size_t i = 0; i < run.options.class_count; i++) {
		load_class_t *class = &run.options.classes[i];

		while (class->next_us <= now_us && class->next_us < end_us) {
			if (run.options.requests != 0 && run.invoked >= run.options.requests)
				return false;
			invoke(class, class->next_us);
			load_next_arrival(&run.options, class, run.start_us);
		}
		more |= class->next_us < end_us;
	}
	return more;
}

static void resend_due(uint64_t now_us)
{
	request_t *request;

	while ((request = g_queue_peek_head(&run.waiting)) != NULL && request->resend_us <= now_us)
		start_attempt(g_queue_pop_head(&run.waiting));
}

static void loop(void)
{
	bool more = true;
	int running;
	int left;
	const CURLMsg *message;

	run.start_us = clock_now_us();
	for (size_t i = 0; i < run.options.class_count; i++) {
		load_class_t *class = &run.options.classes[i];

		class->rand = g_rand_new_with_seed(run.options.seed + (guint32)i);
		class->next_us = run.start_us;
		class->surge_shift_us = (uint64_t)(i * run.options.surge_s * US_PER_S);
		load_next_arrival(&run.options, class, run.start_us);
	}
	while (more || run.open > 0 || run.waiting.length > 0) {
		more = more && invoke_due(clock_now_us());
		resend_due(clock_now_us());
		curl_multi_perform(run.multi, &running);
		while ((message = curl_multi_info_read(run.multi, &left)) != NULL) {
			if (message->msg == CURLMSG_DONE)
				complete(message->easy_handle, message->data.result);
		}
		curl_multi_poll(run.multi, NULL, 0, POLL_MS, NULL);
	}
}

static bool add_class(load_options_t *options, const char *text)
{
	options->classes = g_renew(load_class_t, options->classes, options->class_count + 1);
	return load_class_parse(&options->classes[options->class_count++], text);
}

static bool parse_surge(load_options_t *options, const char *text)
{
	char **parts = g_strsplit(text, ",", 3);
	unsigned count = g_strv_length(parts);

	if (count >= 2) {
		options->surge_start_s = g_ascii_strtod(parts[0], NULL);
		options->surge_s = g_ascii_strtod(parts[1], NULL);
		options->surge_low_s = count == 3 ? g_ascii_strtod(parts[2], NULL) : 1e9;
	}
	g_strfreev(parts);
	return count >= 2 && options->surge_s > 0;
}

static bool take(load_options_t *options, int opt, const char *value)
{
	guint64 number = 0;

	switch (opt) {
	case 'e':
		options->entries = g_strsplit(value, ",", 0);
		return options->entries[0] != NULL;
	case 'c':
		return add_class(options, value);
	case 'u':
		return parse_surge(options, value);
	case 'h':
		options->header = value;
		return true;
	case 'j':
		options->journal = value;
		return true;
	case 's':
		options->seconds = g_ascii_strtod(value, NULL);
		return options->seconds > 0;
	default:
		break;
	}
	if (!g_ascii_string_to_unsigned(value, 10, 0, UINT32_MAX, &number, NULL))
		return false;
	if (opt == 'n')
		options->requests = number;
	else if (opt == 'S')
		options->seed = (uint32_t)number;
	else if (opt == 't')
		options->timeout_ms = (unsigned)number;
	else if (opt == 'r')
		options->resends = (unsigned)number;
	else if (opt == 'w')
		options->resend_wait_ms = (unsigned)number;
	else if (opt == 'C')
		options->connections = (unsigned)number;
	else
		return false;
	return true;
}

static bool parse(load_options_t *options, int argc, char **argv)
{
	static const struct option table[] = {
		{"entries", required_argument, NULL, 'e'},
		{"class", required_argument, NULL, 'c'},
		{"seconds", required_argument, NULL, 's'},
		{"requests", required_argument, NULL, 'n'},
		{"seed", required_argument, NULL, 'S'},
		{"timeout-ms", required_argument, NULL, 't'},
		{"resends", required_argument, NULL, 'r'},
		{"resend-wait-ms", required_argument, NULL, 'w'},
		{"connections", required_argument, NULL, 'C'},
		{"surge", required_argument, NULL, 'u'},
		{"header", required_argument, NULL, 'h'},
		{"journal", required_argument, NULL, 'j'},
		{0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "", table, NULL)) != -1) {
		if (opt == '?')
			return false;
		if (!take(options, opt, optarg)) {
			(void)fprintf(stderr, "bad value: %s\n", optarg);
			return false;
		}
	}
	return options->entries != NULL && options->class_count > 0 && optind == argc;
}

int main(int argc, char **argv)
{
	uint64_t other_body = 0;

	run.options = (load_options_t){
		.seed = 1,
		.seconds = 10,
		.timeout_ms = 10000,
		.resends = 3,
		.resend_wait_ms = 200,
		.connections = 1024,
		.surge_start_s = -1,
	};
	if (!parse(&run.options, argc, argv)) {
		(void)fputs(usage, stderr);
		return 2;
	}
	if (run.options.journal != NULL) {
		run.journal = fopen(run.options.journal, "ae");
		if (run.journal == NULL) {
			perror(run.options.journal);
			return 1;
		}
	}
	(void)signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	run.multi = curl_multi_init();
	curl_multi_setopt(run.multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, (long)run.options.connections);
	curl_multi_setopt(run.multi, CURLMOPT_MAXCONNECTS, (long)run.options.connections);
	loop();
	load_summary(&run.options, (double)(clock_now_us() - run.start_us) / US_PER_S);
	for (size_t i = 0; i < run.options.class_count; i++)
		other_body += run.options.classes[i].other_body;
	if (run.journal != NULL && fclose(run.journal) != 0)
		return 1;
	curl_multi_cleanup(run.multi);
	return other_body == 0 ? 0 : 1;
}
