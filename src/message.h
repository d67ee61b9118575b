#pragma once

#include <protobuf-c/protobuf-c.h>

/**
 * @file
 * Help with protobuf messages.
 */

/** @return a deep copy, to be freed with the message's free_unpacked function */
void *message_copy(const ProtobufCMessage *message);
