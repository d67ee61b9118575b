#include <stdio.h>
#include <string.h>

#include "template_internal.h"

#define MINUTES_PER_DAY (24 * 60)
#define DAYS_PER_WEEK 7

static int parse_weekday(const char *text, size_t length)
{
	static const char *const names[DAYS_PER_WEEK] = {"mon", "tue", "wed", "thu",
							 "fri", "sat", "sun"};

	for (int i = 0; i < DAYS_PER_WEEK; i++) {
		if (length == 3 && strncmp(text, names[i], length) == 0)
			return i;
	}
	return -1;
}

/*
 * Parses "daily", "sat" or "mon-fri" into a mask of weekdays; bit 0 is Monday. A range such as
 * "sat-mon" continues over the end of the week.
 */
static int parse_weekdays(const char *text, size_t length, uint32_t *mask)
{
	const char *dash = memchr(text, '-', length);
	int first;
	int last;

	*mask = 0;
	if (length == strlen("daily") && strncmp(text, "daily", length) == 0) {
		*mask = (1U << DAYS_PER_WEEK) - 1;
		return 0;
	}
	first = parse_weekday(text, dash != NULL ? (size_t)(dash - text) : length);
	last = dash != NULL ? parse_weekday(dash + 1, length - (size_t)(dash - text) - 1) : first;
	if (first < 0 || last < 0)
		return -1;
	for (int day = first;; day = (day + 1) % DAYS_PER_WEEK) {
		*mask |= 1U << day;
		if (day == last)
			return 0;
	}
}

static int parse_time_of_day(const char *text, uint32_t *minute)
{
	static const char pattern[] = "dd:dd";
	uint32_t hours;
	uint32_t minutes;

	for (size_t i = 0; i < strlen(pattern); i++) {
		if (pattern[i] == 'd' ? !g_ascii_isdigit(text[i]) : text[i] != pattern[i])
			return -1;
	}
	hours = (uint32_t)((text[0] - '0') * 10 + (text[1] - '0'));
	minutes = (uint32_t)((text[3] - '0') * 10 + (text[4] - '0'));
	*minute = hours * 60 + minutes;
	return minutes < 60 && *minute <= MINUTES_PER_DAY ? 0 : -1;
}

int template_window_parse(const char *text, Lp__Window *window)
{
	const char *space = strchr(text, ' ');
	const char *times;

	if (space == NULL ||
	    parse_weekdays(text, (size_t)(space - text), &window->weekday_mask) != 0)
		return -1;
	times = space + strspn(space, " ");
	if (strlen(times) != strlen("hh:mm-hh:mm") || times[5] != '-' ||
	    parse_time_of_day(times, &window->start_minute) != 0 ||
	    parse_time_of_day(times + 6, &window->end_minute) != 0)
		return -1;
	return window->start_minute < MINUTES_PER_DAY && window->start_minute != window->end_minute
		       ? 0
		       : -1;
}

/* Location of an error: a pool, or an item of one of its lists. */
typedef struct {
	const template_input_t *input;
	uint32_t pool;
	const char *list; /* key of the pool's list; NULL: the error concerns the pool itself */
	uint32_t item;
} location_t;

static unsigned find_line(const location_t *location, const char *key)
{
	char pool[16];
	char item[16];
	const char *path[6] = {"pools", pool};
	size_t depth = 2;

	snprintf(pool, sizeof(pool), "%u", location->pool);
	snprintf(item, sizeof(item), "%u", location->item);
	if (location->list != NULL) {
		path[depth++] = location->list;
		path[depth++] = item;
	}
	path[depth] = key;
	return template_find_line(location->input->text, path);
}

static int check_class(const template_yaml_pool_t *pool, const location_t *location)
{
	const template_yaml_class_t *class = &pool->classes[location->item];

	if (class->path_prefix[0] != '/')
		return template_error(location->input, find_line(location, "path_prefix"),
				      "path_prefix", "\"%s\", expected a path that starts with /",
				      class->path_prefix);
	if (class->deadline_ms == 0)
		return template_error(location->input, find_line(location, "deadline_ms"),
				      "deadline_ms", "0, expected at least 1");
	for (uint32_t i = 0; i < location->item; i++) {
		if (strcmp(pool->classes[i].name, class->name) == 0)
			return template_error(location->input, find_line(location, "name"), "name",
					      "class \"%s\" is there twice, expected a unique name",
					      class->name);
		if (strcmp(pool->classes[i].path_prefix, class->path_prefix) == 0)
			return template_error(location->input, find_line(location, "path_prefix"),
					      "path_prefix",
					      "\"%s\" is there twice, expected a unique prefix",
					      class->path_prefix);
	}
	return 0;
}

