#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <glib.h>

#include "clock.h"
#include "lib_cluster.h"

#define NODES 5
#define WAIT_TIMEOUT_MS 30000
#define RACE_ROUNDS 20
#define LEADER_KILLS 5
#define RESENDS 8
/* Number of template changes; their log entries exceed one replication batch of 64 KiB. */
#define CHANGES 300
/* Required upper bound of the time until a committed revision is in force at all entry processes.
 * Not checked when the test itself was delayed by more than TEST_DELAY_LIMIT_US meanwhile, as
 * happens on a busy machine. */
#define IN_FORCE_LIMIT_US 5000000
#define TEST_DELAY_LIMIT_US 500000
#define POLL_INTERVAL_US 20000

#define TEMPLATE                                            \
	"organisation: barid\n"                             \
	"pools:\n"                                          \
	"  - name: backoffice\n"                            \
	"    spare: true\n"                                 \
	"    min_vms: 0\n    max_vms: 4\n    keep_vms: 0\n" \
	"    classes:\n"                                    \
	"      - {name: any, path_prefix: /, deadline_ms: 3000, repeatable: true}\n"

/* A request to apply a template, together with its response. */
typedef struct {
	uint16_t port; /* HTTP port of the entry process that the request is sent to */
	json_int_t expected_revision; /* revision that the request replaces */
	char op_id[64];
	char author[32];
	char note[64];
	char error[256];
	/* Fields of the response. For a conflict, they describe the revision in force. */
	long status;
	json_int_t revision;
	char response_author[32];
	char response_note[64];
} apply_request_t;

static uint32_t seed;
static unsigned apply_count;

static int set_up(void **state)
{
	const cluster_config_t config = {.nodes = NODES, .data_centres = 3, .voters = 3};
	cluster_t *cluster = cluster_create(&config);

	*state = cluster;
	print_message("LP_TEST_SEED=%u\n", seed);
	cluster_start(cluster);
	return 0;
}

static int tear_down(void **state)
{
	cluster_destroy(*state);
	return 0;
}

static const char *get_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

static json_int_t get_number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static apply_request_t make_request(const cluster_t *cluster, unsigned node,
				    json_int_t expected_revision)
{
	apply_request_t request = {.port = cluster->nodes[node - 1].http_port,
				   .expected_revision = expected_revision};

	apply_count++;
	g_snprintf(request.op_id, sizeof(request.op_id), "op-%u-%u", seed, apply_count);
	g_snprintf(request.author, sizeof(request.author), "operator-%u", node);
	g_snprintf(request.note, sizeof(request.note), "change %u through %u", apply_count, node);
	return request;
}

static json_t *make_body(const apply_request_t *request)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "name", "barid.yaml", "text", TEMPLATE,
			 "author", request->author, "note", request->note, "op_id", request->op_id,
			 "expected_revision", request->expected_revision);
}

static void send_request(apply_request_t *request)
{
	json_t *body = make_body(request);
	char url[64];
	json_t *response;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", request->port);
	response = cluster_http("POST", url, "/v1/templates/apply", body, &request->status);
	request->revision = get_number(response, "revision");
	g_strlcpy(request->error, get_text(response, "error"), sizeof(request->error));
	g_strlcpy(request->response_author, get_text(response, "author"),
		  sizeof(request->response_author));
	g_strlcpy(request->response_note, get_text(response, "note"),
		  sizeof(request->response_note));
	json_decref(response);
	json_decref(body);
}

static void *send_request_thread(void *arg)
{
	send_request(arg);
	return NULL;
}

/* Sends a request and closes the connection after close_after_us, without reading the response. */
static void send_and_disconnect(const apply_request_t *request, unsigned close_after_us)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(request->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	json_t *body = make_body(request);
	char *body_text = json_dumps(body, JSON_COMPACT);
	char *message = g_strdup_printf("POST /v1/templates/apply HTTP/1.1\r\nHost: 127.0.0.1\r\n"
					"Content-Type: application/json\r\n"
					"Content-Length: %zu\r\n\r\n%s",
					strlen(body_text), body_text);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(send(fd, message, strlen(message), MSG_NOSIGNAL),
			 (ssize_t)strlen(message));
	g_usleep(close_after_us);
	close(fd);
	g_free(message);
	free(body_text);
	json_decref(body);
}

