#include "wal.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <talloc.h>

#include "durable.h"

#define FRAME_TYPE_RECORDS 1
/* Size of a record's header in a frame: the length of the record (4 bytes) and its type (4 bytes),
 * both little-endian. */
#define RECORD_HEADER_SIZE 8

struct wal {
	char *path;
	int fd;
	uint64_t size;
	bool write_failed;
	uint8_t *pending;
	size_t pending_length;
	uint8_t *frame; /* frame being written; NULL if there is none */
	size_t frame_length;
	bool replacing;	    /* the frame being written replaces the whole file */
	int replacement_fd; /* the new file, opened by wal_write_frame() after it replaced the old
			       one; -1 if there is none */
};

static int destroy_wal(wal_t *wal)
{
	if (wal->fd >= 0)
		close(wal->fd);
	return 0;
}

wal_t *wal_create(void *parent, const char *path)
{
	wal_t *wal = talloc_zero(parent, wal_t);

	wal->path = talloc_strdup(wal, path);
	wal->fd = -1;
	wal->replacement_fd = -1;
	talloc_set_destructor(wal, destroy_wal);
	return wal;
}

void wal_close(wal_t *wal)
{
	talloc_free(wal);
}

/* Passes a frame's records to on_record. @return 0, or -1 when one is malformed or rejected */
static int read_records(const file_frame_t *frame, wal_record_fn on_record, void *arg)
{
	size_t at = 0;

	while (at < frame->length) {
		uint32_t length;
		uint32_t type;

		if (frame->length - at < RECORD_HEADER_SIZE)
			return -1;
		memcpy(&length, frame->payload + at, sizeof(length));
		memcpy(&type, frame->payload + at + 4, sizeof(type));
		length = le32toh(length);
		at += RECORD_HEADER_SIZE;
		if (length > frame->length - at ||
		    on_record(arg, (wal_type_t)le32toh(type), frame->payload + at, length) != 0)
			return -1;
		at += length;
	}
	return 0;
}

/* True when a valid frame starts at a later offset, so that the damage was not caused by an
 * interrupted write. */
static bool has_later_frame(const uint8_t *data, size_t length)
{
	file_frame_t frame;

	for (size_t at = 1; at + FRAME_HEADER_SIZE <= length; at++) {
		if (file_frame_read(&frame, data + at, length - at) > 0 &&
		    frame.type == FRAME_TYPE_RECORDS)
			return true;
	}
	return false;
}

static int read_frames(wal_t *wal, const uint8_t *data, size_t length, wal_record_fn on_record,
		       void *arg, char *error, size_t error_size)
{
	file_frame_t frame;
	size_t at = 0;

	while (at < length) {
		size_t size = file_frame_read(&frame, data + at, length - at);

		if (size == 0 && at > 0 && !has_later_frame(data + at, length - at))
			break;
		if (size == 0 || frame.type != FRAME_TYPE_RECORDS) {
			snprintf(error, error_size, "%s: offset %zu: damaged record", wal->path,
				 at);
			return -1;
		}
		if (read_records(&frame, on_record, arg) != 0) {
			snprintf(error, error_size, "%s: offset %zu: record out of sequence",
				 wal->path, at);
			return -1;
		}
		at += size;
	}
	wal->size = at;
	return 0;
}

wal_t *wal_open(void *parent, const char *path, wal_record_fn on_record, void *arg, char *error,
		size_t error_size)
{
	g_autoptr(GError) read_error = NULL;
	g_autofree char *data = NULL;
	wal_t *wal = wal_create(parent, path);
	gsize length;

	if (!g_file_get_contents(path, &data, &length, &read_error)) {
		snprintf(error, error_size, "%s", read_error->message);
		goto fail;
	}
	if (length == 0) {
		snprintf(error, error_size, "%s: offset 0: empty log", path);
		goto fail;
	}
	if (read_frames(wal, (const uint8_t *)data, length, on_record, arg, error, error_size) != 0)
		goto fail;
	wal->fd = open(path, O_WRONLY | O_CLOEXEC);
	/* A log file that cannot be written is opened all the same; wal_sync() then fails. */
	if (wal->fd < 0 || (wal->size < length && ftruncate(wal->fd, (off_t)wal->size) != 0))
		wal->write_failed = true;
	return wal;

fail:
	talloc_free(wal);
	return NULL;
}

