#pragma once

#include <stddef.h>

/**
 * @file
 * Line numbers of keys in a YAML text, for error messages. libcyaml reports where its parser
 * stands, which for unknown, missing and repeated keys is another line than that of the key.
 */

/**
 * Line of a key.
 * @param key key of a mapping at any depth
 * @param from_line first line to look at, from 1
 * @return the line, from 1, or 0 when there is no such key
 */
unsigned yaml_locate_key(const char *text, size_t length, const char *key, unsigned from_line);

/**
 * Line of the key at a path from the root, such as "timing.lease_ms" or "peers.2.address"; entries
 * of sequences are counted from 0.
 * @return the line, from 1, or 0 when there is nothing at the path
 */
unsigned yaml_locate_path(const char *text, size_t length, const char *path);
