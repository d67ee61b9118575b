#include <ctype.h>
#include <string.h>

#include "template_internal.h"

/* Characters that could change the structure of the YAML text around a value. */
#define FORBIDDEN_IN_VALUE "\"'#{}[]\\$&*!|>%@`"

static const template_yaml_param_t *find_declared(const template_yaml_t *declared, const char *name)
{
	for (uint32_t i = 0; i < declared->parameters_count; i++) {
		if (strcmp(declared->parameters[i].name, name) == 0)
			return &declared->parameters[i];
	}
	return NULL;
}

static int check_value(const template_report_t *report, const char *name, const char *value)
{
	for (const char *c = value; *c != '\0'; c++) {
		if (iscntrl((unsigned char)*c))
			return template_error(report, 1, name,
					      "parameter value holds a control character, expected "
					      "one line of text");
	}
	if (strpbrk(value, FORBIDDEN_IN_VALUE) != NULL || strstr(value, ": ") != NULL)
		return template_error(report, 1, name,
				      "parameter value \"%s\", expected none of %s and no \": \"",
				      value, FORBIDDEN_IN_VALUE);
	return 0;
}

static const char *value_of(const template_yaml_t *declared, const template_param_t *params,
			    size_t param_count, const char *name)
{
	const template_yaml_param_t *param = find_declared(declared, name);

	for (size_t i = 0; i < param_count; i++) {
		if (strcmp(params[i].name, name) == 0)
			return params[i].value;
	}
	return param != NULL ? param->value : NULL;
}

static int check_params(const template_report_t *report, const template_yaml_t *declared,
			const template_param_t *params, size_t param_count)
{
	for (size_t i = 0; i < param_count; i++) {
		if (find_declared(declared, params[i].name) == NULL)
			return template_error(report, 1, params[i].name,
					      "is not declared, expected a name listed under "
					      "parameters");
		if (check_value(report, params[i].name, params[i].value) != 0)
			return -1;
	}
	return 0;
}

/* Copies one line with its ${name} replaced. Comments are left as they are. */
static int fill_line(const template_report_t *report, const template_yaml_t *declared,
		     const template_param_t *params, size_t param_count, unsigned number,
		     const char *line, GString *out)
{
	const char *open;

	if (line[strspn(line, " \t")] == '#') {
		g_string_append(out, line);
		return 0;
	}
	while ((open = strstr(line, "${")) != NULL) {
		const char *close = strchr(open, '}');
		const char *value;
		char *name;

		if (close == NULL)
			return template_error(report, number, "${", "expected a closing }");
		name = g_strndup(open + 2, (gsize)(close - open - 2));
		value = value_of(declared, params, param_count, name);
		if (value == NULL)
			template_error(report, number, name,
				       "parameter without a value, expected a default under "
				       "parameters or a given value");
		g_free(name);
		if (value == NULL)
			return -1;
		g_string_append_len(out, line, open - line);
		g_string_append(out, value);
		line = close + 1;
	}
	g_string_append(out, line);
	return 0;
}

char *template_fill(const template_report_t *report, const template_yaml_t *declared,
		    const template_param_t *params, size_t param_count)
{
	char **lines;
	GString *out;
	bool failed = false;

	if (check_params(report, declared, params, param_count) != 0)
		return NULL;
	lines = g_strsplit(report->text, "\n", -1);
	out = g_string_new(NULL);
	for (unsigned i = 0; lines[i] != NULL && !failed; i++) {
		if (i > 0)
			g_string_append_c(out, '\n');
		failed =
			fill_line(report, declared, params, param_count, i + 1, lines[i], out) != 0;
	}
	g_strfreev(lines);
	return g_string_free(out, failed);
}
