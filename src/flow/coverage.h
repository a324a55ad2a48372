/**
 * @file coverage.h
 * When a balancer knows all agents that run. Only then may it reset a flow that
 * none of its agents holds.
 *
 * Balancers that have started recently prove nothing to each other: if all of
 * them are new, as when the earlier ones were replaced, each knows only those
 * agents that have found it. There are three proofs: the list of a balancer
 * that knows all agents; an earlier process at this balancer's address that was
 * known to all agents, which therefore still send heartbeats there, after the
 * time in which the slowest of them has sent one; and the time in which every
 * agent finds a balancer whose entry is in the store.
 */
#ifndef PW_FLOW_COVERAGE_H
#define PW_FLOW_COVERAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Since when agents can find this balancer. */
struct coverage {
	uint64_t started_ns;
	uint64_t findable_ns; /**< since when its entry is in the store, or
				 when the store last answered again after
				 that; 0 for never */
	bool watch_failed;    /**< the store does not answer this balancer */
	bool known_before;    /**< all agents knew an earlier process at this
				 address */
	size_t entries;	      /**< entries of balancers in the store */
	size_t listed;	      /**< those in the present list so far */
	unsigned lists;	      /**< how often they were listed */
};

/** What a balancer has heard of the agents that it compares with others. */
struct coverage_evidence {
	bool has_list_of_complete; /**< the list of one that knew all agents was
				      received */
	bool peer_has_more; /**< a live balancer has more recent agents */
	uint64_t agent_max_period_ms; /**< longest period of the heartbeats of
					 any agent, heard or not */
	size_t balancers;	      /**< others that it knows */
};

/** Initialize at the start of the process. */
void coverage_init(struct coverage *c, uint64_t now);
/**
 * Record that the own entry is in the store.
 * @param was_established the entry was there before, and stated that an earlier
 * process was known to all agents
 */
void coverage_on_entry(struct coverage *c, bool was_established, uint64_t now);
/**
 * Whether to list the balancers' entries in the store now; the list is recorded
 * as begun. They are listed if no other process has been found soon after the
 * start, and once more when a list can no longer lack the entries of balancers
 * that started at the same time.
 * @param alone no other balancer or no agent is known
 * @param complete all agents are known
 */
bool coverage_should_list(
    struct coverage *c, bool alone, bool complete, uint64_t now);
/** Record the number of entries in a page of the list. */
void coverage_on_entries(struct coverage *c, size_t count);
/** Number of balancers that an agent may know: count, or the entries in the
 * store if there are more. */
size_t coverage_balancers(const struct coverage *c, size_t count);
/** Record whether the store answers this balancer. */
void coverage_on_watch(struct coverage *c, bool ok, uint64_t now);
/** Whether the own entry is in the store, and no earlier process at this
 * address was known to all agents. */
bool coverage_is_at_new_address(const struct coverage *c);
/**
 * Whether every agent that can reach the store has had the time to find this
 * balancer.
 * @param balancers others that it knows
 */
bool coverage_is_findable(
    const struct coverage *c, size_t balancers, uint64_t now);
/**
 * Whether every agent has sent this balancer a heartbeat by now, whatever other
 * balancers have heard.
 * @param max_period_ms longest period of the agents' heartbeats
 */
bool coverage_has_waited(const struct coverage *c, size_t balancers,
    uint64_t max_period_ms, uint64_t now);
/** Whether all agents that ran when this balancer started are known. */
bool coverage_is_complete(
    const struct coverage *c, const struct coverage_evidence *e, uint64_t now);

#endif
