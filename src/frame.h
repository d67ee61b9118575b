#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "peer.pb-c.h"

/**
 * @file
 * Frames of the peer protocol: a big-endian length of 4 bytes, followed by an Envelope of that many
 * bytes. No system calls.
 */

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (1U << 20)

typedef enum {
	FRAME_MORE,  /**< no complete frame is buffered */
	FRAME_READY, /**< an envelope was decoded */
	FRAME_BAD,   /**< the stream cannot be read any further */
} frame_status_t;

/** Incremental decoder; the buffer never grows beyond two frames of the greatest size. */
typedef struct {
	uint8_t *data;
	size_t size;
	size_t start; /**< first byte not yet decoded */
	size_t end;   /**< end of the received bytes */
	bool bad;     /**< a bad frame was met; every later call fails too */
} frame_decoder_t;

void frame_decoder_init(frame_decoder_t *decoder);
void frame_decoder_finish(frame_decoder_t *decoder);

/**
 * Room for received bytes; call frame_decoder_received() with the number that was written.
 * @param room number of bytes that may be written, at least 1 as long as frame_decoder_next() is
 * called until it returns FRAME_MORE
 */
uint8_t *frame_decoder_room(frame_decoder_t *decoder, size_t *room);
void frame_decoder_received(frame_decoder_t *decoder, size_t count);

/** @param envelope set on FRAME_READY; free with lp__envelope__free_unpacked() */
frame_status_t frame_decoder_next(frame_decoder_t *decoder, Lp__Envelope **envelope);

/** Appends a frame. @return its size, or 0 when the envelope exceeds the limit */
size_t frame_append(GByteArray *out, const Lp__Envelope *envelope);
