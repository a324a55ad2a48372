/**
 * @file openings.h
 * Opening packets that no agent has accepted yet. A packet is kept until then,
 * so that it can be offered to another agent.
 */
#ifndef PW_OPENINGS_H
#define PW_OPENINGS_H

#include "flow/place.h"

/** Lifetime of an opening, in ms: a caller gives up after as long. */
#define OPENING_TIMEOUT_MS 1400

/** An opening packet that no agent has accepted yet. */
struct opening {
	struct flow_key flow;
	uint32_t service; /**< flow_service_tag() of the service chosen */
	uint32_t offered_service;	 /**< the one of the latest offer */
	uint32_t seq;			 /**< the packet's sequence number */
	uint64_t received_ns;		 /**< arrival of the first packet */
	uint64_t offered_ns;		 /**< latest offer to an agent */
	uint64_t tried[PLACE_TRIES_MAX]; /**< agents, the current one last */
	size_t tried_count;		 /**< 0 until there is an agent */
	enum flow_refusal refusal;	 /**< by the latest agent; 0 for none */
	bool leaves; /**< its domain_share chose another failure domain */
	size_t len;
	UT_hash_handle hh;
	char bytes[];
};

/** All openings, oldest first. */
struct openings {
	struct opening *table;
	size_t capacity;
};

/** Free all openings. */
void openings_clear(struct openings *o);
/** Find the opening of a flow; NULL when there is none. */
struct opening *openings_find(
    const struct openings *o, const struct flow_key *flow);
/** Add an opening packet; drops the oldest opening when the table is full. */
struct opening *openings_add(struct openings *o, const struct flow_packet *p,
    uint32_t service, uint64_t now);
/** Remove and free an opening. */
void openings_drop(struct openings *o, struct opening *e);
/** The agent that the opening was offered to last; 0 for none. */
uint64_t opening_agent(const struct opening *e);
/** Drop openings older than OPENING_TIMEOUT_MS. @return their number */
size_t openings_expire(struct openings *o, uint64_t now);

#endif
