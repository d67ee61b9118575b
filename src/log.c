#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "clock.h"

#define FIELDS_MAX 16

static struct {
	bool json;
	bool debug;
	unsigned node_id;
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

/* Fields that GLib adds itself are upper case; the program's own are lower case. */
static bool is_own(const GLogField *field)
{
	return g_ascii_islower(field->key[0]) && field->length == -1;
}

static const char *find(const GLogField *fields, gsize count, const char *key)
{
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, key) == 0)
			return fields[i].value;
	}
	return "";
}

static char *line_json(const char *when, GLogLevelFlags level, const GLogField *fields, gsize count)
{
	json_t *line =
		json_pack("{s:s, s:s, s:s?, s:I, s:s?}", "time", when, "level", level_name(level),
			  "domain", find(fields, count, "GLIB_DOMAIN"), "node",
			  (json_int_t)options.node_id, "message", find(fields, count, "MESSAGE"));
	json_t *own = json_object();
	char *text;

	for (gsize i = 0; i < count; i++) {
		if (is_own(&fields[i]))
			json_object_set_new(own, fields[i].key, json_string(fields[i].value));
	}
	if (json_object_size(own) > 0)
		json_object_set(line, "fields", own);
	json_decref(own);
	/* NULL when a string is not UTF-8. */
	text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);
	json_decref(line);
	return text;
}

static char *line_text(const char *when, GLogLevelFlags level, const GLogField *fields, gsize count)
{
	GString *line = g_string_new(when);

	g_string_append_printf(line, " %-7s %s", level_name(level),
			       find(fields, count, "GLIB_DOMAIN"));
	if (options.node_id != 0)
		g_string_append_printf(line, "[%u]", options.node_id);
	g_string_append_printf(line, ": %s", find(fields, count, "MESSAGE"));
	for (gsize i = 0; i < count; i++) {
		if (is_own(&fields[i]))
			g_string_append_printf(line, " %s=%s", fields[i].key,
					       (const char *)fields[i].value);
	}
	/* Values may come from clients; one event stays one line. */
	g_strdelimit(line->str, "\r\n", ' ');
	return g_string_free(line, FALSE);
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
				   gpointer user_data)
{
	char when[40];
	char *line;

	if ((level & G_LOG_LEVEL_DEBUG) && !options.debug)
		return G_LOG_WRITER_HANDLED;
	format_time(when, sizeof(when));
	line = options.json ? line_json(when, level, fields, count) : NULL;
	if (line == NULL)
		line = line_text(when, level, fields, count);
	/* One call for each line, so that lines of different threads are not mixed. */
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
	/* GLib accepts one writer per process. */
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
