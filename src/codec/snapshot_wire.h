/**
 * @file snapshot_wire.h
 * Stored form of a snapshot: a protobuf Snapshot (proto/flow.proto).
 */
#ifndef PW_SNAPSHOT_WIRE_H
#define PW_SNAPSHOT_WIRE_H

#include "flow/snapshot.h"

/** Encode a snapshot; the caller frees the result. */
uint8_t *snapshot_wire_encode(const struct snapshot *s, size_t *len);
/** Decode a snapshot. @return false when malformed; out is empty then */
bool snapshot_wire_decode(struct str bytes, struct snapshot *out);

#endif
