/**
 * @file place.h
 * Which target a new flow goes to. A flow cannot be moved later, so the
 * choice counts on the requests that it will bring, beside those that wait.
 */
#ifndef PW_PLACE_H
#define PW_PLACE_H

#include "flow/agents.h"

/** Most agents that one opening is offered to. */
#define PLACE_TRIES_MAX 4

/**
 * Agents of a service in each failure domain among which a flow is placed.
 * They follow from the flow alone, so a balancer that has never heard of it
 * looks for it among few; four choices balance almost as well as all.
 */
#define PLACE_CANDIDATES 4

/** What a choice is made for. */
struct place_ask {
	const struct agents *agents;
	uint32_t service;
	uint64_t flow;	    /**< flow_hash() */
	const char *domain; /**< the balancer's own failure domain */
	const uint64_t *tried;
	size_t tried_count;
	uint64_t now;
};

/**
 * Cost of giving an agent one more flow, in thousandths of a slot; lower is
 * better.
 * @param mean_milli load that a flow of the service brings on average
 */
uint64_t place_cost(const struct agent_view *v, uint64_t mean_milli,
    const char *domain, uint64_t now);
/**
 * The agents of one failure domain among which a flow is placed.
 * @return how many there are in out
 */
size_t place_candidates(const struct agent_group *g, const char *domain,
    uint64_t flow, struct agent_view *out[PLACE_CANDIDATES]);
/** Those of every failure domain, one after the other. */
void place_each_candidate(const struct agent_group *g, uint64_t flow,
    void (*each)(void *ctx, struct agent_view *v), void *ctx);
/** The best agent that was not tried; NULL when none can take the flow. */
struct agent_view *place_choose(const struct place_ask *ask);

#endif
