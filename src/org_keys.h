#pragma once

#include <stddef.h>
#include <stdint.h>

#include "batch.pb-c.h"

/**
 * @file
 * Keys of organisations. Only digests of keys are kept and compared, and they are compared in
 * constant time. No function writes a key or a digest to a log.
 */

/** Size of the digest of a key in bytes: SHA-256. */
#define ORG_KEY_DIGEST_BYTES 32

/** Computes the digest of a key. */
void org_key_digest(const char *key, uint8_t digest[ORG_KEY_DIGEST_BYTES]);

/**
 * @param digest of another size than ORG_KEY_DIGEST_BYTES, it matches no key
 * @return the organisation of the configuration that has the key, or NULL when none has it
 */
const Lp__BatchOrganisation *org_keys_find(const Lp__BatchConfig *config,
					   const ProtobufCBinaryData *digest);

/**
 * Checks that each organisation has a name of its own, and no key of another one.
 * @param error set to a message that names the organisations when they are invalid
 * @return 0, or -1 when the organisations are invalid
 */
int org_keys_check(const Lp__BatchConfig *config, char *error, size_t error_size);
