#include "json_lenient.h"

#include <stdbool.h>
#include <string.h>

/* Levels of the document that are read value by value: the document, its lists, their entries. */
#define LEVELS 3

typedef struct {
	const char *at;
	const char *end;
} span_t;

static bool is_one_of(char c, const char *set)
{
	return c != '\0' && strchr(set, c) != NULL;
}

static void skip_space(span_t *span)
{
	while (span->at < span->end && is_one_of(*span->at, " \t\r\n"))
		span->at++;
}

/* Moves behind a string, whose opening quote is at the beginning. @return false: it has no end */
static bool skip_string(span_t *span)
{
	for (span->at++; span->at < span->end; span->at++) {
		if (*span->at == '\\' && span->at + 1 < span->end)
			span->at++;
		else if (*span->at == '"')
			break;
	}
	if (span->at >= span->end)
		return false;
	span->at++;
	return true;
}

/* Moves behind the brackets at the beginning and what they enclose, whatever its depth. @return
 * false: they have no end */
static bool skip_brackets(span_t *span)
{
	size_t depth = 0;

	while (span->at < span->end) {
		char c = *span->at;

		if (c == '"') {
			if (!skip_string(span))
				return false;
			continue;
		}
		span->at++;
		if (c == '[' || c == '{')
			depth++;
		else if ((c == ']' || c == '}') && --depth == 0)
			return true;
	}
	return false;
}

/* Moves behind the value at the beginning. @return false: there is none, or it has no end */
static bool skip_value(span_t *span)
{
	const char *start = span->at;

	if (span->at >= span->end)
		return false;
	if (*span->at == '"')
		return skip_string(span);
	if (*span->at == '[' || *span->at == '{')
		return skip_brackets(span);
	while (span->at < span->end && !is_one_of(*span->at, ",]} \t\r\n"))
		span->at++;
	return span->at > start;
}

static json_t *parse(span_t text)
{
	return json_loadb(text.at, (size_t)(text.end - text.at), JSON_DECODE_ANY, NULL);
}

/* Takes the value at the beginning. @return false: there is none */
static bool take_value(span_t *span, span_t *value)
{
	skip_space(span);
	value->at = span->at;
	if (!skip_value(span))
		return false;
	value->end = span->at;
	skip_space(span);
	return true;
}

/* Takes the separator behind a value. @return false: neither a comma nor the closing bracket */
static bool take_separator(span_t *span, char closing, bool *closed)
{
	if (span->at >= span->end || (*span->at != ',' && *span->at != closing))
		return false;
	*closed = *span->at == closing;
	span->at++;
	return true;
}

/* Moves behind the opening bracket. @return true when the closing one follows */
static bool open_is_empty(span_t *span, char closing)
{
	span->at++;
	skip_space(span);
	return span->at < span->end && *span->at == closing;
}

static json_t *read_value(span_t text, unsigned levels, size_t *refused);

static json_t *read_array(span_t text, unsigned levels, size_t *refused)
{
	json_t *array = json_array();
	bool closed = open_is_empty(&text, ']');
	span_t value;

	while (!closed) {
		json_t *element;

		if (!take_value(&text, &value) || !take_separator(&text, ']', &closed)) {
			json_decref(array);
			return NULL;
		}
		element = read_value(value, levels, refused);
		json_array_append_new(array, element != NULL ? element : json_null());
	}
	return array;
}

static json_t *read_object(span_t text, unsigned levels, size_t *refused)
{
	json_t *object = json_object();
	bool closed = open_is_empty(&text, '}');
	span_t key_text = {0};
	span_t value;

	while (!closed) {
		json_t *key;
		json_t *member;

		skip_space(&text);
		key_text.at = text.at;
		if (text.at >= text.end || *text.at != '"' || !skip_string(&text))
			goto fail;
		key_text.end = text.at;
		skip_space(&text);
		if (text.at >= text.end || *text.at++ != ':')
			goto fail;
		if (!take_value(&text, &value) || !take_separator(&text, '}', &closed))
			goto fail;
		key = parse(key_text);
		member = read_value(value, levels, refused);
		if (key != NULL && member != NULL)
			json_object_set(object, json_string_value(key), member);
		else if (key == NULL)
			(*refused)++;
		json_decref(key);
		json_decref(member);
	}
	return object;
fail:
	json_decref(object);
	return NULL;
}

/* @return NULL when the value is refused and counted */
static json_t *read_value(span_t text, unsigned levels, size_t *refused)
{
	json_t *value = parse(text);

	if (value != NULL)
		return value;
	if (levels > 0 && *text.at == '[')
		value = read_array(text, levels - 1, refused);
	else if (levels > 0 && *text.at == '{')
		value = read_object(text, levels - 1, refused);
	if (value == NULL)
		(*refused)++;
	return value;
}

json_t *json_load_lenient(const char *text, size_t length, size_t *refused)
{
	span_t span = {.at = text, .end = text + length};
	span_t value;

	*refused = 0;
	if (!take_value(&span, &value) || span.at != span.end)
		return NULL;
	return read_value(value, LEVELS, refused);
}
