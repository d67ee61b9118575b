#include "lib_load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"

#define SURGE_FACTOR 5.0
#define LOW_FACTOR 0.05

bool load_class_parse(load_class_t *class, const char *text)
{
	char **parts = g_strsplit(text, ":", 6);
	unsigned count = g_strv_length(parts);
	char *end = "";
	bool ok = count >= 4 && parts[1][0] == '/' &&
		  (strcmp(parts[3], "once") == 0 || strcmp(parts[3], "repeatable") == 0);

	if (ok) {
		*class = (load_class_t){
			.name = g_strdup(parts[0]),
			.path = g_strdup(parts[1]),
			.rate_per_s = g_ascii_strtod(parts[2], &end),
			.repeatable = strcmp(parts[3], "repeatable") == 0,
			.body_bytes = count > 4 ? strtoul(parts[4], NULL, 10) : 64,
			.key_home = count > 5 ? g_strdup(parts[5]) : NULL,
			.latency_us = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		};
		ok = *end == '\0' && class->rate_per_s > 0;
	}
	g_strfreev(parts);
	return ok;
}

double load_rate(const load_options_t *options, const load_class_t *class, uint64_t offset_us)
{
	double at_s = (double)(int64_t)(offset_us - class->surge_shift_us) / US_PER_S;
	double period_s = options->surge_start_s + options->surge_s + options->surge_low_s;

	if (options->surge_start_s < 0 || at_s < 0)
		return class->rate_per_s;
	at_s = fmod(at_s, period_s);
	if (at_s < options->surge_start_s)
		return class->rate_per_s;
	if (at_s < options->surge_start_s + options->surge_s)
		return class->rate_per_s * SURGE_FACTOR;
	return class->rate_per_s * LOW_FACTOR;
}

/* Thinning: draws at the greatest rate and keeps an arrival with probability rate / greatest, which
 * is exact for a rate that changes in steps. */
void load_next_arrival(const load_options_t *options, load_class_t *class, uint64_t start_us)
{
	bool surges = options->surge_start_s >= 0;
	double greatest = class->rate_per_s * (surges ? SURGE_FACTOR : 1);
	double at_us = (double)(class->next_us - start_us);

	do {
		at_us += -log(1.0 - g_rand_double(class->rand)) / greatest * US_PER_S;
	} while (g_rand_double(class->rand) * greatest >=
		 load_rate(options, class, (uint64_t)at_us));
	class->next_us = start_us + (uint64_t)at_us;
}

void load_journal(FILE *journal, const load_event_t *event)
{
	json_t *line;

	if (journal == NULL)
		return;
	line = json_pack("{s:s, s:s, s:s*, s:s, s:s, s:i, s:I, s:I}", "event", event->event, "id",
			 event->id, "key", event->key, "class", event->class_name, "entry",
			 event->entry, "attempt", (int)event->attempt, "due_us",
			 (json_int_t)event->due_us, "sent_us", (json_int_t)event->sent_us);
	if (event->answer_us != 0)
		json_object_update_new(line,
				       json_pack("{s:I, s:I, s:s*, s:s*, s:s*, s:s*}", "answer_us",
						 (json_int_t)event->answer_us, "status",
						 (json_int_t)event->status, "outcome",
						 event->outcome, "request_id", event->request_id,
						 "body", event->body, "error", event->error));
	if (json_dumpf(line, journal, JSON_COMPACT) == 0)
		(void)fputc('\n', journal);
	json_decref(line);
}

static gint compare(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Nearest rank. */
static double percentile_ms(const GArray *sorted, double share)
{
	size_t rank;

	if (sorted->len == 0)
		return 0;
	rank = (size_t)ceil(share * sorted->len);
	return g_array_index(sorted, uint32_t, rank == 0 ? 0 : rank - 1) / 1000.0;
}

static json_t *class_summary(load_class_t *class)
{
	GArray *latency = class->latency_us;

	g_array_sort(latency, compare);
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f}",
			 "invoked", (json_int_t) class->invoked, "resent",
			 (json_int_t) class->resent, "ran", (json_int_t) class->final[SEEN_RAN],
			 "not_run", (json_int_t) class->final[SEEN_NOT_RUN], "unknown",
			 (json_int_t) class->final[SEEN_UNKNOWN], "lost",
			 (json_int_t) class->final[SEEN_LOST], "not_sent",
			 (json_int_t) class->final[SEEN_NOT_SENT], "other_body",
			 (json_int_t) class->other_body, "failed_status",
			 (json_int_t) class->failed_status, "p50_ms", percentile_ms(latency, 0.5),
			 "p90_ms", percentile_ms(latency, 0.9), "p99_ms",
			 percentile_ms(latency, 0.99), "p999_ms", percentile_ms(latency, 0.999),
			 "max_ms", percentile_ms(latency, 1));
}

void load_summary(const load_options_t *options, double elapsed_s)
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
