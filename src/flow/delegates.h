/**
 * @file delegates.h
 * Whom to ask about all agents of a failure domain: balancers there that have
 * the most processor time. One question to a delegate stands for one to each
 * agent of its failure domain, so what a search costs between failure domains
 * does not grow with the number of agents.
 */
#ifndef PW_DELEGATES_H
#define PW_DELEGATES_H

#include "flow/peers.h"

/** Delegates of one failure domain, so that questions spread. */
#define DELEGATES_EACH 4
/** Failure domains. */
#define DELEGATE_DOMAINS 32
/** Delegates that are tried for one question. */
#define DELEGATE_TRIES 2

/** Those of one failure domain, the most able first; there may be none. */
struct delegate_group {
	uint32_t domain; /**< tag of the failure domain */
	uint32_t capacity[DELEGATES_EACH];
	uint64_t ids[DELEGATES_EACH];
	size_t count;
};

/** Those of all. */
struct delegates {
	struct delegate_group groups[DELEGATE_DOMAINS];
	size_t count;
	uint64_t at_ns; /**< when they were gathered, or 0 */
};

/**
 * Gather them from the balancers that were heard and neither leave nor failed
 * lately. Of those of the own failure domain only some that are far more able
 * than oneself: asking its few agents costs little.
 * @param capacity own, thousandths of a core
 */
void delegates_gather(struct delegates *d, const struct peers *peers,
    uint32_t capacity, uint64_t now);
/** Those of a failure domain; NULL when no balancer of it is known. */
const struct delegate_group *delegates_of(
    const struct delegates *d, uint32_t domain);
/**
 * The one for a flow.
 * @param tries how many were asked in vain
 * @return 0 when none is left
 */
uint64_t delegates_pick(
    const struct delegate_group *g, uint64_t flow, size_t tries);

#endif
