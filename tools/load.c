#include <getopt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "clock.h"
#include "lib_load.h"

#define POLL_INTERVAL_MS 1

static const char usage[] =
	"usage: load --entries IP:PORT,... --class SPEC [--class SPEC ...] [OPTIONS]\n"
	"Sends requests at given rates, without waiting for earlier responses.\n"
	"  --class NAME:PATH:RATE:repeatable|once[:BODY_BYTES[:KEY_HOME]]\n"
	"                       RATE per second; each request's path is PATH/ID; once: sent with "
	"an\n"
	"                       idempotency key, and resent through another entry process after "
	"an\n"
	"                       unknown or lost outcome\n"
	"  --seconds N          (10)    --requests N         (no limit)\n"
	"  --seed N             (1)     --timeout-ms N       (10000)\n"
	"  --resends N          (3)     --resend-wait-ms N   (200)\n"
	"  --connections N      maximum of open connections (1024)\n"
	"  --surge START,LENGTH[,LOW]  mean rate for START s, five times it for LENGTH s, a\n"
	"                       twentieth for LOW s (the rest), repeated; classes surge in turn\n"
	"  --header 'NAME: VALUE'\n"
	"  --journal FILE       one JSON line for each start and end of an attempt\n"
	"Prints a summary as JSON. Exits with 0 unless a response had another request's body.\n";

/* A request, with the state of its current attempt. */
typedef struct {
	load_class_t *class;
	char *id;
	char *key;
	char *body;
	size_t body_offset; /* number of bytes of the body that libcurl has read */
	const char *entry;
	unsigned next_entry; /* index of the entry process for the next attempt, modulo the number
				of entry processes */
	unsigned attempt;    /* number of the current attempt, from 1 */
	unsigned resends;    /* number of attempts that followed an unknown or lost outcome */
	bool connected;	  /* whether the current attempt had a connection, so that it may have been
			     sent */
	uint64_t due_us;  /* arrival time of the request */
	uint64_t sent_us; /* start time of the current attempt */
	uint64_t resend_us; /* start time of the next attempt while the request is in the resend
			       queue */
	struct curl_slist *headers;
	GByteArray *response_body;
	char *outcome;	  /* value of the response's Lavenderpass-Outcome header, or NULL */
	char *request_id; /* value of the response's Lavenderpass-Request-Id header, or NULL */
} request_t;

static struct {
	load_options_t options;
	CURLM *multi;
	FILE *journal;
	GQueue resend_queue; /* requests (request_t) that wait for their next attempt, ordered by
				resend_us */
	uint64_t start_us;
	uint64_t request_count; /* number of requests started, of all classes */
	unsigned in_flight;	/* number of attempts in progress */
} run;

static size_t append_response_body(char *data, size_t size, size_t count, void *arg)
{
	request_t *request = arg;

	g_byte_array_append(request->response_body, (const guint8 *)data, (guint)(size * count));
	return size * count;
}

/* Called by libcurl before it sends a request; aborts a second send within one attempt. When a
 * reused connection closes before the response, libcurl sends the request again by itself, which
 * the load tool's journal would not show. */
static int on_before_send(void *arg, char *remote_ip, char *local_ip, int remote_port,
			  int local_port)
{
	request_t *request = arg;

	if (request->connected)
		return CURL_PREREQFUNC_ABORT;
	request->connected = true;
	return CURL_PREREQFUNC_OK;
}

static size_t read_body(char *out, size_t size, size_t count, void *arg)
{
	request_t *request = arg;
	size_t length = MIN(size * count, strlen(request->body) - request->body_offset);

	memcpy(out, request->body + request->body_offset, length);
	request->body_offset += length;
	return length;
}

static size_t parse_response_header(char *data, size_t size, size_t count, void *arg)
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

