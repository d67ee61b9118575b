#include "lib_history.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

static const char *const violation_names[HISTORY_VIOLATION_KINDS] = {
	[HISTORY_DUPLICATE_RUN] = "duplicate run",
	[HISTORY_FALSE_NOT_RUN] = "false not-run",
	[HISTORY_FALSE_RAN] = "false ran",
	[HISTORY_WRONG_BODY] = "wrong body",
	[HISTORY_STALE_EPOCH_RUN] = "run under stale epoch",
	[HISTORY_TWO_POOLS] = "two pools",
	[HISTORY_INTERRUPTED_RUN] = "interrupted run",
	[HISTORY_INVALID_LINE] = "invalid line",
};

/* An epoch of a VM. The members pool and cordoned are taken from the first observation listed for
 * the epoch. */
typedef struct {
	uint64_t epoch;
	uint64_t time_us; /* time of the earliest observation of the epoch */
	const char *pool;
	bool cordoned;
} epoch_t;

typedef struct {
	history_result_t *result;
	GHashTable *start_times; /* maps a request id to the start times of its runs (GArray of
				    uint64_t) */
	GHashTable *keys;	 /* maps an idempotency key to the number of its executions */
	GHashTable *epochs;	 /* maps a VM to its epochs (GArray of epoch_t) */
	GHashTable *sent_times;	 /* maps "id#attempt" to the time at which that attempt was sent */
} checker_t;

const char *history_violation_name(history_violation_t kind)
{
	return kind < HISTORY_VIOLATION_KINDS ? violation_names[kind] : "unknown";
}

static void G_GNUC_PRINTF(3, 4)
	add_violation(checker_t *checker, history_violation_t kind, const char *format, ...)
{
	history_result_t *result = checker->result;
	va_list args;
	int prefix_length;

	result->violations[kind]++;
	if (result->first_violation[0] != '\0')
		return;
	prefix_length = snprintf(result->first_violation, sizeof(result->first_violation),
				 "%s: ", violation_names[kind]);
	va_start(args, format);
	(void)vsnprintf(result->first_violation + prefix_length,
			sizeof(result->first_violation) - (size_t)prefix_length, format, args);
	va_end(args);
}

static const char *get_text(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text == NULL ? "" : text;
}

static uint64_t get_number(const json_t *line, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(line, key));
}

static void free_array(gpointer array)
{
	g_array_free(array, TRUE);
}

static GArray *get_or_create_array(GHashTable *table, const char *key, guint element_size)
{
	GArray *array = g_hash_table_lookup(table, key);

	if (array == NULL) {
		array = g_array_new(FALSE, FALSE, element_size);
		g_hash_table_insert(table, g_strdup(key), array);
	}
	return array;
}

static epoch_t *find_epoch(const GArray *epochs, uint64_t epoch)
{
	for (guint i = 0; i < epochs->len; i++) {
		epoch_t *candidate = &g_array_index(epochs, epoch_t, i);

		if (candidate->epoch == epoch)
			return candidate;
	}
	return NULL;
}

static void add_observation(checker_t *checker, const json_t *observation)
{
	const char *vm = get_text(observation, "vm");
	const char *pool = get_text(observation, "pool");
	epoch_t observed = {
		.epoch = get_number(observation, "epoch"),
		.time_us = get_number(observation, "time_us"),
		.pool = pool,
		.cordoned = json_is_true(json_object_get(observation, "cordoned")),
	};
	epoch_t *existing;
	GArray *epochs;

	if (vm[0] == '\0' || pool[0] == '\0' || observed.epoch == 0 || observed.time_us == 0) {
		add_violation(checker, HISTORY_INVALID_LINE, "observation of VM '%s'", vm);
		return;
	}
	checker->result->observations++;
	epochs = get_or_create_array(checker->epochs, vm, sizeof(epoch_t));
	existing = find_epoch(epochs, observed.epoch);
	if (existing == NULL) {
		g_array_append_val(epochs, observed);
		checker->result->cordons += observed.cordoned;
		return;
	}
	existing->time_us = MIN(existing->time_us, observed.time_us);
	if (strcmp(existing->pool, pool) != 0)
		add_violation(checker, HISTORY_TWO_POOLS,
			      "%s epoch %" G_GUINT64_FORMAT ": %s and %s", vm, observed.epoch,
			      existing->pool, pool);
}

