#include <stdlib.h>
#include <string.h>

#include "template_internal.h"

/* A range of lines, from 0, end exclusive. */
typedef struct {
	size_t start;
	size_t end;
} block_t;

static bool is_blank(const char *line)
{
	char first = line[strspn(line, " \t\r")];

	return first == '\0' || first == '#';
}

/* The end of the block that starts at a line: the next line that is indented no deeper. */
static size_t block_end(char **lines, size_t start, size_t end, size_t indent)
{
	size_t i = start + 1;

	while (i < end && (is_blank(lines[i]) || strspn(lines[i], " ") > indent))
		i++;
	return i;
}

static bool starts_with_key(const char *line, const char *key)
{
	size_t length = strlen(key);
	const char *start = line + strspn(line, " ");

	if (start[0] == '-')
		start += 1 + strspn(start + 1, " ");
	return strncmp(start, key, length) == 0 && start[length] == ':';
}

static bool find_key(char **lines, block_t *block, const char *key)
{
	for (size_t i = block->start; i < block->end; i++) {
		if (is_blank(lines[i]) || !starts_with_key(lines[i], key))
			continue;
		block->start = i;
		/* A list may be indented as deep as its key. */
		do
			i = block_end(lines, i, block->end, strspn(lines[i], " "));
		while (i < block->end && lines[i][strspn(lines[i], " ")] == '-' &&
		       strspn(lines[i], " ") == strspn(lines[block->start], " "));
		block->end = i;
		return true;
	}
	return false;
}

static bool find_item(char **lines, block_t *block, size_t number)
{
	size_t i = block->start + 1;
	size_t indent;

	while (i < block->end && is_blank(lines[i]))
		i++;
	if (i >= block->end || lines[i][strspn(lines[i], " ")] != '-')
		return false;
	indent = strspn(lines[i], " ");
	while (number-- > 0) {
		i = block_end(lines, i, block->end, indent);
		if (i >= block->end)
			return false;
	}
	block->start = i;
	block->end = block_end(lines, i, block->end, indent);
	return true;
}

unsigned template_line(const char *text, const char *const *path)
{
	char **lines = g_strsplit(text, "\n", -1);
	block_t block = {0, g_strv_length(lines)};
	bool found = true;

	for (size_t i = 0; path[i] != NULL && found; i++) {
		if (g_ascii_isdigit(path[i][0]))
			found = find_item(lines, &block, strtoul(path[i], NULL, 10));
		else
			found = find_key(lines, &block, path[i]);
	}
	g_strfreev(lines);
	return (unsigned)block.start + 1;
}
