#pragma once

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Durable file replacement, and frames with checksums. A frame consists of payload length (4
 * bytes), type (4 bytes), XXH64 checksum of both and of the payload (8 bytes), and the payload.
 * Integers are little-endian.
 */

#define FRAME_HEADER_SIZE 16

typedef struct {
	uint32_t type;
	const uint8_t *payload;
	size_t length;
} file_frame_t;

/** Appends a frame to a talloc buffer that holds *length bytes. @return the buffer, which may have
 * moved */
uint8_t *file_frame_append(uint8_t *buffer, size_t *length, uint32_t type, const uint8_t *payload,
			   size_t payload_length);
/**
 * Reads the frame at the start of data. The frame's payload points into data.
 * @return size of the frame with its header, or 0 when the frame is incomplete or damaged
 */
size_t file_frame_read(file_frame_t *frame, const uint8_t *data, size_t length);

/**
 * Replaces a file atomically: writes and syncs a temporary file, renames it and syncs the
 * directory.
 * @return 0, or -1 with errno set. The file is complete in any case, with the old or the new
 * contents.
 */
int durable_replace(const char *path, const uint8_t *data, size_t length);
