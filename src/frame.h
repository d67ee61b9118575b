#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "peer.pb-c.h"

/**
 * @file
 * Frames of the peer protocol: a 4-byte big-endian length, followed by a packed Envelope of that
 * many bytes. This module does no I/O.
 */

#define FRAME_HEADER_BYTES 4
/** Maximum size of the Envelope in a frame, in bytes without the frame header. */
#define FRAME_MAX_BYTES (1U << 20)

typedef enum {
	FRAME_INCOMPLETE, /**< more bytes are needed for the next frame */
	FRAME_DECODED,	  /**< an envelope was decoded */
	FRAME_INVALID, /**< the frame's length or envelope is invalid; decoding cannot continue */
} frame_status_t;

/** Incremental decoder of frames. Its buffer never exceeds twice the maximum size of a frame. */
typedef struct {
	uint8_t *data;
	size_t size;
	size_t decode_pos;  /**< offset of the first byte not decoded yet */
	size_t write_pos;   /**< offset after the last received byte */
	uint32_t max_bytes; /**< larger envelopes are invalid; FRAME_MAX_BYTES by default */
	bool invalid; /**< true when frame_decoder_next() has returned FRAME_INVALID, which every
			 further call returns too */
} frame_decoder_t;

void frame_decoder_init(frame_decoder_t *decoder);
void frame_decoder_finish(frame_decoder_t *decoder);

/**
 * Returns a buffer for received bytes, whose number must then be passed to
 * frame_decoder_mark_received().
 * @param space set to the size of the buffer; at least 1 if frame_decoder_next() was called until
 * it returned FRAME_INCOMPLETE
 * @return memory of the decoder, valid until the next call
 */
uint8_t *frame_decoder_write_buffer(frame_decoder_t *decoder, size_t *space);
void frame_decoder_mark_received(frame_decoder_t *decoder, size_t count);

/** Decodes the next frame. @param envelope set on FRAME_DECODED; the caller frees it with
 * lp__envelope__free_unpacked() */
frame_status_t frame_decoder_next(frame_decoder_t *decoder, Lp__Envelope **envelope);

/** Appends a frame with the envelope to out. @return size of the frame in bytes, or 0 if the
 * envelope is empty or too large */
size_t frame_append(GByteArray *out, const Lp__Envelope *envelope);
