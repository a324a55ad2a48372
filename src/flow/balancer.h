/**
 * @file balancer.h
 * A balancer's decisions about opaque flows: to which agent a packet goes,
 * where an opening packet is offered next after a refusal, and when a caller
 * gets a reset because no target can serve it. All state of a flow that it
 * holds is soft: losing it loses no flow.
 */
#ifndef PW_FLOW_BALANCER_H
#define PW_FLOW_BALANCER_H

#include "base/counters.h"
#include "base/latency.h"
#include "base/rng.h"
#include "decide/hints.h"
#include "flow/admission.h"
#include "flow/coverage.h"
#include "flow/domain_share.h"
#include "flow/evacuation.h"
#include "flow/flow_times.h"
#include "flow/openings.h"
#include "flow/peers.h"
#include "flow/reported_agents.h"
#include "flow/routes.h"
#include "flow/search.h"

/** Output functions of a balancer. */
struct fb_callbacks {
	/** Forward a caller's packet to an agent with a mark. */
	void (*forward)(void *ctx, struct addr agent, struct str bytes,
	    const struct flow_mark *mark);
	/** Send a reset to a caller; ack is its latest acknowledgement. */
	void (*reset)(void *ctx, const struct flow_key *flow, uint32_t ack);
	/** Send a message to a balancer or an agent. */
	void (*send)(void *ctx, uint64_t to, const struct flow_msg *m);
};

/** Parameters of a balancer. */
struct fb_setup {
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t incarnation;
	const char *domain;    /**< its failure domain */
	const uint64_t *seeds; /**< ids of the balancers to contact first */
	size_t seed_count;
	size_t hint_capacity;
	uint32_t capacity;	/**< thousandths of a core that it may use */
	uint64_t seed;		/**< seed of the random numbers */
	uint32_t evacuation_ms; /**< bound of the users within which an
				   evacuation takes effect; 0: evacuations are
				   ignored */
	bool cold_limits;	/**< cold targets' limits are obeyed */
	uint32_t remote_byte_price; /**< price of a KiB that is sent between
				       failure domains, in us */
};

/** The agent that keeps the newest copy of the routes. */
struct routes_copy {
	uint64_t agent; /**< 0 for none */
	uint64_t version;
};

/** A failure domain whose agents refuse openings because it is evacuated, while
 * this balancer does not know the evacuation yet. */
struct refusing_domain {
	uint32_t tag; /**< 0 for none */
	uint64_t until_ns;
};

/** Slots of the targets that accept flows. */
struct evacuation_slots {
	uint32_t left;	    /**< in domains that are not evacuated */
	uint32_t evacuated; /**< in evacuated domains */
};

/** The watch of the configuration in the store. */
struct config_watch {
	bool ok;      /**< this balancer watches, and the store answers */
	bool standby; /**< it watches although others are to do it, see
			 fb_is_config_watcher() */
	bool known;   /**< it knew another balancer of its failure domain whose
			 watch is answered */
	uint64_t begin_ns; /**< when it is to become a standby watcher, or 0 */
};

/** Summary of the recent agents, see agents_count_recent(). */
struct recent_agents {
	uint64_t updated_ns; /**< when they were counted, or 0 */
	struct agent_summary all;
	struct agent_summary local; /**< those of the own failure domain */
	/** agents_last_lost_ns() of all agents, and of the local ones. */
	uint64_t all_lost_ns;
	uint64_t local_lost_ns;
};

/** A balancer. */
struct fb {
	struct fb_setup setup;
	const struct fb_callbacks *callbacks;
	void *ctx;
	struct counters *ctr;
	struct latency opening; /**< time from an opening packet's arrival until
				   an agent accepts it */
	struct latency search;	/**< time from a search's start until the agent
				   is found */
	struct routes routes;
	struct routes_copy newest_copy;
	struct config_watch watch;
	struct agents agents;
	struct peers peers;
	struct reported_agents reported_agents;
	struct hint_cache *hints;
	struct openings openings;
	struct admissions admissions;
	struct searches searches;
	struct searches proxied_searches; /**< for other balancers */
	struct flow_times probed; /**< since when packets of flows reach other
				     targets as probes */
	struct delegates delegates;
	struct rng rng;
	uint64_t sequence;
	/** Queries to all agents that are allowed, times 1000. */
	int64_t query_credit_milli;
	uint64_t lag_ms; /**< how late fb_tick() is called */
	bool has_queued; /**< queries or replies wait for fb_flush() */
	uint64_t started_ns;
	uint64_t min_heartbeat_ms; /**< shortest period of an agent */
	uint64_t first_agent_ns;   /**< first heartbeat of an agent, or 0 */
	uint64_t last_tick_ns;
	uint64_t silence_valid_ns;    /**< until then, missing heartbeats may be
					 due to a pause of this process */
	uint64_t local_heartbeat_ns;  /**< latest round in the own domain */
	uint64_t remote_heartbeat_ns; /**< latest round to other domains */
	struct gossip gossip;
	struct round_robin local_round;	 /**< receivers in the own domain */
	struct round_robin remote_round; /**< receivers in other domains */
	struct recent_agents recent;
	struct coverage coverage;
	struct domain_share domain_share;
	struct evacuation evacuation;
	struct evacuation_budget evacuation_budget;
	/** Version of the configuration since which the services' limits are
	 * the same; 0 for none. */
	uint64_t limits_since;
	uint64_t told_ns;     /**< latest round of messages to agents */
	uint32_t told_rounds; /**< rounds that remain */
	struct refusing_domain refusing_domain;
	uint64_t store_era;   /**< latest era of the store that any balancer
				 has stated; 0 for none */
	bool agents_complete; /**< all agents that it compares, and that ran
				 when it started, are known */
	bool remote_agents_complete; /**< the same for all failure domains */
	uint32_t near_balancers;     /**< others in the own failure domain */
	bool has_targets; /**< enough agents are known to serve callers */
	bool leaving;
};

