/**
 * @file flow_wire.h
 * Wire format of the messages about opaque flows. A frame is the version (1
 * byte) and a protobuf Envelope (proto/flow.proto); each UDP datagram holds one
 * frame. Frames are not authenticated: the platform provides no secret that its
 * processes share, and no other processes are on its network.
 */
#ifndef PW_FLOW_WIRE_H
#define PW_FLOW_WIRE_H

#include "flow/message.h"

/** Largest frame in bytes: a carried packet and the fields around it. */
#define FLOW_WIRE_MAX 1600
/** Bytes of memory for decoding one frame. */
#define FLOW_WIRE_ARENA 16384

/** Memory for the strings and bytes of a decoded message. */
struct flow_arena {
	_Alignas(16) uint8_t mem[FLOW_WIRE_ARENA];
	size_t used;
};

/** Encode a frame. @return bytes written, 0 when cap is too small */
size_t flow_wire_encode(const struct flow_msg *m, uint8_t *buf, size_t cap);
/**
 * Decode a frame; strings in out point into the arena.
 * @return false when the frame is malformed or has another version
 */
bool flow_wire_decode(
    struct str frame, struct flow_arena *arena, struct flow_msg *out);

#endif
