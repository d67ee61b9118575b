#include "template.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>
#include <glib.h>

#include "fleet_internal.h"
#include "message.h"
#include "template_internal.h"

#define NAME_MAX_BYTES 64
#define TEXT_MAX_BYTES 256
#define LIST_MAX_ITEMS 1024

#define DEFAULT_QUEUE_LIMIT 64
#define DEFAULT_PROBATION_MS 5000
#define DEFAULT_STOP_AFTER_FAILURES 2
#define DEFAULT_DRAIN_TIMEOUT_MS 30000

#define TEXT_FIELD(key, type, member, flags) \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER | (flags), type, member, 1, TEXT_MAX_BYTES)
#define NAME_FIELD(key, type, member) \
	CYAML_FIELD_STRING_PTR(key, CYAML_FLAG_POINTER, type, member, 1, NAME_MAX_BYTES)
/* The member is 0 when the key is absent. */
#define OPTIONAL_UINT_FIELD(key, type, member) \
	CYAML_FIELD_UINT(key, CYAML_FLAG_OPTIONAL, type, member)
/*
 * The member is a pointer that is NULL when the key is absent, so that convert_*() functions can
 * set a default value.
 */
#define DEFAULTED_UINT_FIELD(key, type, member) \
	CYAML_FIELD_UINT_PTR(key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, type, member)

static const cyaml_schema_value_t string_value = {
	CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, TEXT_MAX_BYTES)};

static const cyaml_schema_field_t param_fields[] = {
	NAME_FIELD("name", template_yaml_param_t, name),
	TEXT_FIELD("default", template_yaml_param_t, value, CYAML_FLAG_OPTIONAL),
	TEXT_FIELD("description", template_yaml_param_t, description, CYAML_FLAG_OPTIONAL),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t param_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, template_yaml_param_t, param_fields)};

static const cyaml_schema_field_t class_fields[] = {
	NAME_FIELD("name", template_yaml_class_t, name),
	TEXT_FIELD("path_prefix", template_yaml_class_t, path_prefix, CYAML_FLAG_DEFAULT),
	CYAML_FIELD_UINT("deadline_ms", CYAML_FLAG_DEFAULT, template_yaml_class_t, deadline_ms),
	CYAML_FIELD_BOOL("repeatable", CYAML_FLAG_DEFAULT, template_yaml_class_t, repeatable),
	OPTIONAL_UINT_FIELD("priority", template_yaml_class_t, priority),
	DEFAULTED_UINT_FIELD("queue_limit", template_yaml_class_t, queue_limit),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t class_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, template_yaml_class_t, class_fields)};

static const cyaml_strval_t reserve_names[] = {
	{"vms", LP__RESERVE_SCOPE__RESERVE_VMS},
	{"rack", LP__RESERVE_SCOPE__RESERVE_RACK},
	{"data-centre", LP__RESERVE_SCOPE__RESERVE_DATA_CENTRE},
};

static const cyaml_schema_field_t pool_fields[] = {
	NAME_FIELD("name", template_yaml_pool_t, name),
	CYAML_FIELD_UINT("keep_vms", CYAML_FLAG_DEFAULT, template_yaml_pool_t, keep_vms),
	CYAML_FIELD_ENUM("reserve", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT, template_yaml_pool_t,
			 reserve, reserve_names, CYAML_ARRAY_LEN(reserve_names)),
	OPTIONAL_UINT_FIELD("reserve_vms", template_yaml_pool_t, reserve_vms),
	CYAML_FIELD_BOOL("spare", CYAML_FLAG_OPTIONAL, template_yaml_pool_t, spare),
	CYAML_FIELD_UINT("min_vms", CYAML_FLAG_DEFAULT, template_yaml_pool_t, min_vms),
	OPTIONAL_UINT_FIELD("max_vms", template_yaml_pool_t, max_vms),
	CYAML_FIELD_SEQUENCE("may_leave", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     template_yaml_pool_t, may_leave, &string_value, 0, LIST_MAX_ITEMS),
	CYAML_FIELD_SEQUENCE("windows", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     template_yaml_pool_t, windows, &string_value, 0, LIST_MAX_ITEMS),
	/* template_validate() requires classes in every pool except the spare one. */
	CYAML_FIELD_SEQUENCE("classes", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     template_yaml_pool_t, classes, &class_value, 0, LIST_MAX_ITEMS),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t pool_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, template_yaml_pool_t, pool_fields)};

