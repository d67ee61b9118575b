/*
 * Stand-ins of the second review: the platform, a policy service, workers, an operator and clients,
 * in one process. They speak what the users' PROTOCOL page says, on loopback addresses. The program
 * starts three core processes and edge processes of the product with the commands of the deploy
 * file, plays one case, and writes what was sent, answered and run to a record file.
 *
 *	play CASE RECORD	exit status 1: the rule was broken, 0: it held, 2: it could not run
 *	TROUBLE=0		the same without the disruption
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <talloc.h>
#include <tevent.h>

#include "play.h"

play_t play;

static const char *const program = "target/lavenderpass";

/* --- record --- */

uint64_t play_ms(void)
{
	return (clock_now_us() - play.started_us) / US_PER_MS;
}

void record(const char *format, ...)
{
	va_list args;

	fprintf(play.record, "%7" PRIu64 " ms  ", play_ms());
	va_start(args, format);
	vfprintf(play.record, format, args);
	va_end(args);
	fputc('\n', play.record);
}

/* --- processes of the product --- */

static void node_ip(unsigned node, char ip[32])
{
	unsigned host = node < CORES ? node + 1 : node - CORES + 11;

	g_snprintf(ip, 32, "127.%u.1.%u", play.network, host);
}

static unsigned front_port(void)
{
	return play.port + 10;
}

static unsigned ready_port(void)
{
	return play.port + 11;
}

static unsigned control_port(void)
{
	return play.port + 12;
}

static void write_settings(unsigned node, const char *path, bool bootstrap)
{
	static const char common[] =
		"region=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\nlimits.cpuShare=0.35\nlimits.cores="
		"1\n"
		"limits.memoryMb=256\nlimits.maxFds=4096\nlimits.linkMbps=1000.0\n"
		"discovery=registry\nentry=vip\nheartbeatMs=1500\n"
		"contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n"
		"faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regionCount=0\n"
		"bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\n"
		"bounds.ackTimeoutMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\n"
		"bounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
		"bounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\nbounds.recoverS=12\n"
		"bounds.holdMaxMs=10000\nbounds.stopMs=200\nbounds.gangTimeoutMs=3000\n"
		"bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\n"
		"bounds.finish_s=14\nbounds.status_s=120\nbounds.crossRackFactor=1.5\n"
		"bounds.checkpointS=0.5\nbounds.restoreMs=100\nbounds.noticeMs=4500\n"
		"bounds.migrateS=1.5\nbounds.maintenanceS=2\nbounds.fencing=true\n"
		"bounds.leaseMs=3000\nbounds.thawMs=300\nbounds.paceMs=100\nbounds.impactMs=4000\n"
		"config_mode=highest\ncontrolMode=push\ncloudApi.ratePerS=64.0\ncloudApi.duties=\n"
		"cloudApi.dutyPerS=64.0\n";
	bool core = node < CORES;
	g_autoptr(GString) text = g_string_new(NULL);
	char ip[32];

	node_ip(node, ip);
	g_string_append_printf(text, "nodeName=%s-%u\nrole=%s\nmachineClass=%s\nserves=%s\nip=%s\n",
			       core ? "core" : "edge", node + 1, core ? "core" : "edge",
			       core ? "core" : "edge", core ? "control" : "edge", ip);
	g_string_append_printf(text, "zone=z%u\nportRange=%u,%u\nbootstrap=%s\nlossCounts=%s\n",
			       node % 3 + 1, play.port, play.port + 9, bootstrap ? "true" : "false",
			       core ? "true" : "false");
	g_string_append(text, "seeds=");
	for (unsigned i = 0; i < CORES; i++) {
		char seed[32];

		node_ip(i, seed);
		g_string_append_printf(text, "%s%s:%u", i > 0 ? "," : "", seed, control_port());
	}
	g_string_append_printf(text, "\nadvice=127.%u.3.2:%u\ncloudApi.addr=127.%u.3.1:%u\n",
			       play.network, play.port + 13, play.network, play.port + 13);
	if (core)
		g_string_append_printf(text, "listen.control=%s:%u\ndataDir=%s/data-%u\n", ip,
				       control_port(), play.dir, node + 1);
	else
		g_string_append_printf(text, "listen.front=%s:%u\nlisten.ready=%s:%u\n", ip,
				       front_port(), ip, ready_port());
	g_string_append(text, common);
	g_file_set_contents(path, text->str, -1, NULL);
}