/* Returns the revision in force according to an entry process; 0 for none, -1 without a
 * response. */
static json_int_t get_revision(const cluster_t *cluster, unsigned node)
{
	long status;
	json_t *response =
		cluster_get(cluster, node, "/v1/templates/current?organisation=barid", &status);
	json_int_t revision =
		status == 200 ? get_number(response, "revision") : (status == 404 ? 0 : -1);

	json_decref(response);
	return revision;
}

/* Waits until a revision is in force at all entry processes. Fails the test when a process shows a
 * later revision, or when the wait takes too long.
 * @return duration of the wait in microseconds */
static uint64_t wait_in_force(const cluster_t *cluster, json_int_t revision)
{
	uint64_t start_us = clock_now_us();
	uint64_t last_poll_us = start_us;
	uint64_t gap_us = 0;
	uint64_t elapsed_us;
	unsigned up_to_date;

	do {
		up_to_date = 0;
		for (unsigned i = 1; i <= NODES; i++) {
			json_int_t current = get_revision(cluster, i);

			if (current > revision)
				fail_msg("process %u: revision %lld was not committed yet", i,
					 (long long)current);
			up_to_date += current == revision;
		}
		elapsed_us = clock_now_us() - start_us;
		if (elapsed_us > (uint64_t)WAIT_TIMEOUT_MS * 1000)
			fail_msg("revision %lld: in force at %u of %u processes",
				 (long long)revision, up_to_date, NODES);
		if (up_to_date < NODES)
			g_usleep(POLL_INTERVAL_US);
		gap_us = MAX(gap_us, clock_now_us() - last_poll_us);
		last_poll_us = clock_now_us();
	} while (up_to_date < NODES);
	if (elapsed_us > IN_FORCE_LIMIT_US && gap_us <= TEST_DELAY_LIMIT_US)
		fail_msg("revision %lld took %.1f s until it was in force", (long long)revision,
			 (double)elapsed_us / 1e6);
	return elapsed_us;
}

/* Sends a request until it is accepted: after a status 503 or without a response, it is sent again
 * to a random process, with the same operation id.
 * @return number of attempts */
static unsigned apply_until_accepted(const cluster_t *cluster, apply_request_t *request)
{
	uint64_t deadline_us = clock_now_us() + (uint64_t)WAIT_TIMEOUT_MS * 1000;
	unsigned attempts = 0;

	do {
		unsigned node = (unsigned)g_random_int_range(1, NODES + 1);

		if (attempts++ > 0) {
			g_usleep(POLL_INTERVAL_US);
			request->port = cluster->nodes[node - 1].http_port;
		}
		send_request(request);
		if (clock_now_us() > deadline_us)
			fail_msg("not accepted: status %ld", request->status);
	} while (request->status == 503 || request->status == 0);
	if (request->status != 200)
		fail_msg("status %ld: %s", request->status, request->error);
	assert_int_equal(request->revision, request->expected_revision + 1);
	return attempts;
}

/* Checks that the history at an entry process contains each of the revisions 1 to count once, with
 * its note. */
static void check_history(const cluster_t *cluster, unsigned node, const char *const *notes,
			  json_int_t count)
{
	json_t *response =
		cluster_get(cluster, node, "/v1/templates/history?organisation=barid", NULL);
	const json_t *list = json_object_get(response, "history");
	json_int_t previous = 0;
	json_int_t step = 0;
	size_t i;
	json_t *entry;

	json_array_foreach (list, i, entry) {
		json_int_t revision = get_number(entry, "revision");

		if (previous != 0 && step == 0)
			step = revision - previous;
		if (previous != 0 && (revision != previous + step || (step != 1 && step != -1)))
			fail_msg("process %u: revision %lld follows %lld", node,
				 (long long)revision, (long long)previous);
		assert_in_range(revision, 1, count);
		assert_string_equal(get_text(entry, "note"), notes[revision]);
		previous = revision;
	}
	assert_int_equal(i, count);
	json_decref(response);
}

/* Guards against concurrent changes of one revision that are both accepted, and against a conflict
 * response that does not name the accepted change. */
