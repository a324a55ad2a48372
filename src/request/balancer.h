/**
 * @file balancer.h
 * Decisions of a balancer: where a caller's datagram goes, who is alive, and
 * which configuration is in force. Pure, like agent.h. It holds no state of
 * a flow but hints, so its death breaks none.
 */
#ifndef PW_BALANCER_H
#define PW_BALANCER_H

#include "base/counters.h"
#include "base/rng.h"
#include "decide/config.h"
#include "decide/message.h"

/** Most seed balancers in the settings. */
#define BAL_SEEDS_MAX 8
/** How often bal_tick() is to be called. */
#define BAL_TICK_MS 50

/** What a balancer is told at its start. */
struct bal_params {
	struct member self; /**< phase is ignored */
	struct addr seeds[BAL_SEEDS_MAX];
	size_t seed_count;
	size_t hint_capacity;
	uint32_t control_budget; /**< bytes a second for gossip */
};

/** Where a balancer's effects go; data is valid during the call alone. */
struct bal_ops {
	void (*send_node)(void *ctx, struct addr to, const struct msg *m);
	void (*send_caller)(
	    void *ctx, const struct flow_key *flow, struct str bytes);
	/** A peer has a higher version: fetch it from there. */
	void (*fetch_config)(void *ctx, struct addr from, uint64_t version);
	void *ctx;
};

struct balancer;

/** Start a balancer; rng and ctr are borrowed and outlive it. */
struct balancer *bal_new(const struct bal_params *params,
    const struct bal_ops *ops, struct rng *rng, struct counters *ctr,
    uint64_t now);
/** Free a balancer. */
void bal_free(struct balancer *b);
/** A caller's datagram for a service. */
void bal_caller(struct balancer *b, const struct flow_key *flow,
    struct str bytes, uint64_t now);
/** A message of another process. */
void bal_message(
    struct balancer *b, const struct msg *m, struct addr src, uint64_t now);
/** Time passes. */
void bal_tick(struct balancer *b, uint64_t now);
/**
 * Put a configuration in force; takes over what it owns.
 * @return false, with the configuration released, when it is not newer
 */
bool bal_apply(struct balancer *b, struct cfg *c);
/** Whether callers' datagrams may be handed to it. */
bool bal_ready(const struct balancer *b);
/** Begin a graceful stop; the process goes on forwarding for its grace. */
void bal_leave(struct balancer *b, uint64_t now);
/** Say that this balancer is gone. */
void bal_left(struct balancer *b, uint64_t now);
/** Text of the version in force before; version 0 for none. */
struct str bal_previous(const struct balancer *b, uint64_t *version);
/** Configuration in force; version 0 for none. */
const struct cfg *bal_config(const struct balancer *b);
/** Membership as the balancer sees it. */
const struct mbr_table *bal_members(const struct balancer *b);
/** Hints held. */
size_t bal_hints(const struct balancer *b);

#endif
