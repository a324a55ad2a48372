/**
 * @file search.h
 * Search for the agent whose target holds a flow. The flow's packets are held
 * during the search, and agents get a small query instead of the packets. They
 * are queried in tiers: first the flow's placement candidates in the local
 * (own) failure domain, then those in remote (other) failure domains, then all
 * agents. In a failure domain that has a delegate, a balancer that answers for
 * its agents, the delegate is queried instead of the agents. The delegate runs
 * a proxied search among the agents of its own failure domain.
 */
#ifndef PW_SEARCH_H
#define PW_SEARCH_H

#include "flow/delegates.h"
#include "flow/place.h"
#include "flow/routes.h"

/** Most packets held for one flow. */
#define SEARCH_HELD_MAX 8
/** The next tier is due after this, in ms: a round trip between failure
 * domains, and the scheduling delay of a small machine. */
#define SEARCH_TIER_TIMEOUT_MS 60
/** The same in ms when the only replies due are those of agents that probe
 * their targets: a target that holds the flow shows it within some tens of
 * ms. */
#define SEARCH_PROBE_TIMEOUT_MS 150
/** Timeouts are extended by this many times the scheduling lag of the process:
 * the query, the reply and the packets before them may each wait once. */
#define SEARCH_LAG_FACTOR 3
/** Queries without a reply are repeated after this, in ms, at most
 * SEARCH_RETRIES_MAX times, because a datagram may be lost. */
#define SEARCH_RETRY_MS 200
#define SEARCH_RETRIES_MAX 3
/** Timeout of a search, in ms: callers wait between half a second and four
 * seconds for an answer. Agents that replied FIND_NOT_HELD are not queried
 * again within it, and the caller gets a reset as soon as the flow is certain
 * not to exist. */
#define SEARCH_TIMEOUT_MS 3000
/** Timeout in ms when most agents replied FIND_UNKNOWN, as after a restart of
 * all agents: the caller's next retransmission then starts a new search, whose
 * probes go first to the candidates, which most likely hold the flow. */
#define SEARCH_UNKNOWN_TIMEOUT_MS 400

/** A delegate that has not replied after this, in ms, is passed over. It sends
 * FIND_PENDING by its second tick, and may itself be late. */
#define SEARCH_DELEGATE_TIMEOUT_MS 250
/** A delegate that has no result after this, in ms, replies FIND_PENDING. */
#define SEARCH_PENDING_REPLY_MS 30
/** Most balancers that wait for one proxied search; further ones get the reply
 * FIND_UNKNOWN. */
#define SEARCH_CLIENTS_MAX 4

/** Processes that are queried; the tiers follow in this order. */
enum search_tier {
	SEARCH_LOCAL,	  /**< candidates in the local failure domain */
	SEARCH_DELEGATES, /**< one delegate of each failure domain that has any
			   */
	SEARCH_REMOTE,	  /**< candidates in domains without a delegate */
	SEARCH_ALL, /**< remaining agents of all services in domains without a
		       delegate */
	SEARCH_TIERS
};

/** Outcome of a search. */
enum search_verdict {
	SEARCH_IN_PROGRESS,
	SEARCH_NOT_FOUND,    /**< all agents replied FIND_NOT_HELD */
	SEARCH_INCONCLUSIVE, /**< timed out without a certain result */
};

/** A held packet. */
struct held_packet {
	size_t len;
	char bytes[];
};

/** A query to an agent or a delegate. */
struct search_query {
	uint64_t agent;	     /**< id of the agent or delegate */
	uint32_t domain;     /**< a delegate's failure domain; 0 for an agent */
	uint64_t queried_ns; /**< a delegate: time of the first query */
	bool answered;	     /**< an agent replied; a delegate's query ended */
	bool probe_due; /**< an agent replied FIND_UNKNOWN, and no probe was
			   sent to it yet */
	bool replied_unknown; /**< FIND_UNKNOWN: an agent probes its target; a
				 delegate's agents have to be queried */
	bool failed; /**< a delegate timed out or replied FIND_UNKNOWN */
	bool replied_pending; /**< FIND_PENDING: a delegate is searching */
};

/** A search. */
struct search {
	struct flow_key flow;
	uint32_t ack; /**< acknowledgement number of the caller's packet */
	uint64_t began_ns;
	uint64_t queried_ns;	/**< start of the latest tier */
	uint64_t last_query_ns; /**< latest query or repetition */
	unsigned retries;	/**< how often the queries were repeated */
	uint64_t agent_changes; /**< agents->changes when all were queried */
	unsigned tier;		/**< next tier, enum search_tier */
	struct search_query *queries;
	size_t query_count;
	size_t pending;	   /**< queries that no FIND_NOT_HELD has ended */
	size_t probing;	   /**< of those, agents that replied FIND_UNKNOWN */
	size_t probes_due; /**< of those, the ones that got no probe yet */
	size_t delegates_pending; /**< of those, to delegates */
	size_t unknown_count;	  /**< agents that replied FIND_UNKNOWN at least
				     once */
	bool complete;	     /**< no silent agent that may return was skipped */
	bool lacks_delegate; /**< another failure domain had no delegate */
	struct held_packet *held[SEARCH_HELD_MAX];
	size_t held_count;
	uint64_t clients[SEARCH_CLIENTS_MAX]; /**< balancers for which a proxied
						 search runs */
	size_t client_count;
	bool pending_sent;	/**< FIND_PENDING was sent to the clients */
	uint64_t unknown_agent; /**< proxied search: the agent that replied
				   FIND_UNKNOWN; 0 for none */
	UT_hash_handle hh;
};

