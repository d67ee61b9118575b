#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "auth.h"

typedef struct {
	char file[32];
	char error[256];
} fixture_t;

static int set_up(void **state)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	g_strlcpy(fixture->file, "/tmp/auth-XXXXXX", sizeof(fixture->file));
	close(g_mkstemp(fixture->file));
	*state = fixture;
	return 0;
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	unlink(fixture->file);
	g_free(fixture);
	return 0;
}

static auth_t *create(fixture_t *fixture, const char *text)
{
	assert_true(g_file_set_contents(fixture->file, text, -1, NULL));
	fixture->error[0] = '\0';
	return auth_create(fixture->file, true, fixture->error, sizeof(fixture->error));
}

/* Guards against roles that allow more or less than documented. */
static void test_roles_allow_only_their_requests(void **state)
{
	static const struct {
		const char *header;
		bool target;
		bool read;
		bool write;
	} cases[] = {
		{"Bearer r-token", false, true, false},
		{"Bearer w-token", false, true, true},
		{"Bearer t-token", true, false, false},
		{"Bearer unknown", false, false, false},
		{"Bearer ", false, false, false},
		{"Bearer", false, false, false},
		{"w-token", false, false, false},
		{"Basic w-token", false, false, false},
		{"Bearer  w-token", false, false, false},
		{"Bearer w-token ", false, false, false},
		{"", false, false, false},
		{NULL, false, false, false},
	};
	auth_t *auth = create(*state, "# tokens\n\nread r-token\n  write\t w-token  \r\n"
				      "target t-token\n");

	assert_non_null(auth);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		assert_true(auth_allows(auth, cases[i].header, AUTH_NONE));
		if (auth_allows(auth, cases[i].header, AUTH_TARGET) != cases[i].target ||
		    auth_allows(auth, cases[i].header, AUTH_READ) != cases[i].read ||
		    auth_allows(auth, cases[i].header, AUTH_WRITE) != cases[i].write)
			fail_msg("wrong permissions of \"%s\"", cases[i].header);
	}
	auth_destroy(auth);
}

/* Guards against a comparison that stops at the shorter text or at the first difference:
 * prefixes, extensions and tokens with one changed byte have to be refused. */
static void test_only_the_whole_token_matches(void **state)
{
	static const char token[] = "0123456789abcdef";
	auth_t *auth = create(*state, "write 0123456789abcdef\n");
	size_t length = strlen(token);

	assert_non_null(auth);
	for (size_t i = 0; i < length; i++) {
		char *prefix = g_strdup_printf("Bearer %.*s", (int)i, token);
		char *changed = g_strdup_printf("Bearer %s", token);

		changed[strlen("Bearer ") + i] ^= 1;
		assert_false(auth_allows(auth, prefix, AUTH_READ));
		assert_false(auth_allows(auth, changed, AUTH_READ));
		g_free(changed);
		g_free(prefix);
	}
	for (size_t i = 1; i <= 3 * length; i++) {
		/* The extension repeats the token: a comparison that wraps around at the token's
		 * end could accept it. */
		char *longer = g_strdup_printf("Bearer %s%.*s", token, (int)i,
					       "0123456789abcdef0123456789abcdef0123456789abcdef");

		assert_false(auth_allows(auth, longer, AUTH_READ));
		g_free(longer);
	}
	assert_true(auth_allows(auth, "Bearer 0123456789abcdef", AUTH_WRITE));
	auth_destroy(auth);
}

/* Guards against skipping a malformed line, which could lock operators out or leave
 * announcements open unnoticed. */
static void test_malformed_lines(void **state)
{
	static const struct {
		const char *text;
		unsigned line;
	} cases[] = {
		{"read\n", 1},
		{"read \n", 1},
		{"admin token\n", 1},
		{"Read token\n", 1},
		{"# comment\n\nread good\nwritetoken\n", 4},
		{"read two words\n", 1},
		{"read good # comment\n", 1},
	};
	fixture_t *fixture = *state;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *place = g_strdup_printf("%s:%u: expected", fixture->file, cases[i].line);

		if (create(fixture, cases[i].text) != NULL)
			fail_msg("accepted: %s", cases[i].text);
		if (!g_str_has_prefix(fixture->error, place))
			fail_msg("\"%s\" does not start with \"%s\"", fixture->error, place);
		g_free(place);
	}
	assert_null(
		auth_create("/nonexistent/tokens", true, fixture->error, sizeof(fixture->error)));
	assert_non_null(strstr(fixture->error, "/nonexistent/tokens"));
}

/* Guards against an administration API that is open to other machines when there is no token
 * file. */
static void test_without_file_only_loopback_is_open(void **state)
{
	fixture_t *fixture = *state;

	for (int loopback = 0; loopback <= 1; loopback++) {
		auth_t *auth = auth_create(NULL, loopback, fixture->error, sizeof(fixture->error));

		assert_non_null(auth);
		assert_true(auth_allows(auth, NULL, AUTH_TARGET));
		assert_int_equal(auth_allows(auth, NULL, AUTH_READ), loopback);
		assert_int_equal(auth_allows(auth, NULL, AUTH_WRITE), loopback);
		auth_destroy(auth);
	}
}

/* Guards against refusing announcements when the token file has tokens for operators only. */
static void test_announcements_without_target_token(void **state)
{
	auth_t *auth = create(*state, "read r-token\n");

	assert_non_null(auth);
	assert_true(auth_allows(auth, NULL, AUTH_TARGET));
	assert_false(auth_allows(auth, NULL, AUTH_READ));
	assert_false(auth_allows(auth, NULL, AUTH_WRITE));
	auth_destroy(auth);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_roles_allow_only_their_requests, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_only_the_whole_token_matches, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_malformed_lines, set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_without_file_only_loopback_is_open, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_announcements_without_target_token, set_up,
						tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
