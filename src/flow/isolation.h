/**
 * @file isolation.h
 * How an agent that no balancer contacts finds the balancers again, and how
 * long that takes. The agent looks them up in the store when no balancer has
 * answered it for a while, as when all balancers that it knows have been
 * replaced. A balancer that no agent knew before it started therefore cannot
 * tell which agents run until the longest such time has passed.
 */
#ifndef PW_FLOW_ISOLATION_H
#define PW_FLOW_ISOLATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Age in ms of a list of balancers that the store returns, at most. */
#define ISOLATION_STALE_MAX_MS 4000

/** When an agent last heard from a balancer, and looked them up. */
struct isolation {
	uint64_t started_ns;
	uint64_t last_message_ns; /**< 0 if no balancer has sent one yet */
	uint64_t lookup_ns;	  /**< latest lookup; 0 for none */
};

/**
 * Period in ms of an agent's requests for a list of balancers.
 * @param balancers how many it knows
 */
uint64_t isolation_list_period_ms(size_t balancers);
/**
 * Whether an agent has to look up the balancers in the store now; a lookup is
 * recorded when it has.
 * @param list_period_ms period of its requests for a list of balancers
 */
bool isolation_should_look_up(
    struct isolation *i, uint64_t list_period_ms, uint64_t now);
/**
 * Longest time in ms until an agent that runs has found a balancer whose entry
 * is in the store, while the store answers.
 * @param balancers how many the agent may know, those that have ended included
 */
uint64_t isolation_max_ms(size_t balancers);

#endif
