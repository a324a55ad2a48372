/**
 * @file routes_wire.h
 * Wire format of one version of the routes, which balancers forward to each
 * other: a protobuf Routes (proto/flow.proto). It is a tenth the size of the
 * platform's JSON text, and decoding it costs even a small balancer little CPU
 * time.
 */
#ifndef PW_ROUTES_WIRE_H
#define PW_ROUTES_WIRE_H

#include "flow/routes.h"

/** Encode routes; the caller frees the result. */
uint8_t *routes_wire_encode(const struct routes *r, size_t *len);
/** Decode routes. @return false when malformed; out is empty then */
bool routes_wire_decode(struct str bytes, struct routes *out);

#endif
