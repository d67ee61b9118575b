#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "settings.h"

#define BASE                                                               \
	"cluster: c\nnode: 1\ndata_centre: a\nlisten_http: 127.0.0.1:80\n" \
	"listen_peer: '[::1]:81'\ndata_dir: /tmp\nvoters: [1]\n"           \
	"peers:\n  - {node: 2, address: '127.0.0.1:82', data_centre: b}\n"

static char error[512];

/* Writes text to a settings file and loads that file. @return result of settings_load() */
static int load(settings_t *settings, const char *text)
{
	char *file = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &file, NULL);
	int rc;

	assert_true(fd >= 0);
	assert_true(g_file_set_contents(file, text, -1, NULL));
	rc = settings_load(settings, file, error, sizeof(error));
	close(fd);
	unlink(file);
	g_free(file);
	return rc;
}

/* Guards against defaults that differ from the documented ones. */
static void test_defaults(void **state)
{
	settings_t settings;

	assert_int_equal(load(&settings, BASE), 0);
	assert_int_equal(settings.timing.lease_ms, 600);
	assert_int_equal(settings.limits.body_bytes, 1 << 20);
	assert_int_equal(settings.threads, 2);
	assert_string_equal(settings.advertise_http, "127.0.0.1:80");
	assert_false(settings.log_debug);
	settings_finish(&settings);
}

/* Guards against an example file that fails to load. */
static void test_example_loads(void **state)
{
	settings_t settings;

	assert_int_equal(
		settings_load(&settings, "examples/lavenderpass.yaml", error, sizeof(error)), 0);
	assert_int_equal(settings.voters_count, 3);
	assert_string_equal(settings.peers[2].data_centre, "muscat-c");
	settings_finish(&settings);
}

/* Guards against invalid settings that are accepted, and error messages without line, key or
 * expected value. */
static void test_errors_name_line_and_key(void **state)
{
	static const char *const cases[][2] = {
		{BASE "nodes: 1\n", ":10: nodes: unknown key"},
		{BASE "timing:\n  lease: 1\n", ":11: lease: unknown key"},
		{BASE "threads: two\n", ":10: threads: Load: Invalid"},
		{BASE "threads: 0\n",
		 ":10: threads: out of range; expected a whole number from 1 to 64"},
		{BASE "threads: 2\nthreads: 3\n", ":11: threads: repeated key"},
		{BASE "log_debug: yes please\n", ":10: log_debug: "},
		{BASE "log_format: xml\n", "expected text or json"},
		{BASE "timing: 5\n", ":10: timing: "},
		{BASE "timing:\n  lease_ms: 800\n",
		 ":11: lease_ms: lease_ms has to be below election_ms"},
		{BASE "timing:\n  election_ms: 500\n",
		 ":11: election_ms: lease_ms has to be below"},
		{BASE "timing:\n  lost_ms: 4000\n",
		 ":11: lost_ms: lost_ms has to be above routing"},
		{BASE "timing:\n  heartbeat_ms: 600\n",
		 ":11: heartbeat_ms: heartbeat_ms has to be below lease_ms"},
		{BASE "advertise_http: 127.0.0.1\n", ":10: advertise_http: not an address"},
		{BASE "platform: ftp://x\n", ":10: platform: not a URL"},
		{"peers:\n  - {node: 9, address: '127.0.0.1:1', data_centre: a}\n"
		 "  - {node: 8, address: '127.0.0.1', data_centre: a}\n"
		 "cluster: c\nnode: 1\ndata_centre: a\nlisten_http: 127.0.0.1:80\n"
		 "listen_peer: 127.0.0.1:81\nvoters: [9]\n",
		 ":3: address: not an address; expected IP:port"},
		{"peers: [1]\n", ":1: peers: "},
		{"cluster: c\n", "node: missing key; expected a whole number"},
		{"", "no settings; expected a YAML mapping"},
		{"cluster: [\n", ":1: cluster: "},
	};
	settings_t settings;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		assert_int_equal(load(&settings, cases[i][0]), -1);
		if (strstr(error, cases[i][1]) == NULL)
			fail_msg("case %zu: %s", i, error);
	}
}

/* Guards against a voter without a data directory, and against a voter that is not a peer. */
static void test_voters_need_disks_and_peers(void **state)
{
	settings_t settings;
	GString *text = g_string_new(BASE);

	g_string_replace(text, "voters: [1]", "voters: [1, 2, 3]", 0);
	assert_int_equal(load(&settings, text->str), -1);
	assert_non_null(strstr(error, ":7: voters: a node that is not a peer"));
	g_string_assign(text, BASE);
	g_string_replace(text, "data_dir: /tmp\n", "", 0);
	assert_int_equal(load(&settings, text->str), -1);
	assert_non_null(strstr(error, ":6: voters: this node is a voter but has no data_dir"));
	g_string_free(text, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_defaults),
		cmocka_unit_test(test_example_loads),
		cmocka_unit_test(test_errors_name_line_and_key),
		cmocka_unit_test(test_voters_need_disks_and_peers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
