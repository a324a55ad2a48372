/**
 * @file reported_agents.h
 * Agents that other balancers report and that have not sent a heartbeat to
 * this balancer. While one of them may still do so, it may hold a flow that no
 * other agent holds.
 */
#ifndef PW_REPORTED_AGENTS_H
#define PW_REPORTED_AGENTS_H

#include "base/str.h"

#include <uthash.h>

/** An agent reported by another balancer. */
struct reported_agent {
	uint64_t id;
	uint32_t domain;   /**< tag of its failure domain, 0 if not known */
	uint64_t until_ns; /**< end of the wait for it, or of `gone` */
	bool gone;	   /**< announced its end: older reports do not count */
	UT_hash_handle hh;
};

/** All reported agents. */
struct reported_agents {
	struct reported_agent *table;
	/** When the latest report expired of an agent that has neither sent a
	 * heartbeat nor announced its end; 0 for never. */
	uint64_t expired_ns;
};

/** Free the table. */
void reported_agents_clear(struct reported_agents *r);
/**
 * Add an agent that another balancer reports.
 * @param domain tag of its failure domain, 0 if not known
 * @param last_seen_ns when the other balancer received its heartbeat
 * @return whether the wait for it begins now
 */
bool reported_agents_add(struct reported_agents *r, uint64_t id,
    uint32_t domain, uint64_t last_seen_ns, uint64_t now);
/** Remove an agent: this balancer has received its heartbeat. */
void reported_agents_on_heartbeat(struct reported_agents *r, uint64_t id);
/** Note that an agent has announced its end. */
void reported_agents_on_gone(
    struct reported_agents *r, uint64_t id, uint64_t now);
/**
 * Whether a reported agent is still waited for; removes expired entries.
 * @param domain tag of the failure domain that counts; 0 for all
 */
bool reported_agents_has_pending(
    struct reported_agents *r, uint32_t domain, uint64_t now);

#endif
