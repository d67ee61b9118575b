#pragma once

#include <stddef.h>

#include "command.pb-c.h"

/**
 * @file
 * Parses an organisation's template, a YAML text in which ${name} is replaced by a given parameter
 * value or by the default under `parameters:`. Errors name file, line, key and expected value.
 */

/** Value given for a parameter. */
typedef struct {
	const char *name;
	const char *value;
} template_param_t;

/**
 * Substitutes the parameters, then parses and validates the template.
 * @param name file name for error messages
 * @param out to be freed with lp__template__free_unpacked(*out, NULL), or NULL on an error; its
 * text is the YAML after substitution
 * @return 0, or -1 with a message in error
 */
int template_parse(const char *name, const char *text, size_t length,
		   const template_param_t *params, size_t param_count, Lp__Template **out,
		   char *error, size_t error_size);