void start_node(unsigned node, bool bootstrap)
{
	g_autofree char *settings = g_strdup_printf("%s/node-%u.conf", play.dir, node + 1);
	g_autofree char *log = g_strdup_printf("%s/node-%u.log", play.dir, node + 1);
	g_autofree char *data = g_strdup_printf("%s/data-%u", play.dir, node + 1);
	pid_t parent = getpid();

	g_mkdir_with_parents(data, 0700);
	write_settings(node, settings, bootstrap);
	play.pids[node] = fork();
	if (play.pids[node] != 0)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	setenv("LAVENDERPASS_SETTINGS", settings, 1);
	execl(program, "lavenderpass", node < CORES ? "core" : "edge", (char *)NULL);
	_exit(127);
}

void kill_node(unsigned node)
{
	if (play.pids[node] <= 0)
		return;
	kill(play.pids[node], SIGKILL);
	waitpid(play.pids[node], NULL, 0);
	play.pids[node] = 0;
}

/* --- calls --- */

typedef struct {
	call_fn done;
	void *arg;
} call_t;

static void on_call_done(void *arg, const http_call_result_t *result)
{
	g_autofree call_t *call = arg;
	json_t *body = result->complete && result->body_length > 0
			       ? json_loadb(result->body, result->body_length, 0, NULL)
			       : NULL;
	unsigned status = result->complete ? result->status : 0;

	call->done(call->arg, status, body, result);
	json_decref(body);
}

void call(const char *method, const char *address, const char *path, const char *host, json_t *body,
	  uint32_t timeout_ms, call_fn done, void *arg)
{
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
	g_autofree char *deadline = g_strdup_printf("%u", timeout_ms);
	http_header_t headers[3] = {{"Content-Type", "application/json"},
				    {"Deadline-Ms", deadline}};
	call_t *state = g_new0(call_t, 1);
	http_call_request_t request = {
		.method = method,
		.url = url,
		.headers = headers,
		.header_count = host != NULL ? 3 : 1,
		.body = text,
		.body_length = text != NULL ? strlen(text) : 0,
		.timeout_ms = timeout_ms,
		.response_limit = 1 << 20,
	};

	headers[2] = (http_header_t){"Host", host};
	*state = (call_t){.done = done, .arg = arg};
	http_client_send(&play.client, &request, on_call_done, state);
	free(text);
	json_decref(body);
}

/* --- timers --- */

typedef struct {
	void (*fn)(void *arg);
	void *arg;
} later_t;

static void on_later(void *arg)
{
	g_autofree later_t *state = arg;

	state->fn(state->arg);
}

void later(uint64_t ms, void (*fn)(void *arg), void *arg)
{
	later_t *state = g_new0(later_t, 1);

	*state = (later_t){.fn = fn, .arg = arg};
	mono_timer_add(play.ev, play.ev, ms * US_PER_MS, on_later, state);
}

static void set_flag(void *arg)
{
	*(bool *)arg = true;
}

void run_for(uint64_t ms)
{
	bool over = false;

	later(ms, set_flag, &over);
	while (!over)
		tevent_loop_once(play.ev);
}

/* --- operator --- */

static void configure_next(void *arg);

static void on_configured(void *arg, unsigned status, const json_t *body,
			  const http_call_result_t *result)
{
	const char *location = result->complete ? http_call_header(result, "Location") : NULL;

	record("operator: PUT /config answered %u%s%s", status, location != NULL ? " to " : "",
	       location != NULL ? location : "");
	if (status == 200) {
		play.configured = true;
		return;
	}
	play.config_core = (play.config_core + 1) % CORES;
	later(200, configure_next, NULL);
}

static void configure_next(void *arg)
{
	char ip[32];
	char address[64];

	node_ip(play.config_core, ip);
	g_snprintf(address, sizeof(address), "%s:%u", ip, control_port());
	call("PUT", address, "/config", NULL, json_incref(play.config), 1000, on_configured, NULL);
}

/* Sends the configuration until it is acknowledged. @return false: it was not, within ms */
bool configure(json_t *config, uint64_t ms)
{
	uint64_t until_ms = play_ms() + ms;

	json_decref(play.config);
	play.config = config;
	play.configured = false;
	configure_next(NULL);
	while (!play.configured && play_ms() < until_ms)
		run_for(20);
	return play.configured;
}

json_t *make_config(unsigned version, const char *service, unsigned attempts, json_t *advice)
{
	json_t *route = json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:f}", "name",
				  "r-1", "host", HOST, "prefix", PREFIX, "kind", "mutating",
				  "timeoutMs", 3000, "sloMs", 600, "priority", 0, "service",
				  service, "attempts", (int)attempts, "stretch", 1.6);

	if (advice != NULL)
		json_object_set_new(route, "advice", advice);
	return json_pack(
		"{s:i, s:[o], s:[{s:s, s:s, s:i, s:s, s:b, s:b, s:b}], s:{s:i, s:i, s:i, s:i}}",
		"version", (int)version, "routes", route, "services", "name", service, "healthPath",
		"/healthz", "maxConns", 64, "proto", "h1", "tls", 0, "admissionCheck", 1, "standby",
		0, "limits", "maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs",
		3000, "idleTimeoutMs", 15000);
}

