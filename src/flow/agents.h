/**
 * @file agents.h
 * What a balancer believes of the agents, from their own heartbeats: whose
 * service they run, whether their target takes new flows, and its load.
 */
#ifndef PW_AGENTS_H
#define PW_AGENTS_H

#include "flow/gossip.h"
#include "flow/message.h"

#include <uthash.h>

/** Heartbeats missed until an agent counts as silent. */
#define AGENT_MISSES 3
/** Allowance for a late heartbeat, ms: a process with a small share of a
 * core may be held up for as long. */
#define AGENT_LATE_MS 400
/** An agent not heard for this may still come back to a target that lives,
 * ms: a planned stop and start takes less. After it nobody waits for it. */
#define AGENT_RETURN_MS 4000
/** A silent agent is forgotten after this, ms: longer than a planned restart
 * and than the cuts that are seen; and no sooner than this after it was
 * found silent, whatever the period of its heartbeats. */
#define AGENT_FORGET_MS 15000
#define AGENT_FORGET_SILENT_MS 5000

/** One agent. */
struct agent_view {
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t incarnation;
	uint64_t life_before; /**< its incarnation before this one */
	uint64_t sequence;
	struct msg_agent said; /**< its latest heartbeat */
	uint32_t domain_tag;   /**< of its failure domain */
	uint64_t heard_ns;
	uint64_t cold_until_ns;
	uint64_t avoid_until_ns; /**< did not answer an opening in time */
	uint32_t placed;	 /**< flows given to it since it last said */
	struct agent_group *group;
	struct msg_find questions; /**< to be sent together */
	struct gossip_sent told;   /**< list of balancers that it got */
	uint64_t mark;		   /**< of the search that asked it last */
	UT_hash_handle hh;
};

/** The agents of one service. */
struct agent_group {
	uint32_t service; /**< flow_service_tag() */
	struct agent_view **members;
	size_t count;
	UT_hash_handle hh;
};

/** All agents. */
struct agents {
	struct agent_view *table;
	struct agent_group *groups;
	uint64_t changes; /**< counts agents that came, went or changed */
};

/** Free what the tables hold. */
void agents_clear(struct agents *a);
/** Find an agent; NULL when it is not known. */
struct agent_view *agents_find(const struct agents *a, uint64_t id);
/** The agents of a service; NULL when there are none. */
const struct agent_group *agents_group(
    const struct agents *a, uint32_t service);
/**
 * Take in a heartbeat; one that comes late or out of order is dropped.
 * @return the agent, NULL when the heartbeat was old
 */
struct agent_view *agents_heard(
    struct agents *a, const struct flow_msg *m, uint64_t now);
/** An agent said that it ends together with its target. */
void agents_forget(struct agents *a, uint64_t id);
/** Take in the load that came with word on one flow. */
void agents_load(struct agents *a, const struct flow_msg *m);
/** Whether an agent has missed its heartbeats. */
bool agents_silent(const struct agent_view *v, uint64_t now);
/** Forget agents that were silent for long, AGENT_FORGET_MS. */
void agents_expire(struct agents *a, uint64_t now);
/** Agents that are not silent. */
size_t agents_live(const struct agents *a, uint64_t now);
/** Whether a silent agent is still waited for, AGENT_RETURN_MS. */
bool agents_awaited(const struct agent_view *v, uint64_t now);
/**
 * Agents that are not silent, or waited for.
 * @param domain tag of their failure domain; 0 for all
 * @param digest of who they are; the order does not matter
 */
size_t agents_recent(
    const struct agents *a, uint32_t domain, uint64_t now, uint64_t *digest);
/**
 * Write a part of the list of them.
 * @param domain as above
 * @param from 0, then what the part before returned
 * @return where the next part begins; 0 when this was the last
 */
size_t agents_list(const struct agents *a, uint32_t domain, size_t from,
    uint64_t now, struct msg_peers *out);

#endif
