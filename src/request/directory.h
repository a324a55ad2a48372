/**
 * @file directory.h
 * The flows that an agent owns, and for each flow that the agent is the home
 * of, a record of its owner. Both tables are bounded. A full table of flows
 * evicts the least recently used idle flow; a full table of owner records
 * evicts the oldest record.
 */
#ifndef PW_DIRECTORY_H
#define PW_DIRECTORY_H

#include "base/counters.h"
#include "decide/message.h"

/**
 * Agents that a flow's owner registers with: the home, the next one by rank,
 * and the highest-ranked joining agent.
 */
#define DIR_HOMES 3

struct feed;

/**
 * A flow that this agent owns. Fields in _ns are times of the clock that is
 * passed in as now.
 */
struct flow {
	struct flow_key key;
	uint64_t hash;
	uint64_t owned_since_ns;
	uint64_t last_datagram_ns; /**< last datagram of the caller */
	uint64_t last_block_ns;	   /**< last block with more to come, or 0 */
	uint32_t in_flight;	   /**< requests queued or at the target */
	uint32_t feeds;		   /**< number of open feeds */
	/** Hashes of the incarnations that accepted a claim; see registry.c. */
	uint64_t confirmed_homes[DIR_HOMES];
	uint64_t claim_sent_ns; /**< last claim sent, 0 once accepted */
	uint64_t confirmed_ns;	/**< last time that a claim was accepted */
	uint32_t claim_seq;	/**< of the first claim since it is owned */
	/** Membership view in which every home has accepted the claim. */
	uint64_t confirmed_view;
	struct feed *feed_list; /**< its open feeds; owned by feed.c */
	void *index;		/**< hash table slot, for directory.c */
};

struct directory;

/**
 * Create an empty directory.
 * @param capacity most flows, and most owner records
 * @param ctr counts evictions; must outlive the directory
 */
struct directory *dir_new(size_t capacity, struct counters *ctr);
/** Free a directory. */
void dir_free(struct directory *d);
/** Find an owned flow; NULL if this agent does not own it. */
struct flow *dir_find_flow(
    const struct directory *d, const struct flow_key *key);
/**
 * Add a flow that this agent owns from now on.
 * @return NULL when the table is full and no idle flow was found to evict
 */
struct flow *dir_add_flow(
    struct directory *d, const struct flow_key *key, uint64_t now);
/** Mark a flow as used: its caller sent a datagram. */
void dir_touch(struct directory *d, struct flow *f, uint64_t now);
/** Remove and free an owned flow. */
void dir_remove_flow(struct directory *d, struct flow *f);
/** The owner of a flow, as one incarnation of an instance. */
struct owner {
	uint64_t id; /**< 0 for unknown */
	uint64_t incarnation;
	uint32_t seq;	/**< of the last registration received for the flow */
	bool withdrawn; /**< that registration was a withdrawal */
};

/** Owner recorded for a flow; all fields are 0 if there is no record. */
struct owner dir_get_owner(
    const struct directory *d, const struct flow_key *key);
/** Record the owner of a flow. */
void dir_set_owner(
    struct directory *d, const struct flow_key *key, struct owner owner);
/** Number of owned flows. */
size_t dir_flow_count(const struct directory *d);
/** Number of owner records. */
size_t dir_owner_count(const struct directory *d);
/** Whether a flow has no request, feed or download in progress. */
bool flow_is_idle(const struct flow *f, uint64_t now);
/** Call visit for every owned flow; it may remove the flow it is passed. */
void dir_each_flow(
    struct directory *d, void (*visit)(void *ctx, struct flow *f), void *ctx);

#endif
