#pragma once

#include <stddef.h>

#include "raft.h"

/**
 * @file
 * The snapshot file: written, synced, renamed, directory synced.
 */

/** @return the contents of the snapshot file, to be freed with talloc_free() */
uint8_t *snapshot_pack(const raft_snapshot_t *snapshot, size_t *length);

/** @return 0, or -1 with errno set; the previous snapshot is then unchanged */
int snapshot_write(const char *path, const raft_snapshot_t *snapshot);

/**
 * Reads a snapshot.
 * @param snapshot its data is allocated under parent
 * @return 1, 0 when there is no file, or -1 with a message that names file and offset
 */
int snapshot_read(void *parent, const char *path, raft_snapshot_t *snapshot, char *error,
		  size_t error_size);
