#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "template.h"

/**
 * @file
 * The parsed YAML of a template, before it is converted to a protobuf message, and the checks on
 * it.
 */

typedef struct {
	char *name;
	char *value; /**< default value; NULL: the caller must give a value */
	char *description;
} template_yaml_param_t;

typedef struct {
	char *name;
	char *path_prefix;
	uint32_t deadline_ms;
	bool repeatable;
	uint32_t priority;
	uint32_t *queue_limit; /**< NULL: the default value is used */
} template_yaml_class_t;

typedef struct {
	char *name;
	uint32_t keep_vms;
	Lp__ReserveScope reserve;
	uint32_t reserve_vms;
	bool spare;
	uint32_t min_vms;
	uint32_t max_vms;
	char **may_leave;
	uint32_t may_leave_count;
	char **windows;
	uint32_t windows_count;
	template_yaml_class_t *classes;
	uint32_t classes_count;
} template_yaml_pool_t;

typedef struct {
	char *team;
	uint32_t max_running_jobs;
	uint32_t max_requests_per_s;
} template_yaml_quota_t;

typedef struct {
	uint32_t rollout;
	uint32_t buffer;
	uint32_t moves;
} template_yaml_weights_t;

typedef struct {
	char *image;
	uint32_t max_batch;
	uint32_t *probation_ms;	       /**< NULL: the default value is used */
	uint32_t *stop_after_failures; /**< NULL: the default value is used */
	bool paused;
	uint32_t *drain_timeout_ms; /**< NULL: the default value is used */
} template_yaml_maintenance_t;

typedef struct {
	char *organisation;
	template_yaml_param_t *parameters;
	uint32_t parameters_count;
	template_yaml_pool_t *pools;
	uint32_t pools_count;
	template_yaml_quota_t *quotas;
	uint32_t quotas_count;
	template_yaml_weights_t *weights;
	template_yaml_maintenance_t *maintenance;
} template_yaml_t;

/** Template that is being parsed, and the buffer for its error message. */
typedef struct {
	const char *file;
	const char *text;
	char *error;
	size_t error_size;
} template_input_t;

/**
 * Writes "file:line: key: text" to the input's error buffer.
 * @return -1
 */
int template_error(const template_input_t *input, unsigned line, const char *key,
		   const char *format, ...) G_GNUC_PRINTF(4, 5);

/**
 * Finds the line of a key or list item in block-style YAML.
 * @param path keys and list indexes from 0, such as "pools", "2", "keep_vms"; ends with NULL
 * @return line number, from 1, of the deepest element of the path that was found
 */
unsigned template_find_line(const char *text, const char *const *path);

/**
 * Replaces each ${name} in the template's text.
 * @return the new text, to be freed with g_free(), or NULL with an error message
 */
char *template_substitute_params(const template_input_t *input, const template_yaml_t *declarations,
				 const template_param_t *params, size_t param_count);

/**
 * Parses a maintenance window such as "mon-fri 22:00-04:00".
 * @return 0, or -1 when it is malformed
 */
int template_window_parse(const char *text, Lp__Window *window);

/**
 * Checks the rules that the YAML schema cannot express.
 * @return 0, or -1 with an error message
 */
int template_validate(const template_input_t *input, const template_yaml_t *yaml);
