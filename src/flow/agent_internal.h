/**
 * @file agent_internal.h
 * Functions shared by the files of the agent: packets and the target's
 * heartbeats (agent.c), messages, heartbeats to balancers and timers
 * (agent_control.c), held requests (agent_queue.c), and snapshots
 * (agent_snapshot.c). Not for other files.
 */
#ifndef PW_AGENT_INTERNAL_H
#define PW_AGENT_INTERNAL_H

#include "flow/agent.h"

/** Whether ms milliseconds have passed since a time. */
bool fa_has_elapsed(uint64_t since, uint64_t ms, uint64_t now);
/** Update the smoothed load; to be called before the load changes. */
void fa_update_load(struct fa *fa, uint64_t now);
/** Requests by priority, for messages to balancers. */
struct priority_load fa_priority_load(const struct fa *fa);
/** Send a message to a balancer. */
void fa_send(struct fa *fa, uint64_t to, struct flow_msg *m);
/**
 * Report to a balancer whether the target holds a flow.
 * @param ack the caller's acknowledgement number in the probe
 */
void fa_send_find_reply(struct fa *fa, uint64_t to, const struct flow_key *flow,
    uint32_t ack, enum find_result where);
/**
 * Refuse an opening.
 * @param via the balancer that forwarded it
 */
void fa_refuse(struct fa *fa, uint64_t via, const struct flow_key *flow,
    enum flow_refusal why);
/** Reset all flows, because the target has ended. */
void fa_reset_all_flows(struct fa *fa, uint64_t now);
/**
 * End the flows whose state last changed at the time `until` or before: open
 * ones are reset, others are removed. Flows that changed later are marked as
 * unconfirmed.
 */
void fa_reset_flows_before(struct fa *fa, uint64_t until, uint64_t now);
/**
 * Whether the target may hold a flow that is not in the table: the table may be
 * incomplete, and the target has not returned a packet of the flow.
 */
bool fa_may_hold_unknown_flow(const struct fa *fa, const struct flow_key *flow,
    uint32_t ack, uint64_t now);
/** Pass a caller's packet to the target. */
void fa_pass_to_target(struct fa *fa, struct flow_entry *f,
    const struct flow_packet *p, uint64_t now);
/** Hold a caller's packet, drop a copy of a held one, or pass the packet to the
 * target. */
void fa_hold_or_pass(struct fa *fa, struct flow_entry *f,
    const struct flow_packet *p, uint64_t now);
/** Drop all held requests, because the target has ended. */
void fa_drop_held(struct fa *fa, uint64_t now);
/** Log the end of a time in which requests were held. */
void fa_tick_holding(struct fa *fa, uint64_t now);
/** Write a snapshot if one is due, after a heartbeat of the target. */
void fa_write_snapshot(struct fa *fa, uint64_t now);
/** Decide on the flows in the previous process's snapshot, and reset them if
 * they are lost. */
void fa_continue_recovery(struct fa *fa, uint64_t now);

#endif