/* --- clients --- */

static void front_address(char address[64])
{
	char ip[32];

	node_ip(CORES + play.edges - 1, ip);
	g_snprintf(address, 64, "%s:%u", ip, front_port());
}

static void submit_next(void *arg);

static void on_submitted(void *arg, unsigned status, const json_t *body,
			 const http_call_result_t *result)
{
	job_t *job = arg;

	record("client: POST %s answered %u", job->id, status);
	job->answer = status;
	if (status == 200) {
		job->accepted = true;
		job->accepted_ms = play_ms();
	} else if (job->tries < 5) {
		later(300, submit_next, job);
	}
}

static void submit_next(void *arg)
{
	job_t *job = arg;
	g_autofree char *path = g_strconcat(job->prefix, job->id, NULL);
	char address[64];

	job->tries++;
	front_address(address);
	call("POST", address, path, HOST, json_incref(job->body), 3000, on_submitted, job);
}

job_t *submit_to(const char *prefix, json_t *step, unsigned dur_ms, const char *spec)
{
	job_t *job = g_new0(job_t, 1);

	job->prefix = prefix;
	job->lasts = json_is_true(json_object_get(step, "longRunning"));
	g_snprintf(job->id, sizeof(job->id), "%08x%08x", g_random_int(), play.jobs->len + 1);
	job->dur_ms = dur_ms;
	job->count = (unsigned)json_integer_value(json_object_get(step, "count"));
	job->gang = json_is_true(json_object_get(step, "gang"));
	g_strlcpy(job->spec, spec, sizeof(job->spec));
	job->body = json_pack("{s:s, s:[o]}", "spec", spec, "steps", step);
	g_ptr_array_add(play.jobs, job);
	submit_next(job);
	return job;
}

job_t *submit(json_t *step, unsigned dur_ms, const char *spec)
{
	return submit_to(PREFIX, step, dur_ms, spec);
}

job_t *find_job(const char *task)
{
	for (guint i = 0; i < play.jobs->len; i++) {
		job_t *job = g_ptr_array_index(play.jobs, i);

		if (strncmp(task, job->id, 16) == 0)
			return job;
	}
	return NULL;
}

static void on_state(void *arg, unsigned status, const json_t *body,
		     const http_call_result_t *result)
{
	job_t *job = arg;
	const char *state = json_string_value(json_object_get(body, "state"));

	job->asked = true;
	job->state_status = status;
	g_strlcpy(job->state, state != NULL ? state : "", sizeof(job->state));
	record("client: GET %s answered %u %s", job->id, status, job->state);
}

/* Asks for the state of all jobs, and waits for the answers. */
void ask_states(void)
{
	char address[64];

	front_address(address);
	for (guint i = 0; i < play.jobs->len; i++) {
		job_t *job = g_ptr_array_index(play.jobs, i);
		g_autofree char *path = g_strconcat(job->prefix, job->id, NULL);

		job->asked = false;
		call("GET", address, path, HOST, NULL, 3000, on_state, job);
	}
	for (guint i = 0; i < play.jobs->len; i++) {
		const job_t *job = g_ptr_array_index(play.jobs, i);

		while (!job->asked)
			run_for(10);
	}
}

typedef struct {
	bool answered;
	int64_t pending;
} count_t;

static void on_count(void *arg, unsigned status, const json_t *body,
		     const http_call_result_t *result)
{
	count_t *count = arg;
	const json_t *pending = json_object_get(body, "pending");

	count->answered = true;
	count->pending =
		status == 200 && json_is_integer(pending) ? json_integer_value(pending) : -1;
	record("client: GET %s answered %u, pending %" PRId64, PREFIX, status, count->pending);
}

/* @return the count of the queue; -1: none was given */
int64_t ask_pending(void)
{
	count_t count = {0};
	char address[64];

	front_address(address);
	call("GET", address, PREFIX, HOST, NULL, 3000, on_count, &count);
	while (!count.answered)
		run_for(10);
	return count.pending;
}

static void on_cancelled(void *arg, unsigned status, const json_t *body,
			 const http_call_result_t *result)
{
	*(int *)arg = (int)status;
}

