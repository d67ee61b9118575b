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
#define LIMIT_MS 30000
#define RACES 20
#define KILLS 5
#define RESENDS 8
/* "Hundreds of changes", and more than one batch of 64 KiB. */
#define CHANGES 300
/* I8. It is enforced when the test itself was not held up for longer than GAP_US meanwhile. */
#define IN_FORCE_US 5000000
#define GAP_US 500000
#define POLL_US 20000

#define TEMPLATE                                            \
	"organisation: barid\n"                             \
	"pools:\n"                                          \
	"  - name: backoffice\n"                            \
	"    spare: true\n"                                 \
	"    min_vms: 0\n    max_vms: 4\n    keep_vms: 0\n" \
	"    classes:\n"                                    \
	"      - {name: any, path_prefix: /, deadline_ms: 3000, repeatable: true}\n"

typedef struct {
	uint16_t port;
	json_int_t expected;
	char op_id[64];
	char author[32];
	char note[64];
	char error[256];
	/* outcome */
	long status;
	json_int_t revision;
	char got_author[32];
	char got_note[64];
} apply_t;

static uint32_t seed;
static unsigned applies;

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

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

static json_int_t number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static apply_t make_apply(const cluster_t *cluster, unsigned node, json_int_t expected)
{
	apply_t apply = {.port = cluster->nodes[node - 1].http_port, .expected = expected};

	applies++;
	g_snprintf(apply.op_id, sizeof(apply.op_id), "op-%u-%u", seed, applies);
	g_snprintf(apply.author, sizeof(apply.author), "operator-%u", node);
	g_snprintf(apply.note, sizeof(apply.note), "change %u through %u", applies, node);
	return apply;
}

static json_t *apply_body(const apply_t *apply)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "name", "barid.yaml", "text", TEMPLATE,
			 "author", apply->author, "note", apply->note, "op_id", apply->op_id,
			 "expected_revision", apply->expected);
}

static void send_apply(apply_t *apply)
{
	json_t *body = apply_body(apply);
	char url[64];
	json_t *answer;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u", apply->port);
	answer = cluster_http("POST", url, "/v1/templates/apply", body, &apply->status);
	apply->revision = number_of(answer, "revision");
	g_strlcpy(apply->error, text_of(answer, "error"), sizeof(apply->error));
	g_strlcpy(apply->got_author, text_of(answer, "author"), sizeof(apply->got_author));
	g_strlcpy(apply->got_note, text_of(answer, "note"), sizeof(apply->got_note));
	json_decref(answer);
	json_decref(body);
}

static void *send_apply_thread(void *arg)
{
	send_apply(arg);
	return NULL;
}

/* Sends the request and closes the connection without reading the answer. */
static void send_and_leave(const apply_t *apply, unsigned stay_us)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(apply->port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	json_t *body = apply_body(apply);
	char *text = json_dumps(body, JSON_COMPACT);
	char *message = g_strdup_printf("POST /v1/templates/apply HTTP/1.1\r\nHost: 127.0.0.1\r\n"
					"Content-Type: application/json\r\n"
					"Content-Length: %zu\r\n\r\n%s",
					strlen(text), text);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(send(fd, message, strlen(message), MSG_NOSIGNAL),
			 (ssize_t)strlen(message));
	g_usleep(stay_us);
	close(fd);
	g_free(message);
	free(text);
	json_decref(body);
}

/* @return revision in force at one process, by its own state; -1 when it does not answer */
static json_int_t revision_at(const cluster_t *cluster, unsigned node)
{
	long status;
	json_t *answer =
		cluster_get(cluster, node, "/v1/templates/current?organisation=barid", &status);
	json_int_t revision =
		status == 200 ? number_of(answer, "revision") : (status == 404 ? 0 : -1);

	json_decref(answer);
	return revision;
}

/* Waits until all processes have a revision in force, and fails when one shows a later one.
 * @return time that this took */
static uint64_t wait_in_force(const cluster_t *cluster, json_int_t revision)
{
	uint64_t start_us = clock_now_us();
	uint64_t before_us = start_us;
	uint64_t gap_us = 0;
	uint64_t took_us;
	unsigned done;

	do {
		done = 0;
		for (unsigned i = 1; i <= NODES; i++) {
			json_int_t seen = revision_at(cluster, i);

			if (seen > revision)
				fail_msg("process %u: revision %lld was never accepted", i,
					 (long long)seen);
			done += seen == revision;
		}
		took_us = clock_now_us() - start_us;
		if (took_us > (uint64_t)LIMIT_MS * 1000)
			fail_msg("revision %lld: in force at %u of %u processes",
				 (long long)revision, done, NODES);
		if (done < NODES)
			g_usleep(POLL_US);
		gap_us = MAX(gap_us, clock_now_us() - before_us);
		before_us = clock_now_us();
	} while (done < NODES);
	if (took_us > IN_FORCE_US && gap_us <= GAP_US)
		fail_msg("revision %lld was in force after %.1f s only", (long long)revision,
			 (double)took_us / 1e6);
	return took_us;
}

