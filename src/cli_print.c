#define G_LOG_DOMAIN "cli"

#include "cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#define LINE_WIDTH 80
#define COLUMNS_MAX 16
/* Minimum width of a narrowed table column. A column is not narrowed to less than its title. */
#define COLUMN_WIDTH_MIN 6

void cli_error(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	(void)fputs("lavenderpass: ", stderr);
	(void)vfprintf(stderr, format, args);
	(void)fputc('\n', stderr);
	va_end(args);
}

const char *cli_json_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text == NULL ? "" : text;
}

json_int_t cli_json_number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

void cli_format_time(json_int_t wall_ms, char *out, size_t size)
{
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm tm;

	out[0] = '\0';
	if (wall_ms != 0 && gmtime_r(&seconds, &tm) != NULL)
		(void)strftime(out, size, "%Y-%m-%d %H:%M:%SZ", &tm);
}

void cli_print_json(const json_t *value)
{
	(void)json_dumpf(value, stdout, JSON_INDENT(2));
	(void)putchar('\n');
}

/* Formats a table cell. Values of keys that end in _ms are printed as wall-clock times. */
static char *format_cell(const json_t *row, const char *key)
{
	const json_t *value = json_object_get(row, key);
	char when[40];

	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (!json_is_integer(value))
		return g_strdup("");
	if (!g_str_has_suffix(key, "_ms"))
		return g_strdup_printf("%" JSON_INTEGER_FORMAT, json_integer_value(value));
	cli_format_time(json_integer_value(value), when, sizeof(when));
	return g_strdup(when);
}

char *cli_truncate(const char *text, size_t width)
{
	char *head;
	char *truncated;

	if ((size_t)g_utf8_strlen(text, -1) <= width)
		return g_strdup(text);
	head = g_utf8_substring(text, 0, (glong)width - 3);
	truncated = g_strconcat(head, "...", NULL);
	g_free(head);
	return truncated;
}

static void print_row(char *const *cells, const size_t *widths, size_t count)
{
	GString *line = g_string_new(NULL);

	for (size_t i = 0; i < count; i++) {
		char *text = cli_truncate(cells[i], widths[i]);
		size_t length = (size_t)g_utf8_strlen(text, -1);

		g_string_append_printf(line, "%s%*s", text, (int)(widths[i] - length + 2), "");
		g_free(text);
	}
	while (line->len > 0 && line->str[line->len - 1] == ' ')
		g_string_truncate(line, line->len - 1);
	(void)puts(line->str);
	g_string_free(line, TRUE);
}

/* Narrows the widest columns until a row fits on a line. The first column keeps its width, because
 * it shows the ids that operators pass to other commands. */
static void shrink_columns(size_t *widths, const cli_column_t *columns, size_t count)
{
	size_t row_width = 2 * (count - 1);

	for (size_t c = 0; c < count; c++)
		row_width += widths[c];
	while (row_width > LINE_WIDTH) {
		size_t widest = 0;

		for (size_t c = 1; c < count; c++) {
			if (widths[c] > MAX(strlen(columns[c].title), COLUMN_WIDTH_MIN) &&
			    (widest == 0 || widths[c] >= widths[widest]))
				widest = c;
		}
		if (widest == 0)
			return;
		widths[widest]--;
		row_width--;
	}
}

void cli_print_table(const json_t *rows, const cli_column_t *columns, size_t count)
{
	size_t row_count = json_array_size(rows) + 1;
	char **cells = g_new0(char *, row_count *count + 1);
	size_t widths[COLUMNS_MAX] = {0};

	for (size_t r = 0; r < row_count; r++) {
		for (size_t c = 0; c < count; c++) {
			char *text =
				r == 0 ? g_strdup(columns[c].title)
				       : format_cell(json_array_get(rows, r - 1), columns[c].key);

			cells[r * count + c] = text;
			widths[c] = MAX(widths[c], (size_t)g_utf8_strlen(text, -1));
		}
	}
	shrink_columns(widths, columns, count);
	for (size_t r = 0; r < row_count; r++)
		print_row(cells + r * count, widths, count);
	g_strfreev(cells);
}

/* Prints a word, broken into several lines if it is longer than a line. @return the column after
 * the word */
static size_t print_word(const char *word, size_t column, unsigned indent)
{
	for (const char *c = word; *c != '\0'; c = g_utf8_next_char(c)) {
		if (column == LINE_WIDTH) {
			(void)printf("\n%*s", (int)indent, "");
			column = indent;
		}
		(void)printf("%.*s", (int)(g_utf8_next_char(c) - c), c);
		column++;
	}
	return column;
}

void cli_print_wrapped(const char *prefix, unsigned indent, const char *text)
{
	char **words = g_strsplit_set(text, " \n\t", 0);
	size_t column = (size_t)g_utf8_strlen(prefix, -1);
	bool at_line_start = true;

	(void)fputs(prefix, stdout);
	for (size_t i = 0; words[i] != NULL; i++) {
		size_t length = (size_t)g_utf8_strlen(words[i], -1);

		if (length == 0)
			continue;
		if (!at_line_start && column + 1 + length > LINE_WIDTH) {
			(void)printf("\n%*s", (int)indent, "");
			column = indent;
			at_line_start = true;
		}
		if (!at_line_start) {
			(void)putchar(' ');
			column++;
		}
		column = print_word(words[i], column, indent);
		at_line_start = false;
	}
	(void)putchar('\n');
	g_strfreev(words);
}
