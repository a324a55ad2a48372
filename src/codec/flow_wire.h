/**
 * @file flow_wire.h
 * Wire form of the messages about flows: one byte with the version, then a
 * protobuf Envelope (proto/flow.proto), one in each UDP datagram. Frames are
 * not authenticated: the platform gives its processes no common secret, and
 * its network is theirs alone.
 */
#ifndef PW_FLOW_WIRE_H
#define PW_FLOW_WIRE_H

#include "flow/message.h"

/** Largest frame, bytes: a carried packet and what stands around it. */
#define FLOW_WIRE_MAX 1600
/** Memory for reading one frame, bytes. */
#define FLOW_WIRE_ARENA 16384

/** Memory that a decoded message points into. */
struct flow_arena {
	_Alignas(16) uint8_t mem[FLOW_WIRE_ARENA];
	size_t used;
};

/** Encode a message. @return bytes written, 0 when cap is too small */
size_t flow_wire_encode(const struct flow_msg *m, uint8_t *buf, size_t cap);
/**
 * Decode a frame; strings in out point into the arena.
 * @return false when it is malformed or of another version
 */
bool flow_wire_decode(
    struct str frame, struct flow_arena *arena, struct flow_msg *out);

#endif