/** All searches. */
struct searches {
	struct search *table;
	size_t capacity;
};

/** Remove and free all searches. */
void searches_clear(struct searches *s);
/** Find the search for a flow; NULL when there is none. */
struct search *searches_find(
    const struct searches *s, const struct flow_key *flow);
/** Add a search; the oldest one is removed when the table is full. */
struct search *searches_begin(
    struct searches *s, const struct flow_packet *p, uint64_t now);
/** The agents and delegates that a search may query. */
struct search_scope {
	const struct agents *agents;
	const struct flow_route *route; /**< route of the flow, may be NULL */
	const struct delegates *delegates;
	const char *domain;  /**< local failure domain */
	uint32_t domain_tag; /**< tag of the local failure domain */
};

/**
 * Add the queries of the next tier; it may have none.
 * @param first set to the index in e->queries of the first query to send
 */
void search_advance(struct search *e, const struct search_scope *scope,
    uint64_t now, size_t *first);
/**
 * Whether the next tier is due, or all agents have to be checked again because
 * agents have appeared or a silent one may return.
 * @param lag_ms scheduling lag of this process, which may leave replies unread
 */
bool search_is_due(const struct search *e, const struct agents *agents,
    uint64_t now, uint64_t lag_ms);
/** Whether to repeat the queries without a reply; true counts as a retry. */
bool search_should_retry(struct search *e, uint64_t now, uint64_t lag_ms);
/**
 * Give up one delegate that has not replied in time. Another delegate or the
 * agents of its failure domain are due then.
 * @return its id, 0 for none
 */
uint64_t search_expire_delegate(
    struct search *e, uint64_t now, uint64_t lag_ms);
/** Handle a delegate's reply other than FIND_HELD. */
void search_handle_delegate_reply(
    struct search *e, uint64_t delegate, enum find_result where);
/**
 * Handle a delegate's reply that all its agents but one replied FIND_NOT_HELD,
 * and that one FIND_UNKNOWN.
 * @return whether that agent has to be queried
 */
bool search_handle_delegate_referral(
    struct search *e, uint64_t delegate, uint64_t agent);
/** Go back to the tier of the delegates: all agents that were queried replied
 * FIND_NOT_HELD, but a failure domain had no delegate. */
void search_retry_delegates(struct search *e);
/**
 * Whether a delegate has replied, or may still reply, for a failure domain.
 * @param domain tag of the failure domain
 */
bool search_covers_domain(const struct search *e, uint32_t domain);
/** Whether the search runs on behalf of other balancers. */
bool search_is_proxied(const struct search *e);
/**
 * Add a balancer for which a proxied search runs.
 * @return false when there are SEARCH_CLIENTS_MAX others
 */
bool search_add_client(struct search *e, uint64_t client);
/** Hold a packet of the flow; false when it is dropped, as there is no room. */
bool search_hold_packet(struct search *e, const struct flow_packet *p);
/**
 * Whether a reply or a packet is of the flow that is searched for, and not of
 * another flow with the same key.
 * @param ack its acknowledgement number; 0 when not stated
 */
bool search_is_about(const struct search *e, uint32_t ack);
/**
 * Handle an agent's FIND_NOT_HELD or FIND_UNKNOWN. FIND_NOT_HELD is final: a
 * later FIND_UNKNOWN of the same agent changes nothing.
 */
void search_handle_reply(
    struct search *e, uint64_t agent, enum find_result where);
/** Take the next agent whose target has to be probed; 0 for none. */
uint64_t search_take_probe(struct search *e);
/**
 * Whether all known agents were queried and, but for those that have left the
 * queries unanswered for long, have replied.
 * @param lag_ms scheduling lag of this process
 */
bool search_has_queried_all(
    const struct search *e, uint64_t now, uint64_t lag_ms);
/** Whether all agents were queried and have replied, with FIND_NOT_HELD or
 * FIND_UNKNOWN. */
bool search_is_answered(const struct search *e, const struct agents *agents);
/** Whether the timeout of a search, extended by the lag, has passed. */
bool search_has_expired(const struct search *e, uint64_t now, uint64_t lag_ms);
/**
 * Outcome so far. Not SEARCH_NOT_FOUND while an agent that appeared after all
 * were queried has not replied.
 */
enum search_verdict search_verdict(const struct search *e,
    const struct agents *agents, uint64_t now, uint64_t lag_ms);
/** The first agent or delegate whose reply is still missing or FIND_UNKNOWN; 0
 * for none. */
uint64_t search_first_pending(const struct search *e);
/** Remove and free a search. */
void searches_remove(struct searches *s, struct search *e);

#endif
