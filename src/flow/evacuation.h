/**
 * @file evacuation.h
 * The evacuated failure domains: a set with the store revision at which it was
 * read. Of two sets, the one of the higher revision is in force. All decisions
 * are pure.
 */
#ifndef PW_FLOW_EVACUATION_H
#define PW_FLOW_EVACUATION_H

#include "flow/message.h"
#include "flow/peers.h"

/** The evacuated failure domains, as far as this process knows. */
struct evacuation {
	uint64_t revision;  /**< 0 when nothing is known */
	uint64_t confirmed; /**< latest store revision at which the set was
			       read unchanged; at least `revision` */
	uint32_t count;
	uint32_t domains[FLOW_EVACUATED_MAX]; /**< their tags, in order */
};

/** Effect of a report on what is known. */
enum evacuation_change {
	EVACUATION_UNCHANGED,
	EVACUATION_REVISION,   /**< the same set has a higher revision */
	EVACUATION_REASSERTED, /**< the same set has a higher revision than an
				  outdated one that was reported */
	EVACUATION_SET,	       /**< the set differs */
};

/**
 * Combine a store's revision with its era, so that what was read in a later era
 * counts as newer though its revision is lower. Processes compare and exchange
 * the result as a revision.
 * @param era 0 if the store states none: the result is the revision
 */
uint64_t evacuation_stamp(uint64_t era, uint64_t revision);
/** Whether a failure domain is evacuated. */
bool evacuation_contains(const struct evacuation *e, uint32_t domain_tag);
/** Whether the set equals a list of tags, in any order and without repetition.
 */
bool evacuation_is_set(
    const struct evacuation *e, const uint32_t *tags, uint32_t count);
/**
 * Apply what was read from the store. An unchanged set keeps its revision, so
 * that it is not sent to other processes again.
 * @param count at most FLOW_EVACUATED_MAX
 */
enum evacuation_change evacuation_read(struct evacuation *e, uint64_t revision,
    const uint32_t *tags, uint32_t count);
/**
 * Apply what another process reports. A different set whose revision lies below
 * the latest one read here is outdated; the own set then takes the latest
 * revision, so that it is in force at the other process.
 */
enum evacuation_change evacuation_merge(struct evacuation *e, uint64_t revision,
    const uint32_t *tags, uint32_t count);
/** Handle the revision that an agent states: the own set takes a higher one if
 * it has been read unchanged since. */
enum evacuation_change evacuation_on_agent(
    struct evacuation *e, uint64_t revision);
/** Write the set and its revision into a balancer's heartbeat. */
void evacuation_write(const struct evacuation *e, struct msg_balancer *out);

/* ---- which balancers tell an agent ---- */

/** Number of balancers that tell an agent at once. */
#define EVACUATION_TELLERS 3

/** Balancers of each failure domain, for evacuation_position(). */
struct evacuation_domains {
	uint32_t count;
	uint32_t tags[FLOW_EVACUATED_MAX]; /**< domains that have a balancer */
};

/** Find the failure domains that have a balancer that is not leaving, including
 * the own one. */
void evacuation_find_domains(
    const struct peers *p, struct evacuation_domains *out);
/**
 * The number of the outdated heartbeat, counted from 1, after which this
 * balancer tells an agent. The balancers of the agent's failure domain come
 * first, ranked by a hash of agent and balancer, EVACUATION_TELLERS for each
 * heartbeat. Those of other domains follow, or come first when the agent's
 * domain has no balancer.
 */
uint32_t evacuation_position(const struct peers *p,
    const struct evacuation_domains *domains, uint64_t agent,
    uint32_t domain_tag);

/** Limit of the messages in which a balancer tells others. */
struct evacuation_budget {
	uint64_t tokens_milli; /**< messages allowed, times 1000 */
	uint64_t refilled_ns;
};

/** Take one message from the budget. @return false when it is used up */
bool evacuation_take(struct evacuation_budget *b, uint64_t now);
/** Whether an agent that was told `times` times, last at told_ns, is told
 * again; the interval doubles each time, since an agent of an earlier release
 * never states a revision. */
bool evacuation_may_repeat(uint32_t times, uint64_t told_ns, uint64_t now);

#endif
