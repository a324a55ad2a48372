/**
 * @file peers.h
 * The balancers that a process knows, and when each was last seen, directly or
 * by another process. When lists are merged the latest time wins, so the order
 * of messages does not matter.
 */
#ifndef PW_PEERS_H
#define PW_PEERS_H

#include "flow/gossip.h"
#include "flow/message.h"

#include <uthash.h>

/** A balancer that no process has seen for this long is forgotten, in ms: three
 * of the longest rounds in which lists are exchanged. */
#define PEER_FORGET_MS 20000
/** The same for each known balancer, in ms, if that is more in total: the
 * rounds grow with the number of balancers. */
#define PEER_FORGET_PER_PEER_MS 250

/** The recent agents of a balancer, all or those of one failure domain. */
struct agent_summary {
	uint32_t count;
	uint64_t digest;   /**< digest of their ids */
	bool was_complete; /**< the peer knew all agents when its list of them
			      was received, or when the digests were equal */
};

/** A balancer. */
struct peer {
	uint64_t id;		    /**< addr_pack() of its control address */
	uint64_t last_seen_ns;	    /**< by any process */
	uint64_t last_heartbeat_ns; /**< received here; 0 for never */
	uint64_t version;	    /**< configuration in force there */
	char domain[FLOW_NAME_MAX]; /**< its failure domain */
	struct agent_summary all;   /**< its recent agents */
	struct agent_summary local; /**< those of its own failure domain */
	uint32_t capacity;	    /**< thousandths of a core */
	uint32_t domain_tag; /**< tag of its failure domain, 0 if not known */
	bool leaving;
	bool watch_ok;	      /**< watches the configuration in the store, and
				 the store answers it */
	bool agents_complete; /**< knows all agents that it compares */
	bool all_domains;     /**< compares agents of all failure domains */
	uint64_t avoid_until_ns; /**< not chosen as a delegate until then, since
				    it left a query unanswered */
	uint64_t work_sent_ns;	 /**< when an agent's answer to an opening last
				    had the work time; 0 for never */
	uint64_t evacuation_told_ns;   /**< when it was last told of newer
					  evacuations */
	struct msg_find queries;       /**< queries to be sent in one message */
	struct msg_find replies;       /**< replies to be sent in one message */
	struct gossip_sent sent_peers; /**< latest list of balancers sent */
	struct gossip_sent sent_agents; /**< latest list of agents sent */
	size_t next_agent; /**< where the next part of that list begins */
	size_t listed;	   /**< agents in the parts of its list received so far
			    */
	UT_hash_handle hh;
};

/** All balancers but this process itself. */
struct peers {
	uint64_t self;	     /**< own id, not in the table; 0 at an agent */
	uint64_t digest;     /**< digest of the ids in the table */
	uint32_t domain_tag; /**< tag of the own failure domain */
	struct peer *table;
};

/** Free the table. */
void peers_clear(struct peers *p);
/** Find a balancer; NULL when it is not known. */
struct peer *peers_find(const struct peers *p, uint64_t id);
/**
 * Record that a balancer was seen, here or by another process.
 * @param domain_tag tag of its failure domain, 0 if not known
 * @return whether it is new
 */
bool peers_record(
    struct peers *p, uint64_t id, uint64_t last_seen_ns, uint32_t domain_tag);
/** Handle a balancer's heartbeat. @return whether the balancer is new */
bool peers_on_heartbeat(
    struct peers *p, uint64_t id, const struct msg_balancer *b, uint64_t now);
/** Mark all balancers as seen now: another process knows the same ones and has
 * seen each of them. */
void peers_refresh_all(struct peers *p, uint64_t now);
/** Write at most `most` balancers, beginning at a random one. */
void peers_sample(const struct peers *p, size_t most, struct rng *rng,
    uint64_t now, struct msg_peers *out);
/**
 * Record that a peer's list of agents was received.
 * @param set the peer's `all` or `local`
 */
void peers_mark_received(const struct peer *e, struct agent_summary *set);
/** Time after which a balancer that is not seen is forgotten, in ms. */
uint64_t peers_forget_ms(const struct peers *p);
/** Remove balancers that were not seen for peers_forget_ms(). */
void peers_expire(struct peers *p, uint64_t now);
/** Digest of the ids of all balancers, including the own one; the order does
 * not matter. */
uint64_t peers_digest(const struct peers *p);
/**
 * Write one part of the list of balancers; the own entry comes first.
 * @param from 0 for the first part, then the return value of the last call
 * @return where the next part begins; 0 when this was the last
 */
size_t peers_list(
    const struct peers *p, size_t from, uint64_t now, struct msg_peers *out);
/** Whether a balancer is, or may be, of the own failure domain. */
bool peers_is_local(const struct peers *p, const struct peer *e);
/** Number of balancers that are, or may be, of the own failure domain. */
size_t peers_count_local(const struct peers *p);
/** Number of balancers known. */
size_t peers_count(const struct peers *p);

#endif
