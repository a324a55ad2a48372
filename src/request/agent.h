/**
 * @file agent.h
 * Decisions of the process beside a target: which flows it owns, what runs,
 * what is refused, and how it joins and leaves. Pure: every effect goes
 * through the table of functions, time comes in with each event.
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
/** How often agt_tick() is to be called. */
#define AGT_TICK_MS 20

/** What an agent is told at its start. */
struct agt_params {
	struct member self; /**< phase is ignored */
	struct addr seeds[AGT_SEEDS_MAX];
	size_t seed_count;
	size_t flow_capacity; /**< flows owned, and entries held as home */
	size_t run_capacity;  /**< permits with a record */
	bool keep_copies;     /**< leave a copy of each feed at a peer */
};

/** Where an agent's effects go; data is valid during the call alone. */
struct agt_ops {
	void (*send_node)(void *ctx, struct addr to, const struct msg *m);
	void (*send_target)(void *ctx, struct str dgram);
	void *ctx;
};

struct agent;

/** Start an agent; rng and ctr are borrowed and outlive it. */
struct agent *agt_new(const struct agt_params *params,
    const struct proto *proto, const struct agt_ops *ops, struct rng *rng,
    struct counters *ctr, uint64_t now);
/** Free an agent and all that it remembers. */
void agt_free(struct agent *a);
/** A message of another process. */
void agt_message(struct agent *a, const struct msg *m, uint64_t now);
/** A datagram of the target. */
void agt_target(struct agent *a, struct str dgram, uint64_t now);
/** Time passes. */
void agt_tick(struct agent *a, uint64_t now);
/** Begin a graceful stop. */
void agt_leave(struct agent *a, uint64_t now);
/** Whether a graceful stop is complete. */
bool agt_finished(const struct agent *a);

/** What an agent shows of itself. */
struct agt_view {
	uint64_t version; /**< configuration in force, 0 for none */
	enum mbr_phase phase;
	bool target_up;
	uint32_t in_flight;
	uint32_t queued;
	size_t flows;
	size_t entries;
	size_t feeds;
	size_t copies;
	size_t permits;
	uint32_t retries; /**< retries taken from the budget */
	uint32_t successes;
	uint64_t last_new_work_ns; /**< last start of a request, 0 for none */
	uint64_t leave_ns;	   /**< when the stop began, 0 for none */
};

/** Look at an agent. */
void agt_look(const struct agent *a, struct agt_view *out);
/** Membership as the agent sees it. */
const struct mbr_table *agt_members(const struct agent *a);

#endif
