#pragma once

#include <protobuf-c/protobuf-c.h>

/**
 * @file
 * Utilities for protobuf messages.
 */

/** Copies a message. @return deep copy, to be freed with the free_unpacked function of the message
 * type */
void *message_copy(const ProtobufCMessage *message);
