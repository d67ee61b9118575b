#include "message.h"

#include <glib.h>

void *message_copy(const ProtobufCMessage *message)
{
	size_t length = protobuf_c_message_get_packed_size(message);
	g_autofree uint8_t *packed = g_malloc(length + 1);
	ProtobufCMessage *copy;

	protobuf_c_message_pack(message, packed);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, length, packed);
	g_assert(copy != NULL);
	return copy;
}
