#include "frame.h"

#include <string.h>

#define BUFFER_INITIAL_BYTES 4096
#define BUFFER_MAX_BYTES (2 * (FRAME_HEADER_BYTES + FRAME_MAX_BYTES))

void frame_decoder_init(frame_decoder_t *decoder)
{
	*decoder = (frame_decoder_t){.data = g_malloc(BUFFER_INITIAL_BYTES),
				     .size = BUFFER_INITIAL_BYTES,
				     .max_bytes = FRAME_MAX_BYTES};
}

void frame_decoder_finish(frame_decoder_t *decoder)
{
	g_free(decoder->data);
	*decoder = (frame_decoder_t){.invalid = true};
}

uint8_t *frame_decoder_write_buffer(frame_decoder_t *decoder, size_t *space)
{
	if (decoder->decode_pos > 0) {
		memmove(decoder->data, decoder->data + decoder->decode_pos,
			decoder->write_pos - decoder->decode_pos);
		decoder->write_pos -= decoder->decode_pos;
		decoder->decode_pos = 0;
	}
	if (decoder->write_pos == decoder->size && decoder->size < BUFFER_MAX_BYTES) {
		decoder->size = MIN(decoder->size * 2, (size_t)BUFFER_MAX_BYTES);
		decoder->data = g_realloc(decoder->data, decoder->size);
	}
	*space = decoder->size - decoder->write_pos;
	return decoder->data + decoder->write_pos;
}

void frame_decoder_mark_received(frame_decoder_t *decoder, size_t count)
{
	decoder->write_pos += count;
}

static uint32_t read_frame_length(const uint8_t *header)
{
	return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16 | (uint32_t)header[2] << 8 |
	       header[3];
}

static frame_status_t mark_invalid(frame_decoder_t *decoder)
{
	decoder->invalid = true;
	return FRAME_INVALID;
}

frame_status_t frame_decoder_next(frame_decoder_t *decoder, Lp__Envelope **envelope)
{
	const uint8_t *header = decoder->data + decoder->decode_pos;
	size_t buffered = decoder->write_pos - decoder->decode_pos;
	uint32_t length;

	if (decoder->invalid)
		return FRAME_INVALID;
	if (buffered < FRAME_HEADER_BYTES)
		return FRAME_INCOMPLETE;
	length = read_frame_length(header);
	/* Reject length 0 too: a valid envelope is never empty, and corrupted data most often
	 * consists of zeros. */
	if (length == 0 || length > decoder->max_bytes)
		return mark_invalid(decoder);
	if (buffered - FRAME_HEADER_BYTES < length)
		return FRAME_INCOMPLETE;
	*envelope = lp__envelope__unpack(NULL, length, header + FRAME_HEADER_BYTES);
	if (*envelope == NULL)
		return mark_invalid(decoder);
	decoder->decode_pos += FRAME_HEADER_BYTES + length;
	return FRAME_DECODED;
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