/* Cancels the job once. @return the status of the answer; 0: none came */
unsigned cancel(job_t *job)
{
	g_autofree char *path = g_strconcat(job->prefix, job->id, NULL);
	char address[64];
	int status = -1;

	front_address(address);
	call("DELETE", address, path, HOST, NULL, 3000, on_cancelled, &status);
	while (status < 0)
		run_for(10);
	record("client: DELETE %s answered %d", job->id, status);
	return (unsigned)status;
}

/* --- start and end --- */

static bool address_is_free(const char *ip, unsigned port)
{
	return http_server_check_address(ip, (uint16_t)port) == 0;
}

static bool choose_addresses(void)
{
	for (unsigned i = 0; i < 50; i++) {
		bool is_free = true;

		play.network = (unsigned)g_random_int_range(20, 250);
		play.port = (unsigned)g_random_int_range(10000, 30000);
		for (unsigned node = 0; node < CORES + play.edges && is_free; node++) {
			char ip[32];

			node_ip(node, ip);
			for (unsigned p = 0; p < 14 && is_free; p++)
				is_free = address_is_free(ip, play.port + p);
			is_free = is_free && address_is_free(ip, 9464);
		}
		if (is_free)
			return true;
	}
	return false;
}

static void on_ready(void *arg, unsigned status, const json_t *body,
		     const http_call_result_t *result)
{
	*(unsigned *)arg = status == 0 ? 1 : status;
}

static bool wait_until_ready(uint64_t ms)
{
	uint64_t until_ms = play_ms() + ms;
	char ip[32];
	char address[64];

	node_ip(CORES + play.edges - 1, ip);
	g_snprintf(address, sizeof(address), "%s:%u", ip, ready_port());
	while (play_ms() < until_ms) {
		unsigned status = 0;

		call("GET", address, "/readyz", NULL, NULL, 500, on_ready, &status);
		while (status == 0)
			run_for(10);
		if (status == 200)
			return true;
		run_for(100);
	}
	return false;
}

/* Starts the product, sends it the configuration, and starts the workers. */
bool start_all(json_t *config, unsigned workers, const worker_spec_t *spec)
{
	if (!choose_addresses()) {
		record("no free addresses");
		return false;
	}
	if (!start_services())
		return false;
	for (unsigned node = 0; node < CORES + play.edges; node++)
		start_node(node, true);
	if (!wait_until_ready(15000)) {
		record("the edge process is not ready");
		return false;
	}
	record("the edge process is ready");
	if (!configure(config, 10000))
		return false;
	for (unsigned i = 0; i < workers; i++) {
		/* The racks are switched on one after the other. */
		if (i > 0 && i % spec->rack_size == 0)
			run_for(300);
		if (!start_worker(i, spec))
			return false;
	}
	for (uint64_t until_ms = play_ms() + 10000; play_ms() < until_ms; run_for(50)) {
		unsigned known = 0;

		for (unsigned i = 0; i < workers; i++)
			known += play.workers[i].beats_acked > 0;
		if (known == workers) {
			record("all %u workers are registered", workers);
			run_for(2000);
			return true;
		}
	}
	record("not all workers are registered");
	return false;
}

static const struct {
	const char *name;
	play_result_t (*run)(bool trouble);
} cases[] = {
	{"advice", case_advice},
	{"pending", case_pending},
	{"gang", case_gang},
	{"frozen-edge", case_frozen_edge},
	{"removed-route", case_removed_route},
	{"full-service", case_full_service},
};

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *child = g_build_filename(path, name, NULL);

		if (g_file_test(child, G_FILE_TEST_IS_DIR))
			remove_dir(child);
		else
			g_unlink(child);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(path);
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	play_result_t result = PLAY_FAILED;

	if (argc != 3 || (play.record = fopen(argv[2], "w")) == NULL)
		return PLAY_FAILED;
	setvbuf(play.record, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	alarm(115); /* ends a play that hangs; the children end with it */
	play.started_us = clock_now_us();
	play.edges = 1;
	play.jobs = g_ptr_array_new();
	play.ev = tevent_context_init(NULL);
	http_client_init(&play.client, play.ev, 60);
	play.dir = g_dir_make_tmp("lavenderpass-review-XXXXXX", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (strcmp(cases[i].name, argv[1]) == 0)
			result = cases[i].run(trouble == NULL || strcmp(trouble, "0") != 0);
	}
	record("result: %s", result == PLAY_BROKEN ? "the rule was broken"
			     : result == PLAY_HELD ? "the rule held"
						   : "the case could not run");
	for (unsigned node = 0; node < CORES + play.edges; node++)
		kill_node(node);
	if (getenv("KEEP") == NULL)
		remove_dir(play.dir);
	else
		fprintf(stderr, "%s\n", play.dir);
	fclose(play.record);
	return (int)result;
}
