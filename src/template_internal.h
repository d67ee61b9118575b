#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "template.h"

/**
 * @file
 * A template as it is written in YAML, before it is converted; and what its checks need.
 */

typedef struct {
	char *name;
	char *value; /**< NULL: a value must be given */
	char *description;
} template_yaml_param_t;

typedef struct {
	char *name;
	char *path_prefix;
	uint32_t deadline_ms;
	bool repeatable;
	uint32_t priority;
	uint32_t *queue_limit;
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
	uint32_t *probation_ms;
	uint32_t *stop_after_failures;
	bool paused;
	uint32_t *drain_timeout_ms;
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

/** Where messages go, and the text they refer to. */
typedef struct {
	const char *file;
	const char *text;
	char *error;
	size_t error_size;
} template_report_t;

/** Writes "file:line: key: text". @return -1 */
int template_error(const template_report_t *report, unsigned line, const char *key,
		   const char *format, ...) G_GNUC_PRINTF(4, 5);

/**
 * Line of a key, or of an item of a list, in block style YAML.
 * @param path alternating keys and item numbers, such as "pools", "2", "keep_vms"; NULL ends it
 * @return the line of the deepest part that was found, from 1
 */
unsigned template_line(const char *text, const char *const *path);

/** Replaces ${name}. @return the text, to be freed with g_free(), or NULL with an error */
char *template_fill(const template_report_t *report, const template_yaml_t *declared,
		    const template_param_t *params, size_t param_count);

/** Parses "mon-fri 22:00-04:00". @return 0, or -1 when malformed */
int template_window_parse(const char *text, Lp__Window *window);

/** Checks what the schema cannot express. @return 0, or -1 with an error */
int template_check(const template_report_t *report, const template_yaml_t *yaml);
