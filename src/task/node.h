/**
 * @file node.h
 * The common part of the request daemons' core tasks: the control socket, the
 * keys and the counters of control bytes.
 */
#ifndef PW_NODE_H
#define PW_NODE_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/rng.h"
#include "codec/settings.h"
#include "codec/wire.h"
#include "task/udp.h"

/** The common part of a core task. */
struct node {
	uv_loop_t *loop;
	const struct settings *set;
	struct keyring keys;
	struct counters ctr;
	struct rng rng;
	struct clock clock;
	struct member self;
	struct udp control;
	struct wire_arena arena;
};

/** Initialize n and read the key file; set is borrowed.
 * @return the status of key_load() */
struct status node_init(struct node *n, uv_loop_t *loop,
    const struct settings *set, enum mbr_role role);
/** Id of the instance at an address, never 0. */
uint64_t node_id(struct addr a);
/** Encode and seal a message and send it from the control socket. A message
 * that cannot be encoded is dropped. */
void node_send(struct node *n, struct addr to, const struct msg *m);
/**
 * Verify and decode a frame. Strings in out are valid until the next call.
 * @return false if the frame was dropped and counted
 */
bool node_receive(struct node *n, struct str frame, struct msg *out);
/** Monotonic time in ns. */
uint64_t node_now(const struct node *n);

#endif