/* Returns a journal event with the fields that are known when an attempt starts. */
static load_event_t make_event(const request_t *request, const char *event)
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

	request->entry = entries[request->next_entry++ % g_strv_length(entries)];
	request->attempt++;
	request->sent_us = clock_now_us();
	request->connected = false;
	request->body_offset = 0;
	g_byte_array_set_size(request->response_body, 0);
	g_clear_pointer(&request->outcome, g_free);
	g_clear_pointer(&request->request_id, g_free);
	g_snprintf(url, sizeof(url), "http://%s%s/%s", request->entry, request->class->path,
		   request->id);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(request->body));
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, request);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, request);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)run.options.timeout_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_response_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, request);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_response_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, request);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, request);
	event = make_event(request, "invoke");
	load_journal_write(run.journal, &event);
	curl_multi_add_handle(run.multi, easy);
	run.in_flight++;
}

/* Returns the body of a request: its id, padded with dots. */
static char *make_body(const request_t *request)
{
	size_t length = MAX(request->class->body_bytes, strlen(request->id));
	char *body = g_malloc(length + 1);

	memset(body, '.', length);
	body[length] = '\0';
	memcpy(body, request->id, strlen(request->id));
	return body;
}

static void start_request(load_class_t *class, uint64_t due_us)
{
	request_t *request = g_new0(request_t, 1);
	char *header;

	*request = (request_t){
		.class = class,
		.id = g_strdup_printf("%s-%u-%" G_GUINT64_FORMAT, class->name, run.options.seed,
				      ++class->request_count),
		.next_entry = (unsigned)g_rand_int(class->rand),
		.due_us = due_us,
		.response_body = g_byte_array_new(),
	};
	request->body = make_body(request);
	request->headers = curl_slist_append(NULL, "Expect:");
	if (run.options.extra_header != NULL)
		request->headers = curl_slist_append(request->headers, run.options.extra_header);
	if (!class->repeatable) {
		request->key = g_strdup_printf("%s%s%s",
					       class->key_data_centre ? class->key_data_centre : "",
					       class->key_data_centre ? ":" : "", request->id);
		header = g_strdup_printf("Idempotency-Key: %s", request->key);
		request->headers = curl_slist_append(request->headers, header);
		g_free(header);
	}
	run.request_count++;
	start_attempt(request);
}

static void request_free(request_t *request)
{
	curl_slist_free_all(request->headers);
	g_byte_array_free(request->response_body, TRUE);
	g_free(request->id);
	g_free(request->key);
	g_free(request->body);
	g_free(request->outcome);
	g_free(request->request_id);
	g_free(request);
}

static load_outcome_t attempt_outcome(const request_t *request, CURLcode code)
{
	/* libcurl reports this error also when it has sent the request on a connection that broke,
	 * and then failed to reconnect. */
	if (code == CURLE_COULDNT_CONNECT && !request->connected)
		return LOAD_NOT_SENT;
	if (code != CURLE_OK)
		return LOAD_LOST;
	if (request->outcome != NULL && strcmp(request->outcome, "not-run") == 0)
		return LOAD_NOT_RUN;
	if (request->outcome != NULL && strcmp(request->outcome, "unknown") == 0)
		return LOAD_UNKNOWN;
	return LOAD_RAN;
}

/* Compares the response body with the request body, which emulated targets send back.
 * @return "own", "other" or "none" */
static const char *compare_response_body(const request_t *request)
{
	size_t length = strlen(request->body);

	if (request->response_body->len == 0)
		return "none";
	return request->response_body->len == length &&
			       memcmp(request->response_body->data, request->body, length) == 0
		       ? "own"
		       : "other";
}

/* Starts or schedules another attempt if the request's class and outcome allow it.
 * @return whether there is another attempt */
