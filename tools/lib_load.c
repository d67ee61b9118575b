#include "lib_load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"

/* Arrival rates during a surge and in the low phase after it, as multiples of the class's normal
 * rate. */
#define SURGE_FACTOR 5.0
#define SURGE_LOW_FACTOR 0.05

bool load_class_parse(load_class_t *class, const char *text)
{
	char **fields = g_strsplit(text, ":", 6);
	unsigned field_count = g_strv_length(fields);
	char *end = "";
	bool ok = field_count >= 4 && fields[1][0] == '/' &&
		  (strcmp(fields[3], "once") == 0 || strcmp(fields[3], "repeatable") == 0);

	if (ok) {
		*class = (load_class_t){
			.name = g_strdup(fields[0]),
			.path = g_strdup(fields[1]),
			.rate_per_s = g_ascii_strtod(fields[2], &end),
			.repeatable = strcmp(fields[3], "repeatable") == 0,
			.body_bytes = field_count > 4 ? strtoul(fields[4], NULL, 10) : 64,
			.key_data_centre = field_count > 5 ? g_strdup(fields[5]) : NULL,
			.latency_us = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		};
		ok = *end == '\0' && class->rate_per_s > 0;
	}
	g_strfreev(fields);
	return ok;
}

double load_rate_per_s(const load_options_t *options, const load_class_t *class, uint64_t offset_us)
{
	double at_s = (double)(int64_t)(offset_us - class->surge_offset_us) / US_PER_S;
	double period_s = options->surge_start_s + options->surge_length_s + options->surge_low_s;

	if (options->surge_start_s < 0 || at_s < 0)
		return class->rate_per_s;
	at_s = fmod(at_s, period_s);
	if (at_s < options->surge_start_s)
		return class->rate_per_s;
	if (at_s < options->surge_start_s + options->surge_length_s)
		return class->rate_per_s * SURGE_FACTOR;
	return class->rate_per_s * SURGE_LOW_FACTOR;
}

/* Draws the next arrival by thinning: arrivals are drawn at the maximum rate, and each is kept with
 * probability rate / max_rate. This is exact for a rate that changes in steps. */
void load_draw_next_arrival(const load_options_t *options, load_class_t *class, uint64_t start_us)
{
	bool has_surges = options->surge_start_s >= 0;
	double max_rate = class->rate_per_s * (has_surges ? SURGE_FACTOR : 1);
	double at_us = (double)(class->next_arrival_us - start_us);

	do {
		at_us += -log(1.0 - g_rand_double(class->rand)) / max_rate * US_PER_S;
	} while (g_rand_double(class->rand) * max_rate >=
		 load_rate_per_s(options, class, (uint64_t)at_us));
	class->next_arrival_us = start_us + (uint64_t)at_us;
}

const char *load_outcome_name(load_outcome_t outcome)
{
	switch (outcome) {
	case LOAD_RAN:
		return "ran";
	case LOAD_NOT_RUN:
		return "not_run";
	case LOAD_UNKNOWN:
		return "unknown";
	case LOAD_LOST:
		return "lost";
	case LOAD_NOT_SENT:
		return "not_sent";
	case LOAD_OUTCOME_COUNT:
		break;
	}
	return "";
}

void load_journal_write(FILE *journal, const load_event_t *event)
{
	json_t *line;

	if (journal == NULL)
		return;
	line = json_pack("{s:s, s:s, s:s*, s:s, s:s, s:i, s:I, s:I}", "event", event->event, "id",
			 event->id, "key", event->key, "class", event->class_name, "entry",
			 event->entry, "attempt", (int)event->attempt, "due_us",
			 (json_int_t)event->due_us, "sent_us", (json_int_t)event->sent_us);
	if (event->completed_us != 0)
		json_object_update_new(
			line, json_pack("{s:I, s:I, s:s*, s:s*, s:s*, s:s*, s:s*}", "answer_us",
					(json_int_t)event->completed_us, "status",
					(json_int_t)event->status, "outcome", event->outcome,
					"request_id", event->request_id, "body", event->body,
					"error", event->error, "result", event->result));
	if (json_dumpf(line, journal, JSON_COMPACT) == 0)
		(void)fputc('\n', journal);
	json_decref(line);
}

static gint compare_uint32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Returns a percentile of sorted latencies by the nearest-rank method; 0 if there are none.
 * @param fraction 0 to 1, such as 0.99 */
static double percentile_ms(const GArray *sorted, double fraction)
{
	size_t rank;

	if (sorted->len == 0)
		return 0;
	rank = (size_t)ceil(fraction * sorted->len);
	return g_array_index(sorted, uint32_t, rank == 0 ? 0 : rank - 1) / 1000.0;
}

static json_t *class_summary(load_class_t *class)
{
	GArray *latency = class->latency_us;

	g_array_sort(latency, compare_uint32);
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f}", "invoked",
		(json_int_t) class->request_count, "resent", (json_int_t) class->resent_count,
		"ran", (json_int_t) class->outcome_count[LOAD_RAN], "not_run",
		(json_int_t) class->outcome_count[LOAD_NOT_RUN], "unknown",
		(json_int_t) class->outcome_count[LOAD_UNKNOWN], "lost",
		(json_int_t) class->outcome_count[LOAD_LOST], "not_sent",
		(json_int_t) class->outcome_count[LOAD_NOT_SENT], "other_body",
		(json_int_t) class->wrong_bodies, "failed_status",
		(json_int_t) class->server_errors, "p50_ms", percentile_ms(latency, 0.5), "p90_ms",
		percentile_ms(latency, 0.9), "p99_ms", percentile_ms(latency, 0.99), "p999_ms",
		percentile_ms(latency, 0.999), "max_ms", percentile_ms(latency, 1));
}

void load_print_summary(const load_options_t *options, double elapsed_s)
{
	json_t *classes = json_object();
	json_t *summary;

	for (size_t i = 0; i < options->class_count; i++)
		json_object_set_new(classes, options->classes[i].name,
				    class_summary(&options->classes[i]));
	summary = json_pack("{s:I, s:f, s:o}", "seed", (json_int_t)options->seed, "elapsed_s",
			    elapsed_s, "classes", classes);
	(void)json_dumpf(summary, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	(void)puts("");
	json_decref(summary);
}
