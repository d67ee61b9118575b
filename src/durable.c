#include "durable.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <talloc.h>
#include <xxhash.h>

static uint64_t checksum(const uint8_t *header, const uint8_t *payload, size_t length)
{
	return XXH64(payload, length, XXH64(header, 8, 0));
}

uint8_t *file_frame_append(uint8_t *buffer, size_t *length, uint32_t type, const uint8_t *payload,
			   size_t payload_length)
{
	uint32_t length_le = htole32((uint32_t)payload_length);
	uint32_t type_le = htole32(type);
	uint64_t sum_le;
	uint8_t *at;

	buffer =
		talloc_realloc(NULL, buffer, uint8_t, *length + FRAME_HEADER_SIZE + payload_length);
	at = buffer + *length;
	memcpy(at, &length_le, sizeof(length_le));
	memcpy(at + 4, &type_le, sizeof(type_le));
	if (payload_length > 0)
		memcpy(at + FRAME_HEADER_SIZE, payload, payload_length);
	sum_le = htole64(checksum(at, at + FRAME_HEADER_SIZE, payload_length));
	memcpy(at + 8, &sum_le, sizeof(sum_le));
	*length += FRAME_HEADER_SIZE + payload_length;
	return buffer;
}

size_t file_frame_read(file_frame_t *frame, const uint8_t *data, size_t length)
{
	uint32_t payload_length;
	uint32_t type;
	uint64_t sum;

	if (length < FRAME_HEADER_SIZE)
		return 0;
	memcpy(&payload_length, data, sizeof(payload_length));
	memcpy(&type, data + 4, sizeof(type));
	memcpy(&sum, data + 8, sizeof(sum));
	payload_length = le32toh(payload_length);
	if (payload_length > length - FRAME_HEADER_SIZE ||
	    le64toh(sum) != checksum(data, data + FRAME_HEADER_SIZE, payload_length))
		return 0;
	*frame = (file_frame_t){
		.type = le32toh(type),
		.payload = data + FRAME_HEADER_SIZE,
		.length = payload_length,
	};
	return FRAME_HEADER_SIZE + (size_t)payload_length;
}

static int sync_directory_of(const char *path)
{
	g_autofree char *dir = g_path_get_dirname(path);
	int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int result;

	if (fd < 0)
		return -1;
	result = fsync(fd);
	close(fd);
	return result;
}

int durable_replace(const char *path, const uint8_t *data, size_t length)
{
	g_autoptr(GError) error = NULL;

	errno = EIO;
	if (!g_file_set_contents_full(path, (const char *)data, (gssize)length,
				      G_FILE_SET_CONTENTS_CONSISTENT | G_FILE_SET_CONTENTS_DURABLE,
				      0600, &error))
		return -1;
	return sync_directory_of(path);
}
