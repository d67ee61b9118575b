#include "lib_history.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

static const char *const fault_names[HISTORY_FAULTS] = {
	[HISTORY_SECOND_RUN] = "second run",	    [HISTORY_FALSE_NOT_RUN] = "false not-run",
	[HISTORY_FALSE_RAN] = "false ran",	    [HISTORY_OTHER_ANSWER] = "other answer",
	[HISTORY_LATE_WORK] = "late work",	    [HISTORY_TWO_POOLS] = "two pools",
	[HISTORY_INTERRUPTED] = "interrupted work", [HISTORY_BROKEN] = "broken line",
};

/* First observation of a VM's epoch. */
typedef struct {
	uint64_t epoch;
	uint64_t time_us;
	const char *pool;
	bool cordoned;
} period_t;

typedef struct {
	history_t *out;
	GHashTable *starts;    /* request of the load tool -> GArray of uint64_t times */
	GHashTable *keys;      /* idempotency key -> number of starts */
	GHashTable *periods;   /* VM -> GArray of period_t */
	GHashTable *next_sent; /* "id#attempt" -> time of that invocation */
} run_t;

const char *history_fault_name(history_fault_t fault)
{
	return fault < HISTORY_FAULTS ? fault_names[fault] : "unknown";
}

static void G_GNUC_PRINTF(3, 4)
	add_fault(run_t *run, history_fault_t fault, const char *format, ...)
{
	history_t *out = run->out;
	va_list args;
	int used;

	out->faults[fault]++;
	if (out->first[0] != '\0')
		return;
	used = snprintf(out->first, sizeof(out->first), "%s: ", fault_names[fault]);
	va_start(args, format);
	(void)vsnprintf(out->first + used, sizeof(out->first) - (size_t)used, format, args);
	va_end(args);
}

static const char *text_of(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text == NULL ? "" : text;
}

static uint64_t number_of(const json_t *line, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(line, key));
}

static void free_array(gpointer array)
{
	g_array_free(array, TRUE);
}

static GArray *array_of(GHashTable *table, const char *key, guint size)
{
	GArray *array = g_hash_table_lookup(table, key);

	if (array == NULL) {
		array = g_array_new(FALSE, FALSE, size);
		g_hash_table_insert(table, g_strdup(key), array);
	}
	return array;
}

static period_t *find_period(const GArray *periods, uint64_t epoch)
{
	for (guint i = 0; i < periods->len; i++) {
		period_t *period = &g_array_index(periods, period_t, i);

		if (period->epoch == epoch)
			return period;
	}
	return NULL;
}

static void add_view(run_t *run, const json_t *view)
{
	const char *vm = text_of(view, "vm");
	const char *pool = text_of(view, "pool");
	period_t seen = {
		.epoch = number_of(view, "epoch"),
		.time_us = number_of(view, "time_us"),
		.pool = pool,
		.cordoned = json_is_true(json_object_get(view, "cordoned")),
	};
	period_t *known;
	GArray *periods;

	if (vm[0] == '\0' || pool[0] == '\0' || seen.epoch == 0 || seen.time_us == 0) {
		add_fault(run, HISTORY_BROKEN, "view of VM '%s'", vm);
		return;
	}
	run->out->views++;
	periods = array_of(run->periods, vm, sizeof(period_t));
	known = find_period(periods, seen.epoch);
	if (known == NULL) {
		g_array_append_val(periods, seen);
		run->out->cordons += seen.cordoned;
		return;
	}
	known->time_us = MIN(known->time_us, seen.time_us);
	if (strcmp(known->pool, pool) != 0)
		add_fault(run, HISTORY_TWO_POOLS, "%s epoch %" G_GUINT64_FORMAT ": %s and %s", vm,
			  seen.epoch, known->pool, pool);
}

static void check_cordoned(run_t *run, const json_t *line, const GArray *periods, uint64_t epoch)
{
	for (guint i = 0; i < periods->len; i++) {
		const period_t *period = &g_array_index(periods, period_t, i);

		if (period->epoch == epoch && period->cordoned)
			add_fault(run, HISTORY_LATE_WORK,
				  "%s ran %s under epoch %" G_GUINT64_FORMAT ", which is a cordon",
				  text_of(line, "vm"), text_of(line, "path"), epoch);
	}
}

/* Work is late when it was sent under an epoch that a newer one had replaced for longer than the
 * bound, or without an epoch after a cordon of that age. Work under the epoch of a cordon is always
 * wrong: its sender knew the cordon. */
static void check_epoch(run_t *run, const json_t *line)
{
	const char *vm = text_of(line, "vm");
	const GArray *periods = g_hash_table_lookup(run->periods, vm);
	uint64_t epoch = number_of(line, "epoch");
	uint64_t time_us = number_of(line, "time_us");
	const period_t *newest = NULL;

	if (periods == NULL)
		return;
	check_cordoned(run, line, periods, epoch);
	for (guint i = 0; i < periods->len; i++) {
		const period_t *period = &g_array_index(periods, period_t, i);

		if (period->time_us + HISTORY_CORDON_BOUND_US >= time_us)
			continue;
		if (newest == NULL || period->epoch > newest->epoch)
			newest = period;
	}
	if (newest == NULL)
		return;
	if ((epoch != 0 && epoch < newest->epoch) || (epoch == 0 && newest->cordoned))
		add_fault(run, HISTORY_LATE_WORK,
			  "%s ran %s under epoch %" G_GUINT64_FORMAT
			  ", but epoch %" G_GUINT64_FORMAT "%s was seen %" G_GUINT64_FORMAT
			  " us before",
			  vm, text_of(line, "path"), epoch, newest->epoch,
			  newest->cordoned ? " (cordoned)" : "", time_us - newest->time_us);
}

