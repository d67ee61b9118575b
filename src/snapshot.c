#include "snapshot.h"

#include <stdio.h>

#include <glib.h>
#include <talloc.h>

#include "durable.h"
#include "raft_internal.h"

#define FRAME_TYPE_META 1
#define FRAME_TYPE_DATA 2

uint8_t *snapshot_pack(const raft_snapshot_t *snapshot, size_t *length)
{
	Lp__SnapshotChunk meta = LP__SNAPSHOT_CHUNK__INIT;
	uint8_t *packed;
	uint8_t *file = NULL;
	size_t meta_length;

	*length = 0;
	meta.last_index = snapshot->index;
	meta.last_term = snapshot->term;
	meta.config = raft_config_to_message(NULL, &snapshot->config);
	meta_length = lp__snapshot_chunk__get_packed_size(&meta);
	packed = talloc_array(meta.config, uint8_t, meta_length);
	lp__snapshot_chunk__pack(&meta, packed);
	file = file_frame_append(file, length, FRAME_TYPE_META, packed, meta_length);
	file = file_frame_append(file, length, FRAME_TYPE_DATA, snapshot->data, snapshot->length);
	talloc_free(meta.config);
	return file;
}

int snapshot_write(const char *path, const raft_snapshot_t *snapshot)
{
	size_t length;
	uint8_t *file = snapshot_pack(snapshot, &length);
	int result = durable_replace(path, file, length);

	talloc_free(file);
	return result;
}

static bool parse_meta(raft_snapshot_t *snapshot, const file_frame_t *frame)
{
	Lp__SnapshotChunk *meta = lp__snapshot_chunk__unpack(NULL, frame->length, frame->payload);
	bool ok;

	if (meta == NULL)
		return false;
	snapshot->index = meta->last_index;
	snapshot->term = meta->last_term;
	ok = raft_config_from_message(&snapshot->config, meta->config);
	lp__snapshot_chunk__free_unpacked(meta, NULL);
	return ok;
}

int snapshot_read(void *parent, const char *path, raft_snapshot_t *snapshot, char *error,
		  size_t error_size)
{
	g_autoptr(GError) read_error = NULL;
	g_autofree char *file = NULL;
	const uint8_t *data;
	file_frame_t frame;
	gsize length;
	size_t meta_size;

	*snapshot = (raft_snapshot_t){0};
	if (!g_file_get_contents(path, &file, &length, &read_error)) {
		if (g_error_matches(read_error, G_FILE_ERROR, G_FILE_ERROR_NOENT))
			return 0;
		snprintf(error, error_size, "%s", read_error->message);
		return -1;
	}
	data = (const uint8_t *)file;
	meta_size = file_frame_read(&frame, data, length);
	if (meta_size == 0 || frame.type != FRAME_TYPE_META || !parse_meta(snapshot, &frame)) {
		snprintf(error, error_size, "%s: offset 0: damaged snapshot header", path);
		return -1;
	}
	if (file_frame_read(&frame, data + meta_size, length - meta_size) == 0 ||
	    frame.type != FRAME_TYPE_DATA) {
		snprintf(error, error_size, "%s: offset %zu: damaged snapshot", path, meta_size);
		return -1;
	}
	snapshot->length = frame.length;
	snapshot->data = talloc_memdup(parent, frame.payload, frame.length);
	return 1;
}
