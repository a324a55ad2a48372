/**
 * @file udp.h
 * UDP sockets on the event loop. Each socket belongs to one task.
 */
#ifndef PW_UDP_H
#define PW_UDP_H

#include "base/status.h"
#include "base/str.h"

#include <uv.h>

/** A UDP socket. */
struct udp {
	uv_udp_t handle;
	void (*receive)(void *ctx, struct str dgram, struct addr src);
	void *ctx;
	bool open;
};

/** Bind a socket and start receiving.
 * @param receive called for each datagram, which is valid during the callback
 * @return STATUS_INVALID if the address cannot be bound */
struct status udp_open(struct udp *u, uv_loop_t *loop, struct addr local,
    void (*receive)(void *ctx, struct str dgram, struct addr src), void *ctx);
/** Send a datagram without queueing.
 * @return false if the system cannot take it, such as with a full buffer */
bool udp_send(struct udp *u, struct addr to, struct str dgram);
/** Close a socket; may be called when not open. u must stay valid until the
 * loop has run once more.
 * @param closed called then; may be NULL */
void udp_close(struct udp *u, uv_close_cb closed);

/** Convert an address to a socket address. */
struct sockaddr_in addr_to_sys(struct addr a);
/** Convert an IPv4 socket address to an address. */
struct addr addr_from_sys(const struct sockaddr *sa);

#endif
