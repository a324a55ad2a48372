/**
 * @file balancer_internal.h
 * Declarations shared by the files of the balancer: opening packets
 * (balancer_open.c), searches (balancer_search.c), searches for other
 * balancers (balancer_proxied_search.c), probes (balancer_probes.c), whether
 * all agents are known (balancer_coverage.c), the configuration
 * (balancer_config.c), membership and periodic work (balancer_members.c).
 */
#ifndef PW_BALANCER_INTERNAL_H
#define PW_BALANCER_INTERNAL_H

#include "flow/balancer.h"

/** Whether ms milliseconds have passed since a time. */
bool fb_has_elapsed(uint64_t since, uint64_t ms, uint64_t now);
/** Whether each agent has had time to send a heartbeat. */
bool fb_is_warm(const struct fb *fb, uint64_t now);
/** Update fb->recent, unless it is younger than a tick. */
void fb_update_recent(struct fb *fb, uint64_t now);
/**
 * Whether agents are compared only within the own failure domain: it has
 * enough balancers to know all of its agents. Otherwise the agents of all
 * failure domains are compared.
 */
bool fb_has_local_scope(const struct fb *fb, uint64_t now);
/**
 * Whether no live balancer has more recent agents than this one. False when
 * there is no live balancer to compare with.
 */
bool fb_has_as_many_agents(struct fb *fb, uint64_t now);
/** Whether to request from a balancer of another failure domain the list of the
 * agents there. */
bool fb_wants_agent_list(struct fb *fb, uint64_t from, uint64_t now);
/** Whether a balancer has lately sent a heartbeat to this one. */
bool fb_is_peer_live(const struct peer *e, uint64_t now);
/**
 * Why a flow may still exist although all agents that were queried replied
 * FIND_NOT_HELD. An agent that is restarting or paused may hold it, and a
 * balancer that has started recently may never have received that agent's
 * heartbeat.
 */
enum uncertainty {
	UNCERTAINTY_NONE,
	UNCERTAINTY_PAUSED,   /**< this process was paused */
	UNCERTAINTY_STARTING, /**< agents may have sent no heartbeat yet */
	UNCERTAINTY_AGENT_REPORTED, /**< another balancer reports an agent that
				       has sent this one no heartbeat */
	UNCERTAINTY_LISTS_MISSING,  /**< other balancers' lists of agents were
				       not received yet, or they may have heard
				       later from a lost agent */
	UNCERTAINTY_REMOTE, /**< no delegate of another failure domain answered
			     */
};

/** Why a search in which all agents replied FIND_NOT_HELD is not conclusive. */
enum uncertainty fb_uncertainty(
    struct fb *fb, const struct search *e, uint64_t now);
/** Name of an uncertainty in the log; empty for none. */
const char *fb_uncertainty_name(enum uncertainty u);
/** Periodic work: note when all agents are known. */
void fb_tick_coverage(struct fb *fb, uint64_t now);
/** The delegates of all failure domains, updated once per tick. */
const struct delegates *fb_delegates(struct fb *fb, uint64_t now);
/** Forward a packet of an existing flow to an agent. */
void fb_forward(struct fb *fb, const struct agent_view *v,
    const struct flow_key *flow, struct str bytes, bool probe);
/** Forward an opening packet to an agent; service is the one that the route
 * names, which the agent compares with its target's. */
void fb_forward_opening(struct fb *fb, const struct agent_view *v,
    const struct flow_key *flow, struct str bytes, uint32_t service);
/** Send a message. */
void fb_send(struct fb *fb, uint64_t to, struct flow_msg *m);
/** Send this balancer's heartbeat. */
void fb_send_heartbeat(struct fb *fb, uint64_t to, uint64_t now);
/** Send a reset to a flow's caller, and count the reason. */
void fb_reset(struct fb *fb, const struct flow_key *flow, uint32_t ack,
    enum counter reason);
/** Handle an opening packet. */
void fb_open_flow(struct fb *fb, const struct flow_packet *p,
    const struct flow_route *route, uint64_t now);