static bool schedule_resend(request_t *request, load_outcome_t outcome)
{
	/* Try the other entry processes, as a load balancer would. */
	if (outcome == LOAD_NOT_SENT && request->attempt < 2 * g_strv_length(run.options.entries)) {
		start_attempt(request);
		return true;
	}
	if (request->class->repeatable || (outcome != LOAD_UNKNOWN && outcome != LOAD_LOST) ||
	    request->resends >= run.options.max_resends)
		return false;
	request->resends++;
	request->class->resent_count++;
	request->resend_us = clock_now_us() + run.options.resend_delay_ms * US_PER_MS;
	g_queue_push_tail(&run.resend_queue, request);
	return true;
}

static void finish_attempt(CURL *easy, CURLcode code)
{
	uint64_t now_us = clock_now_us();
	request_t *request;
	load_event_t event;
	load_outcome_t outcome;
	uint32_t latency_us;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &request);
	event = make_event(request, "complete");
	event.completed_us = now_us;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &event.status);
	curl_multi_remove_handle(run.multi, easy);
	curl_easy_cleanup(easy);
	run.in_flight--;
	event.outcome = request->outcome;
	event.request_id = request->request_id;
	event.body = compare_response_body(request);
	event.error = code == CURLE_OK ? NULL : curl_easy_strerror(code);
	outcome = attempt_outcome(request, code);
	event.result = load_outcome_name(outcome);
	load_journal_write(run.journal, &event);
	if (code == CURLE_OK && event.status == 200 && strcmp(event.body, "own") != 0)
		request->class->wrong_bodies++;
	if (schedule_resend(request, outcome))
		return;
	request->class->outcome_count[outcome]++;
	if (outcome == LOAD_RAN) {
		request->class->server_errors += event.status >= 500;
		latency_us = (uint32_t)MIN(now_us - request->due_us, UINT32_MAX);
		g_array_append_val(request->class->latency_us, latency_us);
	}
	request_free(request);
}

/* Starts the requests whose arrival time has come. @return whether more requests will arrive */
static bool start_due_requests(uint64_t now_us)
{
	uint64_t end_us = run.start_us + (uint64_t)(run.options.duration_s * US_PER_S);
	bool more_arrivals = false;

	for (size_t i = 0; i < run.options.class_count; i++) {
		load_class_t *class = &run.options.classes[i];

		while (class->next_arrival_us <= now_us && class->next_arrival_us < end_us) {
			if (run.options.max_requests != 0 &&
			    run.request_count >= run.options.max_requests)
				return false;
			start_request(class, class->next_arrival_us);
			load_draw_next_arrival(&run.options, class, run.start_us);
		}
		more_arrivals |= class->next_arrival_us < end_us;
	}
	return more_arrivals;
}

static void start_due_resends(uint64_t now_us)
{
	request_t *request;

	while ((request = g_queue_peek_head(&run.resend_queue)) != NULL &&
	       request->resend_us <= now_us)
		start_attempt(g_queue_pop_head(&run.resend_queue));
}

static void run_event_loop(void)
{
	bool more_arrivals = true;
	int running;
	int messages_left;
	const CURLMsg *message;

	run.start_us = clock_now_us();
	for (size_t i = 0; i < run.options.class_count; i++) {
		load_class_t *class = &run.options.classes[i];

		class->rand = g_rand_new_with_seed(run.options.seed + (guint32)i);
		class->next_arrival_us = run.start_us;
		class->surge_offset_us = (uint64_t)(i * run.options.surge_length_s * US_PER_S);
		load_draw_next_arrival(&run.options, class, run.start_us);
	}
	while (more_arrivals || run.in_flight > 0 || run.resend_queue.length > 0) {
		more_arrivals = more_arrivals && start_due_requests(clock_now_us());
		start_due_resends(clock_now_us());
		curl_multi_perform(run.multi, &running);
		while ((message = curl_multi_info_read(run.multi, &messages_left)) != NULL) {
			if (message->msg == CURLMSG_DONE)
				finish_attempt(message->easy_handle, message->data.result);
		}
		curl_multi_poll(run.multi, NULL, 0, POLL_INTERVAL_MS, NULL);
	}
}

