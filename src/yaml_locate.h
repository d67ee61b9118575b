#pragma once

#include <stddef.h>

/**
 * @file
 * Finds the line numbers of keys in YAML text, for error messages. libcyaml reports only the
 * position of its parser, which is not the line of the key when the key is unknown, missing or
 * repeated.
 */

/**
 * Finds the first line that has a key.
 * @param key key in a mapping at any depth
 * @param from_line first line to search; lines are numbered from 1
 * @return line, or 0 when the key is not found
 */
unsigned yaml_locate_key(const char *text, size_t length, const char *key, unsigned from_line);

/**
 * Finds the line of the key at a path from the root, such as "timing.lease_ms" or
 * "peers.2.address"; sequence entries are numbered from 0.
 * @return line, numbered from 1, or 0 when the path does not exist
 */
unsigned yaml_locate_path(const char *text, size_t length, const char *path);
