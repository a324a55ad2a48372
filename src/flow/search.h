/**
 * @file search.h
 * Finding the agent that holds a flow. The packets that came meanwhile are
 * held, and one small question goes to each agent, not the packets.
 */
#ifndef PW_SEARCH_H
#define PW_SEARCH_H

#include "flow/agents.h"

/** Packets held for one flow. */
#define SEARCH_HELD_MAX 8
/** Agents are asked again after this, ms: two crossings there and back, and
 * the late wake-up of a small machine. */
#define SEARCH_AGAIN_MS 60
/** Times that the agents are asked. */
#define SEARCH_ROUNDS 3
/** A search ends after this, ms: the caller's next copy begins another. */
#define SEARCH_LIFE_MS 400

/** What became of a search. */
enum search_verdict {
	SEARCH_OPEN,	/**< goes on */
	SEARCH_NOBODY,	/**< all that were asked deny, and all were asked */
	SEARCH_UNKNOWN, /**< ended without a certain answer */
};

/** A packet that waits. */
struct held_packet {
	size_t len;
	char bytes[FLOW_PACKET_MAX];
};

/** A search. */
struct search {
	struct flow_key flow;
	uint32_t ack;
	uint64_t began_ns;
	uint64_t asked_ns;
	unsigned rounds;
	uint64_t *asked; /**< agents without an answer yet */
	size_t asked_count;
	size_t denied;
	size_t unsure;
	bool complete; /**< no agent was silent when it began */
	struct held_packet *held[SEARCH_HELD_MAX];
	size_t held_count;
	UT_hash_handle hh;
};

/** All searches. */
struct searches {
	struct search *table;
	size_t capacity;
};

/** Free what is held. */
void searches_clear(struct searches *s);
/** Find one; NULL when there is none. */
struct search *searches_find(
    const struct searches *s, const struct flow_key *flow);
/** Begin a search among the agents; the oldest ends when there is no room. */
struct search *searches_begin(struct searches *s, const struct flow_packet *p,
    const struct agents *agents, uint64_t now);
/** Hold a packet of the flow; one too many is dropped. */
bool search_hold(struct search *e, const struct flow_packet *p);
/** Take in an agent's denial or doubt. */
void search_answer(struct search *e, uint64_t agent, enum flow_where where);
/** What is known so far. */
enum search_verdict search_verdict(const struct search *e, uint64_t now);
/** End a search. */
void searches_drop(struct searches *s, struct search *e);

#endif
