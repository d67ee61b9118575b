#include "log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"

#define FIELDS_MAX 16

/* Capacity of the token bucket that limits the rate of log lines: the number of lines in one
 * burst. */
#define BURST_LINES (2.0 * LOG_LINES_PER_S)

static struct {
	bool json;
	bool debug;
	unsigned node_id;
	GLogLevelFlags min_level; /* least important level that is logged; 0 for all levels */
	char machine_name[64];	  /* machine name in the JSON lines on standard output; empty when
				     lines are written to standard error */
	double tokens;		  /* tokens in the bucket of the rate limit */
	uint64_t refilled_us;	  /* time at which tokens were last added to the bucket */
	uint64_t dropped_lines;
} options;

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "fatal";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & G_LOG_LEVEL_MESSAGE)
		return "notice";
	return level & G_LOG_LEVEL_INFO ? "info" : "debug";
}

static void format_time(char *out, size_t size)
{
	uint64_t wall_ms = clock_wall_ms();
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm tm;
	char date[32];

	gmtime_r(&seconds, &tm);
	(void)strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	g_snprintf(out, size, "%s.%03uZ", date, (unsigned)(wall_ms % 1000));
}

/* Whether a field was passed to log_event(): the names of such fields are in lower case, those of
 * the fields that GLib adds are in upper case. */
static bool is_event_field(const GLogField *field)
{
	return g_ascii_islower(field->key[0]) && field->length == -1;
}

static const char *find_field(const GLogField *fields, gsize count, const char *key)
{
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return "";
}

/* Formats a log line as JSON, with the event's fields in an object "fields". Returns NULL when a
 * string is not valid UTF-8. The caller frees the line with free(). */
static char *format_json(const char *when, GLogLevelFlags level, const GLogField *fields,
			 gsize count)
{
	json_t *line = json_pack(
		"{s:s, s:s, s:s?, s:I, s:s?}", "time", when, "level", level_name(level), "domain",
		find_field(fields, count, "GLIB_DOMAIN"), "node", (json_int_t)options.node_id,
		"message", find_field(fields, count, "MESSAGE"));
	json_t *event_fields = json_object();
	char *text;

	for (gsize i = 0; i < count; i++) {
		if (is_event_field(&fields[i]))
			json_object_set_new(event_fields, fields[i].key,
					    json_string(fields[i].value));
	}
	if (json_object_size(event_fields) > 0)
		json_object_set(line, "fields", event_fields);
	json_decref(event_fields);
	/* json_dumps() returns NULL when a string is not valid UTF-8; write_line() then falls back
	 * to the text format. */
	text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);
	json_decref(line);
	return text;
}

static char *format_text(const char *when, GLogLevelFlags level, const GLogField *fields,
			 gsize count)
{
	GString *line = g_string_new(when);

	g_string_append_printf(line, " %-7s %s", level_name(level),
			       find_field(fields, count, "GLIB_DOMAIN"));
	if (options.node_id != 0)
		g_string_append_printf(line, "[%u]", options.node_id);
	g_string_append_printf(line, ": %s", find_field(fields, count, "MESSAGE"));
	for (gsize i = 0; i < count; i++) {
		if (is_event_field(&fields[i]))
			g_string_append_printf(line, " %s=%s", fields[i].key,
					       (const char *)fields[i].value);
	}
	/* Values may come from clients, so line breaks are replaced: one event is always one
	 * line. */
	g_strdelimit(line->str, "\r\n", ' ');
	return g_string_free(line, FALSE);
}

/* Takes a token from the bucket of the rate limit. When the bucket is empty, only info and debug
 * lines are dropped.
 * @return false when the line has to be dropped */
static bool take_rate_token(GLogLevelFlags level)
{
	uint64_t now_us = clock_now_us();

	options.tokens += (double)(now_us - options.refilled_us) * LOG_LINES_PER_S / US_PER_S;
	options.tokens = MIN(options.tokens, BURST_LINES);
	options.refilled_us = now_us;
	if (options.tokens < 1 && (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)))
		return false;
	options.tokens -= 1;
	return true;
}

/* Returns a JSON string, or a placeholder when the text is not valid UTF-8. */
static json_t *json_string_or_placeholder(const char *text)
{
	json_t *value = json_string(text);

	return value != NULL ? value : json_string("(not UTF-8)");
}

