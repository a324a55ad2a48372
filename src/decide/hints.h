/**
 * @file hints.h
 * A balancer's bounded cache of flow owners (agents). A missing entry costs
 * the datagram one more hop, nothing else.
 */
#ifndef PW_HINTS_H
#define PW_HINTS_H

#include "decide/message.h"

struct hint_cache;

/**
 * Create a cache.
 * @param capacity number of flows; rounded up to 4 times a power of two
 */
struct hint_cache *hint_new(size_t capacity);
/** Free a cache. */
void hint_free(struct hint_cache *c);
/** Owner of a flow, 0 if not cached. Marks the flow as most recently used. */
uint64_t hint_get(struct hint_cache *c, const struct flow_key *key);
/**
 * Store the owner of a flow.
 * @return whether another flow was evicted
 */
bool hint_set(struct hint_cache *c, const struct flow_key *key, uint64_t owner);
/** Remove a flow. */
void hint_drop(struct hint_cache *c, const struct flow_key *key);
/** Number of flows in the cache. */
size_t hint_count(const struct hint_cache *c);

#endif
