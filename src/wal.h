#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * @file
 * The write-ahead log file. Records are buffered; each sync writes them as one checked frame, so
 * that an interrupted write can only damage the last frame. Not for use by several threads.
 */

typedef enum {
	WAL_BASE = 1, /**< index, term and configuration before the first entry; first record */
	WAL_VOTE = 2,
	WAL_ENTRY = 3, /**< an index that was already present cuts the log */
} wal_type_t;

struct wal;
typedef struct wal wal_t;

/** Receives a recovered record. @return 0, or -1 to refuse it */
typedef int (*wal_record_fn)(void *arg, wal_type_t type, const uint8_t *payload, size_t length);

/** @return a log that has no file until wal_rewrite() */
wal_t *wal_create(void *parent, const char *path);
/**
 * Opens a log and reads its records. A damaged last frame is cut off. Any other damage is an error
 * that names the file and offset.
 * @return the log, or NULL with a message in error
 */
wal_t *wal_open(void *parent, const char *path, wal_record_fn on_record, void *arg, char *error,
		size_t error_size);
void wal_close(wal_t *wal);

/** Adds a record to the next frame. */
void wal_append(wal_t *wal, wal_type_t type, const uint8_t *payload, size_t length);
/** True when records wait for wal_sync(). */
bool wal_has_pending(const wal_t *wal);
/** Drops the records that wait. */
void wal_discard(wal_t *wal);
/**
 * Writes the waiting records and makes them durable.
 * @return 0, or -1 with errno set; from then on every sync fails until wal_rewrite() succeeds,
 * because what a failed sync left in the file is unknown
 */
int wal_sync(wal_t *wal);
/**
 * Splits wal_sync(): takes the waiting records as one frame, which wal_write_frame() writes, on any
 * thread, while more records may be appended. No other function may be called meanwhile but
 * wal_append(), wal_has_pending() and wal_discard().
 * @return false when no record waits
 */
bool wal_begin_sync(wal_t *wal);
/** Like wal_begin_sync(), but wal_write_frame() then replaces the file by one that holds only this
 * frame, WAL_BASE first. */
bool wal_begin_rewrite(wal_t *wal);
/** Writes the frame and makes it durable. @return 0, or an errno value */
int wal_write_frame(wal_t *wal);
/** Ends a write on the owner's thread. @param error what wal_write_frame() returned */
void wal_end_write(wal_t *wal, int error);
/**
 * Replaces the file by one that holds only the waiting records, WAL_BASE first.
 * @return 0, or -1 with errno set; every sync fails from then on until a rewrite succeeds
 */
int wal_rewrite(wal_t *wal);
/** Size of the file in bytes. */
uint64_t wal_size(const wal_t *wal);
