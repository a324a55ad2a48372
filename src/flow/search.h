/**
 * @file search.h
 * Finding the agent that holds a flow. The packets that came meanwhile are
 * held, and one small question goes to the agents, not the packets: first to
 * those of the own failure domain among which the flow was placed, then to
 * those of the others, then to all. Where a failure domain has a delegate it
 * is asked instead of that failure domain's agents, and asks them itself: an
 * errand is such a search on behalf of another balancer.
 */
#ifndef PW_SEARCH_H
#define PW_SEARCH_H

#include "flow/delegates.h"
#include "flow/place.h"
#include "flow/routes.h"

/** Packets held for one flow. */
#define SEARCH_HELD_MAX 8
/** The next agents are asked after this at the latest, ms: two crossings
 * there and back, and the late wake-up of a small machine. */
#define SEARCH_NEXT_MS 60
/** While agents only try the packet at their targets, the next ones wait for
 * longer, ms: a target that holds the flow shows it within some tens. */
#define SEARCH_TRY_MS 150
/** Answers are waited for longer by this many times the lag of the process:
 * a question, its answer and the packets before them each wait once. */
#define SEARCH_LAG_TIMES 3
/** Agents that did not answer are asked again after this, ms, so often: a
 * datagram is lost now and then. */
#define SEARCH_AGAIN_MS 200
#define SEARCH_AGAIN_MOST 3
/** A search ends after this, ms: callers wait for an answer between a half
 * and four seconds. What agents denied needs no second question meanwhile, and
 * the caller is told the moment that nothing is uncertain any more. */
#define SEARCH_LIFE_MS 3000
/** One where most agents were unsure, since all were started again, ends after
 * this, ms: the caller's next copy is tried at the candidates first, for a
 * flow lives there more likely than not. */
#define SEARCH_TRY_LIFE_MS 400

/** A delegate that says nothing for this is passed over, ms: it says by the
 * second tick that it is about it, and may itself run late. */
#define SEARCH_DELEGATE_MS 250
/** A delegate says so when it has no answer after this, ms. */
#define SEARCH_ERRAND_MS 30
/** Balancers that wait for one errand; more are told that it is not known. */
#define SEARCH_CLIENTS_MAX 4

/** Whom a search asks, in this order. */
enum search_tier {
	SEARCH_NEAR,	  /**< candidates of the own failure domain */
	SEARCH_DELEGATES, /**< those of the other failure domains */
	SEARCH_FAR,	  /**< candidates where there is no delegate */
	SEARCH_ALL, /**< all that have no delegate and were not asked yet, of
		       any service */
	SEARCH_TIERS
};

/** What became of a search. */
enum search_verdict {
	SEARCH_OPEN,	/**< goes on */
	SEARCH_NOBODY,	/**< all that were asked deny, and all were asked */
	SEARCH_UNKNOWN, /**< ended without a certain answer */
};

/** A packet that waits. */
struct held_packet {
	size_t len;
	char bytes[];
};

/** An agent or a delegate that was asked. */
struct search_asked {
	uint64_t agent;
	uint32_t domain;   /**< a delegate's failure domain; 0 for an agent */
	uint64_t asked_ns; /**< a delegate: first question */
	bool answered;
	bool unsure; /**< it tries the packet at its target; a delegate: its
			agents have to */
	bool failed; /**< a delegate that does not know */
	bool waits;  /**< a delegate that is still about it */
};

/** A search. */
struct search {
	struct flow_key flow;
	uint32_t ack;
	uint64_t began_ns;
	uint64_t asked_ns;	    /**< latest tier */
	uint64_t again_ns;	    /**< latest questions, first or not */
	unsigned again;		    /**< times that they were repeated */
	uint64_t changes;	    /**< of the agents, when all were asked */
	unsigned tier;		    /**< next to be asked */
	struct search_asked *asked; /**< all so far */
	size_t asked_count;
	size_t pending;	  /**< of them without a denial */
	size_t trying;	  /**< of those, they try the packet */
	size_t delegated; /**< of those, delegates */
	size_t doubts;	  /**< agents that ever were unsure */
	bool complete;	  /**< none is missing that may come back */
	bool alone; /**< agents of other failure domains had no delegate */
	struct held_packet *held[SEARCH_HELD_MAX];
	size_t held_count;
	uint64_t clients[SEARCH_CLIENTS_MAX]; /**< an errand for these */
	size_t client_count;
	bool said_wait;	       /**< they know that it goes on */
	uint64_t unsure_agent; /**< the one agent that is unsure; 0 for none */
	UT_hash_handle hh;
};

/** All searches. */
struct searches {
	struct search *table;
	size_t capacity;
};

/** Free what is held. */
void searches_clear(struct searches *s);
/** Find one; NULL when there is none. */
struct search *searches_find(
    const struct searches *s, const struct flow_key *flow);
/** Begin a search; the oldest ends when there is no room. */
struct search *searches_begin(
    struct searches *s, const struct flow_packet *p, uint64_t now);
/** Who may be asked, and who is asked first. */
struct search_field {
	const struct agents *agents;
	const struct flow_route *route; /**< of the flow, may be NULL */
	const struct delegates *delegates;
	const char *domain; /**< own failure domain */
	uint32_t domain_tag;
};

/**
 * Go on to the next tier that has agents.
 * @param first index in e->asked from which on agents are to be asked now
 */
void search_next(struct search *e, const struct search_field *field,
    uint64_t now, size_t *first);
/**
 * Whether the next tier is due, or all are to be looked through again because
 * agents came, or one was missing.
 * @param lag_ms how late this process runs: answers may lie unread
 */
bool search_due(const struct search *e, const struct agents *agents,
    uint64_t now, uint64_t lag_ms);
/** Whether those that did not answer are to be asked again; it counts. */
bool search_again(struct search *e, uint64_t now, uint64_t lag_ms);
/**
 * Give up one delegate that has said nothing in time; its agents, or another
 * delegate, are due then.
 * @return its id, 0 for none
 */
uint64_t search_mute_delegate(struct search *e, uint64_t now, uint64_t lag_ms);
/** A delegate does not know, or is still about it. */
void search_delegate_says(
    struct search *e, uint64_t delegate, enum find_result where);
/**
 * A delegate speaks for all its agents but one that is unsure.
 * @return whether that one has to be asked
 */
bool search_delegate_names(struct search *e, uint64_t delegate, uint64_t agent);
/** All have denied, but delegates were missing: go back to them. */
void search_to_delegates(struct search *e);
/** Whether a delegate answers, or has answered, for a failure domain. */
bool search_covers(const struct search *e, uint32_t domain);
/** Whether another waits for this search's outcome. */
bool search_is_errand(const struct search *e);
/** Note for whom an errand is. @return false when there are too many */
bool search_add_client(struct search *e, uint64_t client);
/** Hold a packet of the flow; one too many is dropped. */
bool search_hold(struct search *e, const struct flow_packet *p);
/** Take in an agent's denial or doubt. */
void search_answer(struct search *e, uint64_t agent, enum find_result where);
/** Whether a search has taken SEARCH_LIFE_MS, and what the lag adds. */
bool search_expired(const struct search *e, uint64_t now, uint64_t lag_ms);
/** What is known so far; an agent that came since all were asked counts. */
enum search_verdict search_verdict(const struct search *e,
    const struct agents *agents, uint64_t now, uint64_t lag_ms);
/** The first agent that has not denied yet; 0 for none. */
uint64_t search_open(const struct search *e);
/** End a search. */
void searches_drop(struct searches *s, struct search *e);

#endif
