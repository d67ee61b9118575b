#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * File of the write-ahead log. Records are buffered, and each sync writes them as one frame with a
 * checksum, so that an interrupted write can damage only the last frame. Only wal_write_frame() may
 * run on another thread than the owner's.
 */

typedef enum {
	WAL_BASE = 1, /**< first record of the log: index and term of the entry before the first
			 one, and the configuration in force there */
	WAL_VOTE = 2,
	WAL_ENTRY = 3, /**< log entry; if the log already has an entry with the same index, the log
			  is truncated from that index */
} wal_type_t;

struct wal;
typedef struct wal wal_t;

/** Called for each record that wal_open() reads. @return 0, or -1 to reject the record, which makes
 * wal_open() fail */
typedef int (*wal_record_fn)(void *arg, wal_type_t type, const uint8_t *payload, size_t length);

/** Creates a log object without a file; the first wal_rewrite() creates the file. */
wal_t *wal_create(void *parent, const char *path);
/**
 * Opens a log and reads its records. A damaged last frame is removed from the file; any other
 * damage is an error.
 * @return the log, or NULL with a message in error that names the file and, for damage, the offset
 */
wal_t *wal_open(void *parent, const char *path, wal_record_fn on_record, void *arg, char *error,
		size_t error_size);
void wal_close(wal_t *wal);

/** Buffers a record, to be written with the next frame. */
void wal_append(wal_t *wal, wal_type_t type, const uint8_t *payload, size_t length);
/** True when records are buffered that are not part of a frame yet. */
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
 * First of three steps of a sync whose write runs on another thread: moves the buffered records
 * into a frame. wal_write_frame() writes it and wal_end_write() ends the sync; until then, only
 * wal_append(), wal_has_pending() and wal_discard() may be called on the owner's thread.
 * @return false when no records are buffered
 */
bool wal_begin_sync(wal_t *wal);
/** Like wal_begin_sync(), but wal_write_frame() then replaces the file by one that contains only
 * this frame. The first buffered record must be of type WAL_BASE. */
bool wal_begin_rewrite(wal_t *wal);
/** Second step of a sync, on any thread: writes the frame and makes it durable. @return 0, or an
 * errno value */
int wal_write_frame(wal_t *wal);
/** Last step of a sync, on the owner's thread. @param error result of wal_write_frame() */
void wal_end_write(wal_t *wal, int error);
/**
 * Replaces the file by one that contains only the buffered records, the first of which must be of
 * type WAL_BASE.
 * @return 0, or -1 with errno set; every sync then fails until a rewrite succeeds
 */
int wal_rewrite(wal_t *wal);
/** Returns the size of the file in bytes, not counting a frame that is still being written. */
uint64_t wal_size(const wal_t *wal);
