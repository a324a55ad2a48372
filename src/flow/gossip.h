/**
 * @file gossip.h
 * How much a balancer says of others: lists go where the tables differ, few
 * of them, and heartbeats go round when there are many to greet, so that what
 * a process sends does not grow with the size of the system.
 */
#ifndef PW_GOSSIP_H
#define PW_GOSSIP_H

#include "base/rng.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What was told to one process last. */
struct gossip_told {
	uint64_t digest; /**< of the list */
	uint64_t at_ns;	 /**< 0 for never */
};

/** What may still be said. */
struct gossip {
	int64_t credit_milli; /**< parts of lists that are allowed, times 1000
			       */
};

/** Start with all the credit that can be saved up. */
void gossip_init(struct gossip *g);
/** Time passed. */
void gossip_earn(struct gossip *g, uint64_t passed_ns);
/** How much of a list may be told. */
enum gossip_share {
	GOSSIP_NONE,
	GOSSIP_SAMPLE, /**< GOSSIP_SAMPLE_MOST entries of it */
	GOSSIP_WHOLE
};

/** Entries of a sample: each leads on to a process with a budget of its own. */
#define GOSSIP_SAMPLE_MOST 8

/**
 * How much of a list may go to a process whose table differs; it counts as
 * told.
 * @param digest of the list
 * @param parts messages that it takes
 * @param may_sample whether a sample is of use to the other
 */
enum gossip_share gossip_may_tell(struct gossip *g, struct gossip_told *told,
    uint64_t digest, size_t parts, bool may_sample, uint64_t now);

/**
 * Whether this process is one of those that answer where a table differs: all
 * that hear of it would answer, and a few lists are enough.
 * @param peers processes that hear the same
 */
bool gossip_answers(struct rng *rng, size_t peers);

/** Some of many, in turn. */
struct turn {
	size_t next; /**< first of the next round */
};

/** How many of the many are in a round, and which comes first. */
struct turn_round {
	size_t first;
	size_t count;
	size_t many;
};

/** Begin a round of at most `most` of `many`. */
struct turn_round turn_begin(struct turn *t, size_t many, size_t most);
/** Whether the one at a place is in the round. */
bool turn_takes(const struct turn_round *r, size_t place);

#endif
