/**
 * @file coap.h
 * The callers' and targets' protocol: CoAP over UDP (RFC 7252), with Observe
 * (RFC 7641), block-wise transfer (RFC 7959) and Echo (RFC 9175). Parsing
 * and option encoding are libcoap's.
 */
#ifndef PW_COAP_H
#define PW_COAP_H

#include "request/request.h"

/**
 * Option that carries a request's time left in milliseconds, a uint of up
 * to 4 bytes. From the experimental range; elective, safe to forward.
 */
#define COAP_DEADLINE_OPTION 65000

/** Call once: keeps libcoap from logging what strangers send. */
void coap_codec_init(void);
/** The protocol as the decisions use it. */
extern const struct proto coap_proto;

#endif
