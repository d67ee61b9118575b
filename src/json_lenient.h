#pragma once

#include <stddef.h>

#include <jansson.h>

/**
 * @file
 * Reads a JSON document whose lists hold entries of several writers. A value that the parser
 * refuses, such as a number out of range, nesting beyond the parser's depth or bytes that are not
 * UTF-8, is left out, and the rest of the document is read.
 */

/**
 * Parses a JSON document. If the parser refuses it, the members of the document, the entries of its
 * lists, and the members or elements of these entries are parsed one by one: a refused member is
 * missing, a refused element is null.
 * @param refused receives the number of refused values; 0: the document was parsed as a whole
 * @return a new reference, or NULL when the brackets or strings of the document do not match
 */
json_t *json_load_lenient(const char *text, size_t length, size_t *refused);