static const cyaml_schema_field_t quota_fields[] = {
	NAME_FIELD("team", template_yaml_quota_t, team),
	CYAML_FIELD_UINT("max_running_jobs", CYAML_FLAG_DEFAULT, template_yaml_quota_t,
			 max_running_jobs),
	OPTIONAL_UINT_FIELD("max_requests_per_s", template_yaml_quota_t, max_requests_per_s),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t quota_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, template_yaml_quota_t, quota_fields)};

static const cyaml_schema_field_t weights_fields[] = {
	OPTIONAL_UINT_FIELD("rollout", template_yaml_weights_t, rollout),
	OPTIONAL_UINT_FIELD("buffer", template_yaml_weights_t, buffer),
	OPTIONAL_UINT_FIELD("moves", template_yaml_weights_t, moves),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t maintenance_fields[] = {
	TEXT_FIELD("image", template_yaml_maintenance_t, image, CYAML_FLAG_DEFAULT),
	OPTIONAL_UINT_FIELD("max_batch", template_yaml_maintenance_t, max_batch),
	DEFAULTED_UINT_FIELD("probation_ms", template_yaml_maintenance_t, probation_ms),
	DEFAULTED_UINT_FIELD("stop_after_failures", template_yaml_maintenance_t,
			     stop_after_failures),
	CYAML_FIELD_BOOL("paused", CYAML_FLAG_OPTIONAL, template_yaml_maintenance_t, paused),
	DEFAULTED_UINT_FIELD("drain_timeout_ms", template_yaml_maintenance_t, drain_timeout_ms),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t template_fields[] = {
	NAME_FIELD("organisation", template_yaml_t, organisation),
	CYAML_FIELD_SEQUENCE("parameters", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     template_yaml_t, parameters, &param_value, 0, LIST_MAX_ITEMS),
	CYAML_FIELD_SEQUENCE("pools", CYAML_FLAG_POINTER, template_yaml_t, pools, &pool_value, 1,
			     LIST_MAX_ITEMS),
	CYAML_FIELD_SEQUENCE("quotas", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, template_yaml_t,
			     quotas, &quota_value, 0, LIST_MAX_ITEMS),
	CYAML_FIELD_MAPPING_PTR("weights", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				template_yaml_t, weights, weights_fields),
	CYAML_FIELD_MAPPING_PTR("maintenance", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				template_yaml_t, maintenance, maintenance_fields),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t template_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, template_yaml_t, template_fields)};

/* Schema of the first pass over the text, which reads only the parameter declarations. */
static const cyaml_schema_field_t parameter_declaration_fields[] = {
	CYAML_FIELD_SEQUENCE("parameters", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     template_yaml_t, parameters, &param_value, 0, LIST_MAX_ITEMS),
	CYAML_FIELD_END,
};
static const cyaml_schema_value_t parameter_declaration_value = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, template_yaml_t, parameter_declaration_fields)};

/*
 * First error that libcyaml logged, and its location. The log is the only place where libcyaml
 * reports the location. Its first line is the error; the lines after "Backtrace" are locations,
 * innermost first.
 */
typedef struct {
	char problem[256];
	char location[256];
} yaml_error_log_t;

static void record_yaml_error(cyaml_log_t level, void *ctx, const char *format, va_list args)
{
	yaml_error_log_t *log = ctx;
	char line[256];

	vsnprintf(line, sizeof(line), format, args);
	g_strchomp(line);
	if (log->problem[0] == '\0')
		g_strlcpy(log->problem, g_str_has_prefix(line, "Load: ") ? line + 6 : line,
			  sizeof(log->problem));
	else if (log->location[0] == '\0' && strstr(line, "line: ") != NULL)
		g_strlcpy(log->location, line, sizeof(log->location));
}

