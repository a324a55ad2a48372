/**
 * @file balancer.h
 * Logic of a balancer: which agent a caller's datagram is forwarded to, which
 * members are alive, and which configuration is in force. Like agent.h it does
 * no input or output and reads no clock. Its only state of a flow is a hint of
 * the owner, so no flow breaks when a balancer dies.
 */
#ifndef PW_BALANCER_H
#define PW_BALANCER_H

#include "base/counters.h"
#include "base/rng.h"
#include "decide/config.h"
#include "decide/message.h"

/** Most seed balancers in the settings. */
#define BAL_SEEDS_MAX 8
/** Interval at which bal_tick() must be called, in ms. */
#define BAL_TICK_MS 50

/** Settings of a balancer. */
struct bal_params {
	struct member self; /**< phase is ignored */
	struct addr seeds[BAL_SEEDS_MAX];
	size_t seed_count;
	size_t hint_capacity;	 /**< most hints held */
	uint32_t control_budget; /**< limit of gossip, bytes per second */
};

/** Output functions; message data is valid only during the call. */
struct bal_ops {
	/** Send a message to an agent or another balancer. */
	void (*send_node)(void *ctx, struct addr to, const struct msg *m);
	/** Send a datagram to a caller. */
	void (*send_caller)(
	    void *ctx, const struct flow_key *flow, struct str bytes);
	/** Fetch a newer configuration from the peer that has it. */
	void (*fetch_config)(void *ctx, struct addr from, uint64_t version);
	void *ctx;
};

struct balancer;

/** Create a balancer; rng and ctr are not copied and must outlive it. */
struct balancer *bal_new(const struct bal_params *params,
    const struct bal_ops *ops, struct rng *rng, struct counters *ctr,
    uint64_t now);
/** Free a balancer. */
void bal_free(struct balancer *b);
/** Forward a caller's datagram to an agent of its service. */
void bal_handle_caller_datagram(struct balancer *b, const struct flow_key *flow,
    struct str bytes, uint64_t now);
/** Handle a message of an agent or another balancer, received from src. */
void bal_handle_message(
    struct balancer *b, const struct msg *m, struct addr src, uint64_t now);
/** Run what is due: timeouts, anti-entropy, sends of changed records. */
void bal_tick(struct balancer *b, uint64_t now);
/**
 * Put a configuration in force. The balancer takes the contents of *c.
 * @return false, with *c cleared, if its version is not higher
 */
bool bal_apply_config(struct balancer *b, struct cfg *c);
/** Whether the balancer is active and can forward callers' datagrams. */
bool bal_is_ready(const struct balancer *b);
/** Begin a graceful stop; the process forwards for its grace period. */
void bal_leave(struct balancer *b, uint64_t now);
/** Announce to other balancers that this one has left. */
void bal_announce_left(struct balancer *b, uint64_t now);
/** Text and version of the configuration in force before; 0 for none. */
struct str bal_previous_config(const struct balancer *b, uint64_t *version);
/** The configuration in force; its version is 0 if there is none. */
const struct cfg *bal_config(const struct balancer *b);
/** The balancer's membership table. */
const struct mbr_table *bal_members(const struct balancer *b);
/** Number of hints held. */
size_t bal_hint_count(const struct balancer *b);

#endif