static void test_concurrent_changes_have_one_winner(void **state)
{
	const cluster_t *cluster = *state;

	for (json_int_t revision = 0; revision < RACE_ROUNDS; revision++) {
		apply_request_t racers[NODES];
		pthread_t threads[NODES];
		const apply_request_t *winner = NULL;

		for (unsigned i = 0; i < NODES; i++)
			racers[i] = make_request(cluster, i + 1, revision);
		for (unsigned i = 0; i < NODES; i++)
			assert_int_equal(
				pthread_create(&threads[i], NULL, send_request_thread, &racers[i]),
				0);
		for (unsigned i = 0; i < NODES; i++)
			pthread_join(threads[i], NULL);
		for (unsigned i = 0; i < NODES; i++) {
			if (racers[i].status != 200)
				continue;
			assert_null(winner);
			winner = &racers[i];
			assert_int_equal(winner->revision, revision + 1);
		}
		assert_non_null(winner);
		for (unsigned i = 0; i < NODES; i++) {
			if (&racers[i] == winner)
				continue;
			assert_int_equal(racers[i].status, 409);
			assert_int_equal(racers[i].revision, revision + 1);
			assert_string_equal(racers[i].response_author, winner->author);
			assert_string_equal(racers[i].response_note, winner->note);
		}
	}
	(void)wait_in_force(cluster, RACE_ROUNDS);
	print_message("races %u, operators %u: one winner each\n", RACE_ROUNDS, NODES);
}

/* Guards against a resend after a lost response that is applied twice, or that gets a conflict with
 * its own first attempt. */
static void test_resend_gets_first_response(void **state)
{
	const cluster_t *cluster = *state;
	const char *notes[RESENDS + 1];
	apply_request_t requests[RESENDS];

	for (json_int_t i = 0; i < RESENDS; i++) {
		apply_request_t *request = &requests[i];

		*request = make_request(cluster, (unsigned)(i % NODES) + 1, i);
		notes[i + 1] = request->note;
		/* The connection closes later each time: at first before the request is handled, in
		 * the end after that. */
		send_and_disconnect(request, (unsigned)i * 5000);
		request->port = cluster->nodes[(i + 1) % NODES].http_port;
		(void)apply_until_accepted(cluster, request);
		request->port = cluster->nodes[(i + 2) % NODES].http_port;
		(void)apply_until_accepted(cluster, request);
	}
	(void)wait_in_force(cluster, RESENDS);
	for (unsigned node = 1; node <= NODES; node++)
		check_history(cluster, node, notes, RESENDS);
	/* A request sent again must get its original response, even after later changes. */
	for (json_int_t i = 0; i < RESENDS; i++)
		(void)apply_until_accepted(cluster, &requests[i]);
	(void)wait_in_force(cluster, RESENDS);
}

typedef struct {
	cluster_t *cluster;
	unsigned leader;
} leader_search_t;

/* Looks for a process that reports itself as leader. Other processes can still report a former
 * leader. */
static bool leader_found(void *arg)
{
	leader_search_t *search = arg;

	search->leader = 0;
	for (unsigned node = 1; node <= 3 && search->leader == 0; node++) {
		json_t *response = cluster_get(search->cluster, node, "/v1/status", NULL);

		if (get_number(response, "leader") == node && get_number(response, "node") == node)
			search->leader = node;
		json_decref(response);
	}
	return search->leader != 0;
}

static unsigned find_leader(cluster_t *cluster)
{
	leader_search_t search = {.cluster = cluster};

	assert_true(cluster_wait_until(leader_found, &search, WAIT_TIMEOUT_MS));
	return search.leader;
}

/* Guards against a committed revision that is lost or duplicated when the leader is killed after or
 * during the commit, and against a process that reverts to an earlier revision. */
