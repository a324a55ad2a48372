/**
 * @file balancer_parts.h
 * What the parts of a balancer's decisions call of each other: openings
 * (balancer_open.c), searches (balancer_search.c), members and time
 * (balancer_members.c). For the files of balancer.c alone.
 */
#ifndef PW_BALANCER_PARTS_H
#define PW_BALANCER_PARTS_H

#include "flow/balancer.h"

/** Whether so many ms have passed since a time. */
bool fb_passed(uint64_t since, uint64_t ms, uint64_t now);
/** Whether every agent has had time for a heartbeat. */
bool fb_warm(const struct fb *fb, uint64_t now);
/** Agents heard lately and the digest of them, at most a tick old. */
size_t fb_recent_agents(struct fb *fb, uint64_t *digest, uint64_t now);
/** Whether a balancer was heard lately, from itself. */
bool fb_heard_lately(const struct peer *e, uint64_t now);
/** Whether a flow that no agent claims is gone for certain. */
bool fb_certain(struct fb *fb, uint64_t now);
/** Pass a packet to an agent. */
void fb_forward(
    struct fb *fb, const struct agent_view *v, struct str bytes, bool probe);
/** Send a message. */
void fb_send(struct fb *fb, uint64_t to, struct flow_msg *m);
/** Send this balancer's heartbeat. */
void fb_greet(struct fb *fb, uint64_t to, uint64_t now);
/** End a flow towards its caller, and count why. */
void fb_reset(struct fb *fb, const struct flow_key *flow, uint32_t ack,
    enum counter reason);
/** An opening packet came. */
void fb_open_flow(struct fb *fb, const struct flow_packet *p,
    const struct flow_route *route, uint64_t now);
/** An agent's target accepted an opening. */
void fb_on_accepted(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** It did not: the next agent gets it, or the caller the refusal. */
void fb_on_refused(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Look for the agent of a flow, and hold the packet. */
void fb_seek(struct fb *fb, const struct flow_packet *p, uint64_t now);
/** Nobody looks for a flow any more. */
void fb_end_search(struct fb *fb, const struct flow_key *flow);
/** Agents answered questions. */
void fb_on_found(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** An agent returned a packet: the flow is not there. */
void fb_on_away(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Openings that wait, or waited too long. */
void fb_tick_openings(struct fb *fb, uint64_t now);
/** Searches that go on, or took too long. */
void fb_tick_searches(struct fb *fb, uint64_t now);
/** An agent's heartbeat. */
void fb_on_agent(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** A balancer's heartbeat. */
void fb_on_balancer(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** A list of balancers or agents. */
void fb_on_peers(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Time passed: more questions may be asked. */
void fb_earn_credit(struct fb *fb, uint64_t passed_ns);

#endif
