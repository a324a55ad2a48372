/**
 * @file balancer.h
 * A balancer's decisions about opaque flows: which agent a packet goes to,
 * what becomes of an opening that is refused, and what is told to a caller
 * whom nobody can serve. It holds no state of a flow that must last.
 */
#ifndef PW_FLOW_BALANCER_H
#define PW_FLOW_BALANCER_H

#include "base/counters.h"
#include "base/latency.h"
#include "base/rng.h"
#include "decide/hints.h"
#include "flow/openings.h"
#include "flow/peers.h"
#include "flow/reported_agents.h"
#include "flow/routes.h"
#include "flow/search.h"

/** Where decisions lead. */
struct fb_out {
	/** Pass a caller's packet to an agent. */
	void (*forward)(void *ctx, struct addr agent, struct str bytes,
	    uint32_t tag, bool probe);
	/** End a flow towards its caller; ack is the caller's latest. */
	void (*reset)(void *ctx, const struct flow_key *flow, uint32_t ack);
	/** Send a message to a balancer or an agent. */
	void (*send)(void *ctx, uint64_t to, const struct flow_msg *m);
};

/** What a balancer is started with. */
struct fb_setup {
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t incarnation;
	const char *domain;
	const uint64_t *seeds; /**< ids of balancers to begin with */
	size_t seed_count;
	size_t hint_capacity;
	uint32_t capacity; /**< thousandths of a core that it may use */
	uint64_t seed;	   /**< of the random numbers */
};

/** Agents heard lately. */
struct recent_agents {
	uint64_t at_ns; /**< when they were counted, or 0 */
	struct agent_summary all;
	struct agent_summary local; /**< those of the own failure domain */
};

/** A balancer. */
struct fb {
	struct fb_setup setup;
	const struct fb_out *out;
	void *ctx;
	struct counters *ctr;
	struct latency opening; /**< opening's arrival until accepted */
	struct latency search;	/**< search's begin until found */
	struct routes routes;
	struct agents agents;
	struct peers peers;
	struct reported_agents reported_agents;
	struct hint_cache *hints;
	struct openings openings;
	struct searches searches;
	struct searches errands; /**< searches for other balancers */
	struct delegates delegates;
	struct rng rng;
	uint64_t sequence;
	/** Questions to all agents that are allowed, times 1000. */
	int64_t ask_credit_milli;
	uint64_t lag_ms; /**< how late this process runs */
	bool gathered;	 /**< questions or answers */
	uint64_t began_ns;
	uint64_t least_period_ms; /**< of the agents' heartbeats */
	uint64_t first_agent_ns;  /**< when the first agent was heard, or 0 */
	uint64_t ticked_ns;
	uint64_t trusted_ns; /**< silence before this proves nothing */
	uint64_t greeted_ns;
	uint64_t greeted_far_ns;
	struct gossip gossip;
	struct round_robin
	    near_turn; /**< heartbeats to the own failure domain */
	struct round_robin far_turn; /**< and to the others */
	struct recent_agents recent;
	bool knows_agents;  /**< all that lived when it started */
	bool knows_far;	    /**< those of other failure domains, too */
	bool knows_targets; /**< enough to serve callers */
	bool leaving;
};

/** Start; out, ctr and the texts of setup are borrowed. */
void fb_init(struct fb *fb, const struct fb_setup *setup,
    const struct fb_out *out, void *ctx, struct counters *ctr, uint64_t now);
/** Free what it holds. */
void fb_clear(struct fb *fb);
/** A caller's packet came. */
void fb_caller(struct fb *fb, const struct flow_packet *p, uint64_t now);
/** A message came from a balancer or an agent. */
void fb_message(struct fb *fb, const struct flow_msg *m, uint64_t now);
/**
 * A version of the configuration came; it is taken over.
 * @return false when it is not newer than the one in force: freed
 */
bool fb_routes(struct fb *fb, struct routes *next, uint64_t now);
/**
 * Send the questions gathered; to be called when all that had come was read.
 * The busier a balancer is, the more of them travel in one message.
 */
void fb_flush(struct fb *fb);
/** Time passes; to be called every FB_TICK_MS. */
void fb_tick(struct fb *fb, uint64_t now);
/** This process stood still: silence of others proves nothing for a while. */
void fb_paused(struct fb *fb, uint64_t gap_ms, uint64_t now);
/** A stop was asked for: tell the others, take no new callers. */
void fb_leave(struct fb *fb, uint64_t now);
/** Whether routers may send callers here. */
bool fb_ready(struct fb *fb, uint64_t now);
/**
 * Whether this balancer is one of those that watch the configuration for
 * their failure domain.
 */
bool fb_watches(const struct fb *fb, uint64_t now);
/**
 * Whether the platform's store is to be asked for the configuration now: for
 * the first one, and then by those that watch it.
 */
bool fb_asks_store(const struct fb *fb, uint64_t now);
/** The store names a balancer: greet it if it is not known. */
void fb_meet(struct fb *fb, uint64_t id, uint64_t now);
/** Whether a balancer was not heard of for so long that it is gone. */
bool fb_gone(const struct fb *fb, uint64_t id, uint64_t now);
/** Whether this is the first of the balancers known, by id. */
bool fb_first(const struct fb *fb);
/** A live balancer with a newer configuration; 0 for none. */
uint64_t fb_newer_peer(const struct fb *fb, uint64_t now);

/** Period of fb_tick(), ms: a fraction of a caller's first repeat, 200 ms. */
#define FB_TICK_MS 50

#endif