static void check_cordoned_epoch(checker_t *checker, const json_t *line, const GArray *epochs,
				 uint64_t epoch)
{
	for (guint i = 0; i < epochs->len; i++) {
		const epoch_t *candidate = &g_array_index(epochs, epoch_t, i);

		if (candidate->epoch == epoch && candidate->cordoned)
			add_violation(checker, HISTORY_STALE_EPOCH_RUN,
				      "%s ran %s under epoch %" G_GUINT64_FORMAT
				      ", which is cordoned",
				      get_text(line, "vm"), get_text(line, "path"), epoch);
	}
}

/* Reports an execution that ran too late, by the newest epoch that was first observed longer ago
 * than the deadline. An execution under an older epoch is too late. An execution without an epoch
 * is too late if that newest epoch is cordoned. An execution under a cordoned epoch is always
 * reported, because its sender knew of the cordon. */
static void check_epoch(checker_t *checker, const json_t *line)
{
	const char *vm = get_text(line, "vm");
	const GArray *epochs = g_hash_table_lookup(checker->epochs, vm);
	uint64_t epoch = get_number(line, "epoch");
	uint64_t time_us = get_number(line, "time_us");
	const epoch_t *newest = NULL;

	if (epochs == NULL)
		return;
	check_cordoned_epoch(checker, line, epochs, epoch);
	for (guint i = 0; i < epochs->len; i++) {
		const epoch_t *candidate = &g_array_index(epochs, epoch_t, i);

		if (candidate->time_us + HISTORY_CORDON_DEADLINE_US >= time_us)
			continue;
		if (newest == NULL || candidate->epoch > newest->epoch)
			newest = candidate;
	}
	if (newest == NULL)
		return;
	if ((epoch != 0 && epoch < newest->epoch) || (epoch == 0 && newest->cordoned))
		add_violation(checker, HISTORY_STALE_EPOCH_RUN,
			      "%s ran %s under epoch %" G_GUINT64_FORMAT
			      ", but epoch %" G_GUINT64_FORMAT "%s was seen %" G_GUINT64_FORMAT
			      " us earlier",
			      vm, get_text(line, "path"), epoch, newest->epoch,
			      newest->cordoned ? " (cordoned)" : "", time_us - newest->time_us);
}

static void add_start(checker_t *checker, const json_t *line)
{
	const char *slash = strrchr(get_text(line, "path"), '/');
	const char *key = get_text(line, "key");
	uint64_t time_us = get_number(line, "time_us");
	guint count;

	if (slash == NULL || slash[1] == '\0' || time_us == 0 || get_text(line, "vm")[0] == '\0') {
		add_violation(checker, HISTORY_INVALID_LINE, "start of '%s'",
			      get_text(line, "path"));
		return;
	}
	checker->result->executions++;
	g_array_append_val(get_or_create_array(checker->start_times, slash + 1, sizeof(uint64_t)),
			   time_us);
	check_epoch(checker, line);
	if (key[0] == '\0')
		return;
	count = GPOINTER_TO_UINT(g_hash_table_lookup(checker->keys, key)) + 1;
	g_hash_table_insert(checker->keys, g_strdup(key), GUINT_TO_POINTER(count));
	if (count > 1)
		add_violation(checker, HISTORY_DUPLICATE_RUN, "key %s ran %u times", key, count);
}

static void add_execution(checker_t *checker, const json_t *line)
{
	const char *event = get_text(line, "event");

	if (strcmp(event, "start") == 0)
		add_start(checker, line);
	else if (strcmp(event, "lost") == 0)
		add_violation(checker, HISTORY_INTERRUPTED_RUN, "%s lost %s", get_text(line, "vm"),
			      get_text(line, "path"));
	else if (strcmp(event, "end") != 0)
		add_violation(checker, HISTORY_INVALID_LINE, "execution event '%s'", event);
}

static char *make_attempt_id(const char *id, uint64_t attempt)
{
	return g_strdup_printf("%s#%" G_GUINT64_FORMAT, id, attempt);
}

