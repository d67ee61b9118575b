#pragma once

#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * Durable files and checked frames. A frame is length (4 bytes), type (4), xxhash64 over both and
 * the payload (8), payload; integers are little-endian.
 */

#define FRAME_HEADER_SIZE 16

typedef struct {
	uint32_t type;
	const uint8_t *payload;
	size_t length;
} file_frame_t;

/** Appends a frame to a talloc'ed buffer. @return the new buffer */
uint8_t *file_frame_append(uint8_t *buffer, size_t *length, uint32_t type, const uint8_t *payload,
			   size_t payload_length);
/** Reads the frame at data. @return its size with header, or 0 when torn or damaged */
size_t file_frame_read(file_frame_t *frame, const uint8_t *data, size_t length);

/**
 * Replaces a file: writes a temporary one, syncs it, renames it, syncs the directory.
 * @return 0, or -1 with errno set; the old file is then still complete
 */
int durable_replace(const char *path, const uint8_t *data, size_t length);
