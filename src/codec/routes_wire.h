/**
 * @file routes_wire.h
 * One version of the routes as balancers pass it on to each other: a protobuf
 * Routes (proto/flow.proto). It is a tenth of the platform's text and costs
 * a small balancer next to nothing to read.
 */
#ifndef PW_ROUTES_WIRE_H
#define PW_ROUTES_WIRE_H

#include "flow/routes.h"

/** Encode; the caller frees the result. */
uint8_t *routes_wire_encode(const struct routes *r, size_t *len);
/** Decode; false when it is malformed, and out is empty then. */
bool routes_wire_decode(struct str bytes, struct routes *out);

#endif