static void add_invocation(checker_t *checker, const json_t *line)
{
	char *name = make_attempt_id(get_text(line, "id"), get_number(line, "attempt"));
	uint64_t sent_us = get_number(line, "sent_us");

	g_hash_table_insert(checker->sent_times, name, g_memdup2(&sent_us, sizeof(sent_us)));
}

/* Checks an outcome not-run, which covers all attempts of the request so far. No execution may have
 * started before the next attempt was sent; without a next attempt, none may have started at
 * all. */
static void check_not_run(checker_t *checker, const json_t *line)
{
	const char *id = get_text(line, "id");
	const GArray *start_times = g_hash_table_lookup(checker->start_times, id);
	char *next_attempt = make_attempt_id(id, get_number(line, "attempt") + 1);
	const uint64_t *next_sent_us = g_hash_table_lookup(checker->sent_times, next_attempt);

	checker->result->not_run++;
	for (guint i = 0; start_times != NULL && i < start_times->len; i++) {
		if (next_sent_us != NULL &&
		    g_array_index(start_times, uint64_t, i) >= *next_sent_us)
			continue;
		add_violation(checker, HISTORY_FALSE_NOT_RUN,
			      "%s, attempt %" G_GUINT64_FORMAT " by %s", id,
			      get_number(line, "attempt"), get_text(line, "entry"));
		break;
	}
	g_free(next_attempt);
}

static void check_response(checker_t *checker, const json_t *line)
{
	const char *id = get_text(line, "id");
	const char *outcome = get_text(line, "outcome");
	bool complete = get_text(line, "error")[0] == '\0';

	checker->result->responses++;
	if (id[0] == '\0') {
		add_violation(checker, HISTORY_INVALID_LINE, "complete without id");
		return;
	}
	/* The outcome is in a header, so it is valid even when the response body was truncated. */
	if (strcmp(outcome, "not-run") == 0)
		check_not_run(checker, line);
	if (strcmp(outcome, "ran") == 0) {
		checker->result->ran++;
		if (!g_hash_table_contains(checker->start_times, id))
			add_violation(checker, HISTORY_FALSE_RAN, "%s by %s", id,
				      get_text(line, "entry"));
	}
	if (complete && get_number(line, "status") == 200 &&
	    strcmp(get_text(line, "body"), "own") != 0)
		add_violation(checker, HISTORY_WRONG_BODY, "%s by %s: body '%s'", id,
			      get_text(line, "entry"), get_text(line, "body"));
}

/* Checks a line of the load tool's journal. Called twice for each line: first without
 * check_responses, to record when attempts were sent, then with it. */
static void add_call(checker_t *checker, const json_t *line, bool check_responses)
{
	const char *event = get_text(line, "event");

	if (strcmp(event, "invoke") == 0) {
		if (!check_responses)
			add_invocation(checker, line);
	} else if (strcmp(event, "complete") == 0) {
		if (check_responses)
			check_response(checker, line);
	} else if (check_responses) {
		add_violation(checker, HISTORY_INVALID_LINE, "call event '%s'", event);
	}
}

uint64_t history_check(const json_t *executions, const json_t *calls, const json_t *observations,
		       history_result_t *result)
{
	checker_t checker = {
		.result = result,
		.start_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array),
		.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.epochs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array),
		.sent_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
	uint64_t total = 0;
	json_t *line;
	size_t i;

	memset(result, 0, sizeof(*result));
	json_array_foreach (observations, i, line)
		add_observation(&checker, line);
	json_array_foreach (executions, i, line)
		add_execution(&checker, line);
	json_array_foreach (calls, i, line)
		add_call(&checker, line, false);
	json_array_foreach (calls, i, line)
		add_call(&checker, line, true);
	result->keys = g_hash_table_size(checker.keys);
	for (unsigned kind = 0; kind < HISTORY_VIOLATION_KINDS; kind++)
		total += result->violations[kind];
	g_hash_table_destroy(checker.start_times);
	g_hash_table_destroy(checker.keys);
	g_hash_table_destroy(checker.epochs);
	g_hash_table_destroy(checker.sent_times);
	return total;
}