static int check_pool_numbers(const template_yaml_pool_t *pool, const location_t *location)
{
	if (pool->keep_vms > pool->min_vms)
		return template_error(location->input, find_line(location, "keep_vms"), "keep_vms",
				      "%u, expected at most min_vms, which is %u", pool->keep_vms,
				      pool->min_vms);
	if (pool->max_vms != 0 && pool->max_vms < pool->min_vms)
		return template_error(location->input, find_line(location, "max_vms"), "max_vms",
				      "%u, expected 0 or at least min_vms, which is %u",
				      pool->max_vms, pool->min_vms);
	if (pool->reserve != LP__RESERVE_SCOPE__RESERVE_VMS && pool->reserve_vms != 0)
		return template_error(location->input, find_line(location, "reserve_vms"),
				      "reserve_vms", "%u, expected only together with reserve: vms",
				      pool->reserve_vms);
	return 0;
}

static int check_pool(const template_input_t *input, const template_yaml_t *yaml, uint32_t index)
{
	const template_yaml_pool_t *pool = &yaml->pools[index];
	location_t location = {.input = input, .pool = index};
	Lp__Window window = LP__WINDOW__INIT;

	for (uint32_t i = 0; i < index; i++) {
		if (strcmp(yaml->pools[i].name, pool->name) == 0)
			return template_error(input, find_line(&location, "name"), "name",
					      "pool \"%s\" is there twice, expected a unique name",
					      pool->name);
	}
	if (strchr(pool->name, '/') != NULL)
		return template_error(input, find_line(&location, "name"), "name",
				      "\"%s\", expected a name without /", pool->name);
	if (check_pool_numbers(pool, &location) != 0)
		return -1;
	location.list = "windows";
	for (location.item = 0; location.item < pool->windows_count; location.item++) {
		if (template_window_parse(pool->windows[location.item], &window) != 0)
			return template_error(input, find_line(&location, NULL), "windows",
					      "\"%s\", expected days and times such as "
					      "\"mon-fri 22:00-04:00\" or \"daily 02:00-04:00\"",
					      pool->windows[location.item]);
	}
	if (pool->classes_count == 0 && !pool->spare)
		return template_error(input, find_line(&location, "name"), "classes",
				      "missing in pool \"%s\", expected a list of 1 to 1,024 "
				      "request classes; only the spare pool may have none",
				      pool->name);
	location.list = "classes";
	for (location.item = 0; location.item < pool->classes_count; location.item++) {
		if (check_class(pool, &location) != 0)
			return -1;
	}
	return 0;
}

static int check_spare_pool(const template_input_t *input, const template_yaml_t *yaml)
{
	location_t location = {.input = input};
	uint32_t spare_count = 0;

	for (uint32_t i = 0; i < yaml->pools_count; i++) {
		if (!yaml->pools[i].spare || spare_count++ == 0)
			continue;
		location.pool = i;
		return template_error(input, find_line(&location, "spare"), "spare",
				      "pool \"%s\" is the second spare pool, expected exactly one",
				      yaml->pools[i].name);
	}
	if (spare_count == 0)
		return template_error(
			input, template_find_line(input->text, (const char *[]){"pools", NULL}),
			"spare", "no pool has spare: true, expected exactly one");
	return 0;
}

static int check_quotas(const template_input_t *input, const template_yaml_t *yaml)
{
	char item[16];
	const char *path[] = {"quotas", item, "team", NULL};

	for (uint32_t i = 0; i < yaml->quotas_count; i++) {
		for (uint32_t j = 0; j < i; j++) {
			if (strcmp(yaml->quotas[i].team, yaml->quotas[j].team) != 0)
				continue;
			snprintf(item, sizeof(item), "%u", i);
			return template_error(input, template_find_line(input->text, path), "team",
					      "\"%s\" is there twice, expected one quota a team",
					      yaml->quotas[i].team);
		}
	}
	return 0;
}

static int check_maintenance(const template_input_t *input, const template_yaml_t *yaml)
{
	const char *path[] = {"maintenance", "stop_after_failures", NULL};

	if (yaml->maintenance != NULL && yaml->maintenance->stop_after_failures != NULL &&
	    *yaml->maintenance->stop_after_failures == 0)
		return template_error(input, template_find_line(input->text, path),
				      "stop_after_failures", "0, expected at least 1");
	return 0;
}

int template_validate(const template_input_t *input, const template_yaml_t *yaml)
{
	if (strchr(yaml->organisation, '/') != NULL)
		return template_error(
			input,
			template_find_line(input->text, (const char *[]){"organisation", NULL}),
			"organisation", "\"%s\", expected a name without /", yaml->organisation);
	for (uint32_t i = 0; i < yaml->pools_count; i++) {
		if (check_pool(input, yaml, i) != 0)
			return -1;
	}
	if (check_spare_pool(input, yaml) != 0 || check_quotas(input, yaml) != 0)
		return -1;
	return check_maintenance(input, yaml);
}