void wal_append(wal_t *wal, wal_type_t type, const uint8_t *payload, size_t length)
{
	uint32_t length_le = htole32((uint32_t)length);
	uint32_t type_le = htole32((uint32_t)type);
	uint8_t *at;

	wal->pending = talloc_realloc(wal, wal->pending, uint8_t,
				      wal->pending_length + RECORD_HEADER_SIZE + length);
	at = wal->pending + wal->pending_length;
	memcpy(at, &length_le, sizeof(length_le));
	memcpy(at + 4, &type_le, sizeof(type_le));
	if (length > 0)
		memcpy(at + RECORD_HEADER_SIZE, payload, length);
	wal->pending_length += RECORD_HEADER_SIZE + length;
}

bool wal_has_pending(const wal_t *wal)
{
	return wal->pending_length > 0;
}

void wal_discard(wal_t *wal)
{
	TALLOC_FREE(wal->pending);
	wal->pending_length = 0;
}

static int write_all(wal_t *wal, const uint8_t *data, size_t length)
{
	size_t done = 0;

	while (done < length) {
		ssize_t n = pwrite(wal->fd, data + done, length - done, (off_t)(wal->size + done));

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return -1;
		done += (size_t)n;
	}
	return fdatasync(wal->fd);
}

bool wal_begin_sync(wal_t *wal)
{
	if (wal->pending_length == 0)
		return false;
	wal->replacing = false;
	wal->frame_length = 0;
	wal->frame = file_frame_append(NULL, &wal->frame_length, FRAME_TYPE_RECORDS, wal->pending,
				       wal->pending_length);
	wal_discard(wal);
	return true;
}

bool wal_begin_rewrite(wal_t *wal)
{
	if (!wal_begin_sync(wal))
		return false;
	wal->replacing = true;
	return true;
}

static int replace_file(wal_t *wal)
{
	if (durable_replace(wal->path, wal->frame, wal->frame_length) != 0)
		return errno;
	wal->replacement_fd = open(wal->path, O_WRONLY | O_CLOEXEC);
	return wal->replacement_fd >= 0 ? 0 : errno;
}

int wal_write_frame(wal_t *wal)
{
	if (wal->replacing)
		return replace_file(wal);
	if (wal->write_failed)
		return EIO;
	return write_all(wal, wal->frame, wal->frame_length) == 0 ? 0 : errno;
}

static void switch_to_replacement(wal_t *wal)
{
	if (wal->fd >= 0)
		close(wal->fd);
	wal->fd = wal->replacement_fd;
	wal->replacement_fd = -1;
	wal->size = wal->frame_length;
	wal->write_failed = false;
}

void wal_end_write(wal_t *wal, int error)
{
	if (error != 0)
		wal->write_failed = true;
	else if (wal->replacing)
		switch_to_replacement(wal);
	else
		wal->size += wal->frame_length;
	TALLOC_FREE(wal->frame);
}

int wal_sync(wal_t *wal)
{
	int error;

	if (!wal_begin_sync(wal))
		return 0;
	error = wal_write_frame(wal);
	wal_end_write(wal, error);
	errno = error;
	return error == 0 ? 0 : -1;
}

int wal_rewrite(wal_t *wal)
{
	int error;

	if (!wal_begin_rewrite(wal)) {
		errno = EINVAL;
		return -1;
	}
	error = wal_write_frame(wal);
	wal_end_write(wal, error);
	errno = error;
	return error == 0 ? 0 : -1;
}

uint64_t wal_size(const wal_t *wal)
{
	return wal->size;
}
