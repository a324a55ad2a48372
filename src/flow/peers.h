/**
 * @file peers.h
 * The balancers that a process knows, and how long ago each was heard of.
 * Lists merge by the least age, so any order of messages gives the same.
 */
#ifndef PW_PEERS_H
#define PW_PEERS_H

#include "flow/gossip.h"
#include "flow/message.h"

#include <uthash.h>

/** A balancer not heard of for so long is forgotten, ms: three of the longest
 * rounds in which lists are exchanged; the rounds grow with their number. */
#define PEER_FORGET_MS 20000
#define PEER_FORGET_EACH_MS 250

/** Agents that a balancer has heard lately. */
struct peer_set {
	uint32_t count;
	uint64_t digest;
	uint32_t told; /**< of so many it has told this process; 0 for never */
	bool sure;     /**< it knew them all then */
};

/** A balancer. */
struct peer {
	uint64_t id;	    /**< addr_pack() of its control address */
	uint64_t heard_ns;  /**< of it, by whomever */
	uint64_t direct_ns; /**< from it, 0 for never */
	uint64_t version;   /**< configuration in force there */
	char domain[FLOW_NAME_MAX];
	struct peer_set all;  /**< agents that it has heard lately */
	struct peer_set near; /**< those of its failure domain */
	uint32_t capacity;    /**< thousandths of a core */
	uint32_t domain_tag;  /**< of its failure domain, 0 if not known */
	bool leaving;
	bool settled; /**< it knows all agents that it compares */
	bool whole;   /**< and compares those of all failure domains */
	uint64_t avoid_until_ns;	/**< did not answer as a delegate */
	struct msg_find questions;	/**< to be sent together */
	struct msg_find answers;	/**< the same */
	struct gossip_sent told;	/**< list of balancers that it got */
	struct gossip_sent told_agents; /**< list of agents that it got */
	size_t told_at;			/**< where its next part begins */
	UT_hash_handle hh;
};

/** All of them but oneself. */
struct peers {
	uint64_t self;	     /**< not kept as a peer; 0 at an agent */
	uint64_t digest;     /**< of the table; peers_digest() adds oneself */
	uint32_t domain_tag; /**< of the own failure domain */
	struct peer *table;
};

/** Free what the table holds. */
void peers_clear(struct peers *p);
/** Find a balancer; NULL when it is not known. */
struct peer *peers_find(const struct peers *p, uint64_t id);
/**
 * Take in that a balancer was heard of.
 * @param domain_tag of its failure domain, 0 if not known
 * @return whether it is new
 */
bool peers_note(
    struct peers *p, uint64_t id, uint64_t heard_ns, uint32_t domain_tag);
/** Take in a balancer's own heartbeat. @return whether it is new */
bool peers_heard(
    struct peers *p, uint64_t id, const struct msg_balancer *b, uint64_t now);
/** Another knows the same balancers, and has heard of all of them. */
void peers_confirm(struct peers *p, uint64_t now);
/** Write some of them, from a random place on. */
void peers_sample(const struct peers *p, size_t most, struct rng *rng,
    uint64_t now, struct msg_peers *out);
/** A balancer has told which agents it hears. */
void peers_told(const struct peer *e, struct peer_set *set);
/** How long a balancer is known without being heard of, ms. */
uint64_t peers_forget_ms(const struct peers *p);
/** Forget those not heard of for peers_forget_ms(). */
void peers_expire(struct peers *p, uint64_t now);
/** Digest of who is known, oneself included; the order does not matter. */
uint64_t peers_digest(const struct peers *p);
/**
 * Write a part of the list; oneself comes first.
 * @param from 0, then what the part before returned
 * @return where the next part begins; 0 when this was the last
 */
size_t peers_list(
    const struct peers *p, size_t from, uint64_t now, struct msg_peers *out);
/** Whether a balancer is, or may be, of the own failure domain. */
bool peers_near(const struct peers *p, const struct peer *e);
/** Number of them. */
size_t peers_near_count(const struct peers *p);
/** Number of balancers known. */
size_t peers_count(const struct peers *p);

#endif
