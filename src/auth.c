#define G_LOG_DOMAIN "auth"

#include "auth.h"

#include <errno.h>
#include <string.h>

#include <glib.h>

#define BEARER_PREFIX "Bearer "

typedef struct {
	auth_role_t role;
	char *token;
} token_entry_t;

struct auth {
	bool has_file;
	bool has_target_token;
	bool is_loopback; /**< whether the HTTP listener is on a loopback address */
	GPtrArray *tokens;
};

static void token_free(gpointer data)
{
	token_entry_t *token = data;

	g_free(token->token);
	g_free(token);
}

static int parse_role(const char *word, auth_role_t *role)
{
	if (strcmp(word, "read") == 0)
		*role = AUTH_READ;
	else if (strcmp(word, "write") == 0)
		*role = AUTH_WRITE;
	else if (strcmp(word, "target") == 0)
		*role = AUTH_TARGET;
	else
		return -1;
	return 0;
}

/**
 * Adds the token on a line of the token file; skips empty lines and comments.
 * @return 0, or -1 when the line is malformed
 */
static int parse_line(auth_t *auth, char *line)
{
	char **words;
	auth_role_t role;
	token_entry_t *token;
	int result = -1;

	g_strstrip(line);
	if (line[0] == '\0' || line[0] == '#')
		return 0;
	words = g_strsplit_set(line, " \t", 2);
	if (words[0] == NULL || words[1] == NULL || parse_role(words[0], &role) != 0)
		goto out;
	g_strstrip(words[1]);
	/* A bearer token in a request cannot contain white space, so this token could never
	 * match. */
	if (words[1][0] == '\0' || strpbrk(words[1], " \t") != NULL)
		goto out;
	token = g_new0(token_entry_t, 1);
	token->role = role;
	token->token = g_strdup(words[1]);
	g_ptr_array_add(auth->tokens, token);
	auth->has_target_token |= role == AUTH_TARGET;
	result = 0;
out:
	g_strfreev(words);
	return result;
}

auth_t *auth_create(const char *file, bool is_loopback, char *error, size_t error_size)
{
	auth_t *auth = g_new0(auth_t, 1);
	char *text = NULL;
	char **lines = NULL;
	GError *failure = NULL;

	auth->is_loopback = is_loopback;
	auth->tokens = g_ptr_array_new_with_free_func(token_free);
	if (file == NULL)
		return auth;
	auth->has_file = true;
	if (!g_file_get_contents(file, &text, NULL, &failure)) {
		g_snprintf(error, error_size, "token file: %s", failure->message);
		g_error_free(failure);
		goto fail;
	}
	lines = g_strsplit(text, "\n", -1);
	for (unsigned i = 0; lines[i] != NULL; i++) {
		if (parse_line(auth, lines[i]) != 0) {
			g_snprintf(error, error_size, "%s:%u: expected \"read|write|target TOKEN\"",
				   file, i + 1);
			goto fail;
		}
	}
	g_strfreev(lines);
	g_free(text);
	return auth;
fail:
	g_strfreev(lines);
	g_free(text);
	auth_destroy(auth);
	return NULL;
}

void auth_destroy(auth_t *auth)
{
	g_ptr_array_unref(auth->tokens);
	g_free(auth);
}

/**
 * Compares two strings. The time depends only on the length of given, so that response times reveal
 * nothing about the expected token.
 */
static bool equal_constant_time(const char *expected, const char *given)
{
	size_t expected_length = strlen(expected);
	size_t given_length = strlen(given);
	unsigned char difference = expected_length != given_length;

	for (size_t i = 0; i < given_length; i++)
		difference |= (unsigned char)(given[i] ^ expected[i % (expected_length + 1)]);
	return difference == 0;
}

/** Returns the role of a token, or AUTH_NONE for an unknown token. */
static auth_role_t find_role(const auth_t *auth, const char *given)
{
	auth_role_t role = AUTH_NONE;

	for (unsigned i = 0; i < auth->tokens->len; i++) {
		const token_entry_t *token = g_ptr_array_index(auth->tokens, i);

		if (equal_constant_time(token->token, given))
			role = token->role;
	}
	return role;
}

const char *auth_bearer_token(const char *header)
{
	/* The name of the scheme is case-insensitive (RFC 9110, section 11.1). */
	if (header == NULL ||
	    g_ascii_strncasecmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return NULL;
	return header + strlen(BEARER_PREFIX);
}

bool auth_allows(const auth_t *auth, const char *header, auth_role_t needed)
{
	auth_role_t role;

	if (needed == AUTH_NONE || (needed == AUTH_TARGET && !auth->has_target_token))
		return true;
	if (!auth->has_file)
		return auth->is_loopback;
	if (auth_bearer_token(header) == NULL)
		return false;
	role = find_role(auth, auth_bearer_token(header));
	switch (needed) {
	case AUTH_NONE:
		return true;
	case AUTH_TARGET:
		return role == AUTH_TARGET;
	case AUTH_READ:
		return role == AUTH_READ || role == AUTH_WRITE;
	case AUTH_WRITE:
		return role == AUTH_WRITE;
	}
	return false;
}
