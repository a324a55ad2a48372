/**
 * @file agent.h
 * An agent's decisions about opaque flows. Every packet of its target passes
 * it, so it has the last word: it refuses an opening for another service or
 * for a target that leaves, and it knows which flows its target holds.
 */
#ifndef PW_FLOW_AGENT_H
#define PW_FLOW_AGENT_H

#include "base/counters.h"
#include "base/latency.h"
#include "flow/failure_rate.h"
#include "flow/peers.h"
#include "flow/table.h"
#include "flow/target.h"

/** Where decisions lead. */
struct fa_out {
	/** Give a packet to the target. */
	void (*deliver)(void *ctx, const struct flow_packet *p);
	/** Send a packet of the target to its caller. */
	void (*answer)(void *ctx, const struct flow_packet *p);
	/** End a flow towards its caller; ack is the caller's latest. */
	void (*reset)(void *ctx, const struct flow_key *flow, uint32_t ack);
	/** Try whether anything listens at the target; fa_tried() follows. */
	void (*try_target)(void *ctx);
	/** Send a message to a balancer. */
	void (*send)(void *ctx, uint64_t to, const struct flow_msg *m);
};

/** Most probes whose outcome an agent waits for. */
#define FA_TRIES_MAX 64

/** A packet given to the target to find out whether it holds the flow. */
struct fa_try {
	struct flow_key flow;
	uint64_t given_ns;
};

/** What an agent is started with. */
struct fa_setup {
	uint64_t id; /**< addr_pack() of its control address */
	uint64_t incarnation;
	uint16_t data_port;
	const char *domain;
	const char *service;
	struct addr target;
	uint64_t word_period_ms; /**< of the target's words */
	uint64_t flow_life_ms;	 /**< a flow idle for longer is forgotten */
	size_t flow_capacity;
	const uint64_t *seeds; /**< ids of balancers to begin with */
	size_t seed_count;
};

/** An agent. */
struct fa {
	struct fa_setup setup;
	const struct fa_out *out;
	void *ctx;
	struct counters *ctr;
	struct latency wait;	/**< request given until its answer begins */
	struct latency opening; /**< opening given until the target accepts */
	struct flow_table flows;
	struct target target;
	struct failure_rate failing; /**< the target, of late */
	bool told_failing;	     /**< balancers were told that it is */
	struct peers peers;
	struct fa_try tries[FA_TRIES_MAX];
	size_t try_count;
	/** Whether it has seen all of its target's life. */
	bool knows_all;
	uint64_t unsure_ns; /**< since when it saw all of it, if it did not */
	uint64_t sequence;
	uint64_t busy_milli; /**< requests at the target, smoothed */
	uint64_t busy_ns;    /**< when it was last brought up to date */
	uint64_t ticked_ns;
	uint64_t given_ns; /**< request that the target did not react to yet */
	uint64_t tried_ns; /**< latest try_target() */
	bool trying;	   /**< its outcome is due */
	bool met;	   /**< a balancer has spoken to it */
	bool knows_balancers; /**< one said that there are no others */
	uint64_t told_ns;
	uint64_t told_far_ns;
	uint64_t asked_ns; /**< a list of balancers was asked for */
	uint64_t expired_ns;
	enum target_state told; /**< state that balancers were told last */
	unsigned tell_again;	/**< rounds that follow a change at once */
	uint64_t leaving_ns;	/**< 0: not leaving */
};

/** Start; out, ctr and the texts of setup are borrowed. */
void fa_init(struct fa *fa, const struct fa_setup *setup,
    const struct fa_out *out, void *ctx, struct counters *ctr, uint64_t now);
/** Free what it holds. */
void fa_clear(struct fa *fa);
/** A caller's packet came by way of a balancer. */
void fa_caller(
    struct fa *fa, uint64_t via, const struct flow_packet *p, uint64_t now);
/** A packet came from the target, its own or one that it returned. */
void fa_target(struct fa *fa, const struct flow_packet *p, uint64_t now);
/** The target said something of itself. */
enum heartbeat_result fa_word(
    struct fa *fa, const struct target_heartbeat *w, uint64_t now);
/** What trying the target showed. */
enum fa_sign {
	FA_LISTENS, /**< it accepted a connection */
	FA_REFUSES, /**< nothing listens there: no target lives */
	FA_NOTHING, /**< no answer */
};

/** The outcome of try_target(). */
void fa_tried(struct fa *fa, enum fa_sign sign, uint64_t now);
/** A message came from a balancer. */
void fa_message(struct fa *fa, const struct flow_msg *m, uint64_t now);
/** Time passes; to be called every FA_TICK_MS. */
void fa_tick(struct fa *fa, uint64_t now);
/** This process stood still. */
void fa_paused(struct fa *fa, uint64_t gap_ms, uint64_t now);
/** Period in which an agent asks a balancer for its list, ms. */
uint64_t fa_ask_ms(const struct fa *fa);
/** The store names a balancer: tell it of this agent. */
void fa_meet(struct fa *fa, uint64_t id, uint64_t now);
/** A stop was asked for. */
void fa_leave(struct fa *fa, uint64_t now);
/** Whether a stop that was asked for harms nobody any more. */
bool fa_left(const struct fa *fa, uint64_t now);

/** Period of fa_tick(), ms. */
#define FA_TICK_MS 50

#endif
