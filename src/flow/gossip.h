/**
 * @file gossip.h
 * Limits on the membership traffic of one process. Lists of members are sent
 * only to a process whose own list differs, and within a token bucket;
 * periodic heartbeats go to a bounded number of receivers in round-robin
 * order. What a process sends therefore does not grow with the size of the
 * system.
 */
#ifndef PW_GOSSIP_H
#define PW_GOSSIP_H

#include "base/rng.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The latest list sent to one process. */
struct gossip_sent {
	uint64_t digest; /**< digest of the list */
	uint64_t at_ns;	 /**< when it was sent; 0 for never */
};

/** Token bucket for list messages. */
struct gossip {
	int64_t credit_milli; /**< list messages allowed, times 1000 */
};

/** Initialize with the full credit of a process that starts. */
void gossip_init(struct gossip *g);
/** Add the credit for the time passed since the last call. */
void gossip_refill(struct gossip *g, uint64_t passed_ns);
/** How much of a list may be sent. */
enum gossip_extent {
	GOSSIP_NONE,
	GOSSIP_SAMPLE, /**< at most GOSSIP_SAMPLE_MAX entries of it */
	GOSSIP_WHOLE
};

/** Entries of a sample. A few are enough: each names a process that has a
 * budget of its own and can send more of the list. */
#define GOSSIP_SAMPLE_MAX 8

/**
 * Decide how much of a list may be sent to a process whose list differs. The
 * credit is taken, and the list is recorded in sent.
 * @param sent latest list sent to the receiver
 * @param digest digest of the list
 * @param parts messages that the whole list takes
 * @param may_sample whether the receiver can use a sample
 */
enum gossip_extent gossip_reserve(struct gossip *g, struct gossip_sent *sent,
    uint64_t digest, size_t parts, bool may_sample, uint64_t now);

/**
 * Whether this process should answer a heartbeat whose digest differs. All
 * processes that receive the heartbeat could answer it, but a few lists are
 * enough, so among many peers each answers at random.
 * @param peers processes that receive the same heartbeat
 */
bool gossip_should_answer(struct rng *rng, size_t peers);

/** Round-robin position in a set of members. */
struct round_robin {
	size_t next; /**< index of the first member of the next batch */
};

/** The members of one round. */
struct round_robin_batch {
	size_t first; /**< index of the first one */
	size_t count; /**< members in the batch; indexes wrap around */
	size_t total; /**< members in the set */
};

/** Take the next batch: at most `most` of `total` members. */
struct round_robin_batch round_robin_next(
    struct round_robin *t, size_t total, size_t most);
/** Whether the member at an index is in the batch. */
bool round_robin_includes(const struct round_robin_batch *r, size_t index);

#endif
