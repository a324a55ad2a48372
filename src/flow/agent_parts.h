/**
 * @file agent_parts.h
 * What the parts of an agent's decisions call of each other: packets and the
 * target's words (agent.c), messages, heartbeats and time (agent_members.c).
 * For these files alone.
 */
#ifndef PW_AGENT_PARTS_H
#define PW_AGENT_PARTS_H

#include "flow/agent.h"

/** Whether so many ms have passed since a time. */
bool fa_passed(uint64_t since, uint64_t ms, uint64_t now);
/** Bring the smoothed load up to now; to be called before it changes. */
void fa_smooth(struct fa *fa, uint64_t now);
/** Send a message to a balancer. */
void fa_send(struct fa *fa, uint64_t to, struct flow_msg *m);
/** Tell a balancer where a flow is. */
void fa_say_where(struct fa *fa, uint64_t to, const struct flow_key *flow,
    enum find_result where);
/** Refuse an opening. */
void fa_refuse(struct fa *fa, uint64_t via, const struct flow_key *flow,
    enum flow_refusal why);
/** The target's life is over: end all its flows. */
void fa_reset_all(struct fa *fa, uint64_t now);
/** End those that were in their state at a time; later ones are doubted. */
void fa_reset_before(struct fa *fa, uint64_t until, uint64_t now);

#endif
