#include "org_keys.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

void org_key_digest(const char *key, uint8_t digest[ORG_KEY_DIGEST_BYTES])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize length = ORG_KEY_DIGEST_BYTES;

	g_checksum_update(checksum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(checksum, digest, &length);
	g_checksum_free(checksum);
}

/* The time does not depend on the contents. */
static bool same_digest(const ProtobufCBinaryData *a, const ProtobufCBinaryData *b)
{
	uint8_t difference = 0;

	if (a->len != ORG_KEY_DIGEST_BYTES || b->len != ORG_KEY_DIGEST_BYTES)
		return false;
	for (size_t i = 0; i < ORG_KEY_DIGEST_BYTES; i++)
		difference |= (uint8_t)(a->data[i] ^ b->data[i]);
	return difference == 0;
}

const Lp__BatchOrganisation *org_keys_find(const Lp__BatchConfig *config,
					   const ProtobufCBinaryData *digest)
{
	const Lp__BatchOrganisation *found = NULL;

	for (size_t i = 0; i < config->n_organisations; i++) {
		const Lp__BatchOrganisation *organisation = config->organisations[i];

		for (size_t j = 0; j < organisation->n_keys; j++) {
			if (same_digest(&organisation->keys[j], digest))
				found = organisation;
		}
	}
	return found;
}

static guint digest_hash(gconstpointer key)
{
	const ProtobufCBinaryData *digest = key;
	guint hash = 0;

	memcpy(&hash, digest->data, MIN(digest->len, sizeof(hash)));
	return hash;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return same_digest(a, b);
}

static int check_keys(const Lp__BatchOrganisation *organisation, GHashTable *owners, char *error,
		      size_t error_size)
{
	for (size_t i = 0; i < organisation->n_keys; i++) {
		const Lp__BatchOrganisation *owner =
			g_hash_table_lookup(owners, &organisation->keys[i]);

		if (owner != NULL && owner != organisation) {
			g_snprintf(error, error_size, "organisations \"%s\" and \"%s\" share a key",
				   owner->name, organisation->name);
			return -1;
		}
		g_hash_table_insert(owners, &organisation->keys[i], (void *)organisation);
	}
	return 0;
}

int org_keys_check(const Lp__BatchConfig *config, char *error, size_t error_size)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GHashTable) owners = g_hash_table_new(digest_hash, digest_equal);

	for (size_t i = 0; i < config->n_organisations; i++) {
		const Lp__BatchOrganisation *organisation = config->organisations[i];

		if (!g_hash_table_add(names, organisation->name)) {
			g_snprintf(error, error_size, "two organisations have the name \"%s\"",
				   organisation->name);
			return -1;
		}
		if (check_keys(organisation, owners, error, error_size) != 0)
			return -1;
	}
	return 0;
}