/* Applies until it is accepted, as an operator would: a resend keeps the operation id.
 * @return sendings */
static unsigned apply_until_accepted(const cluster_t *cluster, apply_t *apply)
{
	uint64_t end_us = clock_now_us() + (uint64_t)LIMIT_MS * 1000;
	unsigned sent = 0;

	do {
		unsigned node = (unsigned)g_random_int_range(1, NODES + 1);

		if (sent++ > 0) {
			g_usleep(POLL_US);
			apply->port = cluster->nodes[node - 1].http_port;
		}
		send_apply(apply);
		if (clock_now_us() > end_us)
			fail_msg("not accepted: status %ld", apply->status);
	} while (apply->status == 503 || apply->status == 0);
	if (apply->status != 200)
		fail_msg("status %ld: %s", apply->status, apply->error);
	assert_int_equal(apply->revision, apply->expected + 1);
	return sent;
}

/* Every revision occurs once in a process's history, with the note that was accepted for it. */
static void check_history(const cluster_t *cluster, unsigned node, const char *const *notes,
			  json_int_t count)
{
	json_t *answer =
		cluster_get(cluster, node, "/v1/templates/history?organisation=barid", NULL);
	const json_t *list = json_object_get(answer, "history");
	json_int_t last = 0;
	json_int_t step = 0;
	size_t i;
	json_t *record;

	json_array_foreach (list, i, record) {
		json_int_t revision = number_of(record, "revision");

		if (last != 0 && step == 0)
			step = revision - last;
		if (last != 0 && (revision != last + step || (step != 1 && step != -1)))
			fail_msg("process %u: revision %lld follows %lld", node,
				 (long long)revision, (long long)last);
		assert_in_range(revision, 1, count);
		assert_string_equal(text_of(record, "note"), notes[revision]);
		last = revision;
	}
	assert_int_equal(i, count);
	json_decref(answer);
}

/* Guards against two operators who both believe that their change is in force, and against a loser
 * who is not told whose change was accepted. */
static void test_races_have_one_winner(void **state)
{
	const cluster_t *cluster = *state;

	for (json_int_t revision = 0; revision < RACES; revision++) {
		apply_t racers[NODES];
		pthread_t threads[NODES];
		const apply_t *winner = NULL;

		for (unsigned i = 0; i < NODES; i++)
			racers[i] = make_apply(cluster, i + 1, revision);
		for (unsigned i = 0; i < NODES; i++)
			assert_int_equal(
				pthread_create(&threads[i], NULL, send_apply_thread, &racers[i]),
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
			assert_string_equal(racers[i].got_author, winner->author);
			assert_string_equal(racers[i].got_note, winner->note);
		}
	}
	(void)wait_in_force(cluster, RACES);
	print_message("races %u, operators %u: one winner each\n", RACES, NODES);
}

/* Guards against a resend after a lost answer that is applied twice, or that is told a conflict
 * with its own change. */
static void test_resend_gets_first_outcome(void **state)
{
	const cluster_t *cluster = *state;
	const char *notes[RESENDS + 1];
	apply_t sent[RESENDS];

	for (json_int_t i = 0; i < RESENDS; i++) {
		apply_t *apply = &sent[i];

		*apply = make_apply(cluster, (unsigned)(i % NODES) + 1, i);
		notes[i + 1] = apply->note;
		/* From a request that is hardly received to one that is long done. */
		send_and_leave(apply, (unsigned)i * 5000);
		apply->port = cluster->nodes[(i + 1) % NODES].http_port;
		(void)apply_until_accepted(cluster, apply);
		apply->port = cluster->nodes[(i + 2) % NODES].http_port;
		(void)apply_until_accepted(cluster, apply);
	}
	(void)wait_in_force(cluster, RESENDS);
	for (unsigned node = 1; node <= NODES; node++)
		check_history(cluster, node, notes, RESENDS);
	/* Late resends still get the outcome of their time. */
	for (json_int_t i = 0; i < RESENDS; i++)
		(void)apply_until_accepted(cluster, &sent[i]);
	(void)wait_in_force(cluster, RESENDS);
}

typedef struct {
	cluster_t *cluster;
	unsigned leader;
} leader_arg_t;

/* A process that names itself; another one may name a leader that is gone. */
static bool leader_found(void *arg)
{
	leader_arg_t *search = arg;

	search->leader = 0;
	for (unsigned node = 1; node <= 3 && search->leader == 0; node++) {
		json_t *answer = cluster_get(search->cluster, node, "/v1/status", NULL);

		if (number_of(answer, "leader") == node && number_of(answer, "node") == node)
			search->leader = node;
		json_decref(answer);
	}
	return search->leader != 0;
}

