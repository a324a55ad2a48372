/**
 * @file openings.h
 * Opening packets that a balancer has offered to an agent and that no agent
 * has accepted yet. The packet is kept, so that it can be offered to another.
 */
#ifndef PW_OPENINGS_H
#define PW_OPENINGS_H

#include "flow/place.h"

/** A caller gives an opening up after this, ms; so does the balancer. */
#define OPENING_LIFE_MS 1400

/** One opening. */
struct opening {
	struct flow_key flow;
	uint32_t service;
	uint64_t first_ns;
	uint64_t offered_ns;
	uint64_t tried[PLACE_TRIES_MAX]; /**< the last one has it now */
	size_t tried_count;		 /**< 0: waits for a first agent */
	size_t len;
	UT_hash_handle hh;
	char bytes[];
};

/** All openings, oldest first. */
struct openings {
	struct opening *table;
	size_t capacity;
};

/** Free what is kept. */
void openings_clear(struct openings *o);
/** Find one; NULL when there is none. */
struct opening *openings_find(
    const struct openings *o, const struct flow_key *flow);
/** Keep an opening packet; the oldest goes when there is no room. */
struct opening *openings_add(struct openings *o, const struct flow_packet *p,
    uint32_t service, uint64_t now);
/** Drop one. */
void openings_drop(struct openings *o, struct opening *e);
/** The agent that has it now; 0 for none. */
uint64_t opening_agent(const struct opening *e);
/** Drop those older than OPENING_LIFE_MS. @return how many */
size_t openings_expire(struct openings *o, uint64_t now);

#endif
