#pragma once

#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/**
 * @file
 * Seeded mutation of valid samples and generation of messages with arbitrary field values. The same
 * seed and number of rounds give the same inputs. LP_TEST_SEED and LP_TEST_ROUNDS override the
 * defaults.
 */

typedef struct {
	GRand *rand;
	guint32 seed;
	unsigned rounds;
	const char *const *words; /**< values for string fields */
	size_t word_count;
} fuzz_t;

/** @param words values for string fields; must outlive the fuzz_t */
void fuzz_init(fuzz_t *fuzz, unsigned default_rounds, const char *const *words, size_t word_count);
void fuzz_finish(fuzz_t *fuzz);

/** Uniform in [0, limit); 0 when the limit is 0. */
size_t fuzz_below(fuzz_t *fuzz, size_t limit);
/** A small number in most cases, otherwise a limit of an integer type or any value. */
uint64_t fuzz_number(fuzz_t *fuzz);

/** Copies a sample and applies 1 to 4 mutations: flipped bits, overwritten, inserted, removed or
 * repeated bytes, truncation, an edited length field, a splice with another sample. */
GByteArray *fuzz_mutate(fuzz_t *fuzz, GPtrArray *samples);

/** Generates a message with arbitrary values in the wire format. */
void fuzz_pack(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type, GByteArray *out);
/** The same, unpacked. Free with protobuf_c_message_free_unpacked(). */
ProtobufCMessage *fuzz_message(fuzz_t *fuzz, const ProtobufCMessageDescriptor *type);