static unsigned find_leader(cluster_t *cluster)
{
	leader_arg_t search = {.cluster = cluster};

	assert_true(cluster_wait(leader_found, &search, LIMIT_MS));
	return search.leader;
}

/* Guards against an accepted revision that is lost or doubled when the leader dies after or while
 * it accepts, and against a process that falls back to an earlier revision. */
static void test_revisions_survive_leader_kills(void **state)
{
	cluster_t *cluster = *state;
	const char *notes[2 * KILLS + 1];
	apply_t sent[2 * KILLS];
	json_int_t floor[NODES] = {0};
	unsigned sendings = 0;
	uint64_t longest_us = 0;

	for (unsigned i = 0; i < KILLS; i++) {
		unsigned leader = find_leader(cluster);
		apply_t *before = &sent[2 * i];
		apply_t *during = &sent[2 * i + 1];
		uint64_t took_us;

		*before = make_apply(cluster, leader, 2 * (json_int_t)i);
		sendings += apply_until_accepted(cluster, before);
		*during = make_apply(cluster, leader, 2 * (json_int_t)i + 1);
		send_and_leave(during, (unsigned)g_random_int_range(0, 4000));
		cluster_kill_node(cluster, leader);
		during->port = cluster->nodes[leader % NODES].http_port;
		sendings += apply_until_accepted(cluster, during);
		for (unsigned n = 1; n <= NODES; n++) {
			json_int_t seen = n == leader ? 0 : revision_at(cluster, n);

			if (n != leader && seen < floor[n - 1])
				fail_msg("process %u fell from revision %lld to %lld", n,
					 (long long)floor[n - 1], (long long)seen);
		}
		cluster_start_node(cluster, leader);
		took_us = wait_in_force(cluster, during->revision);
		longest_us = MAX(longest_us, took_us);
		for (unsigned n = 0; n < NODES; n++)
			floor[n] = during->revision;
		notes[2 * i + 1] = before->note;
		notes[2 * i + 2] = during->note;
	}
	for (unsigned node = 1; node <= NODES; node++)
		check_history(cluster, node, notes, (json_int_t)2 * KILLS);
	print_message("leader kills %u, revisions %u, sendings %u, in force everywhere after at "
		      "most %.0f ms, with the restart\n",
		      KILLS, 2 * KILLS, sendings, (double)longest_us / 1e3);
}

/* Guards against a process that stays behind, or shows another state, when it returns hundreds of
 * changes later. */
static void test_process_returns_after_hundreds_of_changes(void **state)
{
	cluster_t *cluster = *state;
	apply_t *sent = g_new0(apply_t, CHANGES + 1);
	const char **notes = g_new0(const char *, CHANGES + 2);
	uint64_t longest_us = 0;
	uint64_t returned_us;

	sent[0] = make_apply(cluster, 1, 0);
	(void)apply_until_accepted(cluster, &sent[0]);
	(void)wait_in_force(cluster, 1);
	cluster_kill_node(cluster, 3);
	cluster_kill_node(cluster, 5);
	for (unsigned i = 1; i < CHANGES; i++) {
		sent[i] = make_apply(cluster, i % 2 + 1, i);
		(void)apply_until_accepted(cluster, &sent[i]);
	}
	for (unsigned i = 0; i < CHANGES; i++)
		notes[i + 1] = sent[i].note;
	cluster_start_node(cluster, 3);
	cluster_start_node(cluster, 5);
	returned_us = wait_in_force(cluster, CHANGES);
	for (unsigned node = 1; node <= NODES; node++)
		check_history(cluster, node, notes, CHANGES);
	/* A change is in force everywhere soon after its answer. */
	for (json_int_t i = 0; i < RACES; i++) {
		apply_t apply = make_apply(cluster, (unsigned)(i % NODES) + 1, CHANGES + i);
		uint64_t took_us;

		(void)apply_until_accepted(cluster, &apply);
		took_us = wait_in_force(cluster, CHANGES + i + 1);
		longest_us = MAX(longest_us, took_us);
	}
	print_message("changes %u while away; in force %.0f ms after the restart; later changes "
		      "%u, in force after at most %.0f ms\n",
		      CHANGES, (double)returned_us / 1e3, RACES, (double)longest_us / 1e3);
	g_free(notes);
	g_free(sent);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_races_have_one_winner, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_resend_gets_first_outcome, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_revisions_survive_leader_kills, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_process_returns_after_hundreds_of_changes,
						set_up, tear_down),
	};
	const char *text = getenv("LP_TEST_SEED");

	seed = text == NULL ? g_random_int() : (uint32_t)strtoul(text, NULL, 10);
	g_random_set_seed(seed);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
