#pragma once

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/**
 * @file
 * Mutates valid samples and generates messages with arbitrary field values, from a seeded random
 * generator. The same seed and number of rounds give the same inputs. The environment variables
 * LP_TEST_SEED and LP_TEST_ROUNDS override the defaults.
 */

typedef struct {
	GRand *rand;
	guint32 seed;
	unsigned rounds;
	const char *const *string_values; /**< values of generated string fields */
	size_t string_value_count;
} fuzz_t;

/** Starts the random generator. @param string_values values of generated string fields; must
 * outlive the fuzz_t */
void fuzz_init(fuzz_t *fuzz, unsigned default_rounds, const char *const *string_values,
	       size_t string_value_count);
void fuzz_finish(fuzz_t *fuzz);

/** Returns a random number in [0, limit), or 0 when limit is 0. */
size_t fuzz_random_below(fuzz_t *fuzz, size_t limit);
/** Returns a number below 10 in most cases, otherwise any 64-bit value or one at a limit of an
 * integer type. */
uint64_t fuzz_random_integer(fuzz_t *fuzz);

/**
 * Copies a random sample and applies 1 to 4 mutations: flipped bits, overwritten, inserted, removed
 * or repeated bytes, truncation, an overwritten integer, or a tail from another sample.
 * @param samples array of GByteArray
 * @return a new array; release it with g_byte_array_unref()
 */
GByteArray *fuzz_mutate(fuzz_t *fuzz, GPtrArray *samples);

/** Generates a message with arbitrary field values and appends it to out in the wire format. */
void fuzz_generate_packed(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type, GByteArray *out);
/** Generates a message with arbitrary field values. The caller frees it with
 * protobuf_c_message_free_unpacked(). */
ProtobufCMessage *fuzz_generate_message(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type);
