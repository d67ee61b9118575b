#include "yaml_locate.h"

#include <string.h>

#include <yaml.h>

static unsigned find_key(yaml_document_t *document, const char *key, unsigned from_line)
{
	unsigned best = 0;
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
			    (best == 0 || line < best))
				best = line;
		}
	}
	return best;
}

unsigned yaml_locate_key(const char *text, size_t length, const char *key, unsigned from_line)
{
	unsigned line = 0;
	yaml_parser_t parser;
	yaml_document_t document;

	if (yaml_parser_initialize(&parser) == 0)
		return 0;
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, length);
	if (yaml_parser_load(&parser, &document) != 0) {
		line = find_key(&document, key, from_line);
		yaml_document_delete(&document);
	}
	yaml_parser_delete(&parser);
	return line;
}
