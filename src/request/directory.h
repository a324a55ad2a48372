/**
 * @file directory.h
 * The flows that an agent owns, and the owners of the flows it is home to.
 * Both are bounded; the longest idle entry goes first.
 */
#ifndef PW_DIRECTORY_H
#define PW_DIRECTORY_H

#include "base/counters.h"
#include "decide/message.h"

/** Copies of a registration: the home, the next, and one that joins. */
#define DIR_HOMES 3

struct feed;

/** A flow that this agent owns. */
struct flow {
	struct flow_key key;
	uint64_t hash;
	uint64_t adopted_ns;  /**< when it came here */
	uint64_t active_ns;   /**< last datagram of the caller */
	uint64_t download_ns; /**< last block with more to follow; 0 none */
	uint32_t in_flight;   /**< requests queued or at the target */
	uint32_t feeds;	      /**< open feeds */
	uint64_t homes[DIR_HOMES]; /**< marks of homes that confirmed it */
	uint64_t told_ns;	   /**< last registration sent */
	uint64_t confirmed_ns;	   /**< last word of a home that it knows */
	uint32_t claim_seq;	   /**< of the first claim of this stay */
	uint64_t settled;	   /**< membership view that homes[] fits */
	struct feed *feed_list;	   /**< its open feeds; owned by feed.c */
	void *index;		   /**< owned by directory.c */
};

struct directory;

/** An empty directory for at most capacity flows and as many entries. */
struct directory *dir_new(size_t capacity, struct counters *ctr);
/** Free a directory. */
void dir_free(struct directory *d);
/** The flow if it is owned here, else NULL. */
struct flow *dir_flow(const struct directory *d, const struct flow_key *key);
/**
 * Own a flow from now on.
 * @return NULL when every flow held is in use and there is no room
 */
struct flow *dir_adopt(
    struct directory *d, const struct flow_key *key, uint64_t now);
/** Note that the caller of a flow was heard of. */
void dir_touch(struct directory *d, struct flow *f, uint64_t now);
/** Stop owning a flow. */
void dir_release(struct directory *d, struct flow *f);
/** An owner: an instance in one of its lives. */
struct owner {
	uint64_t id; /**< 0 for unknown */
	uint64_t incarnation;
	uint32_t seq;	/**< of its last word on the flow */
	bool withdrawn; /**< its last word was that it gave the flow up */
};

/** Owner of a flow that this agent is home to. */
struct owner dir_owner(const struct directory *d, const struct flow_key *key);
/** Set the owner of a flow that this agent is home to. */
void dir_set_owner(
    struct directory *d, const struct flow_key *key, struct owner owner);
/** Flows owned. */
size_t dir_flows(const struct directory *d);
/** Entries held as home. */
size_t dir_entries(const struct directory *d);
/** Whether a flow has nothing in progress. */
bool flow_idle(const struct flow *f, uint64_t now);
/** Visit every owned flow; the visitor may release the one it is given. */
void dir_each(
    struct directory *d, void (*visit)(void *ctx, struct flow *f), void *ctx);

#endif
