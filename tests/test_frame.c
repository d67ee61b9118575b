#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "frame.h"

#define SEED 20260101
#define ROUNDS 300
#define FRAME_COUNT 50

static void append_sample_frame(GByteArray *stream, GRand *rand)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__ClaimSyncRequest sync = LP__CLAIM_SYNC_REQUEST__INIT;

	sync.sync_id = g_rand_int(rand) + 1ULL;
	sync.cursor = g_rand_int(rand);
	envelope.body_case = LP__ENVELOPE__BODY_CLAIM_SYNC;
	envelope.claim_sync = &sync;
	assert_true(frame_append(stream, &envelope) > FRAME_HEADER_BYTES);
}

/* Decodes the bytes in chunks of random sizes. Sets *final_status to the decoder's last status.
 * @return number of decoded frames */
static unsigned decode_in_chunks(const uint8_t *data, size_t length, GRand *rand,
				 frame_status_t *final_status)
{
	frame_decoder_t decoder;
	unsigned frames = 0;

	frame_decoder_init(&decoder);
	*final_status = FRAME_INCOMPLETE;
	for (size_t offset = 0; offset < length && *final_status != FRAME_INVALID;) {
		size_t space;
		uint8_t *buffer = frame_decoder_write_buffer(&decoder, &space);
		size_t chunk = (size_t)g_rand_int_range(rand, 1, 40);
		Lp__Envelope *envelope;

		assert_true(space > 0);
		chunk = MIN(MIN(space, length - offset), chunk);
		memcpy(buffer, data + offset, chunk);
		frame_decoder_mark_received(&decoder, chunk);
		offset += chunk;
		while ((*final_status = frame_decoder_next(&decoder, &envelope)) == FRAME_DECODED) {
			lp__envelope__free_unpacked(envelope, NULL);
			frames++;
		}
	}
	frame_decoder_finish(&decoder);
	return frames;
}

/* Guards against lost or additional frames. The result must not depend on how the stream is split
 * into chunks. */
static void test_every_split_gives_the_same_frames(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GByteArray *stream = g_byte_array_new();
	frame_status_t final_status;

	for (unsigned i = 0; i < FRAME_COUNT; i++)
		append_sample_frame(stream, rand);
	for (unsigned i = 0; i < ROUNDS; i++) {
		assert_int_equal(decode_in_chunks(stream->data, stream->len, rand, &final_status),
				 FRAME_COUNT);
		assert_int_equal(final_status, FRAME_INCOMPLETE);
	}
	g_byte_array_unref(stream);
	g_rand_free(rand);
}

/* Guards against memory errors and endless loops on mutated and random input. */
static void test_mutated_input_does_not_crash_or_hang(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	frame_status_t final_status;

	for (unsigned i = 0; i < ROUNDS * 10; i++) {
		GByteArray *stream = g_byte_array_new();
		unsigned mutation_count = (unsigned)g_rand_int_range(rand, 1, 20);

		for (unsigned j = 0; j < 5; j++)
			append_sample_frame(stream, rand);
		for (unsigned j = 0; j < mutation_count; j++)
			stream->data[g_rand_int_range(rand, 0, (gint32)stream->len)] =
				(uint8_t)g_rand_int(rand);
		if (i % 4 == 0)
			for (guint j = FRAME_HEADER_BYTES; j < stream->len; j++)
				stream->data[j] = (uint8_t)g_rand_int(rand);
		decode_in_chunks(stream->data, stream->len, rand, &final_status);
		g_byte_array_unref(stream);
	}
	g_rand_free(rand);
}

/* Guards against a decoder that waits for more bytes after an invalid length (zero or above the
 * limit) instead of rejecting it at once. */
static void test_invalid_length_is_refused_immediately(void **state)
{
	const uint8_t too_long[] = {0x00, 0x10, 0x00, 0x01};
	const uint8_t zero[] = {0, 0, 0, 0};
	GRand *rand = g_rand_new_with_seed(SEED);
	frame_status_t final_status;

	decode_in_chunks(too_long, sizeof(too_long), rand, &final_status);
	assert_int_equal(final_status, FRAME_INVALID);
	decode_in_chunks(zero, sizeof(zero), rand, &final_status);
	assert_int_equal(final_status, FRAME_INVALID);
	g_rand_free(rand);
}

/* Guards against refusing a frame of the maximum size and against sending a larger one. */
static void test_maximum_frame_size_is_exact(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GByteArray *stream = g_byte_array_new();
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__Hello hello = LP__HELLO__INIT;
	frame_status_t final_status;
	size_t overhead;

	hello.cluster = g_strnfill(FRAME_MAX_BYTES, 'x');
	envelope.body_case = LP__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	assert_int_equal(frame_append(stream, &envelope), 0);
	assert_int_equal(stream->len, 0);
	overhead = lp__envelope__get_packed_size(&envelope) - FRAME_MAX_BYTES;
	hello.cluster[FRAME_MAX_BYTES - overhead] = '\0';
	assert_int_equal(frame_append(stream, &envelope), FRAME_HEADER_BYTES + FRAME_MAX_BYTES);
	assert_int_equal(decode_in_chunks(stream->data, stream->len, rand, &final_status), 1);
	g_free(hello.cluster);
	g_byte_array_unref(stream);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_every_split_gives_the_same_frames),
		cmocka_unit_test(test_mutated_input_does_not_crash_or_hang),
		cmocka_unit_test(test_invalid_length_is_refused_immediately),
		cmocka_unit_test(test_maximum_frame_size_is_exact),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