static bool add_class(load_options_t *options, const char *text)
{
	options->classes = g_renew(load_class_t, options->classes, options->class_count + 1);
	return load_class_parse(&options->classes[options->class_count++], text);
}

/* Parses the option --surge.
 * @param text "START,LENGTH[,LOW]": lengths of the phases in seconds
 * @return false if text is malformed */
static bool parse_surge(load_options_t *options, const char *text)
{
	char **parts = g_strsplit(text, ",", 3);
	unsigned count = g_strv_length(parts);

	if (count >= 2) {
		options->surge_start_s = g_ascii_strtod(parts[0], NULL);
		options->surge_length_s = g_ascii_strtod(parts[1], NULL);
		options->surge_low_s = count == 3 ? g_ascii_strtod(parts[2], NULL) : 1e9;
	}
	g_strfreev(parts);
	return count >= 2 && options->surge_length_s > 0;
}

static bool set_option(load_options_t *options, int option, const char *value)
{
	guint64 number = 0;

	switch (option) {
	case 'e':
		options->entries = g_strsplit(value, ",", 0);
		return options->entries[0] != NULL;
	case 'c':
		return add_class(options, value);
	case 'u':
		return parse_surge(options, value);
	case 'h':
		options->extra_header = value;
		return true;
	case 'j':
		options->journal_path = value;
		return true;
	case 's':
		options->duration_s = g_ascii_strtod(value, NULL);
		return options->duration_s > 0;
	default:
		break;
	}
	if (!g_ascii_string_to_unsigned(value, 10, 0, UINT32_MAX, &number, NULL))
		return false;
	if (option == 'n')
		options->max_requests = number;
	else if (option == 'S')
		options->seed = (uint32_t)number;
	else if (option == 't')
		options->timeout_ms = (unsigned)number;
	else if (option == 'r')
		options->max_resends = (unsigned)number;
	else if (option == 'w')
		options->resend_delay_ms = (unsigned)number;
	else if (option == 'C')
		options->max_connections = (unsigned)number;
	else
		return false;
	return true;
}

static bool parse_options(load_options_t *options, int argc, char **argv)
{
	static const struct option long_options[] = {
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
	int option;

	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		if (option == '?')
			return false;
		if (!set_option(options, option, optarg)) {
			(void)fprintf(stderr, "invalid option value: %s\n", optarg);
			return false;
		}
	}
	return options->entries != NULL && options->class_count > 0 && optind == argc;
}

int main(int argc, char **argv)
{
	uint64_t wrong_bodies = 0;

	run.options = (load_options_t){
		.seed = 1,
		.duration_s = 10,
		.timeout_ms = 10000,
		.max_resends = 3,
		.resend_delay_ms = 200,
		.max_connections = 1024,
		.surge_start_s = -1,
	};
	if (!parse_options(&run.options, argc, argv)) {
		(void)fputs(usage, stderr);
		return 2;
	}
	if (run.options.journal_path != NULL) {
		run.journal = fopen(run.options.journal_path, "ae");
		if (run.journal == NULL) {
			perror(run.options.journal_path);
			return 1;
		}
	}
	(void)signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	run.multi = curl_multi_init();
	curl_multi_setopt(run.multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)run.options.max_connections);
	curl_multi_setopt(run.multi, CURLMOPT_MAXCONNECTS, (long)run.options.max_connections);
	run_event_loop();
	load_print_summary(&run.options, (double)(clock_now_us() - run.start_us) / US_PER_S);
	for (size_t i = 0; i < run.options.class_count; i++)
		wrong_bodies += run.options.classes[i].wrong_bodies;
	if (run.journal != NULL && fclose(run.journal) != 0)
		return 1;
	curl_multi_cleanup(run.multi);
	return wrong_bodies == 0 ? 0 : 1;
}
