#include <ctype.h>
#include <string.h>

#include "template_internal.h"

/*
 * Characters that parameter values must not contain: they have a meaning in YAML and could change
 * the structure of the surrounding text.
 */
#define FORBIDDEN_IN_VALUE "\"'#{}[]\\$&*!|>%@`"

static const template_yaml_param_t *find_declaration(const template_yaml_t *declarations,
						     const char *name)
{
	for (uint32_t i = 0; i < declarations->parameters_count; i++) {
		if (strcmp(declarations->parameters[i].name, name) == 0)
			return &declarations->parameters[i];
	}
	return NULL;
}

static int check_param_value(const template_input_t *input, const char *name, const char *value)
{
	for (const char *c = value; *c != '\0'; c++) {
		if (iscntrl((unsigned char)*c))
			return template_error(input, 1, name,
					      "parameter value holds a control character, expected "
					      "one line of text");
	}
	if (strpbrk(value, FORBIDDEN_IN_VALUE) != NULL || strstr(value, ": ") != NULL)
		return template_error(input, 1, name,
				      "parameter value \"%s\", expected none of %s and no \": \"",
				      value, FORBIDDEN_IN_VALUE);
	return 0;
}

static const char *find_param_value(const template_yaml_t *declarations,
				    const template_param_t *params, size_t param_count,
				    const char *name)
{
	const template_yaml_param_t *param = find_declaration(declarations, name);

	for (size_t i = 0; i < param_count; i++) {
		if (strcmp(params[i].name, name) == 0)
			return params[i].value;
	}
	return param != NULL ? param->value : NULL;
}

static int check_params(const template_input_t *input, const template_yaml_t *declarations,
			const template_param_t *params, size_t param_count)
{
	for (size_t i = 0; i < param_count; i++) {
		if (find_declaration(declarations, params[i].name) == NULL)
			return template_error(input, 1, params[i].name,
					      "is not declared, expected a name listed under "
					      "parameters");
		if (check_param_value(input, params[i].name, params[i].value) != 0)
			return -1;
	}
	return 0;
}

/*
 * Appends a line to out with each ${name} replaced by its value. Comment lines are copied
 * unchanged.
 */
static int substitute_line(const template_input_t *input, const template_yaml_t *declarations,
			   const template_param_t *params, size_t param_count, unsigned line_number,
			   const char *line, GString *out)
{
	const char *placeholder;

	if (line[strspn(line, " \t")] == '#') {
		g_string_append(out, line);
		return 0;
	}
	while ((placeholder = strstr(line, "${")) != NULL) {
		const char *closing_brace = strchr(placeholder, '}');
		const char *value;
		char *name;

		if (closing_brace == NULL)
			return template_error(input, line_number, "${", "expected a closing }");
		name = g_strndup(placeholder + 2, (gsize)(closing_brace - placeholder - 2));
		value = find_param_value(declarations, params, param_count, name);
		if (value == NULL)
			template_error(input, line_number, name,
				       "parameter without a value, expected a default under "
				       "parameters or a given value");
		g_free(name);
		if (value == NULL)
			return -1;
		g_string_append_len(out, line, placeholder - line);
		g_string_append(out, value);
		line = closing_brace + 1;
	}
	g_string_append(out, line);
	return 0;
}

char *template_substitute_params(const template_input_t *input, const template_yaml_t *declarations,
				 const template_param_t *params, size_t param_count)
{
	char **lines;
	GString *out;
	bool failed = false;

	if (check_params(input, declarations, params, param_count) != 0)
		return NULL;
	lines = g_strsplit(input->text, "\n", -1);
	out = g_string_new(NULL);
	for (unsigned i = 0; lines[i] != NULL && !failed; i++) {
		if (i > 0)
			g_string_append_c(out, '\n');
		failed = substitute_line(input, declarations, params, param_count, i + 1, lines[i],
					 out) != 0;
	}
	g_strfreev(lines);
	return g_string_free(out, failed);
}