/** Initialize a balancer; callbacks, ctr and the strings and seeds of setup are
 * borrowed. */
void fb_init(struct fb *fb, const struct fb_setup *setup,
    const struct fb_callbacks *callbacks, void *ctx, struct counters *ctr,
    uint64_t now);
/** Free the tables. */
void fb_clear(struct fb *fb);
/** Handle a caller's packet. */
void fb_handle_caller_packet(
    struct fb *fb, const struct flow_packet *p, uint64_t now);
/** Handle a message from a balancer or an agent. */
void fb_handle_message(struct fb *fb, const struct flow_msg *m, uint64_t now);
/**
 * Apply a version of the configuration. Takes ownership of the contents of
 * next.
 * @return false when it is not newer than the one in force; it is freed then
 */
bool fb_apply_routes(struct fb *fb, struct routes *next, uint64_t now);
/**
 * Send the queries and replies that are queued. To be called when all received
 * datagrams have been handled: the busier a balancer is, the more of them
 * share one message.
 */
void fb_flush(struct fb *fb);
/** Do the periodic work; to be called every FB_TICK_MS. */
void fb_tick(struct fb *fb, uint64_t now);
/** Handle a pause of this process: for a while, missing heartbeats do not mean
 * that an agent or a balancer has failed. */
void fb_handle_pause(struct fb *fb, uint64_t gap_ms, uint64_t now);
/** Begin to stop: announce it, and become not ready. */
void fb_leave(struct fb *fb, uint64_t now);
/** Whether routers may send callers here. */
bool fb_is_ready(struct fb *fb, uint64_t now);
/**
 * Whether this balancer is one of those that watch the configuration in the
 * platform's store for their failure domain: one of the first two, or one that
 * stands in for them because no live balancer of the failure domain reports
 * that the store answers its watch.
 */
bool fb_is_config_watcher(const struct fb *fb, uint64_t now);
/**
 * Whether to query the platform's store for the configuration now: every
 * balancer does until it has one, then only the watchers.
 */
bool fb_should_query_store(const struct fb *fb, uint64_t now);
/**
 * Apply the evacuated failure domains that were read from the store.
 * @param tags their tags
 * @param count at most FLOW_EVACUATED_MAX
 */
void fb_apply_evacuations(struct fb *fb, uint64_t revision,
    const uint32_t *tags, uint32_t count, uint64_t now);
/**
 * Whether to read or watch the evacuations in the store: every balancer does
 * until it knows them, then only the watchers of the configuration.
 */
bool fb_should_watch_evacuations(const struct fb *fb, uint64_t now);
/** Slots of the targets that accept flows, in evacuated domains and others. */
struct evacuation_slots fb_count_slots(const struct fb *fb, uint64_t now);
/**
 * Record whether the store answers the watch of the configuration. To be called
 * at each answer and each failure. Other balancers are told of a change at
 * once.
 */
void fb_set_watch_ok(struct fb *fb, bool ok, uint64_t now);
/**
 * Record that this balancer's entry is in the store.
 * @param was_established an earlier process at this address had left it there
 * as established, see fb_is_established()
 */
void fb_set_listed(struct fb *fb, bool was_established, uint64_t now);
/** Whether to list the balancers' entries in the store, to find others. */
bool fb_should_list_entries(struct fb *fb, uint64_t now);
/** Record the number of entries in a page of the list in the store. */
void fb_count_entries(struct fb *fb, size_t count);
/** Record the era of the store. Other balancers are told in heartbeats, as few
 * of them call the store. */
void fb_set_store_era(struct fb *fb, uint64_t era);
/** Whether this balancer knows all agents, and all agents know its address. */
bool fb_is_established(const struct fb *fb, uint64_t now);
/** Send a heartbeat to a balancer named by the store, if it is not known. */
void fb_contact_balancer(struct fb *fb, uint64_t id, uint64_t now);
/** Whether a balancer was not seen for peers_forget_ms(). */
bool fb_is_gone(const struct fb *fb, uint64_t id, uint64_t now);
/** Whether no known balancer has a lower id. */
bool fb_has_lowest_id(const struct fb *fb);
/** The live balancer with the newest configuration, or the live agent that
 * keeps a copy of a newer one; 0 when none is newer. */
uint64_t fb_newer_source(const struct fb *fb, uint64_t now);

/** Period of fb_tick() in ms: a fraction of the 200 ms after which a caller
 * first retransmits. */
#define FB_TICK_MS 50

#endif
