/**
 * @file agents.h
 * A balancer's view of the agents, from their heartbeats: which service each
 * runs, whether its target takes new flows, and its load.
 */
#ifndef PW_AGENTS_H
#define PW_AGENTS_H

#include "flow/gossip.h"
#include "flow/message.h"

#include <uthash.h>

/** Missed heartbeats after which an agent counts as silent. */
#define AGENT_MISSED_HEARTBEATS 3
/** Additional delay granted to a heartbeat, in ms: a process with a small share
 * of a core may be delayed by as much. */
#define AGENT_HEARTBEAT_GRACE_MS 400
/** Time after its latest heartbeat in which a silent agent may still restart
 * beside a target that kept running, in ms: a planned restart takes less.
 * Searches wait for the agent until then. */
#define AGENT_RESTART_WAIT_MS 4000
/** An agent is removed this long after its latest heartbeat, in ms: longer than
 * a planned restart and than the network partitions that occur. */
#define AGENT_FORGET_MS 15000
/** An agent is not removed sooner than this after it became silent, in ms,
 * however long its heartbeat period is. */
#define AGENT_FORGET_SILENT_MS 5000

/** An agent. */
struct agent_view {
	uint64_t id;	      /**< addr_pack() of its control address */
	uint64_t incarnation; /**< number drawn at its start */
	uint64_t previous_incarnation; /**< its heartbeats are ignored unless
					    the agent is silent */
	uint64_t sequence;	       /**< of the latest heartbeat */
	struct msg_agent heartbeat;    /**< contents of the latest heartbeat */
	uint32_t domain_tag;	       /**< tag of its failure domain */
	uint64_t last_heartbeat_ns;
	uint64_t load_ns;	 /**< when its load was last reported */
	uint64_t cold_until_ns;	 /**< its target is slow until then */
	uint64_t avoid_until_ns; /**< gets no new flows until then, since it did
				    not answer an opening packet in time */
	uint64_t arriving_milli; /**< requests that flows placed just now
				    bring, times 1000, at arriving_ns */
	uint64_t included_milli; /**< the same over the time of which reports
				    give the mean */
	uint64_t arriving_ns;
	uint32_t placed; /**< flows placed there since the latest load report */
	struct agent_group *group;
	struct msg_find queries;       /**< queries to be sent in one message */
	struct gossip_sent sent_peers; /**< latest list of balancers sent */
	uint64_t offered_ns;   /**< when it was last told of newer routes */
	uint64_t cold_next_ns; /**< while it is cold, it is expected to refuse
				  a flow that comes before this time */
	uint32_t outdated; /**< heartbeats in a row with outdated evacuations or
			      limits */
	uint32_t told;	   /**< how often it was told since then */
	uint64_t told_ns;
	uint64_t mark; /**< mark of the search that queried it last */
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
	uint64_t changes; /**< additions, removals and changes of agents */
};

/** Free the tables. */
void agents_clear(struct agents *a);
/** Find an agent; NULL when it is not known. */
struct agent_view *agents_find(const struct agents *a, uint64_t id);
/** Find the agents of a service; NULL when there are none. */
const struct agent_group *agents_find_group(
    const struct agents *a, uint32_t service);
/**
 * Handle a heartbeat. One that is out of order or from the previous incarnation
 * is dropped. Incarnations have no order: a late heartbeat of one that was
 * never seen looks like a restart. When no other follows it, the previous
 * incarnation is the one that runs.
 * @return the agent, or NULL when the heartbeat was dropped
 */
struct agent_view *agents_on_heartbeat(
    struct agents *a, const struct flow_msg *m, uint64_t now);
/** Remove an agent that has announced that it ends together with its target. */
void agents_remove(struct agents *a, uint64_t id);
/** Update an agent's load from its answer to an opening packet. */
void agents_update_load(
    struct agents *a, const struct flow_msg *m, uint64_t now);
/** Whether an agent has missed AGENT_MISSED_HEARTBEATS heartbeats. */
bool agent_is_silent(const struct agent_view *v, uint64_t now);
/** Remove agents that have been silent for AGENT_FORGET_MS. */
void agents_expire(struct agents *a, uint64_t now);
/**
 * Longest period in ms that an agent has announced to this balancer.
 * @param domain tag of their failure domain; 0 for all
 */
uint64_t agents_max_period_ms(const struct agents *a, uint32_t domain);
/** Number of agents that are not silent. */
size_t agents_count_live(const struct agents *a, uint64_t now);
/** Whether the latest heartbeat is younger than AGENT_RESTART_WAIT_MS, so that
 * an agent that is silent may be restarting. */
bool agent_may_return(const struct agent_view *v, uint64_t now);
/**
 * When the latest of the agents that are still in the table ceased to be
 * recent, without having announced its end.
 * @param domain tag of their failure domain; 0 for all
 * @return 0 if all are recent
 */
uint64_t agents_last_lost_ns(
    const struct agents *a, uint32_t domain, uint64_t now);
/**
 * Count the recent agents: those that are not silent or may still return.
 * @param domain tag of their failure domain; 0 for all
 * @param digest receives the digest of their ids; the order does not matter
 */
size_t agents_count_recent(
    const struct agents *a, uint32_t domain, uint64_t now, uint64_t *digest);
/**
 * Write one part of the list of recent agents.
 * @param domain tag of their failure domain; 0 for all
 * @param from 0 for the first part, then the return value of the last call
 * @return where the next part begins; 0 when this was the last
 */
size_t agents_list(const struct agents *a, uint32_t domain, size_t from,
    uint64_t now, struct msg_peers *out);

#endif