static void test_revisions_survive_leader_kills(void **state)
{
	cluster_t *cluster = *state;
	const char *notes[2 * LEADER_KILLS + 1];
	apply_request_t requests[2 * LEADER_KILLS];
	json_int_t min_revisions[NODES] = {0};
	unsigned attempts = 0;
	uint64_t longest_us = 0;

	for (unsigned i = 0; i < LEADER_KILLS; i++) {
		unsigned leader = find_leader(cluster);
		apply_request_t *before = &requests[2 * i];
		apply_request_t *during = &requests[2 * i + 1];
		uint64_t elapsed_us;

		*before = make_request(cluster, leader, 2 * (json_int_t)i);
		attempts += apply_until_accepted(cluster, before);
		*during = make_request(cluster, leader, 2 * (json_int_t)i + 1);
		send_and_disconnect(during, (unsigned)g_random_int_range(0, 4000));
		cluster_kill_node(cluster, leader);
		during->port = cluster->nodes[leader % NODES].http_port;
		attempts += apply_until_accepted(cluster, during);
		for (unsigned n = 1; n <= NODES; n++) {
			json_int_t current = n == leader ? 0 : get_revision(cluster, n);

			if (n != leader && current < min_revisions[n - 1])
				fail_msg("process %u reverted from revision %lld to %lld", n,
					 (long long)min_revisions[n - 1], (long long)current);
		}
		cluster_start_node(cluster, leader);
		elapsed_us = wait_in_force(cluster, during->revision);
		longest_us = MAX(longest_us, elapsed_us);
		for (unsigned n = 0; n < NODES; n++)
			min_revisions[n] = during->revision;
		notes[2 * i + 1] = before->note;
		notes[2 * i + 2] = during->note;
	}
	for (unsigned node = 1; node <= NODES; node++)
		check_history(cluster, node, notes, (json_int_t)2 * LEADER_KILLS);
	print_message("leader kills %u, revisions %u, sendings %u, in force everywhere after at "
		      "most %.0f ms, with the restart\n",
		      LEADER_KILLS, 2 * LEADER_KILLS, attempts, (double)longest_us / 1e3);
}

/* Guards against a process that does not catch up, or ends in a different state, when it restarts
 * hundreds of changes later. */
static void test_process_catches_up_after_hundreds_of_changes(void **state)
{
	cluster_t *cluster = *state;
	apply_request_t *requests = g_new0(apply_request_t, CHANGES + 1);
	const char **notes = g_new0(const char *, CHANGES + 2);
	uint64_t longest_us = 0;
	uint64_t catch_up_us;

	requests[0] = make_request(cluster, 1, 0);
	(void)apply_until_accepted(cluster, &requests[0]);
	(void)wait_in_force(cluster, 1);
	cluster_kill_node(cluster, 3);
	cluster_kill_node(cluster, 5);
	for (unsigned i = 1; i < CHANGES; i++) {
		requests[i] = make_request(cluster, i % 2 + 1, i);
		(void)apply_until_accepted(cluster, &requests[i]);
	}
	for (unsigned i = 0; i < CHANGES; i++)
		notes[i + 1] = requests[i].note;
	cluster_start_node(cluster, 3);
	cluster_start_node(cluster, 5);
	catch_up_us = wait_in_force(cluster, CHANGES);
	for (unsigned node = 1; node <= NODES; node++)
		check_history(cluster, node, notes, CHANGES);
	/* Changes made after the restart must be in force at all processes in time, too. */
	for (json_int_t i = 0; i < RACE_ROUNDS; i++) {
		apply_request_t request =
			make_request(cluster, (unsigned)(i % NODES) + 1, CHANGES + i);
		uint64_t elapsed_us;

		(void)apply_until_accepted(cluster, &request);
		elapsed_us = wait_in_force(cluster, CHANGES + i + 1);
		longest_us = MAX(longest_us, elapsed_us);
	}
	print_message("changes %u while away; in force %.0f ms after the restart; later changes "
		      "%u, in force after at most %.0f ms\n",
		      CHANGES, (double)catch_up_us / 1e3, RACE_ROUNDS, (double)longest_us / 1e3);
	g_free(notes);
	g_free(requests);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_concurrent_changes_have_one_winner, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_resend_gets_first_response, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_revisions_survive_leader_kills, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_process_catches_up_after_hundreds_of_changes,
						set_up, tear_down),
	};
	const char *seed_text = getenv("LP_TEST_SEED");

	seed = seed_text == NULL ? g_random_int() : (uint32_t)strtoul(seed_text, NULL, 10);
	g_random_set_seed(seed);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
