/**
 * @file packet.h
 * A packet of an opaque flow, as the decisions see it. The bytes themselves
 * belong to the flow's two ends and are passed on unchanged.
 */
#ifndef PW_FLOW_PACKET_H
#define PW_FLOW_PACKET_H

#include "decide/message.h"

/** Largest packet carried, bytes. */
#define FLOW_PACKET_MAX 1400

/** What a packet does to its flow. */
enum flow_flag {
	FLOW_SYN = 1,
	FLOW_ACK = 2,
	FLOW_FIN = 4,
	FLOW_RST = 8,
	FLOW_RETURNED = 16, /**< the target did not take it */
};

/** What the data in a target's packet says of its request. */
enum flow_outcome {
	FLOW_NO_OUTCOME, /**< not the begin of an answer */
	FLOW_SERVED,
	FLOW_FAILED, /**< the target says that it did not serve it */
};

/** A decoded packet; bytes are borrowed. */
struct flow_packet {
	struct flow_key flow; /**< caller's end and the service address */
	uint32_t seq;
	uint32_t ack;
	unsigned flags; /**< enum flow_flag */
	uint32_t tag;	/**< service meant by the balancer; 0 for none */
	bool probe;	/**< sent to find out who holds the flow */
	unsigned copy;	/**< of an opening packet: 0 for the first */
	size_t data;	/**< bytes of the flow's data in it */
	enum flow_outcome outcome;
	struct str bytes;
};

/** Who sent a packet. */
enum flow_side {
	FLOW_FROM_CALLER,
	FLOW_FROM_TARGET
};

/** Short tag of a service's name, never 0; travels with each packet. */
uint32_t flow_service_tag(struct str name);

#endif
