#include <stdlib.h>
#include <string.h>

#include "template_internal.h"

/* The lines from start to end - 1, with lines counted from 0. */
typedef struct {
	size_t start;
	size_t end;
} line_range_t;

static bool is_blank_or_comment(const char *line)
{
	char first = line[strspn(line, " \t\r")];

	return first == '\0' || first == '#';
}

/*
 * Returns the index of the next line after start that is indented by at most indent, or end if
 * there is none. Blank and comment lines are skipped.
 */
static size_t find_block_end(char **lines, size_t start, size_t end, size_t indent)
{
	size_t i = start + 1;

	while (i < end && (is_blank_or_comment(lines[i]) || strspn(lines[i], " ") > indent))
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

static bool find_key(char **lines, line_range_t *range, const char *key)
{
	for (size_t i = range->start; i < range->end; i++) {
		if (is_blank_or_comment(lines[i]) || !starts_with_key(lines[i], key))
			continue;
		range->start = i;
		/*
		 * A list's items may have the same indentation as the list's key, so lines that
		 * start with '-' are part of the block.
		 */
		do
			i = find_block_end(lines, i, range->end, strspn(lines[i], " "));
		while (i < range->end && lines[i][strspn(lines[i], " ")] == '-' &&
		       strspn(lines[i], " ") == strspn(lines[range->start], " "));
		range->end = i;
		return true;
	}
	return false;
}

static bool find_item(char **lines, line_range_t *range, size_t index)
{
	size_t i = range->start + 1;
	size_t indent;

	while (i < range->end && is_blank_or_comment(lines[i]))
		i++;
	if (i >= range->end || lines[i][strspn(lines[i], " ")] != '-')
		return false;
	indent = strspn(lines[i], " ");
	while (index-- > 0) {
		i = find_block_end(lines, i, range->end, indent);
		if (i >= range->end)
			return false;
	}
	range->start = i;
	range->end = find_block_end(lines, i, range->end, indent);
	return true;
}

unsigned template_find_line(const char *text, const char *const *path)
{
	char **lines = g_strsplit(text, "\n", -1);
	line_range_t range = {0, g_strv_length(lines)};
	bool found = true;

	for (size_t i = 0; path[i] != NULL && found; i++) {
		if (g_ascii_isdigit(path[i][0]))
			found = find_item(lines, &range, strtoul(path[i], NULL, 10));
		else
			found = find_key(lines, &range, path[i]);
	}
	g_strfreev(lines);
	return (unsigned)range.start + 1;
}
