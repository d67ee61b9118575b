#pragma once

#include <stddef.h>

#include "command.pb-c.h"

/**
 * @file
 * Templates of organisations in YAML, with parameters: ${name} in the text is replaced by a given
 * value or by the default under `parameters:`. Errors name file, line, key and what was expected.
 */

typedef struct {
	const char *name;
	const char *value;
} template_param_t;

/**
 * Fills the parameters, parses and checks a template.
 * @param name file name for messages
 * @param out to be freed with lp__template__free_unpacked(out, NULL); out->text is the filled text
 * @return 0, or -1 with a message in error
 */
int template_parse(const char *name, const char *text, size_t length,
		   const template_param_t *params, size_t param_count, Lp__Template **out,
		   char *error, size_t error_size);
