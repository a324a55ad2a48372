/**
 * @file cold_limit.h
 * Limit of the openings that a target gets while it is cold, over all
 * balancers, in any span of one second. The agent aims at the configured
 * figure; what the users allow beyond it is left for packets in flight. All
 * decisions are pure.
 */
#ifndef PW_FLOW_COLD_LIMIT_H
#define PW_FLOW_COLD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Times of openings that are kept. */
#define COLD_TIMES_MAX 1024

/** Bounds of the users, from the settings. */
struct cold_bounds {
	bool active;		/**< the settings have both */
	uint32_t overage_milli; /**< factor of the figure that is tolerated,
				   times 1000 */
	uint32_t slack;		/**< openings beyond it; at most COLD_TIMES_MAX
				 */
};

/** The limit, and the latest openings. */
struct cold_limit {
	struct cold_bounds bounds;
	uint64_t version;     /**< configuration of which the figure is; 0: it
				 is not known */
	uint32_t per_s_milli; /**< openings a second, times 1000; 0: no limit */
	uint64_t started_ns;
	uint64_t times[COLD_TIMES_MAX]; /**< a ring */
	uint32_t next;			/**< index of the oldest entry */
	uint64_t count;			/**< openings that were recorded */
};

/** Initialize the limit of an agent that starts now. */
void cold_limit_init(
    struct cold_limit *l, const struct cold_bounds *bounds, uint64_t now);
/**
 * Learn the figure of a version of the configuration. An older version changes
 * nothing.
 * @return whether the figure has changed
 */
bool cold_limit_learn(
    struct cold_limit *l, uint64_t version, uint32_t per_s_milli);
/** Whether an opening may be passed to a cold target now. */
bool cold_limit_allows(const struct cold_limit *l, uint64_t now);
/** Record an opening that is passed, also to a target that is not cold: it may
 * have restarted, which its next heartbeat tells. */
void cold_limit_record(struct cold_limit *l, uint64_t now);

/**
 * Time between two openings that one of several balancers sends to a cold
 * target, in ns; 0 for no limit. Each may send twice its share, since callers
 * are not spread evenly; the agent refuses what is too much.
 */
uint64_t cold_limit_interval_ns(uint32_t per_s_milli, uint64_t balancers);

#endif