static const char *expected_value_of_key(const char *key)
{
	static const char *const table[][2] = {
		{"reserve", "one of vms, rack, data-centre"},
		{"spare", "true or false"},
		{"repeatable", "true or false"},
		{"paused", "true or false"},
		{"parameters", "a list of parameters with name and default"},
		{"pools", "a list of 1 to 1,024 pools"},
		{"classes", "a list of 1 to 1,024 request classes"},
		{"quotas", "a list of quotas with team and max_running_jobs"},
		{"windows", "a list of windows such as \"mon-fri 22:00-04:00\""},
		{"may_leave", "a list of patterns of VM ids"},
		{"weights", "a mapping with rollout, buffer and moves"},
		{"maintenance", "a mapping with image"},
		{"name", "a name of 1 to 64 characters"},
		{"organisation", "a name of 1 to 64 characters"},
		{"team", "a name of 1 to 64 characters"},
		{"image", "a name of 1 to 256 characters"},
		{"path_prefix", "a path of 1 to 256 characters"},
		{"default", "a text of 1 to 256 characters"},
		{"description", "a text of 1 to 256 characters"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		if (strcmp(table[i][0], key) == 0)
			return table[i][1];
	}
	return "a whole number from 0 to 4,294,967,295";
}

/*
 * Returns the number of the first line, from first_line on, that starts with "key:", or first_line
 * if there is none. Corrects the location of an unknown key, since libcyaml reports the line before
 * it.
 */
static unsigned find_line_of_key(const char *text, const char *key, unsigned first_line)
{
	char **lines = g_strsplit(text, "\n", -1);
	size_t length = strlen(key);
	unsigned found = first_line;

	for (unsigned i = 0; lines[i] != NULL; i++) {
		const char *start = lines[i] + strspn(lines[i], " -{");

		if (i + 1 >= first_line && strncmp(start, key, length) == 0 &&
		    start[length] == ':') {
			found = i + 1;
			break;
		}
	}
	g_strfreev(lines);
	return found;
}

static int report_yaml_error(const template_input_t *input, const yaml_error_log_t *log,
			     cyaml_err_t code)
{
	const char *line_text = strstr(log->location, "line: ");
	unsigned line = line_text != NULL ? (unsigned)strtoul(line_text + 6, NULL, 10) : 1;
	const char *mapping_field = strstr(log->location, "mapping field '");
	const char *last_space = strrchr(log->problem, ' ');
	char key[NAME_MAX_BYTES] = "template";

	if (mapping_field != NULL)
		sscanf(mapping_field, "mapping field '%63[^']", key);
	if (code == CYAML_ERR_INVALID_KEY && last_space != NULL)
		return template_error(input, find_line_of_key(input->text, last_space + 1, line),
				      last_space + 1,
				      "unknown key, expected a key of this section");
	if (code == CYAML_ERR_MAPPING_FIELD_MISSING && last_space != NULL)
		return template_error(input, line, last_space + 1, "missing, expected %s",
				      expected_value_of_key(last_space + 1));
	if (code == CYAML_ERR_LIBYAML_PARSER)
		return template_error(input, line, key, "%s, expected valid YAML", log->problem);
	return template_error(input, line, key, "%s, expected %s", log->problem,
			      expected_value_of_key(key));
}

static int load_yaml(const template_input_t *input, const cyaml_schema_value_t *schema,
		     cyaml_cfg_flags_t flags, template_yaml_t **yaml)
{
	yaml_error_log_t log = {0};
	const cyaml_config_t config = {
		.log_fn = record_yaml_error,
		.log_ctx = &log,
		.log_level = CYAML_LOG_WARNING,
		.mem_fn = cyaml_mem,
		.flags = CYAML_CFG_NO_ALIAS | flags,
	};
	cyaml_err_t code;

	*yaml = NULL;
	code = cyaml_load_data((const uint8_t *)input->text, strlen(input->text), &config, schema,
			       (cyaml_data_t **)yaml, NULL);
	if (code != CYAML_OK) {
		if (log.problem[0] == '\0')
			g_strlcpy(log.problem, cyaml_strerror(code), sizeof(log.problem));
		return report_yaml_error(input, &log, code);
	}
	if (*yaml == NULL)
		return template_error(input, 1, "template", "empty, expected a template");
	return 0;
}

static void free_yaml(const cyaml_schema_value_t *schema, template_yaml_t *yaml)
{
	const cyaml_config_t config = {.log_level = CYAML_LOG_ERROR, .mem_fn = cyaml_mem};

	cyaml_free(&config, schema, yaml, 0);
}

int template_error(const template_input_t *input, unsigned line, const char *key,
		   const char *format, ...)
{
	va_list args;
	int length =
		snprintf(input->error, input->error_size, "%s:%u: %s: ", input->file, line, key);

	if (length < 0 || (size_t)length >= input->error_size)
		return -1;
	va_start(args, format);
	vsnprintf(input->error + length, input->error_size - (size_t)length, format, args);
	va_end(args);
	return -1;
}

static uint32_t value_or_default(const uint32_t *value, uint32_t default_value)
{
	return value != NULL ? *value : default_value;
}

static Lp__RequestClass *convert_class(const template_yaml_class_t *yaml)
{
	Lp__RequestClass *class = g_new(Lp__RequestClass, 1);

	lp__request_class__init(class);
	class->name = yaml->name;
	class->path_prefix = yaml->path_prefix;
	class->deadline_ms = yaml->deadline_ms;
	class->repeatable = yaml->repeatable;
	class->priority = yaml->priority;
	class->queue_limit = value_or_default(yaml->queue_limit, DEFAULT_QUEUE_LIMIT);
	return class;
}

static Lp__PoolSpec *convert_pool(const template_yaml_pool_t *yaml)
{
	Lp__PoolSpec *pool = g_new(Lp__PoolSpec, 1);

	lp__pool_spec__init(pool);
	pool->name = yaml->name;
	pool->keep_vms = yaml->keep_vms;
	pool->reserve_vms = yaml->reserve_vms;
	pool->reserve_scope = yaml->reserve;
	pool->spare = yaml->spare;
	pool->min_vms = yaml->min_vms;
	pool->max_vms = yaml->max_vms;
	pool->n_may_leave = yaml->may_leave_count;
	pool->may_leave = yaml->may_leave;
	pool->n_windows = yaml->windows_count;
	pool->windows = g_new(Lp__Window *, yaml->windows_count);
	for (uint32_t i = 0; i < yaml->windows_count; i++) {
		pool->windows[i] = g_new(Lp__Window, 1);
		lp__window__init(pool->windows[i]);
		template_window_parse(yaml->windows[i], pool->windows[i]);
	}
	pool->n_classes = yaml->classes_count;
	pool->classes = g_new(Lp__RequestClass *, yaml->classes_count);
	for (uint32_t i = 0; i < yaml->classes_count; i++)
		pool->classes[i] = convert_class(&yaml->classes[i]);
	return pool;
}

static void free_pool_spec(Lp__PoolSpec *pool)
{
	for (size_t i = 0; i < pool->n_windows; i++)
		g_free(pool->windows[i]);
	for (size_t i = 0; i < pool->n_classes; i++)
		g_free(pool->classes[i]);
	g_free(pool->windows);
	g_free(pool->classes);
	g_free(pool);
}

static void convert_weights_and_maintenance(const template_yaml_t *yaml, Lp__Weights *weights,
					    Lp__MaintenanceSpec *maintenance)
{
	lp__weights__init(weights);
	lp__maintenance_spec__init(maintenance);
	weights->rollout = yaml->weights != NULL ? yaml->weights->rollout : 1;
	weights->buffer = yaml->weights != NULL ? yaml->weights->buffer : 1;
	weights->moves = yaml->weights != NULL ? yaml->weights->moves : 1;
	maintenance->probation_ms = DEFAULT_PROBATION_MS;
	maintenance->stop_after_failures = DEFAULT_STOP_AFTER_FAILURES;
	maintenance->drain_timeout_ms = DEFAULT_DRAIN_TIMEOUT_MS;
	if (yaml->maintenance == NULL)
		return;
	maintenance->image = yaml->maintenance->image;
	maintenance->max_batch = yaml->maintenance->max_batch;
	maintenance->paused = yaml->maintenance->paused;
	maintenance->probation_ms =
		value_or_default(yaml->maintenance->probation_ms, DEFAULT_PROBATION_MS);
	maintenance->stop_after_failures = value_or_default(yaml->maintenance->stop_after_failures,
							    DEFAULT_STOP_AFTER_FAILURES);
	maintenance->drain_timeout_ms =
		value_or_default(yaml->maintenance->drain_timeout_ms, DEFAULT_DRAIN_TIMEOUT_MS);
}

static Lp__Quota *convert_quotas(const template_yaml_t *yaml)
{
	Lp__Quota *quotas = g_new(Lp__Quota, yaml->quotas_count);

	for (uint32_t i = 0; i < yaml->quotas_count; i++) {
		lp__quota__init(&quotas[i]);
		quotas[i].team = yaml->quotas[i].team;
		quotas[i].max_running_jobs = yaml->quotas[i].max_running_jobs;
		quotas[i].max_requests_per_s = yaml->quotas[i].max_requests_per_s;
	}
	return quotas;
}

/* Builds a message whose strings belong to yaml and text, and returns a deep copy of it. */
static Lp__Template *convert_template(const template_yaml_t *yaml, const char *text)
{
	Lp__Template shallow = LP__TEMPLATE__INIT;
	Lp__Quota *quotas = convert_quotas(yaml);
	Lp__Quota **quota_list = g_new(Lp__Quota *, yaml->quotas_count);
	Lp__PoolSpec **pools = g_new(Lp__PoolSpec *, yaml->pools_count);
	Lp__Weights weights;
	Lp__MaintenanceSpec maintenance;
	Lp__Template *copy;

	for (uint32_t i = 0; i < yaml->quotas_count; i++)
		quota_list[i] = &quotas[i];
	for (uint32_t i = 0; i < yaml->pools_count; i++)
		pools[i] = convert_pool(&yaml->pools[i]);
	convert_weights_and_maintenance(yaml, &weights, &maintenance);
	shallow.organisation = yaml->organisation;
	shallow.n_pools = yaml->pools_count;
	shallow.pools = pools;
	shallow.n_quotas = yaml->quotas_count;
	shallow.quotas = quota_list;
	shallow.weights = &weights;
	shallow.maintenance = &maintenance;
	shallow.text = (char *)text;
	copy = message_copy(&shallow.base);
	for (uint32_t i = 0; i < yaml->pools_count; i++)
		free_pool_spec(pools[i]);
	g_free(pools);
	g_free(quota_list);
	g_free(quotas);
	return copy;
}

static int parse_substituted(const template_input_t *input, Lp__Template **out)
{
	template_yaml_t *yaml;

	if (load_yaml(input, &template_value, 0, &yaml) != 0)
		return -1;
	if (template_validate(input, yaml) != 0) {
		free_yaml(&template_value, yaml);
		return -1;
	}
	*out = convert_template(yaml, input->text);
	free_yaml(&template_value, yaml);
	return 0;
}

int template_parse(const char *name, const char *text, size_t length,
		   const template_param_t *params, size_t param_count, Lp__Template **out,
		   char *error, size_t error_size)
{
	char *source = g_strndup(text, length);
	template_input_t input = {name, source, error, error_size};
	template_yaml_t *declarations;
	char *substituted;
	int result = -1;

	*out = NULL;
	if (strlen(source) != length) {
		template_error(&input, 1, "template", "holds a zero byte, expected text");
		goto out_source;
	}
	if (load_yaml(&input, &parameter_declaration_value, CYAML_CFG_IGNORE_UNKNOWN_KEYS,
		      &declarations) != 0)
		goto out_source;
	substituted = template_substitute_params(&input, declarations, params, param_count);
	if (substituted == NULL)
		goto out_declarations;
	input.text = substituted;
	result = parse_substituted(&input, out);
	g_free(substituted);
out_declarations:
	free_yaml(&parameter_declaration_value, declarations);
out_source:
	g_free(source);
	return result;
}
