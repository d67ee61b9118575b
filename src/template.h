#pragma once

#include <stddef.h>

#include "command.pb-c.h"

/**
 * @file
 * Parses an organisation's template: YAML text in which each ${name} is replaced by the value given
 * for the parameter, or by its default under `parameters:`. Error messages name the file, line, key
 * and expected value.
 */

/** Value that the caller gives for a parameter. */
typedef struct {
	const char *name;
	const char *value;
} template_param_t;

/**
 * Substitutes the parameters in a template's text, then parses and validates the result.
 * @param name file name for error messages
 * @param out set to the template, to be freed with lp__template__free_unpacked(*out, NULL); NULL on
 * an error. Its text field is the YAML after substitution.
 * @return 0, or -1 with a message in error
 */
int template_parse(const char *name, const char *text, size_t length,
		   const template_param_t *params, size_t param_count, Lp__Template **out,
		   char *error, size_t error_size);