/** Handle the message that an agent's target accepted an opening packet. */
void fb_on_accepted(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Handle a refusal of an opening packet: offer it to the next agent, or reset
 * the caller when none is left. */
void fb_on_refused(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Search for the agent whose target holds a flow, and keep the packet until
 * the agent is found. */
void fb_search_agent(struct fb *fb, const struct flow_packet *p, uint64_t now);
/** Send the probes of a search that are due, unless packets of the flow have
 * reached other targets for too long. */
void fb_send_due_probes(struct fb *fb, struct search *e, uint64_t now);
/** Send a caller's retransmission as another probe to the agents whose latest
 * reply is FIND_UNKNOWN: the previous probe may have been lost, or their target
 * was silent. */
void fb_probe_again(
    struct fb *fb, struct search *e, const struct flow_packet *p, uint64_t now);
/** End the search for a flow, if there is one. */
void fb_end_search(struct fb *fb, const struct flow_key *flow);
/** Queue a query or a reply for one process; sends the queue when it is full.
 */
void fb_enqueue(struct fb *fb, uint64_t to, enum flow_msg_kind kind,
    struct msg_find *list, const struct find_item *item);
/** Continue a search, proxied or not; it may end. */
void fb_continue_search(struct fb *fb, struct search *e, uint64_t now);
/** Handle another balancer's queries about this failure domain's agents. */
void fb_on_queries(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Report the state of a proxied search to its clients; it may end. */
void fb_update_proxied_search(
    struct fb *fb, struct search *e, enum search_verdict verdict, uint64_t now);
/** Handle an agent's reply if it belongs to a proxied search. */
void fb_on_proxied_reply(
    struct fb *fb, uint64_t agent, const struct find_item *found, uint64_t now);
/** Handle replies of an agent or a delegate to queries. */
void fb_on_query_replies(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Handle a packet that an agent returned because its target does not hold the
 * flow. */
void fb_on_returned_packet(
    struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Periodic work: expire openings, and offer those without an agent again. */
void fb_tick_openings(struct fb *fb, uint64_t now);
/** Periodic work: continue all searches. */
void fb_tick_searches(struct fb *fb, uint64_t now);
/** Handle an agent's heartbeat. */
void fb_on_agent_heartbeat(
    struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Handle a balancer's heartbeat. */
void fb_on_balancer_heartbeat(
    struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Handle a list of balancers or agents from another balancer. */
void fb_on_member_list(struct fb *fb, const struct flow_msg *m, uint64_t now);
/** Record the version of the routes that an agent keeps, and send it a
 * heartbeat if it is to keep newer ones. */
void fb_offer_routes(struct fb *fb, struct agent_view *v, uint64_t now);
/** New flows a second that a cold target of a service bears, times 1000; 0 for
 * no limit. */
uint32_t fb_cold_per_s_milli(const struct fb *fb, uint32_t service);
/** Handle the evacuations in a balancer's heartbeat. */
void fb_merge_evacuations(
    struct fb *fb, struct peer *e, const struct msg_balancer *b, uint64_t now);
/** Handle the evacuations and limits that an agent states to know, and send it
 * a heartbeat if this balancer is to tell it newer ones. */
void fb_update_agent(struct fb *fb, struct agent_view *v, uint64_t now);
/** Periodic work: tell agents of a change. */
void fb_tick_agents(struct fb *fb, uint64_t now);
/** Whether the balancers of the failure domain conclude from this one's
 * heartbeats who watches the configuration: it sends more of them. */
bool fb_announces_watch(const struct fb *fb, uint64_t now);
/** Periodic work: become a standby watcher of the configuration, or end it. */
void fb_tick_watch(struct fb *fb, uint64_t now);
/** Send a heartbeat to all balancers of the own failure domain. */
void fb_notify_local_peers(struct fb *fb, uint64_t now);
/** Send a heartbeat to many balancers at once, after a change. */
void fb_notify_peers(struct fb *fb, uint64_t now);
/** Add the credit for queries to all agents for the time passed. */
void fb_refill_query_credit(struct fb *fb, uint64_t passed_ns);

#endif
