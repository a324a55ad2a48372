/**
 * @file agent.h
 * Logic of the process that runs next to a target: which flows it owns, which
 * requests run or are refused, and how it joins and leaves. It does no input
 * or output and reads no clock: it sends through struct agt_ops, and each call
 * passes the current time in ns as now.
 */
#ifndef PW_AGENT_H
#define PW_AGENT_H

#include "base/counters.h"
#include "base/rng.h"
#include "decide/config.h"
#include "decide/message.h"
#include "request/request.h"

/** Most seed balancers in the settings. */
#define AGT_SEEDS_MAX 8
/** Interval at which agt_tick() must be called, in ms. */
#define AGT_TICK_MS 20

/** Settings of an agent. */
struct agt_params {
	struct member self; /**< phase is ignored */
	struct addr seeds[AGT_SEEDS_MAX];
	size_t seed_count;
	size_t flow_capacity;	/**< most owned flows, and most owner records */
	size_t permit_capacity; /**< most permit records */
	bool keep_copies;	/**< keep a copy of each feed at a peer */
};

/** Output functions; message data is valid only during the call. */
struct agt_ops {
	/** Send a message to another agent or a balancer. */
	void (*send_node)(void *ctx, struct addr to, const struct msg *m);
	/** Send a datagram to the target. */
	void (*send_target)(void *ctx, struct str dgram);
	void *ctx;
};

struct agent;

/** Create an agent; rng and ctr are not copied and must outlive it. */
struct agent *agt_new(const struct agt_params *params,
    const struct proto *proto, const struct agt_ops *ops, struct rng *rng,
    struct counters *ctr, uint64_t now);
/** Free an agent. */
void agt_free(struct agent *a);
/** Handle a message of another agent or a balancer. */
void agt_handle_message(struct agent *a, const struct msg *m, uint64_t now);
/** Handle a datagram of the target. */
void agt_handle_target_datagram(
    struct agent *a, struct str dgram, uint64_t now);
/** Run what is due: timeouts, retransmissions, heartbeats, reports. */
void agt_tick(struct agent *a, uint64_t now);
/** Begin a graceful stop. */
void agt_leave(struct agent *a, uint64_t now);
/** Whether a graceful stop is complete, so that the process can exit. */
bool agt_is_stopped(const struct agent *a);

/** A snapshot of an agent's state. */
struct agt_status {
	uint64_t version; /**< configuration in force, 0 for none */
	enum mbr_phase phase;
	bool target_up;
	uint32_t in_flight;
	uint32_t queued;
	size_t flows;	    /**< owned flows */
	size_t entries;	    /**< owner records of flows it is the home of */
	size_t feeds;	    /**< open feeds of callers */
	size_t copies;	    /**< copies of peers' feeds */
	size_t permits;	    /**< permit records */
	uint32_t retries;   /**< retries taken from the budget */
	uint32_t successes; /**< successes that added to the budget */
	/** Last time that a request was given to the target, 0 for never. */
	uint64_t last_request_start_ns;
	uint64_t leave_ns; /**< start of the graceful stop, 0 for none */
};

/** Take a snapshot of the state. */
void agt_get_status(const struct agent *a, struct agt_status *out);
/** The agent's membership table. */
const struct mbr_table *agt_members(const struct agent *a);

#endif
