/**
 * @file msgpack_check.h
 * Checks a MessagePack message before it is decoded. The decoder allocates memory for as many
 * elements as a container announces, before it has seen them.
 */
#ifndef COMMON_MSGPACK_CHECK_H
#define COMMON_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Tests whether the bytes are one complete MessagePack object and nothing else, so that no
 * container or string announces more than the message holds.
 */
bool msgpack_is_complete(const char *bytes, size_t len);

#endif
