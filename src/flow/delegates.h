/**
 * @file delegates.h
 * Delegates: the balancers of a failure domain with the most processor time.
 * Another failure domain's balancer queries a delegate instead of each agent
 * of its failure domain, so the cost of a search between failure domains does
 * not grow with the number of agents.
 */
#ifndef PW_DELEGATES_H
#define PW_DELEGATES_H

#include "flow/peers.h"

/** Most delegates of a failure domain. More than one spreads the queries. */
#define DELEGATES_PER_DOMAIN 4
/** Most failure domains that have delegates. */
#define DELEGATE_DOMAINS_MAX 32
/** Most delegates of a failure domain that one search queries. */
#define DELEGATE_TRIES_MAX 2

/** The delegates of one failure domain, highest capacity first; maybe none. */
struct delegate_group {
	uint32_t domain; /**< tag of the failure domain */
	uint32_t capacity[DELEGATES_PER_DOMAIN]; /**< thousandths of a core */
	uint64_t ids[DELEGATES_PER_DOMAIN];
	size_t count;
};

/** The delegates of all failure domains. */
struct delegates {
	struct delegate_group groups[DELEGATE_DOMAINS_MAX];
	size_t count;
	uint64_t updated_ns; /**< latest delegates_update(), or 0 */
};

/**
 * Choose the delegates anew, among the balancers that have sent a heartbeat,
 * are not leaving and have not lately failed to answer. A balancer of the own
 * failure domain is chosen only when its capacity is far above the own one:
 * querying the few local agents directly costs little.
 * @param capacity own capacity, in thousandths of a core
 */
void delegates_update(struct delegates *d, const struct peers *peers,
    uint32_t capacity, uint64_t now);
/** Find a failure domain's delegates; NULL when no balancer of it is known. */
const struct delegate_group *delegates_find(
    const struct delegates *d, uint32_t domain);
/**
 * Pick the delegate to query about a flow.
 * @param g may be NULL
 * @param flow flow_hash(); spreads flows over the delegates
 * @param tries delegates of the group that were queried without success
 * @return its id, or 0 when none is left
 */
uint64_t delegates_pick(
    const struct delegate_group *g, uint64_t flow, size_t tries);

#endif