static void add_start(run_t *run, const json_t *line)
{
	const char *slash = strrchr(text_of(line, "path"), '/');
	const char *key = text_of(line, "key");
	uint64_t time_us = number_of(line, "time_us");
	guint count;

	if (slash == NULL || slash[1] == '\0' || time_us == 0 || text_of(line, "vm")[0] == '\0') {
		add_fault(run, HISTORY_BROKEN, "start of '%s'", text_of(line, "path"));
		return;
	}
	run->out->executions++;
	g_array_append_val(array_of(run->starts, slash + 1, sizeof(uint64_t)), time_us);
	check_epoch(run, line);
	if (key[0] == '\0')
		return;
	count = GPOINTER_TO_UINT(g_hash_table_lookup(run->keys, key)) + 1;
	g_hash_table_insert(run->keys, g_strdup(key), GUINT_TO_POINTER(count));
	if (count > 1)
		add_fault(run, HISTORY_SECOND_RUN, "key %s ran %u times", key, count);
}

static void add_execution(run_t *run, const json_t *line)
{
	const char *event = text_of(line, "event");

	if (strcmp(event, "start") == 0)
		add_start(run, line);
	else if (strcmp(event, "lost") == 0)
		add_fault(run, HISTORY_INTERRUPTED, "%s lost %s", text_of(line, "vm"),
			  text_of(line, "path"));
	else if (strcmp(event, "end") != 0)
		add_fault(run, HISTORY_BROKEN, "execution event '%s'", event);
}

static char *attempt_name(const char *id, uint64_t attempt)
{
	return g_strdup_printf("%s#%" G_GUINT64_FORMAT, id, attempt);
}

static void add_invocation(run_t *run, const json_t *line)
{
	char *name = attempt_name(text_of(line, "id"), number_of(line, "attempt"));
	uint64_t sent_us = number_of(line, "sent_us");

	g_hash_table_insert(run->next_sent, name, g_memdup2(&sent_us, sizeof(sent_us)));
}

/* A refusal is about everything sent for the request so far: no execution may precede the next
 * sending, and none may exist when the caller stopped there. */
static void check_not_run(run_t *run, const json_t *line)
{
	const char *id = text_of(line, "id");
	const GArray *starts = g_hash_table_lookup(run->starts, id);
	char *next = attempt_name(id, number_of(line, "attempt") + 1);
	const uint64_t *sent_us = g_hash_table_lookup(run->next_sent, next);

	run->out->not_run++;
	for (guint i = 0; starts != NULL && i < starts->len; i++) {
		if (sent_us != NULL && g_array_index(starts, uint64_t, i) >= *sent_us)
			continue;
		add_fault(run, HISTORY_FALSE_NOT_RUN, "%s, attempt %" G_GUINT64_FORMAT " by %s", id,
			  number_of(line, "attempt"), text_of(line, "entry"));
		break;
	}
	g_free(next);
}

static void check_answer(run_t *run, const json_t *line)
{
	const char *id = text_of(line, "id");
	const char *outcome = text_of(line, "outcome");
	bool complete = text_of(line, "error")[0] == '\0';

	run->out->answers++;
	if (id[0] == '\0') {
		add_fault(run, HISTORY_BROKEN, "answer without id");
		return;
	}
	/* The outcome is read from the header, so it counts even when the body was cut. */
	if (strcmp(outcome, "not-run") == 0)
		check_not_run(run, line);
	if (strcmp(outcome, "ran") == 0) {
		run->out->ran++;
		if (!g_hash_table_contains(run->starts, id))
			add_fault(run, HISTORY_FALSE_RAN, "%s by %s", id, text_of(line, "entry"));
	}
	if (complete && number_of(line, "status") == 200 &&
	    strcmp(text_of(line, "body"), "own") != 0)
		add_fault(run, HISTORY_OTHER_ANSWER, "%s by %s: body '%s'", id,
			  text_of(line, "entry"), text_of(line, "body"));
}

static void add_call(run_t *run, const json_t *line, bool answers)
{
	const char *event = text_of(line, "event");

	if (strcmp(event, "invoke") == 0) {
		if (!answers)
			add_invocation(run, line);
	} else if (strcmp(event, "complete") == 0) {
		if (answers)
			check_answer(run, line);
	} else if (answers) {
		add_fault(run, HISTORY_BROKEN, "call event '%s'", event);
	}
}

uint64_t history_check(const json_t *executions, const json_t *calls, const json_t *views,
		       history_t *history)
{
	run_t run = {
		.out = history,
		.starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array),
		.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.periods = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array),
		.next_sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
	uint64_t total = 0;
	json_t *line;
	size_t i;

	memset(history, 0, sizeof(*history));
	json_array_foreach (views, i, line)
		add_view(&run, line);
	json_array_foreach (executions, i, line)
		add_execution(&run, line);
	json_array_foreach (calls, i, line)
		add_call(&run, line, false);
	json_array_foreach (calls, i, line)
		add_call(&run, line, true);
	history->keys = g_hash_table_size(run.keys);
	for (unsigned f = 0; f < HISTORY_FAULTS; f++)
		total += history->faults[f];
	g_hash_table_destroy(run.starts);
	g_hash_table_destroy(run.keys);
	g_hash_table_destroy(run.periods);
	g_hash_table_destroy(run.next_sent);
	return total;
}
