/**
 * @file balancer_parts.h
 * What the parts of a balancer's decisions call of each other: openings
 * (balancer_open.c), searches (balancer_search.c), errands for other
 * balancers (balancer_errand.c), whether all agents are known
 * (balancer_certain.c), members and time (balancer_members.c). For the files of
 * balancer.c alone.
 */
#ifndef PW_BALANCER_PARTS_H
#define PW_BALANCER_PARTS_H

#include "flow/balancer.h"

/** Whether so many ms have passed since a time. */
bool fb_passed(uint64_t since, uint64_t ms, uint64_t now);
/** Whether every agent has had time for a heartbeat. */
bool fb_warm(const struct fb *fb, uint64_t now);
/** Bring fb->recent up to date: it is at most a tick old. */
void fb_count_agents(struct fb *fb, uint64_t now);
/**
 * Whether balancers of this failure domain are enough to know all of its
 * agents, so that those of the others need not be compared.
 */
bool fb_near_scope(const struct fb *fb, uint64_t now);
/**
 * Whether this balancer hears as many agents as each other that was heard
 * lately. False when there is no other.
 */
bool fb_hears_enough(struct fb *fb, uint64_t now);
/** Whether a list of the agents near another balancer is wanted from it. */
bool fb_wants_list(struct fb *fb, uint64_t from, uint64_t now);
/** Whether a balancer was heard lately, from itself. */
bool fb_heard_lately(const struct peer *e, uint64_t now);
/** What speaks against a flow's being gone that nobody who was asked claims. */
enum doubt {
	DOUBT_NONE,
	DOUBT_PAUSED,	 /**< this process stood still */
	DOUBT_YOUNG,	 /**< agents may not have spoken to it yet */
	DOUBT_MENTIONED, /**< others hear an agent that it does not hear */
	DOUBT_UNTOLD,	 /**< others have not told yet which agents they hear */
	DOUBT_FAR,	 /**< nobody spoke for another failure domain */
};

/**
 * What speaks against it: an agent that restarts or stands still just now,
 * which a young balancer has never heard and others wait for, may hold it.
 */
enum doubt fb_doubt(struct fb *fb, const struct search *e, uint64_t now);
/** Its name in the log; empty for none. */
const char *fb_doubt_name(enum doubt d);
/** Time passed: all agents may be known. */
void fb_tick_certain(struct fb *fb, uint64_t now);
/** Those who answer for their failure domains, gathered anew each tick. */
const struct delegates *fb_delegates(struct fb *fb, uint64_t now);
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
/** Put a question or an answer among those that go to one process. */
void fb_gather(struct fb *fb, uint64_t to, enum flow_msg_kind kind,
    struct msg_find *list, const struct find_item *item);
/** Go on with a search or an errand; it may end. */
void fb_go_on(struct fb *fb, struct search *e, uint64_t now);
/** Another balancer asks about the agents of this failure domain. */
void fb_on_find(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** How an errand stands: those who wait for it are told, and it may end. */
void fb_errand_stands(
    struct fb *fb, struct search *e, enum search_verdict verdict, uint64_t now);
/** An agent answered a question that may be of an errand. */
void fb_errand_found(
    struct fb *fb, uint64_t agent, const struct find_item *found, uint64_t now);
/** Agents or delegates answered questions. */
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
