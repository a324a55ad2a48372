/**
 * @file coap.h
 * Codec for the protocol of callers and targets: CoAP over UDP (RFC 7252), with
 * Observe (RFC 7641), block-wise transfer (RFC 7959) and Echo (RFC 9175).
 * libcoap parses the messages and encodes the options.
 */
#ifndef PW_COAP_H
#define PW_COAP_H

#include "request/request.h"

/**
 * Option with a request's remaining time in ms, a uint of up to 4 bytes. The
 * number is from the experimental range, elective and safe to forward.
 */
#define COAP_DEADLINE_OPTION 65000

/**
 * Silence libcoap's log, which otherwise reports each malformed datagram that
 * anyone sends. Call once, at start.
 */
void coap_codec_init(void);
/** CoAP's functions; see struct proto. */
extern const struct proto coap_proto;

#endif
