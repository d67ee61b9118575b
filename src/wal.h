#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * File of the write-ahead log. Records are buffered, and each sync writes them as one frame with a
 * checksum, so that an interrupted write can damage only the last frame. Not thread-safe, apart
 * from wal_write_frame().
 */

typedef enum {
	WAL_BASE = 1, /**< first record: index and term before the first entry, and the
			 configuration there */
	WAL_VOTE = 2,
	WAL_ENTRY = 3, /**< if its index is already present, the log is truncated from there */
} wal_type_t;

struct wal;
typedef struct wal wal_t;

/** Called for each recovered record. @return 0, or -1 to reject it, which makes wal_open() fail */
typedef int (*wal_record_fn)(void *arg, wal_type_t type, const uint8_t *payload, size_t length);

/** Creates a log object; the file is written by the first wal_rewrite(). */
wal_t *wal_create(void *parent, const char *path);
/**
 * Opens a log and reads its records. A damaged last frame is removed from the file; any other
 * damage is an error.
 * @return the log, or NULL with a message in error that names the file and, for damage, the offset
 */
wal_t *wal_open(void *parent, const char *path, wal_record_fn on_record, void *arg, char *error,
		size_t error_size);
void wal_close(wal_t *wal);

/** Buffers a record for the next frame. */
void wal_append(wal_t *wal, wal_type_t type, const uint8_t *payload, size_t length);
/** True when records are buffered that are not in a frame yet. */
bool wal_has_pending(const wal_t *wal);
/** Drops the buffered records. */
void wal_discard(wal_t *wal);
/**
 * Writes the buffered records and makes them durable.
 * @return 0, or -1 with errno set. After a failure the contents of the file are unknown, so every
 * sync fails until wal_rewrite() succeeds.
 */
int wal_sync(wal_t *wal);
/**
 * First step of a sync whose write runs on another thread: moves the buffered records into a frame
 * for wal_write_frame(). Until wal_end_write(), only wal_append(), wal_has_pending() and
 * wal_discard() may be called besides.
 * @return false when no records are buffered
 */
bool wal_begin_sync(wal_t *wal);
/** Like wal_begin_sync(), but wal_write_frame() replaces the file by one with only this frame. The
 * first buffered record must be WAL_BASE. */
bool wal_begin_rewrite(wal_t *wal);
/** Second step, on any thread: writes the frame durably. @return 0, or an errno value */
int wal_write_frame(wal_t *wal);
/** Last step, on the owner's thread. @param error result of wal_write_frame() */
void wal_end_write(wal_t *wal, int error);
/**
 * Replaces the file by one with only the buffered records, the first of which must be WAL_BASE.
 * @return 0, or -1 with errno set; every sync then fails until a rewrite succeeds
 */
int wal_rewrite(wal_t *wal);
/** Size of the file in bytes without a frame that is being written. */
uint64_t wal_size(const wal_t *wal);
