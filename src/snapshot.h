#pragma once

#include <stddef.h>

#include "raft.h"

/**
 * @file
 * The snapshot file of a replica. Writing a snapshot replaces the file atomically and durably.
 */

/** Serialises a snapshot into the contents of a snapshot file, to be freed with talloc_free(). */
uint8_t *snapshot_pack(const raft_snapshot_t *snapshot, size_t *length);

/** Replaces the snapshot file as durable_replace() does. @return 0, or -1 with errno set */
int snapshot_write(const char *path, const raft_snapshot_t *snapshot);

/**
 * Reads a snapshot file.
 * @param snapshot receives the snapshot; its data is talloc memory under parent
 * @return 1 when the file was read, 0 when the file does not exist, or -1 with a message in error
 * that names the file and, if it is damaged, the offset
 */
int snapshot_read(void *parent, const char *path, raft_snapshot_t *snapshot, char *error,
		  size_t error_size);