/* Formats a log line as JSON, with the event's fields at the top level and the number of lines
 * dropped before it. */
static char *format_stdout_json(const char *when, GLogLevelFlags level, const GLogField *fields,
				gsize count)
{
	json_t *line = json_object();
	char *text;

	json_object_set_new(line, "time", json_string(when));
	json_object_set_new(line, "level", json_string(level_name(level)));
	json_object_set_new(line, "node", json_string(options.machine_name));
	json_object_set_new(line, "domain", json_string(find_field(fields, count, "GLIB_DOMAIN")));
	json_object_set_new(line, "event",
			    json_string_or_placeholder(find_field(fields, count, "MESSAGE")));
	for (gsize i = 0; i < count; i++) {
		if (is_event_field(&fields[i]))
			json_object_set_new(line, fields[i].key,
					    json_string_or_placeholder(fields[i].value));
	}
	if (options.dropped_lines > 0)
		json_object_set_new(line, "dropped",
				    json_integer((json_int_t)options.dropped_lines));
	text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);
	json_decref(line);
	return text;
}

/* Writes a line to standard output, which is non-blocking: lines are dropped when the reader is
 * slow, instead of blocking the process. */
static void write_stdout(GLogLevelFlags level, const GLogField *fields, gsize count)
{
	char when[40];
	g_autofree char *text = NULL;
	size_t length;

	if (!take_rate_token(level)) {
		options.dropped_lines++;
		return;
	}
	format_time(when, sizeof(when));
	text = format_stdout_json(when, level, fields, count);
	length = strlen(text);
	text[length] = '\n';
	if (write(STDOUT_FILENO, text, length + 1) == (ssize_t)(length + 1))
		options.dropped_lines = 0;
	else
		options.dropped_lines++;
}

void log_set_min_level(GLogLevelFlags level)
{
	options.min_level = level;
}

void log_init_stdout(const char *machine_name)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_init(true, false, 0);
	g_strlcpy(options.machine_name, machine_name, sizeof(options.machine_name));
	options.tokens = BURST_LINES;
	options.refilled_us = clock_now_us();
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
				   gpointer user_data)
{
	char when[40];
	char *line;

	if ((level & G_LOG_LEVEL_DEBUG) && !options.debug)
		return G_LOG_WRITER_HANDLED;
	/* In GLogLevelFlags, a less important level has a higher value. */
	if (options.min_level != 0 && (level & G_LOG_LEVEL_MASK) > options.min_level)
		return G_LOG_WRITER_HANDLED;
	if (options.machine_name[0] != '\0') {
		write_stdout(level, fields, count);
		return G_LOG_WRITER_HANDLED;
	}
	format_time(when, sizeof(when));
	line = options.json ? format_json(when, level, fields, count) : NULL;
	if (line == NULL)
		line = format_text(when, level, fields, count);
	/* The line is written by a single call, so that lines of different threads do not
	 * interleave. */
	(void)fprintf(stderr, "%s\n", line);
	free(line);
	return G_LOG_WRITER_HANDLED;
}

void log_init(bool json, bool debug, unsigned node_id)
{
	static bool installed;

	options.json = json;
	options.debug = debug;
	options.node_id = node_id;
	/* GLib allows the writer function to be set only once per process. */
	if (!installed)
		g_log_set_writer_func(write_line, NULL, NULL);
	installed = true;
}

void log_event_full(const char *domain, GLogLevelFlags level, const char *const *fields,
		    const char *format, ...)
{
	GLogField out[FIELDS_MAX + 2];
	gsize count = 0;
	va_list args;
	char *message;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	out[count++] = (GLogField){.key = "GLIB_DOMAIN", .value = domain, .length = -1};
	out[count++] = (GLogField){.key = "MESSAGE", .value = message, .length = -1};
	for (size_t i = 0; fields != NULL && fields[i] != NULL && count < G_N_ELEMENTS(out); i += 2)
		out[count++] = (GLogField){
			.key = fields[i],
			.value = fields[i + 1] == NULL ? "" : fields[i + 1],
			.length = -1,
		};
	g_log_structured_array(level, out, count);
	g_free(message);
}
