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

/** What a choice is made for. */
struct place_ask {
	const struct agents *agents;
	uint32_t service;
	const char *domain; /**< the balancer's own failure domain */
	const uint64_t *tried;
	size_t tried_count;
	uint64_t salt; /**< breaks ties between equals */
	uint64_t now;
};

/**
 * Cost of giving an agent one more flow, in thousandths of a slot; lower is
 * better.
 * @param mean_milli load that a flow of the service brings on average
 */
uint64_t place_cost(const struct agent_view *v, uint64_t mean_milli,
    const char *domain, uint64_t now);
/** The best agent that was not tried; NULL when none can take the flow. */
struct agent_view *place_choose(const struct place_ask *ask);

#endif
