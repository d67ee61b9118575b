#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "frame.h"

#define SEED 20260101
#define ROUNDS 300
#define FRAMES 50

static void append_proposal(GByteArray *out, GRand *rand)
{
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__ClaimSyncRequest sync = LP__CLAIM_SYNC_REQUEST__INIT;

	sync.sync_id = g_rand_int(rand) + 1ULL;
	sync.cursor = g_rand_int(rand);
	envelope.body_case = LP__ENVELOPE__BODY_CLAIM_SYNC;
	envelope.claim_sync = &sync;
	assert_true(frame_append(out, &envelope) > FRAME_HEADER_BYTES);
}

/* Feeds the bytes in random pieces. @return frames decoded; *last is the final status */
static unsigned feed(const uint8_t *data, size_t length, GRand *rand, frame_status_t *last)
{
	frame_decoder_t decoder;
	unsigned frames = 0;

	frame_decoder_init(&decoder);
	*last = FRAME_MORE;
	for (size_t at = 0; at < length && *last != FRAME_BAD;) {
		size_t room;
		uint8_t *to = frame_decoder_room(&decoder, &room);
		size_t n = (size_t)g_rand_int_range(rand, 1, 40);
		Lp__Envelope *envelope;

		assert_true(room > 0);
		n = MIN(MIN(room, length - at), n);
		memcpy(to, data + at, n);
		frame_decoder_received(&decoder, n);
		at += n;
		while ((*last = frame_decoder_next(&decoder, &envelope)) == FRAME_READY) {
			lp__envelope__free_unpacked(envelope, NULL);
			frames++;
		}
	}
	frame_decoder_finish(&decoder);
	return frames;
}

/* Guards against frames that are lost or invented when the stream is cut anywhere. */
static void test_any_split_gives_the_same_frames(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GByteArray *out = g_byte_array_new();
	frame_status_t last;

	for (unsigned i = 0; i < FRAMES; i++)
		append_proposal(out, rand);
	for (unsigned i = 0; i < ROUNDS; i++) {
		assert_int_equal(feed(out->data, out->len, rand, &last), FRAMES);
		assert_int_equal(last, FRAME_MORE);
	}
	g_byte_array_unref(out);
	g_rand_free(rand);
}

/* Guards against memory errors and endless loops on mutated and on random input. */
static void test_mutated_input_never_breaks_the_decoder(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	frame_status_t last;

	for (unsigned i = 0; i < ROUNDS * 10; i++) {
		GByteArray *out = g_byte_array_new();
		unsigned flips = (unsigned)g_rand_int_range(rand, 1, 20);

		for (unsigned k = 0; k < 5; k++)
			append_proposal(out, rand);
		for (unsigned k = 0; k < flips; k++)
			out->data[g_rand_int_range(rand, 0, (gint32)out->len)] =
				(uint8_t)g_rand_int(rand);
		if (i % 4 == 0)
			for (guint k = FRAME_HEADER_BYTES; k < out->len; k++)
				out->data[k] = (uint8_t)g_rand_int(rand);
		feed(out->data, out->len, rand, &last);
		g_byte_array_unref(out);
	}
	g_rand_free(rand);
}

/* Guards against a length above the limit or of zero being waited for instead of refused. */
static void test_bad_length_is_an_error_at_once(void **state)
{
	const uint8_t too_long[] = {0x00, 0x10, 0x00, 0x01};
	const uint8_t zero[] = {0, 0, 0, 0};
	GRand *rand = g_rand_new_with_seed(SEED);
	frame_status_t last;

	feed(too_long, sizeof(too_long), rand, &last);
	assert_int_equal(last, FRAME_BAD);
	feed(zero, sizeof(zero), rand, &last);
	assert_int_equal(last, FRAME_BAD);
	g_rand_free(rand);
}

/* Guards against a frame of the greatest size being refused, and one above it being sent. */
static void test_limit_is_exact(void **state)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	GByteArray *out = g_byte_array_new();
	Lp__Envelope envelope = LP__ENVELOPE__INIT;
	Lp__Hello hello = LP__HELLO__INIT;
	frame_status_t last;
	size_t overhead;

	hello.cluster = g_strnfill(FRAME_MAX_BYTES, 'x');
	envelope.body_case = LP__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	assert_int_equal(frame_append(out, &envelope), 0);
	assert_int_equal(out->len, 0);
	overhead = lp__envelope__get_packed_size(&envelope) - FRAME_MAX_BYTES;
	hello.cluster[FRAME_MAX_BYTES - overhead] = '\0';
	assert_int_equal(frame_append(out, &envelope), FRAME_HEADER_BYTES + FRAME_MAX_BYTES);
	assert_int_equal(feed(out->data, out->len, rand, &last), 1);
	g_free(hello.cluster);
	g_byte_array_unref(out);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_split_gives_the_same_frames),
		cmocka_unit_test(test_mutated_input_never_breaks_the_decoder),
		cmocka_unit_test(test_bad_length_is_an_error_at_once),
		cmocka_unit_test(test_limit_is_exact),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
