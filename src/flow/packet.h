/**
 * @file packet.h
 * A decoded packet of an opaque flow. The payload belongs to the flow's two
 * ends and is forwarded unchanged.
 */
#ifndef PW_FLOW_PACKET_H
#define PW_FLOW_PACKET_H

#include "decide/message.h"

/** Largest packet that is forwarded, in bytes. */
#define FLOW_PACKET_MAX 1400

/** Flags of a packet. */
enum flow_flag {
	FLOW_SYN = 1,
	FLOW_ACK = 2,
	FLOW_FIN = 4,
	FLOW_RST = 8,
	FLOW_RETURNED = 16, /**< the target returned the packet unprocessed */
};

/** Outcome of a request, as a target's packet states it. */
enum flow_outcome {
	FLOW_NO_OUTCOME, /**< the packet does not begin a response */
	FLOW_SERVED,
	FLOW_FAILED, /**< the target states that it did not serve the request */
};

/** A decoded packet; bytes are borrowed. */
struct flow_packet {
	struct flow_key flow; /**< caller's endpoint and the service address */
	uint32_t seq;
	uint32_t ack;
	unsigned flags; /**< enum flow_flag */
	uint32_t tag;	/**< flow_service_tag() of the service to which the
			   balancer assigned the flow; 0 for none */
	bool probe;	/**< the balancer sends it to find out which target
			   holds the flow */
	int priority;	/**< of its route, 0 is the highest; negative if not
			   stated */
	uint32_t latency_ms; /**< target latency of its route's requests, or
				FLOW_MARK_LATENCY_MAX_MS if that is longer; 0 if
				not stated */
	unsigned copy; /**< retransmission number of an opening packet, 0 for
			  the first transmission */
	size_t data;   /**< payload length in bytes */
	enum flow_outcome outcome;
	struct str bytes;
};

/** Longest target latency that a mark can state, in ms. */
#define FLOW_MARK_LATENCY_MAX_MS 2550

/** What a balancer adds to a packet that it forwards to an agent. */
struct flow_mark {
	uint32_t service;    /**< flow_service_tag() of the flow's service */
	bool probe;	     /**< see struct flow_packet */
	int priority;	     /**< as there */
	uint32_t latency_ms; /**< as there; stated in steps of 10 ms */
};

/** Sender of a packet. */
enum flow_side {
	FLOW_FROM_CALLER,
	FLOW_FROM_TARGET
};

/**
 * Hash a service's name into the tag that packets and messages carry; never
 * 0. Also used for names of failure domains.
 */
uint32_t flow_service_tag(struct str name);
/**
 * Whether two acknowledgement numbers may be of the same flow. A caller may
 * reuse a port, and two targets may have accepted openings of one flow key.
 */
bool flow_acks_match(uint32_t a, uint32_t b);

#endif
