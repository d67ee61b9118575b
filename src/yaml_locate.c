#include "yaml_locate.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <yaml.h>

/* Returns the first line at or after from_line that has the key in any mapping; 0 when there is
 * none. */
static unsigned find_key(yaml_document_t *document, const char *key, unsigned from_line)
{
	unsigned first_line = 0;
	yaml_node_t *node;

	for (int i = 1; (node = yaml_document_get_node(document, i)) != NULL; i++) {
		if (node->type != YAML_MAPPING_NODE)
			continue;
		for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
		     pair < node->data.mapping.pairs.top; pair++) {
			const yaml_node_t *name = yaml_document_get_node(document, pair->key);
			unsigned line = (unsigned)name->start_mark.line + 1;

			if (name->type == YAML_SCALAR_NODE && line >= from_line &&
			    strcmp((const char *)name->data.scalar.value, key) == 0 &&
			    (first_line == 0 || line < first_line))
				first_line = line;
		}
	}
	return first_line;
}

/* Finds a child of a YAML node: a value of a mapping by its key, or an entry of a sequence by its
 * index.
 * @param line set to the line of the key or entry
 * @return the child, or NULL */
static yaml_node_t *find_child(yaml_document_t *document, const yaml_node_t *node, const char *name,
			       unsigned *line)
{
	size_t index = strtoul(name, NULL, 10);
	yaml_node_t *found;

	if (node->type == YAML_SEQUENCE_NODE) {
		if (index >=
		    (size_t)(node->data.sequence.items.top - node->data.sequence.items.start))
			return NULL;
		found = yaml_document_get_node(document, node->data.sequence.items.start[index]);
		*line = (unsigned)found->start_mark.line + 1;
		return found;
	}
	if (node->type != YAML_MAPPING_NODE)
		return NULL;
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		const yaml_node_t *key = yaml_document_get_node(document, pair->key);

		if (key->type == YAML_SCALAR_NODE &&
		    strcmp((const char *)key->data.scalar.value, name) == 0) {
			*line = (unsigned)key->start_mark.line + 1;
			return yaml_document_get_node(document, pair->value);
		}
	}
	return NULL;
}

/* Returns the line of the key at a path from the root, separated by dots; 0 when there is none. */
static unsigned find_path(yaml_document_t *document, const char *path)
{
	char **names = g_strsplit(path, ".", 0);
	const yaml_node_t *node = yaml_document_get_root_node(document);
	unsigned line = 0;

	for (size_t i = 0; names[i] != NULL && node != NULL; i++)
		node = find_child(document, node, names[i], &line);
	g_strfreev(names);
	return node == NULL ? 0 : line;
}

static bool load_document(const char *text, size_t length, yaml_document_t *document)
{
	yaml_parser_t parser;
	bool ok;

	if (yaml_parser_initialize(&parser) == 0)
		return false;
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, length);
	ok = yaml_parser_load(&parser, document) != 0;
	yaml_parser_delete(&parser);
	return ok;
}

unsigned yaml_locate_key(const char *text, size_t length, const char *key, unsigned from_line)
{
	yaml_document_t document;
	unsigned line;

	if (!load_document(text, length, &document))
		return 0;
	line = find_key(&document, key, from_line);
	yaml_document_delete(&document);
	return line;
}

unsigned yaml_locate_path(const char *text, size_t length, const char *path)
{
	yaml_document_t document;
	unsigned line;

	if (!load_document(text, length, &document))
		return 0;
	line = find_path(&document, path);
	yaml_document_delete(&document);
	return line;
}
