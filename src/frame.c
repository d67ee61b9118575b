#include "frame.h"

#include <string.h>

#define INITIAL_BYTES 4096
#define LIMIT_BYTES (2 * (FRAME_HEADER_BYTES + FRAME_MAX_BYTES))

void frame_decoder_init(frame_decoder_t *decoder)
{
	*decoder = (frame_decoder_t){.data = g_malloc(INITIAL_BYTES), .size = INITIAL_BYTES};
}

void frame_decoder_finish(frame_decoder_t *decoder)
{
	g_free(decoder->data);
	*decoder = (frame_decoder_t){.bad = true};
}

uint8_t *frame_decoder_room(frame_decoder_t *decoder, size_t *room)
{
	if (decoder->start > 0) {
		memmove(decoder->data, decoder->data + decoder->start,
			decoder->end - decoder->start);
		decoder->end -= decoder->start;
		decoder->start = 0;
	}
	if (decoder->end == decoder->size && decoder->size < LIMIT_BYTES) {
		decoder->size = MIN(decoder->size * 2, (size_t)LIMIT_BYTES);
		decoder->data = g_realloc(decoder->data, decoder->size);
	}
	*room = decoder->size - decoder->end;
	return decoder->data + decoder->end;
}

void frame_decoder_received(frame_decoder_t *decoder, size_t count)
{
	decoder->end += count;
}

static uint32_t read_length(const uint8_t *header)
{
	return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16 | (uint32_t)header[2] << 8 |
	       header[3];
}

static frame_status_t fail(frame_decoder_t *decoder)
{
	decoder->bad = true;
	return FRAME_BAD;
}

frame_status_t frame_decoder_next(frame_decoder_t *decoder, Lp__Envelope **envelope)
{
	const uint8_t *header = decoder->data + decoder->start;
	size_t buffered = decoder->end - decoder->start;
	uint32_t length;

	if (decoder->bad)
		return FRAME_BAD;
	if (buffered < FRAME_HEADER_BYTES)
		return FRAME_MORE;
	length = read_length(header);
	/* No message is empty; zeros are the likeliest form of a damaged stream. */
	if (length == 0 || length > FRAME_MAX_BYTES)
		return fail(decoder);
	if (buffered - FRAME_HEADER_BYTES < length)
		return FRAME_MORE;
	*envelope = lp__envelope__unpack(NULL, length, header + FRAME_HEADER_BYTES);
	if (*envelope == NULL)
		return fail(decoder);
	decoder->start += FRAME_HEADER_BYTES + length;
	return FRAME_READY;
}

size_t frame_append(GByteArray *out, const Lp__Envelope *envelope)
{
	size_t length = lp__envelope__get_packed_size(envelope);
	uint8_t header[FRAME_HEADER_BYTES];
	guint start = out->len;

	if (length == 0 || length > FRAME_MAX_BYTES)
		return 0;
	header[0] = (uint8_t)(length >> 24);
	header[1] = (uint8_t)(length >> 16);
	header[2] = (uint8_t)(length >> 8);
	header[3] = (uint8_t)length;
	g_byte_array_append(out, header, FRAME_HEADER_BYTES);
	g_byte_array_set_size(out, start + FRAME_HEADER_BYTES + (guint)length);
	lp__envelope__pack(envelope, out->data + start + FRAME_HEADER_BYTES);
	return FRAME_HEADER_BYTES + length;
}
